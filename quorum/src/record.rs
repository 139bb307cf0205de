//! A voter's records on disk; keeps: what is read back is what was written whole, or an error that names the record.
//!
//! One record for each key, and the record `voter` (its state, its members and the format of all records), which is written last:
//! a disk without it holds at most a copy that was not finished, and counts as empty. Records of a newer format are never taken for
//! spoilt ones: the format is looked at before anything else. `docs/protocol/disk.md` describes the form.

use std::collections::BTreeMap;

use snafu::{ResultExt, Snafu};
use tinyjson::JsonValue;

use crate::ballot::{Key, Slot};
use crate::form::{self, DecodeError, Form};
use crate::members::Members;

/// The record of the voter itself.
const VOTER: &str = "voter";
/// The newest format that is read. It is written once there is a record of moves; until then format 1 is, which older versions read.
/// Records that name none have format 1.
pub const FORMAT: u64 = 2;
const FIRST: u64 = 1;

/// One record to put on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Where.
    pub key: String,
    /// What.
    pub text: String,
}

/// A record could not be read: the disk can't be trusted, and counts as empty.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// Not what was written.
    #[snafu(display("record {key}: {source}"))]
    Record {
        /// Which.
        key: String,
        /// FailureReason.
        source: DecodeError,
    },
    /// Written by a newer version of the program: nothing is wrong with them, but they can't be read here.
    #[snafu(display(
        "records of format {format}, from a newer version; this one reads up to format {FORMAT}"
    ))]
    Newer {
        /// Their format.
        format: u64,
    },
    /// Nothing of ours.
    #[snafu(display("record {key} is not one of a voter"))]
    Unknown {
        /// Which.
        key: String,
    },
}

pub(crate) fn of_slot(key: Key, slot: &Slot) -> Write {
    Write { key: format!("key/{}", key.as_str()), text: form::print(&slot.to_json(key)) }
}

/// The format of a disk that holds these keys.
pub(crate) fn format_of(mut keys: impl Iterator<Item = Key>) -> u64 {
    if keys.any(|key| key == Key::Migrations) { FORMAT } else { FIRST }
}

pub(crate) fn of_voter(members: &Members, format: u64) -> Write {
    let format = form::count(format);
    let fields =
        form::object([("state", form::word("voting")), ("members", members.to_json()), ("format", format)]);
    Write { key: VOTER.into(), text: form::print(&fields) }
}

/// What was on disk. No members: the disk is empty, or its copy was not finished.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) any: bool,
    pub(crate) members: Option<Members>,
    pub(crate) format: u64,
    pub(crate) slots: BTreeMap<Key, Slot>,
}

/// One record, read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The voter itself: the format of all records, and the members.
    Voter(u64, Members),
    /// What is held for a key.
    Slot(Key, Slot),
}

impl Record {
    /// Reads one record.
    pub fn read(key: &str, text: &str) -> Result<Self, OpenError> {
        if key == VOTER {
            return voter(text);
        }
        let Some(name) = key.strip_prefix("key/").and_then(Key::of) else {
            return UnknownSnafu { key }.fail();
        };
        Ok(Self::Slot(name, slot(name, text).context(RecordSnafu { key })?))
    }
}

pub(crate) fn read(records: impl IntoIterator<Item = (String, String)>) -> Result<Found, OpenError> {
    let records: Vec<_> = records.into_iter().collect();
    check_format(&records)?;
    let mut found = Found { any: !records.is_empty(), ..Found::default() };
    for (key, text) in records {
        match Record::read(&key, &text)? {
            Record::Voter(format, members) => (found.format, found.members) = (format, Some(members)),
            Record::Slot(key, slot) => {
                found.slots.insert(key, slot);
            }
        }
    }
    Ok(found)
}

/// Turns down records of a newer format, whatever else they hold.
pub fn check_format(records: &[(String, String)]) -> Result<(), OpenError> {
    let voters = records.iter().filter(|(key, _)| key == VOTER);
    let formats = voters.filter_map(|(_, text)| format(&form::parse(text).ok()?).ok());
    match formats.max() {
        Some(format) if format > FORMAT => NewerSnafu { format }.fail(),
        _ => Ok(()),
    }
}

fn format(voter: &JsonValue) -> Result<u64, DecodeError> {
    Form::of(voter, "voter")?.maybe("format").map_or(Ok(FIRST), |format| form::number(format, "format"))
}

fn voter(text: &str) -> Result<Record, OpenError> {
    let read = || {
        let value = form::parse(text)?;
        let form = Form::of(&value, "voter")?;
        let format = format(&value)?;
        if format > FORMAT {
            return Ok((format, None));
        }
        match form.text("state", 16)? {
            "voting" => Ok((format, Some(Members::from_json(form.get("members")?)?))),
            _ => Err(form::wrong("state", "a known state")),
        }
    };
    match read().context(RecordSnafu { key: VOTER })? {
        (format, Some(members)) => Ok(Record::Voter(format, members)),
        (format, None) => NewerSnafu { format }.fail(),
    }
}

fn slot(key: Key, text: &str) -> Result<Slot, DecodeError> {
    let (named, slot) = Slot::read(&form::parse(text)?)?;
    if named == key { Ok(slot) } else { Err(form::wrong("key", "the record's own")) }
}
