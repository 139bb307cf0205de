//! The control plane, on each core machine. The state machines have no I/O and no clock: they take inputs
//! with a time in nanoseconds and return effects, so that a simulator can drive them in the same way as the
//! program does.
//!
//! - [`core`]: combines the state machines below; inputs in, effects out.
//! - [`rounds`]: rounds of the register. [`leadership`]: the lease and the leader's duties. [`leader`]: the
//!   leader's state. [`gossip`]: messages between controllers. [`voters`]: the choice of voters, and [`placement`] where they are. [`pages`]:
//!   reading the platform's list. [`feed`]: the feed to agents. [`contact`]: contact with a majority of the
//!   voters.
//! - `origin`: whether this controller was added to the running system.
//! - `succession`: which voters are succeeded by controllers that are added. [`placement`]: where controllers are.
//! - `pending_puts`: replies to operators who put a configuration. `drains`: drains of proxies and workers.
//! - `functions`, `duty`, `platform_stats`: the state of the leader's duties, for operators.
//! - [`runtime`]: sockets, the voter thread and the platform's client; it carries out the effects.

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
mod origin;
pub mod pages;
mod pending_puts;
pub mod placement;
mod platform;
mod platform_stats;
pub mod rounds;
pub mod runtime;
pub mod silent_peers;
mod succession;
mod voter_thread;
pub mod voters;

/// Nanoseconds on a monotonic clock.
pub type Nanos = u64;

pub(crate) const MS: Nanos = 1_000_000;
