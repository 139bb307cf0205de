//! A small HTTP server for JSON calls and line streams.

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

/// Maximum length of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving the next request head, including idle time.
    pub idle_timeout: Duration,
    /// Time limit for receiving the body after the head.
    pub body_timeout: Duration,
    /// Maximum number of open connections; further ones are closed at once.
    pub max_connections: usize,
    /// Maximum time for which sent data may remain unacknowledged, or unsent because the peer does not read,
    /// before the connection is considered broken.
    pub ack_timeout: Option<Duration>,
}

/// A completely received request.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the `?`.
    pub query: Option<String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Address of the client.
    pub peer: SocketAddr,
}

impl Call {
    /// Parses the body as JSON. Returns `None` if it is invalid or nested too deeply.
    pub fn json(&self) -> Option<JsonValue> {
        json(&self.body)
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Content {
    /// The complete body.
    Whole(Bytes),
    /// Pieces that are sent as they arrive, until the channel or the server is closed.
    Streamed(mpsc::Receiver<Bytes>),
}

/// An answer.
#[derive(Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers; `Content-Length` is added.
    pub headers: HeaderMap,
    /// Body.
    pub content: Content,
}

impl Reply {
    /// Creates an answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Reply { status, headers: HeaderMap::new(), content: Content::Whole(Bytes::new()) }
    }

    /// Creates an answer with a body that is already encoded as JSON.
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        let reply = Reply { content: Content::Whole(body.into()), ..Reply::empty(status) };
        reply.with(CONTENT_TYPE, HeaderValue::from_static("application/json"))
    }

    /// Creates an answer whose body is sent piece by piece, without delay, until the channel is closed. The
    /// sender of the channel fails once the peer has disconnected.
    pub fn streamed(pieces: mpsc::Receiver<Bytes>) -> Self {
        Reply { content: Content::Streamed(pieces), ..Reply::empty(StatusCode::OK) }
    }

    /// Sets a header and replaces any previous value.
    pub fn with(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.insert(name, value);
        self
    }
}

/// The body of a response in transmission.
enum ResponseBody {
    Whole(Option<Bytes>),
    Streamed(mpsc::Receiver<Bytes>, Pin<Box<dyn Future<Output = ()> + Send>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = match &mut *self {
            ResponseBody::Whole(body) => body.take().filter(|body| !body.is_empty()),
            ResponseBody::Streamed(pieces, closing) => match pieces.poll_recv(cx) {
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
            ResponseBody::Whole(body) => body.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Streamed(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            ResponseBody::Streamed(..) => SizeHint::default(),
        }
    }
}

/// Serves until `shutdown` completes. Then it closes idle connections, completes requests in progress, ends
/// streams, and returns. Dropping the future closes everything at once.
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
            Ok((_, peer)) => log::debug!("too many connections; connection of {peer} closed"),
            Err(e) => {
                // Possibly out of file descriptors, which may be temporary.
                log::warn!("cannot accept a connection: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
    drop(listener);
    let _ = close.send(true);
    while connections.join_next().await.is_some() {}
}

/// Completes once the server shuts down or is dropped.
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
            let mut reply = match receive(request, peer, limits).await {
                Ok(call) => handler(call).await,
                Err(status) => Reply::empty(status),
            };
            // The end of such a body may be ambiguous: hyper hides a `Content-Length` that was sent in
            // addition to chunks. The connection is therefore not reused.
            let invalid = matches!(reply.status.as_u16(), 400 | 408 | 413);
            if chunked || invalid || *closing.borrow() {
                reply = reply.with(CONNECTION, HeaderValue::from_static("close"));
            }
            let mut response = Response::new(match reply.content {
                Content::Whole(body) => ResponseBody::Whole(Some(body)),
                Content::Streamed(pieces) => ResponseBody::Streamed(pieces, Box::pin(closed(closing))),
            });
            (*response.status_mut(), *response.headers_mut()) = (reply.status, reply.headers);
            Ok::<_, Infallible>(response)
        })
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(limits.idle_timeout).max_buf_size(MAX_HEAD_BYTES);
    http.auto_date_header(false);
    serve_one(&http, stream, service, until).await;
}

/// Receives a complete request. An error is the status to answer with.
async fn receive(request: Request<Incoming>, peer: SocketAddr, limits: Limits) -> Result<Call, StatusCode> {
    let (head, body) = request.into_parts();
    // Rejected by the announced length, before any of the body is read.
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
