//! The side of the clients: reads what they hand in, and answers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use millpost::api::{Effect, Nanos, Settings};
use millpost_settings::Shape;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::driver::Input;

const LONGEST_BODY: usize = 64 * 1024;
const BODY_WITHIN: Duration = Duration::from_secs(10);
/// A connection that stands idle for so long is closed.
const IDLE: Duration = Duration::from_secs(60);
const LONGEST_KEY: usize = 4096;
/// Headers of one request; guards the memory, with as many connections as there may be.
const LONGEST_HEAD: usize = 32 * 1024;
/// Deadlines are cut to this.
const LONGEST_DEADLINE: f64 = 86_400.0;

/// A message as a client hands it in.
#[derive(Debug)]
pub struct Handed {
    pub reference: String,
    pub class: usize,
    pub dest: u64,
    /// Counted from `came`: the deadline runs from the client's send, also while the body is on its way.
    pub time_left: Nanos,
    pub came: Instant,
    pub key: Option<Bytes>,
    pub body: Bytes,
}

/// What the driver says to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Taken on.
    Taken,
    /// Refused: handing it in again is harmless.
    Refused { wait: Nanos },
}

/// How far the end of the process has come.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    Serving,
    /// Every answer closes its connection.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// No new connections are accepted.
    Closed,
}

#[derive(Clone)]
struct Class {
    name: String,
    keyed: bool,
}

struct Intake {
    classes: Vec<Class>,
    told: mpsc::Sender<Input>,
    phase: watch::Receiver<Phase>,
}

/// Serves clients on `listener`, `most` connections at once, until the phase is `Closed` and every
/// connection has ended.
pub async fn serve(
    listener: TcpListener,
    most: usize,
    settings: &Settings,
    shape: &Shape,
    told: mpsc::Sender<Input>,
    mut phase: watch::Receiver<Phase>,
) {
    let names = shape.class_names.iter().cloned();
    let classes = names
        .zip(&settings.classes)
        .map(|(name, class)| Class { name, keyed: matches!(class.effect, Effect::Keyed { .. }) });
    let intake = Arc::new(Intake { classes: classes.collect(), told, phase: phase.clone() });
    let room = Arc::new(Semaphore::new(most));
    loop {
        let accepted = async {
            // Closed never: the semaphore lives as long as this loop.
            let permit = room.clone().acquire_owned().await.ok();
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            accepted = accepted => accepted,
            _ = phase.wait_for(|p| *p == Phase::Closed) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let intake = intake.clone();
                tokio::spawn(async move {
                    connection(stream, intake).await;
                    drop(permit);
                });
            }
            Err(e) => {
                // Out of descriptors, perhaps: the next try may do better.
                eprintln!("intake: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
    drop(listener);
    let _ = room.acquire_many(most as u32).await;
}

async fn connection(stream: TcpStream, intake: Arc<Intake>) {
    let _ = stream.set_nodelay(true);
    let mut phase = intake.phase.clone();
    let service = service_fn(move |request| {
        let intake = intake.clone();
        async move { Ok::<_, Infallible>(intake.answer(request).await) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE).max_buf_size(LONGEST_HEAD);
    let served = http.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        _ = &mut served => return,
        _ = phase.wait_for(|p| *p >= Phase::Closing) => {}
    }
    // What has been read is answered first; an idle connection is closed at once.
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl Intake {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = match self.take(request).await {
            Ok(Verdict::Taken) => plain(StatusCode::ACCEPTED),
            Ok(Verdict::Refused { wait }) => {
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
        if *self.phase.borrow() >= Phase::Leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Hands a message to the driver. An error is a status of its own.
    async fn take(&self, request: Request<Incoming>) -> Result<Verdict, StatusCode> {
        let (came, (head, body)) = (Instant::now(), request.into_parts());
        let path = head.uri.path();
        if path == "/healthz" {
            let ok = head.method == Method::GET || head.method == Method::HEAD;
            return Err(if ok { StatusCode::OK } else { StatusCode::METHOD_NOT_ALLOWED });
        }
        let name = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.classes.iter().position(|c| c.name == name).ok_or(StatusCode::NOT_FOUND)?;
        if head.method != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let fields = Fields::read(&head.headers).ok_or(StatusCode::BAD_REQUEST)?;
        if self.classes[class].keyed && fields.key.is_none() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let body = timeout(BODY_WITHIN, Limited::new(body, LONGEST_BODY).collect()).await;
        let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?.map_err(|e| {
            if e.is::<LengthLimitError>() { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST }
        })?;
        let Fields { reference, dest, time_left, key } = fields;
        let handed = Handed { reference, class, dest, time_left, came, key, body: body.to_bytes() };
        let (reply, verdict) = oneshot::channel();
        // No driver any more: the process is about to end, and has not taken the message.
        let gone = StatusCode::SERVICE_UNAVAILABLE;
        self.told.send(Input::Handed(handed, reply)).await.map_err(|_| gone)?;
        verdict.await.map_err(|_| gone)
    }
}

struct Fields {
    reference: String,
    dest: u64,
    time_left: Nanos,
    key: Option<Bytes>,
}

impl Fields {
    fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &str| headers.get(name)?.to_str().ok();
        let reference = text("Req-Id").filter(|r| !r.is_empty() && r.len() <= 256)?.to_owned();
        let seconds: f64 = text("Req-Deadline")?.trim().parse().ok()?;
        if !(seconds.is_finite() && seconds >= 0.0) {
            return None;
        }
        let time_left = (seconds.min(LONGEST_DEADLINE) * 1e9) as Nanos;
        let mut parts = text("X-Addressing")?.split([',', ';', ' ']);
        let dest = parts.find_map(|p| p.trim().strip_prefix("dest="))?.parse().ok()?;
        let key = headers.get("Idempotency-Key").map(|k| Bytes::copy_from_slice(k.as_bytes()));
        if key.as_ref().is_some_and(|k| k.is_empty() || k.len() > LONGEST_KEY) {
            return None;
        }
        Some(Fields { reference, dest, time_left, key })
    }
}
