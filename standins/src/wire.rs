//! HTTP/1.1 messages (RFC 9112) as the stand-ins read and write them: byte by byte where a fault needs it.

use std::io::{self, BufRead, Read};
use std::net::TcpStream;
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncReadExt};

/// The longest head and body that is read; more ends the connection.
const LONGEST_HEAD: usize = 64 * 1024;
const LONGEST_BODY: usize = 64 << 20;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its first line.
    pub line: String,
    /// Its fields, in their order.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte had come.
    pub began: Option<Instant>,
    /// When its last byte had come.
    pub at: Option<Instant>,
    /// On which connection of its server, from 0.
    pub connection: usize,
}

impl Message {
    /// The value of a field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    /// The status in an answer's first line; 0 where there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    /// The other side ends the connection after this.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// The head in these bytes and its length, once all of it is there.
///
/// # Errors
/// `InvalidData` where it can't become one.
pub fn parse_head(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let bad = |e: httparse::Error| io::Error::new(io::ErrorKind::InvalidData, e.to_string());
    let mut fields = [httparse::EMPTY_HEADER; 64];
    let (parsed, line) = if bytes.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut fields);
        let parsed = head.parse(bytes).map_err(bad)?;
        let line = format!(
            "HTTP/1.{} {} {}",
            head.version.unwrap_or(1),
            head.code.unwrap_or(0),
            head.reason.unwrap_or("")
        );
        (parsed, line.trim_end().to_owned())
    } else {
        let mut head = httparse::Request::new(&mut fields);
        let parsed = head.parse(bytes).map_err(bad)?;
        let line = format!(
            "{} {} HTTP/1.{}",
            head.method.unwrap_or(""),
            head.path.unwrap_or(""),
            head.version.unwrap_or(1)
        );
        (parsed, line)
    };
    let httparse::Status::Complete(length) = parsed else {
        return if bytes.len() > LONGEST_HEAD { Err(io::ErrorKind::InvalidData.into()) } else { Ok(None) };
    };
    let headers = fields.iter().take_while(|f| !f.name.is_empty());
    let headers = headers.map(|f| (f.name.to_owned(), String::from_utf8_lossy(f.value).into_owned()));
    Ok(Some((Message { line, headers: headers.collect(), ..Message::default() }, length)))
}

fn body_length(head: &Message) -> io::Result<usize> {
    let length = head.header("content-length").map_or(Ok(0), str::parse);
    length.ok().filter(|l| *l <= LONGEST_BODY).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Reads one request or answer; `None` once the other side has closed, or where nothing of it can be read.
pub fn read(stream: &mut io::BufReader<TcpStream>) -> Option<Message> {
    let (mut head, mut began) = (Vec::new(), None);
    loop {
        let before = head.len();
        stream.read_until(b'\n', &mut head).ok().filter(|n| *n > 0)?;
        began = began.or_else(|| Some(Instant::now()));
        if head.len() > LONGEST_HEAD {
            return None;
        }
        if matches!(&head[before..], b"\r\n" | b"\n") && before > 0 {
            break;
        }
    }
    let (mut message, _) = parse_head(&head).ok()??;
    message.body = vec![0; body_length(&message).ok()?];
    stream.read_exact(&mut message.body).ok()?;
    (message.began, message.at) = (began, Some(Instant::now()));
    Some(message)
}

/// Reads messages from a stream one after another.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader at the start of a stream.
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// The next message; `None` at the stream's end between two.
    ///
    /// # Errors
    /// Those of the stream; `UnexpectedEof` inside a message; `InvalidData` where it can't be read.
    pub async fn message(&mut self) -> io::Result<Option<Message>> {
        let mut began = (!self.buffer.is_empty()).then(Instant::now);
        let (mut message, length) = loop {
            if let Some(found) = if self.buffer.is_empty() { None } else { parse_head(&self.buffer)? } {
                break found;
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            began = began.or_else(|| Some(Instant::now()));
        };
        let whole = length + body_length(&message)?;
        while self.buffer.len() < whole {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[length..whole].to_vec();
        self.buffer.drain(..whole);
        (message.began, message.at) = (began, Some(Instant::now()));
        Ok(Some(message))
    }

    /// Waits until at least this much of the next message has come, or the stream ends.
    ///
    /// # Errors
    /// Those of the stream.
    pub async fn some(&mut self, bytes: usize) -> io::Result<()> {
        while self.buffer.len() < bytes {
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                break;
            }
        }
        Ok(())
    }

    /// Waits for the end of the stream; what still comes is dropped.
    pub async fn end(&mut self) {
        let mut rest = [0; 1024];
        while self.stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
    }
}

/// The bytes of a message that a client hands in.
pub fn request(class: &str, reference: &str, dest: u64, deadline: f64, body: &[u8]) -> Vec<u8> {
    hand_in(class, reference, dest, deadline, &format!("key-{reference}"), "", body)
}

/// The same with a key of its own, and further header lines, each with its end.
pub fn hand_in(
    class: &str,
    reference: &str,
    dest: u64,
    deadline: f64,
    key: &str,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut bytes = format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {reference}\r\nReq-Deadline: {deadline}\r\n\
         Idempotency-Key: {key}\r\nX-Addressing: dest={dest}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
