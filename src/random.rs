//! Where the module's random numbers come from. In service a seeded generator; for exploring what may happen, the
//! caller says for each draw whether the least or the greatest number comes.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Control;

/// The source of a module's random numbers.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub enum RandomSource {
    /// A generator with a seed.
    Seeded(Pcg64Mcg),
    /// The least number for each bit that is not set, the greatest for each that is, the lowest bit first; `drawn`
    /// counts the draws.
    Scripted {
        /// What is to come.
        bits: u32,
        /// Draws so far.
        drawn: u32,
    },
}

impl RandomSource {
    /// A generator with this seed.
    pub fn seeded(seed: u64) -> Self {
        RandomSource::Seeded(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number from 0 on and under 1.
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
    /// Other dice from now on; the ones before are given back.
    pub fn set_random_source(&mut self, dice: RandomSource) -> RandomSource {
        std::mem::replace(self.dice(), dice)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn told_dice_give_the_two_ends_as_told_and_count() {
        let mut dice = RandomSource::Scripted { bits: 0b101, drawn: 0 };
        let drawn = std::iter::repeat_with(|| dice.next_u32()).take(4).collect::<Vec<_>>();
        assert_eq!(drawn, [u32::MAX, 0, u32::MAX, 0]);
        assert!(matches!(dice, RandomSource::Scripted { drawn: 4, .. }));
        assert_eq!(RandomSource::Scripted { bits: u32::MAX, drawn: 40 }.next_u32(), 0);
    }
}
