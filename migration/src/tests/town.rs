//! A core of three control machines, proxies, a target and operators, played by seed. Nothing is judged here but who is told what when.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use compact_str::CompactString;
use millpost_config::Config;
use millpost_quorum::{FailureReason, Outcome, Value};

use super::oracle::{Oracle, Seen};
use crate::durable::Action;
use crate::guards::{Guard, is_disabled};
use crate::record::Record;
use crate::{
    ActiveConfig, Bounds, Contract, Direction, Effect, FunctionLoad, Input, MS, Migrator, Moment, Nanos,
    Order, OrderResult, Settings, State,
};

const CONTACT: Nanos = 4_000 * MS;
const BEAT: Nanos = 300 * MS;
/// Faults end by then, and all has ended by then.
const CALM_FROM: Nanos = 45_000 * MS;
const END: Nanos = 160_000 * MS;
/// Operators' numbers for moves begin there.
const RANGE: u64 = 100;

/// What an operator puts in the middle.
#[derive(Clone, Copy, Debug)]
pub(super) enum Replace {
    /// Another route changes.
    Agrees,
    /// A route of the tenant goes to a third service.
    Elsewhere,
    /// All routes of the tenant go home, on top of what stands.
    Home,
    /// An older revision comes again.
    Old,
}

/// A day.
#[derive(Clone, Debug, Default)]
pub(super) struct Day {
    pub seed: u64,
    pub routes: usize,
    pub loads: u32,
    pub deadline_ms: u64,
    /// The register answers always, and soon; all proxies are quick.
    pub calm: bool,
    pub back_at: Option<u64>,
    /// The order to turn back comes with the put of this number, counted from 0.
    pub back_with: Option<usize>,
    pub pause_at: Option<u64>,
    /// Another move, over the same routes or others.
    pub second: Option<bool>,
    /// Holders die at these words, right before or right after.
    pub deaths: Vec<(usize, bool)>,
    pub replaces: Vec<(u64, Replace)>,
    /// An operator's configuration stands right before this put is written, counted from 0.
    pub race: Option<usize>,
    /// Machines from, to.
    pub sleeps: Vec<(usize, u64, u64)>,
    pub cuts: Vec<(usize, u64, u64)>,
    pub freezes: Vec<(usize, u64, u64)>,
    /// The target's delay is past T1.
    pub bad: Option<(u64, u64)>,
    /// Nothing starts.
    pub cold: bool,
    /// An operator puts a route elsewhere just as the move is started.
    pub spoilt: bool,
}

impl Day {
    pub fn calm(seed: u64) -> Day {
        Day { seed, routes: 4, loads: 3, deadline_ms: 1_500, calm: true, ..Day::default() }
    }

    pub fn wild(seed: u64) -> Day {
        let mut rng = Rng(seed.wrapping_mul(77) + 5);
        let routes = 1 + rng.below(5) as usize;
        let mut day = Day { seed, routes, loads: 1 + rng.below(routes as u64) as u32, ..Day::default() };
        day.deadline_ms = if rng.one_in(2) { 200 } else { 1_500 };
        day.back_at = rng.one_in(3).then(|| 6_000 + rng.below(14_000));
        day.back_with = rng.one_in(4).then(|| rng.below(2) as usize);
        day.pause_at = rng.one_in(4).then(|| 6_000 + rng.below(9_000));
        day.second = rng.one_in(2).then(|| rng.one_in(2));
        day.deaths = (0..rng.below(4)).map(|_| (rng.below(120) as usize, rng.one_in(2))).collect();
        let kinds = [Replace::Agrees, Replace::Agrees, Replace::Elsewhere, Replace::Home, Replace::Old];
        day.replaces =
            (0..rng.below(3)).map(|_| (2_000 + rng.below(22_000), kinds[rng.below(5) as usize])).collect();
        day.race = rng.one_in(4).then(|| rng.below(2) as usize);
        let mut span = |most: u64| {
            let from = 5_000 + rng.below(20_000);
            (rng.below(3) as usize, from, from + 300 + rng.below(most))
        };
        day.sleeps = (0..2).map(|_| span(15_000)).collect();
        day.cuts = (0..1).map(|_| span(6_000)).collect();
        day.freezes = (0..2).map(|_| span(3_000)).collect();
        day.bad = rng.one_in(3).then(|| {
            let from = 6_000 + rng.below(9_000);
            (from, from + rng.below(25_000))
        });
        day.cold = rng.one_in(12);
        day.spoilt = rng.one_in(8);
        day
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
    fn below(&mut self, most: u64) -> u64 {
        self.next() % most.max(1)
    }
    fn one_in(&mut self, of: u64) -> bool {
        self.below(of) == 0
    }
}

/// Written to the register at once.
enum Op {
    Read(u64),
    Write(u64, Value, Option<u64>),
    ReadConfig,
    Put { name: CompactString, revision: u64, base: Option<u64>, text: String },
}

enum Event {
    To(usize, u64, Box<Input>),
    Apply(usize, u64, Op, bool),
    Start(usize),
    Grant,
    Beat(usize),
    Learn(usize, u64, u64),
    Report,
    Ready(CompactString, u32),
    Operator,
    Replace(Replace),
    Wake(usize),
}

struct Machine {
    migrator: Option<Migrator>,
    life: u64,
    steady: Nanos,
    day: u64,
}

struct Proxy {
    acts: u64,
    life: u64,
    woke: Nanos,
    since: BTreeMap<u64, Nanos>,
    slow: bool,
}

/// An order that an operator gives until it has a clear answer.
struct Wanted {
    order: Order,
    not_before: Nanos,
    said: Option<OrderResult>,
}

pub(super) struct Town {
    day: Day,
    rng: Rng,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    seq: u64,
    machines: Vec<Machine>,
    lease: Option<(usize, u64, u64, Nanos)>,
    fence: u64,
    /// The last change of holder.
    changed: Nanos,
    record: Value,
    kept: Record,
    config: (u64, Arc<str>),
    proxies: Vec<Proxy>,
    ready: BTreeMap<CompactString, u32>,
    wanted: Vec<Wanted>,
    /// Numbers of orders as they were given, and which they are.
    given: BTreeMap<u64, usize>,
    last_number: u64,
    puts: usize,
    was_there: bool,
    pub words: usize,
    pub oracle: Oracle,
    log: Vec<String>,
}

fn config(day: &Day) -> String {
    let route = |host: &str, n: usize| {
        format!(
            r#"{{"name":"r{n}","host":"{host}","path_prefix":"/{n}/","traffic_kind":"mutating","deadline_ms":{},
                "target_latency_ms":200,"service":"s","odd":[1,2]}}"#,
            day.deadline_ms
        )
    };
    let routes: Vec<_> = (0..day.routes).map(|n| route("t.example", n)).collect();
    let services = ["s", "t", "u"]
        .map(|name| format!(r#"{{"name":"{name}","memory_mb":512,"boot_ms":100,"concurrency":4}}"#));
    let all = [routes.join(","), route("o.example", 0), route("p.example", 0)].join(",");
    format!(r#"{{"revision":10,"kept":true,"routes":[{all}],"services":[{}]}}"#, services.join(","))
}

impl Town {
    pub fn new(day: Day) -> Town {
        let mut rng = Rng(day.seed);
        let machines = (0..3)
            .map(|_| Machine { migrator: None, life: 0, steady: rng.below(1 << 40), day: rng.below(1_000) })
            .collect();
        let proxies = (0..3).map(|n| Proxy {
            acts: 10,
            life: 0,
            woke: 0,
            since: BTreeMap::from([(10, 0)]),
            slow: !day.calm && n == 1,
        });
        let text = config(&day);
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
            (5_000, Order::Plan(contract("one", &["t.example"], "t", day.loads))),
            (5_000, Order::Start("one".into(), Some((RANGE, RANGE + 11)))),
        ];
        if let Some(crossing) = day.second {
            let hosts: &[&str] = if crossing { &["o.example", "t.example"] } else { &["o.example"] };
            orders.push((5_500, Order::Plan(contract("two", hosts, "t", 1))));
            orders.push((5_500, Order::Start("two".into(), Some((RANGE + 12, RANGE + 30)))));
        }
        if let Some(at) = day.pause_at {
            orders.push((at, Order::Pause("one".into())));
            orders.push((at + 4_000, Order::Start("one".into(), None)));
        }
        orders.extend(day.back_at.map(|at| (at, Order::Rollback("one".into(), None))));
        orders.sort_by_key(|(at, _)| *at);
        let wanted =
            orders.into_iter().map(|(at, order)| Wanted { order, not_before: at * MS, said: None }).collect();
        let mut town = Town {
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
            kept: Record::default(),
            config: (10, text.into()),
            proxies: proxies.collect(),
            ready: BTreeMap::from([("s".into(), 3)]),
            wanted,
            given: BTreeMap::new(),
            last_number: RANGE + 30,
            puts: 0,
            was_there: false,
            words: 0,
            oracle,
            log: Vec::new(),
            day,
        };
        (0..3).for_each(|m| town.at(0, Event::Start(m)));
        (0..3).for_each(|p| town.at(0, Event::Beat(p)));
        for event in [Event::Grant, Event::Report, Event::Operator] {
            town.at(0, event);
        }
        for (at, replace) in town.day.replaces.clone() {
            town.at(at * MS, Event::Replace(replace));
        }
        for (p, _, to) in town.day.sleeps.clone() {
            town.at(to * MS, Event::Wake(p));
        }
        town
    }

    fn at(&mut self, when: Nanos, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((when.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    fn after(&mut self, least_ms: u64, most_ms: u64, event: Event) {
        let span = least_ms * MS + self.rng.below((most_ms - least_ms) * MS);
        self.at(self.now + span, event);
    }

    fn say(&mut self, what: impl FnOnce() -> String) {
        if self.log.len() < 2_000 {
            self.log.push(format!("{:>7} {}", self.now / MS, what()));
        }
    }

    pub fn trace(&self) -> String {
        self.log.join("\n")
    }

    /// How the moves have ended, or how far they are.
    pub fn ends(&self) -> Vec<&'static str> {
        self.kept.moves.iter().map(|of| of.state.name()).collect()
    }

    fn within(&self, spans: &[(usize, u64, u64)], which: usize) -> Option<Nanos> {
        let within =
            |(n, from, to): &&(usize, u64, u64)| *n == which && (from * MS..to * MS).contains(&self.now);
        spans.iter().filter(within).map(|(_, _, to)| to * MS).max()
    }

    fn asleep(&self, p: usize) -> bool {
        self.within(&self.day.sleeps, p).is_some()
    }

    fn is_bad(&self) -> bool {
        self.day.bad.is_some_and(|(from, to)| (from * MS..to * MS).contains(&self.now))
    }

    pub fn play(&mut self) {
        while let Some(Reverse((when, seq))) = self.queue.pop() {
            if when > END || !self.oracle.broken.is_empty() {
                break;
            }
            self.now = when;
            if let Some(event) = self.events.remove(&seq) {
                self.happens(event);
            }
        }
        if self.oracle.broken.is_empty() {
            self.look_at_the_end();
        }
    }

    fn look_at_the_end(&mut self) {
        let now = self.now;
        for (n, wanted) in self.wanted.iter().enumerate().filter(|(_, wanted)| wanted.said.is_none()) {
            self.oracle.fail(now, "stuck", format!("order {n} has no answer: {:?}", wanted.order));
        }
        for of in self.kept.open().filter(|of| of.state != State::Planned { started: false }) {
            self.oracle.fail(now, "stuck", format!("{} is {}", of.name, of.state.name()));
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::To(m, life, input) => self.deliver(m, life, input),
            Event::Apply(m, life, op, answered) => self.apply(m, life, op, answered),
            Event::Start(m) => {
                let settings = Settings { contact_timeout: CONTACT, duty_per_s: 78.0, prewarms: true };
                self.machines[m].migrator = Some(Migrator::new(settings));
                self.machines[m].steady = self.rng.below(1 << 40);
            }
            Event::Grant => {
                self.grant();
                self.after(100, 101, Event::Grant);
            }
            Event::Beat(p) => {
                if !self.asleep(p) {
                    let proxy = &self.proxies[p];
                    let acts = Input::ProxyRevisions(vec![(format!("edge-{p}").into(), proxy.acts)]);
                    let most = if proxy.slow && self.now < CALM_FROM { 3_000 } else { 60 };
                    self.tell_holder(1, most, acts);
                }
                self.at(self.now + BEAT, Event::Beat(p));
            }
            Event::Learn(p, life, revision) => self.learn(p, life, revision),
            Event::Report => {
                self.report();
                self.after(450, 550, Event::Report);
            }
            Event::Ready(service, count) => {
                if !self.day.cold {
                    let ready = self.ready.entry(service).or_default();
                    *ready = (*ready).max(count);
                }
            }
            Event::Operator => {
                self.operate();
                self.after(700, 900, Event::Operator);
            }
            Event::Replace(replace) => self.replace(replace),
            Event::Wake(p) => {
                // It may have been started anew, with what a control machine had that is behind.
                self.say(|| format!("proxy {p} wakes"));
                let proxy = &mut self.proxies[p];
                proxy.woke = self.now;
                if self.seq.is_multiple_of(2) {
                    proxy.life += 1;
                    proxy.acts = 0;
                    proxy.since.clear();
                }
                let (life, newest) = (proxy.life, self.config.0);
                self.after(50, 1_500, Event::Learn(p, life, newest));
            }
        }
    }

    fn learn(&mut self, p: usize, life: u64, revision: u64) {
        let (asleep, now) = (self.asleep(p), self.now);
        let proxy = &mut self.proxies[p];
        if !asleep && proxy.life == life && revision > proxy.acts {
            proxy.acts = revision;
            proxy.since.insert(revision, now);
            let slow = proxy.slow;
            self.tell_holder(
                1,
                if slow { 1_400 } else { 60 },
                Input::ProxyRevisions(vec![(format!("edge-{p}").into(), revision)]),
            );
        }
    }

    fn tell_holder(&mut self, least: u64, most: u64, input: Input) {
        if let Some((m, life, ..)) = self.lease {
            self.after(least, most, Event::To(m, life, Box::new(input)));
        }
    }

    fn grant(&mut self) {
        let (day, now) = (self.day.clone(), self.now);
        let fit = |town: &Town, m: usize| {
            town.machines[m].migrator.is_some()
                && town.within(&day.cuts, m).is_none()
                && town.within(&day.freezes, m).is_none()
        };
        if self.lease.is_some_and(|(_, _, _, until)| until <= now) {
            self.lease = None;
        }
        let (m, fence) = match self.lease {
            Some((m, life, fence, until)) => {
                if until > now + 1_000 * MS || !fit(self, m) || self.machines[m].life != life {
                    return;
                }
                (m, fence)
            }
            None => {
                let m = self.rng.below(3) as usize;
                if !fit(self, m) {
                    return;
                }
                self.fence += 1;
                self.changed = now;
                (m, self.fence)
            }
        };
        let life = self.machines[m].life;
        if self.lease.is_none() {
            self.say(|| format!("machine {m} holds the lease, fence {fence}"));
        }
        self.lease = Some((m, life, fence, now + 1_500 * MS));
        let until = self.machines[m].steady + now + 1_400 * MS;
        self.after(1, 30, Event::To(m, life, Box::new(Input::Lease(fence, until))));
    }

    fn report(&mut self) {
        let ready = |name: &str| self.ready.get(name).copied().unwrap_or(0);
        let delay = if self.is_bad() { 90.0 * MS as f64 } else { MS as f64 };
        let of = |name: &str, peak_requests, delay| {
            let live = ready(name);
            (
                CompactString::from(name),
                FunctionLoad { ready: live, live, peak_requests, delay, refused_ratio: 0.0 },
            )
        };
        for (name, function) in [of("s", 6.0, 0.0), of("t", 1.0, delay), of("u", 0.0, 0.0)] {
            self.tell_holder(1, 150, Input::Functions(vec![(name, function)]));
        }
        self.tell_holder(1, 150, Input::FreeMemory(vec![4_096; 3]));
        self.tell_holder(1, 5, Input::Tick);
        if let Some((from, to)) = self.day.bad
            && self.now > (to * MS).saturating_sub(600 * MS)
            && self.now <= to * MS
            && to - from > 12_000
            && self.changed < from * MS
            && self.was_there
            && let Some((holder, ..)) = self.lease
            && self
                .day
                .freezes
                .iter()
                .chain(&self.day.cuts)
                .all(|(m, a, b)| *m != holder || *b < from || *a > to)
        {
            for of in self.kept.moves.clone() {
                let there = matches!(
                    of.state,
                    State::Switching(Direction::ToTarget, _) | State::Settling(Direction::ToTarget, _)
                );
                let number = of.revisions.0.max(self.config.0 + 1) <= of.revisions.1;
                if there && number && of.name == "one" && !of.paused {
                    self.oracle.fail(self.now, "past its bounds", of.state.name());
                }
            }
        }
        if self.day.bad.is_some_and(|(from, _)| self.now < from * MS) {
            self.was_there = self.kept.find("one").is_some_and(|of| of.state.is_active());
        }
    }

    fn deliver(&mut self, m: usize, life: u64, input: Box<Input>) {
        if let Some(thaws) = self.within(&self.day.freezes, m) {
            return self.at(thaws, Event::To(m, life, input));
        }
        let machine = &mut self.machines[m];
        if machine.life != life {
            return;
        }
        let Some(migrator) = &mut machine.migrator else { return };
        let unix_ms = 1_700_000_000_000 + machine.day + self.now / MS;
        migrator.input(Moment { now: self.now + machine.steady, unix_ms }, *input);
        for effect in migrator.take_effects() {
            let word = self.words;
            self.words += 1;
            let dies = |after| self.day.deaths.contains(&(word, after));
            let (before, after) = (dies(false), dies(true));
            if before {
                return self.kill(m);
            }
            self.carry_out(m, life, effect);
            if after {
                return self.kill(m);
            }
        }
    }

    fn kill(&mut self, m: usize) {
        self.say(|| format!("machine {m} dies"));
        self.machines[m].migrator = None;
        self.machines[m].life += 1;
        self.after(400, 600, Event::Start(m));
    }

    fn carry_out(&mut self, m: usize, life: u64, effect: Effect) {
        let holds = self.lease.is_some_and(|(h, l, _, until)| (h, l) == (m, life) && self.now < until);
        if !holds && !matches!(effect, Effect::OrderFailure(..)) {
            self.oracle.fail(self.now, "without the lease", format!("{effect:?}"));
        }
        let op = match effect {
            Effect::ReadRecord(ask) => Op::Read(ask),
            Effect::ReadConfig => Op::ReadConfig,
            Effect::Write { ask, value, expected_version } => {
                self.say(|| format!("{m} writes {} over {expected_version:?}", value.version));
                self.writes(&value);
                Op::Write(ask, value, expected_version)
            }
            Effect::OrderFailure(id, why) => {
                self.say(|| format!("order {id} turned down by {m}: {why:?}"));
                return;
            }
            Effect::Publish(out) => match out.action().clone() {
                Action::Warm { service, count } => return self.after(300, 900, Event::Ready(service, count)),
                Action::Answer(answer) => return self.answered(answer.order, answer.result),
                Action::Put { name, revision, base, text } => {
                    self.oracle.offers(self.now, revision, &text);
                    self.say(|| format!("{m} puts {revision} over {base:?} for {name}"));
                    self.put_begins(revision);
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
        let cut = self.within(&self.day.cuts, m).is_some();
        let dice = if self.day.calm || self.now > CALM_FROM { 0 } else { self.rng.below(100) };
        let (applied, answered) = match dice {
            _ if cut => (None, false),
            0..86 => (Some((2, 40)), true),
            86..90 => (Some((2, 40)), false),
            90..93 => (None, false),
            _ => (Some((800, 4_000)), false),
        };
        if !answered && let Some(input) = lost(&op) {
            self.after(780, 800, Event::To(m, life, Box::new(input)));
        }
        if let Some((least, most)) = applied {
            self.after(least, most, Event::Apply(m, life, op, answered));
        }
    }

    /// A record is offered: what is decided on what was known is judged as it is said.
    fn writes(&mut self, value: &Value) {
        let bad_for =
            self.day.bad.is_some_and(|(from, to)| (from * MS + 1_500 * MS..to * MS).contains(&self.now));
        let Ok(next) = Record::read(&value.content) else { return };
        let starts = next.find("one").is_some_and(|of| of.state == State::Planned { started: true });
        if starts && std::mem::take(&mut self.day.spoilt) {
            self.after(10, 200, Event::Replace(Replace::Elsewhere));
        }
        self.oracle.offered_record(self.now, &self.kept, &next, bad_for);
    }

    /// Operators may come right before a put, or with it.
    fn put_begins(&mut self, number: u64) {
        let nth = self.puts;
        self.puts += 1;
        if self.day.race == Some(nth) && self.config.0 + 1 < number {
            self.replace(Replace::Agrees);
        }
        if self.day.back_with == Some(nth) {
            let order = Order::Rollback("one".into(), None);
            self.wanted.push(Wanted { order, not_before: 0, said: None });
            self.operate();
        }
    }

    fn apply(&mut self, m: usize, life: u64, op: Op, answered: bool) {
        let input = match op {
            Op::Read(ask) => {
                let found = (self.record.version > 0).then(|| self.record.clone());
                Input::Record(ask, Outcome::Found(found))
            }
            Op::Write(ask, value, over) => {
                let current = self.record.version;
                let may = value.version > current && over.is_none_or(|over| over == current);
                let outcome = if may || is_disabled(Guard::Version) {
                    self.stands(&value);
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
                    self.oracle.put_by_move(self.now, &name, &before, config, &self.kept);
                    self.install(revision, text);
                }
                if answered {
                    let stands = Input::ActiveConfig(ActiveConfig::read(&self.config.1).expect("valid"));
                    self.after(1, 30, Event::To(m, life, Box::new(stands)));
                }
                Input::PutFinished(revision)
            }
        };
        if answered {
            self.after(30, 40, Event::To(m, life, Box::new(input)));
        }
    }

    /// A record stands.
    fn stands(&mut self, value: &Value) {
        let record = Record::read(&value.content).expect("reads what was written");
        assert_eq!(record.to_text(), &*value.content);
        let seen = |(p, proxy): (usize, &Proxy)| Seen {
            in_touch: !self.asleep(p) && (proxy.woke == 0 || self.now >= proxy.woke + CONTACT),
            config: self.oracle.configs.get(&proxy.acts).cloned(),
            since: proxy.since.clone(),
        };
        let seen: Vec<_> = self.proxies.iter().enumerate().map(seen).collect();
        let config = self.oracle.configs[&self.config.0].clone();
        let moves: Vec<_> = record.moves.iter().map(|of| format!("{} {:?}", of.name, of.state)).collect();
        self.say(|| format!("record {}: {}", value.version, moves.join(", ")));
        self.oracle.record(self.now, &self.kept, &record, &config, &seen);
        (self.record, self.kept) = (value.clone(), record);
    }

    /// A configuration stands: all hear of it.
    fn install(&mut self, revision: u64, text: String) {
        self.say(|| format!("configuration {revision} stands"));
        self.config = (revision, text.into());
        for p in 0..self.proxies.len() {
            let life = self.proxies[p].life;
            let most = if self.proxies[p].slow { 5_000 } else { 200 };
            self.after(5, most, Event::Learn(p, life, revision));
        }
        let stands = ActiveConfig::read(&self.config.1).expect("valid");
        self.tell_holder(50, 500, Input::ActiveConfig(stands));
    }

    /// An operator puts a configuration, out of the one that stands.
    fn replace(&mut self, replace: Replace) {
        let stands = self.config.0;
        let number = match replace {
            Replace::Old => 5,
            _ if stands + 1 < RANGE => stands + 1,
            _ => stands.max(self.last_number) + 1,
        };
        let mut text = self.config.1.to_string();
        text = text.replacen(&format!(r#""revision":{stands}"#), &format!(r#""revision":{number}"#), 1);
        let mut config = Config::parse(&text).expect("valid");
        let tenant = |host: &str| host == "t.example";
        for route in &mut config.routes {
            match replace {
                Replace::Agrees if route.host == "p.example" => route.deadline_ms += 1,
                Replace::Elsewhere if tenant(&route.host) && route.path_prefix == "/0/" => {
                    route.shares = vec![("u".into(), 1)];
                }
                Replace::Home if tenant(&route.host) => route.shares = vec![("s".into(), 1)],
                _ => {}
            }
        }
        self.say(|| format!("operator: {replace:?} as {number}"));
        if number > stands {
            self.oracle.put_by_operator(config.clone());
            self.install(number, config.to_json());
        }
    }

    /// Operators give the first order that has no answer yet; in the end they see to what waits for them.
    fn operate(&mut self) {
        // What has no time is given at once.
        let open = |(_, wanted): &(usize, &Wanted)| wanted.said.is_none();
        let next =
            self.wanted.iter().enumerate().filter(open).min_by_key(|(n, wanted)| (wanted.not_before > 0, *n));
        let next = next.map(|(n, _)| n);
        if let Some(n) = next {
            if self.wanted[n].not_before <= self.now {
                let id = self.seq * 1_000 + n as u64;
                self.given.insert(id, n);
                let order = self.wanted[n].order.clone();
                self.oracle.orders(&order);
                self.tell_holder(1, 30, Input::Order(id, order));
            }
            return;
        }
        if self.now < CALM_FROM {
            return;
        }
        let waits = |of: &crate::Move| {
            let (m, _, _, _) = self.lease?;
            let at = Moment { now: self.now + self.machines[m].steady, unix_ms: 0 };
            let told = self.machines[m].migrator.as_ref()?.status(at, Some(&of.name))?;
            let told = millpost_config::values::get_list(&told, "moves")?.first()?;
            millpost_config::values::get_str(told, "waits").map(str::to_owned)
        };
        let order = self.kept.open().find_map(|of| {
            let waits = waits(of).unwrap_or_default();
            if waits.contains("start the move again with more") {
                let first = self.last_number.max(self.config.0) + 3;
                return Some((Order::Start(of.name.clone(), Some((first, first + 12))), first + 12));
            }
            (of.paused && of.state.is_active()).then(|| (Order::Start(of.name.clone(), None), 0))
        });
        if let Some((order, last)) = order {
            self.last_number = self.last_number.max(last);
            self.wanted.push(Wanted { order, not_before: self.now, said: None });
        }
    }

    fn answered(&mut self, id: u64, said: OrderResult) {
        let Some(n) = self.given.get(&id).copied() else { return };
        self.say(|| format!("order {n} is answered: {said:?}"));
        let wanted = &mut self.wanted[n];
        if wanted.said.is_none() {
            match said {
                OrderResult::Accepted(_) => self.oracle.answered(&wanted.order, &self.kept),
                OrderResult::Refused(_) => self.oracle.refuses(&wanted.order),
            }
            wanted.said = Some(said);
        }
    }
}
