//! Ballots and the values that are written under them. Invariant: ballots are totally ordered and none is
//! used twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::json::{self, DecodeError, Object};

/// Maximum length in bytes of the name of a proposer, a lease, a holder or a machine.
pub(crate) const MAX_NAME: usize = 128;
/// Maximum content of a value, in bytes. No voter answers a write request with more.
pub const MAX_CONTENT: usize = 4 << 20;
/// Larger counters are rejected as invalid, so that a corrupted message cannot exhaust the range of `u64`.
const MAX_COUNTER: u64 = 1 << 62;

/// The keys of the registers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The configuration.
    Config,
    /// The fencing number of the controllers' leader.
    Leader,
    /// The record of migrations. It exists on no disk until an operator plans the first migration.
    Migrations,
    /// The set of voters.
    Members,
}

impl Key {
    /// All keys.
    pub const ALL: [Self; 4] = [Self::Config, Self::Leader, Self::Migrations, Self::Members];

    /// Returns the name of the key in messages and on disk.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Leader => "steward",
            Self::Migrations => "moves",
            Self::Members => "members",
        }
    }

    /// Returns the key with this name.
    pub fn of(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.as_str() == name)
    }

    pub(crate) fn read(value: &JsonValue) -> Result<Self, DecodeError> {
        json::read_string(value, "key", 16)
            .and_then(|name| Self::of(name).ok_or_else(|| json::wrong("key", "a known key")))
    }
}

/// The number of one attempt to read or write. Ballots are ordered by counter, then proposer, then
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Increases with each attempt.
    pub counter: u64,
    /// The name of the proposer.
    pub proposer: CompactString,
    /// Distinguishes the starts of the proposer's process: it differs at each.
    pub incarnation: u64,
}

impl Ballot {
    pub(crate) fn to_json(&self) -> JsonValue {
        let parts = [json::uint(self.counter), json::string(&self.proposer), json::uint(self.incarnation)];
        JsonValue::Array(parts.into())
    }

    pub(crate) fn read(value: &JsonValue, field: &'static str) -> Result<Self, DecodeError> {
        let JsonValue::Array(parts) = value else { return Err(json::wrong(field, "a ballot")) };
        let [counter, proposer, incarnation] = parts.as_slice() else {
            return Err(json::wrong(field, "a ballot"));
        };
        let counter = json::read_uint(counter, field)?;
        if counter > MAX_COUNTER {
            return Err(json::wrong(field, "a ballot with a valid counter"));
        }
        let proposer = json::read_string(proposer, field, MAX_NAME)?.into();
        Ok(Self { counter, proposer, incarnation: json::read_uint(incarnation, field)? })
    }

    pub(crate) fn read_optional(
        value: Option<&JsonValue>,
        field: &'static str,
    ) -> Result<Option<Self>, DecodeError> {
        value.map(|value| Self::read(value, field)).transpose()
    }
}

/// Generates the ballots of one process. Clones share one counter.
#[derive(Debug, Clone)]
pub struct Ballots {
    proposer: CompactString,
    incarnation: u64,
    counter: Arc<AtomicU64>,
}

impl Ballots {
    /// Creates a generator for this proposer. `incarnation` must differ at each start of its process.
    pub fn new(proposer: &str, incarnation: u64) -> Self {
        Self { proposer: proposer.into(), incarnation, counter: Arc::default() }
    }

    /// Returns a ballot that was not returned before, with a counter above `above`.
    pub fn next(&self, above: u64) -> Ballot {
        self.counter.fetch_max(above.min(MAX_COUNTER), Ordering::Relaxed);
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        Ballot { counter, proposer: self.proposer.clone(), incarnation: self.incarnation }
    }
}

#[cfg(feature = "explore")]
impl Ballots {
    /// Returns a generator that continues with the same numbers independently of this one.
    #[must_use]
    pub fn fork(&self) -> Self {
        let counter = AtomicU64::new(self.counter.load(Ordering::Relaxed));
        Self { counter: Arc::new(counter), ..self.clone() }
    }
}

#[cfg(feature = "explore")]
impl std::hash::Hash for Ballots {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (&self.proposer, self.incarnation, self.counter.load(Ordering::Relaxed)).hash(state);
    }
}

/// The value of a register.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Value {
    /// Increases with each new value. A value that is written again keeps its version.
    pub version: u64,
    /// The content, which voters do not interpret except for [`Key::Members`].
    pub content: Arc<str>,
}

/// A value that a voter has accepted or copied.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Accepted {
    /// The ballot it was written under.
    pub ballot: Ballot,
    /// The value.
    pub value: Value,
    /// Whether recovery copied it from other voters. A copied value is reported to a prepare, but it does not
    /// count as a vote and does not prove that the value is chosen.
    pub copied: bool,
}

impl Accepted {
    pub(crate) fn to_json(&self) -> JsonValue {
        json::object([
            ("ballot", self.ballot.to_json()),
            ("version", json::uint(self.value.version)),
            ("content", json::string(&self.value.content)),
            ("copied", JsonValue::Boolean(self.copied)),
        ])
    }

    pub(crate) fn read(value: &JsonValue) -> Result<Self, DecodeError> {
        let object = Object::of(value, "accepted")?;
        Ok(Self {
            ballot: Ballot::read(object.required("ballot")?, "ballot")?,
            value: Value::read(object)?,
            copied: object.boolean("copied")?,
        })
    }
}

impl Value {
    pub(crate) fn read(object: Object) -> Result<Self, DecodeError> {
        let content = object.string("content", MAX_CONTENT)?.into();
        Ok(Self { version: object.uint("version")?, content })
    }
}

/// The state of a voter for one key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Slot {
    /// The highest promised ballot; lower ones are rejected.
    pub promised: Option<Ballot>,
    /// The value that was accepted last.
    pub accepted: Option<Accepted>,
}

impl Slot {
    pub(crate) fn to_json(&self, key: Key) -> JsonValue {
        json::object([
            ("key", json::string(key.as_str())),
            ("promised", json::or_null(self.promised.as_ref().map(Ballot::to_json))),
            ("accepted", json::or_null(self.accepted.as_ref().map(Accepted::to_json))),
        ])
    }

    pub(crate) fn read(value: &JsonValue) -> Result<(Key, Self), DecodeError> {
        let object = Object::of(value, "slot")?;
        let promised = Ballot::read_optional(object.optional("promised"), "promised")?;
        let accepted = object.optional("accepted").map(Accepted::read).transpose()?;
        if accepted.as_ref().is_some_and(|accepted| promised.as_ref() < Some(&accepted.ballot)) {
            return Err(json::wrong("promised", "at least the accepted ballot"));
        }
        Ok((Key::read(object.required("key")?)?, Self { promised, accepted }))
    }
}
