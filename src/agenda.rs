//! What falls due when: messages that wait for their next try or for an outcome, and destinations that are closed for
//! a while. Bookkeeping for `control`, so that a round looks at what is due and not at all that is known; nothing is
//! decided here.
//!
//! Kept invariant: a message is in `held` from its taking to its final answer; with no attempt out it is either in
//! `later` or in `ready`; `open` names just the destinations that have a ready message and are not parked.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{DestId, MsgId, Nanos};

/// Keys with a time each.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(bound(deserialize = "K: Ord + serde::Deserialize<'de>"))]
pub(crate) struct Timers<K> {
    order: BTreeSet<(Nanos, K)>,
    at: BTreeMap<K, Nanos>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { order: BTreeSet::new(), at: BTreeMap::new() }
    }
}

impl<K: Ord + Copy> Timers<K> {
    /// Sets a key's time, in place of the one that it had.
    pub fn set(&mut self, key: K, at: Nanos) {
        if let Some(old) = self.at.insert(key, at) {
            if old == at {
                return;
            }
            self.order.remove(&(old, key));
        }
        self.order.insert((at, key));
    }
    /// Whether the key had a time.
    pub fn clear(&mut self, key: K) -> bool {
        let old = self.at.remove(&key);
        old.is_some_and(|at| self.order.remove(&(at, key)))
    }
    pub fn contains(&self, key: K) -> bool {
        self.at.contains_key(&key)
    }
    /// The next time.
    pub fn first(&self) -> Option<Nanos> {
        self.order.first().map(|(at, _)| *at)
    }
    /// Takes out a key whose time has come.
    pub fn pop(&mut self, now: Nanos) -> Option<K> {
        let (at, key) = *self.order.first().filter(|(at, _)| *at <= now)?;
        self.order.remove(&(at, key));
        self.at.remove(&key);
        Some(key)
    }
}

/// The agenda of one dispatcher.
#[derive(Clone, Default, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Agenda {
    held: BTreeSet<(DestId, MsgId)>,
    ready: BTreeSet<(DestId, MsgId)>,
    later: Timers<(MsgId, DestId)>,
    /// When it is to be looked whether a message is past hope.
    alarms: Timers<MsgId>,
    parked: Timers<DestId>,
    open: BTreeSet<DestId>,
}

impl Agenda {
    /// A message waits for its next try, and is looked at again at `alarm`.
    pub fn waits(&mut self, now: Nanos, id: MsgId, dest: DestId, due: Nanos, alarm: Nanos) {
        self.held.insert((dest, id));
        self.alarms.set(id, alarm);
        if due > now {
            self.unready(id, dest);
            self.later.set((id, dest), due);
        } else {
            self.later.clear((id, dest));
            self.make_ready(id, dest);
        }
    }
    /// An attempt of it is out.
    pub fn is_out(&mut self, id: MsgId, dest: DestId, alarm: Nanos) {
        self.alarms.set(id, alarm);
        self.later.clear((id, dest));
        self.unready(id, dest);
    }
    /// It has its final answer.
    pub fn is_over(&mut self, id: MsgId, dest: DestId) {
        self.held.remove(&(dest, id));
        self.alarms.clear(id);
        self.later.clear((id, dest));
        self.unready(id, dest);
    }

    fn make_ready(&mut self, id: MsgId, dest: DestId) {
        self.ready.insert((dest, id));
        if !self.parked.contains(dest) {
            self.open.insert(dest);
        }
    }
    fn unready(&mut self, id: MsgId, dest: DestId) {
        if self.ready.remove(&(dest, id)) && self.ready_for(dest).next().is_none() {
            self.open.remove(&dest);
        }
    }

    /// Nothing can go to this destination before `until`, unless something is heard of it.
    pub fn park(&mut self, dest: DestId, until: Nanos) {
        self.parked.set(dest, until);
        self.open.remove(&dest);
    }
    /// Something was heard of it.
    pub fn unpark(&mut self, dest: DestId) {
        if self.parked.clear(dest) && self.ready_for(dest).next().is_some() {
            self.open.insert(dest);
        }
    }

    /// What has fallen due by now is ready, and destinations whose time is over are looked at again.
    pub fn advance(&mut self, now: Nanos) {
        while let Some((id, dest)) = self.later.pop(now) {
            self.make_ready(id, dest);
        }
        while let Some(dest) = self.parked.pop(now) {
            if self.ready_for(dest).next().is_some() {
                self.open.insert(dest);
            }
        }
    }
    /// Messages whose alarm is due, in the order of their numbers.
    pub fn alarmed(&mut self, now: Nanos) -> Vec<MsgId> {
        let mut due: Vec<MsgId> = std::iter::from_fn(|| self.alarms.pop(now)).collect();
        due.sort_unstable();
        due
    }

    /// Destinations that have a message ready and may be open.
    pub fn open(&self) -> impl Iterator<Item = DestId> + '_ {
        self.open.iter().copied()
    }
    /// Ready messages of a destination.
    pub fn ready_for(&self, dest: DestId) -> impl Iterator<Item = MsgId> + '_ {
        self.ready.range((dest, MsgId::MIN)..=(dest, MsgId::MAX)).map(|(_, id)| *id)
    }
    /// All messages of a destination without a final answer.
    pub fn held_for(&self, dest: DestId) -> impl Iterator<Item = MsgId> + '_ {
        self.held.range((dest, MsgId::MIN)..=(dest, MsgId::MAX)).map(|(_, id)| *id)
    }
    /// Destinations that have a message without a final answer.
    pub fn destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        let from = |from: DestId| self.held.range((from, MsgId::MIN)..).next().map(|(dest, _)| *dest);
        std::iter::successors(from(DestId::MIN), move |dest| from(dest.checked_add(1)?))
    }
    /// How many messages have no final answer.
    pub fn held(&self) -> usize {
        self.held.len()
    }
    /// The next time that something falls due.
    pub fn next(&self) -> Nanos {
        let all = [self.later.first(), self.alarms.first(), self.parked.first()];
        all.into_iter().flatten().min().unwrap_or(Nanos::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timers_are_replaced_cleared_and_popped_in_order() {
        let mut timers = Timers::default();
        [(1, 30), (2, 10), (3, 20), (2, 25)].into_iter().for_each(|(key, at)| timers.set(key, at));
        assert!(timers.clear(3) && !timers.clear(3));
        assert_eq!((timers.first(), timers.pop(24), timers.pop(25)), (Some(25), None, Some(2)));
        assert_eq!((timers.pop(99), timers.pop(99), timers.first()), (Some(1), None, None));
    }

    #[test]
    fn a_destination_is_open_while_it_has_a_ready_message_and_is_not_parked() {
        let mut agenda = Agenda::default();
        let open = |agenda: &Agenda| agenda.open().collect::<Vec<_>>();
        agenda.waits(0, 1, 7, 0, 100);
        agenda.waits(0, 2, 8, 50, 100);
        assert_eq!((open(&agenda), agenda.next()), (vec![7], 50));
        agenda.park(7, 60);
        assert_eq!(open(&agenda), []);
        agenda.advance(50);
        assert_eq!((open(&agenda), agenda.next()), (vec![8], 60));
        agenda.is_out(2, 8, 100);
        assert_eq!(open(&agenda), []);
        agenda.unpark(7);
        assert_eq!(open(&agenda), [7]);
        agenda.park(7, 60);
        agenda.advance(60);
        assert_eq!(open(&agenda), [7]);
        agenda.is_over(1, 7);
        assert_eq!((open(&agenda), agenda.held()), (vec![], 1));
        assert_eq!(agenda.alarmed(100), [2]);
        assert_eq!(agenda.next(), Nanos::MAX);
    }
}
