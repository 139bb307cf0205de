//! The messages between voters, proposers and lease holders. Invariant: a received message is decoded and
//! checked as a whole, or rejected.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::ballot::{Accepted, Ballot, Key, MAX_NAME, Slot, Value};
use crate::json::{self, DecodeError, Object};
use crate::members::Members;

/// A message. Requests carry the sender's members, which are known to be chosen; replies carry the ballot of
/// the request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
#[allow(missing_docs, reason = "the documentation of the variants describes their fields")]
pub enum Message {
    /// Requests the accepted value. The tag is a ballot that is used for nothing else.
    Query { key: Key, tag: Ballot, members: Members },
    /// Requests a promise to reject lower ballots, and the accepted value.
    Prepare { key: Key, ballot: Ballot, members: Members },
    /// Requests to accept this value.
    Write { key: Key, ballot: Ballot, value: Value, members: Members },
    /// Reply to [`Message::Query`]: the accepted value.
    QueryReply { key: Key, tag: Ballot, accepted: Option<Accepted> },
    /// Reply to [`Message::Prepare`]: the promise is given, with the accepted value.
    Promised { key: Key, ballot: Ballot, accepted: Option<Accepted> },
    /// Reply to [`Message::Write`]: the value is accepted.
    Wrote { key: Key, ballot: Ballot },
    /// Reply to a request: a higher ballot was promised.
    Refused { key: Key, ballot: Ballot, promised: Ballot },
    /// Reply to a request: the members of the request are out of date, or the voter has accepted newer ones,
    /// which may or may not be chosen.
    NewerMembers { key: Key, ballot: Ballot, members: Members, chosen: bool },
    /// Requests the full state of a voter; sent by an empty voter.
    StateRequest { request: u64 },
    /// Reply to [`Message::StateRequest`]: the full state.
    StateReply { request: u64, members: Members, slots: Vec<(Key, Slot)> },
    /// Requests or renews a lease. A holder states the epoch under which it holds the lease now.
    LeaseRequest {
        lease: CompactString,
        holder: CompactString,
        incarnation: u64,
        request: u64,
        held_epoch: Option<u64>,
        previous_holder: bool,
        members: Members,
    },
    /// Reply to [`Message::LeaseRequest`]: the lease is granted.
    LeaseGranted { lease: CompactString, incarnation: u64, request: u64 },
    /// Reply to [`Message::LeaseRequest`]: the lease is not granted. It may be held by another process or not
    /// be granted to any for `remaining` nanoseconds, or the members of the request are out of date.
    LeaseDenied {
        lease: CompactString,
        incarnation: u64,
        request: u64,
        remaining: u64,
        newer_members: Option<Members>,
    },
    /// The holder releases what it was granted up to this request.
    LeaseRelease { lease: CompactString, holder: CompactString, incarnation: u64, request: u64 },
}

impl Message {
    /// Encodes the message as JSON.
    pub fn to_json(&self) -> JsonValue {
        let keyed = |name, key: &Key, ballot: &Ballot, rest: Vec<(&str, JsonValue)>| {
            let mut fields = vec![("key", json::string(key.as_str())), ("ballot", ballot.to_json())];
            fields.extend(rest);
            tagged(name, fields)
        };
        let accepted_of =
            |accepted: &Option<Accepted>| json::or_null(accepted.as_ref().map(Accepted::to_json));
        match self {
            Self::Query { key, tag, members } => {
                keyed("look", key, tag, vec![("members", members.to_json())])
            }
            Self::Prepare { key, ballot, members } => {
                keyed("prepare", key, ballot, vec![("members", members.to_json())])
            }
            Self::Write { key, ballot, value, members } => {
                let version = ("version", json::uint(value.version));
                let content = ("content", json::string(&value.content));
                keyed("write", key, ballot, vec![version, content, ("members", members.to_json())])
            }
            Self::QueryReply { key, tag, accepted } => {
                keyed("seen", key, tag, vec![("accepted", accepted_of(accepted))])
            }
            Self::Promised { key, ballot, accepted } => {
                keyed("promised", key, ballot, vec![("accepted", accepted_of(accepted))])
            }
            Self::Wrote { key, ballot } => keyed("wrote", key, ballot, vec![]),
            Self::Refused { key, ballot, promised } => {
                keyed("refused", key, ballot, vec![("promised", promised.to_json())])
            }
            Self::NewerMembers { key, ballot, members, chosen } => {
                let chosen = ("chosen", JsonValue::Boolean(*chosen));
                keyed("newer", key, ballot, vec![("members", members.to_json()), chosen])
            }
            Self::StateRequest { request } => tagged("copy", vec![("ask", json::uint(*request))]),
            Self::StateReply { request, members, slots } => {
                let slots = slots.iter().map(|(key, slot)| slot.to_json(*key)).collect();
                let fields = [("ask", json::uint(*request)), ("members", members.to_json())];
                tagged("state", fields.into_iter().chain([("slots", JsonValue::Array(slots))]).collect())
            }
            Self::LeaseRequest {
                lease,
                holder,
                incarnation,
                request,
                held_epoch,
                previous_holder,
                members,
            } => {
                let mut fields = lease_fields(lease, *incarnation, *request);
                fields.extend([("holder", json::string(holder)), ("members", members.to_json())]);
                fields.push(("held", json::or_null(held_epoch.map(json::uint))));
                fields.push(("again", json::or_null(previous_holder.then(|| json::uint(1)))));
                tagged("ask", fields)
            }
            Self::LeaseGranted { lease, incarnation, request } => {
                tagged("granted", lease_fields(lease, *incarnation, *request))
            }
            Self::LeaseDenied { lease, incarnation, request, remaining, newer_members } => {
                let mut fields = lease_fields(lease, *incarnation, *request);
                fields.push(("left", json::uint(*remaining)));
                fields.push(("newer", json::or_null(newer_members.as_ref().map(Members::to_json))));
                tagged("denied", fields)
            }
            Self::LeaseRelease { lease, holder, incarnation, request } => {
                let mut fields = lease_fields(lease, *incarnation, *request);
                fields.push(("holder", json::string(holder)));
                tagged("release", fields)
            }
        }
    }

    /// Decodes and checks a message from JSON.
    pub fn from_json(value: &JsonValue) -> Result<Self, DecodeError> {
        let object = Object::of(value, "message")?;
        let key = || Key::read(object.required("key")?);
        let ballot = || Ballot::read(object.required("ballot")?, "ballot");
        let members = || Members::from_json(object.required("members")?);
        let accepted = || object.optional("accepted").map(Accepted::read).transpose();
        let name = |what| object.string(what, MAX_NAME).map(CompactString::from);
        let request = || object.uint("ask");
        let incarnation = || object.uint("life");
        Ok(match object.string("say", 16)? {
            "look" => Self::Query { key: key()?, tag: ballot()?, members: members()? },
            "prepare" => Self::Prepare { key: key()?, ballot: ballot()?, members: members()? },
            "write" => Self::Write {
                key: key()?,
                ballot: ballot()?,
                value: Value::read(object)?,
                members: members()?,
            },
            "seen" => Self::QueryReply { key: key()?, tag: ballot()?, accepted: accepted()? },
            "promised" => Self::Promised { key: key()?, ballot: ballot()?, accepted: accepted()? },
            "wrote" => Self::Wrote { key: key()?, ballot: ballot()? },
            "refused" => {
                let promised = Ballot::read(object.required("promised")?, "promised")?;
                Self::Refused { key: key()?, ballot: ballot()?, promised }
            }
            "newer" => Self::NewerMembers {
                key: key()?,
                ballot: ballot()?,
                members: members()?,
                chosen: object.boolean("chosen")?,
            },
            "copy" => Self::StateRequest { request: request()? },
            "state" => {
                let slots = object.list("slots", Key::ALL.len())?;
                let slots = slots.iter().map(Slot::read).collect::<Result<_, _>>()?;
                Self::StateReply { request: request()?, members: members()?, slots }
            }
            "ask" => Self::LeaseRequest {
                lease: name("duty")?,
                holder: name("holder")?,
                incarnation: incarnation()?,
                request: request()?,
                held_epoch: object
                    .optional("held")
                    .map(|held_epoch| json::read_uint(held_epoch, "held"))
                    .transpose()?,
                previous_holder: object.optional("again").is_some(),
                members: members()?,
            },
            "granted" => {
                Self::LeaseGranted { lease: name("duty")?, incarnation: incarnation()?, request: request()? }
            }
            "denied" => {
                let newer_members = object.optional("newer").map(Members::from_json).transpose()?;
                Self::LeaseDenied {
                    lease: name("duty")?,
                    incarnation: incarnation()?,
                    request: request()?,
                    remaining: object.uint("left")?,
                    newer_members,
                }
            }
            "release" => Self::LeaseRelease {
                lease: name("duty")?,
                holder: name("holder")?,
                incarnation: incarnation()?,
                request: request()?,
            },
            _ => return Err(json::wrong("say", "a known message")),
        })
    }
}

fn tagged(name: &str, fields: Vec<(&str, JsonValue)>) -> JsonValue {
    let fields = fields.into_iter().chain([("say", json::string(name))]);
    JsonValue::Object(fields.map(|(name, value)| (name.to_owned(), value)).collect())
}

fn lease_fields(lease: &str, incarnation: u64, request: u64) -> Vec<(&'static str, JsonValue)> {
    vec![("duty", json::string(lease)), ("life", json::uint(incarnation)), ("ask", json::uint(request))]
}
