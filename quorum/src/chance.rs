//! Pauses by chance, from a seed that is handed in; keeps: the same seed gives the same pauses.

/// A small generator (splitmix64).
#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub(crate) struct Chance(u64);

impl Chance {
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

    /// Between `least` and `most`, both included.
    pub(crate) fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.next() % (most.saturating_sub(least) + 1)
    }
}
