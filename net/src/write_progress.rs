//! Monitors the data on a connection: whether the last byte of a request was written, whether input arrived
//! before the request was sent, and the status line of the answer, even if the rest of the answer cannot be
//! parsed.
//!
//! An endpoint executes a request only after its last byte. On request that byte is delayed briefly: an
//! endpoint that has closed the connection resets it in response to the earlier bytes, and the request is
//! then known not to have been executed.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// Maximum length of a status line; longer ones are not parsed.
const MAX_LINE_LEN: usize = 256;

/// Delay of the last byte, which gives a reset time to arrive.
const LAST_BYTE_DELAY: Duration = Duration::from_millis(2);

/// What can be read from a stream without blocking.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readable {
    /// Nothing.
    Nothing,
    /// At least one byte.
    Something,
    /// The peer has closed or reset the connection.
    End,
}

/// A stream whose input can be inspected without reading it.
pub trait Peek {
    /// Returns what can be read at this moment.
    fn readable(&self) -> Readable;
}

impl Peek for TcpStream {
    /// Queries the socket directly, as the readiness known to the runtime may be outdated.
    fn readable(&self) -> Readable {
        match SockRef::from(self).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Readable::Nothing,
            Ok(1..) => Readable::Something,
            _ => Readable::End,
        }
    }
}

/// Progress of writing one request.
#[derive(Clone, Copy, Debug, Default)]
struct Request {
    /// Number of consecutive bytes of [`END_OF_HEAD`] at the end of the written data.
    matched: usize,
    head_done: bool,
    body_left: usize,
    /// Whether the last byte is delayed.
    delay_last_byte: bool,
}

/// Progress of one exchange.
#[derive(Debug, Default)]
struct Progress {
    request: Request,
    /// Whether any byte of the request has been written.
    begun: bool,
    /// Whether input or the end of the connection preceded the request, which therefore was not sent.
    stale: bool,
    answer: StatusLine,
    /// Counter, and number of messages to add once the request is written completely.
    on_complete: Option<(MessageCounter, u64)>,
}

/// Parser of the answer's status line; 1xx answers are skipped.
#[derive(Debug, Default)]
struct StatusLine {
    line: Vec<u8>,
    /// Within the head of a 1xx answer: the number of consecutive bytes of [`END_OF_HEAD`].
    informational: Option<usize>,
    status: Option<u16>,
    /// Whether the line is complete, or too long.
    done: bool,
}

impl StatusLine {
    /// Processes input. Returns whether it completes the status line.
    fn read(&mut self, bytes: &[u8]) -> bool {
        let before = self.done;
        for byte in bytes {
            match (self.done, &mut self.informational) {
                (true, _) => break,
                (false, Some(matched)) => {
                    *matched = match *byte {
                        b if b == END_OF_HEAD[*matched] => *matched + 1,
                        b'\r' => 1,
                        _ => 0,
                    };
                    if *matched == END_OF_HEAD.len() {
                        self.informational = None;
                    }
                }
                (false, None) if *byte == b'\n' => {
                    match parse_status(&self.line) {
                        Some(100..200) => self.informational = Some(2),
                        status => (self.status, self.done) = (status, true),
                    }
                    self.line.clear();
                }
                (false, None) => {
                    self.line.push(*byte);
                    self.done = self.line.len() > MAX_LINE_LEN;
                }
            }
        }
        self.done && !before
    }
}

/// Parses the status code of a status line.
fn parse_status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").or(line.strip_prefix(b"HTTP/1.0 "))?;
    let number = rest.split(|b| *b == b' ' || *b == b'\r').next()?;
    std::str::from_utf8(number).ok().filter(|n| n.len() == 3)?.parse().ok()
}

impl Request {
    /// Updates the progress after `bytes` were written.
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
    /// Whether the request has been written completely.
    fn done(&self) -> bool {
        self.head_done && self.body_left == 0
    }
    /// Whether these bytes complete the request.
    fn ends_with(mut self, bytes: &[u8]) -> bool {
        self.wrote(bytes);
        self.done()
    }
}

#[derive(Default)]
struct Shared {
    progress: Mutex<Progress>,
    answered: Notify,
}

/// Write progress of a connection, shared between the connection and its user.
#[derive(Clone, Default)]
pub struct WriteProgress(Arc<Shared>);

/// Counter of messages that were written completely, over all connections.
#[derive(Clone, Debug, Default)]
pub struct MessageCounter(Arc<AtomicU64>);

impl MessageCounter {
    /// Returns the current count.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
    fn add(&self, messages: u64) {
        self.0.fetch_add(messages, Ordering::Relaxed);
    }
}

impl WriteProgress {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.0.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Prepares for a request with a body of `body` bytes. With `delay_last_byte` its last byte is delayed,
    /// to detect that the endpoint has closed the connection. `on_complete` is a counter and the number of
    /// messages to add to it once the request is written completely.
    pub fn expect(&self, body: usize, delay_last_byte: bool, on_complete: Option<(MessageCounter, u64)>) {
        let request = Request { body_left: body, delay_last_byte, ..Request::default() };
        *self.progress() = Progress { request, on_complete, ..Progress::default() };
    }
    /// Whether the last byte of the request has been written.
    pub fn all_written(&self) -> bool {
        self.progress().request.done()
    }
    /// Whether the request was not sent because input or the end of the connection preceded it.
    pub fn stale(&self) -> bool {
        self.progress().stale
    }
    /// Returns the status of the answer, once its status line is complete.
    pub fn status(&self) -> Option<u16> {
        self.progress().answer.status
    }
    /// Waits until the status line of the answer is complete.
    pub async fn answered(&self) {
        loop {
            let answered = self.0.answered.notified();
            if self.progress().answer.done {
                return;
            }
            answered.await;
        }
    }
}

/// A stream that tracks the progress of requests and answers.
pub struct MonitoredStream<S> {
    stream: S,
    written: WriteProgress,
    /// Timer that runs while a last byte is delayed.
    delay: Option<Pin<Box<Sleep>>>,
}

impl<S> MonitoredStream<S> {
    /// Wraps `stream`, and records the progress in `written`.
    pub fn new(stream: S, written: WriteProgress) -> Self {
        MonitoredStream { stream, written, delay: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let input = buf.filled().get(before..).unwrap_or_default();
        if !input.is_empty() && self.written.progress().answer.read(input) {
            self.written.0.answered.notify_waiters();
        }
        read
    }
}

/// Vectored writes are not supported, so that hyper passes a single buffer.
impl<S: AsyncWrite + Peek + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let (begun, request) = {
            let progress = self.written.progress();
            (progress.begun, progress.request)
        };
        // Input that arrived before the request would be taken for its answer.
        if !begun && self.stream.readable() != Readable::Nothing {
            self.written.progress().stale = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let mut bytes = buf;
        if request.delay_last_byte && !request.done() && request.ends_with(buf) {
            match buf {
                [_] => {
                    let delay = self.delay.get_or_insert_with(|| Box::pin(sleep(LAST_BYTE_DELAY)));
                    ready!(delay.as_mut().poll(cx));
                    self.delay = None;
                    if self.stream.readable() == Readable::End {
                        return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                    }
                }
                [all_but_last @ .., _] => bytes = all_but_last,
                [] => {}
            }
        }
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = wrote {
            let mut progress = self.written.progress();
            progress.begun |= n > 0;
            progress.request.wrote(&bytes[..n.min(bytes.len())]);
            if progress.request.done()
                && let Some((sent, messages)) = progress.on_complete.take()
            {
                sent.add(messages);
            }
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
    fn a_request_is_complete_only_after_its_last_byte_however_the_writes_are_split() {
        let request = b"POST /hook HTTP/1.1\r\nreq-id: a\r\r\n\r\nbo\r\n\r\ndy";
        for split in 0..request.len() {
            let written = WriteProgress::default();
            written.expect(8, true, None);
            written.progress().request.wrote(&request[..split]);
            assert!(!written.all_written(), "split at {split}");
            written.progress().request.wrote(&request[split..]);
            assert!(written.all_written(), "split at {split}");
        }
    }

    #[test]
    fn the_status_line_is_parsed_however_the_input_is_split_and_whatever_follows() {
        let parse = |text: &[u8], split: usize| {
            let mut first = StatusLine::default();
            let completed = [first.read(&text[..split]), first.read(&text[split..])];
            assert!(completed != [true, true], "completed once");
            (first.status, completed.contains(&true))
        };
        let known: [(&[u8], _); 7] = [
            (b"HTTP/1.1 200 OK\r\nbad head\x00\r\n", (Some(200), true)),
            (b"HTTP/1.1 200\r\n", (Some(200), true)),
            (
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 P\r\na: b\r\n\r\nHTTP/1.1 503 No\r\n",
                (Some(503), true),
            ),
            (b"HTTP/1.1 200 O", (None, false)),
            (b"HTTP/1.1 2000 O\r\n", (None, true)),
            (b"noise\nHTTP/1.1 200 OK\r\n", (None, true)),
            (b"HTTP/1.1 100 Continue\r\n\r\n", (None, false)),
        ];
        for (text, expected) in known {
            for split in 0..text.len() {
                assert_eq!(parse(text, split), expected, "{text:?} split at {split}");
            }
        }
        assert_eq!(parse(&[b'x'; 1_000], 300), (None, true));
    }
}
