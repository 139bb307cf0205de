//! HTTP/1.1 on one connection, on either side: messages with a length, in chunks or up to the end, and what tests ask
//! of a connection between two messages.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::wire::{Message, parse_head};

/// The longest body that is read; more ends the connection.
const LONGEST_BODY: usize = 16 << 20;

/// A connection. Nothing is lost where a wait for a message is given up: it may be waited for again.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// How a body is told apart from what follows it.
enum Body {
    Length(usize),
    Chunked,
    ToTheEnd,
}

fn body_of(head: &Message) -> io::Result<Body> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let coding = head.header("transfer-encoding").map(str::to_ascii_lowercase);
    if coding.is_some_and(|c| c.ends_with("chunked")) {
        return Ok(Body::Chunked);
    }
    if let Some(length) = head.header("content-length") {
        let length = length.trim().parse().ok().filter(|l| *l <= LONGEST_BODY).ok_or_else(bad)?;
        return Ok(Body::Length(length));
    }
    let answer = head.line.starts_with("HTTP/") && !matches!(head.status(), 204 | 304);
    Ok(if answer { Body::ToTheEnd } else { Body::Length(0) })
}

/// The body in these chunks and how many bytes they take, once all of it is there.
fn unchunk(bytes: &[u8]) -> io::Result<Option<(Vec<u8>, usize)>> {
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let line = |from: usize| {
        let end = bytes[from..].windows(2).position(|w| w == b"\r\n")?;
        Some((&bytes[from..from + end], from + end + 2))
    };
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some((size, after)) = line(at) else { return Ok(None) };
        let size = std::str::from_utf8(size).map_err(|_| bad())?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).ok().filter(|s| *s <= LONGEST_BODY).ok_or_else(bad)?;
        if size == 0 {
            // Trailers, up to an empty line.
            let mut at = after;
            while let Some((field, after)) = line(at) {
                if field.is_empty() {
                    return Ok(Some((body, after)));
                }
                at = after;
            }
            return Ok(None);
        }
        let Some(chunk) = bytes.get(after..after + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(bad());
        }
        body.extend_from_slice(&chunk[..size]);
        at = after + size + 2;
    }
}

impl Connection {
    /// One that has come up.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// A new one, if it comes up in time.
    ///
    /// # Errors
    /// Where it does not.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        let stream = timeout(within, TcpStream::connect(address)).await;
        Ok(Self::new(stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?))
    }

    /// The next message, whole; `None` at the end of the connection between two. Interim answers (1xx) are skipped.
    ///
    /// # Errors
    /// Those of the connection; `UnexpectedEof` inside a message; `InvalidData` where it can't be read.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        let mut began = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            let head = if self.buffer.is_empty() { None } else { parse_head(&self.buffer)? };
            let mut to_the_end = false;
            if let Some((mut message, length)) = head {
                let rest = &self.buffer[length..];
                let whole = match body_of(&message)? {
                    _ if (100..200).contains(&message.status()) => {
                        self.buffer.drain(..length);
                        continue;
                    }
                    Body::Length(body) if rest.len() >= body => Some((rest[..body].to_vec(), body)),
                    Body::Length(_) => None,
                    Body::Chunked => unchunk(rest)?,
                    Body::ToTheEnd => {
                        to_the_end = true;
                        None
                    }
                };
                if let Some((body, taken)) = whole {
                    message.body = body;
                    (message.began, message.at) = (began, Some(Instant::now()));
                    self.buffer.drain(..length + taken);
                    return Ok(Some(message));
                }
                if self.buffer.len() > LONGEST_BODY {
                    return Err(io::ErrorKind::InvalidData.into());
                }
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                let Some((mut message, length)) = parse_head(&self.buffer)?.filter(|_| to_the_end) else {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                };
                message.body = self.buffer.split_off(length);
                self.buffer.clear();
                (message.began, message.at) = (began, Some(Instant::now()));
                return Ok(Some(message));
            }
            began = began.or_else(|| Some(Instant::now()));
        }
    }

    /// Writes all of these bytes.
    ///
    /// # Errors
    /// Those of the connection.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for the first byte of the next message; whether one came before the end.
    pub async fn more(&mut self) -> bool {
        !self.buffer.is_empty() || self.stream.read_buf(&mut self.buffer).await.is_ok_and(|n| n > 0)
    }

    /// Waits until the other side is gone; what it sends meanwhile is kept for later.
    pub async fn gone(&mut self) {
        while self.stream.read_buf(&mut self.buffer).await.is_ok_and(|n| n > 0) {}
    }

    /// Between two messages: whether the other side still keeps the connection, and how many bytes have come that
    /// belong to nothing.
    pub fn between(&mut self) -> (bool, usize) {
        let mut bytes = [0; 4_096];
        loop {
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return (false, self.buffer.len()),
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return (true, self.buffer.len()),
                Err(_) => return (false, self.buffer.len()),
            }
        }
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// The bytes of a request.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    chunked: bool,
) -> Vec<u8> {
    let first = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    let bare = body.is_empty() && matches!(method, "GET" | "HEAD" | "DELETE");
    whole(first, fields, body, chunked, bare)
}

/// The bytes of an answer.
pub fn answer(status: u16, fields: &[(&str, &str)], body: &[u8], chunked: bool) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    whole(format!("HTTP/1.1 {status} {reason}\r\n"), fields, body, chunked, false)
}

fn whole(mut head: String, fields: &[(&str, &str)], body: &[u8], chunked: bool, bare: bool) -> Vec<u8> {
    for (name, value) in fields {
        head.extend([name, ": ", value, "\r\n"]);
    }
    if bare {
        head.push_str("\r\n");
        return head.into_bytes();
    }
    if !chunked {
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        return [head.as_bytes(), body].concat();
    }
    head.push_str("Transfer-Encoding: chunked\r\n\r\n");
    let mut bytes = head.into_bytes();
    for piece in body.chunks(1_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// One request on a connection of its own, and its answer within so long.
///
/// # Errors
/// Where no whole answer comes in time.
pub async fn exchange(address: SocketAddr, bytes: &[u8], within: Duration) -> io::Result<Message> {
    let exchange = async {
        let mut connection = Connection::open(address, Duration::from_secs(1)).await?;
        connection.write(bytes).await?;
        connection.message().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(within, exchange).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
