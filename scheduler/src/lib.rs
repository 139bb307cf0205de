//! Who owns a function decides here which request goes to which of its instances, and when: its slots, its queue, the averages of
//! its instances, the budget of further tries and how many instances it needs. No I/O, no clock, no randomness but a seed.
//!
//! A request is a permit: [`Scheduler::request_permit`] queues it, [`Effect::Grant`] names an instance, [`Scheduler::release`] gives the slot back.

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

/// A millisecond in [`Nanos`].
pub const MS: Nanos = 1_000_000;
/// A second in [`Nanos`].
pub const SECOND: Nanos = 1_000 * MS;

/// What an ask, its grant and its end take of the owner's link in one direction, in bytes,
const REQUEST_BYTES: f64 = 800.0;
/// ... and of its processor, in seconds.
const REQUEST_CPU_SECONDS: f64 = 0.000_25;

/// First asks a second that would take all of an owner's link or processors, if it did nothing else.
pub fn max_requests_per_s(link_mbps: f64, processors: f64) -> f64 {
    let by_link = link_mbps * 1e6 / 8.0 / REQUEST_BYTES;
    by_link.min(processors / REQUEST_CPU_SECONDS).max(1.0)
}

/// What the configuration says of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct FunctionSpec {
    /// The service's name.
    pub name: compact_str::CompactString,
    /// Requests that one instance may hold at once, at least 1.
    pub concurrency: u32,
    /// The average time of a start.
    pub startup_time: Nanos,
    /// What one instance takes, in MB.
    pub memory_mb: u64,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    /// The asker's own number for it, never used twice in one of its lives.
    pub id: u64,
    /// The function.
    pub service: compact_str::CompactString,
    /// Until when its client waits.
    pub deadline: Nanos,
    /// Until when an answer earns all it is worth, by the client's first try.
    pub soft_deadline: Nanos,
    /// The whole time inside which an answer earns its full worth.
    pub target: Nanos,
    /// Tries of it that were sent already.
    pub attempts_sent: u32,
    /// It has been here before, or was made by a request that is running: turning it away costs more than its own worth.
    pub returned: bool,
    /// Instances that have failed it.
    pub avoid: Vec<compact_str::CompactString>,
    /// The zone in which it came in.
    pub zone: compact_str::CompactString,
}
