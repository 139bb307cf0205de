//! Actions that wait until a write is durable. The types enforce the order: an action that depends on a write
//! is handed out as an opaque [`Deferred`]; only a [`DurabilityQueue`] turns it into a [`Durable`], once the
//! journal reports the write as durable; and [`crate::Core::run_deferred`] accepts nothing but a `Durable`.

use std::collections::{BTreeMap, VecDeque};

use millpost::api::{DestId, MsgId, Nanos};
use millpost_store::Seq;
use millpost_store::ledger::{AcceptedMessage, Answer, FinalOutcome};
use serde::Serialize;

use crate::{CallId, ReplyId};

/// A change to the persistent state. Times are wall-clock times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A message is accepted.
    Take {
        /// Its id.
        id: MsgId,
        /// The message.
        taken: AcceptedMessage,
    },
    /// An attempt is about to start.
    Begin {
        /// The message.
        id: MsgId,
        /// The start time.
        at: Nanos,
        /// The zone of its endpoint.
        zone: u32,
    },
    /// The attempt in flight has ended without delivery.
    Outcome {
        /// The message.
        id: MsgId,
        /// The attempt had no effect.
        never_ran: bool,
    },
    /// The final answer has been decided; the platform is still to be notified.
    Answer {
        /// The message.
        id: MsgId,
        /// The answer.
        answer: Answer,
    },
    /// The message is complete.
    End {
        /// The message.
        id: MsgId,
        /// The reference of the message, its outcome, and until when to keep both; `None` voids the
        /// reference.
        end: Option<(String, FinalOutcome, Nanos)>,
    },
}

/// An action that must not run before all earlier writes are durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum DeferredAction {
    /// Tell a client that its message is accepted, then pass the message to `Control`.
    Accept { id: MsgId, class: usize, dest: DestId, order: Option<u64>, reply: ReplyId },
    /// Tell a client that its message had been accepted before.
    Confirm { dest: DestId, reply: ReplyId },
    /// Write a call whose attempts are recorded.
    Write { call: CallId },
    /// Notify the platform of a final answer.
    Notify { id: MsgId, answer: Answer },
}

/// An action that depends on a write. It goes to a [`DurabilityQueue`] with the sequence number of the write,
/// or back to [`crate::Core::write_failed`] if the write failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[must_use = "a deferred action must run or be reported as failed"]
pub struct Deferred(pub(crate) DeferredAction);

/// A deferred action whose write is durable.
#[derive(Debug)]
#[must_use = "a deferred action must run"]
pub struct Durable(pub(crate) DeferredAction);

/// Deferred actions in the order of their writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DurabilityQueue {
    waiting: VecDeque<(Seq, Deferred)>,
}

impl DurabilityQueue {
    /// Adds an action that depends on the write with this sequence number.
    pub fn push(&mut self, seq: Seq, deferred: Deferred) {
        self.waiting.push_back((seq, deferred));
    }

    /// Removes the next action whose write is durable, in the order of the writes. `is_durable` tells whether a
    /// write is durable.
    pub fn pop_durable(&mut self, is_durable: impl Fn(Seq) -> bool) -> Option<Durable> {
        let (_, Deferred(action)) = self.waiting.pop_front_if(|(seq, _)| is_durable(*seq))?;
        Some(Durable(action))
    }

    /// Removes the replies to clients whose writes are not durable yet. Used when the disk fails: the clients
    /// are then told to retry.
    pub fn take_client_replies(&mut self, is_durable: impl Fn(Seq) -> bool) -> Vec<Deferred> {
        let mut taken = Vec::new();
        for (seq, Deferred(action)) in std::mem::take(&mut self.waiting) {
            match action {
                DeferredAction::Accept { .. } | DeferredAction::Confirm { .. } if !is_durable(seq) => {
                    taken.push(Deferred(action))
                }
                action => self.waiting.push_back((seq, Deferred(action))),
            }
        }
        taken
    }

    /// Applies new call numbers from [`crate::Core::renumber`], and counts writes from `base` on.
    pub fn renumber(&mut self, new: &BTreeMap<CallId, CallId>, base: Seq) {
        for (seq, Deferred(action)) in &mut self.waiting {
            *seq = seq.saturating_sub(base);
            if let DeferredAction::Write { call } = action {
                // A call that has ended keeps an unknown number.
                *call = new.get(call).copied().unwrap_or(CallId::MAX);
            }
        }
    }

    /// Whether no action is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
