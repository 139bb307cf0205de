//! The end of a proxy, from the word to end to its last moment: which phase it is in after so long. No clock.
//!
//! Invariant: each request that was read whole is answered before the last phase: one that waits is refused while there is time to go
//! elsewhere, one that may be running is waited for as long as possible and then told so.

use crate::{MS, Nanos};

/// How far the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// As ever.
    Serving,
    /// Not ready; every answer closes its connection.
    Leaving,
    /// No new connections; idle ones are closed. It owns no functions any more.
    Closing,
    /// Nothing more is sent to an instance: what waits is refused.
    Refusing,
    /// What still runs is told that there is no answer.
    Ending,
    /// The process ends.
    Finished,
}

/// The platform asks every second whether a proxy is ready, and needs two misses.
const LEAVING_TIME: Nanos = 2_300 * MS;
/// So long before the last moment nothing more is sent: a try takes less, and who is refused has time elsewhere.
const REFUSING_BEFORE: Nanos = 1_600 * MS;
/// Answers to what still runs are given so long before the last moment.
const ENDING_BEFORE: Nanos = 800 * MS;
/// ... and the process ends so long before it.
const OVER_BEFORE: Nanos = 600 * MS;

impl ShutdownPhase {
    /// After being told to end, the next phases and how long after that word each begins.
    pub fn schedule(grace: Nanos) -> [(ShutdownPhase, Nanos); 5] {
        let before = |span: Nanos| grace.saturating_sub(span);
        let closing = LEAVING_TIME.min(grace / 2);
        // A short grace time leaves less for each; none begins before the one that it follows.
        let refusing = before(REFUSING_BEFORE).max(closing);
        let ending = before(ENDING_BEFORE).max(refusing);
        let over = before(OVER_BEFORE).max(ending);
        [
            (ShutdownPhase::Leaving, 0),
            (ShutdownPhase::Closing, closing),
            (ShutdownPhase::Refusing, refusing),
            (ShutdownPhase::Ending, ending),
            (ShutdownPhase::Finished, over),
        ]
    }

    /// The phase so long after the word to end.
    pub fn after(grace: Nanos, since: Nanos) -> ShutdownPhase {
        let reached = ShutdownPhase::schedule(grace).into_iter().rev().find(|(_, at)| since >= *at);
        reached.map_or(ShutdownPhase::Leaving, |(phase, _)| phase)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[yare::parameterized(
        as_users_have_it = { 6 * SECOND },
        short = { SECOND },
        very_short = { 200 * MS },
        none = { 0 },
        long = { 60 * SECOND },
    )]
    fn phases_come_in_their_order_and_within_the_grace_time(grace: Nanos) {
        let schedule = ShutdownPhase::schedule(grace);
        assert!(schedule.is_sorted_by(|a, b| a.0 < b.0 && a.1 <= b.1), "{schedule:?}");
        assert!(schedule.iter().all(|(_, at)| *at <= grace));
        for (phase, at) in schedule {
            assert!(ShutdownPhase::after(grace, at) >= phase);
        }
    }

    /// What was sent in the first 3 s and is still at work may be told so in the last sixth of the grace time, and not before.
    #[test]
    fn what_runs_is_waited_for_into_the_last_sixth_of_the_grace_time() {
        let [.., (_, ending), (_, over)] = ShutdownPhase::schedule(6 * SECOND);
        assert!(ending >= 5 * SECOND && over > ending && over < 6 * SECOND, "{ending}, {over}");
    }
}
