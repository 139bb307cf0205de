//! Call counts by destination, dispatcher and incarnation. A dispatcher's counts are written only by itself
//! and only grow within an incarnation. Merging takes the maximum, so that no call is counted twice, whatever
//! is lost, repeated or reordered.
//!
//! Memory is bounded by one row for each listed destination and configured dispatcher.

use std::collections::BTreeMap;

use crate::config::ms;
use crate::frame::{Calls, Counted};
use crate::{DestId, Incarnation, Nanos, Peer};

impl Calls {
    fn join(&mut self, other: Calls) -> bool {
        let before = *self;
        self.sent = self.sent.max(other.sent);
        self.served = self.served.max(other.served);
        self.refused = self.refused.max(other.refused);
        *self != before
    }
    pub(crate) fn add(&mut self, other: Calls) {
        self.sent = self.sent.saturating_add(other.sent);
        self.served = self.served.saturating_add(other.served);
        self.refused = self.refused.saturating_add(other.refused);
    }
}

#[derive(Clone, Copy, Debug)]
struct Row {
    incarnation: Incarnation,
    calls: Calls,
    /// Counts of earlier incarnations.
    past: Calls,
    spare: u8,
    /// When the counts were current.
    at: Nanos,
    /// How many more times the counts are to be forwarded.
    hot: u8,
}

/// Known sum over all dispatchers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Sum of the known calls.
    pub calls: Calls,
    /// Age of the oldest counts in the sum.
    pub oldest: Nanos,
    /// Sum of the ages of all counts: the total time in which dispatchers may have made further calls.
    pub unknown: Nanos,
    /// Number of dispatchers without known counts.
    pub never: u32,
}

/// All counts known to one dispatcher.
#[derive(Clone, Debug)]
pub struct Counts {
    me: Peer,
    of: u16,
    rows: BTreeMap<(DestId, Peer), Row>,
    own: BTreeMap<DestId, (Calls, u8)>,
    /// Own counts of earlier incarnations.
    past: BTreeMap<DestId, Calls>,
}

impl Counts {
    /// Creates empty counts.
    pub fn new(me: Peer, of: u16) -> Self {
        Counts { me, of, rows: BTreeMap::new(), own: BTreeMap::new(), past: BTreeMap::new() }
    }

    /// Returns this dispatcher's own counts of a destination.
    pub fn own(&mut self, dest: DestId) -> &mut Calls {
        &mut self.own.entry(dest).or_default().0
    }

    /// Begins a new incarnation with own counts of zero.
    pub fn renew(&mut self) {
        for (dest, (calls, _)) in &mut self.own {
            self.past.entry(*dest).or_default().add(std::mem::take(calls));
        }
    }

    /// Sets what this dispatcher could lend, in 255ths of an even share.
    pub fn set_spare(&mut self, dest: DestId, spare: u8) {
        if let Some((_, own)) = self.own.get_mut(&dest) {
            *own = spare;
        }
    }

    /// Merges counts of a dispatcher. Returns whether they were new.
    pub fn merge(&mut self, now: Nanos, told: &Counted, pass_on: u8) -> bool {
        if told.who == self.me || told.who >= self.of {
            return false;
        }
        let at = now.saturating_sub(ms(told.age_ms.into()));
        let row = self.rows.entry((told.dest, told.who)).or_insert(Row {
            incarnation: told.incarnation,
            calls: Calls::default(),
            past: Calls::default(),
            spare: 0,
            at: 0,
            hot: 0,
        });
        if told.incarnation < row.incarnation {
            return false;
        }
        if told.incarnation > row.incarnation {
            row.past.add(row.calls);
            (row.incarnation, row.calls) = (told.incarnation, Calls::default());
        }
        let grew = row.calls.join(told.calls);
        if at > row.at {
            (row.at, row.spare) = (at, told.spare);
        }
        if grew {
            row.hot = pass_on;
        }
        grew
    }

    /// Returns the sum of a destination.
    pub fn sum(&self, now: Nanos, dest: DestId) -> Sum {
        let mut sum =
            Sum { calls: self.own.get(&dest).map_or(Calls::default(), |own| own.0), ..Sum::default() };
        sum.calls.add(self.past.get(&dest).copied().unwrap_or_default());
        let mut told = 0;
        for row in self.rows.range((dest, 0)..=(dest, Peer::MAX)).map(|(_, row)| row) {
            sum.calls.add(row.calls);
            sum.calls.add(row.past);
            let age = now.saturating_sub(row.at);
            (sum.oldest, sum.unknown) = (sum.oldest.max(age), sum.unknown.saturating_add(age));
            told += 1;
        }
        sum.never = u32::from(self.of).saturating_sub(1 + told);
        sum
    }

    /// Iterates over the dispatchers that could lend of a destination, by reports since `since`.
    pub fn spares(&self, dest: DestId, since: Nanos) -> impl Iterator<Item = (u8, Peer)> + '_ {
        let rows = self.rows.range((dest, 0)..=(dest, Peer::MAX));
        rows.filter(move |(_, row)| row.at >= since && row.spare > 0).map(|((_, who), row)| (row.spare, *who))
    }

    /// Returns this dispatcher's own counts for a datagram.
    pub fn tell(&self, dest: DestId, incarnation: Incarnation) -> Option<Counted> {
        let (calls, spare) = *self.own.get(&dest)?;
        Some(Counted { who: self.me, incarnation, dest, age_ms: 0, calls, spare })
    }

    /// Returns up to `most` counts of others to forward, in round-robin order starting after `after`.
    pub fn items_to_forward(&mut self, now: Nanos, after: (DestId, Peer), most: usize) -> Vec<Counted> {
        let hot: Vec<_> = {
            let (before, behind) = (self.rows.range(..=after), self.rows.range(after..).skip(1));
            behind.chain(before).filter(|(_, row)| row.hot > 0).map(|(key, _)| *key).take(most).collect()
        };
        let told = hot.into_iter().filter_map(|key| {
            let row = self.rows.get_mut(&key)?;
            row.hot -= 1;
            let age_ms = (now.saturating_sub(row.at) / 1_000_000).min(u32::MAX.into()) as u32;
            let (incarnation, calls, spare) = (row.incarnation, row.calls, row.spare);
            Some(Counted { who: key.1, incarnation, dest: key.0, age_ms, calls, spare })
        });
        told.collect()
    }

    /// Drops destinations that are not listed.
    pub fn retain(&mut self, listed: impl Fn(DestId) -> bool) {
        self.rows.retain(|(dest, _), _| listed(*dest));
        self.own.retain(|dest, _| listed(*dest));
        self.past.retain(|dest, _| listed(*dest));
    }

    /// Returns the number of rows.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn told(who: Peer, incarnation: u32, n: u64) -> Counted {
        let calls = Calls { sent: n, served: n / 2, refused: n / 3 };
        Counted { who, incarnation, dest: 1, age_ms: 0, calls, spare: 0 }
    }

    proptest! {
        /// With lost, repeated or reordered datagrams, the latest counts received of each incarnation are
        /// summed once.
        #[test]
        fn nothing_is_counted_twice(
            words in prop::collection::vec((1u16..4, 1u32..4, 0u64..90), 1..60), order in any::<u64>(),
        ) {
            let mut counts = Counts::new(0, 4);
            let mut shuffled: Vec<_> = words.iter().chain(&words).collect();
            let mut state = order | 1;
            for n in (1..shuffled.len()).rev() {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                shuffled.swap(n, (state >> 33) as usize % (n + 1));
            }
            for (who, incarnation, n) in shuffled {
                counts.merge(0, &told(*who, *incarnation, *n), 0);
            }
            let most = |who, life| words.iter().filter(|w| (w.0, w.1) == (who, life)).map(|w| w.2).max();
            let mut known = 0;
            for who in 1..4 {
                // Counts of earlier incarnations may arrive too late to be included; those of the last one
                // are complete.
                known += (1..4).rev().find_map(|life| most(who, life)).unwrap_or(0);
            }
            let all: u64 = (1..4).flat_map(|w| (1..4).filter_map(move |l| most(w, l))).sum();
            let sum = counts.sum(0, 1).calls.sent;
            prop_assert!((known..=all).contains(&sum), "{known} {sum} {all}");
        }
    }

    #[test]
    fn sum_includes_ages_and_missing_dispatchers() {
        let mut counts = Counts::new(0, 4);
        counts.own(1).sent = 5;
        counts.merge(4_000_000_000, &Counted { age_ms: 1_000, ..told(2, 1, 7) }, 0);
        assert!(!counts.merge(4_000_000_000, &told(0, 9, 99), 0), "nobody else counts for this one");
        assert!(!counts.merge(4_000_000_000, &told(4, 9, 99), 0), "nobody has this number");
        let sum = counts.sum(5_000_000_000, 1);
        assert_eq!((sum.calls.sent, sum.oldest, sum.never), (12, 2_000_000_000, 2));
        counts.retain(|_| false);
        assert_eq!((counts.rows(), counts.sum(0, 1).calls.sent), (0, 0));
    }
}
