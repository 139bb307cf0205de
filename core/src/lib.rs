//! What a dispatcher knows of its messages and calls, and what follows from each thing that happens: a state machine
//! without I/O, clock or randomness of its own, round the decision module.
//!
//! The caller tells a [`Core`] what happened and when ([`Moment`]); the core puts what is to be done into a queue of
//! [`Effect`]s, which the caller carries out in their order. What may only be done once a write lasts is handed out
//! as a [`Deferred`]: see [`durability`].
//!
//! Invariants kept here: a message has one final answer; it has one attempt out at most, and that attempt belongs to
//! one call; a call is written only after each of its attempts was noted, and only while every check that the module
//! would make still holds; what is answered in the journal is told to the platform until that has taken it.

mod call;
mod counts;
pub mod durability;
mod faults;
mod message;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use millpost::api::{Action, EndpointId, Entry, Event, MsgId, Nanos, Outcome, Settings};
use millpost::{Control, LearnedState, RandomSource};
use millpost_store::ledger::Answer;
use serde::{Serialize, Serializer};

use call::Call;
pub use call::{CallEnd, MAX_BODY_BYTES, MessageEnd, MessageEnds, bundled_size};
pub use counts::{ClassCounts, OutcomeCounts};
pub use durability::{Change, Deferred, DurabilityQueue, Durable};
pub use faults::Fault;
use message::Held;
pub use message::{Submission, SubmitReply};
pub use snapshot::{CoreSnapshot, SNAPSHOT_VERSION};

/// A call, as the core numbers it.
pub type CallId = u64;
/// Whoever waits for the answer to a message that was handed in, as the caller numbers them.
pub type ReplyId = u64;

/// When something happens: by the module's clock, which never goes back, and by the wall clock, which the journal
/// goes by. Both in nanoseconds; the wall clock's is taken never to be set back either.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// By the module's clock.
    pub now: Nanos,
    /// By the wall clock, since 1970.
    pub wall: Nanos,
}

impl Moment {
    /// A time of the module's clock as the wall clock would show it.
    pub fn to_wall(self, at: Nanos) -> Nanos {
        self.wall.saturating_add(at).saturating_sub(self.now)
    }
    /// A time of the wall clock as the module's clock would show it.
    pub fn to_monotonic(self, at: Nanos) -> Nanos {
        self.now.saturating_add(at).saturating_sub(self.wall)
    }
}

/// A message as it is written in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallMessage {
    /// Its id at its client.
    pub reference: String,
    /// Its idempotency key.
    pub key: Option<Bytes>,
    /// What is to be delivered.
    pub body: Bytes,
}

/// Something to be done. Effects are carried out in their order, each before the next.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write this to the journal. What stands behind it goes on a [`DurabilityQueue`] with the number of the write; where the
    /// write fails, [`Core::write_failed`] is told.
    Append(Change, Option<Deferred>),
    /// Nothing is to be written; this waits for all that was written so far.
    AfterWrites(Deferred),
    /// Answer a client.
    Reply {
        /// Which.
        reply: ReplyId,
        /// What to say.
        verdict: SubmitReply,
        /// The message that it takes on: whether the client was still there is told by [`Core::replied`].
        taken: Option<MsgId>,
    },
    /// Find a connection for a call: one that is kept, unless `fresh`, or a new one. Ends in
    /// [`Core::connected`] or [`Core::unreachable`].
    Connect {
        /// The call.
        call: CallId,
        /// Where to.
        endpoint: EndpointId,
        /// The call carries a message that does not survive a reset: no connection that may have been given up.
        sure: bool,
        /// Only a new one will do.
        fresh: bool,
        /// No longer than this.
        until: Nanos,
    },
    /// Write a call on the connection that was found. Ends in [`Core::ended`], or in [`Core::connection_lost`] where the
    /// connection was gone before the last byte.
    Write {
        /// The call.
        call: CallId,
        /// Where to.
        endpoint: EndpointId,
        /// It carries a message that does not survive a reset.
        sure: bool,
        /// When it is given up.
        until: Nanos,
        /// One message, or several in one body.
        messages: Vec<CallMessage>,
    },
    /// Nothing will be written: the connection that was found may serve another call.
    Release {
        /// The call.
        call: CallId,
    },
    /// Call off a call that is out; it ends in [`Core::ended`] all the same.
    CancelCall {
        /// The call.
        call: CallId,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a note to all other dispatchers.
    Broadcast {
        /// What to say.
        bytes: Vec<u8>,
    },
    /// Tell the platform how a message ended, until it has taken that: see [`Core::notice_accepted`].
    Notice {
        /// The message.
        id: MsgId,
        /// Its id at its client.
        reference: String,
        /// How it ended.
        answer: Answer,
    },
    /// Keep what was learnt of destinations, before anything that follows.
    SaveLearned(Vec<LearnedState>),
    /// A call ended so; only where that is [watched](Core::report_call_ends).
    CallEnded {
        /// Where it went.
        endpoint: EndpointId,
        /// How the first of its messages ended.
        outcome: Outcome,
        /// The wait that its endpoint asked for, from now.
        wait: Option<Nanos>,
    },
}

/// After SIGTERM clients go on coming for a while; an idle process stays at least so long.
const LEAST_STAY: Nanos = 1_000_000_000;
/// A final answer is kept for so long after the message's time is up: its client may ask once more.
const KEEP_ANSWER: Nanos = 10_000_000_000;

/// What one dispatcher knows of its messages and calls.
#[derive(Clone)]
pub struct Core {
    settings: Arc<Settings>,
    control: Control,
    held: BTreeMap<MsgId, Held>,
    by_reference: BTreeMap<String, MsgId>,
    next_message: MsgId,
    /// Messages that have no final answer yet.
    open: usize,
    /// Final answers that could not be written yet: their notices wait.
    unwritten: VecDeque<(MsgId, Answer)>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    endpoints: BTreeMap<EndpointId, Entry>,
    /// When the module asked to be woken. It does not ask again for what it has asked for: each stands until it has
    /// passed.
    wakes: BTreeSet<Nanos>,
    /// Something was settled that the module is to act on in the next round, though nothing else may happen.
    soon: bool,
    /// When the process may end if it is idle, and when it ends.
    stop: Option<(Nanos, Nanos)>,
    effects: VecDeque<Effect>,
    counts: OutcomeCounts,
    watched: bool,
    /// No new messages are taken on.
    closed: bool,
    #[cfg(feature = "faults")]
    planted: Option<Fault>,
}

impl Core {
    /// A dispatcher that owes nothing. Messages are numbered from `next_message` on.
    pub fn new(settings: Settings, seed: u64, next_message: MsgId) -> Self {
        Core {
            control: Control::new(settings.clone(), seed),
            settings: Arc::new(settings),
            held: BTreeMap::new(),
            by_reference: BTreeMap::new(),
            next_message,
            open: 0,
            unwritten: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            endpoints: BTreeMap::new(),
            wakes: BTreeSet::new(),
            soon: false,
            stop: None,
            effects: VecDeque::new(),
            counts: OutcomeCounts::default(),
            watched: false,
            closed: false,
            #[cfg(feature = "faults")]
            planted: None,
        }
    }

    /// From now on it is told how each call ends.
    pub fn report_call_ends(&mut self) {
        self.watched = true;
    }

    /// New messages are refused with a time to return, or taken on again. What was taken on goes on.
    pub fn refuse_new(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Destinations that have a message without a final answer.
    pub fn destinations(&self) -> impl Iterator<Item = millpost::api::DestId> + '_ {
        self.control.destinations()
    }

    /// What a destination takes a second from all dispatchers, as far as that is told, and the messages that wait for it.
    pub fn demand(&self, dest: millpost::api::DestId) -> (f64, usize) {
        self.control.demand(dest)
    }

    /// The next thing to be done.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Something that concerns no message of one's own: a probe's end, a note, the list.
    pub fn on_event(&mut self, at: Moment, event: Event) {
        self.control.on_event(at.now, event);
    }

    /// The list of endpoints, or changes of it; `whole` where what is missing from it is gone.
    pub fn listed(&mut self, at: Moment, whole: bool, entries: Vec<Entry>) {
        if self.has(Fault::DrainUntold) && !whole {
            return;
        }
        if whole {
            self.endpoints.clear();
        }
        for entry in &entries {
            if entry.state == millpost::api::State::Gone {
                self.endpoints.remove(&entry.endpoint);
            } else {
                self.endpoints.insert(entry.endpoint, *entry);
            }
        }
        self.control.on_event(at.now, Event::Listed { whole, entries });
    }

    /// An endpoint that was out by hand is put back: see [`Event::EndpointReturned`].
    pub fn endpoint_returned(&mut self, at: Moment, endpoint: EndpointId) {
        self.control.on_event(at.now, Event::EndpointReturned { endpoint });
        self.learn_grave(at);
    }

    /// New settings, with the classes of open messages where they stood.
    pub fn apply_settings(&mut self, at: Moment, settings: Settings) {
        self.settings = Arc::new(settings);
        self.control.on_event(at.now, Event::Settings { settings: self.settings.clone() });
    }

    /// The process is not the first on its journal: what it sent before it died may still run.
    pub fn resume(&mut self, at: Moment) {
        if self.next_message > 1 && !self.has(Fault::ForgetRests) {
            self.control.on_event(at.now, Event::Resumed);
        }
    }

    /// What was learnt before a restart.
    pub fn restore_learned(&mut self, at: Moment, lesson: &LearnedState, age: Nanos) {
        if self.has(Fault::ForgetWaits) {
            return;
        }
        self.control.restore_learned(at.now, lesson.dest, lesson.route, age, &lesson.bytes);
    }

    /// The process ends after this time.
    pub fn stop(&mut self, at: Moment, after: Nanos) {
        let end = at.now.saturating_add(after);
        self.stop = Some((at.now.saturating_add(LEAST_STAY), end));
        self.control.on_event(at.now, Event::Stopping { at: end });
    }

    /// The process has been told to end, and may.
    pub fn may_exit(&self, now: Nanos) -> bool {
        let idle = self.held.is_empty() && self.calls.is_empty();
        self.stop.is_some_and(|(least, most)| now >= most || idle && now >= least)
    }

    /// When [`Self::decide`] is to be called next, if nothing happens.
    pub fn next_wake(&self) -> Option<Nanos> {
        if self.soon { Some(0) } else { self.wakes.first().copied() }
    }

    /// Something is on its way to an end that nothing but time will bring on: it is looked after often.
    pub fn needs_polling(&self) -> bool {
        self.stop.is_some() || !self.unwritten.is_empty()
    }

    /// Calls that are out or being connected.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Messages that are owed something: their end, or its notice.
    pub fn unfinished(&self) -> usize {
        self.held.len()
    }

    /// Messages taken on that have no final answer yet.
    pub fn unanswered(&self) -> usize {
        self.open
    }

    /// How messages ended since the process began.
    pub fn outcome_counts(&self) -> &OutcomeCounts {
        &self.counts
    }

    /// The module sends nothing to this endpoint now, if it has another choice: it drains, or is in trouble.
    pub fn avoids(&self, now: Nanos, endpoint: EndpointId) -> bool {
        self.control.avoids(now, endpoint)
    }

    /// One round: the module decides on all that was told since the last.
    pub fn decide(&mut self, at: Moment) {
        let mut actions = Vec::new();
        self.wakes.retain(|wake| *wake > at.now);
        self.soon = false;
        self.control.on_event(at.now, Event::Wake);
        self.control.decide(at.now, &mut actions);
        // Sends of one round to one endpoint travel as one call, up to as many as its kind takes.
        let mut sends: Vec<(EndpointId, Vec<(MsgId, Nanos)>)> = Vec::new();
        let mut latest: HashMap<EndpointId, usize> = HashMap::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => match latest.get(&endpoint) {
                    Some(n) if sends[*n].1.len() < self.bundle(endpoint) => sends[*n].1.push((id, timeout)),
                    _ => {
                        latest.insert(endpoint, sends.len());
                        sends.push((endpoint, vec![(id, timeout)]));
                    }
                },
                Action::Refuse { id, wait } => {
                    self.answer(id, Answer::Refused { wait_ms: wait.div_ceil(1_000_000) });
                }
                Action::Fail { id } => self.answer(id, Answer::Failed),
                Action::Cancel { id, attempt } => self.call_off(id, attempt),
                Action::Probe { endpoint } => self.effects.push_back(Effect::Probe { endpoint }),
                Action::Broadcast { bytes } => self.effects.push_back(Effect::Broadcast { bytes }),
                // The watch goes on by itself.
                Action::Subscribe => {}
                Action::Wake { at } => {
                    if self.has(Fault::OneWake) {
                        let least = self.wakes.first().map_or(at, |other| at.min(*other));
                        self.wakes = BTreeSet::from([least]);
                    } else {
                        self.wakes.insert(at);
                    }
                }
            }
        }
        for (endpoint, messages) in sends {
            self.begin(at, endpoint, &messages);
        }
        self.learn_grave(at);
    }

    fn learn_grave(&mut self, at: Moment) {
        if self.control.has_urgent_state() {
            self.save_learned(at, true);
        }
    }

    /// Has what was learnt kept: all of it, or only what can't wait.
    pub fn save_learned(&mut self, at: Moment, grave_only: bool) {
        let lessons = self.control.take_learned(at.now, grave_only);
        if !lessons.is_empty() {
            self.effects.push_back(Effect::SaveLearned(lessons));
        }
    }

    /// How many messages a call to an endpoint may carry.
    fn bundle(&self, endpoint: EndpointId) -> usize {
        let kind = self.endpoints.get(&endpoint).and_then(|entry| self.settings.kinds.get(entry.kind));
        kind.map_or(1, |kind| kind.bundle.max(1))
    }

    /// What stood behind a write that lasts by now is done.
    pub fn run_deferred(&mut self, at: Moment, Durable(act): Durable) {
        use durability::Act;
        match act {
            Act::Accept { id, class, dest, order, reply } => self.accept(id, class, dest, order, reply),
            Act::Confirm { reply, .. } => self.reply(reply, SubmitReply::Accepted),
            Act::Write { call } => self.write(at, call),
            Act::Tell { id, answer } => {
                self.tell(id, answer);
                if self.has(Fault::EndBeforeNoticed) {
                    self.notice_accepted(at, id);
                }
            }
        }
    }

    fn tell(&mut self, id: MsgId, answer: Answer) {
        if let Some(reference) = self.held.get(&id).map(|held| held.reference.clone()) {
            self.effects.push_back(Effect::Notice { id, reference, answer });
        }
    }

    /// Calls that the module takes to be out.
    pub fn slots_in_use(&self) -> usize {
        self.control.calls_in_flight()
    }

    /// Other dice for the module from now on; the ones before are given back.
    pub fn set_random_source(&mut self, dice: RandomSource) -> RandomSource {
        self.control.set_random_source(dice)
    }

    /// Drops what was learnt and nobody was given yet. For exploring what comes where no start will ask for it.
    pub fn discard_learned(&mut self, at: Moment) {
        drop(self.control.take_learned(at.now, false));
    }

    /// Blanks what is not read before it is set anew, where no load report is ever heard: see
    /// [`Control::reset_unread`].
    pub fn reset_unread(&mut self, at: Moment) {
        self.control.reset_unread(at.now);
    }

    /// Numbers the calls that are out anew, from 0 on in their order, and says which is which. What follows is the same,
    /// as a call's number is only compared; whoever knows calls by their numbers takes the new ones.
    pub fn renumber(&mut self) -> BTreeMap<CallId, CallId> {
        self.control.renumber();
        let new: BTreeMap<CallId, CallId> = self.calls.keys().copied().zip(0..).collect();
        self.calls =
            std::mem::take(&mut self.calls).into_iter().map(|(call, out)| (new[&call], out)).collect();
        self.next_call = new.len() as CallId;
        new
    }

    fn reply(&mut self, reply: ReplyId, verdict: SubmitReply) {
        self.effects.push_back(Effect::Reply { reply, verdict, taken: None });
    }
}

/// All that what it does hangs on but for the settings and the effects that were not taken yet: two cores of the same
/// settings that are written alike do alike.
impl Serialize for Core {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let messages = (&self.held, self.next_message, self.open, &self.unwritten);
        let calls = (&self.calls, self.next_call, &self.endpoints);
        (messages, calls, &self.wakes, self.soon, self.stop, &self.control).serialize(to)
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages = (&self.held, self.next_message, self.open, &self.unwritten);
        let calls = (&self.calls, self.next_call, &self.endpoints, &self.effects);
        (messages, calls, &self.wakes, self.soon, self.stop, &self.control).fmt(f)
    }
}
