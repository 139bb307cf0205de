//! The life of a message: handed in, taken on, answered, told of, over.
//!
//! A message is held from before its client hears that it is taken on until nothing more is owed for it. Its final
//! answer is written before anybody is told of it, and given once.

use bytes::Bytes;
use millpost::api::{DestId, Effect as Repeats, Event, MsgId, Nanos};
use millpost_store::ledger::{Answer, Final, Found, History, Taken};
use serde::{Deserialize, Serialize};

use crate::durability::Act;
use crate::{CallMessage, Change, Core, Deferred, Effect, Fault, KEEP_ANSWER, Moment, ReplyId};

/// What a client hands in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Its id at its client.
    pub reference: String,
    /// Position of its class.
    pub class: usize,
    /// Its destination.
    pub dest: DestId,
    /// Time until it is given up.
    pub time_left: Nanos,
    /// Its idempotency key.
    pub key: Option<Bytes>,
    /// What it is about: in a class that keeps an order, messages about the same go one at a time.
    pub order: Option<u64>,
    /// What is to be delivered.
    pub body: Bytes,
}

/// What a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Taken on.
    Accepted,
    /// Refused: handing it in again is harmless.
    Refused {
        /// How long to stay away, nanoseconds; 0 for no hint.
        wait: Nanos,
    },
    /// Its destination does not exist.
    UnknownDestination,
    /// It was here before, and was given up then: nothing is promised.
    Failed,
}

/// A message that is owed its end.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Held {
    pub reference: String,
    pub class: usize,
    pub key: Option<Bytes>,
    /// Not written with the rest: the store has it.
    #[serde(skip)]
    pub body: Bytes,
    pub attempts: u32,
    /// When its time is up, by the wall clock.
    pub deadline: Nanos,
    /// An attempt that may have run is its last.
    pub once: bool,
    /// The final answer, once it has been given: its notice is owed.
    pub answer: Option<Answer>,
    /// Its class, destination and order key, while its client is being told that it is taken on.
    pub told_of: Option<(usize, DestId, Option<u64>)>,
}

impl Held {
    pub fn call_message(&self) -> CallMessage {
        CallMessage { reference: self.reference.clone(), key: self.key.clone(), body: self.body.clone() }
    }
}

impl Core {
    /// The message of this reference is held: handed in once more it has no end yet that one could look up.
    pub fn holds(&self, reference: &str) -> bool {
        self.by_reference.contains_key(reference)
    }

    /// A client hands a message in. `ended` is how a message of this reference ended before, where that is still
    /// kept; it is not looked at while the message is held.
    pub fn submit(&mut self, at: Moment, handed: Submission, ended: Option<Final>, reply: ReplyId) {
        // Handed in once more, since a connection closed under it: it is taken on already.
        if self.holds(&handed.reference) && !self.has(Fault::TakeTwice) {
            let behind = Deferred(Act::Confirm { dest: handed.dest, reply });
            return self.effects.push_back(Effect::AfterWrites(behind));
        }
        // It comes again after its end: it gets the same answer, and nothing is sent again.
        if let Some(end) = ended {
            let verdict = match end {
                Final::Delivered => SubmitReply::Accepted,
                Final::Answered(Answer::Failed) => SubmitReply::Failed,
                Final::Answered(Answer::Refused { wait_ms }) => {
                    SubmitReply::Refused { wait: wait_ms.saturating_mul(1_000_000) }
                }
            };
            return self.reply(reply, verdict);
        }
        if !self.control.knows_destination(handed.dest) {
            self.counts.of(handed.class).failed += 1;
            return self.reply(reply, SubmitReply::UnknownDestination);
        }
        // No more are held than the settings allow; notices that are owed take room too.
        if self.closed || self.open >= self.settings.hold || self.held.len() >= 4 * self.settings.hold {
            self.counts.of(handed.class).refused += 1;
            return self.refuse(at, handed.dest, reply);
        }
        let Submission { reference, class, dest, time_left, key, order, body } = handed;
        let deadline = at.to_wall(at.now.saturating_add(time_left));
        let id = self.next_message;
        self.next_message += 1;
        self.by_reference.insert(reference.clone(), id);
        self.open += 1;
        let held = Held {
            reference: reference.clone(),
            class,
            key: key.clone(),
            body: body.clone(),
            attempts: 0,
            deadline,
            once: self.once(class),
            answer: None,
            told_of: None,
        };
        self.held.insert(id, held);
        if self.has(Fault::TellBeforeTaking) {
            self.accept(id, class, dest, order, reply);
        }
        let taken = Taken { reference, class: class as u32, dest, deadline, key, order, body };
        let behind = Deferred(Act::Accept { id, class, dest, order, reply });
        self.effects.push_back(Effect::Append(Change::Take { id, taken }, Some(behind)));
    }

    /// Refused for want of room, with a time to come back.
    fn refuse(&mut self, at: Moment, dest: DestId, reply: ReplyId) {
        let wait = self.control.retry_after_hint(at.now, dest);
        self.reply(reply, SubmitReply::Refused { wait });
    }

    /// The message lasts: its client hears so, then the module.
    pub(crate) fn accept(
        &mut self,
        id: MsgId,
        class: usize,
        dest: DestId,
        order: Option<u64>,
        reply: ReplyId,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.told_of = Some((class, dest, order));
        self.effects.push_back(Effect::Reply { reply, verdict: SubmitReply::Accepted, taken: Some(id) });
    }

    /// Whether the client was still there to hear that its message was taken on. One that left before voids its id:
    /// it may be on its way elsewhere.
    pub fn replied(&mut self, at: Moment, id: MsgId, heard: bool) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some((class, dest, order)) = held.told_of.take() else { return };
        if !heard {
            return self.over(at, id, None);
        }
        let time_left = at.to_monotonic(held.deadline).saturating_sub(at.now);
        let key = order.filter(|_| !self.has(Fault::ForgetOrder));
        let event = Event::Message { id, class, tenant: None, key, dest, time_left };
        self.control.on_event(at.now, event);
    }

    /// Takes up a message of the journal again. Whether it may still be sent is for the module to say.
    pub fn restore(&mut self, at: Moment, found: Found) {
        let Found { id, taken, body_lost, history, .. } = found;
        let Taken { reference, class, dest, deadline, key, order, body } = taken;
        self.next_message = self.next_message.max(id + 1);
        self.by_reference.insert(reference.clone(), id);
        // A class that the settings don't know any more can't be judged: the message is given up.
        let unknown = (class as usize >= self.settings.classes.len()).then_some(Answer::Failed);
        // Nor can one be sent whose body is lost.
        let lost = body_lost.then(|| lost_body(&history));
        let answer = history.answer.or(unknown).or(lost);
        let held = Held {
            reference: reference.clone(),
            class: class as usize,
            key,
            body,
            attempts: history.attempts,
            deadline,
            once: self.once(class as usize),
            answer: history.answer,
            told_of: None,
        };
        self.held.insert(id, held);
        if let Some(answer) = history.answer {
            return self.effects.push_back(Effect::Notice { id, reference, answer });
        }
        self.open += 1;
        if let Some(answer) = answer {
            return self.answer(id, answer);
        }
        let out = history.out.filter(|_| !self.has(Fault::ForgetOut));
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
                // An attempt that was out when the process ended may have run.
                may_have_run: history.may_have_run.or(out).map(since),
            },
        );
    }

    fn once(&self, class: usize) -> bool {
        self.settings.classes.get(class).is_some_and(|class| class.effect == Repeats::Unsafe)
    }

    /// The final answer of a message.
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
        // No attempt follows; one that is out has its own hold on it.
        held.body = Bytes::new();
        self.open -= 1;
        if self.has(Fault::NoticeBeforeWriting) {
            self.tell(id, answer);
        }
        self.write_answer(id, answer);
    }

    /// On disk first: a message whose notice may be out is not sent again after a restart.
    fn write_answer(&mut self, id: MsgId, answer: Answer) {
        let behind = Deferred(Act::Tell { id, answer });
        self.effects.push_back(Effect::Append(Change::Answer { id, answer }, Some(behind)));
    }

    /// Final answers that could not be written are written now, if they can.
    pub fn retry_unwritten(&mut self) {
        if self.has(Fault::ForgetUnwritten) {
            return self.unwritten.clear();
        }
        for (id, answer) in std::mem::take(&mut self.unwritten) {
            if self.held.contains_key(&id) {
                self.write_answer(id, answer);
            }
        }
    }

    /// The platform has taken the notice of a message.
    pub fn notice_accepted(&mut self, at: Moment, id: MsgId) {
        let answer = self.held.get(&id).and_then(|held| held.answer);
        self.over(at, id, answer.map(Final::Answered));
    }

    /// Nothing more is owed for a message.
    pub(crate) fn over(&mut self, at: Moment, id: MsgId, end: Option<Final>) {
        let Some(held) = self.held.remove(&id) else { return };
        self.by_reference.remove(&held.reference);
        // Counted by its answer already, where it has one.
        if end == Some(Final::Delivered) && held.answer.is_none() {
            self.counts.of(held.class).delivered += 1;
        }
        self.open -= usize::from(held.answer.is_none());
        let until = held.deadline.max(at.wall).saturating_add(KEEP_ANSWER);
        if self.has(Fault::EndUnwritten) && end == Some(Final::Delivered) {
            return;
        }
        let end = end.map(|end| (held.reference, end, until));
        self.effects.push_back(Effect::Append(Change::End { id, end }, None));
    }

    /// This change could not be written, and what stood behind it is not to be done.
    pub fn write_failed(&mut self, at: Moment, change: &Change, behind: Option<Deferred>) {
        match (change, behind) {
            // An attempt that is not noted is not sent.
            (Change::Begin { id, .. }, _) => self.unnoted(at, *id),
            (_, Some(behind)) => self.abandon(at, behind),
            // The next change of the same message, or its end, says the same again; after a restart an attempt
            // without an outcome may have run.
            (_, None) => {}
        }
    }

    /// What this waits for will not last: clients are told to come again, an answer is written once more.
    pub fn abandon(&mut self, at: Moment, Deferred(act): Deferred) {
        match act {
            Act::Accept { id, class, dest, reply, .. } => {
                self.counts.of(class).refused += 1;
                self.refuse(at, dest, reply);
                self.over(at, id, None);
            }
            Act::Confirm { dest, reply } => self.refuse(at, dest, reply),
            Act::Tell { id, answer } => self.unwritten.push_back((id, answer)),
            Act::Write { call } => self.connection_lost(at, call, true),
        }
    }
}

/// The final answer of a message whose body can't be read any more: a refusal where it never ran.
fn lost_body(history: &History) -> Answer {
    let may_have_run = history.may_have_run.is_some() || history.out.is_some();
    if may_have_run { Answer::Failed } else { Answer::Refused { wait_ms: 0 } }
}
