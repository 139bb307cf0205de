//! Faults that tests can plant, to prove that the checks detect them.

/// A fault in the implementation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A borrower uses a borrowed share after its end.
    ForgetEnds,
    /// Even shares are computed from the number of live dispatchers.
    SharesByHeard,
    /// One witness suffices to avoid an endpoint.
    OneWitness,
    /// A restarted lender ignores that it may have lent shares before.
    ForgetLent,
    /// A lender waits no longer than the borrower, without a margin for clock rates.
    NoMargin,
    /// A repeated grant is accepted twice.
    LendTwice,
    /// An old observation is accepted as new.
    ReviveOld,
    /// A majority of the live dispatchers, not of the configured ones, can find another behind.
    MostOfHeard,
    /// Votes against a dispatcher remain after it has switched to another version.
    StaleVotes,
    /// A repeated report does not update how long its versions have been in use.
    HeldOnce,
    /// All dispatchers that are behind are shut out.
    NobodyServes,
    /// An older endpoint record replaces a newer one.
    OldWord,
    /// A drain is lifted by another dispatcher's record.
    LiftByHearsay,
    /// A dispatcher that is shut out accepts messages.
    TakeWhileOut,
    /// A dispatcher that is shut out lends and borrows.
    LendWhileOut,
    /// Calls are sent to draining endpoints.
    CallDrained,
    /// A list that is older than the current one is accepted as newer.
    OldList,
}

/// The planted fault, if any; zero-sized without the `faults` feature.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Planted {
    #[cfg(feature = "faults")]
    pub fault: Option<Fault>,
}

impl Planted {
    #[cfg(feature = "faults")]
    pub fn has(self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
    #[cfg(not(feature = "faults"))]
    #[inline(always)]
    pub fn has(self, _: Fault) -> bool {
        false
    }
}
