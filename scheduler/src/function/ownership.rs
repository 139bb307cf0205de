//! Owners change: what a new one takes over, and what the one before parts with.
//!
//! Invariant: of an instance that a new owner found it gives nothing, or where nobody can tell it more a part, until it has heard what is
//! out; what it hears before it knows the instance is kept.

use std::collections::BTreeSet;

use compact_str::CompactString;

use super::{PERMIT_GRACE, Permit, Scheduler};
use crate::owners::{Owners, OwnershipChange, Peer};
use crate::service::FunctionState;
use crate::{MS, Nanos, SECOND};

/// A change of owners has come round after so long: permits of the one before are told of meanwhile.
pub(crate) const SETTLING_TIME: Nanos = 300 * MS;
/// ... and the one of before, if it lives, has told of them after so long: it may be the busiest stall of all.
const TRANSFER_TIMEOUT: Nanos = 1_500 * MS;
/// Permits of instances that are not known yet are remembered for so long, and only so many.
pub(super) const EARLY_PERMIT_TTL: Nanos = 2 * SECOND;
pub(super) const MAX_EARLY_PERMITS: usize = 10_000;

/// What a change of owners moves at this stall, of one function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Who owned what is owned here now, and lives and has not told yet of what it has out.
    pub from: BTreeSet<CompactString>,
    /// Something that was owned here is another's now.
    pub loses: bool,
}

/// What an owner parts with.
#[derive(Debug, PartialEq)]
pub struct Released {
    /// The function.
    pub function: CompactString,
    /// Permits that are out.
    pub permits: Vec<OutstandingPermit>,
}

/// A permit that is out.
#[derive(Debug, PartialEq)]
pub struct OutstandingPermit {
    /// Who has it.
    pub who: CompactString,
    /// Its number for the request.
    pub ask: u64,
    /// The zone of the instance.
    pub zone: CompactString,
    /// The instance's life.
    pub instance: CompactString,
    /// When its slot is free at the latest.
    pub until: Nanos,
}

impl Scheduler {
    /// Which functions are owned here, by this stall among these, from now on; looked at are those that the turn concerns. `before`:
    /// what moves, of a function whose instances are known in these zones. Of another's nothing is wanted, stopped or scouted. What is not owned here
    /// any more comes back: its permits are for its new owners.
    pub fn update_ownership(
        &mut self,
        now: Nanos,
        me: &Peer,
        owners: &Owners,
        turn: &OwnershipChange,
        before: impl Fn(&str, &BTreeSet<CompactString>) -> Transfer,
    ) -> Vec<Released> {
        let (mut new, mut parted) = (Vec::new(), Vec::new());
        for at in self.affected_functions(turn) {
            let service = &mut self.functions[at];
            let name = service.name.clone();
            let lots = owners.partition_count(&name);
            let here = owners.owns(&me.name, &name, &me.zone);
            let mine =
                |zone: &str| if lots > 1 { owners.owns(&me.name, &name, zone).is_ok() } else { here.is_ok() };
            let owned = service.function.is_some() && here.is_ok();
            let was = (service.owned, service.split);
            (service.owned, service.split) = (owned, lots > 1);
            self.rival_seeds[at] = here.err().unwrap_or(0);
            if let Some(function) = &mut service.function {
                function.budget.set_partitions(lots);
            }
            let mut gained = BTreeSet::new();
            service.update_all(|places| {
                for place in places {
                    let is_mine = owned && mine(&place.info.zone);
                    if is_mine && !place.owned {
                        gained.insert(place.info.id.clone());
                    }
                    place.owned = is_mine;
                }
            });
            let stays = was == (owned, lots > 1);
            if stays && !(owned && lots > 1) {
                continue;
            }
            let zones = service.instances().iter().map(|place| place.info.zone.clone()).collect();
            let transfer = before(&name, &zones);
            if stays {
                // An owner of one lot takes over another's, or gives it back: the rest is its own as before.
                if transfer.loses {
                    let settling = service.settling_until;
                    let out = self.release_partition(now, at, mine);
                    self.functions[at].settling_until = settling;
                    parted.push(Released { function: name.clone(), permits: out });
                }
                if !transfer.from.is_empty() || !gained.is_empty() {
                    self.gain_partition(now, at, transfer.from, &gained);
                }
                continue;
            }
            service.reset_probes();
            if was.0 {
                let out = self.release_partition(now, at, mine);
                parted.push(Released { function: name.clone(), permits: out });
            }
            if owned {
                self.functions[at].awaited_owners = transfer.from;
                new.push(at);
            }
        }
        for at in new {
            for id in self.functions[at].instances().iter().map(|p| p.info.id.clone()).collect::<Vec<_>>() {
                self.probe_if_booting(now, at, &id);
            }
            // They are judged from now on, by this owner's demand.
            self.functions[at].update_all(|places| {
                for place in places {
                    (place.last_used, place.inherited, place.verified, place.yielded_until) =
                        (now, true, false, 0);
                    (place.draining, place.retired) = (false, false);
                }
            });
            let waits =
                if self.functions[at].awaited_owners.is_empty() { SETTLING_TIME } else { TRANSFER_TIMEOUT };
            self.functions[at].settling_until = now + waits;
            if let Some(function) = &mut self.functions[at].function {
                function.last_reported = None;
                function.demand.reset(now);
            }
            self.functions[at].record_permits(now);
            self.activate(at);
            self.inherit_instances(now, at);
        }
        parted
    }

    /// Instances of another lot are owned here from now on, beside those that were.
    fn gain_partition(
        &mut self,
        now: Nanos,
        at: usize,
        from: BTreeSet<CompactString>,
        gained: &BTreeSet<CompactString>,
    ) {
        let service = &mut self.functions[at];
        // What was found before has been told of by now; only what comes is to be told of.
        let settled = now >= service.settling_until && service.awaited_owners.is_empty();
        service.awaited_owners.extend(from);
        let waits = if service.awaited_owners.is_empty() { SETTLING_TIME } else { TRANSFER_TIMEOUT };
        service.settling_until = service.settling_until.max(now + waits);
        service.update_all(|places| {
            for place in places {
                if gained.contains(&place.info.id) {
                    (place.last_used, place.inherited, place.verified, place.yielded_until) =
                        (now, true, false, 0);
                    (place.draining, place.retired) = (false, false);
                } else if settled {
                    place.inherited = false;
                }
            }
        });
        for id in gained {
            self.probe_if_booting(now, at, id);
        }
        self.functions[at].record_permits(now);
        self.activate(at);
        self.inherit_instances(now, at);
    }

    /// The functions that a turn concerns, in the order of their names. One that was owned is lost to a stall that came and stands before
    /// this one; one that was not is won only where who stood before this one has gone.
    fn affected_functions(&self, turn: &OwnershipChange) -> Vec<usize> {
        if turn.is_full() {
            return self.indices_where(|_| true);
        }
        let is = |(at, rival): (usize, &u64)| {
            let here = |service: &FunctionState| service.owned && turn.may_lose(&service.name);
            (if *rival == 0 { here(&self.functions[at]) } else { turn.has_left(*rival) }).then_some(at)
        };
        let mut found: Vec<_> = self.rival_seeds.iter().enumerate().filter_map(is).collect();
        found.extend(turn.split().filter_map(|name| self.index_by_name.get(name)));
        let mut found = self.sort_by_name(found);
        found.dedup();
        found
    }

    /// What is out of a function's instances that are not owned here any more is taken off, and who waits from there waits elsewhere.
    fn release_partition(
        &mut self,
        now: Nanos,
        at: usize,
        mine: impl Fn(&str) -> bool,
    ) -> Vec<OutstandingPermit> {
        let service = &mut self.functions[at];
        service.settling_until = now + TRANSFER_TIMEOUT;
        let gone: Vec<_> = match &service.function {
            Some(function) => {
                let of = function.queue.iter().filter(|(_, w)| !mine(&w.request.zone));
                of.map(|(place, w)| (*place, (w.from.clone(), w.request.id))).collect()
            }
            None => Vec::new(),
        };
        for (place, key) in gone {
            self.queue_positions.remove(&key);
            if let Some(function) = &mut self.functions[at].function {
                function.queue.remove(&place);
            }
        }
        let service = &self.functions[at];
        let away = service.instances().iter().filter(|p| !p.owned && !p.permits.is_empty());
        let keys: Vec<_> =
            away.flat_map(|p| p.permits.iter().map(|key| (key.clone(), p.info.zone.clone()))).collect();
        let mut out = Vec::new();
        for ((who, ask), zone) in keys {
            let Some(permit) = self.permits.remove(&(who.clone(), ask)) else { continue };
            self.functions[at].remove_permit(&permit.instance, &who, ask);
            out.push(OutstandingPermit {
                who,
                ask,
                zone,
                instance: permit.instance,
                until: permit.expires_at,
            });
        }
        self.functions[at].record_permits(now);
        out
    }

    /// The functions, whether each is owned here, and whether it is split.
    #[cfg(test)]
    pub(crate) fn ownership_state(&self) -> Vec<(CompactString, bool, bool)> {
        let all = self.indices_where(|s| s.function.is_some()).into_iter().map(|at| &self.functions[at]);
        all.map(|s| (s.name.clone(), s.owned, s.split)).collect()
    }

    /// This stall stands in for nobody before then.
    pub fn defer_to_owner(&mut self, name: &str, until: Nanos) {
        let Some(at) = self.index_by_name.get(name).copied() else { return };
        let service = &mut self.functions[at];
        if !service.owned {
            service.settling_until = service.settling_until.max(until);
        }
    }

    /// An owner of before has told of all that it has out of a function that is owned here.
    pub fn transfer_complete(&mut self, now: Nanos, name: &str, from: &str) {
        let Some(at) = self.index_by_name.get(name).copied() else { return };
        let service = &mut self.functions[at];
        service.stop_awaiting(now, from, false);
        if service.owned && service.awaited_owners.is_empty() {
            self.serve_queue(now, at);
        }
    }

    /// A permit that an owner of before had given out.
    pub fn take_over_permit(&mut self, now: Nanos, who: CompactString, ask: u64, id: &str, until: Nanos) {
        // One that was granted here meanwhile stays, until its asker says that it uses the other.
        if !self.permits.contains_key(&(who.clone(), ask)) {
            self.counts.taken_over += 1;
            self.hold_permit(now, who, ask, id, until.saturating_sub(PERMIT_GRACE));
        }
    }

    /// A permit that somebody has out under an owner of before. Its ask waits here no more, and one that was granted to it here is not
    /// used.
    pub fn hold_permit(&mut self, now: Nanos, from: CompactString, ask: u64, id: &str, until: Nanos) {
        let key = (from, ask);
        if self.is_granted_at(&key.0, ask, id) || self.permits.len() > 100_000 || self.has_returned(now, &key)
        {
            return;
        }
        self.forget(now, &key.0, ask);
        let Some(at) = self.index_by_instance.get(id).copied() else {
            // Who has it out may have heard of this owner before the owner has heard of the instance.
            self.early_permits
                .retain(|_, all| all.iter().any(|(_, _, heard)| now < heard + EARLY_PERMIT_TTL));
            if self.early_permits.values().map(Vec::len).sum::<usize>() < MAX_EARLY_PERMITS {
                self.early_permits.entry(id.into()).or_default().push((key, until, now));
            }
            return;
        };
        let service = &mut self.functions[at];
        if service.add_permit(id, key.clone()).is_none() {
            return;
        }
        service.record_permits(now);
        let until = until.saturating_add(PERMIT_GRACE);
        self.record_permit(
            key,
            Permit {
                function: at,
                instance: id.into(),
                expires_at: until,
                granted_at: now,
                abandoned: false,
            },
        );
    }
}
