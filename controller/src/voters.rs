//! Decides which controllers vote: as many as the tolerated losses require, with a spare in the place of a
//! voter that is silent or shutting down.
//!
//! Invariant: a change starts only if available voters with a state form a majority of the voters before the
//! change and, together with the new voter, a majority of those after it.

use std::collections::BTreeMap;

use millpost_quorum::{Address, Members, VoterChange};

use crate::gossip::PeerState;
use crate::{MS, Nanos};

/// A controller that was heard within this time counts as available.
const FRESH: Nanos = 1_500 * MS;
/// A voter that was silent for this long is replaced by a spare.
const SILENCE_TIMEOUT: Nanos = 3_000 * MS;
/// Interval between checks of the voters.
const CHECK_INTERVAL: Nanos = 500 * MS;
/// Interval between checks while a voter waits to shut down.
const LEAVING_CHECK_INTERVAL: Nanos = 100 * MS;

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
    /// The current members.
    pub members: &'a Members,
    /// The other known controllers.
    pub peers: &'a BTreeMap<Address, PeerState>,
    /// Number of machines that may fail at the same time.
    pub tolerated_losses: u32,
}

impl VoterView<'_> {
    /// Returns whether a voter is available and has a state.
    fn has_state(&self, now: Nanos, voter: &Address) -> bool {
        let fresh = |seen: &PeerState| seen.voting && seen.last_heard + FRESH > now;
        voter == self.me || self.peers.get(voter).is_some_and(fresh)
    }

    /// Returns whether enough voters have a state for this change. The new voter copies the state before it
    /// counts.
    fn has_majorities(&self, now: Nanos, change: &VoterChange, new: &Address) -> bool {
        let Ok(after) = change.apply(&self.members.voters) else { return false };
        let holders = |set: &[Address]| set.iter().filter(|voter| self.has_state(now, voter)).count();
        let majority = |set: &[Address], holders: usize| holders * 2 > set.len();
        let peers: Vec<_> = after.iter().filter(|voter| *voter != new).cloned().collect();
        majority(&self.members.voters, holders(&self.members.voters)) && majority(&after, holders(&peers) + 1)
    }

    /// Returns a voter that is shutting down, or else one that is silent.
    fn voter_to_replace(&self, now: Nanos) -> Option<&Address> {
        let voters = || self.members.voters.iter().filter(|voter| **voter != *self.me);
        let leaving = |voter: &&Address| self.peers.get(*voter).is_some_and(|seen| seen.leaving);
        let silent = |voter: &&Address| {
            now > 2 * SILENCE_TIMEOUT
                && self.peers.get(*voter).is_none_or(|seen| seen.last_heard + SILENCE_TIMEOUT < now)
        };
        voters().find(leaving).or_else(|| voters().find(silent))
    }
}

/// Schedules checks of the voters.
#[derive(Debug, Default)]
pub struct Voters {
    checked_at: Nanos,
}

impl Voters {
    /// Returns the next step, if there is one. Must not be called while a change is in progress.
    pub fn next_action(&mut self, now: Nanos, view: VoterView<'_>) -> Option<VoterAction> {
        let any_leaving = view.peers.iter().any(|(a, seen)| seen.leaving && view.members.contains(a));
        let interval = if any_leaving { LEAVING_CHECK_INTERVAL } else { CHECK_INTERVAL };
        if now < self.checked_at + interval {
            return None;
        }
        self.checked_at = now;
        if view.members.next.is_some() {
            return Some(VoterAction::FinishChange);
        }
        let new = newcomer(now, view)?;
        let change = if view.members.voters.len() < 2 * view.tolerated_losses as usize + 1 {
            VoterChange::Add(new.clone())
        } else {
            VoterChange::Replace { old: view.voter_to_replace(now)?.clone(), new: new.clone() }
        };
        if !view.has_majorities(now, &change, &new) {
            log::debug!("voters unchanged: too few of them are available");
            return None;
        }
        log::info!("changing voters to include {new}: {change:?}");
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

/// Returns the spare that should vote next. Spares without a state come before those that vote, or voted,
/// elsewhere.
fn newcomer(now: Nanos, view: VoterView<'_>) -> Option<Address> {
    let spares = || spares(now, view.members, view.peers);
    let empty = spares().find(|(_, seen)| !seen.voting);
    empty.or_else(|| spares().next()).map(|(a, _)| a.clone())
}

#[cfg(test)]
mod tests {
    use super::*;

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
            (name, PeerState { last_heard: ms * MS, voting, leaving })
        };
        let peers = heard.iter().map(seen).collect();
        let mut voters_state = Voters::default();
        let view = |members| VoterView { me: "a", members, peers: &peers, tolerated_losses: 1 };
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
