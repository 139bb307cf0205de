//! Clients, and the front that deals their connections out to the dispatchers. Arrivals are open loop: they come when
//! they come, and a latency is counted from the moment that a message was meant to be sent, so that a stall is not
//! hidden by the waiting that it causes.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::audit::{Heard, Recorder, Told};
use crate::plan::Plan;
use crate::scripted::lock;
use crate::service::Effect;
use crate::wire::{Message, Reader, hand_in};

/// Requests on their way at once, at most: beyond it arrivals are dropped here, and counted.
const MOST: usize = 20_000;

/// What clients have seen.
#[derive(Default)]
pub struct Seen {
    /// Arrivals.
    pub offered: AtomicU64,
    /// Messages that were taken on at some try.
    pub taken: AtomicU64,
    /// Tries that were refused.
    pub refused: AtomicU64,
    /// Tries to which no connection came up.
    pub unconnected: AtomicU64,
    /// Tries that were answered too late, oddly or not at all.
    pub unanswered: AtomicU64,
    /// Messages that were not taken on at any try.
    pub given_up: AtomicU64,
    /// Arrivals that were dropped since too many were on their way: the rig's own limit.
    pub dropped: AtomicU64,
    /// Most that an arrival was late, microseconds: the rig's own lag.
    pub lag_us: AtomicU64,
    /// Times from the intended send to the 202, microseconds, since they were last asked for.
    pub latencies: Mutex<Vec<u32>>,
}

/// One dispatcher as the front sees it.
struct Door {
    address: SocketAddr,
    up: AtomicBool,
    /// Its restart was told to the front, which asks after its health only once it is ready again.
    planned: AtomicBool,
    idle: Mutex<Vec<Connection>>,
    /// Connections that clients may have open to it.
    places: Semaphore,
}

struct Connection {
    reader: Reader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    since: Instant,
}

/// The front, and the clients behind it.
pub struct Clients {
    plan: Plan,
    recorder: Recorder,
    doors: Vec<Door>,
    next_door: AtomicUsize,
    next_message: AtomicU64,
    on_the_way: AtomicUsize,
    /// Cumulated shares of classes and of destinations.
    classes: Vec<f64>,
    destinations: Vec<f64>,
    /// What they have seen.
    pub seen: Seen,
}

fn cumulated(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let mut all: Vec<f64> = shares
        .map(|share| {
            sum += share.max(0.0);
            sum
        })
        .collect();
    all.iter_mut().for_each(|s| *s /= sum.max(f64::MIN_POSITIVE));
    all
}

fn draw(cumulated: &[f64], at: f64) -> usize {
    cumulated.partition_point(|s| *s <= at).min(cumulated.len().saturating_sub(1))
}

/// One message, over all its tries.
struct Order {
    origin: u64,
    class: usize,
    dest: u64,
    key: String,
    body: Vec<u8>,
    due: Instant,
    deadline: Instant,
    /// Its latency is one of those that are measured.
    counts: bool,
}

impl Clients {
    /// Clients of a plan whose dispatchers are at these addresses.
    pub fn new(plan: &Plan, recorder: Recorder, dispatchers: &[SocketAddr]) -> Arc<Self> {
        let door = |address: &SocketAddr| Door {
            address: *address,
            up: AtomicBool::new(true),
            planned: AtomicBool::new(false),
            idle: Mutex::default(),
            places: Semaphore::new(plan.load.connections),
        };
        let ranks = (0..plan.partners.destinations).map(|n| (n as f64 + 1.0).powf(-plan.load.skew));
        Arc::new(Clients {
            doors: dispatchers.iter().map(door).collect(),
            next_door: AtomicUsize::new(0),
            next_message: AtomicU64::new(1),
            on_the_way: AtomicUsize::new(0),
            classes: cumulated(plan.service.classes.iter().map(|c| c.share)),
            destinations: cumulated(ranks),
            seen: Seen::default(),
            plan: plan.clone(),
            recorder,
        })
    }

    /// Hands messages in at `rate` a second for so long; ends once each has been answered or given up.
    pub async fn run(self: Arc<Self>, rate: f64, lasts: Duration, seed: u64) {
        let front = tokio::spawn(self.clone().watch_doors());
        let silent = tokio::spawn(self.clone().silent_connections());
        // A thread of its own: the runtime's timer counts whole milliseconds, which would be part of each latency.
        let (this, handle) = (self.clone(), tokio::runtime::Handle::current());
        let paced = tokio::task::spawn_blocking(move || this.pace(rate, lasts, seed, &handle));
        let _ = paced.await;
        while self.on_the_way.load(Ordering::Relaxed) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
        front.abort();
        silent.abort();
    }

    fn pace(self: Arc<Self>, rate: f64, lasts: Duration, seed: u64, handle: &Handle) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (start, mut at) = (Instant::now(), 0.0);
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= lasts.as_secs_f64() {
                return;
            }
            let due = start + Duration::from_secs_f64(at);
            let early = due.saturating_duration_since(Instant::now());
            // The system wakes a sleeper some 60 us late; arrivals that are closer are sent in one go.
            if early > Duration::from_micros(60) {
                std::thread::sleep(early - Duration::from_micros(60));
            }
            let order = self.order(due, at >= self.plan.load.warm_up, &mut rng);
            self.seen.offered.fetch_add(1, Ordering::Relaxed);
            if self.on_the_way.load(Ordering::Relaxed) >= MOST {
                self.seen.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            self.on_the_way.fetch_add(1, Ordering::Relaxed);
            let this = self.clone();
            handle.spawn(async move {
                let late = due.elapsed().as_micros() as u64;
                this.seen.lag_us.fetch_max(late, Ordering::Relaxed);
                this.send(order).await;
                this.on_the_way.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// A dispatcher is about to be restarted as planned: from now on the front deals it no connection, and those that
    /// clients have are used for as long as they stay open.
    pub fn planned(&self, node: usize) {
        self.doors[node].planned.store(true, Ordering::Relaxed);
        self.doors[node].up.store(false, Ordering::Relaxed);
    }

    /// It is ready again.
    pub fn ready(&self, node: usize) {
        lock(&self.doors[node].idle).clear();
        self.doors[node].planned.store(false, Ordering::Relaxed);
        self.doors[node].up.store(true, Ordering::Relaxed);
    }

    fn order(&self, due: Instant, counts: bool, rng: &mut Pcg64Mcg) -> Order {
        let class = draw(&self.classes, rng.random());
        let dest = draw(&self.destinations, rng.random()) as u64;
        let origin = self.next_message.fetch_add(1, Ordering::Relaxed);
        let [least, most] = self.plan.load.body;
        let body = vec![b'm'; rng.random_range(least..=most)];
        let deadline = due + Duration::from_millis(self.plan.service.classes[class].deadline_ms);
        Order { origin, class, dest, key: format!("k{origin:x}"), body, due, deadline, counts }
    }

    /// All tries of one message.
    async fn send(&self, mut order: Order) {
        for attempt in 0..=self.plan.load.retries {
            let now = Instant::now();
            if now >= order.deadline {
                break;
            }
            let reference: Arc<str> = format!("m{:x}-{attempt}", order.origin).into();
            let class = &self.plan.service.classes[order.class];
            let left = order.deadline - now;
            let marks = if attempt > 0 { "Req-Retry: 1\r\n" } else { "" };
            let bytes = hand_in(
                &class.name,
                &reference,
                order.dest,
                left.as_secs_f64(),
                &order.key,
                marks,
                &order.body,
            );
            let heard = Heard::HandedIn {
                reference: reference.clone(),
                origin: order.origin,
                class: order.class,
                dest: order.dest,
                order: class.in_order.then_some(order.dest),
                time_left: left,
            };
            let counts = &self.seen;
            let within = Duration::from_millis(self.plan.load.answer_within_ms);
            let mut pause = Duration::from_millis(100 << attempt.min(4));
            match self.ask(&bytes, heard, within).await {
                (node, Ok(answer)) => {
                    let told = match answer.status() {
                        200 | 202 => Told::Taken,
                        429 | 503 => Told::Refused,
                        _ => Told::Failed,
                    };
                    self.recorder.hear(Heard::Answered { reference, node, told });
                    match told {
                        Told::Taken => {
                            let took = order.due.elapsed().as_micros().min(u128::from(u32::MAX)) as u32;
                            counts.taken.fetch_add(1, Ordering::Relaxed);
                            if order.counts {
                                lock(&counts.latencies).push(took);
                            }
                            return;
                        }
                        Told::Refused => drop(counts.refused.fetch_add(1, Ordering::Relaxed)),
                        _ => drop(counts.unanswered.fetch_add(1, Ordering::Relaxed)),
                    }
                    let wait = answer.header("retry-after").and_then(|w| w.parse::<f64>().ok());
                    if let Some(wait) = wait.filter(|w| w.is_finite() && *w > 0.0) {
                        pause = Duration::from_secs_f64(wait.min(60.0));
                    }
                }
                (_, Err(No::Connection)) => {
                    counts.unconnected.fetch_add(1, Ordering::Relaxed);
                }
                (node, Err(No::Answer { cut })) => {
                    counts.unanswered.fetch_add(1, Ordering::Relaxed);
                    self.recorder.hear(Heard::Answered { reference, node, told: Told::Nothing { cut } });
                    // What the dispatcher does with it counts for nothing: handed in again it is another message.
                    if class.effect == Effect::Unsafe {
                        order.origin = self.next_message.fetch_add(1, Ordering::Relaxed);
                    }
                }
            }
            sleep(pause).await;
        }
        self.seen.given_up.fetch_add(1, Ordering::Relaxed);
    }

    /// One try on an idle connection, or on a new one where none is idle or it closes without a word.
    async fn ask(&self, bytes: &[u8], heard: Heard, within: Duration) -> (usize, Result<Message, No>) {
        let node = self.door();
        let door = &self.doors[node];
        let mut heard = Some(heard);
        let exchange = async {
            // With all connections busy it waits for one, and its latency counts.
            let _place = door.places.acquire().await.map_err(|_| No::Connection)?;
            for fresh in [false, true] {
                let kept = if fresh { None } else { lock(&door.idle).pop() };
                let mut connection = match (kept, fresh) {
                    (Some(kept), _) => kept,
                    (None, false) => continue,
                    (None, true) => Connection::open(door.address).await.map_err(|_| No::Connection)?,
                };
                if let Some(heard) = heard.take() {
                    self.recorder.hear(heard);
                }
                if connection.writer.write_all(bytes).await.is_err() {
                    if fresh { return Err(No::Answer { cut: false }) } else { continue }
                }
                match connection.reader.message().await {
                    Ok(Some(answer)) => {
                        connection.since = Instant::now();
                        let mut idle = lock(&door.idle);
                        if !answer.closes() {
                            idle.push(connection);
                        }
                        return Ok(answer);
                    }
                    // A kept connection that closed as the request crossed: once more on a new one.
                    _ if !fresh => {}
                    _ => return Err(No::Answer { cut: true }),
                }
            }
            Err(No::Connection)
        };
        let done = timeout(within, exchange).await;
        (node, done.unwrap_or(Err(No::Answer { cut: false })))
    }

    /// Health calls for one dispatcher, each on a new connection, evenly spaced over a time.
    pub async fn crowd(&self, node: usize, calls: u32, over: Duration) {
        let address = self.doors[node].address;
        for _ in 0..calls {
            tokio::spawn(timeout(Duration::from_secs(5), healthy(address)));
            sleep(over / calls.max(1)).await;
        }
    }

    /// The next dispatcher in turn among those that the front holds to be up.
    fn door(&self) -> usize {
        let from = self.next_door.fetch_add(1, Ordering::Relaxed);
        let turn = (0..self.doors.len()).map(|n| (from + n) % self.doors.len());
        let up = turn.clone().find(|n| self.doors[*n].up.load(Ordering::Relaxed));
        up.unwrap_or(from % self.doors.len())
    }

    /// The front asks each dispatcher after its health, and notices late what has changed. Idle connections that are
    /// too old go.
    async fn watch_doors(self: Arc<Self>) {
        let late = Duration::from_millis(self.plan.load.front_notices_ms);
        let every = (late / 4).max(Duration::from_millis(20));
        let mut since: Vec<Option<Instant>> = vec![None; self.doors.len()];
        loop {
            sleep(every).await;
            for (door, since) in self.doors.iter().zip(&mut since) {
                let well = timeout(Duration::from_millis(500), healthy(door.address)).await.unwrap_or(false);
                lock(&door.idle).retain(|c| c.since.elapsed() < Duration::from_millis(1_900));
                if door.planned.load(Ordering::Relaxed) || well == door.up.load(Ordering::Relaxed) {
                    *since = None;
                } else if since.get_or_insert_with(Instant::now).elapsed() >= late {
                    door.up.store(well, Ordering::Relaxed);
                    *since = None;
                }
            }
        }
    }

    /// Opens connections that never send a byte, as the plan says; each stays until it is closed.
    async fn silent_connections(self: Arc<Self>) {
        let rate = self.plan.load.silent_per_second;
        if rate <= 0.0 {
            return std::future::pending().await;
        }
        loop {
            for door in &self.doors {
                let address = door.address;
                tokio::spawn(async move {
                    if let Ok(connection) = Connection::open(address).await {
                        let mut reader = connection.reader;
                        let _ = timeout(Duration::from_secs(10), reader.end()).await;
                    }
                });
            }
            sleep(Duration::from_secs_f64(1.0 / rate)).await;
        }
    }
}

/// Why a try brought no answer.
enum No {
    /// No connection came up, and nothing was sent.
    Connection,
    /// None in time, or the connection ended.
    Answer { cut: bool },
}

impl Connection {
    async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, writer) = stream.into_split();
        Ok(Connection { reader: Reader::new(read), writer, since: Instant::now() })
    }
}

async fn healthy(address: SocketAddr) -> bool {
    let Ok(mut connection) = Connection::open(address).await else { return false };
    let asked = connection
        .writer
        .write_all(b"GET /healthz HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
        .await;
    asked.is_ok() && matches!(connection.reader.message().await, Ok(Some(answer)) if answer.status() == 200)
}
