//! Ballots, and the values that carry them; keeps: ballots are totally ordered and none is used twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::form::{self, DecodeError, Form};

/// Longest name of a proposer, a duty, a holder or a machine.
pub(crate) const MAX_NAME: usize = 128;
/// Longest content of a value, in bytes. Longer offers are not answered by any voter.
pub const MAX_CONTENT: usize = 4 << 20;
/// Counters above this come from nobody of ours, and must not use up the numbers.
const MAX_COUNTER: u64 = 1 << 62;

/// What is kept in registers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The configuration.
    Config,
    /// The steward's fence.
    Leader,
    /// The record of moves. Nothing is there, on no disk, until an operator plans the first.
    Migrations,
    /// The voters themselves.
    Members,
}

impl Key {
    /// All keys there are.
    pub const ALL: [Self; 4] = [Self::Config, Self::Leader, Self::Migrations, Self::Members];

    /// The key's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Leader => "steward",
            Self::Migrations => "moves",
            Self::Members => "members",
        }
    }

    /// The key of this name.
    pub fn of(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.as_str() == name)
    }

    pub(crate) fn read(value: &JsonValue) -> Result<Self, DecodeError> {
        form::text(value, "key", 16)
            .and_then(|name| Self::of(name).ok_or_else(|| form::wrong("key", "a known key")))
    }
}

/// A number for one attempt. Ordered by counter, then proposer, then its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Goes up with each attempt.
    pub counter: u64,
    /// Whose it is.
    pub proposer: CompactString,
    /// Differs at each start of the proposer's process.
    pub incarnation: u64,
}

impl Ballot {
    pub(crate) fn to_json(&self) -> JsonValue {
        let parts = [form::count(self.counter), form::word(&self.proposer), form::count(self.incarnation)];
        JsonValue::Array(parts.into())
    }

    pub(crate) fn read(value: &JsonValue, what: &'static str) -> Result<Self, DecodeError> {
        let JsonValue::Array(parts) = value else { return Err(form::wrong(what, "a ballot")) };
        let [counter, proposer, incarnation] = parts.as_slice() else {
            return Err(form::wrong(what, "a ballot"));
        };
        let counter = form::number(counter, what)?;
        if counter > MAX_COUNTER {
            return Err(form::wrong(what, "a ballot of ours"));
        }
        let proposer = form::text(proposer, what, MAX_NAME)?.into();
        Ok(Self { counter, proposer, incarnation: form::number(incarnation, what)? })
    }

    pub(crate) fn maybe(value: Option<&JsonValue>, what: &'static str) -> Result<Option<Self>, DecodeError> {
        value.map(|value| Self::read(value, what)).transpose()
    }
}

/// Where one process takes its ballots from. Clones share one counter.
#[derive(Debug, Clone)]
pub struct Ballots {
    proposer: CompactString,
    incarnation: u64,
    counter: Arc<AtomicU64>,
}

impl Ballots {
    /// For this proposer. `incarnation` must differ at each start of its process.
    pub fn new(proposer: &str, incarnation: u64) -> Self {
        Self { proposer: proposer.into(), incarnation, counter: Arc::default() }
    }

    /// A ballot that was not given out before, with a counter above `above`.
    pub fn next(&self, above: u64) -> Ballot {
        self.counter.fetch_max(above.min(MAX_COUNTER), Ordering::Relaxed);
        let counter = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        Ballot { counter, proposer: self.proposer.clone(), incarnation: self.incarnation }
    }
}

#[cfg(feature = "explore")]
impl Ballots {
    /// The same numbers from here on, counted apart: what comes of the one is nothing to the other.
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

/// What a register holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Value {
    /// Goes up with each change.
    pub version: u64,
    /// Whatever the writer put there.
    pub content: Arc<str>,
}

/// A value as a voter has it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Accepted {
    /// The ballot it was written at.
    pub ballot: Ballot,
    /// The value.
    pub value: Value,
    /// Taken from other voters by recovery: it informs a prepare, but is no vote and proves nothing as chosen.
    pub copied: bool,
}

impl Accepted {
    pub(crate) fn to_json(&self) -> JsonValue {
        form::object([
            ("ballot", self.ballot.to_json()),
            ("version", form::count(self.value.version)),
            ("content", form::word(&self.value.content)),
            ("copied", JsonValue::Boolean(self.copied)),
        ])
    }

    pub(crate) fn read(value: &JsonValue) -> Result<Self, DecodeError> {
        let form = Form::of(value, "accepted")?;
        Ok(Self {
            ballot: Ballot::read(form.get("ballot")?, "ballot")?,
            value: Value::read(form)?,
            copied: form.flag("copied")?,
        })
    }
}

impl Value {
    pub(crate) fn read(form: Form) -> Result<Self, DecodeError> {
        let content = form.text("content", MAX_CONTENT)?.into();
        Ok(Self { version: form.number("version")?, content })
    }
}

/// All a voter holds for one key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
pub struct Slot {
    /// Nothing below this is accepted any more.
    pub promised: Option<Ballot>,
    /// What stands here.
    pub accepted: Option<Accepted>,
}

impl Slot {
    pub(crate) fn to_json(&self, key: Key) -> JsonValue {
        form::object([
            ("key", form::word(key.as_str())),
            ("promised", form::maybe(self.promised.as_ref().map(Ballot::to_json))),
            ("accepted", form::maybe(self.accepted.as_ref().map(Accepted::to_json))),
        ])
    }

    pub(crate) fn read(value: &JsonValue) -> Result<(Key, Self), DecodeError> {
        let form = Form::of(value, "slot")?;
        let promised = Ballot::maybe(form.maybe("promised"), "promised")?;
        let accepted = form.maybe("accepted").map(Accepted::read).transpose()?;
        if accepted.as_ref().is_some_and(|accepted| promised.as_ref() < Some(&accepted.ballot)) {
            return Err(form::wrong("promised", "at least the accepted ballot"));
        }
        Ok((Key::read(form.get("key")?)?, Self { promised, accepted }))
    }
}
