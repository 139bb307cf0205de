//! The datagrams between dispatchers: a relay that carries each to all the others, late or not at all, and holds
//! them to the size that the platform allows.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The longest datagram that the platform carries, bytes.
pub const LONGEST: usize = 256;

/// The relay. Each dispatcher sends to its peers' addresses here, and hears at an address of its own.
pub struct Relay {
    /// Where each dispatcher hears: its `peer_listen`.
    pub listens: Vec<SocketAddr>,
    /// Where each is reached by the others: everyone's `peers`.
    pub peers: Vec<SocketAddr>,
    /// What is sent here goes to every other dispatcher: everyone's `peers_all`.
    pub all: SocketAddr,
    /// Datagrams carried.
    pub carried: Arc<AtomicU64>,
    /// Datagrams that were too long; they are dropped.
    pub too_long: Arc<AtomicU64>,
    /// While set, nothing is carried.
    pub cut: Arc<AtomicBool>,
}

impl Relay {
    /// A relay among so many dispatchers. Its threads end with the process.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn start(dispatchers: usize) -> io::Result<Self> {
        let free = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
        // Ports that are free now are the dispatchers' to bind.
        let held = (0..dispatchers).map(|_| free()).collect::<io::Result<Vec<_>>>()?;
        let listens = held.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        drop(held);
        let doors = (0..dispatchers).map(|_| free()).collect::<io::Result<Vec<_>>>()?;
        let to_all = free()?;
        let peers = doors.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let relay = Relay {
            listens: listens.clone(),
            peers,
            all: to_all.local_addr()?,
            carried: Arc::default(),
            too_long: Arc::default(),
            cut: Arc::default(),
        };
        let doors: Arc<Vec<UdpSocket>> = Arc::new(doors);
        // One door for each dispatcher, and the one to all of them.
        for door in (0..dispatchers).map(Some).chain([None]) {
            let (doors, listens) = (doors.clone(), listens.clone());
            let (carried, too_long, cut) = (relay.carried.clone(), relay.too_long.clone(), relay.cut.clone());
            let to_all = to_all.try_clone()?;
            std::thread::spawn(move || {
                let mut datagram = [0; 2_048];
                let socket = door.map_or(&to_all, |to| &doors[to]);
                while let Ok((length, sender)) = socket.recv_from(&mut datagram) {
                    if length > LONGEST {
                        too_long.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    // It comes from the sender's address among the peers; nobody else is a peer.
                    let Some(from) = listens.iter().position(|a| *a == sender) else { continue };
                    let others = (0..listens.len()).filter(|to| door.is_none_or(|d| d == *to) && *to != from);
                    for to in others.filter(|_| !cut.load(Ordering::Relaxed)) {
                        if doors[from].send_to(&datagram[..length], listens[to]).is_ok() {
                            carried.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            });
        }
        Ok(relay)
    }
}
