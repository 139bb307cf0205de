//! A kept HTTP/1.1 connection: to an endpoint, to discovery, to one of our own processes. It never sends anything again
//! that may have been acted on.

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

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection did not come up.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection was gone before anything of the request was written.
    #[error("not sent")]
    NotSent,
    /// The connection broke before the last byte of the request was written: it can't have been acted on.
    #[error("sent in part")]
    Cut,
    /// The connection broke, or what came is no answer.
    #[error("no answer: {0}")]
    Broken(hyper::Error),
    /// The answer's body broke or is too long.
    #[error("no whole answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// It took too long.
    #[error("timed out")]
    TimedOut,
    /// The other side has a new address.
    #[error("the address has changed")]
    Moved,
}

/// Guards the memory against an answer without end.
const LONGEST_HEAD: usize = 64 * 1024;

/// What a connection is to be like.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// How long it may take to come up.
    pub connect_timeout: Option<Duration>,
    /// How long what was sent may go ack_timeout before the connection counts as broken.
    pub ack_timeout: Option<Duration>,
}

/// A kept connection.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    written: WriteProgress,
}

/// An answer in whole.
pub type Answer = (StatusCode, HeaderMap, Bytes);

impl Link {
    /// Connects.
    ///
    /// # Errors
    /// Where no connection comes up.
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        Self::open_with(address, Options::default()).await
    }

    /// Connects.
    ///
    /// # Errors
    /// Where no connection comes up in time.
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
        http.max_buf_size(LONGEST_HEAD);
        let (sender, connection) = http.handshake(TokioIo::new(stream)).await.map_err(Error::Broken)?;
        let task = tokio::spawn(metered(Part::Calls, async move {
            // How it ends is told to whoever waits for an answer on it.
            let _ = connection.await;
        }));
        Ok(Link { sender, task, written })
    }

    /// Nothing is out on it and the other side has not closed it.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request, and waits for the head of its answer. With `proof` its last byte is held back for a moment,
    /// so that a connection that was given up proves that the request never ran. `counted`: where to count the messages
    /// in it, once it has been written whole.
    ///
    /// # Errors
    /// Where no head of an answer came.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        proof: bool,
        counted: Option<(MessageCounter, u64)>,
    ) -> Result<Response<Incoming>, Error> {
        self.written.expect(request.body().size_hint().exact().unwrap_or(u64::MAX) as usize, proof, counted);
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(_) => Error::NotSent,
            None if self.written.stale() => Error::NotSent,
            None if !self.written.all() => Error::Cut,
            None => Error::Broken(e.into_error()),
        })
    }

    /// The last byte of the latest request has been written.
    pub fn all_written(&self) -> bool {
        self.written.all()
    }

    /// The status in the first line of the latest answer, also of one that can't be read any further.
    pub fn status(&self) -> Option<u16> {
        self.written.status()
    }

    /// What tells of the latest request and its answer, while the link is in use.
    pub fn written(&self) -> WriteProgress {
        self.written.clone()
    }

    /// Waits until the connection can carry another request. It never can where more came than the answer: what was
    /// read of that is known here, and what still waits in the socket when the next request begins makes it
    /// [`Error::NotSent`].
    pub async fn reusable(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Closes the connection; it is closed once this returns.
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

/// Connections to one peer that are opened when they are needed, as many as are in use at once, and kept while they work.
pub struct Client {
    address: SocketAddr,
    options: Options,
    idle: Mutex<Vec<Link>>,
}

impl Client {
    /// Connects to `address`, once it is asked something.
    pub fn new(address: SocketAddr, options: Options) -> Self {
        Client { address, options, idle: Mutex::default() }
    }

    /// Where it connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connections that are not in use.
    pub fn clear(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A kept connection, the one that was in use last.
    fn kept(&self) -> Option<Link> {
        let mut idle = self.idle();
        idle.retain(Link::usable);
        idle.pop()
    }

    /// One request and its whole answer, which may be so long. Anything that goes wrong closes the connection. Where a
    /// kept connection turns out to be closed before anything was written, a new one is opened.
    ///
    /// # Errors
    /// Where no whole answer came in time.
    pub async fn ask(
        &self,
        request: Request<Full<Bytes>>,
        within: Duration,
        longest: usize,
    ) -> Result<Answer, Error> {
        let exchange = async {
            if let Some(link) = self.kept() {
                match self.on(link, request.clone(), longest).await {
                    Err(Error::NotSent) => {}
                    answer => return answer,
                }
            }
            self.on(Link::open_with(self.address, self.options).await?, request, longest).await
        };
        timeout(within, exchange).await.map_err(|_| Error::TimedOut)?
    }

    async fn on(
        &self,
        mut link: Link,
        mut request: Request<Full<Bytes>>,
        longest: usize,
    ) -> Result<Answer, Error> {
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            request.headers_mut().insert(HOST, host);
        }
        let (head, body) = link.send(request, false, None).await?.into_parts();
        let body = Limited::new(body, longest).collect().await.map_err(Error::Body)?;
        if link.reusable().await {
            self.idle().push(link);
        }
        Ok((head.status, head.headers, body.to_bytes()))
    }
}

/// A connection to discovery that is opened when it is needed and kept while it works. Its address may
/// change at any moment: what is under way then ends at once, and the next request goes to the new one.
pub struct DiscoveryClient {
    address: watch::Receiver<SocketAddr>,
    client: Client,
}

const CONNECT: Duration = Duration::from_secs(1);

fn client(address: SocketAddr) -> Client {
    Client::new(address, Options { connect_timeout: Some(CONNECT), ack_timeout: None })
}

impl DiscoveryClient {
    /// Connects to the address of the moment, once it is asked something.
    pub fn new(mut address: watch::Receiver<SocketAddr>) -> Self {
        let client = client(*address.borrow_and_update());
        DiscoveryClient { address, client }
    }

    /// Waits until the address has changed, and closes the connection to the old one.
    pub async fn address_changed(&mut self) {
        if self.address.changed().await.is_err() {
            // Nobody is left who could change it.
            std::future::pending::<()>().await;
        }
        self.client = client(*self.address.borrow_and_update());
    }

    /// One request and its whole answer. Anything that goes wrong closes the connection.
    ///
    /// # Errors
    /// Where no whole answer came.
    pub async fn ask(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
        longest: usize,
    ) -> Result<(StatusCode, Bytes), Error> {
        if self.address.has_changed().unwrap_or(false) {
            self.address_changed().await;
            return Err(Error::Moved);
        }
        let answer = tokio::select! {
            answer = self.client.ask(request, within, longest) => answer,
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
        fn waiting(&self) -> Readable {
            Readable::Nothing
        }
    }

    /// The other side reads so many bytes of a request with a long body, then closes.
    async fn cut_after(read: usize) -> Error {
        let (ours, mut theirs) = tokio::io::duplex(16);
        let mut link = Link::over(ours).await.expect("a connection");
        let reader = tokio::spawn(async move {
            let mut bytes = vec![0; read];
            theirs.read_exact(&mut bytes).await.expect("so many bytes");
        });
        let body = Full::new(Bytes::from(vec![b'x'; 1_000]));
        let request = Request::post("/hook").header("Host", "a").body(body).expect("a request");
        let error = link.send(request, true, None).await.expect_err("no answer");
        reader.await.expect("it read");
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
    fn a_request_that_was_not_written_to_its_end_never_ran() {
        assert!(matches!(wait(cut_after(500)), Error::Cut));
        let whole = "POST /hook HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n".len() + 1_000;
        assert!(matches!(wait(cut_after(whole - 1)), Error::Cut));
        assert!(matches!(wait(cut_after(whole)), Error::Broken(_)));
    }

    /// The runtime has not looked at the socket since the answer: only the socket itself can tell.
    #[test]
    fn what_waits_in_the_socket_answers_no_request() {
        use std::io::{Read, Write};
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let request = || Request::post("/hook").header("Host", "a").body(Full::default()).expect("a request");
        let (copy, copied) = (std::sync::mpsc::channel::<()>(), std::sync::mpsc::channel::<()>());
        let (go, told) = (copy.1, copied.0);
        let server = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            // To its end: its last byte comes by itself, and later on a busy machine.
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a request");
                head.push(byte[0]);
            }
            stream.write_all(answer).expect("sent");
            go.recv().expect("the word");
            stream.write_all(answer).expect("sent");
            told.send(()).expect("it waits");
            // Nothing more of a request comes before the end.
            let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
            stream.read(&mut [0; 4096]).map_or(0, |n| n)
        });
        wait(async {
            let mut link = Link::open(address).await.expect("a connection");
            assert_eq!(link.send(request(), true, None).await.expect("an answer").status(), StatusCode::OK);
            assert!(link.reusable().await && link.usable());
            // No await here, so that the runtime sees nothing of it.
            copy.0.send(()).expect("it waits");
            copied.1.recv().expect("it is sent");
            assert!(matches!(link.send(request(), true, None).await, Err(Error::NotSent)));
            link.close().await;
        });
        assert_eq!(server.join().expect("it ends"), 0);
    }
    /// Bytes that came with the answer are read with it: the connection then is known not to be usable.
    #[test]
    fn what_came_beyond_the_answer_ends_the_connection() {
        let answers: [&[u8]; 3] = [
            b"HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n\r\n",
        ];
        for answer in answers {
            let (rested, error) = wait(async {
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
                let rested = link.reusable().await;
                (rested, link.send(request(), false, None).await.expect_err("no answer"))
            });
            assert!(!rested && matches!(error, Error::NotSent), "{rested} {error} {answer:?}");
        }
    }
}
