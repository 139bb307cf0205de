//! Client of a line stream: an HTTP response whose body yields lines until either side ends it.

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

/// Why a stream could not be opened.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The server did not answer.
    #[snafu(transparent)]
    Link {
        /// The cause.
        source: link::Error,
    },
    /// The server refused the stream.
    #[snafu(display("status {status}"))]
    Status {
        /// Status of the answer.
        status: StatusCode,
    },
}

/// Options of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamOptions {
    /// Time limit for the response head.
    pub open_timeout: Duration,
    /// Maximum length of a line, without its terminator.
    pub max_line_bytes: usize,
    /// Maximum time without input. Empty lines count as input and are skipped.
    pub idle_timeout: Duration,
}

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StreamEnd {
    /// The server ended it.
    Closed,
    /// The connection broke.
    Broken,
    /// A line was too long.
    TooLong,
    /// No input arrived for too long.
    Silent,
}

/// A stream of lines. Dropping it closes the connection.
pub struct LineStream {
    body: Incoming,
    options: StreamOptions,
    /// Received data that has not been returned.
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that is known to contain no line terminator.
    scanned: usize,
    last_input: Instant,
    ended: Option<StreamEnd>,
    _link: Link,
}

impl LineStream {
    /// Opens a stream with a POST request.
    ///
    /// # Errors
    /// If the stream does not start in time, or the server refuses it.
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
        let (buffer, last_input) = (BytesMut::new(), Instant::now());
        Ok(LineStream {
            body: answer.into_body(),
            options,
            buffer,
            scanned: 0,
            last_input,
            ended: None,
            _link: link,
        })
    }

    /// Returns the next non-empty line without its terminator, or `None` once the stream has ended.
    /// Cancel-safe: no data is lost if the future is dropped.
    pub async fn next_line(&mut self) -> Option<Bytes> {
        while self.ended.is_none() {
            let end = self.buffer[self.scanned..]
                .iter()
                .position(|byte| *byte == b'\n')
                .map(|at| self.scanned + at);
            if end.unwrap_or(self.buffer.len()) > self.options.max_line_bytes {
                self.ended = Some(StreamEnd::TooLong);
            } else if let Some(end) = end {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                self.scanned = 0;
                if !line.is_empty() {
                    return Some(line.freeze());
                }
            } else {
                self.scanned = self.buffer.len();
                self.ended = self.receive().await.err();
            }
        }
        None
    }

    /// Returns why the stream ended, once it has.
    pub fn ended(&self) -> Option<StreamEnd> {
        self.ended
    }

    async fn receive(&mut self) -> Result<(), StreamEnd> {
        let frame = timeout_at(self.last_input + self.options.idle_timeout, self.body.frame()).await;
        let frame =
            frame.map_err(|_| StreamEnd::Silent)?.ok_or(StreamEnd::Closed)?.map_err(|_| StreamEnd::Broken)?;
        self.last_input = Instant::now();
        if let Some(data) = frame.data_ref() {
            self.buffer.extend_from_slice(data);
        }
        Ok(())
    }
}
