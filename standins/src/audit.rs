//! The auditor: hears everything on both sides, in whatever order it comes, and holds it against the six rules.
//!
//! Kept invariant: what is said of a message depends on the times that events carry and not on the order in which
//! they are heard; a partner may hear of a message before its client has noted what it handed in. All times are of
//! one clock, the recorder's; remaining times are durations, so a dispatcher's clock plays no part. A verdict on a
//! message falls once nothing that is still to come could change it, and its record is dropped then.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::service::{Effect, Service};

/// The six rules, and what stands before them: calls are for messages that somebody handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No message is lost: what was taken has exactly one final answer, in time.
    Lost,
    /// No effect twice where the class forbids it; never two attempts of one message out.
    Twice,
    /// Nothing new to an endpoint once its drain has been told and the time for it has passed.
    Drain,
    /// No returning destination is pushed over.
    Cold,
    /// Order where a class asks for it.
    Order,
    /// Waits are heeded.
    Wait,
    /// A call for a message that nobody handed in, or at another destination's endpoint.
    Stray,
}

/// All rules, in their order.
pub const RULES: [Rule; 7] =
    [Rule::Lost, Rule::Twice, Rule::Drain, Rule::Cold, Rule::Order, Rule::Wait, Rule::Stray];

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "no message lost",
            Rule::Twice => "no effect twice",
            Rule::Drain => "drains kept",
            Rule::Cold => "no return pushed over",
            Rule::Order => "order kept",
            Rule::Wait => "waits heeded",
            Rule::Stray => "no stray call",
        })
    }
}

/// What a client heard of a message that it handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// 202 or 200.
    Taken,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// Nothing in time, or the connection ended. What the dispatcher does with it counts for nothing, but for
    /// its effects.
    Nothing {
        /// The connection ended after the request's last byte, by the dispatcher's doing and without cause.
        cut: bool,
    },
}

/// How a call ended, as the partner sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// This status was written.
    Answered(u16),
    /// The connection is gone.
    Closed,
}

/// A message's end by notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Given up; it may have run.
    Dead,
    /// Refused; handing it in again is harmless.
    Bounced,
}

/// Something that was seen on either side.
#[derive(Clone, Debug)]
pub enum Heard {
    /// A client is about to write a message.
    HandedIn {
        /// Its id, new each time.
        reference: Arc<str>,
        /// The same for each handing in of one message.
        origin: u64,
        /// Its class, by position.
        class: usize,
        /// Its destination.
        dest: u64,
        /// What it is about, in a class that keeps an order.
        order: Option<u64>,
        /// Time left to it.
        time_left: Duration,
    },
    /// What the client was told, and by which dispatcher.
    Answered {
        /// The message.
        reference: Arc<str>,
        /// The dispatcher.
        node: usize,
        /// The answer.
        told: Told,
    },
    /// The last byte of a call came.
    CallCame {
        /// A number that no other call has.
        call: u64,
        /// The message.
        reference: Arc<str>,
        /// The dispatcher that sent it.
        node: usize,
        /// The endpoint's number.
        endpoint: usize,
        /// The endpoint's destination.
        dest: u64,
        /// When its first byte came.
        first_byte: Duration,
    },
    /// A call was carried out and changed something.
    TookEffect {
        /// The message.
        reference: Arc<str>,
    },
    /// A call is over.
    CallOver {
        /// The call.
        call: u64,
        /// The message.
        reference: Arc<str>,
        /// How.
        how: Over,
    },
    /// A dispatcher was told to wait; the time runs from when the answer was written.
    WaitTold {
        /// Who was told.
        node: usize,
        /// The destination.
        dest: u64,
        /// How long.
        wait: Duration,
    },
    /// Discovery has told a dispatcher whether an endpoint takes new work.
    Listed {
        /// Who was told.
        node: usize,
        /// The endpoint.
        endpoint: usize,
        /// It is in service.
        takes: bool,
    },
    /// A dispatcher's process was told to end, or killed.
    NodeDown {
        /// Which.
        node: usize,
    },
    /// It answers again.
    NodeReady {
        /// Which.
        node: usize,
    },
    /// A destination stops working.
    Outage {
        /// Which.
        dest: u64,
    },
    /// It is back, and cold.
    Back {
        /// Which.
        dest: u64,
        /// Calls a second that it takes once warm.
        capacity: f64,
    },
    /// A notice came.
    Noticed {
        /// The message.
        reference: Arc<str>,
        /// Its end.
        end: End,
    },
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When, in seconds of the recorder's clock.
    pub at: f64,
    /// What was seen.
    pub what: String,
}

/// What the auditor has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Broken rules.
    pub counts: BTreeMap<Rule, u64>,
    /// The first of them, a few of each.
    pub broken: Vec<Broken>,
    /// Messages handed in, each handing in counted.
    pub handed_in: u64,
    /// Taken on.
    pub taken: u64,
    /// Refused at the door.
    pub refused: u64,
    /// Without an answer at the door, or with an odd one.
    pub unanswered: u64,
    /// Delivered.
    pub delivered: u64,
    /// Ended by a notice that they are dead.
    pub dead: u64,
    /// Ended by a notice that they are refused.
    pub bounced: u64,
    /// Ended by a notice though their delivery had been answered: nothing that the rules forbid.
    pub told_after_delivery: u64,
    /// Delivered within their class's aim, counted from the first handing in.
    pub in_aim: u64,
    /// Calls that came.
    pub calls: u64,
    /// Messages, each counted once however often it was handed in.
    pub origins: u64,
    /// Messages whose verdict is still to fall.
    pub open: usize,
}

impl Verdict {
    /// How many rules were broken, all together.
    pub fn rules_broken(&self) -> u64 {
        self.counts.values().sum()
    }
}

/// A watch over a clock's and a scheduler's imprecision: nobody is blamed for less.
const SLACK: Duration = Duration::from_millis(50);
/// A wait binds calls that come so long after its answer was written.
const ON_THE_WAY: Duration = Duration::from_millis(100);
/// No notice is overdue so soon after a restart.
const AFTER_RESTART: Duration = Duration::from_millis(1_500);
/// A record is kept for so long after its message's time is up: late effects are still heard.
const KEEP: Duration = Duration::from_secs(3);
/// Texts kept of each rule.
const TEXTS: usize = 5;

#[derive(Default)]
struct Record {
    known: Option<Known>,
    taken: Option<(Duration, usize)>,
    /// Refused or failed at the door: the dispatcher owes nothing.
    closed: bool,
    unanswered: bool,
    /// Calls out, and since when.
    out: Vec<(u64, Duration)>,
    effects: Vec<Duration>,
    delivered: Option<Duration>,
    ends: Vec<(Duration, End)>,
    calls: Vec<Duration>,
}

#[derive(Clone, Copy)]
struct Known {
    origin: u64,
    class: usize,
    dest: u64,
    order: Option<u64>,
    handed: Duration,
    deadline: Duration,
}

impl Record {
    /// When its final answer was given.
    fn answered(&self) -> Option<Duration> {
        self.delivered.into_iter().chain(self.ends.first().map(|(at, _)| *at)).min()
    }
}

#[derive(Default)]
struct Origin {
    first: Duration,
    references: usize,
    effects: Vec<Duration>,
    refused_after_effect: bool,
    unsafe_class: bool,
}

struct Destination {
    out_since: Option<Duration>,
    /// Dispatchers that saw a call fail there, or held messages for it, during the outage.
    seen: HashSet<usize>,
    back: Option<(Duration, f64)>,
    arrivals: VecDeque<(Duration, usize)>,
    fallen: bool,
}

/// The state of the audit. Fed by [`Audit::hear`]; [`Audit::settle`] gives verdicts on what can't change any more.
pub struct Audit {
    service: Service,
    records: HashMap<Arc<str>, Record>,
    origins: HashMap<u64, Origin>,
    /// When a record's verdict may fall.
    due: BTreeMap<(Duration, u64), Arc<str>>,
    next: u64,
    /// Until when a dispatcher may send nothing to a destination, and since when.
    waits: HashMap<(usize, u64), (Duration, Duration)>,
    drained: HashMap<(usize, usize), Duration>,
    dests: HashMap<u64, Destination>,
    /// Spans in which a dispatcher was down or just back.
    down: HashMap<usize, Vec<(Duration, Option<Duration>)>>,
    /// Taken, not over, in their order, by class, order key and dispatcher.
    lines: HashMap<(usize, u64, usize), Vec<Arc<str>>>,
    verdict: Verdict,
    latencies: Vec<Duration>,
    out: u64,
}

/// Latencies that are kept until they are asked for.
const LATENCIES: usize = 1 << 20;

impl Audit {
    /// An audit by the figures of these settings.
    pub fn new(service: Service) -> Self {
        Audit {
            service,
            records: HashMap::new(),
            origins: HashMap::new(),
            due: BTreeMap::new(),
            next: 0,
            waits: HashMap::new(),
            drained: HashMap::new(),
            dests: HashMap::new(),
            down: HashMap::new(),
            lines: HashMap::new(),
            verdict: Verdict::default(),
            latencies: Vec::new(),
            out: 0,
        }
    }

    /// Makes room for so many messages without a verdict, so that nothing is moved later while others wait.
    pub fn reserve(&mut self, messages: usize) {
        self.records.reserve(messages);
        self.origins.reserve(messages);
    }

    /// Class and destination of a message that was handed in.
    pub fn known(&self, reference: &str) -> Option<(usize, u64)> {
        self.records.get(reference)?.known.map(|known| (known.class, known.dest))
    }

    /// Whether a destination that came back has been pushed over.
    pub fn has_fallen(&self, dest: u64) -> bool {
        self.dests.get(&dest).is_some_and(|dest| dest.fallen)
    }

    /// Calls that are out now.
    pub fn calls_out(&self) -> u64 {
        self.out
    }

    /// Times from the first handing in to the delivery, of what was delivered since this was last asked.
    pub fn take_latencies(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.latencies)
    }

    fn broken(&mut self, rule: Rule, at: Duration, what: impl FnOnce() -> String) {
        let count = self.verdict.counts.entry(rule).or_default();
        *count += 1;
        if *count <= TEXTS as u64 {
            self.verdict.broken.push(Broken { rule, at: at.as_secs_f64(), what: what() });
        }
    }

    /// Takes note of what was seen at this time.
    pub fn hear(&mut self, at: Duration, heard: Heard) {
        match heard {
            Heard::HandedIn { reference, origin, class, dest, order, time_left } => {
                self.handed_in(
                    at,
                    reference,
                    Known { origin, class, dest, order, handed: at, deadline: at + time_left },
                );
            }
            Heard::Answered { reference, node, told } => self.answered(at, reference, node, told),
            Heard::CallCame { call, reference, node, endpoint, dest, first_byte } => {
                self.call_came(at, call, &reference, node, (endpoint, dest), first_byte);
            }
            Heard::TookEffect { reference } => {
                let record = self.record(&reference);
                record.effects.push(at);
                let known = record.known;
                if let Some(known) = known {
                    self.effect(at, &reference, known);
                }
            }
            Heard::CallOver { call, reference, how } => {
                self.out = self.out.saturating_sub(1);
                let record = self.record(&reference);
                record.out.retain(|(other, _)| *other != call);
                if how == Over::Answered(200) && record.delivered.is_none() {
                    record.delivered = Some(at);
                    let known = record.known;
                    self.delivered(at, known);
                }
                // Only a 200 and notices end a message; any other answer may be followed by an attempt.
            }
            Heard::WaitTold { node, dest, wait } => {
                let told = self.waits.entry((node, dest)).or_insert((at, at));
                // The longest wait counts; a later, shorter one does not cut it.
                if at + wait > told.1 {
                    *told = (at, at + wait);
                }
            }
            Heard::Listed { node, endpoint, takes: true } => {
                self.drained.remove(&(node, endpoint));
            }
            Heard::Listed { node, endpoint, takes: false } => {
                self.drained.entry((node, endpoint)).or_insert(at);
            }
            Heard::NodeDown { node } => {
                self.down.entry(node).or_default().push((at, None));
                // A restart ends what was told to the process.
                self.waits.retain(|(other, _), _| *other != node);
                self.drained.retain(|(other, _), _| *other != node);
            }
            Heard::NodeReady { node } => {
                if let Some((_, up)) = self.down.get_mut(&node).and_then(|spans| spans.last_mut()) {
                    *up = up.or(Some(at));
                }
                self.waits.retain(|(other, _), _| *other != node);
                self.drained.retain(|(other, _), _| *other != node);
            }
            Heard::Outage { dest } => {
                let dest = self.destination(dest);
                (dest.out_since, dest.back) = (Some(at), None);
                dest.seen.clear();
            }
            Heard::Back { dest, capacity } => {
                let dest = self.destination(dest);
                (dest.out_since, dest.back, dest.fallen) = (None, Some((at, capacity)), false);
                dest.arrivals.clear();
            }
            Heard::Noticed { reference, end } => self.noticed(at, &reference, end),
        }
    }

    fn record(&mut self, reference: &Arc<str>) -> &mut Record {
        if !self.records.contains_key(reference) {
            self.records.insert(reference.clone(), Record::default());
        }
        self.records.get_mut(reference).expect("just inserted")
    }

    fn destination(&mut self, dest: u64) -> &mut Destination {
        self.dests.entry(dest).or_insert_with(|| Destination {
            out_since: None,
            seen: HashSet::new(),
            back: None,
            arrivals: VecDeque::new(),
            fallen: false,
        })
    }

    fn delivered(&mut self, at: Duration, known: Option<Known>) {
        self.verdict.delivered += 1;
        let Some(known) = known else { return };
        let first = self.origins.get(&known.origin).map_or(known.handed, |origin| origin.first);
        let took = at.saturating_sub(first);
        let aim = self.service.classes.get(known.class).map_or(0, |c| c.aim_ms);
        self.verdict.in_aim += u64::from(took <= Duration::from_millis(aim));
        if self.latencies.len() < LATENCIES {
            self.latencies.push(took);
        }
    }

    fn handed_in(&mut self, at: Duration, reference: Arc<str>, known: Known) {
        self.verdict.handed_in += 1;
        let unsafe_class = self.service.classes.get(known.class).is_some_and(|c| c.effect == Effect::Unsafe);
        let origin = self.origins.entry(known.origin).or_insert_with(|| {
            self.verdict.origins += 1;
            Origin { first: at, ..Origin::default() }
        });
        origin.references += 1;
        origin.unsafe_class = unsafe_class;
        let record = self.record(&reference);
        record.known = Some(known);
        // What was heard of it before its client noted it.
        let early = std::mem::take(&mut record.effects);
        record.effects.clone_from(&early);
        for effect in early {
            self.effect(effect, &reference, known);
        }
        self.next += 1;
        self.due.insert((known.deadline.max(at) + KEEP, self.next), reference);
    }

    fn effect(&mut self, at: Duration, reference: &Arc<str>, known: Known) {
        let class = &self.service.classes[known.class];
        let (effect, window) = (class.effect, Duration::from_millis(class.key_window_ms));
        let Some(origin) = self.origins.get_mut(&known.origin) else { return };
        let first = origin.effects.first().copied();
        origin.effects.push(at);
        // Beyond its window a partner has forgotten a key; within it, it takes no effect again.
        let twice = effect != Effect::Safe && first.is_some();
        if twice {
            let name = class.name.clone();
            let gap = first.map_or(Duration::ZERO, |first| at.abs_diff(first));
            self.broken(Rule::Twice, at, || {
                format!("{reference} ({name}) took effect again after {gap:.1?} (a key lasts {window:.1?})")
            });
        }
    }

    fn answered(&mut self, at: Duration, reference: Arc<str>, node: usize, told: Told) {
        match told {
            Told::Taken => self.verdict.taken += 1,
            Told::Refused => self.verdict.refused += 1,
            Told::Failed | Told::Nothing { .. } => self.verdict.unanswered += 1,
        }
        let record = self.record(&reference);
        match told {
            Told::Taken => record.taken = Some((at, node)),
            Told::Refused | Told::Failed => record.closed = true,
            Told::Nothing { .. } => record.unanswered = true,
        }
        let (known, effects) = (record.known, record.effects.len());
        if told == Told::Refused && effects > 0 {
            self.refused_after_effect(at, &reference);
        }
        if told == (Told::Nothing { cut: true }) && !self.was_down(node, at) {
            self.broken(Rule::Lost, at, || {
                format!("{reference}: its connection was ended without an answer")
            });
        }
        let Some(known) = known.filter(|_| told == Told::Taken) else { return };
        if let Some(order) = known.order {
            self.lines.entry((known.class, order, node)).or_default().push(reference.clone());
        }
        if let Some(dest) = self.dests.get_mut(&known.dest)
            && dest.out_since.is_some()
        {
            dest.seen.insert(node);
        }
    }

    /// When something is overdue that was due then: later where its dispatcher was down or just back.
    fn excused(&self, node: usize, due: Duration) -> Duration {
        let spans = self.down.get(&node).into_iter().flatten();
        spans.fold(due, |due, (from, up)| match up {
            _ if *from > due => due,
            Some(up) => due.max(*up + AFTER_RESTART + SLACK),
            None => Duration::MAX,
        })
    }

    fn was_down(&self, node: usize, at: Duration) -> bool {
        self.down.get(&node).is_some_and(|spans| {
            spans.iter().any(|(from, up)| *from <= at + SLACK && up.is_none_or(|up| at <= up + AFTER_RESTART))
        })
    }

    fn call_came(
        &mut self,
        at: Duration,
        call: u64,
        reference: &Arc<str>,
        node: usize,
        (endpoint, dest): (usize, u64),
        first_byte: Duration,
    ) {
        self.verdict.calls += 1;
        self.out += 1;
        // Others that were out before it: closing may be heard a moment later than what followed it.
        let record = self.record(reference);
        let known = record.known;
        record.out.push((call, at));
        record.calls.push(at);
        if let Some(known) = known.filter(|known| known.dest != dest) {
            self.broken(Rule::Stray, at, || {
                format!("{reference} is for destination {} and came to one of {dest}", known.dest)
            });
        }
        if let Some((told, until)) = self.waits.get(&(node, dest)).copied()
            && at > told + ON_THE_WAY
            && at + SLACK < until
        {
            self.broken(Rule::Wait, at, || {
                format!("{reference}: dispatcher {node} called destination {dest}, told at {told:.3?} to wait until {until:.3?}")
            });
        }
        let grace = Duration::from_millis(self.service.drain_ms) + SLACK;
        if let Some(told) = self.drained.get(&(node, endpoint)).copied()
            && first_byte > told + grace
        {
            self.broken(Rule::Drain, at, || {
                format!("{reference}: dispatcher {node} called endpoint {endpoint}, whose drain was told at {told:.3?}")
            });
        }
        self.cold(at, node, dest);
        self.order(at, reference, node);
    }

    fn cold(&mut self, at: Duration, node: usize, number: u64) {
        let fall = Duration::from_millis(self.service.fall_ms);
        let cold = Duration::from_millis(self.service.cold_ms);
        let Some(dest) = self.dests.get_mut(&number) else { return };
        if dest.out_since.is_some() {
            dest.seen.insert(node);
            return;
        }
        let Some((back, capacity)) = dest.back.filter(|(back, _)| at >= *back && at < *back + cold) else {
            return;
        };
        dest.arrivals.push_back((at, node));
        while dest.arrivals.front().is_some_and(|(from, _)| *from + fall < at) {
            dest.arrivals.pop_front();
        }
        let present = capacity * self.service.warmth(at - back);
        let budget = self.service.fall_multiple * present * fall.as_secs_f64();
        // Chance: arrivals of a paced sender still clump a little.
        let over = dest.arrivals.len() as f64 > budget + budget.sqrt().max(1.0);
        let knew = dest.arrivals.iter().filter(|(_, node)| dest.seen.contains(node)).count();
        if over && !dest.fallen && 3 * knew >= 2 * dest.arrivals.len() {
            dest.fallen = true;
            let came = dest.arrivals.len();
            self.broken(Rule::Cold, at, || {
                format!("destination {number} got {came} calls within {fall:?}, {:.1?} after its return; {budget:.1} is all that it can take", at - back)
            });
        }
    }

    fn order(&mut self, at: Duration, reference: &Arc<str>, node: usize) {
        let Some(known) = self.records.get(reference).and_then(|record| record.known) else { return };
        let Some(order) = known.order else { return };
        let Some(line) = self.lines.get_mut(&(known.class, order, node)) else { return };
        // Those with a final answer have left the line.
        let records = &self.records;
        line.retain(|other| records.get(other).is_some_and(|r| r.answered().is_none() || !r.out.is_empty()));
        let handed = known.handed;
        // Only what was taken before this one was handed in surely stands before it.
        let before = line.iter().find(|other| {
            *other != reference
                && records.get(*other).and_then(|r| r.taken).is_some_and(|(taken, _)| taken < handed)
        });
        if let Some(before) = before.cloned() {
            self.broken(Rule::Order, at, || format!("{reference} was called before {before} was over"));
        }
    }

    fn refused_after_effect(&mut self, at: Duration, reference: &Arc<str>) {
        let Some(known) = self.records.get(reference).and_then(|r| r.known) else { return };
        let Some(origin) = self.origins.get_mut(&known.origin) else { return };
        if origin.unsafe_class && !origin.refused_after_effect {
            origin.refused_after_effect = true;
            self.broken(Rule::Twice, at, || {
                format!("{reference} was refused as harmless to repeat after it had taken effect")
            });
        }
    }

    fn noticed(&mut self, at: Duration, reference: &Arc<str>, end: End) {
        let record = self.record(reference);
        let first = record.ends.first().copied();
        record.ends.push((at, end));
        let (delivered, ran) = (record.delivered.is_some(), !record.effects.is_empty());
        match (first, end) {
            (None, _) if delivered => self.verdict.told_after_delivery += 1,
            (None, End::Dead) => self.verdict.dead += 1,
            (None, End::Bounced) => self.verdict.bounced += 1,
            (Some((_, before)), _) if before != end => {
                self.broken(Rule::Lost, at, || {
                    format!("{reference} has two final answers: {before:?}, then {end:?}")
                });
            }
            // The same notice once more does no harm.
            (Some(_), _) => {}
        }
        if end == End::Bounced && ran {
            self.refused_after_effect(at, reference);
        }
    }

    /// Gives the verdict on every message on which nothing more can come by now.
    pub fn settle(&mut self, now: Duration) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let reference = entry.remove();
            let Some(record) = self.records.get(&reference) else { continue };
            // With its dispatcher down or just back, nothing of it is overdue yet.
            if let Some((_, node)) = record.taken.filter(|_| record.answered().is_none())
                && self.was_down(node, now.saturating_sub(SLACK))
            {
                self.next += 1;
                self.due.insert((now + AFTER_RESTART, self.next), reference);
                continue;
            }
            self.judge(&reference);
        }
        self.verdict.open = self.due.len();
    }

    fn judge(&mut self, reference: &Arc<str>) {
        let Some(record) = self.records.remove(reference) else { return };
        let Some(known) = record.known else { return };
        let grace = Duration::from_millis(self.service.grace_ms) + SLACK;
        // A client that heard nothing has left; nothing is owed for it.
        if let Some((_, node)) = record.taken.filter(|_| !record.unanswered) {
            let due = self.excused(node, known.deadline + grace);
            match record.answered() {
                None => self.broken(Rule::Lost, due, || {
                    format!("{reference} was taken by dispatcher {node} and has no final answer")
                }),
                Some(at) if at > due => self.broken(Rule::Lost, at, || {
                    format!(
                        "{reference} had its final answer {:.1?} after its time was up",
                        at - known.deadline
                    )
                }),
                Some(_) => {}
            }
        }
        if let Some(end) = self.origins.get_mut(&known.origin) {
            end.references -= 1;
            if end.references == 0 {
                self.origins.remove(&known.origin);
            }
        }
    }

    /// Two attempts of one message that were out at the same time; the recorder asks a moment after each call, so
    /// that a connection's end and what followed it may be heard in either order.
    pub fn overlap(&mut self, now: Duration, reference: &Arc<str>) {
        let Some(record) = self.records.get(reference) else { return };
        let old: Vec<Duration> =
            record.out.iter().map(|(_, since)| *since).filter(|since| *since + SLACK <= now).collect();
        if old.len() > 1 {
            self.broken(Rule::Twice, now, || format!("{reference} has {} attempts out at once", old.len()));
            // Once is enough for one message.
            if let Some(record) = self.records.get_mut(reference) {
                record.out.truncate(1);
            }
        }
    }

    /// The end: verdicts on all that is left, as if all time had passed.
    pub fn close(&mut self, now: Duration) -> Verdict {
        let all: Vec<Arc<str>> = std::mem::take(&mut self.due).into_values().collect();
        for reference in all {
            self.overlap(now, &reference);
            self.judge(&reference);
        }
        // What is left was called and never handed in.
        let strays: Vec<(Arc<str>, Option<Duration>)> = self
            .records
            .iter()
            .filter(|(_, r)| r.known.is_none())
            .map(|(name, r)| (name.clone(), r.calls.first().copied()))
            .collect();
        for (reference, first) in strays {
            if let Some(first) = first {
                self.broken(Rule::Stray, first, || format!("{reference} was called and nobody handed it in"));
            }
        }
        self.records.clear();
        self.verdict.open = 0;
        self.verdict.clone()
    }

    /// What has been counted so far.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }
}

/// The audit that all stand-ins of a run share, and its clock.
#[derive(Clone)]
pub struct Recorder(Arc<Shared>);

struct Shared {
    start: Instant,
    audit: Mutex<Audit>,
    /// Messages with a second call, to be looked at a moment later.
    second: Mutex<VecDeque<(Duration, Arc<str>)>>,
}

impl Recorder {
    /// A recorder whose clock begins now.
    pub fn new(service: Service) -> Self {
        Recorder(Arc::new(Shared {
            start: Instant::now(),
            audit: Mutex::new(Audit::new(service)),
            second: Mutex::default(),
        }))
    }
    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.0.start.elapsed()
    }
    /// The audit itself.
    pub fn audit(&self) -> MutexGuard<'_, Audit> {
        self.0.audit.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// Takes note of what is seen now.
    pub fn hear(&self, heard: Heard) {
        self.hear_at(self.now(), heard);
    }
    /// Takes note of what was seen at this time.
    pub fn hear_at(&self, at: Duration, heard: Heard) {
        let mut audit = self.audit();
        let again = match &heard {
            Heard::CallCame { reference, .. } => {
                audit.records.get(reference).is_some_and(|r| !r.out.is_empty()).then(|| reference.clone())
            }
            _ => None,
        };
        audit.hear(at, heard);
        drop(audit);
        if let Some(reference) = again {
            let mut second = self.0.second.lock().unwrap_or_else(PoisonError::into_inner);
            second.push_back((at + 2 * SLACK, reference));
        }
    }
    /// Gives the verdicts that are due; to be called a few times a second.
    pub fn settle(&self) {
        let now = self.now();
        let mut audit = self.audit();
        let mut second = self.0.second.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some((_, reference)) = second.pop_front_if(|(at, _)| *at <= now) {
            audit.overlap(now, &reference);
        }
        audit.settle(now);
    }
    /// The end of the run: the whole verdict.
    pub fn close(&self) -> Verdict {
        self.settle();
        self.audit().close(self.now())
    }
}
