//! Cache of the owner and deputy of each requested function, updated as proxies join and leave.
//!
//! Invariant: the cache holds what [`Owners::owner_and_deputy`] returns. A joining proxy costs one hash
//! per cached function; a leaving one costs a full ranking of the functions it was owner or deputy of, and
//! nothing for others.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use millpost_protocol::peer_hash;

use crate::owners::{Owners, hash};

/// Owner and deputy with their rank.
type RankedPair = [Option<(u64, CompactString)>; 2];

/// The owners and the cached pairs of requested functions.
#[derive(Debug, Default)]
pub struct OwnerRanking {
    owners: Owners,
    /// By function, and by zone if it is split.
    pairs: BTreeMap<(CompactString, CompactString), RankedPair>,
}

fn names(pair: &RankedPair) -> impl Iterator<Item = &CompactString> {
    pair.iter().flatten().map(|(_, name)| name)
}

fn rank(owners: &Owners, service: &str, zone: &str) -> RankedPair {
    owners
        .owner_and_deputy(service, zone)
        .map(|p| p.map(|p| (hash(service, peer_hash(&p.name)), p.name.clone())))
}

impl OwnerRanking {
    /// The current owners.
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// Owner of a function in a zone, and the proxy that is asked when the owner cannot be reached.
    pub fn owner_and_deputy(
        &mut self,
        service: &CompactString,
        zone: &CompactString,
    ) -> impl Iterator<Item = &CompactString> {
        let zone =
            if self.owners.partition_count(service) > 1 { zone.clone() } else { CompactString::default() };
        let key = (service.clone(), zone);
        let owners = &self.owners;
        names(self.pairs.entry(key).or_insert_with_key(|(service, zone)| rank(owners, service, zone)))
    }

    /// Adds a function to the cache.
    pub fn track(&mut self, service: &CompactString, zone: &CompactString) {
        let _ = self.owner_and_deputy(service, zone);
    }

    /// Drops functions that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.pairs.retain(|(service, _), _| exists(service));
    }

    /// Applies a new view. Returns the proxies that are owner or deputy of other requested functions than
    /// before, and the functions that were split or joined, which are dropped from the cache.
    pub fn update(&mut self, owners: Owners) -> (BTreeSet<CompactString>, BTreeSet<CompactString>) {
        let before = std::mem::replace(&mut self.owners, owners);
        let owners = &self.owners;
        let (joined, left) = owners.view().diff_peers(before.view());
        let left: BTreeSet<_> = left.into_iter().map(|p| &p.name).collect();
        let mut reassigned: BTreeSet<_> = joined.iter().map(|p| p.name.clone()).collect();
        let joined: Vec<_> = joined
            .into_iter()
            .filter(|p| before.find(&p.name).is_none())
            .map(|p| (peer_hash(&p.name), &p.name))
            .collect();
        let split: BTreeSet<_> = owners.split().union(before.split()).collect();
        let resplit: BTreeSet<_> = split
            .iter()
            .filter(|s| (owners.partition_count(s) > 1) != (before.partition_count(s) > 1))
            .map(|s| (*s).clone())
            .collect();
        self.pairs.retain(|(service, zone), pair| {
            if resplit.contains(service) {
                reassigned.extend(names(pair).cloned());
                return false;
            }
            let now = if split.contains(service) || names(pair).any(|name| left.contains(name)) {
                rank(owners, service, zone)
            } else {
                let mut now = pair.clone();
                for (seed, name) in &joined {
                    let rank = Some((hash(service, *seed), (*name).clone()));
                    if rank > now[0] {
                        now = [rank, now[0].take()];
                    } else if rank > now[1] {
                        now[1] = rank;
                    }
                }
                now
            };
            if now != *pair {
                reassigned.extend(names(pair).filter(|name| !names(&now).any(|n| n == *name)).cloned());
                reassigned.extend(names(&now).filter(|name| !names(pair).any(|n| n == *name)).cloned());
                *pair = now;
            }
            true
        });
        (reassigned, resplit)
    }
}

#[cfg(test)]
mod tests {
    use millpost::RandomSource;

    use super::*;
    use crate::owners::Peer;

    #[test]
    fn cache_equals_full_ranking_and_changed_proxies_are_returned() {
        let mut dice = RandomSource::seeded(3);
        let mut below = |n: u64| (dice.next_f64() * n as f64) as u64;
        let zones = ["a", "b", "c"].map(CompactString::from);
        let services: Vec<CompactString> = (0..30).map(|n| format!("f{n}").into()).collect();
        let (mut ranking, mut alive, mut split) = (OwnerRanking::default(), BTreeMap::new(), BTreeSet::new());
        for count in 1..600 {
            for _ in 0..=below(2) {
                let n = below(12);
                if alive.len() > 1 && below(2) == 0 {
                    alive.remove(&n);
                } else {
                    alive.insert(n, below(3) as usize);
                }
            }
            let service = &services[below(4) as usize];
            if below(4) == 0 && !split.remove(service) {
                split.insert(service.clone());
            }
            let peer = |(n, zone): (&u64, &usize)| {
                let zone = zones[*zone].clone();
                Peer { name: format!("edge-{n}").into(), address: "a".into(), zone }
            };
            let owners = Owners::new((1, count), alive.iter().map(peer).collect(), split.iter().cloned());
            let keys: Vec<_> =
                services.iter().flat_map(|s| zones.iter().map(move |z| (s.clone(), z.clone()))).collect();
            let pair =
                |ranking: &mut OwnerRanking, service: &CompactString, zone: &CompactString| -> BTreeSet<_> {
                    ranking.owner_and_deputy(service, zone).cloned().collect()
                };
            let before: Vec<_> = keys.iter().map(|(s, z)| pair(&mut ranking, s, z)).collect();
            let kept = ranking.pairs.len();
            let (reassigned, resplit) = ranking.update(owners.clone());
            assert!(ranking.pairs.len() == kept || !resplit.is_empty());
            for ((service, zone), before) in keys.iter().zip(before) {
                let expected = owners.owner_and_deputy(service, zone).map(|p| p.map(|p| &p.name));
                assert_eq!(
                    ranking.owner_and_deputy(service, zone).collect::<Vec<_>>(),
                    Vec::from_iter(expected.into_iter().flatten())
                );
                let now = pair(&mut ranking, service, zone);
                let others = || before.symmetric_difference(&now).all(|name| reassigned.contains(name));
                assert!(resplit.contains(service) || others(), "{service}");
                assert!(!resplit.contains(service) || before.iter().all(|name| reassigned.contains(name)));
            }
        }
    }
}
