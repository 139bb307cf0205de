//! What can go wrong, as one closed list, and what a caller is told of it.

use compact_str::CompactString;
use hyper::StatusCode;
use millpost_net::messaging::Reply;
use millpost_protocol::{object, text};
use snafu::Snafu;

/// Why the program can't go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: std::io::Error,
    },
    /// The settings lack something that this role needs.
    #[snafu(display("settings: {key}: missing, and control needs it"))]
    Needed {
        /// Its key.
        key: &'static str,
    },
    /// Signals can't be waited for.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
    /// No thread for the disk.
    #[snafu(display("no thread for the disk: {source}"))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
}

/// Why a caller does not get what it asked for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// Nothing is there under this name.
    Unknown,
    /// Another method is meant.
    Method,
    /// What came can't be read, or is not valid; with what is wrong.
    Invalid(String),
    /// No majority answers here: try another, or again.
    NoMajority,
    /// Nothing has been put there yet.
    Empty,
    /// Too much is under way.
    Busy,
    /// This one is not the leader.
    NotLeader,
    /// What is asked for can't be; with all reasons.
    Refused(Vec<String>),
    /// It is not clear here; it may come to be all the same.
    Unclear,
    /// What is kept of it can't be read.
    Unreadable,
    /// Another content stands under this revision, for good.
    Conflict {
        /// The revision.
        revision: u64,
        /// The digest of the content that stands.
        stands: CompactString,
    },
}

impl CallError {
    /// Status and text.
    pub fn to_reply(&self) -> Reply {
        let (status, word) = match self {
            CallError::Unknown => (404, "unknown"),
            CallError::Method => (405, "method"),
            CallError::Invalid(_) => (400, "invalid"),
            CallError::NoMajority => (503, "no_majority"),
            CallError::Empty => (503, "empty"),
            CallError::Busy => (503, "busy"),
            CallError::NotLeader => (409, "not_steward"),
            CallError::Refused(_) => (422, "refused"),
            CallError::Unclear => (503, "unclear"),
            CallError::Unreadable => (503, "unreadable"),
            CallError::Conflict { .. } => (409, "conflict"),
        };
        let why = match self {
            CallError::Invalid(why) => text(why),
            CallError::Refused(reasons) => {
                tinyjson::JsonValue::Array(reasons.iter().map(|r| text(r)).collect())
            }
            CallError::Conflict { revision, stands } => object([
                ("revision", tinyjson::JsonValue::Number(*revision as f64)),
                ("stands", text(stands)),
            ]),
            _ => tinyjson::JsonValue::Null,
        };
        let body = object([("error", text(word)), ("why", why)]).stringify().unwrap_or_default();
        Reply::json(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body)
    }
}
