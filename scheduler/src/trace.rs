//! What a stall did with a request, as lines beside those of its desk: when it was read, what became of each of its tries, that its
//! client left. They are the inputs of its [`RequestFlow`](crate::RequestFlow) with their exact times, so that the answer that it got follows
//! from them; the desk hears nothing of them.

use std::collections::HashMap;

use compact_str::CompactString;
use millpost_protocol::line::{self, Line};
use millpost_protocol::{Fault, string, whole};
use tinyjson::JsonValue;

use crate::effect::DenialReason;
use crate::request_flow::RequestInfo;
use crate::{Nanos, Outcome};

/// A client's id of a try is cut to so many bytes.
const MAX_ID_BYTES: usize = 64;

/// One step of a request, under the number that the life gave it; or a word of the stall's own.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// It was read.
    Received {
        /// Its number in this life; its asks name it.
        p: u64,
        /// The client's id of this try.
        attempt: CompactString,
        /// Its route.
        route: CompactString,
        /// What is known of it. Its zone is the stall's.
        info: RequestInfo,
    },
    /// Its ask was turned down.
    Denied {
        /// Its number.
        p: u64,
        /// Why.
        reason: DenialReason,
    },
    /// The function that it was for is gone, and this is looked for in its place.
    Moved {
        /// Its number.
        p: u64,
        /// The function where its route leads now; none where there is no such route.
        to: Option<CompactString>,
    },
    /// Its time ended before word of its ask came.
    DeadlinePassed {
        /// Its number.
        p: u64,
    },
    /// A try is over.
    Ended {
        /// Its number.
        p: u64,
        /// When the call went out.
        begun: Nanos,
        /// Where it went.
        instance: CompactString,
        /// How it ended.
        outcome: Outcome,
        /// Something of it may have reached the endpoint.
        sent: bool,
        /// The status of the answer, where there was one.
        status: Option<u16>,
    },
    /// Its client left before it was answered.
    ClientLeft {
        /// Its number.
        p: u64,
    },
    /// A request was answered without any try: it makes no sense, or has no route.
    Rejected {
        /// The client's id of this try; empty where it has none.
        attempt: CompactString,
        /// The answer.
        status: u16,
    },
    /// A configuration is in force.
    ConfigInForce {
        /// Its revision.
        revision: u64,
    },
}

/// A client's id of a try, as lines hold it.
pub fn attempt_id(id: &[u8]) -> CompactString {
    String::from_utf8_lossy(&id[..id.len().min(MAX_ID_BYTES)]).into()
}

/// The words for these in lines.
pub const NAMES: [&str; 8] = ["request", "denied", "late", "ended", "left", "turned", "acts", "moved"];

impl TraceEvent {
    /// The word for it in a line.
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

    /// The request's number.
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
            TraceEvent::Received { attempt, route, info: wish, .. } => {
                line.text("id", attempt).text("r", route).text("s", &wish.service);
                line.time("came", wish.received_at)
                    .time("deadline", wish.deadline)
                    .time("target", wish.target);
                line.whole("most", wish.max_attempts.into())
                    .mark("again", wish.repeatable)
                    .mark("back", wish.returned);
            }
            TraceEvent::Denied { reason: no, .. } => {
                line.text("y", no.as_str());
                if let DenialReason::Full(wait) = no {
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

    /// Reads the line with this word.
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
                let no = match string(from, "y")?.as_str() {
                    "full" => DenialReason::Full(whole(from, "wait")?),
                    "skip" => DenialReason::Skip,
                    "spent" => DenialReason::Spent,
                    "unknown" => DenialReason::Unknown,
                    "moved" => DenialReason::Moved,
                    _ => return Err(Fault { key: "y".to_owned(), reason: "no word that is known" }),
                };
                TraceEvent::Denied { p: p()?, reason: no }
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
                    .ok_or(Fault { key: "o".to_owned(), reason: "no outcome" })?,
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
