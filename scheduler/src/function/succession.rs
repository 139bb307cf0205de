//! Owners change: what a new one takes over, and what the one before parts with.
//!
//! Invariant: of an instance that a new owner found it gives nothing, or where nobody can tell it more a part, until it has heard what is
//! out; what it hears before it knows the instance is kept.

use std::collections::BTreeSet;

use compact_str::CompactString;

use super::{OVERDUE, Permit, Scheduler};
use crate::owners::{Owners, OwnershipChange, Peer};
use crate::service::Service;
use crate::{MS, Nanos, SECOND};

/// A change of owners has come round after so long: permits of the one before are told of meanwhile.
pub(crate) const SETTLES: Nanos = 300 * MS;
/// ... and the one of before, if it lives, has told of them after so long: it may be the busiest stall of all.
const SETTLES_WITH: Nanos = 1_500 * MS;
/// Permits of instances that are not known yet are remembered for so long, and only so many.
pub(super) const EARLY: Nanos = 2 * SECOND;
pub(super) const MOST_EARLY: usize = 10_000;

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
    pub service: CompactString,
    /// Permits that are out.
    pub out: Vec<OutstandingPermit>,
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
        for at in self.concerned(turn) {
            let service = &mut self.services[at];
            let name = service.name.clone();
            let lots = owners.partition_count(&name);
            let here = owners.owns(&me.name, &name, &me.zone);
            let mine =
                |zone: &str| if lots > 1 { owners.owns(&me.name, &name, zone).is_ok() } else { here.is_ok() };
            let owned = service.function.is_some() && here.is_ok();
            let was = (service.owned, service.split);
            (service.owned, service.split) = (owned, lots > 1);
            self.rivals[at] = here.err().unwrap_or(0);
            if let Some(function) = &mut service.function {
                function.budget.share(lots);
            }
            let mut gained = BTreeSet::new();
            service.change(|places| {
                for place in places {
                    let is_mine = owned && mine(&place.of.zone);
                    if is_mine && !place.mine {
                        gained.insert(place.of.id.clone());
                    }
                    place.mine = is_mine;
                }
            });
            let stays = was == (owned, lots > 1);
            if stays && !(owned && lots > 1) {
                continue;
            }
            let zones = service.places().iter().map(|place| place.of.zone.clone()).collect();
            let transfer = before(&name, &zones);
            if stays {
                // An owner of one lot takes over another's, or gives it back: the rest is its own as before.
                if transfer.loses {
                    let settling = service.settling;
                    let out = self.part_with(now, at, mine);
                    self.services[at].settling = settling;
                    parted.push(Released { service: name.clone(), out });
                }
                if !transfer.from.is_empty() || !gained.is_empty() {
                    self.gain(now, at, transfer.from, &gained);
                }
                continue;
            }
            service.anew();
            if was.0 {
                let out = self.part_with(now, at, mine);
                parted.push(Released { service: name.clone(), out });
            }
            if owned {
                self.services[at].expects = transfer.from;
                new.push(at);
            }
        }
        for at in new {
            for id in self.services[at].places().iter().map(|p| p.of.id.clone()).collect::<Vec<_>>() {
                self.scout(now, at, &id);
            }
            // They are judged from now on, by this owner's demand.
            self.services[at].change(|places| {
                for place in places {
                    (place.used, place.found, place.proven, place.yielded) = (now, true, false, 0);
                    (place.leaving, place.retired) = (false, false);
                }
            });
            let waits = if self.services[at].expects.is_empty() { SETTLES } else { SETTLES_WITH };
            self.services[at].settling = now + waits;
            if let Some(function) = &mut self.services[at].function {
                function.said = None;
                function.demand.anew(now);
            }
            self.services[at].hold(now);
            self.rouse(at);
            self.found(now, at);
        }
        parted
    }

    /// Instances of another lot are owned here from now on, beside those that were.
    fn gain(
        &mut self,
        now: Nanos,
        at: usize,
        from: BTreeSet<CompactString>,
        gained: &BTreeSet<CompactString>,
    ) {
        let service = &mut self.services[at];
        // What was found before has been told of by now; only what comes is to be told of.
        let settled = now >= service.settling && service.expects.is_empty();
        service.expects.extend(from);
        let waits = if service.expects.is_empty() { SETTLES } else { SETTLES_WITH };
        service.settling = service.settling.max(now + waits);
        service.change(|places| {
            for place in places {
                if gained.contains(&place.of.id) {
                    (place.used, place.found, place.proven, place.yielded) = (now, true, false, 0);
                    (place.leaving, place.retired) = (false, false);
                } else if settled {
                    place.found = false;
                }
            }
        });
        for id in gained {
            self.scout(now, at, id);
        }
        self.services[at].hold(now);
        self.rouse(at);
        self.found(now, at);
    }

    /// The functions that a turn concerns, in the order of their names. One that was owned is lost to a stall that came and stands before
    /// this one; one that was not is won only where who stood before this one has gone.
    fn concerned(&self, turn: &OwnershipChange) -> Vec<usize> {
        if turn.is_whole() {
            return self.sorted(|_| true);
        }
        let is = |(at, rival): (usize, &u64)| {
            let here = |service: &Service| service.owned && turn.passes_on(&service.name);
            (if *rival == 0 { here(&self.services[at]) } else { turn.frees(*rival) }).then_some(at)
        };
        let mut found: Vec<_> = self.rivals.iter().enumerate().filter_map(is).collect();
        found.extend(turn.split().filter_map(|name| self.names.get(name)));
        let mut found = self.in_order(found);
        found.dedup();
        found
    }

    /// What is out of a function's instances that are not owned here any more is taken off, and who waits from there waits elsewhere.
    fn part_with(&mut self, now: Nanos, at: usize, mine: impl Fn(&str) -> bool) -> Vec<OutstandingPermit> {
        let service = &mut self.services[at];
        service.settling = now + SETTLES_WITH;
        let gone: Vec<_> = match &service.function {
            Some(function) => {
                let of = function.queue.iter().filter(|(_, w)| !mine(&w.ask.zone));
                of.map(|(place, w)| (*place, (w.from.clone(), w.ask.id))).collect()
            }
            None => Vec::new(),
        };
        for (place, key) in gone {
            self.queued.remove(&key);
            if let Some(function) = &mut self.services[at].function {
                function.queue.remove(&place);
            }
        }
        let service = &self.services[at];
        let away = service.places().iter().filter(|p| !p.mine && !p.out.is_empty());
        let keys: Vec<_> =
            away.flat_map(|p| p.out.iter().map(|key| (key.clone(), p.of.zone.clone()))).collect();
        let mut out = Vec::new();
        for ((who, ask), zone) in keys {
            let Some(permit) = self.permits.remove(&(who.clone(), ask)) else { continue };
            self.services[at].take_back(&permit.instance, &who, ask);
            out.push(OutstandingPermit { who, ask, zone, instance: permit.instance, until: permit.until });
        }
        self.services[at].hold(now);
        out
    }

    /// The functions, whether each is owned here, and whether it is split.
    #[cfg(test)]
    pub(crate) fn standing(&self) -> Vec<(CompactString, bool, bool)> {
        let all = self.sorted(|s| s.function.is_some()).into_iter().map(|at| &self.services[at]);
        all.map(|s| (s.name.clone(), s.owned, s.split)).collect()
    }

    /// This stall stands in for nobody before then.
    pub fn defer_to_owner(&mut self, name: &str, until: Nanos) {
        let Some(at) = self.names.get(name).copied() else { return };
        let service = &mut self.services[at];
        if !service.owned {
            service.settling = service.settling.max(until);
        }
    }

    /// An owner of before has told of all that it has out of a function that is owned here.
    pub fn transfer_complete(&mut self, now: Nanos, name: &str, from: &str) {
        let Some(at) = self.names.get(name).copied() else { return };
        let service = &mut self.services[at];
        service.expect_no_more(now, from, false);
        if service.owned && service.expects.is_empty() {
            self.serve(now, at);
        }
    }

    /// A permit that an owner of before had given out.
    pub fn take_over_permit(&mut self, now: Nanos, who: CompactString, ask: u64, id: &str, until: Nanos) {
        // One that was granted here meanwhile stays, until its asker says that it uses the other.
        if !self.permits.contains_key(&(who.clone(), ask)) {
            self.counts.taken_over += 1;
            self.hold_permit(now, who, ask, id, until.saturating_sub(OVERDUE));
        }
    }

    /// A permit that somebody has out under an owner of before. Its ask waits here no more, and one that was granted to it here is not
    /// used.
    pub fn hold_permit(&mut self, now: Nanos, from: CompactString, ask: u64, id: &str, until: Nanos) {
        let key = (from, ask);
        if self.is_out_at(&key.0, ask, id) || self.permits.len() > 100_000 || self.is_back(now, &key) {
            return;
        }
        self.forget(now, &key.0, ask);
        let Some(at) = self.homes.get(id).copied() else {
            // Who has it out may have heard of this owner before the owner has heard of the instance.
            self.early.retain(|_, all| all.iter().any(|(_, _, heard)| now < heard + EARLY));
            if self.early.values().map(Vec::len).sum::<usize>() < MOST_EARLY {
                self.early.entry(id.into()).or_default().push((key, until, now));
            }
            return;
        };
        let service = &mut self.services[at];
        if service.give(id, key.clone()).is_none() {
            return;
        }
        service.hold(now);
        let until = until.saturating_add(OVERDUE);
        self.permit(key, Permit { service: at, instance: id.into(), until, since: now, lingers: false });
    }
}
