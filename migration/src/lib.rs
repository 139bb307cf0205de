//! Moves: switching a tenant (a set of routes) from the services of one cluster to those of another without
//! downtime (`docs/design/012-moves.md`). No I/O, no clock, no randomness.
//!
//! - [`Contract`], [`Order`]: operators' requests.
//! - [`Record`]: all moves as one value in the replicated register. A [`DurableRecord`] is one that a
//!   majority has stored; all [`Published`] actions are made from it.
//! - [`check`](check::check): compares what a move needs with the capacity of the target.
//! - [`shift`]: derives the configuration of a step from the one it replaces.
//! - [`Migrator`]: the state machine on a control machine, which advances moves while it holds the lease.

pub mod check;
mod contract;
mod durable;
mod guards;
mod migrator;
mod observation;
mod record;
pub mod shift;
mod status;
mod steps;
mod watch;

#[cfg(test)]
mod tests;

pub use check::{Estimate, Reason};
pub use contract::{Bounds, Contract, Order};
pub use durable::{Action, Answer, DurableRecord, OrderResult, Published};
pub use migrator::{Effect, Input, Migrator, OrderFailure, Settings};
pub use observation::{ActiveConfig, FunctionLoad, Observation, PendingReason};
pub use record::{Direction, Move, Put, Record, RecordError, RouteMove, State};

pub use millpost_scheduler::{MS, Nanos};

/// The time of an event, by two clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// The monotonic clock of this machine, in nanoseconds.
    pub now: Nanos,
    /// Wall-clock time in milliseconds since 1970, for operators and for the age of a move.
    pub unix_ms: u64,
}
