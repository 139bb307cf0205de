//! Error types, and their replies to callers.

use compact_str::CompactString;
use hyper::StatusCode;
use millpost_net::messaging::Reply;
use millpost_protocol::{object, text};
use snafu::Snafu;

/// A fatal error of the program.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Listening on an address failed.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings lack a required value.
    #[snafu(display("settings: {key}: missing; the controller requires it"))]
    Needed {
        /// Its key.
        key: &'static str,
    },
    /// Installing a signal handler failed.
    #[snafu(display("cannot handle signals: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// Starting the voter thread failed.
    #[snafu(display("cannot start the voter thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// The reason why a call fails.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// The path or name is unknown.
    Unknown,
    /// The path exists, but not with this method.
    Method,
    /// The request is malformed or invalid; with the reason.
    Invalid(String),
    /// No majority is reached: the caller should try another controller, or try again.
    NoMajority,
    /// There is no configuration yet.
    Empty,
    /// Too many calls are in progress.
    Busy,
    /// This controller is not the leader.
    NotLeader,
    /// The request is refused; with all reasons.
    Refused(Vec<String>),
    /// The outcome is unknown; the request may still take effect.
    Unclear,
    /// The stored record cannot be read.
    Unreadable,
    /// Other content was chosen under this revision, which is permanent.
    Conflict {
        /// The revision.
        revision: u64,
        /// The digest of the chosen content.
        chosen_digest: CompactString,
    },
}

impl CallError {
    /// Returns the reply to the caller.
    pub fn to_reply(&self) -> Reply {
        let (status, code) = match self {
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
            CallError::Conflict { revision, chosen_digest } => object([
                ("revision", tinyjson::JsonValue::Number(*revision as f64)),
                ("stands", text(chosen_digest)),
            ]),
            _ => tinyjson::JsonValue::Null,
        };
        let body = object([("error", text(code)), ("why", why)]).stringify().unwrap_or_default();
        Reply::json(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), body)
    }
}
