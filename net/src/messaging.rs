//! Messages between our own processes: JSON over HTTP/1.1, with no header that nobody reads.
//!
//! Three ways: a [`Outbox`] sends notes that need no answer, many in one request; a [`Client`] or
//! [`call`] asks and gets an answer; a [`LineStream`] stream yields lines for as long as both sides live. [`serve`] is the
//! other side of all three.

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

/// What connections between our processes are like.
pub const OPTIONS: Options = Options {
    connect_timeout: Some(Duration::from_millis(300)),
    ack_timeout: Some(Duration::from_millis(1_500)),
};

/// The deepest value that is read. Guards the stack: reading and dropping one goes as deep as it does.
const DEEPEST: usize = 64;

/// A JSON value, unless it is none or lies deeper than any of ours.
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
        if depth > DEEPEST {
            return None;
        }
    }
    text.parse().ok()
}

/// A request to one of our processes. The connection adds `Host` and the length.
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

/// One request on a connection of its own, and its whole answer, which may be so long.
///
/// # Errors
/// Where no whole answer came in time.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Bytes,
    within: Duration,
    longest: usize,
) -> Result<Answer, Error> {
    Client::new(address, OPTIONS).call(method, path, headers, body, within, longest).await
}

impl Client {
    /// One request and its whole answer, which may be so long; see [`Client::ask`].
    ///
    /// # Errors
    /// Where no whole answer came in time.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        within: Duration,
        longest: usize,
    ) -> Result<Answer, Error> {
        self.ask(request(method, path, headers, body)?, within, longest).await
    }
}

#[cfg(test)]
mod tests;
