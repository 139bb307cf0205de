//! Who acted on which version: the log that each dispatcher keeps of its decisions, and the audit of many such logs.
//!
//! - [`entry`]: what is recorded. Each decision names the standing that it was made on.
//! - [`segment`]: the form of the files, as bytes: it reads to the last whole record, and says where it can't go on. No I/O.
//! - [`log`]: the files, within a budget of disk.
//! - [`read`]: a folder of them, as a stream.
//! - [`align`]: clocks that disagree, put side by side by what one heard of another. No I/O.
//! - [`judge`]: what must not be, with the evidence. No I/O.
//! - [`audit`](mod@audit): many folders, read side by side.
//!
//! Times are wall-clock nanoseconds since 1970, of the clock of whoever wrote them.

pub mod align;
pub mod audit;
pub mod entry;
pub mod judge;
pub mod log;
pub mod read;
pub mod segment;

pub use audit::{Audit, audit, explain};
pub use entry::{End, Entry, State};
pub use log::Log;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// What a message is known by in logs.
pub fn message(reference: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(reference.as_bytes())
}
