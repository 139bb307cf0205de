//! Watches what passes on a connection: whether the last byte of a request went out, whether anything came that
//! nobody asked for, and what the first line of an answer says, also of one that can't be read any further.
//!
//! A call begins with its last byte. Where it matters that byte is held back for a moment: an endpoint that has given
//! the connection up resets it at the bytes before, and the call is then known not to have run.

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
/// The longest first line that is looked at.
const LONGEST_LINE: usize = 256;

/// How long the last byte is held back: time for a reset to come.
const HOLD: Duration = Duration::from_millis(2);

/// What waits to be read from a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Readable {
    /// Nothing.
    Nothing,
    /// Bytes.
    Something,
    /// The other side has ended or reset the connection.
    End,
}

/// A stream that can tell what waits to be read from it.
pub trait Peek {
    /// What waits at this moment.
    fn waiting(&self) -> Readable;
}

impl Peek for TcpStream {
    /// Asks the socket itself: what the runtime knows of it may be older.
    fn waiting(&self) -> Readable {
        match SockRef::from(self).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Readable::Nothing,
            Ok(1..) => Readable::Something,
            _ => Readable::End,
        }
    }
}

/// How far the writing of one request has come.
#[derive(Clone, Copy, Debug, Default)]
struct Request {
    /// Bytes of the end of the head that were seen in a row.
    matched: usize,
    head_done: bool,
    body_left: usize,
    /// Its last byte is held back.
    proof: bool,
}

/// How far one exchange has come.
#[derive(Debug, Default)]
struct Progress {
    request: Request,
    /// Something of it has been written.
    begun: bool,
    /// Something had come before: the connection can't carry the request.
    stale: bool,
    answer: FirstLine,
    /// Where to count its messages once it has been written whole.
    counted: Option<(MessageCounter, u64)>,
}

/// The first line of the answer, those of 1xx answers ahead passed over.
#[derive(Debug, Default)]
struct FirstLine {
    line: Vec<u8>,
    /// In the head of a 1xx answer: how much of its end was seen in a row.
    ahead: Option<usize>,
    status: Option<u16>,
    /// What there is to know is known.
    done: bool,
}

impl FirstLine {
    /// Whether the first line is over with these bytes.
    fn read(&mut self, bytes: &[u8]) -> bool {
        let before = self.done;
        for byte in bytes {
            match (self.done, &mut self.ahead) {
                (true, _) => break,
                (false, Some(matched)) => {
                    *matched = match *byte {
                        b if b == END_OF_HEAD[*matched] => *matched + 1,
                        b'\r' => 1,
                        _ => 0,
                    };
                    if *matched == END_OF_HEAD.len() {
                        self.ahead = None;
                    }
                }
                (false, None) if *byte == b'\n' => {
                    match status(&self.line) {
                        Some(100..200) => self.ahead = Some(2),
                        status => (self.status, self.done) = (status, true),
                    }
                    self.line.clear();
                }
                (false, None) => {
                    self.line.push(*byte);
                    self.done = self.line.len() > LONGEST_LINE;
                }
            }
        }
        self.done && !before
    }
}

/// The status that a first line tells.
fn status(line: &[u8]) -> Option<u16> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").or(line.strip_prefix(b"HTTP/1.0 "))?;
    let number = rest.split(|b| *b == b' ' || *b == b'\r').next()?;
    std::str::from_utf8(number).ok().filter(|n| n.len() == 3)?.parse().ok()
}

impl Request {
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
    fn done(&self) -> bool {
        self.head_done && self.body_left == 0
    }
    /// These bytes are its last.
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

/// Shared between a connection and its user.
#[derive(Clone, Default)]
pub struct WriteProgress(Arc<Shared>);

/// Messages that were written whole, over all connections.
#[derive(Clone, Debug, Default)]
pub struct MessageCounter(Arc<AtomicU64>);

impl MessageCounter {
    /// So many so far.
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
    /// A request with a body of this length comes next; its last byte is held back where it is to be proven that it
    /// never ran.
    pub fn expect(&self, body: usize, proof: bool, counted: Option<(MessageCounter, u64)>) {
        let request = Request { body_left: body, proof, ..Request::default() };
        *self.progress() = Progress { request, counted, ..Progress::default() };
    }
    /// The last byte of the request has been written.
    pub fn all(&self) -> bool {
        self.progress().request.done()
    }
    /// Nothing of the request was written, since something had come before it.
    pub fn stale(&self) -> bool {
        self.progress().stale
    }
    /// The status in the first line of the answer, once all of that line has come.
    pub fn status(&self) -> Option<u16> {
        self.progress().answer.status
    }
    /// Waits for the first line of the answer.
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

/// A stream on which is watched what passes.
pub struct MonitoredStream<S> {
    stream: S,
    written: WriteProgress,
    /// Runs while a last byte is held back.
    hold: Option<Pin<Box<Sleep>>>,
}

impl<S> MonitoredStream<S> {
    /// Watches `stream`; `written` tells of it.
    pub fn new(stream: S, written: WriteProgress) -> Self {
        MonitoredStream { stream, written, hold: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let came = buf.filled().get(before..).unwrap_or_default();
        if !came.is_empty() && self.written.progress().answer.read(came) {
            self.written.0.answered.notify_waiters();
        }
        read
    }
}

/// Vectored writes are left out: hyper then hands over one buffer.
impl<S: AsyncWrite + Peek + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let (begun, request) = {
            let progress = self.written.progress();
            (progress.begun, progress.request)
        };
        // Guards the request: what has come before it would be taken for its answer.
        if !begun && self.stream.waiting() != Readable::Nothing {
            self.written.progress().stale = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let mut bytes = buf;
        if request.proof && !request.done() && request.ends_with(buf) {
            match buf {
                [_] => {
                    let hold = self.hold.get_or_insert_with(|| Box::pin(sleep(HOLD)));
                    ready!(hold.as_mut().poll(cx));
                    self.hold = None;
                    if self.stream.waiting() == Readable::End {
                        return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
                    }
                }
                [most @ .., _] => bytes = most,
                [] => {}
            }
        }
        let wrote = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = wrote {
            let mut progress = self.written.progress();
            progress.begun |= n > 0;
            progress.request.wrote(&bytes[..n.min(bytes.len())]);
            if progress.request.done()
                && let Some((sent, messages)) = progress.counted.take()
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
    fn the_last_byte_counts_however_the_request_is_cut() {
        let request = b"POST /hook HTTP/1.1\r\nreq-id: a\r\r\n\r\nbo\r\n\r\ndy";
        for cut in 0..request.len() {
            let written = WriteProgress::default();
            written.expect(8, true, None);
            written.progress().request.wrote(&request[..cut]);
            assert!(!written.all(), "cut at {cut}");
            written.progress().request.wrote(&request[cut..]);
            assert!(written.all(), "cut at {cut}");
        }
    }

    #[test]
    fn the_first_line_is_read_however_it_is_cut_and_whatever_follows() {
        let tells = |text: &[u8], cut: usize| {
            let mut first = FirstLine::default();
            let over = [first.read(&text[..cut]), first.read(&text[cut..])];
            assert!(over != [true, true], "told once");
            (first.status, over.contains(&true))
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
            for cut in 0..text.len() {
                assert_eq!(tells(text, cut), expected, "{text:?} cut at {cut}");
            }
        }
        assert_eq!(tells(&[b'x'; 1_000], 300), (None, true));
    }
}
