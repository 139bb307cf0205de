//! Who should vote: as many as tolerated_losses call for, and a spare in the place of one that is gone or about to end.
//!
//! Invariant: no change is begun unless those voters that are there, with a state, are a majority of the voters before it and, with the
//! newcomer, of those after it.

use std::collections::BTreeMap;

use millpost_quorum::{Address, Members, VoterChange};

use crate::gossip::PeerState;
use crate::{MS, Nanos};

/// Who was heard of within this is there.
const FRESH: Nanos = 1_500 * MS;
/// A voter that nothing was heard of for so long gives way to a spare.
const SILENCE_TIMEOUT: Nanos = 3_000 * MS;
/// Looked at so often.
const CHECK_INTERVAL: Nanos = 500 * MS;
/// ... and so soon again while one waits to end.
const LEAVING_CHECK_INTERVAL: Nanos = 100 * MS;

/// What is to be done about the voters.
#[derive(Debug, PartialEq, Eq)]
pub enum VoterAction {
    /// A change that somebody began is to be ended.
    FinishChange,
    /// This one is to be made.
    StartChange(VoterChange),
}

/// What a control machine goes by when it looks after the voters.
#[derive(Clone, Copy)]
pub struct VoterView<'a> {
    /// This machine, which votes.
    pub me: &'a str,
    /// Who votes.
    pub members: &'a Members,
    /// Who was heard of.
    pub peers: &'a BTreeMap<Address, PeerState>,
    /// Machines that may be lost at once.
    pub tolerated_losses: u32,
}

impl VoterView<'_> {
    /// Whether a voter is there, and has a state.
    fn has_state(&self, now: Nanos, voter: &Address) -> bool {
        let fresh = |seen: &PeerState| seen.voting && seen.heard + FRESH > now;
        voter == self.me || self.peers.get(voter).is_some_and(fresh)
    }

    /// Whether enough of the voters hold their state for this change; who comes copies it before it counts.
    fn has_majorities(&self, now: Nanos, change: &VoterChange, new: &Address) -> bool {
        let Ok(after) = change.apply(&self.members.voters) else { return false };
        let holders = |set: &[Address]| set.iter().filter(|voter| self.has_state(now, voter)).count();
        let majority = |set: &[Address], holders: usize| holders * 2 > set.len();
        let peers: Vec<_> = after.iter().filter(|voter| *voter != new).cloned().collect();
        majority(&self.members.voters, holders(&self.members.voters)) && majority(&after, holders(&peers) + 1)
    }

    /// A voter that is about to end, else one that is silent.
    fn voter_to_replace(&self, now: Nanos) -> Option<&Address> {
        let voters = || self.members.voters.iter().filter(|voter| **voter != *self.me);
        let leaves = |voter: &&Address| self.peers.get(*voter).is_some_and(|seen| seen.leaving);
        let silent = |voter: &&Address| {
            now > 2 * SILENCE_TIMEOUT
                && self.peers.get(*voter).is_none_or(|seen| seen.heard + SILENCE_TIMEOUT < now)
        };
        voters().find(leaves).or_else(|| voters().find(silent))
    }
}

/// When they were looked at last.
#[derive(Debug, Default)]
pub struct Voters {
    checked_at: Nanos,
}

impl Voters {
    /// What to do now, if anything; not to be asked while a change is under way.
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
            log::debug!("the voters stay as they are: too few of them are there");
            return None;
        }
        log::info!("{new} is to vote: {change:?}");
        Some(VoterAction::StartChange(change))
    }
}

/// Machines that could vote in the place of another: they are there, are not about to end, and do not vote under these members.
pub fn spares<'a>(
    now: Nanos,
    members: &'a Members,
    peers: &'a BTreeMap<Address, PeerState>,
) -> impl Iterator<Item = (&'a Address, &'a PeerState)> {
    let there = move |seen: &PeerState| !seen.leaving && seen.heard + FRESH > now;
    peers.iter().filter(move |(a, seen)| !members.contains(a) && there(seen))
}

/// Who is to vote next. Who has no state yet comes before who votes elsewhere, or did.
fn newcomer(now: Nanos, view: VoterView<'_>) -> Option<Address> {
    let spares = || spares(now, view.members, view.peers);
    let empty = spares().find(|(_, seen)| !seen.voting);
    empty.or_else(|| spares().next()).map(|(a, _)| a.clone())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Machines by letter; who was heard when, in ms; with a mark: it leaves.
    #[yare::parameterized(
        all_well = { "abc", &[("b", 9_900, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
        silent_for_long = { "abc", &[("b", 6_999, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        silent_for_less = { "abc", &[("b", 7_000, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
        leaves = { "abc", &[("b!", 9_900, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        leaves_before_one_that_is_silent = { "abc", &[("b", 6_000, true), ("c!", 9_900, true), ("d", 9_900, false)], 10_000, Some("c d") },
        has_left = { "abc", &[("b!", 5_000, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        leaves_and_too_few_are_there = { "abc", &[("b!", 6_000, true), ("c", 6_000, true), ("d", 9_900, false)], 10_000, None },
        the_other_has_no_state = { "abc", &[("b", 6_000, true), ("c", 9_900, false), ("d", 9_900, false)], 10_000, None },
        spare_leaves = { "abc", &[("b", 6_999, true), ("c", 9_900, true), ("d!", 9_900, false)], 10_000, None },
        never_heard = { "abc", &[("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        just_started = { "abc", &[("c", 5_900, true), ("d", 5_900, false)], 6_000, None },
        spare_is_stale = { "abc", &[("c", 9_900, true), ("d", 8_500, false)], 10_000, None },
        the_empty_first = { "abc", &[("c", 9_900, true), ("d", 9_900, true), ("e", 9_900, false)], 10_000, Some("b e") },
        too_few = { "ab", &[("b", 9_900, true), ("d", 9_900, false)], 10_000, Some("+d") },
        too_few_and_no_spare = { "ab", &[("b", 9_900, true)], 10_000, None },
    )]
    fn a_spare_takes_the_place_of_who_is_gone(
        voters: &str,
        heard: &[(&str, u64, bool)],
        now: u64,
        expected: Option<&str>,
    ) {
        let members = Members::initial("u", voters.chars().map(|c| c.to_string().into()));
        let seen = |&(a, ms, voting): &(&str, u64, bool)| {
            let (name, leaving) = (a.trim_end_matches('!').into(), a.ends_with('!'));
            (name, PeerState { heard: ms * MS, voting, leaving })
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
        let waits = peers.iter().any(|(a, seen): (&Address, &PeerState)| seen.leaving && members.contains(a));
        let interval = if waits { 100 } else { 500 };
        assert_eq!(voters_state.next_action((now + interval - 1) * MS, view(&joint)), None);
        assert_eq!(
            voters_state.next_action((now + interval) * MS, view(&joint)),
            Some(VoterAction::FinishChange)
        );
    }
}
