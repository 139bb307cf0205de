//! What was seen of one function on one worker: a mean of logarithms that fades, with a bound on what one answer does to it.

use crate::{Nanos, SECOND};

/// So many answers count, at most: older ones give way to newer ones.
const MOST: f64 = 24.0;
/// What was seen counts half after this time.
const HALF: f64 = 20.0 * SECOND as f64;
/// An answer counts as no further from the mean than this: 3.3 times.
const REACH: f64 = 1.2;
/// Variance of the logarithm that is taken until more is known, and what that is worth in answers.
const USUAL: (f64, f64) = (0.5, 12.0);
/// It is never taken for less.
const LEAST: f64 = 0.04;
/// Less than this is as good as nothing.
pub(crate) const NOTHING: f64 = 0.25;

/// One function on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Cell {
    /// The mean of log(nanoseconds).
    pub mean: f64,
    /// The sum of the answers' weights as of `at`, the newest at 1, and the sum of their squares.
    weight: f64,
    squared: f64,
    /// The mean square of what answers were away from it.
    spread: f64,
    pub at: Nanos,
    /// The worker is slow for this function.
    pub slow: bool,
}

impl Cell {
    pub fn new(now: Nanos, log: f64) -> Self {
        Cell { mean: log, weight: 1.0, squared: 1.0, spread: 0.0, at: now, slow: false }
    }

    /// What is left of that weight.
    pub fn weight(&self, now: Nanos) -> f64 {
        self.weight * self.left(now)
    }

    fn left(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / HALF).exp2()
    }

    /// The answers that its mean is worth.
    pub fn worth(&self, now: Nanos) -> f64 {
        self.weight * self.weight / self.squared * self.left(now)
    }

    pub fn saw(&mut self, now: Nanos, log: f64) {
        let kept = self.left(now).min((MOST - 1.0) / self.weight);
        self.weight = self.weight * kept + 1.0;
        self.squared = self.squared * kept * kept + 1.0;
        self.at = self.at.max(now);
        let away = (log - self.mean).clamp(-REACH, REACH);
        let part = 1.0 / self.weight;
        self.mean += part * away;
        self.spread += part * (away * away * (1.0 - part) - self.spread);
    }

    /// The sum of squares of what answers were away from the mean, and how many those are.
    pub fn squares(&self, now: Nanos) -> (f64, f64) {
        let worth = self.worth(now);
        (worth * self.spread, worth)
    }
}

/// The variance of one answer, from the sums of [`Cell::squares`].
pub(crate) fn variance((squares, weight): (f64, f64)) -> f64 {
    ((squares + USUAL.0 * USUAL.1) / (weight + USUAL.1)).max(LEAST)
}
