//! Faults that are planted round the machines: they stay as they are, and what stands between them does wrong.

use std::collections::BTreeMap;
use std::sync::Arc;

use millpost_quorum::Message;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A proposer writes without having prepared: it is told that all have promised, and hold nothing.
    NoPrepare,
    /// A voter answers before the disk has got what the answer rests on.
    AnswersFirst,
    /// A voter with an empty disk starts as one of a new register.
    VotesAtOnce,
    /// A voter with an empty disk does not wait before it copies.
    CopiesAtOnce,
    /// A voter with an empty disk takes one other's word for all.
    CopiesFromOne,
    /// What a voter has copied counts as its vote. Found in none of the worlds here, which have three voters.
    CopyVotes,
    /// A proposer counts answers however late they come.
    LateCounts,
    /// A move asks the old voters alone.
    OneMajority,
    /// A move goes from one set to the next, with no record between them.
    NoJoint,
}

/// What a proposer is told in place of the voter's answer.
pub(super) fn forged(fault: Option<Fault>, to: u8, message: &Message) -> Option<Message> {
    let skipped = match fault? {
        Fault::NoPrepare => matches!(message, Message::Prepare { .. }),
        Fault::OneMajority => {
            to == 3
                && matches!(message, Message::Prepare { members, .. } | Message::Write { members, .. } if members.next.is_some())
        }
        _ => false,
    };
    match message {
        _ if !skipped => None,
        Message::Prepare { key, ballot, .. } => {
            Some(Message::Promised { key: *key, ballot: ballot.clone(), accepted: None })
        }
        Message::Write { key, ballot, .. } => Some(Message::Wrote { key: *key, ballot: ballot.clone() }),
        _ => None,
    }
}

/// What was copied is on the disk as if it had been written there.
pub(super) fn as_votes(disk: &mut Arc<BTreeMap<String, String>>) {
    for text in Arc::make_mut(disk).values_mut() {
        *text = text.replace("\"copied\":true", "\"copied\":false");
    }
}
