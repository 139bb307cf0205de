//! The life of a call: connected, noted, written, ended; and of the attempts in it.
//!
//! A call has one connection at a time and is written once. Each attempt in it has exactly one outcome, whether the
//! call was written or not, and the module hears it. What is too much for one call follows in others, one at a time.

use std::collections::VecDeque;

use millpost::api::{EndpointId, Event, MsgId, Nanos, Outcome, Report, State};
use millpost_store::ledger::Final;
use serde::{Deserialize, Serialize};

use crate::durability::Act;
use crate::{CallId, CallMessage, Change, Core, Deferred, Effect, Fault, Moment};

/// How the call of one message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageEnd {
    /// How.
    pub outcome: Outcome,
    /// The message is over: delivered, or the endpoint says so.
    pub over: bool,
}

impl From<Outcome> for MessageEnd {
    fn from(outcome: Outcome) -> Self {
        MessageEnd { outcome, over: false }
    }
}

/// How a call ended for the messages in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageEnds {
    /// All fared alike.
    All(MessageEnd),
    /// One end for each, in their order.
    Each(Vec<MessageEnd>),
}

impl MessageEnds {
    /// The end of the message at this place in the call.
    pub fn of(&self, place: usize) -> MessageEnd {
        match self {
            MessageEnds::All(end) => *end,
            // An answer gives each an end; one that it did not would have proven nothing.
            MessageEnds::Each(ends) => ends.get(place).copied().unwrap_or(Outcome::Reset.into()),
        }
    }
    /// Whether it ended so for all.
    pub fn is(&self, outcome: Outcome) -> bool {
        matches!(self, MessageEnds::All(end) if end.outcome == outcome)
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallEnd {
    /// For the messages in it.
    pub ends: MessageEnds,
    /// A wait that an answer told though it turned away no message.
    pub wait: Option<Nanos>,
    /// A load report, if one came.
    pub report: Option<Report>,
}

impl CallEnd {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        CallEnd { ends: MessageEnds::All(outcome.into()), wait: None, report: None }
    }
}

/// The attempt of a message in a call.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Member {
    id: MsgId,
    attempt: u32,
}

/// A call that the module has asked for and that has no outcome yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    /// The messages in it: one, or several where the kind of endpoint takes that.
    members: Vec<Member>,
    /// What it has no room for goes in calls that follow it, one at a time: they share its slot.
    rest: VecDeque<Vec<Member>>,
    endpoint: EndpointId,
    zone: usize,
    sent: Nanos,
    until: Nanos,
    /// Its attempts are in the journal.
    pub(crate) begun: bool,
}

/// The body of a call holds no more than so many bytes, as any other.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// How much room a message may take in the body of a call with others: bytes, and never too few.
pub fn bundled_size(carried: &CallMessage) -> usize {
    // A key that is no text can't stand among others.
    if carried.key.as_ref().is_some_and(|key| std::str::from_utf8(key).is_err()) {
        return MAX_BODY_BYTES;
    }
    // An escaped character takes six bytes at most, and Base64 four for each three.
    let text = 6 * (carried.reference.len() + carried.key.as_ref().map_or(0, |key| key.len()));
    let encoded = carried.body.len().div_ceil(3).saturating_mul(4);
    encoded.saturating_add(text).saturating_add(r#"{"id":"","key":"","body":""},"#.len())
}

impl Call {
    /// Has a connection found for it.
    pub(crate) fn connect(&self, call: CallId, fresh: bool) -> Effect {
        Effect::Connect { call, endpoint: self.endpoint, sure: true, fresh, until: self.until }
    }
}

impl Core {
    /// Begins what the module sends to one endpoint in one round.
    pub(crate) fn begin(&mut self, at: Moment, endpoint: EndpointId, messages: &[(MsgId, Nanos)]) {
        let (mut parts, mut left) = (VecDeque::<Vec<Member>>::new(), 0);
        for (id, _) in messages {
            let Some(held) = self.held.get_mut(id) else { continue };
            let member = Member { id: *id, attempt: held.attempts };
            held.attempts += 1;
            let room = if messages.len() > 1 { bundled_size(&held.call_message()) } else { 0 };
            match parts.back_mut().filter(|_| room <= left) {
                Some(part) => part.push(member),
                // Two bytes are the brackets'.
                None => {
                    left = MAX_BODY_BYTES - 2;
                    parts.push_back(vec![member]);
                }
            }
            left = left.saturating_sub(room);
        }
        // One call has one deadline: that of the message which may wait longest.
        let timeout = messages.iter().map(|(_, timeout)| *timeout).max().unwrap_or(0);
        self.start(at, endpoint, at.now.saturating_add(timeout), parts);
    }

    /// Starts the first of these calls; the rest follows once it has ended.
    fn start(&mut self, at: Moment, endpoint: EndpointId, until: Nanos, mut parts: VecDeque<Vec<Member>>) {
        let Some(members) = parts.pop_front() else { return };
        let call = self.next_call;
        self.next_call += 1;
        let zone = self.endpoints.get(&endpoint).map(|entry| entry.zone);
        let sure = members.iter().any(|m| self.held.get(&m.id).is_some_and(|held| held.once));
        let out = Call {
            members,
            rest: parts,
            endpoint,
            zone: zone.unwrap_or(0),
            sent: at.now,
            until,
            begun: false,
        };
        self.calls.insert(call, out);
        // An endpoint that is gone has no address any more.
        if until <= at.now || zone.is_none() {
            return self.settle(at, call, Outcome::NotSent);
        }
        self.effects.push_back(Effect::Connect { call, endpoint, sure, fresh: false, until });
    }

    /// The connection for a call is there.
    pub fn connected(&mut self, at: Moment, call: CallId) {
        let Some(out) = self.calls.get(&call) else { return };
        if out.begun {
            // Noted when an earlier connection was there, which was of no use.
            return self.write(at, call);
        }
        if !self.sift(at, call) {
            return self.release(at, call);
        }
        if self.has(Fault::WriteBeforeNoting) {
            self.write(at, call);
        }
        let Some(out) = self.calls.get_mut(&call) else { return };
        out.begun = true;
        // On disk before the first byte: an attempt that the journal does not know of could go twice.
        for Member { id, .. } in &out.members {
            let change = Change::Begin { id: *id, at: at.wall, zone: out.zone as u32 };
            self.effects.push_back(Effect::Append(change, None));
        }
        if !self.has(Fault::WriteBeforeNoting) {
            self.effects.push_back(Effect::AfterWrites(Deferred(Act::Write { call })));
        }
    }

    /// No connection came up for a call: nothing of it was sent.
    pub fn unreachable(&mut self, at: Moment, call: CallId) {
        self.settle(at, call, Outcome::ConnectFailed);
    }

    /// The connection of a call was gone before its last byte was written. A kept one had been given up, and a new
    /// one is opened; a new one of no use is a failure, or an endpoint that closes each at once would be connected
    /// to without end.
    pub fn connection_lost(&mut self, at: Moment, call: CallId, fresh: bool) {
        let Some(out) = self.calls.get(&call) else { return };
        if fresh {
            return self.settle(at, call, Outcome::ConnectFailed);
        }
        let (endpoint, until) = (out.endpoint, out.until);
        self.effects.push_back(Effect::Connect { call, endpoint, sure: true, fresh: true, until });
    }

    /// The attempt of a message could not be noted: it leaves its call.
    pub(crate) fn unnoted(&mut self, at: Moment, id: MsgId) {
        let holds = |(_, out): &(&CallId, &mut Call)| out.members.iter().any(|member| member.id == id);
        let Some((call, out)) = self.calls.iter_mut().find(holds) else { return };
        let Some(place) = out.members.iter().position(|member| member.id == id) else { return };
        let (member, sender) = (out.members.remove(place), (out.endpoint, out.sent));
        let (call, empty) = (*call, out.members.is_empty());
        self.message_over(at, sender, member, false, Outcome::NotSent.into(), None);
        // Not held until what was to follow its notes finds it empty: that may take a sync.
        if empty {
            self.release(at, call);
        }
    }

    /// Connecting takes time, and so does a sync: by now the endpoint may drain, a wait may have been told, or
    /// the time of a message, or of its key, may have run out. Such a message leaves the call; whether any is left.
    fn sift(&mut self, at: Moment, call: CallId) -> bool {
        if self.has(Fault::NoSecondLook) {
            return self.calls.contains_key(&call);
        }
        let Some(out) = self.calls.get_mut(&call) else { return false };
        let (sender, begun) = ((out.endpoint, out.sent), out.begun);
        let open =
            out.until > at.now && self.endpoints.get(&out.endpoint).is_some_and(|e| e.state == State::Ready);
        let (held, control) = (&self.held, &self.control);
        let sound = |m: &Member| open && held.contains_key(&m.id) && control.may_still_send(at.now, m.id);
        let (stays, leaves) = std::mem::take(&mut out.members).into_iter().partition::<Vec<_>, _>(sound);
        out.members = stays;
        let left = !out.members.is_empty();
        for member in leaves {
            self.message_over(at, sender, member, begun, Outcome::NotSent.into(), None);
        }
        left
    }

    /// A call of which nothing is written.
    fn release(&mut self, at: Moment, call: CallId) {
        self.effects.push_back(Effect::Release { call });
        self.settle(at, call, Outcome::NotSent);
    }

    /// Writes a call whose attempts are noted.
    pub(crate) fn write(&mut self, at: Moment, call: CallId) {
        if !self.calls.contains_key(&call) {
            return;
        }
        if !self.sift(at, call) {
            return self.release(at, call);
        }
        let Some(out) = self.calls.get(&call) else { return };
        let held = || out.members.iter().filter_map(|m| self.held.get(&m.id));
        let (sure, messages) =
            (held().any(|held| held.once), held().map(|held| held.call_message()).collect());
        let (endpoint, until) = (out.endpoint, out.until);
        self.effects.push_back(Effect::Write { call, endpoint, sure, until, messages });
    }

    /// A call is over, and its connection closed or at rest.
    pub fn ended(&mut self, at: Moment, call: CallId, ended: CallEnd) {
        let CallEnd { ends, wait, report } = ended;
        let Some(Call { members, rest, endpoint, sent, until, begun, .. }) = self.calls.remove(&call) else {
            return;
        };
        if let Some(wait) = wait {
            self.control.on_event(at.now, Event::WaitRequested { endpoint, wait });
        }
        if self.watched {
            let outcome = ends.of(0).outcome;
            let full = if let Outcome::Full(wait) = outcome { wait } else { None };
            self.effects.push_back(Effect::CallEnded { endpoint, outcome, wait: wait.max(full) });
        }
        for (place, member) in members.into_iter().enumerate() {
            // One report came, whatever the number of messages.
            let report = report.filter(|_| place == 0);
            self.message_over(at, (endpoint, sent), member, begun, ends.of(place), report);
        }
        // A wait or a failure outlasts a crash from here on, and not only from the next round.
        if !self.has(Fault::LearnLate) {
            self.learn_grave(at);
        }
        self.start(at, endpoint, until, rest);
    }

    /// The outcome of a call of which nothing was written.
    fn settle(&mut self, at: Moment, call: CallId, outcome: Outcome) {
        self.ended(at, call, CallEnd::without_answer(outcome));
        if self.has(Fault::LoseWake) {
            self.wakes = [at.now].into();
        } else {
            self.soon = true;
        }
    }

    /// The attempt of one message is over.
    fn message_over(
        &mut self,
        at: Moment,
        (endpoint, sent): (EndpointId, Nanos),
        Member { id, attempt }: Member,
        begun: bool,
        MessageEnd { mut outcome, over }: MessageEnd,
        report: Option<Report>,
    ) {
        if outcome == Outcome::Reset && self.has(Fault::ResetNeverRan) {
            outcome = Outcome::ConnectFailed;
        }
        if outcome == Outcome::NotSent && self.has(Fault::LostOutcome) {
            return;
        }
        let answered = self.held.get(&id).is_none_or(|held| held.answer.is_some());
        if over {
            // An endpoint may also say that a message is over of which it has had nothing.
            self.over(at, id, (outcome == Outcome::Served).then_some(Final::Delivered));
        } else if begun && self.held.contains_key(&id) {
            let never_ran = outcome.never_ran() || self.has(Fault::NoteNeverRan);
            let change = Change::Outcome { id, never_ran };
            self.effects.push_back(Effect::Append(change, None));
        }
        let (took, closed) = (at.now.saturating_sub(sent), over || answered);
        let event = Event::Outcome { id, attempt, endpoint, outcome, took, closed, report };
        self.control.on_event(at.now, event);
    }

    /// Calls off the call of an attempt. One that carries others too is not called off for one of them.
    pub(crate) fn call_off(&mut self, id: MsgId, attempt: u32) {
        let alone = |out: &Call| matches!(out.members[..], [m] if (m.id, m.attempt) == (id, attempt));
        if let Some((call, _)) = self.calls.iter().find(|(_, out)| alone(out)) {
            self.effects.push_back(Effect::CancelCall { call: *call });
        }
    }
}
