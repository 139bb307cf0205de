//! Shutdown phases of a proxy, as a function of the time since the shutdown request. Reads no clock.
//!
//! Invariant: every request that was read completely is answered before the last phase. Waiting requests
//! are refused while the client still has time to go elsewhere; requests that may be running are waited
//! for as long as possible, and then answered with a status that says that they may have run.

use crate::{MS, Nanos};

/// Phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Normal operation.
    Serving,
    /// Not ready; every response closes its connection.
    Leaving,
    /// No new connections; idle ones are closed. The proxy owns no functions any more.
    Closing,
    /// Nothing more is sent to instances; waiting requests are refused.
    Refusing,
    /// Running requests are answered with an error status.
    Ending,
    /// The process exits.
    Finished,
}

/// The platform checks readiness every second and acts after two failures.
const LEAVING_TIME: Nanos = 2_300 * MS;
/// How long before the end of the grace time sending stops: an attempt takes less, and refused clients
/// have time to go elsewhere.
const REFUSING_BEFORE: Nanos = 1_600 * MS;
/// How long before the end of the grace time running requests are answered.
const ENDING_BEFORE: Nanos = 800 * MS;
/// How long before the end of the grace time the process exits.
const FINISHED_BEFORE: Nanos = 600 * MS;

impl ShutdownPhase {
    /// The phases, and how long after the shutdown request each begins.
    pub fn schedule(grace: Nanos) -> [(ShutdownPhase, Nanos); 5] {
        let before = |span: Nanos| grace.saturating_sub(span);
        let closing = LEAVING_TIME.min(grace / 2);
        // A short grace time shortens the phases; none begins before the previous one.
        let refusing = before(REFUSING_BEFORE).max(closing);
        let ending = before(ENDING_BEFORE).max(refusing);
        let finished = before(FINISHED_BEFORE).max(ending);
        [
            (ShutdownPhase::Leaving, 0),
            (ShutdownPhase::Closing, closing),
            (ShutdownPhase::Refusing, refusing),
            (ShutdownPhase::Ending, ending),
            (ShutdownPhase::Finished, finished),
        ]
    }

    /// Phase at this time after the shutdown request.
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
        default_grace = { 6 * SECOND },
        short = { SECOND },
        very_short = { 200 * MS },
        none = { 0 },
        long = { 60 * SECOND },
    )]
    fn phases_are_ordered_and_within_the_grace_time(grace: Nanos) {
        let schedule = ShutdownPhase::schedule(grace);
        assert!(schedule.is_sorted_by(|a, b| a.0 < b.0 && a.1 <= b.1), "{schedule:?}");
        assert!(schedule.iter().all(|(_, at)| *at <= grace));
        for (phase, at) in schedule {
            assert!(ShutdownPhase::after(grace, at) >= phase);
        }
    }

    /// A request sent in the first 3 s that is still running may be given up only in the last sixth of the
    /// grace time.
    #[test]
    fn running_requests_are_awaited_until_the_last_sixth_of_the_grace_time() {
        let [.., (_, ending), (_, finished)] = ShutdownPhase::schedule(6 * SECOND);
        assert!(ending >= 5 * SECOND && finished > ending && finished < 6 * SECOND, "{ending}, {finished}");
    }
}
