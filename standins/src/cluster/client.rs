//! Clients, and the platform's front that deals their connections out, as the users' page says.
//!
//! One thing is not as there: loopback takes in what a process that hangs has not read, so a client can't see that a
//! request has not been read, and waits for its whole time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{sleep, sleep_until, timeout};

use crate::cluster::auditor::{Asked, Auditor, ClientAnswer, digest, promises};
use crate::cluster::function::attempt_id;
use crate::cluster::message::{Connection, exchange, request};
use crate::cluster::settings::{Class, Deployment, Kind, Route};
use crate::scripted::lock;
use crate::wire::Message;

/// For a connection to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// Further tries of one request, at most.
const FURTHER: usize = 4;

/// A dispatcher as the front sees it.
pub struct Door {
    /// Where clients come in.
    pub front: SocketAddr,
    /// Where it is asked whether it is ready.
    pub readiness: SocketAddr,
    /// Where it stands.
    pub zone: String,
    /// It gets new connections.
    up: AtomicBool,
    missed: AtomicU32,
    kept: Mutex<Vec<Kept>>,
}

struct Kept {
    connection: Connection,
    until: Instant,
}

impl Door {
    /// One that is taken to be up.
    pub fn new(front: SocketAddr, readiness: SocketAddr, zone: &str) -> Self {
        let (up, missed) = (AtomicBool::new(true), AtomicU32::new(0));
        Door { front, readiness, zone: zone.to_owned(), up, missed, kept: Mutex::default() }
    }
}

/// A request, over all its tries.
#[derive(Clone, Debug)]
pub struct Order {
    /// Method, host and path.
    pub method: String,
    /// See there.
    pub host: String,
    /// See there.
    pub path: String,
    /// Its body.
    pub body: Vec<u8>,
    /// It may not be repeated.
    pub mutating: bool,
    /// The client waits for so long.
    pub deadline: Duration,
    /// Full worth within.
    pub aim: Duration,
    /// The body is sent in chunks.
    pub chunked: bool,
    /// A kept connection is used where there is one.
    pub keeps: bool,
    /// Tries beyond the first, at most.
    pub further: usize,
}

impl Order {
    /// A request on a route: a GET where it may be repeated, else a POST of 100 bytes.
    pub fn on(route: &Route) -> Self {
        let mutating = route.traffic_kind == Kind::Mutating;
        Order {
            method: if mutating { "POST" } else { "GET" }.to_owned(),
            host: route.host.clone(),
            path: format!("{}2f?q=1", route.path_prefix),
            body: if mutating { vec![b'b'; 100] } else { Vec::new() },
            mutating,
            deadline: Duration::from_millis(route.deadline_ms),
            aim: Duration::from_millis(route.target_latency_ms),
            chunked: false,
            keeps: true,
            further: FURTHER,
        }
    }
}

/// One try of a request.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its id.
    pub id: Arc<str>,
    /// The door that it came to.
    pub door: usize,
    /// Its status; 0 where there was no whole answer.
    pub status: u16,
    /// When it was over, since the request's first try.
    pub over: Duration,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its tries.
    pub tries: Vec<Try>,
    /// The last answer.
    pub answer: Option<Message>,
    /// Since its first try.
    pub took: Duration,
}

impl Outcome {
    /// The last try's status.
    pub fn status(&self) -> u16 {
        self.tries.last().map_or(0, |t| t.status)
    }
    /// It was served.
    pub fn served(&self) -> bool {
        (200..300).contains(&self.status())
    }
}

/// What clients have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests.
    pub offered: AtomicU64,
    /// Served.
    pub served: AtomicU64,
    /// Served within their aim.
    pub in_aim: AtomicU64,
    /// Refused in the end.
    pub refused: AtomicU64,
    /// Otherwise without success in the end.
    pub failed: AtomicU64,
    /// Tries beyond the first.
    pub further: AtomicU64,
    /// Times to success, microseconds.
    pub latencies: Mutex<Vec<u32>>,
}

impl Seen {
    /// The time to success that this share of the requests stayed within; zero where none was served.
    pub fn within(&self, share: f64) -> Duration {
        let mut all = lock(&self.latencies).clone();
        all.sort_unstable();
        let at = ((all.len() as f64 * share).ceil() as usize).clamp(1, all.len().max(1)) - 1;
        Duration::from_micros(all.get(at).copied().unwrap_or(0).into())
    }

    /// Share of the requests that were served.
    pub fn served_share(&self) -> f64 {
        let of = |n: &AtomicU64| n.load(Ordering::Relaxed) as f64;
        of(&self.served) / of(&self.offered).max(1.0)
    }
}

/// How a try ended without an answer.
enum No {
    /// Nothing was sent: no connection came up.
    Connection,
    /// It may have been read.
    Answer,
}

/// The clients and the front before the dispatchers.
pub struct Clients {
    /// The dispatchers.
    pub doors: Vec<Door>,
    /// What was seen.
    pub seen: Seen,
    auditor: Auditor,
    zones: Vec<String>,
    on_the_way: AtomicUsize,
}

impl Clients {
    /// Clients of these dispatchers.
    pub fn new(auditor: Auditor, doors: Vec<Door>) -> Arc<Self> {
        let mut zones: Vec<String> = doors.iter().map(|d| d.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        let (seen, on_the_way) = (Seen::default(), AtomicUsize::new(0));
        Arc::new(Clients { doors, seen, auditor, zones, on_the_way })
    }

    /// Clients of a deployment's edge machines.
    pub fn of(auditor: Auditor, deployment: &Deployment) -> Arc<Self> {
        let edges = deployment.of(Class::Edge).into_iter().map(|n| &deployment.machines[n]);
        Self::new(auditor, edges.map(|m| Door::new(m.front(), m.readiness(), &m.zone)).collect())
    }

    /// Asks each dispatcher every second whether it is ready; never ends.
    pub async fn watch(self: Arc<Self>) {
        loop {
            for n in 0..self.doors.len() {
                let this = self.clone();
                tokio::spawn(async move {
                    let door = &this.doors[n];
                    let ready = this.is_ready(n).await;
                    let missed = if ready { 0 } else { door.missed.load(Ordering::Relaxed) + 1 };
                    door.missed.store(missed, Ordering::Relaxed);
                    if missed == 0 || missed >= 2 {
                        door.up.store(missed == 0, Ordering::Relaxed);
                    }
                });
            }
            sleep(Duration::from_secs(1)).await;
        }
    }

    /// Whether a dispatcher calls itself ready now.
    pub async fn is_ready(&self, door: usize) -> bool {
        let bytes = request("GET", "x", "/readiness", &[("Connection", "close")], b"", false);
        let answer = exchange(self.doors[door].readiness, &bytes, Duration::from_millis(900)).await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// The dispatchers that get new connections now.
    pub fn up(&self) -> Vec<usize> {
        (0..self.doors.len()).filter(|n| self.doors[*n].up.load(Ordering::Relaxed)).collect()
    }

    /// Who is told of what clients see.
    pub fn auditor(&self) -> &Auditor {
        &self.auditor
    }

    /// The door for a client's connection: of its zone, by its hash; a later try's is another.
    fn door(&self, client: u64, attempt: usize) -> usize {
        let zone = &self.zones[client as usize % self.zones.len()];
        let is_up = |n: &usize| self.doors[*n].up.load(Ordering::Relaxed);
        let here: Vec<usize> = (0..self.doors.len()).filter(|n| self.doors[*n].zone == *zone).collect();
        let up: Vec<usize> = here.iter().copied().filter(is_up).collect();
        let all_up: Vec<usize> = (0..self.doors.len()).filter(is_up).collect();
        let among = if up.is_empty() && !all_up.is_empty() {
            all_up
        } else if 2 * up.len() < here.len() || up.is_empty() {
            here
        } else {
            up
        };
        let hash = digest(&client.to_be_bytes()) as usize;
        among[hash.wrapping_add(attempt) % among.len()]
    }

    /// A request of a client, with its further tries.
    pub async fn send(&self, client: u64, order: &Order) -> Outcome {
        let began = Instant::now();
        let mut outcome = Outcome { tries: Vec::new(), answer: None, took: Duration::ZERO };
        loop {
            let left = order.deadline.saturating_sub(began.elapsed());
            let attempt = outcome.tries.len();
            let door = self.door(client, attempt);
            let id = attempt_id();
            let asked = self.one(door, &id, order, left, attempt == 0 && order.keeps).await;
            let (over, status) = (began.elapsed(), asked.as_ref().map_or(0, Message::status));
            outcome.tries.push(Try { id, door, status, over });
            outcome.took = over;
            let mut pause = Duration::from_millis(50 << attempt.min(5));
            let again = match &asked {
                Ok(answer) => {
                    let left = order.deadline.saturating_sub(over);
                    let wait = answer.header("retry-after").and_then(|w| w.trim().parse::<f64>().ok());
                    if let Some(wait) = wait.filter(|w| w.is_finite() && *w >= 0.0) {
                        pause = Duration::from_secs_f64(wait.min(3_600.0)).min(left / 3);
                    }
                    let ended = matches!(status, 200..300 | 400 | 401 | 404 | 413 | 431);
                    !ended && (!order.mutating || promises(status))
                }
                Err(No::Connection) => true,
                Err(No::Answer) => !order.mutating,
            };
            outcome.answer = asked.ok();
            if !again || attempt >= order.further || over + pause >= order.deadline {
                return outcome;
            }
            sleep(pause).await;
        }
    }

    /// One try.
    async fn one(
        &self,
        door: usize,
        id: &Arc<str>,
        order: &Order,
        left: Duration,
        keeps: bool,
    ) -> Result<Message, No> {
        let door = &self.doors[door];
        let ms = left.as_millis().to_string();
        let mut fields = vec![("X-Attempt-Id", &**id), ("X-Deadline-Ms", ms.as_str())];
        fields.extend((!order.keeps).then_some(("Connection", "close")));
        let Order { method, host, path, body, .. } = order;
        let bytes = request(method, host, path, &fields, body, order.chunked);
        let asked =
            Asked { method: method.clone(), host: host.clone(), path: path.clone(), body: digest(body) };
        let kept = if keeps { self.kept(door) } else { None };
        let exchange = async {
            let mut connection = match kept {
                Some(connection) => connection,
                None => Connection::open(door.front, CONNECT).await.map_err(|_| No::Connection)?,
            };
            self.auditor.sent(id, asked, false);
            connection.write(&bytes).await.map_err(|_| No::Answer)?;
            match connection.message().await {
                Ok(Some(answer)) if answer.status() > 0 => {
                    self.auditor.got(id, ClientAnswer::of(&answer));
                    self.keep(door, connection, &answer, order.keeps);
                    Ok(answer)
                }
                Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                    self.auditor.stray(format!("{id} was answered with what is no answer: {e}"));
                    Err(No::Answer)
                }
                _ => Err(No::Answer),
            }
        };
        timeout(left, exchange).await.unwrap_or(Err(No::Answer))
    }

    /// A connection that was kept and is still there.
    fn kept(&self, door: &Door) -> Option<Connection> {
        loop {
            let Kept { mut connection, until } = lock(&door.kept).pop()?;
            let (open, bytes) = connection.between();
            if bytes > 0 {
                self.auditor.stray(format!("{bytes} bytes from {} where no request was waiting", door.front));
            } else if open && Instant::now() < until {
                return Some(connection);
            }
        }
    }

    fn keep(&self, door: &Door, connection: Connection, answer: &Message, keeps: bool) {
        let told = answer.header("keep-alive").and_then(|k| k.split("timeout=").nth(1));
        let seconds = told.and_then(|t| t.split(',').next()).and_then(|t| t.trim().parse::<u64>().ok());
        if keeps && !answer.closes() {
            // A little earlier than told, so that a request does not cross the end.
            let lasts = seconds.map_or(Duration::from_secs(10), Duration::from_secs);
            let until = Instant::now() + lasts.saturating_sub(Duration::from_millis(200));
            lock(&door.kept).push(Kept { connection, until });
        }
    }

    /// Looks over all kept connections for bytes that belong to nothing, and closes them.
    pub fn hang_up(&self) {
        for door in &self.doors {
            while let Some(Kept { mut connection, .. }) = lock(&door.kept).pop() {
                let (_, bytes) = connection.between();
                if bytes > 0 {
                    let front = door.front;
                    self.auditor.stray(format!("{bytes} bytes from {front} where no request was waiting"));
                }
            }
        }
    }

    /// Requests come at `rate` a second for so long, open loop, each one of these by its share; ends once each has its
    /// outcome.
    pub async fn run(self: &Arc<Self>, rate: f64, lasts: Duration, mix: &[(Order, f64)], seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let all: f64 = mix.iter().map(|(_, share)| share).sum();
        let (start, mut at) = (Instant::now(), 0.0);
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= lasts.as_secs_f64() {
                break;
            }
            let mut point = rng.random::<f64>() * all;
            let order = mix.iter().find(|(_, share)| {
                point -= share;
                point < 0.0
            });
            let Some((order, _)) = order.or(mix.last()).cloned() else { return };
            let client = rng.random_range(0..1_000);
            sleep_until((start + Duration::from_secs_f64(at)).into()).await;
            self.on_the_way.fetch_add(1, Ordering::Relaxed);
            let this = self.clone();
            tokio::spawn(async move {
                let outcome = this.send(client, &order).await;
                this.note(&order, &outcome);
                this.on_the_way.fetch_sub(1, Ordering::Relaxed);
            });
        }
        while self.on_the_way.load(Ordering::Relaxed) > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn note(&self, order: &Order, outcome: &Outcome) {
        let one = |n: &AtomicU64| {
            n.fetch_add(1, Ordering::Relaxed);
        };
        let seen = &self.seen;
        one(&seen.offered);
        seen.further.fetch_add(outcome.tries.len() as u64 - 1, Ordering::Relaxed);
        if outcome.served() {
            one(&seen.served);
            if outcome.took <= order.aim {
                one(&seen.in_aim);
            }
            lock(&seen.latencies).push(outcome.took.as_micros().min(u128::from(u32::MAX)) as u32);
        } else if promises(outcome.status()) {
            one(&seen.refused);
        } else {
            one(&seen.failed);
        }
    }
}
