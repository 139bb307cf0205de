//! What a porter decides, as a state machine without I/O and clock: [`Agent`] takes inputs with their times and returns what is to be
//! opened, closed, sent and answered. The program `agent` carries it out.

pub mod agent;
pub mod feeds;
pub mod latest;
pub mod recording;

pub use agent::{Agent, AgentConfig, Effect, Input};
pub use recording::Recorded;

/// Nanoseconds of the process's life.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;
