//! The reading side of a stream that the other side holds open.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use snafu::Snafu;
use tokio::time::{Instant, timeout, timeout_at};

use super::{OPTIONS, request};
use crate::link::{self, Link};

/// Why there is no stream.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// There is no answer.
    #[snafu(transparent)]
    Link {
        /// Why.
        source: link::Error,
    },
    /// It is refused.
    #[snafu(display("status {status}"))]
    Status {
        /// With this.
        status: StatusCode,
    },
}

/// What holds for a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamOptions {
    /// How long it may take until the stream begins.
    pub open_timeout: Duration,
    /// The longest line, without its end.
    pub max_line_bytes: usize,
    /// How long nothing may come. An empty line, which is passed over, is something.
    pub idle_timeout: Duration,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamEnd {
    /// The other side ended it.
    Closed,
    /// The connection broke.
    Broken,
    /// A line was too long.
    TooLong,
    /// Nothing came for too long.
    Silent,
}

/// A stream of lines. Dropping it closes its connection.
pub struct LineStream {
    body: Incoming,
    options: StreamOptions,
    /// What came and has not been yielded; up to `seen` it holds no end of a line.
    rest: BytesMut,
    seen: usize,
    heard: Instant,
    ended: Option<StreamEnd>,
    _link: Link,
}

impl LineStream {
    /// Asks for a stream with a POST.
    ///
    /// # Errors
    /// Where it does not begin in time, or is refused.
    pub async fn open(
        address: SocketAddr,
        path: &str,
        body: Bytes,
        options: StreamOptions,
    ) -> Result<Self, Error> {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            headers.insert(HOST, host);
        }
        let request = request(Method::POST, path, headers, body)?;
        let opening = async {
            let mut link = Link::open_with(address, OPTIONS).await?;
            let answer = link.send(request, false, None).await?;
            Ok::<_, link::Error>((link, answer))
        };
        let (link, answer) =
            timeout(options.open_timeout, opening).await.map_err(|_| link::Error::TimedOut)??;
        if !answer.status().is_success() {
            return StatusSnafu { status: answer.status() }.fail();
        }
        let (rest, heard) = (BytesMut::new(), Instant::now());
        Ok(LineStream { body: answer.into_body(), options, rest, seen: 0, heard, ended: None, _link: link })
    }

    /// The next line that is not empty, without its end; none once the stream has ended. Nothing is lost where the
    /// wait is given up.
    pub async fn next_line(&mut self) -> Option<Bytes> {
        while self.ended.is_none() {
            let end = self.rest[self.seen..].iter().position(|byte| *byte == b'\n').map(|at| self.seen + at);
            if end.unwrap_or(self.rest.len()) > self.options.max_line_bytes {
                self.ended = Some(StreamEnd::TooLong);
            } else if let Some(end) = end {
                let line = self.rest.split_to(end);
                self.rest.advance(1);
                self.seen = 0;
                if !line.is_empty() {
                    return Some(line.freeze());
                }
            } else {
                self.seen = self.rest.len();
                self.ended = self.more().await.err();
            }
        }
        None
    }

    /// How it ended, once it has.
    pub fn ended(&self) -> Option<StreamEnd> {
        self.ended
    }

    async fn more(&mut self) -> Result<(), StreamEnd> {
        let frame = timeout_at(self.heard + self.options.idle_timeout, self.body.frame()).await;
        let frame =
            frame.map_err(|_| StreamEnd::Silent)?.ok_or(StreamEnd::Closed)?.map_err(|_| StreamEnd::Broken)?;
        self.heard = Instant::now();
        if let Some(data) = frame.data_ref() {
            self.rest.extend_from_slice(data);
        }
        Ok(())
    }
}
