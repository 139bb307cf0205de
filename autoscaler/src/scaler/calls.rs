//! Calls to the platform: which ones are made, and how their answers are handled.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};

use super::{ALL_ZONES, Effect, Pending, Scaler, Service, StartClass, StopClass, Target};
use crate::instance::{Phase, Stop, TrackedInstance};
use crate::platform::{StartFault, StopFault};
use crate::workers::WorkerStatus;
use crate::{MS, Nanos};

/// A stop that has waited for this long takes precedence over starts of services that have an instance.
const OVERDUE: Nanos = 1_000 * MS;
/// The pause before the next try when no worker has room.
const NO_ROOM_PAUSE: Nanos = 250 * MS;
/// The first pause of a service after a refused start; it doubles with each refusal, up to sixteen times
/// this.
const REFUSED_PAUSE: Nanos = 1_000 * MS;
/// The longest nonce, in bytes.
const NONCE_MAX: usize = 64;

impl Scaler {
    /// Handles the answer to a start. An instance that is known already is not added again.
    pub fn start_answered(
        &mut self,
        now: Nanos,
        nonce: &str,
        answer: Result<(CompactString, SocketAddr), StartFault>,
    ) {
        let Some(number) = self.pending.iter().find(|(_, p)| p.nonce == nonce).map(|(number, _)| *number)
        else {
            return;
        };
        let Some(start) = self.pending.get_mut(&number) else { return };
        let service_name = start.service.clone();
        self.understaffed.insert(service_name.clone());
        let fault = match answer {
            Ok((id, address)) => {
                let worker = start.worker.clone();
                self.remove_pending(number, false);
                if !self.instances.contains_key(&id) {
                    self.add_started(now, id, service_name, address, worker);
                }
                return;
            }
            Err(fault) => fault,
        };
        start.sent = None;
        start.failed += 1;
        start.due = now + self.config.retry_pause(start.failed);
        let worker = start.worker.clone();
        match fault {
            StartFault::Unclear => {}
            StartFault::Busy => self.rate_limiter.clear(now),
            StartFault::NoRoom => {
                self.remove_pending(number, true);
                if let Some(service) = self.services.get(&service_name) {
                    self.workers.mark_full(&worker, now, service.spec.memory_mb);
                }
            }
            StartFault::Refused => {
                self.remove_pending(number, true);
                if let Some(service) = self.services.get_mut(&service_name) {
                    service.paused_until = now + (REFUSED_PAUSE << service.refusals.min(4));
                    service.refusals += 1;
                }
            }
        }
    }

    /// Handles the answer to a stop.
    pub fn stop_answered(&mut self, now: Nanos, id: &str, answer: Result<(), StopFault>) {
        let Some(tracked) = self.instances.get_mut(id) else { return };
        let Some(stop) = tracked.stop.as_mut().filter(|stop| stop.sent.is_some()) else { return };
        stop.sent = None;
        if matches!(answer, Ok(()) | Err(StopFault::Unknown | StopFault::Refused)) {
            stop.answered = Some(now);
            return;
        }
        stop.failed += 1;
        stop.due = now + self.config.retry_pause(stop.failed);
        self.stops.insert((stop.due, id.into()));
        if answer == Err(StopFault::Busy) {
            self.rate_limiter.clear(now);
        }
    }

    /// Schedules a stop at `due`, in place of an earlier schedule.
    pub(super) fn schedule_stop(&mut self, id: &str, due: Nanos) {
        let Some(tracked) = self.instances.get_mut(id) else { return };
        if let Some(stop) = tracked.stop {
            self.stops.remove(&(stop.due, tracked.instance.id.clone()));
        }
        tracked.stop = Some(Stop { due, ..Stop::default() });
        self.stops.insert((due, tracked.instance.id.clone()));
    }

    /// Forgets a pending start. With `release`, its memory on the worker counts as free again at once.
    pub(super) fn remove_pending(&mut self, number: u64, release: bool) {
        let Some(start) = self.pending.remove(&number) else { return };
        if release {
            self.workers.release(&start.worker, number);
        }
        if let Some(service) = self.services.get_mut(&start.service) {
            service.pending.remove(&number);
        }
    }

    /// Drops starts that wait to be called again. If one of them succeeded after all, the list will show it.
    pub(super) fn drop_pending(&mut self, service: &str) {
        let Some(service) = self.services.get(service) else { return };
        let waits = |number: &&u64| self.pending.get(number).is_some_and(|start| start.sent.is_none());
        let numbers: Vec<u64> = service.pending.iter().filter(waits).copied().collect();
        numbers.iter().for_each(|number| self.remove_pending(*number, false));
    }

    /// The live instances in a scope, including those that are being started, and how many more may be
    /// started now.
    pub(super) fn live_and_missing(&self, now: Nanos, service: &Service, scope: &str) -> (usize, usize) {
        let counts = |tracked: &&TrackedInstance| {
            tracked.is_live() && (scope == ALL_ZONES || tracked.instance.zone == scope)
        };
        let known = service.instances.iter().filter_map(|id| self.instances.get(id)).filter(counts).count();
        let starts = service.pending.iter().filter_map(|number| self.pending.get(number));
        let live =
            known + starts.filter(|s| scope == ALL_ZONES || self.workers.zone(&s.worker) == scope).count();
        let count = service.targets.get(scope).map_or(0, |target| target.count as usize);
        let most = if now < self.settled_at(service) { count.min(1) } else { count };
        (live, most.saturating_sub(live))
    }

    /// The time by which instances that the previous leader has started must have been listed.
    pub(super) fn settled_at(&self, service: &Service) -> Nanos {
        let boots = self.config.settle_boots * u64::from(service.spec.boot_ms) * MS;
        if self.config.fence <= 1 || service.inherited {
            self.started_at
        } else {
            self.started_at + boots + self.config.lag()
        }
    }

    /// Repeats failed starts, then calls new ones. Returns false if the rate limit is reached.
    pub(super) fn call_starts(&mut self, now: Nanos, which: StartClass, wake: &mut Nanos) -> bool {
        if self.listed.is_none() {
            return true;
        }
        self.retry_starts(now, wake) && self.start_missing(now, which, wake)
    }

    /// Repeats starts with the same nonce and worker, or drops them if they are not needed or the worker is
    /// not ready.
    fn retry_starts(&mut self, now: Nanos, wake: &mut Nanos) -> bool {
        let waiting: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, start)| start.sent.is_none())
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            let Some(start) = self.pending.get(&number) else { continue };
            let Some(service) = self.services.get(&start.service) else { continue };
            let scope = if service.split { self.workers.zone(&start.worker) } else { ALL_ZONES.into() };
            let (live, _) = self.live_and_missing(now, service, &scope);
            let wanted = service.targets.get(&scope).map_or(0, |target| target.count as usize);
            let accepts = self.workers.status(&start.worker) == WorkerStatus::Ready;
            if live > wanted || !accepts {
                self.understaffed.insert(start.service.clone());
                self.remove_pending(number, false);
                continue;
            }
            if start.due > now {
                *wake = (*wake).min(start.due);
                continue;
            }
            if !self.rate_limiter.try_acquire(now) {
                return false;
            }
            let mb = service.spec.memory_mb;
            self.call_start(now, number, mb);
        }
        true
    }

    fn call_start(&mut self, now: Nanos, number: u64, mb: u32) {
        let Some(start) = self.pending.get_mut(&number) else { return };
        start.sent = Some(now);
        self.workers.reserve(&start.worker, number, now, mb);
        let (service, worker, nonce) = (start.service.clone(), start.worker.clone(), start.nonce.clone());
        self.effects.push(Effect::Start { service, worker, nonce });
    }

    /// Calls new starts: owners without any live instance first, then those that lack the most.
    fn start_missing(&mut self, now: Nanos, which: StartClass, wake: &mut Nanos) -> bool {
        let mut heap = BinaryHeap::new();
        let mut satisfied = Vec::new();
        for name in &self.understaffed {
            let Some(service) = self.services.get(name).filter(|service| !service.targets.is_empty()) else {
                satisfied.push(name.clone());
                continue;
            };
            let settled = self.settled_at(service);
            if now < settled {
                *wake = (*wake).min(settled);
            }
            let mut missing = false;
            for scope in service.targets.keys() {
                let (live, short) = self.live_and_missing(now, service, scope);
                missing |= short > 0;
                if short > 0 && service.paused_until <= now && (live == 0 || which == StartClass::All) {
                    heap.push((live == 0, short, Reverse((name.clone(), scope.clone()))));
                }
            }
            if service.paused_until > now {
                *wake = (*wake).min(service.paused_until);
            }
            if now >= settled && !missing {
                satisfied.push(name.clone());
            }
        }
        satisfied.iter().for_each(|name| {
            self.understaffed.remove(name);
        });
        while let Some((_, short, Reverse((name, scope)))) = heap.pop() {
            let worker = self.pick_worker(&name, &scope);
            if let Some(target) = self.services.get_mut(&name).and_then(|s| s.targets.get_mut(&scope)) {
                target.starved_since =
                    if worker.is_none() { target.starved_since.or(Some(now)) } else { None };
            }
            let Some(worker) = worker else {
                *wake = (*wake).min(now + NO_ROOM_PAUSE);
                continue;
            };
            if !self.rate_limiter.try_acquire(now) {
                return false;
            }
            self.start_on(now, name.clone(), worker);
            if short > 1 && which == StartClass::All {
                heap.push((false, short - 1, Reverse((name, scope))));
            }
        }
        true
    }

    /// Picks the worker for one more instance of a service, within the zone if the scope is one.
    pub(super) fn pick_worker(&self, name: &str, scope: &str) -> Option<CompactString> {
        let service = self.services.get(name)?;
        let mut held: Vec<(&str, &str)> = Vec::new();
        // An unreachable instance counts as well: its worker may be down.
        let counts =
            |tracked: &&TrackedInstance| tracked.is_live() || matches!(tracked.phase, Phase::Suspect { .. });
        for tracked in service.instances.iter().filter_map(|id| self.instances.get(id)).filter(counts) {
            held.push((&tracked.instance.worker, &tracked.instance.zone));
        }
        let starts: Vec<_> = service.pending.iter().filter_map(|number| self.pending.get(number)).collect();
        let zones: Vec<_> = starts.iter().map(|start| self.workers.zone(&start.worker)).collect();
        for (start, zone) in starts.iter().zip(&zones) {
            held.push((&start.worker, zone));
        }
        let wanted = service.targets.get(scope).map_or(&[][..], |target| &target.zones);
        let only = (scope != ALL_ZONES).then_some(scope);
        let slow = self.slow_workers(service.targets.get(scope));
        self.workers.pick(service.spec.memory_mb, &held, wanted, only, &slow)
    }

    /// Workers that this owner, or the owners of at least two services, report as slow.
    fn slow_workers<'a>(&'a self, target: Option<&'a Target>) -> BTreeSet<&'a str> {
        let mut slow: BTreeSet<&str> =
            target.iter().flat_map(|target| &target.slow).map(CompactString::as_str).collect();
        let mut first_reporter: BTreeMap<&str, &str> = BTreeMap::new();
        for (name, service) in &self.services {
            for worker in service.targets.values().flat_map(|target| &target.slow) {
                if *first_reporter.entry(worker).or_insert(name) != name.as_str() {
                    slow.insert(worker);
                }
            }
        }
        slow
    }

    /// Starts one instance of the service on the worker.
    fn start_on(&mut self, now: Nanos, service: CompactString, worker: CompactString) {
        self.last_number += 1;
        let number = self.last_number;
        let mut nonce = format_compact!("{}.{number}.", self.config.fence);
        // Fence and number make the nonce unique; the service's name only helps readers.
        nonce.extend(service.chars().filter(char::is_ascii_graphic).take(NONCE_MAX - nonce.len()));
        let Some(entry) = self.services.get_mut(&service) else { return };
        entry.pending.insert(number);
        let mb = entry.spec.memory_mb;
        self.pending.insert(number, Pending { service, worker, nonce, sent: None, due: now, failed: 0 });
        self.call_start(now, number, mb);
    }

    /// Calls the stops that are due. Returns false if the rate limit is reached.
    pub(super) fn call_stops(&mut self, now: Nanos, which: StopClass, wake: &mut Nanos) -> bool {
        let overdue = if which == StopClass::Overdue { OVERDUE } else { 0 };
        while let Some((due, id)) = self.stops.first().cloned() {
            if due + overdue > now {
                if which == StopClass::All {
                    *wake = (*wake).min(due);
                }
                return true;
            }
            if !self.rate_limiter.try_acquire(now) {
                return false;
            }
            self.stops.remove(&(due, id.clone()));
            self.end(&id);
            if let Some(stop) = self.instances.get_mut(&id).and_then(|tracked| tracked.stop.as_mut()) {
                stop.sent = Some(now);
                self.effects.push(Effect::Stop { id });
            }
        }
        true
    }
}
