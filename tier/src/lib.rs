//! State shared by the dispatchers of a fleet, with guarantees that hold during partitions.
//!
//! No I/O, no clock, and no randomness except a seed. A dispatcher has one [`Tier`], passes its own calls and
//! the datagrams of others to it, and calls [`Tier::tick`] at [`Tier::next_round_at`]. The outputs are
//! datagrams to send and [`TierEvent`]s for the decision module, which still makes all decisions on messages.
//!
//! - [`liveness`]: liveness of peers by incarnation. Shares depend on the configured number of dispatchers,
//!   never on the number of live ones.
//! - [`lending`]: each dispatcher owns an even share of a destination, and lends what it does not use, for a
//!   term.
//! - [`counts`]: call counts by destination, dispatcher and incarnation, which merge without counting a call
//!   twice.
//! - [`limit`]: estimates of unknown rate limits, from the counts of all dispatchers.
//! - [`evidence`]: observations of endpoints. They are exchanged; each dispatcher draws its own verdict.
//! - [`frame`]: the datagrams; [`frame_filter`] drops invalid and excess ones.
//! - [`versions`]: the versions each dispatcher uses; [`staleness`]: which dispatchers are behind, and are
//!   shut out for it; [`records`]: cordons and drains learned from others; [`roll`]: combines these.
//! - [`config`] and [`rules`]: the settings.
//!
//! Times are nanoseconds of a monotonic clock of the caller with an arbitrary origin.

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

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// The configured number of a dispatcher.
pub type Peer = u16;
/// Identifier of a destination, the same at all dispatchers.
pub type DestId = u64;
/// Hash of an endpoint's name, since endpoint numbers differ between dispatchers.
pub type EndpointHash = u64;
/// Incarnation of a dispatcher, which increases with each start.
pub type Incarnation = u32;
