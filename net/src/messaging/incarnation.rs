//! Which of its process's lives a letter is of. Invariant: the number that one peer is told never falls while the process lives.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The highest number that a JSON number tells exactly.
const HIGHEST: u64 = 1 << 53;

/// The number of a life, as one peer is told it: the time of day at the process's start, in milliseconds, and more where that peer knows
/// an earlier life of the same name under a higher one. Clones share it.
#[derive(Clone, Debug)]
pub struct Incarnation(Arc<AtomicU64>);

impl Incarnation {
    /// Of a process that started at this time of day, in milliseconds.
    pub fn new(started_ms: u64) -> Self {
        Incarnation(Arc::new(AtomicU64::new(started_ms)))
    }

    /// The number of now.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// The peer knows this life of the sender's name, and passes over what bears a lower number. Only a process that lives hears this: it
    /// goes on under a higher one. Whether the number has changed; it does not where the peer speaks of this very life, since late mail of
    /// an earlier one came there.
    pub fn raise_above(&self, known: u64) -> bool {
        let higher = known > self.get() && known < HIGHEST;
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
        of_an_earlier_life_with_a_clock_ahead = { 1_000, 1_001 },
        of_this_life = { 700, 700 },
        of_an_earlier_life = { 500, 700 },
        of_what_cannot_be_told = { HIGHEST, 700 },
    )]
    fn a_process_that_lives_outbids_what_a_peer_knows_of_its_name(known: u64, then: u64) {
        let incarnation = Incarnation::new(700);
        let shared = incarnation.clone();
        assert_eq!(incarnation.raise_above(known), then != 700);
        assert_eq!((incarnation.get(), shared.get()), (then, then));
    }
}
