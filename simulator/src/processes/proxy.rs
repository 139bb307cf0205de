//! A stall: its desk, its clients' requests through their tries, its mail. After `proxy/src/front.rs` and `shop.rs`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use compact_str::CompactString;
use millpost_config::{RouteTable, Traffic};
use millpost_net::messaging::Incarnation;
use millpost_protocol::PeerMessage;
use millpost_scheduler::{
    Action as Decided, AttemptTimeouts, ClientTimeouts, DenialReason, FlowStep, FunctionSpec, Outcome, Peer,
    RecordedCoordinator as Coordinator, Refusal, RequestFlow, RequestInfo, SchedulerLimits, ShutdownPhase,
    TraceEvent,
};
use xxhash_rust::xxh3::xxh3_64;

use super::outbox::{Landed, Outbox};
use super::parse_cache::Known;
use super::{Exchanged, Payload, ProcessContext, ProcessInput, ProcessOutput, Request};
use crate::mutation::Mutation;
use crate::{MS, SECOND, Time};

const TICK: Time = 25 * MS;
const BEAT: Time = 450 * MS;
const HURRY: Time = 100 * MS;
const MAIL: Time = 700 * MS;
/// Letters to one stall at once.
const AT_ONCE: usize = 2;
const SCOUT: Time = 12 * MS;
const SCOUT_FOR: Time = 20 * SECOND;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Waits {
    Word(u64),
    Exchange { ask: u64, exchange: u64, since: Time, until: Option<Time> },
    Pause(Time),
}

/// An endpoint's answer: status and seal.
type Answer = (u16, u64);

struct Asked {
    request: Request,
    service: CompactString,
    deadline: Time,
    passage: RequestFlow<Answer>,
    /// Its number, where its trail is recorded.
    number: Option<u64>,
    instance: CompactString,
    waits: Waits,
}

impl Asked {
    /// A step of its trail.
    fn follow(&self, desk: &mut Coordinator, now: Time, step: impl FnOnce(u64) -> TraceEvent) {
        if let Some(p) = self.number {
            desk.trace(now, &step(p));
        }
    }

    /// A try of it is over.
    fn over(
        &self,
        desk: &mut Coordinator,
        now: Time,
        begun: Time,
        outcome: Outcome,
        sent: bool,
        status: Option<u16>,
    ) {
        let instance = self.instance.clone();
        self.follow(desk, now, |p| TraceEvent::Ended { p, begun, instance, outcome, sent, status });
    }
}

struct Force {
    known: Rc<Known>,
    table: Rc<RouteTable>,
}

struct Scouting {
    address: SocketAddr,
    until: Time,
    next: Option<Time>,
}

/// What the stall at this address is told of which life this is.
fn incarnation_for(
    incarnations: &mut HashMap<CompactString, Incarnation>,
    own: u64,
    address: &CompactString,
) -> Incarnation {
    incarnations.entry(address.clone()).or_insert_with(|| Incarnation::new(own)).clone()
}

/// One stall.
pub struct ProxyProcess {
    place: ProcessContext,
    porter: CompactString,
    desk: Coordinator,
    force: Option<Force>,
    patience: ClientTimeouts,
    margins: AttemptTimeouts,
    posts: BTreeMap<CompactString, Outbox>,
    /// Posts with notes that wait.
    ready: BTreeSet<CompactString>,
    /// To whom a batch is on its way.
    flights: HashMap<u64, CompactString>,
    scouting: BTreeMap<CompactString, Scouting>,
    asked: HashMap<u64, Asked>,
    /// Which client an ask is for,
    words: HashMap<u64, u64>,
    /// ... and an exchange.
    exchanges: HashMap<u64, u64>,
    /// Deadlines and pauses, by client.
    due: BTreeSet<(Time, u64)>,
    next: u64,
    tick_at: Time,
    beat_at: Time,
    hurry: Option<Time>,
    /// When it was told to leave.
    leaving: Option<Time>,
    /// When the phases of its end begin that are still to come.
    ends_at: Vec<Time>,
    /// Until when operators have taken it out.
    rests: Time,
    replying: Option<(CompactString, Vec<PeerMessage>)>,
    /// What other stalls are told of its life, by their addresses.
    incarnations: HashMap<CompactString, Incarnation>,
    /// Where a function was found first: kept only where a guard is out.
    stale: HashMap<CompactString, SocketAddr>,
    outs: Vec<ProcessOutput>,
}

impl ProxyProcess {
    /// One that starts now; `porter` takes its words.
    pub fn new(place: ProcessContext, porter: CompactString, mut terms: SchedulerLimits) -> Self {
        let me = Peer { name: place.name.clone(), address: place.address.clone(), zone: place.zone.clone() };
        let seed = place.life ^ xxh3_64(place.name.as_bytes());
        if place.mutation == Some(Mutation::Unbudgeted) {
            (terms.retry_ratio, terms.retry_slack) = (1e6, 1e6);
        }
        let sink = place.records.as_ref().map(|r| r.life(&place.name, "stall", place.life));
        let desk = Coordinator::new(me, terms, seed, (place.life & 0xffff_ffff) << 20, sink);
        ProxyProcess {
            place,
            porter,
            desk,
            force: None,
            patience: ClientTimeouts::default(),
            margins: AttemptTimeouts::default(),
            posts: BTreeMap::new(),
            ready: BTreeSet::new(),
            flights: HashMap::new(),
            scouting: BTreeMap::new(),
            asked: HashMap::new(),
            words: HashMap::new(),
            exchanges: HashMap::new(),
            due: BTreeSet::new(),
            next: 0,
            tick_at: 0,
            beat_at: 0,
            hurry: None,
            leaving: None,
            ends_at: Vec::new(),
            rests: 0,
            replying: None,
            incarnations: HashMap::new(),
            stale: HashMap::new(),
            outs: Vec::new(),
        }
    }

    /// Clients may be sent here.
    pub fn ready(&self, now: Time) -> bool {
        self.force.is_some() && self.desk.has_view() && self.leaving.is_none() && now >= self.rests
    }

    /// How far its end has come.
    fn phase(&self, now: Time) -> ShutdownPhase {
        let after = |at: Time| ShutdownPhase::after(self.place.grace, now.saturating_sub(at));
        self.leaving.map_or(ShutdownPhase::Serving, after)
    }

    /// It takes no connections any more.
    pub fn closes(&self, now: Time) -> bool {
        self.phase(now) >= ShutdownPhase::Closing
    }

    /// Its process ends.
    pub fn over(&self, now: Time) -> bool {
        let hurried = self.place.mutation == Some(Mutation::Hurried) && self.leaving.is_some();
        hurried || self.phase(now) == ShutdownPhase::Finished
    }

    /// The revision that it acts on.
    pub fn acts(&self) -> u64 {
        self.force.as_ref().map_or(0, |f| f.known.config.revision)
    }

    /// What it does with this.
    pub fn input(&mut self, now: Time, input: ProcessInput) -> Vec<ProcessOutput> {
        match input {
            ProcessInput::Tick => {}
            ProcessInput::Call { call, said: Payload::Mail { from, life, notes } } => {
                let said = self.mail(now, &from, life, notes);
                self.outs.push(ProcessOutput::Reply { call, said });
            }
            ProcessInput::Call { call, .. } => {
                self.outs.push(ProcessOutput::Reply { call, said: Payload::Refused(404) })
            }
            ProcessInput::Answer { id, said } => self.landed(now, id, said),
            ProcessInput::Request { client, request } => self.request(now, client, request),
            ProcessInput::Gone { client } => self.gone(now, client),
            ProcessInput::Exchanged { id, done } => self.exchanged(now, id, done),
            ProcessInput::Scouted { id, up } => self.scouted(now, &id, up),
            ProcessInput::Leave => {
                if self.leaving.is_none() {
                    self.leaving = Some(now);
                    self.ends_at =
                        ShutdownPhase::schedule(self.place.grace).map(|(_, after)| now + after).to_vec();
                }
            }
            ProcessInput::Line { .. } | ProcessInput::Ended { .. } | ProcessInput::Seeds(_) => {}
        }
        self.due(now);
        self.carry_out(now);
        self.post(now);
        std::mem::take(&mut self.outs)
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self) -> Time {
        let posts = self.ready.iter().filter_map(|to| self.posts.get(to)?.due()).min();
        let scouts = self.scouting.values().filter_map(|s| s.next).min();
        let due = self.due.first().map(|d| d.0);
        let beat = self.hurry.unwrap_or(Time::MAX).min(self.beat_at);
        let ends = self.ends_at.first().copied().unwrap_or(Time::MAX);
        self.tick_at
            .min(beat)
            .min(ends)
            .min(posts.into_iter().chain(scouts).chain(due).min().unwrap_or(Time::MAX))
    }

    fn due(&mut self, now: Time) {
        while let Some((at, client)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.pop_first();
            let Some(asked) = self.asked.get_mut(&client) else { continue };
            match asked.waits {
                Waits::Pause(until) if until <= now => {
                    let step = asked.passage.request_permit();
                    self.step(now, client, step);
                }
                _ if at >= asked.deadline => self.late(now, client),
                Waits::Exchange { until: Some(until), .. } if until <= now => self.silent(now, client),
                _ => {}
            }
        }
        self.end(now);
        if now >= self.tick_at {
            self.tick_at = now + TICK;
            self.desk.tick(now);
        }
        if now >= self.beat_at || self.hurry.is_some_and(|at| now >= at) {
            self.hurry = None;
            self.beat_at = now + BEAT;
            let peer = millpost_protocol::Peer {
                name: self.place.name.clone(),
                address: self.place.address.clone(),
                zone: self.place.zone.clone(),
            };
            let split = self.desk.view_split();
            let digest = self.desk.view_digest();
            self.up(PeerMessage::Heartbeat { peer, serving: !self.closes(now), split, digest });
            if now < self.rests {
                let left = (self.rests - now) as f64 / MS as f64;
                self.up(PeerMessage::Drain { name: self.place.name.clone(), left });
            }
            self.up(PeerMessage::ConfigApplied { revision: self.acts(), number: 0 });
        }
        let scouts: Vec<_> = self
            .scouting
            .iter()
            .filter(|(_, s)| s.next.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in scouts {
            let boots = self.desk.is_booting(&id);
            let Some(scouting) = self.scouting.get_mut(&id) else { continue };
            if now >= scouting.until || !boots {
                self.scouting.remove(&id);
                continue;
            }
            scouting.next = None;
            self.outs.push(ProcessOutput::Scout { id, address: scouting.address });
        }
    }

    fn scouted(&mut self, now: Time, id: &CompactString, up: bool) {
        if up {
            self.scouting.remove(id);
            self.desk.instance_up(now, id);
        } else if let Some(scouting) = self.scouting.get_mut(id) {
            scouting.next = Some(now + SCOUT);
        }
    }

    fn up(&mut self, note: PeerMessage) {
        self.push(self.porter.clone(), note);
    }

    fn push(&mut self, to: CompactString, note: PeerMessage) {
        self.posts.entry(to.clone()).or_insert_with(|| Outbox::new(AT_ONCE)).push(note);
        self.ready.insert(to);
    }

    fn post(&mut self, now: Time) {
        for to in self.ready.clone() {
            let Some(post) = self.posts.get_mut(&to) else { continue };
            while let Some(notes) = post.take(now, self.next + 1) {
                let life = incarnation_for(&mut self.incarnations, self.place.life, &to).get();
                self.next += 1;
                self.flights.insert(self.next, to.clone());
                let said = Payload::Mail { from: self.place.name.clone(), life, notes };
                self.outs.push(ProcessOutput::Call { id: self.next, to: to.clone(), said, within: MAIL });
            }
            if post.is_empty() {
                self.ready.remove(&to);
            }
        }
    }

    fn landed(&mut self, now: Time, id: u64, said: Option<Payload>) {
        let Some(to) = self.flights.remove(&id) else { return };
        let Some(post) = self.posts.get_mut(&to) else { return };
        let taken = matches!(said, Some(Payload::Taken | Payload::Mail { .. }));
        match post.landed(now, id, taken) {
            Landed::Lost(_) if to == self.porter => {
                self.hurry = Some(now + HURRY);
                self.desk.controller_unreachable(now);
            }
            Landed::Lost(notes) => self.desk.undelivered(now, &to, notes),
            Landed::Up | Landed::Well => {}
        }
        if let Some(Payload::Mail { from, life, notes }) = said {
            self.told(now, &from, life, notes);
        }
    }

    fn mail(&mut self, now: Time, from: &str, life: u64, notes: Vec<PeerMessage>) -> Payload {
        let mut between = Vec::new();
        for mut note in notes {
            if matches!(self.place.mutation, Some(Mutation::Forsaken | Mutation::Mute)) {
                match &mut note {
                    PeerMessage::FullView { leaving, .. } => leaving.clear(),
                    PeerMessage::ViewChange(shift) => shift.leaving.clear(),
                    _ => {}
                }
            }
            match note {
                PeerMessage::PackedConfig { revision, packed } if revision > self.acts() => {
                    if let Some(known) = self.place.parse_cache.read(&packed) {
                        self.put_in_force(now, known);
                    }
                }
                PeerMessage::Config { revision, body } if revision > self.acts() => {
                    let known = body.stringify().ok().and_then(|text| self.place.parse_cache.read(&text));
                    if let Some(known) = known {
                        self.put_in_force(now, known);
                    }
                }
                PeerMessage::Patch { revision, change } if revision > self.acts() => {
                    let old = self.force.as_ref().map(|f| Rc::clone(&f.known));
                    if let Some(known) = old.and_then(|old| self.place.parse_cache.change(&old, &change)) {
                        self.put_in_force(now, known);
                    }
                }
                PeerMessage::PackedPatch { revision, packed } if revision > self.acts() => {
                    let old = self.force.as_ref().map(|f| Rc::clone(&f.known));
                    let known = old.and_then(|old| self.place.parse_cache.folded(&old, &packed));
                    if let Some(known) = known {
                        self.put_in_force(now, known);
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
                | PeerMessage::Leader { .. } => self.desk.receive_from_controller(now, note),
                PeerMessage::Drain { left, .. } => self.rests = now + (left * MS as f64) as Time,
                note => between.push(note),
            }
        }
        if between.is_empty() {
            return Payload::Taken;
        }
        let address = self.desk.address_of(from).cloned();
        self.told(now, from, life, between);
        self.replying = address.map(|address| (address, Vec::new()));
        self.carry_out(now);
        match self.replying.take() {
            Some((address, notes)) if !notes.is_empty() => {
                let life = incarnation_for(&mut self.incarnations, self.place.life, &address).get();
                Payload::Mail { from: self.place.name.clone(), life, notes }
            }
            _ => Payload::Taken,
        }
    }

    /// Mail from another stall.
    fn told(&mut self, now: Time, from: &str, life: u64, mut notes: Vec<PeerMessage>) {
        for note in notes.extract_if(.., |note| matches!(note, PeerMessage::StaleIncarnation { .. })) {
            let address = self.desk.address_of(from).cloned();
            if let (PeerMessage::StaleIncarnation { known }, Some(address)) = (note, address) {
                incarnation_for(&mut self.incarnations, self.place.life, &address).raise_above(known);
            }
        }
        self.desk.receive(now, from, life, notes);
    }

    fn put_in_force(&mut self, now: Time, known: Rc<Known>) {
        // The last stall of a site never hears of a change: a test of the auditor.
        if self.place.mutation == Some(Mutation::Stale)
            && self.place.name.ends_with("-0")
            && self.force.is_some()
        {
            return;
        }
        let same = |f: &Force| f.known.config.services == known.config.services;
        let unchanged = self.force.as_ref().is_some_and(same);
        let more = if self.place.mutation == Some(Mutation::Crowded) { 3 } else { 0 };
        let specs = known.config.services.iter().map(|s| FunctionSpec {
            name: s.name.clone(),
            concurrency: s.concurrency.max(1) + more,
            startup_time: s.boot_ms * MS,
            memory_mb: s.memory_mb,
        });
        if !unchanged {
            self.desk.configure(now, specs);
        }
        let table = self.place.parse_cache.table(&known);
        self.desk.trace(now, &TraceEvent::ConfigInForce { revision: known.config.revision });
        self.patience.retain(|name| table.routes().iter().any(|r| r.name == *name));
        self.margins.retain(|name| known.config.services.iter().any(|s| s.name == *name));
        self.force = Some(Force { known, table });
        self.up(PeerMessage::ConfigApplied { revision: self.acts(), number: 0 });
    }

    /// A request is answered without any try.
    fn turn(&mut self, now: Time, client: u64, request: &Request, (status, again): (u16, Option<Time>)) {
        if self.desk.is_recording() {
            let attempt = request.attempt.to_string().into();
            self.desk.trace(now, &TraceEvent::Rejected { attempt, status });
        }
        self.answer(client, status, again, None);
    }

    fn answer(&mut self, client: u64, status: u16, again: Option<Time>, seal: Option<u64>) {
        self.asked.remove(&client);
        self.outs.push(ProcessOutput::Answer { client, status, again, seal });
    }

    fn request(&mut self, now: Time, client: u64, request: Request) {
        let Some(force) = &self.force else {
            return self.turn(now, client, &request, Refusal::NotReady.answer());
        };
        let Some(route) = force.table.find(&request.host, &request.path).cloned() else {
            return self.turn(now, client, &request, (404, None));
        };
        if self.place.mutation == Some(Mutation::Surly) && request.attempt.is_multiple_of(50) {
            return self.turn(now, client, &request, (403, None));
        }
        let returned = self.patience.is_returning(&route.name, request.left as f64 / MS as f64);
        let deadline = now + request.left.min(route.deadline_ms * MS);
        let Some(service) = route.pick(xxh3_64(&request.attempt.to_le_bytes())).cloned() else {
            return self.turn(now, client, &request, (404, None));
        };
        let repeatable =
            route.traffic == Traffic::Idempotent || self.place.mutation == Some(Mutation::Repeated);
        let most = match self.place.mutation {
            Some(Mutation::Unbudgeted) => 20,
            Some(Mutation::Repeated) => route.max_tries + 1,
            _ => route.max_tries,
        };
        let wish = RequestInfo {
            service: service.clone(),
            zone: self.place.zone.clone(),
            target: route.target_latency_ms * MS,
            repeatable,
            max_attempts: most,
            received_at: now,
            deadline,
            returned,
        };
        let number = self.desk.next_request_number();
        if let Some(p) = number {
            let (attempt, wish) = (request.attempt.to_string().into(), wish.clone());
            self.desk.trace(now, &TraceEvent::Received { p, attempt, route: route.name.clone(), info: wish });
        }
        let mut passage = RequestFlow::new(wish);
        let step = passage.begin(self.desk.has_view());
        let instance = CompactString::default();
        let waits = Waits::Pause(now);
        let asked = Asked { request, service, deadline, passage, number, instance, waits };
        self.asked.insert(client, asked);
        self.due.insert((deadline, client));
        self.step(now, client, step);
    }

    /// What its passage has decided is done.
    fn step(&mut self, now: Time, client: u64, step: FlowStep<Answer>) {
        let Some(asked) = self.asked.get_mut(&client) else { return };
        match step {
            FlowStep::Respond(Ok((status, seal))) => self.answer(client, status, None, Some(seal)),
            FlowStep::Respond(Err(refusal)) => self.refuse(client, refusal),
            FlowStep::ResolveRoute => self.find(now, client),
            FlowStep::Wait(at) => {
                asked.waits = Waits::Pause(at.max(now));
                self.due.insert((at.max(now), client));
            }
            FlowStep::RequestPermit(ask, first) => {
                match self.desk.request_permit(now, ask, first, asked.number) {
                    Some(id) => {
                        asked.waits = Waits::Word(id);
                        self.words.insert(id, client);
                    }
                    None => {
                        let step = asked.passage.too_many_open();
                        self.step(now, client, step);
                    }
                }
            }
        }
    }

    /// What a request was for is gone.
    fn find(&mut self, now: Time, client: u64) {
        let Some(asked) = self.asked.get_mut(&client) else { return };
        let of = &asked.request;
        let route = self.force.as_ref().and_then(|force| force.table.find(&of.host, &of.path));
        let to = route.and_then(|route| route.pick(xxh3_64(&of.attempt.to_le_bytes()))).cloned();
        asked.follow(&mut self.desk, now, |p| TraceEvent::Moved { p, to: to.clone() });
        asked.service = to.clone().unwrap_or_default();
        let step = asked.passage.route_resolved(now, to);
        self.step(now, client, step);
    }

    fn refuse(&mut self, client: u64, refusal: Refusal) {
        let promised = self.place.mutation == Some(Mutation::Promised);
        let (status, again) = match refusal {
            Refusal::TimedOut | Refusal::NoAnswer if promised => Refusal::NotSent.answer(),
            refusal => refusal.answer(),
        };
        self.answer(client, status, again, None);
    }

    /// The process ends: what waits is refused, and later what still runs is told that there is no answer.
    fn end(&mut self, now: Time) {
        self.ends_at.retain(|at| *at > now);
        let phase = self.phase(now);
        if phase < ShutdownPhase::Refusing || self.place.mutation == Some(Mutation::Mute) {
            return;
        }
        let runs = |waits: Waits| matches!(waits, Waits::Exchange { .. });
        let due = self.asked.iter().filter(|(_, asked)| phase >= ShutdownPhase::Ending || !runs(asked.waits));
        let mut due: Vec<_> = due.map(|(client, _)| *client).collect();
        due.sort_unstable();
        for client in due {
            let Some(asked) = self.asked.get_mut(&client) else { continue };
            let step = match asked.waits {
                Waits::Word(ask) => {
                    self.words.remove(&ask);
                    self.desk.finish(now, ask, Outcome::Unused, 0);
                    asked.follow(&mut self.desk, now, |p| TraceEvent::DeadlinePassed { p });
                    asked.passage.shutdown()
                }
                Waits::Pause(_) => asked.passage.shutdown(),
                Waits::Exchange { .. } => {
                    self.late(now, client);
                    continue;
                }
            };
            self.step(now, client, step);
        }
    }

    /// Nothing has come for longer than it ever takes.
    fn silent(&mut self, now: Time, client: u64) {
        let Some(asked) = self.asked.get_mut(&client) else { return };
        let Waits::Exchange { ask, exchange, since, .. } = asked.waits else { return };
        self.exchanges.remove(&exchange);
        self.outs.push(ProcessOutput::Abort { id: exchange });
        self.margins.timed_out(&asked.service, now - since);
        self.desk.finish(now, ask, Outcome::TimedOut, now - since);
        asked.over(&mut self.desk, now, since, Outcome::TimedOut, true, None);
        let step = asked.passage.attempt_ended(now, asked.instance.clone(), Outcome::TimedOut, true, None);
        self.step(now, client, step);
    }

    /// Its deadline has come.
    fn late(&mut self, now: Time, client: u64) {
        let Some(asked) = self.asked.get_mut(&client) else { return };
        let step = match asked.waits {
            Waits::Word(ask) => {
                self.words.remove(&ask);
                self.desk.finish(now, ask, Outcome::Unused, 0);
                asked.follow(&mut self.desk, now, |p| TraceEvent::DeadlinePassed { p });
                asked.passage.deadline_passed()
            }
            Waits::Exchange { ask, exchange, since, .. } => {
                self.exchanges.remove(&exchange);
                self.outs.push(ProcessOutput::Abort { id: exchange });
                self.desk.finish(now, ask, Outcome::Abandoned, now - since);
                asked.over(&mut self.desk, now, since, Outcome::Abandoned, true, None);
                asked.passage.attempt_ended(now, asked.instance.clone(), Outcome::Abandoned, true, None)
            }
            Waits::Pause(_) => {
                asked.follow(&mut self.desk, now, |p| TraceEvent::DeadlinePassed { p });
                asked.passage.deadline_passed()
            }
        };
        self.step(now, client, step);
    }

    fn gone(&mut self, now: Time, client: u64) {
        let Some(asked) = self.asked.remove(&client) else { return };
        match asked.waits {
            Waits::Word(ask) => {
                self.words.remove(&ask);
                self.desk.finish(now, ask, Outcome::Unused, 0);
            }
            Waits::Exchange { ask, exchange, since, .. } => {
                self.exchanges.remove(&exchange);
                self.outs.push(ProcessOutput::Abort { id: exchange });
                self.desk.finish(now, ask, Outcome::Abandoned, now - since);
            }
            Waits::Pause(_) => {}
        }
        asked.follow(&mut self.desk, now, |p| TraceEvent::ClientLeft { p });
    }

    fn word(&mut self, now: Time, ask: u64, word: Result<(CompactString, SocketAddr), DenialReason>) {
        let Some(client) = self.words.remove(&ask) else {
            if word.is_ok() {
                self.desk.finish(now, ask, Outcome::Unused, 0);
            }
            return;
        };
        let Some(asked) = self.asked.get_mut(&client) else { return };
        match word {
            Ok((instance, address)) => {
                asked.passage.granted(now);
                self.next += 1;
                let id = self.next;
                let until = asked.passage.attempt_deadline(now, self.margins.timeout(&asked.service));
                asked.waits = Waits::Exchange { ask, exchange: id, since: now, until };
                self.due.extend(until.map(|until| (until, client)));
                asked.instance = instance.clone();
                self.exchanges.insert(id, client);
                let mut request =
                    Request { left: asked.deadline.saturating_sub(now), ..asked.request.clone() };
                if self.place.mutation == Some(Mutation::Renamed) {
                    request.attempt += 1 << 40;
                }
                let address = match self.place.mutation {
                    Some(Mutation::Unexpected) => *self.stale.entry(asked.service.clone()).or_insert(address),
                    _ => address,
                };
                let expect = (self.place.mutation != Some(Mutation::Unexpected)).then_some(instance);
                let deadline = asked.deadline;
                self.outs.push(ProcessOutput::Exchange { id, address, expect, request, deadline });
            }
            // The desk has forgotten an ask that it refused.
            Err(no) => {
                asked.follow(&mut self.desk, now, |p| TraceEvent::Denied { p, reason: no });
                let step = asked.passage.denied(now, no);
                self.step(now, client, step);
            }
        }
    }

    fn exchanged(&mut self, now: Time, id: u64, done: Exchanged) {
        let Some(client) = self.exchanges.remove(&id) else { return };
        let Some(asked) = self.asked.get_mut(&client) else { return };
        let Waits::Exchange { ask, since, .. } = asked.waits else { return };
        let instance = asked.instance.clone();
        self.desk.finish(now, ask, done.outcome, now - since);
        if done.outcome == Outcome::Answered {
            self.margins.answered(&asked.service, now - since);
        }
        if done.refused {
            self.desk.connection_refused(now, &instance);
        }
        let garbled = done.outcome == Outcome::NoAnswer && self.place.mutation == Some(Mutation::Unsealed);
        if let Some((status, seal)) = done.answer.filter(|_| garbled) {
            return self.answer(client, status, None, Some(seal));
        }
        let status = done.answer.map(|(status, _)| status);
        asked.over(&mut self.desk, now, since, done.outcome, done.sent, status);
        let step = asked.passage.attempt_ended(now, instance, done.outcome, done.sent, done.answer);
        self.step(now, client, step);
    }

    fn carry_out(&mut self, now: Time) {
        loop {
            let decided = self.desk.take_actions();
            if decided.is_empty() {
                return;
            }
            for one in decided {
                match one {
                    Decided::Send { to, note } => match &mut self.replying {
                        Some((address, notes)) if *address == to => notes.push(note),
                        _ => self.push(to, note),
                    },
                    Decided::Granted { ask, instance, address } => match address.parse() {
                        Ok(address) => self.word(now, ask, Ok((instance, address))),
                        Err(_) => self.desk.finish(now, ask, Outcome::Unused, 0),
                    },
                    Decided::Refused { ask, reason: no } => self.word(now, ask, Err(no)),
                    Decided::NotifyController(note) => self.up(note),
                    Decided::ProbeReadiness { instance, from } => {
                        let Ok(address) = instance.address.parse() else { continue };
                        self.scouting.entry(instance.id).or_insert(Scouting {
                            address,
                            until: now + SCOUT_FOR,
                            next: Some(from.max(now)),
                        });
                    }
                }
            }
        }
    }
}
