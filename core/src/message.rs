//! The lifecycle of a message: submitted, accepted, answered, notified, complete.
//!
//! A message is held from before its client is told of its acceptance until it is complete. Its final answer
//! is written before anyone is told of it, and is given once.

use bytes::Bytes;
use millpost::api::{DestId, Effect as Repeats, Event, MsgId, Nanos};
use millpost_store::ledger::{AcceptedMessage, Answer, FinalOutcome, History, RecoveredMessage};
use serde::{Deserialize, Serialize};

use crate::durability::DeferredAction;
use crate::{ANSWER_RETENTION, CallMessage, Change, Core, Deferred, Effect, Fault, Moment, ReplyId};

/// A message as submitted by a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The client's id of the message.
    pub reference: String,
    /// Index of its class.
    pub class: usize,
    /// Its destination.
    pub dest: DestId,
    /// Time until its deadline.
    pub time_left: Nanos,
    /// Its idempotency key.
    pub key: Option<Bytes>,
    /// Its ordering key: in a class that keeps an order, messages with the same key are sent one at a time.
    pub order: Option<u64>,
    /// The payload.
    pub body: Bytes,
}

/// The reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Accepted.
    Accepted,
    /// Refused: resubmitting is harmless.
    Refused {
        /// How long to wait, in nanoseconds; 0 for no hint.
        wait: Nanos,
    },
    /// The destination does not exist.
    UnknownDestination,
    /// Submitted before and failed: it may or may not have been delivered.
    Failed,
}

/// A message that is not complete.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HeldMessage {
    pub reference: String,
    pub class: usize,
    pub key: Option<Bytes>,
    /// Not serialized: the store has it.
    #[serde(skip)]
    pub body: Bytes,
    pub attempts: u32,
    /// Its deadline, in wall-clock time.
    pub deadline: Nanos,
    /// It must not be repeated: an attempt that may have run is its last.
    pub unrepeatable: bool,
    /// The final answer, once decided; its notice has not been acknowledged.
    pub answer: Option<Answer>,
    /// Its class, destination and ordering key while the reply that accepts it is being sent.
    pub pending_accept: Option<(usize, DestId, Option<u64>)>,
}

impl HeldMessage {
    pub fn call_message(&self) -> CallMessage {
        CallMessage { reference: self.reference.clone(), key: self.key.clone(), body: self.body.clone() }
    }
}

impl Core {
    /// Whether a message with this reference is held. Then it is not complete, and has no stored outcome.
    pub fn holds(&self, reference: &str) -> bool {
        self.by_reference.contains_key(reference)
    }

    /// Submits a message. `ended` is the stored outcome of an earlier message with this reference, if there
    /// is one; it is ignored while the message is held.
    pub fn submit(
        &mut self,
        at: Moment,
        submission: Submission,
        ended: Option<FinalOutcome>,
        reply: ReplyId,
    ) {
        // Resubmitted, since the client's connection broke: it is already accepted.
        if self.holds(&submission.reference) && !self.has(Fault::TakeTwice) {
            let deferred = Deferred(DeferredAction::Confirm { dest: submission.dest, reply });
            return self.effects.push_back(Effect::AfterWrites(deferred));
        }
        // Resubmitted after its completion: it gets the same answer, and nothing is sent again.
        if let Some(end) = ended {
            let verdict = match end {
                FinalOutcome::Delivered => SubmitReply::Accepted,
                FinalOutcome::Answered(Answer::Failed) => SubmitReply::Failed,
                FinalOutcome::Answered(Answer::Refused { wait_ms }) => {
                    SubmitReply::Refused { wait: wait_ms.saturating_mul(1_000_000) }
                }
            };
            return self.reply(reply, verdict);
        }
        if !self.control.knows_destination(submission.dest) {
            self.counts.of(submission.class).failed += 1;
            return self.reply(reply, SubmitReply::UnknownDestination);
        }
        // Open messages are limited and, since pending notices take memory too, so are all held ones.
        if self.closed || self.open >= self.settings.hold || self.held.len() >= 4 * self.settings.hold {
            self.counts.of(submission.class).refused += 1;
            return self.refuse(at, submission.dest, reply);
        }
        let Submission { reference, class, dest, time_left, key, order, body } = submission;
        let deadline = at.to_wall(at.now.saturating_add(time_left));
        let id = self.next_message;
        self.next_message += 1;
        self.by_reference.insert(reference.clone(), id);
        self.open += 1;
        let held = HeldMessage {
            reference: reference.clone(),
            class,
            key: key.clone(),
            body: body.clone(),
            attempts: 0,
            deadline,
            unrepeatable: self.is_unrepeatable(class),
            answer: None,
            pending_accept: None,
        };
        self.held.insert(id, held);
        if self.has(Fault::TellBeforeTaking) {
            self.confirm_accepted(id, class, dest, order, reply);
        }
        let taken = AcceptedMessage { reference, class: class as u32, dest, deadline, key, order, body };
        let deferred = Deferred(DeferredAction::Accept { id, class, dest, order, reply });
        self.effects.push_back(Effect::Append(Change::Take { id, taken }, Some(deferred)));
    }

    /// Refuses a submission for lack of room, with a time to retry.
    fn refuse(&mut self, at: Moment, dest: DestId, reply: ReplyId) {
        let wait = self.control.retry_after_hint(at.now, dest);
        self.reply(reply, SubmitReply::Refused { wait });
    }

    /// The message is durable: replies to its client; `Control` gets the message once the reply is sent.
    pub(crate) fn confirm_accepted(
        &mut self,
        id: MsgId,
        class: usize,
        dest: DestId,
        order: Option<u64>,
        reply: ReplyId,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.pending_accept = Some((class, dest, order));
        self.effects.push_back(Effect::Reply { reply, verdict: SubmitReply::Accepted, taken: Some(id) });
    }

    /// Reports whether the client received the reply that accepted its message. If not, the message is
    /// dropped and its reference voided: the client may be submitting it elsewhere.
    pub fn replied(&mut self, at: Moment, id: MsgId, received: bool) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some((class, dest, order)) = held.pending_accept.take() else { return };
        if !received {
            return self.close(at, id, None);
        }
        let time_left = at.to_monotonic(held.deadline).saturating_sub(at.now);
        let key = order.filter(|_| !self.has(Fault::ForgetOrder));
        let event = Event::Message { id, class, tenant: None, key, dest, time_left };
        self.control.on_event(at.now, event);
    }

    /// Restores a message from the journal. `Control` decides whether it may still be sent.
    pub fn restore(&mut self, at: Moment, found: RecoveredMessage) {
        let RecoveredMessage { id, message, body_lost, history, .. } = found;
        let AcceptedMessage { reference, class, dest, deadline, key, order, body } = message;
        self.next_message = self.next_message.max(id + 1);
        self.by_reference.insert(reference.clone(), id);
        // A message of a class that is no longer in the settings fails.
        let unknown = (class as usize >= self.settings.classes.len()).then_some(Answer::Failed);
        // A message whose body is lost cannot be sent.
        let lost = body_lost.then(|| answer_without_body(&history));
        let answer = history.answer.or(unknown).or(lost);
        let held = HeldMessage {
            reference: reference.clone(),
            class: class as usize,
            key,
            body,
            attempts: history.attempts,
            deadline,
            unrepeatable: self.is_unrepeatable(class as usize),
            answer: history.answer,
            pending_accept: None,
        };
        self.held.insert(id, held);
        if let Some(answer) = history.answer {
            return self.effects.push_back(Effect::Notice { id, reference, answer });
        }
        self.open += 1;
        if let Some(answer) = answer {
            return self.answer(id, answer);
        }
        let out = history.in_flight.filter(|_| !self.has(Fault::ForgetOut));
        let since = |(when, zone): (Nanos, u32)| (at.to_monotonic(when), zone as usize);
        self.control.on_event(
            at.now,
            Event::Restored {
                id,
                class: class as usize,
                key: order,
                dest,
                deadline: at.to_monotonic(deadline),
                attempts: history.attempts,
                first_sent: at.to_monotonic(history.first_sent),
                // An attempt that was in flight when the process ended may have run.
                may_have_run: history.may_have_run.or(out).map(since),
            },
        );
    }

    fn is_unrepeatable(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_some_and(|class| class.effect == Repeats::Unsafe)
    }

    /// Sets the final answer of a message.
    pub(crate) fn answer(&mut self, id: MsgId, mut answer: Answer) {
        if self.has(Fault::RefuseWhatRan) {
            answer = Answer::Refused { wait_ms: 0 };
        }
        let Some(held) = self.held.get_mut(&id).filter(|h| h.answer.is_none()) else { return };
        held.answer = Some(answer);
        let count = self.counts.of(held.class);
        match answer {
            Answer::Failed => count.failed += 1,
            Answer::Refused { .. } => count.refused += 1,
        }
        // No further attempt needs the body; one in flight has its own copy.
        held.body = Bytes::new();
        self.open -= 1;
        if self.has(Fault::NoticeBeforeWriting) {
            self.send_notice(id, answer);
        }
        self.write_answer(id, answer);
    }

    /// Written before the notice is sent: a message whose notice may have been sent must not be sent after a
    /// restart.
    fn write_answer(&mut self, id: MsgId, answer: Answer) {
        let deferred = Deferred(DeferredAction::Notify { id, answer });
        self.effects.push_back(Effect::Append(Change::Answer { id, answer }, Some(deferred)));
    }

    /// Retries the writes of final answers that failed.
    pub fn retry_unwritten(&mut self) {
        if self.has(Fault::ForgetUnwritten) {
            return self.unwritten_answers.clear();
        }
        for (id, answer) in std::mem::take(&mut self.unwritten_answers) {
            if self.held.contains_key(&id) {
                self.write_answer(id, answer);
            }
        }
    }

    /// The platform has acknowledged the notice of a message.
    pub fn notice_accepted(&mut self, at: Moment, id: MsgId) {
        let answer = self.held.get(&id).and_then(|held| held.answer);
        self.close(at, id, answer.map(FinalOutcome::Answered));
    }

    /// Completes a message.
    pub(crate) fn close(&mut self, at: Moment, id: MsgId, end: Option<FinalOutcome>) {
        let Some(held) = self.held.remove(&id) else { return };
        self.by_reference.remove(&held.reference);
        // A message with an answer has been counted already.
        if end == Some(FinalOutcome::Delivered) && held.answer.is_none() {
            self.counts.of(held.class).delivered += 1;
        }
        self.open -= usize::from(held.answer.is_none());
        let until = held.deadline.max(at.wall).saturating_add(ANSWER_RETENTION);
        if self.has(Fault::EndUnwritten) && end == Some(FinalOutcome::Delivered) {
            return;
        }
        let end = end.map(|end| (held.reference, end, until));
        self.effects.push_back(Effect::Append(Change::End { id, end }, None));
    }

    /// Reports that a change could not be written; its deferred action does not run.
    pub fn write_failed(&mut self, at: Moment, change: &Change, deferred: Option<Deferred>) {
        match (change, deferred) {
            // An attempt that is not recorded is not sent.
            (Change::Begin { id, .. }, _) => self.attempt_not_recorded(at, *id),
            (_, Some(deferred)) => self.abandon(at, deferred),
            // The next change of the same message, or its completion, covers this one; after a restart an
            // attempt without an outcome counts as one that may have run.
            (_, None) => {}
        }
    }

    /// Handles a deferred action whose write will not become durable: clients are told to retry, an answer is
    /// written again.
    pub fn abandon(&mut self, at: Moment, Deferred(action): Deferred) {
        match action {
            DeferredAction::Accept { id, class, dest, reply, .. } => {
                self.counts.of(class).refused += 1;
                self.refuse(at, dest, reply);
                self.close(at, id, None);
            }
            DeferredAction::Confirm { dest, reply } => self.refuse(at, dest, reply),
            DeferredAction::Notify { id, answer } => self.unwritten_answers.push_back((id, answer)),
            DeferredAction::Write { call } => self.connection_lost(at, call, true),
        }
    }
}

/// The final answer of a message whose body is unreadable: a refusal if it never ran.
fn answer_without_body(history: &History) -> Answer {
    let may_have_run = history.may_have_run.is_some() || history.in_flight.is_some();
    if may_have_run { Answer::Failed } else { Answer::Refused { wait_ms: 0 } }
}
