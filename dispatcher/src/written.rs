//! Watches what is written to a connection, so that it is known whether the last byte of a request went out.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// How far the writing of one request has come.
#[derive(Debug, Default)]
struct Progress {
    /// Bytes of the end of the head that were seen in a row.
    matched: usize,
    head_done: bool,
    body_left: usize,
}

impl Progress {
    fn wrote(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first().filter(|_| !self.head_done) {
            self.matched = match *byte {
                b if b == END_OF_HEAD[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            self.head_done = self.matched == END_OF_HEAD.len();
            bytes = rest;
        }
        self.body_left = self.body_left.saturating_sub(bytes.len());
    }
}

/// Shared between a connection and its user.
#[derive(Clone, Default)]
pub struct Written(Arc<Mutex<Progress>>);

impl Written {
    /// A request with a body of this length comes next.
    pub fn expect(&self, body: usize) {
        let fresh = Progress { body_left: body, ..Progress::default() };
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = fresh;
    }
    /// The last byte of the request has been written.
    pub fn all(&self) -> bool {
        let progress = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        progress.head_done && progress.body_left == 0
    }
}

/// A stream whose writes are watched.
pub struct Watched<S> {
    pub stream: S,
    pub written: Written,
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

/// Vectored writes are left out: hyper then hands over one buffer.
impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = wrote {
            let mut progress = self.written.0.lock().unwrap_or_else(PoisonError::into_inner);
            progress.wrote(&buf[..n.min(buf.len())]);
        }
        wrote
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_byte_counts_however_the_request_is_cut() {
        let request = b"POST /hook HTTP/1.1\r\nreq-id: a\r\r\n\r\nbo\r\n\r\ndy";
        for cut in 0..request.len() {
            let written = Written::default();
            written.expect(8);
            written.0.lock().expect("lock").wrote(&request[..cut]);
            assert!(!written.all(), "cut at {cut}");
            written.0.lock().expect("lock").wrote(&request[cut..]);
            assert!(written.all(), "cut at {cut}");
        }
    }
}
