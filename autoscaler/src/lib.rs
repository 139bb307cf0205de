//! Decides when and where instances of functions start and stop. No I/O, no clock, no randomness.
//!
//! The leader, the controller that holds the lease, runs one [`Scaler`]. It passes in the platform's lists
//! and answers and the requests of the functions' owners, calls [`Scaler::tick`] after each batch of inputs
//! and at the time that the last tick returned, and carries out the effects that [`Scaler::take`] returns.
//!
//! - [`config`]: the platform's limits and the scaler's own timeouts.
//! - [`scaler`]: the state machine; [`scaler::view`]: the status of functions, for operators.
//! - [`poll_schedule`]: when to request the endpoint list and the workers, within the platform's rate limit.
//! - [`platform`]: parsing of the platform's answers, encoding of request bodies.
//! - [`recording`]: the scaler's inputs as lines of JSON, for replay.
//!
//! Times are nanoseconds of one monotonic clock of the caller's, with any origin.

pub mod config;
mod instance;
pub mod platform;
pub mod poll_schedule;
mod rate_limiter;
pub mod recording;
pub mod scaler;
mod workers;

pub use config::ScalerConfig;
pub use instance::{Instance, State};
pub use millpost_protocol::line::Sink;
pub use platform::{Endpoint, StartFault, StopFault, Worker};
pub use poll_schedule::{Poll, PollSchedule};
pub use recording::Recorded;
pub use scaler::{Effect, Scaler, ServiceSpec};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
