//! Tracks instances by what the endpoint list and the workers show.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Effect, Scaler, Service, ServiceSpec};
use crate::instance::{DrainCause, Instance, Phase, State, TrackedInstance};
use crate::platform::{Endpoint, Worker};
use crate::workers::WorkerStatus;
use crate::{MS, Nanos};

/// An instance that is still listed as ready this long after its stop was answered, plus the lag, is stopped
/// again.
const STOP_AGAIN: Nanos = 5_000 * MS;
/// How many lists must show an unreachable instance before it counts as visible again.
pub(super) const RELISTED_MIN: u32 = 2;
/// The same for an instance whose worker was gone.
const RELISTED_MIN_WITHOUT_WORKER: u32 = 4;

impl Scaler {
    /// Takes over instances of the previous leader that were announced already; they are not announced again.
    /// A sender that names one instance of a service names all of them, so the service need not wait until it
    /// is settled.
    pub fn inherit(&mut self, now: Nanos, instances: impl IntoIterator<Item = Instance>) {
        for instance in instances {
            if let Some(service) = self.services.get_mut(&instance.service) {
                service.inherited = true;
            }
            if self.instances.contains_key(&instance.id) {
                continue;
            }
            let boots = if instance.state == State::Booting { self.config.boots } else { 0 };
            let listed_by = now + self.config.lag() + boots * u64::from(instance.boot_ms) * MS;
            let drains = instance.state == State::Draining;
            let tracked = self.insert(now, Instance { since: now, ..instance }, listed_by);
            // Either the previous leader drained it or the platform; the next list shows if it was the
            // platform.
            if drains {
                tracked.drain_cause = Some(DrainCause::Scaler);
                let id = tracked.instance.id.clone();
                self.schedule_stop(&id, now + self.config.drain_ms * MS);
            }
        }
    }

    /// Handles a whole list of endpoints, all its pages, of which the first was requested at `asked_at`.
    pub fn endpoints_listed(&mut self, now: Nanos, asked_at: Nanos, entries: Vec<Endpoint>) {
        if asked_at < self.started_at || self.listed.is_some_and(|at| asked_at <= at) {
            return;
        }
        self.listed = Some(asked_at);
        for entry in entries {
            self.endpoint_listed(now, asked_at, entry);
        }
        let lag = self.config.lag();
        let is_over = |tracked: &TrackedInstance| {
            tracked.last_listed != Some(asked_at) && tracked.is_over(asked_at, lag)
        };
        let gone: Vec<_> =
            self.instances.iter().filter(|(_, tracked)| is_over(tracked)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.forget(id));
        self.understaffed.extend(
            self.services.iter().filter(|(_, s)| !s.targets.is_empty()).map(|(name, _)| name.clone()),
        );
    }

    /// Handles an answer to `GET /workers` that was requested at `asked_at`.
    pub fn workers_listed(&mut self, now: Nanos, asked_at: Nanos, workers: Vec<Worker>) {
        if !self.workers.update(asked_at, workers) {
            return;
        }
        let (mut drained, mut gone) = (Vec::new(), Vec::new());
        for (id, tracked) in self.instances.iter().filter(|(_, tracked)| tracked.is_visible()) {
            match self.workers.status(&tracked.instance.worker) {
                WorkerStatus::Draining if tracked.is_live() => drained.push(id.clone()),
                WorkerStatus::Gone => gone.push(id.clone()),
                _ => {}
            }
        }
        drained.iter().for_each(|id| self.drain(id, DrainCause::Worker));
        gone.iter().for_each(|id| self.suspect(now, id, RELISTED_MIN_WITHOUT_WORKER));
        let named: BTreeSet<_> =
            self.instances.values().map(|tracked| tracked.instance.worker.clone()).collect();
        self.workers.remove_gone(|worker| named.contains(worker));
    }

    /// Handles one entry of a list.
    fn endpoint_listed(&mut self, now: Nanos, asked_at: Nanos, entry: Endpoint) {
        let lag = self.config.lag();
        let Some(tracked) = self.instances.get_mut(&entry.id) else {
            return self.add_listed(now, asked_at, entry);
        };
        if tracked.last_listed.is_none() {
            tracked.listed_by = tracked.listed_by.min(asked_at + lag);
        }
        tracked.last_listed = Some(asked_at);
        let worker = self.workers.status(&tracked.instance.worker);
        match &mut tracked.phase {
            Phase::Ended => {
                let answered = tracked.stop.and_then(|stop| stop.answered);
                if !entry.draining && answered.is_some_and(|at| asked_at > at + lag + STOP_AGAIN) {
                    tracked.stop = None;
                    self.schedule_stop(&entry.id, now);
                }
            }
            Phase::Suspect { at, need, seen } => {
                if asked_at <= *at + lag || !matches!(worker, WorkerStatus::Ready | WorkerStatus::Draining) {
                    return;
                }
                *seen += 1;
                if *seen < *need {
                    return;
                }
                let taken = self.addresses.get(&tracked.instance.address).is_some_and(|id| *id != entry.id);
                if taken {
                    tracked.phase = Phase::Ended;
                    return;
                }
                tracked.phase = Phase::Visible;
                if tracked.instance.state != State::Draining {
                    tracked.instance.state = State::Ready;
                }
                if entry.draining || worker == WorkerStatus::Draining {
                    (tracked.instance.state, tracked.drain_cause) =
                        (State::Draining, Some(DrainCause::Listed));
                }
                self.effects.push(Effect::Updated { instance: tracked.instance.clone() });
            }
            Phase::Visible if entry.draining => self.drain(&entry.id, DrainCause::Listed),
            Phase::Visible => {
                // The worker no longer drains, before its instances have ended.
                let back = tracked.drain_cause == Some(DrainCause::Worker) && worker == WorkerStatus::Ready;
                if back {
                    tracked.drain_cause = None;
                }
                if back || tracked.instance.state == State::Booting {
                    tracked.instance.state = State::Ready;
                    self.effects.push(Effect::Updated { instance: tracked.instance.clone() });
                }
            }
        }
    }

    /// Adds a listed endpoint that this leader has not started.
    fn add_listed(&mut self, now: Nanos, asked_at: Nanos, entry: Endpoint) {
        // Endpoints without a worker were not started through the platform and are not managed here.
        let Some(worker) = entry.worker else { return };
        self.workers.ensure_known(&worker, &entry.zone);
        let boot_ms = self.services.get(&entry.service).map_or(0, |service| service.spec.boot_ms);
        let drains = entry.draining || self.workers.status(&worker) == WorkerStatus::Draining;
        let instance = Instance {
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            worker,
            state: if drains { State::Draining } else { State::Ready },
            boot_ms,
            since: now,
        };
        let announced = instance.clone();
        let tracked = self.insert(now, instance, asked_at + self.config.lag());
        tracked.last_listed = Some(asked_at);
        tracked.drain_cause =
            drains.then_some(if entry.draining { DrainCause::Listed } else { DrainCause::Worker });
        self.effects.push(Effect::Updated { instance: announced });
    }

    /// Adds an instance whose start was answered.
    pub(super) fn add_started(
        &mut self,
        now: Nanos,
        id: CompactString,
        service: CompactString,
        address: SocketAddr,
        worker: CompactString,
    ) {
        let Some(entry) = self.services.get_mut(&service) else { return };
        entry.refusals = 0;
        let (boot_ms, configured) = (entry.spec.boot_ms, entry.configured);
        let drains = self.workers.status(&worker) == WorkerStatus::Draining;
        let instance = Instance {
            zone: self.workers.zone(&worker),
            state: if drains { State::Draining } else { State::Booting },
            id: id.clone(),
            service,
            address,
            worker,
            boot_ms,
            since: now,
        };
        let announced = instance.clone();
        let listed_by = now + self.config.boots * u64::from(boot_ms) * MS + self.config.lag();
        let tracked = self.insert(now, instance, listed_by);
        tracked.drain_cause = drains.then_some(DrainCause::Worker);
        if configured {
            self.effects.push(Effect::Updated { instance: announced });
        } else {
            // Its service was removed from the configuration meanwhile: it is never announced.
            tracked.phase = Phase::Ended;
            self.schedule_stop(&id, now);
        }
    }

    /// Adds an instance. An older instance with the same address has ended.
    fn insert(&mut self, now: Nanos, instance: Instance, listed_by: Nanos) -> &mut TrackedInstance {
        let id = instance.id.clone();
        let before = self.addresses.insert(instance.address, id.clone());
        let older = |before: &CompactString| {
            self.instances.get(before).is_some_and(|tracked| tracked.instance.since < now)
        };
        if let Some(before) = before.filter(older) {
            self.end(&before);
        }
        let spec = || ServiceSpec {
            name: instance.service.clone(),
            memory_mb: 0,
            boot_ms: instance.boot_ms,
            concurrency: 1,
        };
        let service = self
            .services
            .entry(instance.service.clone())
            .or_insert_with(|| Service { configured: false, ..Service::new(spec(), now) });
        service.instances.insert(id.clone());
        self.understaffed.insert(instance.service.clone());
        self.instances.entry(id).or_insert_with(|| TrackedInstance::new(instance, listed_by))
    }

    /// Marks an instance as draining and announces that at once.
    pub(super) fn drain(&mut self, id: &str, cause: DrainCause) {
        let Some(tracked) = self.instances.get_mut(id) else { return };
        // A listed state outranks the worker's; the scaler's own decision is never taken back.
        tracked.drain_cause = match (tracked.drain_cause, cause) {
            (Some(DrainCause::Scaler), _) => Some(DrainCause::Scaler),
            (Some(DrainCause::Listed), DrainCause::Worker) => Some(DrainCause::Listed),
            _ => Some(cause),
        };
        if tracked.is_live() {
            tracked.instance.state = State::Draining;
            self.effects.push(Effect::Updated { instance: tracked.instance.clone() });
            self.understaffed.insert(tracked.instance.service.clone());
        }
    }

    /// Announces an instance as draining, and schedules its stop after `drain_ms`.
    pub(super) fn drain_and_stop(&mut self, now: Nanos, id: &str) {
        self.drain(id, DrainCause::Scaler);
        let Some(tracked) = self.instances.get_mut(id).filter(|tracked| tracked.stop.is_none()) else {
            return;
        };
        if !tracked.is_visible() {
            tracked.phase = Phase::Ended;
        }
        self.schedule_stop(id, now + self.config.drain_ms * MS);
    }

    /// Sets the phase, and announces the instance as gone if it was visible.
    pub(super) fn set_phase(&mut self, id: &str, phase: Phase) {
        let Some(tracked) = self.instances.get_mut(id) else { return };
        if tracked.is_visible() {
            let (id, service, zone) = (
                tracked.instance.id.clone(),
                tracked.instance.service.clone(),
                tracked.instance.zone.clone(),
            );
            self.understaffed.insert(service.clone());
            self.effects.push(Effect::Removed { id, service, zone });
        }
        tracked.phase = phase;
    }

    pub(super) fn end(&mut self, id: &str) {
        self.set_phase(id, Phase::Ended);
    }

    /// Announces an instance as gone until `need` lists show it again; the number doubles with each
    /// suspicion, up to eight times. An instance whose stop is scheduled has ended instead.
    pub(super) fn suspect(&mut self, now: Nanos, id: &str, need: u32) {
        let Some(tracked) = self.instances.get_mut(id) else { return };
        let need = need << tracked.suspicions.min(3);
        tracked.suspicions += 1;
        let stopping = tracked.stop.is_some();
        self.set_phase(id, if stopping { Phase::Ended } else { Phase::Suspect { at: now, need, seen: 0 } });
    }

    /// Removes an instance that no list shows any more.
    pub(super) fn forget(&mut self, id: &str) {
        self.end(id);
        let Some(tracked) = self.instances.remove(id) else { return };
        if let Some(stop) = tracked.stop {
            self.stops.remove(&(stop.due, tracked.instance.id.clone()));
        }
        if self.addresses.get(&tracked.instance.address).is_some_and(|holder| holder == id) {
            self.addresses.remove(&tracked.instance.address);
        }
        if let Some(service) = self.services.get_mut(&tracked.instance.service) {
            service.instances.remove(id);
        }
    }
}
