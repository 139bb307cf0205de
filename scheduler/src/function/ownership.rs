//! Ownership changes: what a new owner takes over and what the previous owner releases.
//!
//! Invariant: until a new owner has learnt which permits are outstanding, it grants nothing on an
//! inherited instance, or only part of its slots if nobody can report them. Permits reported before their
//! instance is known are kept.

use std::collections::BTreeSet;

use compact_str::CompactString;

use super::{PERMIT_GRACE, Permit, Scheduler};
use crate::instance::{InstanceState, UNACCOUNTED_HOLDER};
use crate::owners::{Owners, OwnershipChange, Peer};
use crate::service::FunctionState;
use crate::{MS, Nanos, SECOND};

/// Time after a change of owners for the proxies to learn of it and report outstanding permits.
pub(crate) const SETTLING_TIME: Nanos = 300 * MS;
/// Time for a live previous owner to transfer its permits; it may be the busiest proxy of all.
const TRANSFER_TIMEOUT: Nanos = 1_500 * MS;
/// How long permits of unknown instances are remembered; at most `MAX_EARLY_PERMITS` are.
pub(super) const EARLY_PERMIT_TTL: Nanos = 2 * SECOND;
pub(super) const MAX_EARLY_PERMITS: usize = 10_000;

/// Effects of an ownership change on one function at this proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Live previous owners that have not yet transferred their outstanding permits.
    pub from: BTreeSet<CompactString>,
    /// Whether this proxy has lost ownership of some instances.
    pub loses: bool,
}

/// What an owner releases.
#[derive(Debug, PartialEq)]
pub struct Released {
    /// Name of the function.
    pub function: CompactString,
    /// Outstanding permits.
    pub permits: Vec<OutstandingPermit>,
}

/// An outstanding permit.
#[derive(Debug, PartialEq)]
pub struct OutstandingPermit {
    /// Proxy that holds it.
    pub who: CompactString,
    /// Request id at that proxy.
    pub request_id: u64,
    /// Zone of the instance.
    pub zone: CompactString,
    /// Instance id.
    pub instance: CompactString,
    /// Latest time at which its slot becomes free.
    pub until: Nanos,
}

fn unaccounted_permits(now: Nanos, state: &mut InstanceState, slots: usize) -> Vec<OutstandingPermit> {
    let unaccounted = state.take_unaccounted(now, slots);
    let permit = |(request_id, until)| OutstandingPermit {
        who: UNACCOUNTED_HOLDER.into(),
        request_id,
        zone: state.info.zone.clone(),
        instance: state.info.id.clone(),
        until,
    };
    unaccounted.into_iter().map(permit).collect()
}

impl Scheduler {
    /// Recomputes which of the functions affected by `change` this proxy owns. `before` returns what moves
    /// for a function whose instances are in the given zones. For functions owned elsewhere, nothing is
    /// reported, retired or probed. Returns the released functions with their outstanding permits, for the
    /// new owners.
    pub fn update_ownership(
        &mut self,
        now: Nanos,
        me: &Peer,
        owners: &Owners,
        change: &OwnershipChange,
        before: impl Fn(&str, &BTreeSet<CompactString>) -> Transfer,
    ) -> Vec<Released> {
        let (mut new, mut released) = (Vec::new(), Vec::new());
        for index in self.affected_functions(change) {
            let service = &mut self.functions[index];
            let name = service.name.clone();
            let partitions = owners.partition_count(&name);
            let here = owners.owns(&me.name, &name, &me.zone);
            let is_mine = |zone: &str| {
                if partitions > 1 { owners.owns(&me.name, &name, zone).is_ok() } else { here.is_ok() }
            };
            let owned = service.function.is_some() && here.is_ok();
            let was = (service.owned, service.split);
            (service.owned, service.split) = (owned, partitions > 1);
            self.rival_seeds[index] = here.err().unwrap_or(0);
            if let Some(function) = &mut service.function {
                function.budget.set_partitions(partitions);
            }
            let mut gained = BTreeSet::new();
            service.update_all(|instances| {
                for state in instances {
                    let now_owned = owned && is_mine(&state.info.zone);
                    if now_owned && !state.owned {
                        gained.insert(state.info.id.clone());
                    }
                    state.owned = now_owned;
                }
            });
            let unchanged = was == (owned, partitions > 1);
            if unchanged && !(owned && partitions > 1) {
                continue;
            }
            let zones = service.instances().iter().map(|state| state.info.zone.clone()).collect();
            let transfer = before(&name, &zones);
            if unchanged {
                // The owner of one partition takes over or gives back another; the rest is unchanged.
                if transfer.loses {
                    let settling = service.settling_until;
                    let permits = self.release_partition(now, index, is_mine);
                    self.functions[index].settling_until = settling;
                    released.push(Released { function: name.clone(), permits });
                }
                if !transfer.from.is_empty() || !gained.is_empty() {
                    self.gain_partition(now, index, transfer.from, &gained);
                }
                continue;
            }
            service.reset_probes();
            if was.0 {
                let permits = self.release_partition(now, index, is_mine);
                released.push(Released { function: name.clone(), permits });
            }
            if owned {
                self.functions[index].awaited_owners = transfer.from;
                new.push(index);
            }
        }
        for index in new {
            for id in self.functions[index].instances().iter().map(|p| p.info.id.clone()).collect::<Vec<_>>()
            {
                self.probe_if_booting(now, index, &id);
            }
            // From now on they are judged by this owner's demand.
            self.functions[index].update_all(|instances| {
                for state in instances {
                    (state.last_used, state.inherited, state.verified, state.yielded_until) =
                        (now, true, false, 0);
                    (state.draining, state.retired) = (false, false);
                }
            });
            let settling_time = if self.functions[index].awaited_owners.is_empty() {
                SETTLING_TIME
            } else {
                TRANSFER_TIMEOUT
            };
            self.functions[index].settling_until = now + settling_time;
            if let Some(function) = &mut self.functions[index].function {
                function.last_reported = None;
                function.demand.reset(now);
            }
            self.functions[index].record_permits(now);
            self.activate(index);
            self.inherit_instances(now, index);
        }
        released
    }

    /// Takes over instances of another partition in addition to those already owned.
    fn gain_partition(
        &mut self,
        now: Nanos,
        index: usize,
        from: BTreeSet<CompactString>,
        gained: &BTreeSet<CompactString>,
    ) {
        let service = &mut self.functions[index];
        // Permits of previously inherited instances have been reported by now; only those of new instances
        // are awaited.
        let settled = now >= service.settling_until && service.awaited_owners.is_empty();
        service.awaited_owners.extend(from);
        let settling_time = if service.awaited_owners.is_empty() { SETTLING_TIME } else { TRANSFER_TIMEOUT };
        service.settling_until = service.settling_until.max(now + settling_time);
        service.update_all(|instances| {
            for state in instances {
                if gained.contains(&state.info.id) {
                    (state.last_used, state.inherited, state.verified, state.yielded_until) =
                        (now, true, false, 0);
                    (state.draining, state.retired) = (false, false);
                } else if settled {
                    state.inherited = false;
                }
            }
        });
        for id in gained {
            self.probe_if_booting(now, index, id);
        }
        self.functions[index].record_permits(now);
        self.activate(index);
        self.inherit_instances(now, index);
    }

    /// Functions affected by a change, ordered by name. An owned function can be lost only to a new proxy
    /// that ranks above this one; a function not owned can be gained only if the proxy that ranked above
    /// this one has left.
    fn affected_functions(&self, change: &OwnershipChange) -> Vec<usize> {
        if change.is_full() {
            return self.indices_where(|_| true);
        }
        let is_affected = |(index, rival): (usize, &u64)| {
            let here = |service: &FunctionState| service.owned && change.may_lose(&service.name);
            (if *rival == 0 { here(&self.functions[index]) } else { change.has_left(*rival) })
                .then_some(index)
        };
        let mut found: Vec<_> = self.rival_seeds.iter().enumerate().filter_map(is_affected).collect();
        found.extend(change.split().filter_map(|name| self.index_by_name.get(name)));
        let mut found = self.sort_by_name(found);
        found.dedup();
        found
    }

    /// Removes the permits of instances no longer owned here and the queued requests that belong to their
    /// owners.
    fn release_partition(
        &mut self,
        now: Nanos,
        index: usize,
        is_mine: impl Fn(&str) -> bool,
    ) -> Vec<OutstandingPermit> {
        let service = &mut self.functions[index];
        service.settling_until = now + TRANSFER_TIMEOUT;
        let gone: Vec<_> = match &service.function {
            Some(function) => {
                let of = function.queue.iter().filter(|(_, w)| !is_mine(&w.request.zone));
                of.map(|(position, w)| (*position, (w.from.clone(), w.request.id))).collect()
            }
            None => Vec::new(),
        };
        for (position, key) in gone {
            self.queue_positions.remove(&key);
            if let Some(function) = &mut self.functions[index].function {
                function.queue.remove(&position);
            }
        }
        let service = &self.functions[index];
        let with_permits = service.instances().iter().filter(|p| !p.owned && !p.permits.is_empty());
        let keys: Vec<_> = with_permits
            .flat_map(|p| p.permits.iter().map(|key| (key.clone(), p.info.zone.clone())))
            .collect();
        let mut permits = Vec::new();
        for ((who, request_id), zone) in keys {
            let Some(permit) = self.permits.remove(&(who.clone(), request_id)) else { continue };
            self.functions[index].remove_permit(&permit.instance, &who, request_id);
            permits.push(OutstandingPermit {
                who,
                request_id,
                zone,
                instance: permit.instance,
                until: permit.expires_at,
            });
        }
        permits.extend(self.take_unaccounted(now, index));
        self.functions[index].record_permits(now);
        permits
    }

    /// Returns permits for the requests that run at instances no longer owned here, though nobody holds a permit
    /// for them. The new owner would send as many others there, only to find the instances full.
    fn take_unaccounted(&mut self, now: Nanos, index: usize) -> Vec<OutstandingPermit> {
        let service = &mut self.functions[index];
        let Some(function) = &service.function else { return Vec::new() };
        let slots = function.spec.concurrency.max(1) as usize;
        service.update_all(|instances| {
            let released = instances.iter_mut().filter(|state| !state.owned);
            released.flat_map(|state| unaccounted_permits(now, state, slots)).collect()
        })
    }

    /// Configured functions, with whether each is owned here and whether it is split.
    #[cfg(test)]
    pub(crate) fn ownership_state(&self) -> Vec<(CompactString, bool, bool)> {
        let all =
            self.indices_where(|s| s.function.is_some()).into_iter().map(|index| &self.functions[index]);
        all.map(|s| (s.name.clone(), s.owned, s.split)).collect()
    }

    /// Grants nothing in place of the owner before `until`.
    pub fn defer_to_owner(&mut self, name: &str, until: Nanos) {
        let Some(index) = self.index_by_name.get(name).copied() else { return };
        let service = &mut self.functions[index];
        if !service.owned {
            service.settling_until = service.settling_until.max(until);
        }
    }

    /// Records that a previous owner has transferred all outstanding permits of a function owned here.
    pub fn transfer_complete(&mut self, now: Nanos, name: &str, from: &str) {
        let Some(index) = self.index_by_name.get(name).copied() else { return };
        let service = &mut self.functions[index];
        service.stop_awaiting(now, from, false);
        if service.owned && service.awaited_owners.is_empty() {
            self.serve_queue(now, index);
        }
    }

    /// Takes over a permit that a previous owner granted.
    pub fn take_over_permit(
        &mut self,
        now: Nanos,
        who: CompactString,
        request_id: u64,
        id: &str,
        until: Nanos,
    ) {
        // A permit granted here meanwhile is kept until its holder reports using the other one.
        if !self.permits.contains_key(&(who.clone(), request_id)) {
            self.counts.taken_over += 1;
            self.hold_permit(now, who, request_id, id, until.saturating_sub(PERMIT_GRACE));
        }
    }

    /// Records a permit that its holder reports as granted by a previous owner. The request is removed
    /// from the queue here, and a permit granted to it here is dropped as unused.
    pub fn hold_permit(&mut self, now: Nanos, from: CompactString, request_id: u64, id: &str, until: Nanos) {
        let key = (from, request_id);
        if self.is_granted_at(&key.0, request_id, id)
            || self.permits.len() > 100_000
            || self.has_returned(now, &key)
        {
            return;
        }
        self.forget(now, &key.0, request_id);
        let Some(index) = self.index_by_instance.get(id).copied() else {
            // The holder may know of this owner before the owner knows the instance.
            self.early_permits
                .retain(|_, all| all.iter().any(|(_, _, reported_at)| now < reported_at + EARLY_PERMIT_TTL));
            if self.early_permits.values().map(Vec::len).sum::<usize>() < MAX_EARLY_PERMITS {
                self.early_permits.entry(id.into()).or_default().push((key, until, now));
            }
            return;
        };
        let service = &mut self.functions[index];
        if service.add_permit(id, key.clone()).is_none() {
            return;
        }
        service.record_permits(now);
        let until = until.saturating_add(PERMIT_GRACE);
        self.record_permit(
            key,
            Permit {
                function: index,
                instance: id.into(),
                expires_at: until,
                granted_at: now,
                abandoned: false,
            },
        );
    }
}
