//! The functions that are owned here: their queues, their instances, and the permits that are out.
//!
//! What happens when owners change is in `succession`.
//!
//! Invariants: an instance has no more permits out than it may hold requests at once; a permit is out once; a queue is bounded.

mod dropped;
mod floor;
mod hardware;
mod known;
mod needs;
mod returned;
mod succession;

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
use crate::service::{Function, Service, Waiting};
use crate::{FunctionSpec, MS, Nanos, Outcome, PermitRequest, SECOND, first_retry_delay};

use dropped::Dropped;
pub(crate) use floor::Floor;
use returned::Returned;
pub(crate) use succession::SETTLES;
pub use succession::{Released, Transfer};

/// Requests of one function that may wait; more are turned away.
const LONGEST_QUEUE: usize = 1_000;
/// What is wanted is said again after this time, should it have been lost;
const SAY_AGAIN: Nanos = 2_000 * MS;
/// ... so is that an instance may be stopped or is dead, for as long as control names it.
const RETIRE_AGAIN: Nanos = 700 * MS;
/// Where nothing is known of the demand yet, an instance of each function that holds several requests at once stands by for so
/// long: such a function is meant to be busy.
const STAND_BY: Nanos = 20 * SECOND;
/// A permit outlives the deadline of its request by no more than this.
const OVERDUE: Nanos = 500 * MS;
/// Where an instance that somebody else gives out too says that it is full, nothing goes there from here for so long.
const LEFT_TO_OTHERS: Nanos = 2_000 * MS;
/// An ask for a function of which no instance is known yet waits for so long, since word of them may be on its way.
const UNHEARD: Nanos = 250 * MS;
/// What a function takes of its owner's strength is said again where it has changed by so much.
const STRAIN_STEP: f64 = 0.1;
/// How often time is to pass while something waits or is out,
const BUSY: Nanos = 25 * MS;
/// ... and while there are instances.
const CALM: Nanos = 50 * MS;

/// Who asked, and its number for the request.
type Key = (CompactString, u64);

#[derive(Debug)]
struct Permit {
    service: usize,
    instance: CompactString,
    until: Nanos,
    since: Nanos,
    /// Its request was given up, and may be running still.
    lingers: bool,
}

/// The functions that are owned here. What it decides comes out of [`Scheduler::take_effects`].
///
/// Each function has a place in a row for as long as anything is known of it; a permit is out as long as its instance is known.
/// Nothing that is decided hangs on the order of a `HashMap`.
#[derive(Debug)]
pub struct Scheduler {
    terms: SchedulerLimits,
    services: Vec<Service>,
    /// Of each in the row, where it is not owned here, the seed of a stall that stands before this one; 0 where none is known.
    rivals: Vec<u64>,
    /// Places in that row that are free.
    vacant: Vec<usize>,
    /// Where each function stands there.
    names: HashMap<CompactString, usize>,
    /// The function of each instance.
    homes: HashMap<CompactString, usize>,
    permits: HashMap<Key, Permit>,
    /// Permits that were told of before their instance was: by instance, until when each counts.
    early: HashMap<CompactString, Vec<(Key, Nanos, Nanos)>>,
    /// Permits that came back before they were told of.
    returned: Returned,
    /// No permit is overdue before.
    overdue: Nanos,
    /// Where each ask stands in its function's queue.
    queued: HashMap<Key, (usize, (Nanos, u64))>,
    dropped: Dropped,
    /// What is looked at with each tick, in the order of the names.
    awake: Vec<usize>,
    /// How fast workers are, by what answers took.
    speeds: Option<LatencyModel>,
    count: u64,
    dice: RandomSource,
    effects: Vec<Effect>,
    reasons: Reasons,
    pub(crate) counts: Counts,
}

impl Scheduler {
    /// Nothing is known yet.
    pub fn new(terms: SchedulerLimits, seed: u64) -> Self {
        let speeds = terms.rank_by_latency.then(LatencyModel::new);
        Scheduler {
            terms,
            services: Vec::new(),
            rivals: Vec::new(),
            vacant: Vec::new(),
            names: HashMap::new(),
            homes: HashMap::new(),
            permits: HashMap::new(),
            early: HashMap::new(),
            returned: Returned::default(),
            overdue: Nanos::MAX,
            queued: HashMap::new(),
            dropped: Dropped::default(),
            awake: Vec::new(),
            speeds,
            count: 0,
            dice: RandomSource::seeded(seed),
            effects: Vec::new(),
            reasons: Reasons::default(),
            counts: Counts::default(),
        }
    }

    /// What was done with permits since the start.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What was decided since.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// From now on it is told why something is decided.
    pub fn explain(&mut self) {
        self.reasons.begin();
    }

    /// Why it was decided so, since.
    pub fn reasons(&mut self) -> Vec<Reason> {
        self.reasons.take()
    }

    /// The place of a function in the row, made where there is none.
    fn enter(&mut self, name: &CompactString) -> usize {
        if let Some(at) = self.names.get(name) {
            return *at;
        }
        let service = Service::new(name.clone());
        let at = match self.vacant.pop() {
            Some(at) => {
                (self.services[at], self.rivals[at]) = (service, 0);
                at
            }
            None => {
                self.services.push(service);
                self.rivals.push(0);
                self.services.len() - 1
            }
        };
        self.names.insert(name.clone(), at);
        at
    }

    /// Frees the place of a function of which nothing is known any more.
    fn vacate(&mut self, at: usize) {
        let service = &mut self.services[at];
        if !service.is_empty() {
            return;
        }
        self.names.remove(&service.name);
        *service = Service::default();
        self.rivals[at] = 0;
        self.awake.retain(|n| *n != at);
        self.vacant.push(at);
    }

    /// It is looked at with the next tick.
    fn rouse(&mut self, at: usize) {
        if !std::mem::replace(&mut self.services[at].awake, true) {
            let name = &self.services[at].name;
            let place = self.awake.partition_point(|n| self.services[*n].name < *name);
            self.awake.insert(place, at);
        }
    }

    /// Those of the row that hold, in the order of their names.
    fn sorted(&self, which: impl Fn(&Service) -> bool) -> Vec<usize> {
        self.in_order((0..self.services.len()).filter(|at| which(&self.services[*at])).collect())
    }

    fn in_order(&self, mut all: Vec<usize>) -> Vec<usize> {
        all.sort_unstable_by(|a, b| self.services[*a].name.cmp(&self.services[*b].name));
        all
    }

    /// The functions of the configuration in force.
    pub fn configure(&mut self, now: Nanos, specs: impl Iterator<Item = FunctionSpec>) {
        let mut gone: BTreeSet<usize> = self.sorted(|s| s.function.is_some()).into_iter().collect();
        let begins = gone.is_empty();
        for spec in specs {
            let at = self.enter(&spec.name);
            gone.remove(&at);
            self.dropped.is_back(&spec.name);
            if let Some(function) = &mut self.services[at].function {
                function.spec = spec;
                continue;
            }
            let budget = Budget::new(self.terms.retry_window, self.terms.retry_ratio, self.terms.retry_slack);
            let mut demand = Demand::new(now);
            if begins && spec.concurrency > 1 {
                demand.stand_by(now + STAND_BY);
            }
            self.services[at].function = Some(Function::new(spec, budget, demand));
            self.rouse(at);
        }
        for at in self.sorted(|s| s.function.is_some()).into_iter().filter(|at| gone.contains(at)) {
            self.drop_function(now, at);
        }
    }

    /// Instances that others have started for a function that is owned here stay until its demand is known.
    fn found(&mut self, now: Nanos, at: usize) {
        let service = &mut self.services[at];
        let live = service.live() as u32;
        if let Some(function) = &mut service.function {
            function.demand.found(now, live);
        }
    }

    fn scout(&mut self, now: Nanos, at: usize, id: &str) {
        let service = &self.services[at];
        let Some(place) = service.place(id).filter(|p| p.of.stage == Stage::Booting) else { return };
        let Some(function) = &service.function else { return };
        if service.owned && place.mine {
            let from = (place.since + function.spec.startup_time * 2 / 5).max(now);
            self.effects.push(Effect::ProbeReadiness { instance: place.of.clone(), from });
        }
    }

    /// Another steward has taken office, who has heard of nothing: all that is wanted is said again.
    pub fn resend_targets(&mut self) {
        for at in 0..self.services.len() {
            if let Some(function) = &mut self.services[at].function {
                function.said = None;
            }
            self.rouse(at);
        }
    }

    /// It is known, and was not seen to accept connections yet.
    pub fn is_booting(&self, id: &str) -> bool {
        self.homes.get(id).is_some_and(|at| self.services[*at].boots(id))
    }

    /// The instances of the functions that are owned here, but for those that were let go or are dead.
    pub fn owned_instances(&self) -> impl Iterator<Item = &Instance> {
        let owned = self.services.iter().filter(|s| s.owned);
        owned.flat_map(|s| s.places()).filter(|p| p.mine && p.live()).map(|p| &p.of)
    }

    /// The instances that are known, in no order.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.services.iter().flat_map(|s| s.places()).map(|p| &p.of)
    }

    /// It is known.
    pub fn knows(&self, id: &str) -> bool {
        self.homes.contains_key(id)
    }

    /// How many requests wait for each function, in no order.
    pub fn queues(&self) -> impl Iterator<Item = (&str, usize)> {
        self.services.iter().filter_map(|s| Some((s.name.as_str(), s.function.as_ref()?.queue.len())))
    }

    /// The budget of each function that is owned here, in no order: requests and repeats in the window, and how many repeats may be.
    pub fn budgets(&self, now: Nanos) -> impl Iterator<Item = (&str, (u64, u64, f64))> {
        let owned = self.services.iter().filter(|s| s.owned);
        owned.filter_map(move |s| Some((s.name.as_str(), s.function.as_ref()?.budget.counts(now))))
    }

    /// The permits that are out, in no order: who has each, the asker's number, the function, the instance.
    pub fn permits(&self) -> impl Iterator<Item = (&str, u64, &str, &str)> {
        let of = self.permits.iter();
        of.map(|((who, ask), p)| {
            (who.as_str(), *ask, self.services[p.service].name.as_str(), p.instance.as_str())
        })
    }

    /// Somebody waits for a permit here, or has one.
    pub fn has_request(&self, who: &str, ask: u64) -> bool {
        let key = (who.into(), ask);
        self.permits.contains_key(&key) || self.queued.contains_key(&key)
    }

    /// Somebody has a permit here.
    pub(crate) fn is_out(&self, who: &str, ask: u64) -> bool {
        self.permits.contains_key(&(who.into(), ask))
    }

    /// Somebody has a permit for this instance.
    pub fn is_out_at(&self, who: &str, ask: u64, instance: &str) -> bool {
        self.permits.get(&(who.into(), ask)).is_some_and(|permit| permit.instance == instance)
    }

    /// The zone of an instance, where it is known.
    pub fn zone_of(&self, instance: &str) -> Option<&CompactString> {
        let at = *self.homes.get(instance)?;
        self.services[at].place(instance).map(|place| &place.of.zone)
    }

    fn refuse(&mut self, to: CompactString, ask: u64, no: DenialReason) {
        self.effects.push(Effect::Refuse { to, ask, reason: no });
    }

    fn turn_down(
        &mut self,
        to: CompactString,
        ask: u64,
        no: DenialReason,
        why: impl FnOnce() -> RequestDecision,
    ) {
        self.reasons.ask(&to, ask, why);
        self.refuse(to, ask, no);
    }

    /// A permit is asked for. The same ask again is no other one.
    pub fn request_permit(&mut self, now: Nanos, from: CompactString, ask: PermitRequest, first: bool) {
        let key = (from, ask.id);
        if self.permits.contains_key(&key) || self.queued.contains_key(&key) {
            self.reasons.ask(&key.0, key.1, || RequestDecision::Duplicate);
        }
        if let Some(permit) = self.permits.get(&key) {
            if let Some(place) = self.services[permit.service].place(&permit.instance) {
                let instance = place.of.clone();
                self.effects.push(Effect::Grant { to: key.0, ask: ask.id, instance });
            }
            return;
        }
        if self.queued.contains_key(&key) {
            return self.effects.push(Effect::Queued { to: key.0, ask: ask.id });
        }
        let at = self.names.get(&ask.service).copied();
        let Some((at, service)) = at.map(|at| (at, &mut self.services[at])) else {
            return self.unknown(now, key, &ask.service);
        };
        let Some(function) = &mut service.function else {
            return self.unknown(now, key, &ask.service);
        };
        function.target = ask.target;
        if let Some(floor) = &mut function.floor {
            floor.asked(now);
        }
        if first {
            function.came(now, &ask.zone);
        }
        let chosen = service.choose(now, &key.0, &ask).cloned();
        if ask.attempts_sent > 0 {
            // The design: a further try goes with the probability of the instance that it would go to.
            let t1 = first_retry_delay(ask.target);
            let chance = match &chosen {
                Some(id) => service.place(id).map_or(1.0, |p| p.chance(t1)),
                None => service.mean_chance(t1),
            };
            let drawn = self.dice.next_f64();
            if drawn >= chance {
                let why = || RequestDecision::RetrySuppressed { chance, drawn, instance: chosen };
                return self.turn_down(key.0, ask.id, DenialReason::Skip, why);
            }
            if let Some(f) = &mut service.function
                && !f.budget.repeat(now)
            {
                let (requests, repeats, most) = f.budget.counts(now);
                let why = || RequestDecision::BudgetSpent { requests, repeats, most };
                return self.turn_down(key.0, ask.id, DenialReason::Spent, why);
            }
        }
        if let Some(id) = chosen {
            self.grant(now, at, key, &ask, &id, false);
            return self.want(now, at);
        }
        // Nothing is known of it here, and its owner by another's word may be this stall: word of its instances is on its way.
        let unheard = service.live() == 0 && (!service.owned || now < service.settling);
        let wait = if unheard { UNHEARD.min(service.wait(now)) } else { service.wait(now) };
        let stock = service.stock();
        let Some(function) = &mut service.function else { return };
        let end = now + wait + function.demand.usual() as Nanos;
        let hopeless = now + wait >= ask.deadline;
        let late = !ask.returned && ask.attempts_sent == 0 && end > ask.soft_deadline && !unheard;
        let queued = function.queue.len();
        if queued >= LONGEST_QUEUE || hopeless || late {
            let why = || match () {
                () if hopeless => {
                    RequestDecision::DeadlineUnreachable { wait, left: ask.deadline.saturating_sub(now) }
                }
                () if late => RequestDecision::WouldMissTarget {
                    wait,
                    takes: end - now - wait,
                    left: ask.soft_deadline.saturating_sub(now),
                },
                () => RequestDecision::QueueFull { queued },
            };
            self.turn_down(key.0, ask.id, DenialReason::Full(wait), why);
            self.services[at].refuses(now);
        } else {
            self.count += 1;
            let place = (ask.deadline, self.count);
            let why = || {
                let ahead = function.queue.range(..place).count();
                RequestDecision::Queued {
                    ahead,
                    wait,
                    open: stock.open,
                    coming: stock.coming,
                    awaiting_instances: unheard,
                }
            };
            self.reasons.ask(&key.0, key.1, why);
            self.effects.push(Effect::Queued { to: key.0.clone(), ask: ask.id });
            let unheard = unheard.then_some(now + UNHEARD);
            function.queue.insert(place, Waiting { from: key.0.clone(), ask, unheard });
            self.queued.insert(key, (at, place));
            self.rouse(at);
        }
        self.want(now, at);
    }

    fn grant(
        &mut self,
        now: Nanos,
        at: usize,
        key: Key,
        ask: &PermitRequest,
        id: &CompactString,
        waited: bool,
    ) {
        let service = &mut self.services[at];
        let most = service.function.as_ref().map_or(1, |f| f.spec.concurrency);
        let Some(place) = service.give(id, key.clone()) else { return };
        self.count += 1;
        (place.turn, place.used) = (self.count, now);
        let (out, failed_there) = (place.out.len(), ask.avoid.contains(id));
        let why = || RequestDecision::Granted { instance: id.clone(), out, most, failed_there, waited };
        self.reasons.ask(&key.0, key.1, why);
        self.effects.push(Effect::Grant { to: key.0.clone(), ask: ask.id, instance: place.of.clone() });
        service.hold(now);
        let until = ask.deadline.saturating_add(OVERDUE);
        self.permit(key, Permit { service: at, instance: id.clone(), until, since: now, lingers: false });
    }

    fn permit(&mut self, key: Key, permit: Permit) {
        self.overdue = self.overdue.min(permit.until);
        self.permits.insert(key, permit);
    }

    fn unqueue(&mut self, key: &Key) {
        if let Some((at, place)) = self.queued.remove(key)
            && let Some(function) = &mut self.services[at].function
        {
            function.queue.remove(&place);
        }
    }

    /// The asker no longer waits.
    pub fn cancel(&mut self, now: Nanos, from: &str, ask: u64) {
        self.unqueue(&(from.into(), ask));
        self.release(now, from, ask, Outcome::Unused, 0);
    }

    /// The ask goes to another owner, with its permit if it has one: here it is over, and nobody gets its slot on that account.
    pub fn forget(&mut self, now: Nanos, from: &str, ask: u64) {
        let key = (from.into(), ask);
        self.unqueue(&key);
        let Some(permit) = self.permits.remove(&key) else { return };
        let service = &mut self.services[permit.service];
        service.take_back(&permit.instance, from, ask);
        service.hold(now);
    }

    /// A permit comes back.
    pub fn release(&mut self, now: Nanos, from: &str, ask: u64, outcome: Outcome, took: Nanos) {
        let key = (from.into(), ask);
        let Some(permit) = self.permits.get_mut(&key) else {
            return self.came_back(now, from, ask, outcome);
        };
        let (at, service) = (permit.service, &mut self.services[permit.service]);
        if outcome.may_still_run() && !permit.lingers {
            if outcome == Outcome::TimedOut {
                let target = service.function.as_ref().map_or(200 * MS, |f| f.target);
                service
                    .change_one(&permit.instance, |p| p.over(now, outcome, took, first_retry_delay(target)));
            }
            // Not every endpoint drops what nobody waits for any more: its slot is given again when it is done by its usual time.
            let usual = service.function.as_ref().map_or(0.0, |f| f.demand.usual()) as Nanos;
            (permit.until, permit.lingers) = (now + usual, true);
            self.overdue = self.overdue.min(permit.until);
            return;
        }
        let Some(permit) = self.permits.remove(&key) else { return };
        if !service.expects.is_empty() {
            // An owner of before may tell of it once more.
            self.returned.put(now, key);
        }
        let target = service.function.as_ref().map_or(200 * MS, |f| f.target);
        let (mut lost, settles) = (false, now < service.settling + SETTLES);
        let unsure = service.place(&permit.instance).is_some_and(|p| service.unsure(now, p));
        if unsure && matches!(outcome, Outcome::Answered | Outcome::Full) {
            service.tried(now, outcome == Outcome::Full);
        }
        if let Some(place) = service.take_back(&permit.instance, from, ask) {
            place.over(now, outcome, took, first_retry_delay(target));
            place.used = now;
            place.proven =
                unsure && (outcome == Outcome::Answered || place.proven && outcome != Outcome::Full);
            if outcome == Outcome::Full && (unsure || settles && place.found) {
                place.yielded = now + LEFT_TO_OTHERS;
            }
            lost = outcome == Outcome::Unreachable && place.of.stage == Stage::Ready && place.failing();
        }
        if outcome == Outcome::Full {
            service.refuses(now);
            let out = service.place(&permit.instance).map_or(0, |place| place.out.len());
            self.counts.refused_as_full += 1;
            self.counts.last_full = Some((permit.instance.clone(), out));
        }
        if let Some(function) = &mut service.function
            && matches!(outcome, Outcome::Answered | Outcome::Failed)
        {
            function.demand.held_for(now.saturating_sub(permit.since));
        }
        service.hold(now);
        if outcome == Outcome::Answered {
            self.timed(now, at, &permit.instance, took);
        }
        if lost {
            self.mark_lost(now, &permit.instance, true);
        }
        self.serve(now, at);
        self.retire(now, at);
    }

    /// An instance was seen to be dead; `failing`: by tries that failed one after the other.
    pub fn mark_lost(&mut self, now: Nanos, id: &str, failing: bool) {
        let Some(at) = self.homes.get(id).copied() else { return };
        if self.services[at].place(id).is_none_or(|p| p.retired) {
            return;
        }
        self.services[at].change_one(id, |place| (place.retired, place.lost, place.told) = (true, true, now));
        self.reasons.put(|| Reason::DeadInstance { instance: id.into(), failing });
        self.effects.push(Effect::ReportLost(id.into()));
        self.want(now, at);
    }

    /// A stall is gone: what it had out is free, what it waited for is nobody's.
    pub fn proxy_left(&mut self, now: Nanos, from: &str) {
        self.services.iter_mut().for_each(|service| service.expect_no_more(now, from, true));
        let mut permits: Vec<_> = self.permits.keys().filter(|k| k.0 == from).map(|k| k.1).collect();
        let mut queued: Vec<_> = self.queued.keys().filter(|k| k.0 == from).map(|k| k.1).collect();
        permits.sort_unstable();
        queued.sort_unstable();
        self.counts.freed += permits.len() as u64;
        for ask in permits.into_iter().chain(queued) {
            self.cancel(now, from, ask);
        }
    }

    /// Gives free slots to those that wait.
    fn serve(&mut self, now: Nanos, at: usize) {
        loop {
            let service = &mut self.services[at];
            let first = service.function.as_ref().and_then(|f| f.queue.first_key_value());
            let Some((_, waiting)) = first else { return };
            let late = waiting.ask.deadline <= now;
            let chosen = if late { None } else { service.choose(now, &waiting.from, &waiting.ask).cloned() };
            if !late && chosen.is_none() {
                return;
            }
            let first = service.function.as_mut().and_then(|f| f.queue.pop_first());
            let Some((_, Waiting { from, ask, .. })) = first else { return };
            let key = (from, ask.id);
            self.queued.remove(&key);
            match chosen {
                Some(id) => self.grant(now, at, key, &ask, &id, true),
                None => {
                    self.services[at].refuses(now);
                    self.turn_down(key.0, ask.id, DenialReason::Full(0), || RequestDecision::DeadlinePassed);
                }
            }
        }
    }

    /// What has waited for word of instances, and was told of none, is judged as it would have been.
    fn judge(&mut self, now: Nanos, at: usize) {
        let service = &self.services[at];
        let Some(function) = &service.function else { return };
        let (wait, usual) = (service.wait(now), function.demand.usual() as Nanos);
        let over = |w: &Waiting| w.unheard.is_some_and(|until| until <= now);
        let due: Vec<_> = function.queue.iter().filter(|(_, w)| over(w)).map(|(place, _)| *place).collect();
        for place in due {
            let Some(function) = &mut self.services[at].function else { return };
            let Some(waiting) = function.queue.get_mut(&place) else { continue };
            waiting.unheard = None;
            let ask = &waiting.ask;
            let hopeless = now + wait >= ask.deadline;
            if hopeless || !ask.returned && ask.attempts_sent == 0 && now + wait + usual > ask.soft_deadline {
                let (from, id) = (waiting.from.clone(), ask.id);
                let (left, aim) = (ask.deadline.saturating_sub(now), ask.soft_deadline.saturating_sub(now));
                function.queue.remove(&place);
                self.queued.remove(&(from.clone(), id));
                let late = RequestDecision::WouldMissTarget { wait, takes: usual, left: aim };
                let why =
                    || if hopeless { RequestDecision::DeadlineUnreachable { wait, left } } else { late };
                self.turn_down(from, id, DenialReason::Full(wait), why);
                self.services[at].refuses(now);
            }
        }
    }

    /// Permits whose request must be over by now.
    fn end_overdue(&mut self, now: Nanos) {
        if now < self.overdue {
            return;
        }
        let mut overdue: Vec<_> =
            self.permits.iter().filter(|(_, p)| p.until <= now).map(|(k, _)| k.clone()).collect();
        overdue.sort_unstable();
        for (from, ask) in overdue {
            if let Some(permit) = self.permits.get_mut(&(from.clone(), ask)) {
                permit.lingers = true;
            }
            self.release(now, &from, ask, Outcome::Abandoned, 0);
        }
        self.overdue = self.permits.values().map(|p| p.until).min().unwrap_or(Nanos::MAX);
    }

    /// Time passes: deadlines, what is needed, what is not.
    pub fn tick(&mut self, now: Nanos) {
        self.end_overdue(now);
        self.returned.sweep(now);
        self.weigh(now);
        // One that is roused meanwhile is looked at the next time.
        for at in self.awake.clone() {
            let looked_at = self.services[at].is_due();
            self.serve(now, at);
            self.judge(now, at);
            if looked_at {
                self.want(now, at);
                self.retire(now, at);
                self.tell_again(now, at);
            }
        }
        let services = &mut self.services;
        self.awake.retain(|at| {
            services[*at].awake = services[*at].stays_awake();
            services[*at].awake
        });
    }

    /// When time is to pass next, at the latest; none where nothing hangs on it.
    pub fn next_wake(&self, now: Nanos) -> Option<Nanos> {
        let awake = self.awake.iter().map(|at| if self.services[*at].is_busy() { BUSY } else { CALM });
        let due = awake.min().map(|pause| now + pause);
        due.into_iter().chain((self.overdue < Nanos::MAX).then_some(self.overdue)).min()
    }
}
