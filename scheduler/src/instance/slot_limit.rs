//! How many of an instance's slots are used after it has said that it is full.
//!
//! An instance that is full by its own count while a slot is free by its owner's runs something that the owner does not count: a request
//! that was given up and goes on, or one that another owner gave. One such request makes it turn away each further one that is sent into
//! the slot that only seems free; so that slot is left alone for a while, and tried again after longer and longer pauses.
//!
//! Invariant: what is left is never more than the instance was seen to hold, until a pause has passed.

use crate::{MS, Nanos, SECOND};

/// The first pause, where the instance holds others of this owner's; it doubles with each refusal that follows.
const PAUSE: Nanos = 500 * MS;
/// ... and where it holds none: nothing could go there at all.
const PAUSE_ALONE: Nanos = 50 * MS;
const LONGEST_PAUSE: Nanos = 2 * SECOND;
/// A refusal so long after the last pause begins anew.
const FORGOTTEN: Nanos = 2 * SECOND;

/// The slots that are left of an instance.
#[derive(Debug, Default)]
pub(super) struct SlotLimit {
    slots: usize,
    pause_until: Nanos,
    pause: Nanos,
}

impl SlotLimit {
    /// It has turned a request away as full while so many others of this owner's were there.
    pub fn rejected(&mut self, now: Nanos, others: usize) {
        if now < self.pause_until {
            // Sent before the first refusal was heard of.
            self.slots = self.slots.min(others);
            return;
        }
        let first = if others > 0 { PAUSE } else { PAUSE_ALONE };
        let again = self.pause > 0 && now < self.pause_until + FORGOTTEN;
        self.pause = if again { (self.pause * 2).clamp(first, LONGEST_PAUSE) } else { first };
        (self.slots, self.pause_until) = (others, now + self.pause);
    }

    /// How many of all its slots may be used: one more with each pause that has passed.
    pub fn usable(&self, now: Nanos, all: usize) -> usize {
        if self.pause == 0 {
            return all;
        }
        let passed = if now < self.pause_until { 0 } else { 1 + (now - self.pause_until) / self.pause };
        all.min(self.slots.saturating_add(passed as usize))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Refusals while a request that nobody counts holds one slot, and how long it takes until all are used again after it.
    fn with_one_uncounted(all: usize, lasts: Nanos) -> (usize, Nanos) {
        let (mut narrow, mut refusals, mut now) = (SlotLimit::default(), 0, 0);
        loop {
            let used = narrow.usable(now, all);
            if now >= lasts && used == all {
                return (refusals, now - lasts);
            }
            // All that is left is used, and the rest waits.
            if now < lasts && used == all {
                narrow.rejected(now, all - 1);
                refusals += 1;
            }
            now += 10 * MS;
        }
    }

    #[yare::parameterized(
        one_slot = { 1, 5 * SECOND, 8, 2 * SECOND },
        eight_slots = { 8, 5 * SECOND, 5, 2 * SECOND },
        short = { 8, 100 * MS, 1, 500 * MS },
    )]
    fn a_slot_that_only_seems_free_is_tried_seldom(all: usize, lasts: Nanos, most: usize, back: Nanos) {
        let (refusals, late) = with_one_uncounted(all, lasts);
        assert!(refusals <= most && late <= back, "{refusals} refusals, {late} ns");
    }

    #[test]
    fn several_that_were_sent_at_once_leave_what_the_instance_holds() {
        let mut narrow = SlotLimit::default();
        assert_eq!(narrow.usable(0, 8), 8);
        [7, 6, 5].into_iter().for_each(|others| narrow.rejected(MS, others));
        assert_eq!(narrow.usable(2 * MS, 8), 5);
        // One at a time: they may all be there still.
        assert_eq!(narrow.usable(MS + PAUSE, 8), 6);
        assert_eq!(narrow.usable(MS + 2 * PAUSE, 8), 7);
        assert_eq!(narrow.usable(MS + 10 * PAUSE, 8), 8);
    }
}
