//! Control, on each core machine. What decides has no I/O and no clock: it takes inputs with a time in nanoseconds and returns what
//! to do, so that an emulator can drive it like the daemon does.
//!
//! - [`core`]: the sum of the rooms; inputs in, effects out.
//! - [`rounds`]: rounds of the register. [`leadership`]: the lease and the leader's duties. [`gossip`]: news between control machines.
//!   [`voters`]: who should vote. [`pages`]: the platform's list. [`feed`]: what porters are told.
//! - `contact`: whether a majority of the voters is reached. `orders`: what an operator's order is answered.
//! - `functions`, `duty`, `ledger`: what operators are told of the leader's duty.
//! - [`runtime`]: sockets, the thread of the voter and the platform's client; it carries effects out.

pub mod calls;
pub mod contact;
pub mod core;
mod disk;
mod drains;
mod duty;
pub mod errors;
pub mod feed;
mod functions;
pub mod gossip;
pub mod leader;
pub mod leadership;
pub mod pages;
mod pending_puts;
mod platform;
mod platform_stats;
pub mod rounds;
pub mod runtime;
mod voter_thread;
pub mod voters;

/// Nanoseconds of a clock that never steps back.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
