//! An endpoint of a function: a life with an id of its own, on a listener of its own that refuses connections until it
//! has started; so many requests at once and none waiting.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, sleep_until, timeout};

use crate::cluster::auditor::{Asked, Auditor, ClientAnswer, EndpointAnswer, NotExecuted, digest};
use crate::cluster::message::{Connection, answer, exchange, request};
use crate::cluster::settings::Function;
use crate::node::own_address;
use crate::scripted::lock;
use crate::wire::Message;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection is reset, and it has not run.
    Drop,
    /// It runs, and the connection is reset in place of the answer.
    Lose,
    /// It runs, and bytes come that are no answer.
    Garble,
    /// It runs, and its answer breaks off in the middle.
    Cut,
    /// It runs and is answered, and another whole answer follows after so long, or as the next request comes.
    Surplus(Duration),
    /// It runs and is answered with `Connection: close`.
    Close,
    /// It runs and is answered 500.
    Fail,
    /// It runs, and no answer ever comes.
    Silent,
}

/// A call that a run makes through the system.
#[derive(Clone, Debug)]
pub struct Nested {
    /// Where it is sent.
    pub front: SocketAddr,
    /// Method, host and path.
    pub method: String,
    /// See there.
    pub host: String,
    /// See there.
    pub path: String,
    /// Share of the runs that make it.
    pub share: f64,
}

/// How endpoints of a service behave.
#[derive(Clone, Debug)]
pub struct EndpointBehaviour {
    /// What a request takes.
    pub work: Duration,
    /// Each endpoint is slower by a share of up to this.
    pub spread: f64,
    /// Bytes of an answer.
    pub body: usize,
    /// Answers are sent in chunks.
    pub chunked: bool,
    /// Faults, each with its share of the requests.
    pub faults: Vec<(Fault, f64)>,
    /// What a run calls.
    pub nested: Option<Nested>,
    /// Idle connections are closed after so many seconds, which `Keep-Alive` tells.
    pub idle_s: Option<u64>,
    /// A run ends with its connection; it has run all the same.
    pub drops: bool,
}

impl Default for EndpointBehaviour {
    fn default() -> Self {
        EndpointBehaviour {
            work: Duration::from_millis(20),
            spread: 0.0,
            body: 64,
            chunked: false,
            faults: Vec::new(),
            nested: None,
            idle_s: None,
            drops: true,
        }
    }
}

/// How far a life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It refuses connections still.
    Booting,
    /// It serves.
    Up,
    /// It serves, and says `Connection: close`.
    Leaving,
    /// It listens no more, and finishes its work.
    Stopping,
    /// It is over.
    Over,
}

struct Life {
    id: String,
    function: Function,
    address: SocketAddr,
    auditor: Auditor,
    manner: Mutex<EndpointBehaviour>,
    next: Mutex<VecDeque<Fault>>,
    rng: Mutex<Pcg64Mcg>,
    slowness: f64,
    slots: Arc<Semaphore>,
    connections: AtomicUsize,
    running: AtomicUsize,
    phase: watch::Sender<Phase>,
    crashed: watch::Sender<bool>,
}

/// An endpoint.
#[derive(Clone)]
pub struct Endpoint(Arc<Life>);

/// What becomes of a connection after a request.
enum Then {
    Keep,
    End,
    Reset,
    /// Kept, and these bytes follow.
    More(Duration, Vec<u8>),
}

/// The next number of a seal or of an id of this process.
fn number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// An id for a try, which no other try of this process has.
pub fn attempt_id() -> Arc<str> {
    let mixed = digest(&[u64::from(std::process::id()), number()].map(u64::to_be_bytes).concat());
    format!("{mixed:016x}").into()
}

impl Endpoint {
    /// A new life that starts within so long, at this address or at a new one. Runs on the runtime that this is
    /// called in.
    pub fn boot(
        function: &Function,
        manner: EndpointBehaviour,
        boot: Duration,
        address: Option<SocketAddr>,
        auditor: Auditor,
    ) -> Self {
        let number = number();
        let mut rng = Pcg64Mcg::seed_from_u64(number);
        let life = Life {
            id: format!("i-{:08x}", digest(&number.to_be_bytes()) as u32),
            address: address.unwrap_or_else(own_address),
            slowness: 1.0 + manner.spread * rng.random::<f64>(),
            slots: Arc::new(Semaphore::new(function.concurrency)),
            function: function.clone(),
            auditor,
            manner: Mutex::new(manner),
            next: Mutex::default(),
            rng: Mutex::new(rng),
            connections: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            phase: watch::Sender::new(Phase::Booting),
            crashed: watch::Sender::new(false),
        };
        let endpoint = Endpoint(Arc::new(life));
        tokio::spawn(endpoint.clone().0.live(boot));
        endpoint
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.0.id
    }
    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.0.address
    }
    /// What it is an endpoint of.
    pub fn function(&self) -> &Function {
        &self.0.function
    }
    /// How far it has come.
    pub fn phase(&self) -> Phase {
        *self.0.phase.borrow()
    }
    /// Requests that it holds now.
    pub fn running(&self) -> usize {
        self.0.running.load(Ordering::Relaxed)
    }
    /// Connections that it holds now.
    pub fn connections(&self) -> usize {
        self.0.connections.load(Ordering::Relaxed)
    }
    /// Waits until it has come so far.
    pub async fn reaches(&self, phase: Phase) {
        past(&mut self.0.phase.subscribe(), phase).await;
    }
    /// It behaves otherwise from now on.
    pub fn behave(&self, manner: EndpointBehaviour) {
        *lock(&self.0.manner) = manner;
    }
    /// What happens to the next request that it would run; after those that are waiting already.
    pub fn strike(&self, fault: Fault) {
        lock(&self.0.next).push_back(fault);
    }
    fn advance(&self, to: Phase) {
        self.0.advance(to);
    }
    /// It is to leave: its answers say so.
    pub fn leave(&self) {
        self.advance(Phase::Leaving);
    }
    /// It stops listening, finishes its work and is over.
    pub fn stop(&self) {
        self.advance(Phase::Stopping);
    }
    /// It is gone at once, with all that runs.
    pub fn crash(&self) {
        self.0.crashed.send_replace(true);
        self.advance(Phase::Over);
    }
}

impl Life {
    fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|now| {
            let further = to > *now;
            *now = to.max(*now);
            further
        });
    }

    async fn live(self: Arc<Self>, boot: Duration) {
        let mut phase = self.phase.subscribe();
        tokio::select! {
            () = sleep(boot) => {}
            () = past(&mut phase, Phase::Stopping) => {
                // A start that was stopped is over as it would have begun.
                self.advance(Phase::Over);
                return;
            }
        }
        let Some(listener) = self.listen().await else { return };
        self.advance(Phase::Up);
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => drop(tokio::spawn(self.clone().connection(stream))),
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
                () = past(&mut phase, Phase::Stopping) => break,
            }
        }
        // A child that is being forked may hold it too: it listens no more for anyone.
        let _ = socket2::SockRef::from(&listener).shutdown(std::net::Shutdown::Both);
        drop(listener);
        while self.running.load(Ordering::Relaxed) > 0 && *self.phase.borrow() != Phase::Over {
            sleep(Duration::from_millis(2)).await;
        }
        self.advance(Phase::Over);
    }

    async fn listen(&self) -> Option<TcpListener> {
        loop {
            let open = || {
                let socket = TcpSocket::new_v4()?;
                socket.set_reuseaddr(true)?;
                socket.bind(self.address)?;
                socket.listen(1_024)
            };
            match open() {
                Ok(listener) => return Some(listener),
                Err(_) if *self.phase.borrow() >= Phase::Stopping => {
                    self.advance(Phase::Over);
                    return None;
                }
                Err(_) => sleep(Duration::from_millis(2)).await,
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        if self.connections.fetch_add(1, Ordering::Relaxed) < self.function.max_conns {
            let mut crashed = self.crashed.subscribe();
            let keep = tokio::select! {
                keep = self.serve(&mut connection) => keep,
                _ = crashed.wait_for(|c| *c) => false,
            };
            if !keep {
                connection.reset();
            }
        } else {
            connection.reset();
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Serves one request after another; false where the connection is to be reset.
    async fn serve(&self, connection: &mut Connection) -> bool {
        let mut phase = self.phase.subscribe();
        loop {
            let idle = lock(&self.manner).idle_s.map_or(Duration::from_secs(3_600), Duration::from_secs);
            let message = tokio::select! {
                biased;
                message = timeout(idle, connection.message()) => message,
                () = past(&mut phase, Phase::Stopping) => return true,
            };
            let Ok(Ok(Some(message))) = message else { return true };
            match self.request(&message, connection).await {
                Then::Keep if !message.closes() => {}
                Then::Keep | Then::End => return true,
                Then::Reset => return false,
                Then::More(after, bytes) => {
                    let _ = timeout(after, connection.more()).await;
                    if connection.write(&bytes).await.is_err() {
                        return true;
                    }
                }
            }
        }
    }

    async fn request(&self, message: &Message, connection: &mut Connection) -> Then {
        let mut parts = message.line.split(' ');
        let mut part = || parts.next().unwrap_or_default().to_owned();
        let asked = Asked {
            method: part(),
            path: part(),
            host: message.header("host").unwrap_or_default().to_owned(),
            body: digest(&message.body),
        };
        let not_run = ("X-Not-Executed", "1");
        let Some(id) = message.header("x-attempt-id").map(Arc::<str>::from) else {
            let _ = connection.write(&answer(400, &[not_run], b"", false)).await;
            return Then::Keep;
        };
        let echo = ("X-Attempt-Id", &*id);
        let away = |asked, why| self.auditor.arrived(&id, &self.id, &self.function.name, asked, Some(why));
        if message.header("x-expect-endpoint").is_some_and(|expected| expected != self.id) {
            away(asked, NotExecuted::Misdirected);
            let bytes = answer(421, &[echo, ("X-Endpoint-Id", &self.id)], b"", false);
            let _ = connection.write(&bytes).await;
            return Then::Keep;
        }
        let left: Option<u64> = message.header("x-deadline-ms").and_then(|d| d.trim().parse().ok());
        let deadline = left.map(|ms| Instant::now() + Duration::from_millis(ms));
        let slot = self.slots.clone().try_acquire_owned();
        let why = if left == Some(0) {
            Some(NotExecuted::Late)
        } else {
            slot.is_err().then_some(NotExecuted::Full)
        };
        if let Some(why) = why {
            away(asked, why);
            let _ = connection.write(&answer(503, &[echo, not_run], b"", false)).await;
            return Then::Keep;
        }
        let manner = lock(&self.manner).clone();
        let fault = lock(&self.next).pop_front().or_else(|| {
            let mut rng = lock(&self.rng);
            manner.faults.iter().find(|(_, share)| rng.random::<f64>() < *share).map(|(fault, _)| *fault)
        });
        if fault == Some(Fault::Drop) {
            away(asked, NotExecuted::Dropped);
            return Then::Reset;
        }
        let arrival = self.auditor.arrived(&id, &self.id, &self.function.name, asked, None);
        let running = Running::begin(&self.running);
        let run = self.run(&id, arrival > 0, &manner, deadline);
        let status = if manner.drops {
            tokio::select! {
                status = run => status,
                () = connection.gone() => return Then::Reset,
            }
        } else {
            run.await
        };
        let status = if fault == Some(Fault::Fail) { 500 } else { status };
        let body = format!("{id} by {} of {}\n", self.id, self.function.name).repeat(1 + manner.body / 32);
        let body = &body.as_bytes()[..manner.body.max(24).min(body.len())];
        let seal = format!("{:x}.{:08x}", number(), digest(id.as_bytes()) as u32);
        let leaving = *self.phase.borrow() >= Phase::Leaving || fault == Some(Fault::Close);
        let keep_alive = manner.idle_s.map(|s| format!("timeout={s}"));
        let mut fields = vec![echo, ("X-Endpoint-Seal", seal.as_str())];
        fields.extend(keep_alive.as_deref().map(|k| ("Keep-Alive", k)));
        fields.extend(leaving.then_some(("Connection", "close")));
        let bytes = answer(status, &fields, body, manner.chunked);
        if fault == Some(Fault::Silent) {
            connection.gone().await;
            return Then::Reset;
        }
        // The slot is free before the answer can be seen.
        drop((slot, running));
        match fault {
            Some(Fault::Lose) => return Then::Reset,
            Some(Fault::Garble) => {
                let _ = connection.write(b"\x00\x01 no answer\r\n\r\n").await;
                return Then::End;
            }
            Some(Fault::Cut) => {
                let _ = connection.write(&bytes[..bytes.len() - body.len() / 2]).await;
                return Then::End;
            }
            _ => {}
        }
        self.auditor.gave(&id, arrival, EndpointAnswer { status, seal: seal.clone(), body: digest(body) });
        if connection.write(&bytes).await.is_err() || leaving {
            return Then::End;
        }
        match fault {
            Some(Fault::Surplus(after)) => {
                let fields = [echo, ("X-Endpoint-Seal", "0.surplus")];
                Then::More(after, answer(200, &fields, b"surplus", false))
            }
            _ => Then::Keep,
        }
    }

    /// The work of a request, and its status.
    async fn run(
        &self,
        id: &Arc<str>,
        repeat: bool,
        manner: &EndpointBehaviour,
        deadline: Option<Instant>,
    ) -> u16 {
        let work = async {
            let takes = manner.work.mul_f64(self.slowness);
            let calls = manner.nested.as_ref().filter(|n| lock(&self.rng).random::<f64>() < n.share);
            let Some(nested) = calls else {
                sleep(takes).await;
                return 200;
            };
            sleep(takes / 2).await;
            let served = self.call(id, repeat, nested, deadline).await;
            sleep(takes / 2).await;
            if served { 200 } else { 500 }
        };
        let late = async {
            match deadline {
                Some(at) => sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            status = work => status,
            () = late => 504,
        }
    }

    async fn call(
        &self,
        parent: &Arc<str>,
        repeat: bool,
        nested: &Nested,
        deadline: Option<Instant>,
    ) -> bool {
        let id = attempt_id();
        let left = deadline.map_or(Duration::from_secs(10), |d| d.saturating_duration_since(Instant::now()));
        let body: &[u8] = if nested.method == "GET" { b"" } else { parent.as_bytes() };
        let asked = Asked {
            method: nested.method.clone(),
            host: nested.host.clone(),
            path: nested.path.clone(),
            body: digest(body),
        };
        self.auditor.sent(&id, asked, repeat);
        let ms = left.as_millis().to_string();
        let fields = [("X-Attempt-Id", &*id), ("X-Deadline-Ms", ms.as_str())];
        let bytes = request(&nested.method, &nested.host, &nested.path, &fields, body, false);
        let Ok(answer) = exchange(nested.front, &bytes, left).await else { return false };
        self.auditor.got(&id, ClientAnswer::of(&answer));
        (200..300).contains(&answer.status())
    }
}

/// Waits until a life has come so far.
async fn past(phase: &mut watch::Receiver<Phase>, to: Phase) {
    let _ = phase.wait_for(|p| *p >= to).await;
}

/// Counts a request for as long as it is held.
struct Running<'a>(&'a AtomicUsize);

impl<'a> Running<'a> {
    fn begin(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Running(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
