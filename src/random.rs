//! Random numbers for decisions: a seeded generator in service; for state exploration, a script that makes
//! each draw the smallest or the largest number.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Control;

/// A source of random numbers.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum RandomSource {
    /// A seeded generator.
    Seeded(Pcg64Mcg),
    /// A script: draw n gives the largest number if bit n of `bits` is set, else the smallest.
    Scripted {
        /// The script; bit 0 is for the first draw.
        bits: u32,
        /// Draws so far.
        drawn: u32,
    },
}

impl RandomSource {
    /// Creates a generator with this seed.
    pub fn seeded(seed: u64) -> Self {
        RandomSource::Seeded(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Draws a number in `0.0..1.0`.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }
}

impl RngCore for RandomSource {
    fn next_u32(&mut self) -> u32 {
        match self {
            RandomSource::Seeded(generator) => generator.next_u32(),
            RandomSource::Scripted { bits, drawn } => {
                let set = bits.checked_shr(*drawn).unwrap_or(0) & 1 == 1;
                *drawn += 1;
                if set { u32::MAX } else { 0 }
            }
        }
    }
    fn next_u64(&mut self) -> u64 {
        u64::from(self.next_u32()) << 32 | u64::from(self.next_u32())
    }
    fn fill_bytes(&mut self, dst: &mut [u8]) {
        rand_core::impls::fill_bytes_via_next(self, dst);
    }
}

impl Control {
    /// Replaces the source of random numbers and returns the previous one.
    pub fn set_random_source(&mut self, source: RandomSource) -> RandomSource {
        std::mem::replace(self.rng(), source)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scripted_source_draws_the_extremes_and_counts_draws() {
        let mut source = RandomSource::Scripted { bits: 0b101, drawn: 0 };
        let drawn = std::iter::repeat_with(|| source.next_u32()).take(4).collect::<Vec<_>>();
        assert_eq!(drawn, [u32::MAX, 0, u32::MAX, 0]);
        assert!(matches!(source, RandomSource::Scripted { drawn: 4, .. }));
        assert_eq!(RandomSource::Scripted { bits: u32::MAX, drawn: 40 }.next_u32(), 0);
    }
}
