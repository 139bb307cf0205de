//! Faults that can be planted: tests that pass with one of them in place prove nothing.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A borrower forgets that what it borrowed ends.
    ForgetEnds,
    /// Even parts go by the number of dispatchers that are heard.
    SharesByHeard,
    /// One witness is enough to avoid an endpoint.
    OneWitness,
    /// A lender that was started anew does not wait for what it may have lent before.
    ForgetLent,
    /// A lender waits no longer than the borrower, whatever their clocks.
    NoMargin,
    /// A grant that comes twice is taken twice.
    LendTwice,
    /// An old piece of evidence is taken as new.
    ReviveOld,
    /// Most of those that are heard can find another behind.
    MostOfHeard,
    /// Votes stand against a dispatcher whatever it has moved to since.
    StaleVotes,
    /// Of a word that is said again it is forgotten that its content has been held for longer by then.
    HeldOnce,
    /// As many are shut out as are behind.
    NobodyServes,
    /// An older word takes the place of a newer one.
    OldWord,
    /// A drain is lifted by hearsay.
    LiftByHearsay,
    /// One that is shut out takes messages all the same.
    TakeWhileOut,
    /// One that is shut out lends all the same, and is lent to.
    LendWhileOut,
    /// Calls go to endpoints that drain.
    CallDrained,
    /// A list that is older than the one in force is taken for a newer one.
    OldList,
}

/// The fault that is in place, if any; nothing at all without the feature.
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
