//! The set of voters. Invariant: two successive sets never both decide independently, since the joint record
//! between them needs a majority of both.
//!
//! A change takes three records: `S`, then the joint record `S` with `next` (every round needs majorities of
//! both), then `S'`. The record of epoch `e + 1` is decided under the quorum of epoch `e`, so the records
//! form one chain.

use snafu::{Snafu, ensure};
use tinyjson::JsonValue;

use crate::Address;
use crate::ballot::MAX_NAME;
use crate::json::{self, DecodeError, Object};

/// Maximum number of voters in one set.
const MAX_VOTERS: usize = 16;

/// The voters, as stored under the key `members`. The epoch is the version of that value; the initial members
/// have epoch 0.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Members {
    /// Increases by one with each change.
    pub epoch: u64,
    /// Identifies the register: messages with another identifier are ignored.
    pub uid: Address,
    /// The current voters.
    pub voters: Vec<Address>,
    /// The next voters, while a change is in progress; rounds need a majority of these too.
    pub next: Option<Vec<Address>>,
}

/// Why a change of the voters is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum VoterChangeError {
    /// The machine to add is already a voter.
    #[snafu(display("{address} is already a voter"))]
    AlreadyVoter {
        /// The machine to add.
        address: Address,
    },
    /// The machine to remove is not a voter.
    #[snafu(display("{address} is not a voter"))]
    NotVoter {
        /// The machine to remove.
        address: Address,
    },
    /// The change would leave no voter, or too many.
    #[snafu(display("{count} voters after the change; from 1 to 16 are allowed"))]
    VoterCount {
        /// The number of voters after the change.
        count: usize,
    },
}

/// A change of the voters. Voters that join copy their state from the voters before the change, and the change
/// completes only once all of them have it, so any number may join at once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum VoterChange {
    /// Adds a voter.
    Add(Address),
    /// Removes a voter.
    Remove(Address),
    /// Replaces one voter by another.
    Replace {
        /// The voter that leaves.
        old: Address,
        /// The voter that joins.
        new: Address,
    },
    /// Removes some voters and adds others at once.
    Exchange {
        /// The voters that leave.
        old: Vec<Address>,
        /// The voters that join.
        new: Vec<Address>,
    },
}

impl VoterChange {
    /// Returns the change that removes these voters and adds those; `None` if it changes nothing.
    pub fn exchange(old: &[Address], new: &[Address]) -> Option<Self> {
        match (old, new) {
            ([], []) => None,
            ([], [new]) => Some(Self::Add(new.clone())),
            ([old], []) => Some(Self::Remove(old.clone())),
            ([old], [new]) => Some(Self::Replace { old: old.clone(), new: new.clone() }),
            _ => Some(Self::Exchange { old: old.to_vec(), new: new.to_vec() }),
        }
    }

    /// Returns the voters that leave, and those that join.
    fn parts(&self) -> (&[Address], &[Address]) {
        match self {
            Self::Add(new) => (&[], std::slice::from_ref(new)),
            Self::Remove(old) => (std::slice::from_ref(old), &[]),
            Self::Replace { old, new } => (std::slice::from_ref(old), std::slice::from_ref(new)),
            Self::Exchange { old, new } => (old, new),
        }
    }

    /// Returns the voters that join.
    pub fn joining(&self) -> &[Address] {
        self.parts().1
    }

    /// Returns the voters after this change.
    pub fn apply(&self, voters: &[Address]) -> Result<Vec<Address>, VoterChangeError> {
        let (old, new) = self.parts();
        let mut after = voters.to_vec();
        for address in old {
            ensure!(after.contains(address), NotVoterSnafu { address: address.clone() });
            after.retain(|voter| voter != address);
        }
        for address in new {
            let known = voters.contains(address) || after.contains(address);
            ensure!(!known, AlreadyVoterSnafu { address: address.clone() });
            after.push(address.clone());
        }
        ensure!((1..=MAX_VOTERS).contains(&after.len()), VoterCountSnafu { count: after.len() });
        Ok(after)
    }

    /// Whether these voters already reflect the change.
    pub fn is_applied(&self, voters: &[Address]) -> bool {
        let (old, new) = self.parts();
        new.iter().all(|voter| voters.contains(voter)) && !old.iter().any(|voter| voters.contains(voter))
    }
}

impl Members {
    /// Returns the initial members of the register with this identifier.
    pub fn initial(uid: &str, voters: impl IntoIterator<Item = Address>) -> Self {
        Self { epoch: 0, uid: uid.into(), voters: voters.into_iter().collect(), next: None }
    }

    /// Returns the sets of which a majority each is needed: one, or two during a change.
    pub fn sets(&self) -> impl Iterator<Item = &[Address]> {
        std::iter::once(self.voters.as_slice()).chain(self.next.as_deref())
    }

    /// Returns the voters of all sets, sorted and without duplicates.
    pub fn all_voters(&self) -> Vec<Address> {
        let mut all: Vec<_> = self.sets().flatten().cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    /// Whether the machine is a voter in any set.
    pub fn contains(&self, address: &str) -> bool {
        self.sets().flatten().any(|voter| voter == address)
    }

    /// Whether the voters for which `included` is true are a majority of each set.
    pub fn has_quorum(&self, included: impl Fn(&Address) -> bool) -> bool {
        self.sets().all(|set| set.iter().filter(|voter| included(voter)).count() * 2 > set.len())
    }

    /// Whether the voters for which `included` is true, without `me`, intersect the rest of every majority
    /// that `me` was part of.
    ///
    /// Of `n` voters, a majority of `m` has `m - 1` members among the `n - 1` others, so any `n - m + 1`
    /// others intersect it. The next voters are not counted: see the module documentation of `recovery`.
    pub fn covers_majorities(&self, me: &str, included: impl Fn(&Address) -> bool) -> bool {
        self.voters.iter().filter(|voter| *voter != me && included(voter)).count() >= self.states_to_copy()
    }

    /// Returns the number of other voters from which an empty voter copies its state.
    pub(crate) fn states_to_copy(&self) -> usize {
        let majority = self.voters.len() / 2 + 1;
        self.voters.len() - majority + 1
    }

    /// Returns the joint record between this one and `voters`.
    pub fn joint(&self, voters: Vec<Address>) -> Self {
        Self { epoch: self.epoch + 1, next: Some(voters), ..self.clone() }
    }

    /// Returns the next voters that are not current voters.
    pub fn joining(&self) -> Vec<Address> {
        self.next.iter().flatten().filter(|voter| !self.voters.contains(voter)).cloned().collect()
    }

    /// Returns the record that follows an abandoned joint record: the current voters alone. `None` if this is
    /// not a joint record.
    pub fn rolled_back(&self) -> Option<Self> {
        self.next.as_ref()?;
        Some(Self { epoch: self.epoch + 1, next: None, ..self.clone() })
    }

    /// Returns the record that completes a joint record: its next voters alone. `None` if this is not a joint
    /// record.
    pub fn completed(&self) -> Option<Self> {
        let voters = self.next.clone()?;
        Some(Self { epoch: self.epoch + 1, uid: self.uid.clone(), voters, next: None })
    }

    /// Encodes the members as JSON.
    pub fn to_json(&self) -> JsonValue {
        let list = |set: &[Address]| JsonValue::Array(set.iter().map(|voter| json::string(voter)).collect());
        json::object([
            ("epoch", json::uint(self.epoch)),
            ("uid", json::string(&self.uid)),
            ("voters", list(&self.voters)),
            ("next", json::or_null(self.next.as_deref().map(list))),
        ])
    }

    /// Encodes the members as the text stored under the key `members`. Equal members give equal texts,
    /// independently of the iteration order of the map.
    pub fn to_text(&self) -> String {
        let JsonValue::Object(fields) = self.to_json() else { return String::new() };
        let mut parts: Vec<String> = fields
            .iter()
            .map(|(name, value)| format!("{}:{}", json::print(&json::string(name)), json::print(value)))
            .collect();
        parts.sort_unstable();
        format!("{{{}}}", parts.join(","))
    }

    /// Decodes and checks members from JSON.
    pub fn from_json(value: &JsonValue) -> Result<Self, DecodeError> {
        let object = Object::of(value, "members")?;
        let set = |field| {
            let mut voters = Vec::new();
            for voter in object.list(field, MAX_VOTERS)? {
                voters.push(Address::from(json::read_string(voter, field, MAX_NAME)?));
            }
            let has_duplicate =
                voters.iter().enumerate().any(|(index, voter)| voters[..index].contains(voter));
            if voters.is_empty() || has_duplicate {
                Err(json::wrong(field, "a set of voters"))
            } else {
                Ok(voters)
            }
        };
        let epoch = object.uint("epoch")?;
        if epoch > 1 << 62 {
            return Err(json::wrong("epoch", "a valid epoch"));
        }
        let next = object.optional("next").map(|_| set("next")).transpose()?;
        Ok(Self { epoch, uid: object.string("uid", MAX_NAME)?.into(), voters: set("voters")?, next })
    }

    /// Decodes and checks members from the text stored under the key `members`.
    pub fn parse(text: &str) -> Result<Self, DecodeError> {
        Self::from_json(&json::parse(text)?)
    }
}
