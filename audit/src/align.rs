//! Clocks that disagree, put side by side: a round of one that another heard of was before it was heard.
//!
//! Each clock is taken to be ahead of the true time by an amount that does not change. Two that heard of each other bound
//! the difference from both sides, as NTP does; where there is more than one way between two, the narrowest goes first.

use std::collections::BTreeMap;

use crate::Nanos;

/// What is known of clocks.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    /// When a round was, by its own dispatcher's clock.
    beats: BTreeMap<(u16, u32, u32), Nanos>,
    /// Who heard of which round, and when.
    heard: Vec<(u16, (u16, u32, u32), Nanos)>,
}

/// How far a dispatcher's clock is ahead of that of the first one, and how sure that is; nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Ahead {
    /// So far.
    pub by: i64,
    /// It may be so much more or less.
    pub within: i64,
}

/// Rounds between two that were noted.
const APART: u64 = 20;
/// Marks that are kept of one dispatcher.
const MOST: usize = 200_000;

impl Clocks {
    /// A round of a dispatcher's own.
    pub fn beat(&mut self, who: u16, epoch: u32, beat: u32, at: Nanos) {
        if self.beats.len() < 16 * MOST {
            self.beats.insert((who, epoch, beat), at);
        }
    }

    /// A dispatcher heard of another's round.
    pub fn heard(&mut self, who: u16, peer: u16, epoch: u32, beat: u32, at: Nanos) {
        if self.heard.len() < 16 * MOST {
            self.heard.push((who, (peer, epoch, beat), at));
        }
    }

    /// When a round was. Between two that were noted, rounds are taken to be as long as each other, unless too much time is
    /// between them for that.
    fn when(&self, (who, epoch, beat): (u16, u32, u32)) -> Option<Nanos> {
        let before = self.beats.range((who, epoch, 0)..=(who, epoch, beat)).next_back();
        let after = self.beats.range((who, epoch, beat)..=(who, epoch, u32::MAX)).next();
        let (((_, _, first), from), ((_, _, last), to)) = (before?, after?);
        if first == last {
            return Some(*from);
        }
        let (rounds, took) = (u64::from(last - first), to.checked_sub(*from)?);
        (rounds <= APART).then(|| from + took * u64::from(beat - first) / rounds)
    }

    /// What others know is taken in.
    pub fn join(&mut self, other: Clocks) {
        self.beats.extend(other.beats);
        self.heard.extend(other.heard);
    }

    /// How far each clock is ahead of that of the first; who can't be told is left out.
    pub fn ahead(&self) -> BTreeMap<u16, Ahead> {
        // The least that was seen of (listener's clock - speaker's clock), by (speaker, listener).
        let mut least: BTreeMap<(u16, u16), i64> = BTreeMap::new();
        for (who, round, at) in &self.heard {
            let Some(begun) = self.when(*round) else { continue };
            let passed = at.wrapping_sub(begun) as i64;
            let known = least.entry((round.0, *who)).or_insert(passed);
            *known = passed.min(*known);
        }
        let first = self.beats.keys().map(|(who, ..)| *who).min();
        let mut all: BTreeMap<u16, Ahead> =
            first.map(|first| (first, Ahead::default())).into_iter().collect();
        // Prim's way, by the narrowest.
        loop {
            let next = least
                .iter()
                .filter(|((a, b), _)| all.contains_key(a) && !all.contains_key(b))
                .filter_map(|((a, b), there)| {
                    let back = least.get(&(*b, *a))?;
                    let width = there.saturating_add(*back);
                    Some((width, *a, *b, there.saturating_sub(*back) / 2))
                })
                .min();
            let Some((width, a, b, ahead)) = next else { return all };
            let from = all.get(&a).copied().unwrap_or_default();
            let within = from.within.saturating_add(width.max(0) / 2);
            all.insert(b, Ahead { by: from.by.saturating_add(ahead), within });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: i64 = 1_000_000;

    #[test]
    fn clocks_hours_apart_are_put_side_by_side_as_surely_as_words_are_fast() {
        let ahead = [0, 3_600_000 * MS, -7_200_000 * MS, 5 * MS];
        let clock = |who: usize, at: i64| (1_700_000_000_000 * MS + at + ahead[who]) as Nanos;
        let mut clocks = Clocks::default();
        for beat in 0..50_i64 {
            for who in 0..4_usize {
                let at = beat * 1_000 * MS + who as i64 * 37 * MS;
                if beat % 10 == 0 || beat == 49 {
                    clocks.beat(who as u16, 1, beat as u32, clock(who, at));
                }
                // The first and the last never hear of each other.
                for to in [who + 3, who + 1].map(|to| to % 4).into_iter().filter(|to| who.abs_diff(*to) == 1)
                {
                    let took = (2 + (beat * 7 + to as i64 * 3) % 40) * MS;
                    clocks.heard(to as u16, who as u16, 1, beat as u32, clock(to, at + took));
                }
            }
        }
        let found = clocks.ahead();
        assert_eq!(found.len(), 4);
        for (who, found) in found {
            let off = (found.by - ahead[usize::from(who)]).abs();
            assert!(off <= found.within && found.within <= 3 * 3 * MS, "{who}: {off} {found:?}");
        }
    }

    #[test]
    fn who_was_heard_one_way_only_is_left_out() {
        let mut clocks = Clocks::default();
        clocks.beat(0, 1, 1, 1_000);
        clocks.beat(1, 1, 1, 9_000);
        clocks.heard(1, 0, 1, 1, 9_500);
        assert_eq!(clocks.ahead().keys().copied().collect::<Vec<_>>(), [0]);
        assert!(Clocks::default().ahead().is_empty());
    }
}
