//! Partners at load: each endpoint answers as the faults in force say, remembers its effects and keys, keeps a limit
//! and is cold after an outage. Everything that it sees goes to the auditor.
//!
//! The system accepts connections before an endpoint does, so a silent machine's come up here and say nothing.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::audit::{Heard, Over, Recorder};
use crate::link::{Link, LinkConditions};
use crate::node::own_address;
use crate::plan::{Fault, Partners as Shape, Plan, Target, What};
use crate::scripted::lock;
use crate::service::{Effect, Service};
use crate::wire::{Message, Reader};

/// A fault that is in force, by its number in the plan.
#[derive(Clone)]
struct Strike {
    number: usize,
    fault: Fault,
    until: Duration,
}

#[derive(Default)]
struct Limit {
    tokens: f64,
    at: Duration,
    /// Calls in the present span.
    span: u64,
    count: u64,
}

/// What all endpoints of a destination share.
struct Destination {
    number: u64,
    strikes: Mutex<Vec<Strike>>,
    /// Keys that took effect, and when; the oldest first.
    keys: Mutex<Keys>,
    limit: Mutex<Limit>,
    back: Mutex<Option<Duration>>,
    refuses: watch::Sender<bool>,
    /// Connections that are to be reset count up to this.
    resets: watch::Sender<u64>,
}

#[derive(Default)]
struct Keys {
    known: HashMap<String, Duration>,
    order: VecDeque<(Duration, String)>,
}

impl Keys {
    /// Whether a call with this key takes effect now.
    fn take(&mut self, now: Duration, key: &str, window: Duration) -> bool {
        while self.order.front().is_some_and(|(at, _)| *at + window < now) {
            if let Some((at, key)) = self.order.pop_front()
                && self.known.get(&key) == Some(&at)
            {
                self.known.remove(&key);
            }
        }
        if self.known.contains_key(key) {
            return false;
        }
        self.known.insert(key.to_owned(), now);
        self.order.push_back((now, key.to_owned()));
        true
    }
}

/// An endpoint: one for all dispatchers, with an address for each.
pub struct Endpoint {
    /// Its name in the list.
    pub name: String,
    /// Its number, for the auditor.
    pub number: usize,
    /// Its destination.
    pub dest: u64,
    strikes: Mutex<Vec<Strike>>,
}

/// Counts of all partners together.
#[derive(Default)]
pub struct Counts {
    /// Connections that were accepted.
    pub connections: AtomicU64,
    /// Connections open now.
    pub open: AtomicUsize,
    /// Calls turned away above a limit.
    pub over_limit: AtomicU64,
    /// Calls to what was down: silent, or shut.
    pub down: AtomicU64,
}

struct World {
    service: Service,
    shape: Shape,
    seed: u64,
    recorder: Recorder,
    destinations: Vec<Destination>,
    endpoints: Vec<Endpoint>,
    next_call: AtomicU64,
    counts: Counts,
    closing: AtomicBool,
}

/// All partners of a run.
pub struct Partners {
    world: Arc<World>,
    /// By dispatcher and endpoint.
    addresses: Vec<Vec<SocketAddr>>,
    links: HashMap<u64, Vec<Link>>,
}

/// The name and the destination of an endpoint by its number.
fn place(shape: &Shape, number: usize) -> (u64, usize) {
    ((number / shape.endpoints) as u64, number % shape.endpoints)
}

impl Partners {
    /// Starts the partners of a plan, on the runtime that this is called in.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(plan: &Plan, recorder: Recorder) -> io::Result<Self> {
        let shape = plan.partners.clone();
        let destinations = (0..shape.destinations as u64).map(|number| Destination {
            number,
            strikes: Mutex::default(),
            keys: Mutex::default(),
            limit: Mutex::default(),
            back: Mutex::default(),
            refuses: watch::Sender::new(false),
            resets: watch::Sender::new(0),
        });
        let endpoints = (0..shape.destinations * shape.endpoints).map(|number| {
            let (dest, index) = place(&shape, number);
            Endpoint { name: format!("p{dest}-{index}"), number, dest, strikes: Mutex::default() }
        });
        let world = Arc::new(World {
            service: plan.service.clone(),
            seed: plan.seed,
            recorder,
            destinations: destinations.collect(),
            endpoints: endpoints.collect(),
            next_call: AtomicU64::new(1),
            counts: Counts::default(),
            closing: AtomicBool::new(false),
            shape,
        });
        let mut addresses = Vec::new();
        let mut links: HashMap<u64, Vec<Link>> = HashMap::new();
        for node in 0..plan.dispatchers.count {
            let mut own = Vec::new();
            let shared =
                if world.shape.shared { Some(world.clone().listen(node, None).await?) } else { None };
            for endpoint in &world.endpoints {
                let address = match shared {
                    Some(address) => address,
                    None => world.clone().listen(node, Some(endpoint.number)).await?,
                };
                own.push(if world.shape.links {
                    let link = Link::to(address).await?;
                    let through = link.address;
                    links.entry(endpoint.dest).or_default().push(link);
                    through
                } else {
                    address
                });
            }
            addresses.push(own);
        }
        Ok(Partners { world, addresses, links })
    }

    /// The endpoints.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.world.endpoints
    }

    /// Where a dispatcher reaches an endpoint.
    pub fn address(&self, node: usize, endpoint: usize) -> SocketAddr {
        self.addresses[node][endpoint]
    }

    /// What has been counted.
    pub fn counts(&self) -> &Counts {
        &self.world.counts
    }

    /// The endpoints that a target names.
    pub fn struck(&self, target: Target) -> Vec<&Endpoint> {
        let of = |e: &&Endpoint| match target {
            Target::Destinations => true,
            Target::Destination(dest) => e.dest == dest,
            Target::Endpoint(dest, index) => {
                (e.dest, e.number) == (dest, dest as usize * self.world.shape.endpoints + index)
            }
            _ => false,
        };
        self.world.endpoints.iter().filter(of).collect()
    }

    /// A fault begins: it ends at `until`, of the recorder's clock, when [`Partners::end`] is called.
    pub fn begin(&self, number: usize, fault: &Fault, until: Duration) {
        let strike = Strike { number, fault: fault.clone(), until };
        match fault.target {
            Target::Endpoint(..) => {
                self.struck(fault.target).iter().for_each(|e| lock(&e.strikes).push(strike.clone()))
            }
            Target::Link(dest) => {
                let weather = match fault.what {
                    What::Cut => LinkConditions::Cut,
                    What::Hang => LinkConditions::Hang,
                    _ => LinkConditions::OneWay,
                };
                self.links.get(&dest).into_iter().flatten().for_each(|link| link.set(weather));
            }
            _ => {
                for dest in self.world.of(fault.target) {
                    lock(&dest.strikes).push(strike.clone());
                    if fault.what.is_outage() && fault.share >= 1.0 {
                        self.world.recorder.hear(Heard::Outage { dest: dest.number });
                    }
                    if fault.what == What::Refuse {
                        dest.refuses.send_replace(true);
                        dest.resets.send_modify(|n| *n += 1);
                    }
                }
            }
        }
    }

    /// A fault ends; a destination that was out is back, and cold.
    pub fn end(&self, number: usize, fault: &Fault) {
        match fault.target {
            Target::Endpoint(..) => {
                self.struck(fault.target)
                    .iter()
                    .for_each(|e| lock(&e.strikes).retain(|s| s.number != number));
            }
            Target::Link(dest) => {
                self.links.get(&dest).into_iter().flatten().for_each(|link| link.set(LinkConditions::Clear));
            }
            _ => {
                for dest in self.world.of(fault.target) {
                    let mut strikes = lock(&dest.strikes);
                    strikes.retain(|s| s.number != number);
                    let still = strikes.iter().any(|s| s.fault.what.is_outage() && s.fault.share >= 1.0);
                    drop(strikes);
                    if fault.what == What::Refuse {
                        dest.refuses.send_replace(false);
                    }
                    if fault.what.is_outage() && fault.share >= 1.0 && !still {
                        *lock(&dest.back) = Some(self.world.recorder.now());
                        // Without a limit nothing can be too much for it.
                        if self.world.shape.per_second > 0.0 {
                            let capacity = self.world.shape.per_second;
                            self.world.recorder.hear(Heard::Back { dest: dest.number, capacity });
                        }
                    }
                }
            }
        }
    }

    /// Every connection is closed; what still comes is refused.
    pub fn close(&self) {
        self.world.closing.store(true, Ordering::Relaxed);
        for dest in &self.world.destinations {
            dest.refuses.send_replace(true);
            dest.resets.send_modify(|n| *n += 1);
        }
    }
}

/// What becomes of one call.
enum Act {
    /// It runs or not, takes its time and is answered with these bytes.
    Answer {
        runs: bool,
        status: u16,
        wait: Option<Duration>,
        factor: f64,
        close: bool,
    },
    /// These bytes come for an answer, and the connection stays.
    Bytes(&'static [u8]),
    Reset,
    Silent,
}

impl World {
    fn of(&self, target: Target) -> Vec<&Destination> {
        let of = |d: &&Destination| match target {
            Target::Destinations => true,
            Target::Destination(number) => d.number == number,
            _ => false,
        };
        self.destinations.iter().filter(of).collect()
    }

    /// Listens for one dispatcher's calls to one endpoint, or to all.
    async fn listen(self: Arc<Self>, node: usize, endpoint: Option<usize>) -> io::Result<SocketAddr> {
        // One that refuses at times needs a port that stays free meanwhile; of many, the loopback address's ports
        // are too few.
        let address = own_address();
        let open = move || {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(1_024)
        };
        let mut listener = Some(open()?);
        tokio::spawn(async move {
            let dest = endpoint.map(|e| &self.destinations[self.endpoints[e].dest as usize]);
            let mut refuses = dest.map(|d| d.refuses.subscribe());
            loop {
                let Some(open_now) = &listener else {
                    // Refusing: until it is over, nobody listens.
                    if let Some(refuses) = &mut refuses {
                        let _ = refuses.wait_for(|r| !*r).await;
                    }
                    match open() {
                        Ok(again) => listener = Some(again),
                        Err(_) => sleep(Duration::from_millis(2)).await,
                    }
                    continue;
                };
                let refused = async {
                    match &mut refuses {
                        Some(refuses) => drop(refuses.wait_for(|r| *r).await),
                        None => std::future::pending().await,
                    }
                };
                tokio::select! {
                    accepted = open_now.accept() => {
                        let Ok((stream, _)) = accepted else {
                            sleep(Duration::from_millis(5)).await;
                            continue;
                        };
                        let world = self.clone();
                        tokio::spawn(async move { world.connection(stream, node, endpoint).await });
                    }
                    () = refused => {
                        if self.closing.load(Ordering::Relaxed) {
                            return;
                        }
                        listener = None;
                    }
                }
            }
        });
        Ok(address)
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, node: usize, endpoint: Option<usize>) {
        let _ = stream.set_nodelay(true);
        self.counts.connections.fetch_add(1, Ordering::Relaxed);
        self.counts.open.fetch_add(1, Ordering::Relaxed);
        let resets = endpoint.map(|e| self.destinations[self.endpoints[e].dest as usize].resets.subscribe());
        let reset = async {
            match resets {
                Some(mut resets) => drop(resets.changed().await),
                None => std::future::pending().await,
            }
        };
        // Dropped in the midst of a call, it is reset, and the call's end still heard.
        let (read, write) = stream.into_split();
        let mut calls =
            Calls { world: &self, node, endpoint, reader: Reader::new(read), writer: write, out: None };
        let kept = tokio::select! {
            kept = calls.serve() => kept,
            () = reset => false,
        };
        let Calls { writer, out, .. } = calls;
        if !kept {
            let _ = socket2::SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
            // Dropped, it would end its sending in order first.
            writer.forget();
        }
        if let Some((call, reference)) = out {
            self.recorder.hear(Heard::CallOver { call, reference, how: Over::Closed });
        }
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// What the faults in force make of a call.
    fn strike(&self, dest: &Destination, endpoint: usize, rng: &mut Pcg64Mcg) -> Option<Strike> {
        let own = lock(&self.endpoints[endpoint].strikes).clone();
        let all = lock(&dest.strikes).clone();
        own.into_iter().chain(all).find(|s| rng.random::<f64>() < s.fault.share)
    }

    /// Whether a call is above the limit, and how long until there is room.
    fn over_limit(&self, now: Duration, dest: &Destination) -> Option<Duration> {
        let full = self.shape.per_second;
        if full <= 0.0 {
            return None;
        }
        let warm = lock(&dest.back).map_or(1.0, |back| self.service.warmth(now.saturating_sub(back)));
        let rate = full * warm;
        let mut limit = lock(&dest.limit);
        if self.shape.window_ms > 0 {
            let span = (now.as_millis() / u128::from(self.shape.window_ms)) as u64;
            if span != limit.span {
                (limit.span, limit.count) = (span, 0);
            }
            if limit.count as f64 >= rate * self.shape.window_ms as f64 / 1e3 {
                let next = Duration::from_millis((span + 1) * self.shape.window_ms);
                return Some(next.saturating_sub(now));
            }
            limit.count += 1;
            return None;
        }
        // A bucket that holds half a second's calls.
        let gained = (now - limit.at.min(now)).as_secs_f64() * rate;
        let most = (rate / 2.0).max(1.0);
        (limit.tokens, limit.at) =
            (if limit.at.is_zero() { most } else { (limit.tokens + gained).min(most) }, now);
        if limit.tokens < 1.0 {
            return Some(Duration::from_secs_f64((1.0 - limit.tokens) / rate));
        }
        limit.tokens -= 1.0;
        None
    }

    fn judge(&self, now: Duration, dest: &Destination, strike: Option<&Strike>) -> Act {
        let answer = |runs, status| Act::Answer { runs, status, wait: None, factor: 1.0, close: false };
        if self.recorder.audit().has_fallen(dest.number) {
            return answer(false, 503);
        }
        if let Some(Strike { fault, until, .. }) = strike {
            let told = |ms: i64| Some(Duration::from_millis(ms.max(0) as u64));
            match fault.what {
                What::Refuse | What::ResetBefore => return Act::Reset,
                What::Silent | What::Shut => {
                    self.counts.down.fetch_add(1, Ordering::Relaxed);
                }
                _ => {}
            }
            match fault.what {
                What::Silent => return Act::Silent,
                What::Shut if fault.wait_ms < 0 => return answer(false, 503),
                What::Shut => {
                    let wait = Some(until.saturating_sub(now));
                    return Act::Answer { runs: false, status: 429, wait, factor: 1.0, close: false };
                }
                What::Busy => return answer(false, 503),
                What::Wait => {
                    return Act::Answer {
                        runs: false,
                        status: 429,
                        wait: told(fault.wait_ms),
                        factor: 1.0,
                        close: false,
                    };
                }
                What::Error => return answer(true, 500),
                What::ResetAfter => {
                    return Act::Answer { runs: true, status: 0, wait: None, factor: 1.0, close: true };
                }
                What::Stall => return Act::Bytes(b"HTTP/1.1 2"),
                What::Spoilt => return Act::Bytes(b"\x00\x01 no answer\r\n\r\n"),
                What::Slow => {
                    return Act::Answer {
                        runs: true,
                        status: 200,
                        wait: None,
                        factor: fault.factor,
                        close: false,
                    };
                }
                What::CloseIdle => {
                    return Act::Answer { runs: true, status: 200, wait: None, factor: 1.0, close: true };
                }
                _ => {}
            }
        }
        match self.over_limit(now, dest) {
            Some(wait) => {
                self.counts.over_limit.fetch_add(1, Ordering::Relaxed);
                let wait = self.shape.tells_wait.then_some(wait);
                let status = if wait.is_some() { 429 } else { 503 };
                Act::Answer { runs: false, status, wait, factor: 0.1, close: false }
            }
            None => answer(true, 200),
        }
    }

    /// The call is carried out; its effect is heard where it has one.
    fn run(&self, now: Duration, dest: &Destination, reference: &Arc<str>, key: Option<&str>) {
        let class = self.recorder.audit().known(reference).map(|(class, _)| class);
        let class = class.and_then(|class| self.service.classes.get(class));
        let takes = match (class.map(|c| c.effect), key) {
            (Some(Effect::Keyed), Some(key)) => {
                let window = class.map_or(Duration::ZERO, |c| Duration::from_millis(c.key_window_ms));
                lock(&dest.keys).take(now, key, window)
            }
            _ => true,
        };
        if takes {
            self.recorder.hear(Heard::TookEffect { reference: reference.clone() });
        }
    }
}

/// The calls on one connection.
struct Calls<'a> {
    world: &'a World,
    node: usize,
    endpoint: Option<usize>,
    reader: Reader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    /// The call that is out.
    out: Option<(u64, Arc<str>)>,
}

impl Calls<'_> {
    /// Whether the connection ends in order.
    async fn serve(&mut self) -> bool {
        let world = self.world;
        let idle = match world.shape.idle_close_ms {
            0 => world.service.keepalive_ms,
            ms => ms,
        };
        loop {
            if !matches!(timeout(Duration::from_millis(idle), self.reader.some(1)).await, Ok(Ok(()))) {
                return true;
            }
            // A fault that strikes before the last byte is drawn before it has come.
            let number = world.next_call.fetch_add(1, Ordering::Relaxed);
            let mut rng = Pcg64Mcg::seed_from_u64(world.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let early = self.endpoint.and_then(|e| {
                let dest = &world.destinations[world.endpoints[e].dest as usize];
                world.strike(dest, e, &mut rng)
            });
            if early.as_ref().is_some_and(|s| matches!(s.fault.what, What::ResetBefore | What::Refuse)) {
                return false;
            }
            let Ok(Some(call)) = self.reader.message().await else { return true };
            if let Some(kept) = self.call(number, call, early, &mut rng).await {
                return kept;
            }
        }
    }

    /// One call; whether the connection ends in order, if it ends.
    async fn call(
        &mut self,
        number: u64,
        call: Message,
        early: Option<Strike>,
        rng: &mut Pcg64Mcg,
    ) -> Option<bool> {
        let (world, recorder) = (self.world, &self.world.recorder);
        let now = recorder.now();
        let reference: Arc<str> = call.header("Req-Id").unwrap_or_default().into();
        // At a listener for all, the message tells whom it is for.
        let endpoint = match self.endpoint {
            Some(endpoint) => endpoint,
            None => recorder
                .audit()
                .known(&reference)
                .map_or(0, |(_, dest)| dest as usize * world.shape.endpoints),
        };
        let dest = &world.destinations[world.endpoints[endpoint].dest as usize];
        let strike =
            early.or_else(|| if self.endpoint.is_none() { world.strike(dest, endpoint, rng) } else { None });
        let before = call.began.map_or(Duration::ZERO, |began| Instant::now() - began);
        recorder.hear_at(
            now,
            Heard::CallCame {
                call: number,
                reference: reference.clone(),
                node: self.node,
                endpoint,
                dest: dest.number,
                first_byte: now.saturating_sub(before),
            },
        );
        self.out = Some((number, reference.clone()));
        let act = world.judge(now, dest, strike.as_ref());
        let Act::Answer { runs, status, wait, factor, close } = act else {
            match act {
                Act::Reset => return Some(false),
                Act::Bytes(bytes) => {
                    world.run(now, dest, &reference, call.header("Idempotency-Key"));
                    let _ = self.writer.write_all(bytes).await;
                }
                _ => {}
            }
            self.reader.end().await;
            return Some(true);
        };
        let pause = world.latency(rng).mul_f64(if runs { factor } else { 0.1 });
        if !pause.is_zero() {
            // The call runs on when its dispatcher has left; its end is heard at once.
            let left = tokio::select! {
                () = sleep(pause) => false,
                _ = self.reader.some(1) => true,
            };
            if left {
                self.over(Over::Closed);
                if runs {
                    sleep(pause / 2).await;
                    world.run(recorder.now(), dest, &reference, call.header("Idempotency-Key"));
                }
                return Some(true);
            }
        }
        if runs {
            world.run(recorder.now(), dest, &reference, call.header("Idempotency-Key"));
        }
        if status == 0 {
            return Some(false);
        }
        let wait_line = wait.map_or(String::new(), |w| format!("Retry-After: {:.3}\r\n", w.as_secs_f64()));
        let close_line = if close { "Connection: close\r\n" } else { "" };
        let reason = if status == 200 { "OK" } else { "No" };
        let answer =
            format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n{wait_line}{close_line}\r\n");
        // Heard before it is written: nothing that follows from it can come first.
        if let Some(wait) = wait {
            recorder.hear(Heard::WaitTold { node: self.node, dest: dest.number, wait });
        }
        let sent = self.writer.write_all(answer.as_bytes()).await.is_ok();
        self.over(if sent { Over::Answered(status) } else { Over::Closed });
        (!sent || close).then_some(true)
    }

    fn over(&mut self, how: Over) {
        if let Some((call, reference)) = self.out.take() {
            self.world.recorder.hear(Heard::CallOver { call, reference, how });
        }
    }
}

impl World {
    fn latency(&self, rng: &mut Pcg64Mcg) -> Duration {
        let Shape { latency_ms, spread, .. } = self.shape;
        if latency_ms <= 0.0 {
            return Duration::ZERO;
        }
        // A normal draw by the Box-Muller transform.
        let (a, b): (f64, f64) = (rng.random(), rng.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        Duration::from_secs_f64((latency_ms * (spread * normal).exp()).min(60_000.0) / 1e3)
    }
}
