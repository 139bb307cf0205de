//! Who votes; keeps: two sets that follow each other never both decide alone, since the record between them asks both.
//!
//! A change goes over three records: `S`, then `S` with `next` (every round needs majorities of both), then `S'`. The
//! record of epoch `e + 1` is decided under the quorum of epoch `e`, so the records form one chain.

use snafu::{Snafu, ensure};
use tinyjson::JsonValue;

use crate::Address;
use crate::ballot::MAX_NAME;
use crate::form::{self, DecodeError, Form};

/// Most voters in one set.
const MAX_VOTERS: usize = 16;

/// The voters, as the key `members` holds them. The epoch is the value's version; the first members have epoch 0.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Members {
    /// Goes up with each change.
    pub epoch: u64,
    /// Names the whole register: messages of another one are ignored.
    pub uid: Address,
    /// Who votes.
    pub voters: Vec<Address>,
    /// Who votes too, while the voters change.
    pub next: Option<Vec<Address>>,
}

/// FailureReason a change of the voters is turned down.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum VoterChangeError {
    /// Already a voter.
    #[snafu(display("{address} votes already"))]
    AlreadyVoter {
        /// Whom to add.
        address: Address,
    },
    /// Not a voter.
    #[snafu(display("{address} does not vote"))]
    NotVoter {
        /// Whom to remove.
        address: Address,
    },
    /// None left, or too many.
    #[snafu(display("{count} voters are not between 1 and 16"))]
    VoterCount {
        /// How many there would be.
        count: usize,
    },
}

/// A change by one voter; more at once would leave a new voter with too few others to copy from.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub enum VoterChange {
    /// One more.
    Add(Address),
    /// One less.
    Remove(Address),
    /// One for another.
    Replace {
        /// Who leaves.
        old: Address,
        /// Who comes.
        new: Address,
    },
}

impl VoterChange {
    /// The voters after this change.
    pub fn apply(&self, voters: &[Address]) -> Result<Vec<Address>, VoterChangeError> {
        let (old, new) = match self {
            Self::Add(new) => (None, Some(new)),
            Self::Remove(old) => (Some(old), None),
            Self::Replace { old, new } => (Some(old), Some(new)),
        };
        let mut after = voters.to_vec();
        if let Some(old) = old {
            ensure!(after.contains(old), NotVoterSnafu { address: old.clone() });
            after.retain(|voter| voter != old);
        }
        if let Some(new) = new {
            ensure!(!voters.contains(new), AlreadyVoterSnafu { address: new.clone() });
            after.push(new.clone());
        }
        ensure!((1..=MAX_VOTERS).contains(&after.len()), VoterCountSnafu { count: after.len() });
        Ok(after)
    }

    /// Whether these voters look as if the change had been made.
    pub fn is_applied(&self, voters: &[Address]) -> bool {
        match self {
            Self::Add(new) => voters.contains(new),
            Self::Remove(old) => !voters.contains(old),
            Self::Replace { old, new } => voters.contains(new) && !voters.contains(old),
        }
    }
}

impl Members {
    /// The first members, of a register that this uid names.
    pub fn initial(uid: &str, voters: impl IntoIterator<Item = Address>) -> Self {
        Self { epoch: 0, uid: uid.into(), voters: voters.into_iter().collect(), next: None }
    }

    /// The sets that have to agree: one, or two while the voters change.
    pub fn sets(&self) -> impl Iterator<Item = &[Address]> {
        std::iter::once(self.voters.as_slice()).chain(self.next.as_deref())
    }

    /// Everybody in any set, once.
    pub fn all_voters(&self) -> Vec<Address> {
        let mut all: Vec<_> = self.sets().flatten().cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    /// Whether this machine is in any set.
    pub fn contains(&self, address: &str) -> bool {
        self.sets().flatten().any(|voter| voter == address)
    }

    /// Whether those who are `in_it` are a majority of each set.
    pub fn has_quorum(&self, in_it: impl Fn(&Address) -> bool) -> bool {
        self.sets().all(|set| set.iter().filter(|voter| in_it(voter)).count() * 2 > set.len())
    }

    /// Whether those who are `in_it`, `me` left out, meet every majority of the voters that `me` was part of.
    ///
    /// Of `n` voters, a majority `m` had `m - 1` others among `n - 1`, so `n - m + 1` others meet it. The next voters are
    /// not asked: see the head of `recovery.rs`.
    pub fn covers_majorities(&self, me: &str, in_it: impl Fn(&Address) -> bool) -> bool {
        let majority = self.voters.len() / 2 + 1;
        self.voters.iter().filter(|voter| *voter != me && in_it(voter)).count() > self.voters.len() - majority
    }

    /// The record between this one and `voters`.
    pub fn joint(&self, voters: Vec<Address>) -> Self {
        Self { epoch: self.epoch + 1, next: Some(voters), ..self.clone() }
    }

    /// Who is new in the next voters.
    pub fn joining(&self) -> Vec<Address> {
        self.next.iter().flatten().filter(|voter| !self.voters.contains(voter)).cloned().collect()
    }

    /// The record after a joint one that is given up: the voters alone, as before.
    pub fn rolled_back(&self) -> Option<Self> {
        self.next.as_ref()?;
        Some(Self { epoch: self.epoch + 1, next: None, ..self.clone() })
    }

    /// The record after a joint one: its next voters alone.
    pub fn completed(&self) -> Option<Self> {
        let voters = self.next.clone()?;
        Some(Self { epoch: self.epoch + 1, uid: self.uid.clone(), voters, next: None })
    }

    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        let list = |set: &[Address]| JsonValue::Array(set.iter().map(|voter| form::word(voter)).collect());
        form::object([
            ("epoch", form::count(self.epoch)),
            ("uid", form::word(&self.uid)),
            ("voters", list(&self.voters)),
            ("next", form::maybe(self.next.as_deref().map(list))),
        ])
    }

    /// As the text that the key `members` holds. The same members are the same text, in whatever order a map has them.
    pub fn to_text(&self) -> String {
        let JsonValue::Object(fields) = self.to_json() else { return String::new() };
        let mut parts: Vec<String> = fields
            .iter()
            .map(|(name, value)| format!("{}:{}", form::print(&form::word(name)), form::print(value)))
            .collect();
        parts.sort_unstable();
        format!("{{{}}}", parts.join(","))
    }

    /// From JSON, checked.
    pub fn from_json(value: &JsonValue) -> Result<Self, DecodeError> {
        let form = Form::of(value, "members")?;
        let set = |what| {
            let mut voters = Vec::new();
            for voter in form.list(what, MAX_VOTERS)? {
                voters.push(Address::from(form::text(voter, what, MAX_NAME)?));
            }
            let twice = voters.iter().enumerate().any(|(at, voter)| voters[..at].contains(voter));
            if voters.is_empty() || twice { Err(form::wrong(what, "a set of voters")) } else { Ok(voters) }
        };
        let epoch = form.number("epoch")?;
        if epoch > 1 << 62 {
            return Err(form::wrong("epoch", "an epoch of ours"));
        }
        let next = form.maybe("next").map(|_| set("next")).transpose()?;
        Ok(Self { epoch, uid: form.text("uid", MAX_NAME)?.into(), voters: set("voters")?, next })
    }

    /// From the text that the key `members` holds, checked.
    pub fn parse(text: &str) -> Result<Self, DecodeError> {
        Self::from_json(&form::parse(text)?)
    }
}
