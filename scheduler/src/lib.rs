//! Request scheduling at the proxy that owns a function: which request goes to which instance and when,
//! based on concurrency slots, a queue, latency averages and a retry budget, and how many instances the
//! function needs. Performs no I/O and reads no clock; randomness comes from a seed only.
//!
//! A request needs a permit: [`Scheduler::request_permit`] queues it, [`Effect::Grant`] assigns an
//! instance and [`Scheduler::release`] frees the slot.

mod attempt_timeouts;
mod budget;
mod coordinator;
mod counts;
mod demand;
mod effect;
mod function;
mod instance;
mod owner_ranking;
mod owners;
mod reason;
pub mod recording;
mod request_flow;
mod retry_schedule;
mod service;
mod shutdown;
pub mod trace;

pub use attempt_timeouts::AttemptTimeouts;
pub use coordinator::{Action, Coordinator, OpenRequest};
pub use counts::Counts;
pub use effect::{DenialReason, Effect, SchedulerLimits};
pub use function::{Released, Scheduler, Transfer};
pub use instance::{Instance, Stage};
pub use owner_ranking::OwnerRanking;
pub use owners::{Owners, OwnershipChange, Peer};
pub use reason::{Reason, RequestDecision};
pub use recording::RecordedCoordinator;
pub use request_flow::{ClientTimeouts, FlowStep, Refusal, RequestFlow, RequestInfo};
pub use retry_schedule::{Outcome, RetryDecision, RetrySchedule, first_retry_delay};
pub use shutdown::ShutdownPhase;
pub use trace::TraceEvent;

pub use millpost::api::Nanos;
pub use millpost_protocol::line::Sink;

/// Nanoseconds per millisecond.
pub const MS: Nanos = 1_000_000;
/// Nanoseconds per second.
pub const SECOND: Nanos = 1_000 * MS;

/// Bytes that one permit request, its grant and its release take on the owner's link, per direction.
const REQUEST_BYTES: f64 = 800.0;
/// Processor seconds that one permit request, its grant and its release take at the owner.
const REQUEST_CPU_SECONDS: f64 = 0.000_25;

/// Maximum rate of first permit requests, per second, that an owner's link or processors could handle if
/// it did nothing else.
pub fn max_requests_per_s(link_mbps: f64, processors: f64) -> f64 {
    let by_link = link_mbps * 1e6 / 8.0 / REQUEST_BYTES;
    by_link.min(processors / REQUEST_CPU_SECONDS).max(1.0)
}

/// Configuration of one function.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSpec {
    /// Name of the function.
    pub name: compact_str::CompactString,
    /// Maximum number of concurrent requests per instance, at least 1.
    pub concurrency: u32,
    /// Average startup time of an instance.
    pub startup_time: Nanos,
    /// Memory per instance, in MB.
    pub memory_mb: u64,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// Id chosen by the requesting proxy; unique within one incarnation of that proxy.
    pub id: u64,
    /// Name of the function.
    pub service: compact_str::CompactString,
    /// Time after which the client no longer waits for an answer.
    pub deadline: Nanos,
    /// Time until which an answer has its full value, counted from the client's first attempt.
    pub soft_deadline: Nanos,
    /// Duration within which an answer has its full value.
    pub target: Nanos,
    /// Number of attempts already sent for this request.
    pub attempts_sent: u32,
    /// The client has retried this request, or a running request made it. Denying it costs more than the
    /// request itself is worth.
    pub returned: bool,
    /// Instances on which this request has failed.
    pub avoid: Vec<compact_str::CompactString>,
    /// Zone in which the request arrived.
    pub zone: compact_str::CompactString,
}
