//! The messages between processes, and their encoding as JSON.
//!
//! *Down* messages go from the controller through the agent to a proxy, *up* messages the other way.

use std::collections::HashMap;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::function_status::FunctionStatus;
use crate::json::{Fault, list, number, object, string, text, whole};
use crate::membership::ViewChange;

/// Orders published state: the fence of the publishing leader, and its count of publications.
pub type Version = (u64, u64);

/// The most addresses in a [`PeerMessage::Controllers`]; any further ones are ignored.
pub const MAX_CONTROLLERS: usize = 32;

/// A live proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the machine.
    pub name: CompactString,
    /// Address at which it accepts messages.
    pub address: CompactString,
    /// Its zone.
    pub zone: CompactString,
}

/// An instance of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Unique id of this run of the instance.
    pub id: CompactString,
    /// The function that it serves.
    pub service: CompactString,
    /// Address and port.
    pub address: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// The worker that it runs on.
    pub worker: CompactString,
    /// Lifecycle stage: 0 booting, 1 ready, 2 draining.
    pub stage: u8,
}

/// A granted permit that has not been released.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Name of the holder.
    pub who: CompactString,
    /// Request number, assigned by the holder.
    pub id: u64,
    /// Id of the instance.
    pub instance: CompactString,
    /// Milliseconds until the client's deadline; negative if it has passed and the request may still be
    /// running.
    pub left: f64,
}

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// To the owner of a function: requests a permit.
    RequestPermit {
        /// Request number, assigned by the requester.
        id: u64,
        /// The function.
        service: CompactString,
        /// Milliseconds until the client's deadline.
        left: f64,
        /// Milliseconds until the target latency is exceeded; negative once it is.
        aim: f64,
        /// Target latency of the route in milliseconds.
        target: f64,
        /// Number of endpoints to which the request was already sent.
        sent: u32,
        /// Whether this is the first permit request for the client request.
        first: bool,
        /// Whether the client request is a retry, or was made by a running request.
        returned: bool,
        /// Instances on which the request failed.
        avoid: Vec<CompactString>,
        /// Zone in which the request arrived.
        zone: CompactString,
    },
    /// To the owner: cancels a permit request.
    CancelRequest {
        /// Request number, assigned by the requester.
        id: u64,
    },
    /// To the requester: the request waits for a free slot.
    Queued {
        /// Request number, assigned by the requester.
        id: u64,
    },
    /// To the requester: grants a permit for an instance.
    Grant {
        /// Request number, assigned by the requester.
        id: u64,
        /// Id of the instance.
        instance: CompactString,
        /// Address of the instance.
        address: CompactString,
        /// Zone of the instance, if it differs from the requester's.
        zone: Option<CompactString>,
    },
    /// To the requester: denies a permit.
    Denied {
        /// Request number, assigned by the requester.
        id: u64,
        /// Reason: `full`, `skip`, `spent`, `unknown` or `moved`.
        why: CompactString,
        /// Milliseconds until a slot may be free.
        wait: f64,
    },
    /// To the owner: releases a permit.
    ReleasePermit {
        /// Request number, assigned by the requester.
        id: u64,
        /// Outcome of the attempt.
        outcome: CompactString,
        /// Duration of the attempt in milliseconds.
        took: f64,
    },
    /// To a new owner: the sender holds this permit.
    HeldPermit {
        /// Request number, assigned by the requester.
        id: u64,
        /// The function.
        service: CompactString,
        /// Id of the instance.
        instance: CompactString,
        /// Milliseconds until the client's deadline.
        left: f64,
    },
    /// From the previous owner to the new one: all permits of the function that the sender granted and that
    /// are not yet released.
    HandOverPermits {
        /// The function.
        service: CompactString,
        /// The membership view in which the recipient is the owner.
        version: Version,
        /// The unreleased permits.
        permits: Vec<Permit>,
    },
    /// From the previous owner to the new one: a permit was released to the sender.
    ForwardRelease {
        /// Name of the holder.
        who: CompactString,
        /// Request number, assigned by the holder.
        id: u64,
        /// Instance of the permit; a permit that the new owner granted to the same request for another
        /// instance remains valid. Older releases omit it.
        instance: Option<CompactString>,
        /// Outcome of the attempt.
        outcome: CompactString,
        /// Duration of the attempt in milliseconds.
        took: f64,
    },
    /// Down: the configuration.
    Config {
        /// Revision of the configuration.
        revision: u64,
        /// The whole configuration, as sent by the operator.
        body: JsonValue,
    },
    /// Down: the configuration, compressed (see `millpost_net::pack`).
    PackedConfig {
        /// Revision of the configuration.
        revision: u64,
        /// The whole configuration, compressed.
        packed: String,
    },
    /// Down: the difference to the previous configuration (see `millpost_config::change`).
    Patch {
        /// Revision that results from the change.
        revision: u64,
        /// The difference.
        change: JsonValue,
    },
    /// Down: the difference to the previous configuration, compressed.
    PackedPatch {
        /// Revision that results from the change.
        revision: u64,
        /// The difference, compressed.
        packed: String,
    },
    /// Down: the complete view of the live proxies.
    FullView {
        /// Version; older ones are ignored.
        version: Version,
        /// The members.
        peers: Vec<Peer>,
        /// Live proxies that own no functions any more.
        leaving: Vec<Peer>,
        /// Functions with one owner per zone, sorted.
        split: Vec<CompactString>,
    },
    /// Down: the difference to the previous view.
    ViewChange(ViewChange),
    /// Down: instances.
    Instances {
        /// Version; older ones are ignored.
        version: Version,
        /// Whether `set` is the complete list; otherwise it contains only changes.
        all: bool,
        /// New or changed instances.
        set: Vec<Instance>,
        /// Ids of removed instances.
        gone: Vec<CompactString>,
    },
    /// Down, to the owner of a function and to its deputy: a minimum for the desired instance count. While it
    /// is in force, the owner reports the function's status.
    MinInstances {
        /// The function.
        service: CompactString,
        /// Minimum number of live instances of this owner; 0 removes the minimum.
        count: u32,
        /// Fence of the leader that set it; lower fences are ignored.
        fence: u64,
        /// Milliseconds for which it is in force, unless it is renewed.
        left: f64,
    },
    /// Down: the current leader.
    Leader {
        /// Its address; empty while no leader is known.
        address: CompactString,
        /// Its fence.
        fence: u64,
    },
    /// Down, to the agent: the controllers that the sender knows to exist, itself included. Each report
    /// replaces the earlier ones of the same controller. From the agent to its proxy: those that the agent was
    /// told of. Up, only to the agent: the same, for an agent that has restarted.
    Controllers {
        /// Their addresses, at most [`MAX_CONTROLLERS`].
        addresses: Vec<CompactString>,
    },
    /// Down: drains this proxy, so that it accepts no new clients; up: the proxy is drained.
    Drain {
        /// Name of the machine.
        name: CompactString,
        /// Remaining duration in milliseconds; 0 ends the drain.
        left: f64,
    },
    /// Up: the number of instances that a function needs.
    DesiredInstances {
        /// The function.
        service: CompactString,
        /// Total number of instances.
        count: u32,
        /// Zones in which its requests arrive, busiest first.
        zones: Vec<CompactString>,
        /// Zone of the sending owner, if the function has one owner per zone.
        lot: Option<CompactString>,
        /// Share of the owner's capacity that this function uses.
        strain: f64,
        /// Status of the function, while a minimum is in force.
        does: Option<FunctionStatus>,
        /// Workers that are known to be slow for it; omitted if there are none.
        slow: Vec<CompactString>,
    },
    /// Up, to a newly elected leader: all instances that the sender knows of the functions that it owns.
    OwnedInstances {
        /// The instances.
        set: Vec<Instance>,
    },
    /// Down, only to the agent: whether the controller that feeds it reaches a majority of the voters. It did
    /// when the feed began.
    Contact {
        /// Whether a majority is reachable.
        holds: bool,
    },
    /// Between proxies: a batch arrived with a lower incarnation of its sender than is known. If the sender
    /// is in fact running, because its clock stepped back between two starts, it uses a higher incarnation
    /// for this peer from then on.
    StaleIncarnation {
        /// The highest known incarnation.
        known: u64,
    },
    /// Up: an instance is no longer needed and may be stopped.
    RetireInstance {
        /// Id of the instance.
        instance: CompactString,
    },
    /// Up: an instance refuses connections.
    InstanceDown {
        /// Id of the instance.
        instance: CompactString,
    },
    /// Up, and between proxies: an instance accepts connections.
    InstanceUp {
        /// Id of the instance.
        instance: CompactString,
    },
    /// Up: a proxy does not answer another.
    PeerUnreachable {
        /// Name of the proxy that does not answer.
        peer: CompactString,
        /// Name of the proxy that gets no answer.
        from: CompactString,
    },
    /// Up: this proxy has applied a configuration.
    ConfigApplied {
        /// Revision of the configuration.
        revision: u64,
        /// Sequence number up to which the feed has been processed.
        number: u64,
    },
    /// Up: this proxy is alive and accepts messages at its address.
    Heartbeat {
        /// The sending proxy.
        peer: Peer,
        /// Whether it serves clients.
        serving: bool,
        /// Version of the newest view that it knows, and the split functions of that view.
        split: Option<(Version, Vec<CompactString>)>,
        /// Digest of that view, if known.
        digest: Option<u64>,
    },
    /// Up: this proxy has started and asks for the committed configuration revision.
    QueryRevision,
    /// Down, in answer to [`PeerMessage::QueryRevision`]: a majority had committed this revision after the
    /// query was sent. A newer one may have been committed since.
    CommittedRevision {
        /// The committed revision; 0 if there is none.
        revision: u64,
    },
    /// Up, only to the agent: a view change arrived that does not start from the known view.
    ViewOutdated {
        /// Version of the known view.
        version: Version,
    },
}

/// Encodes peers; `Null`, which is omitted from objects, if there are none.
pub(crate) fn peers_or_null(all: &[Peer]) -> JsonValue {
    if all.is_empty() { JsonValue::Null } else { JsonValue::Array(all.iter().map(Peer::to_json).collect()) }
}

pub(crate) fn names(all: &[CompactString]) -> JsonValue {
    if all.is_empty() { JsonValue::Null } else { JsonValue::Array(all.iter().map(|n| text(n)).collect()) }
}

pub(crate) fn read_names(from: &HashMap<String, JsonValue>, key: &str) -> Result<Vec<CompactString>, Fault> {
    let read = |value: &JsonValue| match value {
        JsonValue::String(s) if s.len() <= 1_024 => Ok(s.as_str().into()),
        _ => Err(Fault { key: key.to_owned(), reason: "contains a value that is no text" }),
    };
    list(from, key)?.iter().map(read).collect()
}

fn flag(from: &HashMap<String, JsonValue>, key: &str) -> bool {
    matches!(from.get(key), Some(JsonValue::Number(n)) if *n != 0.0)
        || from.get(key) == Some(&JsonValue::Boolean(true))
}

fn flag_value(on: bool) -> JsonValue {
    if on { JsonValue::Number(1.0) } else { JsonValue::Null }
}

fn count(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

/// Encodes milliseconds, rounded to hundredths.
fn ms(time: f64) -> JsonValue {
    JsonValue::Number((time * 100.0).round() / 100.0)
}

pub(crate) fn version(v: Version) -> JsonValue {
    JsonValue::Array(vec![count(v.0), count(v.1)])
}

pub(crate) fn read_version(from: &HashMap<String, JsonValue>, key: &str) -> Result<Version, Fault> {
    match list(from, key)? {
        [JsonValue::Number(a), JsonValue::Number(b)] if *a >= 0.0 && *b >= 0.0 => Ok((*a as u64, *b as u64)),
        _ => Err(Fault { key: key.to_owned(), reason: "no version" }),
    }
}

fn read_digest(from: &HashMap<String, JsonValue>, key: &str) -> Result<u64, Fault> {
    u64::from_str_radix(&string(from, key)?, 16)
        .map_err(|_| Fault { key: key.to_owned(), reason: "no digest" })
}

pub(crate) fn map<'a>(value: &'a JsonValue, key: &str) -> Result<&'a HashMap<String, JsonValue>, Fault> {
    match value {
        JsonValue::Object(map) => Ok(map),
        _ => Err(Fault { key: key.to_owned(), reason: "no object" }),
    }
}

impl Peer {
    /// Encodes as JSON.
    pub fn to_json(&self) -> JsonValue {
        object([("n", text(&self.name)), ("a", text(&self.address)), ("z", text(&self.zone))])
    }
    /// Decodes from JSON.
    pub fn read(value: &JsonValue) -> Result<Self, Fault> {
        let from = map(value, "peer")?;
        Ok(Peer { name: string(from, "n")?, address: string(from, "a")?, zone: string(from, "z")? })
    }
}

impl Instance {
    /// Encodes as JSON.
    pub fn to_json(&self) -> JsonValue {
        object([
            ("i", text(&self.id)),
            ("s", text(&self.service)),
            ("a", text(&self.address)),
            ("z", text(&self.zone)),
            ("w", text(&self.worker)),
            ("st", count(self.stage.into())),
        ])
    }
    /// Decodes from JSON.
    pub fn read(value: &JsonValue) -> Result<Self, Fault> {
        let from = map(value, "instance")?;
        Ok(Instance {
            id: string(from, "i")?,
            service: string(from, "s")?,
            address: string(from, "a")?,
            zone: string(from, "z")?,
            worker: string(from, "w")?,
            stage: whole(from, "st")?.min(2) as u8,
        })
    }
}

impl Permit {
    fn to_json(&self) -> JsonValue {
        object([
            ("w", text(&self.who)),
            ("id", count(self.id)),
            ("i", text(&self.instance)),
            ("l", ms(self.left)),
        ])
    }
    fn read(value: &JsonValue) -> Result<Self, Fault> {
        let from = map(value, "permit")?;
        Ok(Permit {
            who: string(from, "w")?,
            id: whole(from, "id")?,
            instance: string(from, "i")?,
            left: number(from, "l")?,
        })
    }
}

impl PeerMessage {
    /// Encodes as JSON.
    pub fn to_json(&self) -> JsonValue {
        let n = |id: &u64| count(*id);
        match self {
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
            } => object([
                ("t", text("ask")),
                ("id", n(id)),
                ("s", text(service)),
                ("l", ms(*left)),
                ("m", ms(*aim)),
                ("g", ms(*target)),
                ("n", if *sent > 0 { count((*sent).into()) } else { JsonValue::Null }),
                ("f", flag_value(*first)),
                ("r", flag_value(*returned)),
                ("x", names(avoid)),
                ("z", text(zone)),
            ]),
            PeerMessage::CancelRequest { id } => object([("t", text("drop")), ("id", n(id))]),
            PeerMessage::Queued { id } => object([("t", text("waits")), ("id", n(id))]),
            PeerMessage::Grant { id, instance, address, zone } => object([
                ("t", text("grant")),
                ("id", n(id)),
                ("i", text(instance)),
                ("a", text(address)),
                ("z", zone.as_ref().map_or(JsonValue::Null, |zone| text(zone))),
            ]),
            PeerMessage::Denied { id, why, wait } => {
                object([("t", text("no")), ("id", n(id)), ("y", text(why)), ("w", ms(*wait))])
            }
            PeerMessage::ReleasePermit { id, outcome, took } => {
                object([("t", text("done")), ("id", n(id)), ("o", text(outcome)), ("k", ms(*took))])
            }
            PeerMessage::HeldPermit { id, service, instance, left } => object([
                ("t", text("held")),
                ("id", n(id)),
                ("s", text(service)),
                ("i", text(instance)),
                ("l", ms(*left)),
            ]),
            PeerMessage::HandOverPermits { service, version: v, permits } => object([
                ("t", text("over")),
                ("s", text(service)),
                ("v", version(*v)),
                ("all", JsonValue::Array(permits.iter().map(Permit::to_json).collect())),
            ]),
            PeerMessage::ForwardRelease { who, id, instance, outcome, took } => object([
                ("t", text("back")),
                ("w", text(who)),
                ("id", n(id)),
                ("i", instance.as_ref().map_or(JsonValue::Null, |instance| text(instance))),
                ("o", text(outcome)),
                ("k", ms(*took)),
            ]),
            PeerMessage::Config { revision, body } => {
                object([("t", text("config")), ("v", n(revision)), ("body", body.clone())])
            }
            PeerMessage::PackedConfig { revision, packed } => {
                object([("t", text("packed")), ("v", n(revision)), ("z", text(packed))])
            }
            PeerMessage::Patch { revision, change } => {
                object([("t", text("patch")), ("v", n(revision)), ("change", change.clone())])
            }
            PeerMessage::PackedPatch { revision, packed } => {
                object([("t", text("folded")), ("v", n(revision)), ("z", text(packed))])
            }
            PeerMessage::FullView { version: v, peers, leaving, split } => object([
                ("t", text("stalls")),
                ("v", version(*v)),
                ("all", JsonValue::Array(peers.iter().map(Peer::to_json).collect())),
                ("leaving", peers_or_null(leaving)),
                ("split", names(split)),
            ]),
            PeerMessage::ViewChange(change) => change.to_json(),
            PeerMessage::Instances { version: v, all, set, gone } => object([
                ("t", text("inst")),
                ("v", version(*v)),
                ("w", flag_value(*all)),
                ("set", JsonValue::Array(set.iter().map(Instance::to_json).collect())),
                ("gone", names(gone)),
            ]),
            PeerMessage::Leader { address, fence } => {
                object([("t", text("steward")), ("a", text(address)), ("f", n(fence))])
            }
            PeerMessage::Controllers { addresses } => {
                object([("t", text("controllers")), ("a", names(addresses))])
            }
            PeerMessage::Drain { name, left } => {
                object([("t", text("rest")), ("n", text(name)), ("l", ms(*left))])
            }
            PeerMessage::MinInstances { service, count: c, fence, left } => object([
                ("t", text("floor")),
                ("s", text(service)),
                ("c", count((*c).into())),
                ("f", n(fence)),
                ("l", ms(*left)),
            ]),
            PeerMessage::DesiredInstances { service, count: c, zones, lot, strain, does, slow } => object([
                ("t", text("want")),
                ("s", text(service)),
                ("c", count((*c).into())),
                ("z", names(zones)),
                ("lot", lot.as_ref().map_or(JsonValue::Null, |zone| text(zone))),
                ("n", ms(*strain)),
                ("d", does.map_or(JsonValue::Null, FunctionStatus::to_json)),
                ("slow", names(slow)),
            ]),
            PeerMessage::OwnedInstances { set } => object([
                ("t", text("mine")),
                ("set", JsonValue::Array(set.iter().map(Instance::to_json).collect())),
            ]),
            PeerMessage::Contact { holds } => object([("t", text("contact")), ("o", flag_value(*holds))]),
            PeerMessage::StaleIncarnation { known } => object([("t", text("staleinc")), ("known", n(known))]),
            PeerMessage::RetireInstance { instance } => {
                object([("t", text("retire")), ("i", text(instance))])
            }
            PeerMessage::InstanceDown { instance } => object([("t", text("lost")), ("i", text(instance))]),
            PeerMessage::InstanceUp { instance } => object([("t", text("up")), ("i", text(instance))]),
            PeerMessage::PeerUnreachable { peer, from } => {
                object([("t", text("deaf")), ("p", text(peer)), ("f", text(from))])
            }
            PeerMessage::ConfigApplied { revision, number } => {
                object([("t", text("acts")), ("v", n(revision)), ("n", n(number))])
            }
            PeerMessage::QueryRevision => object([("t", text("askrev"))]),
            PeerMessage::CommittedRevision { revision } => {
                object([("t", text("stands")), ("v", n(revision))])
            }
            PeerMessage::ViewOutdated { version: v } => object([("t", text("behind")), ("v", version(*v))]),
            PeerMessage::Heartbeat { peer, serving, split, digest } => object([
                ("t", text("alive")),
                ("p", peer.to_json()),
                ("o", flag_value(*serving)),
                ("v", split.as_ref().map_or(JsonValue::Null, |(v, _)| version(*v))),
                ("split", split.as_ref().map_or(JsonValue::Null, |(_, all)| names(all))),
                ("d", digest.map_or(JsonValue::Null, |d| text(&format!("{d:016x}")))),
            ]),
        }
    }

    /// Decodes a message from JSON.
    ///
    /// # Errors
    /// If a required field is missing or invalid, or the type is unknown.
    pub fn read(value: &JsonValue) -> Result<PeerMessage, Fault> {
        let from = map(value, "note")?;
        let small = |key: &str| whole(from, key).map(|n| n.min(u32::MAX.into()) as u32);
        let part = |key: &str| from.get(key).cloned().ok_or(Fault { key: key.to_owned(), reason: "missing" });
        Ok(match string(from, "t")?.as_str() {
            "ask" => PeerMessage::RequestPermit {
                id: whole(from, "id")?,
                service: string(from, "s")?,
                left: number(from, "l")?,
                aim: number(from, "m")?,
                target: number(from, "g")?,
                sent: if from.contains_key("n") { small("n")? } else { 0 },
                first: flag(from, "f"),
                returned: flag(from, "r"),
                avoid: read_names(from, "x")?.into_iter().take(16).collect(),
                zone: string(from, "z")?,
            },
            "drop" => PeerMessage::CancelRequest { id: whole(from, "id")? },
            "waits" => PeerMessage::Queued { id: whole(from, "id")? },
            "grant" => PeerMessage::Grant {
                id: whole(from, "id")?,
                instance: string(from, "i")?,
                address: string(from, "a")?,
                zone: if from.contains_key("z") { Some(string(from, "z")?) } else { None },
            },
            "no" => PeerMessage::Denied {
                id: whole(from, "id")?,
                why: string(from, "y")?,
                wait: number(from, "w")?,
            },
            "done" => PeerMessage::ReleasePermit {
                id: whole(from, "id")?,
                outcome: string(from, "o")?,
                took: number(from, "k")?,
            },
            "held" => PeerMessage::HeldPermit {
                id: whole(from, "id")?,
                service: string(from, "s")?,
                instance: string(from, "i")?,
                left: number(from, "l")?,
            },
            "over" => PeerMessage::HandOverPermits {
                service: string(from, "s")?,
                version: read_version(from, "v")?,
                permits: list(from, "all")?.iter().map(Permit::read).collect::<Result<_, _>>()?,
            },
            "back" => PeerMessage::ForwardRelease {
                who: string(from, "w")?,
                id: whole(from, "id")?,
                instance: if from.contains_key("i") { Some(string(from, "i")?) } else { None },
                outcome: string(from, "o")?,
                took: number(from, "k")?,
            },
            "config" => PeerMessage::Config { revision: whole(from, "v")?, body: part("body")? },
            "packed" => match part("z")? {
                JsonValue::String(packed) => {
                    PeerMessage::PackedConfig { revision: whole(from, "v")?, packed }
                }
                _ => return Err(Fault { key: "z".to_owned(), reason: "no text" }),
            },
            "folded" => match part("z")? {
                JsonValue::String(packed) => PeerMessage::PackedPatch { revision: whole(from, "v")?, packed },
                _ => return Err(Fault { key: "z".to_owned(), reason: "no text" }),
            },
            "patch" => PeerMessage::Patch { revision: whole(from, "v")?, change: part("change")? },
            "stalls" => PeerMessage::FullView {
                version: read_version(from, "v")?,
                peers: list(from, "all")?.iter().map(Peer::read).collect::<Result<_, _>>()?,
                leaving: list(from, "leaving")?.iter().map(Peer::read).collect::<Result<_, _>>()?,
                split: read_names(from, "split")?,
            },
            "shift" => PeerMessage::ViewChange(ViewChange::read(value)?),
            "inst" => PeerMessage::Instances {
                version: read_version(from, "v")?,
                all: flag(from, "w"),
                set: list(from, "set")?.iter().map(Instance::read).collect::<Result<_, _>>()?,
                gone: read_names(from, "gone")?,
            },
            "steward" => PeerMessage::Leader { address: string(from, "a")?, fence: whole(from, "f")? },
            "controllers" => PeerMessage::Controllers {
                addresses: read_names(from, "a")?.into_iter().take(MAX_CONTROLLERS).collect(),
            },
            "rest" => PeerMessage::Drain { name: string(from, "n")?, left: number(from, "l")? },
            "want" => PeerMessage::DesiredInstances {
                service: string(from, "s")?,
                count: small("c")?,
                zones: read_names(from, "z")?,
                lot: if from.contains_key("lot") { Some(string(from, "lot")?) } else { None },
                strain: if from.contains_key("n") { number(from, "n")? } else { 0.0 },
                does: if from.contains_key("d") { Some(FunctionStatus::read(from, "d")?) } else { None },
                slow: read_names(from, "slow")?,
            },
            "floor" => PeerMessage::MinInstances {
                service: string(from, "s")?,
                count: small("c")?,
                fence: whole(from, "f")?,
                left: number(from, "l")?,
            },
            "mine" => PeerMessage::OwnedInstances {
                set: list(from, "set")?.iter().map(Instance::read).collect::<Result<_, _>>()?,
            },
            "contact" => PeerMessage::Contact { holds: flag(from, "o") },
            "staleinc" => PeerMessage::StaleIncarnation { known: whole(from, "known")? },
            "retire" => PeerMessage::RetireInstance { instance: string(from, "i")? },
            "lost" => PeerMessage::InstanceDown { instance: string(from, "i")? },
            "up" => PeerMessage::InstanceUp { instance: string(from, "i")? },
            "deaf" => PeerMessage::PeerUnreachable { peer: string(from, "p")?, from: string(from, "f")? },
            "acts" => PeerMessage::ConfigApplied { revision: whole(from, "v")?, number: whole(from, "n")? },
            "alive" => PeerMessage::Heartbeat {
                peer: Peer::read(&part("p")?)?,
                serving: flag(from, "o"),
                split: if from.contains_key("v") {
                    Some((read_version(from, "v")?, read_names(from, "split")?))
                } else {
                    None
                },
                digest: if from.contains_key("d") { Some(read_digest(from, "d")?) } else { None },
            },
            "askrev" => PeerMessage::QueryRevision,
            "stands" => PeerMessage::CommittedRevision { revision: whole(from, "v")? },
            "behind" => PeerMessage::ViewOutdated { version: read_version(from, "v")? },
            _ => return Err(Fault { key: "t".to_owned(), reason: "unknown message type" }),
        })
    }
}

#[cfg(test)]
mod tests;
