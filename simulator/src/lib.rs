//! The whole system in one process, the same under the same seed: the daemons' own state machines on a played clock, network, disks,
//! platform, endpoints and clients, and an auditor of the users' rules.
//!
//! - [`site`]: machines, functions and bounds of a size.
//! - [`speeds`]: how fast its workers are.
//! - [`plan`]: a day as it is drawn from its seed: troubles and changes of the configuration.
//! - [`processes`]: what daemons put round their state machines.
//! - [`world`]: all that is outside, and the loop.
//! - [`auditor`]: the rules, from what clients, endpoints, platform and operator saw.
//! - [`day`]: one day from beginning to end, and its figures.
//! - [`search`]: many days, and one that is made smaller.
//! - [`record`]: recordings of all processes of a day.
//! - [`mutation`]: guards taken out, to test the auditor.

pub mod auditor;
pub mod day;
mod disturbances;
pub mod mutation;
pub mod plan;
pub mod processes;
pub mod record;
mod rng;
pub mod search;
pub mod site;
pub mod speeds;
pub mod world;

/// Nanoseconds since the day began.
pub type Time = u64;
/// A millisecond.
pub const MS: Time = 1_000_000;
/// A second.
pub const SECOND: Time = 1_000 * MS;
