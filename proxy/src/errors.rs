//! Errors of the program, and the answers to requests that no instance answered.

use std::time::Duration;

use hyper::StatusCode;
use millpost_scheduler::Refusal;
use snafu::Snafu;

/// Why the program cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings lack a key that the proxy requires.
    #[snafu(display("settings: {key}: missing, but required by the proxy"))]
    Needed {
        /// The missing key.
        key: &'static str,
    },
    /// Signal handlers cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

/// Why the proxy itself answers a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// The request is invalid and cannot be forwarded.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body did not arrive in time.
    Slow,
    /// No instance answered the request.
    Refused(Refusal),
}

impl Kind {
    /// Returns the status and, if a retry makes sense, the time after which to retry. A status that promises
    /// that the request was not executed is used only if it was not.
    pub fn answer(self) -> (StatusCode, Option<Duration>) {
        match self {
            Kind::Malformed => (StatusCode::BAD_REQUEST, None),
            Kind::NoRoute => (StatusCode::NOT_FOUND, None),
            Kind::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, None),
            Kind::Slow => (StatusCode::REQUEST_TIMEOUT, None),
            Kind::Refused(refusal) => {
                let (status, wait) = refusal.answer();
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                (status, wait.map(Duration::from_nanos))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use millpost_scheduler::MS;

    use super::*;

    #[yare::parameterized(
        full = { Kind::Refused(Refusal::Full(300 * MS)), 503, true },
        none = { Kind::Refused(Refusal::NotReady), 503, true },
        unsent = { Kind::Refused(Refusal::NotSent), 503, true },
        no_answer = { Kind::Refused(Refusal::NoAnswer), 502, false },
        late = { Kind::Refused(Refusal::TimedOut), 504, false },
        no_route = { Kind::NoRoute, 404, false },
    )]
    fn a_request_that_may_have_been_executed_gets_no_status_that_promises_otherwise(
        kind: Kind,
        status: u16,
        wait: bool,
    ) {
        let (actual, retry_after) = kind.answer();
        assert_eq!((actual.as_u16(), retry_after.is_some()), (status, wait));
    }
}
