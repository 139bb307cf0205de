//! The scaler's state machine: its state, the inputs of owners and of the configuration, and its tick.

mod calls;
mod tracking;
pub mod view;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::{mem, net::SocketAddr};

use compact_str::CompactString;

use crate::instance::{Instance, Phase, State, TrackedInstance};
use crate::platform::{StartFault, StopFault};
use crate::rate_limiter::RateLimiter;
use crate::workers::WorkerPool;
use crate::{MS, Nanos, ScalerConfig};

/// The most workers that an owner may report as slow.
const MAX_SLOW: usize = 1_000;
/// Once a service has more targets than this, further ones are ignored.
const MAX_TARGETS: usize = 64;
/// How often expired targets, services without an owner and calls without an answer are looked for.
const SWEEP_EVERY: Nanos = 250 * MS;

/// A function's service, from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: CompactString,
    /// The memory that one instance takes.
    pub memory_mb: u32,
    /// The average time that a start takes.
    pub boot_ms: u32,
    /// How many requests one instance serves at once.
    pub concurrency: u32,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the platform, and pass the answer to [`Scaler::start_answered`].
    Start {
        /// The service to start.
        service: CompactString,
        /// The worker to start it on.
        worker: CompactString,
        /// The idempotency key, the same for each repetition of the call.
        nonce: CompactString,
    },
    /// Call the platform, and pass the answer to [`Scaler::stop_answered`].
    Stop {
        /// The instance to stop.
        id: CompactString,
    },
    /// Announce that an instance is new or has changed.
    Updated {
        /// Its current state.
        instance: Instance,
    },
    /// Announce that an instance is gone and gets no more requests.
    Removed {
        /// The instance.
        id: CompactString,
        /// The service that it served.
        service: CompactString,
        /// The zone that it ran in.
        zone: CompactString,
    },
}

/// The number of instances that an owner requests.
#[derive(Debug)]
struct Target {
    count: u32,
    zones: Vec<(CompactString, u32)>,
    /// Workers that the owner reports as slow for the service.
    slow: BTreeSet<CompactString>,
    /// Since when no allowed worker has had room.
    starved_since: Option<Nanos>,
}

/// The scope of the owner of a service that is not split by zone.
const ALL_ZONES: &str = "";

#[derive(Debug)]
struct Service {
    spec: ServiceSpec,
    configured: bool,
    /// By owner's scope: by zone if the service is split, else [`ALL_ZONES`] alone.
    targets: BTreeMap<CompactString, Target>,
    /// Whether each zone has an owner of its own.
    split: bool,
    /// When an owner last sent a target, or the service was configured or its split changed.
    last_request: Nanos,
    /// Whether the instances that the previous leader has started are known.
    inherited: bool,
    instances: BTreeSet<CompactString>,
    pending: BTreeSet<u64>,
    /// Starts that the platform has refused since the last that succeeded.
    refusals: u32,
    /// No start is called before this time.
    paused_until: Nanos,
}

/// A start that was called and has not succeeded yet.
#[derive(Debug)]
struct Pending {
    service: CompactString,
    worker: CompactString,
    nonce: CompactString,
    /// When it was called, while there is no answer.
    sent: Option<Nanos>,
    /// When it is to be called again.
    due: Nanos,
    failed: u32,
}

/// Which starts may be called in this step of a tick.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartClass {
    /// Starts for owners without any live instance.
    Unserved,
    All,
}

/// Which stops may be called in this step of a tick.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopClass {
    Overdue,
    All,
}

/// The leader's scaler. The crate's documentation describes its use.
#[derive(Debug)]
pub struct Scaler {
    config: ScalerConfig,
    /// When this leader's term began.
    started_at: Nanos,
    rate_limiter: RateLimiter,
    workers: WorkerPool,
    /// Whether a configuration has been received.
    configured: bool,
    /// When the newest whole list was requested.
    listed: Option<Nanos>,
    /// The number of the last start.
    last_number: u64,
    services: BTreeMap<CompactString, Service>,
    instances: BTreeMap<CompactString, TrackedInstance>,
    addresses: HashMap<SocketAddr, CompactString>,
    pending: BTreeMap<u64, Pending>,
    /// Stops to be called, by due time.
    stops: BTreeSet<(Nanos, CompactString)>,
    /// Services that may have too few instances.
    understaffed: BTreeSet<CompactString>,
    next_sweep: Nanos,
    effects: Vec<Effect>,
}

impl Scaler {
    /// Creates a scaler that starts nothing until it has received a whole list.
    pub fn new(config: ScalerConfig, now: Nanos) -> Self {
        Self {
            started_at: now,
            rate_limiter: RateLimiter::new(config.duty_per_s, now),
            workers: WorkerPool::new(config.lag()),
            configured: false,
            listed: None,
            last_number: 0,
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            addresses: HashMap::new(),
            pending: BTreeMap::new(),
            stops: BTreeSet::new(),
            understaffed: BTreeSet::new(),
            next_sweep: now,
            effects: Vec::new(),
            config,
        }
    }

    /// Sets the configuration's functions. A service that is no longer among them loses its instances.
    pub fn configure(&mut self, now: Nanos, specs: impl IntoIterator<Item = ServiceSpec>) {
        self.configured = true;
        let mut dropped: BTreeSet<CompactString> =
            self.services.iter().filter(|(_, s)| s.configured).map(|(name, _)| name.clone()).collect();
        for spec in specs {
            dropped.remove(&spec.name);
            let name = spec.name.clone();
            let service =
                self.services.entry(name.clone()).or_insert_with(|| Service::new(spec.clone(), now));
            if !service.configured {
                (service.configured, service.last_request) = (true, now);
            }
            service.spec = spec;
            service.paused_until = now;
            self.understaffed.insert(name);
        }
        for name in dropped {
            let Some(service) = self.services.get_mut(&name) else { continue };
            service.configured = false;
            service.targets.clear();
            let instances: Vec<_> = service.instances.iter().cloned().collect();
            instances.iter().for_each(|id| self.drain_and_stop(now, id));
            self.drop_pending(&name);
        }
    }

    /// Sets which services have an owner in each zone; all others have a single owner. Clears the targets of
    /// a service that changes.
    pub fn set_split(&mut self, now: Nanos, services: &BTreeSet<CompactString>) {
        for (name, service) in &mut self.services {
            let split = services.contains(name);
            if service.split != split {
                service.split = split;
                service.targets.clear();
                service.last_request = now;
                self.understaffed.insert(name.clone());
            }
        }
    }

    /// Split services with an owner that needs instances but whose zone has had no room for at least `span`.
    pub fn starved(&self, now: Nanos, span: Nanos) -> impl Iterator<Item = &CompactString> {
        let starves = move |target: &Target| target.starved_since.is_some_and(|since| since + span <= now);
        self.services
            .iter()
            .filter(move |(_, s)| s.split && s.targets.values().any(starves))
            .map(|(name, _)| name)
    }

    /// Sets how many live instances the owner of a service requests, and in which zones, in order of
    /// preference. A zone that is named twice gets two shares; without `zones`, all zones are equal.
    /// `owner_zone` is the zone that the owner is responsible for, if each zone has an owner.
    pub fn set_target(
        &mut self,
        now: Nanos,
        service: &str,
        owner_zone: Option<&CompactString>,
        count: u32,
        zones: &[CompactString],
    ) {
        let Some(service) = self.services.get_mut(service).filter(|service| service.configured) else {
            return;
        };
        // A sender that disagrees does not know yet whether the service is split.
        if service.split != owner_zone.is_some() || service.targets.len() > MAX_TARGETS {
            return;
        }
        let mut shares: Vec<(CompactString, u32)> = Vec::new();
        for zone in zones.iter().filter(|_| owner_zone.is_none()) {
            match shares.iter_mut().find(|(name, _)| name == zone) {
                Some((_, share)) => *share += 1,
                None => shares.push((zone.clone(), 1)),
            }
        }
        let scope = owner_zone.cloned().unwrap_or(ALL_ZONES.into());
        let (starved_since, slow) = match service.targets.remove(&scope) {
            Some(target) => (target.starved_since, target.slow),
            None => (None, BTreeSet::new()),
        };
        service.targets.insert(scope, Target { count, zones: shares, slow, starved_since });
        service.last_request = service.last_request.max(now);
        self.understaffed.insert(service.spec.name.clone());
    }

    /// Sets the workers that are slow for a service, as reported by its owner or the owner of one zone.
    /// Replaces the earlier report of that owner.
    pub fn set_slow_workers(
        &mut self,
        _now: Nanos,
        service: &str,
        owner_zone: Option<&CompactString>,
        slow: &[CompactString],
    ) {
        let scope = owner_zone.map_or(ALL_ZONES, CompactString::as_str);
        let target = self.services.get_mut(service).and_then(|service| service.targets.get_mut(scope));
        if let Some(target) = target
            && !(slow.is_empty() && target.slow.is_empty())
        {
            target.slow = slow.iter().take(MAX_SLOW).cloned().collect();
        }
    }

    /// Whether an owner has reported a slow worker for this service.
    pub fn has_slow_workers(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.targets.values().any(|target| !target.slow.is_empty()))
    }

    /// The owner sends no more requests to an instance and has it stopped. It is not replaced before the
    /// owner sends its next target.
    pub fn retire(&mut self, now: Nanos, id: &str) {
        if !self.instances.contains_key(id) {
            // A new leader may not know it yet: a list that shows it must not bring it back.
            let no_address = SocketAddr::from(([0, 0, 0, 0], 0));
            let instance = Instance::unknown(id, no_address, now);
            self.instances.insert(
                id.into(),
                TrackedInstance { phase: Phase::Ended, ..TrackedInstance::new(instance, now) },
            );
        }
        self.reduce_target(now, id);
        self.end(id);
        if self
            .instances
            .get(id)
            .is_some_and(|tracked| tracked.stop.is_none_or(|stop| stop.sent.is_none() && stop.due > now))
        {
            self.schedule_stop(id, now);
        }
    }

    /// An owner could not reach an instance. It counts as gone until two lists read later than `now` plus the
    /// lag show it.
    pub fn mark_unreachable(&mut self, now: Nanos, id: &str) {
        // A booting instance refuses connections.
        if self
            .instances
            .get(id)
            .is_some_and(|tracked| tracked.is_visible() && tracked.instance.state != State::Booting)
        {
            self.suspect(now, id, tracking::RELISTED_MIN);
        }
    }

    /// An owner is connected to an instance.
    pub fn mark_up(&mut self, now: Nanos, id: &str) {
        let Some(tracked) = self.instances.get_mut(id) else { return };
        match tracked.phase {
            Phase::Visible if tracked.instance.state == State::Booting => {}
            Phase::Suspect { .. } if tracked.stop.is_none() => tracked.phase = Phase::Visible,
            _ => return,
        }
        if tracked.instance.state == State::Booting {
            tracked.instance.state = State::Ready;
        }
        tracked.listed_by = now + self.config.lag();
        self.effects.push(Effect::Updated { instance: tracked.instance.clone() });
    }

    /// Decides what to start and stop. Call it after inputs, and at the time that it returns.
    pub fn tick(&mut self, now: Nanos) -> Nanos {
        if now >= self.next_sweep {
            self.sweep(now);
            self.next_sweep = now + SWEEP_EVERY;
        }
        let mut wake = self.next_sweep;
        let rounds: [(Option<StartClass>, Option<StopClass>); 4] = [
            (Some(StartClass::Unserved), None),
            (None, Some(StopClass::Overdue)),
            (Some(StartClass::All), None),
            (None, Some(StopClass::All)),
        ];
        for (starts, stops) in rounds {
            let done = starts.is_none_or(|which| self.call_starts(now, which, &mut wake))
                && stops.is_none_or(|which| self.call_stops(now, which, &mut wake));
            if !done {
                return self.next_sweep.min(self.rate_limiter.next_at()).max(now + 1);
            }
        }
        wake.max(now + 1)
    }

    /// The effects since the last call, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// A copy of all instances that are announced to the proxies.
    pub fn snapshot(&self) -> Vec<Instance> {
        self.visible_instances().cloned().collect()
    }

    /// The instances that are announced to the proxies.
    pub fn visible_instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values().filter(|tracked| tracked.is_visible()).map(|tracked| &tracked.instance)
    }

    /// Lowers the target by one for a retired instance that would be replaced otherwise.
    fn reduce_target(&mut self, now: Nanos, id: &str) {
        let Some(tracked) = self.instances.get(id).filter(|tracked| tracked.is_live()) else { return };
        let Some(service) = self.services.get(&tracked.instance.service) else { return };
        let scope = if service.split { tracked.instance.zone.clone() } else { ALL_ZONES.into() };
        let (live, _) = self.live_and_missing(now, service, &scope);
        let name = tracked.instance.service.clone();
        if let Some(target) = self.services.get_mut(&name).and_then(|service| service.targets.get_mut(&scope))
            && live <= target.count as usize
        {
            target.count = target.count.saturating_sub(1);
        }
    }

    /// Handles targets that have expired, services without an owner and calls without an answer.
    fn sweep(&mut self, now: Nanos) {
        let (ttl, grace, timeout) = (
            self.config.target_ttl_ms * MS,
            self.config.unowned_grace_ms * MS,
            self.config.answer_timeout_ms * MS,
        );
        let (mut expired, mut unowned) = (Vec::new(), Vec::new());
        for (name, service) in &mut self.services {
            if now < service.last_request + ttl {
                continue;
            }
            if !service.targets.is_empty() {
                service.targets.clear();
                expired.push(name.clone());
            }
            if self.configured && now >= service.last_request + ttl + grace {
                let is_old = |id: &&CompactString| {
                    self.instances
                        .get(*id)
                        .is_some_and(|tracked| tracked.is_live() && now >= tracked.instance.since + grace)
                };
                unowned.extend(service.instances.iter().filter(is_old).cloned());
            }
        }
        expired.iter().for_each(|name| self.drop_pending(name));
        unowned.iter().for_each(|id| self.drain_and_stop(now, id));
        self.services.retain(|_, s| s.configured || !s.instances.is_empty() || !s.pending.is_empty());
        let late = |sent: Option<Nanos>| sent.is_some_and(|sent| now >= sent + timeout);
        let starts: Vec<_> =
            self.pending.values().filter(|start| late(start.sent)).map(|start| start.nonce.clone()).collect();
        starts.iter().for_each(|nonce| self.start_answered(now, nonce, Err(StartFault::Unclear)));
        let stops =
            self.instances.iter().filter(|(_, tracked)| tracked.stop.is_some_and(|stop| late(stop.sent)));
        let stops: Vec<_> = stops.map(|(id, _)| id.clone()).collect();
        stops.iter().for_each(|id| self.stop_answered(now, id, Err(StopFault::Unclear)));
    }
}

impl Service {
    fn new(spec: ServiceSpec, now: Nanos) -> Self {
        Self {
            spec,
            configured: true,
            targets: BTreeMap::new(),
            split: false,
            last_request: now,
            inherited: false,
            instances: BTreeSet::new(),
            pending: BTreeSet::new(),
            refusals: 0,
            paused_until: now,
        }
    }
}
