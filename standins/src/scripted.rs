//! A plain server whose every answer is a function's, for tests that follow one message through one odd answer.
//! A thread for each connection, so that the function may block. Loads and fault plans are [`crate::partner`]'s.

use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::wire::{Message, read};

/// Ample: no test passes or fails by how fast the machine is.
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until something holds, and gives it.
///
/// # Panics
/// When it never does.
pub fn until<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(began.elapsed() < TIMEOUT, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A lock that outlives a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a request is answered.
pub enum Reply {
    /// Status with further header lines, and a body.
    Answer(&'static str, String),
    /// These bytes, then the end.
    Raw(&'static [u8]),
    /// These bytes; the connection stays open.
    Open(Vec<u8>),
    /// Nothing, for as long as the other side keeps the connection.
    Silent,
}

/// An answer without a body.
pub fn answer(head: &'static str) -> Reply {
    Reply::Answer(head, String::new())
}

/// A plain server: every request is kept, and answered as the handler says.
#[derive(Clone)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// What has come, in its order.
    pub heard: Arc<Mutex<Vec<Message>>>,
    /// Connections that have ended.
    pub closed: Arc<Mutex<Vec<usize>>>,
    keeps: bool,
}

impl Server {
    /// Starts one on a free port of loopback. The handler is given the number of the request and the request.
    ///
    /// # Panics
    /// Where no port is free.
    pub fn start(handler: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::begin(true, handler)
    }

    /// The same without keeping what comes, for long runs.
    pub fn forgetful(handler: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        Self::begin(false, handler)
    }

    fn begin(keeps: bool, handler: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Server { address, heard: Arc::default(), closed: Arc::default(), keeps };
        let (this, handler) = (server.clone(), Arc::new(handler));
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (Ok(stream), this, handler) = (stream, this.clone(), handler.clone()) else { continue };
                std::thread::spawn(move || {
                    this.serve(connection, stream, &*handler);
                    lock(&this.closed).push(connection);
                });
            }
        });
        server
    }

    fn serve(&self, connection: usize, stream: TcpStream, handler: &dyn Fn(usize, &Message) -> Reply) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(mut message) = read(&mut reader) {
            message.connection = connection;
            let number = {
                let mut heard = lock(&self.heard);
                if self.keeps {
                    heard.push(message.clone());
                }
                heard.len().saturating_sub(1)
            };
            let sent = match handler(number, &message) {
                Reply::Answer(head, body) => {
                    let length = body.len();
                    let whole = format!("HTTP/1.1 {head}\r\nContent-Length: {length}\r\n\r\n{body}");
                    writer.write_all(whole.as_bytes())
                }
                Reply::Raw(bytes) => {
                    let _ = writer.write_all(bytes);
                    return;
                }
                Reply::Open(bytes) => writer.write_all(&bytes),
                Reply::Silent => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// How many requests have come.
    pub fn count(&self) -> usize {
        lock(&self.heard).len()
    }
    /// The request of this number, once it has come.
    pub fn message(&self, number: usize) -> Message {
        until("a request comes", || lock(&self.heard).get(number).cloned())
    }
}

/// An endpoint that gives the same answer to every call.
pub fn endpoint(head: &'static str) -> Server {
    Server::start(move |_, _| answer(head))
}
