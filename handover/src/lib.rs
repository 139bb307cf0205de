//! Replacing the process in service: an old process gives the work away, a new one takes it, and at each instant one of
//! them owns the store and every decision. No I/O, no clock; `docs/protocol/handover.md` states the protocol.
//!
//! Invariants kept here: the old process decides nothing from the moment it offers the work until it has proof that nobody
//! took it, and proof is the mark in the store, never a connection's silence; a call is written by one process only.

mod frame;
mod giver;

pub use frame::{Ask, Error, Frame, LONGEST, Moving, Reader, VERSION, write};
pub use giver::{Does, Giver, Heard, Stands};
