//! A duty that one process holds at a time; keeps: while one may act, no majority has granted another.
//!
//! Voters grant for [`LEASE_DURATION`] from when they answer; the holder counts from before it asked and stops
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
pub const LEASE_DURATION: u64 = 1_500 * MS;
/// The holder stops so much earlier, for clocks that run unevenly.
pub const LEASE_MARGIN: u64 = 100 * MS;
/// Asked again so often while held; also how long an ask waits for its majority.
const RENEW: u64 = 300 * MS;
/// Most duties a voter keeps apart.
const MAX_LEASES: usize = 8;

#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
struct Grant {
    holder: CompactString,
    incarnation: u64,
    request: u64,
    until: u64,
}

/// The voter's side.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct LeaseGrantor {
    /// Grants nobody.
    quiet: u64,
    /// Grants only who held under the epoch before or this one.
    wary: u64,
    epoch: u64,
    grants: BTreeMap<CompactString, Grant>,
}

impl LeaseGrantor {
    /// Of a process that started `now`.
    pub fn new(now: u64) -> Self {
        Self { quiet: now.saturating_add(LEASE_DURATION), wary: 0, epoch: 0, grants: BTreeMap::new() }
    }

    /// Newer members stand, after those of the epoch `before`.
    pub(crate) fn moved(&mut self, now: u64, before: Option<u64>, members: &Members) {
        self.epoch = members.epoch;
        // A joint record shares its majorities with the one right before it.
        if before.is_none_or(|before| before + 1 < members.epoch) || members.next.is_none() {
            self.wary = now.saturating_add(LEASE_DURATION);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn on_ask(
        &mut self,
        now: u64,
        lease: CompactString,
        holder: CompactString,
        incarnation: u64,
        request: u64,
        held_epoch: Option<u64>,
        previous_holder: bool,
    ) -> Message {
        self.grants.retain(|_, grant| grant.until > now);
        let trusted = held_epoch.is_some_and(|epoch| epoch + 1 >= self.epoch);
        let quiet = if previous_holder { 0 } else { self.quiet };
        let wait = if trusted { quiet } else { quiet.max(self.wary) }.saturating_sub(now);
        let remaining = match self.grants.get(&lease) {
            // What this voter has granted in its own present life goes on: nobody else can have been granted by it meanwhile.
            Some(grant) if grant.holder == holder && grant.incarnation == incarnation => {
                if trusted {
                    0
                } else {
                    self.wary.saturating_sub(now)
                }
            }
            // A later life of the same holder: the one that was granted has ended.
            Some(grant) if grant.holder == holder && grant.incarnation <= incarnation => wait,
            Some(grant) => grant.until - now,
            None if self.grants.len() >= MAX_LEASES => LEASE_DURATION,
            None => wait,
        };
        if remaining > 0 {
            return Message::LeaseDenied { lease, incarnation, request, remaining, newer_members: None };
        }
        let ask_before = self.grants.get(&lease).map_or(0, |grant| grant.request);
        let grant = Grant {
            holder,
            incarnation,
            request: request.max(ask_before),
            until: now.saturating_add(LEASE_DURATION),
        };
        self.grants.insert(lease.clone(), grant);
        Message::LeaseGranted { lease, incarnation, request }
    }

    pub(crate) fn on_release(&mut self, lease: &str, holder: &str, incarnation: u64, request: u64) {
        // One that comes late must not free what was granted after it.
        let theirs = |grant: &Grant| {
            grant.holder == holder && grant.incarnation == incarnation && grant.request <= request
        };
        if self.grants.get(lease).is_some_and(theirs) {
            self.grants.remove(lease);
        }
    }
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
struct PendingRequest {
    request: u64,
    at: u64,
    granted: BTreeSet<Address>,
    denied: BTreeSet<Address>,
    remaining: u64,
}

/// The candidate's side.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct LeaseHolder {
    lease: CompactString,
    name: CompactString,
    incarnation: u64,
    chance: Chance,
    members: Members,
    requests: u64,
    pending: Option<PendingRequest>,
    until: u64,
    /// The epoch that `until` was counted under.
    held_epoch: u64,
    previous_holder: bool,
    wake: u64,
}

impl LeaseHolder {
    /// A candidate for this duty. `life` differs at each start of its process.
    pub fn new(lease: &str, name: &str, incarnation: u64, members: Members, seed: u64, now: u64) -> Self {
        let mut chance = Chance::new(seed);
        let wake = now.saturating_add(chance.between(0, 100 * MS));
        let (lease, name) = (lease.into(), name.into());
        Self {
            lease,
            name,
            incarnation,
            chance,
            members,
            requests: 0,
            pending: None,
            until: 0,
            held_epoch: 0,
            previous_holder: false,
            wake,
        }
    }

    /// Whether the register names this machine as the last that had the duty. Its own life before has ended, so voters that have
    /// just started need not wait for a lease of before; the caller makes sure that it acts only once it has renewed its name
    /// in the register over that very version, and calls this off where another name stands there.
    pub fn set_previous_holder(&mut self, previous_holder: bool) {
        self.previous_holder = previous_holder;
    }

    /// Whether it asks as the one that had the duty last.
    pub fn is_previous_holder(&self) -> bool {
        self.previous_holder
    }

    /// Whether it holds the duty now.
    pub fn is_held(&self, now: u64) -> bool {
        now < self.until
    }

    /// Up to when it holds it.
    pub fn expires_at(&self) -> u64 {
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
            self.pending = None;
            self.wake = 0;
        }
    }

    /// When to call [`LeaseHolder::on_tick`] next.
    pub fn next_wake(&self) -> u64 {
        self.wake
    }

    /// Time passes: ask, renew, or take back an ask that found no majority.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if now < self.wake {
            return Vec::new();
        }
        match self.pending.take() {
            Some(pending) if !self.is_held(now) => self.give_way(now, pending.remaining),
            _ => self.send_request(now),
        }
    }

    /// A voter's answer.
    pub fn on_message(&mut self, now: u64, from: &str, message: &Message) -> Vec<(Address, Message)> {
        if !self.members.contains(from) {
            return Vec::new();
        }
        let (lease, incarnation, request, denied) = match message {
            Message::LeaseGranted { lease, incarnation, request } => (lease, incarnation, request, None),
            Message::LeaseDenied { lease, incarnation, request, remaining, newer_members } => {
                (lease, incarnation, request, Some((*remaining, newer_members)))
            }
            _ => return Vec::new(),
        };
        let Some(pending) = &mut self.pending else { return Vec::new() };
        if *lease != self.lease || *incarnation != self.incarnation || *request != pending.request {
            return Vec::new();
        }
        match denied {
            None => {
                pending.denied.remove(from);
                pending.granted.insert(from.into());
                if self.members.has_quorum(|voter| pending.granted.contains(voter)) {
                    self.until = self.until.max(pending.at.saturating_add(LEASE_DURATION - LEASE_MARGIN));
                    self.held_epoch = self.members.epoch;
                }
                Vec::new()
            }
            Some((_, Some(newer_members))) => {
                let newer_members = newer_members.clone();
                self.adopt(&newer_members);
                self.on_tick(now)
            }
            Some((remaining, None)) => {
                pending.denied.insert(from.into());
                pending.remaining = pending.remaining.max(remaining.min(LEASE_DURATION));
                let remaining = pending.remaining;
                let hopeless = !self.members.has_quorum(|voter| !pending.denied.contains(voter));
                if hopeless && !self.is_held(now) { self.give_way(now, remaining) } else { Vec::new() }
            }
        }
    }

    /// Give the duty back: it may not act any more, and others need not wait.
    pub fn release(&mut self, now: u64) -> Vec<(Address, Message)> {
        let out = self.give_way(now, LEASE_DURATION);
        self.until = 0;
        out
    }

    fn send_request(&mut self, now: u64) -> Vec<(Address, Message)> {
        self.requests += 1;
        let (granted, denied) = (BTreeSet::new(), BTreeSet::new());
        self.pending =
            Some(PendingRequest { request: self.requests, at: now, granted, denied, remaining: 0 });
        self.wake = now.saturating_add(RENEW);
        let held_epoch = self.is_held(now).then_some(self.held_epoch);
        let (lease, holder, members) = (self.lease.clone(), self.name.clone(), self.members.clone());
        let (incarnation, request, previous_holder) = (self.incarnation, self.requests, self.previous_holder);
        self.to_all(Message::LeaseRequest {
            lease,
            holder,
            incarnation,
            request,
            held_epoch,
            previous_holder,
            members,
        })
    }

    /// Take the ask back, so that its part of a split vote is free, and ask again after a while.
    fn give_way(&mut self, now: u64, remaining: u64) -> Vec<(Address, Message)> {
        self.pending = None;
        // Never longer than it takes to see whether the holder is still there.
        self.wake = now.saturating_add(remaining.min(RENEW) + self.chance.between(5 * MS, 100 * MS));
        let (lease, holder) = (self.lease.clone(), self.name.clone());
        self.to_all(Message::LeaseRelease {
            lease,
            holder,
            incarnation: self.incarnation,
            request: self.requests,
        })
    }

    fn to_all(&self, message: Message) -> Vec<(Address, Message)> {
        self.members.all_voters().into_iter().map(|voter| (voter, message.clone())).collect()
    }
}
