//! The small world round a core: clients, partners that remember effects, connections, discovery, the platform, the
//! journal and the clock. Whatever may happen next is a [`Step`]; which one does is the explorer's choice.
//!
//! Time stands still until [`Step::Time`] takes it to what is due next, so that any order of things at one moment is
//! explored, and nothing lies between two moments at which anybody looks.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

use bytes::Bytes;
use millpost::api::{
    Allow, Class, Effect as Repeats, EndpointId, Entry, Kind, Late, MsgId, Nanos, Outcome, Rules, Settings,
    State, Weights,
};
use millpost::{Dice, Lesson};
use millpost_core::{CallId, Core, Effect, End, Ended, Fate, Fault, Handed, Moment, Shelf, Verdict};
use millpost_store::ledger::{Answer, Found};

use crate::journal::Journal;
use crate::step::{Bounds, Happening, Kindness, Reply, Step};

/// One T1 of the module: a quarter of the least aim.
pub const T1: Nanos = 100_000_000;
const AIM: Nanos = 4 * T1;
const DEADLINE: Nanos = 12 * T1;
/// How long a key is remembered.
const WINDOW: Nanos = 6 * T1;
/// A wait that a partner asks for.
const WAIT: Nanos = 3 * T1;
const DRAIN_GRACE: Nanos = T1 / 2;
/// The only destination.
const DEST: u64 = 7;

/// A message in this world.
#[derive(Clone, Debug, PartialEq)]
struct Message {
    kind: Kindness,
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

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Connecting,
    Connected,
    Out(Vec<usize>),
}

/// A call in this world.
#[derive(Clone, Debug, PartialEq)]
struct Flight {
    endpoint: EndpointId,
    until: Nanos,
    fresh: bool,
    /// When its last byte was written.
    began: Nanos,
    stage: Stage,
}

/// The state of everything.
#[derive(Clone, Debug)]
pub struct World {
    now: Nanos,
    core: Core,
    journal: Journal,
    shelf: Shelf,
    news: bool,
    messages: Vec<Message>,
    flights: BTreeMap<CallId, Flight>,
    /// Notices on their way: message and answer.
    notices: Vec<(MsgId, usize, Answer)>,
    /// Endpoints that drain or are gone, since when; and whether gone.
    away: BTreeMap<EndpointId, (Nanos, bool)>,
    waits_until: Nanos,
    left: Bounds,
    replies: u64,
    /// Messages whose replies are out, by number; whether the client has left.
    asked: BTreeMap<u64, (usize, bool)>,
    fault: Option<Fault>,
    /// The first property that does not hold.
    pub breach: Option<&'static str>,
}

/// The properties, by their names; `docs/properties.md` says more of each.
pub mod property {
    /// The platform is told one end of a message, and none of one that was delivered.
    pub const ONE_ANSWER: &str = "one final answer";
    /// While a call with a message is out, no other with it is written.
    pub const ONE_OUT: &str = "never two attempts of one message out at once";
    /// An unsafe message takes effect once at most; a keyed one once for each life of its key.
    pub const ONE_EFFECT: &str = "no second effect where the class forbids it";
    /// From a wait to its end no call is written, also after a crash.
    pub const NO_TRAFFIC_IN_WAIT: &str = "no traffic during a wait";
    /// Nothing is written to an endpoint the grace after its drain was told.
    pub const NO_WORK_AFTER_DRAIN: &str = "no new work after a drain";
    /// An unsafe message that is refused never took effect, before or after.
    pub const TRUE_REFUSAL: &str = "what is refused never ran";
    /// A message whose client heard 202 is delivered, or its end is told in time.
    pub const NOTICE_SENT: &str = "every message that was taken on ends in its time, also across a crash";
    /// The module counts as many calls as there are.
    pub const SLOTS: &str = "the slots counted equal the calls out";
    /// Once the platform was told of an end, or a delivery was heard, nothing more is written.
    pub const ANSWER_STANDS: &str = "nothing is sent once the platform was told of an end";
}

/// Feeds what is written into a hasher.
struct Into<'a, H>(&'a mut H);

impl<H: Hasher> Write for Into<'_, H> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Two worlds are the same where all that is in them is, to the last bit of each number.
impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Writing into a hasher does not fail.
        let _ = write!(Into(state), "{self:?}");
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

fn settings(bounds: &Bounds, messages: &[Message]) -> Settings {
    let class = |kindness: &Kindness| Class {
        aim: AIM,
        deadline: DEADLINE,
        worth: 1.0,
        late_worth: 0.5,
        effect: match kindness {
            Kindness::Safe => Repeats::Safe,
            Kindness::Keyed => Repeats::Keyed { window: WINDOW, zone_only: false },
            Kindness::Unsafe => Repeats::Unsafe,
        },
        in_order: false,
    };
    Settings {
        me: 0,
        dispatchers: 1,
        classes: messages.iter().map(|m| class(&m.kind)).collect(),
        tenants: Vec::new(),
        over_share_worth: 1.0,
        kinds: vec![Kind { bundle: bounds.bundle, apart: false }],
        late: Late::Even,
        slots: bounds.slots,
        hold: 100,
        try_limit: bounds.tries,
        tick: T1 / 20,
        connect_timeout: T1,
        keepalive: 10 * T1,
        streams: 1,
        max_retry_after: 2 * T1,
        allow: Allow { probes: false, notes: false, cancel: false, retry_after: true },
        rules: Rules {
            answer_grace: T1 / 5,
            drain_grace: DRAIN_GRACE,
            cold_from: 0.25,
            cold: 3 * T1,
            fall_multiple: 1.5,
            fall: 2 * T1,
            key_rest: 0,
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
            shelf: Shelf::default(),
            news: false,
            messages,
            flights: BTreeMap::new(),
            notices: Vec::new(),
            away: BTreeMap::new(),
            waits_until: 0,
            left: bounds,
            replies: 0,
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
        self.core.set_dice(Dice::Told { bits: 0, drawn: 0 });
        self.core.plant(self.fault);
        let state =
            |away: Option<&(Nanos, bool)>| if away.is_some() { State::Draining } else { State::Ready };
        let listed = (1..=self.left.endpoints).filter(|e| self.away.get(e).is_none_or(|(_, gone)| !gone));
        let listed = listed.map(|e| entry(e, state(self.away.get(&e)))).collect();
        self.core.listed(at, true, listed);
        let lessons: Vec<_> = self.journal.lessons().map(|(d, r, w, b)| (d, r, w, b.to_vec())).collect();
        for (dest, route, wall, bytes) in lessons {
            self.core.recall(at, &Lesson { dest, route, bytes }, at.wall - wall);
        }
        let found: Vec<Found> = self.journal.found();
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
        self.messages.iter().all(done) && self.flights.is_empty() && self.core.owed() == 0
    }

    fn due(&self) -> bool {
        self.news || self.core.wake().is_some_and(|wake| wake <= self.now)
    }

    /// What may happen now.
    pub fn happenings(&self) -> Vec<Happening> {
        let mut all = Vec::new();
        // Whoever gives up at a time does so before it has passed.
        let overdue = self.journal.pending() || self.flights.values().any(|flight| flight.until <= self.now);
        if self.breach.is_some() || self.over() {
            return all;
        }
        if self.messages.iter().any(|m| m.deadline.is_none()) {
            all.push(Happening::HandIn { left: false });
            if self.left.leaves > 0 {
                all.push(Happening::HandIn { left: true });
            }
        }
        if self.left.again > 0 {
            let handed =
                (0..self.messages.len()).filter(|n| self.messages[*n].deadline.is_some_and(|d| d > self.now));
            all.extend(handed.map(|message| Happening::Again { message }));
        }
        for (call, flight) in &self.flights {
            let call = *call;
            match &flight.stage {
                Stage::Connecting => {
                    if flight.until > self.now {
                        all.push(Happening::Connect { call, up: true });
                    }
                    if self.left.breaks > 0 || flight.until <= self.now {
                        all.push(Happening::Connect { call, up: false });
                    }
                }
                Stage::Connected => {}
                Stage::Out(_) if flight.until <= self.now => {
                    all.extend([true, false].map(|ran| Happening::GiveUp { call, ran }));
                }
                Stage::Out(_) => {
                    let mut replies = vec![Reply::Served];
                    if self.left.refusals > 0 {
                        replies.extend([
                            Reply::Full,
                            Reply::Error { ran: true },
                            Reply::Error { ran: false },
                        ]);
                    }
                    if self.left.waits > 0 {
                        replies.push(Reply::Wait);
                    }
                    if self.left.breaks > 0 {
                        let after = [true, false].map(|ran| Reply::BreakAfter { ran });
                        replies.extend([Reply::BreakBefore].into_iter().chain(after));
                    }
                    all.extend(replies.into_iter().map(|reply| Happening::Partner { call, reply }));
                }
            }
        }
        for endpoint in 1..=self.left.endpoints {
            match self.away.get(&endpoint) {
                None => {
                    all.extend((self.left.drains > 0).then_some(Happening::Drain { endpoint }));
                    all.extend((self.left.losses > 0).then_some(Happening::Lose { endpoint }));
                }
                Some((_, true)) => all.push(Happening::Return { endpoint }),
                Some(_) => {}
            }
        }
        for place in 0..self.notices.len() {
            all.push(Happening::Notice { place, heard: true });
            if self.left.unheard > 0 {
                all.push(Happening::Notice { place, heard: false });
            }
        }
        if self.journal.pending() {
            all.push(Happening::Sync);
        }
        if self.left.failing > 0 && !self.journal.fails_next {
            all.push(Happening::FailNext);
        }
        if self.due() {
            all.extend(self.draws().into_iter().map(|bits| Happening::Decide { bits }));
        } else if !overdue && self.next().is_some() {
            all.push(Happening::Time);
        }
        all
    }

    /// Each way in which the draws of a round may fall.
    fn draws(&self) -> Vec<u32> {
        let (mut all, mut open) = (Vec::new(), vec![(0_u32, 0_u32)]);
        while let Some((bits, told)) = open.pop() {
            let mut core = self.core.clone();
            core.set_dice(Dice::Told { bits, drawn: 0 });
            core.decide(self.at());
            let Dice::Told { drawn, .. } = core.set_dice(Dice::Told { bits: 0, drawn: 0 }) else { continue };
            all.push(bits);
            open.extend((told..drawn).map(|n| (bits | 1 << n, n + 1)));
        }
        all
    }

    /// The next moment at which something is due.
    fn next(&self) -> Option<Nanos> {
        let flights = self.flights.values().map(|flight| flight.until);
        let ends = self.messages.iter().filter_map(|m| Some(m.deadline? + T1 / 4 + 1));
        // Beyond that nothing is left to be found out: whatever was taken on has its end, or the want of it was seen.
        let horizon = self.messages.iter().filter_map(|m| Some(m.deadline? + T1)).max().unwrap_or(0);
        // The loop looks after what is restless every so often.
        let soon = self.core.restless().then_some(self.now + T1 / 5);
        let all = flights.chain(self.core.wake()).chain(ends).chain(soon);
        all.filter(|at| *at > self.now && *at <= horizon).min()
    }

    /// What the world is after a step, and how many effects were carried out.
    pub fn after(&self, step: Step) -> (World, u8) {
        let mut world = self.clone();
        let mut carried = 0;
        let most = step.crash.map(|(after, _)| after);
        if let Some(what) = step.what {
            world.happen(what);
            carried = world.carry(most);
        }
        if let Some((_, ran)) = step.crash {
            // A wait that died with the process before all was done that follows from it was heard by nobody.
            if matches!(step.what, Some(Happening::Partner { reply: Reply::Wait, .. })) {
                world.waits_until = self.waits_until;
            }
            world.crash(ran, step.what.is_some());
        } else {
            world.look();
        }
        (world, carried)
    }

    /// Calls that are out when a crash comes after so many effects, and how many effects there were.
    pub fn before_crash(&self, what: Happening, after: u8) -> (usize, u8) {
        let mut world = self.clone();
        world.happen(what);
        let carried = world.carry(Some(after));
        (world.calls_out(), carried)
    }

    /// Calls that are out, and may have run at a crash.
    pub fn calls_out(&self) -> usize {
        self.flights.values().filter(|f| matches!(f.stage, Stage::Out(_))).count()
    }

    /// Crashes that are left.
    pub fn may_crash(&self) -> bool {
        self.left.crashes > 0 && self.breach.is_none()
    }

    fn happen(&mut self, what: Happening) {
        let at = self.at();
        self.news |= !matches!(what, Happening::Decide { .. } | Happening::Time | Happening::FailNext);
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
                    self.core.noticed(at, id);
                } else {
                    self.left.unheard -= 1;
                }
            }
            Happening::Sync => self.journal.sync(),
            Happening::FailNext => {
                self.left.failing -= 1;
                self.journal.fails_next = true;
            }
            Happening::Decide { bits } => {
                self.news = false;
                self.core.set_dice(Dice::Told { bits, drawn: 0 });
                self.core.decide(at);
                self.core.set_dice(Dice::Told { bits: 0, drawn: 0 });
            }
            Happening::Time => {
                if let Some(next) = self.next() {
                    self.now = next;
                }
                self.core.tend();
            }
        }
    }

    fn hand_in(&mut self, message: usize, left: bool) {
        let Some(deadline) = self.messages[message].deadline else { return };
        let reply = self.replies;
        self.replies += 1;
        self.asked.insert(reply, (message, left));
        let handed = Handed {
            reference: reference(message),
            class: message,
            dest: DEST,
            time_left: deadline - self.now,
            key: None,
            body: Bytes::new(),
        };
        let ended = self.journal.end(&handed.reference);
        self.core.handed(self.at(), handed, ended, reply);
    }

    fn partner(&mut self, call: CallId, reply: Reply) {
        let at = self.at();
        match reply {
            Reply::Served => self.end(call, true, End { outcome: Outcome::Served, over: true }),
            Reply::Error { ran } => {
                self.left.refusals -= 1;
                self.end(call, ran, Outcome::Error.into());
            }
            Reply::Full => {
                self.left.refusals -= 1;
                self.end(call, false, Outcome::Full(None).into());
            }
            Reply::Wait => {
                self.left.waits -= 1;
                self.waits_until = self.now + WAIT;
                self.end(call, false, Outcome::Full(Some(WAIT)).into());
            }
            Reply::BreakBefore => {
                self.left.breaks -= 1;
                let Some(flight) = self.flights.get_mut(&call) else { return };
                let fresh = flight.fresh;
                if fresh {
                    self.flights.remove(&call);
                }
                self.core.unsent(at, call, fresh);
            }
            Reply::BreakAfter { ran } => {
                self.left.breaks -= 1;
                self.end(call, ran, Outcome::Reset.into());
            }
        }
    }

    /// A call that is out ends: its connection is closed or at rest, then the core hears.
    fn end(&mut self, call: CallId, ran: bool, end: End) {
        let Some(Flight { stage: Stage::Out(messages), began, .. }) = self.flights.remove(&call) else {
            return;
        };
        for message in messages {
            if ran {
                self.effect(message, began);
            }
            self.messages[message].delivered |= end.over;
        }
        let ended = Ended { fate: Fate::All(end), wait: None, report: None };
        self.core.ended(self.at(), call, ended);
    }

    /// A call takes effect for a message. A partner drops a repeat that begins while it remembers the key.
    fn effect(&mut self, message: usize, began: Nanos) {
        let m = &mut self.messages[message];
        if m.kind == Kindness::Keyed && m.keyed_at.is_some_and(|at| began < at + WINDOW) {
            return;
        }
        m.effects += 1;
        m.keyed_at = Some(began);
        let doubled = m.effects > 1 && m.kind != Kindness::Safe;
        let refused = m.kind == Kindness::Unsafe && matches!(m.told, Some(Answer::Refused { .. }));
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
                let Some(ready) = self.shelf.next(|seq| self.journal.lasts(seq)) else { break };
                self.core.go_on(self.at(), ready);
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
                Some(seq) => behind.into_iter().for_each(|behind| self.shelf.put(seq, behind)),
                None => self.core.not_written(at, &change, behind),
            },
            Effect::After(behind) => self.shelf.put(self.journal.written(), behind),
            Effect::Reply { reply, verdict, taken } => {
                let Some((message, left)) = self.asked.remove(&reply) else { return };
                let m = &mut self.messages[message];
                if left {
                    m.refused = true;
                } else if verdict == Verdict::Taken {
                    m.taken = true;
                } else {
                    // Told so of one that was taken on, it is the answer that was given before.
                    m.refused |= !m.taken;
                    let refused = matches!(verdict, Verdict::Refused { .. });
                    if refused && m.kind == Kindness::Unsafe && m.effects > 0 {
                        self.breach(property::TRUE_REFUSAL);
                    }
                }
                if let Some(id) = taken {
                    self.core.replied(at, id, !left);
                }
            }
            Effect::Connect { call, endpoint, fresh, until, .. } => {
                // A kept connection is there at once, or one is opened: both are tried.
                let flight = Flight { endpoint, until, fresh, began: 0, stage: Stage::Connecting };
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
            Effect::Learn(lessons) => {
                for Lesson { dest, route, bytes } in lessons {
                    self.journal.learn(at.wall, dest, route, bytes);
                }
            }
            Effect::CallOff { .. } | Effect::Probe { .. } | Effect::Note { .. } => {}
        }
    }

    /// The bytes of a call go out.
    fn written(&mut self, call: CallId, messages: Vec<usize>) {
        let out = |n: usize| {
            let with = |f: &Flight| matches!(&f.stage, Stage::Out(all) if all.contains(&n));
            self.flights.values().any(with)
        };
        let doubled = messages.iter().any(|n| out(*n));
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
        let ran = m.kind == Kindness::Unsafe && m.effects > 0 && matches!(answer, Answer::Refused { .. });
        m.told = Some(answer);
        self.notices.push((id, message, answer));
        if other {
            self.breach(property::ONE_ANSWER);
        }
        if ran {
            self.breach(property::TRUE_REFUSAL);
        }
    }

    /// The process dies, and starts again at once. What was on its way to it is lost; a call that was out ran or did
    /// not, by its bit. `midway`: not all was done that follows from what happened last.
    fn crash(&mut self, ran: u8, midway: bool) {
        self.left.crashes -= 1;
        // Only then may the journal not know of a delivery that was heard. Such a message is owed its end once more: an
        // unsafe one is given up as one that may have run, another may go again.
        let unsure = midway || self.journal.pending() || self.journal.has_failed;
        let out = std::mem::take(&mut self.flights).into_values().filter_map(|flight| match flight.stage {
            Stage::Out(messages) => Some((messages, flight.began)),
            _ => None,
        });
        for (n, (messages, began)) in out.collect::<Vec<_>>().into_iter().enumerate() {
            if ran >> n & 1 == 1 {
                messages.into_iter().for_each(|message| self.effect(message, began));
            }
        }
        // Whoever had no answer yet may hand the message in elsewhere.
        for (message, _) in std::mem::take(&mut self.asked).into_values() {
            self.messages[message].refused |= !self.messages[message].taken;
        }
        self.notices.clear();
        self.shelf = Shelf::default();
        self.journal.crash();
        for found in self.journal.found().into_iter().filter(|_| unsure) {
            if let Some(message) = number(&found.taken.reference) {
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
        if self.core.slots_taken() != self.core.calls() || self.core.calls() != self.flights.len() {
            self.breach(property::SLOTS);
        }
    }
}
