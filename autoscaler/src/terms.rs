//! What the platform allows, and the scaler's own times.

use crate::{MS, Nanos};

/// What a [`crate::Scaler`] goes by. [`Terms::new`] gives the usual times.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The fence of the lease: one more than the holder's before.
    pub fence: u64,
    /// Starts and stops a second that the platform takes from all.
    pub duty_per_s: f64,
    /// How far the list of endpoints and the workers may lag.
    pub max_lag_ms: u64,
    /// What an owner wants ends if it isn't repeated for this long.
    pub want_ms: u64,
    /// Instances of a service that nobody speaks for are left alone for this long after the last want has ended.
    pub leave_ms: u64,
    /// From the word `draining` to the stop, where the owner doesn't retire the instance sooner.
    pub let_go_ms: u64,
    /// The first pause before a call is repeated; it doubles.
    pub pause_ms: u64,
    /// The longest pause before a call is repeated.
    pub pause_max_ms: u64,
    /// A call without an answer after this long counts as unclear.
    pub answer_ms: u64,
    /// What was started is gone if the list doesn't show it after this many average starts and the lag.
    pub boots: u64,
    /// For this many average starts and the lag, a successor gives no service more than one instance: what its predecessor
    /// has started may not show before.
    pub settle_boots: u64,
}

impl Terms {
    /// The usual times.
    pub fn new(fence: u64, duty_per_s: f64, max_lag_ms: u64) -> Self {
        Self {
            fence,
            duty_per_s,
            max_lag_ms,
            want_ms: 5_000,
            leave_ms: 10_000,
            let_go_ms: 1_000,
            pause_ms: 30,
            pause_max_ms: 500,
            answer_ms: 10_000,
            boots: 6,
            settle_boots: 2,
        }
    }

    pub(crate) fn lag(&self) -> Nanos {
        self.max_lag_ms * MS
    }

    /// The pause before a call is repeated that has failed so many times.
    pub(crate) fn pause(&self, failed: u32) -> Nanos {
        (self.pause_ms << failed.saturating_sub(1).min(16)).min(self.pause_max_ms) * MS
    }
}
