//! What can go wrong, as one closed list, and what a client is told of it.

use std::time::Duration;

use hyper::StatusCode;
use millpost_scheduler::Refusal;
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
    #[snafu(display("settings: {key}: missing, and a stall needs it"))]
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
}

/// Why a client gets an answer of ours.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// What came is no request that may be passed on.
    Malformed,
    /// No route is there for it.
    NoRoute,
    /// Its body is longer than the configuration allows.
    TooLarge,
    /// Its body did not come in time.
    Slow,
    /// It got no endpoint's answer.
    Refused(Refusal),
}

impl Kind {
    /// The status, and when to come back. A status that promises that the request has not run stands only where it has not.
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
    fn what_may_have_run_gets_no_status_that_promises_otherwise(kind: Kind, status: u16, wait: bool) {
        let (told, when) = kind.answer();
        assert_eq!((told.as_u16(), when.is_some()), (status, wait));
    }
}
