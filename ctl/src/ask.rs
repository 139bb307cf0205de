//! Calls to control: one machine once, or as an operator, on and on until an answer is clear.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, LOCATION};
use millpost_config::values::get_str;
use millpost_net::link::{Answer, Client, Error as LinkError, Options};
use tinyjson::JsonValue;

use crate::course::{Course, Next, Seen};
use crate::errors::{Error, RefusedSnafu, UnclearSnafu, UsageSnafu};

/// The longest answer that is read.
const LONGEST: usize = 16 << 20;
/// Beside its second of silence an operator gives a body one for this much of it.
const A_SECOND: f64 = 256.0 * 1024.0;

/// Control, as the command line names it.
pub struct Controls {
    /// The addresses, in the order that they are tried in.
    pub all: Vec<SocketAddr>,
    /// How long a call that gets no clear answer is made again.
    pub within: Duration,
}

/// A clear answer.
pub struct Given {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
    /// Who gave it.
    pub by: SocketAddr,
    /// Which attempt it was.
    pub tries: u32,
}

/// One call to one machine.
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
    // No pings that end a connection early: this may come from far away.
    let client = Client::new(to, Options { connect_timeout: Some(within), ack_timeout: None });
    client.call(method, path, headers, body, within, LONGEST).await
}

impl Controls {
    /// Reads the addresses, which commas separate.
    pub fn read(given: Option<&str>, give_up: f64) -> Result<Self, Error> {
        let Some(given) = given else {
            return UsageSnafu { why: "--control ADDR[,ADDR...] is needed for this" }.fail();
        };
        let read = |part: &str| {
            let why = format!("--control: {part:?} is no IP:port");
            part.parse().map_err(|_| UsageSnafu { why }.build())
        };
        let all = given.split(',').map(str::trim).filter(|part| !part.is_empty()).map(read);
        let all = all.collect::<Result<Vec<_>, _>>()?;
        if all.is_empty() {
            return UsageSnafu { why: "--control names no address" }.fail();
        }
        Ok(Controls { all, within: seconds("--give-up", give_up)? })
    }

    /// Makes a call until its answer is clear or the time is up; `what` says what it means if none is.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        what: &'static str,
    ) -> Result<Given, Error> {
        let began = Instant::now();
        let silence = match body.len() {
            // How long the answer is can't be known.
            0 => 2.0,
            n => 1.0 + n as f64 / A_SECOND,
        };
        let silence = Duration::from_secs_f64(silence);
        let Some(mut course) = Course::new(self.all.clone(), path) else {
            return UsageSnafu { why: "--control names no address" }.fail();
        };
        let ((mut to, mut path), mut tries) = (course.first(), 0);
        loop {
            tries += 1;
            let answer = once(to, method.clone(), &path, body.clone(), silence).await;
            let seen = match &answer {
                Ok((status, headers, _)) => Seen::Answer {
                    status: status.as_u16(),
                    location: headers.get(LOCATION).and_then(|l| l.to_str().ok()),
                },
                Err(_) => Seen::Nothing,
            };
            let next = match &answer {
                // A majority has nothing: asking on brings no other word.
                Ok((status, _, body)) if method == Method::GET && word(body).as_deref() == Some("empty") => {
                    return Ok(Given { status: status.as_u16(), body: Bytes::new(), by: to, tries });
                }
                _ => course.next(seen),
            };
            let last = match &answer {
                Ok((status, _, body)) => said(status.as_u16(), body),
                Err(e) => e.to_string(),
            };
            match (next, answer) {
                (Next::Clear, Ok((status, _, body))) => {
                    return Ok(Given { status: status.as_u16(), body, by: to, tries });
                }
                (Next::Clear, Err(_)) => {}
                (Next::Ask { to: then, path: there, after }, _) => {
                    log::info!("{to}: {last}; next {then}{there}, in {} ms", after.as_millis());
                    if began.elapsed() + after >= self.within {
                        return UnclearSnafu { what, tries, last: format!("{to}: {last}") }.fail();
                    }
                    tokio::time::sleep(after).await;
                    (to, path) = (then, there);
                }
            }
        }
    }
}

/// What the steward says at a path, asked once.
pub async fn steward_says(
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
            json.ok_or_else(|| unclear(format!("{steward}: what it sent is no answer to this")))
        }
        409 | 500.. => Err(unclear(format!("{steward}: {}", said(status, &body)))),
        _ => RefusedSnafu { by: steward, status, why: said(status, &body) }.fail(),
    }
}

/// The kind of error that an answer names.
fn word(body: &[u8]) -> Option<String> {
    get_str(&millpost_net::messaging::json(body)?, "error").map(str::to_owned)
}

/// What an answer says, where it is one of control's.
pub fn said(status: u16, body: &[u8]) -> String {
    let json = millpost_net::messaging::json(body);
    let part = |key| json.as_ref().and_then(|json| get_str(json, key));
    match (part("error"), part("why")) {
        (Some(error), Some(why)) => format!("{status} {error}: {why}"),
        (Some(error), None) => format!("{status} {error}"),
        _ => status.to_string(),
    }
}

/// A span of the command line.
pub fn seconds(option: &str, value: f64) -> Result<Duration, Error> {
    let span = Duration::try_from_secs_f64(value).ok().filter(|span| !span.is_zero());
    span.ok_or_else(|| UsageSnafu { why: format!("{option}: {value} is no time in seconds over 0") }.build())
}
