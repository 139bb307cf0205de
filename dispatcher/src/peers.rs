//! Notes between dispatchers: datagrams of at most 256 bytes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::sleep;

const LONGEST: usize = 256;

/// A note, and the number of the dispatcher that it came from.
pub struct Note {
    pub from: usize,
    pub bytes: Vec<u8>,
}

/// Sends notes to all other dispatchers.
pub struct Peers {
    socket: Arc<UdpSocket>,
    all: SocketAddr,
}

impl Peers {
    /// Listens, and hands on each note with the number of its sender.
    pub async fn open<I: From<Note> + Send + 'static>(
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        all: SocketAddr,
        told: mpsc::Sender<I>,
    ) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen).await?);
        let receiver = socket.clone();
        tokio::spawn(async move {
            let mut buffer = [0; LONGEST + 1];
            loop {
                let Ok((length, sender)) = receiver.recv_from(&mut buffer).await else {
                    // Guards the core: an error that stays would be met again at once.
                    sleep(Duration::from_millis(10)).await;
                    continue;
                };
                let Some(from) = peers.iter().position(|p| *p == sender) else { continue };
                if length <= LONGEST {
                    let note = Note { from, bytes: buffer[..length].to_vec() };
                    // A note may be lost: a full queue loses it too.
                    let _ = told.try_send(note.into());
                }
            }
        });
        Ok(Peers { socket, all })
    }

    pub fn tell(&self, bytes: &[u8]) {
        if bytes.len() <= LONGEST {
            // A note may be lost.
            let _ = self.socket.try_send_to(bytes, self.all);
        }
    }
}
