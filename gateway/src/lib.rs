//! The hop between two sites: the near one owes a message's final answer to its client and passes the message on, the far
//! one delivers it and owes the near one the final answer. `docs/protocol/gateway.md` is the protocol.
//!
//! Nothing here does I/O or reads a clock: [`near::Near`] and [`far::Far`] are state machines in the manner of
//! `millpost-core`, told what happened and when, with effects to be carried out in their order. What follows a write is an
//! effect only once the caller says that the write lasts.
//!
//! The invariant of the whole: an offer under one [`HopKey`] is taken on by the far side at most once, and once the near
//! side holds that it never ran, it never does.

pub mod credit;
pub mod far;
pub mod frame;
pub mod near;
mod planted;
pub mod route;
pub mod transit;

use serde::{Deserialize, Serialize};

/// A point in time or a span, in nanoseconds of the caller's clock, which never goes back.
pub type Nanos = u64;

/// What an offer is known by on both sides, for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HopKey {
    /// The near side's store, drawn when it was made: a near side that lost its folder never uses a key again.
    pub store: u64,
    /// The message's number there; numbers only grow.
    pub message: u64,
    /// Which attempt of the message this is: a message that is known not to have run may be offered once more.
    pub attempt: u32,
}

/// How an offer ended at the far side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Delivered.
    Delivered,
    /// Given up; it may have run.
    Failed,
    /// Given up, and trying again is harmless: it never ran, or its class may go twice.
    Refused {
        /// How long to stay away from its destination; 0 for no hint.
        wait: Nanos,
    },
}

impl End {
    /// The message may go again, by whatever route.
    pub fn may_go_again(self) -> bool {
        matches!(self, End::Refused { .. })
    }
}
