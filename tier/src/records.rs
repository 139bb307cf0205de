//! Cordons, and drains as somebody was told them: what one dispatcher can take over from another.
//!
//! Of each endpoint the newest word holds, by a number that goes beyond every word that its author knew. Kept invariants:
//! - merging ends in the same words whatever the order, however often each comes;
//! - an older word never takes the place of a newer one, and of two that did not know each other the one that takes the
//!   endpoint out holds;
//! - a word by hearsay takes an endpoint out and never puts one back: see [`HoldChange`].
//!
//! Kept bound: [`MOST`] words.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::planted::{Fault, Planted};
use crate::versions::{digest, fold, piece};
use crate::{EndpointHash, Peer};

/// Words that are kept.
pub const MOST: usize = 4_096;
/// Parts that words are compared by.
pub const BUCKETS: usize = 16;

/// What a word is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// The staff takes the endpoint out.
    Cordon,
    /// The list takes it out.
    Drain,
}

/// A word on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub place: EndpointHash,
    /// What it is about.
    pub what: RecordKind,
    /// Beyond that of every word that its author knew of.
    pub number: u32,
    /// The endpoint is out.
    pub out: bool,
    /// Its author.
    pub by: Peer,
}

impl EndpointRecord {
    fn key(&self) -> (EndpointHash, RecordKind) {
        (self.place, self.what)
    }
    /// Of two words on one thing the greater holds.
    fn rank(&self) -> (u32, bool, Peer) {
        (self.number, self.out, self.by)
    }
    fn piece(&self) -> u64 {
        // Into memory: it can't fail.
        piece(&postcard::to_stdvec(self).unwrap_or_default())
    }
    fn bucket(&self) -> usize {
        (self.place % BUCKETS as u64) as usize
    }
}

/// What changed by a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// Nothing goes to the endpoint, until it is put back here: by the staff, or by this dispatcher's own list.
    Hold(EndpointHash, RecordKind),
    /// Its own list has spoken since others put it back: it may be used.
    Release(EndpointHash),
}

/// All words that one dispatcher knows, and what it does without on the word of others.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Records {
    me: Peer,
    words: BTreeMap<(EndpointHash, RecordKind), EndpointRecord>,
    sums: [u64; BUCKETS],
    /// Endpoints that are held though the own list has them in service.
    held: BTreeSet<EndpointHash>,
    /// Words that found no room.
    #[serde(skip)]
    pub turned_away: u64,
    #[serde(skip)]
    pub(crate) planted: Planted,
}

impl Records {
    /// With the words that were noted before.
    pub fn new(me: Peer, noted: impl IntoIterator<Item = EndpointRecord>) -> Self {
        let mut records = Records { me, ..Records::default() };
        for word in noted {
            records.put(word);
        }
        records
    }

    /// The same with a fault in place.
    #[cfg(feature = "faults")]
    pub fn planted(me: Peer, noted: impl IntoIterator<Item = EndpointRecord>, fault: Option<Fault>) -> Self {
        Records { planted: Planted { fault }, ..Records::new(me, noted) }
    }

    fn put(&mut self, word: EndpointRecord) -> bool {
        let known = self.words.get(&word.key()).copied();
        let old = known.is_some_and(|known| known.rank() >= word.rank());
        if old && !(self.planted.has(Fault::OldWord) && known != Some(word)) {
            return false;
        }
        if known.is_none() && self.words.len() >= MOST {
            self.turned_away += 1;
            return false;
        }
        let sum = &mut self.sums[word.bucket()];
        *sum = sum.wrapping_sub(known.map_or(0, |known| known.piece())).wrapping_add(word.piece());
        self.words.insert(word.key(), word);
        true
    }

    /// The newest word on an endpoint takes it out.
    pub fn is_out(&self, place: EndpointHash, what: RecordKind) -> bool {
        self.words.get(&(place, what)).is_some_and(|word| word.out)
    }

    /// Endpoints that are held on the word of others.
    pub fn held(&self) -> impl Iterator<Item = EndpointHash> + '_ {
        self.held.iter().copied()
    }

    /// The staff, or one's own list, says something here: the word for it, where that is news.
    pub fn say(&mut self, place: EndpointHash, what: RecordKind, out: bool) -> Option<EndpointRecord> {
        if what == RecordKind::Drain {
            self.held.remove(&place);
        }
        let known = self.words.get(&(place, what));
        // To put back what nobody took out, or to say what the newest word says, is no news.
        if known.map_or(!out, |known| known.out == out) {
            return None;
        }
        let number = known.map_or(0, |known| known.number).saturating_add(1);
        let word = EndpointRecord { place, what, number, out, by: self.me };
        self.put(word).then_some(word)
    }

    /// Somebody else's word. `ready`: the endpoint is in service by the own list, and no more of its destination's
    /// endpoints are held than may be. Whether it was news, and what comes of it.
    pub fn receive(&mut self, word: EndpointRecord, ready: bool) -> (bool, Option<HoldChange>) {
        if !self.put(word) {
            return (false, None);
        }
        let held = match word.what {
            RecordKind::Cordon => word.out.then_some(HoldChange::Hold(word.place, RecordKind::Cordon)),
            RecordKind::Drain if word.out => self.hold(word.place, ready),
            RecordKind::Drain if self.planted.has(Fault::LiftByHearsay) => {
                self.held.remove(&word.place).then_some(HoldChange::Release(word.place))
            }
            RecordKind::Drain => None,
        };
        (true, held)
    }

    fn hold(&mut self, place: EndpointHash, ready: bool) -> Option<HoldChange> {
        (ready && self.held.insert(place)).then_some(HoldChange::Hold(place, RecordKind::Drain))
    }

    /// The list was read at the start of a life: endpoints that it has in service though the newest word takes them out.
    pub fn begin(&mut self, ready: impl Fn(EndpointHash) -> bool) -> Vec<HoldChange> {
        let drained: Vec<EndpointHash> =
            self.words.values().filter(|w| w.what == RecordKind::Drain && w.out).map(|w| w.place).collect();
        drained.into_iter().filter_map(|place| self.hold(place, ready(place))).collect()
    }

    /// The own source has answered, whatever it said: what others have put back since is used again.
    pub fn source_answered(&mut self) -> Vec<HoldChange> {
        let back: Vec<EndpointHash> =
            self.held.iter().copied().filter(|p| !self.is_out(*p, RecordKind::Drain)).collect();
        self.held.retain(|place| !back.contains(place));
        back.into_iter().map(HoldChange::Release).collect()
    }

    /// Forgets what is not listed, but for what takes an endpoint out.
    pub fn retain(&mut self, listed: impl Fn(EndpointHash) -> bool) {
        let gone: Vec<_> = self.words.values().filter(|w| !w.out && !listed(w.place)).copied().collect();
        for word in gone {
            self.words.remove(&word.key());
            self.sums[word.bucket()] = self.sums[word.bucket()].wrapping_sub(word.piece());
        }
        self.held.retain(|place| listed(*place));
    }

    /// A digest of all words.
    pub fn digest(&self) -> u32 {
        let sums: Vec<u8> = self.sums.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        digest(&sums)
    }

    /// Digests of their parts.
    pub fn buckets(&self) -> [u32; BUCKETS] {
        self.sums.map(fold)
    }

    /// Words of the parts that differ from these, from one on, in their order and round again.
    pub fn differing(
        &self,
        theirs: &[u32; BUCKETS],
        after: Option<(EndpointHash, RecordKind)>,
        most: usize,
    ) -> Vec<EndpointRecord> {
        let own = self.buckets();
        let differs = |word: &&EndpointRecord| own[word.bucket()] != theirs[word.bucket()];
        let behind = self.words.iter().filter(|(key, _)| after.is_none_or(|after| **key > after));
        let before = self.words.iter().filter(|(key, _)| after.is_some_and(|after| **key <= after));
        behind.chain(before).map(|(_, word)| word).filter(differs).take(most).copied().collect()
    }

    /// All words, to be noted.
    pub fn all(&self) -> impl ExactSizeIterator<Item = &EndpointRecord> {
        self.words.values()
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn word() -> impl Strategy<Value = EndpointRecord> {
        (0..6_u64, any::<bool>(), 1..5_u32, any::<bool>(), 0..4_u16).prop_map(
            |(place, drain, number, out, by)| EndpointRecord {
                place,
                what: if drain { RecordKind::Drain } else { RecordKind::Cordon },
                number,
                out,
                by,
            },
        )
    }

    proptest! {
        #[test]
        fn words_end_the_same_in_whatever_order_and_however_often_they_come(
            words in prop::collection::vec(word(), 1..40),
            order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        ) {
            let mut straight = Records::new(0, words.clone());
            let mut mixed = Records::new(1, []);
            for index in &order {
                mixed.receive(words[index.index(words.len())], true);
            }
            for word in words.iter().rev() {
                mixed.receive(*word, true);
            }
            prop_assert_eq!(straight.digest(), mixed.digest());
            prop_assert_eq!(straight.buckets(), mixed.buckets());
            prop_assert!(straight.differing(&mixed.buckets(), None, 99).is_empty());
            // And so they do where only what differs is sent, a little at a time, in either direction.
            let mut late = Records::new(2, words.iter().step_by(3).copied());
            let mut after = None;
            for _ in 0..60 {
                let some = straight.differing(&late.buckets(), after, 2);
                after = some.last().map(|word| (word.place, word.what));
                for word in some {
                    late.receive(word, true);
                }
                let back = late.differing(&straight.buckets(), None, 99);
                for word in back {
                    straight.receive(word, true);
                }
            }
            prop_assert_eq!(straight.digest(), late.digest());
        }

        #[test]
        fn no_hearsay_puts_an_endpoint_back(words in prop::collection::vec(word(), 1..40)) {
            let mut records = Records::new(9, []);
            let mut out = BTreeSet::new();
            for word in words {
                match records.receive(word, true).1 {
                    Some(HoldChange::Hold(place, RecordKind::Drain)) => {
                        out.insert(place);
                    }
                    Some(HoldChange::Hold(..)) | None => {}
                    Some(HoldChange::Release(place)) => prop_assert!(false, "{} is back by hearsay", place),
                }
                prop_assert_eq!(records.held().collect::<BTreeSet<_>>(), out.clone());
            }
        }
    }

    #[test]
    fn what_others_put_back_is_used_once_the_own_list_has_spoken() {
        let word = |number, out| EndpointRecord { place: 7, what: RecordKind::Drain, number, out, by: 1 };
        let mut records = Records::new(0, []);
        assert_eq!(
            records.receive(word(1, true), true),
            (true, Some(HoldChange::Hold(7, RecordKind::Drain)))
        );
        assert_eq!(records.source_answered(), [], "as far as anybody knows it drains");
        assert_eq!(records.receive(word(2, false), true), (true, None));
        assert_eq!(records.receive(word(1, true), true), (false, None), "an older word");
        assert_eq!(records.source_answered(), [HoldChange::Release(7)]);
        // One that is noted holds from the start of the next life.
        let noted = [word(3, true)];
        let mut next = Records::new(0, noted);
        assert_eq!(next.begin(|_| true), [HoldChange::Hold(7, RecordKind::Drain)]);
        assert_eq!(next.say(7, RecordKind::Drain, true), None, "its own list says so now too");
        assert_eq!(next.held().count(), 0);
        let back = next.say(7, RecordKind::Drain, false).expect("news");
        assert_eq!((back.number, back.out, back.by), (4, false, 0));
    }

    #[test]
    fn words_are_bounded_and_those_of_what_is_gone_leave() {
        let word = |place, out| EndpointRecord { place, what: RecordKind::Cordon, number: 1, out, by: 1 };
        let mut records = Records::new(0, []);
        for place in 0..MOST as EndpointHash + 10 {
            records.receive(word(place, place % 2 == 0), true);
        }
        assert_eq!((records.all().len(), records.turned_away), (MOST, 10));
        let same = Records::new(0, records.all().copied().filter(|word| word.out).collect::<Vec<_>>());
        records.retain(|_| false);
        assert_eq!((records.all().len(), records.digest()), (MOST / 2, same.digest()));
    }
}
