//! What the list and the workers show, and what becomes of an instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Effect, Scaler, Service, ServiceSpec};
use crate::fleet::Stands;
use crate::life::{Cause, Instance, Life, Phase, State};
use crate::platform::{Endpoint, Worker};
use crate::{MS, Nanos};

/// An instance that is listed as ready for so long after its stop was answered, beyond the lag, is stopped again.
const STOP_AGAIN: Nanos = 5_000 * MS;
/// Lists that must show an instance again that an owner found dead, and one whose worker was gone.
pub(super) const SEEN_AGAIN: u32 = 2;
const SEEN_WITHOUT_WORKER: u32 = 4;

impl Scaler {
    /// What the feed has told of the predecessor's instances. Not told again. Who tells of one instance of a service tells of all: no
    /// more of it are waited for.
    pub fn inherit(&mut self, now: Nanos, instances: impl IntoIterator<Item = Instance>) {
        for instance in instances {
            if let Some(service) = self.services.get_mut(&instance.service) {
                service.inherited = true;
            }
            if self.lives.contains_key(&instance.id) {
                continue;
            }
            let boots = if instance.state == State::Booting { self.terms.boots } else { 0 };
            let show_by = now + self.terms.lag() + boots * u64::from(instance.boot_ms) * MS;
            let drains = instance.state == State::Draining;
            let life = self.admit(now, Instance { since: now, ..instance }, show_by);
            // Its steward had let it go, or the platform; the list tells if it was the platform.
            if drains {
                life.cause = Some(Cause::Ours);
                let id = life.told.id.clone();
                self.halt(&id, now + self.terms.drain_ms * MS);
            }
        }
    }

    /// A whole list of endpoints, all its pages, whose first page was asked for at `asked_at`.
    pub fn endpoints_listed(&mut self, now: Nanos, asked_at: Nanos, entries: Vec<Endpoint>) {
        if asked_at < self.born || self.listed.is_some_and(|at| asked_at <= at) {
            return;
        }
        self.listed = Some(asked_at);
        for entry in entries {
            self.sighted(now, asked_at, entry);
        }
        let lag = self.terms.lag();
        let over = |life: &Life| life.seen != Some(asked_at) && life.over(asked_at, lag);
        let gone: Vec<_> =
            self.lives.iter().filter(|(_, life)| over(life)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| self.forget(id));
        self.needy
            .extend(self.services.iter().filter(|(_, s)| !s.wants.is_empty()).map(|(name, _)| name.clone()));
    }

    /// An answer to `GET /workers`, asked for at `asked_at`.
    pub fn workers_listed(&mut self, now: Nanos, asked_at: Nanos, workers: Vec<Worker>) {
        if !self.fleet.report(asked_at, workers) {
            return;
        }
        let (mut drained, mut gone) = (Vec::new(), Vec::new());
        for (id, life) in self.lives.iter().filter(|(_, life)| life.shown()) {
            match self.fleet.stands(&life.told.worker) {
                Stands::Draining if life.live() => drained.push(id.clone()),
                Stands::Gone => gone.push(id.clone()),
                _ => {}
            }
        }
        drained.iter().for_each(|id| self.drain(id, Cause::Worker));
        gone.iter().for_each(|id| self.doubt(now, id, SEEN_WITHOUT_WORKER));
        let named: BTreeSet<_> = self.lives.values().map(|life| life.told.worker.clone()).collect();
        self.fleet.forget(|worker| named.contains(worker));
    }

    /// One entry of a list.
    fn sighted(&mut self, now: Nanos, asked_at: Nanos, entry: Endpoint) {
        let lag = self.terms.lag();
        let Some(life) = self.lives.get_mut(&entry.id) else {
            return self.adopt(now, asked_at, entry);
        };
        if life.seen.is_none() {
            life.show_by = life.show_by.min(asked_at + lag);
        }
        life.seen = Some(asked_at);
        let stands = self.fleet.stands(&life.told.worker);
        match &mut life.phase {
            Phase::Ended => {
                let answered = life.halt.and_then(|halt| halt.answered);
                if !entry.draining && answered.is_some_and(|at| asked_at > at + lag + STOP_AGAIN) {
                    life.halt = None;
                    self.halt(&entry.id, now);
                }
            }
            Phase::Doubted { at, need, seen } => {
                if asked_at <= *at + lag || !matches!(stands, Stands::Ready | Stands::Draining) {
                    return;
                }
                *seen += 1;
                if *seen < *need {
                    return;
                }
                let taken = self.addresses.get(&life.told.address).is_some_and(|id| *id != entry.id);
                if taken {
                    life.phase = Phase::Ended;
                    return;
                }
                life.phase = Phase::Shown;
                if life.told.state != State::Draining {
                    life.told.state = State::Ready;
                }
                if entry.draining || stands == Stands::Draining {
                    (life.told.state, life.cause) = (State::Draining, Some(Cause::Listed));
                }
                self.effects.push(Effect::Updated { instance: life.told.clone() });
            }
            Phase::Shown if entry.draining => self.drain(&entry.id, Cause::Listed),
            Phase::Shown => {
                // A worker that is back to work before it has ended its instances.
                let back = life.cause == Some(Cause::Worker) && stands == Stands::Ready;
                if back {
                    life.cause = None;
                }
                if back || life.told.state == State::Booting {
                    life.told.state = State::Ready;
                    self.effects.push(Effect::Updated { instance: life.told.clone() });
                }
            }
        }
    }

    /// An endpoint in the list that nobody here has started.
    fn adopt(&mut self, now: Nanos, asked_at: Nanos, entry: Endpoint) {
        // Not one of ours to start or stop.
        let Some(worker) = entry.worker else { return };
        self.fleet.named(&worker, &entry.zone);
        let boot_ms = self.services.get(&entry.service).map_or(0, |service| service.spec.boot_ms);
        let drains = entry.draining || self.fleet.stands(&worker) == Stands::Draining;
        let told = Instance {
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            worker,
            state: if drains { State::Draining } else { State::Ready },
            boot_ms,
            since: now,
        };
        let instance = told.clone();
        let life = self.admit(now, told, asked_at + self.terms.lag());
        life.seen = Some(asked_at);
        life.cause = drains.then_some(if entry.draining { Cause::Listed } else { Cause::Worker });
        self.effects.push(Effect::Updated { instance });
    }

    /// A start that was answered.
    pub(super) fn birth(
        &mut self,
        now: Nanos,
        id: CompactString,
        service: CompactString,
        address: SocketAddr,
        worker: CompactString,
    ) {
        let Some(held) = self.services.get_mut(&service) else { return };
        held.refusals = 0;
        let (boot_ms, configured) = (held.spec.boot_ms, held.configured);
        let drains = self.fleet.stands(&worker) == Stands::Draining;
        let told = Instance {
            zone: self.fleet.zone(&worker),
            state: if drains { State::Draining } else { State::Booting },
            id: id.clone(),
            service,
            address,
            worker,
            boot_ms,
            since: now,
        };
        let instance = told.clone();
        let show_by = now + self.terms.boots * u64::from(boot_ms) * MS + self.terms.lag();
        let life = self.admit(now, told, show_by);
        life.cause = drains.then_some(Cause::Worker);
        if configured {
            self.effects.push(Effect::Updated { instance });
        } else {
            // Its service was dropped meanwhile: nobody hears of it.
            life.phase = Phase::Ended;
            self.halt(&id, now);
        }
    }

    /// Takes an instance in. Whoever had its address before has ended.
    fn admit(&mut self, now: Nanos, told: Instance, show_by: Nanos) -> &mut Life {
        let id = told.id.clone();
        let before = self.addresses.insert(told.address, id.clone());
        let older = |before: &CompactString| self.lives.get(before).is_some_and(|life| life.told.since < now);
        if let Some(before) = before.filter(older) {
            self.end(&before);
        }
        let spec = || ServiceSpec {
            name: told.service.clone(),
            memory_mb: 0,
            boot_ms: told.boot_ms,
            concurrency: 1,
        };
        let service = self
            .services
            .entry(told.service.clone())
            .or_insert_with(|| Service { configured: false, ..Service::new(spec(), now) });
        service.lives.insert(id.clone());
        self.needy.insert(told.service.clone());
        self.lives.entry(id).or_insert_with(|| Life::new(told, show_by))
    }

    /// No more requests; told at once.
    pub(super) fn drain(&mut self, id: &str, cause: Cause) {
        let Some(life) = self.lives.get_mut(id) else { return };
        // What the list says stands; what we say ourselves is not taken back by a worker.
        life.cause = match (life.cause, cause) {
            (Some(Cause::Ours), _) => Some(Cause::Ours),
            (Some(Cause::Listed), Cause::Worker) => Some(Cause::Listed),
            _ => Some(cause),
        };
        if life.live() {
            life.told.state = State::Draining;
            self.effects.push(Effect::Updated { instance: life.told.clone() });
            self.needy.insert(life.told.service.clone());
        }
    }

    /// Told as draining, and stopped a little later.
    pub(super) fn let_go(&mut self, now: Nanos, id: &str) {
        self.drain(id, Cause::Ours);
        let Some(life) = self.lives.get_mut(id).filter(|life| life.halt.is_none()) else { return };
        if !life.shown() {
            life.phase = Phase::Ended;
        }
        self.halt(id, now + self.terms.drain_ms * MS);
    }

    /// Told as gone, if it was shown.
    pub(super) fn hide(&mut self, id: &str, phase: Phase) {
        let Some(life) = self.lives.get_mut(id) else { return };
        if life.shown() {
            let (id, service, zone) =
                (life.told.id.clone(), life.told.service.clone(), life.told.zone.clone());
            self.needy.insert(service.clone());
            self.effects.push(Effect::Removed { id, service, zone });
        }
        life.phase = phase;
    }

    pub(super) fn end(&mut self, id: &str) {
        self.hide(id, Phase::Ended);
    }

    pub(super) fn doubt(&mut self, now: Nanos, id: &str, need: u32) {
        let Some(life) = self.lives.get_mut(id) else { return };
        let need = need << life.losses.min(3);
        life.losses += 1;
        let halted = life.halt.is_some();
        self.hide(id, if halted { Phase::Ended } else { Phase::Doubted { at: now, need, seen: 0 } });
    }

    /// Nothing shows it any more.
    pub(super) fn forget(&mut self, id: &str) {
        self.end(id);
        let Some(life) = self.lives.remove(id) else { return };
        if let Some(halt) = life.halt {
            self.halts.remove(&(halt.due, life.told.id.clone()));
        }
        if self.addresses.get(&life.told.address).is_some_and(|holder| holder == id) {
            self.addresses.remove(&life.told.address);
        }
        if let Some(service) = self.services.get_mut(&life.told.service) {
            service.lives.remove(id);
        }
    }
}
