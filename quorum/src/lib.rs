//! A replicated register stored on a majority of disks, its membership changes, recovery of voters, and
//! leases.
//!
//! A value is written to a majority of disks and read from a majority; the value with the highest ballot
//! wins. There is neither a log nor a leader: each change is a separate Paxos round.
//!
//! The crate does no I/O and reads no clock. Time is passed in as nanoseconds of a monotonic clock and
//! randomness as a seed; the caller provides the disk and the network.
//!
//! - [`Voter`]: the acceptor on one machine. Its replies are released only after its writes are on disk.
//! - [`Round`]: one read or write of a register. [`MembershipChange`]: replaces, adds or removes one voter.
//! - [`Recovery`]: how a voter with an empty disk gets its state back (driven by the voter itself).
//! - [`LeaseHolder`] and [`LeaseGrantor`]: a lease that one process holds at a time.

mod ballot;
mod json;
mod lease;
mod members;
mod membership_change;
mod record;
mod recovery;
mod rng;
mod round;
mod voter;
mod wire;

pub use ballot::{Accepted, Ballot, Ballots, Key, MAX_CONTENT, Slot, Value};
pub use json::DecodeError;
pub use lease::{LEASE_DURATION, LEASE_MARGIN, LeaseGrantor, LeaseHolder};
pub use members::{Members, VoterChange, VoterChangeError};
pub use membership_change::{MembershipChange, MembershipOutcome};
pub use record::{FORMAT, MAX_WHOLE_RECORD, OpenError, Record, Write, check_format};
pub use recovery::{PHASE_TIMEOUT, RECOVERY_MARGIN, Recovery, RecoveryProgress};
pub use round::{FailureReason, Operation, Outcome, Output, Round};
pub use voter::{State, Step, Voter};
pub use wire::Message;

/// The name of a machine among the voters: whatever the caller's network uses to reach it.
pub type Address = compact_str::CompactString;
