//! A process that was told to end. Invariant: a voter does not end, inside half of its grace, before a spare that there is votes in its
//! place, or, where there is none, before all that it holds stands on a majority of the voters without it.

use millpost_quorum::{Key, Operation};

use super::{Core, ReplyTarget};
use crate::rounds::RoundPurpose;
use crate::{MS, Nanos, voters};

/// What is under way when the process is told to end gets its answer within this.
const REPLY_TIME: Nanos = 300 * MS;

/// How far a process that is to end has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownProgress {
    /// It does not end before,
    earliest: Nanos,
    /// ... and ends then, whoever lacks what it holds.
    latest: Nanos,
    /// Keys that were seen to stand on a majority of the others, by their order in [`Key::ALL`].
    keys_handed_over: usize,
}

impl ShutdownProgress {
    fn new(now: Nanos, grace: Nanos) -> Self {
        ShutdownProgress {
            earliest: now + REPLY_TIME,
            latest: now + REPLY_TIME.max(grace / 2),
            keys_handed_over: 0,
        }
    }

    /// When it is to be looked at next.
    pub(super) fn due(&self, now: Nanos) -> Nanos {
        if now < self.earliest { self.earliest } else { self.latest }
    }
}

impl Core {
    /// The process is to end.
    pub(super) fn begin_shutdown(&mut self, now: Nanos) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!("leaving");
        self.shutdown = Some(ShutdownProgress::new(now, self.grace));
        let out = self.leadership.leave(now);
        self.send_to_voters(out, ReplyTarget::Lease);
        self.send_gossip(now);
        self.hand_over(now);
    }

    /// Whether the process may end.
    pub fn can_exit(&self, now: Nanos) -> bool {
        let Some(shutdown) = &self.shutdown else { return false };
        now >= shutdown.latest || now >= shutdown.earliest && self.state_is_safe(now)
    }

    /// Whether nothing is lost with this machine.
    fn state_is_safe(&self, now: Nanos) -> bool {
        let Some(members) = self.rounds.members().filter(|_| self.is_voter()) else { return true };
        let keys_handed_over =
            self.shutdown.is_some_and(|shutdown| shutdown.keys_handed_over >= Key::ALL.len());
        let changes = members.next.is_some();
        let spare = voters::spares(now, members, self.gossip.peers()).next().is_some();
        keys_handed_over && !changes && !spare
    }

    fn is_voter(&self) -> bool {
        self.voting && self.rounds.members().is_some_and(|members| members.contains(&self.me))
    }

    /// The next key is read from a majority of the others, which writes there what only this machine and too few of them hold.
    pub(super) fn hand_over(&mut self, now: Nanos) {
        let Some(shutdown) = self.shutdown else { return };
        let Some(key) = Key::ALL.get(shutdown.keys_handed_over).copied().filter(|_| self.is_voter()) else {
            return;
        };
        if now < shutdown.latest && !self.rounds.is_running(RoundPurpose::HandOver(key)) {
            let out =
                self.rounds.start_without(now, Operation::Read, key, RoundPurpose::HandOver(key), &self.me);
            self.apply_round_output(now, out);
        }
    }

    /// That read has ended.
    pub(super) fn on_handed_over(&mut self, now: Nanos, key: Key, confirmed: bool) {
        if let Some(shutdown) = &mut self.shutdown
            && confirmed
            && Key::ALL.get(shutdown.keys_handed_over) == Some(&key)
        {
            shutdown.keys_handed_over += 1;
            self.hand_over(now);
        }
    }
}
