//! The platform's answers read, the bodies of calls written.
//!
//! What is read is bounded: in bytes, in nesting, in the number of entries and the length of names. An error names the key.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tinyjson::JsonValue;

/// The largest answer that is read, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The most entries of one answer.
pub const MAX_ENTRIES: usize = 20_000;
/// The longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// How deep an answer may nest.
const DEPTH_MAX: usize = 16;

/// Why an answer is not read.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum Error {
    /// Too many bytes.
    #[snafu(display("an answer of {bytes} bytes"))]
    TooLong {
        /// How many.
        bytes: usize,
    },
    /// Nested too deeply.
    #[snafu(display("an answer nested too deeply"))]
    TooDeep,
    /// Not JSON.
    #[snafu(display("not JSON: {source}"))]
    Json {
        /// Where and why.
        source: tinyjson::JsonParseError,
    },
    /// A key is missing, or holds something else.
    #[snafu(display("{path}: expected {expected}"))]
    Key {
        /// The key, with its place in a list.
        path: String,
        /// What should be there.
        expected: &'static str,
    },
}

/// An endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Names one life.
    pub id: CompactString,
    /// The service that it serves.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// The worker that it runs on; none if nobody started it through the platform.
    pub worker: Option<CompactString>,
    /// It is leaving.
    pub draining: bool,
}

/// A worker in the platform's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its name.
    pub name: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// All its memory.
    pub memory_mb: u64,
    /// What is free of it.
    pub free_memory_mb: u64,
    /// It takes no starts, and its endpoints are leaving.
    pub draining: bool,
}

/// Why a start did not come through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartFault {
    /// 409: no room, or the worker is down, draining or unknown.
    NoRoom,
    /// 429: too many starts and stops.
    Busy,
    /// Another 4xx: not like this.
    Refused,
    /// Anything else: it may have been done.
    Unclear,
}

/// Why a stop did not come through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopFault {
    /// 404: there never was such an endpoint.
    Unknown,
    /// 429: too many starts and stops.
    Busy,
    /// Another 4xx: not like this.
    Refused,
    /// Anything else: it may have been done.
    Unclear,
}

/// One page of the list, and the token of the next.
pub fn read_endpoints(text: &str) -> Result<(Vec<Endpoint>, Option<CompactString>), Error> {
    let answer = parse(text)?;
    let top = Part::top(&answer)?;
    let entries = top.list("endpoints", |entry| {
        let worker = if entry.has("worker") { Some(entry.name("worker")?) } else { None };
        Ok(Endpoint {
            id: entry.name("id")?,
            service: entry.name("service")?,
            address: entry.address("address")?,
            zone: entry.name("zone")?,
            worker,
            draining: entry.draining("state")?,
        })
    })?;
    let next = if top.has("next_token") { Some(top.name("next_token")?) } else { None };
    Ok((entries, next))
}

/// The workers that are up.
pub fn read_workers(text: &str) -> Result<Vec<Worker>, Error> {
    let answer = parse(text)?;
    Part::top(&answer)?.list("workers", |worker| {
        Ok(Worker {
            name: worker.name("name")?,
            zone: worker.name("zone")?,
            memory_mb: worker.count("memory_mb")?,
            free_memory_mb: worker.count("free_memory_mb")?,
            draining: worker.draining("state")?,
        })
    })
}

/// The endpoint that a start gave: its id and address.
pub fn read_started(text: &str) -> Result<(CompactString, SocketAddr), Error> {
    let answer = parse(text)?;
    let top = Part::top(&answer)?;
    Ok((top.name("id")?, top.address("address")?))
}

/// What an answer to a start means. One that can't be read is unclear.
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

/// What an answer to a stop means.
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

/// The body of a start.
pub fn start_body(service: &str, worker: &str, nonce: &str) -> String {
    format!(
        r#"{{"service":{},"worker":{},"request_nonce":{}}}"#,
        quoted(service),
        quoted(worker),
        quoted(nonce)
    )
}

/// The body of a stop.
pub fn stop_body(id: &str) -> String {
    format!(r#"{{"id":{}}}"#, quoted(id))
}

fn quoted(text: &str) -> String {
    JsonValue::String(text.to_owned()).stringify().unwrap_or_else(|_| "\"\"".to_owned())
}

fn parse(text: &str) -> Result<JsonValue, Error> {
    ensure!(text.len() <= MAX_ANSWER_BYTES, TooLongSnafu { bytes: text.len() });
    // The parser calls itself for each level.
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

/// An object, and where it stands.
struct Part<'a> {
    keys: &'a HashMap<String, JsonValue>,
    list: &'static str,
    at: usize,
}

impl<'a> Part<'a> {
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

    /// Present, and not null.
    fn has(&self, key: &str) -> bool {
        self.keys.get(key).is_some_and(|value| !value.is_null())
    }

    fn list<T>(
        &self,
        key: &'static str,
        read: impl Fn(&Part<'_>) -> Result<T, Error>,
    ) -> Result<Vec<T>, Error> {
        let Some(JsonValue::Array(values)) = self.keys.get(key) else { return self.fault(key, "a list") };
        if values.len() > MAX_ENTRIES {
            return self.fault(key, "fewer entries");
        }
        let parts = values.iter().enumerate().map(|(at, value)| {
            let keys = value
                .get()
                .with_context(|| KeySnafu { path: format!("{key}[{at}]"), expected: "an object" })?;
            read(&Part { keys, list: key, at })
        });
        parts.collect()
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

    fn count(&self, key: &str) -> Result<u64, Error> {
        match self.keys.get(key) {
            Some(JsonValue::Number(number)) if (0.0..=1e12).contains(number) => Ok(*number as u64),
            _ => self.fault(key, "a count"),
        }
    }

    fn draining(&self, key: &str) -> Result<bool, Error> {
        match self.keys.get(key) {
            Some(JsonValue::String(text)) if text == "ready" => Ok(false),
            Some(JsonValue::String(text)) if text == "draining" => Ok(true),
            _ => self.fault(key, "ready or draining"),
        }
    }
}
