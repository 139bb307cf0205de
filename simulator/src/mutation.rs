//! Guards that can be taken out, one at a time, to show that the auditor sees what they keep.

use std::str::FromStr;

use snafu::Snafu;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A request that may run once goes again after an outcome that proves nothing.
    RetryUnsafe,
    /// A request that may have run is refused with a promise.
    FalseRefusal,
    /// Owners count more slots than instances have.
    OverSlots,
    /// Further tries draw on no budget.
    UnlimitedRetries,
    /// The steward does not hear that endpoints drain.
    IgnoreDraining,
    /// One stall takes no change of the configuration.
    StaleConfig,
    /// Control acknowledges before a majority has written.
    EarlyAcknowledge,
    /// Voters answer before their writes are synced.
    UnsyncedVotes,
    /// A voter with an empty disk begins anew instead of copying.
    EmptyDiskVotes,
    /// Stalls go on with the first address of a function, and endpoints are not told which of them is meant.
    StaleAddress,
    /// Porters that were restarted follow nobody.
    AgentWithoutSeeds,
    /// Requests go out under another id.
    ChangedRequestId,
    /// Answers are passed on without a look at their seal.
    UnverifiedAnswer,
    /// A stall that is told to leave leaves at once.
    ImmediateExit,
    /// A stall turns some proper requests down.
    SpuriousDenial,
    /// Control confirms whatever comes under a revision that stands.
    ConfirmConflicts,
    /// A stall that ends answers nothing that is open, and is taken to be gone before.
    SilentShutdown,
    /// Stalls that leave are taken to be gone by the others.
    IgnoreLeaving,
}

/// Every one, by its name.
pub const ALL: [(&str, Mutation); 18] = [
    ("repeated", Mutation::RetryUnsafe),
    ("promised", Mutation::FalseRefusal),
    ("crowded", Mutation::OverSlots),
    ("unbudgeted", Mutation::UnlimitedRetries),
    ("deaf", Mutation::IgnoreDraining),
    ("stale", Mutation::StaleConfig),
    ("hasty", Mutation::EarlyAcknowledge),
    ("unsynced", Mutation::UnsyncedVotes),
    ("forgetful", Mutation::EmptyDiskVotes),
    ("unexpected", Mutation::StaleAddress),
    ("blind", Mutation::AgentWithoutSeeds),
    ("renamed", Mutation::ChangedRequestId),
    ("unsealed", Mutation::UnverifiedAnswer),
    ("hurried", Mutation::ImmediateExit),
    ("surly", Mutation::SpuriousDenial),
    ("lenient", Mutation::ConfirmConflicts),
    ("mute", Mutation::SilentShutdown),
    ("forsaken", Mutation::IgnoreLeaving),
];

/// No such guard.
#[derive(Debug, Snafu)]
#[snafu(display("plant: {name:?} is none of {}", ALL.map(|(name, _)| name).join(", ")))]
pub struct Unknown {
    name: String,
}

impl FromStr for Mutation {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        let found = ALL.iter().find(|(known, _)| *known == name).map(|(_, mutation)| *mutation);
        found.ok_or_else(|| Unknown { name: name.to_owned() })
    }
}
