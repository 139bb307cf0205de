//! Scheduling state of one function at its owner: instances, queue, and totals over the instances that are
//! maintained incrementally.
//!
//! Invariant: `totals` matches `instances`, and the instances are sorted by id.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::budget::Budget;
use crate::demand::Demand;
use crate::function::{MinInstances, SETTLING_TIME};
use crate::instance::{InstanceState, Stage};
use crate::{FunctionSpec, MS, Nanos, PermitRequest, SECOND};

/// How much longer a live previous owner that missed its transfer timeout is assumed to have permits
/// outstanding.
const UNCERTAIN_TIME: Nanos = 4_500 * MS;

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub from: CompactString,
    pub request: PermitRequest,
    /// Until this time the request waits for information about instances; then the usual admission checks
    /// apply.
    pub awaiting_instances_until: Option<Nanos>,
}

/// State of a function that the configuration names.
#[derive(Debug)]
pub(crate) struct ConfiguredFunction {
    pub spec: FunctionSpec,
    /// Ordered by deadline, so that requests made by running requests come before younger ones.
    pub queue: BTreeMap<(Nanos, u64), Waiting>,
    pub budget: Budget,
    pub demand: Demand,
    pub target: Nanos,
    /// Exponentially decaying request count per zone, sorted by zone.
    zones_by_demand: Vec<(CompactString, f64)>,
    /// Time and value of the last reported instance target.
    pub last_reported: Option<(Nanos, u32)>,
    /// Fraction of its owner's capacity that the function used at that report.
    pub reported_load: f64,
    /// Minimum instance count set by the controller.
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

    /// Records the first attempt of a request that arrived in this zone.
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

    /// Zones in which requests arrive, the busiest first.
    pub fn zones_by_demand(&self) -> Vec<CompactString> {
        let mut zones: Vec<_> = self.zones_by_demand.iter().collect();
        zones.sort_by(|a, b| b.1.total_cmp(&a.1));
        zones.into_iter().map(|(zone, _)| zone.clone()).collect()
    }
}

/// Totals over the instances of a function.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InstanceTotals {
    /// Instances that can receive requests.
    pub available: usize,
    /// Instances that are starting.
    pub starting: usize,
    /// When the first of the starting instances was first seen.
    first_starting: Nanos,
    /// Instances to be retired once they have no outstanding permits.
    pub draining: usize,
    /// Retired or lost instances that the controller still lists.
    pub retired: usize,
    /// Outstanding permits.
    pub permits: usize,
}

/// A function: its configured state, if the configuration names it, and the instances listed by the
/// controller.
#[derive(Debug, Default)]
pub(crate) struct FunctionState {
    pub name: CompactString,
    pub function: Option<ConfiguredFunction>,
    instances: Vec<InstanceState>,
    totals: InstanceTotals,
    /// This proxy owns the function or, if it is split, the partition of its zone.
    pub owned: bool,
    /// Each zone has its own owner.
    pub split: bool,
    /// Until this time, others may not yet have learnt of a change of owners.
    pub settling_until: Nanos,
    /// Previous owners whose outstanding permits have not been transferred yet. They are awaited until
    /// `settling_until`, and after that for `UNCERTAIN_TIME` with restrictions.
    pub awaited_owners: BTreeSet<CompactString>,
    /// After an uncertain instance rejected a request as full, uncertain instances are probed again from
    /// this time.
    probe_after: Nanos,
    /// Consecutive probes rejected as full.
    rejected_probes: u32,
    /// Whether the function is processed on each tick.
    pub active: bool,
}

impl FunctionState {
    pub fn new(name: CompactString) -> Self {
        FunctionState { name, ..FunctionState::default() }
    }

    /// Whether nothing is known of the function any more.
    pub fn is_empty(&self) -> bool {
        self.function.is_none() && self.instances.is_empty()
    }

    pub fn totals(&self) -> InstanceTotals {
        self.totals
    }

    /// Number of running and starting instances.
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

    /// Whether an instance counts here: an owner uses only its own, a proxy that acts in place of the
    /// owner uses all that it knows.
    fn is_counted(&self, state: &InstanceState) -> bool {
        state.owned || !self.owned
    }

    /// Changes the instances and recomputes the totals.
    pub fn update_all<T>(&mut self, what: impl FnOnce(&mut Vec<InstanceState>) -> T) -> T {
        let given = what(&mut self.instances);
        let mut stock = InstanceTotals { first_starting: Nanos::MAX, ..InstanceTotals::default() };
        for state in &self.instances {
            stock.retired += usize::from(state.retired);
            stock.permits += state.permits.len();
            if !self.is_counted(state) {
                continue;
            }
            if state.is_available() {
                stock.available += 1;
            } else if state.is_live() {
                stock.starting += 1;
                stock.first_starting = stock.first_starting.min(state.first_seen);
            }
            stock.draining += usize::from(state.draining && !state.retired);
        }
        self.totals = stock;
        given
    }

    /// Changes one instance, if it exists, and recomputes the totals.
    pub fn update_instance<T>(&mut self, id: &str, what: impl FnOnce(&mut InstanceState) -> T) -> Option<T> {
        let at = self.position(id).ok()?;
        self.update_all(|instances| instances.get_mut(at).map(what))
    }

    /// Changes fields that do not affect the totals.
    pub fn update_ranks(&mut self, what: impl Fn(usize, &mut InstanceState)) {
        self.instances.iter_mut().enumerate().for_each(|(at, state)| what(at, state));
    }

    /// Adds an instance.
    pub fn add(&mut self, state: InstanceState) {
        if let Err(at) = self.position(&state.info.id) {
            self.update_all(|instances| instances.insert(at, state));
        }
    }

    /// Removes an instance.
    pub fn remove(&mut self, id: &str) -> Option<InstanceState> {
        let at = self.position(id).ok()?;
        Some(self.update_all(|instances| instances.remove(at)))
    }

    /// Adds a permit to an instance.
    pub fn add_permit(&mut self, id: &str, key: (CompactString, u64)) -> Option<&mut InstanceState> {
        let at = self.position(id).ok()?;
        let state = self.instances.get_mut(at)?;
        state.record_caller(&key.0);
        state.permits.push(key);
        self.totals.permits += 1;
        Some(state)
    }

    /// Removes a permit from an instance.
    pub fn remove_permit(&mut self, id: &str, from: &str, request_id: u64) -> Option<&mut InstanceState> {
        let at = self.position(id).ok()?;
        let state = self.instances.get_mut(at)?;
        if let Some(which) = state.permits.iter().position(|(who, n)| *n == request_id && who == from) {
            state.permits.swap_remove(which);
            self.totals.permits -= 1;
        }
        Some(state)
    }

    /// Updates the demand averages with the current number of permits.
    pub fn record_permits(&mut self, now: Nanos) {
        if let Some(function) = &mut self.function {
            function.demand.set_held(now, self.totals.permits);
        }
    }

    /// Selects the instance for a request: one that has not failed it, not significantly slower than
    /// others, not nearly full, in the same zone, recently used by the caller, with the fewest permits,
    /// then the least recently granted.
    pub fn select_instance(&self, now: Nanos, from: &str, request: &PermitRequest) -> Option<&CompactString> {
        let all = self.function.as_ref()?.spec.concurrency.max(1) as usize;
        if self.totals.available == 0 {
            return None;
        }
        // A new owner grants nothing on inherited instances until a live previous owner has transferred
        // its permits, and only part of the slots if the previous owner is dead. A proxy acting in place
        // of the owner does not know the owner's permits: it grants probes, a quarter of the slots where
        // one was answered, and nothing while ownership settles.
        let settling = now < self.settling_until;
        // A slow owner may have filled all uncertain instances: grant one slot on a few of them until one
        // has answered.
        let mut probes = if now < self.probe_after { 0 } else { self.probe_limit() };
        if probes > 0 {
            let probed = self
                .instances
                .iter()
                .filter(|p| self.is_uncertain(now, p) && !p.verified && !p.permits.is_empty());
            probes = probes.saturating_sub(probed.count());
        }
        let slot_limit = |p: &InstanceState| match self.owned {
            true if settling && p.inherited && !self.awaited_owners.is_empty() => 0,
            true if settling && p.inherited => p.usable_slots(now, all.div_ceil(2)),
            false if settling => 0,
            _ if !self.is_uncertain(now, p) => p.usable_slots(now, all),
            _ if p.verified => (all / 4).max(1),
            _ if probes > 0 => 1,
            _ => 0,
        };
        let candidates = self.instances.iter().filter(|p| {
            p.permits.len() < slot_limit(p)
                && p.is_available()
                && now >= p.backoff_until.max(p.yielded_until)
                && self.is_counted(p)
        });
        let best = candidates.min_by_key(|p| {
            let avoided = request.avoid.contains(&p.info.id);
            let limit = slot_limit(p);
            let nearly_full = limit > 1 && p.permits.len() + 1 >= limit;
            // A caller that returns to an instance has a connection there.
            (
                avoided,
                p.latency_rank,
                nearly_full,
                p.info.zone != request.zone,
                !p.recently_used_by(from),
                p.permits.len(),
                p.last_grant,
            )
        });
        best.map(|p| &p.info.id)
    }

    /// Whether another proxy may have granted its slots: this proxy acts in place of the owner, or a
    /// previous owner has not transferred its permits.
    pub fn is_uncertain(&self, now: Nanos, state: &InstanceState) -> bool {
        !self.owned
            || state.inherited
                && !self.awaited_owners.is_empty()
                && now < self.settling_until + UNCERTAIN_TIME
    }

    /// Number of unverified instances probed at once. Lower for an owner, as acting in place of one is
    /// short, while after a split the owners of several zones may await the same transfer.
    fn probe_limit(&self) -> usize {
        if self.owned || self.rejected_probes > 0 { 1 } else { 4 }
    }

    /// Records the outcome of a probe on an uncertain instance.
    pub fn probe_ended(&mut self, now: Nanos, was_full: bool) {
        if was_full {
            let pause = if self.owned { SECOND } else { 300 * MS };
            self.probe_after = now + (pause << self.rejected_probes.min(4));
            self.rejected_probes += 1;
        } else {
            self.rejected_probes = 0;
        }
    }

    /// Discards the probe results after a change of owners.
    pub fn reset_probes(&mut self) {
        (self.probe_after, self.rejected_probes) = (0, 0);
    }

    /// Stops awaiting a previous owner that has transferred its permits or is gone; in the latter case the
    /// holders report them.
    pub fn stop_awaiting(&mut self, now: Nanos, from: &str, gone: bool) {
        if self.awaited_owners.remove(from) && self.awaited_owners.is_empty() {
            self.settling_until = if gone { now + SETTLING_TIME } else { self.settling_until.min(now) };
            self.reset_probes();
            self.update_all(|instances| {
                instances.iter_mut().for_each(|p| (p.yielded_until, p.verified) = (0, false))
            });
        }
    }

    /// Mean retry probability over the available instances.
    pub fn mean_chance(&self, t1: Nanos) -> f64 {
        if self.totals.available == 0 {
            return 1.0;
        }
        let open = self.instances.iter().filter(|p| p.is_available() && self.is_counted(p));
        open.map(|p| p.retry_probability(t1)).sum::<f64>() / self.totals.available as f64
    }

    /// Expected wait of a new request for a slot, from outstanding permits, queue length and starting
    /// instances.
    pub fn expected_wait(&self, now: Nanos) -> Nanos {
        let Some(function) = &self.function else { return SECOND };
        let concurrency = f64::from(function.spec.concurrency.max(1));
        let hold_time = function.demand.expected_hold_time();
        let (slots, starting_slots) =
            (self.totals.available as f64 * concurrency, self.totals.starting as f64 * concurrency);
        let ahead = function.queue.len() as f64 + 1.0;
        let by_slots = if slots > 0.0 { ahead / slots * hold_time } else { f64::INFINITY };
        let startup_wait = if self.totals.starting > 0 {
            (self.totals.first_starting + function.spec.startup_time)
                .max(now + function.spec.startup_time / 10)
                - now
        } else {
            function.spec.startup_time + 30 * MS
        };
        if by_slots <= startup_wait as f64 {
            return by_slots as Nanos;
        }
        let starting_slots = if starting_slots > 0.0 { starting_slots } else { concurrency };
        let done = slots / hold_time * startup_wait as f64;
        startup_wait + ((ahead - done).max(0.0) / (slots + starting_slots) * hold_time * 0.5) as Nanos
    }

    /// Instance to retire first when there are more than needed; `None` while it has permits or was used
    /// in the last 100 ms.
    pub fn surplus_instance(&self, now: Nanos, need: usize) -> Option<CompactString> {
        if self.live_instances() <= need {
            return None;
        }
        let surplus = self
            .instances
            .iter()
            .filter(|p| self.is_counted(p) && p.is_live() && (p.is_available() || need == 0));
        let candidate = surplus.min_by_key(|p| (!p.on_slow_worker, p.permits.len(), p.last_used))?;
        (candidate.permits.is_empty() && candidate.last_used + 100 * MS <= now)
            .then(|| candidate.info.id.clone())
    }

    /// Whether the instance target or the surplus may change with time.
    pub fn needs_update(&self) -> bool {
        let Some(function) = self.function.as_ref().filter(|_| self.owned) else { return false };
        let may_report = || function.last_reported.is_none_or(|(_, count)| count > 0);
        !self.instances.is_empty() || !function.queue.is_empty() || may_report()
    }

    /// Whether to process the function on the next tick too. A function without instances whose target was
    /// never reported stays inactive until something arrives.
    pub fn stays_active(&self) -> bool {
        let Some(function) = &self.function else { return false };
        !function.queue.is_empty()
            || self.needs_update() && !(self.instances.is_empty() && function.last_reported.is_none())
    }

    /// Whether requests are queued or permits outstanding.
    pub fn is_busy(&self) -> bool {
        self.totals.permits > 0 || self.function.as_ref().is_some_and(|f| !f.queue.is_empty())
    }

    /// Whether the instance is booting, so that its readiness is to be probed.
    pub fn is_booting(&self, id: &str) -> bool {
        self.instance(id).is_some_and(|p| p.info.stage == Stage::Booting)
    }
}
