//! Chance from a seed; the same seed gives the same day.

use millpost::RandomSource;

use crate::{MS, Time};

/// A stream of chance.
pub struct Rng(RandomSource);

impl Rng {
    /// The stream of this seed.
    pub fn new(seed: u64) -> Self {
        Rng(RandomSource::seeded(seed))
    }

    /// From 0 on and under 1.
    pub fn unit(&mut self) -> f64 {
        self.0.next_f64()
    }

    /// Under `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        (self.unit() * n as f64) as usize
    }

    /// A time between two.
    pub fn between(&mut self, from: Time, to: Time) -> Time {
        from + (self.unit() * to.saturating_sub(from) as f64) as Time
    }

    /// With this probability.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// A pause between two arrivals of so many a second.
    pub fn exponential_gap(&mut self, per_s: f64) -> Time {
        let gap = -(1.0 - self.unit()).ln() / per_s.max(1e-6);
        (gap.min(3_600.0) * 1e9) as Time
    }

    /// Around a mean, in milliseconds, as durations of work are: few are far above it.
    pub fn log_normal_ms(&mut self, mean_ms: f64, spread: f64) -> Time {
        let (one, two) = (1.0 - self.unit(), self.unit());
        let normal = (-2.0 * one.ln()).sqrt() * (std::f64::consts::TAU * two).cos();
        let factor = (normal * spread - spread * spread / 2.0).exp().min(6.0);
        (mean_ms * factor * MS as f64) as Time
    }

    /// A seed of its own.
    pub fn seed(&mut self) -> u64 {
        (self.unit() * 4_294_967_296.0) as u64 | ((self.unit() * 4_294_967_296.0) as u64) << 32
    }
}
