//! The stalls that are alive, as control names them, and how one naming differs from the one before.
//!
//! A stall that was told to end, or that operators took out, is *leaving*: it owns no function any more, but it lives, sees its requests
//! through, and must be answered. Who stands in neither list is taken to be gone.
//!
//! Invariant: names stand in their order, none twice and none in both lists; a shift makes out of the naming that it goes from exactly
//! the one that it leads to, or nothing.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use compact_str::CompactString;
use tinyjson::JsonValue;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::json::{Fault, list, object, text};
use crate::peer_message::{
    Peer, PeerMessage, Version, map, names, peers_or_none, read_names, read_version, version,
};

/// Stalls in a naming, and functions that are split; a shift that leads to more is none.
const MOST: usize = 10_000;

/// A naming of stalls, all of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipView {
    version: Version,
    peers: Vec<Peer>,
    leaving: Vec<Peer>,
    split: BTreeSet<CompactString>,
}

/// How a naming differs from the one before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewChange {
    /// The naming that it leads to.
    pub version: Version,
    /// The naming that it goes from.
    pub from: Version,
    /// Stalls that are new, or have moved.
    pub came: Vec<Peer>,
    /// Names of those that own functions no more: they leave, or are gone.
    pub left: Vec<CompactString>,
    /// Stalls that leave from now on, or have moved meanwhile.
    pub leaving: Vec<Peer>,
    /// Names of those that left, and are gone now.
    pub ended: Vec<CompactString>,
    /// Functions that have an owner in each zone from now on.
    pub split: Vec<CompactString>,
    /// ... and no more.
    pub joined: Vec<CompactString>,
}

impl MembershipView {
    /// Of these stalls, in any order; of two of one name the last counts.
    pub fn new(version: Version, peers: Vec<Peer>, split: impl IntoIterator<Item = CompactString>) -> Self {
        MembershipView {
            version,
            peers: in_order(peers),
            leaving: Vec::new(),
            split: split.into_iter().collect(),
        }
    }

    /// The same, with these stalls leaving; those that are named are not.
    #[must_use]
    pub fn with_leaving(mut self, mut leaving: Vec<Peer>) -> Self {
        leaving.retain(|peer| self.find(&peer.name).is_none());
        self.leaving = in_order(leaving);
        self
    }

    /// Fence of the steward that named them, and its count.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The stalls, in the order of their names.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The functions that have an owner in each zone.
    pub fn split(&self) -> &BTreeSet<CompactString> {
        &self.split
    }

    /// The stalls that leave, in the order of their names.
    pub fn leaving(&self) -> &[Peer] {
        &self.leaving
    }

    /// The stall of this name, if it is named.
    pub fn find(&self, name: &str) -> Option<&Peer> {
        find(&self.peers, name)
    }

    /// The stall of this name, if it lives: it is named, or leaves.
    pub fn find_living(&self, name: &str) -> Option<&Peer> {
        self.find(name).or_else(|| find(&self.leaving, name))
    }

    /// The stalls that lived by the naming before, and do no more.
    pub fn gone_since<'a>(&'a self, before: &'a MembershipView) -> impl Iterator<Item = &'a Peer> {
        before.peers.iter().chain(&before.leaving).filter(|peer| self.find_living(&peer.name).is_none())
    }

    /// The same stalls and functions have the same digest, under whatever version.
    pub fn digest(&self) -> u64 {
        let mut all = Xxh3::with_seed(17);
        let mut add = |text: &str| {
            all.update(text.as_bytes());
            // No text holds that byte.
            all.update(&[0xff]);
        };
        for peer in &self.peers {
            [&peer.name, &peer.address, &peer.zone].into_iter().for_each(|text| add(text));
        }
        add("");
        self.split.iter().for_each(|name| add(name));
        // Where nobody leaves the digest is as it was before there was that list.
        if !self.leaving.is_empty() {
            add("");
            for peer in &self.leaving {
                [&peer.name, &peer.address, &peer.zone].into_iter().for_each(|text| add(text));
            }
        }
        all.digest()
    }

    /// All of it, for who has nothing.
    pub fn to_message(&self) -> PeerMessage {
        let split = self.split.iter().cloned().collect();
        let (peers, leaving) = (self.peers.clone(), self.leaving.clone());
        PeerMessage::FullView { version: self.version, peers, leaving, split }
    }

    /// Stalls that are new here or have moved since, and those of before that are gone.
    pub fn diff_peers<'a>(&'a self, before: &'a MembershipView) -> (Vec<&'a Peer>, Vec<&'a Peer>) {
        differ(&self.peers, &before.peers)
    }

    /// How this differs from the naming before.
    pub fn change_from(&self, before: &MembershipView) -> ViewChange {
        let (came, left) = self.diff_peers(before);
        let (leaving, _) = differ(&self.leaving, &before.leaving);
        let ended = before.leaving.iter().filter(|p| self.find_living(&p.name).is_none());
        ViewChange {
            version: self.version,
            from: before.version,
            came: came.into_iter().cloned().collect(),
            left: left.into_iter().map(|p| p.name.clone()).collect(),
            leaving: leaving.into_iter().cloned().collect(),
            ended: ended.map(|p| p.name.clone()).collect(),
            split: self.split.difference(&before.split).cloned().collect(),
            joined: before.split.difference(&self.split).cloned().collect(),
        }
    }

    /// The naming that a shift leads to; none where it goes from another than this one, or leads to too many.
    pub fn apply(&self, shift: &ViewChange) -> Option<MembershipView> {
        let too_many = self.peers.len() + shift.came.len() > MOST
            || self.leaving.len() + shift.leaving.len() > MOST
            || self.split.len() + shift.split.len() > MOST;
        if shift.from != self.version || too_many {
            return None;
        }
        let gone: BTreeSet<_> =
            shift.left.iter().chain(shift.came.iter().map(|p| &p.name)).map(CompactString::as_str).collect();
        let stay = self.peers.iter().filter(|p| !gone.contains(p.name.as_str()));
        let peers = stay.chain(&shift.came).cloned().collect();
        let ended: BTreeSet<_> = shift.ended.iter().collect();
        let leave = self.leaving.iter().filter(|p| !ended.contains(&p.name)).chain(&shift.leaving);
        let leaving = leave.cloned().collect();
        let joined: BTreeSet<_> = shift.joined.iter().collect();
        let split = self.split.iter().filter(|name| !joined.contains(name)).chain(&shift.split);
        Some(MembershipView::new(shift.version, peers, split.cloned()).with_leaving(leaving))
    }
}

/// In the order of their names; of two of one name the last counts.
fn in_order(mut peers: Vec<Peer>) -> Vec<Peer> {
    peers.reverse();
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    peers.dedup_by(|a, b| a.name == b.name);
    peers
}

fn find<'a>(peers: &'a [Peer], name: &str) -> Option<&'a Peer> {
    let at = peers.binary_search_by(|p| p.name.as_str().cmp(name)).ok()?;
    peers.get(at)
}

/// Of two lists in order: those that are new here or have moved since, and those of there that are here no more.
fn differ<'a>(here: &'a [Peer], there: &'a [Peer]) -> (Vec<&'a Peer>, Vec<&'a Peer>) {
    let (mut came, mut left) = (Vec::new(), Vec::new());
    let (mut here, mut there) = (here.iter().peekable(), there.iter().peekable());
    loop {
        let order = match (here.peek(), there.peek()) {
            (Some(a), Some(b)) => a.name.cmp(&b.name),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return (came, left),
        };
        match order {
            Ordering::Less => came.extend(here.next()),
            Ordering::Greater => left.extend(there.next()),
            Ordering::Equal => {
                let (a, b) = (here.next(), there.next());
                came.extend(a.filter(|_| a != b));
            }
        }
    }
}

/// The hash by which a stall stands for functions.
pub fn peer_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 7)
}

impl ViewChange {
    pub(crate) fn to_json(&self) -> JsonValue {
        object([
            ("t", text("shift")),
            ("v", version(self.version)),
            ("from", version(self.from)),
            ("came", peers_or_none(&self.came)),
            ("left", names(&self.left)),
            ("leaving", peers_or_none(&self.leaving)),
            ("ended", names(&self.ended)),
            ("split", names(&self.split)),
            ("joined", names(&self.joined)),
        ])
    }

    pub(crate) fn read(value: &JsonValue) -> Result<ViewChange, Fault> {
        let of = map(value, "shift")?;
        Ok(ViewChange {
            version: read_version(of, "v")?,
            from: read_version(of, "from")?,
            came: list(of, "came")?.iter().map(Peer::read).collect::<Result<_, _>>()?,
            left: read_names(of, "left")?,
            leaving: list(of, "leaving")?.iter().map(Peer::read).collect::<Result<_, _>>()?,
            ended: read_names(of, "ended")?,
            split: read_names(of, "split")?,
            joined: read_names(of, "joined")?,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(n: u64, address: u64) -> Peer {
        Peer {
            name: format!("edge-{n}").into(),
            address: format!("10.0.{address}.{n}:7760").into(),
            zone: ["a", "b"][(address % 2) as usize].into(),
        }
    }

    /// Any naming, out of the digits of a number.
    fn roster(count: u64, draw: u64) -> MembershipView {
        let bit = |n: u64| draw >> n & 1 == 1;
        let peers = (0..10).filter(|n| bit(*n)).map(|n| peer(n, u64::from(bit(n + 10))));
        let split = (0..4).filter(|n| bit(n + 20)).map(|n| format!("f{n}").into());
        let leaving = (0..10).filter(|n| bit(n + 21)).map(|n| peer(n, u64::from(bit(n + 10))));
        MembershipView::new((1, count), peers.collect(), split).with_leaving(leaving.collect())
    }

    #[test]
    fn a_shift_leads_from_any_naming_to_any_other_and_from_no_third() {
        let mut draw = 7_u64;
        let mut before = MembershipView::default();
        for count in 1..500 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let after = roster(count, draw >> 33);
            let shift = after.change_from(&before);
            let read = PeerMessage::read(&PeerMessage::ViewChange(shift.clone()).to_json());
            assert_eq!(read, Ok(PeerMessage::ViewChange(shift.clone())));
            assert_eq!(before.apply(&shift).as_ref(), Some(&after));
            assert_eq!(after.apply(&shift), None, "it goes from another");
            let same = (&after.peers, &after.split, &after.leaving)
                == (&before.peers, &before.split, &before.leaving);
            assert_eq!(after.digest() == before.digest(), same);
            assert_eq!(shift.came.is_empty() && shift.left.is_empty(), after.peers == before.peers);
            let lived = |n: u64| before.find_living(&peer(n, 0).name).is_some();
            let lives = |n: u64| after.find_living(&peer(n, 0).name).is_some();
            let gone: Vec<_> = after.gone_since(&before).map(|p| p.name.clone()).collect();
            let expected: BTreeSet<_> =
                (0..10).filter(|n| lived(*n) && !lives(*n)).map(|n| peer(n, 0).name).collect();
            assert_eq!(gone.iter().cloned().collect::<BTreeSet<_>>(), expected);
            assert!(after.leaving.iter().all(|p| after.find(&p.name).is_none()), "none in both lists");
            before = after;
        }
    }

    #[test]
    fn of_two_of_one_name_the_last_counts_and_no_shift_leads_to_too_many() {
        let twice = MembershipView::new((1, 1), vec![peer(2, 1), peer(1, 1), peer(2, 3)], []);
        assert_eq!(twice.peers(), [peer(1, 1), peer(2, 3)]);
        assert_eq!(twice.find("edge-2"), Some(&peer(2, 3)));
        assert_eq!(twice.find("edge-3"), None);
        let came: Vec<_> = (0..MOST as u64).map(|n| peer(n, 0)).collect();
        let shift = ViewChange { version: (1, 2), from: (1, 1), came, ..ViewChange::default() };
        assert_eq!(twice.apply(&shift), None);
        let split = (0..=MOST).map(|n| format!("f{n}").into()).collect();
        let shift = ViewChange { version: (1, 2), from: (1, 1), split, ..ViewChange::default() };
        assert_eq!(twice.apply(&shift), None);
    }
}
