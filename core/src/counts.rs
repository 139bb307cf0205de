//! How many messages of each class came to which end, counted where the end becomes fact. Nothing hangs on these counts.

use std::collections::BTreeMap;

/// Ends of the messages of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Delivered.
    pub delivered: u64,
    /// Refused at the door, or handed back: trying again is harmless.
    pub refused: u64,
    /// Given up, nothing promised.
    pub failed: u64,
}

impl std::ops::AddAssign for ClassCounts {
    fn add_assign(&mut self, other: Self) {
        self.delivered += other.delivered;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}

/// The counts of all classes, by their positions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts(BTreeMap<usize, ClassCounts>);

impl OutcomeCounts {
    pub(crate) fn of(&mut self, class: usize) -> &mut ClassCounts {
        self.0.entry(class).or_default()
    }

    /// What was counted of a class.
    pub fn count(&self, class: usize) -> ClassCounts {
        self.0.get(&class).copied().unwrap_or_default()
    }
}
