//! The observations of one function on one worker: a decaying mean of logarithms, robust against single
//! outliers.

use crate::{Nanos, SECOND};

/// The largest total weight of the observations: beyond it older ones give way to newer ones.
const MAX_WEIGHT: f64 = 24.0;
/// An observation's weight halves after this time.
const HALF_LIFE: f64 = 20.0 * SECOND as f64;
/// An observation is clamped to this distance from the mean, a factor of 3.3.
const MAX_DEVIATION: f64 = 1.2;
/// The prior variance of the logarithm, and its weight in observations.
const PRIOR: (f64, f64) = (0.5, 12.0);
/// The lower bound of a variance.
const MIN_VARIANCE: f64 = 0.04;
/// A cell with less weight than this is dropped.
pub(crate) const NEGLIGIBLE_WEIGHT: f64 = 0.25;

/// The estimate for one function on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Cell {
    /// The mean of log(nanoseconds).
    pub mean: f64,
    /// The sum of the observations' weights as of `at`, where the newest has weight 1.
    weight: f64,
    /// The sum of the squares of these weights.
    squared_weight: f64,
    /// The mean squared deviation of the observations from the mean.
    mean_square: f64,
    /// When the newest observation was made.
    pub at: Nanos,
    /// Whether the worker is slow for this function.
    pub slow: bool,
}

impl Cell {
    pub fn new(now: Nanos, log: f64) -> Self {
        Cell { mean: log, weight: 1.0, squared_weight: 1.0, mean_square: 0.0, at: now, slow: false }
    }

    /// The total weight of the observations at `now`.
    pub fn weight(&self, now: Nanos) -> f64 {
        self.weight * self.decay(now)
    }

    fn decay(&self, now: Nanos) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / HALF_LIFE).exp2()
    }

    /// The effective number of observations behind the mean.
    pub fn effective_count(&self, now: Nanos) -> f64 {
        self.weight * self.weight / self.squared_weight * self.decay(now)
    }

    /// Adds an observation of log(nanoseconds).
    pub fn observe(&mut self, now: Nanos, log: f64) {
        let kept = self.decay(now).min((MAX_WEIGHT - 1.0) / self.weight);
        self.weight = self.weight * kept + 1.0;
        self.squared_weight = self.squared_weight * kept * kept + 1.0;
        self.at = self.at.max(now);
        let deviation = (log - self.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let share = 1.0 / self.weight;
        self.mean += share * deviation;
        self.mean_square += share * (deviation * deviation * (1.0 - share) - self.mean_square);
    }

    /// The sum of the squared deviations from the mean, and the effective number of observations.
    pub fn squared_deviations(&self, now: Nanos) -> (f64, f64) {
        let count = self.effective_count(now);
        (count * self.mean_square, count)
    }
}

/// The variance of one observation, from the sums of [`Cell::squared_deviations`] and the prior.
pub(crate) fn variance((squares, count): (f64, f64)) -> f64 {
    ((squares + PRIOR.0 * PRIOR.1) / (count + PRIOR.1)).max(MIN_VARIANCE)
}
