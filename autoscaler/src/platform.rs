//! Parses the platform's answers and encodes request bodies.
//!
//! Answers are bounded in bytes, nesting, number of entries and length of names. An error names the offending
//! key.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tinyjson::JsonValue;

/// The largest answer that is parsed, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The most entries in one answer.
pub const MAX_ENTRIES: usize = 20_000;
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// How deep an answer may nest.
const DEPTH_MAX: usize = 16;

/// Why an answer was not parsed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// The answer is too large.
    #[snafu(display("the answer has {bytes} bytes, more than {MAX_ANSWER_BYTES}"))]
    TooLong {
        /// Its size.
        bytes: usize,
    },
    /// The answer is nested too deeply.
    #[snafu(display("the answer is nested too deeply"))]
    TooDeep,
    /// The answer is not JSON.
    #[snafu(display("the answer is not JSON: {source}"))]
    Json {
        /// The parser's error.
        source: tinyjson::JsonParseError,
    },
    /// A key is missing or has a value of the wrong type.
    #[snafu(display("{path}: expected {expected}"))]
    Key {
        /// The key, with its index in a list.
        path: String,
        /// The expected value.
        expected: &'static str,
    },
}

/// An endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifies one run of the endpoint.
    pub id: CompactString,
    /// The service that it serves.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// The worker that it runs on; `None` if it was not started through the platform.
    pub worker: Option<CompactString>,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// A worker in the platform's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name.
    pub name: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// Its total memory.
    pub memory_mb: u64,
    /// Its free memory.
    pub free_memory_mb: u64,
    /// Whether it rejects starts and its endpoints are shutting down.
    pub draining: bool,
}

/// Why a start failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartFault {
    /// 409: no room, or the worker is down, draining or unknown.
    NoRoom,
    /// 429: too many starts and stops.
    Busy,
    /// Another 4xx: the request is invalid.
    Refused,
    /// Anything else: the call may have taken effect.
    Unclear,
}

/// Why a stop failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopFault {
    /// 404: there never was such an endpoint.
    Unknown,
    /// 429: too many starts and stops.
    Busy,
    /// Another 4xx: the request is invalid.
    Refused,
    /// Anything else: the call may have taken effect.
    Unclear,
}

/// Parses one page of the endpoint list, and the token of the next page.
pub fn read_endpoints(text: &str) -> Result<(Vec<Endpoint>, Option<CompactString>), Error> {
    let answer = parse(text)?;
    let top = Object::top(&answer)?;
    let entries = top.list("endpoints", |entry| {
        let worker = if entry.has("worker") { Some(entry.name("worker")?) } else { None };
        Ok(Endpoint {
            id: entry.name("id")?,
            service: entry.name("service")?,
            address: entry.address("address")?,
            zone: entry.name("zone")?,
            worker,
            draining: entry.is_draining("state")?,
        })
    })?;
    let next = if top.has("next_token") { Some(top.name("next_token")?) } else { None };
    Ok((entries, next))
}

/// Parses the workers that are up.
pub fn read_workers(text: &str) -> Result<Vec<Worker>, Error> {
    let answer = parse(text)?;
    Object::top(&answer)?.list("workers", |worker| {
        Ok(Worker {
            name: worker.name("name")?,
            zone: worker.name("zone")?,
            memory_mb: worker.number("memory_mb")?,
            free_memory_mb: worker.number("free_memory_mb")?,
            draining: worker.is_draining("state")?,
        })
    })
}

/// Parses the answer to a start: the endpoint's id and address.
pub fn read_started(text: &str) -> Result<(CompactString, SocketAddr), Error> {
    let answer = parse(text)?;
    let top = Object::top(&answer)?;
    Ok((top.name("id")?, top.address("address")?))
}

/// Interprets an answer to a start. A success that can't be parsed is [`StartFault::Unclear`].
pub fn start_answer(status: u16, text: &str) -> Result<(CompactString, SocketAddr), StartFault> {
    match status {
        200..=299 => read_started(text).map_err(|_| StartFault::Unclear),
        409 => Err(StartFault::NoRoom),
        429 => Err(StartFault::Busy),
        408 => Err(StartFault::Unclear),
        400..=499 => Err(StartFault::Refused),
        _ => Err(StartFault::Unclear),
    }
}

/// Interprets an answer to a stop.
pub fn stop_answer(status: u16) -> Result<(), StopFault> {
    match status {
        200..=299 => Ok(()),
        404 => Err(StopFault::Unknown),
        429 => Err(StopFault::Busy),
        408 => Err(StopFault::Unclear),
        400..=499 => Err(StopFault::Refused),
        _ => Err(StopFault::Unclear),
    }
}

/// The request body of a start.
pub fn start_body(service: &str, worker: &str, nonce: &str) -> String {
    format!(
        r#"{{"service":{},"worker":{},"request_nonce":{}}}"#,
        quoted(service),
        quoted(worker),
        quoted(nonce)
    )
}

/// The request body of a stop.
pub fn stop_body(id: &str) -> String {
    format!(r#"{{"id":{}}}"#, quoted(id))
}

fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_else(|_| "\"\"".to_owned())
}

fn parse(text: &str) -> Result<JsonValue, Error> {
    ensure!(text.len() <= MAX_ANSWER_BYTES, TooLongSnafu { bytes: text.len() });
    // The parser recurses for each level, so the depth is checked first.
    let (mut depth, mut quoted, mut escaped) = (0_usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        ensure!(depth <= DEPTH_MAX, TooDeepSnafu);
    }
    text.parse().context(JsonSnafu)
}

/// A JSON object, with its position for error messages.
struct Object<'a> {
    keys: &'a HashMap<String, JsonValue>,
    list: &'static str,
    at: usize,
}

impl<'a> Object<'a> {
    fn top(value: &'a JsonValue) -> Result<Self, Error> {
        let keys = value.get().context(KeySnafu { path: "(top)", expected: "an object" })?;
        Ok(Self { keys, list: "", at: 0 })
    }

    fn path(&self, key: &str) -> String {
        if self.list.is_empty() { key.to_owned() } else { format!("{}[{}].{key}", self.list, self.at) }
    }

    fn fault<T>(&self, key: &str, expected: &'static str) -> Result<T, Error> {
        KeySnafu { path: self.path(key), expected }.fail()
    }

    /// Whether the key is present and not null.
    fn has(&self, key: &str) -> bool {
        self.keys.get(key).is_some_and(|value| !value.is_null())
    }

    fn list<T>(
        &self,
        key: &'static str,
        read: impl Fn(&Object<'_>) -> Result<T, Error>,
    ) -> Result<Vec<T>, Error> {
        let Some(JsonValue::Array(values)) = self.keys.get(key) else { return self.fault(key, "a list") };
        if values.len() > MAX_ENTRIES {
            return self.fault(key, "at most 20000 entries");
        }
        let entries = values.iter().enumerate().map(|(at, value)| {
            let keys = value
                .get()
                .with_context(|| KeySnafu { path: format!("{key}[{at}]"), expected: "an object" })?;
            read(&Object { keys, list: key, at })
        });
        entries.collect()
    }

    fn name(&self, key: &str) -> Result<CompactString, Error> {
        match self.keys.get(key) {
            Some(JsonValue::String(text)) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => {
                Ok(text.into())
            }
            _ => self.fault(key, "a name"),
        }
    }

    fn address(&self, key: &str) -> Result<SocketAddr, Error> {
        let text = self.name(key)?;
        text.parse().or_else(|_| self.fault(key, "an address with a port"))
    }

    fn number(&self, key: &str) -> Result<u64, Error> {
        match self.keys.get(key) {
            Some(JsonValue::Number(n)) if (0.0..=1e12).contains(n) => Ok(*n as u64),
            _ => self.fault(key, "a number from 0 to 1e12"),
        }
    }

    fn is_draining(&self, key: &str) -> Result<bool, Error> {
        match self.keys.get(key) {
            Some(JsonValue::String(text)) if text == "ready" => Ok(false),
            Some(JsonValue::String(text)) if text == "draining" => Ok(true),
            _ => self.fault(key, "ready or draining"),
        }
    }
}
