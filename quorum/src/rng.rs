//! A seeded random number generator for back-off delays: the same seed gives the same delays.

/// A SplitMix64 generator.
#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from `min` to `max`, both inclusive.
    pub(crate) fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.next() % (max.saturating_sub(min) + 1)
    }
}
