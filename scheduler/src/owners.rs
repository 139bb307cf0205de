//! Function ownership by rendezvous hashing over the proxies that are alive. All proxies with the same
//! view agree on the owner, and when a proxy leaves only its functions move.
//!
//! A function with more load than one proxy can schedule is *split*: each zone with a proxy becomes a
//! *partition* with an owner from that zone, which handles the requests that arrive there and owns the
//! instances located there. Instances in a zone without a proxy belong to the partition of another zone.

use std::collections::BTreeSet;

use compact_str::CompactString;
pub use millpost_protocol::Peer;
use millpost_protocol::{MembershipView, Version, ViewChange, peer_hash};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The proxies of the latest membership view from the controller.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    view: MembershipView,
    /// Hash seeds of the proxies, in the order of `peers`.
    seeds: Vec<u64>,
    zones: BTreeSet<CompactString>,
}

impl From<MembershipView> for Owners {
    fn from(view: MembershipView) -> Self {
        let seeds = view.peers().iter().map(|p| peer_hash(&p.name)).collect();
        let zones = view.peers().iter().map(|p| &p.zone).collect::<BTreeSet<_>>();
        Owners { seeds, zones: zones.into_iter().cloned().collect(), view }
    }
}

pub(crate) fn hash(service: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), seed)
}

impl Owners {
    /// Creates the ownership of a view with these proxies, in which the functions in `split` have an owner
    /// in each zone.
    pub fn new(version: Version, peers: Vec<Peer>, split: impl IntoIterator<Item = CompactString>) -> Self {
        MembershipView::new(version, peers, split).into()
    }

    /// Applies a change to the view; `None` if it is relative to another version.
    pub fn apply_change(&self, change: &ViewChange) -> Option<Self> {
        self.view.apply(change).map(Owners::from)
    }

    /// The membership view.
    pub fn view(&self) -> &MembershipView {
        &self.view
    }

    /// Fencing number of the leader that issued the view, and its sequence number.
    pub fn version(&self) -> Version {
        self.view.version()
    }

    /// Functions with an owner in each zone.
    pub fn split(&self) -> &BTreeSet<CompactString> {
        self.view.split()
    }

    /// Number of partitions of a function.
    pub fn partition_count(&self, service: &str) -> usize {
        if self.split().contains(service) { self.zones.len().max(1) } else { 1 }
    }

    /// Zone of the partition that instances in `zone` belong to.
    fn partition_zone<'a>(&'a self, service: &str, zone: &'a str) -> &'a str {
        if self.zones.contains(zone) {
            return zone;
        }
        let seed = xxh3_64_with_seed(zone.as_bytes(), 11);
        let nearest =
            self.zones.iter().max_by_key(|z| hash(service, seed ^ xxh3_64_with_seed(z.as_bytes(), 13)));
        nearest.map_or(zone, CompactString::as_str)
    }

    /// The proxies, ordered by name.
    pub fn peers(&self) -> &[Peer] {
        self.view.peers()
    }

    /// Finds a proxy that can own functions.
    pub fn find(&self, name: &str) -> Option<&Peer> {
        self.view.find(name)
    }

    /// Finds a proxy that is alive, including one that is shutting down and owns nothing any more.
    pub fn find_living(&self, name: &str) -> Option<&Peer> {
        self.view.find_living(name)
    }

    /// Number of proxies.
    pub fn len(&self) -> usize {
        self.peers().len()
    }

    /// Whether there are no proxies.
    pub fn is_empty(&self) -> bool {
        self.peers().is_empty()
    }

    /// Owner of a function in a zone, and the proxy that is asked when the owner cannot be reached.
    pub fn owner_and_deputy(&self, service: &str, zone: &str) -> [Option<&Peer>; 2] {
        let first = self.owner(service, zone, |_| true);
        let second = first.and_then(|first| self.owner(service, zone, |p| p.name != first.name));
        [first, second]
    }

    /// Owner of a function in a zone among the proxies for which `may` returns true. A function that is
    /// not split has the same owner in all zones.
    pub fn owner(&self, service: &str, zone: &str, may: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        if self.split().contains(service) {
            let home_zone = self.partition_zone(service, zone);
            let in_zone = self.highest_ranked(service, |p| p.zone == home_zone && may(p));
            if in_zone.is_some() {
                return in_zone;
            }
        }
        self.highest_ranked(service, may)
    }

    /// Checks whether a proxy owns a function in a zone. The error is the seed of a proxy that ranks above
    /// it there, or 0 if the proxy is no candidate there. Stops at the first such proxy rather than
    /// finding the owner.
    pub fn owns(&self, me: &str, service: &str, zone: &str) -> Result<(), u64> {
        let me = self.find(me).ok_or(0_u64)?;
        let home_zone = self.split().contains(service).then(|| self.partition_zone(service, zone));
        if home_zone.is_some_and(|home_zone| me.zone != home_zone) {
            return Err(0);
        }
        let rank = (hash(service, peer_hash(&me.name)), &me.name);
        let mut others =
            self.seeds.iter().zip(self.peers()).filter(|(_, p)| home_zone.is_none_or(|z| p.zone == z));
        others
            .find(|(seed, p)| (hash(service, **seed), &p.name) > rank)
            .map_or(Ok(()), |(seed, _)| Err(*seed))
    }

    /// Zones of the partitions of a function; only `home` if it has a single owner.
    pub fn partition_zones<'a>(&'a self, service: &str, home: &'a str) -> Vec<&'a str> {
        if self.split().contains(service) {
            self.zones.iter().map(CompactString::as_str).collect()
        } else {
            vec![home]
        }
    }

    fn highest_ranked(&self, service: &str, may: impl Fn(&Peer) -> bool) -> Option<&Peer> {
        let of = self.seeds.iter().zip(self.peers()).filter(|(_, p)| may(p));
        of.max_by_key(|(seed, p)| (hash(service, **seed), &p.name)).map(|(_, p)| p)
    }

    /// What has to be recomputed at proxy `me` relative to the previous view.
    pub fn change_since(&self, before: &Owners, me: &str) -> OwnershipChange {
        if self.find(me).is_some() != before.find(me).is_some() {
            return OwnershipChange { all: true, ..OwnershipChange::default() };
        }
        let (joined, left) = self.view.diff_peers(&before.view);
        let joined = joined.into_iter().filter(|p| before.find(&p.name).is_none());
        let mut left: Vec<_> = left.into_iter().map(|p| peer_hash(&p.name)).collect();
        left.sort_unstable();
        let split = self.split().union(before.split()).cloned().collect();
        OwnershipChange {
            all: false,
            me: peer_hash(me),
            joined: joined.map(|p| peer_hash(&p.name)).collect(),
            left,
            split,
        }
    }
}

/// What has to be recomputed at a proxy after others have joined or left.
#[derive(Debug, Default)]
pub struct OwnershipChange {
    all: bool,
    me: u64,
    joined: Vec<u64>,
    /// Sorted.
    left: Vec<u64>,
    /// Functions that are or were split.
    split: BTreeSet<CompactString>,
}

impl OwnershipChange {
    /// Recompute everything.
    pub fn all() -> Self {
        OwnershipChange { all: true, ..OwnershipChange::default() }
    }

    /// Whether everything is to be recomputed.
    pub(crate) fn is_full(&self) -> bool {
        self.all
    }

    /// Functions that are or were split.
    pub(crate) fn split(&self) -> impl Iterator<Item = &CompactString> {
        self.split.iter()
    }

    /// Whether the proxy with this seed has left.
    pub(crate) fn has_left(&self, rival: u64) -> bool {
        self.left.binary_search(&rival).is_ok()
    }

    /// Whether a proxy that joined ranks above this one for a function.
    pub(crate) fn may_lose(&self, service: &str) -> bool {
        let rank = hash(service, self.me);
        self.joined.iter().any(|seed| hash(service, *seed) >= rank)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn departure_moves_only_owned_functions_and_all_agree() {
        let peer =
            |n: usize| Peer { name: format!("edge-{n}").into(), address: "a".into(), zone: "z".into() };
        let all = Owners::new((1, 1), (0..6).map(peer).collect(), []);
        let reversed = Owners::new((1, 1), (0..6).rev().map(peer).collect(), []);
        let mut owned = [0; 6];
        for n in 0..600 {
            let service = format!("s{n}");
            let owner = all.owner(&service, "y", |_| true).expect("an owner").name.clone();
            assert_eq!(reversed.owner(&service, "z", |_| true).expect("an owner").name, owner);
            let second = all.owner(&service, "z", |p| p.name != "edge-3").expect("an owner").name.clone();
            assert!(owner == "edge-3" || second == owner);
            owned[owner[5..].parse::<usize>().expect("a number")] += 1;
        }
        assert!(owned.iter().all(|n| (60..150).contains(n)), "{owned:?}");
    }

    #[test]
    fn split_function_has_an_owner_per_zone_and_empty_zones_map_to_another() {
        let peer = |n: usize| Peer {
            name: format!("edge-{n}").into(),
            address: "a".into(),
            zone: ["a", "b", "c"][n % 3].into(),
        };
        let named = Owners::new((1, 1), (0..12).map(peer).collect(), ["hot".into()]);
        assert_eq!((named.partition_count("hot"), named.partition_count("rare")), (3, 1));
        let mut owners = BTreeSet::new();
        for zone in ["a", "b", "c"] {
            let [first, second] = named.owner_and_deputy("hot", zone).map(|p| p.expect("an owner").clone());
            assert!(first.zone == zone && second.zone == zone && first.name != second.name);
            owners.insert(first.name.clone());
            // If no proxy of the zone can be reached, one from another zone is asked.
            let away = named.owner("hot", zone, |p| p.zone != zone).expect("an owner");
            assert_ne!(away.zone, zone);
        }
        assert_eq!(owners.len(), 3);
        let stray = named.owner("hot", "d", |_| true).expect("an owner").name.clone();
        assert!(owners.contains(&stray), "a partition of another zone");
        let everywhere =
            ["a", "b", "d"].map(|z| named.owner("rare", z, |_| true).expect("an owner").name.clone());
        assert!(everywhere.iter().all(|name| *name == everywhere[0]));
    }

    #[test]
    fn owns_agrees_with_owner_and_returns_a_higher_ranked_rival() {
        let peer = |n: usize| Peer {
            name: format!("edge-{n}").into(),
            address: "a".into(),
            zone: ["a", "b", "c"][n % 3].into(),
        };
        let named = Owners::new((1, 1), (0..9).map(peer).collect(), ["s1".into(), "s2".into()]);
        for service in (0..40).map(|n| format!("s{n}")) {
            for (zone, n) in ["a", "b", "d"].into_iter().flat_map(|z| (0..10).map(move |n| (z, n))) {
                let me = format!("edge-{n}");
                let owner = named.owner(&service, zone, |_| true).expect("an owner");
                match named.owns(&me, &service, zone) {
                    Ok(()) => assert_eq!(owner.name, me),
                    Err(0) => assert!(n == 9 || ["s1", "s2"].contains(&service.as_str())),
                    Err(rival) => {
                        assert_ne!(owner.name, me);
                        assert!(hash(&service, rival) > hash(&service, peer_hash(&me)));
                    }
                }
            }
        }
    }
}
