//! What a destination takes, where nobody tells it: worked out from the counts of all dispatchers, second by second.
//!
//! Nothing is known until somebody is refused while others are served. From then on: what was served in a second with
//! refusals, falling by no more than a part a second (an outage that begins within a second is no small limit), and
//! growing by a little in each second in which most of it was used and next to nobody refused.

use crate::Nanos;
use crate::frame::Calls;

/// Refusals under this share of the calls are none.
const FEW: f64 = 0.03;
/// It falls by no more than this a second.
const FALL: f64 = 0.8;
/// It grows by this a second, while it is used.
const GROW: f64 = 1.04;
/// Used: more than this share of it was served.
const USED: f64 = 0.7;
const SECOND: f64 = 1e9;

/// What is known of one destination's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitEstimator {
    last: Option<(Nanos, Calls)>,
    known: f64,
}

impl LimitEstimator {
    /// Calls a second; 0 until known.
    pub fn per_second(&self) -> f64 {
        self.known
    }

    /// The sum of all counts by now. Looked at about once a second.
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
        // Counts of a part that was cut off come in one go: nothing is learnt from a second so late.
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

    /// Plays seconds of calls offered against a limit.
    fn play(limit: &mut LimitEstimator, sum: &mut Calls, from: u64, offered: &[(u64, u64)]) {
        for (n, (served, refused)) in offered.iter().enumerate() {
            (sum.served, sum.refused) = (sum.served + served, sum.refused + refused);
            limit.step((from + n as u64 + 1) * 1_000_000_000, *sum);
        }
    }

    #[test]
    fn a_limit_is_what_is_served_while_some_are_refused() {
        let (mut limit, mut sum) = (LimitEstimator::default(), Calls::default());
        limit.step(0, sum);
        play(&mut limit, &mut sum, 0, &[(90, 0), (95, 1)]);
        assert_eq!(limit.per_second(), 0.0, "next to nobody was refused");
        play(&mut limit, &mut sum, 2, &[(60, 70), (61, 40)]);
        assert_eq!(limit.per_second(), 61.0);
        // It grows while it is used, and not while it is not.
        play(&mut limit, &mut sum, 4, &[(60, 0), (10, 0), (10, 0)]);
        assert!((limit.per_second() - 61.0 * GROW).abs() < 1e-9);
        // A limit that falls is followed, though not at once; in an outage nothing is learnt.
        play(&mut limit, &mut sum, 7, &[(30, 40), (0, 300), (0, 300)]);
        assert!(limit.per_second() > 50.0);
        play(&mut limit, &mut sum, 10, &[(30, 40); 6]);
        assert!((30.0..=31.0).contains(&limit.per_second()), "{}", limit.per_second());
    }
}
