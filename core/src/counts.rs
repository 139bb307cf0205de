//! Outcome counts of messages by class. Statistics only: no behavior depends on them.

use std::collections::BTreeMap;

/// Counts of the messages of one class by their final outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Delivered.
    pub delivered: u64,
    /// Refused on submission or later; resubmitting is harmless.
    pub refused: u64,
    /// Failed; may or may not have been delivered.
    pub failed: u64,
}

impl std::ops::AddAssign for ClassCounts {
    fn add_assign(&mut self, other: Self) {
        self.delivered += other.delivered;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

/// The counts of all classes, by class index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts(BTreeMap<usize, ClassCounts>);

impl OutcomeCounts {
    pub(crate) fn of(&mut self, class: usize) -> &mut ClassCounts {
        self.0.entry(class).or_default()
    }

    /// The counts of a class.
    pub fn count(&self, class: usize) -> ClassCounts {
        self.0.get(&class).copied().unwrap_or_default()
    }
}
