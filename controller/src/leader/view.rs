//! Read-only view of the proxies, for operators.

use millpost_protocol::{object, text};
use tinyjson::JsonValue;

use super::{AGENT_TIMEOUT, Leader, MS, Nanos, PROXY_TIMEOUT};

/// The state of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProxyState<'a> {
    /// The name of its machine.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is in the membership view and so may own functions.
    pub in_view: bool,
    /// Time since it was last heard, in milliseconds.
    pub heard_ms_ago: u64,
    /// Why it should not be in the view; `None` if it should.
    pub exclusion: Option<&'static str>,
}

impl ProxyState<'_> {
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
    /// Returns the states of the recently heard proxies, by name.
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

    /// Returns how long this controller has been the leader, in milliseconds.
    pub fn age_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.started_at) / MS
    }

    /// Returns the memory of one instance of a function, in MB.
    pub fn memory_mb(&self, function: &str) -> Option<u32> {
        self.specs.iter().find(|spec| spec.name == function).map(|spec| spec.memory_mb)
    }
}
