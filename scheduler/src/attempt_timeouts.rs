//! Attempt timeouts: how long a proxy waits for an answer before it sends a repeatable request elsewhere,
//! a wide margin over the usual response time of the function. Pure arithmetic.
//!
//! Invariant: per function, the number of timed-out attempts is limited to a twentieth of the answered
//! ones plus a small constant, since retrying does not help if the whole function is slow.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::{MS, Nanos};

/// Weight of a new sample in the average.
const WEIGHT: f64 = 0.1;
/// Minimum number of answers before a timeout applies.
const MIN_ANSWERS: u32 = 8;
/// Timeout as a multiple of the average response time.
const MEAN_FACTOR: f64 = 8.0;
/// Timeout as a multiple of the longest recent response time.
const MAX_FACTOR: f64 = 2.0;
/// Minimum timeout.
const MIN_TIMEOUT: f64 = (100 * MS) as f64;
/// Decay of the longest response time per answer.
const MAX_DECAY: f64 = 0.98;
/// Timeouts allowed per answered attempt.
const TIMEOUTS_PER_ANSWER: f64 = 0.05;
/// Maximum number of timeouts saved up.
const MAX_CREDIT: f64 = 3.0;

/// Response times of one function, in nanoseconds.
#[derive(Debug, Default)]
struct LatencyStats {
    answers: u32,
    mean: f64,
    recent_max: f64,
    /// Number of attempts that may time out.
    timeout_credit: f64,
}

/// Response times of each function, as seen by one proxy.
#[derive(Debug, Default)]
pub struct AttemptTimeouts(HashMap<CompactString, LatencyStats>);

impl AttemptTimeouts {
    /// Timeout for an attempt at this function; `None` if there are too few samples or too many timeouts.
    pub fn timeout(&self, service: &str) -> Option<Nanos> {
        let seen = self.0.get(service).filter(|s| s.answers >= MIN_ANSWERS && s.timeout_credit >= 1.0)?;
        Some((seen.mean * MEAN_FACTOR).max(seen.recent_max * MAX_FACTOR).max(MIN_TIMEOUT) as Nanos)
    }

    /// Records an answer.
    pub fn answered(&mut self, service: &CompactString, took: Nanos) {
        let took = took as f64;
        let seen = match self.0.get_mut(service) {
            Some(seen) => seen,
            None => self.0.entry(service.clone()).or_default(),
        };
        let weight = if seen.answers == 0 { 1.0 } else { WEIGHT };
        seen.mean += weight * (took - seen.mean);
        seen.recent_max = (seen.recent_max * MAX_DECAY).max(took);
        seen.timeout_credit = (seen.timeout_credit + TIMEOUTS_PER_ANSWER).min(MAX_CREDIT);
        seen.answers = seen.answers.saturating_add(1);
    }

    /// Records a timeout; the next attempt gets more time.
    pub fn timed_out(&mut self, service: &str, took: Nanos) {
        if let Some(seen) = self.0.get_mut(service) {
            seen.recent_max = seen.recent_max.max(took as f64);
            seen.timeout_credit = (seen.timeout_credit - 1.0).max(0.0);
        }
    }

    /// Drops functions that no longer exist.
    pub fn retain(&mut self, is_there: impl Fn(&CompactString) -> bool) {
        self.0.retain(|service, _| is_there(service));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(takes: Nanos, answers: u32) -> AttemptTimeouts {
        let mut timeouts = AttemptTimeouts::default();
        (0..answers).for_each(|_| timeouts.answered(&"f".into(), takes));
        timeouts
    }

    #[yare::parameterized(
        nothing = { 50, 0, None },
        too_little = { 50, 7, None },
        none_to_spare = { 50, 19, None },
        enough = { 50, 40, Some(400) },
        quick = { 2, 40, Some(100) },
    )]
    fn timeout_applies_after_enough_answers(takes_ms: Nanos, answers: u32, within_ms: Option<Nanos>) {
        assert_eq!(seen(takes_ms * MS, answers).timeout("f"), within_ms.map(|ms| ms * MS));
    }

    #[test]
    fn long_answers_and_timeouts_extend_the_timeout() {
        let mut timeouts = seen(50 * MS, 100);
        timeouts.answered(&"f".into(), 300 * MS);
        assert_eq!(timeouts.timeout("f"), Some(600 * MS));
        (0..100).for_each(|_| timeouts.answered(&"f".into(), 50 * MS));
        assert_eq!(timeouts.timeout("f").map(|within| within / MS), Some(400));
        timeouts.timed_out("f", 400 * MS);
        assert_eq!(timeouts.timeout("f"), Some(800 * MS));
    }

    /// If all endpoints of a function become slow, attempts are waited for rather than timed out.
    #[test]
    fn few_attempts_time_out_if_most_are_slow() {
        let (mut timeouts, mut given_up, mut answered) = (seen(50 * MS, 100), 0, 0);
        for _ in 0..1_000 {
            match timeouts.timeout("f").filter(|within| *within < 1_200 * MS) {
                Some(within) => {
                    timeouts.timed_out("f", within);
                    given_up += 1;
                }
                None => {
                    timeouts.answered(&"f".into(), 1_200 * MS);
                    answered += 1;
                }
            }
        }
        assert!(given_up <= 3 && answered >= 997, "{given_up} given up");
        timeouts.retain(|name| name != "f");
        assert_eq!(timeouts.timeout("f"), None);
    }
}
