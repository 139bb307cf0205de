//! Serves a single HTTP/1.1 connection.

use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for discarding remaining input before a connection is closed. Closing a connection with unread
/// input resets it, and a client that is still sending might then not receive the answer.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are discarded before a connection is closed.
const MAX_DRAIN_BYTES: usize = 4 << 20;

/// Serves a connection until it ends. Once `closing` completes, requests that were already read are still
/// answered; an idle connection is closed at once.
pub async fn serve_one<S>(
    http: &http1::Builder,
    stream: TcpStream,
    service: S,
    closing: impl Future<Output = ()>,
) where
    S: HttpService<Incoming, Error = Infallible> + Unpin,
    S::Future: Unpin,
    S::ResBody: Body + 'static,
    <S::ResBody as Body>::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut served = http.serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = poll_fn(|cx| served.poll_without_shutdown(cx)) => Some(ended),
        () = closing => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut served).graceful_shutdown();
            poll_fn(|cx| served.poll_without_shutdown(cx)).await
        }
    };
    if !ended.is_err_and(|e| e.is_timeout()) {
        drain(served.into_parts().io.into_inner()).await;
    }
}

/// Shuts down the sending side, then discards input until the peer closes or a limit is reached.
async fn drain(mut stream: TcpStream) {
    let discard = async {
        stream.shutdown().await?;
        let (mut buffer, mut read) = ([0; 8 * 1024], 0);
        while read < MAX_DRAIN_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                n => read += n,
            }
        }
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(DRAIN_TIMEOUT, discard).await;
}
