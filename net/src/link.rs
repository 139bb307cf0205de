//! Persistent HTTP/1.1 connections: to endpoints, to discovery, and to processes of the system. A request
//! that may have been executed is never sent again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::meter::{Part, metered};
use crate::write_progress::{MessageCounter, MonitoredStream, Peek, WriteProgress};

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection was closed before any part of the request was written.
    #[error("connection closed before the request was sent")]
    NotSent,
    /// The connection broke before the last byte of the request was written, so that it cannot have been
    /// executed.
    #[error("connection closed before the request was sent completely")]
    Cut,
    /// The connection broke after the request was sent, or the answer is invalid.
    #[error("no valid answer: {0}")]
    Broken(hyper::Error),
    /// The body of the answer is incomplete or too long.
    #[error("cannot read the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The time limit was exceeded.
    #[error("timed out")]
    TimedOut,
    /// The address of the server has changed.
    #[error("the address of the server has changed")]
    Moved,
}

/// Maximum length of an answer's head in bytes, which bounds memory use.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Options of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Time limit for establishing the connection.
    pub connect_timeout: Option<Duration>,
    /// Maximum time for which sent data may remain unacknowledged before the connection is considered broken.
    pub ack_timeout: Option<Duration>,
}

/// A persistent connection.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    written: WriteProgress,
}

/// A complete answer: status, headers and body.
pub type Answer = (StatusCode, HeaderMap, Bytes);

impl Link {
    /// Connects with default options.
    ///
    /// # Errors
    /// If the connection cannot be established.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        Self::open_with(address, Options::default()).await
    }

    /// Connects.
    ///
    /// # Errors
    /// If the connection cannot be established in time.
    pub async fn open_with(address: SocketAddr, options: Options) -> Result<Self, Error> {
        let connecting = TcpStream::connect(address);
        let stream = match options.connect_timeout {
            Some(within) => timeout(within, connecting).await.map_err(|_| Error::TimedOut)??,
            None => connecting.await?,
        };
        stream.set_nodelay(true)?;
        if options.ack_timeout.is_some() {
            SockRef::from(&stream).set_tcp_user_timeout(options.ack_timeout)?;
        }
        Self::over(stream).await
    }

    async fn over(
        stream: impl AsyncRead + AsyncWrite + Peek + Send + Unpin + 'static,
    ) -> Result<Self, Error> {
        let written = WriteProgress::default();
        let stream = MonitoredStream::new(stream, written.clone());
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = http.handshake(TokioIo::new(stream)).await.map_err(Error::Broken)?;
        let task = tokio::spawn(metered(Part::Calls, async move {
            // Errors are reported to the pending request.
            let _ = connection.await;
        }));
        Ok(Link { sender, task, written })
    }

    /// Whether the connection is open and has no pending request.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request, and waits for the head of its answer. With `delay_last_byte` the last byte is delayed
    /// briefly, so that a connection that was closed by the peer shows that the request was not executed.
    /// `on_complete` is a counter and the number of messages to add to it once the request is written
    /// completely.
    ///
    /// # Errors
    /// If no head of an answer arrives.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        delay_last_byte: bool,
        on_complete: Option<(MessageCounter, u64)>,
    ) -> Result<Response<Incoming>, Error> {
        self.written.expect(
            request.body().size_hint().exact().unwrap_or(u64::MAX) as usize,
            delay_last_byte,
            on_complete,
        );
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(_) => Error::NotSent,
            None if self.written.stale() => Error::NotSent,
            None if !self.written.all_written() => Error::Cut,
            None => Error::Broken(e.into_error()),
        })
    }

    /// Whether the last byte of the latest request has been written.
    pub fn all_written(&self) -> bool {
        self.written.all_written()
    }

    /// Returns the status of the latest answer, even if the rest of the answer cannot be parsed.
    pub fn status(&self) -> Option<u16> {
        self.written.status()
    }

    /// Returns the write progress, which tracks the latest request and its answer.
    pub fn written(&self) -> WriteProgress {
        self.written.clone()
    }

    /// Waits until the connection can be reused, and returns whether it can. It cannot if data beyond the
    /// answer was read. Unread data in the socket makes the next request fail with [`Error::NotSent`].
    pub async fn reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Closes the connection, and returns once it is closed.
    pub async fn close(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to one server, opened on demand, one per concurrent request, and kept for reuse.
pub struct Client {
    address: SocketAddr,
    options: Options,
    idle: Mutex<Vec<Link>>,
}

impl Client {
    /// Creates a client. It connects on the first request.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Client { address, options, idle: Mutex::default() }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections.
    pub fn clear(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection.
    fn take_idle(&self) -> Option<Link> {
        let mut idle = self.idle();
        idle.retain(Link::usable);
        idle.pop()
    }

    /// Sends one request, and returns the complete answer, the body of which may have up to `max_body_bytes`.
    /// Any error closes the connection. If an idle connection turns out to be closed before any part of the
    /// request was written, a new one is opened.
    ///
    /// # Errors
    /// If no complete answer arrives in time.
    pub async fn ask(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body_bytes: usize,
    ) -> Result<Answer, Error> {
        let exchange = async {
            if let Some(link) = self.take_idle() {
                match self.exchange(link, request.clone(), max_body_bytes).await {
                    Err(Error::NotSent) => {}
                    answer => return answer,
                }
            }
            self.exchange(Link::open_with(self.address, self.options).await?, request, max_body_bytes).await
        };
        tokio::time::timeout(timeout, exchange).await.map_err(|_| Error::TimedOut)?
    }

    async fn exchange(
        &self,
        mut link: Link,
        mut request: Request<Full<Bytes>>,
        max_body_bytes: usize,
    ) -> Result<Answer, Error> {
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let (head, body) = link.send(request, false, None).await?.into_parts();
        let body = Limited::new(body, max_body_bytes).collect().await.map_err(Error::Body)?;
        if link.reusable().await {
            self.idle().push(link);
        }
        Ok((head.status, head.headers, body.to_bytes()))
    }
}

/// A client for the discovery service, whose address may change at any time. A change cancels the current
/// request, and the next request goes to the new address.
pub struct DiscoveryClient {
    address: watch::Receiver<SocketAddr>,
    client: Client,
}

/// Time limit for connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

fn client(address: SocketAddr) -> Client {
    Client::new(address, Options { connect_timeout: Some(CONNECT_TIMEOUT), ack_timeout: None })
}

impl DiscoveryClient {
    /// Creates a client. It connects on the first request.
    pub fn new(mut address: watch::Receiver<SocketAddr>) -> Self {
        let client = client(*address.borrow_and_update());
        DiscoveryClient { address, client }
    }

    /// Waits until the address changes, and closes connections to the old one.
    pub async fn address_changed(&mut self) {
        if self.address.changed().await.is_err() {
            // The sender is dropped: the address cannot change any more.
            std::future::pending::<()>().await;
        }
        self.client = client(*self.address.borrow_and_update());
    }

    /// Sends one request, and returns status and body of the complete answer. Any error closes the
    /// connection.
    ///
    /// # Errors
    /// If no complete answer arrives in time, or the address changes.
    pub async fn ask(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
        max_body_bytes: usize,
    ) -> Result<(StatusCode, Bytes), Error> {
        if self.address.has_changed().unwrap_or(false) {
            self.address_changed().await;
            return Err(Error::Moved);
        }
        let answer = tokio::select! {
            answer = self.client.ask(request, timeout, max_body_bytes) => answer,
            Ok(()) = self.address.changed() => {
                self.client = client(*self.address.borrow());
                Err(Error::Moved)
            }
        };
        answer.map(|(status, _, body)| (status, body))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::write_progress::Readable;
    use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

    impl Peek for DuplexStream {
        fn readable(&self) -> Readable {
            Readable::Nothing
        }
    }

    /// Sends a request with a long body to a peer that reads `read` bytes of it and then closes the
    /// connection.
    async fn close_after(read: usize) -> Error {
        let (ours, mut theirs) = tokio::io::duplex(16);
        let mut link = Link::over(ours).await.expect("a connection");
        let reader = tokio::spawn(async move {
            let mut bytes = vec![0; read];
            theirs.read_exact(&mut bytes).await.expect("enough bytes");
        });
        let body = Full::new(Bytes::from(vec![b'x'; 1_000]));
        let request = Request::post("/hook").header("Host", "a").body(body).expect("a request");
        let error = link.send(request, true, None).await.expect_err("no answer");
        reader.await.expect("reader finished");
        error
    }

    fn wait<T>(future: impl Future<Output = T>) -> T {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime")
            .block_on(future)
    }

    #[test]
    fn a_request_that_was_not_written_completely_is_reported_as_cut() {
        assert!(matches!(wait(close_after(500)), Error::Cut));
        let whole = "POST /hook HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n".len() + 1_000;
        assert!(matches!(wait(close_after(whole - 1)), Error::Cut));
        assert!(matches!(wait(close_after(whole)), Error::Broken(_)));
    }

    /// An endpoint sends a second answer that nobody requested. The runtime has not polled the socket since
    /// the first one, so that only the socket itself shows the pending data; it must not be taken for the
    /// next answer.
    #[test]
    fn unsolicited_data_in_the_socket_is_not_taken_for_an_answer() {
        use std::io::{Read, Write};
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let request = || Request::post("/hook").header("Host", "a").body(Full::default()).expect("a request");
        let (send_again, sent_again) = (std::sync::mpsc::channel::<()>(), std::sync::mpsc::channel::<()>());
        let (go, sent) = (send_again.1, sent_again.0);
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            // The last byte is sent separately, and may arrive late on a busy machine.
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a request");
                head.push(byte[0]);
            }
            stream.write_all(answer).expect("sent");
            go.recv().expect("signal to send again");
            stream.write_all(answer).expect("sent");
            sent.send(()).expect("receiver is waiting");
            // No byte of the second request may arrive before the connection is closed.
            let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
            stream.read(&mut [0; 4096]).map_or(0, |n| n)
        });
        wait(async {
            let mut link = Link::open(address).await.expect("a connection");
            assert_eq!(link.send(request(), true, None).await.expect("an answer").status(), StatusCode::OK);
            assert!(link.reusable().await && link.usable());
            // There must be no await here, so that the runtime does not poll the socket.
            send_again.0.send(()).expect("receiver is waiting");
            sent_again.1.recv().expect("second answer was sent");
            assert!(matches!(link.send(request(), true, None).await, Err(Error::NotSent)));
            link.close().await;
        });
        assert_eq!(server.join().expect("server finished"), 0);
    }

    /// Data beyond the answer that is read together with it must make the connection unusable.
    #[test]
    fn data_beyond_the_answer_makes_the_connection_unusable() {
        let answers: [&[u8]; 3] = [
            b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n\r\n",
        ];
        for answer in answers {
            let (reusable, error) = wait(async {
                let (ours, mut theirs) = tokio::io::duplex(4096);
                let mut link = Link::over(ours).await.expect("a connection");
                let request =
                    || Request::get("/").header("Host", "a").body(Full::default()).expect("a request");
                let server = async {
                    assert!(theirs.read(&mut [0; 4096]).await.expect("a request") > 0);
                    theirs.write_all(answer).await.expect("sent");
                };
                let (answer, ()) = tokio::join!(link.send(request(), false, None), server);
                answer.expect("an answer").into_body().collect().await.expect("its body");
                let reusable = link.reusable().await;
                (reusable, link.send(request(), false, None).await.expect_err("no answer"))
            });
            assert!(!reusable && matches!(error, Error::NotSent), "{reusable} {error} {answer:?}");
        }
    }
}
