//! Who should vote: as many as losses call for, and a spare in the place of one that is gone.

use std::collections::BTreeMap;

use millpost_tally::{Address, Change, Members};

use crate::gossip::Seen;
use crate::{MS, Nanos};

/// A voter that nothing was heard of for so long gives way to a spare.
const SILENT: Nanos = 3_000 * MS;
/// ... one that said that its process ends, after this: one that only starts again is back before, and a second loss finds less time.
const LEFT: Nanos = 1_200 * MS;
/// A spare was heard of within this.
const FRESH: Nanos = 1_500 * MS;
/// Looked at so often.
const EVERY: Nanos = 500 * MS;

/// What is to be done about the voters.
#[derive(Debug, PartialEq, Eq)]
pub enum Todo {
    /// A change that somebody began is to be ended.
    End,
    /// This one is to be made.
    Make(Change),
}

/// When they were looked at last.
#[derive(Debug, Default)]
pub struct Voters {
    at: Nanos,
}

impl Voters {
    /// What to do now, if anything; not to be asked while a change is under way. So many machines may be lost at once.
    pub fn look(
        &mut self,
        now: Nanos,
        me: &str,
        members: &Members,
        others: &BTreeMap<Address, Seen>,
        losses: u32,
    ) -> Option<Todo> {
        if now < self.at {
            return None;
        }
        self.at = now + EVERY;
        if members.next.is_some() {
            return Some(Todo::End);
        }
        let spares =
            || others.iter().filter(|(a, s)| !members.names(a) && !s.leaving && s.heard + FRESH > now);
        // Who has no state yet comes before who votes elsewhere, or did.
        let new = spares().find(|(_, s)| !s.voting).or_else(|| spares().next()).map(|(a, _)| a.clone())?;
        if members.voters.len() < 2 * losses as usize + 1 {
            return Some(Todo::Make(Change::Add(new)));
        }
        let silent = |a: &&Address| {
            let span = if others.get(*a).is_some_and(|s| s.leaving) { LEFT } else { SILENT };
            **a != me && now > 2 * SILENT && others.get(*a).is_none_or(|s| s.heard + span < now)
        };
        let out = members.voters.iter().find(silent).cloned()?;
        log::info!("{new} votes in the place of {out}");
        Some(Todo::Make(Change::Replace { out, new }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Machines by letter; who was heard when, in ms; with a mark: it leaves.
    #[yare::parameterized(
        all_well = { "abc", &[("b", 9_900, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
        silent_for_long = { "abc", &[("b", 6_999, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        silent_for_less = { "abc", &[("b", 7_000, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
        leaves_for_long = { "abc", &[("b!", 8_799, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, Some("b d") },
        leaves_for_less = { "abc", &[("b!", 8_800, true), ("c", 9_900, true), ("d", 9_900, false)], 10_000, None },
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
        let members = Members::first("u", voters.chars().map(|c| c.to_string().into()));
        let seen = |&(a, ms, voting): &(&str, u64, bool)| {
            let (name, leaving) = (a.trim_end_matches('!').into(), a.ends_with('!'));
            (name, Seen { heard: ms * MS, voting, leaving })
        };
        let others = heard.iter().map(seen).collect();
        let mut room = Voters::default();
        let todo = room.look(now * MS, "a", &members, &others, 1).map(|todo| match todo {
            Todo::Make(Change::Replace { out, new }) => format!("{out} {new}"),
            Todo::Make(Change::Add(new)) => format!("+{new}"),
            other => format!("{other:?}"),
        });
        assert_eq!(todo.as_deref(), expected);
        assert_eq!(room.look((now + 499) * MS, "a", &members.joint(vec!["a".into()]), &others, 1), None);
        let joint = members.joint(vec!["a".into()]);
        assert_eq!(room.look((now + 500) * MS, "a", &joint, &others, 1), Some(Todo::End));
    }
}
