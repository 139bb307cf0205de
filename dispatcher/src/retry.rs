//! Delays of discovery requests at the start and after failures: randomized by a seed, with exponential
//! backoff. No I/O, no clock.
//!
//! Invariant: N dispatchers that fail together retry [`SPACING`] apart on average, or within [`MAX_SPAN`] if
//! they are many, and half as often after the next failure; those that start together send their first
//! requests almost at once. Discovery can serve one request from every dispatcher in 2 to 8 s at any scale.
//! If requests come faster, it works on requests whose callers have given up after their 2 s, and answers
//! none in time as long as that continues.

use std::time::Duration;

use millpost::RandomSource;

/// Average spacing of the requests of a fleet.
const SPACING: Duration = Duration::from_millis(80);
/// The time in which discovery can serve one request from each dispatcher, however many there are.
const MAX_SPAN: Duration = Duration::from_secs(8);
/// Maximum delay of the first request. Changes that the agent has received meanwhile, including drains, count
/// as reported and must be observed within 500 ms. Longer delays occur only after failures.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(300);
/// Limit of the mean delay, in addition to twice the mean of the first one.
const MAX_MEAN: Duration = Duration::from_secs(2);

/// The retry delays of one of `callers` clients that may all start or fail at the same time.
pub struct Retry {
    span: Duration,
    failures: u32,
    dice: RandomSource,
}

impl Retry {
    /// The delays of one of `callers` clients; each must use a different seed.
    pub fn new(callers: usize, seed: u64) -> Self {
        let callers = u32::try_from(callers.max(1)).unwrap_or(u32::MAX);
        Retry {
            span: SPACING.saturating_mul(callers).min(MAX_SPAN),
            failures: 0,
            dice: RandomSource::seeded(seed),
        }
    }

    /// The delay before the first request; until then the stored list is used.
    pub fn first(&mut self) -> Duration {
        self.span.min(MAX_FIRST_DELAY).mul_f64(self.dice.next_f64())
    }

    /// Resets the backoff after a successful request.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// The delay before the next request after a failure: 0.5 to 1.5 times the mean.
    pub fn failed(&mut self) -> Duration {
        let mean = self.span.saturating_mul(1 << self.failures.min(16)).min(MAX_MEAN + 2 * self.span);
        self.failures += 1;
        mean.mul_f64(0.5 + self.dice.next_f64())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Simulates discovery, which serves requests one after the other, each for `each` seconds, and does not
    /// notice that callers give up after 2 s. Returns the seconds until the last caller has an answer, and
    /// the number of requests.
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
    fn fleet_recovers_its_list_soon_after_a_simultaneous_restart() {
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

    /// Reproduces an overload seen in production: 100 callers with a constant retry delay of 50 ms have no
    /// answer after two minutes.
    #[test]
    fn constant_short_delay_keeps_discovery_overloaded() {
        assert!(until_all_answered(100, 0.08, &mut |_| 0.0, &mut |_| 0.05).0.is_infinite());
    }

    #[test]
    fn delays_grow_with_failures_and_fleet_size_and_reset_after_success() {
        let within = |pause: Duration, mean: u64| {
            let mean = Duration::from_millis(mean);
            assert!(pause >= mean / 2 && pause < mean * 3 / 2, "{pause:?} round {mean:?}");
        };
        let (mut few, mut many) = (Retry::new(2, 1), Retry::new(100, 1));
        assert!(few.first() < Duration::from_millis(160) && many.first() < MAX_FIRST_DELAY);
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
