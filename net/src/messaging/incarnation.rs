//! The incarnation of a process, sent with each batch of messages. Invariant: the incarnation sent to a peer
//! never decreases while the process runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Largest integer that a JSON number represents exactly.
const MAX_EXACT: u64 = 1 << 53;

/// Incarnation of this process as sent to one peer: the wall-clock time of its start in milliseconds, or a
/// higher number if the peer knows an earlier incarnation with a higher one. Clones share the value.
#[derive(Clone, Debug)]
pub struct Incarnation(Arc<AtomicU64>);

impl Incarnation {
    /// Creates the incarnation of a process that started at this wall-clock time, in milliseconds.
    pub fn new(started_ms: u64) -> Self {
        Incarnation(Arc::new(AtomicU64::new(started_ms)))
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Raises the value above an incarnation that the peer knows for this process, as the peer ignores lower
    /// ones. Only a running process receives this report, so its incarnation must be the latest. Returns
    /// whether the value has changed; it has not if the peer knows the current one, and only received late
    /// messages of an earlier one.
    pub fn raise_above(&self, known: u64) -> bool {
        let higher = known > self.get() && known < MAX_EXACT;
        if higher {
            self.0.store(known + 1, Ordering::Relaxed);
        }
        higher
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[yare::parameterized(
        of_an_earlier_incarnation_with_a_clock_ahead = { 1_000, 1_001 },
        of_this_incarnation = { 700, 700 },
        of_an_earlier_incarnation = { 500, 700 },
        too_large_for_json = { MAX_EXACT, 700 },
    )]
    fn a_running_process_exceeds_the_incarnation_that_a_peer_knows(known: u64, expected: u64) {
        let incarnation = Incarnation::new(700);
        let shared = incarnation.clone();
        assert_eq!(incarnation.raise_above(known), expected != 700);
        assert_eq!((incarnation.get(), shared.get()), (expected, expected));
    }
}
