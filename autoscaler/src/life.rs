//! One instance, from the call that starts it or the list that shows it until nothing shows it any more.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::Nanos;

/// What is told of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Names one life: no other start has it.
    pub id: CompactString,
    /// The service that it serves.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// The worker's zone.
    pub zone: CompactString,
    /// The worker that it dies with.
    pub worker: CompactString,
    /// Whether requests may be sent.
    pub state: State,
    /// The average time that a start of its service takes.
    pub boot_ms: u32,
    /// When the start was answered, or the instance first seen, by the steward's clock.
    pub since: Nanos,
}

impl Instance {
    /// One of which only the name is known.
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
    /// Started, and not seen up yet: it may refuse connections.
    Booting,
    /// Up.
    Ready,
    /// No more requests; it counts for nothing any more.
    Draining,
}

/// Why an instance drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    Listed,
    Worker,
    Ours,
}

/// What stands behind what is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Told as it is.
    Shown,
    /// Told as gone; back if lists read late enough go on showing it.
    Doubted { at: Nanos, need: u32, seen: u32 },
    /// Told as gone for good; kept so that a list that lags doesn't bring it back.
    Ended,
}

/// A stop that is due, called or answered.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Halt {
    pub(crate) due: Nanos,
    pub(crate) failed: u32,
    /// Called then, and not answered yet.
    pub(crate) sent: Option<Nanos>,
    pub(crate) answered: Option<Nanos>,
}

#[derive(Debug)]
pub(crate) struct Life {
    pub(crate) told: Instance,
    pub(crate) phase: Phase,
    pub(crate) cause: Option<Cause>,
    /// A list read later than this shows it, or it is gone.
    pub(crate) show_by: Nanos,
    /// The newest list that showed it was read then.
    pub(crate) seen: Option<Nanos>,
    pub(crate) losses: u32,
    pub(crate) halt: Option<Halt>,
}

impl Life {
    pub(crate) fn new(told: Instance, show_by: Nanos) -> Self {
        Self { told, phase: Phase::Shown, cause: None, show_by, seen: None, losses: 0, halt: None }
    }

    pub(crate) fn shown(&self) -> bool {
        self.phase == Phase::Shown
    }

    /// Counts towards what an owner wants.
    pub(crate) fn live(&self) -> bool {
        self.shown() && self.told.state != State::Draining
    }

    /// A list read at `asked_at` doesn't show it: nothing does any more.
    pub(crate) fn over(&self, asked_at: Nanos, lag: Nanos) -> bool {
        match (self.phase, self.halt) {
            (Phase::Shown, _) => asked_at > self.show_by,
            (Phase::Doubted { at, .. }, _) => asked_at > self.show_by.max(at),
            (Phase::Ended, Some(Halt { answered: Some(at), .. })) => asked_at > at + lag,
            // What was never seen may still come up: it is stopped first.
            (Phase::Ended, Some(_)) => self.seen.is_some() && asked_at > self.show_by,
            (Phase::Ended, None) => true,
        }
    }
}
