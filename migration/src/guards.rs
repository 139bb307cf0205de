//! Guards that tests take out, one at a time, to see that something breaks without them. Outside of tests each stands.

/// A guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guard {
    /// A new holder waits until it may have heard of all proxies.
    HearAll,
    /// A step waits until all in touch act on the one before.
    AllAct,
    /// A configuration is written over the base of its put only.
    Base,
    /// A put is decided before a move ends.
    Decided,
    /// What goes outward stands in the record first.
    #[cfg(test)]
    Durable,
    /// A number is used once.
    Burned,
    /// Routes that an open move holds go with no other.
    Crossing,
    /// One move at a time is out.
    Turns,
    /// A record is written over the version it was decided on only; played by the register of the tests.
    #[cfg(test)]
    Version,
    /// Nothing goes outward while something that was offered before may still come to stand.
    Firm,
    /// Nothing is said or done without the lease.
    Lease,
    /// An operator's configuration that puts routes elsewhere ends the move.
    Superseded,
    /// The side that was left has the time of its longest request.
    Settle,
    /// A target past its thresholds takes no load.
    Pace,
    /// A move that passes its bounds turns back.
    Bounds,
}

#[cfg(test)]
thread_local! {
    static OUT: std::cell::Cell<Option<Guard>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub(crate) fn is_disabled(guard: Guard) -> bool {
    OUT.get() == Some(guard)
}

#[cfg(not(test))]
pub(crate) const fn is_disabled(_: Guard) -> bool {
    false
}

/// Takes a guard out on this thread, or puts it back.
#[cfg(test)]
pub(crate) fn disable(guard: Option<Guard>) {
    OUT.set(guard);
}
