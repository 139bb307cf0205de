//! HTTP calls to control: a single attempt at one machine, or attempts at several until there is a definite
//! answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, LOCATION};
use millpost_config::values::get_str;
use millpost_net::link::{Answer, Client, Error as LinkError, Options};
use tinyjson::JsonValue;

use crate::errors::{Error, RefusedSnafu, UnclearSnafu, UsageSnafu};
use crate::retry::{Attempt, Next, RetryPolicy};

/// Maximum length of an answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Assumed lowest throughput in bytes per second, by which the time-out grows with the body.
const MIN_THROUGHPUT: f64 = 256.0 * 1024.0;

/// The control machines given on the command line.
pub struct Controls {
    /// The addresses in the order in which they are tried.
    pub all: Vec<SocketAddr>,
    /// How long a call is retried until it gets a definite answer.
    pub within: Duration,
}

/// A definite answer.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// The machine that answered.
    pub by: SocketAddr,
    /// The number of attempts.
    pub tries: u32,
}

/// Makes a single call to one machine.
pub async fn once(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    within: Duration,
) -> Result<Answer, LinkError> {
    let mut headers = HeaderMap::new();
    if !body.is_empty() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    // No pings that would end a connection early: the network distance may be large.
    let client = Client::new(to, Options { connect_timeout: Some(within), ack_timeout: None });
    client.call(method, path, headers, body, within, MAX_ANSWER).await
}

impl Controls {
    /// Parses the comma-separated addresses.
    pub fn read(given: Option<&str>, give_up: f64) -> Result<Self, Error> {
        let Some(given) = given else {
            return UsageSnafu { why: "this command needs --control ADDR[,ADDR...]" }.fail();
        };
        let read = |part: &str| {
            let why = format!("--control: {part:?} is not an IP:port address");
            part.parse().map_err(|_| UsageSnafu { why }.build())
        };
        let all = given.split(',').map(str::trim).filter(|part| !part.is_empty()).map(read);
        let all = all.collect::<Result<Vec<_>, _>>()?;
        if all.is_empty() {
            return UsageSnafu { why: "--control contains no address" }.fail();
        }
        Ok(Controls { all, within: seconds("--give-up", give_up)? })
    }

    /// Repeats a call until the answer is definite or the time is up. For the latter case `what` says which
    /// request has no answer and what that means.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        what: &'static str,
    ) -> Result<Reply, Error> {
        let began = Instant::now();
        let timeout_s = match body.len() {
            // The length of the answer is not known.
            0 => 2.0,
            n => 1.0 + n as f64 / MIN_THROUGHPUT,
        };
        let timeout = Duration::from_secs_f64(timeout_s);
        let Some(mut policy) = RetryPolicy::new(self.all.clone(), path) else {
            return UsageSnafu { why: "--control contains no address" }.fail();
        };
        let ((mut to, mut path), mut tries) = (policy.first(), 0);
        loop {
            tries += 1;
            let answer = once(to, method.clone(), &path, body.clone(), timeout).await;
            let attempt = match &answer {
                Ok((status, headers, _)) => Attempt::Answer {
                    status: status.as_u16(),
                    location: headers.get(LOCATION).and_then(|l| l.to_str().ok()),
                },
                Err(_) => Attempt::NoAnswer,
            };
            let next = match &answer {
                // A majority has no configuration: retrying would not change the answer.
                Ok((status, _, body))
                    if method == Method::GET && error_kind(body).as_deref() == Some("empty") =>
                {
                    return Ok(Reply { status: status.as_u16(), body: Bytes::new(), by: to, tries });
                }
                _ => policy.next(attempt),
            };
            let last = match &answer {
                Ok((status, _, body)) => describe(status.as_u16(), body),
                Err(e) => e.to_string(),
            };
            match (next, answer) {
                (Next::Done, Ok((status, _, body))) => {
                    return Ok(Reply { status: status.as_u16(), body, by: to, tries });
                }
                (Next::Done, Err(_)) => {}
                (Next::Call { to: next_to, path: next_path, after }, _) => {
                    log::info!("{to}: {last}; trying {next_to}{next_path} in {} ms", after.as_millis());
                    if began.elapsed() + after >= self.within {
                        return UnclearSnafu { what, tries, last: format!("{to}: {last}") }.fail();
                    }
                    tokio::time::sleep(after).await;
                    (to, path) = (next_to, next_path);
                }
            }
        }
    }
}

/// Reads a path from the steward as JSON, with a single attempt.
pub async fn get_from_steward(
    steward: SocketAddr,
    path: &str,
    within: Duration,
    what: &'static str,
) -> Result<JsonValue, Error> {
    let unclear = |last: String| UnclearSnafu { what, tries: 1_u32, last }.build();
    let (status, _, body) = once(steward, Method::GET, path, Bytes::new(), within)
        .await
        .map_err(|e| unclear(format!("{steward}: {e}")))?;
    let status = status.as_u16();
    match status {
        200 => {
            let json = millpost_net::messaging::json(&body);
            json.ok_or_else(|| unclear(format!("{steward}: the answer is not valid JSON")))
        }
        409 | 500.. => Err(unclear(format!("{steward}: {}", describe(status, &body)))),
        _ => RefusedSnafu { by: steward, status, why: describe(status, &body) }.fail(),
    }
}

/// The `error` field of an answer.
fn error_kind(body: &[u8]) -> Option<String> {
    get_str(&millpost_net::messaging::json(body)?, "error").map(str::to_owned)
}

/// Describes an answer by its status and, if it is one of control's errors, by its `error` and `why` fields.
pub fn describe(status: u16, body: &[u8]) -> String {
    let json = millpost_net::messaging::json(body);
    let part = |key| json.as_ref().and_then(|json| get_str(json, key));
    match (part("error"), part("why")) {
        (Some(error), Some(why)) => format!("{status} {error}: {why}"),
        (Some(error), None) => format!("{status} {error}"),
        _ => status.to_string(),
    }
}

/// Parses a duration option in seconds.
pub fn seconds(option: &str, value: f64) -> Result<Duration, Error> {
    let span = Duration::try_from_secs_f64(value).ok().filter(|span| !span.is_zero());
    span.ok_or_else(|| {
        UsageSnafu { why: format!("{option}: {value} is not a positive number of seconds") }.build()
    })
}
