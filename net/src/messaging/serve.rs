//! A small server of JSON calls.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use socket2::SockRef;
use tinyjson::JsonValue;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::json;
use crate::serving::serve_one;

/// The longest head of a request.
const LONGEST_HEAD: usize = 16 * 1024;

/// What a server puts up with.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest body.
    pub max_body_bytes: usize,
    /// How long a connection may take for the next head, idle time and all.
    pub idle_timeout: Duration,
    /// How long the body may take after the head.
    pub body_timeout: Duration,
    /// Connections at once; beyond it new ones are closed.
    pub max_connections: usize,
    /// How long what was sent may go unacknowledged, or wait for a peer that does not read, before the connection
    /// counts as broken.
    pub ack_timeout: Option<Duration>,
}

/// A request that came in whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path, without the query.
    pub path: String,
    /// What follows the `?`.
    pub query: Option<String>,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Who sent it.
    pub peer: SocketAddr,
}

impl Call {
    /// The body as JSON, where it is.
    pub fn json(&self) -> Option<JsonValue> {
        json(&self.body)
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Content {
    /// All of it.
    Whole(Bytes),
    /// What comes, until the channel ends or the server closes.
    Streamed(mpsc::Receiver<Bytes>),
}

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers; the length is added.
    pub headers: HeaderMap,
    /// Its body.
    pub content: Content,
}

impl Reply {
    /// No body.
    pub fn empty(status: StatusCode) -> Self {
        Reply { status, headers: HeaderMap::new(), content: Content::Whole(Bytes::new()) }
    }

    /// A body that is JSON already.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let reply = Reply { content: Content::Whole(body.into()), ..Reply::empty(status) };
        reply.with(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// A body that is sent piece by piece, each at once, until the channel ends. Its sender learns from the channel that
    /// the peer has gone.
    pub fn streamed(pieces: mpsc::Receiver<Bytes>) -> Self {
        Reply { content: Content::Streamed(pieces), ..Reply::empty(StatusCode::OK) }
    }

    /// With a header, instead of one of that name.
    pub fn with(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}

/// A body on its way.
enum Sending {
    Whole(Option<Bytes>),
    Streamed(mpsc::Receiver<Bytes>, Pin<Box<dyn Future<Output = ()> + Send>>),
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = match &mut *self {
            Sending::Whole(body) => body.take().filter(|body| !body.is_empty()),
            Sending::Streamed(pieces, closing) => match pieces.poll_recv(cx) {
                Poll::Ready(piece) => piece,
                Poll::Pending => {
                    ready!(closing.as_mut().poll(cx));
                    None
                }
            },
        };
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Sending::Whole(body) => body.as_ref().is_none_or(Bytes::is_empty),
            Sending::Streamed(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Sending::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Sending::Streamed(..) => SizeHint::default(),
        }
    }
}

/// Serves until `shutdown` is over: then idle connections are closed, requests at work finished, held streams ended,
/// and it returns. Dropping it closes everything at once.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    shutdown: impl Future<Output = ()>,
) where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let (close, closing) = watch::channel(false);
    let handler = Arc::new(handler);
    let mut connections = JoinSet::new();
    let mut shutdown = std::pin::pin!(shutdown);
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut shutdown => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) if connections.len() < limits.max_connections => {
                connections.spawn(connection(stream, peer, limits, handler.clone(), closing.clone()));
            }
            Ok((_, peer)) => log::debug!("no room for {peer}"),
            Err(e) => {
                // Out of descriptors, perhaps: the next try may do better.
                log::warn!("accept: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
    drop(listener);
    let _ = close.send(true);
    while connections.join_next().await.is_some() {}
}

/// Over once the server closes, or is gone.
async fn closed(mut closing: watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

async fn connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: Arc<H>,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(limits.ack_timeout);
    let until = closed(closing.clone());
    let service = service_fn(move |request| {
        let (handler, closing) = (handler.clone(), closing.clone());
        Box::pin(async move {
            let chunked = Request::headers(&request).contains_key(TRANSFER_ENCODING);
            let mut reply = match take(request, peer, limits).await {
                Ok(call) => handler(call).await,
                Err(status) => Reply::empty(status),
            };
            // Where a body ends may be in doubt: a length beside the chunks is not shown. Nothing follows it then.
            let odd = matches!(reply.status.as_u16(), 400 | 408 | 413);
            if chunked || odd || *closing.borrow() {
                reply = reply.with(CONNECTION, HeaderValue::from_static("close"));
            }
            let mut response = Response::new(match reply.content {
                Content::Whole(body) => Sending::Whole(Some(body)),
                Content::Streamed(pieces) => Sending::Streamed(pieces, Box::pin(closed(closing))),
            });
            (*response.status_mut(), *response.headers_mut()) = (reply.status, reply.headers);
            Ok::<_, Infallible>(response)
        })
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(limits.idle_timeout).max_buf_size(LONGEST_HEAD);
    http.auto_date_header(false);
    serve_one(&http, stream, service, until).await;
}

/// Reads a request to its end. An error is a status of its own.
async fn take(request: Request<Incoming>, peer: SocketAddr, limits: Limits) -> Result<Call, StatusCode> {
    let (head, body) = request.into_parts();
    // Told before any of it is read.
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = timeout(limits.body_timeout, Limited::new(body, limits.max_body_bytes).collect()).await;
    let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?.map_err(|e| {
        if e.is::<LengthLimitError>() { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST }
    })?;
    let path = head.uri.path().to_owned();
    let query = head.uri.query().map(str::to_owned);
    Ok(Call { method: head.method, path, query, headers: head.headers, body: body.to_bytes(), peer })
}
