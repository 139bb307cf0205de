//! Records of cordoned and draining endpoints, which dispatchers exchange.
//!
//! The newest record of an endpoint applies; its number exceeds those of all records its author knew.
//! Invariants:
//!
//! - Merging converges to the same records in any order and with any repetitions.
//! - An older record never replaces a newer one; of two concurrent ones, the one that takes the endpoint out
//!   applies.
//! - A record of another dispatcher takes an endpoint out of service, but never puts one back: see
//!   [`HoldChange`].
//!
//! At most [`MAX_RECORDS`] records are kept.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::planted::{Fault, Planted};
use crate::versions::{digest, fold, piece};
use crate::{EndpointHash, Peer};

/// Maximum number of records.
pub const MAX_RECORDS: usize = 4_096;
/// Number of buckets by which records are compared.
pub const BUCKETS: usize = 16;

/// Kind of an endpoint record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKind {
    /// An operator cordons the endpoint.
    Cordon,
    /// The endpoint list drains the endpoint.
    Drain,
}

/// A record of an endpoint that is taken out of service or put back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub place: EndpointHash,
    /// The kind.
    pub what: RecordKind,
    /// Sequence number, higher than those of all records its author knew.
    pub number: u32,
    /// Whether the endpoint is out of service.
    pub out: bool,
    /// The author.
    pub by: Peer,
}

impl EndpointRecord {
    fn key(&self) -> (EndpointHash, RecordKind) {
        (self.place, self.what)
    }
    /// Of two records of the same endpoint and kind, the one with the higher rank applies.
    fn rank(&self) -> (u32, bool, Peer) {
        (self.number, self.out, self.by)
    }
    fn piece(&self) -> u64 {
        // Encoding into memory can't fail.
        piece(&postcard::to_stdvec(self).unwrap_or_default())
    }
    fn bucket(&self) -> usize {
        (self.place % BUCKETS as u64) as usize
    }
}

/// Change of an endpoint caused by a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// The endpoint is not called until an operator or the dispatcher's own list puts it back here.
    Hold(EndpointHash, RecordKind),
    /// The endpoint may be used: others put it back, and this dispatcher's own source has answered since.
    Release(EndpointHash),
}

/// All records known to one dispatcher, and the endpoints held because of records of others.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Records {
    me: Peer,
    words: BTreeMap<(EndpointHash, RecordKind), EndpointRecord>,
    sums: [u64; BUCKETS],
    /// Endpoints that are held although the own list has them in service.
    held: BTreeSet<EndpointHash>,
    /// Number of records rejected because of the maximum.
    #[serde(skip)]
    pub turned_away: u64,
    #[serde(skip)]
    pub(crate) planted: Planted,
}

impl Records {
    /// Creates the state from stored records.
    pub fn new(me: Peer, noted: impl IntoIterator<Item = EndpointRecord>) -> Self {
        let mut records = Records { me, ..Records::default() };
        for word in noted {
            records.put(word);
        }
        records
    }

    /// The same with a planted fault.
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
        if known.is_none() && self.words.len() >= MAX_RECORDS {
            self.turned_away += 1;
            return false;
        }
        let sum = &mut self.sums[word.bucket()];
        *sum = sum.wrapping_sub(known.map_or(0, |known| known.piece())).wrapping_add(word.piece());
        self.words.insert(word.key(), word);
        true
    }

    /// Returns whether the newest record takes the endpoint out of service.
    pub fn is_out(&self, place: EndpointHash, what: RecordKind) -> bool {
        self.words.get(&(place, what)).is_some_and(|word| word.out)
    }

    /// Iterates over the endpoints held because of records of others.
    pub fn held(&self) -> impl Iterator<Item = EndpointHash> + '_ {
        self.held.iter().copied()
    }

    /// Records a local change by an operator or the own list. Returns the new record if there is a change.
    pub fn say(&mut self, place: EndpointHash, what: RecordKind, out: bool) -> Option<EndpointRecord> {
        if what == RecordKind::Drain {
            self.held.remove(&place);
        }
        let known = self.words.get(&(place, what));
        // Putting back an endpoint that is not out, or repeating the newest record, is not a change.
        if known.map_or(!out, |known| known.out == out) {
            return None;
        }
        let number = known.map_or(0, |known| known.number).saturating_add(1);
        let word = EndpointRecord { place, what, number, out, by: self.me };
        self.put(word).then_some(word)
    }

    /// Merges a record of another dispatcher. `ready`: the endpoint is in service by the own list, and
    /// another endpoint of its destination may be held. Returns whether the record was new, and the resulting
    /// change.
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

    /// Handles the first list after a start: holds endpoints that it has in service but the newest record
    /// drains.
    pub fn begin(&mut self, ready: impl Fn(EndpointHash) -> bool) -> Vec<HoldChange> {
        let drained: Vec<EndpointHash> =
            self.words.values().filter(|w| w.what == RecordKind::Drain && w.out).map(|w| w.place).collect();
        drained.into_iter().filter_map(|place| self.hold(place, ready(place))).collect()
    }

    /// Handles an answer of the own source, whatever its content: releases the endpoints that others have put
    /// back.
    pub fn source_answered(&mut self) -> Vec<HoldChange> {
        let back: Vec<EndpointHash> =
            self.held.iter().copied().filter(|p| !self.is_out(*p, RecordKind::Drain)).collect();
        self.held.retain(|place| !back.contains(place));
        back.into_iter().map(HoldChange::Release).collect()
    }

    /// Drops records of endpoints that are not listed, except those that take an endpoint out of service.
    pub fn retain(&mut self, listed: impl Fn(EndpointHash) -> bool) {
        let gone: Vec<_> = self.words.values().filter(|w| !w.out && !listed(w.place)).copied().collect();
        for word in gone {
            self.words.remove(&word.key());
            self.sums[word.bucket()] = self.sums[word.bucket()].wrapping_sub(word.piece());
        }
        self.held.retain(|place| listed(*place));
    }

    /// Returns a digest of all records.
    pub fn digest(&self) -> u32 {
        let sums: Vec<u8> = self.sums.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        digest(&sums)
    }

    /// Returns the digests of the buckets.
    pub fn buckets(&self) -> [u32; BUCKETS] {
        self.sums.map(fold)
    }

    /// Returns up to `most` records of buckets that differ from `theirs`, in round-robin order starting after
    /// `after`.
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

    /// Iterates over all records, for storing them.
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
        fn records_converge_in_any_order_with_any_repetitions(
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
            // They also converge if only differing records are sent, a few at a time, in both directions.
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
        fn records_of_others_never_release_an_endpoint(words in prop::collection::vec(word(), 1..40)) {
            let mut records = Records::new(9, []);
            let mut out = BTreeSet::new();
            for word in words {
                match records.receive(word, true).1 {
                    Some(HoldChange::Hold(place, RecordKind::Drain)) => {
                        out.insert(place);
                    }
                    Some(HoldChange::Hold(..)) | None => {}
                    Some(HoldChange::Release(place)) => prop_assert!(false, "{} was released by a record of another dispatcher", place),
                }
                prop_assert_eq!(records.held().collect::<BTreeSet<_>>(), out.clone());
            }
        }
    }

    #[test]
    fn endpoint_put_back_by_others_is_released_once_the_own_source_answered() {
        let word = |number, out| EndpointRecord { place: 7, what: RecordKind::Drain, number, out, by: 1 };
        let mut records = Records::new(0, []);
        assert_eq!(
            records.receive(word(1, true), true),
            (true, Some(HoldChange::Hold(7, RecordKind::Drain)))
        );
        assert_eq!(records.source_answered(), [], "the newest record still drains it");
        assert_eq!(records.receive(word(2, false), true), (true, None));
        assert_eq!(records.receive(word(1, true), true), (false, None), "an older record");
        assert_eq!(records.source_answered(), [HoldChange::Release(7)]);
        // A stored record holds the endpoint from the next start on.
        let noted = [word(3, true)];
        let mut next = Records::new(0, noted);
        assert_eq!(next.begin(|_| true), [HoldChange::Hold(7, RecordKind::Drain)]);
        assert_eq!(next.say(7, RecordKind::Drain, true), None, "the own list drains it as well");
        assert_eq!(next.held().count(), 0);
        let back = next.say(7, RecordKind::Drain, false).expect("new record");
        assert_eq!((back.number, back.out, back.by), (4, false, 0));
    }

    #[test]
    fn number_of_records_is_bounded_and_unlisted_ones_are_dropped() {
        let word = |place, out| EndpointRecord { place, what: RecordKind::Cordon, number: 1, out, by: 1 };
        let mut records = Records::new(0, []);
        for place in 0..MAX_RECORDS as EndpointHash + 10 {
            records.receive(word(place, place % 2 == 0), true);
        }
        assert_eq!((records.all().len(), records.turned_away), (MAX_RECORDS, 10));
        let same = Records::new(0, records.all().copied().filter(|word| word.out).collect::<Vec<_>>());
        records.retain(|_| false);
        assert_eq!((records.all().len(), records.digest()), (MAX_RECORDS / 2, same.digest()));
    }
}
