//! One instance, from the call that starts it or the list that first shows it until no list shows it any
//! more.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::Nanos;

/// An instance as it is announced to the proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Identifies one run of the instance: no other start gets the same id.
    pub id: CompactString,
    /// The service that it serves.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// The worker's zone.
    pub zone: CompactString,
    /// The worker that it runs on.
    pub worker: CompactString,
    /// Whether requests may be sent to it.
    pub state: State,
    /// The average time that a start of its service takes.
    pub boot_ms: u32,
    /// When its start was answered, or it was first listed, by the leader's clock.
    pub since: Nanos,
}

impl Instance {
    /// A placeholder for an instance of which only the id is known.
    pub(crate) fn unknown(id: &str, address: SocketAddr, now: Nanos) -> Self {
        let none = CompactString::default();
        Self {
            id: id.into(),
            service: none.clone(),
            address,
            zone: none.clone(),
            worker: none,
            state: State::Draining,
            boot_ms: 0,
            since: now,
        }
    }
}

/// Whether requests may be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Started, but not seen up yet: it may refuse connections.
    Booting,
    /// Up.
    Ready,
    /// Gets no new requests and does not count towards an owner's target.
    Draining,
}

/// Why an instance drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainCause {
    /// The platform lists it as draining.
    Listed,
    /// Its worker drains.
    Worker,
    /// The scaler decided to stop it.
    Scaler,
}

/// Whether an instance is announced to the proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Announced.
    Visible,
    /// Announced as gone at `at`; visible again once `need` lists read later than that and the lag show it.
    Suspect { at: Nanos, need: u32, seen: u32 },
    /// Announced as gone for good; kept so that a list that lags does not bring it back.
    Ended,
}

/// A stop that is scheduled, called or answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Stop {
    /// When it is to be called.
    pub(crate) due: Nanos,
    /// Failed calls so far.
    pub(crate) failed: u32,
    /// When it was called, while there is no answer.
    pub(crate) sent: Option<Nanos>,
    pub(crate) answered: Option<Nanos>,
}

/// An instance with what the scaler knows beyond the announcement.
#[derive(Debug)]
pub(crate) struct TrackedInstance {
    pub(crate) instance: Instance,
    pub(crate) phase: Phase,
    pub(crate) drain_cause: Option<DrainCause>,
    /// A list read later than this shows it, or it is gone.
    pub(crate) listed_by: Nanos,
    /// When the newest list that showed it was requested.
    pub(crate) last_listed: Option<Nanos>,
    /// How often it has become [`Phase::Suspect`].
    pub(crate) suspicions: u32,
    pub(crate) stop: Option<Stop>,
}

impl TrackedInstance {
    pub(crate) fn new(instance: Instance, listed_by: Nanos) -> Self {
        Self {
            instance,
            phase: Phase::Visible,
            drain_cause: None,
            listed_by,
            last_listed: None,
            suspicions: 0,
            stop: None,
        }
    }

    pub(crate) fn is_visible(&self) -> bool {
        self.phase == Phase::Visible
    }

    /// Whether it counts towards an owner's target.
    pub(crate) fn is_live(&self) -> bool {
        self.is_visible() && self.instance.state != State::Draining
    }

    /// Whether it can be forgotten, given that a list requested at `asked_at` does not show it.
    pub(crate) fn is_over(&self, asked_at: Nanos, lag: Nanos) -> bool {
        match (self.phase, self.stop) {
            (Phase::Visible, _) => asked_at > self.listed_by,
            (Phase::Suspect { at, .. }, _) => asked_at > self.listed_by.max(at),
            (Phase::Ended, Some(Stop { answered: Some(at), .. })) => asked_at > at + lag,
            // An instance that was never listed may still come up, so its stop has to be answered first.
            (Phase::Ended, Some(_)) => self.last_listed.is_some() && asked_at > self.listed_by,
            (Phase::Ended, None) => true,
        }
    }
}
