//! Limit on the used slots of an instance that has reported being full.
//!
//! An instance that is full by its own count, while its owner counts a free slot, runs a request that the
//! owner does not know of: one that was abandoned and goes on, or one granted by another owner. While it
//! lasts, every further request sent into the seemingly free slot is rejected. That slot is therefore left
//! unused for a while and probed again at increasing intervals.
//!
//! Invariant: until a pause has passed, the limit does not exceed what the instance was seen to hold.

use crate::{MS, Nanos, SECOND};

/// First pause if the instance holds other requests of this owner; doubles with each further rejection.
const PAUSE: Nanos = 500 * MS;
/// First pause if it holds none, since otherwise it could not be used at all.
const PAUSE_ALONE: Nanos = 50 * MS;
const LONGEST_PAUSE: Nanos = 2 * SECOND;
/// A rejection this long after the last pause starts again with the first pause.
const FORGOTTEN: Nanos = 2 * SECOND;

/// Slot limit of one instance.
#[derive(Debug, Default)]
pub(super) struct SlotLimit {
    slots: usize,
    pause_until: Nanos,
    pause: Nanos,
}

impl SlotLimit {
    /// Records a rejection while `others` other requests of this owner were running.
    pub fn rejected(&mut self, now: Nanos, others: usize) {
        if now < self.pause_until {
            // Sent before the first rejection arrived.
            self.slots = self.slots.min(others);
            return;
        }
        let first = if others > 0 { PAUSE } else { PAUSE_ALONE };
        let again = self.pause > 0 && now < self.pause_until + FORGOTTEN;
        self.pause = if again { (self.pause * 2).clamp(first, LONGEST_PAUSE) } else { first };
        (self.slots, self.pause_until) = (others, now + self.pause);
    }

    /// Usable slots out of `all`: one more for each pause that has passed.
    pub fn usable(&self, now: Nanos, all: usize) -> usize {
        if self.pause == 0 {
            return all;
        }
        all.min(self.slots.saturating_add(self.pauses_passed(now) as usize))
    }

    /// Returns, for each slot out of `all` that is not usable now, when it will be.
    pub fn unusable_until(&self, now: Nanos, all: usize) -> impl Iterator<Item = Nanos> {
        let first = self.pause_until + self.pauses_passed(now) * self.pause;
        (0..(all - self.usable(now, all)) as u64).map(move |n| first + n * self.pause)
    }

    fn pauses_passed(&self, now: Nanos) -> u64 {
        if self.pause == 0 || now < self.pause_until { 0 } else { 1 + (now - self.pause_until) / self.pause }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Counts the rejections while an unknown request holds one slot for `lasts`, and the time from its
    /// end until all slots are used again.
    fn with_one_uncounted(all: usize, lasts: Nanos) -> (usize, Nanos) {
        let (mut limit, mut refusals, mut now) = (SlotLimit::default(), 0, 0);
        loop {
            let used = limit.usable(now, all);
            if now >= lasts && used == all {
                return (refusals, now - lasts);
            }
            // All usable slots are taken, and more requests are queued.
            if now < lasts && used == all {
                limit.rejected(now, all - 1);
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
    fn seemingly_free_slot_is_probed_rarely(all: usize, lasts: Nanos, most: usize, back: Nanos) {
        let (refusals, late) = with_one_uncounted(all, lasts);
        assert!(refusals <= most && late <= back, "{refusals} refusals, {late} ns");
    }

    #[test]
    fn concurrent_rejections_lower_the_limit_to_what_the_instance_holds() {
        let mut limit = SlotLimit::default();
        assert_eq!(limit.usable(0, 8), 8);
        [7, 6, 5].into_iter().for_each(|others| limit.rejected(MS, others));
        assert_eq!(limit.usable(2 * MS, 8), 5);
        // Slots are added one at a time, since the unknown requests may all still be running.
        assert_eq!(limit.usable(MS + PAUSE, 8), 6);
        assert_eq!(limit.usable(MS + 2 * PAUSE, 8), 7);
        let until = |now| limit.unusable_until(now, 8).map(|at| (at - MS) / PAUSE).collect::<Vec<_>>();
        assert_eq!(
            [until(2 * MS), until(MS + PAUSE), until(MS + 3 * PAUSE)],
            [vec![1, 2, 3], vec![2, 3], vec![]]
        );
        assert_eq!(limit.usable(MS + 10 * PAUSE, 8), 8);
    }
}
