//! Membership views: the live proxies as published by the controller, and the difference between two views.
//!
//! A proxy that is shutting down or was drained by an operator is *leaving*: it owns no functions, but it is
//! alive, completes its requests and must still be answered. A proxy in neither list is considered gone.
//!
//! Invariants: peers are sorted by name, and no name occurs twice or in both lists. Applying a change to the
//! view that it starts from yields exactly the target view; applying it to any other view fails.

use std::cmp::Ordering;
use std::collections::BTreeSet;

use compact_str::CompactString;
use tinyjson::JsonValue;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::json::{Fault, list, object, text};
use crate::peer_message::{
    Peer, PeerMessage, Version, map, names, peers_or_null, read_names, read_version, version,
};

/// Maximum number of peers in each list and of split functions. A change that exceeds it is rejected.
const MAX_ENTRIES: usize = 10_000;

/// A complete view of the live proxies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipView {
    version: Version,
    peers: Vec<Peer>,
    leaving: Vec<Peer>,
    split: BTreeSet<CompactString>,
}

/// The difference between two membership views.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewChange {
    /// Version of the target view.
    pub version: Version,
    /// Version of the view that the change applies to.
    pub from: Version,
    /// Members that are new, or whose address or zone changed.
    pub came: Vec<Peer>,
    /// Names of peers that are members no longer: they are leaving or gone.
    pub left: Vec<CompactString>,
    /// Peers that started leaving, or whose address or zone changed while leaving.
    pub leaving: Vec<Peer>,
    /// Names of leaving peers that are now gone.
    pub ended: Vec<CompactString>,
    /// Functions that now have one owner per zone.
    pub split: Vec<CompactString>,
    /// Functions that no longer have one owner per zone.
    pub joined: Vec<CompactString>,
}

impl MembershipView {
    /// Creates a view from peers in any order. Of several peers with one name the last is kept.
    pub fn new(version: Version, peers: Vec<Peer>, split: impl IntoIterator<Item = CompactString>) -> Self {
        MembershipView {
            version,
            peers: sort_by_name(peers),
            leaving: Vec::new(),
            split: split.into_iter().collect(),
        }
    }

    /// Sets the leaving peers; those that are also members are ignored.
    #[must_use]
    pub fn with_leaving(mut self, mut leaving: Vec<Peer>) -> Self {
        leaving.retain(|peer| self.find(&peer.name).is_none());
        self.leaving = sort_by_name(leaving);
        self
    }

    /// Fence of the leader that published the view, and the leader's view count.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Members, sorted by name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Functions that have one owner per zone.
    pub fn split(&self) -> &BTreeSet<CompactString> {
        &self.split
    }

    /// Leaving peers, sorted by name.
    pub fn leaving(&self) -> &[Peer] {
        &self.leaving
    }

    /// Returns the member with this name.
    pub fn find(&self, name: &str) -> Option<&Peer> {
        find(&self.peers, name)
    }

    /// Returns the live peer with this name, whether a member or leaving.
    pub fn find_living(&self, name: &str) -> Option<&Peer> {
        self.find(name).or_else(|| find(&self.leaving, name))
    }

    /// Peers that were alive in the `before` view and are not in this one.
    pub fn gone_since<'a>(&'a self, before: &'a MembershipView) -> impl Iterator<Item = &'a Peer> {
        before.peers.iter().chain(&before.leaving).filter(|peer| self.find_living(&peer.name).is_none())
    }

    /// Hash of the peers and split functions; the version is not included.
    pub fn digest(&self) -> u64 {
        let mut all = Xxh3::with_seed(17);
        let mut add = |text: &str| {
            all.update(text.as_bytes());
            // Separator: 0xff does not occur in UTF-8.
            all.update(&[0xff]);
        };
        for peer in &self.peers {
            [&peer.name, &peer.address, &peer.zone].into_iter().for_each(|text| add(text));
        }
        add("");
        self.split.iter().for_each(|name| add(name));
        // An empty list is not hashed, so that the digest equals that of releases without leaving peers.
        if !self.leaving.is_empty() {
            add("");
            for peer in &self.leaving {
                [&peer.name, &peer.address, &peer.zone].into_iter().for_each(|text| add(text));
            }
        }
        all.digest()
    }

    /// The whole view as a message, for a recipient that has no earlier view.
    pub fn to_message(&self) -> PeerMessage {
        let split = self.split.iter().cloned().collect();
        let (peers, leaving) = (self.peers.clone(), self.leaving.clone());
        PeerMessage::FullView { version: self.version, peers, leaving, split }
    }

    /// Returns the members that were added or changed since `before`, and the members of `before` that are
    /// not in this view.
    pub fn diff_peers<'a>(&'a self, before: &'a MembershipView) -> (Vec<&'a Peer>, Vec<&'a Peer>) {
        diff(&self.peers, &before.peers)
    }

    /// Computes the change from `before` to this view.
    pub fn change_from(&self, before: &MembershipView) -> ViewChange {
        let (came, left) = self.diff_peers(before);
        let (leaving, _) = diff(&self.leaving, &before.leaving);
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

    /// Applies a change. Returns `None` if it starts from another version or exceeds `MAX_ENTRIES`.
    pub fn apply(&self, change: &ViewChange) -> Option<MembershipView> {
        let too_large = self.peers.len() + change.came.len() > MAX_ENTRIES
            || self.leaving.len() + change.leaving.len() > MAX_ENTRIES
            || self.split.len() + change.split.len() > MAX_ENTRIES;
        if change.from != self.version || too_large {
            return None;
        }
        let gone: BTreeSet<_> = change
            .left
            .iter()
            .chain(change.came.iter().map(|p| &p.name))
            .map(CompactString::as_str)
            .collect();
        let kept = self.peers.iter().filter(|p| !gone.contains(p.name.as_str()));
        let peers = kept.chain(&change.came).cloned().collect();
        let ended: BTreeSet<_> = change.ended.iter().collect();
        let still_leaving = self.leaving.iter().filter(|p| !ended.contains(&p.name)).chain(&change.leaving);
        let leaving = still_leaving.cloned().collect();
        let joined: BTreeSet<_> = change.joined.iter().collect();
        let split = self.split.iter().filter(|name| !joined.contains(name)).chain(&change.split);
        Some(MembershipView::new(change.version, peers, split.cloned()).with_leaving(leaving))
    }
}

/// Sorts peers by name; of several with one name the last is kept.
fn sort_by_name(mut peers: Vec<Peer>) -> Vec<Peer> {
    peers.reverse();
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    peers.dedup_by(|a, b| a.name == b.name);
    peers
}

fn find<'a>(peers: &'a [Peer], name: &str) -> Option<&'a Peer> {
    let at = peers.binary_search_by(|p| p.name.as_str().cmp(name)).ok()?;
    peers.get(at)
}

/// Compares two sorted lists. Returns the peers of `here` that are new or changed, and the peers of `there`
/// that are not in `here`.
fn diff<'a>(here: &'a [Peer], there: &'a [Peer]) -> (Vec<&'a Peer>, Vec<&'a Peer>) {
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

/// Hash of a proxy's name, used in rendezvous hashing to choose the owners of functions.
pub fn peer_hash(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 7)
}

impl ViewChange {
    pub(crate) fn to_json(&self) -> JsonValue {
        object([
            ("t", text("shift")),
            ("v", version(self.version)),
            ("from", version(self.from)),
            ("came", peers_or_null(&self.came)),
            ("left", names(&self.left)),
            ("leaving", peers_or_null(&self.leaving)),
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

    /// Derives an arbitrary view from the bits of a number.
    fn arbitrary_view(count: u64, random: u64) -> MembershipView {
        let bit = |n: u64| random >> n & 1 == 1;
        let peers = (0..10).filter(|n| bit(*n)).map(|n| peer(n, u64::from(bit(n + 10))));
        let split = (0..4).filter(|n| bit(n + 20)).map(|n| format!("f{n}").into());
        let leaving = (0..10).filter(|n| bit(n + 21)).map(|n| peer(n, u64::from(bit(n + 10))));
        MembershipView::new((1, count), peers.collect(), split).with_leaving(leaving.collect())
    }

    #[test]
    fn a_change_applies_only_to_the_view_it_starts_from_and_yields_the_target_view() {
        let mut random = 7_u64;
        let mut before = MembershipView::default();
        for count in 1..500 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let after = arbitrary_view(count, random >> 33);
            let change = after.change_from(&before);
            let read = PeerMessage::read(&PeerMessage::ViewChange(change.clone()).to_json());
            assert_eq!(read, Ok(PeerMessage::ViewChange(change.clone())));
            assert_eq!(before.apply(&change).as_ref(), Some(&after));
            assert_eq!(after.apply(&change), None, "the change starts from another view");
            let same = (&after.peers, &after.split, &after.leaving)
                == (&before.peers, &before.split, &before.leaving);
            assert_eq!(after.digest() == before.digest(), same);
            assert_eq!(change.came.is_empty() && change.left.is_empty(), after.peers == before.peers);
            let was_alive = |n: u64| before.find_living(&peer(n, 0).name).is_some();
            let is_alive = |n: u64| after.find_living(&peer(n, 0).name).is_some();
            let gone: Vec<_> = after.gone_since(&before).map(|p| p.name.clone()).collect();
            let expected: BTreeSet<_> =
                (0..10).filter(|n| was_alive(*n) && !is_alive(*n)).map(|n| peer(n, 0).name).collect();
            assert_eq!(gone.iter().cloned().collect::<BTreeSet<_>>(), expected);
            assert!(after.leaving.iter().all(|p| after.find(&p.name).is_none()), "no peer is in both lists");
            before = after;
        }
    }

    #[test]
    fn the_last_of_two_peers_with_one_name_is_kept_and_too_large_changes_are_rejected() {
        let view = MembershipView::new((1, 1), vec![peer(2, 1), peer(1, 1), peer(2, 3)], []);
        assert_eq!(view.peers(), [peer(1, 1), peer(2, 3)]);
        assert_eq!(view.find("edge-2"), Some(&peer(2, 3)));
        assert_eq!(view.find("edge-3"), None);
        let came: Vec<_> = (0..MAX_ENTRIES as u64).map(|n| peer(n, 0)).collect();
        let change = ViewChange { version: (1, 2), from: (1, 1), came, ..ViewChange::default() };
        assert_eq!(view.apply(&change), None);
        let split = (0..=MAX_ENTRIES).map(|n| format!("f{n}").into()).collect();
        let change = ViewChange { version: (1, 2), from: (1, 1), split, ..ViewChange::default() };
        assert_eq!(view.apply(&change), None);
    }
}
