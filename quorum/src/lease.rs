//! Leases, each of which one process holds at a time. Invariant: while a holder may rely on its lease, no
//! majority has granted it to another process.
//!
//! A voter grants a lease for [`LEASE_DURATION`], counted from its reply. The holder counts from before it
//! sent the request and stops [`LEASE_MARGIN`] earlier. Grants are kept in memory only: a voter that has just
//! started grants no lease for one [`LEASE_DURATION`].
//!
//! During a membership change, majorities of successive epochs share a voter, but those of other epochs may
//! not: under epoch `e` a process may hold the lease without any majority of `e + 2` knowing of it. It was
//! granted the lease before a majority of the old voters had adopted the joint record between them. A voter
//! that adopts `e + 2` therefore grants no lease for one [`LEASE_DURATION`], except to a process that already
//! holds it under `e + 1`: the majority of the old set granted it after it had stopped accepting requests
//! under `e`. A membership change keeps the joint record in force long enough for the holder to renew under
//! it.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::Address;
use crate::members::Members;
use crate::rng::Rng;
use crate::wire::Message;

const MS: u64 = 1_000_000;
/// How long a grant lasts, in nanoseconds.
pub const LEASE_DURATION: u64 = 1_500 * MS;
/// How much earlier the holder stops, in nanoseconds, since clocks run at different rates.
pub const LEASE_MARGIN: u64 = 100 * MS;
/// Interval of renewals while the lease is held, and how long a request waits for its majority.
const RENEW_INTERVAL: u64 = 300 * MS;
/// Maximum number of leases of one voter.
const MAX_LEASES: usize = 8;

#[derive(Debug, Clone)]
#[cfg_attr(feature = "explore", derive(Hash))]
struct Grant {
    holder: CompactString,
    incarnation: u64,
    request: u64,
    expires_at: u64,
}

/// The voter's side of all leases.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct LeaseGrantor {
    /// No lease is granted before this time, except to a previous holder.
    no_grants_until: u64,
    /// Until this time, leases are granted only to processes that hold them under this epoch or the one
    /// before.
    holders_only_until: u64,
    epoch: u64,
    grants: BTreeMap<CompactString, Grant>,
}

impl LeaseGrantor {
    /// Creates the grantor of a process that starts at `now`.
    pub fn new(now: u64) -> Self {
        Self {
            no_grants_until: now.saturating_add(LEASE_DURATION),
            holders_only_until: 0,
            epoch: 0,
            grants: BTreeMap::new(),
        }
    }

    /// Newer members are in force, after those of the epoch `before`.
    pub(crate) fn on_members(&mut self, now: u64, before: Option<u64>, members: &Members) {
        self.epoch = members.epoch;
        // A majority under a joint record includes one under the record right before it.
        if before.is_none_or(|before| before + 1 < members.epoch) || members.next.is_none() {
            self.holders_only_until = now.saturating_add(LEASE_DURATION);
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(crate) fn on_request(
        &mut self,
        now: u64,
        lease: CompactString,
        holder: CompactString,
        incarnation: u64,
        request: u64,
        held_epoch: Option<u64>,
        previous_holder: bool,
    ) -> Message {
        self.grants.retain(|_, grant| grant.expires_at > now);
        let trusted = held_epoch.is_some_and(|epoch| epoch + 1 >= self.epoch);
        let no_grants_until = if previous_holder { 0 } else { self.no_grants_until };
        let wait = if trusted { no_grants_until } else { no_grants_until.max(self.holders_only_until) }
            .saturating_sub(now);
        let remaining = match self.grants.get(&lease) {
            // A grant of this voter since its start continues: it has granted the lease to no other process
            // meanwhile.
            Some(grant) if grant.holder == holder && grant.incarnation == incarnation => {
                if trusted {
                    0
                } else {
                    self.holders_only_until.saturating_sub(now)
                }
            }
            // A later incarnation of the same holder: the process that was granted the lease has ended.
            Some(grant) if grant.holder == holder && grant.incarnation <= incarnation => wait,
            Some(grant) => grant.expires_at - now,
            None if self.grants.len() >= MAX_LEASES => LEASE_DURATION,
            None => wait,
        };
        if remaining > 0 {
            return Message::LeaseDenied { lease, incarnation, request, remaining, newer_members: None };
        }
        let previous_request = self.grants.get(&lease).map_or(0, |grant| grant.request);
        let grant = Grant {
            holder,
            incarnation,
            request: request.max(previous_request),
            expires_at: now.saturating_add(LEASE_DURATION),
        };
        self.grants.insert(lease.clone(), grant);
        Message::LeaseGranted { lease, incarnation, request }
    }

    pub(crate) fn on_release(&mut self, lease: &str, holder: &str, incarnation: u64, request: u64) {
        // A delayed release must not free a grant of a later request.
        let is_covered = |grant: &Grant| {
            grant.holder == holder && grant.incarnation == incarnation && grant.request <= request
        };
        if self.grants.get(lease).is_some_and(is_covered) {
            self.grants.remove(lease);
        }
    }
}

#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
struct PendingRequest {
    request: u64,
    sent_at: u64,
    granted: BTreeSet<Address>,
    denied: BTreeSet<Address>,
    remaining: u64,
}

/// The side of a process that wants or holds a lease.
#[derive(Debug)]
#[cfg_attr(feature = "explore", derive(Clone, Hash))]
pub struct LeaseHolder {
    lease: CompactString,
    name: CompactString,
    incarnation: u64,
    rng: Rng,
    members: Members,
    requests: u64,
    pending: Option<PendingRequest>,
    expires_at: u64,
    /// The epoch under which `expires_at` was granted.
    held_epoch: u64,
    previous_holder: bool,
    wake: u64,
}

impl LeaseHolder {
    /// Creates a candidate for the lease. `incarnation` differs at each start of its process.
    pub fn new(lease: &str, name: &str, incarnation: u64, members: Members, seed: u64, now: u64) -> Self {
        let mut rng = Rng::new(seed);
        let wake = now.saturating_add(rng.between(0, 100 * MS));
        let (lease, name) = (lease.into(), name.into());
        Self {
            lease,
            name,
            incarnation,
            rng,
            members,
            requests: 0,
            pending: None,
            expires_at: 0,
            held_epoch: 0,
            previous_holder: false,
            wake,
        }
    }

    /// Sets whether the register names this machine as the last holder of the lease. Its earlier process has
    /// ended, so voters that have just started need not wait for an earlier lease to expire. The caller must
    /// act as the holder only once it has written its name to the register again over exactly that version,
    /// and must reset this if the register names another machine.
    pub fn set_previous_holder(&mut self, previous_holder: bool) {
        self.previous_holder = previous_holder;
    }

    /// Whether it requests the lease as its last holder.
    pub fn is_previous_holder(&self) -> bool {
        self.previous_holder
    }

    /// Whether it holds the lease at this time.
    pub fn is_held(&self, now: u64) -> bool {
        now < self.expires_at
    }

    /// Returns the time until which it holds the lease.
    pub fn expires_at(&self) -> u64 {
        self.expires_at
    }

    /// Returns the members whose majorities are counted, which include newer ones that a voter reported.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Adopts newer members that are known to be chosen. A lease that is held stays valid.
    pub fn adopt(&mut self, members: &Members) {
        if members.uid == self.members.uid && members.epoch > self.members.epoch {
            self.members = members.clone();
            // Replies to the pending request would be counted under the old members.
            self.pending = None;
            self.wake = 0;
        }
    }

    /// Returns the time of the next call to [`LeaseHolder::on_tick`].
    pub fn next_wake(&self) -> u64 {
        self.wake
    }

    /// Advances the time: requests or renews the lease, or withdraws a request that found no majority.
    pub fn on_tick(&mut self, now: u64) -> Vec<(Address, Message)> {
        if now < self.wake {
            return Vec::new();
        }
        match self.pending.take() {
            Some(pending) if !self.is_held(now) => self.withdraw(now, pending.remaining),
            _ => self.send_request(now),
        }
    }

    /// Handles a reply of a voter.
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
                    self.expires_at =
                        self.expires_at.max(pending.sent_at.saturating_add(LEASE_DURATION - LEASE_MARGIN));
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
                let majority_denied = !self.members.has_quorum(|voter| !pending.denied.contains(voter));
                if majority_denied && !self.is_held(now) { self.withdraw(now, remaining) } else { Vec::new() }
            }
        }
    }

    /// Releases the lease: it is no longer held, and other processes need not wait for it to expire.
    pub fn release(&mut self, now: u64) -> Vec<(Address, Message)> {
        let out = self.withdraw(now, LEASE_DURATION);
        self.expires_at = 0;
        out
    }

    fn send_request(&mut self, now: u64) -> Vec<(Address, Message)> {
        self.requests += 1;
        let (granted, denied) = (BTreeSet::new(), BTreeSet::new());
        self.pending =
            Some(PendingRequest { request: self.requests, sent_at: now, granted, denied, remaining: 0 });
        self.wake = now.saturating_add(RENEW_INTERVAL);
        let held_epoch = self.is_held(now).then_some(self.held_epoch);
        let (lease, holder, members) = (self.lease.clone(), self.name.clone(), self.members.clone());
        let (incarnation, request, previous_holder) = (self.incarnation, self.requests, self.previous_holder);
        self.broadcast(Message::LeaseRequest {
            lease,
            holder,
            incarnation,
            request,
            held_epoch,
            previous_holder,
            members,
        })
    }

    /// Withdraws the request, so that its grants of a split vote are free, and schedules another.
    fn withdraw(&mut self, now: u64, remaining: u64) -> Vec<(Address, Message)> {
        self.pending = None;
        // At most one renewal interval plus a random delay, so that a holder that has ended is noticed soon.
        self.wake = now.saturating_add(remaining.min(RENEW_INTERVAL) + self.rng.between(5 * MS, 100 * MS));
        let (lease, holder) = (self.lease.clone(), self.name.clone());
        self.broadcast(Message::LeaseRelease {
            lease,
            holder,
            incarnation: self.incarnation,
            request: self.requests,
        })
    }

    fn broadcast(&self, message: Message) -> Vec<(Address, Message)> {
        self.members.all_voters().into_iter().map(|voter| (voter, message.clone())).collect()
    }
}
