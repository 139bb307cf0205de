//! How functions stand, for people: a view that changes nothing.

use std::net::SocketAddr;
use std::ops::Bound;

use compact_str::CompactString;

use super::{Pending, Scaler, Service, WHOLE, Want};
use crate::life::{Halt, Instance, Life, Phase, State};
use crate::{MS, Nanos};

/// Starts that are told of one function.
const STARTS: usize = 20;
/// Instances that are told of one function.
const INSTANCES: usize = 200;

/// How one function stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FunctionSummary {
    /// Its name.
    pub name: CompactString,
    /// Whether it is in the configuration.
    pub configured: bool,
    /// Instances that boot, that are ready, and that drain.
    pub booting: usize,
    #[allow(missing_docs)]
    pub ready: usize,
    #[allow(missing_docs)]
    pub draining: usize,
    /// What its owners want, and how many milliseconds ago one spoke last; none where nobody has spoken for it lately.
    pub wanted: Option<(u32, u64)>,
    /// Its lots, where each zone has an owner.
    pub zone_targets: Vec<ZoneTarget>,
    /// The zones that its requests come from, and their shares; most first.
    pub zones: Vec<(CompactString, u32)>,
    /// Starts that are called or are to be called again: the first 20.
    pub starts: Vec<PendingStart>,
    /// All of those.
    pub starting: usize,
    /// Starts that the platform has refused since one went well.
    pub refusals: u32,
    /// Why there are no more instances; of several lots the one that is held most.
    pub hold: HoldReason,
}

/// A zone's part of a function that has an owner in each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneTarget {
    /// The zone.
    pub zone: CompactString,
    /// What its owner wants.
    pub wanted: u32,
    /// Instances that boot or are ready, and starts.
    pub live: usize,
    /// Why there are no more.
    pub hold: HoldReason,
}

/// A start that is called or is to be called again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStart {
    /// Where.
    pub worker: CompactString,
    /// The same for each repetition.
    pub nonce: CompactString,
    /// How many milliseconds ago it was called; none while it waits to be called again.
    pub sent_ms_ago: Option<u64>,
    /// How often it was called in vain.
    pub failed: u32,
}

/// An instance, with what is not told to stalls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSummary {
    /// Names one life.
    pub id: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its worker.
    pub worker: CompactString,
    /// Its worker's zone.
    pub zone: CompactString,
    /// `booting`, `ready` or `draining`; to stalls it is gone where it is `doubted` (an owner found it dead, or lists miss it) or
    /// `ended` (it is to be stopped, or is stopped and may still be listed).
    pub state: &'static str,
    /// How many milliseconds ago its start was answered, or it was first seen.
    pub since_ms: u64,
    /// Its stop: `due`, `called` or `answered`.
    pub stop: Option<&'static str>,
}

/// Why there are no more instances of a function; what holds most is last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldReason {
    /// Nobody wants any.
    Unwanted,
    /// There are as many as are wanted, with those that start.
    Satisfied,
    /// Starts and stops are called as fast as may be: it waits for its turn.
    RateLimited,
    /// What the steward before has started may not show yet; for so many milliseconds.
    Settling(u64),
    /// No worker has room.
    NoRoom,
    /// The platform has refused a start; the next try is in so many milliseconds.
    Refused(u64),
    /// No whole list was read yet.
    NoList,
}

impl HoldReason {
    /// The word for it.
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

    /// How many milliseconds it lasts, where that is known.
    #[must_use]
    pub fn left_ms(self) -> Option<u64> {
        match self {
            HoldReason::Settling(left) | HoldReason::Refused(left) => Some(left),
            _ => None,
        }
    }
}

impl Scaler {
    /// How functions stand, in the order of their names: so many after a name, or from the first one.
    #[must_use]
    pub fn functions(&self, now: Nanos, after: Option<&str>, most: usize) -> Vec<FunctionSummary> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let found = self.services.range::<str, _>((from, Bound::Unbounded)).take(most);
        found.map(|(name, service)| self.standing(now, name, service)).collect()
    }

    /// How one function stands.
    #[must_use]
    pub fn function(&self, now: Nanos, name: &str) -> Option<FunctionSummary> {
        self.services.get_key_value(name).map(|(name, service)| self.standing(now, name, service))
    }

    /// Memory that is free on each worker that takes starts, in MB; none where no answer told of workers yet.
    #[must_use]
    pub fn free_memory(&self) -> Option<Vec<u64>> {
        self.fleet.room()
    }

    /// The instances of one function, the first 200 by their ids.
    #[must_use]
    pub fn instances(&self, now: Nanos, function: &str) -> Vec<InstanceSummary> {
        let lives = self.services.get(function).into_iter().flat_map(|service| &service.lives);
        lives.filter_map(|id| self.lives.get(id)).take(INSTANCES).map(|life| seen(life, now)).collect()
    }

    /// The function of an instance.
    #[must_use]
    pub fn function_of(&self, instance: &str) -> Option<&str> {
        self.lives.get(instance).map(|life| life.told.service.as_str())
    }

    fn standing(&self, now: Nanos, name: &CompactString, service: &Service) -> FunctionSummary {
        let shown = service.lives.iter().filter_map(|id| self.lives.get(id)).filter(|life| life.shown());
        let (mut booting, mut ready, mut draining) = (0, 0, 0);
        for life in shown {
            match life.told.state {
                State::Booting => booting += 1,
                State::Ready => ready += 1,
                State::Draining => draining += 1,
            }
        }
        let starting = |start: &Pending| PendingStart {
            worker: start.worker.clone(),
            nonce: start.nonce.clone(),
            sent_ms_ago: start.sent.map(|sent| now.saturating_sub(sent) / MS),
            failed: start.failed,
        };
        let starts = service.pending.iter().filter_map(|number| self.pending.get(number));
        let mut zones = service.wants.get(WHOLE).map(|want| want.zones.clone()).unwrap_or_default();
        zones.sort_by_key(|(_, share)| std::cmp::Reverse(*share));
        let lot = |(zone, want): (&CompactString, &Want)| ZoneTarget {
            zone: zone.clone(),
            wanted: want.count,
            live: self.stock(now, service, zone).0,
            hold: self.hold(now, name, service, zone),
        };
        let lots: Vec<_> = service.wants.iter().map(lot).collect();
        let said = now.saturating_sub(service.said) / MS;
        let sum = lots.iter().fold(0_u32, |sum, lot| sum.saturating_add(lot.wanted));
        FunctionSummary {
            name: name.clone(),
            configured: service.configured,
            booting,
            ready,
            draining,
            wanted: (!lots.is_empty()).then_some((sum, said)),
            hold: lots.iter().map(|lot| lot.hold).max().unwrap_or(HoldReason::Unwanted),
            zone_targets: if service.split { lots } else { Vec::new() },
            zones,
            starts: starts.take(STARTS).map(starting).collect(),
            starting: service.pending.len(),
            refusals: service.refusals,
        }
    }

    fn hold(&self, now: Nanos, name: &str, service: &Service, lot: &str) -> HoldReason {
        let left = |until: Nanos| until.saturating_sub(now).div_ceil(MS);
        let Some(want) = service.wants.get(lot).filter(|want| want.count > 0) else {
            return HoldReason::Unwanted;
        };
        let (live, short) = self.stock(now, service, lot);
        if live >= want.count as usize {
            return HoldReason::Satisfied;
        }
        if self.listed.is_none() {
            return HoldReason::NoList;
        }
        if service.paused > now {
            return HoldReason::Refused(left(service.paused));
        }
        if short == 0 {
            return HoldReason::Settling(left(self.settled(service)));
        }
        if self.place(name, lot).is_none() { HoldReason::NoRoom } else { HoldReason::RateLimited }
    }
}

fn seen(life: &Life, now: Nanos) -> InstanceSummary {
    let Instance { id, address, worker, zone, since, .. } = life.told.clone();
    let state = match (life.phase, life.told.state) {
        (Phase::Doubted { .. }, _) => "doubted",
        (Phase::Ended, _) => "ended",
        (Phase::Shown, State::Booting) => "booting",
        (Phase::Shown, State::Ready) => "ready",
        (Phase::Shown, State::Draining) => "draining",
    };
    let stop = life.halt.map(|halt| match halt {
        Halt { answered: Some(_), .. } => "answered",
        Halt { sent: Some(_), .. } => "called",
        _ => "due",
    });
    InstanceSummary { id, address, worker, zone, state, since_ms: now.saturating_sub(since) / MS, stop }
}
