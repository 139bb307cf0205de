//! The HTTP server for clients: reads submitted messages and replies.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use millpost::api::{Effect, Nanos};
use millpost_core::{Submission, SubmitReply};
use millpost_net::connection_limiter::{ConnectionLimiter, ConnectionSlot};
use millpost_net::meter::{Part, metered};
use millpost_net::serving::serve_one;
use millpost_settings::Classes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

const MAX_BODY_BYTES: usize = 64 * 1024;
/// A connection without a complete request head for this long is closed: it is idle, or its client sends an
/// endless head.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// Time limit for receiving a complete request, counted from the same moment.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
const MAX_KEY_BYTES: usize = 4096;
/// Maximum size of a request head; bounds the memory used by the maximum number of connections.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Longer deadlines are reduced to this.
const MAX_DEADLINE_SECS: f64 = 86_400.0;

/// A message submitted by a client, and where to send the reply.
pub struct ClientRequest {
    pub submission: Submission,
    /// When the request head arrived. The deadline counts from here, also while the body is being received.
    pub received_at: Instant,
    pub reply: oneshot::Sender<SubmitReply>,
}

/// The shutdown phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    Serving,
    /// Every response closes its connection.
    Leaving,
    /// Another process accepts connections; requests on the remaining ones are forwarded to it, and every
    /// response closes its connection.
    Handed,
    /// Idle connections are closed and no new ones are accepted.
    Closing,
}

/// The message classes that clients may use, according to the settings in force.
#[derive(Default)]
pub struct AcceptedClasses {
    classes: Vec<Class>,
}

struct Class {
    name: String,
    position: usize,
    needs_key: bool,
}

impl AcceptedClasses {
    pub fn new(classes: &Classes) -> Self {
        let all = classes.all().enumerate().filter(|(_, (_, class))| !class.retired);
        let all = all.map(|(position, (name, class))| {
            let needs_key = matches!(class.effect, Effect::Keyed { .. });
            Class { name: name.to_owned(), position, needs_key }
        });
        AcceptedClasses { classes: all.collect() }
    }

    /// The position of the class, and whether its messages need an idempotency key.
    fn class(&self, name: &str) -> Option<(usize, bool)> {
        self.classes.iter().find(|class| class.name == name).map(|class| (class.position, class.needs_key))
    }
}

struct Intake<I> {
    accepted_classes: watch::Receiver<AcceptedClasses>,
    input_tx: mpsc::Sender<I>,
    phase: watch::Receiver<Phase>,
}

/// Serves clients on `listener`, up to the connection limit, until the phase is `Closing` and every
/// connection has ended. Later connections are refused, which tells the client that its message was not
/// accepted here.
pub async fn serve<I: From<ClientRequest> + Send + 'static>(
    listener: TcpListener,
    connection_limiter: Arc<ConnectionLimiter>,
    accepted_classes: watch::Receiver<AcceptedClasses>,
    input_tx: mpsc::Sender<I>,
    mut phase: watch::Receiver<Phase>,
) {
    let intake = Arc::new(Intake { accepted_classes, input_tx, phase: phase.clone() });
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|p| *p >= Phase::Handed) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let (slot, leave) = tokio::select! {
                    entered = connection_limiter.acquire() => entered,
                    // An accepted connection is served here, because no other process has its socket.
                    _ = phase.wait_for(|p| *p >= Phase::Closing) => break,
                };
                let intake = intake.clone();
                tokio::spawn(metered(Part::Intake, async move {
                    let slot = Arc::new(slot);
                    tokio::select! {
                        () = connection(stream, intake, slot.clone()) => {}
                        _ = leave => {}
                    }
                }));
            }
            Err(e) => {
                // Possibly out of descriptors; retries after a short delay.
                eprintln!("intake: accepting a connection failed: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
    drop(listener);
    connection_limiter.wait_until_empty().await;
}

async fn connection<I: From<ClientRequest> + Send + 'static>(
    stream: TcpStream,
    intake: Arc<Intake<I>>,
    slot: Arc<ConnectionSlot>,
) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase.clone();
    let service = service_fn(move |request| {
        let (intake, slot) = (intake.clone(), slot.clone());
        Box::pin(async move {
            let answer = intake.answer(request, &slot).await;
            slot.idle();
            Ok::<_, Infallible>(answer)
        })
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let closing = async { drop(phase.wait_for(|p| *p >= Phase::Closing).await) };
    serve_one(&http, stream, service, closing).await;
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl<I: From<ClientRequest>> Intake<I> {
    async fn answer(&self, request: Request<Incoming>, slot: &ConnectionSlot) -> Response<Full<Bytes>> {
        let mut response = match self.take(request, slot).await {
            Ok(SubmitReply::Accepted) => plain(StatusCode::ACCEPTED),
            Ok(SubmitReply::UnknownDestination) => plain(StatusCode::NOT_FOUND),
            Ok(SubmitReply::Failed) => plain(StatusCode::GONE),
            Ok(SubmitReply::Refused { wait }) => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
                let seconds = HeaderValue::from_str(&format!("{:.3}", wait as f64 / 1e9));
                if let Some(seconds) = seconds.ok().filter(|_| wait > 0) {
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                response
            }
            Err(status) => plain(status),
        };
        if response.status() == StatusCode::METHOD_NOT_ALLOWED {
            response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, POST"));
        }
        // After a client error the framing of further requests on the connection cannot be trusted.
        let client_error = response.status().is_client_error();
        if client_error || *self.phase.borrow() >= Phase::Leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Parses a request, passes the message to the driver and waits for its reply. An error is the status to
    /// respond with.
    async fn take(
        &self,
        request: Request<Incoming>,
        slot: &ConnectionSlot,
    ) -> Result<SubmitReply, StatusCode> {
        let (received_at, (head, body)) = (Instant::now(), request.into_parts());
        let deadline = slot.reading() + REQUEST_TIMEOUT;
        // Together with a Content-Length it allows request smuggling, and the header map does not show
        // whether there was one. No client needs it, because body lengths are known.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(StatusCode::BAD_REQUEST);
        }
        let path = head.uri.path();
        if path == "/healthz" {
            let ok = head.method == Method::GET || head.method == Method::HEAD;
            return Err(if ok { StatusCode::OK } else { StatusCode::METHOD_NOT_ALLOWED });
        }
        let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let (class, needs_key) = self.accepted_classes.borrow().class(name).ok_or(StatusCode::NOT_FOUND)?;
        if head.method != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let fields = Fields::read(&head.headers).ok_or(StatusCode::BAD_REQUEST)?;
        if needs_key && fields.key.is_none() {
            return Err(StatusCode::BAD_REQUEST);
        }
        // Rejected before any of the body is read.
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let body = timeout_at(deadline, Limited::new(body, MAX_BODY_BYTES).collect()).await;
        let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?.map_err(|e| {
            if e.is::<LengthLimitError>() { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST }
        })?;
        slot.answering();
        let Fields { reference, dest, time_left, key, order } = fields;
        let submission = Submission { reference, class, dest, time_left, key, order, body: body.to_bytes() };
        let (reply, verdict) = oneshot::channel();
        let message = ClientRequest { submission, received_at, reply };
        // The driver has stopped: the process is about to end and has not accepted the message.
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        self.input_tx.send(message.into()).await.map_err(|_| unavailable)?;
        verdict.await.map_err(|_| unavailable)
    }
}

/// Header with the ordering key, any text, for classes that preserve order. Messages without one are not
/// ordered.
const ORDER_KEY: &str = "Req-Order-Key";

struct Fields {
    reference: String,
    dest: u64,
    time_left: Nanos,
    key: Option<Bytes>,
    order: Option<u64>,
}

impl Fields {
    fn read(headers: &HeaderMap) -> Option<Self> {
        // A repeated header is treated as missing.
        let one = |name: &str| {
            let mut all = headers.get_all(name).iter();
            all.next().filter(|_| all.next().is_none())
        };
        let text = |name: &str| one(name)?.to_str().ok();
        let reference = text("Req-Id").filter(|r| !r.is_empty() && r.len() <= 256)?.to_owned();
        let seconds: f64 = text("Req-Deadline")?.trim().parse().ok()?;
        if !(seconds.is_finite() && seconds >= 0.0) {
            return None;
        }
        let time_left = (seconds.min(MAX_DEADLINE_SECS) * 1e9) as Nanos;
        let mut parts = text("X-Addressing")?.split([',', ';', ' ']);
        let dest = parts.find_map(|p| p.trim().strip_prefix("dest="))?.parse().ok()?;
        let key = one("Idempotency-Key").map(|k| Bytes::copy_from_slice(k.as_bytes()));
        if key.is_none() && headers.contains_key("Idempotency-Key") {
            return None;
        }
        if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
            return None;
        }
        // Keys with the same hash only delay each other's messages.
        let order = one(ORDER_KEY).map(|about| xxh3_64(about.as_bytes()));
        if order.is_none() && headers.contains_key(ORDER_KEY) {
            return None;
        }
        Some(Fields { reference, dest, time_left, key, order })
    }
}
