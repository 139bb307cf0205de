//! When to ask discovery, first and after a failure: moments that are spread by a seed, and pauses that grow. No I/O, no
//! clock.
//!
//! Kept bound: the N dispatchers of a fleet that fail together ask again [`EACH`] apart in the mean, or within [`ALL`]
//! where they are more, and half as often after the next failure; those that start together ask once at once. Discovery can take one call from every
//! dispatcher in 2 to 8 s at any scale; asked faster, it works on calls that were given up after their 2 s, and answers
//! none in time for as long as that goes on.

use std::time::Duration;

use millpost::RandomSource;

/// How far apart the calls of a fleet are, in the mean.
const EACH: Duration = Duration::from_millis(80);
/// The time in which discovery can take one call from each, however many they are.
const ALL: Duration = Duration::from_secs(8);
/// The first call comes within this: what the agent has heard while nobody asked it counts as told, a drain too, and
/// is to be heeded 500 ms later. Pauses come only after a failure.
const FIRST: Duration = Duration::from_millis(300);
/// What the mean of the pauses grows to, beside twice the first one.
const LONGEST: Duration = Duration::from_secs(2);

/// The pauses of one caller among `callers` that may all start, and fail, at once.
pub struct Retry {
    span: Duration,
    failures: u32,
    dice: RandomSource,
}

impl Retry {
    /// One of so many callers; the seed is its own.
    pub fn new(callers: usize, seed: u64) -> Self {
        let callers = u32::try_from(callers.max(1)).unwrap_or(u32::MAX);
        Retry { span: EACH.saturating_mul(callers).min(ALL), failures: 0, dice: RandomSource::seeded(seed) }
    }

    /// How long to wait before the first call, while the list from before serves.
    pub fn first(&mut self) -> Duration {
        self.span.min(FIRST).mul_f64(self.dice.next_f64())
    }

    /// It was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// It failed: how long to wait before the next call, half to one and a half of the mean.
    pub fn failed(&mut self) -> Duration {
        let mean = self.span.saturating_mul(1 << self.failures.min(16)).min(LONGEST + 2 * self.span);
        self.failures += 1;
        mean.mul_f64(0.5 + self.dice.next_f64())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Seconds until the last of `callers` has an answer, and how many calls that took. Discovery works on one call after
    /// the other, for `each` seconds, and does not know who has given up after 2 s.
    fn until_all_answered(
        callers: usize,
        each: f64,
        first: &mut dyn FnMut(usize) -> f64,
        pause: &mut dyn FnMut(usize) -> f64,
    ) -> (f64, usize) {
        let mut due: Vec<(f64, usize)> = (0..callers).map(|n| (first(n), n)).collect();
        let (mut busy_until, mut calls, mut last) = (0.0f64, 0, 0.0f64);
        while !due.is_empty() {
            due.sort_by(|a, b| b.0.total_cmp(&a.0));
            let Some((now, n)) = due.pop() else { break };
            if now > 120.0 {
                return (f64::INFINITY, calls);
            }
            calls += 1;
            busy_until = busy_until.max(now) + each;
            if busy_until - now > 2.0 {
                due.push((now + 2.0 + pause(n), n));
            } else {
                last = busy_until;
            }
        }
        (last, calls)
    }

    #[test]
    fn a_fleet_that_restarts_at_once_has_its_list_again_soon() {
        for (callers, all_calls) in [(3, 2.0), (30, 4.0), (100, 2.0), (100, 8.0), (1_000, 8.0)] {
            let retries: Vec<_> = (0..callers).map(|n| Retry::new(callers, n as u64)).collect();
            let (retries, each) = (std::cell::RefCell::new(retries), all_calls / callers as f64);
            let mut first = |n: usize| retries.borrow_mut()[n].first().as_secs_f64();
            let mut pause = |n: usize| retries.borrow_mut()[n].failed().as_secs_f64();
            let (took, calls) = until_all_answered(callers, each, &mut first, &mut pause);
            assert!(took < 3.0 * all_calls + 16.0, "{callers}: {took} s");
            assert!(calls < 2 * callers, "{callers}: {calls} calls");
        }
    }

    /// What was seen in the field: a hundred that ask again after 50 ms have no answer two minutes later.
    #[test]
    fn a_short_pause_that_is_the_same_for_all_keeps_discovery_overbooked() {
        assert!(until_all_answered(100, 0.08, &mut |_| 0.0, &mut |_| 0.05).0.is_infinite());
    }

    #[test]
    fn pauses_grow_by_the_failure_and_with_the_fleet_and_begin_anew_after_an_answer() {
        let within = |pause: Duration, mean: u64| {
            let mean = Duration::from_millis(mean);
            assert!(pause >= mean / 2 && pause < mean * 3 / 2, "{pause:?} round {mean:?}");
        };
        let (mut few, mut many) = (Retry::new(2, 1), Retry::new(100, 1));
        assert!(few.first() < Duration::from_millis(160) && many.first() < FIRST);
        for mean in [160, 320, 640, 1_280, 2_320, 2_320] {
            within(few.failed(), mean);
        }
        for mean in [8_000, 16_000, 18_000, 18_000] {
            within(many.failed(), mean);
        }
        many.answered();
        within(many.failed(), 8_000);
        within(Retry::new(usize::MAX, 1).failed(), 8_000);
    }
}
