//! Decides which voters are succeeded by controllers that were added to the running system.
//!
//! A voter may be removed for good once its successor had time to catch up, and the removal then no longer
//! counts as a loss: others may be lost right after it. Nothing tells which controller an added one succeeds,
//! except that both are in the same zone.
//!
//! Invariant: once no change is due, each available controller that was added votes, unless a controller of its
//! zone that does not vote may be the one that it succeeds. If it succeeds the only voter of its zone, it votes
//! in its place; if it may succeed one of several, or one elsewhere, it is an additional voter, so that a
//! majority of the voters and the tolerated losses outlive the removal of whichever it is.
//!
//! A change adds at most as many voters as may be lost at the same time: with majorities of both sets it can be
//! completed or rolled back without all of those that join.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_quorum::{Address, VoterChange};

use crate::Nanos;
use crate::voters::{SILENCE_TIMEOUT, VoterView, spares};

/// A zone with controllers that were added and do not vote yet.
struct Zone {
    /// Available controllers that were added and do not vote yet, by address.
    successors: Vec<Address>,
    /// The voters in this zone. Those that started the system come first.
    voters: Vec<Address>,
    /// Whether another controller of this zone is known that does not vote.
    has_other: bool,
}

impl Zone {
    /// Returns the voters and the successors in their places, if each voter of the zone has a successor.
    fn pairs(&self) -> impl Iterator<Item = (Address, Address)> {
        let certain = self.successors.len() >= self.voters.len();
        let pairs = self.voters.iter().cloned().zip(self.successors.iter().cloned());
        pairs.filter(move |_| certain)
    }
}

/// Returns the next change by which controllers that were added vote, if there is one.
pub(crate) fn change(now: Nanos, view: VoterView<'_>) -> Option<VoterChange> {
    if !view.members.voters.iter().all(|voter| view.location(voter).is_some()) {
        return None;
    }
    let zones = zones(now, view);
    let limit = view.tolerance.losses().max(1);
    let (old, new): (Vec<_>, Vec<_>) = zones.iter().flat_map(Zone::pairs).take(limit).unzip();
    let uncertain = || zones.iter().find_map(|zone| uncertain_change(now, view, zone));
    VoterChange::exchange(&old, &new).or_else(uncertain)
}

/// Returns whether controllers were added that do not vote yet.
pub(crate) fn is_pending(now: Nanos, view: VoterView<'_>) -> bool {
    spares(now, view.members, view.peers).any(|(_, seen)| seen.added && !seen.voting)
}

/// Adds a successor of an unknown controller, or, if there are enough additional voters, replaces the voter that
/// it succeeds most probably.
fn uncertain_change(now: Nanos, view: VoterView<'_>, zone: &Zone) -> Option<VoterChange> {
    // Controllers that were not heard since the start of this one may be in the zone.
    let has_other = zone.has_other || now < SILENCE_TIMEOUT;
    if zone.voters.is_empty() && has_other {
        return None;
    }
    let new = zone.successors.first()?.clone();
    let addition = VoterChange::Add(new.clone());
    if !view.has_additional_voter() && view.bears_tolerance_after(&addition) {
        return Some(addition);
    }
    let old = zone.voters.first()?.clone();
    Some(VoterChange::Replace { old, new })
}

/// Returns the zones with controllers that were added and do not vote yet.
fn zones(now: Nanos, view: VoterView<'_>) -> Vec<Zone> {
    let mut successors = BTreeMap::<&CompactString, Vec<Address>>::new();
    for (address, seen) in spares(now, view.members, view.peers) {
        if let Some(location) = seen.location.as_ref().filter(|_| seen.added && !seen.voting) {
            successors.entry(&location.zone).or_default().push(address.clone());
        }
    }
    let zone_of = |address: &Address| view.location(address).map(|location| &location.zone);
    let added = |address: &Address| {
        if address == view.me { view.added } else { view.peers.get(address).is_some_and(|seen| seen.added) }
    };
    let zone = |(zone, successors): (&CompactString, Vec<Address>)| {
        let in_zone = |address: &&Address| zone_of(address) == Some(zone);
        let mut voters: Vec<_> = view.members.voters.iter().filter(in_zone).cloned().collect();
        voters.sort_by_key(|voter| added(voter));
        let others = view.peers.keys().filter(in_zone);
        let has_other = others.into_iter().any(|a| !view.members.contains(a) && !successors.contains(a));
        Zone { successors, voters, has_other }
    };
    successors.into_iter().map(zone).collect()
}

#[cfg(test)]
mod tests {
    use millpost_quorum::Members;

    use super::*;
    use crate::gossip::PeerState;
    use crate::placement::{Location, LossTolerance};
    use crate::{MS, voters::VoterAction, voters::Voters};

    const NOW: Nanos = 10_000 * MS;

    fn location(name: &str) -> Location {
        Location { zone: name[..1].into(), region: "r".into() }
    }

    /// Lets the voters change until nothing is due, and returns them with the number of changes. Controllers are named
    /// by their zone and a number; `+` marks those that were added, `?` those whose zone is not known.
    fn settle(voters: &[&str], others: &[&str], tolerance: LossTolerance) -> (String, usize) {
        let address = |name: &&str| -> Address { name.trim_end_matches(['+', '?']).into() };
        let mut peers: BTreeMap<Address, PeerState> = BTreeMap::new();
        for name in voters[1..].iter().chain(others) {
            let location = (!name.ends_with('?')).then(|| location(name));
            let (added, voting) = (name.ends_with('+'), voters.contains(name));
            let seen = PeerState { last_heard: NOW, voting, leaving: false, added, location };
            peers.insert(address(name), seen);
        }
        let mut members = Members::initial("u", voters.iter().map(address));
        let my_location = location(voters[0]);
        for changes in 0..10 {
            let view = VoterView {
                me: voters[0],
                my_location: &my_location,
                added: false,
                leaving: false,
                members: &members,
                peers: &peers,
                tolerance,
            };
            let Some(VoterAction::StartChange(change)) = Voters::default().next_action(NOW, view) else {
                members.voters.sort();
                return (members.voters.join(" "), changes);
            };
            members.voters = change.apply(&members.voters).expect("a valid change");
            for joined in change.joining() {
                if let Some(seen) = peers.get_mut(joined) {
                    seen.voting = true;
                }
            }
        }
        panic!("the voters do not settle: {:?}", members.voters);
    }

    #[yare::parameterized(
        none_added = { 1, &["a1", "b1", "c1"], &["a2", "b2"], "a1 b1 c1", 0 },
        the_only_voter_of_the_zone = { 1, &["a1", "b1", "c1"], &["b2+"], "a1 b2 c1", 1 },
        this_controller = { 1, &["a1", "b1", "c1"], &["a2+"], "a2 b1 c1", 1 },
        all_one_by_one = { 1, &["a1", "b1", "c1"], &["a2+", "b2+", "c2+"], "a2 b2 c2", 3 },
        two_at_once = { 2, &["a1", "b1", "c1", "d1", "e1"], &["a2+", "b2+", "c2+", "d2+", "e2+"], "a2 b2 c2 d2 e2", 3 },
        one_of_two_voters_of_the_zone = { 1, &["a1", "b1", "b2"], &["b3+"], "a1 b1 b2 b3", 1 },
        second_beside_an_additional_voter = { 1, &["b1", "b2", "b3", "b4+"], &["b5+"], "b2 b3 b4 b5", 1 },
        may_succeed_a_spare = { 1, &["a1", "b1", "c1"], &["d1", "d2+"], "a1 b1 c1", 0 },
        succeeds_nobody_in_its_zone = { 1, &["a1", "b1", "c1"], &["d1+"], "a1 b1 c1 d1", 1 },
        of_an_added_voter = { 1, &["a1", "b1+", "c1"], &["b2+"], "a1 b2 c1", 1 },
        a_voter_of_unknown_zone = { 1, &["a1", "b1?", "c1"], &["c2+"], "a1 b1 c1", 0 },
        three_voters_bear_no_loss = { 0, &["a1", "a2", "a3"], &["a4+"], "a1 a2 a3 a4", 1 },
    )]
    fn an_added_controller_succeeds_a_voter_of_its_zone(
        machines: u32,
        voters: &[&str],
        others: &[&str],
        expected: &str,
        changes: usize,
    ) {
        let tolerance = LossTolerance::of_machines(machines);
        assert_eq!(settle(voters, others, tolerance), (expected.to_owned(), changes));
    }

    /// An additional voter in a zone that may be lost would leave half of the voters in it.
    #[test]
    fn zones_that_may_be_lost_get_no_additional_voter() {
        let tolerance = LossTolerance { machines: 2, zones: 1, regions: 0 };
        let settled = settle(&["a1", "a2", "b1", "b2", "c1"], &["a3+"], tolerance);
        assert_eq!(settled, ("a2 a3 b1 b2 c1".to_owned(), 1));
    }
}
