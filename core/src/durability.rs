//! What waits for a write to last. The order *durable, then outward* is kept by the types here: what follows a write
//! is handed out as a [`Deferred`] that nobody can look into, only a [`DurabilityQueue`] makes a [`Durable`] of it, and only once
//! the journal says that the write lasts; and [`crate::Core::run_deferred`] takes nothing but a `Durable`.

use std::collections::{BTreeMap, VecDeque};

use millpost::api::{DestId, MsgId, Nanos};
use millpost_store::Seq;
use millpost_store::ledger::{Answer, Final, Taken};
use serde::Serialize;

use crate::{CallId, ReplyId};

/// A change of what must last. Times are the wall clock's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A message is taken on.
    Take {
        /// Its number.
        id: MsgId,
        /// The message.
        taken: Taken,
    },
    /// An attempt is about to begin.
    Begin {
        /// The message.
        id: MsgId,
        /// When.
        at: Nanos,
        /// The zone that it goes to.
        zone: u32,
    },
    /// The attempt that was out is over, without delivery.
    Outcome {
        /// The message.
        id: MsgId,
        /// It had no effect.
        never_ran: bool,
    },
    /// The final answer is decided, and its notice owed.
    Answer {
        /// The message.
        id: MsgId,
        /// What it says.
        answer: Answer,
    },
    /// Nothing more is owed.
    End {
        /// The message.
        id: MsgId,
        /// How it ended, under which reference, and until when that is kept.
        end: Option<(String, Final, Nanos)>,
    },
}

/// What may be done only once what was written before it lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Act {
    /// Tell a client that its message is taken on, and the module of it.
    Accept { id: MsgId, class: usize, dest: DestId, order: Option<u64>, reply: ReplyId },
    /// Tell a client that its message had been taken on before.
    Confirm { dest: DestId, reply: ReplyId },
    /// Write a call whose attempts are noted.
    Write { call: CallId },
    /// Tell the platform of an end.
    Tell { id: MsgId, answer: Answer },
}

/// What stands behind a write: given to a [`DurabilityQueue`] with the number of the write, or back to
/// [`crate::Core::write_failed`] where the write failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[must_use = "what stands behind a write is owed"]
pub struct Deferred(pub(crate) Act);

/// What stood behind a write that lasts.
#[derive(Debug)]
#[must_use = "what stood behind a write is owed"]
pub struct Durable(pub(crate) Act);

/// What waits for a write to last, in the order of the writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DurabilityQueue {
    waiting: VecDeque<(Seq, Deferred)>,
}

impl DurabilityQueue {
    /// Keeps what stands behind the write of this number.
    pub fn push(&mut self, seq: Seq, behind: Deferred) {
        self.waiting.push_back((seq, behind));
    }

    /// The next that may be done, in the order of the writes. `lasts` is the journal's word on a write.
    pub fn pop_durable(&mut self, lasts: impl Fn(Seq) -> bool) -> Option<Durable> {
        let (_, Deferred(act)) = self.waiting.pop_front_if(|(seq, _)| lasts(*seq))?;
        Some(Durable(act))
    }

    /// Takes out what clients wait for and does not last yet: the disk refuses, and they are told to come again.
    pub fn take_client_replies(&mut self, lasts: impl Fn(Seq) -> bool) -> Vec<Deferred> {
        let mut taken = Vec::new();
        for (seq, Deferred(act)) in std::mem::take(&mut self.waiting) {
            match act {
                Act::Accept { .. } | Act::Confirm { .. } if !lasts(seq) => taken.push(Deferred(act)),
                act => self.waiting.push_back((seq, Deferred(act))),
            }
        }
        taken
    }

    /// Calls get other numbers, by [`crate::Core::renumber`], and writes are counted from `base` on.
    pub fn renumber(&mut self, new: &BTreeMap<CallId, CallId>, base: Seq) {
        for (seq, Deferred(act)) in &mut self.waiting {
            *seq = seq.saturating_sub(base);
            if let Act::Write { call } = act {
                // One that is over by now stays one that nobody knows.
                *call = new.get(call).copied().unwrap_or(CallId::MAX);
            }
        }
    }

    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
