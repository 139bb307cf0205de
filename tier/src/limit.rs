//! Estimates an unknown rate limit of a destination from the call counts of all dispatchers, once per second.
//!
//! The limit is unknown until calls are refused while others are served. From then on the estimate is the
//! number of calls served in a second with refusals. It falls by a bounded factor per second, because an
//! outage that begins within a second does not indicate a low limit, and it grows slightly in each second in
//! which most of it was used with almost no refusals.

use crate::Nanos;
use crate::frame::Calls;

/// Refusals below this share of the calls are ignored.
const FEW: f64 = 0.03;
/// Smallest factor by which the estimate falls per second.
const FALL: f64 = 0.8;
/// Factor by which the estimate grows per second while it is used.
const GROW: f64 = 1.04;
/// The limit counts as used if more than this share of it was served.
const USED: f64 = 0.7;
const SECOND: f64 = 1e9;

/// Estimate of one destination's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitEstimator {
    last: Option<(Nanos, Calls)>,
    known: f64,
}

impl LimitEstimator {
    /// Returns the estimate in calls per second; 0 if unknown.
    pub fn per_second(&self) -> f64 {
        self.known
    }

    /// Updates the estimate from the current sum of all counts. Samples it about once per second.
    pub fn step(&mut self, now: Nanos, sum: Calls) {
        let Some((then, before)) = self.last else {
            self.last = Some((now, sum));
            return;
        };
        let passed = now.saturating_sub(then) as f64 / SECOND;
        if passed < 0.95 {
            return;
        }
        self.last = Some((now, sum));
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / passed;
        let (served, refused) = (rate(sum.served, before.served), rate(sum.refused, before.refused));
        // After a partition, counts arrive all at once: an interval that is too long is not used.
        if passed > 5.0 || served <= 0.0 {
            return;
        }
        if refused > FEW * (served + refused) && refused > 1.0 {
            self.known = if self.known > 0.0 { served.max(self.known * FALL) } else { served };
        } else if served > USED * self.known {
            self.known *= GROW;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Simulates seconds of offered calls against a limit.
    fn play(limit: &mut LimitEstimator, sum: &mut Calls, from: u64, offered: &[(u64, u64)]) {
        for (n, (served, refused)) in offered.iter().enumerate() {
            (sum.served, sum.refused) = (sum.served + served, sum.refused + refused);
            limit.step((from + n as u64 + 1) * 1_000_000_000, *sum);
        }
    }

    #[test]
    fn estimate_is_the_rate_served_while_calls_are_refused() {
        let (mut limit, mut sum) = (LimitEstimator::default(), Calls::default());
        limit.step(0, sum);
        play(&mut limit, &mut sum, 0, &[(90, 0), (95, 1)]);
        assert_eq!(limit.per_second(), 0.0, "next to nobody was refused");
        play(&mut limit, &mut sum, 2, &[(60, 70), (61, 40)]);
        assert_eq!(limit.per_second(), 61.0);
        // The estimate grows only while it is used.
        play(&mut limit, &mut sum, 4, &[(60, 0), (10, 0), (10, 0)]);
        assert!((limit.per_second() - 61.0 * GROW).abs() < 1e-9);
        // A falling limit is followed gradually; an outage does not change the estimate.
        play(&mut limit, &mut sum, 7, &[(30, 40), (0, 300), (0, 300)]);
        assert!(limit.per_second() > 50.0);
        play(&mut limit, &mut sum, 10, &[(30, 40); 6]);
        assert!((30.0..=31.0).contains(&limit.per_second()), "{}", limit.per_second());
    }
}
