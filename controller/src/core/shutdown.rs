//! Graceful shutdown.
//!
//! Invariant: a voter does not exit before an available spare votes in its place, until shortly before the end
//! of its grace time; without a spare, it does not exit within the first half of its grace time before a
//! majority of the other voters stores all that it holds. This does not depend on a leader: where it shuts down
//! as well, one of the voters that do changes the voters.

use millpost_quorum::{Key, Operation};
use snafu::Snafu;

use super::{Core, ReplyTarget};
use crate::rounds::RoundPurpose;
use crate::{MS, Nanos, voters};

/// Time for the replies to calls that are in progress when the shutdown begins.
const REPLY_TIME: Nanos = 300 * MS;

/// Time between the latest exit of a voter that waits for a spare and the end of its grace time.
const EXIT_TIME: Nanos = 500 * MS;

/// Progress of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShutdownProgress {
    /// The process does not exit before this time.
    earliest: Nanos,
    /// The process waits for other voters to store what it holds until this time, if there is no spare.
    hand_over_until: Nanos,
    /// The process exits at this time, even if a spare is about to vote in its place.
    latest: Nanos,
    /// Number of keys, in the order of [`Key::ALL`], that a majority of the other voters is known to store.
    keys_handed_over: usize,
}

impl ShutdownProgress {
    fn new(now: Nanos, grace: Nanos) -> Self {
        ShutdownProgress {
            earliest: now + REPLY_TIME,
            hand_over_until: now + REPLY_TIME.max(grace / 2),
            latest: now + REPLY_TIME.max(grace / 2).max(grace.saturating_sub(EXIT_TIME)),
            keys_handed_over: 0,
        }
    }

    /// Returns when the progress must be checked next.
    pub(super) fn due(&self, now: Nanos) -> Nanos {
        let times = [self.earliest, self.hand_over_until, self.latest];
        times.into_iter().find(|due| now < *due).unwrap_or(self.latest)
    }
}

/// Why state might be lost if this voter exits now.
#[derive(Debug, PartialEq, Eq, Snafu)]
enum UnsafeExit {
    #[snafu(display("a change of the voters is in progress"))]
    VotersChange,
    #[snafu(display("an available spare does not vote yet"))]
    SpareDoesNotVote,
    #[snafu(display("a majority of the other voters is known to store {handed_over} of {} keys", Key::ALL.len()))]
    KeysNotHandedOver { handed_over: usize },
}

impl Core {
    /// Begins the shutdown: releases the lease, tells the other controllers, and hands over the voter's
    /// state.
    pub(super) fn begin_shutdown(&mut self, now: Nanos) {
        if self.shutdown.is_some() {
            return;
        }
        log::info!("shutting down");
        self.shutdown = Some(ShutdownProgress::new(now, self.grace));
        let out = self.leadership.leave(now);
        self.send_to_voters(out, ReplyTarget::Lease);
        self.send_gossip(now);
        self.hand_over(now);
    }

    /// Returns whether the process may exit.
    pub fn can_exit(&self, now: Nanos) -> bool {
        let Some(shutdown) = &self.shutdown else { return false };
        let until = match self.unsafe_exit(now) {
            None => shutdown.earliest,
            Some(UnsafeExit::KeysNotHandedOver { .. }) => shutdown.hand_over_until,
            Some(UnsafeExit::VotersChange | UnsafeExit::SpareDoesNotVote) => shutdown.latest,
        };
        now >= until
    }

    /// Changes the voters while this controller shuts down and there is no leader that does.
    pub(super) fn tick_voters_in_shutdown(&mut self, now: Nanos) {
        let leader = &self.gossip.leader().1;
        if self.is_voter() && self.voter_view().is_some_and(|view| view.stands_in_for_leader(now, leader)) {
            self.tick_voters(now);
        }
    }

    /// Returns why state might be lost without this controller.
    fn unsafe_exit(&self, now: Nanos) -> Option<UnsafeExit> {
        let members = self.rounds.members().filter(|_| self.is_voter())?;
        let keys_handed_over = self.shutdown.map_or(0, |shutdown| shutdown.keys_handed_over);
        if members.next.is_some() {
            Some(UnsafeExit::VotersChange)
        } else if voters::spares(now, members, self.gossip.peers()).next().is_some() {
            Some(UnsafeExit::SpareDoesNotVote)
        } else if keys_handed_over < Key::ALL.len() {
            Some(UnsafeExit::KeysNotHandedOver { handed_over: keys_handed_over })
        } else {
            None
        }
    }

    /// Logs that the process exits, and whether its state is known to be safe without it.
    pub fn log_exit(&self, now: Nanos) {
        match self.unsafe_exit(now) {
            None => log::info!("exiting: the others store all state"),
            Some(reason) => log::warn!("exiting at the end of the shutdown time: {reason}"),
        }
    }

    fn is_voter(&self) -> bool {
        self.voting && self.rounds.members().is_some_and(|members| members.contains(&self.me))
    }

    /// Reads the next key from a majority of the other voters. The read writes back a value that too few of
    /// them store.
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

    /// Handles the end of such a read.
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
