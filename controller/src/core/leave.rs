//! A process that was told to end. Invariant: a voter does not end, inside half of its grace, before a spare that there is votes in its
//! place, or, where there is none, before all that it holds stands on a majority of the voters without it.

use millpost_quorum::{Key, Operation};

use super::{Core, ReplyTarget};
use crate::rounds::For;
use crate::{MS, Nanos, voters};

/// What is under way when the process is told to end gets its answer within this.
const ANSWERS: Nanos = 300 * MS;

/// How far a process that is to end has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    /// It does not end before,
    earliest: Nanos,
    /// ... and ends then, whoever lacks what it holds.
    latest: Nanos,
    /// Keys that were seen to stand on a majority of the others, by their order in [`Key::ALL`].
    handed: usize,
}

impl Leave {
    fn new(now: Nanos, grace: Nanos) -> Self {
        Leave { earliest: now + ANSWERS, latest: now + ANSWERS.max(grace / 2), handed: 0 }
    }

    /// When it is to be looked at next.
    pub(super) fn due(&self, now: Nanos) -> Nanos {
        if now < self.earliest { self.earliest } else { self.latest }
    }
}

impl Core {
    /// The process is to end.
    pub(super) fn leave(&mut self, now: Nanos) {
        if self.leave.is_some() {
            return;
        }
        log::info!("leaving");
        self.leave = Some(Leave::new(now, self.grace));
        let out = self.leadership.leave(now);
        self.vote(out, ReplyTarget::Lease);
        self.news(now);
        self.hand_over(now);
    }

    /// Whether the process may end.
    pub fn can_exit(&self, now: Nanos) -> bool {
        let Some(leave) = &self.leave else { return false };
        now >= leave.latest || now >= leave.earliest && self.is_dispensable(now)
    }

    /// Whether nothing is lost with this machine.
    fn is_dispensable(&self, now: Nanos) -> bool {
        let Some(members) = self.rounds.members().filter(|_| self.is_voter()) else { return true };
        let handed = self.leave.is_some_and(|leave| leave.handed >= Key::ALL.len());
        let changes = members.next.is_some();
        let spare = voters::spares(now, members, self.gossip.others()).next().is_some();
        handed && !changes && !spare
    }

    fn is_voter(&self) -> bool {
        self.voting && self.rounds.members().is_some_and(|members| members.contains(&self.me))
    }

    /// The next key is read from a majority of the others, which writes there what only this machine and too few of them hold.
    pub(super) fn hand_over(&mut self, now: Nanos) {
        let Some(leave) = self.leave else { return };
        let Some(key) = Key::ALL.get(leave.handed).copied().filter(|_| self.is_voter()) else { return };
        if now < leave.latest && !self.rounds.at_work_for(For::HandOver(key)) {
            let out = self.rounds.round_without(now, Operation::Read, key, For::HandOver(key), &self.me);
            self.rounds(now, out);
        }
    }

    /// That read has ended.
    pub(super) fn handed_over(&mut self, now: Nanos, key: Key, stands: bool) {
        if let Some(leave) = &mut self.leave
            && stands
            && Key::ALL.get(leave.handed) == Some(&key)
        {
            leave.handed += 1;
            self.hand_over(now);
        }
    }
}
