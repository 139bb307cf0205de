//! Several dispatchers as real processes, with faults between them: partners that count each call with who sent it and
//! when, and that some dispatchers may not reach; a relay with a fault for each ordered pair; loads by dispatcher.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::discovery::{Discovery, line};
use crate::node::{Node, Spec};
use crate::peers::Relay;
use crate::scripted::{Reply, Server, TIMEOUT, answer, lock};
use crate::service::Service;
use crate::wire::{Message, read, request};

/// A call as a partner saw it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Since the fleet began.
    pub at: Duration,
    /// Who sent it.
    pub node: usize,
    /// The endpoint, by its place among all.
    pub endpoint: usize,
    /// What it was about.
    pub reference: String,
    /// How it was answered; 0 where it was not.
    pub status: u16,
}

/// How an endpoint takes calls.
#[derive(Clone, Debug, Default)]
struct Manners {
    /// Dispatchers whose calls end without an answer.
    unreached: Vec<usize>,
    /// Calls are told to come again at this time.
    wait_until: Option<Instant>,
}

struct World {
    began: Instant,
    calls: Mutex<Vec<Call>>,
    manners: Vec<Mutex<Manners>>,
    /// Calls a second that each destination takes, in spans of one second; 0 for no limit.
    limits: Vec<AtomicU64>,
    spans: Vec<Mutex<(u64, u64)>>,
}

impl World {
    fn call(&self, node: usize, endpoint: usize, dest: usize, call: &Message) -> Reply {
        let at = self.began.elapsed();
        let manners = lock(&self.manners[endpoint]).clone();
        let limit = self.limits[dest].load(Ordering::Relaxed);
        let left = manners.wait_until.map(|until| until.saturating_duration_since(Instant::now()));
        let (status, reply) = if manners.unreached.contains(&node) {
            (0, Reply::Raw(b""))
        } else if let Some(left) = left.filter(|left| !left.is_zero()) {
            (429, Reply::Raw(told_to_wait(left).leak()))
        } else if limit > 0 && !self.takes(dest, at, limit) {
            (503, answer("503 Over"))
        } else {
            (200, answer("200 OK"))
        };
        let reference = call.header("Req-Id").unwrap_or_default().to_owned();
        lock(&self.calls).push(Call { at, node, endpoint, reference, status });
        reply
    }

    fn takes(&self, dest: usize, at: Duration, limit: u64) -> bool {
        let mut span = lock(&self.spans[dest]);
        if span.0 != at.as_secs() {
            *span = (at.as_secs(), 0);
        }
        span.1 += 1;
        span.1 <= limit
    }
}

/// The bytes of an answer that asks for a wait. Few of them in a test: they are never freed.
fn told_to_wait(left: Duration) -> Vec<u8> {
    let after = left.as_secs_f64();
    format!("HTTP/1.1 429 Wait\r\nRetry-After: {after:.3}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        .into_bytes()
}

/// What a fleet is made of.
pub struct Shape<'a> {
    /// The dispatchers' program.
    pub program: &'a Path,
    /// For each dispatcher, of how many it takes itself to be one.
    pub of: Vec<usize>,
    /// What they are told.
    pub service: Service,
    /// The operators' settings; `{node}` stands for a dispatcher's number.
    pub settings: &'a str,
    /// Endpoints of each destination, and the calls a second that it takes, which the list tells; 0 for no limit.
    pub destinations: Vec<(usize, u64)>,
    /// All draws come from it.
    pub seed: u64,
    /// They listen for the staff.
    pub console: bool,
}

/// The fleet.
pub struct Fleet {
    /// The dispatchers.
    pub nodes: Vec<Node>,
    /// What is between them.
    pub relay: Relay,
    world: Arc<World>,
    agents: Vec<Discovery>,
    /// By dispatcher: names, addresses and destinations of the endpoints.
    listed: Vec<Vec<(String, SocketAddr, u64)>>,
    next: Arc<AtomicU64>,
}

impl Fleet {
    /// Starts all of it.
    ///
    /// # Panics
    /// Where something can't be started.
    pub fn start(shape: &Shape) -> Self {
        let of = shape.of.len();
        let relay = Relay::seeded(of, shape.seed).expect("a relay");
        let endpoints: Vec<(usize, usize)> = shape
            .destinations
            .iter()
            .enumerate()
            .flat_map(|(d, (n, _))| (0..*n).map(move |e| (d, e)))
            .collect();
        let limits = || shape.destinations.iter().map(|(_, limit)| *limit);
        let world = Arc::new(World {
            began: Instant::now(),
            calls: Mutex::default(),
            manners: endpoints.iter().map(|_| Mutex::default()).collect(),
            limits: limits().map(AtomicU64::new).collect(),
            spans: limits().map(|_| Mutex::default()).collect(),
        });
        let (mut nodes, mut agents, mut listed) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..of {
            let (agent, mut lines, mut own) = (Discovery::start(), Vec::new(), Vec::new());
            for (endpoint, (dest, index)) in endpoints.iter().copied().enumerate() {
                let world = world.clone();
                // An address for each dispatcher: so it is known who calls.
                let server = Server::forgetful(move |_, call| world.call(number, endpoint, dest, call));
                let weight = shape.destinations[dest].1 as f64;
                let (name, dest) = (format!("d{dest}-{index}"), dest as u64);
                lines.push(line(&name, server.address, dest, "in_service", weight));
                own.push((name, server.address, dest));
            }
            nodes.push(Node::launch(&Spec {
                program: shape.program,
                service: &shape.service,
                number,
                of: shape.of[number],
                discovery: agent.server.address,
                known: lines.join(","),
                store: None,
                settings: Some(&shape.settings.replace("{node}", &number.to_string())),
                file_bytes: None,
                peers: Some(&relay),
                log: None,
                console: shape.console,
            }));
            agents.push(agent);
            listed.push(own);
        }
        nodes.iter_mut().for_each(Node::ready);
        Fleet { nodes, relay, world, agents, listed, next: Arc::default() }
    }

    /// The dispatchers' agents of discovery.
    pub fn agents(&self) -> &[Discovery] {
        &self.agents
    }

    /// The list as it stands for a dispatcher, with this weight for each endpoint.
    pub fn lines(&self, node: usize, weight: f64) -> Vec<String> {
        let listed = self.listed[node].iter();
        listed.map(|(name, address, dest)| line(name, *address, *dest, "in_service", weight)).collect()
    }

    /// Since the fleet began.
    pub fn now(&self) -> Duration {
        self.world.began.elapsed()
    }

    /// Calls that partners have seen so far, in their order.
    pub fn calls(&self) -> Vec<Call> {
        let mut calls = lock(&self.world.calls).clone();
        calls.sort_by_key(|call| call.at);
        calls
    }

    /// Calls from these dispatchers end without an answer at an endpoint, from now on.
    pub fn unreached(&self, endpoint: usize, by: &[usize]) {
        lock(&self.world.manners[endpoint]).unreached = by.to_vec();
    }

    /// An endpoint asks for a wait from now on, for so long.
    pub fn waits(&self, endpoint: usize, lasts: Duration) {
        lock(&self.world.manners[endpoint]).wait_until = Some(Instant::now() + lasts);
    }

    /// What a destination takes from now on, whatever the list tells.
    pub fn limit(&self, dest: usize, per_second: u64) {
        self.world.limits[dest].store(per_second, Ordering::Relaxed);
    }

    /// A client hands messages in at a dispatcher, so many a second, until it is dropped. One that does not answer is asked
    /// again on a new connection.
    pub fn load(&self, node: usize, dest: u64, per_second: f64) -> Load {
        let (address, next, stop) =
            (self.nodes[node].address, self.next.clone(), Arc::<AtomicBool>::default());
        let (stopped, counts) = (stop.clone(), Arc::<Handed>::default());
        let handed = counts.clone();
        let thread = std::thread::spawn(move || {
            let (mut connection, began, mut count) = (None::<BufReader<TcpStream>>, Instant::now(), 0.0);
            while !stopped.load(Ordering::Relaxed) {
                let due = Duration::from_secs_f64(count / per_second);
                std::thread::sleep(due.saturating_sub(began.elapsed()).min(Duration::from_millis(20)));
                if began.elapsed() < due {
                    continue;
                }
                // What was not handed in while nobody answered is not made up for.
                count = (count + 1.0).max(began.elapsed().as_secs_f64() * per_second - 1.0);
                let reference = format!("{node}-{}", next.fetch_add(1, Ordering::Relaxed));
                let status =
                    hand_in(&mut connection, address, &request("safe", &reference, dest, 20.0, b"x"));
                match status {
                    Some(202 | 200) => handed.taken.fetch_add(1, Ordering::Relaxed),
                    Some(_) => handed.refused.fetch_add(1, Ordering::Relaxed),
                    None => handed.unanswered.fetch_add(1, Ordering::Relaxed),
                };
            }
        });
        Load { stop, thread: Some(thread), handed: counts }
    }
}

fn hand_in(connection: &mut Option<BufReader<TcpStream>>, address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    if connection.is_none() {
        let stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        *connection = Some(BufReader::new(stream));
    }
    let stream = connection.as_mut()?;
    let answer = stream.get_mut().write_all(bytes).ok().and_then(|()| read(stream));
    if answer.as_ref().is_none_or(Message::closes) {
        *connection = None;
    }
    answer.map(|answer| answer.status())
}

/// Messages by what their client was told.
#[derive(Debug, Default)]
pub struct Handed {
    /// Taken on.
    pub taken: AtomicU64,
    /// Refused.
    pub refused: AtomicU64,
    /// Nothing.
    pub unanswered: AtomicU64,
}

/// A client; it stops when this is dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    /// What it was told.
    pub handed: Arc<Handed>,
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The most calls in any span of this length.
pub fn most_in(calls: &[Call], span: Duration) -> usize {
    let mut first = 0;
    let count = |(last, call): (usize, &Call)| {
        while call.at - calls[first].at >= span {
            first += 1;
        }
        last + 1 - first
    };
    calls.iter().enumerate().map(count).max().unwrap_or(0)
}
