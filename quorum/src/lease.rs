//! A duty that one process holds at a time; keeps: while one may act, no majority has granted another.
//!
//! Voters grant for [`LEASE_FOR`] from when they answer; the holder counts from before it asked and stops
//! [`LEASE_MARGIN`] earlier. Grants are in memory only: a voter that has just started grants nobody for as long.
//!
//! While the voters change, majorities of epochs that follow each other share a voter, others may not: under epoch `e`
//! somebody may hold the duty of whom no majority of `e + 2` has heard. He was granted before the joint record between
//! them was finished, so a voter that adopts `e + 2` is quiet for one lease; except to who holds the duty under `e + 1`
//! already, since his majority of the old set granted him after it had turned its back on `e`. A move keeps the joint
//! record up for long enough that the holder gets there.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::Address;
use crate::chance::Chance;
use crate::members::Members;
use crate::wire::Message;

const MS: u64 = 1_000_000;
/// A grant lasts so long.
pub const LEASE_FOR: u64 = 1_500 * MS;
/// The holder stops so much earlier, for clocks that run unevenly.
pub const LEASE_MARGIN: u64 = 100 * MS;
/// Asked again so often while held; also how long an ask waits for its majority.
const RENEW: u64 = 300 * MS;
/// Most duties a voter keeps apart.
const MAX_DUTIES: usize = 8;

#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
struct Grant {
    holder: CompactString,
    life: u64,
    ask: u64,
    until: u64,
}

/// The voter's side.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Grantor {
    /// Grants nobody.
    quiet: u64,
    /// Grants only who held under the epoch before or this one.
    wary: u64,
    epoch: u64,
    grants: BTreeMap<CompactString, Grant>,
}

impl Grantor {
    /// Of a process that started `now`.
    pub fn new(now: u64) -> Self {
        Self { quiet: now.saturating_add(LEASE_FOR), wary: 0, epoch: 0, grants: BTreeMap::new() }
    }

    /// Newer members stand, after those of the epoch `before`.
    pub(crate) fn moved(&mut self, now: u64, before: Option<u64>, members: &Members) {
        self.epoch = members.epoch;
        // A joint record shares its majorities with the one right before it.
        if before.is_none_or(|before| before + 1 < members.epoch) || members.next.is_none() {
            self.wary = now.saturating_add(LEASE_FOR);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn on_ask(
        &mut self,
        now: u64,
        duty: CompactString,
        holder: CompactString,
        life: u64,
        ask: u64,
        held: Option<u64>,
        again: bool,
    ) -> Message {
        self.grants.retain(|_, grant| grant.until > now);
        let trusted = held.is_some_and(|epoch| epoch + 1 >= self.epoch);
        let quiet = if again { 0 } else { self.quiet };
        let wait = if trusted { quiet } else { quiet.max(self.wary) }.saturating_sub(now);
        let left = match self.grants.get(&duty) {
            // What this voter has granted in its own present life goes on: nobody else can have been granted by it meanwhile.
            Some(grant) if grant.holder == holder && grant.life == life => {
                if trusted {
                    0
                } else {
                    self.wary.saturating_sub(now)
                }
            }
            // A later life of the same holder: the one that was granted has ended.
            Some(grant) if grant.holder == holder && grant.life <= life => wait,
            Some(grant) => grant.until - now,
            None if self.grants.len() >= MAX_DUTIES => LEASE_FOR,
            None => wait,
        };
        if left > 0 {
            return Message::Denied { duty, life, ask, left, newer: None };
        }
        let ask_before = self.grants.get(&duty).map_or(0, |grant| grant.ask);
        let grant = Grant { holder, life, ask: ask.max(ask_before), until: now.saturating_add(LEASE_FOR) };
        self.grants.insert(duty.clone(), grant);
        Message::Granted { duty, life, ask }
    }

    pub(crate) fn on_release(&mut self, duty: &str, holder: &str, life: u64, ask: u64) {
        // One that comes late must not free what was granted after it.
        let theirs = |grant: &Grant| grant.holder == holder && grant.life == life && grant.ask <= ask;
        if self.grants.get(duty).is_some_and(theirs) {
            self.grants.remove(duty);
        }
    }
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
struct Asked {
    ask: u64,
    at: u64,
    granted: BTreeSet<Address>,
    denied: BTreeSet<Address>,
    left: u64,
}

/// The candidate's side.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct Holder {
    duty: CompactString,
    name: CompactString,
    life: u64,
    chance: Chance,
    members: Members,
    asks: u64,
    asked: Option<Asked>,
    until: u64,
    /// The epoch that `until` was counted under.
    held: u64,
    again: bool,
    wake: u64,
}

impl Holder {
    /// A candidate for this duty. `life` differs at each start of its process.
    pub fn new(duty: &str, name: &str, life: u64, members: Members, seed: u64, now: u64) -> Self {
        let mut chance = Chance::new(seed);
        let wake = now.saturating_add(chance.between(0, 100 * MS));
        let (duty, name) = (duty.into(), name.into());
        Self {
            duty,
            name,
            life,
            chance,
            members,
            asks: 0,
            asked: None,
            until: 0,
            held: 0,
            again: false,
            wake,
        }
    }

    /// Whether the register names this machine as the last that had the duty. Its own life before has ended, so voters that have
    /// just started need not wait for a lease of before; the caller makes sure that it acts only once it has renewed its name
    /// in the register over that very version, and calls this off where another name stands there.
    pub fn set_again(&mut self, again: bool) {
        self.again = again;
    }

    /// Whether it asks as the one that had the duty last.
    pub fn is_again(&self) -> bool {
        self.again
    }

    /// Whether it holds the duty now.
    pub fn may_act(&self, now: u64) -> bool {
        now < self.until
    }

    /// Up to when it holds it.
    pub fn until(&self) -> u64 {
        self.until
    }

    /// The members it counts by: look here for newer ones that a voter told of.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Newer members are known to be chosen. A lease that is held goes on.
    pub fn adopt(&mut self, members: &Members) {
        if members.uid == self.members.uid && members.epoch > self.members.epoch {
            self.members = members.clone();
            // Counted by the old ones: what is under way no longer counts.
            self.asked = None;
            self.wake = 0;
        }
    }

    /// When to call [`Holder::on_tick`] next.
    pub fn next_wake(&self) -> u64 {
        self.wake
    }

    /// Time passes: ask, renew, or take back an ask that found no majority.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if now < self.wake {
            return Vec::new();
        }
        match self.asked.take() {
            Some(asked) if !self.may_act(now) => self.give_way(now, asked.left),
            _ => self.ask(now),
        }
    }

    /// A voter's answer.
    pub fn on_message(&mut self, now: u64, from: &str, message: &Message) -> Vec<(Address, Message)> {
        if !self.members.names(from) {
            return Vec::new();
        }
        let (duty, life, ask, denied) = match message {
            Message::Granted { duty, life, ask } => (duty, life, ask, None),
            Message::Denied { duty, life, ask, left, newer } => (duty, life, ask, Some((*left, newer))),
            _ => return Vec::new(),
        };
        let Some(asked) = &mut self.asked else { return Vec::new() };
        if *duty != self.duty || *life != self.life || *ask != asked.ask {
            return Vec::new();
        }
        match denied {
            None => {
                asked.denied.remove(from);
                asked.granted.insert(from.into());
                if self.members.quorum(|voter| asked.granted.contains(voter)) {
                    self.until = self.until.max(asked.at.saturating_add(LEASE_FOR - LEASE_MARGIN));
                    self.held = self.members.epoch;
                }
                Vec::new()
            }
            Some((_, Some(newer))) => {
                let newer = newer.clone();
                self.adopt(&newer);
                self.on_tick(now)
            }
            Some((left, None)) => {
                asked.denied.insert(from.into());
                asked.left = asked.left.max(left.min(LEASE_FOR));
                let left = asked.left;
                let hopeless = !self.members.quorum(|voter| !asked.denied.contains(voter));
                if hopeless && !self.may_act(now) { self.give_way(now, left) } else { Vec::new() }
            }
        }
    }

    /// Give the duty back: it may not act any more, and others need not wait.
    pub fn release(&mut self, now: u64) -> Vec<(Address, Message)> {
        let out = self.give_way(now, LEASE_FOR);
        self.until = 0;
        out
    }

    fn ask(&mut self, now: u64) -> Vec<(Address, Message)> {
        self.asks += 1;
        let (granted, denied) = (BTreeSet::new(), BTreeSet::new());
        self.asked = Some(Asked { ask: self.asks, at: now, granted, denied, left: 0 });
        self.wake = now.saturating_add(RENEW);
        let held = self.may_act(now).then_some(self.held);
        let (duty, holder, members) = (self.duty.clone(), self.name.clone(), self.members.clone());
        let (life, ask, again) = (self.life, self.asks, self.again);
        self.to_all(Message::Ask { duty, holder, life, ask, held, again, members })
    }

    /// Take the ask back, so that its part of a split vote is free, and ask again after a while.
    fn give_way(&mut self, now: u64, left: u64) -> Vec<(Address, Message)> {
        self.asked = None;
        // Never longer than it takes to see whether the holder is still there.
        self.wake = now.saturating_add(left.min(RENEW) + self.chance.between(5 * MS, 100 * MS));
        let (duty, holder) = (self.duty.clone(), self.name.clone());
        self.to_all(Message::Release { duty, holder, life: self.life, ask: self.asks })
    }

    fn to_all(&self, message: Message) -> Vec<(Address, Message)> {
        self.members.all().into_iter().map(|voter| (voter, message.clone())).collect()
    }
}
