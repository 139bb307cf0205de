//! Deterministic simulation of the whole system in one process.
//!
//! The proxies, agents and controllers run the production state machines. Clock, network, disks, platform,
//! endpoints and clients are simulated, and an auditor checks the users' rules. The same seed always gives
//! the same run.
//!
//! - [`site`]: machines, functions, load and rule bounds for each site size.
//! - [`speeds`]: distribution of worker speeds.
//! - [`plan`]: faults and configuration changes of one simulated day, drawn from its seed.
//! - [`processes`]: the I/O layer of each daemon, reimplemented on the simulated network.
//! - [`world`]: the environment of the processes and the event loop.
//! - [`auditor`]: rule checks, based on what clients, endpoints, platform and operator observe.
//! - [`day`]: runs one day and reports its figures.
//! - [`search`]: runs many days, and minimizes a failing one.
//! - [`record`]: recordings of all processes of a day.
//! - [`mutation`]: safeguards that can be disabled to test the auditor.

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

/// Nanoseconds of simulated time since the start of the day.
pub type Time = u64;
/// One millisecond.
pub const MS: Time = 1_000_000;
/// One second.
pub const SECOND: Time = 1_000 * MS;
