//! The platform's limits and the scaler's own timeouts.

use crate::{MS, Nanos};

/// Parameters of a [`crate::Scaler`]. [`ScalerConfig::new`] sets the default timeouts.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalerConfig {
    /// The fence of the lease: one more than the previous holder's.
    pub fence: u64,
    /// Starts and stops per second that the platform accepts from all callers.
    pub duty_per_s: f64,
    /// How far the lists of endpoints and workers may lag.
    pub max_lag_ms: u64,
    /// An owner's target expires if it is not repeated within this time.
    pub target_ttl_ms: u64,
    /// Instances of a service without an owner are left alone for this long after the last target has
    /// expired.
    pub unowned_grace_ms: u64,
    /// The time from announcing an instance as draining to its stop, if the owner does not retire it sooner.
    pub drain_ms: u64,
    /// The first pause before a call is repeated; it doubles with each failure.
    pub retry_ms: u64,
    /// The longest pause before a call is repeated.
    pub retry_max_ms: u64,
    /// A call without an answer after this long counts as [`crate::StartFault::Unclear`].
    pub answer_timeout_ms: u64,
    /// A started instance is gone if the list does not show it after this many average starts plus the lag.
    pub boots: u64,
    /// For this many average starts plus the lag, a new leader gives each service at most one instance:
    /// instances that its predecessor has started may not be listed before.
    pub settle_boots: u64,
}

impl ScalerConfig {
    /// The default timeouts.
    pub fn new(fence: u64, duty_per_s: f64, max_lag_ms: u64) -> Self {
        Self {
            fence,
            duty_per_s,
            max_lag_ms,
            target_ttl_ms: 5_000,
            unowned_grace_ms: 10_000,
            drain_ms: 1_000,
            retry_ms: 30,
            retry_max_ms: 500,
            answer_timeout_ms: 10_000,
            boots: 6,
            settle_boots: 2,
        }
    }

    pub(crate) fn lag(&self) -> Nanos {
        self.max_lag_ms * MS
    }

    /// The pause before a call is repeated that has failed this many times.
    pub(crate) fn retry_pause(&self, failed: u32) -> Nanos {
        (self.retry_ms << failed.saturating_sub(1).min(16)).min(self.retry_max_ms) * MS
    }
}
