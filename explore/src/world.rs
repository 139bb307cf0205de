//! The small world round a core: clients, partners that remember effects, connections, discovery, the platform, the
//! journal and the clock. Whatever may happen next is a [`Step`]; which one does is the explorer's choice.
//!
//! Time stands still until [`Step::Time`] takes it to what is due next, so that any order of things at one moment is
//! explored, and nothing lies between two moments at which anybody looks.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use millpost::api::{
    Class, Effect as Repeats, EndpointId, Entry, Kind, LateDecay, MsgId, Nanos, Outcome, Permissions, Rules,
    Settings, State, Weights,
};
use millpost::{LearnedState, RandomSource};
use millpost_core::{
    CallEnd, CallId, Core, CoreSnapshot, DurabilityQueue, Effect, Fault, MessageEnd, MessageEnds, Moment,
    Submission, SubmitReply,
};
use millpost_store::ledger::{Answer, RecoveredMessage};
use serde::Serialize;

use crate::journal::Journal;
use crate::property;
use crate::step::{Bounds, Crash, Happening, Kindness, Ran, Reply, Step};

mod expand;
mod same;

/// One T1 of the module: a quarter of the least aim.
pub const T1: Nanos = 100_000_000;
const AIM: Nanos = 4 * T1;
const DEADLINE: Nanos = 12 * T1;
/// How long a key is remembered.
const WINDOW: Nanos = 6 * T1;
/// A wait that a partner asks for.
const WAIT: Nanos = 3 * T1;
const DRAIN_GRACE: Nanos = T1 / 2;
/// After an attempt that may still be running its key rests so long; it does not run for longer.
const SETTLED: Nanos = T1 / 2;
/// The only destination.
const DEST: u64 = 7;
/// What all messages in order are about.
const ABOUT: u64 = 5;

/// A message in this world.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Message {
    kind: Kindness,
    /// Its number at the dispatcher, once it is taken on: messages in order go by it.
    id: Option<MsgId>,
    /// It has been handed in, and its time is up then.
    deadline: Option<Nanos>,
    /// Its client heard that it is taken on.
    taken: bool,
    /// Its client heard anything else, or left.
    refused: bool,
    effects: u8,
    /// Its key is remembered from then on.
    keyed_at: Option<Nanos>,
    /// The dispatcher heard that it was delivered.
    delivered: bool,
    /// What the platform was told.
    told: Option<Answer>,
    /// The platform has taken a notice of it.
    noticed: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
enum Stage {
    Connecting,
    Connected,
    Out(Vec<usize>),
}

/// A call in this world.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Flight {
    endpoint: EndpointId,
    until: Nanos,
    fresh: bool,
    /// When its last byte was written.
    began: Nanos,
    stage: Stage,
    /// The process of before has written it.
    theirs: bool,
}

/// A call that was over and still runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct Running {
    message: usize,
    /// When it was written.
    began: Nanos,
    /// It takes effect before that or not at all.
    until: Nanos,
}

/// The state of everything.
#[derive(Clone, Debug, Serialize)]
pub struct World {
    now: Nanos,
    core: Core,
    journal: Journal,
    shelf: DurabilityQueue,
    news: bool,
    messages: Vec<Message>,
    flights: BTreeMap<CallId, Flight>,
    /// Notices on their way: message and answer.
    notices: Vec<(MsgId, usize, Answer)>,
    /// Endpoints that drain or are gone, since when; and whether gone.
    away: BTreeMap<EndpointId, (Nanos, bool)>,
    waits_until: Nanos,
    /// Calls that were over and still run.
    running: Vec<Running>,
    left: Bounds,
    /// Messages whose replies are out, by number; whether the client has left.
    asked: BTreeMap<u64, (usize, bool)>,
    #[serde(skip)]
    fault: Option<Fault>,
    /// The first property that does not hold.
    pub breach: Option<&'static str>,
}

fn settings(bounds: &Bounds, messages: &[Message]) -> Settings {
    let class = |kindness: &Kindness| Class {
        aim: AIM,
        deadline: DEADLINE,
        worth: 1.0,
        late_worth: 0.5,
        effect: match kindness {
            Kindness::Safe | Kindness::InOrder => Repeats::Safe,
            Kindness::Keyed => Repeats::Keyed { window: WINDOW, zone_only: false },
            Kindness::Unsafe | Kindness::InOrderOnce => Repeats::Unsafe,
        },
        in_order: kindness.in_order(),
        retired: false,
    };
    Settings {
        me: 0,
        dispatchers: 1,
        classes: messages.iter().map(|m| class(&m.kind)).collect(),
        tenants: Vec::new(),
        over_share_worth: 1.0,
        kinds: vec![Kind { bundle: bounds.bundle, apart: false }],
        late: LateDecay::Even,
        slots: bounds.slots,
        hold: 100,
        try_limit: bounds.tries,
        tick: T1 / 20,
        connect_timeout: T1,
        keepalive: 10 * T1,
        streams: 1,
        max_retry_after: 2 * T1,
        allow: Permissions { probes: false, notes: false, cancel: false, retry_after: true },
        rules: Rules {
            answer_grace: T1 / 5,
            drain_grace: DRAIN_GRACE,
            cold_from: 0.25,
            cold: 3 * T1,
            fall_multiple: 1.5,
            fall: 2 * T1,
            key_rest: SETTLED,
        },
        weights: Weights::Unknown,
        subscribe: false,
    }
}

fn entry(endpoint: EndpointId, state: State) -> Entry {
    Entry { endpoint, zone: 0, kind: 0, dest: DEST, state, weight: 0.0 }
}

fn reference(message: usize) -> String {
    format!("m{message}")
}

fn number(reference: &str) -> Option<usize> {
    reference.strip_prefix('m')?.parse().ok()
}

impl World {
    /// Nothing has happened yet; messages of these classes will be handed in, in this order.
    pub fn new(bounds: Bounds, classes: &[Kindness], fault: Option<Fault>) -> Self {
        let journal = Journal::new(bounds.synced);
        let message = |kind: &Kindness| Message {
            kind: *kind,
            id: None,
            deadline: None,
            taken: false,
            refused: false,
            effects: 0,
            keyed_at: None,
            delivered: false,
            told: None,
            noticed: false,
        };
        let messages: Vec<Message> = classes.iter().map(message).collect();
        let mut world = World {
            now: T1,
            core: Core::new(settings(&bounds, &messages), 0, journal.next()),
            journal,
            shelf: DurabilityQueue::default(),
            news: false,
            messages,
            flights: BTreeMap::new(),
            notices: Vec::new(),
            away: BTreeMap::new(),
            waits_until: 0,
            running: Vec::new(),
            left: bounds,
            asked: BTreeMap::new(),
            fault,
            breach: None,
        };
        world.start();
        world
    }

    fn at(&self) -> Moment {
        Moment { now: self.now, wall: self.now }
    }

    /// A process starts with what the journal holds.
    fn start(&mut self) {
        let at = self.at();
        self.core = Core::new(settings(&self.left, &self.messages), 0, self.journal.next());
        self.core.set_random_source(RandomSource::Scripted { bits: 0, drawn: 0 });
        self.core.plant(self.fault);
        let state =
            |away: Option<&(Nanos, bool)>| if away.is_some() { State::Draining } else { State::Ready };
        let listed = (1..=self.left.endpoints).filter(|e| self.away.get(e).is_none_or(|(_, gone)| !gone));
        let listed = listed.map(|e| entry(e, state(self.away.get(&e)))).collect();
        self.core.listed(at, true, listed);
        let lessons: Vec<_> = self.journal.lessons().map(|(d, r, w, b)| (d, r, w, b.to_vec())).collect();
        for (dest, route, wall, bytes) in lessons {
            self.core.restore_learned(at, &LearnedState { dest, route, bytes }, at.wall - wall);
        }
        self.core.resume(at);
        let found: Vec<RecoveredMessage> = self.journal.found();
        found.into_iter().for_each(|found| self.core.restore(at, found));
        self.news = true;
    }

    /// The time since the beginning, in hundredths of a T1.
    pub fn time(&self) -> u64 {
        (self.now - T1) * 100 / T1
    }

    /// All that was to come has come to its end.
    pub fn over(&self) -> bool {
        let done = |m: &Message| m.refused || m.delivered || m.noticed;
        let quiet = self.flights.is_empty() && self.running.is_empty();
        self.messages.iter().all(done) && quiet && self.core.unfinished() == 0
    }

    fn due(&self) -> bool {
        self.news || self.core.next_wake().is_some_and(|wake| wake <= self.now)
    }

    /// The next moment at which something is due.
    fn next(&self) -> Option<Nanos> {
        let flights = self.flights.values().map(|flight| flight.until);
        let ends = self.messages.iter().filter_map(|m| Some(m.deadline? + T1 / 4 + 1));
        // Beyond that nothing is left to be found out: whatever was taken on has its end, or the want of it was seen.
        let horizon = self.messages.iter().filter_map(|m| Some(m.deadline? + T1)).max().unwrap_or(0);
        // The loop looks after what is restless every so often.
        let soon = self.core.needs_polling().then_some(self.now + T1 / 5);
        let all = flights.chain(self.core.next_wake()).chain(ends).chain(soon);
        all.filter(|at| *at > self.now && *at <= horizon).min()
    }

    /// Something happens, and the module's draws fall so; how many there were.
    fn make(&mut self, what: Happening, bits: u32) -> u32 {
        self.core.set_random_source(RandomSource::Scripted { bits, drawn: 0 });
        self.happen(what);
        match self.core.set_random_source(RandomSource::Scripted { bits: 0, drawn: 0 }) {
            RandomSource::Scripted { drawn, .. } => drawn,
            RandomSource::Seeded(_) => 0,
        }
    }

    fn happen(&mut self, what: Happening) {
        let (at, news) = (self.at(), self.news);
        self.news |= !matches!(what, Happening::Decide | Happening::Time | Happening::FailNext);
        match what {
            Happening::HandIn { left } => {
                let Some(message) = self.messages.iter().position(|m| m.deadline.is_none()) else { return };
                self.messages[message].deadline = Some(self.now + DEADLINE);
                self.left.leaves -= u8::from(left);
                self.hand_in(message, left);
            }
            Happening::Again { message } => {
                self.left.again -= 1;
                self.hand_in(message, false);
            }
            Happening::Connect { call, up } => {
                let Some(flight) = self.flights.get_mut(&call) else { return };
                if up {
                    flight.stage = Stage::Connected;
                    return self.core.connected(at, call);
                }
                self.left.breaks -= u8::from(flight.until > self.now);
                self.flights.remove(&call);
                self.core.unreachable(at, call);
            }
            Happening::Partner { call, reply } => self.partner(call, reply),
            Happening::GiveUp { call, ran } => self.end(call, ran, Outcome::TimedOut.into()),
            Happening::Late { place } => {
                let Running { message, began, .. } = self.running.remove(place);
                self.effect(message, began);
                // The dispatcher does not hear of it.
                self.news = news;
            }
            Happening::Drain { endpoint } => {
                self.left.drains -= 1;
                self.away.insert(endpoint, (self.now, false));
                self.core.listed(at, false, vec![entry(endpoint, State::Draining)]);
            }
            Happening::Lose { endpoint } => {
                self.left.losses -= 1;
                self.away.insert(endpoint, (self.now, true));
                self.core.listed(at, false, vec![entry(endpoint, State::Gone)]);
            }
            Happening::Return { endpoint } => {
                self.away.remove(&endpoint);
                self.core.listed(at, false, vec![entry(endpoint, State::Ready)]);
            }
            Happening::Notice { place, heard } => {
                let (id, message, _) = self.notices[place];
                self.messages[message].noticed = true;
                if heard {
                    self.notices.remove(place);
                    self.core.notice_accepted(at, id);
                } else {
                    self.left.unheard -= 1;
                }
            }
            Happening::Change => self.change(),
            Happening::Gone { ran } => {
                let theirs: BTreeSet<CallId> =
                    self.flights.iter().filter(|(_, flight)| flight.theirs).map(|(call, _)| *call).collect();
                for (n, call) in theirs.iter().enumerate() {
                    let Some(Flight { stage: Stage::Out(all), began, .. }) = self.flights.remove(call) else {
                        continue;
                    };
                    let crash = Crash { after: 0, ran };
                    all.into_iter().for_each(|message| self.ran(message, began, crash.of(n)));
                }
                self.core.calls_lost(at, &theirs);
            }
            Happening::Sync => self.journal.sync(),
            Happening::FailNext => {
                self.left.failing -= 1;
                self.journal.fails_next = true;
            }
            Happening::Decide => {
                self.news = false;
                self.core.decide(at);
            }
            Happening::Time => {
                if let Some(next) = self.next() {
                    self.now = next;
                }
                let now = self.now;
                self.running.retain(|running| running.until > now);
                self.core.retry_unwritten();
            }
        }
    }

    fn hand_in(&mut self, message: usize, left: bool) {
        let Some(deadline) = self.messages[message].deadline else { return };
        let reply = (0..).find(|reply| !self.asked.contains_key(reply)).unwrap_or(0);
        self.asked.insert(reply, (message, left));
        let handed = Submission {
            reference: reference(message),
            class: message,
            dest: DEST,
            time_left: deadline - self.now,
            key: None,
            order: self.messages[message].kind.in_order().then_some(ABOUT),
            body: Bytes::new(),
        };
        let ended = self.journal.end(&handed.reference);
        self.core.submit(self.at(), handed, ended, reply);
    }

    /// The work may be given away now.
    fn may_change(&self) -> bool {
        let rests = self.core.is_quiescent() && self.shelf.is_empty() && self.asked.is_empty();
        rests && !self.journal.pending() && !self.flights.values().any(|flight| flight.theirs)
    }

    /// What one process knows goes through bytes to the next.
    fn change(&mut self) {
        self.left.changes -= 1;
        let bytes = postcard::to_stdvec(&self.core).unwrap_or_default();
        let Ok(moved) = postcard::from_bytes::<CoreSnapshot>(&bytes) else {
            return self.breach(property::NOTICE_SENT);
        };
        self.flights.retain(|_, flight| matches!(flight.stage, Stage::Out(_)));
        self.flights.values_mut().for_each(|flight| flight.theirs = true);
        let mut written: BTreeSet<CallId> = self.flights.keys().copied().collect();
        if self.fault == Some(Fault::WriteTheirs) {
            written.clear();
            for flight in std::mem::take(&mut self.flights).into_values() {
                if let Stage::Out(all) = flight.stage {
                    all.into_iter().for_each(|message| self.ran(message, flight.began, Ran::Still));
                }
            }
        }
        self.core =
            Core::from_snapshot(settings(&self.left, &self.messages), moved, &written, |_| Bytes::new());
        self.core.plant(self.fault);
        // The old one tells the platform no more; what was on its way is told again.
        self.notices.clear();
    }

    fn partner(&mut self, call: CallId, reply: Reply) {
        let at = self.at();
        match reply {
            Reply::Served => self.end(call, Ran::Before, MessageEnd { outcome: Outcome::Served, over: true }),
            Reply::Error { ran } => {
                self.left.refusals -= 1;
                self.end(call, if ran { Ran::Before } else { Ran::Never }, Outcome::Error.into());
            }
            Reply::Full => {
                self.left.refusals -= 1;
                self.end(call, Ran::Never, Outcome::Full(None).into());
            }
            Reply::Wait => {
                self.left.waits -= 1;
                self.waits_until = self.now + WAIT;
                self.end(call, Ran::Never, Outcome::Full(Some(WAIT)).into());
            }
            Reply::BreakBefore => {
                self.left.breaks -= 1;
                let Some(flight) = self.flights.get_mut(&call) else { return };
                let fresh = flight.fresh;
                if fresh {
                    self.flights.remove(&call);
                }
                self.core.connection_lost(at, call, fresh);
            }
            Reply::BreakAfter { ran } => {
                self.left.breaks -= 1;
                self.end(call, ran, Outcome::Reset.into());
            }
        }
    }

    /// A call that is out ends: its connection is closed or at rest, then the core hears.
    fn end(&mut self, call: CallId, ran: Ran, end: MessageEnd) {
        let Some(Flight { stage: Stage::Out(messages), began, .. }) = self.flights.remove(&call) else {
            return;
        };
        for message in messages {
            self.ran(message, began, ran);
            self.messages[message].delivered |= end.over;
        }
        let ended = CallEnd { ends: MessageEnds::All(end), wait: None, report: None };
        self.core.ended(self.at(), call, ended);
    }

    /// What a call whose answer nobody heard comes to for a message.
    fn ran(&mut self, message: usize, began: Nanos, ran: Ran) {
        match ran {
            Ran::Never => {}
            Ran::Before => self.effect(message, began),
            Ran::Still => {
                self.left.lates = self.left.lates.saturating_sub(1);
                self.running.push(Running { message, began, until: self.now + SETTLED });
            }
        }
    }

    /// A call takes effect for a message. A partner drops a repeat that begins while it remembers the key.
    fn effect(&mut self, message: usize, began: Nanos) {
        let m = &mut self.messages[message];
        if m.kind == Kindness::Keyed && m.keyed_at.is_some_and(|at| began < at + WINDOW) {
            return;
        }
        m.effects += 1;
        m.keyed_at = Some(began);
        let doubled = m.effects > 1 && (m.kind.once() || m.kind == Kindness::Keyed);
        let refused = m.kind.once() && matches!(m.told, Some(Answer::Refused { .. }));
        let (in_order, id) = (m.kind.in_order(), m.id);
        let later = |m: &Message| m.kind.in_order() && m.effects > 0 && m.id > id;
        if in_order && id.is_some() && self.messages.iter().any(later) {
            self.breach(property::ORDER);
        }
        if doubled {
            self.breach(property::ONE_EFFECT);
        }
        if refused {
            self.breach(property::TRUE_REFUSAL);
        }
    }

    fn breach(&mut self, property: &'static str) {
        self.breach.get_or_insert(property);
    }

    /// Carries out what the core wants, as the dispatcher's loop does; no more than so many effects. How many it was.
    fn carry(&mut self, most: Option<u8>) -> u8 {
        let mut carried = 0;
        while most.is_none_or(|most| carried < most) {
            let Some(effect) = self.core.effect() else {
                let Some(ready) = self.shelf.pop_durable(|seq| self.journal.lasts(seq)) else { break };
                self.core.run_deferred(self.at(), ready);
                continue;
            };
            // A crash between these and what is next leaves nothing behind that one before them would not.
            carried += u8::from(!matches!(effect, Effect::Connect { .. } | Effect::Release { .. }));
            self.carry_out(effect);
        }
        carried
    }

    fn carry_out(&mut self, effect: Effect) {
        let at = self.at();
        match effect {
            Effect::Append(change, behind) => match self.journal.append(&change) {
                Some(seq) => behind.into_iter().for_each(|behind| self.shelf.push(seq, behind)),
                None => self.core.write_failed(at, &change, behind),
            },
            Effect::AfterWrites(behind) => self.shelf.push(self.journal.written(), behind),
            Effect::Reply { reply, verdict, taken } => {
                let Some((message, left)) = self.asked.remove(&reply) else { return };
                let m = &mut self.messages[message];
                if let Some(id) = taken.filter(|_| !left) {
                    m.id = Some(id);
                }
                if left {
                    m.refused = true;
                } else if verdict == SubmitReply::Accepted {
                    m.taken = true;
                } else {
                    // Told so of one that was taken on, it is the answer that was given before.
                    m.refused |= !m.taken;
                    let refused = matches!(verdict, SubmitReply::Refused { .. });
                    if refused && m.kind.once() && m.effects > 0 {
                        self.breach(property::TRUE_REFUSAL);
                    }
                }
                if let Some(id) = taken {
                    self.core.replied(at, id, !left);
                }
            }
            Effect::Connect { call, endpoint, fresh, until, .. } => {
                // A kept connection is there at once, or one is opened: both are tried.
                let flight =
                    Flight { endpoint, until, fresh, began: 0, stage: Stage::Connecting, theirs: false };
                self.flights.insert(call, flight);
            }
            Effect::Write { call, messages, .. } => {
                let messages = messages.iter().filter_map(|m| number(&m.reference)).collect();
                self.written(call, messages);
            }
            Effect::Release { call } => drop(self.flights.remove(&call)),
            Effect::Notice { id, reference, answer } => {
                let Some(message) = number(&reference) else { return };
                self.notice(id, message, answer);
            }
            Effect::SaveLearned(lessons) => {
                for LearnedState { dest, route, bytes } in lessons {
                    self.journal.learn(at.wall, dest, route, bytes);
                }
            }
            Effect::CancelCall { .. }
            | Effect::Probe { .. }
            | Effect::Broadcast { .. }
            | Effect::CallEnded { .. } => {}
        }
    }

    /// The bytes of a call go out.
    fn written(&mut self, call: CallId, messages: Vec<usize>) {
        let out = |n: usize| {
            let with = |f: &Flight| matches!(&f.stage, Stage::Out(all) if all.contains(&n));
            self.flights.values().any(with)
        };
        let doubled = messages.iter().any(|n| out(*n));
        let earlier = |n: usize| {
            let mine = self.messages[n].id;
            let open = |m: &Message| m.taken && !m.delivered && m.told.is_none();
            let before = |m: &Message| m.kind.in_order() && m.id.is_some() && m.id < mine && open(m);
            self.messages[n].kind.in_order() && self.messages.iter().any(before)
        };
        let ordered = !messages.iter().any(|n| earlier(*n));
        let answered =
            messages.iter().any(|n| self.messages[*n].told.is_some() || self.messages[*n].delivered);
        let Some(flight) = self.flights.get_mut(&call) else { return };
        let late = self.away.get(&flight.endpoint).is_some_and(|(since, _)| self.now >= since + DRAIN_GRACE);
        (flight.stage, flight.began) = (Stage::Out(messages), self.now);
        for (breached, property) in [
            (doubled, property::ONE_OUT),
            (answered, property::ANSWER_STANDS),
            (self.now < self.waits_until, property::NO_TRAFFIC_IN_WAIT),
            (late, property::NO_WORK_AFTER_DRAIN),
            (!ordered, property::ORDER),
        ] {
            if breached {
                self.breach(property);
            }
        }
    }

    /// The platform is told of an end.
    fn notice(&mut self, id: MsgId, message: usize, answer: Answer) {
        let m = &mut self.messages[message];
        let other = m.told.is_some_and(|before| before != answer) || m.delivered;
        let ran = m.kind.once() && m.effects > 0 && matches!(answer, Answer::Refused { .. });
        m.told = Some(answer);
        self.notices.push((id, message, answer));
        if other {
            self.breach(property::ONE_ANSWER);
        }
        if ran {
            self.breach(property::TRUE_REFUSAL);
        }
    }

    /// The process dies, and starts again at once. What was on its way to it is lost. `midway`: not all was done that
    /// follows from what happened last.
    fn crash(&mut self, crash: Crash, midway: bool) {
        self.left.crashes -= 1;
        // Only then may the journal not know of a delivery that was heard. Such a message is owed its end once more: an
        // unsafe one is given up as one that may have run, another may go again.
        let unsure = midway || self.journal.pending() || self.journal.has_failed;
        let out = std::mem::take(&mut self.flights).into_values().filter_map(|flight| match flight.stage {
            Stage::Out(messages) => Some((messages, flight.began)),
            _ => None,
        });
        for (n, (messages, began)) in out.collect::<Vec<_>>().into_iter().enumerate() {
            messages.into_iter().for_each(|message| self.ran(message, began, crash.of(n)));
        }
        // Whoever had no answer yet may hand the message in elsewhere.
        for (message, _) in std::mem::take(&mut self.asked).into_values() {
            self.messages[message].refused |= !self.messages[message].taken;
        }
        self.notices.clear();
        self.shelf = DurabilityQueue::default();
        self.journal.crash();
        for found in self.journal.found().into_iter().filter(|_| unsure) {
            if let Some(message) = number(&found.message.reference) {
                self.messages[message].delivered = false;
            }
        }
        self.start();
        self.carry(None);
        self.look();
    }

    /// What must hold whenever nothing is under way.
    fn look(&mut self) {
        // A notice that was on its way when the process died is owed again.
        let on_its_way = |n: usize| self.notices.iter().any(|(_, message, _)| *message == n);
        let late = |(n, m): (usize, &Message)| {
            let over = m.deadline.is_some_and(|deadline| self.now > deadline + T1 / 4);
            over && m.taken && !m.delivered && !m.noticed && !on_its_way(n)
        };
        if self.messages.iter().enumerate().any(late) {
            self.breach(property::NOTICE_SENT);
        }
        if self.core.slots_in_use() != self.core.calls() || self.core.calls() != self.flights.len() {
            self.breach(property::SLOTS);
        }
    }
}
