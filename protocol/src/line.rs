//! Lines of a recording: JSON objects with their keys in a fixed order, written at little cost, and read back to the bit.

use std::collections::HashMap;
use std::fmt::Write;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::frame::{self, Digest};
use crate::json::{Fault, fault, get};
use crate::peer_message::{PeerMessage, Permit};

/// The most that a JSON number tells exactly; larger ones are written as text.
const EXACT: u64 = 1 << 53;
/// How deep a line may nest: the parser calls itself for each level.
const DEEPEST: usize = 24;

/// A line in the making.
#[derive(Debug)]
pub struct Line(String);

impl Line {
    /// An object without any part.
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

    /// A text.
    pub fn text(&mut self, key: &str, value: &str) -> &mut Self {
        quote(self.key(key), value);
        self
    }

    /// A whole number.
    pub fn whole(&mut self, key: &str, value: u64) -> &mut Self {
        let out = self.key(key);
        let _ = if value <= EXACT { write!(out, "{value}") } else { write!(out, "\"{value}\"") };
        self
    }

    /// A number of 32 bits, in hex digits.
    pub(crate) fn hex(&mut self, key: &str, value: u32) -> &mut Self {
        let out = self.key(key);
        out.push('"');
        frame::hex(out, value);
        out.push('"');
        self
    }

    /// A time; what lies beyond any that comes is cut to the last that does.
    pub fn time(&mut self, key: &str, value: u64) -> &mut Self {
        self.whole(key, value.min(EXACT))
    }

    /// A number, exactly.
    pub fn number(&mut self, key: &str, value: f64) -> &mut Self {
        number(self.key(key), value);
        self
    }

    /// A mark; left out where it is off.
    pub fn mark(&mut self, key: &str, on: bool) -> &mut Self {
        if on {
            self.key(key).push('1');
        }
        self
    }

    /// Names; left out where there are none.
    pub fn names(&mut self, key: &str, all: &[CompactString]) -> &mut Self {
        if all.is_empty() { self } else { self.list(key, all, |out, name| quote(out, name)) }
    }

    /// A list.
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

    /// An object within.
    pub fn object(&mut self, key: &str, fill: impl FnOnce(&mut Line)) -> &mut Self {
        let out = self.key(key);
        part(out, fill);
        self
    }

    /// A note.
    pub fn message(&mut self, key: &str, value: &PeerMessage) -> &mut Self {
        note(self.key(key), value);
        self
    }

    /// Notes.
    pub fn messages(&mut self, key: &str, all: &[PeerMessage]) -> &mut Self {
        self.list(key, all, note)
    }

    /// The whole line.
    pub fn end(mut self) -> String {
        self.0.push('}');
        self.0
    }
}

/// An object as part of a list.
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

/// A note, exactly as it was read: [`PeerMessage::to_json`] rounds its times, which is enough between machines.
fn note(out: &mut String, value: &PeerMessage) {
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
                    sorted(line, &parts);
                }
                line
            }
        };
    });
}

fn sorted(line: &mut Line, parts: &HashMap<String, JsonValue>) {
    let mut keys: Vec<_> = parts.keys().collect();
    // The kind first, for people.
    keys.sort_by_key(|key| (*key != "t", *key));
    for key in keys {
        if let Some(part) = parts.get(key) {
            value(line.key(key), part);
        }
    }
}

/// A JSON value; the keys of objects in their order.
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
        JsonValue::Object(parts) => part(out, |line| sorted(line, parts)),
    }
}

/// Where the lines of a recording go, without their ends.
pub type Sink = Box<dyn FnMut(&str)>;

/// A recording in the making: the inputs of one state machine in one life, numbered from 0. Each line but the first tells the digest of
/// what was decided, where that is news.
pub struct Recorder {
    number: u64,
    digest: Digest,
    /// Outputs that a line has told the digest of.
    told: u64,
    sink: Sink,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Tape").field("number", &self.number).finish_non_exhaustive()
    }
}

impl Recorder {
    /// One that goes to `sink`.
    pub fn new(sink: Sink) -> Self {
        Recorder { number: 0, digest: Digest::default(), told: 0, sink }
    }

    /// What the machine has decided goes in here.
    pub fn digest(&mut self) -> &mut Digest {
        &mut self.digest
    }

    /// The beginning of the next line.
    pub fn begin(&mut self, name: &str, at: u64) -> Line {
        self.number += 1;
        begin(name, Some(self.number - 1), at)
    }

    /// A line that is whole.
    pub fn put(&mut self, mut line: Line) {
        let (count, _) = self.digest.state();
        if count > self.told {
            self.told = count;
            self.digest.write(&mut line);
        }
        (self.sink)(&frame::sealed(line.end()));
    }
}

/// How a line of a recording begins: `{"in":"…","n":0,"at":0`.
pub fn begin(name: &str, number: Option<u64>, at: u64) -> Line {
    let mut line = Line::new();
    line.text("in", name);
    if let Some(number) = number {
        line.whole("n", number);
    }
    line.time("at", at);
    line
}

/// What every line of a recording begins with.
pub const LINE_PREFIX: &str = r#"{"in":"#;

/// What is wrong with a line that was cut off.
pub const TRUNCATED: &str = "ends before its end";

/// Reads an object, whatever it holds.
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
        if depth > DEEPEST {
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

/// The whole number under a key, also one that no JSON number tells exactly.
pub fn large(from: &HashMap<String, JsonValue>, key: &str) -> Result<u64, Fault> {
    match get(from, key)? {
        JsonValue::String(digits) => digits.parse().map_err(|_| fault(key, "no whole number")),
        _ => crate::json::whole(from, key),
    }
}

/// The mark under a key; off where it is left out.
pub fn flag(from: &HashMap<String, JsonValue>, key: &str) -> Result<bool, Fault> {
    match from.get(key) {
        None => Ok(false),
        Some(JsonValue::Number(n)) => Ok(*n != 0.0),
        Some(JsonValue::Boolean(on)) => Ok(*on),
        Some(_) => Err(fault(key, "no mark")),
    }
}

/// The names under a key; none where it is left out.
pub fn names(from: &HashMap<String, JsonValue>, key: &str) -> Result<Vec<CompactString>, Fault> {
    let name = |value: &JsonValue| match value {
        JsonValue::String(name) => Ok(name.as_str().into()),
        _ => Err(fault(key, "holds what is no text")),
    };
    crate::json::list(from, key)?.iter().map(name).collect()
}

/// The note under a key.
pub fn message_field(from: &HashMap<String, JsonValue>, key: &str) -> Result<PeerMessage, Fault> {
    PeerMessage::read(get(from, key)?).map_err(|e| within(key, e))
}

/// The notes under a key.
pub fn messages_field(from: &HashMap<String, JsonValue>, key: &str) -> Result<Vec<PeerMessage>, Fault> {
    let all = crate::json::list(from, key)?.iter().enumerate();
    all.map(|(n, value)| PeerMessage::read(value).map_err(|e| within(&format!("{key}[{n}]"), e))).collect()
}

/// The objects under a key, read one by one.
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

/// The same fault, of a part of something larger.
pub fn within(key: &str, of: Fault) -> Fault {
    Fault { key: format!("{key}.{}", of.key), reason: of.reason }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_reads_back_to_the_bit() {
        let ask = PeerMessage::RequestPermit {
            id: EXACT,
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
        let notes = vec![
            ask,
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
        line.whole("life", u64::MAX).mark("no", false).mark("yes", true).messages("notes", &notes);
        let parts = read(&line.end()).expect("an object");
        assert_eq!(messages_field(&parts, "notes"), Ok(notes));
        assert_eq!(large(&parts, "life"), Ok(u64::MAX));
        assert_eq!((flag(&parts, "no"), flag(&parts, "yes")), (Ok(false), Ok(true)));
    }

    #[test]
    fn what_is_cut_short_or_too_deep_is_an_error() {
        let mut line = begin("told", None, 5);
        line.message("note", &PeerMessage::CancelRequest { id: 4 }).names("x", &["a".into()]);
        let text = line.end();
        for end in 0..text.len() {
            assert!(read(&text[..end]).is_err(), "{}", &text[..end]);
        }
        assert_eq!(read(&"[".repeat(1_000_000)), Err(fault("(line)", "nested too deeply")));
        let spoilt = text.replace("\"id\"", "\"di\"");
        let parts = read(&spoilt).expect("an object");
        assert_eq!(message_field(&parts, "note"), Err(fault("note.id", "missing")));
    }
}
