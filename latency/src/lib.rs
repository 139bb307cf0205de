//! Estimates how long each function takes on each worker from the latencies of answers, with the additive
//! model log(latency) = function level + worker effect + residual.
//!
//! A worker's effect is shrunk towards zero the less is known of it, old observations decay, and a single
//! observation moves an estimate by a bounded amount. The model gives the expected latency of a function on a
//! worker, its uncertainty, and which workers are slow, for all functions or for one. No I/O, no clock, no
//! randomness.
//!
//! [`LatencyModel::observe`] takes latencies as they are measured. [`LatencyModel::update`] fits the model
//! and is to be called regularly; all queries are answered from the last fit.

mod cell;
mod fit;

pub use fit::{LatencyModel, RelativeLatency};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// A second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;
