//! Datagrams between dispatchers, of at most 256 bytes: notes of the module, or what the dispatchers share.

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

const LONGEST: usize = 256;
/// The address may still be held by the process before this one.
const AGAIN: Duration = Duration::from_millis(10);

/// A note, and the number of the dispatcher that it came from.
pub struct Note {
    pub from: usize,
    pub bytes: Vec<u8>,
}

/// What reads the datagrams: only notes, or frames of what is shared.
#[derive(Clone)]
pub enum Ear {
    Notes,
    Frames(Arc<Mutex<FrameFilter>>),
}

impl Ear {
    /// What became of the datagrams.
    pub fn sifted(&self) -> FilterStats {
        match self {
            Ear::Notes => FilterStats::default(),
            Ear::Frames(sieve) => sieve.lock().unwrap_or_else(PoisonError::into_inner).stats(),
        }
    }
}

/// The socket to all other dispatchers.
pub struct Peers {
    socket: Arc<OnceLock<UdpSocket>>,
    each: Vec<SocketAddr>,
    all: SocketAddr,
    pub ear: Ear,
}

impl Peers {
    /// Listens, and hands on what comes with the number of its sender. Where the address is held it is asked for again;
    /// until then nothing is sent or heard. The task ends with its handle, and lets go of the address.
    pub fn open<I: From<Note> + From<Frame> + Send + 'static>(
        listen: SocketAddr,
        each: Vec<SocketAddr>,
        all: SocketAddr,
        ear: Ear,
        told: mpsc::Sender<I>,
    ) -> (Self, AbortHandle) {
        let socket = Arc::new(OnceLock::new());
        let peers = Peers { socket: socket.clone(), each: each.clone(), all, ear: ear.clone() };
        let task = tokio::spawn(async move {
            let mut said = false;
            let bound = loop {
                match UdpSocket::bind(listen).await {
                    Ok(bound) => break bound,
                    Err(e) if !said => eprintln!("peers: {listen}: {e}; it is asked for again"),
                    Err(_) => {}
                }
                said = true;
                sleep(AGAIN).await;
            };
            hear(socket.get_or_init(|| bound), &each, &ear, told).await;
        });
        (peers, task.abort_handle())
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Some(socket) = self.socket.get().filter(|_| bytes.len() <= LONGEST) {
            // A datagram may be lost.
            let _ = socket.try_send_to(bytes, to);
        }
    }

    /// To all others.
    pub fn tell(&self, bytes: &[u8]) {
        self.send(bytes, self.all);
    }

    /// To one.
    pub fn tell_one(&self, to: u16, bytes: &[u8]) {
        if let Some(address) = self.each.get(usize::from(to)) {
            self.send(bytes, *address);
        }
    }
}

async fn hear<I: From<Note> + From<Frame>>(
    socket: &UdpSocket,
    each: &[SocketAddr],
    ear: &Ear,
    told: mpsc::Sender<I>,
) {
    let (mut buffer, began) = ([0; LONGEST + 1], Instant::now());
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            // Guards the core: an error that stays would be met again at once.
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (from, bytes) = (each.iter().position(|peer| *peer == sender), &buffer[..length]);
        let input = match ear {
            Ear::Notes => {
                from.filter(|_| length <= LONGEST).map(|from| Note { from, bytes: bytes.to_vec() }.into())
            }
            Ear::Frames(sieve) => {
                let now = began.elapsed().as_nanos() as u64;
                let from = from.and_then(|from| u16::try_from(from).ok());
                let mut sieve = sieve.lock().unwrap_or_else(PoisonError::into_inner);
                sieve.read(now, from, bytes).map(Frame::into)
            }
        };
        if let Some(input) = input {
            // It may be lost: a full queue loses it too.
            let _ = told.try_send(input);
        }
    }
}
