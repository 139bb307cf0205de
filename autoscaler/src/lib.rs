//! When and where instances of functions start and stop; no I/O, no clock, no randomness.
//!
//! The steward, the control program that holds the lease, keeps one [`Scaler`]. It hands in what the platform lists and
//! answers and what the owners of functions say, calls [`Scaler::tick`] after each round of inputs and at the time that the
//! tick names, and carries out what [`Scaler::take`] gives.
//!
//! - [`config`]: what the platform allows, and the scaler's own times.
//! - [`scaler`]: the state machine; [`scaler::view`]: how functions stand, for people.
//! - [`poll_schedule`]: when the list and the workers are asked for, under the platform's rate.
//! - [`platform`]: the platform's answers read, the bodies of calls written.
//! - [`recording`]: the scaler's inputs as lines, to be played again.
//!
//! Times are nanoseconds of one clock of the caller's that never goes back; its origin is free.

pub mod config;
mod duty;
mod fleet;
mod life;
pub mod platform;
pub mod poll_schedule;
pub mod recording;
pub mod scaler;

pub use config::ScalerConfig;
pub use life::{Instance, State};
pub use millpost_protocol::line::Sink;
pub use platform::{Endpoint, StartFault, StopFault, Worker};
pub use poll_schedule::{Poll, PollSchedule};
pub use recording::Recorded;
pub use scaler::{Effect, Scaler, ServiceSpec};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
