//! Guards that can be taken out, one at a time, to show that the auditor sees what they keep.

use std::str::FromStr;

use snafu::Snafu;

/// A guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A request that may run once goes again after an outcome that proves nothing.
    Repeated,
    /// A request that may have run is refused with a promise.
    Promised,
    /// Owners count more slots than instances have.
    Crowded,
    /// Further tries draw on no budget.
    Unbudgeted,
    /// The steward does not hear that endpoints drain.
    Deaf,
    /// One stall takes no change of the configuration.
    Stale,
    /// Control acknowledges before a majority has written.
    Hasty,
    /// Voters answer before their writes are synced.
    Unsynced,
    /// A voter with an empty disk begins anew instead of copying.
    Forgetful,
    /// Stalls go on with the first address of a function, and endpoints are not told which of them is meant.
    Unexpected,
    /// Porters that were restarted follow nobody.
    Blind,
    /// Requests go out under another id.
    Renamed,
    /// Answers are passed on without a look at their seal.
    Unsealed,
    /// A stall that is told to leave leaves at once.
    Hurried,
    /// A stall turns some proper requests down.
    Surly,
    /// Control confirms whatever comes under a revision that stands.
    Lenient,
    /// A stall that ends answers nothing that is open, and is taken to be gone before.
    Mute,
    /// Stalls that leave are taken to be gone by the others.
    Forsaken,
}

/// Every one, by its name.
pub const ALL: [(&str, Mutation); 18] = [
    ("repeated", Mutation::Repeated),
    ("promised", Mutation::Promised),
    ("crowded", Mutation::Crowded),
    ("unbudgeted", Mutation::Unbudgeted),
    ("deaf", Mutation::Deaf),
    ("stale", Mutation::Stale),
    ("hasty", Mutation::Hasty),
    ("unsynced", Mutation::Unsynced),
    ("forgetful", Mutation::Forgetful),
    ("unexpected", Mutation::Unexpected),
    ("blind", Mutation::Blind),
    ("renamed", Mutation::Renamed),
    ("unsealed", Mutation::Unsealed),
    ("hurried", Mutation::Hurried),
    ("surly", Mutation::Surly),
    ("lenient", Mutation::Lenient),
    ("mute", Mutation::Mute),
    ("forsaken", Mutation::Forsaken),
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
