//! A small day: stalls with taped desks, clients, instances and control, all simulated, without any clock but its own.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use compact_str::{CompactString, format_compact};
use millpost::RandomSource;
use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{
    Action, DenialReason, FunctionSpec, MS, Nanos, Outcome, Peer, PermitRequest, RecordedCoordinator,
    RetryDecision, RetrySchedule, SECOND, SchedulerLimits,
};

/// What happens on a day.
#[derive(Clone)]
pub struct Plan {
    pub seed: u64,
    pub stalls: usize,
    /// Name, concurrency, start in ms, mean work in ms.
    pub functions: Vec<(&'static str, u32, u64, f64)>,
    /// Functions beside those, which nobody asks for.
    pub idle: usize,
    /// Requests a second at one stall for one function, by the second of the day.
    pub rates: Vec<f64>,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub terms: SchedulerLimits,
    /// Parts of the tries that fail, and that get no answer.
    pub fails: f64,
    pub silent: f64,
    /// When one instance of each function crashes, in ms.
    pub crashes: Vec<u64>,
    /// Which stall ends, when, and when it is back in a new life, in ms.
    pub ends: Option<(usize, u64, u64)>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            seed: 1,
            stalls: 1,
            functions: vec![("mill", 1, 120, 30.0), ("post", 4, 80, 50.0)],
            idle: 0,
            rates: vec![20.0, 20.0],
            target_ms: 200,
            deadline_ms: 1_000,
            terms: SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 2 * SECOND,
                retry_slack: 4.0,
                requests_per_s: 300.0,
                rank_by_latency: false,
            },
            fails: 0.0,
            silent: 0.0,
            crashes: Vec::new(),
            ends: None,
        }
    }
}

enum Happens {
    Client {
        stall: usize,
        function: usize,
    },
    Again(usize),
    Deadline(usize),
    /// A try is over.
    Done {
        request: usize,
        id: u64,
        outcome: Outcome,
        since: Nanos,
    },
    /// An instance has worked off what it got.
    Free(CompactString),
    Tick(usize),
    Scout {
        stall: usize,
        instance: CompactString,
    },
    Mail {
        to: usize,
        from: usize,
        life: u64,
        notes: Vec<PeerMessage>,
    },
    Back {
        to: usize,
        address: CompactString,
        notes: Vec<PeerMessage>,
    },
    Told {
        to: usize,
        note: PeerMessage,
    },
    Up(PeerMessage),
    Crash,
    Gone(CompactString),
    End(usize),
    Start(usize),
    NameStalls,
}

struct Request {
    stall: usize,
    life: u64,
    function: usize,
    deadline: Nanos,
    aim: Nanos,
    tries: RetrySchedule,
    avoid: Vec<CompactString>,
    first: bool,
    ask: Option<u64>,
    at: Option<(CompactString, Nanos)>,
    over: bool,
}

struct Place {
    told: Instance,
    function: usize,
    up_at: Nanos,
    dead: bool,
    holds: u32,
}

struct Stall {
    desk: Option<RecordedCoordinator>,
    life: u64,
    asks: BTreeMap<u64, usize>,
    scouting: BTreeSet<CompactString>,
}

/// A stall's lines: when each was told, and what it says.
type Lines = Rc<RefCell<Vec<String>>>;

/// The day as it goes.
pub struct Day {
    plan: Plan,
    dice: RandomSource,
    now: Nanos,
    count: u64,
    events: BTreeMap<(Nanos, u64), Happens>,
    stalls: Vec<Stall>,
    requests: Vec<Request>,
    places: BTreeMap<CompactString, Place>,
    wants: BTreeMap<CompactString, u32>,
    version: u64,
    lines: Vec<Lines>,
    /// What came of each stall's inputs.
    pub outs: Vec<Vec<(Nanos, Action)>>,
    /// Tries that an instance turned away, since it was full.
    pub turned_away: usize,
    /// Requests that were answered.
    pub answered: usize,
    /// Tries that were sent beyond a request's first.
    pub repeats: usize,
}

fn name(stall: usize) -> CompactString {
    format_compact!("edge-{}", stall + 1)
}

fn address(stall: usize) -> CompactString {
    format_compact!("10.0.0.{}:7760", stall + 1)
}

fn zone(stall: usize) -> CompactString {
    if stall.is_multiple_of(2) { "a".into() } else { "b".into() }
}

impl Day {
    /// The whole day, to the end of all that it has begun.
    pub fn of(plan: Plan) -> Day {
        let lines: Vec<Lines> = (0..plan.stalls).map(|_| Lines::default()).collect();
        let mut day = Day {
            dice: RandomSource::seeded(plan.seed),
            now: 0,
            count: 0,
            events: BTreeMap::new(),
            stalls: Vec::new(),
            requests: Vec::new(),
            places: BTreeMap::new(),
            wants: BTreeMap::new(),
            version: 0,
            outs: vec![Vec::new(); plan.stalls],
            lines,
            turned_away: 0,
            answered: 0,
            repeats: 0,
            plan,
        };
        day.begin();
        let end = day.plan.rates.len() as u64 * SECOND + 2 * day.plan.deadline_ms * MS;
        while let Some((at, what)) = day.events.pop_first() {
            if at.0 > end {
                break;
            }
            day.now = at.0;
            day.happens(what);
        }
        day
    }

    /// What a stall has recorded.
    pub fn recorded(&self, stall: usize) -> Vec<String> {
        self.lines[stall].borrow().clone()
    }

    /// Whether nothing waits and nothing is out at any stall.
    pub fn at_rest(&self) -> bool {
        self.stalls.iter().filter_map(|s| s.desk.as_ref()).all(|desk| {
            let (queued, out) = (
                desk.scheduler().queues().map(|(_, n)| n).sum::<usize>(),
                desk.scheduler().permits().count(),
            );
            queued == 0 && out == 0 && desk.open_request_count() == 0
        })
    }

    fn later(&mut self, after: Nanos, what: Happens) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), what);
    }

    fn draw(&mut self, mean_ms: f64) -> Nanos {
        (-(1.0 - self.dice.next_f64()).ln() * mean_ms * MS as f64) as Nanos + 1_000
    }

    fn begin(&mut self) {
        for stall in 0..self.plan.stalls {
            self.stalls.push(Stall { desk: None, life: 0, asks: BTreeMap::new(), scouting: BTreeSet::new() });
            self.start(stall);
            self.later(stall as u64 * 7 * MS, Happens::Tick(stall));
        }
        self.later(10 * MS, Happens::NameStalls);
        for stall in 0..self.plan.stalls {
            for function in 0..self.plan.functions.len() {
                for (second, rate) in self.plan.rates.clone().into_iter().enumerate() {
                    let mut at = second as u64 * SECOND + 30 * MS;
                    loop {
                        at += self.draw(1_000.0 / rate);
                        if at >= (second as u64 + 1) * SECOND {
                            break;
                        }
                        self.later(at, Happens::Client { stall, function });
                    }
                }
            }
        }
        for at in self.plan.crashes.clone() {
            self.later(at * MS, Happens::Crash);
        }
        if let Some((stall, end, back)) = self.plan.ends {
            self.later(end * MS, Happens::End(stall));
            self.later(back * MS, Happens::Start(stall));
        }
    }

    fn start(&mut self, stall: usize) {
        let told = Rc::clone(&self.lines[stall]);
        let sink = Box::new(move |line: &str| told.borrow_mut().push(line.to_owned()));
        let me = Peer { name: name(stall), address: address(stall), zone: zone(stall) };
        let life = self.now / MS + 1;
        let (seed, first) = (self.plan.seed * 31 + stall as u64, life << 20);
        let mut desk = RecordedCoordinator::new(me, self.plan.terms.clone(), seed, first, Some(sink));
        let specs = self.plan.functions.iter().map(|(name, concurrency, boot, _)| FunctionSpec {
            name: (*name).into(),
            concurrency: *concurrency,
            startup_time: boot * MS,
            memory_mb: 128,
        });
        let idle = (0..self.plan.idle).map(|n| FunctionSpec {
            name: format_compact!("idle-{n}"),
            concurrency: 1,
            startup_time: 200 * MS,
            memory_mb: 128,
        });
        desk.configure(self.now, specs.chain(idle));
        let set = self.places.values().map(|p| p.told.clone()).collect();
        desk.receive_from_controller(
            self.now,
            PeerMessage::Instances { version: (1, self.version), all: true, set, gone: Vec::new() },
        );
        let one = &mut self.stalls[stall];
        (one.desk, one.life) = (Some(desk), life);
        self.carry_out(stall);
    }

    fn tell(&mut self, note: &PeerMessage) {
        for to in 0..self.stalls.len() {
            self.later(2 * MS, Happens::Told { to, note: note.clone() });
        }
    }

    fn tell_instance(&mut self, id: &str, gone: bool) {
        self.version += 1;
        let set = self.places.get(id).filter(|_| !gone).map(|p| p.told.clone()).into_iter().collect();
        let gone = if gone { vec![id.into()] } else { Vec::new() };
        self.tell(&PeerMessage::Instances { version: (1, self.version), all: false, set, gone });
    }

    fn happens(&mut self, what: Happens) {
        let now = self.now;
        match what {
            Happens::Client { stall, function } => self.client(stall, function),
            Happens::Again(request) => self.ask(request),
            Happens::Deadline(request) => self.leaves(request),
            Happens::Done { request, id, outcome, since } => self.done(request, id, outcome, since),
            Happens::Free(id) => {
                if let Some(place) = self.places.get_mut(&id) {
                    place.holds -= 1;
                }
            }
            Happens::Tick(stall) => {
                self.with(stall, |desk| desk.tick(now));
                self.later(25 * MS, Happens::Tick(stall));
            }
            Happens::Scout { stall, instance } => self.scout(stall, &instance),
            Happens::Mail { to, from, life, notes } => {
                if self.stalls[to].desk.is_some() {
                    self.with(to, |desk| desk.receive(now, &name(from), life, notes));
                } else if self.stalls[from].life == life {
                    self.later(5 * MS, Happens::Back { to: from, address: address(to), notes });
                }
            }
            Happens::Back { to, address, notes } => {
                self.with(to, |desk| desk.undelivered(now, &address, notes))
            }
            Happens::Told { to, note } => self.with(to, |desk| desk.receive_from_controller(now, note)),
            Happens::Up(note) => self.control(&note),
            Happens::Crash => self.crash(),
            Happens::Gone(id) => {
                if self.places.remove(&id).is_some() {
                    self.tell_instance(&id, true);
                }
            }
            Happens::End(stall) => {
                let one = &mut self.stalls[stall];
                (one.desk, one.life) = (None, 0);
                one.asks.clear();
                one.scouting.clear();
                self.later(300 * MS, Happens::NameStalls);
            }
            Happens::Start(stall) => {
                self.start(stall);
                self.later(20 * MS, Happens::NameStalls);
            }
            Happens::NameStalls => {
                self.version += 1;
                let alive = (0..self.stalls.len()).filter(|n| self.stalls[*n].desk.is_some());
                let peers = alive.map(|n| millpost_protocol::Peer {
                    name: name(n),
                    address: address(n),
                    zone: zone(n),
                });
                let note = PeerMessage::FullView {
                    version: (1, self.version),
                    peers: peers.collect(),
                    leaving: vec![],
                    split: vec![],
                };
                self.tell(&note);
            }
        }
    }

    fn with(&mut self, stall: usize, what: impl FnOnce(&mut RecordedCoordinator)) {
        if let Some(desk) = &mut self.stalls[stall].desk {
            what(desk);
            self.carry_out(stall);
        }
    }

    fn carry_out(&mut self, stall: usize) {
        let now = self.now;
        while let Some(desk) = &mut self.stalls[stall].desk {
            let outs = desk.take_actions();
            if outs.is_empty() {
                return;
            }
            // Mail goes in letters.
            let mut letters: BTreeMap<CompactString, Vec<PeerMessage>> = BTreeMap::new();
            for out in outs {
                self.outs[stall].push((now, out.clone()));
                match out {
                    Action::Send { to, note } => letters.entry(to).or_default().push(note),
                    Action::Granted { ask, instance, .. } => self.granted(stall, ask, instance),
                    Action::Refused { ask, reason: no } => self.refused(stall, ask, no),
                    Action::NotifyController(note) => self.later(3 * MS, Happens::Up(note)),
                    Action::ProbeReadiness { instance, from } => {
                        if self.stalls[stall].scouting.insert(instance.id.clone()) {
                            let after = from.saturating_sub(now);
                            self.later(after, Happens::Scout { stall, instance: instance.id });
                        }
                    }
                }
            }
            for (to, notes) in letters {
                let to = (0..self.stalls.len()).find(|n| address(*n) == to).expect("a stall");
                let life = self.stalls[stall].life;
                // Hundredths of a millisecond, as between machines.
                let notes =
                    notes.iter().map(|note| PeerMessage::read(&note.to_json()).expect("a note")).collect();
                let after = MS + self.draw(0.5);
                self.later(after, Happens::Mail { to, from: stall, life, notes });
            }
        }
    }

    fn client(&mut self, stall: usize, function: usize) {
        if self.stalls[stall].desk.is_none() {
            return;
        }
        let (target, deadline) = (self.plan.target_ms * MS, self.now + self.plan.deadline_ms * MS);
        let repeatable = self.dice.next_f64() < 0.7;
        self.requests.push(Request {
            stall,
            life: self.stalls[stall].life,
            function,
            deadline,
            aim: self.now + target,
            tries: RetrySchedule::new(target, repeatable, 3, deadline),
            avoid: Vec::new(),
            first: true,
            ask: None,
            at: None,
            over: false,
        });
        let request = self.requests.len() - 1;
        self.later(self.plan.deadline_ms * MS, Happens::Deadline(request));
        self.ask(request);
    }

    /// A request whose stall has ended is nobody's any more.
    fn lives(&self, request: usize) -> bool {
        let one = &self.requests[request];
        !one.over && self.stalls[one.stall].life == one.life
    }

    fn ask(&mut self, request: usize) {
        if !self.lives(request) {
            return;
        }
        let now = self.now;
        let one = &mut self.requests[request];
        let (stall, first) = (one.stall, std::mem::replace(&mut one.first, false));
        let ask = PermitRequest {
            id: 0,
            service: self.plan.functions[one.function].0.into(),
            deadline: one.deadline,
            soft_deadline: one.aim,
            target: self.plan.target_ms * MS,
            attempts_sent: one.tries.sent,
            returned: false,
            avoid: one.avoid.clone(),
            zone: zone(stall),
        };
        let id = self.stalls[stall]
            .desk
            .as_mut()
            .and_then(|desk| desk.request_permit(now, ask, first, None))
            .expect("a number");
        self.requests[request].ask = Some(id);
        self.stalls[stall].asks.insert(id, request);
        self.carry_out(stall);
    }

    fn granted(&mut self, stall: usize, id: u64, instance: CompactString) {
        let now = self.now;
        let Some(request) = self.stalls[stall].asks.get(&id).copied() else {
            return self.with(stall, |desk| desk.finish(now, id, Outcome::Unused, 0));
        };
        let one = &mut self.requests[request];
        one.tries.sending(now);
        one.at = Some((instance.clone(), now));
        if one.tries.sent > 1 {
            self.repeats += 1;
        }
        let function = one.function;
        let (work, chance) = (self.draw(self.plan.functions[function].3), self.dice.next_f64());
        let (fails, silent) = (self.plan.fails, self.plan.silent);
        let outcome = match chance {
            c if c < fails => Outcome::Failed,
            c if c < fails + silent => Outcome::NoAnswer,
            _ => Outcome::Answered,
        };
        let most = self.plan.functions[function].1;
        let (after, outcome) = match self.places.get_mut(&instance) {
            Some(place) if !place.dead && place.up_at <= now => {
                if place.holds >= most {
                    self.turned_away += 1;
                    (MS, Outcome::Full)
                } else {
                    place.holds += 1;
                    self.later(work, Happens::Free(instance));
                    (work, outcome)
                }
            }
            _ => (MS / 3, Outcome::Unreachable),
        };
        self.later(after, Happens::Done { request, id, outcome, since: now });
    }

    fn done(&mut self, request: usize, id: u64, outcome: Outcome, since: Nanos) {
        if !self.lives(request) || self.requests[request].ask != Some(id) {
            return;
        }
        let now = self.now;
        let one = &mut self.requests[request];
        let stall = one.stall;
        let (instance, _) = one.at.take().expect("it was sent somewhere");
        one.ask = None;
        if outcome == Outcome::Unreachable {
            one.tries.unsent();
        }
        if !one.avoid.contains(&instance) {
            one.avoid.push(instance.clone());
        }
        let next = one.tries.ended(now, outcome);
        self.stalls[stall].asks.remove(&id);
        self.with(stall, |desk| desk.finish(now, id, outcome, now - since));
        if outcome == Outcome::Unreachable {
            self.with(stall, |desk| desk.connection_refused(now, &instance));
        }
        self.answered += usize::from(outcome == Outcome::Answered);
        self.goes_on(request, next);
    }

    fn goes_on(&mut self, request: usize, next: RetryDecision) {
        match next {
            RetryDecision::RetryAt(at) => self.later(at.saturating_sub(self.now), Happens::Again(request)),
            RetryDecision::GiveUp => self.requests[request].over = true,
        }
    }

    fn refused(&mut self, stall: usize, id: u64, no: DenialReason) {
        let now = self.now;
        let Some(request) = self.stalls[stall].asks.remove(&id) else { return };
        self.requests[request].ask = None;
        self.with(stall, |desk| desk.finish(now, id, Outcome::Unused, 0));
        let next = match no {
            DenialReason::Skip => self.requests[request].tries.skipped(now),
            _ => RetryDecision::GiveUp,
        };
        self.goes_on(request, next);
    }

    /// The client's time is over.
    fn leaves(&mut self, request: usize) {
        if !self.lives(request) {
            return;
        }
        let now = self.now;
        let one = &mut self.requests[request];
        one.over = true;
        let (stall, since) = (one.stall, one.at.as_ref().map(|(_, since)| *since));
        let Some(id) = one.ask.take() else { return };
        self.stalls[stall].asks.remove(&id);
        match since {
            Some(since) => self.with(stall, |desk| desk.finish(now, id, Outcome::Abandoned, now - since)),
            None => self.with(stall, |desk| desk.cancel(now, id)),
        }
    }

    fn scout(&mut self, stall: usize, id: &CompactString) {
        let now = self.now;
        let there = self.places.get(id).is_some_and(|p| !p.dead);
        let boots = self.stalls[stall].desk.as_ref().is_some_and(|desk| desk.is_booting(id));
        if there && boots {
            if self.places.get(id).is_some_and(|p| p.up_at <= now) {
                self.stalls[stall].scouting.remove(id);
                self.with(stall, |desk| desk.instance_up(now, id));
            } else {
                self.later(12 * MS, Happens::Scout { stall, instance: id.clone() });
            }
        } else {
            self.stalls[stall].scouting.remove(id);
        }
    }

    fn control(&mut self, note: &PeerMessage) {
        match note {
            PeerMessage::DesiredInstances { service, count, .. } => {
                self.wants.insert(service.clone(), *count);
                self.scale(service);
            }
            PeerMessage::InstanceUp { instance } => {
                if let Some(place) = self.places.get_mut(instance).filter(|p| p.told.stage == 0) {
                    place.told.stage = 1;
                    self.tell_instance(instance, false);
                }
            }
            PeerMessage::RetireInstance { instance } => {
                if let Some(place) = self.places.get_mut(instance) {
                    place.told.stage = 2;
                    self.tell_instance(instance, false);
                    self.later(15 * MS, Happens::Gone(instance.clone()));
                }
            }
            PeerMessage::InstanceDown { instance } if self.places.remove(instance).is_some() => {
                self.tell_instance(instance, true)
            }
            _ => {}
        }
    }

    fn scale(&mut self, service: &str) {
        let Some(function) = self.plan.functions.iter().position(|f| f.0 == service) else { return };
        let live = self.places.values().filter(|p| p.function == function && p.told.stage < 2).count();
        for _ in live..self.wants[service] as usize {
            self.count += 1;
            let id = format_compact!("i-{}", self.count);
            let told = Instance {
                id: id.clone(),
                service: service.into(),
                address: format_compact!("10.1.0.{}:{}", self.count % 200, 1_000 + self.count % 9_000),
                zone: if self.count.is_multiple_of(2) { "a".into() } else { "b".into() },
                worker: "w-1".into(),
                stage: 0,
            };
            let boot = self.plan.functions[function].2 as f64;
            let boot = (boot * (0.8 + 0.4 * self.dice.next_f64()) * MS as f64) as Nanos;
            let up_at = self.now + boot;
            self.places.insert(id.clone(), Place { told, function, up_at, dead: false, holds: 0 });
            self.tell_instance(&id, false);
        }
    }

    /// One ready instance of each function crashes; the list shows it some time later.
    fn crash(&mut self) {
        let now = self.now;
        for function in 0..self.plan.functions.len() {
            let mut ready = self.places.iter_mut().filter(|(_, p)| p.function == function && p.up_at <= now);
            let Some((id, place)) = ready.find(|(_, p)| !p.dead) else { continue };
            place.dead = true;
            let id = id.clone();
            self.later(400 * MS, Happens::Gone(id.clone()));
            let there = |r: &Request| !r.over && r.at.as_ref().is_some_and(|(at, _)| *at == id);
            let hit: Vec<_> = (0..self.requests.len()).filter(|n| there(&self.requests[*n])).collect();
            for request in hit {
                let one = &self.requests[request];
                let (Some(ask), Some((_, since))) = (one.ask, one.at.clone()) else { continue };
                let outcome = Outcome::NoAnswer;
                self.later(MS / 5, Happens::Done { request, id: ask, outcome, since });
            }
        }
    }
}
