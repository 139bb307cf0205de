//! The platform: workers, the endpoints that are started on them, and the list that runs behind. What it sees of its
//! callers is kept for tests to look at.
//!
//! It listens behind a [`Link`]: slow, silent (`Hang`), down (`Cut`), or doing what it is told without an answer
//! (`OneWay`).

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use percent_encoding::percent_decode_str;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::cluster::auditor::Auditor;
use crate::cluster::function::{Endpoint, EndpointBehaviour, Phase};
use crate::cluster::message::{Connection, answer};
use crate::cluster::settings::{Configuration, Function};
use crate::link::{Link, LinkConditions};
use crate::scripted::lock;
use crate::wire::Message;

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// Its memory.
    pub memory_mb: u64,
}

/// What the platform is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The workers.
    pub workers: Vec<Worker>,
    /// Calls to the lists a second.
    pub rate_per_s: f64,
    /// Starts and stops a second.
    pub duty_per_s: f64,
    /// The lists run so far behind.
    pub max_lag_ms: u64,
    /// Endpoints on one page.
    pub page: usize,
    /// A crashed endpoint stays on the list for so long.
    pub lingers: Duration,
    /// A start takes its average, less or more by a share of up to this.
    pub boot_spread: f64,
    /// The address of an endpoint that is over goes to the next one of another service after `addr_reuse_s`.
    pub reuses: bool,
    /// All draws come from it.
    pub seed: u64,
}

impl Shape {
    /// So many workers of 4 GB in each of these zones, and the rates of a small deployment.
    pub fn small(zones: &[String], workers: usize) -> Self {
        let number = |n: usize| (n, zones[n % zones.len()].clone());
        let worker = |(n, zone)| Worker { name: format!("w-{}", n + 1), zone, memory_mb: 4_096 };
        Shape {
            workers: (0..workers * zones.len()).map(number).map(worker).collect(),
            rate_per_s: 26.0,
            duty_per_s: 78.0,
            max_lag_ms: 800,
            page: 50,
            lingers: Duration::from_secs(3),
            boot_spread: 0.3,
            reuses: true,
            seed: 1,
        }
    }
}

/// A call to the platform.
#[derive(Clone, Debug)]
pub struct Call {
    /// When.
    pub at: Duration,
    /// Method and path.
    pub what: String,
    /// Who says to hold the duty.
    pub holder: Option<String>,
    /// The fence that it shows.
    pub fence: Option<u64>,
    /// What was asked.
    pub asked: Value,
    /// How it was answered.
    pub status: u16,
    /// With what.
    pub answer: Value,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Standing {
    Ready,
    Draining,
    Down,
}

struct Place {
    worker: Worker,
    standing: Standing,
}

/// One start.
struct Start {
    endpoint: Endpoint,
    worker: usize,
    since: Duration,
    ended: Option<Duration>,
    /// It was told to stop, and is not on the list any more.
    stopped: bool,
    crashed: Option<Duration>,
}

/// The lists as they stood.
struct Picture {
    at: Duration,
    number: u64,
    endpoints: Vec<Value>,
    workers: Vec<Value>,
}

struct State {
    functions: BTreeMap<String, Function>,
    manners: BTreeMap<String, EndpointBehaviour>,
    places: Vec<Place>,
    starts: Vec<Start>,
    nonces: HashMap<(String, String), usize>,
    pictures: VecDeque<Arc<Picture>>,
    next_picture: u64,
    lag: Duration,
    listed: VecDeque<Duration>,
    duties: VecDeque<Duration>,
    calls: Vec<Call>,
    /// Addresses that are free again, since when, and which service had them.
    freed: VecDeque<(Duration, SocketAddr, String)>,
    rng: Pcg64Mcg,
}

struct World {
    auditor: Auditor,
    shape: Shape,
    state: Mutex<State>,
    runtime: Handle,
}

/// The platform.
#[derive(Clone)]
pub struct Platform {
    /// Where it is called.
    pub address: SocketAddr,
    /// What is between it and its callers.
    pub link: Link,
    world: Arc<World>,
}

impl Platform {
    /// Starts it with the services of a configuration, on the runtime that this is called in.
    ///
    /// # Errors
    /// Where no port is free.
    pub async fn start(shape: Shape, configuration: &Configuration, auditor: Auditor) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let link = Link::to(listener.local_addr()?).await?;
        let place = |worker: &Worker| Place { worker: worker.clone(), standing: Standing::Ready };
        let mut state = State {
            functions: BTreeMap::new(),
            manners: BTreeMap::new(),
            places: shape.workers.iter().map(place).collect(),
            starts: Vec::new(),
            nonces: HashMap::new(),
            pictures: VecDeque::new(),
            next_picture: 1,
            lag: Duration::from_millis(shape.max_lag_ms),
            listed: VecDeque::new(),
            duties: VecDeque::new(),
            calls: Vec::new(),
            freed: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(shape.seed),
        };
        state.draw(Duration::ZERO, shape.lingers);
        let world = Arc::new(World { auditor, shape, state: Mutex::new(state), runtime: Handle::current() });
        let platform = Platform { address: link.address, link, world };
        platform.knows(configuration);
        let world = platform.world.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(tokio::spawn(serve(world.clone(), stream))),
                    Err(_) => sleep(Duration::from_millis(5)).await,
                }
            }
        });
        Ok(platform)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.world.state)
    }

    /// The services of this configuration may be started too.
    pub fn knows(&self, configuration: &Configuration) {
        let functions = configuration.services.iter().map(|f| (f.name.clone(), f.clone()));
        self.state().functions.extend(functions);
    }

    /// How a service's endpoints behave, those there are and those to come.
    pub fn behave(&self, service: &str, manner: &EndpointBehaviour) {
        let mut state = self.state();
        state.manners.insert(service.to_owned(), manner.clone());
        let of = state.starts.iter().filter(|s| s.endpoint.function().name == service);
        of.for_each(|s| s.endpoint.behave(manner.clone()));
    }

    /// Slow, silent or down, until it is told otherwise.
    pub fn weather(&self, weather: LinkConditions) {
        self.link.set(weather);
    }

    /// The lists run so far behind from now on.
    pub fn lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// The endpoints that are not over, of a service.
    pub fn endpoints(&self, service: &str) -> Vec<Endpoint> {
        let state = self.state();
        let of = state.starts.iter().filter(|s| s.ended.is_none() && s.endpoint.function().name == service);
        of.map(|s| s.endpoint.clone()).collect()
    }

    /// Every start there ever was: the endpoint, its worker's name, when, and when it was over.
    pub fn starts(&self) -> Vec<(Endpoint, String, Duration, Option<Duration>)> {
        let state = self.state();
        let name = |s: &Start| state.places[s.worker].worker.name.clone();
        state.starts.iter().map(|s| (s.endpoint.clone(), name(s), s.since, s.ended)).collect()
    }

    /// What the starts have cost in memory so far, megabytes times seconds.
    pub fn memory(&self) -> f64 {
        let (state, now) = (self.state(), self.world.auditor.now());
        let cost = |s: &Start| {
            let lasted = s.ended.unwrap_or(now).saturating_sub(s.since).as_secs_f64();
            s.endpoint.function().memory_mb as f64 * lasted
        };
        state.starts.iter().map(cost).sum()
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.state().calls.clone()
    }

    /// An endpoint crashes.
    ///
    /// # Panics
    /// Where there is none of this id.
    pub fn crash(&self, id: &str) {
        let mut state = self.state();
        let start = state.starts.iter().position(|s| s.endpoint.id() == id);
        state.crash(start.expect("an endpoint of this id"), self.world.auditor.now());
        self.world.changed(state);
    }

    /// A worker crashes with all that is on it; it comes back empty after a time.
    ///
    /// # Panics
    /// Where there is none of this name.
    pub fn crash_worker(&self, name: &str, back_after: Duration) {
        let mut state = self.state();
        let (place, now) = (state.place(name).expect("a worker of this name"), self.world.auditor.now());
        state.places[place].standing = Standing::Down;
        for start in 0..state.starts.len() {
            if state.starts[start].worker == place && state.starts[start].ended.is_none() {
                state.crash(start, now);
            }
        }
        self.world.changed(state);
        let world = self.world.clone();
        self.world.runtime.spawn(async move {
            sleep(back_after).await;
            let mut state = lock(&world.state);
            state.places[place].standing = Standing::Ready;
            world.changed(state);
        });
    }

    /// A worker is drained: its endpoints are shown as draining, and end in order `drain_ms` after that could be seen.
    ///
    /// # Panics
    /// Where there is none of this name.
    pub fn drain_worker(&self, name: &str) {
        let mut state = self.state();
        let place = state.place(name).expect("a worker of this name");
        state.places[place].standing = Standing::Draining;
        let on = state.starts.iter().filter(|s| s.worker == place && s.ended.is_none());
        let leaving: Vec<Endpoint> = on.map(|s| s.endpoint.clone()).collect();
        leaving.iter().for_each(Endpoint::leave);
        let serves = state.lag + Duration::from_millis(self.world.auditor.bounds().drain_ms + 300);
        self.world.changed(state);
        self.world.runtime.spawn(async move {
            sleep(serves).await;
            leaving.iter().for_each(Endpoint::stop);
        });
    }

    /// A drained worker takes endpoints again.
    ///
    /// # Panics
    /// Where there is none of this name.
    pub fn worker_is_back(&self, name: &str) {
        let mut state = self.state();
        let place = state.place(name).expect("a worker of this name");
        state.places[place].standing = Standing::Ready;
        self.world.changed(state);
    }
}

impl State {
    fn place(&self, name: &str) -> Option<usize> {
        self.places.iter().position(|p| p.worker.name == name)
    }

    fn crash(&mut self, start: usize, now: Duration) {
        let start = &mut self.starts[start];
        start.endpoint.crash();
        (start.crashed, start.ended) = (Some(now), Some(start.ended.unwrap_or(now)));
    }

    fn free(&self, place: usize) -> u64 {
        let on = self.starts.iter().filter(|s| s.worker == place && s.ended.is_none());
        let taken: u64 = on.map(|s| s.endpoint.function().memory_mb).sum();
        self.places[place].worker.memory_mb.saturating_sub(taken)
    }

    /// Takes a picture of the lists.
    fn draw(&mut self, now: Duration, lingers: Duration) {
        let shown = |s: &&Start| match s.crashed {
            Some(at) => now < at + lingers,
            None => !s.stopped && matches!(s.endpoint.phase(), Phase::Up | Phase::Leaving),
        };
        let endpoints = self.starts.iter().filter(shown).map(|s| {
            let (worker, function) = (&self.places[s.worker], s.endpoint.function());
            let drains = s.endpoint.phase() == Phase::Leaving;
            json!({"service": function.name, "address": s.endpoint.address(), "zone": worker.worker.zone,
                   "revision": "v1", "slots": function.concurrency, "id": s.endpoint.id(),
                   "state": if drains { "draining" } else { "ready" }, "cold_left_ms": 0,
                   "worker": worker.worker.name})
        });
        let endpoints = endpoints.collect();
        let up = |p: &(usize, &Place)| p.1.standing != Standing::Down;
        let workers = self.places.iter().enumerate().filter(up).map(|(n, p)| {
            let state = if p.standing == Standing::Ready { "ready" } else { "draining" };
            json!({"name": p.worker.name, "zone": p.worker.zone, "memory_mb": p.worker.memory_mb,
                   "free_memory_mb": self.free(n), "state": state})
        });
        let workers = workers.collect();
        let number = self.next_picture;
        self.next_picture += 1;
        self.pictures.push_back(Arc::new(Picture { at: now, number, endpoints, workers }));
        // Pages of an old one may be asked for still.
        let old = now.saturating_sub(self.lag + Duration::from_secs(10));
        while self.pictures.get(1).is_some_and(|p| p.at < old) {
            self.pictures.pop_front();
        }
    }

    /// The newest picture that is old enough to be shown.
    fn seen(&self, now: Duration) -> Arc<Picture> {
        let old = |p: &&Arc<Picture>| p.at + self.lag <= now;
        let seen = self.pictures.iter().rev().find(old).or(self.pictures.front());
        seen.cloned().expect("one is drawn at the start")
    }

    /// The address for a start: one that is free again and was another service's, if there is any.
    fn address(&mut self, now: Duration, service: &str, reuse: Duration) -> Option<SocketAddr> {
        let free = self.freed.iter().position(|(since, _, had)| *since + reuse <= now && had != service)?;
        self.freed.remove(free).map(|(_, address, _)| address)
    }
}

/// Whether one more is within so many a second; if so it is counted.
fn within(times: &mut VecDeque<Duration>, now: Duration, per_s: f64) -> bool {
    while times.front().is_some_and(|t| *t + Duration::from_secs(1) <= now) {
        times.pop_front();
    }
    let fits = ((times.len() + 1) as f64) <= per_s.max(1.0);
    if fits {
        times.push_back(now);
    }
    fits
}

async fn serve(world: Arc<World>, stream: TcpStream) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(message)) = connection.message().await {
        let (status, text) = world.call(&message);
        let bytes =
            answer(status, &[("Content-Type", "application/json")], text.to_string().as_bytes(), false);
        if connection.write(&bytes).await.is_err() || message.closes() {
            return;
        }
    }
}

impl World {
    fn changed(&self, mut state: MutexGuard<'_, State>) {
        state.draw(self.auditor.now(), self.shape.lingers);
    }

    fn call(self: &Arc<Self>, message: &Message) -> (u16, Value) {
        let now = self.auditor.now();
        let what = message.line.rsplit_once(' ').map_or("", |(what, _)| what).to_owned();
        let asked: Value = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
        let (path, query) = what.split_once('?').unwrap_or((what.as_str(), ""));
        let mut state = lock(&self.state);
        let lists = matches!(path, "GET /endpoints" | "GET /workers");
        let duty = matches!(path, "POST /start" | "POST /stop");
        let fits = if lists {
            within(&mut state.listed, now, self.shape.rate_per_s)
        } else {
            !duty || within(&mut state.duties, now, self.shape.duty_per_s)
        };
        let (status, answer) = match path {
            _ if !fits => (429, json!({"error": "over the rate"})),
            "GET /endpoints" => self.list(&mut state, now, query),
            "GET /workers" => (200, json!({"workers": state.seen(now).workers})),
            "POST /start" => self.begin(&mut state, now, &asked),
            "POST /stop" => self.stop(&mut state, &asked),
            _ => (404, json!({"error": "no such call"})),
        };
        let holder = message.header("x-duty-holder").map(str::to_owned);
        let fence = message.header("x-fence-number").and_then(|f| f.parse().ok());
        let told = if lists { Value::Null } else { answer.clone() };
        state.calls.push(Call { at: now, what, holder, fence, asked, status, answer: told });
        if duty {
            self.changed(state);
        }
        (status, answer)
    }

    /// A page of the list. Tokens are opaque, and hold characters that have a meaning in a query; one that was not given
    /// is refused.
    fn list(&self, state: &mut State, now: Duration, query: &str) -> (u16, Value) {
        let field = |name: &str| {
            let found = query.split('&').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name);
            let value = found.map(|(_, value)| value.replace('+', " ")).filter(|value| !value.is_empty())?;
            percent_decode_str(&value).decode_utf8().ok().map(|text| text.into_owned())
        };
        // What lingers goes without anyone's doing.
        let last = state.pictures.back().map_or(Duration::ZERO, |p| p.at);
        let gone = |s: &Start| s.crashed.is_some_and(|at| (last..now).contains(&(at + self.shape.lingers)));
        if state.starts.iter().any(gone) {
            state.draw(now, self.shape.lingers);
        }
        let read = |token: String| {
            let (picture, from) = token.strip_prefix("+p/")?.strip_suffix("==")?.split_once('&')?;
            Some((picture.parse::<u64>().ok()?, from.parse::<usize>().ok()?))
        };
        let token = match field("page_token").map(read) {
            Some(None) => return (400, json!({"error": "no such page token"})),
            token => token.flatten(),
        };
        let known = token.and_then(|(number, _)| state.pictures.iter().find(|p| p.number == number).cloned());
        let picture = known.unwrap_or_else(|| state.seen(now));
        let zone = field("zone");
        let shown: Vec<&Value> =
            picture.endpoints.iter().filter(|e| zone.as_deref().is_none_or(|z| e["zone"] == z)).collect();
        let from = token.map_or(0, |(_, from)| from).min(shown.len());
        let until = (from + self.shape.page.max(1)).min(shown.len());
        let next = (until < shown.len()).then(|| format!("+p/{}&{until}==", picture.number));
        (200, json!({"endpoints": shown[from..until], "next_token": next}))
    }

    fn begin(self: &Arc<Self>, state: &mut State, now: Duration, asked: &Value) -> (u16, Value) {
        let no = |status, why: &str| (status, json!({"error": why}));
        let (service, worker, nonce) =
            (asked["service"].as_str(), asked["worker"].as_str(), asked["request_nonce"].as_str());
        let function = service.and_then(|s| state.functions.get(s)).cloned();
        let Some(function) = function else { return no(400, "no such service") };
        let Some(nonce) = nonce.filter(|n| !n.is_empty() && n.len() <= 64) else {
            return no(400, "no nonce");
        };
        let Some(worker) = worker else { return no(400, "no worker") };
        let told = |e: &Endpoint| (200, json!({"id": e.id(), "address": e.address()}));
        let key = (function.name.clone(), nonce.to_owned());
        if let Some(start) = state.nonces.get(&key) {
            return told(&state.starts[*start].endpoint);
        }
        let Some(place) = state.place(worker) else { return no(409, "no such worker") };
        if state.places[place].standing != Standing::Ready {
            return no(409, "it is down or draining");
        }
        if state.free(place) < function.memory_mb {
            return no(409, "no room");
        }
        let spread = self.shape.boot_spread.clamp(0.0, 1.0);
        let factor = 1.0 - spread + 2.0 * spread * state.rng.random::<f64>();
        let boot = Duration::from_millis(function.boot_ms).mul_f64(factor);
        let manner = state.manners.get(&function.name).cloned().unwrap_or_default();
        let reuse = Duration::from_secs_f64(self.auditor.bounds().addr_reuse_s);
        let address = self.shape.reuses.then(|| state.address(now, &function.name, reuse)).flatten();
        let endpoint = {
            let _entered = self.runtime.enter();
            Endpoint::boot(&function, manner, boot, address, self.auditor.clone())
        };
        state.nonces.insert(key, state.starts.len());
        let start = state.starts.len();
        let answer = told(&endpoint);
        state.starts.push(Start {
            endpoint: endpoint.clone(),
            worker: place,
            since: now,
            ended: None,
            stopped: false,
            crashed: None,
        });
        // Each step of its life changes the lists.
        let world = self.clone();
        self.runtime.spawn(async move {
            for phase in [Phase::Up, Phase::Leaving, Phase::Stopping, Phase::Over] {
                endpoint.reaches(phase).await;
                let (mut state, now) = (lock(&world.state), world.auditor.now());
                if phase == Phase::Over {
                    state.starts[start].ended.get_or_insert(now);
                    let had = endpoint.function().name.clone();
                    state.freed.push_back((now, endpoint.address(), had));
                }
                world.changed(state);
            }
        });
        answer
    }

    fn stop(&self, state: &mut State, asked: &Value) -> (u16, Value) {
        let id = asked["id"].as_str().unwrap_or_default();
        match state.starts.iter_mut().find(|s| s.endpoint.id() == id) {
            Some(start) => {
                start.stopped = true;
                start.endpoint.stop();
                (200, json!({}))
            }
            None => (404, json!({"error": "no such endpoint"})),
        }
    }
}
