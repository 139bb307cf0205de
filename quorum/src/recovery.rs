//! A voter with an empty disk gets its state back; keeps: whatever it had promised, accepted or adopted before counts on.
//!
//! Say the empty voter `v` had a part in a majority `Q` for some phase (prepare, write or look). Every proposer counts
//! the answers of a phase only within [`PHASE_TIMEOUT`] of sending it, and `v` had answered before it was emptied. So
//! once `v` has waited that long since its start, each other voter of `Q` has done its part too, or `Q` is never used.
//! `v` then asks; `n - m + 1` others out of `n - 1` meet the `m - 1` others of `Q`, so `v` hears of the promise, the
//! value (or one that was derived from it) and the members. That holds for voters that were emptied themselves and are
//! back: they had heard the same before they answered. Empty voters don't answer.
//!
//! A value that comes so is marked as copied. It tells a prepare what may be chosen, but it is not a vote: `v` may have
//! promised a higher ballot to a proposer that has not seen the value, and the copy could make up a majority for it.
//!
//! Which sets to ask: the voters (not the next ones) of the newest members that any answer holds as chosen, and of all
//! newer ones that an answer holds as written.
//!
//! - Under a joint record each round had a majority of its old voters too, and `n - m + 1` of these meet it, whether `v`
//!   is one of them or new. To ask the next set as well could stand still: the new one empty as it comes, and one of
//!   the others emptied, would wait for each other.
//! - If `v` took part under newer members than it hears of first, these were decided at a majority of the older voters,
//!   so the answers of that set show them as written, and the set they name is asked as well; and so on up the chain.
//!
//! A new voter in `next` takes the same way. It could start with nothing if it had never voted, since the move finishes
//! all keys at majorities of both sets afterwards; but it can't know that it had not: emptied between that finish and
//! the last record, it would take a finished value from the next set's majority. A move ends only once the new voter
//! has a state, so that the new set starts with as much to spare as it should have.

use std::collections::BTreeMap;

use crate::Address;
use crate::ballot::{Key, Slot};
use crate::members::Members;
use crate::wire::Message;

/// A phase's answers count only if its majority was complete so soon after it was sent.
pub const PHASE_TIMEOUT: u64 = 500_000_000;
/// Waited on top, for clocks that run unevenly.
pub const RECOVERY_MARGIN: u64 = 50_000_000;
/// Between two asks, of a voter.
const ASK_EVERY: u64 = 150_000_000;
/// Between two asks, while no members name it.
const SPARE_EVERY: u64 = 5_000_000_000;

/// The way of one empty voter back to a state.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Recovery {
    me: Address,
    request: u64,
    seeds: Vec<Address>,
    from: u64,
    asked_at: Option<u64>,
    told: Option<Members>,
    heard: BTreeMap<Address, (Members, Vec<(Key, Slot)>)>,
}

/// What the others had.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub(crate) members: Members,
    pub(crate) slots: BTreeMap<Key, Slot>,
}

impl Recovery {
    /// Of the voter `me`, whose process started `now`. `life` differs at each start.
    pub fn new(me: Address, seeds: Vec<Address>, incarnation: u64, now: u64) -> Self {
        let from = now.saturating_add(PHASE_TIMEOUT + RECOVERY_MARGIN);
        Self { me, request: incarnation, seeds, from, asked_at: None, told: None, heard: BTreeMap::new() }
    }

    /// When to call [`Recovery::on_tick`].
    pub fn next_wake(&self) -> u64 {
        let every = if self.is_member() { ASK_EVERY } else { SPARE_EVERY };
        self.asked_at.map_or(self.from, |at| at.saturating_add(every))
    }

    /// Whom to ask now.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if now < self.next_wake() {
            return Vec::new();
        }
        self.asked_at = Some(now);
        self.asked().into_iter().map(|to| (to, Message::StateRequest { request: self.request })).collect()
    }

    /// The newest members heard of that are chosen.
    pub(crate) fn members(&self) -> Option<&Members> {
        let heard = self.heard.values().map(|(members, _)| members);
        heard.chain(&self.told).max_by_key(|members| members.epoch)
    }

    /// Whether those name this machine.
    pub(crate) fn is_member(&self) -> bool {
        self.members().is_some_and(|members| members.contains(&self.me))
    }

    /// Members that somebody knows to be chosen.
    pub(crate) fn told(&mut self, members: &Members) {
        if self.told.as_ref().is_none_or(|told| told.epoch < members.epoch) {
            self.told = Some(members.clone());
        }
    }

    /// Another voter's state, and whether it was the last that was missing.
    pub(crate) fn on_state(
        &mut self,
        from: &str,
        request: u64,
        members: Members,
        slots: Vec<(Key, Slot)>,
    ) -> Option<Recovered> {
        let asked = self.asked().iter().any(|voter| voter == from);
        let uid = self.told.as_ref().or(self.heard.values().next().map(|(members, _)| members));
        if request != self.request || !asked || uid.is_some_and(|known| known.uid != members.uid) {
            return None;
        }
        self.heard.insert(from.into(), (members, slots));
        self.finish()
    }

    fn records(&self) -> Vec<Members> {
        let Some(chosen) = self.members() else { return Vec::new() };
        let slots = self.heard.values().flat_map(|(_, slots)| slots);
        let written =
            slots.filter(|(key, _)| *key == Key::Members).filter_map(|(_, slot)| slot.accepted.as_ref());
        let newer = written.filter(|accepted| accepted.value.version > chosen.epoch);
        let newer = newer.filter_map(|accepted| Members::parse(&accepted.value.content).ok());
        std::iter::once(chosen.clone()).chain(newer).collect()
    }

    fn asked(&self) -> Vec<Address> {
        let mut all = self.seeds.clone();
        all.extend(self.records().iter().flat_map(Members::all_voters));
        all.sort();
        all.dedup();
        all.retain(|address| *address != self.me);
        all
    }

    fn finish(&self) -> Option<Recovered> {
        let records = self.records();
        let members = records.first()?;
        let covered = records
            .iter()
            .all(|record| record.covers_majorities(&self.me, |voter| self.heard.contains_key(voter)));
        if !members.contains(&self.me) || !covered {
            return None;
        }
        let mut slots = BTreeMap::<Key, Slot>::new();
        for (key, slot) in self.heard.values().flat_map(|(_, slots)| slots) {
            let mine = slots.entry(*key).or_default();
            mine.promised = mine.promised.take().max(slot.promised.clone());
            let ballot = |slot: &Slot| slot.accepted.as_ref().map(|accepted| accepted.ballot.clone());
            if ballot(slot) > ballot(mine) {
                mine.accepted = slot.accepted.clone();
            }
        }
        for accepted in slots.values_mut().filter_map(|slot| slot.accepted.as_mut()) {
            accepted.copied = true;
        }
        Some(Recovered { members: members.clone(), slots })
    }
}
