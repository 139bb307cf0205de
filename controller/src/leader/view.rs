//! How stalls stand with the leader, for people: a view that changes nothing.

use millpost_protocol::{object, text};
use tinyjson::JsonValue;

use super::{Leader, MS, Nanos, SILENT, UNFED};

/// How a stall stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing<'a> {
    /// The machine's name.
    pub name: &'a str,
    /// Where it stands.
    pub zone: &'a str,
    /// It owns functions.
    pub named: bool,
    /// When it was heard last, in milliseconds.
    pub heard_ms: u64,
    /// Why it should not be named; none where it should.
    pub out: Option<&'static str>,
}

impl Standing<'_> {
    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("name", text(self.name)),
            ("zone", text(self.zone)),
            ("named", JsonValue::Boolean(self.named)),
            ("heard_ms_ago", JsonValue::Number(self.heard_ms as f64)),
            ("out", self.out.map_or(JsonValue::Null, text)),
        ])
    }
}

impl Leader {
    /// How the stalls stand that were heard of lately, in the order of their names.
    pub fn standing(&self, now: Nanos) -> impl Iterator<Item = Standing<'_>> {
        self.stalls.iter().map(move |(name, stall)| {
            let out = match stall {
                _ if stall.heard + SILENT <= now => Some("silent"),
                _ if !stall.serving => Some("leaves"),
                _ if self.rests.contains(name) => Some("drained"),
                _ if stall.dropped => Some("deaf"),
                _ if stall.unfed.is_some_and(|since| since + UNFED <= now) => Some("unfed"),
                _ => None,
            };
            Standing {
                name,
                zone: &stall.peer.zone,
                named: self.ranks.owners().find(name).is_some(),
                heard_ms: now.saturating_sub(stall.heard) / MS,
                out,
            }
        })
    }

    /// How long it is the leader, in milliseconds.
    pub fn age_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.began) / MS
    }

    /// The memory of one instance of a function.
    pub fn memory_mb(&self, function: &str) -> Option<u32> {
        self.specs.iter().find(|spec| spec.name == function).map(|spec| spec.memory_mb)
    }
}
