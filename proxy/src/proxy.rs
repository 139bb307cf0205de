//! State shared by the parts of the proxy, and the main loop, which executes the actions of the coordinator.

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

use crate::config_revisions::ConfigRevisions;
use crate::drain::Drain;
use crate::errors::Error;
use crate::metrics::Counters;
use crate::pool::Pool;

/// Interval at which timers of the coordinator are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of heartbeats, which include the applied configuration revision.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);
/// Delay before the next heartbeat if the agent did not receive the last one.
const RETRY_AFTER_LOSS: Duration = Duration::from_millis(100);
/// Limits of each outbox; a proxy that does not answer in time is considered unreachable.
const OUTBOX_LIMITS: OutboxLimits = OutboxLimits {
    max_messages: 8_000,
    max_bytes: 4 << 20,
    max_in_flight: 2,
    timeout: Duration::from_millis(700),
};
/// Interval between connection attempts to a starting instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(12);
/// Time after which a starting instance is no longer probed, and left to the controller.
const PROBE_FOR: Duration = Duration::from_secs(20);

/// The applied configuration, with lookup tables.
pub struct ActiveConfig {
    /// The configuration as received.
    pub config: Config,
    /// Routes by host and path prefix.
    pub table: RouteTable,
    /// Maximum number of idle connections per instance, by function.
    pub idle: Rc<HashMap<CompactString, usize>>,
}

/// Maximum number of peers for which an incarnation is kept.
const MAX_INCARNATIONS: usize = 10_000;
/// Name of the agent in outbox events; proxies are named by their addresses.
const AGENT: &str = "porter";

/// Answer to a permit request: instance and address, or the reason of the denial.
pub type PermitResult = Result<(CompactString, SocketAddr), DenialReason>;

/// State shared by the parts of the proxy. All of it is used on a single thread.
pub struct Proxy {
    /// Settings with which the process started.
    pub settings: Settings,
    /// Connections to instances.
    pub pool: Pool,
    /// The applied configuration.
    pub active: RefCell<Option<Rc<ActiveConfig>>>,
    /// Timeouts observed for the clients of each route.
    pub client_timeouts: RefCell<ClientTimeouts>,
    /// Timeouts of attempts, from the response times of each function.
    pub attempt_timeouts: RefCell<AttemptTimeouts>,
    coordinator: RefCell<Coordinator>,
    /// Permit requests that are not answered yet, by number.
    waiting: RefCell<HashMap<u64, oneshot::Sender<PermitResult>>>,
    outboxes: RefCell<HashMap<CompactString, Outbox>>,
    agent: Outbox,
    probing: RefCell<HashMap<CompactString, ()>>,
    /// While a call is being answered: the caller's address and the messages for the answer.
    replying: RefCell<Option<(CompactString, Vec<JsonValue>)>>,
    inputs: mpsc::Sender<Input>,
    /// Calls of the agent.
    urgent: mpsc::Sender<Input>,
    queue: RefCell<Option<InputQueue>>,
    /// Counters for metrics.
    pub counters: Counters,
    /// The applied and the committed configuration revision.
    pub revisions: ConfigRevisions,
    drain: Drain,
    /// The controllers that the agent was told of, kept for an agent that restarts.
    controllers: RefCell<Vec<CompactString>>,
    /// Time of an early heartbeat, after the agent did not receive the last one.
    retry_heartbeat: Cell<Option<Instant>>,
    /// Incarnation of this process: its start time in milliseconds since the Unix epoch.
    incarnation: u64,
    /// Incarnation of this process as sent to each proxy, by address.
    incarnations: RefCell<HashMap<CompactString, Incarnation>>,
    started: Instant,
}

/// Pending inputs: calls of the agent, and all others.
struct InputQueue {
    urgent: mpsc::Receiver<Input>,
    others: mpsc::Receiver<Input>,
}

impl InputQueue {
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

/// An input of the main loop.
pub enum Input {
    /// A call of another proxy, the agent or the platform.
    Call(Call, oneshot::Sender<Reply>),
    /// An event of an outbox.
    Outbox(Event),
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Input::Outbox(event)
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

/// Returns the address itself if it is a loopback address, and 127.0.0.1 otherwise.
pub fn loopback(ip: IpAddr) -> IpAddr {
    if ip.is_loopback() { ip } else { IpAddr::V4(Ipv4Addr::LOCALHOST) }
}

impl Proxy {
    /// Creates a proxy. With `speeds` it ranks workers by measured response times. The inputs of its
    /// coordinator are recorded to `sink`.
    pub async fn open(settings: Settings, speeds: bool, mut sink: Option<Sink>) -> Result<Rc<Self>, Error> {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = unix.as_millis() as u64;
        if let Some(sink) = &mut sink {
            sink(&Head::new(&settings.node_name, "stall", incarnation, incarnation).line());
        }
        let address = SocketAddr::new(settings.ip, settings.internal_ports.0);
        let me = Peer {
            name: settings.node_name.clone(),
            address: address.to_string().into(),
            zone: settings.zone.clone(),
        };
        let limits = SchedulerLimits {
            retry_ratio: settings.bounds.retry_ratio,
            retry_window: (settings.bounds.retry_window_s * 1e9) as Nanos,
            retry_slack: settings.bounds.retry_slack,
            requests_per_s: max_requests_per_s(
                settings.limits.link_mbps,
                settings.limits.cpu_share * settings.limits.cpu_cores,
            ),
            rank_by_latency: speeds,
        };
        // Request numbers must be unique across restarts, and at most 2^53, which a JSON number represents
        // exactly.
        let first = (incarnation & 0xffff_ffff) << 20;
        let seed = incarnation ^ xxhash_rust::xxh3::xxh3_64(me.name.as_bytes());
        let coordinator = Coordinator::new(me, limits, seed, first, sink);
        let (inputs, others) = mpsc::channel(4_000);
        let (urgent, first) = mpsc::channel(100);
        let agent = SocketAddr::new(loopback(settings.ip), settings.internal_ports.0 + 2);
        let agent =
            OutboxTarget { peer: AGENT.into(), ..to(agent, &settings, Incarnation::new(incarnation)) };
        let agent = Outbox::new(agent, OUTBOX_LIMITS, inputs.clone());
        Ok(Rc::new(Proxy {
            pool: Pool::default(),
            active: RefCell::default(),
            client_timeouts: RefCell::default(),
            attempt_timeouts: RefCell::default(),
            coordinator: RefCell::new(coordinator),
            waiting: RefCell::default(),
            outboxes: RefCell::default(),
            agent,
            probing: RefCell::default(),
            replying: RefCell::default(),
            inputs,
            urgent,
            queue: RefCell::new(Some(InputQueue { urgent: first, others })),
            counters: Counters::default(),
            revisions: ConfigRevisions::default(),
            drain: Drain::default(),
            controllers: RefCell::default(),
            retry_heartbeat: Cell::new(None),
            incarnation,
            incarnations: RefCell::default(),
            started: Instant::now(),
            settings,
        }))
    }

    /// Nanoseconds since the start of the process.
    pub fn now(&self) -> Nanos {
        self.at(Instant::now())
    }

    /// Converts an instant to nanoseconds since the start of the process.
    pub fn at(&self, moment: Instant) -> Nanos {
        moment.saturating_duration_since(self.started).as_nanos() as Nanos
    }

    /// Converts nanoseconds since the start of the process to an instant.
    pub fn moment(&self, at: Nanos) -> Instant {
        self.started + Duration::from_nanos(at)
    }

    /// Whether the proxy is ready to receive client requests.
    pub fn ready(&self) -> bool {
        self.active.borrow().is_some() && self.coordinator.borrow().has_view() && !self.is_drained()
    }

    /// Whether an operator has drained this proxy.
    pub fn is_drained(&self) -> bool {
        self.drain.is_on(self.now())
    }

    fn set_drain(&self, name: &str, remaining_ms: f64) {
        if *name == *self.settings.node_name && self.drain.set(self.now(), remaining_ms) {
            log::info!("{}", if self.is_drained() { "drained by an operator" } else { "drain ended" });
        }
    }

    /// Queue for calls of the agent. They are processed before all others, as they may change function
    /// owners.
    pub fn urgent_inputs(&self) -> mpsc::Sender<Input> {
        self.urgent.clone()
    }

    /// Queue for all other calls.
    pub fn inputs(&self) -> mpsc::Sender<Input> {
        self.inputs.clone()
    }

    /// Processes inputs and executes actions until shutdown has finished.
    pub async fn run(self: &Rc<Self>, mut phases: watch::Receiver<ShutdownPhase>) {
        let Some(mut queue) = self.queue.borrow_mut().take() else { return };
        // The first heartbeat is sent at once: after a restart other proxies wait for it.
        let (mut heartbeat, mut sweep, mut due) = (None::<Instant>, Instant::now(), Instant::now());
        loop {
            let mut next = None;
            tokio::select! {
                _ = phases.wait_for(|p| *p == ShutdownPhase::Finished) => {
                    return self.counters.log_open_requests(self.now(), &self.coordinator.borrow());
                }
                input = queue.recv() => next = input,
                () = sleep_until(due) => {}
            }
            let phase = *phases.borrow();
            while let Some(input) = next {
                self.handle_input(input, phase);
                next = queue.try_recv();
            }
            if Instant::now() >= due {
                due = Instant::now() + TICK_INTERVAL;
                self.coordinator.borrow_mut().tick(self.now());
            }
            self.execute_actions();
            self.counters.log_permits(self.now(), &self.coordinator.borrow());
            let retry_heartbeat = self.retry_heartbeat.get().is_some_and(|at| Instant::now() >= at);
            if retry_heartbeat || heartbeat.is_none_or(|at| at.elapsed() >= HEARTBEAT_INTERVAL) {
                self.retry_heartbeat.set(None);
                heartbeat = Some(Instant::now());
                let peer = millpost_protocol::Peer {
                    name: self.settings.node_name.clone(),
                    address: SocketAddr::new(self.settings.ip, self.settings.internal_ports.0)
                        .to_string()
                        .into(),
                    zone: self.settings.zone.clone(),
                };
                let serving = *phases.borrow() < ShutdownPhase::Closing;
                let split = self.coordinator.borrow().view_split();
                let digest = self.coordinator.borrow().view_digest();
                self.send_to_agent(&PeerMessage::Heartbeat { peer, serving, split, digest });
                if let Some(left) = self.drain.remaining_ms(self.now()) {
                    self.send_to_agent(&PeerMessage::Drain { name: self.settings.node_name.clone(), left });
                }
                self.send_to_agent(&PeerMessage::ConfigApplied {
                    revision: self.revisions.applied(),
                    number: 0,
                });
                let controllers = self.controllers.borrow().clone();
                if !controllers.is_empty() {
                    self.send_to_agent(&PeerMessage::Controllers { addresses: controllers });
                }
                if self.revisions.must_query() {
                    self.send_to_agent(&PeerMessage::QueryRevision);
                }
            }
            if sweep.elapsed() >= Duration::from_secs(1) {
                sweep = Instant::now();
                // By age only: a proxy does not know the instances of functions that it does not own.
                self.pool.close_expired();
            }
        }
    }

    fn send_to_agent(&self, message: &PeerMessage) {
        if self.agent.push(message.to_json()).is_err() {
            log::warn!("outbox of the agent is full; message dropped");
        }
    }

    fn handle_input(self: &Rc<Self>, input: Input, phase: ShutdownPhase) {
        match input {
            Input::Call(call, reply) => {
                let _ = reply.send(self.handle_call(&call, phase));
            }
            Input::Outbox(Event::Undelivered { peer, .. }) if &*peer == AGENT => {
                self.retry_heartbeat.set(Some(Instant::now() + RETRY_AFTER_LOSS));
                self.coordinator.borrow_mut().controller_unreachable(self.now())
            }
            Input::Outbox(Event::Undelivered { peer, messages }) => {
                let messages =
                    messages.iter().filter_map(|message| PeerMessage::read(message).ok()).collect();
                self.coordinator.borrow_mut().undelivered(self.now(), &peer, messages);
            }
            Input::Outbox(Event::Answered { body, .. }) => {
                if let Some(batch) =
                    messaging::json(&body).as_ref().and_then(|json| MessageBatch::read(json).ok())
                {
                    self.receive(&batch.from, batch.incarnation, batch.messages);
                }
            }
            Input::Outbox(_) => {}
        }
    }

    /// Answers a batch of messages from another proxy or the agent, a readiness check or a metrics request.
    fn handle_call(self: &Rc<Self>, call: &Call, phase: ShutdownPhase) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/readiness") if self.ready() && phase == ShutdownPhase::Serving => {
                return Reply::empty(StatusCode::OK);
            }
            ("GET", "/readiness") => return Reply::empty(StatusCode::SERVICE_UNAVAILABLE),
            ("GET", metrics::PATH) => {
                let (now, ready) = (self.now(), self.ready() && phase == ShutdownPhase::Serving);
                let coordinator = self.coordinator.borrow();
                return self
                    .counters
                    .metrics(now, &coordinator, phase, ready, self.revisions.applied())
                    .reply();
            }
            (_, "/mail") if call.method == Method::POST => {}
            _ => return Reply::empty(StatusCode::NOT_FOUND),
        }
        let Some(batch) = call.json().as_ref().and_then(|json| MessageBatch::read(json).ok()) else {
            return Reply::empty(StatusCode::BAD_REQUEST);
        };
        for fault in &batch.faults {
            log::warn!("invalid message from {}: {fault}", batch.from);
        }
        let now = self.now();
        let (from_controller, from_proxies): (Vec<_>, Vec<_>) =
            batch.messages.into_iter().partition(|message| {
                matches!(
                    message,
                    PeerMessage::Config { .. }
                        | PeerMessage::PackedConfig { .. }
                        | PeerMessage::Patch { .. }
                        | PeerMessage::PackedPatch { .. }
                        | PeerMessage::FullView { .. }
                        | PeerMessage::ViewChange(_)
                        | PeerMessage::Instances { .. }
                        | PeerMessage::MinInstances { .. }
                        | PeerMessage::Leader { .. }
                        | PeerMessage::Controllers { .. }
                        | PeerMessage::Drain { .. }
                        | PeerMessage::CommittedRevision { .. }
                )
            });
        for message in from_controller {
            match message {
                // The applied revision never decreases: older or equal ones are not even decompressed.
                PeerMessage::Config { revision, .. }
                | PeerMessage::PackedConfig { revision, .. }
                | PeerMessage::Patch { revision, .. }
                | PeerMessage::PackedPatch { revision, .. }
                    if self.has_applied(revision) => {}
                PeerMessage::Config { revision, body } => self.apply_config(revision, &body),
                PeerMessage::PackedConfig { revision, packed } => {
                    match messaging::json(
                        millpost_net::pack::unpack(&packed, 16 << 20).unwrap_or_default().as_bytes(),
                    ) {
                        Some(body) => self.apply_config(revision, &body),
                        None => log::error!("cannot decompress configuration {revision}"),
                    }
                }
                PeerMessage::Patch { revision, change } => self.apply_patch(revision, &change),
                PeerMessage::PackedPatch { revision, packed } => {
                    let text = millpost_net::pack::unpack(&packed, 16 << 20).unwrap_or_default();
                    match messaging::json(text.as_bytes()) {
                        Some(change) => self.apply_patch(revision, &change),
                        None => log::error!("cannot decompress the change to configuration {revision}"),
                    }
                }
                PeerMessage::Drain { name, left } => self.set_drain(&name, left),
                PeerMessage::Controllers { addresses } => *self.controllers.borrow_mut() = addresses,
                PeerMessage::CommittedRevision { revision } => self.revisions.set_committed(revision),
                message => self.coordinator.borrow_mut().receive_from_controller(now, message),
            }
        }
        if from_proxies.is_empty() {
            return Reply::empty(StatusCode::OK);
        }
        // Messages to the caller are sent with the answer instead of in a request of their own.
        let address = self.coordinator.borrow().address_of(&batch.from).cloned();
        self.receive(&batch.from, batch.incarnation, from_proxies);
        *self.replying.borrow_mut() = address.map(|address| (address, Vec::new()));
        self.execute_actions();
        match self.replying.borrow_mut().take() {
            Some((address, messages)) if !messages.is_empty() => {
                let incarnation = self.incarnation_for(&address).get();
                let body = object([
                    ("from", text(&self.settings.node_name)),
                    ("life", JsonValue::Number(incarnation as f64)),
                    ("notes", JsonValue::Array(messages)),
                ]);
                Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
            }
            _ => Reply::empty(StatusCode::OK),
        }
    }

    /// Processes messages from another proxy.
    fn receive(&self, from: &str, incarnation: u64, mut messages: Vec<PeerMessage>) {
        for message in
            messages.extract_if(.., |message| matches!(message, PeerMessage::StaleIncarnation { .. }))
        {
            if let PeerMessage::StaleIncarnation { known } = message {
                self.raise_incarnation(from, known);
            }
        }
        self.coordinator.borrow_mut().receive(self.now(), from, incarnation, messages);
    }

    /// Raises the incarnation sent to a peer that knows a higher one of this proxy.
    fn raise_incarnation(&self, peer: &str, known: u64) {
        let Some(address) = self.coordinator.borrow().address_of(peer).cloned() else { return };
        if self.incarnation_for(&address).raise_above(known) {
            log::warn!("{peer} knows a later incarnation of this proxy: the wall clock has stepped back");
        }
    }

    /// Returns the incarnation of this process as sent to the proxy at this address.
    fn incarnation_for(&self, address: &str) -> Incarnation {
        let mut incarnations = self.incarnations.borrow_mut();
        // Drops entries of proxies that are gone. A live one receives too low a number, and reports that
        // again.
        if incarnations.len() > MAX_INCARNATIONS {
            incarnations.clear();
        }
        incarnations.entry(address.into()).or_insert_with(|| Incarnation::new(self.incarnation)).clone()
    }

    /// Whether this revision or a newer one has been applied.
    fn has_applied(&self, revision: u64) -> bool {
        self.active.borrow().as_ref().is_some_and(|active| active.config.revision >= revision)
    }

    fn apply_config(&self, revision: u64, body: &JsonValue) {
        match Config::read(&JsonCursor::root(body)) {
            Ok(config) => self.activate(config),
            Err(e) => log::error!("configuration {revision}: {e}"),
        }
    }

    fn apply_patch(&self, revision: u64, difference: &JsonValue) {
        let Some(active) = self.active.borrow().clone() else { return };
        match change::apply(&active.config, difference) {
            Ok(config) => self.activate(config),
            // The next heartbeat reports the older revision, and the agent then sends the whole
            // configuration.
            Err(e) => log::warn!("change to configuration {revision}: {e}"),
        }
    }

    fn activate(&self, config: Config) {
        self.revisions.set_applied(config.revision);
        self.record_event(self.now(), &TraceEvent::ConfigInForce { revision: config.revision });
        let named: HashSet<_> = config.routes.iter().map(|r| &r.name).collect();
        self.client_timeouts.borrow_mut().retain(|name| named.contains(name));
        let served: HashSet<_> = config.services.iter().map(|s| &s.name).collect();
        self.attempt_timeouts.borrow_mut().retain(|name| served.contains(name));
        log::info!("configuration {} applied, {} routes", config.revision, config.routes.len());
        let before = self.active.borrow().clone();
        if let Some(before) = before.filter(|before| before.config.services == config.services) {
            let active = ActiveConfig { table: RouteTable::new(&config), idle: before.idle.clone(), config };
            *self.active.borrow_mut() = Some(Rc::new(active));
            return self.send_to_agent(&PeerMessage::ConfigApplied {
                revision: self.revisions.applied(),
                number: 0,
            });
        }
        let proxies = self.coordinator.borrow().owners().len().max(1);
        let idle = config.services.iter().map(|s| {
            let part = (s.max_conns as usize / proxies).max(1);
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
        let active = ActiveConfig { table: RouteTable::new(&config), idle: Rc::new(idle.collect()), config };
        *self.active.borrow_mut() = Some(Rc::new(active));
        self.coordinator.borrow_mut().configure(self.now(), specs.into_iter());
        self.send_to_agent(&PeerMessage::ConfigApplied { revision: self.revisions.applied(), number: 0 });
        // The caller executes the resulting actions.
    }

    /// Whether the membership view is known, so that function owners can be determined.
    pub fn has_view(&self) -> bool {
        self.coordinator.borrow().has_view()
    }

    /// Whether the inputs of the coordinator are recorded.
    pub fn is_recording(&self) -> bool {
        self.coordinator.borrow().is_recording()
    }

    /// Returns a number for the trace of the next client request; `None` while recording is off.
    pub fn next_trace_number(&self) -> Option<u64> {
        self.coordinator.borrow_mut().next_request_number()
    }

    /// Records a step of a client request.
    pub fn record_event(&self, now: Nanos, event: &TraceEvent) {
        self.coordinator.borrow_mut().trace(now, event);
    }

    /// Requests a permit. Returns the number of the permit request, for [`Proxy::finish`], and the channel
    /// that receives the answer; `None` if too many requests are open. `trace` is the trace number of the
    /// client request.
    pub fn request_permit(
        self: &Rc<Self>,
        request: PermitRequest,
        first: bool,
        trace: Option<u64>,
    ) -> Option<(u64, oneshot::Receiver<PermitResult>)> {
        let (sender, receiver) = oneshot::channel();
        let id = {
            let mut coordinator = self.coordinator.borrow_mut();
            coordinator.request_permit(self.now(), request, first, trace)?
        };
        self.waiting.borrow_mut().insert(id, sender);
        self.execute_actions();
        Some((id, receiver))
    }

    /// Ends a permit request: its permit was used, or the request was given up.
    pub fn finish(self: &Rc<Self>, id: u64, outcome: Outcome, took: Nanos) {
        self.waiting.borrow_mut().remove(&id);
        self.coordinator.borrow_mut().finish(self.now(), id, outcome, took);
        self.execute_actions();
    }

    /// Records the outcome and duration of an attempt that started at `begun`.
    pub fn attempt_ended(&self, service: &CompactString, outcome: Outcome, begun: Instant) {
        let took = begun.elapsed().as_nanos() as Nanos;
        match outcome {
            Outcome::Answered => self.attempt_timeouts.borrow_mut().answered(service, took),
            Outcome::TimedOut => self.attempt_timeouts.borrow_mut().timed_out(service, took),
            _ => {}
        }
    }

    /// Reports that an instance refused a connection.
    pub fn connection_refused(self: &Rc<Self>, instance: &CompactString) {
        self.coordinator.borrow_mut().connection_refused(self.now(), instance);
        self.execute_actions();
    }

    /// Executes the pending actions of the coordinator.
    fn execute_actions(self: &Rc<Self>) {
        loop {
            let actions = self.coordinator.borrow_mut().take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, note: message } => self.send_to_proxy(to, &message),
            Action::Granted { ask, instance, address } => {
                let sender = self.waiting.borrow_mut().remove(&ask);
                let Ok(address) = address.parse() else {
                    log::error!("instance {instance}: invalid address {address}");
                    self.coordinator.borrow_mut().finish(self.now(), ask, Outcome::Unused, 0);
                    return;
                };
                if sender.is_none_or(|sender| sender.send(Ok((instance, address))).is_err()) {
                    self.coordinator.borrow_mut().finish(self.now(), ask, Outcome::Unused, 0);
                }
            }
            Action::Refused { ask, reason } => {
                if let Some(sender) = self.waiting.borrow_mut().remove(&ask) {
                    let _ = sender.send(Err(reason));
                }
            }
            Action::NotifyController(message) => self.send_to_agent(&message),
            Action::ProbeReadiness { instance, from } => self.probe(instance.id, &instance.address, from),
        }
    }

    fn send_to_proxy(&self, to: CompactString, message: &PeerMessage) {
        if let Some((address, messages)) = &mut *self.replying.borrow_mut()
            && *address == to
        {
            messages.push(message.to_json());
            return;
        }
        let mut outboxes = self.outboxes.borrow_mut();
        if !outboxes.contains_key(&to) {
            let Ok(address) = to.parse() else { return log::error!("invalid address of a proxy: {to}") };
            // Bounds the number of outboxes that remain for proxies that are gone.
            if outboxes.len() > 1_000 {
                outboxes.clear();
            }
            let incarnation = self.incarnation_for(&to);
            let outbox = Outbox::new(
                self::to(address, &self.settings, incarnation),
                OUTBOX_LIMITS,
                self.inputs.clone(),
            );
            outboxes.insert(to.clone(), outbox);
        }
        if let Some(outbox) = outboxes.get(&to)
            && outbox.push(message.to_json()).is_err()
        {
            log::warn!("outbox of {to} is full; message dropped");
        }
    }

    /// Probes a starting instance until it accepts a connection.
    fn probe(self: &Rc<Self>, id: CompactString, address: &str, from: Nanos) {
        let Ok(address) = address.parse::<SocketAddr>() else { return };
        if self.probing.borrow_mut().insert(id.clone(), ()).is_some() {
            return;
        }
        let proxy = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let until = Instant::now() + PROBE_FOR;
            sleep_until(proxy.moment(from)).await;
            while Instant::now() < until && proxy.coordinator.borrow().is_booting(&id) {
                if proxy.pool.probe(&id, address, true).await {
                    proxy.coordinator.borrow_mut().instance_up(proxy.now(), &id);
                    break;
                }
                sleep(PROBE_INTERVAL).await;
            }
            proxy.probing.borrow_mut().remove(&id);
            proxy.execute_actions();
        });
    }
}
