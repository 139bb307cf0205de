//! How stalls stand with the leader, for people: a view that changes nothing.

use millpost_protocol::{object, text};
use tinyjson::JsonValue;

use super::{AGENT_TIMEOUT, Leader, MS, Nanos, PROXY_TIMEOUT};

/// How a proxy stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyState<'a> {
    /// The machine's name.
    pub name: &'a str,
    /// Where it stands.
    pub zone: &'a str,
    /// It owns functions.
    pub in_view: bool,
    /// When it was heard last, in milliseconds.
    pub heard_ms_ago: u64,
    /// Why it should not be named; none where it should.
    pub exclusion: Option<&'static str>,
}

impl ProxyState<'_> {
    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("name", text(self.name)),
            ("zone", text(self.zone)),
            ("named", JsonValue::Boolean(self.in_view)),
            ("heard_ms_ago", JsonValue::Number(self.heard_ms_ago as f64)),
            ("out", self.exclusion.map_or(JsonValue::Null, text)),
        ])
    }
}

impl Leader {
    /// How the stalls stand that were heard of lately, in the order of their names.
    pub fn proxy_states(&self, now: Nanos) -> impl Iterator<Item = ProxyState<'_>> {
        self.proxies.iter().map(move |(name, proxy)| {
            let exclusion = match proxy {
                _ if proxy.last_heard + PROXY_TIMEOUT <= now => Some("silent"),
                _ if !proxy.serving => Some("leaves"),
                _ if self.drained.contains(name) => Some("drained"),
                _ if proxy.excluded => Some("deaf"),
                _ if proxy.agent_lost_at.is_some_and(|since| since + AGENT_TIMEOUT <= now) => Some("unfed"),
                _ => None,
            };
            ProxyState {
                name,
                zone: &proxy.peer.zone,
                in_view: self.ranking.owners().find(name).is_some(),
                heard_ms_ago: now.saturating_sub(proxy.last_heard) / MS,
                exclusion,
            }
        })
    }

    /// How long it is the leader, in milliseconds.
    pub fn age_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.started_at) / MS
    }

    /// The memory of one instance of a function.
    pub fn memory_mb(&self, function: &str) -> Option<u32> {
        self.specs.iter().find(|spec| spec.name == function).map(|spec| spec.memory_mb)
    }
}
