//! What the dispatchers of a fleet share, within bounds that hold while a part of the fleet hears nothing.
//!
//! No I/O, no clock, no randomness but a seed. A dispatcher keeps one [`Tier`]; it tells it of its own calls and of the
//! datagrams of others, and calls [`Tier::tick`] when [`Tier::next_round_at`] says so. What comes back is datagrams to send and
//! [`TierEvent`] for the decision module. Decisions on messages stay in the module.
//!
//! - [`liveness`]: who is heard, by incarnation. Shares go by the configured number, never by the number heard.
//! - [`lending`]: each owns an even part of a destination by right, and lends what it does not use, for a term.
//! - [`counts`]: calls by destination, dispatcher and incarnation; merging them counts nothing twice.
//! - [`limit`]: what a destination takes, where nobody tells it, from the counts of all.
//! - [`evidence`]: what each saw of an endpoint. Evidence travels; a verdict is each one's own.
//! - [`frame`]: the datagrams.
//! - [`versions`]: what each acts on; [`staleness`]: who is behind, and who is shut out for it; [`records`]: cordons and drains
//!   that are taken over from others; [`roll`]: these together.
//!
//! Times are nanoseconds of one clock of the caller's that never goes back; its origin is free.

pub mod config;
pub mod counts;
pub mod evidence;
pub mod frame;
pub mod frame_filter;
pub mod lending;
pub mod limit;
pub mod liveness;
mod planted;
pub mod records;
pub mod roll;
pub mod rules;
pub mod staleness;
mod tier;
pub mod versions;

pub use config::TierConfig;
pub use planted::Fault;
pub use roll::{Roll, RollAction};
pub use rules::Rules;
pub use tier::{CallResult, Demand, Loan, Output, RateBudget, Tier, TierEvent, TierStats};
pub use versions::{ActiveVersions, Kind};

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// The configured number of a dispatcher.
pub type Peer = u16;
/// A destination, by the number that all dispatchers know it by.
pub type DestId = u64;
/// An endpoint, by a hash of its name: numbers differ from one dispatcher to the next.
pub type EndpointHash = u64;
/// Which life of a dispatcher this is: each start has a higher one.
pub type Incarnation = u32;
