//! One function as its owner keeps it: its instances in a row, what waits, and sums over the instances that are kept up to date
//! rather than counted for each request.
//!
//! Invariant: `stock` says what `places` holds, and the instances stand in the order of their ids.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::budget::Budget;
use crate::demand::Demand;
use crate::function::{MinInstances, SETTLING_TIME};
use crate::instance::{InstanceState, Stage};
use crate::{FunctionSpec, MS, Nanos, PermitRequest, SECOND};

/// An owner of before that lives, and has not said what it has out by the time that it was given, is counted with for so long.
const UNCERTAIN_TIME: Nanos = 4_500 * MS;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub from: CompactString,
    pub request: PermitRequest,
    /// It waits for word of any instance, until then; after that it is judged as others are.
    pub awaiting_instances_until: Option<Nanos>,
}

/// What is kept of a function that the configuration names.
#[derive(Debug)]
pub(crate) struct ConfiguredFunction {
    pub spec: FunctionSpec,
    /// By deadline: what was made by a running request comes before the younger ones that it waits among.
    pub queue: BTreeMap<(Nanos, u64), Waiting>,
    pub budget: Budget,
    pub demand: Demand,
    pub target: Nanos,
    /// Requests by zone, forgetting; in the order of the zones.
    zones_by_demand: Vec<(CompactString, f64)>,
    /// What was last said to be wanted, and when.
    pub last_reported: Option<(Nanos, u32)>,
    /// What it took of its owner's strength when that was said.
    pub reported_load: f64,
    /// What control keeps under it.
    pub min_instances: Option<MinInstances>,
}

impl ConfiguredFunction {
    pub fn new(spec: FunctionSpec, budget: Budget, demand: Demand) -> Self {
        ConfiguredFunction {
            spec,
            queue: BTreeMap::new(),
            budget,
            demand,
            target: 200 * MS,
            zones_by_demand: Vec::new(),
            last_reported: None,
            reported_load: 0.0,
            min_instances: None,
        }
    }

    /// A request has come for the first time, in this zone.
    pub fn record_arrival(&mut self, now: Nanos, zone: &CompactString) {
        self.budget.record_request(now);
        self.demand.record_arrival(now);
        for (_, part) in &mut self.zones_by_demand {
            *part *= 0.98;
        }
        match self.zones_by_demand.binary_search_by(|(z, _)| z.cmp(zone)) {
            Ok(at) => self.zones_by_demand[at].1 += 1.0,
            Err(at) => self.zones_by_demand.insert(at, (zone.clone(), 1.0)),
        }
    }

    /// Where its requests come in, most first.
    pub fn zones_by_demand(&self) -> Vec<CompactString> {
        let mut zones: Vec<_> = self.zones_by_demand.iter().collect();
        zones.sort_by(|a, b| b.1.total_cmp(&a.1));
        zones.into_iter().map(|(zone, _)| zone.clone()).collect()
    }
}

/// Sums over the instances of a function.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceTotals {
    /// Requests may go there.
    pub available: usize,
    /// They are about to.
    pub starting: usize,
    /// When the first of those was heard of.
    first_starting: Nanos,
    /// To be let go once nothing is out.
    pub draining: usize,
    /// Let go or lost, and still named by control.
    pub retired: usize,
    /// Permits that are out.
    pub permits: usize,
}

/// A function: what the configuration says of it, if it names it, and the instances that control has told of.
#[derive(Debug, Default)]
pub(crate) struct FunctionState {
    pub name: CompactString,
    pub function: Option<ConfiguredFunction>,
    instances: Vec<InstanceState>,
    totals: InstanceTotals,
    /// It is owned here, all of it or the lot of this stall's zone.
    pub owned: bool,
    /// Each zone has an owner of its own.
    pub split: bool,
    /// Its owner has changed, and until then not all may have heard of that.
    pub settling_until: Nanos,
    /// Owners of before, whose word on what they have out is waited for until then, and longer with care.
    pub awaited_owners: BTreeSet<CompactString>,
    /// Instances that somebody else may have given out are tried again from then on, should one have been full.
    probe_after: Nanos,
    /// Of those, how many were full one after the other.
    rejected_probes: u32,
    /// It is looked at with each tick.
    pub active: bool,
}

impl FunctionState {
    pub fn new(name: CompactString) -> Self {
        FunctionState { name, ..FunctionState::default() }
    }

    /// Nothing is known of it any more.
    pub fn is_empty(&self) -> bool {
        self.function.is_none() && self.instances.is_empty()
    }

    pub fn totals(&self) -> InstanceTotals {
        self.totals
    }

    /// Those that it has, and is about to have.
    pub fn live_instances(&self) -> usize {
        self.totals.available + self.totals.starting
    }

    pub fn instances(&self) -> &[InstanceState] {
        &self.instances
    }

    fn position(&self, id: &str) -> Result<usize, usize> {
        self.instances.binary_search_by(|p| p.info.id.as_str().cmp(id))
    }

    pub fn instance(&self, id: &str) -> Option<&InstanceState> {
        self.instances.get(self.position(id).ok()?)
    }

    /// It counts here: an owner goes by its own instances, who stands in for one by all that it knows.
    fn is_counted(&self, place: &InstanceState) -> bool {
        place.owned || !self.owned
    }

    /// Changes the instances, and counts anew.
    pub fn update_all<T>(&mut self, what: impl FnOnce(&mut Vec<InstanceState>) -> T) -> T {
        let given = what(&mut self.instances);
        let mut stock = InstanceTotals { first_starting: Nanos::MAX, ..InstanceTotals::default() };
        for place in &self.instances {
            stock.retired += usize::from(place.retired);
            stock.permits += place.permits.len();
            if !self.is_counted(place) {
                continue;
            }
            if place.is_available() {
                stock.available += 1;
            } else if place.is_live() {
                stock.starting += 1;
                stock.first_starting = stock.first_starting.min(place.first_seen);
            }
            stock.draining += usize::from(place.draining && !place.retired);
        }
        self.totals = stock;
        given
    }

    /// Changes one instance, if it is there, and counts anew.
    pub fn update_instance<T>(&mut self, id: &str, what: impl FnOnce(&mut InstanceState) -> T) -> Option<T> {
        let at = self.position(id).ok()?;
        self.update_all(|places| places.get_mut(at).map(what))
    }

    /// Changes what hangs on no count.
    pub fn update_ranks(&mut self, what: impl Fn(usize, &mut InstanceState)) {
        self.instances.iter_mut().enumerate().for_each(|(at, place)| what(at, place));
    }

    /// A new instance.
    pub fn add(&mut self, place: InstanceState) {
        if let Err(at) = self.position(&place.info.id) {
            self.update_all(|places| places.insert(at, place));
        }
    }

    /// An instance that is no more.
    pub fn remove(&mut self, id: &str) -> Option<InstanceState> {
        let at = self.position(id).ok()?;
        Some(self.update_all(|places| places.remove(at)))
    }

    /// A permit goes out.
    pub fn add_permit(&mut self, id: &str, key: (CompactString, u64)) -> Option<&mut InstanceState> {
        let at = self.position(id).ok()?;
        let place = self.instances.get_mut(at)?;
        place.record_caller(&key.0);
        place.permits.push(key);
        self.totals.permits += 1;
        Some(place)
    }

    /// A permit is no longer out.
    pub fn remove_permit(&mut self, id: &str, from: &str, ask: u64) -> Option<&mut InstanceState> {
        let at = self.position(id).ok()?;
        let place = self.instances.get_mut(at)?;
        if let Some(which) = place.permits.iter().position(|(who, n)| *n == ask && who == from) {
            place.permits.swap_remove(which);
            self.totals.permits -= 1;
        }
        Some(place)
    }

    /// How many slots are held from now on, for the averages.
    pub fn record_permits(&mut self, now: Nanos) {
        if let Some(function) = &mut self.function {
            function.demand.set_held(now, self.totals.permits);
        }
    }

    /// The instance that gets the next request: one that surely ends no later than others, not nearly full, near by, with fewest calls out, then in turns.
    pub fn select_instance(&self, now: Nanos, from: &str, ask: &PermitRequest) -> Option<&CompactString> {
        let all = self.function.as_ref()?.spec.concurrency.max(1) as usize;
        if self.totals.available == 0 {
            return None;
        }
        // A new owner gives nothing of what it found before the one of before, if it lives, has said what it has out; where that one
        // is dead, a part. So does who is asked in the owner's place, and does not know what the owner has out; who was the owner
        // until a moment ago gives nothing.
        let settles = now < self.settling_until;
        // An owner that is only slow may have all of them out: one slot of a few, until one has been served there.
        let mut tries = if now < self.probe_after { 0 } else { self.probe_limit() };
        if tries > 0 {
            let tried = self
                .instances
                .iter()
                .filter(|p| self.is_uncertain(now, p) && !p.verified && !p.permits.is_empty());
            tries = tries.saturating_sub(tried.count());
        }
        let most = |p: &InstanceState| match self.owned {
            true if settles && p.inherited && !self.awaited_owners.is_empty() => 0,
            true if settles && p.inherited => p.usable_slots(now, all.div_ceil(2)),
            false if settles => 0,
            _ if !self.is_uncertain(now, p) => p.usable_slots(now, all),
            _ if p.verified => (all / 4).max(1),
            _ if tries > 0 => 1,
            _ => 0,
        };
        let free = self.instances.iter().filter(|p| {
            p.permits.len() < most(p)
                && p.is_available()
                && now >= p.backoff_until.max(p.yielded_until)
                && self.is_counted(p)
        });
        let best = free.min_by_key(|p| {
            let avoided = ask.avoid.contains(&p.info.id);
            let most = most(p);
            let nearly_full = most > 1 && p.permits.len() + 1 >= most;
            // An asker that comes back to an instance has a connection there.
            (
                avoided,
                p.latency_rank,
                nearly_full,
                p.info.zone != ask.zone,
                !p.recently_used_by(from),
                p.permits.len(),
                p.last_grant,
            )
        });
        best.map(|p| &p.info.id)
    }

    /// Somebody else may have given its slots out: this stall stands in for the owner, or has not heard from the one of before.
    pub fn is_uncertain(&self, now: Nanos, place: &InstanceState) -> bool {
        !self.owned
            || place.inherited
                && !self.awaited_owners.is_empty()
                && now < self.settling_until + UNCERTAIN_TIME
    }

    /// How many instances that are not proven are tried at once: who stands in does so for moments, and each zone's owner after a split
    /// may wait for the same word.
    fn probe_limit(&self) -> usize {
        if self.owned || self.rejected_probes > 0 { 1 } else { 4 }
    }

    /// One that somebody else may have given out was tried.
    pub fn probe_ended(&mut self, now: Nanos, was_full: bool) {
        if was_full {
            let pause = if self.owned { SECOND } else { 300 * MS };
            self.probe_after = now + (pause << self.rejected_probes.min(4));
            self.rejected_probes += 1;
        } else {
            self.rejected_probes = 0;
        }
    }

    /// Its owner is another one: what was tried says nothing any more.
    pub fn reset_probes(&mut self) {
        (self.probe_after, self.rejected_probes) = (0, 0);
    }

    /// This owner of before has told of all it had out, or is gone: those who have it out tell of it now.
    pub fn stop_awaiting(&mut self, now: Nanos, from: &str, gone: bool) {
        if self.awaited_owners.remove(from) && self.awaited_owners.is_empty() {
            self.settling_until = if gone { now + SETTLING_TIME } else { self.settling_until.min(now) };
            self.reset_probes();
            self.update_all(|places| {
                places.iter_mut().for_each(|p| (p.yielded_until, p.verified) = (0, false))
            });
        }
    }

    /// The probability of a further try, over all that are open.
    pub fn mean_chance(&self, t1: Nanos) -> f64 {
        if self.totals.available == 0 {
            return 1.0;
        }
        let open = self.instances.iter().filter(|p| p.is_available() && self.is_counted(p));
        open.map(|p| p.retry_probability(t1)).sum::<f64>() / self.totals.available as f64
    }

    /// How long a request that comes now waits for a slot, by what is out, what waits and what boots.
    pub fn expected_wait(&self, now: Nanos) -> Nanos {
        let Some(function) = &self.function else { return SECOND };
        let per = f64::from(function.spec.concurrency.max(1));
        let hold = function.demand.expected_hold_time();
        let (slots, coming) = (self.totals.available as f64 * per, self.totals.starting as f64 * per);
        let ahead = function.queue.len() as f64 + 1.0;
        let by_slots = if slots > 0.0 { ahead / slots * hold } else { f64::INFINITY };
        let boots = if self.totals.starting > 0 {
            (self.totals.first_starting + function.spec.startup_time)
                .max(now + function.spec.startup_time / 10)
                - now
        } else {
            function.spec.startup_time + 30 * MS
        };
        if by_slots <= boots as f64 {
            return by_slots as Nanos;
        }
        let coming = if coming > 0.0 { coming } else { per };
        let done = slots / hold * boots as f64;
        boots + ((ahead - done).max(0.0) / (slots + coming) * hold * 0.5) as Nanos
    }

    /// The instance that is to go first where there are more than are needed: none while it is not at rest.
    pub fn surplus_instance(&self, now: Nanos, need: usize) -> Option<CompactString> {
        if self.live_instances() <= need {
            return None;
        }
        let spare = self
            .instances
            .iter()
            .filter(|p| self.is_counted(p) && p.is_live() && (p.is_available() || need == 0));
        let old = spare.min_by_key(|p| (!p.on_slow_worker, p.permits.len(), p.last_used))?;
        (old.permits.is_empty() && old.last_used + 100 * MS <= now).then(|| old.info.id.clone())
    }

    /// What is needed, and what is not, may change with time.
    pub fn needs_update(&self) -> bool {
        let Some(function) = self.function.as_ref().filter(|_| self.owned) else { return false };
        let said = || function.last_reported.is_none_or(|(_, count)| count > 0);
        !self.instances.is_empty() || !function.queue.is_empty() || said()
    }

    /// It is to be looked at with the next tick too. What was said never and needs nothing stays so until something comes.
    pub fn stays_active(&self) -> bool {
        let Some(function) = &self.function else { return false };
        !function.queue.is_empty()
            || self.needs_update() && !(self.instances.is_empty() && function.last_reported.is_none())
    }

    /// Something of it waits or is out.
    pub fn is_busy(&self) -> bool {
        self.totals.permits > 0 || self.function.as_ref().is_some_and(|f| !f.queue.is_empty())
    }

    /// It has an instance that boots: it is to be found out when it is up.
    pub fn is_booting(&self, id: &str) -> bool {
        self.instance(id).is_some_and(|p| p.info.stage == Stage::Booting)
    }
}
