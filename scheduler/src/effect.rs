//! Effects of scheduling decisions, and the limits set for the scheduler.

use compact_str::CompactString;
use millpost_protocol::FunctionStatus;

use crate::Nanos;
use crate::instance::Instance;

/// Limits of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerLimits {
    /// Maximum retries per request within the window.
    pub retry_ratio: f64,
    /// Length of the retry window.
    pub retry_window: Nanos,
    /// Retries allowed in addition, per window.
    pub retry_slack: f64,
    /// Rate of first permit requests, per second, that takes up the whole capacity of this proxy as an
    /// owner.
    pub requests_per_s: f64,
    /// Whether worker speed is estimated from response times and instances on slow workers are ranked
    /// last.
    pub rank_by_latency: bool,
}

/// Reason for denying a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// No slot becomes free in time; one may be free after this duration.
    Full(Nanos),
    /// Retry suppressed: request again at the next retry time.
    Skip,
    /// The retry budget is used up.
    Spent,
    /// The function is not known here.
    Unknown,
    /// The function was removed from the configuration: resolve the route again.
    Moved,
}

impl DenialReason {
    /// Name used in messages between processes and in output for people.
    pub fn as_str(self) -> &'static str {
        match self {
            DenialReason::Full(_) => "full",
            DenialReason::Skip => "skip",
            DenialReason::Spent => "spent",
            DenialReason::Unknown => "unknown",
            DenialReason::Moved => "moved",
        }
    }
}

/// Effect of a scheduling decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Grants a permit for this instance.
    Grant {
        /// Requesting proxy.
        to: CompactString,
        /// Request id.
        request_id: u64,
        /// Granted instance.
        instance: Instance,
    },
    /// Denies a permit.
    Refuse {
        /// Requesting proxy.
        to: CompactString,
        /// Request id.
        request_id: u64,
        /// Reason of the denial.
        reason: DenialReason,
    },
    /// The request is queued.
    Queued {
        /// Requesting proxy.
        to: CompactString,
        /// Request id.
        request_id: u64,
    },
    /// Reports the instance target of a function.
    SetInstanceTarget {
        /// Name of the function.
        service: CompactString,
        /// Target number of live instances.
        count: u32,
        /// Zones in which requests arrive, the busiest first.
        zones: Vec<CompactString>,
        /// Fraction of this proxy's capacity that the function uses.
        load: f64,
        /// Status of the function, while a minimum instance count is set.
        status: Option<FunctionStatus>,
        /// Workers that are significantly slow for the function.
        slow_workers: Vec<CompactString>,
    },
    /// The instance receives no more requests and may be stopped.
    Retire(CompactString),
    /// The instance is dead.
    ReportLost(CompactString),
    /// Find out when this instance accepts connections.
    ProbeReadiness {
        /// Instance to probe.
        instance: Instance,
        /// Earliest time to start.
        from: Nanos,
    },
}
