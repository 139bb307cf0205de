//! Seeded random numbers; the same seed gives the same sequence.

use millpost::RandomSource;

use crate::{MS, Time};

/// A pseudorandom number generator.
pub struct Rng(RandomSource);

impl Rng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Rng(RandomSource::seeded(seed))
    }

    /// Uniform in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.0.next_f64()
    }

    /// Uniform in `0..n`; 0 if `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        (self.unit() * n as f64) as usize
    }

    /// Uniform in `[from, to)`.
    pub fn between(&mut self, from: Time, to: Time) -> Time {
        from + (self.unit() * to.saturating_sub(from) as f64) as Time
    }

    /// Returns true with probability `share`.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// Exponentially distributed gap between arrivals at the rate `per_s`, at most one hour.
    pub fn exponential_gap(&mut self, per_s: f64) -> Time {
        let gap = -(1.0 - self.unit()).ln() / per_s.max(1e-6);
        (gap.min(3_600.0) * 1e9) as Time
    }

    /// Log-normally distributed duration with the mean `mean_ms` milliseconds, capped at six times the mean.
    pub fn log_normal_ms(&mut self, mean_ms: f64, spread: f64) -> Time {
        let (one, two) = (1.0 - self.unit(), self.unit());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        let factor = (normal * spread - spread * spread / 2.0).exp().min(6.0);
        (mean_ms * factor * MS as f64) as Time
    }

    /// A seed for an independent generator.
    pub fn seed(&mut self) -> u64 {
        (self.unit() * 4_294_967_296.0) as u64 | ((self.unit() * 4_294_967_296.0) as u64) << 32
    }
}
