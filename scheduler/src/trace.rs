//! Trace of client requests, written beside the inputs of the coordinator: arrival, outcome of each
//! attempt, client disconnects. The events are the inputs of [`RequestFlow`](crate::RequestFlow) with
//! their exact times, so that the response to the client can be derived from them. The coordinator does
//! not receive them.

use std::collections::HashMap;

use compact_str::CompactString;
use millpost_protocol::line::{self, Line};
use millpost_protocol::{Fault, string, whole};
use tinyjson::JsonValue;

use crate::effect::DenialReason;
use crate::request_flow::RequestInfo;
use crate::{Nanos, Outcome};

/// Maximum length of a client's attempt id, in bytes; longer ones are truncated.
const MAX_ID_BYTES: usize = 64;

/// One event of a request, identified by its trace number, or an event of the proxy itself.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// The request was read.
    Received {
        /// Trace number, unique within the incarnation and referred to by its permit requests.
        p: u64,
        /// The client's id of this attempt.
        attempt: CompactString,
        /// Route of the request.
        route: CompactString,
        /// Properties of the request. Its zone is that of the proxy and is not recorded.
        info: RequestInfo,
    },
    /// A permit was denied.
    Denied {
        /// Trace number.
        p: u64,
        /// Reason of the denial.
        reason: DenialReason,
    },
    /// The function no longer exists, and the route was resolved again.
    Moved {
        /// Trace number.
        p: u64,
        /// Function the route leads to now; `None` if there is no such route.
        to: Option<CompactString>,
    },
    /// The time of the request ran out before its permit request was answered.
    DeadlinePassed {
        /// Trace number.
        p: u64,
    },
    /// An attempt ended.
    Ended {
        /// Trace number.
        p: u64,
        /// When the attempt was sent.
        begun: Nanos,
        /// Instance it was sent to.
        instance: CompactString,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Whether something may have reached the endpoint.
        sent: bool,
        /// Status of the answer, if there was one.
        status: Option<u16>,
    },
    /// The client disconnected before it was answered.
    ClientLeft {
        /// Trace number.
        p: u64,
    },
    /// A request was answered without any attempt: it is invalid or has no route.
    Rejected {
        /// The client's id of this attempt; empty if there is none.
        attempt: CompactString,
        /// Status of the response.
        status: u16,
    },
    /// A configuration took effect.
    ConfigInForce {
        /// Revision of the configuration.
        revision: u64,
    },
}

/// Converts a client's attempt id to the form used in the trace.
pub fn attempt_id(id: &[u8]) -> CompactString {
    String::from_utf8_lossy(&id[..id.len().min(MAX_ID_BYTES)]).into()
}

/// Names of the events in lines.
pub const NAMES: [&str; 8] = ["request", "denied", "late", "ended", "left", "turned", "acts", "moved"];

impl TraceEvent {
    /// Name of the event in a line.
    pub fn name(&self) -> &'static str {
        match self {
            TraceEvent::Received { .. } => NAMES[0],
            TraceEvent::Denied { .. } => NAMES[1],
            TraceEvent::DeadlinePassed { .. } => NAMES[2],
            TraceEvent::Ended { .. } => NAMES[3],
            TraceEvent::ClientLeft { .. } => NAMES[4],
            TraceEvent::Rejected { .. } => NAMES[5],
            TraceEvent::ConfigInForce { .. } => NAMES[6],
            TraceEvent::Moved { .. } => NAMES[7],
        }
    }

    /// Trace number of the request.
    pub fn of(&self) -> Option<u64> {
        match self {
            TraceEvent::Received { p, .. }
            | TraceEvent::Denied { p, .. }
            | TraceEvent::Moved { p, .. }
            | TraceEvent::DeadlinePassed { p }
            | TraceEvent::Ended { p, .. }
            | TraceEvent::ClientLeft { p } => Some(*p),
            TraceEvent::Rejected { .. } | TraceEvent::ConfigInForce { .. } => None,
        }
    }

    pub(crate) fn write(&self, line: &mut Line) {
        if let Some(p) = self.of() {
            line.whole("p", p);
        }
        match self {
            TraceEvent::Received { attempt, route, info, .. } => {
                line.text("id", attempt).text("r", route).text("s", &info.service);
                line.time("came", info.received_at)
                    .time("deadline", info.deadline)
                    .time("target", info.target);
                line.whole("most", info.max_attempts.into())
                    .mark("again", info.repeatable)
                    .mark("back", info.returned);
            }
            TraceEvent::Denied { reason, .. } => {
                line.text("y", reason.as_str());
                if let DenialReason::Full(wait) = reason {
                    line.time("wait", *wait);
                }
            }
            TraceEvent::Moved { to, .. } => {
                if let Some(to) = to {
                    line.text("s", to);
                }
            }
            TraceEvent::Ended { begun, instance, outcome, sent, status, .. } => {
                line.time("begun", *begun)
                    .text("i", instance)
                    .text("o", outcome.as_str())
                    .mark("sent", *sent);
                if let Some(status) = status {
                    line.whole("status", (*status).into());
                }
            }
            TraceEvent::Rejected { attempt, status } => {
                line.text("id", attempt).whole("status", (*status).into());
            }
            TraceEvent::ConfigInForce { revision } => {
                line.whole("v", *revision);
            }
            TraceEvent::DeadlinePassed { .. } | TraceEvent::ClientLeft { .. } => {}
        }
    }

    /// Reads the event with this name.
    pub(crate) fn read(name: &str, from: &HashMap<String, JsonValue>) -> Result<Self, Fault> {
        let p = || line::large(from, "p");
        let status = || {
            let fault = Fault { key: "status".to_owned(), reason: "too large" };
            u16::try_from(whole(from, "status")?).map_err(|_| fault)
        };
        Ok(match name {
            "request" => TraceEvent::Received {
                p: p()?,
                attempt: string(from, "id")?,
                route: string(from, "r")?,
                info: RequestInfo {
                    service: string(from, "s")?,
                    zone: CompactString::default(),
                    target: whole(from, "target")?,
                    repeatable: line::flag(from, "again")?,
                    max_attempts: u32::try_from(whole(from, "most")?)
                        .map_err(|_| Fault { key: "most".to_owned(), reason: "too large" })?,
                    received_at: whole(from, "came")?,
                    deadline: whole(from, "deadline")?,
                    returned: line::flag(from, "back")?,
                },
            },
            "denied" => {
                let reason = match string(from, "y")?.as_str() {
                    "full" => DenialReason::Full(whole(from, "wait")?),
                    "skip" => DenialReason::Skip,
                    "spent" => DenialReason::Spent,
                    "unknown" => DenialReason::Unknown,
                    "moved" => DenialReason::Moved,
                    _ => return Err(Fault { key: "y".to_owned(), reason: "unknown denial reason" }),
                };
                TraceEvent::Denied { p: p()?, reason }
            }
            "moved" => TraceEvent::Moved {
                p: p()?,
                to: from.contains_key("s").then(|| string(from, "s")).transpose()?,
            },
            "late" => TraceEvent::DeadlinePassed { p: p()? },
            "ended" => TraceEvent::Ended {
                p: p()?,
                begun: whole(from, "begun")?,
                instance: string(from, "i")?,
                outcome: Outcome::parse(&string(from, "o")?)
                    .ok_or(Fault { key: "o".to_owned(), reason: "unknown outcome" })?,
                sent: line::flag(from, "sent")?,
                status: from.contains_key("status").then(status).transpose()?,
            },
            "left" => TraceEvent::ClientLeft { p: p()? },
            "turned" => TraceEvent::Rejected { attempt: string(from, "id")?, status: status()? },
            "acts" => TraceEvent::ConfigInForce { revision: whole(from, "v")? },
            _ => return Err(Fault { key: "in".to_owned(), reason: "no input of a desk" }),
        })
    }
}
