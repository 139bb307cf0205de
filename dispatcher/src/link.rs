//! A kept HTTP/1.1 connection to an endpoint or to discovery. It never sends anything again by itself.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection did not come up.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection was gone before anything of the request was written.
    #[error("not sent")]
    NotSent,
    /// The connection broke, or what came is no answer.
    #[error("no answer: {0}")]
    Broken(hyper::Error),
    /// The answer's body broke or is too long.
    #[error("no whole answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// It took too long.
    #[error("timed out")]
    TimedOut,
}

/// Guards the memory against an answer without end.
const LONGEST_HEAD: usize = 64 * 1024;

pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Link {
    pub async fn open(address: SocketAddr) -> Result<Self, Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut http = http1::Builder::new();
        http.max_buf_size(LONGEST_HEAD);
        let (sender, connection) = http.handshake(TokioIo::new(stream)).await.map_err(Error::Broken)?;
        let task = tokio::spawn(async move {
            // How it ends is told to whoever waits for an answer on it.
            let _ = connection.await;
        });
        Ok(Link { sender, task })
    }

    /// Nothing is out on it and the other side has not closed it.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request, and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(_) => Error::NotSent,
            None => Error::Broken(e.into_error()),
        })
    }

    /// Waits until the connection can carry another request.
    pub async fn rested(&mut self) -> bool {
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

/// A connection to discovery that is opened when it is needed and kept while it works.
pub struct Agent {
    address: SocketAddr,
    link: Option<Link>,
}

const CONNECT: Duration = Duration::from_secs(1);

impl Agent {
    pub fn new(address: SocketAddr) -> Self {
        Agent { address, link: None }
    }

    /// One request and its whole answer. Anything that goes wrong closes the connection.
    pub async fn ask(
        &mut self,
        request: Request<Full<Bytes>>,
        within: Duration,
        longest: usize,
    ) -> Result<(StatusCode, Bytes), Error> {
        let mut link = match self.link.take().filter(Link::usable) {
            Some(link) => link,
            None => timeout(CONNECT, Link::open(self.address)).await.map_err(|_| Error::TimedOut)??,
        };
        let exchange = async {
            let answer = link.send(request).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), longest).collect().await.map_err(Error::Body)?;
            Ok::<_, Error>((status, body.to_bytes()))
        };
        let answer = timeout(within, exchange).await.map_err(|_| Error::TimedOut)??;
        if link.rested().await {
            self.link = Some(link);
        }
        Ok(answer)
    }
}
