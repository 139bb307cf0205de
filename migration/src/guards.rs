//! Safety checks that tests disable one at a time to verify that the oracle notices. All are active outside
//! of tests.

/// A safety check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A new leader waits until it has had time to hear from all proxies.
    HearAllProxies,
    /// A step waits until all connected proxies apply the previous one.
    AllProxiesApply,
    /// A configuration only replaces the base of its put.
    Base,
    /// The outcome of a put is decided before its move ends.
    PutDecided,
    /// An action is in the durable record before it is published.
    #[cfg(test)]
    Durable,
    /// A revision is used at most once.
    UniqueRevision,
    /// A route of an open move is part of no other move.
    DisjointRoutes,
    /// At most one move is active at a time.
    OneActiveMove,
    /// A record only replaces the version it was derived from; enforced by the simulated register of the
    /// tests.
    #[cfg(test)]
    Version,
    /// Nothing is published while an earlier write of unknown outcome may still be applied.
    NoUnresolvedWrite,
    /// Nothing is written or published without the lease.
    Lease,
    /// An operator's configuration that assigns routes to other services ends the move.
    Superseded,
    /// The side that lost the traffic has time for its longest request.
    Settle,
    /// A target past its latency threshold gets no further load.
    Pace,
    /// A move that exceeds its bounds rolls back.
    Bounds,
}

#[cfg(test)]
thread_local! {
    static DISABLED: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub(crate) fn is_disabled(guard: Guard) -> bool {
    DISABLED.get() == Some(guard)
}

#[cfg(not(test))]
pub(crate) const fn is_disabled(_: Guard) -> bool {
    false
}

/// Disables a guard on this thread; `None` enables all.
#[cfg(test)]
pub(crate) fn disable(guard: Option<Guard>) {
    DISABLED.set(guard);
}
