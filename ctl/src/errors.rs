//! Errors of the command and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use millpost_config::ConfigError;
use millpost_config::values::{list, number, object, string};
use snafu::Snafu;
use tinyjson::JsonValue;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("{}", why.trim_end()))]
    Usage {
        /// What is wrong with it.
        why: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The output can't be written.
    #[snafu(display("the output can't be written: {source}"))]
    Output {
        /// The cause.
        source: std::io::Error,
    },
    /// The asynchronous runtime can't be started.
    #[snafu(display("can't start the runtime: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// A file does not contain a valid configuration; nothing was sent.
    #[snafu(display("{}", source.lines().map(|l| format!("{}: {l}", path.display())).collect::<Vec<_>>().join("\n")))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The invalid keys and what is wrong with each.
        source: millpost_config::ConfigErrors,
    },
    /// The records on a disk can't be read.
    #[snafu(display("{source}"))]
    Disk {
        /// The cause.
        source: millpost_quorum_store::StoreError,
    },
    /// A record can't be read.
    #[snafu(display("{}: {source}", folder.display()))]
    Record {
        /// The folder.
        folder: PathBuf,
        /// The record and what is wrong with it.
        source: millpost_quorum::OpenError,
    },
    /// A disk contains no configuration.
    #[snafu(display("{}: key/config: contains no configuration", folder.display()))]
    NoStoredConfig {
        /// The folder.
        folder: PathBuf,
    },
    /// Control has refused a request.
    #[snafu(display("refused by {by} with {status}: {why}"))]
    Refused {
        /// The control machine that refused it.
        by: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The reason, with the invalid key if control names one.
        why: String,
    },
    /// No control machine that answers is the steward.
    #[snafu(display("no control machine that answers is the steward"))]
    NoSteward,
    /// The steward knows no move of this name.
    #[snafu(display("no move {name:?} is known to the steward"))]
    NoMove {
        /// The name that was asked for.
        name: String,
    },
    /// Control has no configuration yet.
    #[snafu(display("no configuration has been put yet"))]
    Empty,
    /// A request got no definite answer.
    #[snafu(display("no definite answer {what}; the last of {tries} attempts: {last}"))]
    Unclear {
        /// Which request, and what its missing answer means.
        what: &'static str,
        /// Number of attempts.
        tries: u32,
        /// The result of the last attempt.
        last: String,
    },
    /// A put was acknowledged, but another configuration is active.
    #[snafu(display(
        "revision {ours} was acknowledged but is not in force: revision {active} is active, {how}"
    ))]
    Superseded {
        /// The revision that was put.
        ours: u64,
        /// The active revision.
        active: u64,
        /// How the active configuration differs.
        how: &'static str,
    },
    /// Not all followers apply the revision in time.
    #[snafu(display(
        "revision {revision} is active, but after {seconds} s not all followers apply it: {followers}"
    ))]
    Late {
        /// The active revision.
        revision: u64,
        /// How long the command waited.
        seconds: f64,
        /// The followers that do not, with the revision that each applies.
        followers: String,
    },
}

/// Exit code: no problem was found, or the request was carried out.
pub const EXIT_OK: u8 = 0;
/// Exit code: there is a problem or a difference, which the output describes.
pub const EXIT_PROBLEM: u8 = 1;

impl Error {
    /// The name of the error in JSON, and the exit code.
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
            Error::NoStoredConfig { .. } => ("empty", 1),
            Error::Refused { .. } => ("refused", 3),
            Error::NoSteward => ("no_steward", 1),
            Error::NoMove { .. } => ("no_move", 1),
            Error::Empty => ("empty", 1),
            Error::Unclear { .. } => ("unclear", 4),
            Error::Superseded { .. } => ("overtaken", 5),
            Error::Late { .. } => ("late", 6),
        }
    }

    /// Encodes the error as JSON, with `faults` for an invalid file.
    pub fn to_json(&self) -> JsonValue {
        let (kind, code) = self.kind();
        let mut parts =
            vec![("error", string(kind)), ("why", string(&self.to_string())), ("exit", number(code.into()))];
        if let Error::Invalid { source, .. } = self {
            parts.push(("faults", list(source.list().iter().map(fault_json))));
            parts.push(("more", number(source.omitted() as u64)));
        }
        JsonValue::Object(parts.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    }
}

/// Encodes a configuration error as JSON.
pub fn fault_json(error: &ConfigError) -> JsonValue {
    match error {
        ConfigError::Field { path, reason } => object([("key", string(path)), ("reason", string(reason))]),
        other => object([("key", JsonValue::Null), ("reason", string(&other.to_string()))]),
    }
}
