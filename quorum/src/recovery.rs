//! Recovery of a voter whose disk is empty. Invariant: whatever the voter had promised, accepted or adopted
//! before it lost its disk stays in effect.
//!
//! Suppose the empty voter `v` was part of a majority `Q` in some phase (query, prepare or write). Every
//! proposer counts the replies of a phase only within [`PHASE_TIMEOUT`] of sending it, and `v` had replied
//! before it lost its disk. So once `v` has waited that long since its start, every other voter of `Q` has
//! replied too, or `Q` is never used. `v` then requests the others' state. Any `n - m + 1` of the `n - 1`
//! others intersect the `m - 1` others of `Q`, so `v` learns the promise, the value (or one derived from it)
//! and the members. This also holds for voters that lost their disks themselves and have recovered: they had
//! learned the same before they replied. Empty voters do not reply.
//!
//! A value obtained this way is marked as copied. It tells a prepare what may be chosen, but it is not a
//! vote: `v` may have promised a higher ballot to a proposer that has not seen the value, and the copy could
//! complete a majority for it.
//!
//! The sets to request state from are the voters (not the next ones) of the newest members that any reply
//! reports as chosen, and of all newer members that a reply reports as written.
//!
//! - Under a joint record each round had a majority of its old voters too, and `n - m + 1` of these intersect
//!   it, whether `v` is one of them or new. Requiring the next set as well could block for ever: the new
//!   voter, which is still empty, and one of the others that lost its disk would wait for each other.
//! - If `v` took part under newer members than the first ones it learns of, these were decided at a majority
//!   of the older voters. The replies of that set therefore show them as written, and the set they name is
//!   requested as well; and so on along the chain.
//!
//! A new voter in `next` recovers in the same way. It could start empty if it had never voted, since the
//! membership change writes all keys again at majorities of both sets afterwards. But it cannot know that it
//! had not: if it lost its disk between that step and the last record, it would remove a rewritten value from
//! the majority of the next set. A change completes only once the new voter has a state, so that the new set
//! starts with its full tolerance.

use std::collections::BTreeMap;

use crate::Address;
use crate::ballot::{Key, Slot};
use crate::members::Members;
use crate::wire::Message;

/// Time in nanoseconds after sending a phase within which its majority must be complete for the replies to
/// count.
pub const PHASE_TIMEOUT: u64 = 500_000_000;
/// Time in nanoseconds that an empty voter waits in addition, since clocks run at different rates.
pub const RECOVERY_MARGIN: u64 = 50_000_000;
/// Interval between state requests of a member, in nanoseconds.
const MEMBER_REQUEST_INTERVAL: u64 = 150_000_000;
/// Interval between state requests of a machine that is not a member, in nanoseconds.
const SPARE_REQUEST_INTERVAL: u64 = 5_000_000_000;

/// The recovery of one empty voter.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Recovery {
    me: Address,
    request: u64,
    seeds: Vec<Address>,
    /// The time of the first request.
    start_at: u64,
    requested_at: Option<u64>,
    reported_members: Option<Members>,
    replies: BTreeMap<Address, (Members, Vec<(Key, Slot)>)>,
}

/// How far a recovery has come under the newest members that are known to be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveryProgress {
    /// The voters whose state was received.
    pub received: Vec<Address>,
    /// The voters whose state was not received.
    pub missing: Vec<Address>,
    /// The number of other voters whose state is needed.
    pub needed: usize,
}

/// The state that was merged from the other voters.
#[derive(Debug)]
pub(crate) struct Recovered {
    pub(crate) members: Members,
    pub(crate) slots: BTreeMap<Key, Slot>,
}

impl Recovery {
    /// Creates the recovery of the voter `me`, whose process starts at `now`. `incarnation` differs at each
    /// start.
    pub fn new(me: Address, seeds: Vec<Address>, incarnation: u64, now: u64) -> Self {
        let start_at = now.saturating_add(PHASE_TIMEOUT + RECOVERY_MARGIN);
        Self {
            me,
            request: incarnation,
            seeds,
            start_at,
            requested_at: None,
            reported_members: None,
            replies: BTreeMap::new(),
        }
    }

    /// Returns the time of the next call to [`Recovery::on_tick`].
    pub fn next_wake(&self) -> u64 {
        let interval = if self.is_member() { MEMBER_REQUEST_INTERVAL } else { SPARE_REQUEST_INTERVAL };
        self.requested_at.map_or(self.start_at, |at| at.saturating_add(interval))
    }

    /// Returns the state requests to send at this time.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if now < self.next_wake() {
            return Vec::new();
        }
        self.requested_at = Some(now);
        self.recipients()
            .into_iter()
            .map(|to| (to, Message::StateRequest { request: self.request }))
            .collect()
    }

    /// Returns the newest members that are known to be chosen.
    pub(crate) fn members(&self) -> Option<&Members> {
        let replied = self.replies.values().map(|(members, _)| members);
        replied.chain(&self.reported_members).max_by_key(|members| members.epoch)
    }

    /// Whether this machine is one of those members.
    pub(crate) fn is_member(&self) -> bool {
        self.members().is_some_and(|members| members.contains(&self.me))
    }

    /// Returns how far the recovery has come; `None` while no members are known.
    pub(crate) fn progress(&self) -> Option<RecoveryProgress> {
        let members = self.members()?;
        let others = members.voters.iter().filter(|voter| **voter != self.me).cloned();
        let (received, missing) = others.partition(|voter| self.replies.contains_key(voter));
        Some(RecoveryProgress { received, missing, needed: members.states_to_copy() })
    }

    /// Records members that the sender of a request knows to be chosen.
    pub(crate) fn on_members(&mut self, members: &Members) {
        if self.reported_members.as_ref().is_none_or(|known| known.epoch < members.epoch) {
            self.reported_members = Some(members.clone());
        }
    }

    /// Handles the state of another voter. Returns the recovered state once enough voters have replied.
    pub(crate) fn on_state(
        &mut self,
        from: &str,
        request: u64,
        members: Members,
        slots: Vec<(Key, Slot)>,
    ) -> Option<Recovered> {
        let requested = self.recipients().iter().any(|voter| voter == from);
        let uid = self.reported_members.as_ref().or(self.replies.values().next().map(|(members, _)| members));
        if request != self.request || !requested || uid.is_some_and(|known| known.uid != members.uid) {
            return None;
        }
        self.replies.insert(from.into(), (members, slots));
        self.finish()
    }

    /// Returns the newest chosen members, followed by newer members that a reply reports as written.
    fn candidate_members(&self) -> Vec<Members> {
        let Some(chosen) = self.members() else { return Vec::new() };
        let slots = self.replies.values().flat_map(|(_, slots)| slots);
        let written =
            slots.filter(|(key, _)| *key == Key::Members).filter_map(|(_, slot)| slot.accepted.as_ref());
        let newer = written.filter(|accepted| accepted.value.version > chosen.epoch);
        let newer = newer.filter_map(|accepted| Members::parse(&accepted.value.content).ok());
        std::iter::once(chosen.clone()).chain(newer).collect()
    }

    fn recipients(&self) -> Vec<Address> {
        let mut all = self.seeds.clone();
        all.extend(self.candidate_members().iter().flat_map(Members::all_voters));
        all.sort();
        all.dedup();
        all.retain(|address| *address != self.me);
        all
    }

    fn finish(&self) -> Option<Recovered> {
        let records = self.candidate_members();
        let members = records.first()?;
        let covered = records
            .iter()
            .all(|record| record.covers_majorities(&self.me, |voter| self.replies.contains_key(voter)));
        if !members.contains(&self.me) || !covered {
            return None;
        }
        let mut slots = BTreeMap::<Key, Slot>::new();
        for (key, slot) in self.replies.values().flat_map(|(_, slots)| slots) {
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
