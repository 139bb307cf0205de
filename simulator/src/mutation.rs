//! Safeguards that can be disabled one at a time, to show that the auditor detects what they prevent.

use std::str::FromStr;

use snafu::Snafu;

/// A disabled safeguard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Non-idempotent requests are retried after an outcome that does not prove they never ran.
    RetryUnsafe,
    /// A request that may have run is refused with a status that promises it did not.
    FalseRefusal,
    /// Owners assume more slots per instance than there are.
    OverSlots,
    /// Retries are not limited by a budget.
    UnlimitedRetries,
    /// The leader ignores that endpoints and workers are draining.
    IgnoreDraining,
    /// One proxy applies no configuration change.
    StaleConfig,
    /// The controller acknowledges a configuration before a majority has written it.
    EarlyAcknowledge,
    /// Voters reply before their writes are synced.
    UnsyncedVotes,
    /// A voter with an empty disk bootstraps instead of copying state from its peers.
    EmptyDiskVotes,
    /// Proxies keep using the first address of a function and do not tell endpoints which instance they
    /// expect.
    StaleAddress,
    /// Restarted agents have no seeds and follow no controller.
    AgentWithoutSeeds,
    /// Requests are forwarded under another id.
    ChangedRequestId,
    /// Responses are forwarded without verifying their seal.
    UnverifiedAnswer,
    /// A proxy exits immediately on SIGTERM.
    ImmediateExit,
    /// A proxy denies some valid requests.
    SpuriousDenial,
    /// The controller confirms conflicting content under an existing revision.
    ConfirmConflicts,
    /// A proxy that shuts down answers no open request, and other proxies treat leaving ones as gone.
    SilentShutdown,
    /// Proxies treat leaving peers as gone.
    IgnoreLeaving,
    /// Later attempts of a request may go on connections that have carried earlier ones.
    SharedConnections,
    /// Agents ignore which controllers they are told of.
    IgnoreControllers,
    /// Controllers that are added stay spares until a voter is gone.
    NoSuccession,
}

/// All mutations with their names on the command line.
pub const ALL: [(&str, Mutation); 21] = [
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
    ("shared", Mutation::SharedConnections),
    ("unled", Mutation::IgnoreControllers),
    ("heirless", Mutation::NoSuccession),
];

/// The name matches no mutation.
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
