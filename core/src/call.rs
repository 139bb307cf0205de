//! The lifecycle of a call and of its attempts: connect, record, write, end.
//!
//! A call has one connection at a time and is written once. Each of its attempts has exactly one outcome,
//! which is reported to `Control`, whether the call was written or not. Messages that do not fit into one
//! call follow in others, one call at a time.

use std::collections::VecDeque;

use millpost::api::{EndpointId, Event, MsgId, Nanos, Outcome, Report, State};
use millpost_store::ledger::FinalOutcome;
use serde::{Deserialize, Serialize};

use crate::durability::DeferredAction;
use crate::{CallId, CallMessage, Change, Core, Deferred, Effect, Fault, Moment};

/// How a call ended for one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageEnd {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The message is complete: it was delivered, or the endpoint says that it is.
    pub over: bool,
}

impl From<Outcome> for MessageEnd {
    fn from(outcome: Outcome) -> Self {
        MessageEnd { outcome, over: false }
    }
}

/// How a call ended for its messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageEnds {
    /// The same for all.
    All(MessageEnd),
    /// One for each message, in order.
    Each(Vec<MessageEnd>),
}

impl MessageEnds {
    /// The end of the message at this index in the call.
    pub fn of(&self, index: usize) -> MessageEnd {
        match self {
            MessageEnds::All(end) => *end,
            // An answer has an end for each message; a missing one would prove nothing.
            MessageEnds::Each(ends) => ends.get(index).copied().unwrap_or(Outcome::Reset.into()),
        }
    }
    /// Whether the call ended with this outcome for all messages alike.
    pub fn is(&self, outcome: Outcome) -> bool {
        matches!(self, MessageEnds::All(end) if end.outcome == outcome)
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallEnd {
    /// For its messages.
    pub ends: MessageEnds,
    /// A wait requested by an answer that refused no message.
    pub wait: Option<Nanos>,
    /// A load report, if there was one.
    pub report: Option<Report>,
}

impl CallEnd {
    /// The end of a call without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        CallEnd { ends: MessageEnds::All(outcome.into()), wait: None, report: None }
    }
}

/// The attempt of one message in a call.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct CallAttempt {
    id: MsgId,
    attempt: u32,
}

/// A call that `Control` requested and that has no outcome yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Its attempts: several only where the kind of endpoint allows bundles.
    attempts: Vec<CallAttempt>,
    /// Attempts that did not fit: sent in follow-up calls, one at a time, which share the slot.
    follow_ups: VecDeque<Vec<CallAttempt>>,
    endpoint: EndpointId,
    zone: usize,
    sent: Nanos,
    until: Nanos,
    /// Its attempts are in the journal.
    pub(crate) recorded: bool,
}

/// Largest body of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Upper bound of the bytes that a message takes in a bundled body.
pub fn bundled_size(carried: &CallMessage) -> usize {
    // A key that is not UTF-8 cannot be bundled.
    if carried.key.as_ref().is_some_and(|key| std::str::from_utf8(key).is_err()) {
        return MAX_BODY_BYTES;
    }
    // An escaped character takes at most six bytes; Base64 takes four for every three.
    let text = 6 * (carried.reference.len() + carried.key.as_ref().map_or(0, |key| key.len()));
    let encoded = carried.body.len().div_ceil(3).saturating_mul(4);
    encoded.saturating_add(text).saturating_add(r#"{"id":"","key":"","body":""},"#.len())
}

impl Call {
    /// The effect that connects this call.
    pub(crate) fn connect(&self, call: CallId, fresh: bool) -> Effect {
        Effect::Connect { call, endpoint: self.endpoint, sure: true, fresh, until: self.until }
    }
}

impl Core {
    /// Starts the sends of one round to one endpoint.
    pub(crate) fn start_calls(&mut self, at: Moment, endpoint: EndpointId, messages: &[(MsgId, Nanos)]) {
        let (mut parts, mut left) = (VecDeque::<Vec<CallAttempt>>::new(), 0);
        for (id, _) in messages {
            let Some(held) = self.held.get_mut(id) else { continue };
            let member = CallAttempt { id: *id, attempt: held.attempts };
            held.attempts += 1;
            let room = if messages.len() > 1 { bundled_size(&held.call_message()) } else { 0 };
            match parts.back_mut().filter(|_| room <= left) {
                Some(part) => part.push(member),
                // Two bytes are for the brackets.
                None => {
                    left = MAX_BODY_BYTES - 2;
                    parts.push_back(vec![member]);
                }
            }
            left = left.saturating_sub(room);
        }
        // A call has one time-out: the longest of its messages.
        let timeout = messages.iter().map(|(_, timeout)| *timeout).max().unwrap_or(0);
        self.start_next(at, endpoint, at.now.saturating_add(timeout), parts);
    }

    /// Starts the first of these calls; the others follow when it has ended.
    fn start_next(
        &mut self,
        at: Moment,
        endpoint: EndpointId,
        until: Nanos,
        mut parts: VecDeque<Vec<CallAttempt>>,
    ) {
        let Some(attempts) = parts.pop_front() else { return };
        let call = self.next_call;
        self.next_call += 1;
        let zone = self.endpoints.get(&endpoint).map(|entry| entry.zone);
        let sure = attempts.iter().any(|m| self.held.get(&m.id).is_some_and(|held| held.unrepeatable));
        let state = Call {
            attempts,
            follow_ups: parts,
            endpoint,
            zone: zone.unwrap_or(0),
            sent: at.now,
            until,
            recorded: false,
        };
        self.calls.insert(call, state);
        // An endpoint that is gone has no address.
        if until <= at.now || zone.is_none() {
            return self.end_unwritten(at, call, Outcome::NotSent);
        }
        self.effects.push_back(Effect::Connect { call, endpoint, sure, fresh: false, until });
    }

    /// A call's connection is established.
    pub fn connected(&mut self, at: Moment, call: CallId) {
        let Some(state) = self.calls.get(&call) else { return };
        if state.recorded {
            // Recorded when an earlier connection was established, which then failed.
            return self.write(at, call);
        }
        if !self.drop_unsendable(at, call) {
            return self.release(at, call);
        }
        if self.has(Fault::WriteBeforeNoting) {
            self.write(at, call);
        }
        let Some(state) = self.calls.get_mut(&call) else { return };
        state.recorded = true;
        // Recorded on disk before the first byte is sent: an attempt missing from the journal could be sent
        // twice.
        for CallAttempt { id, .. } in &state.attempts {
            let change = Change::Begin { id: *id, at: at.wall, zone: state.zone as u32 };
            self.effects.push_back(Effect::Append(change, None));
        }
        if !self.has(Fault::WriteBeforeNoting) {
            self.effects.push_back(Effect::AfterWrites(Deferred(DeferredAction::Write { call })));
        }
    }

    /// No connection was established for a call: nothing of it was sent.
    pub fn unreachable(&mut self, at: Moment, call: CallId) {
        self.end_unwritten(at, call, Outcome::ConnectFailed);
    }

    /// A call's connection closed before the last byte was written. If the connection was a kept one, a fresh
    /// one is opened. A fresh one that fails is a failure: otherwise an endpoint that closes every connection
    /// would be reconnected to forever.
    pub fn connection_lost(&mut self, at: Moment, call: CallId, fresh: bool) {
        let Some(state) = self.calls.get(&call) else { return };
        if fresh {
            return self.end_unwritten(at, call, Outcome::ConnectFailed);
        }
        let (endpoint, until) = (state.endpoint, state.until);
        self.effects.push_back(Effect::Connect { call, endpoint, sure: true, fresh: true, until });
    }

    /// Removes an attempt from its call because it could not be recorded.
    pub(crate) fn attempt_not_recorded(&mut self, at: Moment, id: MsgId) {
        let contains =
            |(_, state): &(&CallId, &mut Call)| state.attempts.iter().any(|member| member.id == id);
        let Some((call, state)) = self.calls.iter_mut().find(contains) else { return };
        let Some(index) = state.attempts.iter().position(|member| member.id == id) else { return };
        let (member, sent_to) = (state.attempts.remove(index), (state.endpoint, state.sent));
        let (call, empty) = (*call, state.attempts.is_empty());
        self.end_attempt(at, sent_to, member, false, Outcome::NotSent.into(), None);
        // Released now, not when the deferred write finds the call empty: that may take a sync.
        if empty {
            self.release(at, call);
        }
    }

    /// Removes the messages of a call that may no longer be sent; returns whether any are left. Connecting
    /// and syncing take time: meanwhile the endpoint may be draining, a wait may have been requested, or the
    /// message or its key may have expired.
    fn drop_unsendable(&mut self, at: Moment, call: CallId) -> bool {
        if self.has(Fault::NoSecondLook) {
            return self.calls.contains_key(&call);
        }
        let Some(state) = self.calls.get_mut(&call) else { return false };
        let (sent_to, recorded) = ((state.endpoint, state.sent), state.recorded);
        let open = state.until > at.now
            && self.endpoints.get(&state.endpoint).is_some_and(|e| e.state == State::Ready);
        let (held, control) = (&self.held, &self.control);
        let sendable =
            |m: &CallAttempt| open && held.contains_key(&m.id) && control.may_still_send(at.now, m.id);
        let (kept, dropped) =
            std::mem::take(&mut state.attempts).into_iter().partition::<Vec<_>, _>(sendable);
        state.attempts = kept;
        let left = !state.attempts.is_empty();
        for member in dropped {
            self.end_attempt(at, sent_to, member, recorded, Outcome::NotSent.into(), None);
        }
        left
    }

    /// Ends a call that was not written and releases its connection.
    fn release(&mut self, at: Moment, call: CallId) {
        self.effects.push_back(Effect::Release { call });
        self.end_unwritten(at, call, Outcome::NotSent);
    }

    /// Writes a call whose attempts are recorded.
    pub(crate) fn write(&mut self, at: Moment, call: CallId) {
        if !self.calls.contains_key(&call) {
            return;
        }
        if !self.drop_unsendable(at, call) {
            return self.release(at, call);
        }
        let Some(state) = self.calls.get(&call) else { return };
        let held = || state.attempts.iter().filter_map(|m| self.held.get(&m.id));
        let (sure, messages) =
            (held().any(|held| held.unrepeatable), held().map(|held| held.call_message()).collect());
        let (endpoint, until) = (state.endpoint, state.until);
        self.effects.push_back(Effect::Write { call, endpoint, sure, until, messages });
    }

    /// A call has ended, and its connection is closed or idle.
    pub fn ended(&mut self, at: Moment, call: CallId, ended: CallEnd) {
        let CallEnd { ends, wait, report } = ended;
        let Some(Call { attempts, follow_ups, endpoint, sent, until, recorded, .. }) =
            self.calls.remove(&call)
        else {
            return;
        };
        if let Some(wait) = wait {
            self.control.on_event(at.now, Event::WaitRequested { endpoint, wait });
        }
        if self.reports_call_ends {
            let outcome = ends.of(0).outcome;
            let full = if let Outcome::Full(wait) = outcome { wait } else { None };
            self.effects.push_back(Effect::CallEnded { endpoint, outcome, wait: wait.max(full) });
        }
        for (index, member) in attempts.into_iter().enumerate() {
            // There is one report, whatever the number of messages.
            let report = report.filter(|_| index == 0);
            self.end_attempt(at, (endpoint, sent), member, recorded, ends.of(index), report);
        }
        // Stored now rather than in the next round, so that a wait or a failure is not lost in a crash.
        if !self.has(Fault::LearnLate) {
            self.save_urgent(at);
        }
        self.start_next(at, endpoint, until, follow_ups);
    }

    /// Ends a call that was not written.
    fn end_unwritten(&mut self, at: Moment, call: CallId, outcome: Outcome) {
        self.ended(at, call, CallEnd::without_answer(outcome));
        if self.has(Fault::LoseWake) {
            self.wakes = [at.now].into();
        } else {
            self.round_due = true;
        }
    }

    /// Ends the attempt of one message.
    fn end_attempt(
        &mut self,
        at: Moment,
        (endpoint, sent): (EndpointId, Nanos),
        CallAttempt { id, attempt }: CallAttempt,
        recorded: bool,
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
            // An endpoint may also report a message as complete that it did not receive.
            self.close(at, id, (outcome == Outcome::Served).then_some(FinalOutcome::Delivered));
        } else if recorded && self.held.contains_key(&id) {
            let never_ran = outcome.never_ran() || self.has(Fault::NoteNeverRan);
            let change = Change::Outcome { id, never_ran };
            self.effects.push_back(Effect::Append(change, None));
        }
        let (took, closed) = (at.now.saturating_sub(sent), over || answered);
        let event = Event::Outcome { id, attempt, endpoint, outcome, took, closed, report };
        self.control.on_event(at.now, event);
    }

    /// Cancels the call of an attempt, unless the call carries other messages too.
    pub(crate) fn cancel(&mut self, id: MsgId, attempt: u32) {
        let only_attempt =
            |state: &Call| matches!(state.attempts[..], [m] if (m.id, m.attempt) == (id, attempt));
        if let Some((call, _)) = self.calls.iter().find(|(_, state)| only_attempt(state)) {
            self.effects.push_back(Effect::CancelCall { call: *call });
        }
    }
}
