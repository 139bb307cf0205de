//! What a porter decides, as a state machine without I/O and clock: [`Round`] takes inputs with their times and returns what is to be
//! opened, closed, sent and answered. The program `agent` carries it out.

pub mod follow;
pub mod newest;
pub mod recording;
pub mod round;

pub use recording::Recorded;
pub use round::{Effect, Input, Round, Terms};

/// Nanoseconds of the process's life.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;
