//! Lines of a recording: JSON objects with keys in a fixed order, cheap to write, whose numbers read back
//! exactly.

use std::collections::HashMap;
use std::fmt::Write;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::frame::{self, Digest};
use crate::json::{Fault, fault, get};
use crate::peer_message::{PeerMessage, Permit};

/// Largest integer that a JSON number represents exactly; larger ones are written as strings.
const MAX_EXACT_INTEGER: u64 = 1 << 53;
/// Maximum nesting depth of a line. The parser is recursive, so that deeper input could overflow the stack.
const MAX_DEPTH: usize = 24;

/// Builder of a line.
#[derive(Debug)]
pub struct Line(String);

impl Line {
    /// Creates an object without fields.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Self {
        let mut text = String::with_capacity(192);
        text.push('{');
        Line(text)
    }

    fn key(&mut self, key: &str) -> &mut String {
        if !self.0.ends_with('{') {
            self.0.push(',');
        }
        quote(&mut self.0, key);
        self.0.push(':');
        &mut self.0
    }

    /// Adds a string field.
    pub fn text(&mut self, key: &str, value: &str) -> &mut Self {
        quote(self.key(key), value);
        self
    }

    /// Adds an integer field; above 2^53 it is written as a string.
    pub fn whole(&mut self, key: &str, value: u64) -> &mut Self {
        let out = self.key(key);
        let _ = if value <= MAX_EXACT_INTEGER { write!(out, "{value}") } else { write!(out, "\"{value}\"") };
        self
    }

    /// Adds a 32-bit integer as eight hex digits.
    pub(crate) fn hex(&mut self, key: &str, value: u32) -> &mut Self {
        let out = self.key(key);
        out.push('"');
        frame::hex(out, value);
        out.push('"');
        self
    }

    /// Adds a time, capped at the largest integer that JSON represents exactly.
    pub fn time(&mut self, key: &str, value: u64) -> &mut Self {
        self.whole(key, value.min(MAX_EXACT_INTEGER))
    }

    /// Adds a floating-point field without loss of precision.
    pub fn number(&mut self, key: &str, value: f64) -> &mut Self {
        number(self.key(key), value);
        self
    }

    /// Adds a flag; omitted if it is off.
    pub fn mark(&mut self, key: &str, on: bool) -> &mut Self {
        if on {
            self.key(key).push('1');
        }
        self
    }

    /// Adds a list of names; omitted if it is empty.
    pub fn names(&mut self, key: &str, all: &[CompactString]) -> &mut Self {
        if all.is_empty() { self } else { self.list(key, all, |out, name| quote(out, name)) }
    }

    /// Adds a list, each element of which is written by `each`.
    pub fn list<T>(
        &mut self,
        key: &str,
        all: impl IntoIterator<Item = T>,
        each: impl Fn(&mut String, T),
    ) -> &mut Self {
        let out = self.key(key);
        out.push('[');
        for (n, item) in all.into_iter().enumerate() {
            if n > 0 {
                out.push(',');
            }
            each(out, item);
        }
        out.push(']');
        self
    }

    /// Adds a nested object, the fields of which are added by `fill`.
    pub fn object(&mut self, key: &str, fill: impl FnOnce(&mut Line)) -> &mut Self {
        let out = self.key(key);
        part(out, fill);
        self
    }

    /// Adds a message.
    pub fn message(&mut self, key: &str, value: &PeerMessage) -> &mut Self {
        message(self.key(key), value);
        self
    }

    /// Adds a list of messages.
    pub fn messages(&mut self, key: &str, all: &[PeerMessage]) -> &mut Self {
        self.list(key, all, message)
    }

    /// Closes the object and returns the line.
    pub fn end(mut self) -> String {
        self.0.push('}');
        self.0
    }
}

/// Appends an object to `out`, the fields of which are added by `fill`.
pub fn part(out: &mut String, fill: impl FnOnce(&mut Line)) {
    let mut line = Line(std::mem::take(out));
    line.0.push('{');
    fill(&mut line);
    *out = line.end();
}

fn quote(out: &mut String, text: &str) {
    out.push('"');
    if text.bytes().any(|b| b < b' ' || b == b'"' || b == b'\\') {
        for c in text.chars() {
            match c {
                '"' | '\\' => out.extend(['\\', c]),
                c if c < ' ' => {
                    let _ = write!(out, "\\u{:04x}", c as u32);
                }
                c => out.push(c),
            }
        }
    } else {
        out.push_str(text);
    }
    out.push('"');
}

fn number(out: &mut String, value: f64) {
    let _ = if value.is_finite() { write!(out, "{value}") } else { write!(out, "null") };
}

/// Writes a message without loss of precision; [`PeerMessage::to_json`] rounds times, which is sufficient
/// between machines.
fn message(out: &mut String, value: &PeerMessage) {
    part(out, |line| {
        match value {
            PeerMessage::RequestPermit {
                id,
                service,
                left,
                aim,
                target,
                sent,
                first,
                returned,
                avoid,
                zone,
            } => {
                line.text("t", "ask").whole("id", *id).text("s", service);
                line.number("l", *left).number("m", *aim).number("g", *target);
                if *sent > 0 {
                    line.whole("n", u64::from(*sent));
                }
                line.mark("f", *first).mark("r", *returned).names("x", avoid).text("z", zone)
            }
            PeerMessage::Grant { id, instance, address, zone } => {
                line.text("t", "grant").whole("id", *id).text("i", instance).text("a", address);
                if let Some(zone) = zone {
                    line.text("z", zone);
                }
                line
            }
            PeerMessage::Denied { id, why, wait } => {
                line.text("t", "no").whole("id", *id).text("y", why).number("w", *wait)
            }
            PeerMessage::ReleasePermit { id, outcome, took } => {
                line.text("t", "done").whole("id", *id).text("o", outcome).number("k", *took)
            }
            PeerMessage::HeldPermit { id, service, instance, left } => line
                .text("t", "held")
                .whole("id", *id)
                .text("s", service)
                .text("i", instance)
                .number("l", *left),
            PeerMessage::HandOverPermits { service, version, permits } => {
                let each = |out: &mut String, permit: &Permit| {
                    part(out, |line| {
                        line.text("i", &permit.instance).whole("id", permit.id);
                        line.number("l", permit.left).text("w", &permit.who);
                    });
                };
                line.text("t", "over").list("all", permits, each).text("s", service);
                line.list("v", [version.0, version.1], |out, n| {
                    let _ = write!(out, "{n}");
                })
            }
            PeerMessage::ForwardRelease { who, id, instance, outcome, took } => {
                line.text("t", "back").whole("id", *id);
                if let Some(instance) = instance {
                    line.text("i", instance);
                }
                line.number("k", *took).text("o", outcome).text("w", who)
            }
            other => {
                if let JsonValue::Object(parts) = other.to_json() {
                    write_sorted(line, &parts);
                }
                line
            }
        };
    });
}

fn write_sorted(line: &mut Line, parts: &HashMap<String, JsonValue>) {
    let mut keys: Vec<_> = parts.keys().collect();
    // The kind comes first, for readability.
    keys.sort_by_key(|key| (*key != "t", *key));
    for key in keys {
        if let Some(part) = parts.get(key) {
            value(line.key(key), part);
        }
    }
}

/// Writes a JSON value; object keys are sorted.
fn value(out: &mut String, of: &JsonValue) {
    match of {
        JsonValue::Number(n) => number(out, *n),
        JsonValue::Boolean(on) => out.push_str(if *on { "true" } else { "false" }),
        JsonValue::String(text) => quote(out, text),
        JsonValue::Null => out.push_str("null"),
        JsonValue::Array(all) => {
            out.push('[');
            for (n, item) in all.iter().enumerate() {
                if n > 0 {
                    out.push(',');
                }
                value(out, item);
            }
            out.push(']');
        }
        JsonValue::Object(parts) => part(out, |line| write_sorted(line, parts)),
    }
}

/// Receives the lines of a recording, without line terminators.
pub type Sink = Box<dyn FnMut(&str)>;

/// Writes a recording: the inputs of one state machine during one process incarnation, numbered from 0. A
/// line includes the digest of the outputs if there were outputs since the last digest.
pub struct Recorder {
    number: u64,
    digest: Digest,
    /// Number of outputs covered by the last digest that was written.
    digested: u64,
    sink: Sink,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tape").field("number", &self.number).finish_non_exhaustive()
    }
}

impl Recorder {
    /// Creates a recorder that writes to `sink`.
    pub fn new(sink: Sink) -> Self {
        Recorder { number: 0, digest: Digest::default(), digested: 0, sink }
    }

    /// The digest to which the outputs of the state machine are added.
    pub fn digest(&mut self) -> &mut Digest {
        &mut self.digest
    }

    /// Starts the next line.
    pub fn begin(&mut self, name: &str, at: u64) -> Line {
        self.number += 1;
        begin(name, Some(self.number - 1), at)
    }

    /// Writes a finished line with the digest, if it has changed, and a checksum.
    pub fn put(&mut self, mut line: Line) {
        let (count, _) = self.digest.state();
        if count > self.digested {
            self.digested = count;
            self.digest.write(&mut line);
        }
        (self.sink)(&frame::sealed(line.end()));
    }
}

/// Starts a line of a recording with its common fields: `{"in":"…","n":0,"at":0`.
pub fn begin(name: &str, number: Option<u64>, at: u64) -> Line {
    let mut line = Line::new();
    line.text("in", name);
    if let Some(number) = number {
        line.whole("n", number);
    }
    line.time("at", at);
    line
}

/// Prefix of every line of a recording.
pub const LINE_PREFIX: &str = r#"{"in":"#;

/// Reason given for a truncated line.
pub const TRUNCATED: &str = "ends before its end";

/// Parses a JSON object.
///
/// # Errors
/// If the text is not a JSON object, is truncated, or is nested too deeply.
pub fn read(text: &str) -> Result<HashMap<String, JsonValue>, Fault> {
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
        if depth > MAX_DEPTH {
            return Err(fault("(line)", "nested too deeply"));
        }
    }
    match text.parse() {
        Ok(JsonValue::Object(parts)) => Ok(parts),
        Ok(_) => Err(fault("(line)", "no object")),
        Err(_) if quoted || depth > 0 => Err(fault("(line)", TRUNCATED)),
        Err(_) => Err(fault("(line)", "no JSON")),
    }
}

/// Returns the integer under a key; integers above 2^53 are encoded as strings.
pub fn large(from: &HashMap<String, JsonValue>, key: &str) -> Result<u64, Fault> {
    match get(from, key)? {
        JsonValue::String(digits) => digits.parse().map_err(|_| fault(key, "no whole number")),
        _ => crate::json::whole(from, key),
    }
}

/// Returns the flag under a key; `false` if the key is absent.
pub fn flag(from: &HashMap<String, JsonValue>, key: &str) -> Result<bool, Fault> {
    match from.get(key) {
        None => Ok(false),
        Some(JsonValue::Number(n)) => Ok(*n != 0.0),
        Some(JsonValue::Boolean(on)) => Ok(*on),
        Some(_) => Err(fault(key, "no flag")),
    }
}

/// Returns the names under a key; empty if the key is absent.
pub fn names(from: &HashMap<String, JsonValue>, key: &str) -> Result<Vec<CompactString>, Fault> {
    let name = |value: &JsonValue| match value {
        JsonValue::String(name) => Ok(name.as_str().into()),
        _ => Err(fault(key, "contains a value that is no text")),
    };
    crate::json::list(from, key)?.iter().map(name).collect()
}

/// Returns the message under a key.
pub fn message_field(from: &HashMap<String, JsonValue>, key: &str) -> Result<PeerMessage, Fault> {
    PeerMessage::read(get(from, key)?).map_err(|e| within(key, e))
}

/// Returns the messages under a key.
pub fn messages_field(from: &HashMap<String, JsonValue>, key: &str) -> Result<Vec<PeerMessage>, Fault> {
    let all = crate::json::list(from, key)?.iter().enumerate();
    all.map(|(n, value)| PeerMessage::read(value).map_err(|e| within(&format!("{key}[{n}]"), e))).collect()
}

/// Returns the objects under a key, each read by `each`.
pub fn objects<T>(
    from: &HashMap<String, JsonValue>,
    key: &str,
    each: impl Fn(&HashMap<String, JsonValue>) -> Result<T, Fault>,
) -> Result<Vec<T>, Fault> {
    let object = |(n, value): (usize, &JsonValue)| match value {
        JsonValue::Object(parts) => each(parts).map_err(|e| within(&format!("{key}[{n}]"), e)),
        _ => Err(fault(&format!("{key}[{n}]"), "no object")),
    };
    crate::json::list(from, key)?.iter().enumerate().map(object).collect()
}

/// Prefixes the key of a fault with the key of the enclosing value.
pub fn within(key: &str, of: Fault) -> Fault {
    Fault { key: format!("{key}.{}", of.key), reason: of.reason }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_reads_back_without_loss_of_precision() {
        let request = PeerMessage::RequestPermit {
            id: MAX_EXACT_INTEGER,
            service: "a \"b\" \\ c\u{1}é".into(),
            left: 1.0 / 3.0,
            aim: -0.1 - 0.2,
            target: 1e300,
            sent: 3,
            first: true,
            returned: false,
            avoid: vec!["i-1".into(), "i-2".into()],
            zone: "".into(),
        };
        let peers = vec![crate::Peer { name: "n".into(), address: "a".into(), zone: "z".into() }];
        let messages = vec![
            request,
            PeerMessage::Denied { id: 1, why: "full".into(), wait: 0.1 + 0.2 },
            PeerMessage::ReleasePermit { id: 1, outcome: "ok".into(), took: 12.3456789 },
            PeerMessage::HeldPermit { id: 2, service: "s".into(), instance: "i".into(), left: -7.0 / 9.0 },
            PeerMessage::Grant { id: 3, instance: "i".into(), address: "a:1".into(), zone: Some("b".into()) },
            PeerMessage::FullView { version: (1, 2), peers, leaving: vec![], split: vec![] },
            PeerMessage::HandOverPermits {
                service: "s".into(),
                version: (3, 4),
                permits: vec![Permit { who: "w".into(), id: 5, instance: "i".into(), left: 1.0 / 7.0 }],
            },
            PeerMessage::ForwardRelease {
                who: "w".into(),
                id: 6,
                instance: Some("i".into()),
                outcome: "ok".into(),
                took: 2.0 / 3.0,
            },
        ];
        let mut line = begin("mail", Some(7), 12);
        line.whole("life", u64::MAX).mark("no", false).mark("yes", true).messages("notes", &messages);
        let parts = read(&line.end()).expect("an object");
        assert_eq!(messages_field(&parts, "notes"), Ok(messages));
        assert_eq!(large(&parts, "life"), Ok(u64::MAX));
        assert_eq!((flag(&parts, "no"), flag(&parts, "yes")), (Ok(false), Ok(true)));
    }

    #[test]
    fn truncated_and_too_deeply_nested_lines_are_rejected() {
        let mut line = begin("told", None, 5);
        line.message("note", &PeerMessage::CancelRequest { id: 4 }).names("x", &["a".into()]);
        let text = line.end();
        for end in 0..text.len() {
            assert!(read(&text[..end]).is_err(), "{}", &text[..end]);
        }
        assert_eq!(read(&"[".repeat(1_000_000)), Err(fault("(line)", "nested too deeply")));
        let misnamed = text.replace("\"id\"", "\"di\"");
        let parts = read(&misnamed).expect("an object");
        assert_eq!(message_field(&parts, "note"), Err(fault("note.id", "missing")));
    }
}
