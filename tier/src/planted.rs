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
