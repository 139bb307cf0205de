//! The functions owned by this proxy: their queues, instances and outstanding permits.
//!
//! Changes of ownership are handled in `ownership`.
//!
//! Invariants: an instance never has more permits outstanding than its concurrency limit; a permit is
//! outstanding at most once; queues are bounded.

mod instances;
mod min_instances;
mod ownership;
mod removed_functions;
mod returned_permits;
mod targets;
mod worker_speed;

use std::collections::{BTreeSet, HashMap};

use compact_str::CompactString;
use millpost::RandomSource;
use millpost_latency::LatencyModel;

use crate::budget::Budget;
use crate::counts::Counts;
use crate::demand::Demand;
use crate::effect::{DenialReason, Effect, SchedulerLimits};
use crate::instance::{Instance, Stage};
use crate::reason::{Reason, Reasons, RequestDecision};
use crate::service::{ConfiguredFunction, FunctionState, Waiting};
use crate::{FunctionSpec, MS, Nanos, Outcome, PermitRequest, SECOND, first_retry_delay};

pub(crate) use min_instances::MinInstances;
pub(crate) use ownership::SETTLING_TIME;
pub use ownership::{Released, Transfer};
use removed_functions::RemovedFunctions;
use returned_permits::ReturnedPermits;

/// Maximum queue length per function; further requests are denied.
const MAX_QUEUE_LEN: usize = 1_000;
/// Interval at which the instance target is reported again, in case an earlier report was lost.
const REPORT_INTERVAL: Nanos = 2_000 * MS;
/// Interval at which retired and lost instances are reported again while the controller still lists them.
const RETIRE_REPORT_INTERVAL: Nanos = 700 * MS;
/// After the first configuration, while demand is still unknown, one instance of each function with a
/// concurrency above 1 is kept for this time: such functions are expected to be busy.
const STANDBY_TIME: Nanos = 20 * SECOND;
/// A permit expires this long after the deadline of its request.
const PERMIT_GRACE: Nanos = 500 * MS;
/// After an instance that another proxy may also be granting rejects a request as full, this proxy grants
/// nothing on it for this time.
const YIELD_TIME: Nanos = 2_000 * MS;
/// How long a request for a function without known instances waits for information about instances that
/// may be on its way.
const INSTANCE_DISCOVERY_WAIT: Nanos = 250 * MS;
/// Change in the reported load fraction that triggers a new report.
const LOAD_REPORT_STEP: f64 = 0.1;
/// Tick interval while requests are queued or permits are outstanding.
const BUSY_TICK: Nanos = 25 * MS;
/// Tick interval while instances exist but are idle.
const IDLE_TICK: Nanos = 50 * MS;

/// Requesting proxy and its request id.
type Key = (CompactString, u64);

#[derive(Debug)]
struct Permit {
    function: usize,
    instance: CompactString,
    expires_at: Nanos,
    granted_at: Nanos,
    /// The client abandoned the request, which may still be running.
    abandoned: bool,
}

/// The functions owned by this proxy. Decisions are returned by [`Scheduler::take_effects`].
///
/// Each function has an index into `functions` for as long as anything is known of it. A permit is
/// outstanding only while its instance is known. No decision depends on the iteration order of a
/// `HashMap`.
#[derive(Debug)]
pub struct Scheduler {
    limits: SchedulerLimits,
    functions: Vec<FunctionState>,
    /// For each function not owned here, the seed of a proxy that ranks above this one; 0 if none is
    /// known.
    rival_seeds: Vec<u64>,
    /// Unused indices of `functions`.
    free_indices: Vec<usize>,
    /// Index of each function by name.
    index_by_name: HashMap<CompactString, usize>,
    /// Index of the function of each instance.
    index_by_instance: HashMap<CompactString, usize>,
    permits: HashMap<Key, Permit>,
    /// Permits reported before their instance was known: by instance, with their deadline and the time of
    /// the report.
    early_permits: HashMap<CompactString, Vec<(Key, Nanos, Nanos)>>,
    /// Permits released before they were reported to this proxy.
    returned_permits: ReturnedPermits,
    /// No permit expires before this time.
    next_expiry: Nanos,
    /// Function index and queue position of each queued request.
    queue_positions: HashMap<Key, (usize, (Nanos, u64))>,
    removed_functions: RemovedFunctions,
    /// Functions processed on each tick, ordered by name.
    active: Vec<usize>,
    /// Estimates of worker speed from response times.
    latency_model: Option<LatencyModel>,
    sequence: u64,
    rng: RandomSource,
    effects: Vec<Effect>,
    reasons: Reasons,
    pub(crate) counts: Counts,
}

impl Scheduler {
    /// Creates a scheduler without any functions or instances.
    pub fn new(limits: SchedulerLimits, seed: u64) -> Self {
        let latency_model = limits.rank_by_latency.then(LatencyModel::new);
        Scheduler {
            limits,
            functions: Vec::new(),
            rival_seeds: Vec::new(),
            free_indices: Vec::new(),
            index_by_name: HashMap::new(),
            index_by_instance: HashMap::new(),
            permits: HashMap::new(),
            early_permits: HashMap::new(),
            returned_permits: ReturnedPermits::default(),
            next_expiry: Nanos::MAX,
            queue_positions: HashMap::new(),
            removed_functions: RemovedFunctions::default(),
            active: Vec::new(),
            latency_model,
            sequence: 0,
            rng: RandomSource::seeded(seed),
            effects: Vec::new(),
            reasons: Reasons::default(),
            counts: Counts::default(),
        }
    }

    /// Counts of permit operations since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Returns and clears the pending effects.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Starts recording the reasons for decisions.
    pub fn explain(&mut self) {
        self.reasons.enable();
    }

    /// Returns and clears the recorded reasons.
    pub fn reasons(&mut self) -> Vec<Reason> {
        self.reasons.take()
    }

    /// Returns the index of a function, adding it if it is unknown.
    fn index_or_insert(&mut self, name: &CompactString) -> usize {
        if let Some(index) = self.index_by_name.get(name) {
            return *index;
        }
        let service = FunctionState::new(name.clone());
        let index = match self.free_indices.pop() {
            Some(index) => {
                (self.functions[index], self.rival_seeds[index]) = (service, 0);
                index
            }
            None => {
                self.functions.push(service);
                self.rival_seeds.push(0);
                self.functions.len() - 1
            }
        };
        self.index_by_name.insert(name.clone(), index);
        index
    }

    /// Frees the index of a function of which nothing is known any more.
    fn free_if_empty(&mut self, index: usize) {
        let service = &mut self.functions[index];
        if !service.is_empty() {
            return;
        }
        self.index_by_name.remove(&service.name);
        *service = FunctionState::default();
        self.rival_seeds[index] = 0;
        self.active.retain(|n| *n != index);
        self.free_indices.push(index);
    }

    /// Marks a function for processing on the next tick.
    fn activate(&mut self, index: usize) {
        if !std::mem::replace(&mut self.functions[index].active, true) {
            let name = &self.functions[index].name;
            let position = self.active.partition_point(|n| self.functions[*n].name < *name);
            self.active.insert(position, index);
        }
    }

    /// Indices of the functions that match, ordered by name.
    fn indices_where(&self, which: impl Fn(&FunctionState) -> bool) -> Vec<usize> {
        self.sort_by_name((0..self.functions.len()).filter(|index| which(&self.functions[*index])).collect())
    }

    fn sort_by_name(&self, mut all: Vec<usize>) -> Vec<usize> {
        all.sort_unstable_by(|a, b| self.functions[*a].name.cmp(&self.functions[*b].name));
        all
    }

    /// Applies the functions of the current configuration.
    pub fn configure(&mut self, now: Nanos, specs: impl Iterator<Item = FunctionSpec>) {
        let mut gone: BTreeSet<usize> = self.indices_where(|s| s.function.is_some()).into_iter().collect();
        let is_first = gone.is_empty();
        for spec in specs {
            let index = self.index_or_insert(&spec.name);
            gone.remove(&index);
            self.removed_functions.restore(&spec.name);
            if let Some(function) = &mut self.functions[index].function {
                function.spec = spec;
                continue;
            }
            let budget =
                Budget::new(self.limits.retry_window, self.limits.retry_ratio, self.limits.retry_slack);
            let mut demand = Demand::new(now);
            if is_first && spec.concurrency > 1 {
                demand.keep_standby(now + STANDBY_TIME);
            }
            self.functions[index].function = Some(ConfiguredFunction::new(spec, budget, demand));
            self.activate(index);
        }
        for index in
            self.indices_where(|s| s.function.is_some()).into_iter().filter(|index| gone.contains(index))
        {
            self.remove_function(now, index);
        }
    }

    /// Keeps instances that another owner started until this owner has measured the demand.
    fn inherit_instances(&mut self, now: Nanos, index: usize) {
        let service = &mut self.functions[index];
        let live = service.live_instances() as u32;
        if let Some(function) = &mut service.function {
            function.demand.inherited(now, live);
        }
    }

    fn probe_if_booting(&mut self, now: Nanos, index: usize, id: &str) {
        let service = &self.functions[index];
        let Some(state) = service.instance(id).filter(|p| p.info.stage == Stage::Booting) else { return };
        let Some(function) = &service.function else { return };
        if service.owned && state.owned {
            let from = (state.first_seen + function.spec.startup_time * 2 / 5).max(now);
            self.effects.push(Effect::ProbeReadiness { instance: state.info.clone(), from });
        }
    }

    /// Reports all instance targets again, since a new leader has received none of them.
    pub fn resend_targets(&mut self) {
        for index in 0..self.functions.len() {
            if let Some(function) = &mut self.functions[index].function {
                function.last_reported = None;
            }
            self.activate(index);
        }
    }

    /// Whether the instance is known and has not yet been seen accepting connections.
    pub fn is_booting(&self, id: &str) -> bool {
        self.index_by_instance.get(id).is_some_and(|index| self.functions[*index].is_booting(id))
    }

    /// Live instances of the functions owned here, without those that are draining, retired or lost.
    pub fn owned_instances(&self) -> impl Iterator<Item = &Instance> {
        let owned = self.functions.iter().filter(|s| s.owned);
        owned.flat_map(|s| s.instances()).filter(|p| p.owned && p.is_live()).map(|p| &p.info)
    }

    /// All known instances, in no particular order.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.functions.iter().flat_map(|s| s.instances()).map(|p| &p.info)
    }

    /// Whether the instance is known.
    pub fn knows(&self, id: &str) -> bool {
        self.index_by_instance.contains_key(id)
    }

    /// Queue length per function, in no particular order.
    pub fn queues(&self) -> impl Iterator<Item = (&str, usize)> {
        self.functions.iter().filter_map(|s| Some((s.name.as_str(), s.function.as_ref()?.queue.len())))
    }

    /// Retry budget of each function owned here, in no particular order: requests in the window, retries
    /// in the window, and allowed retries.
    pub fn budgets(&self, now: Nanos) -> impl Iterator<Item = (&str, (u64, u64, f64))> {
        let owned = self.functions.iter().filter(|s| s.owned);
        owned.filter_map(move |s| Some((s.name.as_str(), s.function.as_ref()?.budget.counts(now))))
    }

    /// Outstanding permits, in no particular order: holder, request id, function, instance.
    pub fn permits(&self) -> impl Iterator<Item = (&str, u64, &str, &str)> {
        let of = self.permits.iter();
        of.map(|((who, request_id), p)| {
            (who.as_str(), *request_id, self.functions[p.function].name.as_str(), p.instance.as_str())
        })
    }

    /// Whether the request is queued or has a permit.
    pub fn has_request(&self, who: &str, request_id: u64) -> bool {
        let key = (who.into(), request_id);
        self.permits.contains_key(&key) || self.queue_positions.contains_key(&key)
    }

    /// Whether the request has a permit.
    pub(crate) fn is_granted(&self, who: &str, request_id: u64) -> bool {
        self.permits.contains_key(&(who.into(), request_id))
    }

    /// Whether the request has a permit for this instance.
    pub fn is_granted_at(&self, who: &str, request_id: u64, instance: &str) -> bool {
        self.permits.get(&(who.into(), request_id)).is_some_and(|permit| permit.instance == instance)
    }

    /// Zone of an instance, if it is known.
    pub fn zone_of(&self, instance: &str) -> Option<&CompactString> {
        let index = *self.index_by_instance.get(instance)?;
        self.functions[index].instance(instance).map(|state| &state.info.zone)
    }

    fn push_refusal(&mut self, to: CompactString, request_id: u64, reason: DenialReason) {
        self.effects.push(Effect::Refuse { to, request_id, reason });
    }

    fn deny(
        &mut self,
        to: CompactString,
        request_id: u64,
        reason: DenialReason,
        why: impl FnOnce() -> RequestDecision,
    ) {
        self.reasons.push_request(&to, request_id, why);
        self.push_refusal(to, request_id, reason);
    }

    /// Requests a permit. Repeating a request that is queued or granted sends the same response again.
    pub fn request_permit(&mut self, now: Nanos, from: CompactString, request: PermitRequest, first: bool) {
        let key = (from, request.id);
        if self.permits.contains_key(&key) || self.queue_positions.contains_key(&key) {
            self.reasons.push_request(&key.0, key.1, || RequestDecision::Duplicate);
        }
        if let Some(permit) = self.permits.get(&key) {
            if let Some(state) = self.functions[permit.function].instance(&permit.instance) {
                let instance = state.info.clone();
                self.effects.push(Effect::Grant { to: key.0, request_id: request.id, instance });
            }
            return;
        }
        if self.queue_positions.contains_key(&key) {
            return self.effects.push(Effect::Queued { to: key.0, request_id: request.id });
        }
        let index = self.index_by_name.get(&request.service).copied();
        let Some((index, service)) = index.map(|index| (index, &mut self.functions[index])) else {
            return self.deny_unknown(now, key, &request.service);
        };
        let Some(function) = &mut service.function else {
            return self.deny_unknown(now, key, &request.service);
        };
        function.target = request.target;
        if let Some(minimum) = &mut function.min_instances {
            minimum.record_request(now);
        }
        if first {
            function.record_arrival(now, &request.zone);
        }
        let chosen = service.select_instance(now, &key.0, &request).cloned();
        if request.attempts_sent > 0 {
            // By design, a retry is sent with the probability of the instance that it would go to.
            let t1 = first_retry_delay(request.target);
            let chance = match &chosen {
                Some(id) => service.instance(id).map_or(1.0, |p| p.retry_probability(t1)),
                None => service.mean_chance(t1),
            };
            let drawn = self.rng.next_f64();
            if drawn >= chance {
                let why = || RequestDecision::RetrySuppressed { chance, drawn, instance: chosen };
                return self.deny(key.0, request.id, DenialReason::Skip, why);
            }
            if let Some(f) = &mut service.function
                && !f.budget.try_retry(now)
            {
                let (requests, repeats, most) = f.budget.counts(now);
                let why = || RequestDecision::BudgetSpent { requests, repeats, most };
                return self.deny(key.0, request.id, DenialReason::Spent, why);
            }
        }
        if let Some(id) = chosen {
            self.grant(now, index, key, &request, &id, false);
            return self.report_target(now, index);
        }
        // No instance is known here, and other proxies may already see this one as the owner: instance
        // information may still be on its way.
        let awaiting = service.live_instances() == 0 && (!service.owned || now < service.settling_until);
        let wait = if awaiting {
            INSTANCE_DISCOVERY_WAIT.min(service.expected_wait(now))
        } else {
            service.expected_wait(now)
        };
        let totals = service.totals();
        let Some(function) = &mut service.function else { return };
        let end = now + wait + function.demand.expected_hold_time() as Nanos;
        let unreachable = now + wait >= request.deadline;
        let late =
            !request.returned && request.attempts_sent == 0 && end > request.soft_deadline && !awaiting;
        let queued = function.queue.len();
        if queued >= MAX_QUEUE_LEN || unreachable || late {
            let why = || match () {
                () if unreachable => {
                    RequestDecision::DeadlineUnreachable { wait, left: request.deadline.saturating_sub(now) }
                }
                () if late => RequestDecision::WouldMissTarget {
                    wait,
                    takes: end - now - wait,
                    left: request.soft_deadline.saturating_sub(now),
                },
                () => RequestDecision::QueueFull { queued },
            };
            self.deny(key.0, request.id, DenialReason::Full(wait), why);
            self.functions[index].record_refusal(now);
        } else {
            self.sequence += 1;
            let position = (request.deadline, self.sequence);
            let why = || {
                let ahead = function.queue.range(..position).count();
                RequestDecision::Queued {
                    ahead,
                    wait,
                    open: totals.available,
                    coming: totals.starting,
                    awaiting_instances: awaiting,
                }
            };
            self.reasons.push_request(&key.0, key.1, why);
            self.effects.push(Effect::Queued { to: key.0.clone(), request_id: request.id });
            let awaiting = awaiting.then_some(now + INSTANCE_DISCOVERY_WAIT);
            function.queue.insert(
                position,
                Waiting { from: key.0.clone(), request, awaiting_instances_until: awaiting },
            );
            self.queue_positions.insert(key, (index, position));
            self.activate(index);
        }
        self.report_target(now, index);
    }

    fn grant(
        &mut self,
        now: Nanos,
        index: usize,
        key: Key,
        request: &PermitRequest,
        id: &CompactString,
        waited: bool,
    ) {
        let service = &mut self.functions[index];
        let most = service.function.as_ref().map_or(1, |f| f.spec.concurrency);
        let Some(state) = service.add_permit(id, key.clone()) else { return };
        self.sequence += 1;
        (state.last_grant, state.last_used) = (self.sequence, now);
        let (out, failed_there) = (state.permits.len(), request.avoid.contains(id));
        let why = || RequestDecision::Granted { instance: id.clone(), out, most, failed_there, waited };
        self.reasons.push_request(&key.0, key.1, why);
        self.effects.push(Effect::Grant {
            to: key.0.clone(),
            request_id: request.id,
            instance: state.info.clone(),
        });
        service.record_permits(now);
        let until = request.deadline.saturating_add(PERMIT_GRACE);
        self.record_permit(
            key,
            Permit {
                function: index,
                instance: id.clone(),
                expires_at: until,
                granted_at: now,
                abandoned: false,
            },
        );
    }

    fn record_permit(&mut self, key: Key, permit: Permit) {
        self.next_expiry = self.next_expiry.min(permit.expires_at);
        self.permits.insert(key, permit);
    }

    fn dequeue(&mut self, key: &Key) {
        if let Some((index, position)) = self.queue_positions.remove(key)
            && let Some(function) = &mut self.functions[index].function
        {
            function.queue.remove(&position);
        }
    }

    /// Removes a request whose client no longer waits.
    pub fn cancel(&mut self, now: Nanos, from: &str, request_id: u64) {
        self.dequeue(&(from.into(), request_id));
        self.release(now, from, request_id, Outcome::Unused, 0);
    }

    /// Removes a request that moves to another owner, together with its permit. The freed slot is not
    /// granted to a queued request here.
    pub fn forget(&mut self, now: Nanos, from: &str, request_id: u64) {
        let key = (from.into(), request_id);
        self.dequeue(&key);
        let Some(permit) = self.permits.remove(&key) else { return };
        let service = &mut self.functions[permit.function];
        service.remove_permit(&permit.instance, from, request_id);
        service.record_permits(now);
    }

    /// Releases a permit after an attempt.
    pub fn release(&mut self, now: Nanos, from: &str, request_id: u64, outcome: Outcome, took: Nanos) {
        let key = (from.into(), request_id);
        let Some(permit) = self.permits.get_mut(&key) else {
            return self.permit_returned(now, from, request_id, outcome);
        };
        let (index, service) = (permit.function, &mut self.functions[permit.function]);
        if outcome.may_still_run() && !permit.abandoned {
            if outcome == Outcome::TimedOut {
                let target = service.function.as_ref().map_or(200 * MS, |f| f.target);
                service.update_instance(&permit.instance, |p| {
                    p.attempt_ended(now, outcome, took, first_retry_delay(target))
                });
            }
            // Not every endpoint stops a request after its client has left. The slot is reused only after
            // the usual hold time.
            let hold_time = service.function.as_ref().map_or(0.0, |f| f.demand.expected_hold_time()) as Nanos;
            (permit.expires_at, permit.abandoned) = (now + hold_time, true);
            self.next_expiry = self.next_expiry.min(permit.expires_at);
            return;
        }
        let Some(permit) = self.permits.remove(&key) else { return };
        if !service.awaited_owners.is_empty() {
            // A previous owner may still report this permit.
            self.returned_permits.insert(now, key);
        }
        let target = service.function.as_ref().map_or(200 * MS, |f| f.target);
        let (mut lost, settling) = (false, now < service.settling_until + SETTLING_TIME);
        let uncertain = service.instance(&permit.instance).is_some_and(|p| service.is_uncertain(now, p));
        if uncertain && matches!(outcome, Outcome::Answered | Outcome::Full) {
            service.probe_ended(now, outcome == Outcome::Full);
        }
        if let Some(state) = service.remove_permit(&permit.instance, from, request_id) {
            state.attempt_ended(now, outcome, took, first_retry_delay(target));
            state.last_used = now;
            state.verified =
                uncertain && (outcome == Outcome::Answered || state.verified && outcome != Outcome::Full);
            if outcome == Outcome::Full && (uncertain || settling && state.inherited) {
                state.yielded_until = now + YIELD_TIME;
            }
            lost = outcome == Outcome::Unreachable && state.info.stage == Stage::Ready && state.is_failing();
        }
        if outcome == Outcome::Full {
            service.record_refusal(now);
            let out = service.instance(&permit.instance).map_or(0, |state| state.permits.len());
            self.counts.refused_as_full += 1;
            self.counts.last_full = Some((permit.instance.clone(), out));
        }
        if let Some(function) = &mut service.function
            && matches!(outcome, Outcome::Answered | Outcome::Failed)
        {
            function.demand.record_hold_time(now.saturating_sub(permit.granted_at));
        }
        service.record_permits(now);
        if outcome == Outcome::Answered {
            self.record_latency(now, index, &permit.instance, took);
        }
        if lost {
            self.mark_lost(now, &permit.instance, true);
        }
        self.serve_queue(now, index);
        self.retire_surplus(now, index);
    }

    /// Marks an instance as dead. `failing`: detected by consecutive failed attempts rather than by a
    /// refused connection.
    pub fn mark_lost(&mut self, now: Nanos, id: &str, failing: bool) {
        let Some(index) = self.index_by_instance.get(id).copied() else { return };
        if self.functions[index].instance(id).is_none_or(|p| p.retired) {
            return;
        }
        self.functions[index]
            .update_instance(id, |state| (state.retired, state.lost, state.reported_at) = (true, true, now));
        self.reasons.push(|| Reason::DeadInstance { instance: id.into(), failing });
        self.effects.push(Effect::ReportLost(id.into()));
        self.report_target(now, index);
    }

    /// Releases all permits and queued requests of a proxy that is gone.
    pub fn proxy_left(&mut self, now: Nanos, from: &str) {
        self.functions.iter_mut().for_each(|service| service.stop_awaiting(now, from, true));
        let mut permits: Vec<_> = self.permits.keys().filter(|k| k.0 == from).map(|k| k.1).collect();
        let mut queued: Vec<_> = self.queue_positions.keys().filter(|k| k.0 == from).map(|k| k.1).collect();
        permits.sort_unstable();
        queued.sort_unstable();
        self.counts.freed += permits.len() as u64;
        for request_id in permits.into_iter().chain(queued) {
            self.cancel(now, from, request_id);
        }
    }

    /// Grants free slots to queued requests.
    fn serve_queue(&mut self, now: Nanos, index: usize) {
        loop {
            let service = &mut self.functions[index];
            let first = service.function.as_ref().and_then(|f| f.queue.first_key_value());
            let Some((_, waiting)) = first else { return };
            let late = waiting.request.deadline <= now;
            let chosen = if late {
                None
            } else {
                service.select_instance(now, &waiting.from, &waiting.request).cloned()
            };
            if !late && chosen.is_none() {
                return;
            }
            let first = service.function.as_mut().and_then(|f| f.queue.pop_first());
            let Some((_, Waiting { from, request, .. })) = first else { return };
            let key = (from, request.id);
            self.queue_positions.remove(&key);
            match chosen {
                Some(id) => self.grant(now, index, key, &request, &id, true),
                None => {
                    self.functions[index].record_refusal(now);
                    self.deny(key.0, request.id, DenialReason::Full(0), || RequestDecision::DeadlinePassed);
                }
            }
        }
    }

    /// Applies the admission checks to requests that waited for instance information which did not arrive
    /// in time.
    fn reassess_waiting(&mut self, now: Nanos, index: usize) {
        let service = &self.functions[index];
        let Some(function) = &service.function else { return };
        let (wait, hold_time) = (service.expected_wait(now), function.demand.expected_hold_time() as Nanos);
        let expired = |w: &Waiting| w.awaiting_instances_until.is_some_and(|until| until <= now);
        let due: Vec<_> =
            function.queue.iter().filter(|(_, w)| expired(w)).map(|(position, _)| *position).collect();
        for position in due {
            let Some(function) = &mut self.functions[index].function else { return };
            let Some(waiting) = function.queue.get_mut(&position) else { continue };
            waiting.awaiting_instances_until = None;
            let request = &waiting.request;
            let unreachable = now + wait >= request.deadline;
            if unreachable
                || !request.returned
                    && request.attempts_sent == 0
                    && now + wait + hold_time > request.soft_deadline
            {
                let (from, id) = (waiting.from.clone(), request.id);
                let (left, target_left) =
                    (request.deadline.saturating_sub(now), request.soft_deadline.saturating_sub(now));
                function.queue.remove(&position);
                self.queue_positions.remove(&(from.clone(), id));
                let late = RequestDecision::WouldMissTarget { wait, takes: hold_time, left: target_left };
                let why =
                    || if unreachable { RequestDecision::DeadlineUnreachable { wait, left } } else { late };
                self.deny(from, id, DenialReason::Full(wait), why);
                self.functions[index].record_refusal(now);
            }
        }
    }

    /// Expires permits whose request must have ended by now.
    fn expire_permits(&mut self, now: Nanos) {
        if now < self.next_expiry {
            return;
        }
        let mut expired: Vec<_> =
            self.permits.iter().filter(|(_, p)| p.expires_at <= now).map(|(k, _)| k.clone()).collect();
        expired.sort_unstable();
        for (from, request_id) in expired {
            if let Some(permit) = self.permits.get_mut(&(from.clone(), request_id)) {
                permit.abandoned = true;
            }
            self.release(now, &from, request_id, Outcome::Abandoned, 0);
        }
        self.next_expiry = self.permits.values().map(|p| p.expires_at).min().unwrap_or(Nanos::MAX);
    }

    /// Processes time: deadlines, instance targets and retirement.
    pub fn tick(&mut self, now: Nanos) {
        self.expire_permits(now);
        self.returned_permits.sweep(now);
        self.update_latency_ranks(now);
        // Functions activated meanwhile are processed on the next tick.
        for index in self.active.clone() {
            let needs_update = self.functions[index].needs_update();
            self.serve_queue(now, index);
            self.reassess_waiting(now, index);
            if needs_update {
                self.report_target(now, index);
                self.retire_surplus(now, index);
                self.resend_reports(now, index);
            }
        }
        let functions = &mut self.functions;
        self.active.retain(|index| {
            functions[*index].active = functions[*index].stays_active();
            functions[*index].active
        });
    }

    /// Latest time of the next tick; `None` if nothing depends on time.
    pub fn next_wake(&self, now: Nanos) -> Option<Nanos> {
        let intervals = self
            .active
            .iter()
            .map(|index| if self.functions[*index].is_busy() { BUSY_TICK } else { IDLE_TICK });
        let due = intervals.min().map(|pause| now + pause);
        due.into_iter().chain((self.next_expiry < Nanos::MAX).then_some(self.next_expiry)).min()
    }
}
