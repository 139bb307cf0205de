//! What the parts of a stall share, and the loop that carries out what the desk decides.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use millpost_config::{Config, JsonCursor, RouteTable, Settings, change};
use millpost_net::messaging::{self, Call, Event, Incarnation, Outbox, OutboxLimits, OutboxTarget, Reply};
use millpost_net::metrics;
use millpost_protocol::frame::Head;
use millpost_protocol::{MessageBatch, PeerMessage, object, text};
use millpost_scheduler::{
    Action, AttemptTimeouts, ClientTimeouts, DenialReason, FunctionSpec, MS, Nanos, Outcome, Peer,
    PermitRequest, RecordedCoordinator as Coordinator, SchedulerLimits, ShutdownPhase, Sink, TraceEvent,
    max_requests_per_s,
};
use tinyjson::JsonValue;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::currency::Currency;
use crate::errors::Error;
use crate::figures::Counters;
use crate::pool::Pool;
use crate::rest::Rest;

/// How often what is due is looked for.
const TICK: Duration = Duration::from_millis(25);
/// How often a stall says that it is alive, and acts on which configuration.
const BEAT: Duration = Duration::from_millis(450);
/// ... and this soon where its porter did not hear it.
const HURRY: Duration = Duration::from_millis(100);
/// Mail to another stall is answered within this, or the stall is passed over.
const BOUNDS: OutboxLimits = OutboxLimits {
    max_messages: 8_000,
    max_bytes: 4 << 20,
    max_in_flight: 2,
    timeout: Duration::from_millis(700),
};
/// Pause between two looks at an instance that starts.
const SCOUT: Duration = Duration::from_millis(12);
/// An instance that has not come up by then is left to control.
const SCOUT_FOR: Duration = Duration::from_secs(20);

/// The configuration in force, ready for use.
pub struct Force {
    /// As it came.
    pub config: Config,
    /// Routes by host and prefix.
    pub table: RouteTable,
    /// Idle connections to one instance of a function that this stall may keep.
    pub idle: Rc<HashMap<CompactString, usize>>,
}

/// Other stalls for each of which the number of this incarnation is kept.
const MOST_INCARNATIONS: usize = 10_000;
/// What the porter is called where mail fails; other stalls go by their addresses.
const PORTER: &str = "porter";

/// A word for a request that waits for its permit.
pub type Word = Result<(CompactString, SocketAddr), DenialReason>;

/// What the parts of a stall share. All on one thread.
pub struct Shop {
    /// The settings that this process started with.
    pub settings: Settings,
    /// Connections to instances.
    pub pool: Pool,
    /// The configuration in force.
    pub force: RefCell<Option<Rc<Force>>>,
    /// What clients were seen to give.
    pub patience: RefCell<ClientTimeouts>,
    /// What answers of each function take.
    pub margins: RefCell<AttemptTimeouts>,
    desk: RefCell<Coordinator>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Word>>>,
    posts: RefCell<HashMap<CompactString, Outbox>>,
    porter: Outbox,
    scouting: RefCell<HashMap<CompactString, ()>>,
    /// While mail is being answered: whose, and what the answer says.
    replying: RefCell<Option<(CompactString, Vec<JsonValue>)>>,
    inputs: mpsc::Sender<Input>,
    /// The porter's mail.
    urgent: mpsc::Sender<Input>,
    coming: RefCell<Option<Coming>>,
    /// What is counted for operators.
    pub counters: Counters,
    /// Which configuration is in force here, and which one stands.
    pub currency: Currency,
    rest: Rest,
    /// The porter did not take the last word: it is said again then.
    hurry: Cell<Option<Instant>>,
    life: u64,
    /// What other stalls are told of it, by their addresses.
    incarnations: RefCell<HashMap<CompactString, Incarnation>>,
    began: Instant,
}

/// What waits to be taken in: the porter's mail, and all else.
struct Coming {
    urgent: mpsc::Receiver<Input>,
    others: mpsc::Receiver<Input>,
}

impl Coming {
    async fn recv(&mut self) -> Option<Input> {
        tokio::select! {
            biased;
            input = self.urgent.recv() => input,
            input = self.others.recv() => input,
        }
    }

    fn try_recv(&mut self) -> Option<Input> {
        self.urgent.try_recv().or_else(|_| self.others.try_recv()).ok()
    }
}

/// What comes in.
pub enum Input {
    /// A call of another stall or of the porter.
    Call(Call, oneshot::Sender<Reply>),
    /// How mail fares.
    Mail(Event),
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Input::Mail(event)
    }
}

fn to(address: SocketAddr, settings: &Settings, incarnation: Incarnation) -> OutboxTarget {
    OutboxTarget {
        peer: address.to_string().into(),
        address,
        path: "/mail".to_owned(),
        headers: HeaderMap::new(),
        from: text(&settings.node_name),
        incarnation,
    }
}

/// The loopback address of this machine.
pub fn loopback(ip: IpAddr) -> IpAddr {
    if ip.is_loopback() { ip } else { IpAddr::V4(Ipv4Addr::LOCALHOST) }
}

impl Shop {
    /// A stall with these settings, which learns how fast workers are or not. What its desk is given goes to `sink` too.
    pub async fn open(settings: Settings, speeds: bool, mut sink: Option<Sink>) -> Result<Rc<Self>, Error> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let life = unix.as_millis() as u64;
        if let Some(sink) = &mut sink {
            sink(&Head::new(&settings.node_name, "stall", life, life).line());
        }
        let address = SocketAddr::new(settings.ip, settings.internal_ports.0);
        let me = Peer {
            name: settings.node_name.clone(),
            address: address.to_string().into(),
            zone: settings.zone.clone(),
        };
        let terms = SchedulerLimits {
            retry_ratio: settings.bounds.retry_ratio,
            retry_window: (settings.bounds.retry_window_s * 1e9) as Nanos,
            retry_slack: settings.bounds.retry_slack,
            requests_per_s: max_requests_per_s(
                settings.limits.link_mbps,
                settings.limits.cpu_share * settings.limits.cpu_cores,
            ),
            rank_by_latency: speeds,
        };
        // Numbers of asks are never used twice, in no life; 2^53 is the most that a JSON number tells.
        let first = (life & 0xffff_ffff) << 20;
        let seed = life ^ xxhash_rust::xxh3::xxh3_64(me.name.as_bytes());
        let desk = Coordinator::new(me, terms, seed, first, sink);
        let (inputs, others) = mpsc::channel(4_000);
        let (urgent, first) = mpsc::channel(100);
        let porter = SocketAddr::new(loopback(settings.ip), settings.internal_ports.0 + 2);
        let porter = OutboxTarget { peer: PORTER.into(), ..to(porter, &settings, Incarnation::new(life)) };
        let porter = Outbox::new(porter, BOUNDS, inputs.clone());
        Ok(Rc::new(Shop {
            pool: Pool::default(),
            force: RefCell::default(),
            patience: RefCell::default(),
            margins: RefCell::default(),
            desk: RefCell::new(desk),
            waiting: RefCell::default(),
            posts: RefCell::default(),
            porter,
            scouting: RefCell::default(),
            replying: RefCell::default(),
            inputs,
            urgent,
            coming: RefCell::new(Some(Coming { urgent: first, others })),
            counters: Counters::default(),
            currency: Currency::default(),
            rest: Rest::default(),
            hurry: Cell::new(None),
            life,
            incarnations: RefCell::default(),
            began: Instant::now(),
            settings,
        }))
    }

    /// Nanoseconds since the start of the process.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// A moment in that time.
    pub fn at(&self, moment: Instant) -> Nanos {
        moment.saturating_duration_since(self.began).as_nanos() as Nanos
    }

    /// That moment again.
    pub fn moment(&self, at: Nanos) -> Instant {
        self.began + Duration::from_nanos(at)
    }

    /// Whether clients may be sent here.
    pub fn ready(&self) -> bool {
        self.force.borrow().is_some() && self.desk.borrow().has_view() && !self.rests()
    }

    /// Whether operators have taken this stall out for a while.
    pub fn rests(&self) -> bool {
        self.rest.is_on(self.now())
    }

    fn rest(&self, name: &str, left: f64) {
        if *name == *self.settings.node_name && self.rest.told(self.now(), left) {
            log::info!("{}", if self.rests() { "rests: an operator took it out" } else { "rests no more" });
        }
    }

    /// Where the porter's mail is taken in; it goes before all else: who owns what may have changed.
    pub fn urgent(&self) -> mpsc::Sender<Input> {
        self.urgent.clone()
    }

    /// Where all other calls are taken in.
    pub fn inputs(&self) -> mpsc::Sender<Input> {
        self.inputs.clone()
    }

    /// Takes in what comes, and carries out what is decided, to the end.
    pub async fn rounds(self: &Rc<Self>, mut phases: watch::Receiver<ShutdownPhase>) {
        let Some(mut coming) = self.coming.borrow_mut().take() else { return };
        // The first word of it goes out at once: others wait for that after a restart.
        let (mut beat, mut sweep, mut due) = (None::<Instant>, Instant::now(), Instant::now());
        loop {
            let mut came = None;
            tokio::select! {
                _ = phases.wait_for(|p| *p == ShutdownPhase::Finished) => {
                    return self.counters.tell_open(self.now(), &self.desk.borrow());
                }
                input = coming.recv() => came = input,
                () = sleep_until(due) => {}
            }
            let phase = *phases.borrow();
            while let Some(input) = came {
                self.input(input, phase);
                came = coming.try_recv();
            }
            if Instant::now() >= due {
                due = Instant::now() + TICK;
                self.desk.borrow_mut().tick(self.now());
            }
            self.carry_out();
            self.counters.tell_permits(self.now(), &self.desk.borrow());
            let hurry = self.hurry.get().is_some_and(|at| Instant::now() >= at);
            if hurry || beat.is_none_or(|at| at.elapsed() >= BEAT) {
                self.hurry.set(None);
                beat = Some(Instant::now());
                let peer = millpost_protocol::Peer {
                    name: self.settings.node_name.clone(),
                    address: SocketAddr::new(self.settings.ip, self.settings.internal_ports.0)
                        .to_string()
                        .into(),
                    zone: self.settings.zone.clone(),
                };
                let serving = *phases.borrow() < ShutdownPhase::Closing;
                let split = self.desk.borrow().view_split();
                let digest = self.desk.borrow().view_digest();
                self.up(&PeerMessage::Heartbeat { peer, serving, split, digest });
                if let Some(left) = self.rest.left(self.now()) {
                    self.up(&PeerMessage::Drain { name: self.settings.node_name.clone(), left });
                }
                self.up(&PeerMessage::ConfigApplied { revision: self.currency.acted(), number: 0 });
                if self.currency.asks() {
                    self.up(&PeerMessage::QueryRevision);
                }
            }
            if sweep.elapsed() >= Duration::from_secs(1) {
                sweep = Instant::now();
                // By their age alone: of others' functions no stall hears which instances there are.
                self.pool.sweep();
            }
        }
    }

    fn up(&self, note: &PeerMessage) {
        if self.porter.push(note.to_json()).is_err() {
            log::warn!("the porter takes nothing more");
        }
    }

    fn input(self: &Rc<Self>, input: Input, phase: ShutdownPhase) {
        match input {
            Input::Call(call, reply) => {
                let _ = reply.send(self.call(&call, phase));
            }
            Input::Mail(Event::Undelivered { peer, .. }) if &*peer == PORTER => {
                self.hurry.set(Some(Instant::now() + HURRY));
                self.desk.borrow_mut().controller_unreachable(self.now())
            }
            Input::Mail(Event::Undelivered { peer, messages: notes }) => {
                let notes = notes.iter().filter_map(|n| PeerMessage::read(n).ok()).collect();
                self.desk.borrow_mut().undelivered(self.now(), &peer, notes);
            }
            Input::Mail(Event::Answered { body, .. }) => {
                if let Some(letter) =
                    messaging::json(&body).as_ref().and_then(|json| MessageBatch::read(json).ok())
                {
                    self.mail(&letter.from, letter.incarnation, letter.messages);
                }
            }
            Input::Mail(_) => {}
        }
    }

    /// Mail from another stall or from the porter, or the platform asks whether clients may be sent here.
    fn call(self: &Rc<Self>, call: &Call, phase: ShutdownPhase) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/readiness") if self.ready() && phase == ShutdownPhase::Serving => {
                return Reply::empty(StatusCode::OK);
            }
            ("GET", "/readiness") => return Reply::empty(StatusCode::SERVICE_UNAVAILABLE),
            ("GET", metrics::PATH) => {
                let (now, ready) = (self.now(), self.ready() && phase == ShutdownPhase::Serving);
                let desk = self.desk.borrow();
                return self.counters.figures(now, &desk, phase, ready, self.currency.acted()).reply();
            }
            (_, "/mail") if call.method == Method::POST => {}
            _ => return Reply::empty(StatusCode::NOT_FOUND),
        }
        let Some(letter) = call.json().as_ref().and_then(|json| MessageBatch::read(json).ok()) else {
            return Reply::empty(StatusCode::BAD_REQUEST);
        };
        for fault in &letter.faults {
            log::warn!("a note from {}: {fault}", letter.from);
        }
        let now = self.now();
        let (down, between): (Vec<_>, Vec<_>) = letter.messages.into_iter().partition(|n| {
            matches!(
                n,
                PeerMessage::Config { .. }
                    | PeerMessage::PackedConfig { .. }
                    | PeerMessage::Patch { .. }
                    | PeerMessage::PackedPatch { .. }
                    | PeerMessage::FullView { .. }
                    | PeerMessage::ViewChange(_)
                    | PeerMessage::Instances { .. }
                    | PeerMessage::MinInstances { .. }
                    | PeerMessage::Leader { .. }
                    | PeerMessage::Drain { .. }
                    | PeerMessage::CommittedRevision { .. }
            )
        });
        for note in down {
            match note {
                // One life never goes back; what was told before is not unpacked again.
                PeerMessage::Config { revision, .. }
                | PeerMessage::PackedConfig { revision, .. }
                | PeerMessage::Patch { revision, .. }
                | PeerMessage::PackedPatch { revision, .. }
                    if self.has(revision) => {}
                PeerMessage::Config { revision, body } => self.configure(revision, &body),
                PeerMessage::PackedConfig { revision, packed } => {
                    match messaging::json(
                        millpost_net::pack::unpack(&packed, 16 << 20).unwrap_or_default().as_bytes(),
                    ) {
                        Some(body) => self.configure(revision, &body),
                        None => log::error!("configuration {revision} can't be unpacked"),
                    }
                }
                PeerMessage::Patch { revision, change } => self.patch(revision, &change),
                PeerMessage::PackedPatch { revision, packed } => {
                    let text = millpost_net::pack::unpack(&packed, 16 << 20).unwrap_or_default();
                    match messaging::json(text.as_bytes()) {
                        Some(change) => self.patch(revision, &change),
                        None => log::error!("change to {revision} can't be unpacked"),
                    }
                }
                PeerMessage::Drain { name, left } => self.rest(&name, left),
                PeerMessage::CommittedRevision { revision } => self.currency.stands(revision),
                note => self.desk.borrow_mut().receive_from_controller(now, note),
            }
        }
        if between.is_empty() {
            return Reply::empty(StatusCode::OK);
        }
        // What is to be said in return goes with the answer, and needs no mail of its own.
        let address = self.desk.borrow().address_of(&letter.from).cloned();
        self.mail(&letter.from, letter.incarnation, between);
        *self.replying.borrow_mut() = address.map(|address| (address, Vec::new()));
        self.carry_out();
        match self.replying.borrow_mut().take() {
            Some((address, notes)) if !notes.is_empty() => {
                let life = self.incarnation_for(&address).get();
                let body = object([
                    ("from", text(&self.settings.node_name)),
                    ("life", JsonValue::Number(life as f64)),
                    ("notes", JsonValue::Array(notes)),
                ]);
                Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
            }
            _ => Reply::empty(StatusCode::OK),
        }
    }

    /// Mail from another stall.
    fn mail(&self, from: &str, life: u64, mut notes: Vec<PeerMessage>) {
        for note in notes.extract_if(.., |note| matches!(note, PeerMessage::StaleIncarnation { .. })) {
            if let PeerMessage::StaleIncarnation { known } = note {
                self.raise_incarnation(from, known);
            }
        }
        self.desk.borrow_mut().receive(self.now(), from, life, notes);
    }

    /// Another stall knows this one by a later life.
    fn raise_incarnation(&self, by: &str, known: u64) {
        let Some(address) = self.desk.borrow().address_of(by).cloned() else { return };
        if self.incarnation_for(&address).raise_above(known) {
            log::warn!("{by} knows this stall by a later life: the time of day has stepped back");
        }
    }

    /// What the stall at this address is told of which life this is.
    fn incarnation_for(&self, address: &str) -> Incarnation {
        let mut incarnations = self.incarnations.borrow_mut();
        // Stalls that are no more; one that is hears a number that is too low, and says so again.
        if incarnations.len() > MOST_INCARNATIONS {
            incarnations.clear();
        }
        incarnations.entry(address.into()).or_insert_with(|| Incarnation::new(self.life)).clone()
    }

    /// Whether this configuration, or a newer one, is in force.
    fn has(&self, revision: u64) -> bool {
        self.force.borrow().as_ref().is_some_and(|force| force.config.revision >= revision)
    }

    fn configure(&self, revision: u64, body: &JsonValue) {
        match Config::read(&JsonCursor::root(body)) {
            Ok(config) => self.put_in_force(config),
            Err(e) => log::error!("configuration {revision}: {e}"),
        }
    }

    fn patch(&self, revision: u64, difference: &JsonValue) {
        let Some(force) = self.force.borrow().clone() else { return };
        match change::apply(&force.config, difference) {
            Ok(config) => self.put_in_force(config),
            // Who is behind says so with its beat, and gets all of it.
            Err(e) => log::warn!("change to {revision}: {e}"),
        }
    }

    fn put_in_force(&self, config: Config) {
        self.currency.act(config.revision);
        self.trail(self.now(), &TraceEvent::ConfigInForce { revision: config.revision });
        let named: HashSet<_> = config.routes.iter().map(|r| &r.name).collect();
        self.patience.borrow_mut().retain(|name| named.contains(name));
        let served: HashSet<_> = config.services.iter().map(|s| &s.name).collect();
        self.margins.borrow_mut().retain(|name| served.contains(name));
        log::info!("configuration {} with {} routes", config.revision, config.routes.len());
        let before = self.force.borrow().clone();
        if let Some(before) = before.filter(|before| before.config.services == config.services) {
            let force = Force { table: RouteTable::new(&config), idle: before.idle.clone(), config };
            *self.force.borrow_mut() = Some(Rc::new(force));
            return self.up(&PeerMessage::ConfigApplied { revision: self.currency.acted(), number: 0 });
        }
        let stalls = self.desk.borrow().owners().len().max(1);
        let idle = config.services.iter().map(|s| {
            let part = (s.max_conns as usize / stalls).max(1);
            (s.name.clone(), part.min(s.concurrency as usize))
        });
        let specs: Vec<_> = config
            .services
            .iter()
            .map(|s| FunctionSpec {
                name: s.name.clone(),
                concurrency: s.concurrency.max(1),
                startup_time: s.boot_ms * MS,
                memory_mb: s.memory_mb,
            })
            .collect();
        let force = Force { table: RouteTable::new(&config), idle: Rc::new(idle.collect()), config };
        *self.force.borrow_mut() = Some(Rc::new(force));
        self.desk.borrow_mut().configure(self.now(), specs.into_iter());
        self.up(&PeerMessage::ConfigApplied { revision: self.currency.acted(), number: 0 });
        // The caller carries out.
    }

    /// Control has named the stalls: there is somebody to ask.
    pub fn informed(&self) -> bool {
        self.desk.borrow().has_view()
    }

    /// What is decided on is recorded.
    pub fn records(&self) -> bool {
        self.desk.borrow().is_recording()
    }

    /// A number for the next request's trail; none where nothing is recorded.
    pub fn follow(&self) -> Option<u64> {
        self.desk.borrow_mut().next_request_number()
    }

    /// A step of a request's, for whoever records.
    pub fn trail(&self, now: Nanos, trail: &TraceEvent) {
        self.desk.borrow_mut().trace(now, trail);
    }

    /// Asks for a permit. The word for it comes by the channel; the number is for [`Shop::finish`]. `of`: the request's number.
    pub fn ask(
        self: &Rc<Self>,
        ask: PermitRequest,
        first: bool,
        of: Option<u64>,
    ) -> Option<(u64, oneshot::Receiver<Word>)> {
        let (told, word) = oneshot::channel();
        let id = {
            let mut desk = self.desk.borrow_mut();
            desk.request_permit(self.now(), ask, first, of)?
        };
        self.waiting.borrow_mut().insert(id, told);
        self.carry_out();
        Some((id, word))
    }

    /// An ask is over: granted and used, or given up.
    pub fn finish(self: &Rc<Self>, id: u64, outcome: Outcome, took: Nanos) {
        self.waiting.borrow_mut().remove(&id);
        self.desk.borrow_mut().finish(self.now(), id, outcome, took);
        self.carry_out();
    }

    /// A try of this function that went out then has ended so.
    pub fn took(&self, service: &CompactString, outcome: Outcome, begun: Instant) {
        let took = begun.elapsed().as_nanos() as Nanos;
        match outcome {
            Outcome::Answered => self.margins.borrow_mut().answered(service, took),
            Outcome::TimedOut => self.margins.borrow_mut().timed_out(service, took),
            _ => {}
        }
    }

    /// An instance refuses connections.
    pub fn refused(self: &Rc<Self>, instance: &CompactString) {
        self.desk.borrow_mut().connection_refused(self.now(), instance);
        self.carry_out();
    }

    /// Carries out what the desk has decided.
    fn carry_out(self: &Rc<Self>) {
        loop {
            let outs = self.desk.borrow_mut().take_actions();
            if outs.is_empty() {
                return;
            }
            for out in outs {
                self.out(out);
            }
        }
    }

    fn out(self: &Rc<Self>, out: Action) {
        match out {
            Action::Send { to, note } => self.send(to, &note),
            Action::Granted { ask, instance, address } => {
                let told = self.waiting.borrow_mut().remove(&ask);
                let Ok(address) = address.parse() else {
                    log::error!("instance {instance}: {address} is no address");
                    self.desk.borrow_mut().finish(self.now(), ask, Outcome::Unused, 0);
                    return;
                };
                if told.is_none_or(|told| told.send(Ok((instance, address))).is_err()) {
                    self.desk.borrow_mut().finish(self.now(), ask, Outcome::Unused, 0);
                }
            }
            Action::Refused { ask, reason: no } => {
                if let Some(told) = self.waiting.borrow_mut().remove(&ask) {
                    let _ = told.send(Err(no));
                }
            }
            Action::NotifyController(note) => self.up(&note),
            Action::ProbeReadiness { instance, from } => self.scout(instance.id, &instance.address, from),
        }
    }

    fn send(&self, to: CompactString, note: &PeerMessage) {
        if let Some((address, notes)) = &mut *self.replying.borrow_mut()
            && *address == to
        {
            notes.push(note.to_json());
            return;
        }
        let mut posts = self.posts.borrow_mut();
        if !posts.contains_key(&to) {
            let Ok(address) = to.parse() else { return log::error!("{to} is no address") };
            // Stalls that are no more: their posts rest, and rest only so many.
            if posts.len() > 1_000 {
                posts.clear();
            }
            let life = self.incarnation_for(&to);
            let post = Outbox::new(self::to(address, &self.settings, life), BOUNDS, self.inputs.clone());
            posts.insert(to.clone(), post);
        }
        if let Some(post) = posts.get(&to)
            && post.push(note.to_json()).is_err()
        {
            log::warn!("{to} takes nothing more");
        }
    }

    /// Tries an instance that starts until it accepts a connection.
    fn scout(self: &Rc<Self>, id: CompactString, address: &str, from: Nanos) {
        let Ok(address) = address.parse::<SocketAddr>() else { return };
        if self.scouting.borrow_mut().insert(id.clone(), ()).is_some() {
            return;
        }
        let shop = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let until = Instant::now() + SCOUT_FOR;
            sleep_until(shop.moment(from)).await;
            while Instant::now() < until && shop.desk.borrow().is_booting(&id) {
                if shop.pool.scout(&id, address, true).await {
                    shop.desk.borrow_mut().instance_up(shop.now(), &id);
                    break;
                }
                sleep(SCOUT).await;
            }
            shop.scouting.borrow_mut().remove(&id);
            shop.carry_out();
        });
    }
}
