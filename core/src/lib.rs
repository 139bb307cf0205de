//! The state of a dispatcher's messages and calls, as a state machine around [`Control`] that does no I/O,
//! reads no clock and has no randomness of its own.
//!
//! The caller reports events and their time ([`Moment`]) to a [`Core`]; the core queues [`Effect`]s, which
//! the caller carries out in order. Actions that must wait for a durable write are handed out as
//! [`Deferred`]: see [`durability`].
//!
//! Invariants: a message has one final answer; it has at most one attempt in flight, which belongs to one
//! call; a call is written only after each of its attempts is recorded, and only while `Control` would still
//! permit the send; answers in the journal are sent to the platform until it acknowledges them.

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
use message::HeldMessage;
pub use message::{Submission, SubmitReply};
pub use snapshot::{CoreSnapshot, SNAPSHOT_VERSION};

/// A call, numbered by the core.
pub type CallId = u64;
/// A client request that awaits a reply, numbered by the caller.
pub type ReplyId = u64;

/// A point in time on the monotonic clock and on the wall clock, in nanoseconds. The journal uses wall-clock
/// times. The wall clock is assumed not to be set back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// On the monotonic clock.
    pub now: Nanos,
    /// On the wall clock, since 1970.
    pub wall: Nanos,
}

impl Moment {
    /// Converts a monotonic time to wall-clock time.
    pub fn to_wall(self, at: Nanos) -> Nanos {
        self.wall.saturating_add(at).saturating_sub(self.now)
    }
    /// Converts a wall-clock time to monotonic time.
    pub fn to_monotonic(self, at: Nanos) -> Nanos {
        self.now.saturating_add(at).saturating_sub(self.wall)
    }
}

/// A message as written in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallMessage {
    /// The client's id of the message.
    pub reference: String,
    /// Its idempotency key.
    pub key: Option<Bytes>,
    /// The payload.
    pub body: Bytes,
}

/// Something for the caller to do. Effects are carried out in order, each before the next.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write a change to the journal. The deferred action goes to a [`DurabilityQueue`] with the sequence
    /// number of the write; if the write fails, call [`Core::write_failed`].
    Append(Change, Option<Deferred>),
    /// Queue an action behind all writes so far, without a write of its own.
    AfterWrites(Deferred),
    /// Answer a client.
    Reply {
        /// The request.
        reply: ReplyId,
        /// The reply.
        verdict: SubmitReply,
        /// The message that the reply accepts: report with [`Core::replied`] whether the client received it.
        taken: Option<MsgId>,
    },
    /// Find a connection for a call: a kept one unless `fresh`, or a new one. Followed by [`Core::connected`]
    /// or [`Core::unreachable`].
    Connect {
        /// The call.
        call: CallId,
        /// Its endpoint.
        endpoint: EndpointId,
        /// The call carries a message that must not be repeated: do not use a connection that the endpoint
        /// may have closed.
        sure: bool,
        /// Open a new connection.
        fresh: bool,
        /// Time limit.
        until: Nanos,
    },
    /// Write a call on its connection. Followed by [`Core::ended`], or by [`Core::connection_lost`] if the
    /// connection closed before the last byte.
    Write {
        /// The call.
        call: CallId,
        /// Its endpoint.
        endpoint: EndpointId,
        /// The call carries a message that must not be repeated.
        sure: bool,
        /// Time limit.
        until: Nanos,
        /// One message, or several in one body.
        messages: Vec<CallMessage>,
    },
    /// Release a call's connection: nothing will be written on it.
    Release {
        /// The call.
        call: CallId,
    },
    /// Cancel a call; [`Core::ended`] follows all the same.
    CancelCall {
        /// The call.
        call: CallId,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Send a message to all other dispatchers.
    Broadcast {
        /// The contents.
        bytes: Vec<u8>,
    },
    /// Notify the platform of the outcome of a message, until [`Core::notice_accepted`].
    Notice {
        /// The message.
        id: MsgId,
        /// The client's id of the message.
        reference: String,
        /// How it ended.
        answer: Answer,
    },
    /// Store what was learned about destinations, before any later effect.
    SaveLearned(Vec<LearnedState>),
    /// A call ended; only after [`Core::report_call_ends`].
    CallEnded {
        /// Its endpoint.
        endpoint: EndpointId,
        /// Outcome of its first message.
        outcome: Outcome,
        /// The wait requested by the endpoint, from now.
        wait: Option<Nanos>,
    },
}

/// Least time between SIGTERM and exit: clients keep sending requests for a while, even if the process is
/// idle.
const MIN_DRAIN_TIME: Nanos = 1_000_000_000;
/// How long a final answer is kept after the deadline of its message, in case the client asks again.
const ANSWER_RETENTION: Nanos = 10_000_000_000;

/// The messages and calls of one dispatcher.
#[derive(Clone)]
pub struct Core {
    settings: Arc<Settings>,
    control: Control,
    held: BTreeMap<MsgId, HeldMessage>,
    by_reference: BTreeMap<String, MsgId>,
    next_message: MsgId,
    /// Number of messages without a final answer.
    open: usize,
    /// Final answers whose writes failed; their notices wait.
    unwritten_answers: VecDeque<(MsgId, Answer)>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    endpoints: BTreeMap<EndpointId, Entry>,
    /// Requested wake-ups. `Control` does not repeat a request, so each is kept until it has passed.
    wakes: BTreeSet<Nanos>,
    /// A call ended without being written: `Control` is to decide in the next round even without other
    /// events.
    round_due: bool,
    /// When the process may exit if idle, and when it exits at the latest.
    stop: Option<(Nanos, Nanos)>,
    effects: VecDeque<Effect>,
    counts: OutcomeCounts,
    reports_call_ends: bool,
    /// New messages are refused.
    closed: bool,
    #[cfg(feature = "faults")]
    planted: Option<Fault>,
}

impl Core {
    /// Creates a core without messages, which numbers new ones from `next_message` on.
    pub fn new(settings: Settings, seed: u64, next_message: MsgId) -> Self {
        Core {
            control: Control::new(settings.clone(), seed),
            settings: Arc::new(settings),
            held: BTreeMap::new(),
            by_reference: BTreeMap::new(),
            next_message,
            open: 0,
            unwritten_answers: VecDeque::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            endpoints: BTreeMap::new(),
            wakes: BTreeSet::new(),
            round_due: false,
            stop: None,
            effects: VecDeque::new(),
            counts: OutcomeCounts::default(),
            reports_call_ends: false,
            closed: false,
            #[cfg(feature = "faults")]
            planted: None,
        }
    }

    /// Emits an [`Effect::CallEnded`] for each call from now on.
    pub fn report_call_ends(&mut self) {
        self.reports_call_ends = true;
    }

    /// Starts or stops refusing new messages, with a time to retry. Messages already accepted are processed.
    pub fn refuse_new(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Destinations with messages that have no final answer.
    pub fn destinations(&self) -> impl Iterator<Item = millpost::api::DestId> + '_ {
        self.control.destinations()
    }

    /// The calls a second that a destination accepts from all dispatchers, 0 if unknown, and the number of
    /// messages that wait for it.
    pub fn demand(&self, dest: millpost::api::DestId) -> (f64, usize) {
        self.control.demand(dest)
    }

    /// Removes the next effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Reports an event that concerns no message, such as a probe's end or a peer message.
    pub fn on_event(&mut self, at: Moment, event: Event) {
        self.control.on_event(at.now, event);
    }

    /// Applies the list of endpoints, or changes to it. If `whole`, endpoints missing from `entries` are
    /// gone.
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

    /// An endpoint is back in service: see [`Event::EndpointReturned`].
    pub fn endpoint_returned(&mut self, at: Moment, endpoint: EndpointId) {
        self.control.on_event(at.now, Event::EndpointReturned { endpoint });
        self.save_urgent(at);
    }

    /// Applies new settings, in which the classes of open messages keep their index.
    pub fn apply_settings(&mut self, at: Moment, settings: Settings) {
        self.settings = Arc::new(settings);
        self.control.on_event(at.now, Event::Settings { settings: self.settings.clone() });
    }

    /// Reports a restart: attempts sent by the earlier process may still be running. No effect with a new
    /// journal.
    pub fn resume(&mut self, at: Moment) {
        if self.next_message > 1 && !self.has(Fault::ForgetRests) {
            self.control.on_event(at.now, Event::Resumed);
        }
    }

    /// Restores what was learned before a restart.
    pub fn restore_learned(&mut self, at: Moment, learned: &LearnedState, age: Nanos) {
        if self.has(Fault::ForgetWaits) {
            return;
        }
        self.control.restore_learned(at.now, learned.dest, learned.route, age, &learned.bytes);
    }

    /// Begins the shutdown: the process exits after this time at the latest.
    pub fn stop(&mut self, at: Moment, after: Nanos) {
        let end = at.now.saturating_add(after);
        self.stop = Some((at.now.saturating_add(MIN_DRAIN_TIME), end));
        self.control.on_event(at.now, Event::Stopping { at: end });
    }

    /// Whether the process is shutting down and may exit now.
    pub fn may_exit(&self, now: Nanos) -> bool {
        let idle = self.held.is_empty() && self.calls.is_empty();
        self.stop.is_some_and(|(least, most)| now >= most || idle && now >= least)
    }

    /// When to call [`Self::decide`] next, without an event.
    pub fn next_wake(&self) -> Option<Nanos> {
        if self.round_due { Some(0) } else { self.wakes.first().copied() }
    }

    /// Whether something depends on time alone (a shutdown, or failed writes), so that the core must be
    /// polled often.
    pub fn needs_polling(&self) -> bool {
        self.stop.is_some() || !self.unwritten_answers.is_empty()
    }

    /// Calls in flight or being connected.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Messages without a final answer or whose notice has not been acknowledged.
    pub fn unfinished(&self) -> usize {
        self.held.len()
    }

    /// Accepted messages without a final answer.
    pub fn unanswered(&self) -> usize {
        self.open
    }

    /// Outcome counts of messages since the process started.
    pub fn outcome_counts(&self) -> &OutcomeCounts {
        &self.counts
    }

    /// Whether other endpoints are preferred to this one now: see [`Control::avoids`].
    pub fn avoids(&self, now: Nanos, endpoint: EndpointId) -> bool {
        self.control.avoids(now, endpoint)
    }

    /// Runs one round of decisions on everything reported since the last one.
    pub fn decide(&mut self, at: Moment) {
        let mut actions = Vec::new();
        self.wakes.retain(|wake| *wake > at.now);
        self.round_due = false;
        self.control.on_event(at.now, Event::Wake);
        self.control.decide(at.now, &mut actions);
        // Sends of one round to the same endpoint share a call, up to the bundle size of its kind.
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
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::Probe { endpoint } => self.effects.push_back(Effect::Probe { endpoint }),
                Action::Broadcast { bytes } => self.effects.push_back(Effect::Broadcast { bytes }),
                // The endpoint list is watched continuously.
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
            self.start_calls(at, endpoint, &messages);
        }
        self.save_urgent(at);
    }

    fn save_urgent(&mut self, at: Moment) {
        if self.control.has_urgent_state() {
            self.save_learned(at, true);
        }
    }

    /// Emits an effect that stores what was learned: all of it, or only what is urgent.
    pub fn save_learned(&mut self, at: Moment, urgent_only: bool) {
        let states = self.control.take_learned(at.now, urgent_only);
        if !states.is_empty() {
            self.effects.push_back(Effect::SaveLearned(states));
        }
    }

    /// Most messages in a call to this endpoint.
    fn bundle(&self, endpoint: EndpointId) -> usize {
        let kind = self.endpoints.get(&endpoint).and_then(|entry| self.settings.kinds.get(entry.kind));
        kind.map_or(1, |kind| kind.bundle.max(1))
    }

    /// Runs a deferred action whose write is durable.
    pub fn run_deferred(&mut self, at: Moment, Durable(action): Durable) {
        use durability::DeferredAction;
        match action {
            DeferredAction::Accept { id, class, dest, order, reply } => {
                self.confirm_accepted(id, class, dest, order, reply)
            }
            DeferredAction::Confirm { reply, .. } => self.reply(reply, SubmitReply::Accepted),
            DeferredAction::Write { call } => self.write(at, call),
            DeferredAction::Notify { id, answer } => {
                self.send_notice(id, answer);
                if self.has(Fault::EndBeforeNoticed) {
                    self.notice_accepted(at, id);
                }
            }
        }
    }

    fn send_notice(&mut self, id: MsgId, answer: Answer) {
        if let Some(reference) = self.held.get(&id).map(|held| held.reference.clone()) {
            self.effects.push_back(Effect::Notice { id, reference, answer });
        }
    }

    /// Slots that `Control` counts as in use.
    pub fn slots_in_use(&self) -> usize {
        self.control.calls_in_flight()
    }

    /// Replaces the source of random numbers of `Control` and returns the previous one.
    pub fn set_random_source(&mut self, source: RandomSource) -> RandomSource {
        self.control.set_random_source(source)
    }

    /// Drops learned state that has not been stored. For exploration of cases in which no restart reads it.
    pub fn discard_learned(&mut self, at: Moment) {
        drop(self.control.take_learned(at.now, false));
    }

    /// Resets fields that are not read before they are next written: see [`Control::reset_unread`].
    pub fn reset_unread(&mut self, at: Moment) {
        self.control.reset_unread(at.now);
    }

    /// Renumbers the calls in flight from 0 on, in their order, and returns the new numbers by the old ones.
    /// Behavior is unchanged, since call numbers are only compared; holders of call numbers must apply the
    /// new ones.
    pub fn renumber(&mut self) -> BTreeMap<CallId, CallId> {
        self.control.renumber();
        let new: BTreeMap<CallId, CallId> = self.calls.keys().copied().zip(0..).collect();
        self.calls =
            std::mem::take(&mut self.calls).into_iter().map(|(call, state)| (new[&call], state)).collect();
        self.next_call = new.len() as CallId;
        new
    }

    fn reply(&mut self, reply: ReplyId, verdict: SubmitReply) {
        self.effects.push_back(Effect::Reply { reply, verdict, taken: None });
    }
}

/// Serializes all state that behavior depends on, apart from the settings and the queued effects. Cores with
/// the same settings and the same bytes behave alike.
impl Serialize for Core {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let messages = (&self.held, self.next_message, self.open, &self.unwritten_answers);
        let calls = (&self.calls, self.next_call, &self.endpoints);
        (messages, calls, &self.wakes, self.round_due, self.stop, &self.control).serialize(to)
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let messages = (&self.held, self.next_message, self.open, &self.unwritten_answers);
        let calls = (&self.calls, self.next_call, &self.endpoints, &self.effects);
        (messages, calls, &self.wakes, self.round_due, self.stop, &self.control).fmt(f)
    }
}
