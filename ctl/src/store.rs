//! The records on a control machine's disk, read without the machine. They may be out of date: only a
//! majority of disks determines which value is chosen.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use millpost_config::values::{list, number, object, string};
use millpost_config::{Config, ConfigError, ConfigErrors};
use millpost_net::pack::plain;
use millpost_quorum::{Accepted, Ballot, Key, MAX_CONTENT, Members, Record, Slot, check_format};
use snafu::ResultExt;
use tinyjson::JsonValue;

use crate::errors::{DiskSnafu, Error, InvalidSnafu, NoStoredConfigSnafu, RecordSnafu, fault_json};
use crate::status::table;

/// The records of a disk.
pub struct Store {
    /// The folder of the records.
    pub folder: PathBuf,
    records: Vec<Row>,
}

/// A record and its faults.
struct Row {
    key: String,
    bytes: usize,
    record: Option<Record>,
    /// A short description of the content.
    content: String,
    faults: Vec<ConfigError>,
}

/// Reads all raw records and the folder that contains them. The store may panic on a corrupt file; the panic
/// message is suppressed, and the failure is returned as an error.
fn read_records(folder: &Path) -> Result<(PathBuf, Vec<(String, String)>), Error> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = millpost_quorum_store::read_copy(folder);
    std::panic::set_hook(hook);
    let (folder, records) = result.context(DiskSnafu)?;
    check_format(&records).with_context(|_| RecordSnafu { folder: folder.clone() })?;
    Ok((folder, records))
}

fn fault(path: &str, reason: impl ToString) -> Vec<ConfigError> {
    vec![ConfigError::Field { path: path.to_owned(), reason: reason.to_string() }]
}

/// Unpacks the text of a configuration in the register.
fn config_text(content: &str) -> Result<String, ConfigError> {
    let reason = || "is neither JSON nor packed JSON".to_owned();
    let text = plain(content, MAX_CONTENT).ok_or_else(|| ConfigError::Text { reason: reason() })?;
    Ok(text.into_owned())
}

fn config(content: &str) -> Result<Config, ConfigErrors> {
    Config::parse_collecting_errors(&config_text(content)?)
}

/// Describes the value of a slot, and lists its faults.
fn describe_value(key: Key, accepted: &Accepted) -> (String, Vec<ConfigError>) {
    let content = &accepted.value.content;
    let (summary, version) = match key {
        Key::Config => match config(content) {
            Err(faults) => {
                let more = faults.omitted();
                let beyond = (more > 0).then(|| fault("the whole", format!("has {more} more faults")));
                let all = faults.into_vec().into_iter().chain(beyond.into_iter().flatten());
                return (String::new(), all.collect());
            }
            Ok(config) => {
                let (routes, services) = (config.routes.len(), config.services.len());
                (format!("a configuration: {routes} routes, {services} services"), config.revision)
            }
        },
        Key::Leader => (format!("steward {}", content.escape_debug()), accepted.value.version),
        Key::Migrations => match millpost_migration::Record::read(content) {
            Err(e) => return (String::new(), fault("content", e)),
            Ok(record) => {
                let (all, open) = (record.moves.len(), record.open().count());
                (format!("moves: {all}, open: {open}"), accepted.value.version)
            }
        },
        Key::Members => match Members::parse(content) {
            Err(e) => return (String::new(), fault("content", e)),
            Ok(members) => (describe_members(&members), members.epoch),
        },
    };
    let faults = match accepted.value.version {
        at if at == version => Vec::new(),
        at => fault("version", format!("is {at}, but the content has {version}")),
    };
    (summary, faults)
}

fn describe_members(members: &Members) -> String {
    let next = members.next.as_ref().map(|next| format!(", next {}", next.join(" ")));
    format!("epoch {}, voters {}{}", members.epoch, members.voters.join(" "), next.unwrap_or_default())
}

fn row(key: &str, text: &str) -> Row {
    let (record, summary, faults) = match Record::read(key, text) {
        Err(millpost_quorum::OpenError::Record { source, .. }) => {
            (None, String::new(), vec![ConfigError::Text { reason: source.to_string() }])
        }
        Err(_) => {
            (None, String::new(), vec![ConfigError::Text { reason: "is not a record of a voter".to_owned() }])
        }
        Ok(record) => {
            let (summary, faults) = match &record {
                Record::Voter(format, members) => {
                    (format!("format {format}, {}", describe_members(members)), vec![])
                }
                Record::Slot(key, slot) => {
                    slot.accepted.as_ref().map(|accepted| describe_value(*key, accepted)).unwrap_or_default()
                }
            };
            (Some(record), summary, faults)
        }
    };
    Row { key: key.escape_debug().to_string(), bytes: text.len(), record, content: summary, faults }
}

fn ballot(ballot: &Ballot) -> String {
    format!("{}/{}/{}", ballot.counter, ballot.proposer.escape_debug(), ballot.incarnation)
}

impl Row {
    fn slot(&self) -> Option<&Slot> {
        match &self.record {
            Some(Record::Slot(_, slot)) => Some(slot),
            _ => None,
        }
    }

    fn accepted(&self) -> Option<&Accepted> {
        self.slot().and_then(|slot| slot.accepted.as_ref())
    }

    fn cells(&self) -> Vec<String> {
        let or = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
        let accepted = self.accepted();
        vec![
            self.key.clone(),
            or(self.slot().and_then(|slot| slot.promised.as_ref()).map(ballot)),
            or(accepted.map(|accepted| ballot(&accepted.ballot))),
            or(accepted.map(|accepted| accepted.value.version.to_string())),
            or(accepted.map(|accepted| accepted.value.content.len().to_string())),
            or(accepted.map(|accepted| if accepted.copied { "yes" } else { "no" }.to_owned())),
            if self.faults.is_empty() { self.content.clone() } else { "WRONG".to_owned() },
        ]
    }

    fn to_json(&self) -> JsonValue {
        let or = |value: Option<JsonValue>| value.unwrap_or(JsonValue::Null);
        let accepted = self.accepted();
        let promised = self.slot().and_then(|slot| slot.promised.as_ref());
        object([
            ("key", string(&self.key)),
            ("bytes", number(self.bytes as u64)),
            ("promised", or(promised.map(|promised| string(&ballot(promised))))),
            ("ballot", or(accepted.map(|accepted| string(&ballot(&accepted.ballot))))),
            ("version", or(accepted.map(|accepted| number(accepted.value.version)))),
            ("length", or(accepted.map(|accepted| number(accepted.value.content.len() as u64)))),
            ("copied", or(accepted.map(|accepted| JsonValue::Boolean(accepted.copied)))),
            ("holds", string(&self.content)),
            ("faults", list(self.faults.iter().map(fault_json))),
        ])
    }
}

impl Store {
    /// Reads the records of a folder, which may be in use.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let (folder, records) = read_records(folder)?;
        Ok(Store { folder, records: records.iter().map(|(key, text)| row(key, text)).collect() })
    }

    /// Whether no record has faults.
    pub fn is_good(&self) -> bool {
        self.records.iter().all(|row| row.faults.is_empty())
    }

    /// The state that a voter started from these records would have.
    fn state(&self) -> &'static str {
        match () {
            () if self.records.is_empty() => "empty",
            // A single unreadable record makes all of them untrusted.
            () if self.records.iter().any(|row| row.record.is_none()) => "spoilt",
            () if self.records.iter().any(|row| matches!(row.record, Some(Record::Voter(..)))) => "votes",
            () => "copy_not_finished",
        }
    }

    /// A table of the records, followed by their faults.
    pub fn text(&self) -> String {
        let state = match self.state() {
            "empty" => "no records: a voter that starts from it has no state",
            "spoilt" => {
                "CORRUPT: a voter that starts from it sets the records aside and copies from the others"
            }
            "votes" => "the records of a voter; a voter that starts from it votes",
            _ => "an unfinished copy: a voter that starts from it has no state",
        };
        let folder = self.folder.display();
        let mut text = format!("{folder}: {state}\n");
        if !self.records.is_empty() {
            let head = ["record", "promised", "ballot", "version", "length", "copied", "holds"];
            let mut rows = vec![head.map(str::to_owned).to_vec()];
            rows.extend(self.records.iter().map(Row::cells));
            text.push_str(&table(&rows));
        }
        for row in &self.records {
            for fault in &row.faults {
                let _ = writeln!(text, "WRONG: {folder}: {}: {fault}", row.key);
            }
        }
        text
    }

    /// Encodes the records as JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("folder", string(&self.folder.display().to_string())),
            ("state", string(self.state())),
            ("records", list(self.records.iter().map(Row::to_json))),
            ("good", JsonValue::Boolean(self.is_good())),
        ])
    }
}

/// The configuration stored on a disk.
pub struct StoredConfig {
    /// The folder of the records.
    pub folder: PathBuf,
    /// The text as it was put.
    pub text: String,
    /// The revision.
    pub revision: u64,
    /// The ballot under which it was accepted.
    pub ballot: String,
    /// Whether it was copied from other disks after this one had been lost.
    pub copied: bool,
}

/// Reads the configuration stored on a disk, whether it is chosen or not. Other records may be corrupt.
pub fn stored_config(folder: &Path) -> Result<StoredConfig, Error> {
    let (folder, records) = read_records(folder)?;
    let Some((key, record)) = records.iter().find(|(key, _)| key == "key/config") else {
        return NoStoredConfigSnafu { folder }.fail();
    };
    let record = Record::read(key, record).with_context(|_| RecordSnafu { folder: folder.clone() })?;
    let Record::Slot(_, Slot { accepted: Some(accepted), .. }) = record else {
        return NoStoredConfigSnafu { folder }.fail();
    };
    let path = folder.join(key);
    let text = config_text(&accepted.value.content)
        .map_err(ConfigErrors::from)
        .context(InvalidSnafu { path: &path })?;
    let revision = Config::parse_collecting_errors(&text).context(InvalidSnafu { path })?.revision;
    Ok(StoredConfig { folder, text, revision, ballot: ballot(&accepted.ballot), copied: accepted.copied })
}
