//! How long the work of each function takes on each worker, from what answers took: log(time) = function + worker + rest.
//!
//! The worker's part is drawn to nothing by how little is known of it, what was seen fades, and one answer moves an estimate by no more
//! than a bound. Said is what is expected at a place, how sure that is, and which workers are slow, for all or for one function.
//! No I/O, no clock, no randomness.
//!
//! [`LatencyModel::observe`] takes answers as they come; [`LatencyModel::update`] works out what they say, and is to be called now and then. All that is
//! asked is answered by what was last worked out.

mod cell;
mod fit;

pub use fit::{LatencyModel, RelativeLatency};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// A second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;
