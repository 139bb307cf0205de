//! Decides which controllers vote: as many as the tolerated losses require, with a spare in the place of a
//! voter that is silent, shutting down or unable to open its store. A controller that is added to the running system votes before the one
//! that it succeeds is removed (see [`succession`](crate::succession)). If zones or regions may be lost, voters
//! are spread over them, as evenly as the available controllers allow.
//!
//! Invariant: a change starts only if available voters with a state form a majority of the voters before the
//! change and, together with the new voters, a majority of those after it.

use std::collections::BTreeMap;

use millpost_quorum::{Address, Members, VoterChange};

use crate::gossip::PeerState;
use crate::placement::{Location, LossTolerance};
use crate::{MS, Nanos, succession};

/// A controller that was heard within this time counts as available.
const FRESH: Nanos = 1_500 * MS;
/// A voter that was silent for this long is replaced by a spare.
pub(crate) const SILENCE_TIMEOUT: Nanos = 3_000 * MS;
/// Interval between checks of the voters.
const CHECK_INTERVAL: Nanos = 500 * MS;
/// Interval between checks while a voter waits to shut down, or a successor to vote.
const SHORT_CHECK_INTERVAL: Nanos = 100 * MS;

/// A step in changing the voters.
#[derive(Debug, PartialEq, Eq)]
pub enum VoterAction {
    /// Finish a change that another controller began.
    FinishChange,
    /// Start this change.
    StartChange(VoterChange),
}

/// The state on which the decision is based.
#[derive(Clone, Copy)]
pub struct VoterView<'a> {
    /// This controller, which votes.
    pub me: &'a str,
    /// Where this controller is.
    pub my_location: &'a Location,
    /// Whether this controller was added to the running system.
    pub added: bool,
    /// Whether this controller is shutting down.
    pub leaving: bool,
    /// The current members.
    pub members: &'a Members,
    /// The other known controllers.
    pub peers: &'a BTreeMap<Address, PeerState>,
    /// What may be lost at the same time.
    pub tolerance: LossTolerance,
}

impl VoterView<'_> {
    /// Returns where a controller is, if that is known.
    pub(crate) fn location(&self, voter: &Address) -> Option<&Location> {
        if voter == self.me {
            return Some(self.my_location);
        }
        self.peers.get(voter).and_then(|seen| seen.location.as_ref())
    }

    /// Returns whether a majority of the present voters survives each loss that is to be tolerated; `None` if
    /// the place of a voter is unknown, or none matters.
    pub fn bears_tolerance(&self) -> Option<bool> {
        let voters: Vec<_> = self.members.voters.iter().map(|voter| self.location(voter)).collect();
        let known = self.tolerance.has_zones() && voters.iter().all(Option::is_some);
        known.then(|| self.tolerance.is_borne_by(&voters))
    }

    /// Returns whether the voters after this change bear the tolerated losses, if the present ones do.
    pub(crate) fn bears_tolerance_after(&self, change: &VoterChange) -> bool {
        let after = change.apply(&self.members.voters).unwrap_or_default();
        let voters: Vec<_> = after.iter().map(|voter| self.location(voter)).collect();
        self.bears_tolerance() != Some(true) || self.tolerance.is_borne_by(&voters)
    }

    /// Returns how well the voters after this change are spread; the lowest value is the best.
    fn spread_after(&self, change: &VoterChange) -> (usize, usize) {
        let after = change.apply(&self.members.voters).unwrap_or_default();
        let voters: Vec<_> = after.iter().map(|voter| self.location(voter)).collect();
        self.tolerance.spread(&voters)
    }

    /// Returns the change that spreads the voters better, if the present ones do not bear the tolerated losses.
    fn spreading_change(&self, now: Nanos) -> Option<VoterChange> {
        if self.bears_tolerance()? {
            return None;
        }
        let voters: Vec<_> = self.members.voters.iter().map(|voter| self.location(voter)).collect();
        let replace = |old: &Address| {
            let old = old.clone();
            newcomers(now, *self).map(move |new| VoterChange::Replace { old: old.clone(), new })
        };
        let others = self.members.voters.iter().filter(|voter| **voter != *self.me);
        let best = others.flat_map(replace).min_by_key(|change| self.spread_after(change))?;
        (self.spread_after(&best) < self.tolerance.spread(&voters)).then_some(best)
    }

    /// Returns whether a voter is available and has a state.
    fn has_state(&self, now: Nanos, voter: &Address) -> bool {
        let fresh = |seen: &PeerState| seen.voting && seen.last_heard + FRESH > now;
        voter == self.me || self.peers.get(voter).is_some_and(fresh)
    }

    /// Returns whether enough voters have a state for this change. New voters copy the state before they count.
    fn has_majorities(&self, now: Nanos, change: &VoterChange) -> bool {
        let Ok(after) = change.apply(&self.members.voters) else { return false };
        let holders = |set: &[Address]| set.iter().filter(|voter| self.has_state(now, voter)).count();
        let majority = |set: &[Address], holders: usize| holders * 2 > set.len();
        let (joining, staying): (Vec<_>, Vec<_>) =
            after.iter().cloned().partition(|voter| change.joining().contains(voter));
        majority(&self.members.voters, holders(&self.members.voters))
            && majority(&after, holders(&staying) + joining.len())
    }

    /// Returns whether there is one voter more than needed: an even number is as good as the next lower one against
    /// losses, but not against a removal beside them.
    pub(crate) fn has_additional_voter(&self) -> bool {
        self.members.voters.len().is_multiple_of(2) && self.members.voters.len() > self.tolerance.voters()
    }

    /// Returns the change without this voter, in whose place a spare votes unless there is an additional voter. A
    /// spare in the zone of the voter comes before others, if both are equally well placed.
    fn replacement(&self, now: Nanos, old: &Address) -> Option<VoterChange> {
        if self.has_additional_voter() {
            return Some(VoterChange::Remove(old.clone()));
        }
        let zone = |voter: &Address| self.location(voter).map(|location| &location.zone);
        newcomers(now, *self)
            .map(|new| VoterChange::Replace { old: old.clone(), new })
            .min_by_key(|change| (self.spread_after(change), zone(old) != zone(&change.joining()[0])))
    }

    /// Returns a voter that is shutting down, this one last, or else one that is silent.
    fn voter_to_replace(&self, now: Nanos) -> Option<&Address> {
        let others = || self.members.voters.iter().filter(|voter| **voter != *self.me);
        let leaving = |voter: &&Address| self.peers.get(*voter).is_some_and(|seen| seen.leaving);
        let me = || self.members.voters.iter().find(|voter| self.leaving && **voter == *self.me);
        let silent = |voter: &&Address| {
            now > 2 * SILENCE_TIMEOUT
                && self.peers.get(*voter).is_none_or(|seen| seen.last_heard + SILENCE_TIMEOUT < now)
        };
        others().find(leaving).or_else(me).or_else(|| others().find(silent))
    }

    /// Returns whether this controller changes the voters although it is not the leader: it is shutting down, so
    /// is the leader or there is none, and of the voters that shut down it is the first.
    pub fn stands_in_for_leader(&self, now: Nanos, leader: &str) -> bool {
        let seen = |address: &str| self.peers.get(address).filter(|seen| seen.last_heard + FRESH > now);
        let leader_stays = seen(leader).is_some_and(|seen| !seen.leaving);
        let leaves = |voter: &Address| {
            *voter == *self.me || seen(voter).is_some_and(|seen| seen.leaving && seen.voting)
        };
        let first = self.members.voters.iter().filter(|voter| leaves(voter)).min();
        self.leaving && !leader_stays && first.is_some_and(|first| *first == *self.me)
    }
}

/// Schedules checks of the voters.
#[derive(Debug, Default)]
pub struct Voters {
    checked_at: Nanos,
    /// Available voters that have no state, and since when.
    without_state: BTreeMap<Address, Nanos>,
}

impl Voters {
    /// Records which voters have no state.
    fn observe(&mut self, now: Nanos, view: VoterView<'_>) {
        let lacks_state = |voter: &&Address| {
            view.members.next.is_none()
                && **voter != *view.me
                && view.peers.get(*voter).is_some_and(|seen| !seen.voting)
        };
        let lacking: Vec<_> = view.members.voters.iter().filter(lacks_state).collect();
        self.without_state.retain(|voter, _| lacking.contains(&voter));
        for voter in lacking {
            self.without_state.entry(voter.clone()).or_insert(now);
        }
    }

    /// Returns a voter that has had no state for so long that it cannot open its store: one that lost its disk copies
    /// its state in a shorter time while a majority has one, and without a majority no change starts.
    fn unable_voter(&self, now: Nanos) -> Option<&Address> {
        let unable = self.without_state.iter().find(|(_, since)| **since + SILENCE_TIMEOUT < now);
        unable.map(|(voter, _)| voter)
    }

    /// Returns the next step, if there is one. Must not be called while a change is in progress.
    pub fn next_action(&mut self, now: Nanos, view: VoterView<'_>) -> Option<VoterAction> {
        let any_leaving = view.peers.iter().any(|(a, seen)| seen.leaving && view.members.contains(a));
        let urgent = any_leaving || succession::is_pending(now, view);
        let interval = if urgent { SHORT_CHECK_INTERVAL } else { CHECK_INTERVAL };
        if now < self.checked_at + interval {
            return None;
        }
        self.checked_at = now;
        self.observe(now, view);
        if view.members.next.is_some() {
            return Some(VoterAction::FinishChange);
        }
        let change = if view.members.voters.len() < view.tolerance.voters() {
            newcomers(now, view).map(VoterChange::Add).min_by_key(|change| view.spread_after(change))?
        } else if let Some(old) = view.voter_to_replace(now).or_else(|| self.unable_voter(now)) {
            view.replacement(now, old)?
        } else if let Some(change) = succession::change(now, view) {
            change
        } else {
            view.spreading_change(now)?
        };
        if !view.has_majorities(now, &change) {
            log::debug!("voters unchanged: too few of them are available");
            return None;
        }
        log::info!("changing voters: {change:?}");
        Some(VoterAction::StartChange(change))
    }
}

/// Returns the controllers that could replace a voter: available, not shutting down, and not among these
/// members.
pub fn spares<'a>(
    now: Nanos,
    members: &'a Members,
    peers: &'a BTreeMap<Address, PeerState>,
) -> impl Iterator<Item = (&'a Address, &'a PeerState)> {
    let available = move |seen: &PeerState| !seen.leaving && seen.last_heard + FRESH > now;
    peers.iter().filter(move |(a, seen)| !members.contains(a) && available(seen))
}

/// Returns the spares in the order in which they should vote, if they are equally well placed. Spares without a
/// state come before those that vote, or voted, elsewhere.
fn newcomers(now: Nanos, view: VoterView<'_>) -> impl Iterator<Item = Address> {
    let (empty, others): (Vec<_>, Vec<_>) =
        spares(now, view.members, view.peers).partition(|(_, seen)| !seen.voting);
    empty.into_iter().chain(others).map(|(address, _)| address.clone())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn location(zone: char) -> Location {
        Location { zone: zone.to_string().into(), region: "r".into() }
    }

    /// Applies changes until there are no more. Controllers are named by their zone and a number; those of
    /// `peers` are available, this one is the first of `voters`.
    fn settle(voters: &[&str], peers: &[&str], tolerance: LossTolerance) -> (Vec<String>, Option<bool>) {
        let now = 10_000 * MS;
        let seen = |name: &&str| {
            let location = Some(location(name.chars().next().expect("a zone")));
            let voting = voters.contains(name);
            ((*name).into(), PeerState { last_heard: now, voting, leaving: false, added: false, location })
        };
        let peers: BTreeMap<Address, PeerState> = peers.iter().map(seen).collect();
        let mut members = Members::initial("u", voters.iter().map(|voter| (*voter).into()));
        let my_location = &location(voters[0].chars().next().expect("a zone"));
        for step in 0..20 {
            let view = VoterView {
                me: voters[0],
                my_location,
                added: false,
                leaving: false,
                members: &members,
                peers: &peers,
                tolerance,
            };
            match Voters::default().next_action(now, view) {
                Some(VoterAction::StartChange(change)) => {
                    members.voters = change.apply(&members.voters).expect("a valid change");
                }
                other => {
                    assert_eq!(other, None);
                    let zones = members.voters.iter().map(|voter| voter[..1].to_owned()).collect();
                    return (zones, view.bears_tolerance());
                }
            }
            assert!(step < 19, "the voters do not settle: {:?}", members.voters);
        }
        unreachable!()
    }

    /// Guards against an acknowledged configuration that is gone with a zone that the tolerance allows to lose:
    /// most of the first voters, which are the seeds, were in it.
    #[yare::parameterized(
        seeds_share_a_zone = { &["a1", "a2", "b1"], &["a2", "b1", "b2", "c1", "c2"], [1, 1], "abc", Some(true) },
        leader_is_alone_in_its_zone = { &["b1", "a1", "a2"], &["a1", "a2", "b2", "c1"], [1, 1], "abc", Some(true) },
        all_seeds_in_one_zone = { &["a1", "a2", "a3"], &["a2", "a3", "b1", "c1"], [1, 1], "abc", Some(true) },
        five_voters = { &["a1", "a2", "a3"], &["a2", "a3", "b1", "b2", "c1"], [2, 1], "aabbc", Some(true) },
        two_zones = { &["a1", "a2", "b1"], &["a2", "b1", "b2"], [1, 1], "aab", Some(false) },
        already_spread = { &["a1", "b1", "c1"], &["b1", "c1", "a2", "b2"], [1, 1], "abc", Some(true) },
        machines_only = { &["a1", "a2", "a3"], &["a2", "a3", "b1", "c1"], [1, 0], "aaa", None },
    )]
    fn voters_are_spread_over_zones_that_may_be_lost(
        voters: &[&str],
        peers: &[&str],
        lost: [u32; 2],
        expected: &str,
        borne: Option<bool>,
    ) {
        let (mut settled, bears) =
            settle(voters, peers, LossTolerance { machines: lost[0], zones: lost[1], regions: 0 });
        settled.sort();
        assert_eq!((settled.concat(), bears), (expected.to_owned(), borne));
    }

    /// Guards against a voter that is never replaced though it can't open its store: it was heard, and said that it voted.
    /// Its state is lacking from 10 s on; with `back` it has one again for a moment at that time.
    #[yare::parameterized(
        lost = { None, Some(13_500) },
        back_in_time = { Some(12_500), Some(16_500) },
        back_in_the_end = { Some(13_000), Some(17_000) },
    )]
    fn a_spare_replaces_a_voter_that_has_no_state_for_long(back: Option<u64>, replaced: Option<u64>) {
        let members = Members::initial("u", ["a", "b", "c"].map(Into::into));
        let mut voters = Voters::default();
        let my_location = location('z');
        let change_at = (10_000..20_000).step_by(500).find(|ms| {
            let seen = |name: &str| {
                let voting = name == "c" || name == "b" && back == Some(*ms);
                let state =
                    PeerState { last_heard: ms * MS, voting, leaving: false, added: false, location: None };
                (name.into(), state)
            };
            let peers = ["b", "c", "d"].map(seen).into();
            let view = VoterView {
                me: "a",
                my_location: &my_location,
                added: false,
                leaving: false,
                members: &members,
                peers: &peers,
                tolerance: LossTolerance::of_machines(1),
            };
            let replace = VoterChange::Replace { old: "b".into(), new: "d".into() };
            let action = voters.next_action(ms * MS, view);
            assert!(action.is_none() || action == Some(VoterAction::StartChange(replace)));
            action.is_some()
        });
        assert_eq!(change_at, replaced);
    }

    /// Controllers by letter, each with the time in ms when it was last heard and whether it has a state. `!`
    /// marks one that is shutting down.
    #[yare::parameterized(
        all_available = { "abc", &[("b", 9_900, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
        silent_past_the_timeout = { "abc", &[("b", 6_999, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        silent_within_the_timeout = { "abc", &[("b", 7_000, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
        leaves = { "abc", &[("b!", 9_900, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        leaving_before_silent = { "abc", &[("b", 6_000, true), ("c!", 9_900, true), ("d", 9_900, false)], 10_000, Some("c d") },
        has_left = { "abc", &[("b!", 5_000, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        leaves_without_a_majority = { "abc", &[("b!", 6_000, true), ("c", 6_000, true), ("d", 9_900, false)], 10_000, None },
        other_voter_has_no_state = { "abc", &[("b", 6_000, true), ("c", 9_900, false), ("d", 9_900, false)], 10_000, None },
        leaving_spare = { "abc", &[("b", 6_999, true), ("c", 9_900, true), ("d!", 9_900, false)], 10_000, None },
        never_heard = { "abc", &[("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        just_started = { "abc", &[("c", 5_900, true), ("d", 5_900, false)], 6_000, None },
        spare_is_stale = { "abc", &[("c", 9_900, true), ("d", 8_500, false)], 10_000, None },
        spare_without_state_first = { "abc", &[("c", 9_900, true), ("d", 9_900, true), ("e", 9_900, false)], 10_000, Some("b e") },
        too_few = { "ab", &[("b", 9_900, true), ("d", 9_900, false)], 10_000, Some("+d") },
        too_few_without_a_spare = { "ab", &[("b", 9_900, true)], 10_000, None },
    )]
    fn a_spare_replaces_a_silent_or_leaving_voter(
        voters: &str,
        heard: &[(&str, u64, bool)],
        now: u64,
        expected: Option<&str>,
    ) {
        let members = Members::initial("u", voters.chars().map(|c| c.to_string().into()));
        let seen = |&(a, ms, voting): &(&str, u64, bool)| {
            let (name, leaving) = (a.trim_end_matches('!').into(), a.ends_with('!'));
            (name, PeerState { last_heard: ms * MS, voting, leaving, added: false, location: None })
        };
        let peers = heard.iter().map(seen).collect();
        let mut voters_state = Voters::default();
        let tolerance = LossTolerance::of_machines(1);
        let my_location = &location('z');
        let view = |members| VoterView {
            me: "a",
            my_location,
            added: false,
            leaving: false,
            members,
            peers: &peers,
            tolerance,
        };
        let action = voters_state.next_action(now * MS, view(&members)).map(|action| match action {
            VoterAction::StartChange(VoterChange::Replace { old: out, new }) => format!("{out} {new}"),
            VoterAction::StartChange(VoterChange::Add(new)) => format!("+{new}"),
            other => format!("{other:?}"),
        });
        assert_eq!(action.as_deref(), expected);
        let joint = members.joint(vec!["a".into()]);
        let any_leaving =
            peers.iter().any(|(a, seen): (&Address, &PeerState)| seen.leaving && members.contains(a));
        let interval = if any_leaving { 100 } else { 500 };
        assert_eq!(voters_state.next_action((now + interval - 1) * MS, view(&joint)), None);
        assert_eq!(
            voters_state.next_action((now + interval) * MS, view(&joint)),
            Some(VoterAction::FinishChange)
        );
    }
}
