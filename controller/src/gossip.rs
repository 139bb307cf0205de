//! Gossip between controllers: which peers are alive, who the leader is, and which newer configuration must
//! be fetched.
//!
//! Invariants: at most [`MAX_PEERS`] peers are kept; of each revision at most one copy at a time is being
//! fetched.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use millpost_protocol::{MAX_CONTROLLERS, object, string, text, whole};
use millpost_quorum::{Address, Members, Value};
use tinyjson::JsonValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::CallError;
use crate::placement::Location;
use crate::silent_peers::{SilentPeer, SilentPeers};
use crate::{MS, Nanos};

/// Interval between messages to all peers.
const INTERVAL: Nanos = 400 * MS;
/// Minimum interval while no majority is reached and peers are heard.
const MIN_INTERVAL: Nanos = 50 * MS;
/// Maximum number of known peers.
pub const MAX_PEERS: usize = 256;
/// A peer that is neither a seed nor a voter receives messages less often after it was silent for
/// [`SEND_TIMEOUT`]; its state is forgotten after [`FORGET_AFTER`].
const SEND_TIMEOUT: Nanos = 10_000 * MS;
const FORGET_AFTER: Nanos = 60_000 * MS;

/// The state of another controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    /// When it was last heard.
    pub last_heard: Nanos,
    /// Whether it votes.
    pub voting: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it was added to the running system, as opposed to those that started it.
    pub added: bool,
    /// Where it is, if it has said so.
    pub location: Option<Location>,
}

/// The state of this controller.
#[derive(Clone, Debug)]
pub struct LocalState {
    /// Whether it votes.
    pub voting: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether it was added to the running system, as opposed to those that started it.
    pub added: bool,
    /// Where it is, if that is known.
    pub location: Option<Location>,
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipMessage {
    /// The sender.
    pub from: Address,
    /// The revision of the configuration that the sender knows to be chosen; 0 if none.
    pub revision: u64,
    /// The digest of that configuration.
    pub digest: CompactString,
    /// The last known leader.
    pub leader: CompactString,
    /// The fence of that leader; 0 if no leader is known.
    pub fence: u64,
    /// Whether the sender votes.
    pub voting: bool,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender was added to the running system, as opposed to those that started it.
    pub added: bool,
    /// Where the sender is, if it says so.
    pub location: Option<Location>,
    /// The epoch of the members that the sender knows, if any.
    pub epoch: Option<u64>,
    /// Controllers that were heard once and are silent now.
    pub silent: Vec<SilentPeer>,
    /// The change from the previous configuration; only in the first message after the change.
    pub change: Option<ConfigChange>,
}

/// The change from one configuration to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// The digest of the previous configuration.
    pub base: CompactString,
    /// The compressed change.
    pub packed: String,
}

impl GossipMessage {
    /// Parses a message and checks that the sender is an address.
    pub fn read(value: &JsonValue) -> Result<GossipMessage, CallError> {
        let JsonValue::Object(parts) = value else { return Err(CallError::Invalid("no JSON".to_owned())) };
        let invalid = |e: millpost_protocol::Fault| CallError::Invalid(e.to_string());
        let field = |key| string(parts, key).map_err(invalid);
        let number = |key| whole(parts, key).map_err(invalid);
        let message = GossipMessage {
            from: field("from")?,
            digest: field("mark")?,
            leader: field("steward")?,
            revision: number("rev")?,
            fence: number("fence")?,
            voting: parts.get("voting") == Some(&JsonValue::Boolean(true)),
            leaving: parts.get("leaving") == Some(&JsonValue::Boolean(true)),
            added: parts.get("added") == Some(&JsonValue::Boolean(true)),
            location: match parts.contains_key("zone") {
                true => Some(Location { zone: field("zone")?, region: field("region")? }),
                false => None,
            },
            epoch: parts.contains_key("epoch").then(|| number("epoch")).transpose()?,
            silent: SilentPeer::read_all(parts.get("silent"))?,
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

    /// Encodes the message.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("from", text(&self.from)),
            ("rev", JsonValue::Number(self.revision as f64)),
            ("mark", text(&self.digest)),
            ("steward", text(&self.leader)),
            ("fence", JsonValue::Number(self.fence as f64)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("leaving", if self.leaving { JsonValue::Boolean(true) } else { JsonValue::Null }),
            ("added", if self.added { JsonValue::Boolean(true) } else { JsonValue::Null }),
            ("zone", self.location.as_ref().map_or(JsonValue::Null, |location| text(&location.zone))),
            ("region", self.location.as_ref().map_or(JsonValue::Null, |location| text(&location.region))),
            ("epoch", self.epoch.map_or(JsonValue::Null, |epoch| JsonValue::Number(epoch as f64))),
            (
                "silent",
                match &self.silent[..] {
                    [] => JsonValue::Null,
                    all => JsonValue::Array(all.iter().map(SilentPeer::to_json).collect()),
                },
            ),
            ("base", self.change.as_ref().map_or(JsonValue::Null, |c| text(&c.base))),
            ("change", self.change.as_ref().map_or(JsonValue::Null, |c| text(&c.packed))),
        ])
    }
}

/// The chosen configuration, as stored in the register.
struct Chosen {
    revision: u64,
    text: Arc<str>,
    digest: CompactString,
}

/// A newer configuration that is being fetched.
struct Fetching {
    number: u64,
    from: Address,
    revision: u64,
    digest: CompactString,
    change: Option<ConfigChange>,
    /// Whether the local disk has answered.
    local_checked: bool,
    /// After this time it may be fetched from another peer.
    until: Nanos,
}

/// The next step of fetching a newer configuration. The result must be passed back with the same number.
#[derive(Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Read it from the local disk.
    ReadLocal(u64),
    /// The local disk holds it. The change from an earlier configuration is given if it was received.
    Found(Value, Option<ConfigChange>),
    /// Fetch it from this peer.
    Fetch(u64, Address),
}

/// The state of gossip on a controller.
pub struct Gossip {
    me: Address,
    peers: BTreeMap<Address, PeerState>,
    silent: SilentPeers,
    leader: (u64, CompactString),
    chosen: Option<Chosen>,
    /// The change from the previous configuration, until it is sent.
    change: Option<ConfigChange>,
    fetching: Option<Fetching>,
    count: u64,
    next_send: Nanos,
    /// When the last messages were sent; `None` before the first.
    last_sent: Option<Nanos>,
}

/// Returns the digest that identifies a content.
pub fn digest(text: &str) -> CompactString {
    format!("{:016x}", xxh3_64(text.as_bytes())).into()
}

impl Gossip {
    /// Creates the gossip of the controller `me`, which knows nothing yet.
    pub fn new(me: Address) -> Self {
        let leader = (0, CompactString::default());
        Gossip {
            me,
            peers: BTreeMap::new(),
            silent: SilentPeers::default(),
            leader,
            chosen: None,
            change: None,
            fetching: None,
            count: 0,
            next_send: 0,
            last_sent: None,
        }
    }

    /// Returns the known peers.
    pub fn peers(&self) -> &BTreeMap<Address, PeerState> {
        &self.peers
    }

    /// Returns the controllers that agents may follow: this one, the voters, and the peers that were heard
    /// recently. If there are too many, the voters come before other peers.
    pub fn controllers(&self, now: Nanos, members: Option<&Members>) -> Vec<Address> {
        let mut controllers = vec![self.me.clone()];
        let voters = members.into_iter().flat_map(Members::all_voters);
        let peers = self.recent_peers(now).cloned();
        for address in voters.chain(peers) {
            if controllers.len() < MAX_CONTROLLERS && !controllers.contains(&address) {
                controllers.push(address);
            }
        }
        controllers.sort();
        controllers
    }

    /// Returns the peers that were heard recently.
    fn recent_peers(&self, now: Nanos) -> impl Iterator<Item = &Address> {
        self.peers.iter().filter(move |(_, seen)| seen.last_heard + SEND_TIMEOUT > now).map(|(a, _)| a)
    }

    /// Returns the last known leader and its fence.
    pub fn leader(&self) -> &(u64, CompactString) {
        &self.leader
    }

    /// Returns the chosen configuration as stored in the register.
    pub fn chosen(&self) -> Option<&Arc<str>> {
        self.chosen.as_ref().map(|c| &c.text)
    }

    /// Returns the revision of the chosen configuration; 0 if none is known.
    pub fn revision(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |c| c.revision)
    }

    /// Returns the digest of the chosen configuration.
    pub fn digest(&self) -> Option<&CompactString> {
        self.chosen.as_ref().map(|c| &c.digest)
    }

    /// Records a newer chosen configuration. `change` is the compressed change from the previous one.
    pub fn set_chosen(&mut self, revision: u64, text: Arc<str>, change: Option<String>) {
        let digest = digest(&text);
        let before = self.chosen.as_ref().map(|c| c.digest.clone());
        self.change = before.zip(change).map(|(base, packed)| ConfigChange { base, packed });
        self.chosen = Some(Chosen { revision, text, digest });
        if self.fetching.as_ref().is_some_and(|f| f.revision <= revision) {
            self.fetching = None;
        }
    }

    /// Records the leader of a fence. Returns whether the fence is newer than the known one.
    pub fn update_leader(&mut self, fence: u64, leader: &str) -> bool {
        let newer = fence > self.leader.0;
        if newer {
            self.leader = (fence, leader.into());
        }
        newer
    }

    /// Returns when the next messages are due.
    pub fn next_send(&self) -> Nanos {
        self.next_send
    }

    /// Makes the next messages due earlier, because a peer may have become reachable.
    pub fn hasten(&mut self, now: Nanos) {
        let earliest = self.last_sent.map_or(now, |sent| sent + MIN_INTERVAL);
        self.next_send = self.next_send.min(earliest.max(now));
    }

    /// Returns the next message and its recipients.
    pub fn prepare(
        &mut self,
        now: Nanos,
        seeds: &[Address],
        members: Option<&Members>,
        local: LocalState,
    ) -> (Vec<Address>, GossipMessage) {
        self.next_send = now + INTERVAL;
        self.last_sent = Some(now);
        let mut to = seeds.to_vec();
        to.extend(members.into_iter().flat_map(Members::all_voters));
        to.extend(self.recent_peers(now).cloned());
        // The leader changes the voters, so it must hear each controller, also if it does not vote any more itself.
        to.extend((!self.leader.1.is_empty()).then(|| self.leader.1.clone()));
        self.silent.observe(now, &self.peers);
        to.extend(self.silent.take_due(now));
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
            added: local.added,
            location: local.location,
            epoch: members.map(|members| members.epoch),
            silent: self.silent.report(now),
            change: self.change.take(),
        };
        (to, message)
    }

    /// Handles a message. The local disk is read first, unless it has not answered since the last time.
    pub fn on_message(&mut self, now: Nanos, message: GossipMessage) -> Result<Option<FetchStep>, CallError> {
        self.peers.retain(|_, seen| seen.last_heard + FORGET_AFTER > now);
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&message.from) {
            return Err(CallError::Invalid("from".to_owned()));
        }
        self.silent.learn(now, &self.me, &self.peers, &message.silent);
        let GossipMessage { from, revision, digest, change, voting, leaving, added, location, .. } = message;
        self.peers.insert(from.clone(), PeerState { last_heard: now, voting, leaving, added, location });
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

    /// Handles the configuration on the local disk, chosen or not.
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

    /// Handles the end of a fetch, successful or not. The next peer that reports the revision is asked again
    /// if needed.
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
            added: false,
            location: None,
            epoch: Some(1),
            silent: Vec::new(),
            change: None,
        }
    }

    #[test]
    fn a_newer_configuration_that_many_report_is_fetched_once() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        assert_eq!(gossip.on_message(0, message(1, 7, "m")), Ok(Some(FetchStep::ReadLocal(1))));
        assert_eq!(gossip.on_local_config(1, None), Some(FetchStep::Fetch(1, message(1, 0, "").from)));
        assert_eq!(gossip.on_message(MS, message(2, 7, "m")), Ok(None));
        assert_eq!(gossip.on_message(2 * MS, message(3, 6, "m")), Ok(None));
        // An even newer configuration does not wait for it.
        assert_eq!(gossip.on_message(3 * MS, message(3, 8, "m")), Ok(Some(FetchStep::ReadLocal(2))));
        assert_eq!(gossip.on_local_config(1, None), None);
        gossip.on_fetched(1);
        assert_eq!(gossip.on_message(4 * MS, message(2, 8, "m")), Ok(None));
        // A fetch that failed or was not answered does not block the next one.
        gossip.on_fetched(2);
        assert_eq!(gossip.on_message(5 * MS, message(2, 8, "m")), Ok(Some(FetchStep::ReadLocal(3))));
        // If the local disk did not answer either, it is not read again.
        let again = FetchStep::Fetch(4, message(1, 0, "").from);
        assert_eq!(gossip.on_message(5 * MS + INTERVAL, message(1, 8, "m")), Ok(Some(again)));
        assert_eq!(gossip.on_message(5 * MS + INTERVAL, message(2, 8, "m")), Ok(None));
        gossip.set_chosen(8, "{}".into(), None);
        assert_eq!(gossip.on_message(5 * MS + INTERVAL, message(1, 8, "m")), Ok(None));
    }

    /// Guards against messages without pause: two calls of `hasten` between two messages made the next one due at
    /// once, so that controllers without a majority sent thousands a second to each other.
    #[test]
    fn messages_are_never_hastened_beyond_their_shortest_interval() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        let local = LocalState { voting: true, leaving: false, added: false, location: None };
        let (mut now, mut random, mut sent) = (0, 1_u64, Vec::new());
        while now < 10_000 * MS {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            now += (random >> 33) % (20 * MS);
            (0..(random >> 20) % 4).for_each(|_| gossip.hasten(now));
            if now >= gossip.next_send() {
                gossip.prepare(now, &[], None, local.clone());
                sent.push(now);
            }
        }
        assert!(sent.windows(2).all(|pair| pair[1] - pair[0] >= MIN_INTERVAL), "{sent:?}");
        assert!(sent.len() > 100, "hastened at all: {}", sent.len());
    }

    #[test]
    fn the_local_configuration_is_used_only_if_its_content_matches() {
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
    fn peers_are_bounded_and_known_ones_are_still_accepted() {
        let mut gossip = Gossip::new("10.1.0.0:1".into());
        for n in 0..2 * MAX_PEERS {
            assert_eq!(gossip.on_message(0, message(n, 0, "")).is_ok(), n < MAX_PEERS);
        }
        assert!(gossip.on_message(30_000 * MS, message(0, 0, "")).is_ok());
        assert!(gossip.on_message(60_000 * MS, message(MAX_PEERS, 0, "")).is_ok());
        assert_eq!(gossip.peers().len(), 2);
    }

    #[test]
    fn messages_round_trip() {
        let sent = message(1, 7, "m");
        assert_eq!(GossipMessage::read(&sent.to_json()), Ok(sent.clone()));
        let change = ConfigChange { base: "l".into(), packed: "eJ".to_owned() };
        let sent = GossipMessage { change: Some(change), leaving: true, ..sent };
        assert_eq!(GossipMessage::read(&sent.to_json()), Ok(sent.clone()));
        let location = Some(Location { zone: "z".into(), region: "r".into() });
        let sent = GossipMessage { location, added: true, ..sent };
        assert_eq!(GossipMessage::read(&sent.to_json()), Ok(sent));
        let nowhere = GossipMessage { from: "nobody".into(), ..message(1, 7, "m") };
        assert_eq!(GossipMessage::read(&nowhere.to_json()), Err(CallError::Invalid("from".to_owned())));
    }
}
