//! The state machine: what it keeps, what owners and the configuration say, and its tick.

mod calls;
mod seen;
pub mod view;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::{mem, net::SocketAddr};

use compact_str::CompactString;

use crate::duty::Duty;
use crate::fleet::Fleet;
use crate::life::{Instance, Life, Phase, State};
use crate::platform::{StartFault, StopFault};
use crate::{MS, Nanos, ScalerConfig};

/// Workers that an owner may call slow.
const MOST_SLOW: usize = 1_000;
/// How often wants and silences are looked through.
const SWEEP: Nanos = 250 * MS;

/// What the configuration says of a function's service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: CompactString,
    /// The memory of one instance.
    pub memory_mb: u32,
    /// The average time of a start.
    pub boot_ms: u32,
    /// The requests that one instance holds at once.
    pub concurrency: u32,
}

/// What is to be done or told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Call the platform; tell [`Scaler::start_answered`].
    Start {
        /// What is started.
        service: CompactString,
        /// Where.
        worker: CompactString,
        /// The same for each repetition.
        nonce: CompactString,
    },
    /// Call the platform; tell [`Scaler::stop_answered`].
    Stop {
        /// What is stopped.
        id: CompactString,
    },
    /// For the feed: new, or changed.
    Updated {
        /// As it is now.
        instance: Instance,
    },
    /// For the feed: no request goes there any more.
    Removed {
        /// What is gone.
        id: CompactString,
        /// The service that it served.
        service: CompactString,
        /// Where it stood.
        zone: CompactString,
    },
}

/// What an owner wants.
#[derive(Debug)]
struct Want {
    count: u32,
    zones: Vec<(CompactString, u32)>,
    /// Workers that are slow for it, by its owner's word.
    slow: BTreeSet<CompactString>,
    /// No worker of its zone has had room since then.
    starved: Option<Nanos>,
}

/// The lot of a service that has one owner.
const WHOLE: &str = "";

#[derive(Debug)]
struct Service {
    spec: ServiceSpec,
    configured: bool,
    /// By lot: by zone where each has an owner, else [`WHOLE`] alone.
    wants: BTreeMap<CompactString, Want>,
    split: bool,
    /// When an owner spoke last.
    said: Nanos,
    /// What a predecessor has started of it is known.
    inherited: bool,
    lives: BTreeSet<CompactString>,
    pending: BTreeSet<u64>,
    refusals: u32,
    paused: Nanos,
}

/// A start that is called or to be called again.
#[derive(Debug)]
struct Pending {
    service: CompactString,
    worker: CompactString,
    nonce: CompactString,
    sent: Option<Nanos>,
    due: Nanos,
    failed: u32,
}

/// Which starts may take a call now.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Starts {
    /// Those of services without any instance.
    First,
    All,
}

/// Which stops may take a call now.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stops {
    Overdue,
    All,
}

/// The scaler of the steward. See the crate's page for its use.
#[derive(Debug)]
pub struct Scaler {
    terms: ScalerConfig,
    born: Nanos,
    duty: Duty,
    fleet: Fleet,
    configured: bool,
    listed: Option<Nanos>,
    number: u64,
    services: BTreeMap<CompactString, Service>,
    lives: BTreeMap<CompactString, Life>,
    addresses: HashMap<SocketAddr, CompactString>,
    pending: BTreeMap<u64, Pending>,
    /// Stops to be called, by when.
    halts: BTreeSet<(Nanos, CompactString)>,
    /// Services that may have too few instances.
    needy: BTreeSet<CompactString>,
    swept: Nanos,
    effects: Vec<Effect>,
}

impl Scaler {
    /// One that knows nothing yet. It starts nothing before it has seen a whole list.
    pub fn new(terms: ScalerConfig, now: Nanos) -> Self {
        Self {
            born: now,
            duty: Duty::new(terms.duty_per_s, now),
            fleet: Fleet::new(terms.lag()),
            configured: false,
            listed: None,
            number: 0,
            services: BTreeMap::new(),
            lives: BTreeMap::new(),
            addresses: HashMap::new(),
            pending: BTreeMap::new(),
            halts: BTreeSet::new(),
            needy: BTreeSet::new(),
            swept: now,
            effects: Vec::new(),
            terms,
        }
    }

    /// The configuration's functions. A service that is not among them any more loses its instances.
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
                (service.configured, service.said) = (true, now);
            }
            service.spec = spec;
            service.paused = now;
            self.needy.insert(name);
        }
        for name in dropped {
            let Some(service) = self.services.get_mut(&name) else { continue };
            service.configured = false;
            service.wants.clear();
            let lives: Vec<_> = service.lives.iter().cloned().collect();
            lives.iter().for_each(|id| self.let_go(now, id));
            self.drop_pending(&name);
        }
    }

    /// These services have an owner in each zone from now on, others one in all. What was wanted before counts no more.
    pub fn set_split(&mut self, now: Nanos, services: &BTreeSet<CompactString>) {
        for (name, service) in &mut self.services {
            let split = services.contains(name);
            if service.split != split {
                service.split = split;
                service.wants.clear();
                service.said = now;
                self.needy.insert(name.clone());
            }
        }
    }

    /// Services with an owner in each zone that want instances in a zone which has had no room for them for so long.
    pub fn starved(&self, now: Nanos, span: Nanos) -> impl Iterator<Item = &CompactString> {
        let starves = move |w: &Want| w.starved.is_some_and(|since| since + span <= now);
        self.services
            .iter()
            .filter(move |(_, s)| s.split && s.wants.values().any(starves))
            .map(|(name, _)| name)
    }

    /// The owner of a service wants so many live instances, in these zones in order of preference. A zone named twice takes
    /// two shares; without any, all are alike. `lot`: the zone that it speaks for, where each has an owner.
    pub fn set_target(
        &mut self,
        now: Nanos,
        service: &str,
        lot: Option<&CompactString>,
        count: u32,
        zones: &[CompactString],
    ) {
        let Some(service) = self.services.get_mut(service).filter(|service| service.configured) else {
            return;
        };
        // One who does not know yet who owns what.
        if service.split != lot.is_some() || service.wants.len() > 64 {
            return;
        }
        let mut shares: Vec<(CompactString, u32)> = Vec::new();
        for zone in zones.iter().filter(|_| lot.is_none()) {
            match shares.iter_mut().find(|(name, _)| name == zone) {
                Some((_, share)) => *share += 1,
                None => shares.push((zone.clone(), 1)),
            }
        }
        let lot = lot.cloned().unwrap_or(WHOLE.into());
        let (starved, slow) = match service.wants.remove(&lot) {
            Some(want) => (want.starved, want.slow),
            None => (None, BTreeSet::new()),
        };
        service.wants.insert(lot, Want { count, zones: shares, slow, starved });
        service.said = service.said.max(now);
        self.needy.insert(service.spec.name.clone());
    }

    /// The owner of a service, or of its lot, names the workers that are surely slow for it; what it has named before counts no more.
    pub fn set_slow_workers(
        &mut self,
        _now: Nanos,
        service: &str,
        lot: Option<&CompactString>,
        slow: &[CompactString],
    ) {
        let lot = lot.map_or(WHOLE, CompactString::as_str);
        let want = self.services.get_mut(service).and_then(|service| service.wants.get_mut(lot));
        if let Some(want) = want
            && !(slow.is_empty() && want.slow.is_empty())
        {
            want.slow = slow.iter().take(MOST_SLOW).cloned().collect();
        }
    }

    /// Some worker was named slow for this service.
    pub fn has_slow_workers(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|s| s.wants.values().any(|want| !want.slow.is_empty()))
    }

    /// The owner sends no more to it and wants it stopped. It is not replaced before the owner says what it wants again.
    pub fn retire(&mut self, now: Nanos, id: &str) {
        if !self.lives.contains_key(id) {
            // Not known yet, to a successor: a list that shows it must not bring it back.
            let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
            let told = Instance::unknown(id, nowhere, now);
            self.lives.insert(id.into(), Life { phase: Phase::Ended, ..Life::new(told, now) });
        }
        self.want_no_more(now, id);
        self.end(id);
        if self
            .lives
            .get(id)
            .is_some_and(|life| life.halt.is_none_or(|halt| halt.sent.is_none() && halt.due > now))
        {
            self.halt(id, now);
        }
    }

    /// An owner found it dead. Gone until lists read later than this and the lag show it twice.
    pub fn mark_unreachable(&mut self, now: Nanos, id: &str) {
        // One that boots refuses connections.
        if self.lives.get(id).is_some_and(|life| life.shown() && life.told.state != State::Booting) {
            self.doubt(now, id, seen::SEEN_AGAIN);
        }
    }

    /// An owner is connected to it.
    pub fn mark_up(&mut self, now: Nanos, id: &str) {
        let Some(life) = self.lives.get_mut(id) else { return };
        match life.phase {
            Phase::Shown if life.told.state == State::Booting => {}
            Phase::Doubted { .. } if life.halt.is_none() => life.phase = Phase::Shown,
            _ => return,
        }
        if life.told.state == State::Booting {
            life.told.state = State::Ready;
        }
        life.show_by = now + self.terms.lag();
        self.effects.push(Effect::Updated { instance: life.told.clone() });
    }

    /// Decides what to start and stop. Call it after inputs, and at the time that it gives.
    pub fn tick(&mut self, now: Nanos) -> Nanos {
        if now >= self.swept {
            self.sweep(now);
            self.swept = now + SWEEP;
        }
        let mut wake = self.swept;
        let rounds: [(Option<Starts>, Option<Stops>); 4] = [
            (Some(Starts::First), None),
            (None, Some(Stops::Overdue)),
            (Some(Starts::All), None),
            (None, Some(Stops::All)),
        ];
        for (starts, stops) in rounds {
            let done = starts.is_none_or(|which| self.start(now, which, &mut wake))
                && stops.is_none_or(|which| self.stop(now, which, &mut wake));
            if !done {
                return self.swept.min(self.duty.next()).max(now + 1);
            }
        }
        wake.max(now + 1)
    }

    /// What is to be done and told since the last call, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// All instances that are told of, as they are.
    pub fn snapshot(&self) -> Vec<Instance> {
        self.visible_instances().cloned().collect()
    }

    /// The same, one by one.
    pub fn visible_instances(&self) -> impl Iterator<Item = &Instance> {
        self.lives.values().filter(|life| life.shown()).map(|life| &life.told)
    }

    /// A retired instance is one less that is wanted, where it would be replaced.
    fn want_no_more(&mut self, now: Nanos, id: &str) {
        let Some(life) = self.lives.get(id).filter(|life| life.live()) else { return };
        let Some(service) = self.services.get(&life.told.service) else { return };
        let lot = if service.split { life.told.zone.clone() } else { WHOLE.into() };
        let (live, _) = self.stock(now, service, &lot);
        let name = life.told.service.clone();
        if let Some(want) = self.services.get_mut(&name).and_then(|service| service.wants.get_mut(&lot))
            && live <= want.count as usize
        {
            want.count = want.count.saturating_sub(1);
        }
    }

    /// Wants that end, services that nobody speaks for, calls that nobody answers.
    fn sweep(&mut self, now: Nanos) {
        let (want, leave, answer) = (
            self.terms.target_ttl_ms * MS,
            self.terms.unowned_grace_ms * MS,
            self.terms.answer_timeout_ms * MS,
        );
        let (mut ended, mut silent) = (Vec::new(), Vec::new());
        for (name, service) in &mut self.services {
            if now < service.said + want {
                continue;
            }
            if !service.wants.is_empty() {
                service.wants.clear();
                ended.push(name.clone());
            }
            if self.configured && now >= service.said + want + leave {
                let alone = |id: &&CompactString| {
                    self.lives.get(*id).is_some_and(|life| life.live() && now >= life.told.since + leave)
                };
                silent.extend(service.lives.iter().filter(alone).cloned());
            }
        }
        ended.iter().for_each(|name| self.drop_pending(name));
        silent.iter().for_each(|id| self.let_go(now, id));
        self.services.retain(|_, s| s.configured || !s.lives.is_empty() || !s.pending.is_empty());
        let late = |sent: Option<Nanos>| sent.is_some_and(|sent| now >= sent + answer);
        let starts: Vec<_> =
            self.pending.values().filter(|start| late(start.sent)).map(|start| start.nonce.clone()).collect();
        starts.iter().for_each(|nonce| self.start_answered(now, nonce, Err(StartFault::Unclear)));
        let stops = self.lives.iter().filter(|(_, life)| life.halt.is_some_and(|halt| late(halt.sent)));
        let stops: Vec<_> = stops.map(|(id, _)| id.clone()).collect();
        stops.iter().for_each(|id| self.stop_answered(now, id, Err(StopFault::Unclear)));
    }
}

impl Service {
    fn new(spec: ServiceSpec, now: Nanos) -> Self {
        Self {
            spec,
            configured: true,
            wants: BTreeMap::new(),
            split: false,
            said: now,
            inherited: false,
            lives: BTreeSet::new(),
            pending: BTreeSet::new(),
            refusals: 0,
            paused: now,
        }
    }
}
