//! What can go wrong, as one closed list, and the exit code of each.

use std::net::SocketAddr;
use std::path::PathBuf;

use millpost_config::ConfigError;
use millpost_config::values::{list, number, object, string};
use snafu::Snafu;
use tinyjson::JsonValue;

/// Why a command did not do what it was to do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line makes no sense.
    #[snafu(display("{}", why.trim_end()))]
    Usage {
        /// What is wrong with it.
        why: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The output can't be written.
    #[snafu(display("the output can't be written: {source}"))]
    Output {
        /// Why.
        source: std::io::Error,
    },
    /// Nothing can be run.
    #[snafu(display("no runtime: {source}"))]
    Runtime {
        /// Why.
        source: std::io::Error,
    },
    /// What a file holds is no configuration; nothing was sent.
    #[snafu(display("{}", source.lines().map(|l| format!("{}: {l}", path.display())).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// Which file.
        path: PathBuf,
        /// Each key, and what is wrong with it.
        source: millpost_config::ConfigErrors,
    },
    /// The records on a disk can't be got at, or not made sense of.
    #[snafu(display("{source}"))]
    Disk {
        /// Why.
        source: millpost_quorum_store::StoreError,
    },
    /// A record can't be read.
    #[snafu(display("{}: {source}", folder.display()))]
    Record {
        /// Where.
        folder: PathBuf,
        /// The record, and what is wrong with it.
        source: millpost_quorum::OpenError,
    },
    /// There is no configuration on a disk.
    #[snafu(display("{}: key/config: no configuration stands there", folder.display()))]
    Bare {
        /// Where.
        folder: PathBuf,
    },
    /// Control has turned it down.
    #[snafu(display("refused by {by} with {status}: {why}"))]
    Refused {
        /// Who.
        by: SocketAddr,
        /// The status.
        status: u16,
        /// The key, and what is wrong with it, where that was said.
        why: String,
    },
    /// Nobody to ask how functions stand.
    #[snafu(display("nobody who answers is the steward"))]
    NoSteward,
    /// No such move.
    #[snafu(display("no move {name:?} is known to the steward"))]
    NoMove {
        /// Its name.
        name: String,
    },
    /// Nothing has been put there yet.
    #[snafu(display("no configuration has been put yet"))]
    Empty,
    /// No clear answer.
    #[snafu(display("no clear answer {what}; the last of {tries} tries: {last}"))]
    Unclear {
        /// To what, and what that means.
        what: &'static str,
        /// How often it was tried.
        tries: u32,
        /// What the last one came to.
        last: String,
    },
    /// What was acknowledged is not what stands.
    #[snafu(display("revision {ours} is acknowledged, and not in force: revision {stands} stands, {how}"))]
    Overtaken {
        /// What was put.
        ours: u64,
        /// What stands.
        stands: u64,
        /// How that differs.
        how: &'static str,
    },
    /// Not all that follow act on it yet.
    #[snafu(display("revision {revision} stands, and after {seconds} s not all act on it: {who}"))]
    Late {
        /// What stands.
        revision: u64,
        /// How long was waited.
        seconds: f64,
        /// Who does not, and on what it acts.
        who: String,
    },
}

/// All is well, or what was asked for is done.
pub const WELL: u8 = 0;
/// What was looked at is not well, or differs; the output says what.
pub const NOT_WELL: u8 = 1;

impl Error {
    /// The word for it in JSON, and the exit code.
    pub fn kind(&self) -> (&'static str, u8) {
        match self {
            Error::Usage { .. } => ("usage", 2),
            Error::File { .. } => ("file", 2),
            Error::Output { .. } => ("output", 2),
            Error::Runtime { .. } => ("runtime", 2),
            Error::Invalid { .. } => ("invalid", 3),
            Error::Disk { source } if source.is_corrupted() => ("spoilt", 3),
            Error::Disk { .. } => ("store", 2),
            Error::Record { source: millpost_quorum::OpenError::Newer { .. }, .. } => ("newer", 3),
            Error::Record { .. } => ("spoilt", 3),
            Error::Bare { .. } => ("empty", 1),
            Error::Refused { .. } => ("refused", 3),
            Error::NoSteward => ("no_steward", 1),
            Error::NoMove { .. } => ("no_move", 1),
            Error::Empty => ("empty", 1),
            Error::Unclear { .. } => ("unclear", 4),
            Error::Overtaken { .. } => ("overtaken", 5),
            Error::Late { .. } => ("late", 6),
        }
    }

    /// As JSON; `faults` where a file holds several.
    pub fn to_json(&self) -> JsonValue {
        let (kind, code) = self.kind();
        let mut parts =
            vec![("error", string(kind)), ("why", string(&self.to_string())), ("exit", number(code.into()))];
        if let Error::Invalid { source, .. } = self {
            parts.push(("faults", list(source.list().iter().map(fault))));
            parts.push(("more", number(source.omitted() as u64)));
        }
        JsonValue::Object(parts.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    }
}

/// A fault as JSON.
pub fn fault(fault: &ConfigError) -> JsonValue {
    match fault {
        ConfigError::Field { path, reason } => object([("key", string(path)), ("reason", string(reason))]),
        other => object([("key", JsonValue::Null), ("reason", string(&other.to_string()))]),
    }
}
