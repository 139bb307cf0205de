//! The notes.

use std::collections::HashMap;

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::function_status::FunctionStatus;
use crate::json::{Fault, list, number, object, string, text, whole};
use crate::membership::ViewChange;

/// Which of two tellings is newer: the fence of the steward that tells, and its count.
pub type Version = (u64, u64);

/// A stall that is alive.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The machine's name.
    pub name: CompactString,
    /// Where it takes mail.
    pub address: CompactString,
    /// Where it stands.
    pub zone: CompactString,
}

/// An instance of a function.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The name of its life.
    pub id: CompactString,
    /// Its function.
    pub service: CompactString,
    /// Address and port.
    pub address: CompactString,
    /// Where it stands.
    pub zone: CompactString,
    /// The worker it stands on.
    pub worker: CompactString,
    /// 0 booting, 1 ready, 2 draining.
    pub stage: u8,
}

/// A permit that is out.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Who has it.
    pub who: CompactString,
    /// Its number for it.
    pub id: u64,
    /// The instance's life.
    pub instance: CompactString,
    /// Milliseconds until its client has gone; below 0 where it has, and the request may be running still.
    pub left: f64,
}

/// What one process tells another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// To the owner of a function: a permit is wanted.
    RequestPermit {
        /// The asker's number for it.
        id: u64,
        /// The function.
        service: CompactString,
        /// Milliseconds until its client has gone.
        left: f64,
        /// Milliseconds until an answer is late; negative once it is.
        aim: f64,
        /// The whole time in which an answer is not late, in milliseconds.
        target: f64,
        /// Endpoints that it was sent to already.
        sent: u32,
        /// It is a request's first ask.
        first: bool,
        /// It came back, or was made by one that is running.
        returned: bool,
        /// Instances that failed it.
        avoid: Vec<CompactString>,
        /// Where it came in.
        zone: CompactString,
    },
    /// To the owner: it is wanted no longer.
    CancelRequest {
        /// The asker's number.
        id: u64,
    },
    /// To an asker: it waits for a slot.
    Queued {
        /// The asker's number.
        id: u64,
    },
    /// To an asker: it may go there.
    Grant {
        /// The asker's number.
        id: u64,
        /// The instance's life.
        instance: CompactString,
        /// Its address.
        address: CompactString,
        /// Its zone, where that is not the asker's.
        zone: Option<CompactString>,
    },
    /// To an asker: it may not.
    Denied {
        /// The asker's number.
        id: u64,
        /// `full`, `skip`, `spent`, `unknown` or `moved`.
        why: CompactString,
        /// Milliseconds after which a slot may be free.
        wait: f64,
    },
    /// To the owner: a permit comes back.
    ReleasePermit {
        /// The asker's number.
        id: u64,
        /// How the try ended.
        outcome: CompactString,
        /// Milliseconds that it took.
        took: f64,
    },
    /// To a new owner: this permit is out.
    HeldPermit {
        /// The asker's number.
        id: u64,
        /// The function.
        service: CompactString,
        /// The instance's life.
        instance: CompactString,
        /// Milliseconds until its client has gone.
        left: f64,
    },
    /// To a new owner, from the one before: these permits of what is now yours are out, and no others of mine.
    HandOverPermits {
        /// The function.
        service: CompactString,
        /// The naming of stalls by which it is yours.
        version: Version,
        /// The permits.
        permits: Vec<Permit>,
    },
    /// To a new owner, from the one before: a permit has come back here.
    ForwardRelease {
        /// Who had it.
        who: CompactString,
        /// Its number for it.
        id: u64,
        /// Where it was out: a permit that the new owner has granted to the same ask elsewhere stays. Older releases leave it out.
        instance: Option<CompactString>,
        /// How the try ended.
        outcome: CompactString,
        /// Milliseconds that it took.
        took: f64,
    },
    /// Down: the configuration.
    Config {
        /// Its revision.
        revision: u64,
        /// All of it, as the operator sent it.
        body: JsonValue,
    },
    /// Down: the configuration, packed (see `millpost_net::pack`).
    PackedConfig {
        /// Its revision.
        revision: u64,
        /// All of it, packed.
        packed: String,
    },
    /// Down: how one configuration differs from the one before (see `millpost_config::change`).
    Patch {
        /// The revision that it leads to.
        revision: u64,
        /// The difference.
        change: JsonValue,
    },
    /// Down: the same, packed.
    PackedPatch {
        /// The revision that it leads to.
        revision: u64,
        /// The difference, packed.
        packed: String,
    },
    /// Down: the stalls that are alive, all of them.
    FullView {
        /// The newest counts.
        version: Version,
        /// All of them.
        peers: Vec<Peer>,
        /// Those that own functions no more, and live still.
        leaving: Vec<Peer>,
        /// Functions with an owner in each zone, in their order.
        split: Vec<CompactString>,
    },
    /// Down: how that differs from the naming before.
    ViewChange(ViewChange),
    /// Down: instances.
    Instances {
        /// The newest counts.
        version: Version,
        /// All that there are; else only what has changed.
        all: bool,
        /// New or changed.
        set: Vec<Instance>,
        /// No more.
        gone: Vec<CompactString>,
    },
    /// Down, to the owner of a function and to the next in order: a floor under what it wants. While it holds, the owner says how the
    /// function does.
    MinInstances {
        /// The function.
        service: CompactString,
        /// Live instances at least, all of this owner's; 0: no floor any more.
        count: u32,
        /// The fence of the steward that says so; the newest counts.
        fence: u64,
        /// Milliseconds that it holds for, unless it is said again.
        left: f64,
    },
    /// Down: who is the steward.
    Leader {
        /// Its address; empty while nobody is known.
        address: CompactString,
        /// Its fence.
        fence: u64,
    },
    /// Down: this stall rests, and takes no new clients; up: it does.
    Drain {
        /// The machine's name.
        name: CompactString,
        /// For so many milliseconds; 0: it goes on as ever.
        left: f64,
    },
    /// Up: a function wants so many instances.
    DesiredInstances {
        /// The function.
        service: CompactString,
        /// In all.
        count: u32,
        /// Where its requests come in, most first.
        zones: Vec<CompactString>,
        /// The zone that its owner speaks for, where each zone has one.
        lot: Option<CompactString>,
        /// The part of what its owner can do in all that this function takes.
        strain: f64,
        /// How it does, while a floor asks for that.
        does: Option<FunctionStatus>,
        /// Workers that are surely slow for it; left out where none is.
        slow: Vec<CompactString>,
    },
    /// Up, to a steward that has just taken office: the instances of the functions that this stall owns, all that it knows.
    OwnedInstances {
        /// The instances.
        set: Vec<Instance>,
    },
    /// Down, no further than the porter: whether the control machine that feeds it reaches a majority of the voters. It did when the feed
    /// began.
    Contact {
        /// It does.
        holds: bool,
    },
    /// Between stalls: mail came that counts for a life of its sender which has ended, since a later one was heard of. A sender that
    /// lives, and whose clock had stepped back between two starts, takes a higher number for this peer.
    StaleIncarnation {
        /// The incarnation that is known, by its number.
        known: u64,
    },
    /// Up: an instance may be stopped.
    RetireInstance {
        /// The instance's life.
        instance: CompactString,
    },
    /// Up: an instance refuses connections.
    InstanceDown {
        /// The instance's life.
        instance: CompactString,
    },
    /// Up, and between stalls: an instance accepts connections.
    InstanceUp {
        /// The instance's life.
        instance: CompactString,
    },
    /// Up: a stall does not answer another.
    PeerUnreachable {
        /// Who does not answer.
        peer: CompactString,
        /// Whom.
        from: CompactString,
    },
    /// Up: this stall acts on a configuration.
    ConfigApplied {
        /// Its revision.
        revision: u64,
        /// Numbers of the feed up to this one have been taken in.
        number: u64,
    },
    /// Up: this stall is alive and takes mail there.
    Heartbeat {
        /// The stall.
        peer: Peer,
        /// It serves.
        serving: bool,
        /// The newest naming of stalls that it knows, and the functions that were split in it.
        split: Option<(Version, Vec<CompactString>)>,
        /// The digest of that naming, where it is known.
        digest: Option<u64>,
    },
    /// Up: a stall has started, and wants to know which configuration stands.
    QueryRevision,
    /// Down, in answer to that: a majority stood behind this one after the question was asked, and perhaps behind a newer one.
    CommittedRevision {
        /// Its revision; 0: none.
        revision: u64,
    },
    /// Up, no further than the porter: a shift came that goes from another naming than is known here.
    ViewOutdated {
        /// The naming that is.
        version: Version,
    },
}

/// No key where there are none.
pub(crate) fn peers_or_none(all: &[Peer]) -> JsonValue {
    if all.is_empty() { JsonValue::Null } else { JsonValue::Array(all.iter().map(Peer::to_json).collect()) }
}

pub(crate) fn names(all: &[CompactString]) -> JsonValue {
    if all.is_empty() { JsonValue::Null } else { JsonValue::Array(all.iter().map(|n| text(n)).collect()) }
}

pub(crate) fn read_names(from: &HashMap<String, JsonValue>, key: &str) -> Result<Vec<CompactString>, Fault> {
    let read = |value: &JsonValue| match value {
        JsonValue::String(s) if s.len() <= 1_024 => Ok(s.as_str().into()),
        _ => Err(Fault { key: key.to_owned(), reason: "holds what is no text" }),
    };
    list(from, key)?.iter().map(read).collect()
}

fn flag(from: &HashMap<String, JsonValue>, key: &str) -> bool {
    matches!(from.get(key), Some(JsonValue::Number(n)) if *n != 0.0)
        || from.get(key) == Some(&JsonValue::Boolean(true))
}

fn mark(on: bool) -> JsonValue {
    if on { JsonValue::Number(1.0) } else { JsonValue::Null }
}

fn count(n: u64) -> JsonValue {
    JsonValue::Number(n as f64)
}

/// Hundredths of a millisecond are enough.
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
    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        object([("n", text(&self.name)), ("a", text(&self.address)), ("z", text(&self.zone))])
    }
    /// Reads it.
    pub fn read(value: &JsonValue) -> Result<Self, Fault> {
        let from = map(value, "peer")?;
        Ok(Peer { name: string(from, "n")?, address: string(from, "a")?, zone: string(from, "z")? })
    }
}

impl Instance {
    /// As JSON.
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
    /// Reads it.
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
    /// As JSON.
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
                ("f", mark(*first)),
                ("r", mark(*returned)),
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
                ("leaving", peers_or_none(leaving)),
                ("split", names(split)),
            ]),
            PeerMessage::ViewChange(shift) => shift.to_json(),
            PeerMessage::Instances { version: v, all, set, gone } => object([
                ("t", text("inst")),
                ("v", version(*v)),
                ("w", mark(*all)),
                ("set", JsonValue::Array(set.iter().map(Instance::to_json).collect())),
                ("gone", names(gone)),
            ]),
            PeerMessage::Leader { address, fence } => {
                object([("t", text("steward")), ("a", text(address)), ("f", n(fence))])
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
            PeerMessage::Contact { holds } => object([("t", text("contact")), ("o", mark(*holds))]),
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
                ("o", mark(*serving)),
                ("v", split.as_ref().map_or(JsonValue::Null, |(v, _)| version(*v))),
                ("split", split.as_ref().map_or(JsonValue::Null, |(_, all)| names(all))),
                ("d", digest.map_or(JsonValue::Null, |d| text(&format!("{d:016x}")))),
            ]),
        }
    }

    /// Reads a note.
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
            _ => return Err(Fault { key: "t".to_owned(), reason: "no note that is known here" }),
        })
    }
}

#[cfg(test)]
mod tests;
