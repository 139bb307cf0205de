//! The status of functions, for operators. Read only.

use std::net::SocketAddr;
use std::ops::Bound;

use compact_str::CompactString;

use super::{ALL_ZONES, Pending, Scaler, Service, Target};
use crate::instance::{Instance, Phase, State, Stop, TrackedInstance};
use crate::{MS, Nanos};

/// The most starts that are listed for one function.
const MAX_STARTS: usize = 20;
/// The most instances that are listed for one function.
const MAX_INSTANCES: usize = 200;

/// The status of one function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FunctionSummary {
    /// Its name.
    pub name: CompactString,
    /// Whether it is in the configuration.
    pub configured: bool,
    /// How many instances boot.
    pub booting: usize,
    /// How many instances are ready.
    pub ready: usize,
    /// How many instances drain.
    pub draining: usize,
    /// How many instances its owners request in all, and how many milliseconds ago the last request came.
    /// `None` if there is no current request.
    pub wanted: Option<(u32, u64)>,
    /// The targets by zone, if each zone has an owner; else empty.
    pub zone_targets: Vec<ZoneTarget>,
    /// The preferred zones and their shares, largest first.
    pub zones: Vec<(CompactString, u32)>,
    /// The first 20 pending starts.
    pub starts: Vec<PendingStart>,
    /// The number of all pending starts.
    pub starting: usize,
    /// Starts that the platform has refused since the last that succeeded.
    pub refusals: u32,
    /// Why no more instances are started; for several zones, the greatest reason.
    pub hold: HoldReason,
}

/// The target of one zone's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneTarget {
    /// The zone.
    pub zone: CompactString,
    /// How many instances its owner requests.
    pub wanted: u32,
    /// Instances that boot or are ready, and pending starts.
    pub live: usize,
    /// Why no more instances are started.
    pub hold: HoldReason,
}

/// A start that was called and has not succeeded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStart {
    /// The worker it is called on.
    pub worker: CompactString,
    /// The idempotency key, the same for each repetition of the call.
    pub nonce: CompactString,
    /// How many milliseconds ago it was called; `None` while it waits to be called again.
    pub sent_ms_ago: Option<u64>,
    /// How many calls have failed.
    pub failed: u32,
}

/// An instance, with state that is not announced to the proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSummary {
    /// Identifies one run of the instance.
    pub id: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its worker.
    pub worker: CompactString,
    /// Its worker's zone.
    pub zone: CompactString,
    /// `booting`, `ready` or `draining`; or, for an instance that is announced as gone, `doubted` (an owner
    /// could not reach it, or its worker is gone) or `ended` (it is to be stopped, or is stopped and may
    /// still be listed).
    pub state: &'static str,
    /// How many milliseconds ago its start was answered, or it was first listed.
    pub since_ms: u64,
    /// The state of its stop: `due`, `called` or `answered`.
    pub stop: Option<&'static str>,
}

/// Why no more instances of a function are started, in ascending order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// No owner requests any.
    Unwanted,
    /// There are as many as are requested, including those that start.
    Satisfied,
    /// The next start waits for the rate limit.
    RateLimited,
    /// Instances that the previous leader has started may not be listed yet; milliseconds left.
    Settling(u64),
    /// No worker has room.
    NoRoom,
    /// The platform has refused a start; milliseconds until the next try.
    Refused(u64),
    /// No whole list has been read yet.
    NoList,
}

impl HoldReason {
    /// The reason's name in answers to operators.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            HoldReason::Unwanted => "unwanted",
            HoldReason::Satisfied => "enough",
            HoldReason::NoList => "no_list",
            HoldReason::Settling(_) => "settling",
            HoldReason::Refused(_) => "refused",
            HoldReason::NoRoom => "no_room",
            HoldReason::RateLimited => "turn",
        }
    }

    /// The milliseconds that it still lasts, if that is known.
    #[must_use]
    pub fn left_ms(self) -> Option<u64> {
        match self {
            HoldReason::Settling(left) | HoldReason::Refused(left) => Some(left),
            _ => None,
        }
    }
}

impl Scaler {
    /// The status of up to `most` functions in the order of their names, beginning after the name `after` if
    /// given.
    #[must_use]
    pub fn functions(&self, now: Nanos, after: Option<&str>, most: usize) -> Vec<FunctionSummary> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let found = self.services.range::<str, _>((from, Bound::Unbounded)).take(most);
        found.map(|(name, service)| self.summary(now, name, service)).collect()
    }

    /// The status of one function.
    #[must_use]
    pub fn function(&self, now: Nanos, name: &str) -> Option<FunctionSummary> {
        self.services.get_key_value(name).map(|(name, service)| self.summary(now, name, service))
    }

    /// Free memory in MB of each worker that accepts starts; `None` before the first answer about workers.
    #[must_use]
    pub fn free_memory(&self) -> Option<Vec<u64>> {
        self.workers.free_memory()
    }

    /// The first 200 instances of one function, in the order of their ids.
    #[must_use]
    pub fn instances(&self, now: Nanos, function: &str) -> Vec<InstanceSummary> {
        let instances = self.services.get(function).into_iter().flat_map(|service| &service.instances);
        instances
            .filter_map(|id| self.instances.get(id))
            .take(MAX_INSTANCES)
            .map(|tracked| instance_summary(tracked, now))
            .collect()
    }

    /// The function that an instance serves.
    #[must_use]
    pub fn function_of(&self, instance: &str) -> Option<&str> {
        self.instances.get(instance).map(|tracked| tracked.instance.service.as_str())
    }

    fn summary(&self, now: Nanos, name: &CompactString, service: &Service) -> FunctionSummary {
        let visible = service
            .instances
            .iter()
            .filter_map(|id| self.instances.get(id))
            .filter(|tracked| tracked.is_visible());
        let (mut booting, mut ready, mut draining) = (0, 0, 0);
        for tracked in visible {
            match tracked.instance.state {
                State::Booting => booting += 1,
                State::Ready => ready += 1,
                State::Draining => draining += 1,
            }
        }
        let pending_start = |start: &Pending| PendingStart {
            worker: start.worker.clone(),
            nonce: start.nonce.clone(),
            sent_ms_ago: start.sent.map(|sent| now.saturating_sub(sent) / MS),
            failed: start.failed,
        };
        let starts = service.pending.iter().filter_map(|number| self.pending.get(number));
        let mut zones = service.targets.get(ALL_ZONES).map(|target| target.zones.clone()).unwrap_or_default();
        zones.sort_by_key(|(_, share)| std::cmp::Reverse(*share));
        let zone_target = |(zone, target): (&CompactString, &Target)| ZoneTarget {
            zone: zone.clone(),
            wanted: target.count,
            live: self.live_and_missing(now, service, zone).0,
            hold: self.hold(now, name, service, zone),
        };
        let targets: Vec<_> = service.targets.iter().map(zone_target).collect();
        let requested_ms_ago = now.saturating_sub(service.last_request) / MS;
        let sum = targets.iter().fold(0_u32, |sum, target| sum.saturating_add(target.wanted));
        FunctionSummary {
            name: name.clone(),
            configured: service.configured,
            booting,
            ready,
            draining,
            wanted: (!targets.is_empty()).then_some((sum, requested_ms_ago)),
            hold: targets.iter().map(|target| target.hold).max().unwrap_or(HoldReason::Unwanted),
            zone_targets: if service.split { targets } else { Vec::new() },
            zones,
            starts: starts.take(MAX_STARTS).map(pending_start).collect(),
            starting: service.pending.len(),
            refusals: service.refusals,
        }
    }

    fn hold(&self, now: Nanos, name: &str, service: &Service, scope: &str) -> HoldReason {
        let left = |until: Nanos| until.saturating_sub(now).div_ceil(MS);
        let Some(target) = service.targets.get(scope).filter(|target| target.count > 0) else {
            return HoldReason::Unwanted;
        };
        let (live, short) = self.live_and_missing(now, service, scope);
        if live >= target.count as usize {
            return HoldReason::Satisfied;
        }
        if self.listed.is_none() {
            return HoldReason::NoList;
        }
        if service.paused_until > now {
            return HoldReason::Refused(left(service.paused_until));
        }
        if short == 0 {
            return HoldReason::Settling(left(self.settled_at(service)));
        }
        if self.pick_worker(name, scope).is_none() { HoldReason::NoRoom } else { HoldReason::RateLimited }
    }
}

fn instance_summary(tracked: &TrackedInstance, now: Nanos) -> InstanceSummary {
    let Instance { id, address, worker, zone, since, .. } = tracked.instance.clone();
    let state = match (tracked.phase, tracked.instance.state) {
        (Phase::Suspect { .. }, _) => "doubted",
        (Phase::Ended, _) => "ended",
        (Phase::Visible, State::Booting) => "booting",
        (Phase::Visible, State::Ready) => "ready",
        (Phase::Visible, State::Draining) => "draining",
    };
    let stop = tracked.stop.map(|stop| match stop {
        Stop { answered: Some(_), .. } => "answered",
        Stop { sent: Some(_), .. } => "called",
        _ => "due",
    });
    InstanceSummary { id, address, worker, zone, state, since_ms: now.saturating_sub(since) / MS, stop }
}
