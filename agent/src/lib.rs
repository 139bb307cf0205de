//! What a porter decides, as a state machine without I/O and clock: [`Round`] takes inputs with their times and returns what is to be
//! opened, closed, sent and answered. The program `agent` carries it out.

pub mod follow;
pub mod newest;
pub mod round;
pub mod tape;

pub use round::{Effect, Input, Round, Terms};
pub use tape::Recorded;

/// Nanoseconds of the process's life.
pub type Nanos = u64;
/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;
