//! A voter's records on disk. Invariant: reading returns exactly what was written, or an error that names the
//! record.
//!
//! There is one record for each key, and the record `voter` with the voter's state, its members and the
//! format of all records. The record `voter` is written last: a disk without it holds at most an incomplete
//! copy, and counts as empty. Records of a newer format are never reported as corrupted, because the format
//! is checked before anything else. `docs/protocol/disk.md` describes the encoding.

use std::collections::BTreeMap;

use snafu::{ResultExt, Snafu};
use tinyjson::JsonValue;

use crate::ballot::{Key, Slot};
use crate::json::{self, DecodeError, Object};
use crate::members::Members;

/// The key of the record of the voter itself.
const VOTER: &str = "voter";
/// The newest format that can be read. It is written once a record is longer than [`MAX_WHOLE_RECORD`]; until then
/// an older format is written, which older versions can read. Records without a format have format 1.
pub const FORMAT: u64 = 3;
/// The format since which there may be a record of migrations.
const MIGRATIONS_FORMAT: u64 = 2;
const FIRST_FORMAT: u64 = 1;
/// Length in bytes up to which a record is stored whole. Since format 3, a longer one is stored in parts.
pub const MAX_WHOLE_RECORD: usize = 16 << 10;

/// One record to write to disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The encoded content.
    pub text: String,
}

/// Why the records on a disk could not be read. The disk cannot be trusted, and counts as empty.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum OpenError {
    /// A record is corrupted.
    #[snafu(display("record {key}: {source}"))]
    Record {
        /// The key of the record.
        key: String,
        /// Why it could not be decoded.
        source: DecodeError,
    },
    /// The records were written by a newer version of the program. They are valid, but this version cannot
    /// read them.
    #[snafu(display(
        "records of format {format}, from a newer version; this one reads up to format {FORMAT}"
    ))]
    Newer {
        /// The format of the records.
        format: u64,
    },
    /// A record has a key that no voter writes.
    #[snafu(display("record {key} is not a record of a voter"))]
    Unknown {
        /// The key of the record.
        key: String,
    },
}

pub(crate) fn of_slot(key: Key, slot: &Slot) -> Write {
    Write { key: format!("key/{}", key.as_str()), text: json::print(&slot.to_json(key)) }
}

/// Returns the lowest format that allows these records.
pub(crate) fn format_of(records: &[Write]) -> u64 {
    let migrations = format!("key/{}", Key::Migrations.as_str());
    if records.iter().any(|record| record.text.len() > MAX_WHOLE_RECORD) {
        FORMAT
    } else if records.iter().any(|record| record.key == migrations) {
        MIGRATIONS_FORMAT
    } else {
        FIRST_FORMAT
    }
}

pub(crate) fn of_voter(members: &Members, format: u64) -> Write {
    let format = json::uint(format);
    let fields =
        json::object([("state", json::string("voting")), ("members", members.to_json()), ("format", format)]);
    Write { key: VOTER.into(), text: json::print(&fields) }
}

/// The content of a disk. Without members the disk is empty or holds an incomplete copy.
#[derive(Debug, Default)]
pub(crate) struct Records {
    pub(crate) any_record: bool,
    pub(crate) members: Option<Members>,
    pub(crate) format: u64,
    pub(crate) slots: BTreeMap<Key, Slot>,
}

/// One decoded record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The voter itself: the format of all records, and the members.
    Voter(u64, Members),
    /// The state for a key.
    Slot(Key, Slot),
}

impl Record {
    /// Decodes one record.
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

pub(crate) fn read(records: impl IntoIterator<Item = (String, String)>) -> Result<Records, OpenError> {
    let records: Vec<_> = records.into_iter().collect();
    check_format(&records)?;
    let mut found = Records { any_record: !records.is_empty(), ..Records::default() };
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

/// Rejects records of a newer format, whatever else they contain.
pub fn check_format(records: &[(String, String)]) -> Result<(), OpenError> {
    let voters = records.iter().filter(|(key, _)| key == VOTER);
    let formats = voters.filter_map(|(_, text)| format(&json::parse(text).ok()?).ok());
    match formats.max() {
        Some(format) if format > FORMAT => NewerSnafu { format }.fail(),
        _ => Ok(()),
    }
}

fn format(voter: &JsonValue) -> Result<u64, DecodeError> {
    Object::of(voter, "voter")?
        .optional("format")
        .map_or(Ok(FIRST_FORMAT), |format| json::read_uint(format, "format"))
}

fn voter(text: &str) -> Result<Record, OpenError> {
    let read = || {
        let value = json::parse(text)?;
        let object = Object::of(&value, "voter")?;
        let format = format(&value)?;
        if format > FORMAT {
            return Ok((format, None));
        }
        match object.string("state", 16)? {
            "voting" => Ok((format, Some(Members::from_json(object.required("members")?)?))),
            _ => Err(json::wrong("state", "a known state")),
        }
    };
    match read().context(RecordSnafu { key: VOTER })? {
        (format, Some(members)) => Ok(Record::Voter(format, members)),
        (format, None) => NewerSnafu { format }.fail(),
    }
}

fn slot(key: Key, text: &str) -> Result<Slot, DecodeError> {
    let (own_key, slot) = Slot::read(&json::parse(text)?)?;
    if own_key == key { Ok(slot) } else { Err(json::wrong("key", "the key of the record")) }
}
