//! A simulation of three control machines, proxies, a target and operators, determined by a seed. It
//! schedules the events and faults; the oracle checks the results.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use compact_str::CompactString;
use millpost_config::Config;
use millpost_quorum::{FailureReason, Outcome, Value};

use super::oracle::{Oracle, ProxyView};
use crate::durable::Action;
use crate::guards::{Guard, is_disabled};
use crate::record::Record;
use crate::{
    ActiveConfig, Bounds, Contract, Direction, Effect, FunctionLoad, Input, MS, Migrator, Moment, Nanos,
    Order, OrderResult, Settings, State,
};

const CONTACT: Nanos = 4_000 * MS;
const REPORT_INTERVAL: Nanos = 300 * MS;
/// Faults end at this time.
const FAULTS_END: Nanos = 45_000 * MS;
/// All moves have to end by this time.
const END: Nanos = 160_000 * MS;
/// The first revision that operators reserve for moves.
const FIRST_RESERVED: u64 = 100;

/// A configuration that an operator puts during a move.
#[derive(Clone, Copy, Debug)]
pub(super) enum Replacement {
    /// Changes a route of another tenant.
    OtherRoute,
    /// Assigns a route of the tenant to a third service.
    ThirdService,
    /// Assigns all routes of the tenant to the source, based on the active configuration.
    Source,
    /// Puts an old revision again.
    Old,
}

/// The parameters and faults of a run.
#[derive(Clone, Debug, Default)]
pub(super) struct Scenario {
    pub seed: u64,
    pub routes: usize,
    pub loads: u32,
    pub deadline_ms: u64,
    /// The register always answers quickly, and no proxy is slow.
    pub calm: bool,
    /// When the rollback is ordered, in ms.
    pub rollback_at: Option<u64>,
    /// The rollback is ordered together with this put, counted from 0.
    pub rollback_with: Option<usize>,
    /// When a pause is ordered, in ms; the move is resumed 4 s later.
    pub pause_at: Option<u64>,
    /// Adds a second move; `true` if it shares routes with the first.
    pub second: Option<bool>,
    /// Effects at which a leader crashes, counted from 0; `true` for right after the effect, `false` for
    /// right before it.
    pub crashes: Vec<(usize, bool)>,
    /// Configurations that operators put, with their time in ms.
    pub replacements: Vec<(u64, Replacement)>,
    /// An operator's configuration becomes active right before this put, counted from 0.
    pub race: Option<usize>,
    /// Suspended proxies: index, start and end in ms.
    pub suspended_proxies: Vec<(usize, u64, u64)>,
    /// Control machines without connection to the register: index, start and end in ms.
    pub cuts: Vec<(usize, u64, u64)>,
    /// Suspended control machines: index, start and end in ms.
    pub suspended_machines: Vec<(usize, u64, u64)>,
    /// Start and end of the time in ms in which the target's delay is past T1.
    pub slow_target: Option<(u64, u64)>,
    /// No instance starts.
    pub no_starts: bool,
    /// An operator assigns a route to a third service just as the move is started.
    pub changed_at_start: bool,
}

impl Scenario {
    pub fn calm(seed: u64) -> Scenario {
        Scenario { seed, routes: 4, loads: 3, deadline_ms: 1_500, calm: true, ..Scenario::default() }
    }

    pub fn random(seed: u64) -> Scenario {
        let mut rng = Rng(seed.wrapping_mul(77) + 5);
        let routes = 1 + rng.below(5) as usize;
        let mut scenario =
            Scenario { seed, routes, loads: 1 + rng.below(routes as u64) as u32, ..Scenario::default() };
        scenario.deadline_ms = if rng.one_in(2) { 200 } else { 1_500 };
        scenario.rollback_at = rng.one_in(3).then(|| 6_000 + rng.below(14_000));
        scenario.rollback_with = rng.one_in(4).then(|| rng.below(2) as usize);
        scenario.pause_at = rng.one_in(4).then(|| 6_000 + rng.below(9_000));
        scenario.second = rng.one_in(2).then(|| rng.one_in(2));
        scenario.crashes = (0..rng.below(4)).map(|_| (rng.below(120) as usize, rng.one_in(2))).collect();
        let kinds = [
            Replacement::OtherRoute,
            Replacement::OtherRoute,
            Replacement::ThirdService,
            Replacement::Source,
            Replacement::Old,
        ];
        scenario.replacements =
            (0..rng.below(3)).map(|_| (2_000 + rng.below(22_000), kinds[rng.below(5) as usize])).collect();
        scenario.race = rng.one_in(4).then(|| rng.below(2) as usize);
        let mut span = |max: u64| {
            let from = 5_000 + rng.below(20_000);
            (rng.below(3) as usize, from, from + 300 + rng.below(max))
        };
        scenario.suspended_proxies = (0..2).map(|_| span(15_000)).collect();
        scenario.cuts = (0..1).map(|_| span(6_000)).collect();
        scenario.suspended_machines = (0..2).map(|_| span(3_000)).collect();
        scenario.slow_target = rng.one_in(3).then(|| {
            let from = 6_000 + rng.below(9_000);
            (from, from + rng.below(25_000))
        });
        scenario.no_starts = rng.one_in(12);
        scenario.changed_at_start = rng.one_in(8);
        scenario
    }
}

pub(super) struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, max: u64) -> u64 {
        self.next() % max.max(1)
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// A register operation, which takes effect atomically.
enum Op {
    Read(u64),
    Write(u64, Value, Option<u64>),
    ReadConfig,
    Put { name: CompactString, revision: u64, base: Option<u64>, text: String },
}

enum Event {
    Input(usize, u64, Box<Input>),
    Apply(usize, u64, Op, bool),
    Start(usize),
    GrantLease,
    ProxyReport(usize),
    LearnConfig(usize, u64, u64),
    PlatformReport,
    InstancesReady(CompactString, u32),
    Operator,
    Replace(Replacement),
    Wake(usize),
}

struct Machine {
    migrator: Option<Migrator>,
    incarnation: u64,
    monotonic_offset: Nanos,
    clock_offset_ms: u64,
}

struct Proxy {
    revision: u64,
    incarnation: u64,
    resumed_at: Nanos,
    since: BTreeMap<u64, Nanos>,
    slow: bool,
}

/// An order that an operator repeats until it is answered.
struct PendingOrder {
    order: Order,
    not_before: Nanos,
    result: Option<OrderResult>,
}

pub(super) struct Simulation {
    scenario: Scenario,
    rng: Rng,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    seq: u64,
    machines: Vec<Machine>,
    lease: Option<(usize, u64, u64, Nanos)>,
    fence: u64,
    /// The last change of leader.
    changed: Nanos,
    record: Value,
    written: Record,
    config: (u64, Arc<str>),
    proxies: Vec<Proxy>,
    ready: BTreeMap<CompactString, u32>,
    orders: Vec<PendingOrder>,
    /// The index in `orders` for each order identifier.
    orders_by_id: BTreeMap<u64, usize>,
    last_reserved: u64,
    puts: usize,
    was_active: bool,
    /// Number of effects so far.
    pub effects: usize,
    pub oracle: Oracle,
    log: Vec<String>,
}

fn config(scenario: &Scenario) -> String {
    let route = |host: &str, n: usize| {
        format!(
            r#"{{"name":"r{n}","host":"{host}","path_prefix":"/{n}/","traffic_kind":"mutating","deadline_ms":{},
                "target_latency_ms":200,"service":"s","odd":[1,2]}}"#,
            scenario.deadline_ms
        )
    };
    let routes: Vec<_> = (0..scenario.routes).map(|n| route("t.example", n)).collect();
    let services = ["s", "t", "u"]
        .map(|name| format!(r#"{{"name":"{name}","memory_mb":512,"boot_ms":100,"concurrency":4}}"#));
    let all = [routes.join(","), route("o.example", 0), route("p.example", 0)].join(",");
    format!(r#"{{"revision":10,"kept":true,"routes":[{all}],"services":[{}]}}"#, services.join(","))
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let mut rng = Rng(scenario.seed);
        let machines = (0..3)
            .map(|_| Machine {
                migrator: None,
                incarnation: 0,
                monotonic_offset: rng.below(1 << 40),
                clock_offset_ms: rng.below(1_000),
            })
            .collect();
        let proxies = (0..3).map(|n| Proxy {
            revision: 10,
            incarnation: 0,
            resumed_at: 0,
            since: BTreeMap::from([(10, 0)]),
            slow: !scenario.calm && n == 1,
        });
        let text = config(&scenario);
        let mut oracle = Oracle::default();
        oracle.put_by_operator(Config::parse(&text).expect("valid"));
        let bounds = Bounds { warm_ms: 6_000, ack_ms: 20_000, ..Bounds::default() };
        let contract = |name: &str, hosts: &[&str], to: &str, loads| Contract {
            name: name.into(),
            hosts: hosts.iter().map(|host| CompactString::from(*host)).collect(),
            routes: Vec::new(),
            services: BTreeMap::from([("s".into(), to.into())]),
            loads,
            bounds: bounds.clone(),
        };
        let mut orders = vec![
            (5_000, Order::Plan(contract("one", &["t.example"], "t", scenario.loads))),
            (5_000, Order::Start("one".into(), Some((FIRST_RESERVED, FIRST_RESERVED + 11)))),
        ];
        if let Some(crossing) = scenario.second {
            let hosts: &[&str] = if crossing { &["o.example", "t.example"] } else { &["o.example"] };
            orders.push((5_500, Order::Plan(contract("two", hosts, "t", 1))));
            orders
                .push((5_500, Order::Start("two".into(), Some((FIRST_RESERVED + 12, FIRST_RESERVED + 30)))));
        }
        if let Some(at) = scenario.pause_at {
            orders.push((at, Order::Pause("one".into())));
            orders.push((at + 4_000, Order::Start("one".into(), None)));
        }
        orders.extend(scenario.rollback_at.map(|at| (at, Order::Rollback("one".into(), None))));
        orders.sort_by_key(|(at, _)| *at);
        let pending = orders
            .into_iter()
            .map(|(at, order)| PendingOrder { order, not_before: at * MS, result: None })
            .collect();
        let mut simulation = Simulation {
            rng,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            seq: 0,
            machines,
            lease: None,
            fence: 0,
            changed: 0,
            record: Value { version: 0, content: "".into() },
            written: Record::default(),
            config: (10, text.into()),
            proxies: proxies.collect(),
            ready: BTreeMap::from([("s".into(), 3)]),
            orders: pending,
            orders_by_id: BTreeMap::new(),
            last_reserved: FIRST_RESERVED + 30,
            puts: 0,
            was_active: false,
            effects: 0,
            oracle,
            log: Vec::new(),
            scenario,
        };
        (0..3).for_each(|m| simulation.at(0, Event::Start(m)));
        (0..3).for_each(|p| simulation.at(0, Event::ProxyReport(p)));
        for event in [Event::GrantLease, Event::PlatformReport, Event::Operator] {
            simulation.at(0, event);
        }
        for (at, replacement) in simulation.scenario.replacements.clone() {
            simulation.at(at * MS, Event::Replace(replacement));
        }
        for (p, _, to) in simulation.scenario.suspended_proxies.clone() {
            simulation.at(to * MS, Event::Wake(p));
        }
        simulation
    }

    fn at(&mut self, when: Nanos, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((when.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    fn after(&mut self, min_ms: u64, max_ms: u64, event: Event) {
        let span = min_ms * MS + self.rng.below((max_ms - min_ms) * MS);
        self.at(self.now + span, event);
    }

    fn trace_event(&mut self, what: impl FnOnce() -> String) {
        if self.log.len() < 2_000 {
            self.log.push(format!("{:>7} {}", self.now / MS, what()));
        }
    }

    pub fn trace(&self) -> String {
        self.log.join("\n")
    }

    /// The states of all moves.
    pub fn ends(&self) -> Vec<&'static str> {
        self.written.moves.iter().map(|mv| mv.state.name()).collect()
    }

    fn end_of_span(&self, spans: &[(usize, u64, u64)], which: usize) -> Option<Nanos> {
        let within =
            |(n, from, to): &&(usize, u64, u64)| *n == which && (from * MS..to * MS).contains(&self.now);
        spans.iter().filter(within).map(|(_, _, to)| to * MS).max()
    }

    fn is_suspended(&self, p: usize) -> bool {
        self.end_of_span(&self.scenario.suspended_proxies, p).is_some()
    }

    fn is_target_slow(&self) -> bool {
        self.scenario.slow_target.is_some_and(|(from, to)| (from * MS..to * MS).contains(&self.now))
    }

    pub fn run(&mut self) {
        while let Some(Reverse((when, seq))) = self.queue.pop() {
            if when > END || !self.oracle.violations.is_empty() {
                break;
            }
            self.now = when;
            if let Some(event) = self.events.remove(&seq) {
                self.handle(event);
            }
        }
        if self.oracle.violations.is_empty() {
            self.check_all_ended();
        }
    }

    fn check_all_ended(&mut self) {
        let now = self.now;
        for (n, pending) in self.orders.iter().enumerate().filter(|(_, pending)| pending.result.is_none()) {
            self.oracle.fail(now, "not finished", format!("order {n} has no answer: {:?}", pending.order));
        }
        for mv in self.written.open().filter(|mv| mv.state != State::Planned { started: false }) {
            self.oracle.fail(now, "not finished", format!("{} is {}", mv.name, mv.state.name()));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Input(m, incarnation, input) => self.deliver(m, incarnation, input),
            Event::Apply(m, incarnation, op, answered) => self.apply(m, incarnation, op, answered),
            Event::Start(m) => {
                let settings = Settings { contact_timeout: CONTACT, duty_per_s: 78.0, prewarms: true };
                self.machines[m].migrator = Some(Migrator::new(settings));
                self.machines[m].monotonic_offset = self.rng.below(1 << 40);
            }
            Event::GrantLease => {
                self.grant_lease();
                self.after(100, 101, Event::GrantLease);
            }
            Event::ProxyReport(p) => {
                if !self.is_suspended(p) {
                    let proxy = &self.proxies[p];
                    let report = Input::ProxyRevisions(vec![(format!("edge-{p}").into(), proxy.revision)]);
                    let max_delay_ms = if proxy.slow && self.now < FAULTS_END { 3_000 } else { 60 };
                    self.send_to_leader(1, max_delay_ms, report);
                }
                self.at(self.now + REPORT_INTERVAL, Event::ProxyReport(p));
            }
            Event::LearnConfig(p, incarnation, revision) => self.learn_config(p, incarnation, revision),
            Event::PlatformReport => {
                self.report_platform();
                self.after(450, 550, Event::PlatformReport);
            }
            Event::InstancesReady(service, count) => {
                if !self.scenario.no_starts {
                    let ready = self.ready.entry(service).or_default();
                    *ready = (*ready).max(count);
                }
            }
            Event::Operator => {
                self.operate();
                self.after(700, 900, Event::Operator);
            }
            Event::Replace(replacement) => self.put_by_operator(replacement),
            Event::Wake(p) => {
                // In half of the cases it restarts, without a configuration.
                self.trace_event(|| format!("proxy {p} resumes"));
                let proxy = &mut self.proxies[p];
                proxy.resumed_at = self.now;
                if self.seq.is_multiple_of(2) {
                    proxy.incarnation += 1;
                    proxy.revision = 0;
                    proxy.since.clear();
                }
                let (incarnation, newest) = (proxy.incarnation, self.config.0);
                self.after(50, 1_500, Event::LearnConfig(p, incarnation, newest));
            }
        }
    }

    fn learn_config(&mut self, p: usize, incarnation: u64, revision: u64) {
        let (suspended, now) = (self.is_suspended(p), self.now);
        let proxy = &mut self.proxies[p];
        if !suspended && proxy.incarnation == incarnation && revision > proxy.revision {
            proxy.revision = revision;
            proxy.since.insert(revision, now);
            let slow = proxy.slow;
            self.send_to_leader(
                1,
                if slow { 1_400 } else { 60 },
                Input::ProxyRevisions(vec![(format!("edge-{p}").into(), revision)]),
            );
        }
    }

    fn send_to_leader(&mut self, min_ms: u64, max_ms: u64, input: Input) {
        if let Some((m, incarnation, ..)) = self.lease {
            self.after(min_ms, max_ms, Event::Input(m, incarnation, Box::new(input)));
        }
    }

    fn grant_lease(&mut self) {
        let (scenario, now) = (self.scenario.clone(), self.now);
        let eligible = |simulation: &Simulation, m: usize| {
            simulation.machines[m].migrator.is_some()
                && simulation.end_of_span(&scenario.cuts, m).is_none()
                && simulation.end_of_span(&scenario.suspended_machines, m).is_none()
        };
        if self.lease.is_some_and(|(_, _, _, until)| until <= now) {
            self.lease = None;
        }
        let (m, fence) = match self.lease {
            Some((m, incarnation, fence, until)) => {
                if until > now + 1_000 * MS
                    || !eligible(self, m)
                    || self.machines[m].incarnation != incarnation
                {
                    return;
                }
                (m, fence)
            }
            None => {
                let m = self.rng.below(3) as usize;
                if !eligible(self, m) {
                    return;
                }
                self.fence += 1;
                self.changed = now;
                (m, self.fence)
            }
        };
        let incarnation = self.machines[m].incarnation;
        if self.lease.is_none() {
            self.trace_event(|| format!("machine {m} holds the lease, fence {fence}"));
        }
        self.lease = Some((m, incarnation, fence, now + 1_500 * MS));
        let until = self.machines[m].monotonic_offset + now + 1_400 * MS;
        self.after(1, 30, Event::Input(m, incarnation, Box::new(Input::Lease(fence, until))));
    }

    fn report_platform(&mut self) {
        let ready = |name: &str| self.ready.get(name).copied().unwrap_or(0);
        let delay = if self.is_target_slow() { 90.0 * MS as f64 } else { MS as f64 };
        let load = |name: &str, peak_requests, delay| {
            let live = ready(name);
            (
                CompactString::from(name),
                FunctionLoad { ready: live, live, peak_requests, delay, refused_ratio: 0.0 },
            )
        };
        for (name, function) in [load("s", 6.0, 0.0), load("t", 1.0, delay), load("u", 0.0, 0.0)] {
            self.send_to_leader(1, 150, Input::Functions(vec![(name, function)]));
        }
        self.send_to_leader(1, 150, Input::FreeMemory(vec![4_096; 3]));
        self.send_to_leader(1, 5, Input::Tick);
        if let Some((from, to)) = self.scenario.slow_target
            && self.now > (to * MS).saturating_sub(600 * MS)
            && self.now <= to * MS
            && to - from > 12_000
            && self.changed < from * MS
            && self.was_active
            && let Some((leader, ..)) = self.lease
            && self
                .scenario
                .suspended_machines
                .iter()
                .chain(&self.scenario.cuts)
                .all(|(m, a, b)| *m != leader || *b < from || *a > to)
        {
            for mv in self.written.moves.clone() {
                let to_target = matches!(
                    mv.state,
                    State::Switching(Direction::ToTarget, _) | State::Settling(Direction::ToTarget, _)
                );
                let has_revision = mv.revisions.0.max(self.config.0 + 1) <= mv.revisions.1;
                if to_target && has_revision && mv.name == "one" && !mv.paused {
                    self.oracle.fail(self.now, "bounds exceeded", mv.state.name());
                }
            }
        }
        if self.scenario.slow_target.is_some_and(|(from, _)| self.now < from * MS) {
            self.was_active = self.written.find("one").is_some_and(|mv| mv.state.is_active());
        }
    }

    fn deliver(&mut self, m: usize, incarnation: u64, input: Box<Input>) {
        if let Some(thaws) = self.end_of_span(&self.scenario.suspended_machines, m) {
            return self.at(thaws, Event::Input(m, incarnation, input));
        }
        let machine = &mut self.machines[m];
        if machine.incarnation != incarnation {
            return;
        }
        let Some(migrator) = &mut machine.migrator else { return };
        let unix_ms = 1_700_000_000_000 + machine.clock_offset_ms + self.now / MS;
        migrator.input(Moment { now: self.now + machine.monotonic_offset, unix_ms }, *input);
        for effect in migrator.take_effects() {
            let effect_index = self.effects;
            self.effects += 1;
            let crashes = |after| self.scenario.crashes.contains(&(effect_index, after));
            let (before, after) = (crashes(false), crashes(true));
            if before {
                return self.crash(m);
            }
            self.carry_out(m, incarnation, effect);
            if after {
                return self.crash(m);
            }
        }
    }

    fn crash(&mut self, m: usize) {
        self.trace_event(|| format!("machine {m} crashes"));
        self.machines[m].migrator = None;
        self.machines[m].incarnation += 1;
        self.after(400, 600, Event::Start(m));
    }

    fn carry_out(&mut self, m: usize, incarnation: u64, effect: Effect) {
        let holds = self.lease.is_some_and(|(h, l, _, until)| (h, l) == (m, incarnation) && self.now < until);
        if !holds && !matches!(effect, Effect::OrderFailure(..)) {
            self.oracle.fail(self.now, "no lease", format!("{effect:?}"));
        }
        let op = match effect {
            Effect::ReadRecord(ask) => Op::Read(ask),
            Effect::ReadConfig => Op::ReadConfig,
            Effect::Write { ask, value, expected_version } => {
                self.trace_event(|| format!("{m} writes {} over {expected_version:?}", value.version));
                self.record_offered(&value);
                Op::Write(ask, value, expected_version)
            }
            Effect::OrderFailure(id, why) => {
                self.trace_event(|| format!("order {id} not answered by {m}: {why:?}"));
                return;
            }
            Effect::Publish(published) => match published.action().clone() {
                Action::Warm { service, count } => {
                    return self.after(300, 900, Event::InstancesReady(service, count));
                }
                Action::Answer(answer) => return self.order_answered(answer.order, answer.result),
                Action::Put { name, revision, base, text } => {
                    self.oracle.config_offered(self.now, revision, &text);
                    self.trace_event(|| format!("{m} puts {revision} over {base:?} for {name}"));
                    self.put_started(revision);
                    Op::Put { name, revision, base, text }
                }
            },
        };
        let lost = |op: &Op| match op {
            Op::Read(ask) | Op::Write(ask, ..) => {
                Some(Input::Record(*ask, Outcome::Indeterminate(FailureReason::NoMajority)))
            }
            Op::Put { revision, .. } => Some(Input::PutFinished(*revision)),
            Op::ReadConfig => None,
        };
        let cut = self.end_of_span(&self.scenario.cuts, m).is_some();
        let dice = if self.scenario.calm || self.now > FAULTS_END { 0 } else { self.rng.below(100) };
        let (applied, answered) = match dice {
            _ if cut => (None, false),
            0..86 => (Some((2, 40)), true),
            86..90 => (Some((2, 40)), false),
            90..93 => (None, false),
            _ => (Some((800, 4_000)), false),
        };
        if !answered && let Some(input) = lost(&op) {
            self.after(780, 800, Event::Input(m, incarnation, Box::new(input)));
        }
        if let Some((min_ms, max)) = applied {
            self.after(min_ms, max, Event::Apply(m, incarnation, op, answered));
        }
    }

    /// A leader tries to write a record, which the oracle checks against what is known at that time.
    fn record_offered(&mut self, value: &Value) {
        let bad_for = self
            .scenario
            .slow_target
            .is_some_and(|(from, to)| (from * MS + 1_500 * MS..to * MS).contains(&self.now));
        let Ok(next) = Record::read(&value.content) else { return };
        let starts = next.find("one").is_some_and(|mv| mv.state == State::Planned { started: true });
        if starts && std::mem::take(&mut self.scenario.changed_at_start) {
            self.after(10, 200, Event::Replace(Replacement::ThirdService));
        }
        self.oracle.record_offered(self.now, &self.written, &next, bad_for);
    }

    /// Operators may act right before a put, or together with it.
    fn put_started(&mut self, number: u64) {
        let nth = self.puts;
        self.puts += 1;
        if self.scenario.race == Some(nth) && self.config.0 + 1 < number {
            self.put_by_operator(Replacement::OtherRoute);
        }
        if self.scenario.rollback_with == Some(nth) {
            let order = Order::Rollback("one".into(), None);
            self.orders.push(PendingOrder { order, not_before: 0, result: None });
            self.operate();
        }
    }

    fn apply(&mut self, m: usize, incarnation: u64, op: Op, answered: bool) {
        let input = match op {
            Op::Read(ask) => {
                let found = (self.record.version > 0).then(|| self.record.clone());
                Input::Record(ask, Outcome::Found(found))
            }
            Op::Write(ask, value, over) => {
                let current = self.record.version;
                let may = value.version > current && over.is_none_or(|over| over == current);
                let outcome = if may || is_disabled(Guard::Version) {
                    self.record_written(&value);
                    Outcome::Written(value)
                } else {
                    Outcome::Conflict((current > 0).then(|| self.record.clone()))
                };
                Input::Record(ask, outcome)
            }
            Op::ReadConfig => Input::ActiveConfig(ActiveConfig::read(&self.config.1).expect("valid")),
            Op::Put { name, revision, base, text } => {
                if revision > self.config.0 && base.is_none_or(|base| base == self.config.0) {
                    let before = self.oracle.configs[&self.config.0].clone();
                    let config = Config::parse(&text).expect("valid");
                    self.oracle.put_by_move(self.now, &name, &before, config, &self.written);
                    self.install(revision, text);
                }
                if answered {
                    let active = Input::ActiveConfig(ActiveConfig::read(&self.config.1).expect("valid"));
                    self.after(1, 30, Event::Input(m, incarnation, Box::new(active)));
                }
                Input::PutFinished(revision)
            }
        };
        if answered {
            self.after(30, 40, Event::Input(m, incarnation, Box::new(input)));
        }
    }

    /// A record has been written.
    fn record_written(&mut self, value: &Value) {
        let record = Record::read(&value.content).expect("a written record parses");
        assert_eq!(record.to_text(), &*value.content);
        let view = |(p, proxy): (usize, &Proxy)| ProxyView {
            connected: !self.is_suspended(p)
                && (proxy.resumed_at == 0 || self.now >= proxy.resumed_at + CONTACT),
            config: self.oracle.configs.get(&proxy.revision).cloned(),
            since: proxy.since.clone(),
        };
        let views: Vec<_> = self.proxies.iter().enumerate().map(view).collect();
        let config = self.oracle.configs[&self.config.0].clone();
        let moves: Vec<_> = record.moves.iter().map(|mv| format!("{} {:?}", mv.name, mv.state)).collect();
        self.trace_event(|| format!("record {}: {}", value.version, moves.join(", ")));
        self.oracle.record_written(self.now, &self.written, &record, &config, &views);
        (self.record, self.written) = (value.clone(), record);
    }

    /// A configuration becomes active, and is sent to all proxies and the leader.
    fn install(&mut self, revision: u64, text: String) {
        self.trace_event(|| format!("configuration {revision} is active"));
        self.config = (revision, text.into());
        for p in 0..self.proxies.len() {
            let incarnation = self.proxies[p].incarnation;
            let max = if self.proxies[p].slow { 5_000 } else { 200 };
            self.after(5, max, Event::LearnConfig(p, incarnation, revision));
        }
        let active = ActiveConfig::read(&self.config.1).expect("valid");
        self.send_to_leader(50, 500, Input::ActiveConfig(active));
    }

    /// An operator puts a configuration derived from the active one.
    fn put_by_operator(&mut self, replacement: Replacement) {
        let active = self.config.0;
        let revision = match replacement {
            Replacement::Old => 5,
            _ if active + 1 < FIRST_RESERVED => active + 1,
            _ => active.max(self.last_reserved) + 1,
        };
        let mut text = self.config.1.to_string();
        text = text.replacen(&format!(r#""revision":{active}"#), &format!(r#""revision":{revision}"#), 1);
        let mut config = Config::parse(&text).expect("valid");
        let tenant = |host: &str| host == "t.example";
        for route in &mut config.routes {
            match replacement {
                Replacement::OtherRoute if route.host == "p.example" => route.deadline_ms += 1,
                Replacement::ThirdService if tenant(&route.host) && route.path_prefix == "/0/" => {
                    route.shares = vec![("u".into(), 1)];
                }
                Replacement::Source if tenant(&route.host) => route.shares = vec![("s".into(), 1)],
                _ => {}
            }
        }
        self.trace_event(|| format!("operator: {replacement:?} as {revision}"));
        if revision > active {
            self.oracle.put_by_operator(config.clone());
            self.install(revision, config.to_json());
        }
    }

    /// Operators give the first order that has not been answered; after the faults they act on what moves
    /// wait for.
    fn operate(&mut self) {
        // Orders without a time are given immediately.
        let open = |(_, pending): &(usize, &PendingOrder)| pending.result.is_none();
        let next = self
            .orders
            .iter()
            .enumerate()
            .filter(open)
            .min_by_key(|(n, pending)| (pending.not_before > 0, *n));
        let next = next.map(|(n, _)| n);
        if let Some(n) = next {
            if self.orders[n].not_before <= self.now {
                let id = self.seq * 1_000 + n as u64;
                self.orders_by_id.insert(id, n);
                let order = self.orders[n].order.clone();
                self.oracle.order_given(&order);
                self.send_to_leader(1, 30, Input::Order(id, order));
            }
            return;
        }
        if self.now < FAULTS_END {
            return;
        }
        let waits_for = |mv: &crate::Move| {
            let (m, _, _, _) = self.lease?;
            let at = Moment { now: self.now + self.machines[m].monotonic_offset, unix_ms: 0 };
            let status = self.machines[m].migrator.as_ref()?.status(at, Some(&mv.name))?;
            let status = millpost_config::values::get_list(&status, "moves")?.first()?;
            millpost_config::values::get_str(status, "waits").map(str::to_owned)
        };
        let order = self.written.open().find_map(|mv| {
            let waits = waits_for(mv).unwrap_or_default();
            if waits.contains("start the move again with more") {
                let first = self.last_reserved.max(self.config.0) + 3;
                return Some((Order::Start(mv.name.clone(), Some((first, first + 12))), first + 12));
            }
            (mv.paused && mv.state.is_active()).then(|| (Order::Start(mv.name.clone(), None), 0))
        });
        if let Some((order, last)) = order {
            self.last_reserved = self.last_reserved.max(last);
            self.orders.push(PendingOrder { order, not_before: self.now, result: None });
        }
    }

    fn order_answered(&mut self, id: u64, result: OrderResult) {
        let Some(n) = self.orders_by_id.get(&id).copied() else { return };
        self.trace_event(|| format!("order {n} is answered: {result:?}"));
        let pending = &mut self.orders[n];
        if pending.result.is_none() {
            match result {
                OrderResult::Accepted(_) => self.oracle.order_accepted(&pending.order, &self.written),
                OrderResult::Refused(_) => self.oracle.order_refused(&pending.order),
            }
            pending.result = Some(result);
        }
    }
}
