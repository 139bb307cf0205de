//! A proxy: its coordinator, client requests with their attempts, and messages to peers. Corresponds to
//! `proxy/src/frontend.rs` and `proxy.rs`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use millpost_config::{RouteTable, Traffic};
use millpost_net::idle_connections::{ConnectionId, UsedConnections};
use millpost_net::messaging::Incarnation;
use millpost_protocol::PeerMessage;
use millpost_scheduler::{
    Action as Decided, AttemptTimeouts, ClientTimeouts, DenialReason, FlowStep, FunctionSpec, Outcome, Peer,
    RecordedCoordinator as Coordinator, Refusal, RequestFlow, RequestInfo, SchedulerLimits, ShutdownPhase,
    TraceEvent,
};
use xxhash_rust::xxh3::xxh3_64;

use super::outbox::{BatchOutcome, Outbox};
use super::parse_cache::ParsedConfig;
use super::{Exchanged, Payload, ProcessContext, ProcessInput, ProcessOutput, Request};
use crate::mutation::Mutation;
use crate::{MS, SECOND, Time};

const TICK_INTERVAL: Time = 25 * MS;
const HEARTBEAT_INTERVAL: Time = 450 * MS;
const REPORT_RETRY_DELAY: Time = 100 * MS;
const MESSAGE_TIMEOUT: Time = 700 * MS;
/// Maximum number of concurrent batches to one proxy.
const MAX_BATCHES: usize = 2;
const PROBE_INTERVAL: Time = 12 * MS;
const PROBE_DURATION: Time = 20 * SECOND;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WaitState {
    Permit(u64),
    Exchange { ask: u64, exchange: u64, since: Time, until: Option<Time> },
    Pause(Time),
}

/// Status and seal of an endpoint's response.
type Answer = (u16, u64);

struct PendingRequest {
    request: Request,
    service: CompactString,
    deadline: Time,
    flow: RequestFlow<Answer>,
    /// Number of the request, if it is recorded.
    number: Option<u64>,
    instance: CompactString,
    state: WaitState,
    /// The connections that have carried an attempt.
    used: UsedConnections,
}

impl PendingRequest {
    /// Records a trace event of the request.
    fn trace(&self, coordinator: &mut Coordinator, now: Time, step: impl FnOnce(u64) -> TraceEvent) {
        if let Some(p) = self.number {
            coordinator.trace(now, &step(p));
        }
    }

    /// Records the end of an attempt.
    fn trace_attempt_end(
        &self,
        coordinator: &mut Coordinator,
        now: Time,
        begun: Time,
        outcome: Outcome,
        sent: bool,
        status: Option<u16>,
    ) {
        let instance = self.instance.clone();
        self.trace(coordinator, now, |p| TraceEvent::Ended { p, begun, instance, outcome, sent, status });
    }
}

struct ActiveConfig {
    known: Rc<ParsedConfig>,
    table: Rc<RouteTable>,
}

struct Probe {
    address: SocketAddr,
    until: Time,
    next: Option<Time>,
}

/// The incarnation reported to the proxy at this address.
fn incarnation_for(
    incarnations: &mut HashMap<CompactString, Incarnation>,
    own: u64,
    address: &CompactString,
) -> Incarnation {
    incarnations.entry(address.clone()).or_insert_with(|| Incarnation::new(own)).clone()
}

/// One proxy process.
pub struct ProxyProcess {
    context: ProcessContext,
    agent: CompactString,
    coordinator: Coordinator,
    active_config: Option<ActiveConfig>,
    client_timeouts: ClientTimeouts,
    attempt_timeouts: AttemptTimeouts,
    outboxes: BTreeMap<CompactString, Outbox>,
    /// Peers whose outboxes hold waiting messages.
    ready: BTreeSet<CompactString>,
    /// Recipient of each batch in flight.
    in_flight: HashMap<u64, CompactString>,
    probes: BTreeMap<CompactString, Probe>,
    pending: HashMap<u64, PendingRequest>,
    /// Client of each permit request,
    permit_requests: HashMap<u64, u64>,
    /// ... and of each exchange.
    exchanges: HashMap<u64, u64>,
    /// Deadlines and pauses, by time and client.
    due: BTreeSet<(Time, u64)>,
    next: u64,
    tick_at: Time,
    beat_at: Time,
    retry_report_at: Option<Time>,
    /// When SIGTERM came.
    leaving: Option<Time>,
    /// Start times of the remaining shutdown phases.
    ends_at: Vec<Time>,
    /// Drained by an operator until this time.
    drained_until: Time,
    /// The controllers that the agent was told of.
    controllers: Vec<CompactString>,
    replying: Option<(CompactString, Vec<PeerMessage>)>,
    /// The incarnation reported to other proxies, by their addresses.
    incarnations: HashMap<CompactString, Incarnation>,
    /// First known address of each function; used by [`Mutation::StaleAddress`] only.
    stale: HashMap<CompactString, SocketAddr>,
    outs: Vec<ProcessOutput>,
}

impl ProxyProcess {
    /// Starts a proxy; `agent` is the address of the local agent.
    pub fn new(context: ProcessContext, agent: CompactString, mut limits: SchedulerLimits) -> Self {
        let me =
            Peer { name: context.name.clone(), address: context.address.clone(), zone: context.zone.clone() };
        let seed = context.incarnation ^ xxh3_64(context.name.as_bytes());
        if context.mutation == Some(Mutation::UnlimitedRetries) {
            (limits.retry_ratio, limits.retry_slack) = (1e6, 1e6);
        }
        let sink = context
            .records
            .as_ref()
            .map(|r| r.begin_incarnation(&context.name, "stall", context.incarnation));
        let coordinator = Coordinator::new(me, limits, seed, (context.incarnation & 0xffff_ffff) << 20, sink);
        ProxyProcess {
            context,
            agent,
            coordinator,
            active_config: None,
            client_timeouts: ClientTimeouts::default(),
            attempt_timeouts: AttemptTimeouts::default(),
            outboxes: BTreeMap::new(),
            ready: BTreeSet::new(),
            in_flight: HashMap::new(),
            probes: BTreeMap::new(),
            pending: HashMap::new(),
            permit_requests: HashMap::new(),
            exchanges: HashMap::new(),
            due: BTreeSet::new(),
            next: 0,
            tick_at: 0,
            beat_at: 0,
            retry_report_at: None,
            leaving: None,
            ends_at: Vec::new(),
            drained_until: 0,
            controllers: Vec::new(),
            replying: None,
            incarnations: HashMap::new(),
            stale: HashMap::new(),
            outs: Vec::new(),
        }
    }

    /// Whether the proxy is ready for client traffic.
    pub fn ready(&self, now: Time) -> bool {
        self.active_config.is_some()
            && self.coordinator.has_view()
            && self.leaving.is_none()
            && now >= self.drained_until
    }

    /// The current shutdown phase.
    fn phase(&self, now: Time) -> ShutdownPhase {
        let after = |at: Time| ShutdownPhase::after(self.context.grace, now.saturating_sub(at));
        self.leaving.map_or(ShutdownPhase::Serving, after)
    }

    /// Whether it no longer accepts connections.
    pub fn refuses_connections(&self, now: Time) -> bool {
        self.phase(now) >= ShutdownPhase::Closing
    }

    /// Whether the process has exited.
    pub fn has_exited(&self, now: Time) -> bool {
        let hurried = self.context.mutation == Some(Mutation::ImmediateExit) && self.leaving.is_some();
        hurried || self.phase(now) == ShutdownPhase::Finished
    }

    /// Revision of the active configuration; 0 if there is none.
    pub fn active_revision(&self) -> u64 {
        self.active_config.as_ref().map_or(0, |f| f.known.config.revision)
    }

    /// Handles an input and returns the resulting outputs.
    pub fn input(&mut self, now: Time, input: ProcessInput) -> Vec<ProcessOutput> {
        match input {
            ProcessInput::Tick => {}
            ProcessInput::Call { call, payload: Payload::Messages { from, incarnation, messages } } => {
                let payload = self.receive_messages(now, &from, incarnation, messages);
                self.outs.push(ProcessOutput::Reply { call, payload });
            }
            ProcessInput::Call { call, .. } => {
                self.outs.push(ProcessOutput::Reply { call, payload: Payload::Refused(404) })
            }
            ProcessInput::Answer { id, payload } => self.batch_done(now, id, payload),
            ProcessInput::Request { client, request } => self.request(now, client, request),
            ProcessInput::Gone { client } => self.client_gone(now, client),
            ProcessInput::Exchanged { id, connection, done } => self.exchanged(now, id, connection, done),
            ProcessInput::ReadinessProbed { id, up } => self.readiness_probed(now, &id, up),
            ProcessInput::Leave => {
                if self.leaving.is_none() {
                    self.leaving = Some(now);
                    self.ends_at =
                        ShutdownPhase::schedule(self.context.grace).map(|(_, after)| now + after).to_vec();
                }
            }
            ProcessInput::Line { .. } | ProcessInput::Ended { .. } | ProcessInput::Seeds(_) => {}
        }
        self.run_due(now);
        self.carry_out(now);
        self.send_batches(now);
        std::mem::take(&mut self.outs)
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self) -> Time {
        let outboxes = self.ready.iter().filter_map(|to| self.outboxes.get(to)?.due()).min();
        let probes_due = self.probes.values().filter_map(|s| s.next).min();
        let due = self.due.first().map(|d| d.0);
        let beat = self.retry_report_at.unwrap_or(Time::MAX).min(self.beat_at);
        let ends = self.ends_at.first().copied().unwrap_or(Time::MAX);
        self.tick_at
            .min(beat)
            .min(ends)
            .min(outboxes.into_iter().chain(probes_due).chain(due).min().unwrap_or(Time::MAX))
    }

    fn run_due(&mut self, now: Time) {
        while let Some((at, client)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
            let Some(pending) = self.pending.get_mut(&client) else { continue };
            match pending.state {
                WaitState::Pause(until) if until <= now => {
                    let step = pending.flow.request_permit();
                    self.step(now, client, step);
                }
                _ if at >= pending.deadline => self.deadline_passed(now, client),
                WaitState::Exchange { until: Some(until), .. } if until <= now => {
                    self.attempt_timed_out(now, client)
                }
                _ => {}
            }
        }
        self.advance_shutdown(now);
        if now >= self.tick_at {
            self.tick_at = now + TICK_INTERVAL;
            self.coordinator.tick(now);
        }
        if now >= self.beat_at || self.retry_report_at.is_some_and(|at| now >= at) {
            self.retry_report_at = None;
            self.beat_at = now + HEARTBEAT_INTERVAL;
            let peer = millpost_protocol::Peer {
                name: self.context.name.clone(),
                address: self.context.address.clone(),
                zone: self.context.zone.clone(),
            };
            let split = self.coordinator.view_split();
            let digest = self.coordinator.view_digest();
            self.send_to_agent(PeerMessage::Heartbeat {
                peer,
                serving: !self.refuses_connections(now),
                split,
                digest,
            });
            if now < self.drained_until {
                let left = (self.drained_until - now) as f64 / MS as f64;
                self.send_to_agent(PeerMessage::Drain { name: self.context.name.clone(), left });
            }
            self.send_to_agent(PeerMessage::ConfigApplied { revision: self.active_revision(), number: 0 });
            if !self.controllers.is_empty() {
                self.send_to_agent(PeerMessage::Controllers { addresses: self.controllers.clone() });
            }
        }
        let probes_due: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, s)| s.next.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in probes_due {
            let boots = self.coordinator.is_booting(&id);
            let Some(probe) = self.probes.get_mut(&id) else { continue };
            if now >= probe.until || !boots {
                self.probes.remove(&id);
                continue;
            }
            probe.next = None;
            self.outs.push(ProcessOutput::ProbeReadiness { id, address: probe.address });
        }
    }

    fn readiness_probed(&mut self, now: Time, id: &CompactString, up: bool) {
        if up {
            self.probes.remove(id);
            self.coordinator.instance_up(now, id);
        } else if let Some(probe) = self.probes.get_mut(id) {
            probe.next = Some(now + PROBE_INTERVAL);
        }
    }

    fn send_to_agent(&mut self, message: PeerMessage) {
        self.push(self.agent.clone(), message);
    }

    fn push(&mut self, to: CompactString, message: PeerMessage) {
        self.outboxes.entry(to.clone()).or_insert_with(|| Outbox::new(MAX_BATCHES)).push(message);
        self.ready.insert(to);
    }

    fn send_batches(&mut self, now: Time) {
        for to in self.ready.clone() {
            let Some(outbox) = self.outboxes.get_mut(&to) else { continue };
            while let Some(messages) = outbox.take(now, self.next + 1) {
                let incarnation =
                    incarnation_for(&mut self.incarnations, self.context.incarnation, &to).get();
                self.next += 1;
                self.in_flight.insert(self.next, to.clone());
                let payload = Payload::Messages { from: self.context.name.clone(), incarnation, messages };
                self.outs.push(ProcessOutput::Call {
                    id: self.next,
                    to: to.clone(),
                    payload,
                    within: MESSAGE_TIMEOUT,
                });
            }
            if outbox.is_empty() {
                self.ready.remove(&to);
            }
        }
    }

    fn batch_done(&mut self, now: Time, id: u64, payload: Option<Payload>) {
        let Some(to) = self.in_flight.remove(&id) else { return };
        let Some(outbox) = self.outboxes.get_mut(&to) else { return };
        let taken = matches!(payload, Some(Payload::Taken | Payload::Messages { .. }));
        match outbox.batch_done(now, id, taken) {
            BatchOutcome::Lost(_) if to == self.agent => {
                self.retry_report_at = Some(now + REPORT_RETRY_DELAY);
                self.coordinator.controller_unreachable(now);
            }
            BatchOutcome::Lost(messages) => self.coordinator.undelivered(now, &to, messages),
            BatchOutcome::Up | BatchOutcome::Well => {}
        }
        if let Some(Payload::Messages { from, incarnation, messages }) = payload {
            self.receive_from_peer(now, &from, incarnation, messages);
        }
    }

    fn receive_messages(
        &mut self,
        now: Time,
        from: &str,
        incarnation: u64,
        messages: Vec<PeerMessage>,
    ) -> Payload {
        let mut between = Vec::new();
        for mut message in messages {
            if matches!(self.context.mutation, Some(Mutation::IgnoreLeaving | Mutation::SilentShutdown)) {
                match &mut message {
                    PeerMessage::FullView { leaving, .. } => leaving.clear(),
                    PeerMessage::ViewChange(shift) => shift.leaving.clear(),
                    _ => {}
                }
            }
            match message {
                PeerMessage::PackedConfig { revision, packed } if revision > self.active_revision() => {
                    if let Some(known) = self.context.parse_cache.read(&packed) {
                        self.activate(now, known);
                    }
                }
                PeerMessage::Config { revision, body } if revision > self.active_revision() => {
                    let known = body.stringify().ok().and_then(|text| self.context.parse_cache.read(&text));
                    if let Some(known) = known {
                        self.activate(now, known);
                    }
                }
                PeerMessage::Patch { revision, change } if revision > self.active_revision() => {
                    let old = self.active_config.as_ref().map(|f| Rc::clone(&f.known));
                    if let Some(known) = old.and_then(|old| self.context.parse_cache.change(&old, &change)) {
                        self.activate(now, known);
                    }
                }
                PeerMessage::PackedPatch { revision, packed } if revision > self.active_revision() => {
                    let old = self.active_config.as_ref().map(|f| Rc::clone(&f.known));
                    let known = old.and_then(|old| self.context.parse_cache.packed_change(&old, &packed));
                    if let Some(known) = known {
                        self.activate(now, known);
                    }
                }
                PeerMessage::PackedConfig { .. }
                | PeerMessage::Config { .. }
                | PeerMessage::Patch { .. }
                | PeerMessage::PackedPatch { .. } => {}
                PeerMessage::FullView { .. }
                | PeerMessage::ViewChange(_)
                | PeerMessage::Instances { .. }
                | PeerMessage::MinInstances { .. }
                | PeerMessage::Leader { .. } => self.coordinator.receive_from_controller(now, message),
                PeerMessage::Controllers { addresses } => self.controllers = addresses,
                PeerMessage::Drain { left, .. } => self.drained_until = now + (left * MS as f64) as Time,
                message => between.push(message),
            }
        }
        if between.is_empty() {
            return Payload::Taken;
        }
        let address = self.coordinator.address_of(from).cloned();
        self.receive_from_peer(now, from, incarnation, between);
        self.replying = address.map(|address| (address, Vec::new()));
        self.carry_out(now);
        match self.replying.take() {
            Some((address, messages)) if !messages.is_empty() => {
                let incarnation =
                    incarnation_for(&mut self.incarnations, self.context.incarnation, &address).get();
                Payload::Messages { from: self.context.name.clone(), incarnation, messages }
            }
            _ => Payload::Taken,
        }
    }

    /// Handles messages from another proxy.
    fn receive_from_peer(&mut self, now: Time, from: &str, incarnation: u64, mut messages: Vec<PeerMessage>) {
        for message in
            messages.extract_if(.., |message| matches!(message, PeerMessage::StaleIncarnation { .. }))
        {
            let address = self.coordinator.address_of(from).cloned();
            if let (PeerMessage::StaleIncarnation { known }, Some(address)) = (message, address) {
                incarnation_for(&mut self.incarnations, self.context.incarnation, &address)
                    .raise_above(known);
            }
        }
        self.coordinator.receive(now, from, incarnation, messages);
    }

    fn activate(&mut self, now: Time, known: Rc<ParsedConfig>) {
        // With this mutation one proxy ignores all changes after its first configuration.
        if self.context.mutation == Some(Mutation::StaleConfig)
            && self.context.name.ends_with("-0")
            && self.active_config.is_some()
        {
            return;
        }
        let same = |f: &ActiveConfig| f.known.config.services == known.config.services;
        let unchanged = self.active_config.as_ref().is_some_and(same);
        let more = if self.context.mutation == Some(Mutation::OverSlots) { 3 } else { 0 };
        let specs = known.config.services.iter().map(|s| FunctionSpec {
            name: s.name.clone(),
            concurrency: s.concurrency.max(1) + more,
            startup_time: s.boot_ms * MS,
            memory_mb: s.memory_mb,
        });
        if !unchanged {
            self.coordinator.configure(now, specs);
        }
        let table = self.context.parse_cache.table(&known);
        self.coordinator.trace(now, &TraceEvent::ConfigInForce { revision: known.config.revision });
        self.client_timeouts.retain(|name| table.routes().iter().any(|r| r.name == *name));
        self.attempt_timeouts.retain(|name| known.config.services.iter().any(|s| s.name == *name));
        self.active_config = Some(ActiveConfig { known, table });
        self.send_to_agent(PeerMessage::ConfigApplied { revision: self.active_revision(), number: 0 });
    }

    /// Responds to a request without any attempt.
    fn reject(&mut self, now: Time, client: u64, request: &Request, (status, again): (u16, Option<Time>)) {
        if self.coordinator.is_recording() {
            let attempt = request.attempt.to_string().into();
            self.coordinator.trace(now, &TraceEvent::Rejected { attempt, status });
        }
        self.answer(client, status, again, None);
    }

    fn answer(&mut self, client: u64, status: u16, again: Option<Time>, seal: Option<u64>) {
        self.pending.remove(&client);
        self.outs.push(ProcessOutput::Answer { client, status, again, seal });
    }

    fn request(&mut self, now: Time, client: u64, request: Request) {
        let Some(active_config) = &self.active_config else {
            return self.reject(now, client, &request, Refusal::NotReady.answer());
        };
        let Some(route) = active_config.table.find(&request.host, &request.path).cloned() else {
            return self.reject(now, client, &request, (404, None));
        };
        if self.context.mutation == Some(Mutation::SpuriousDenial) && request.attempt.is_multiple_of(50) {
            return self.reject(now, client, &request, (403, None));
        }
        let returned = self.client_timeouts.is_returning(&route.name, request.left as f64 / MS as f64);
        let deadline = now + request.left.min(route.deadline_ms * MS);
        let Some(service) = route.pick(xxh3_64(&request.attempt.to_le_bytes())).cloned() else {
            return self.reject(now, client, &request, (404, None));
        };
        let repeatable =
            route.traffic == Traffic::Idempotent || self.context.mutation == Some(Mutation::RetryUnsafe);
        let most = match self.context.mutation {
            Some(Mutation::UnlimitedRetries) => 20,
            Some(Mutation::RetryUnsafe) => route.max_tries + 1,
            _ => route.max_tries,
        };
        let info = RequestInfo {
            service: service.clone(),
            zone: self.context.zone.clone(),
            target: route.target_latency_ms * MS,
            repeatable,
            max_attempts: most,
            received_at: now,
            deadline,
            returned,
        };
        let number = self.coordinator.next_request_number();
        if let Some(p) = number {
            let (attempt, info) = (request.attempt.to_string().into(), info.clone());
            self.coordinator
                .trace(now, &TraceEvent::Received { p, attempt, route: route.name.clone(), info });
        }
        let mut flow = RequestFlow::new(info);
        let step = flow.begin(self.coordinator.has_view());
        let instance = CompactString::default();
        let state = WaitState::Pause(now);
        let used = UsedConnections::default();
        let pending = PendingRequest { request, service, deadline, flow, number, instance, state, used };
        self.pending.insert(client, pending);
        self.due.insert((deadline, client));
        self.step(now, client, step);
    }

    /// Carries out the next step of a request.
    fn step(&mut self, now: Time, client: u64, step: FlowStep<Answer>) {
        let Some(pending) = self.pending.get_mut(&client) else { return };
        match step {
            FlowStep::Respond(Ok((status, seal))) => self.answer(client, status, None, Some(seal)),
            FlowStep::Respond(Err(refusal)) => self.refuse(client, refusal),
            FlowStep::ResolveRoute => self.resolve_route(now, client),
            FlowStep::Wait(at) => {
                pending.state = WaitState::Pause(at.max(now));
                self.due.insert((at.max(now), client));
            }
            FlowStep::RequestPermit(ask, first) => {
                match self.coordinator.request_permit(now, ask, first, pending.number) {
                    Some(id) => {
                        pending.state = WaitState::Permit(id);
                        self.permit_requests.insert(id, client);
                    }
                    None => {
                        let step = pending.flow.too_many_open();
                        self.step(now, client, step);
                    }
                }
            }
        }
    }

    /// The service of a request was removed: resolves its route again.
    fn resolve_route(&mut self, now: Time, client: u64) {
        let Some(pending) = self.pending.get_mut(&client) else { return };
        let of = &pending.request;
        let route = self
            .active_config
            .as_ref()
            .and_then(|active_config| active_config.table.find(&of.host, &of.path));
        let to = route.and_then(|route| route.pick(xxh3_64(&of.attempt.to_le_bytes()))).cloned();
        pending.trace(&mut self.coordinator, now, |p| TraceEvent::Moved { p, to: to.clone() });
        pending.service = to.clone().unwrap_or_default();
        let step = pending.flow.route_resolved(now, to);
        self.step(now, client, step);
    }

    fn refuse(&mut self, client: u64, refusal: Refusal) {
        let promised = self.context.mutation == Some(Mutation::FalseRefusal);
        let (status, again) = match refusal {
            Refusal::TimedOut | Refusal::NoAnswer if promised => Refusal::NotSent.answer(),
            refusal => refusal.answer(),
        };
        self.answer(client, status, again, None);
    }

    /// Shutdown: refuses waiting requests, and in a later phase ends running ones without a response.
    fn advance_shutdown(&mut self, now: Time) {
        self.ends_at.retain(|at| *at > now);
        let phase = self.phase(now);
        if phase < ShutdownPhase::Refusing || self.context.mutation == Some(Mutation::SilentShutdown) {
            return;
        }
        let runs = |state: WaitState| matches!(state, WaitState::Exchange { .. });
        let due =
            self.pending.iter().filter(|(_, pending)| phase >= ShutdownPhase::Ending || !runs(pending.state));
        let mut due: Vec<_> = due.map(|(client, _)| *client).collect();
        due.sort_unstable();
        for client in due {
            let Some(pending) = self.pending.get_mut(&client) else { continue };
            let step = match pending.state {
                WaitState::Permit(ask) => {
                    self.permit_requests.remove(&ask);
                    self.coordinator.finish(now, ask, Outcome::Unused, 0);
                    pending.trace(&mut self.coordinator, now, |p| TraceEvent::DeadlinePassed { p });
                    pending.flow.shutdown()
                }
                WaitState::Pause(_) => pending.flow.shutdown(),
                WaitState::Exchange { .. } => {
                    self.deadline_passed(now, client);
                    continue;
                }
            };
            self.step(now, client, step);
        }
    }

    /// The attempt timed out: nothing has come for longer than attempts of the service take.
    fn attempt_timed_out(&mut self, now: Time, client: u64) {
        let Some(pending) = self.pending.get_mut(&client) else { return };
        let WaitState::Exchange { ask, exchange, since, .. } = pending.state else { return };
        self.exchanges.remove(&exchange);
        self.outs.push(ProcessOutput::Abort { id: exchange });
        self.attempt_timeouts.timed_out(&pending.service, now - since);
        self.coordinator.finish(now, ask, Outcome::TimedOut, now - since);
        pending.trace_attempt_end(&mut self.coordinator, now, since, Outcome::TimedOut, true, None);
        let step = pending.flow.attempt_ended(now, pending.instance.clone(), Outcome::TimedOut, true, None);
        self.step(now, client, step);
    }

    /// The deadline of the request has passed.
    fn deadline_passed(&mut self, now: Time, client: u64) {
        let Some(pending) = self.pending.get_mut(&client) else { return };
        let step = match pending.state {
            WaitState::Permit(ask) => {
                self.permit_requests.remove(&ask);
                self.coordinator.finish(now, ask, Outcome::Unused, 0);
                pending.trace(&mut self.coordinator, now, |p| TraceEvent::DeadlinePassed { p });
                pending.flow.deadline_passed()
            }
            WaitState::Exchange { ask, exchange, since, .. } => {
                self.exchanges.remove(&exchange);
                self.outs.push(ProcessOutput::Abort { id: exchange });
                self.coordinator.finish(now, ask, Outcome::Abandoned, now - since);
                pending.trace_attempt_end(&mut self.coordinator, now, since, Outcome::Abandoned, true, None);
                pending.flow.attempt_ended(now, pending.instance.clone(), Outcome::Abandoned, true, None)
            }
            WaitState::Pause(_) => {
                pending.trace(&mut self.coordinator, now, |p| TraceEvent::DeadlinePassed { p });
                pending.flow.deadline_passed()
            }
        };
        self.step(now, client, step);
    }

    fn client_gone(&mut self, now: Time, client: u64) {
        let Some(pending) = self.pending.remove(&client) else { return };
        match pending.state {
            WaitState::Permit(ask) => {
                self.permit_requests.remove(&ask);
                self.coordinator.finish(now, ask, Outcome::Unused, 0);
            }
            WaitState::Exchange { ask, exchange, since, .. } => {
                self.exchanges.remove(&exchange);
                self.outs.push(ProcessOutput::Abort { id: exchange });
                self.coordinator.finish(now, ask, Outcome::Abandoned, now - since);
            }
            WaitState::Pause(_) => {}
        }
        pending.trace(&mut self.coordinator, now, |p| TraceEvent::ClientLeft { p });
    }

    fn permit_decided(
        &mut self,
        now: Time,
        ask: u64,
        decision: Result<(CompactString, SocketAddr), DenialReason>,
    ) {
        let Some(client) = self.permit_requests.remove(&ask) else {
            if decision.is_ok() {
                self.coordinator.finish(now, ask, Outcome::Unused, 0);
            }
            return;
        };
        let Some(pending) = self.pending.get_mut(&client) else { return };
        match decision {
            Ok((instance, address)) => {
                pending.flow.granted(now);
                self.next += 1;
                let id = self.next;
                let until =
                    pending.flow.attempt_deadline(now, self.attempt_timeouts.timeout(&pending.service));
                pending.state = WaitState::Exchange { ask, exchange: id, since: now, until };
                self.due.extend(until.map(|until| (until, client)));
                pending.instance = instance.clone();
                self.exchanges.insert(id, client);
                let mut request =
                    Request { left: pending.deadline.saturating_sub(now), ..pending.request.clone() };
                if self.context.mutation == Some(Mutation::ChangedRequestId) {
                    request.attempt += 1 << 40;
                }
                let address = match self.context.mutation {
                    Some(Mutation::StaleAddress) => {
                        *self.stale.entry(pending.service.clone()).or_insert(address)
                    }
                    _ => address,
                };
                let expect = (self.context.mutation != Some(Mutation::StaleAddress)).then_some(instance);
                let (deadline, used) = (pending.deadline, pending.used.clone());
                self.outs.push(ProcessOutput::Exchange { id, address, expect, request, deadline, used });
            }
            // The coordinator has already dropped a request that it refused.
            Err(no) => {
                pending.trace(&mut self.coordinator, now, |p| TraceEvent::Denied { p, reason: no });
                let step = pending.flow.denied(now, no);
                self.step(now, client, step);
            }
        }
    }

    fn exchanged(&mut self, now: Time, id: u64, connection: ConnectionId, done: Exchanged) {
        let Some(client) = self.exchanges.remove(&id) else { return };
        let Some(pending) = self.pending.get_mut(&client) else { return };
        if self.context.mutation != Some(Mutation::SharedConnections) {
            pending.used.add(connection);
        }
        let WaitState::Exchange { ask, since, .. } = pending.state else { return };
        let instance = pending.instance.clone();
        self.coordinator.finish(now, ask, done.outcome, now - since);
        if done.outcome == Outcome::Answered {
            self.attempt_timeouts.answered(&pending.service, now - since);
        }
        if done.refused {
            self.coordinator.connection_refused(now, &instance);
        }
        let garbled =
            done.outcome == Outcome::NoAnswer && self.context.mutation == Some(Mutation::UnverifiedAnswer);
        if let Some((status, seal)) = done.answer.filter(|_| garbled) {
            return self.answer(client, status, None, Some(seal));
        }
        let status = done.answer.map(|(status, _)| status);
        pending.trace_attempt_end(&mut self.coordinator, now, since, done.outcome, done.sent, status);
        let step = pending.flow.attempt_ended(now, instance, done.outcome, done.sent, done.answer);
        self.step(now, client, step);
    }

    fn carry_out(&mut self, now: Time) {
        loop {
            let decided = self.coordinator.take_actions();
            if decided.is_empty() {
                return;
            }
            for one in decided {
                match one {
                    Decided::Send { to, note: message } => match &mut self.replying {
                        Some((address, messages)) if *address == to => messages.push(message),
                        _ => self.push(to, message),
                    },
                    Decided::Granted { ask, instance, address } => match address.parse() {
                        Ok(address) => self.permit_decided(now, ask, Ok((instance, address))),
                        Err(_) => self.coordinator.finish(now, ask, Outcome::Unused, 0),
                    },
                    Decided::Refused { ask, reason: no } => self.permit_decided(now, ask, Err(no)),
                    Decided::NotifyController(message) => self.send_to_agent(message),
                    Decided::ProbeReadiness { instance, from } => {
                        let Ok(address) = instance.address.parse() else { continue };
                        self.probes.entry(instance.id).or_insert(Probe {
                            address,
                            until: now + PROBE_DURATION,
                            next: Some(from.max(now)),
                        });
                    }
                }
            }
        }
    }
}
