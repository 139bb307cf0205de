//! The datagrams between dispatchers: a relay that carries each to whom it is for, with a fault of its own for each
//! ordered pair, and holds them to the size that the platform allows.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::node::own_address;
use crate::scripted::lock;

/// The longest datagram that the platform carries, bytes.
pub const LONGEST: usize = 256;
/// Datagrams that are kept for being sent again.
const KEPT: usize = 4_096;

/// What happens to datagrams from one dispatcher to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    /// Share of them that is lost; 1 for a path that is cut.
    pub loss: f64,
    /// Share of them that comes twice.
    pub repeated: f64,
    /// They take so long, least and most; a wide span reorders them.
    pub delay: [Duration; 2],
}

impl Path {
    /// Nothing passes.
    pub const CUT: Path = Path { loss: 1.0, repeated: 0.0, delay: [Duration::ZERO; 2] };
}

struct Wire {
    paths: Vec<Path>,
    rng: Pcg64Mcg,
    /// What was carried last, with whom it was from and for, oldest first.
    kept: std::collections::VecDeque<(usize, usize, Vec<u8>)>,
}

/// A datagram that is on its way: when it comes, its number, from, to, the bytes.
type OnTheWay = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

/// The relay. Each dispatcher sends to its peers' addresses here, and hears at an address of its own.
pub struct Relay {
    /// Where each dispatcher hears: its `peer_listen`.
    pub listens: Vec<SocketAddr>,
    /// Where each is reached by the others: everyone's `peers`.
    pub peers: Vec<SocketAddr>,
    /// What is sent here goes to every other dispatcher: everyone's `peers_all`.
    pub all: SocketAddr,
    /// Datagrams carried, and their bytes.
    pub carried: Arc<AtomicU64>,
    /// See there.
    pub bytes: Arc<AtomicU64>,
    /// Datagrams that were too long; they are dropped.
    pub too_long: Arc<AtomicU64>,
    wire: Arc<Mutex<Wire>>,
    doors: Arc<Vec<UdpSocket>>,
    later: mpsc::Sender<OnTheWay>,
}

impl Relay {
    /// A relay among so many dispatchers, with no faults. Its threads end with the process.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn start(dispatchers: usize) -> io::Result<Self> {
        Self::seeded(dispatchers, 1)
    }

    /// The same; what is drawn on the way comes from this seed.
    ///
    /// # Errors
    /// Where no port is free.
    pub fn seeded(dispatchers: usize, seed: u64) -> io::Result<Self> {
        let free = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0));
        // Ports that are free now are the dispatchers' to bind. They are at addresses of their own, so that no other
        // socket, of this relay or of a test beside it, is given one of them meanwhile.
        let own = || UdpSocket::bind((own_address().ip(), 0));
        let held = (0..dispatchers).map(|_| own()).collect::<io::Result<Vec<_>>>()?;
        let listens = held.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        drop(held);
        let doors = (0..dispatchers).map(|_| free()).collect::<io::Result<Vec<_>>>()?;
        let to_all = free()?;
        let peers = doors.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let doors: Arc<Vec<UdpSocket>> = Arc::new(doors);
        let (later, on_the_way) = mpsc::channel();
        let wire = Wire {
            paths: vec![Path::default(); dispatchers * dispatchers],
            rng: Pcg64Mcg::seed_from_u64(seed),
            kept: Default::default(),
        };
        let relay = Relay {
            listens,
            peers,
            all: to_all.local_addr()?,
            carried: Arc::default(),
            bytes: Arc::default(),
            too_long: Arc::default(),
            wire: Arc::new(Mutex::new(wire)),
            doors,
            later,
        };
        relay.deliver(on_the_way);
        // One door for each dispatcher, and the one to all of them.
        for door in (0..dispatchers).map(Some).chain([None]) {
            relay.listen(door, to_all.try_clone()?);
        }
        Ok(relay)
    }

    /// Carries what comes to one door.
    fn listen(&self, door: Option<usize>, to_all: UdpSocket) {
        let (doors, listens, wire) = (self.doors.clone(), self.listens.clone(), self.wire.clone());
        let (too_long, later) = (self.too_long.clone(), self.later.clone());
        std::thread::spawn(move || {
            let (mut datagram, mut number) = ([0; 2_048], 0);
            let socket = door.map_or(&to_all, |to| &doors[to]);
            while let Ok((length, sender)) = socket.recv_from(&mut datagram) {
                if length > LONGEST {
                    too_long.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                // It comes from the sender's address among the peers; nobody else is a peer.
                let Some(from) = listens.iter().position(|a| *a == sender) else { continue };
                let bytes = &datagram[..length];
                for to in (0..listens.len()).filter(|to| door.is_none_or(|d| d == *to) && *to != from) {
                    for at in lock(&wire).fate(from, to, bytes, listens.len()) {
                        number += 1;
                        let _ = later.send(Reverse((at, number, from, to, bytes.to_vec())));
                    }
                }
            }
        });
    }

    /// Sends on what is on its way, each when its time has come.
    fn deliver(&self, on_the_way: mpsc::Receiver<OnTheWay>) {
        let (doors, listens) = (self.doors.clone(), self.listens.clone());
        let (carried, bytes_carried) = (self.carried.clone(), self.bytes.clone());
        std::thread::spawn(move || {
            let mut waiting: BinaryHeap<OnTheWay> = BinaryHeap::new();
            loop {
                let now = Instant::now();
                while waiting.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                    let Some(Reverse((_, _, from, to, bytes))) = waiting.pop() else { break };
                    if doors[from].send_to(&bytes, listens[to]).is_ok() {
                        carried.fetch_add(1, Ordering::Relaxed);
                        bytes_carried.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    }
                }
                let next = waiting.peek().map(|Reverse((at, ..))| at.saturating_duration_since(now));
                match on_the_way.recv_timeout(next.unwrap_or(Duration::from_secs(1))) {
                    Ok(more) => waiting.push(more),
                    Err(mpsc::RecvTimeoutError::Timeout) => {}
                    Err(mpsc::RecvTimeoutError::Disconnected) => return,
                }
            }
        });
    }

    /// What happens from now on from one dispatcher to another.
    pub fn set(&self, from: usize, to: usize, path: Path) {
        lock(&self.wire).paths[from * self.listens.len() + to] = path;
    }

    /// The same between all pairs.
    pub fn set_all(&self, path: Path) {
        lock(&self.wire).paths.fill(path);
    }

    /// Nothing passes between these two sides, in either direction.
    pub fn split(&self, one: &[usize], other: &[usize]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.set(a, b, Path::CUT);
            self.set(b, a, Path::CUT);
        }
    }

    /// All paths are whole again.
    pub fn heal(&self) {
        self.set_all(Path::default());
    }

    /// What was carried last, with whom it was from and for.
    pub fn carried_last(&self) -> Vec<(usize, usize, Vec<u8>)> {
        lock(&self.wire).kept.iter().cloned().collect()
    }

    /// Sends a datagram in the name of a dispatcher.
    ///
    /// # Errors
    /// Where it can't be sent.
    pub fn forge(&self, from: usize, to: usize, bytes: &[u8]) -> io::Result<()> {
        self.doors[from].send_to(bytes, self.listens[to]).map(drop)
    }
}

impl Wire {
    /// When a datagram comes: never, once, or twice.
    fn fate(&mut self, from: usize, to: usize, bytes: &[u8], of: usize) -> Vec<Instant> {
        let path = self.paths[from * of + to];
        if self.rng.random::<f64>() < path.loss {
            return Vec::new();
        }
        if self.kept.len() == KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((from, to, bytes.to_vec()));
        let times = 1 + usize::from(self.rng.random::<f64>() < path.repeated);
        let [least, most] = path.delay;
        let mut delay = || least + most.saturating_sub(least).mul_f64(self.rng.random());
        (0..times).map(|_| Instant::now() + delay()).collect()
    }
}
