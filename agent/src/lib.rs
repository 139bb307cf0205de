//! The decisions of an agent, as a state machine without I/O or clock: [`Agent`] takes inputs with their
//! times and returns what is to be opened, closed, sent and answered. The program `agent` carries these
//! effects out.

pub mod agent;
pub mod feeds;
pub mod latest;
pub mod recording;

pub use agent::{Agent, AgentConfig, Effect, Input};
pub use recording::Recorded;

/// A point in time or a span, in nanoseconds. Points in time are counted from the start of the process.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;
