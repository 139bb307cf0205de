//! Moves: a tenant (a set of routes) goes from the services of one cluster to those of another while it is in use
//! (`docs/design/012-moves.md`). No I/O, no clock, no randomness.
//!
//! - [`Contract`], [`Order`]: what operators ask for.
//! - [`Record`]: all moves as one value in the register; [`Standing`] is one that a majority holds, and all that goes [`Published`] is made
//!   from it.
//! - [`check`](check::check): what would move, against what the target can bear.
//! - [`shift`]: the configuration of a step, out of the one below it.
//! - [`Migrator`]: the whole of it on one control machine, which carries moves on while it holds the lease.

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

/// When something comes: by a clock that never steps back, and by the time of day, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// The steady clock, of this machine alone.
    pub now: Nanos,
    /// The time of day, for people and for the age of a move.
    pub unix_ms: u64,
}
