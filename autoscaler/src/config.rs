//! What the platform allows, and the scaler's own times.

use crate::{MS, Nanos};

/// What a [`crate::Scaler`] goes by. [`ScalerConfig::new`] gives the usual times.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalerConfig {
    /// The fence of the lease: one more than the holder's before.
    pub fence: u64,
    /// Starts and stops a second that the platform takes from all.
    pub duty_per_s: f64,
    /// How far the list of endpoints and the workers may lag.
    pub max_lag_ms: u64,
    /// What an owner wants ends if it isn't repeated for this long.
    pub target_ttl_ms: u64,
    /// Instances of a service that nobody speaks for are left alone for this long after the last want has ended.
    pub unowned_grace_ms: u64,
    /// From the word `draining` to the stop, where the owner doesn't retire the instance sooner.
    pub drain_ms: u64,
    /// The first pause before a call is repeated; it doubles.
    pub retry_ms: u64,
    /// The longest pause before a call is repeated.
    pub retry_max_ms: u64,
    /// A call without an answer after this long counts as unclear.
    pub answer_timeout_ms: u64,
    /// What was started is gone if the list doesn't show it after this many average starts and the lag.
    pub boots: u64,
    /// For this many average starts and the lag, a successor gives no service more than one instance: what its predecessor
    /// has started may not show before.
    pub settle_boots: u64,
}

impl ScalerConfig {
    /// The usual times.
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

    /// The pause before a call is repeated that has failed so many times.
    pub(crate) fn pause(&self, failed: u32) -> Nanos {
        (self.retry_ms << failed.saturating_sub(1).min(16)).min(self.retry_max_ms) * MS
    }
}
