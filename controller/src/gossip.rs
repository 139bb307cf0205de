//! GossipMessage between control machines: who was heard, who is the leader, and when a newer configuration is to be fetched. Invariants: no
//! more than [`MAX_PEERS`] peers are kept; of one revision one copy at a time is on its way here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use millpost_protocol::{object, string, text, whole};
use millpost_quorum::{Address, Members, Value};
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::CallError;
use crate::{MS, Nanos};

/// What is known goes round this often,
const INTERVAL: Nanos = 400 * MS;
/// ... and no more often than this while no majority is reached and somebody was heard.
const MIN_INTERVAL: Nanos = 50 * MS;
/// Other control machines.
pub const MAX_PEERS: usize = 256;
/// One that was not heard of for so long is told nothing unless it is a seed or a voter; for so long, is forgotten.
const SEND_TIMEOUT: Nanos = 10_000 * MS;
const FORGET_AFTER: Nanos = 60_000 * MS;

/// Another control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// When it was heard of last.
    pub heard: Nanos,
    /// Whether it votes.
    pub voting: bool,
    /// Its process was told to end.
    pub leaving: bool,
}

/// How this machine stands.
#[derive(Clone, Copy, Debug)]
pub struct LocalState {
    /// Whether it votes.
    pub voting: bool,
    /// Its process was told to end.
    pub leaving: bool,
}

/// What a control machine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// Who says it.
    pub from: Address,
    /// The revision that it knows to be chosen; 0: none.
    pub revision: u64,
    /// The digest of that configuration.
    pub digest: CompactString,
    /// The leader as last heard of.
    pub leader: CompactString,
    /// Its fence; 0: nobody was heard of.
    pub fence: u64,
    /// Whether it votes.
    pub voting: bool,
    /// Its process was told to end.
    pub leaving: bool,
    /// The epoch of the members that it goes by, if it knows any.
    pub epoch: Option<u64>,
    /// How that configuration differs from the one before; with the first word of it only.
    pub change: Option<ConfigChange>,
}

/// What leads from one configuration to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The digest of the one before.
    pub base: CompactString,
    /// The difference, packed.
    pub packed: String,
}

impl GossipMessage {
    /// Reads them, and checks that they come from an address.
    pub fn read(value: &JsonValue) -> Result<GossipMessage, CallError> {
        let JsonValue::Object(parts) = value else { return Err(CallError::Invalid("no JSON".to_owned())) };
        let invalid = |e: millpost_protocol::Fault| CallError::Invalid(e.to_string());
        let field = |key| string(parts, key).map_err(invalid);
        let count = |key| whole(parts, key).map_err(invalid);
        let message = GossipMessage {
            from: field("from")?,
            digest: field("mark")?,
            leader: field("steward")?,
            revision: count("rev")?,
            fence: count("fence")?,
            voting: parts.get("voting") == Some(&JsonValue::Boolean(true)),
            leaving: parts.get("leaving") == Some(&JsonValue::Boolean(true)),
            epoch: parts.contains_key("epoch").then(|| count("epoch")).transpose()?,
            change: match (parts.get("change"), parts.get("base")) {
                (Some(JsonValue::String(packed)), Some(JsonValue::String(base))) => {
                    Some(ConfigChange { base: base.as_str().into(), packed: packed.clone() })
                }
                _ => None,
            },
        };
        match message.from.parse::<SocketAddr>() {
            Ok(_) => Ok(message),
            Err(_) => Err(CallError::Invalid("from".to_owned())),
        }
    }

    /// As they are sent.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("from", text(&self.from)),
            ("rev", JsonValue::Number(self.revision as f64)),
            ("mark", text(&self.digest)),
            ("steward", text(&self.leader)),
            ("fence", JsonValue::Number(self.fence as f64)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("leaving", if self.leaving { JsonValue::Boolean(true) } else { JsonValue::Null }),
            ("epoch", self.epoch.map_or(JsonValue::Null, |epoch| JsonValue::Number(epoch as f64))),
            ("base", self.change.as_ref().map_or(JsonValue::Null, |c| text(&c.base))),
            ("change", self.change.as_ref().map_or(JsonValue::Null, |c| text(&c.packed))),
        ])
    }
}

/// A configuration that is chosen, as it stands in the register.
struct Chosen {
    revision: u64,
    text: Arc<str>,
    digest: CompactString,
}

/// A newer configuration that is on its way here.
struct Fetching {
    number: u64,
    from: Address,
    revision: u64,
    digest: CompactString,
    change: Option<ConfigChange>,
    /// The own disk has answered.
    local_checked: bool,
    /// From then on another may bring it.
    until: Nanos,
}

/// The next step towards a newer configuration; its answer carries the same number.
#[derive(Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Look at the own disk.
    ReadLocal(u64),
    /// It stands there: here it is, and how it differs from one before, if that was told.
    Found(Value, Option<ConfigChange>),
    /// Get it from this machine.
    Fetch(u64, Address),
}

/// What is known of other control machines.
pub struct Gossip {
    me: Address,
    peers: BTreeMap<Address, PeerState>,
    leader: (u64, CompactString),
    chosen: Option<Chosen>,
    /// How it differs from the one before, until that was told.
    change: Option<ConfigChange>,
    fetching: Option<Fetching>,
    count: u64,
    next_send: Nanos,
}

/// The name of a content, for saying which one is meant without sending it.
pub fn digest(text: &str) -> CompactString {
    format!("{:016x}", xxh3_64(text.as_bytes())).into()
}

impl Gossip {
    /// Of the machine `me`, which knows nothing yet.
    pub fn new(me: Address) -> Self {
        let leader = (0, CompactString::default());
        Gossip {
            me,
            peers: BTreeMap::new(),
            leader,
            chosen: None,
            change: None,
            fetching: None,
            count: 0,
            next_send: 0,
        }
    }

    /// Who was heard of.
    pub fn peers(&self) -> &BTreeMap<Address, PeerState> {
        &self.peers
    }

    /// The leader as last heard of, with its fence.
    pub fn leader(&self) -> &(u64, CompactString) {
        &self.leader
    }

    /// The configuration that is chosen, as it stands in the register.
    pub fn chosen(&self) -> Option<&Arc<str>> {
        self.chosen.as_ref().map(|c| &c.text)
    }

    /// Its revision; 0: none is known.
    pub fn revision(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |c| c.revision)
    }

    /// The digest of the one that is chosen.
    pub fn digest(&self) -> Option<&CompactString> {
        self.chosen.as_ref().map(|c| &c.digest)
    }

    /// A newer one is chosen; `change`: how it differs from the one before, packed.
    pub fn set_chosen(&mut self, revision: u64, text: Arc<str>, change: Option<String>) {
        let digest = digest(&text);
        let before = self.chosen.as_ref().map(|c| c.digest.clone());
        self.change = before.zip(change).map(|(base, packed)| ConfigChange { base, packed });
        self.chosen = Some(Chosen { revision, text, digest });
        if self.fetching.as_ref().is_some_and(|f| f.revision <= revision) {
            self.fetching = None;
        }
    }

    /// Whether it is news that this machine is the leader.
    pub fn update_leader(&mut self, fence: u64, leader: &str) -> bool {
        let newer = fence > self.leader.0;
        if newer {
            self.leader = (fence, leader.into());
        }
        newer
    }

    /// When what is known is to go round again.
    pub fn next_send(&self) -> Nanos {
        self.next_send
    }

    /// Somebody may be reached who was not before: what is known goes round soon.
    pub fn hasten(&mut self, now: Nanos) {
        let last = self.next_send.saturating_sub(INTERVAL);
        self.next_send = self.next_send.min((last + MIN_INTERVAL).max(now));
    }

    /// What is known here, and who is to be told.
    pub fn prepare(
        &mut self,
        now: Nanos,
        seeds: &[Address],
        members: Option<&Members>,
        local: LocalState,
    ) -> (Vec<Address>, GossipMessage) {
        self.next_send = now + INTERVAL;
        let mut to = seeds.to_vec();
        to.extend(members.into_iter().flat_map(Members::all_voters));
        to.extend(self.peers.iter().filter(|(_, s)| s.heard + SEND_TIMEOUT > now).map(|(a, _)| a.clone()));
        to.sort();
        to.dedup();
        to.retain(|a| *a != self.me);
        let message = GossipMessage {
            from: self.me.clone(),
            revision: self.revision(),
            digest: self.chosen.as_ref().map_or_else(CompactString::default, |c| c.digest.clone()),
            leader: self.leader.1.clone(),
            fence: self.leader.0,
            voting: local.voting,
            leaving: local.leaving,
            epoch: members.map(|members| members.epoch),
            change: self.change.take(),
        };
        (to, message)
    }

    /// GossipMessage from another. The own disk is looked at first, unless it has hung since the last time.
    pub fn on_message(&mut self, now: Nanos, message: GossipMessage) -> Result<Option<FetchStep>, CallError> {
        self.peers.retain(|_, seen| seen.heard + FORGET_AFTER > now);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&message.from) {
            return Err(CallError::Invalid("from".to_owned()));
        }
        let seen = PeerState { heard: now, voting: message.voting, leaving: message.leaving };
        self.peers.insert(message.from.clone(), seen);
        let GossipMessage { from, revision, digest, change, .. } = message;
        let in_flight = self.fetching.as_ref().is_some_and(|f| f.revision >= revision && now < f.until);
        if revision <= self.revision() || in_flight {
            return Ok(None);
        }
        self.count += 1;
        let local_hung = self.fetching.as_ref().is_some_and(|f| f.revision == revision && !f.local_checked);
        let next = if local_hung {
            FetchStep::Fetch(self.count, from.clone())
        } else {
            FetchStep::ReadLocal(self.count)
        };
        let until = now + INTERVAL;
        self.fetching = Some(Fetching {
            number: self.count,
            from,
            revision,
            digest,
            change,
            local_checked: local_hung,
            until,
        });
        Ok(Some(next))
    }

    /// What stands on the own disk, chosen or not.
    pub fn on_local_config(&mut self, number: u64, value: Option<Value>) -> Option<FetchStep> {
        let fetching = self.fetching.as_mut().filter(|f| f.number == number)?;
        fetching.local_checked = true;
        let is =
            |value: &Value| value.version == fetching.revision && digest(&value.content) == fetching.digest;
        match value.filter(is) {
            Some(value) => Some(FetchStep::Found(value, fetching.change.clone())),
            None => Some(FetchStep::Fetch(number, fetching.from.clone())),
        }
    }

    /// The other machine has answered, or has not: whoever tells of it next is asked.
    pub fn on_fetched(&mut self, number: u64) {
        if self.fetching.as_ref().is_some_and(|f| f.number == number) {
            self.fetching = None;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(n: usize, revision: u64, digest: &str) -> GossipMessage {
        let (from, digest) = (format!("10.0.{}.{}:1", n / 256, n % 256).into(), digest.into());
        GossipMessage {
            from,
            revision,
            digest,
            leader: "".into(),
            fence: 0,
            voting: true,
            leaving: false,
            epoch: Some(1),
            change: None,
        }
    }

    #[test]
    fn a_newer_configuration_that_many_tell_of_is_fetched_once() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        assert_eq!(gossip.on_message(0, message(1, 7, "m")), Ok(Some(FetchStep::ReadLocal(1))));
        assert_eq!(gossip.on_local_config(1, None), Some(FetchStep::Fetch(1, message(1, 0, "").from)));
        assert_eq!(gossip.on_message(MS, message(2, 7, "m")), Ok(None));
        assert_eq!(gossip.on_message(2 * MS, message(3, 6, "m")), Ok(None));
        // A still newer one does not wait for it.
        assert_eq!(gossip.on_message(3 * MS, message(3, 8, "m")), Ok(Some(FetchStep::ReadLocal(2))));
        assert_eq!(gossip.on_local_config(1, None), None);
        gossip.on_fetched(1);
        assert_eq!(gossip.on_message(4 * MS, message(2, 8, "m")), Ok(None));
        // Nor is one waited for that brings nothing, or answers nothing.
        gossip.on_fetched(2);
        assert_eq!(gossip.on_message(5 * MS, message(2, 8, "m")), Ok(Some(FetchStep::ReadLocal(3))));
        // Where even the own disk says nothing, that is not waited for again.
        let again = FetchStep::Fetch(4, message(1, 0, "").from);
        assert_eq!(gossip.on_message(5 * MS + INTERVAL, message(1, 8, "m")), Ok(Some(again)));
        assert_eq!(gossip.on_message(5 * MS + INTERVAL, message(2, 8, "m")), Ok(None));
        gossip.set_chosen(8, "{}".into(), None);
        assert_eq!(gossip.on_message(5 * MS + INTERVAL, message(1, 8, "m")), Ok(None));
    }

    #[test]
    fn the_own_disk_brings_it_only_where_the_content_is_the_same() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        let value = |version, content: &str| Value { version, content: content.into() };
        assert_eq!(gossip.on_message(0, message(1, 7, &digest("{1}"))), Ok(Some(FetchStep::ReadLocal(1))));
        for other in [value(7, "{2}"), value(6, "{1}")] {
            assert_eq!(
                gossip.on_local_config(1, Some(other)),
                Some(FetchStep::Fetch(1, message(1, 0, "").from))
            );
        }
        assert_eq!(
            gossip.on_local_config(1, Some(value(7, "{1}"))),
            Some(FetchStep::Found(value(7, "{1}"), None))
        );
    }

    #[test]
    fn others_are_bounded_and_those_known_go_on_being_heard() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        for n in 0..2 * MAX_PEERS {
            assert_eq!(gossip.on_message(0, message(n, 0, "")).is_ok(), n < MAX_PEERS);
        }
        assert!(gossip.on_message(30_000 * MS, message(0, 0, "")).is_ok());
        assert!(gossip.on_message(60_000 * MS, message(MAX_PEERS, 0, "")).is_ok());
        assert_eq!(gossip.peers().len(), 2);
    }

    #[test]
    fn news_are_read_as_they_are_sent() {
        let sent = message(1, 7, "m");
        assert_eq!(GossipMessage::read(&sent.to_json()), Ok(sent.clone()));
        let change = ConfigChange { base: "l".into(), packed: "eJ".to_owned() };
        let sent = GossipMessage { change: Some(change), leaving: true, ..sent };
        assert_eq!(GossipMessage::read(&sent.to_json()), Ok(sent));
        let nowhere = GossipMessage { from: "nobody".into(), ..message(1, 7, "m") };
        assert_eq!(GossipMessage::read(&nowhere.to_json()), Err(CallError::Invalid("from".to_owned())));
    }
}
