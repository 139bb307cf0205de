//! Controllers that were heard once and are silent now: they may be cut off, and every controller that they know may be
//! replaced at another address meanwhile. Then they can find nobody, and are found from here.
//!
//! Invariant: each controller that was heard by this one, or by one that this one has heard, receives messages until
//! [`SEARCH_TIME`] after it was last heard by anybody. The number of silent controllers is bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use millpost_protocol::text;
use millpost_quorum::Address;
use tinyjson::JsonValue;

use crate::errors::CallError;
use crate::gossip::{MAX_PEERS, PeerState};
use crate::{MS, Nanos};

/// A peer counts as silent after this time.
const SILENT_AFTER: Nanos = 3_000 * MS;
/// How long a silent peer is searched for. After that its machine is taken to be gone for good.
const SEARCH_TIME: Nanos = 600_000 * MS;
/// Interval between messages to silent peers.
const SEARCH_INTERVAL: Nanos = 5_000 * MS;
/// Maximum number of silent peers in one message.
const MAX_REPORTED: usize = 16;

/// A silent peer, as reported in a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentPeer {
    /// Its address.
    pub address: Address,
    /// For how long it is still searched for, in milliseconds.
    pub remaining_ms: u64,
}

impl SilentPeer {
    /// Encodes it as an address and a number.
    pub(crate) fn to_json(&self) -> JsonValue {
        JsonValue::Array(vec![text(&self.address), JsonValue::Number(self.remaining_ms as f64)])
    }

    /// Decodes the silent peers of a message; further ones than [`MAX_REPORTED`] are ignored.
    pub(crate) fn read_all(value: Option<&JsonValue>) -> Result<Vec<SilentPeer>, CallError> {
        match value {
            None | Some(JsonValue::Null) => Ok(Vec::new()),
            Some(JsonValue::Array(all)) => all.iter().take(MAX_REPORTED).map(Self::read).collect(),
            Some(_) => Err(CallError::Invalid("silent".to_owned())),
        }
    }

    fn read(value: &JsonValue) -> Result<SilentPeer, CallError> {
        let parts = value.get::<Vec<JsonValue>>().map(Vec::as_slice);
        if let Some([JsonValue::String(address), JsonValue::Number(remaining_ms)]) = parts
            && address.parse::<SocketAddr>().is_ok()
            && *remaining_ms >= 0.0
        {
            return Ok(SilentPeer { address: address.as_str().into(), remaining_ms: *remaining_ms as u64 });
        }
        Err(CallError::Invalid("silent".to_owned()))
    }
}

/// The silent controllers that are searched for.
#[derive(Debug, Default)]
pub(crate) struct SilentPeers {
    /// Until when each is searched for.
    until: BTreeMap<Address, Nanos>,
    next_search: Nanos,
}

impl SilentPeers {
    fn insert(&mut self, address: &Address, until: Nanos) {
        if let Some(known) = self.until.get_mut(address) {
            *known = until.max(*known);
        } else if self.until.len() < MAX_PEERS {
            self.until.insert(address.clone(), until);
        }
    }

    /// Takes note of which peers are silent.
    pub fn observe(&mut self, now: Nanos, peers: &BTreeMap<Address, PeerState>) {
        for (address, seen) in peers {
            if seen.last_heard + SILENT_AFTER <= now {
                self.insert(address, seen.last_heard + SEARCH_TIME);
            } else {
                self.until.remove(address);
            }
        }
        self.until.retain(|_, until| *until > now);
    }

    /// Takes note of what another controller reports, except of `me` and of those that are heard here.
    pub fn learn(
        &mut self,
        now: Nanos,
        me: &str,
        peers: &BTreeMap<Address, PeerState>,
        reported: &[SilentPeer],
    ) {
        let heard = |peer: &SilentPeer| {
            *peer.address == *me
                || peers.get(&peer.address).is_some_and(|seen| seen.last_heard + SILENT_AFTER > now)
        };
        for peer in reported.iter().filter(|peer| !heard(peer)) {
            let remaining = peer.remaining_ms.saturating_mul(MS).min(SEARCH_TIME);
            self.insert(&peer.address, now + remaining);
        }
    }

    /// Returns what to report to other controllers: those that were heard last.
    pub fn report(&self, now: Nanos) -> Vec<SilentPeer> {
        let mut all: Vec<_> = self.until.iter().collect();
        all.sort_by_key(|(_, until)| std::cmp::Reverse(**until));
        let report = |(address, until): (&Address, &Nanos)| SilentPeer {
            address: address.clone(),
            remaining_ms: until.saturating_sub(now) / MS,
        };
        all.into_iter().take(MAX_REPORTED).map(report).collect()
    }

    /// Returns the silent controllers that receive a message now.
    pub fn take_due(&mut self, now: Nanos) -> Vec<Address> {
        if now < self.next_search {
            return Vec::new();
        }
        self.next_search = now + SEARCH_INTERVAL;
        self.until.keys().cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(last_heard: Nanos) -> PeerState {
        PeerState { last_heard, voting: true, leaving: false, added: false, location: None }
    }

    #[test]
    fn a_silent_controller_is_searched_for_until_some_time_after_anybody_heard_it() {
        let (gone, me): (Address, Address) = ("10.0.0.1:1".into(), "10.0.0.2:1".into());
        let (mut first, mut second) = (SilentPeers::default(), SilentPeers::default());
        let peers = BTreeMap::from([(gone.clone(), seen(0))]);
        first.observe(SILENT_AFTER - 1, &peers);
        assert!(first.report(SILENT_AFTER - 1).is_empty(), "not yet silent");
        first.observe(SILENT_AFTER, &peers);
        let report = first.report(SILENT_AFTER);
        assert_eq!(report, [SilentPeer { address: gone.clone(), remaining_ms: 597_000 }]);
        second.learn(SILENT_AFTER, &me, &BTreeMap::new(), &report);
        second.learn(SILENT_AFTER, &gone, &BTreeMap::new(), &report);
        assert_eq!(second.take_due(SILENT_AFTER), std::slice::from_ref(&gone));
        assert!(second.take_due(SILENT_AFTER + SEARCH_INTERVAL - 1).is_empty());
        // What one reports to the other and back does not extend the search.
        for now in (SILENT_AFTER..=SEARCH_TIME).step_by(SEARCH_INTERVAL as usize) {
            first.learn(now, &me, &BTreeMap::new(), &second.report(now));
            second.learn(now, &me, &BTreeMap::new(), &first.report(now));
        }
        second.observe(SEARCH_TIME, &BTreeMap::new());
        assert!(second.report(SEARCH_TIME).is_empty());
        // Once it is heard, it is no longer silent.
        let heard = BTreeMap::from([(gone, seen(SEARCH_TIME))]);
        first.observe(SEARCH_TIME, &heard);
        first.learn(SEARCH_TIME, &me, &heard, &report);
        assert!(first.report(SEARCH_TIME).is_empty());
    }

    #[yare::parameterized(
        no_list = { r#""x""# },
        no_pair = { r#"["10.0.0.1:1"]"# },
        no_address = { r#"[["here", 5]]"# },
        no_time = { r#"[["10.0.0.1:1", "5"]]"# },
        negative_time = { r#"[["10.0.0.1:1", -5]]"# },
    )]
    fn an_invalid_report_is_rejected(text: &str) {
        let value = text.parse().expect("JSON");
        assert!(SilentPeer::read_all(Some(&value)).is_err());
    }
}
