//! The register on a majority of disks, its members, their recovery, and leases; no I/O, no clock.
//!
//! A register is written to a majority of disks and read from a majority; what was renewed last wins. There is no log
//! and no leader: each change is a round of its own. Time is handed in as nanoseconds of a clock that never steps back,
//! randomness as a seed, disk and network are the caller's.
//!
//! - [`Voter`]: one machine's part in the majority. What it gets to say comes out only after its writes went to disk.
//! - [`Round`]: one read or change. [`MembershipChange`]: exchange, add or remove one voter.
//! - [`Recovery`]: how a voter with an empty disk gets its state back (driven by the voter itself).
//! - [`LeaseHolder`] and [`LeaseGrantor`]: a duty that one process at a time holds.

mod ballot;
mod chance;
mod form;
mod lease;
mod members;
mod moving;
mod record;
mod recovery;
mod round;
mod voter;
mod wire;

pub use ballot::{Accepted, Ballot, Ballots, Key, MAX_CONTENT, Slot, Value};
pub use form::DecodeError;
pub use lease::{LEASE_DURATION, LEASE_MARGIN, LeaseGrantor, LeaseHolder};
pub use members::{Members, VoterChange, VoterChangeError};
pub use moving::{MembershipChange, MembershipOutcome};
pub use record::{FORMAT, OpenError, Record, Write, check_format};
pub use recovery::{PHASE_TIMEOUT, RECOVERY_MARGIN, Recovery};
pub use round::{FailureReason, Operation, Outcome, Output, Round};
pub use voter::{State, Step, Voter};
pub use wire::Message;

/// A machine's name among the voters: whatever the caller's network finds it by.
pub type Address = compact_str::CompactString;
