//! When to ask again what was not answered: pauses that grow with each failure and are spread by a seed. No I/O, no clock.
//!
//! Kept bound: all N dispatchers of a fleet that fail together ask again at [`EACH`] apart in the mean, whatever N is,
//! and half as often with each further failure. A pause that is the same for all, or that does not grow with the fleet,
//! has them meet again, and what is overbooked once is overbooked for good.

use std::time::Duration;

use millpost::Dice;
use rand_core::RngCore;

/// How far apart the calls of a fleet are after its first failure, in the mean.
const EACH: Duration = Duration::from_millis(20);
/// No pause is longer in the mean: an instance that has not asked for 10 s counts as told.
const LONGEST: Duration = Duration::from_secs(8);

/// The pauses of one caller among `callers` that may all fail at once.
pub struct Retry {
    first: Duration,
    failures: u32,
    dice: Dice,
}

impl Retry {
    /// One of so many callers; the seed is its own.
    pub fn new(callers: usize, seed: u64) -> Self {
        let callers = u32::try_from(callers.max(2)).unwrap_or(u32::MAX);
        Retry { first: EACH.saturating_mul(callers).min(LONGEST), failures: 0, dice: Dice::seeded(seed) }
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// It failed: how long to wait before the next call, half to one and a half of the mean.
    pub fn failed(&mut self) -> Duration {
        let mean = self.first.saturating_mul(1 << self.failures.min(16)).min(LONGEST);
        self.failures += 1;
        mean.mul_f64(0.5 + f64::from(self.dice.next_u32()) / 4_294_967_296.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Seconds until all of `callers` that ask at once have been answered, and how many calls that took, by a discovery
    /// that answers one call in `each` and turns away, at the same cost of a tenth, what would wait for over 2 s.
    fn until_all_answered(
        callers: usize,
        each: f64,
        pause: &mut dyn FnMut(usize, u32) -> f64,
    ) -> (f64, usize) {
        let mut due: Vec<(f64, usize, u32)> = (0..callers).map(|n| (0.0, n, 0)).collect();
        let (mut busy_until, mut calls, mut last) = (0.0f64, 0, 0.0f64);
        while !due.is_empty() {
            due.sort_by(|a, b| b.0.total_cmp(&a.0));
            let Some((now, n, failures)) = due.pop() else { break };
            if now > 60.0 {
                return (f64::INFINITY, calls);
            }
            calls += 1;
            if busy_until.max(now) + each - now > 2.0 {
                busy_until = busy_until.max(now) + each / 10.0;
                due.push((now + pause(n, failures), n, failures + 1));
            } else {
                busy_until = busy_until.max(now) + each;
                last = busy_until;
            }
        }
        (last, calls)
    }

    #[test]
    fn a_fleet_that_restarts_at_once_has_its_list_again_soon() {
        for (callers, all_calls) in [(3, 2.0), (30, 4.0), (100, 2.0), (100, 8.0), (300, 8.0)] {
            let mut retries: Vec<_> = (0..callers).map(|n| Retry::new(callers, n as u64)).collect();
            let each = all_calls / callers as f64;
            let mut pause = |n: usize, _| retries[n].failed().as_secs_f64();
            let (took, calls) = until_all_answered(callers, each, &mut pause);
            assert!(took < 3.0 * all_calls + 10.0, "{callers}: {took} s");
            assert!(calls < 6 * callers, "{callers}: {calls} calls");
        }
    }

    /// What was seen in the field: a hundred, each again after 50 ms, are still turned away a minute later.
    #[test]
    fn a_short_pause_that_is_the_same_for_all_keeps_discovery_overbooked() {
        let (took, _) = until_all_answered(100, 0.08, &mut |_, _| 0.05);
        assert!(took.is_infinite(), "{took}");
    }

    #[test]
    fn pauses_grow_by_the_failure_and_with_the_fleet_and_begin_anew_after_an_answer() {
        let within = |pause: Duration, mean: u64| {
            let mean = Duration::from_millis(mean);
            assert!(pause >= mean / 2 && pause < mean * 3 / 2, "{pause:?} round {mean:?}");
        };
        let (mut few, mut many) = (Retry::new(2, 1), Retry::new(100, 1));
        for mean in [40, 80, 160] {
            within(few.failed(), mean);
        }
        for mean in [2_000, 4_000, 8_000, 8_000] {
            within(many.failed(), mean);
        }
        many.answered();
        within(many.failed(), 2_000);
        (0..100).for_each(|_| assert!(few.failed() < LONGEST * 3 / 2));
    }
}
