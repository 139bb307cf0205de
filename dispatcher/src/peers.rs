//! Datagrams between dispatchers, of at most 256 bytes: messages of the decision module, or frames of shared
//! state.

pub mod sharing;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use millpost_tier::frame::Frame;
use millpost_tier::frame_filter::{FilterStats, FrameFilter};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

const MAX_DATAGRAM: usize = 256;
/// Delay between attempts to bind the address, which the predecessor may still hold.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A message of the decision module, and the number of the dispatcher that sent it.
pub struct PeerMessage {
    pub from: usize,
    pub bytes: Vec<u8>,
}

/// How received datagrams are decoded.
#[derive(Clone)]
pub enum DatagramReader {
    /// As messages of the decision module.
    Messages,
    /// As frames of shared state, filtered by the sieve.
    Frames(Arc<Mutex<FrameFilter>>),
}

impl DatagramReader {
    /// Counts of accepted and rejected datagrams.
    pub fn counts(&self) -> FilterStats {
        match self {
            DatagramReader::Messages => FilterStats::default(),
            DatagramReader::Frames(sieve) => sieve.lock().unwrap_or_else(PoisonError::into_inner).stats(),
        }
    }
}

/// The UDP socket for communication with all other dispatchers.
pub struct Peers {
    socket: Arc<OnceLock<UdpSocket>>,
    each: Vec<SocketAddr>,
    all: SocketAddr,
    pub reader: DatagramReader,
}

impl Peers {
    /// Listens for datagrams and forwards them with the number of their sender. If the address is in use,
    /// retries until it can be bound; until then nothing is sent or received. Aborting the returned task
    /// releases the address.
    pub fn open<I: From<PeerMessage> + From<Frame> + Send + 'static>(
        listen: SocketAddr,
        each: Vec<SocketAddr>,
        all: SocketAddr,
        reader: DatagramReader,
        input_tx: mpsc::Sender<I>,
    ) -> (Self, AbortHandle) {
        let socket = Arc::new(OnceLock::new());
        let peers = Peers { socket: socket.clone(), each: each.clone(), all, reader: reader.clone() };
        let task = tokio::spawn(async move {
            let mut logged = false;
            let bound = loop {
                match UdpSocket::bind(listen).await {
                    Ok(bound) => break bound,
                    Err(e) if !logged => eprintln!("peers: cannot bind {listen}: {e}; retrying"),
                    Err(_) => {}
                }
                logged = true;
                sleep(BIND_RETRY_DELAY).await;
            };
            receive(socket.get_or_init(|| bound), &each, &reader, input_tx).await;
        });
        (peers, task.abort_handle())
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(socket) = self.socket.get().filter(|_| bytes.len() <= MAX_DATAGRAM) {
            // Datagrams are sent on a best-effort basis.
            let _ = socket.try_send_to(bytes, to);
        }
    }

    /// Sends to all other dispatchers.
    pub fn broadcast(&self, bytes: &[u8]) {
        self.send(bytes, self.all);
    }

    /// Sends to one dispatcher, by its number.
    pub fn send_to(&self, to: u16, bytes: &[u8]) {
        if let Some(address) = self.each.get(usize::from(to)) {
            self.send(bytes, *address);
        }
    }
}

async fn receive<I: From<PeerMessage> + From<Frame>>(
    socket: &UdpSocket,
    each: &[SocketAddr],
    reader: &DatagramReader,
    input_tx: mpsc::Sender<I>,
) {
    let (mut buffer, began) = ([0; MAX_DATAGRAM + 1], Instant::now());
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // Avoids a busy loop if the error persists.
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (from, bytes) = (each.iter().position(|peer| *peer == sender), &buffer[..length]);
        let input = match reader {
            DatagramReader::Messages => from
                .filter(|_| length <= MAX_DATAGRAM)
                .map(|from| PeerMessage { from, bytes: bytes.to_vec() }.into()),
            DatagramReader::Frames(sieve) => {
                let now = began.elapsed().as_nanos() as u64;
                let from = from.and_then(|from| u16::try_from(from).ok());
                let mut sieve = sieve.lock().unwrap_or_else(PoisonError::into_inner);
                sieve.read(now, from, bytes).map(Frame::into)
            }
        };
        if let Some(input) = input {
            // Datagrams may be lost anyway, so one that does not fit into the queue is dropped.
            let _ = input_tx.try_send(input);
        }
    }
}
