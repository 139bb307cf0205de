//! Due times: messages that wait for their next attempt or for an outcome, and destinations that are closed
//! for a while. Bookkeeping for `control`, so that a round considers only what is due; no decisions are made
//! here.
//!
//! Invariants: a message is in `held` from acceptance to its final answer; without an attempt in flight it is
//! either in `later` or in `ready`; `open` contains exactly the destinations that have a ready message and
//! are not parked.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{DestId, MsgId, Nanos};

/// A set of keys with a time for each.
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
    /// Sets a key's time, replacing an earlier one.
    pub fn set(&mut self, key: K, at: Nanos) {
        if let Some(old) = self.at.insert(key, at) {
            if old == at {
                return;
            }
            self.order.remove(&(old, key));
        }
        self.order.insert((at, key));
    }
    /// Removes a key; returns whether it had a time.
    pub fn clear(&mut self, key: K) -> bool {
        let old = self.at.remove(&key);
        old.is_some_and(|at| self.order.remove(&(at, key)))
    }
    pub fn contains(&self, key: K) -> bool {
        self.at.contains_key(&key)
    }
    /// The earliest time.
    pub fn first(&self) -> Option<Nanos> {
        self.order.first().map(|(at, _)| *at)
    }
    /// Removes and returns the earliest key that is due.
    pub fn pop(&mut self, now: Nanos) -> Option<K> {
        let (at, key) = *self.order.first().filter(|(at, _)| *at <= now)?;
        self.order.remove(&(at, key));
        self.at.remove(&key);
        Some(key)
    }
}

/// The due times of one dispatcher.
#[derive(Clone, Default, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Schedule {
    held: BTreeSet<(DestId, MsgId)>,
    ready: BTreeSet<(DestId, MsgId)>,
    later: Timers<(MsgId, DestId)>,
    /// When to check whether a message has expired.
    alarms: Timers<MsgId>,
    parked: Timers<DestId>,
    open: BTreeSet<DestId>,
}

impl Schedule {
    /// A message waits for its next attempt at `due`, and is checked for expiry at `alarm`.
    pub fn on_waiting(&mut self, now: Nanos, id: MsgId, dest: DestId, due: Nanos, alarm: Nanos) {
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
    /// An attempt of the message is in flight.
    pub fn on_sent(&mut self, id: MsgId, dest: DestId, alarm: Nanos) {
        self.alarms.set(id, alarm);
        self.later.clear((id, dest));
        self.unready(id, dest);
    }
    /// The message has its final answer.
    pub fn on_finished(&mut self, id: MsgId, dest: DestId) {
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

    /// Closes a destination until `until`, or until it is unparked.
    pub fn park(&mut self, dest: DestId, until: Nanos) {
        self.parked.set(dest, until);
        self.open.remove(&dest);
    }
    /// Opens a destination after a change that may permit sends.
    pub fn unpark(&mut self, dest: DestId) {
        if self.parked.clear(dest) && self.ready_for(dest).next().is_some() {
            self.open.insert(dest);
        }
    }

    /// Makes messages that are due ready, and reopens destinations whose time has passed.
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
    /// Removes the alarms that are due; returns their messages in the order of their ids.
    pub fn take_due_alarms(&mut self, now: Nanos) -> Vec<MsgId> {
        let mut due: Vec<MsgId> = std::iter::from_fn(|| self.alarms.pop(now)).collect();
        due.sort_unstable();
        due
    }

    /// Destinations that have a ready message and are not parked.
    pub fn open(&self) -> impl Iterator<Item = DestId> + '_ {
        self.open.iter().copied()
    }
    pub fn ready_for(&self, dest: DestId) -> impl Iterator<Item = MsgId> + '_ {
        self.ready.range((dest, MsgId::MIN)..=(dest, MsgId::MAX)).map(|(_, id)| *id)
    }
    /// The messages of a destination that have no final answer.
    pub fn held_for(&self, dest: DestId) -> impl Iterator<Item = MsgId> + '_ {
        self.held.range((dest, MsgId::MIN)..=(dest, MsgId::MAX)).map(|(_, id)| *id)
    }
    /// Destinations with messages that have no final answer.
    pub fn destinations(&self) -> impl Iterator<Item = DestId> + '_ {
        let from = |from: DestId| self.held.range((from, MsgId::MIN)..).next().map(|(dest, _)| *dest);
        std::iter::successors(from(DestId::MIN), move |dest| from(dest.checked_add(1)?))
    }
    /// Number of messages without a final answer.
    pub fn held(&self) -> usize {
        self.held.len()
    }
    /// The next time at which something is due; `Nanos::MAX` if nothing is.
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
        let mut schedule = Schedule::default();
        let open = |schedule: &Schedule| schedule.open().collect::<Vec<_>>();
        schedule.on_waiting(0, 1, 7, 0, 100);
        schedule.on_waiting(0, 2, 8, 50, 100);
        assert_eq!((open(&schedule), schedule.next()), (vec![7], 50));
        schedule.park(7, 60);
        assert_eq!(open(&schedule), []);
        schedule.advance(50);
        assert_eq!((open(&schedule), schedule.next()), (vec![8], 60));
        schedule.on_sent(2, 8, 100);
        assert_eq!(open(&schedule), []);
        schedule.unpark(7);
        assert_eq!(open(&schedule), [7]);
        schedule.park(7, 60);
        schedule.advance(60);
        assert_eq!(open(&schedule), [7]);
        schedule.on_finished(1, 7);
        assert_eq!((open(&schedule), schedule.held()), (vec![], 1));
        assert_eq!(schedule.take_due_alarms(100), [2]);
        assert_eq!(schedule.next(), Nanos::MAX);
    }
}
