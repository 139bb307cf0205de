//! Messages between the processes of the system: JSON over HTTP/1.1, without unused headers.
//!
//! An [`Outbox`] sends batches of messages that need no answer; a [`Client`] or [`call`] sends a request and
//! returns the answer; a [`LineStream`] yields lines until either side ends it. [`serve`] is the server for
//! all three.

mod incarnation;
mod line_stream;
mod outbox;
mod serve;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Method, Request};
use tinyjson::JsonValue;

use crate::link::{Answer, Client, Error, Options};

pub use incarnation::Incarnation;
pub use line_stream::{Error as LineStreamError, LineStream, StreamEnd, StreamOptions};
pub use outbox::{Event, Outbox, OutboxLimits, OutboxTarget, PushError};
pub use serve::{Call, Content, Limits, Reply, serve};

/// Options of connections between the processes of the system.
pub const OPTIONS: Options = Options {
    connect_timeout: Some(Duration::from_millis(300)),
    ack_timeout: Some(Duration::from_millis(1_500)),
};

/// Maximum nesting depth of a JSON value. Parsing and dropping are recursive, so that deeper values could
/// overflow the stack.
const MAX_DEPTH: usize = 64;

/// Parses a JSON value. Returns `None` if it is invalid or nested too deeply.
pub fn json(bytes: &[u8]) -> Option<JsonValue> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (mut depth, mut quoted, mut escaped) = (0_usize, false, false);
    for byte in text.bytes() {
        match (quoted, byte) {
            _ if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (_, b'"') => quoted = !quoted,
            (false, b'[' | b'{') => depth += 1,
            (false, b']' | b'}') => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return None;
        }
    }
    text.parse().ok()
}

/// Builds a request. The connection adds `Host` and `Content-Length`.
fn request(
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, Error> {
    let uri = path.parse::<hyper::Uri>().map_err(|e| Error::Body(e.into()))?;
    let mut request = Request::new(Full::new(body));
    (*request.method_mut(), *request.uri_mut(), *request.headers_mut()) = (method, uri, headers);
    Ok(request)
}

/// Sends one request on a new connection, and returns the complete answer, the body of which may have up to
/// `max_body_bytes`.
///
/// # Errors
/// If no complete answer arrives in time.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<Answer, Error> {
    Client::new(address, OPTIONS).call(method, path, headers, body, timeout, max_body_bytes).await
}

impl Client {
    /// Sends one request, and returns the complete answer, the body of which may have up to `max_body_bytes`.
    /// See [`Client::ask`].
    ///
    /// # Errors
    /// If no complete answer arrives in time.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout: Duration,
        max_body_bytes: usize,
    ) -> Result<Answer, Error> {
        self.ask(request(method, path, headers, body)?, timeout, max_body_bytes).await
    }
}

#[cfg(test)]
mod tests;
