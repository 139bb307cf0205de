//! What voters, proposers and holders say to each other; keeps: whatever comes in is read whole and checked, or not at all.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::ballot::{Accepted, Ballot, Key, MAX_NAME, Slot, Value};
use crate::form::{self, DecodeError, Form};
use crate::members::Members;

/// A message. Requests carry the sender's members, which it knows to be chosen; replies carry the request's ballot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
#[allow(missing_docs, reason = "the fields are what the variants say they carry")]
pub enum Message {
    /// What stands here? The tag is a ballot that is used for nothing else.
    Query { key: Key, tag: Ballot, members: Members },
    /// Accept nothing below this ballot any more, and say what stands here.
    Prepare { key: Key, ballot: Ballot, members: Members },
    /// Accept this value.
    Write { key: Key, ballot: Ballot, value: Value, members: Members },
    /// To [`Message::Query`]: this stands here.
    QueryReply { key: Key, tag: Ballot, accepted: Option<Accepted> },
    /// To [`Message::Prepare`]: done, and this stands here.
    Promised { key: Key, ballot: Ballot, accepted: Option<Accepted> },
    /// To [`Message::Write`]: accepted.
    Wrote { key: Key, ballot: Ballot },
    /// A higher ballot was promised.
    Refused { key: Key, ballot: Ballot, promised: Ballot },
    /// The sender's members are of the past; or newer ones are written here, which may or may not be chosen.
    NewerMembers { key: Key, ballot: Ballot, members: Members, chosen: bool },
    /// An empty voter asks for all that another has.
    StateRequest { request: u64 },
    /// To [`Message::StateRequest`]: all of it.
    StateReply { request: u64, members: Members, slots: Vec<(Key, Slot)> },
    /// Grant this lease, or renew it; the holder says under which epoch it holds it now.
    LeaseRequest {
        lease: CompactString,
        holder: CompactString,
        incarnation: u64,
        request: u64,
        held_epoch: Option<u64>,
        previous_holder: bool,
        members: Members,
    },
    /// To [`Message::LeaseRequest`]: granted.
    LeaseGranted { lease: CompactString, incarnation: u64, request: u64 },
    /// To [`Message::LeaseRequest`]: no; another holds it for so long, or nobody may yet, or the asker's members are of the past.
    LeaseDenied {
        lease: CompactString,
        incarnation: u64,
        request: u64,
        remaining: u64,
        newer_members: Option<Members>,
    },
    /// The holder gives back what it was granted up to this request.
    LeaseRelease { lease: CompactString, holder: CompactString, incarnation: u64, request: u64 },
}

impl Message {
    /// As JSON.
    pub fn to_json(&self) -> JsonValue {
        let keyed = |name, key: &Key, ballot: &Ballot, rest: Vec<(&str, JsonValue)>| {
            let mut fields = vec![("key", form::word(key.as_str())), ("ballot", ballot.to_json())];
            fields.extend(rest);
            named(name, fields)
        };
        let accepted_of = |accepted: &Option<Accepted>| form::maybe(accepted.as_ref().map(Accepted::to_json));
        match self {
            Self::Query { key, tag, members } => {
                keyed("look", key, tag, vec![("members", members.to_json())])
            }
            Self::Prepare { key, ballot, members } => {
                keyed("prepare", key, ballot, vec![("members", members.to_json())])
            }
            Self::Write { key, ballot, value, members } => {
                let version = ("version", form::count(value.version));
                let content = ("content", form::word(&value.content));
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
            Self::StateRequest { request } => named("copy", vec![("ask", form::count(*request))]),
            Self::StateReply { request, members, slots } => {
                let slots = slots.iter().map(|(key, slot)| slot.to_json(*key)).collect();
                let fields = [("ask", form::count(*request)), ("members", members.to_json())];
                named("state", fields.into_iter().chain([("slots", JsonValue::Array(slots))]).collect())
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
                fields.extend([("holder", form::word(holder)), ("members", members.to_json())]);
                fields.push(("held", form::maybe(held_epoch.map(form::count))));
                fields.push(("again", form::maybe(previous_holder.then(|| form::count(1)))));
                named("ask", fields)
            }
            Self::LeaseGranted { lease, incarnation, request } => {
                named("granted", lease_fields(lease, *incarnation, *request))
            }
            Self::LeaseDenied { lease, incarnation, request, remaining, newer_members } => {
                let mut fields = lease_fields(lease, *incarnation, *request);
                fields.push(("left", form::count(*remaining)));
                fields.push(("newer", form::maybe(newer_members.as_ref().map(Members::to_json))));
                named("denied", fields)
            }
            Self::LeaseRelease { lease, holder, incarnation, request } => {
                let mut fields = lease_fields(lease, *incarnation, *request);
                fields.push(("holder", form::word(holder)));
                named("release", fields)
            }
        }
    }

    /// From JSON, checked.
    pub fn from_json(value: &JsonValue) -> Result<Self, DecodeError> {
        let form = Form::of(value, "message")?;
        let key = || Key::read(form.get("key")?);
        let ballot = || Ballot::read(form.get("ballot")?, "ballot");
        let members = || Members::from_json(form.get("members")?);
        let accepted = || form.maybe("accepted").map(Accepted::read).transpose();
        let name = |what| form.text(what, MAX_NAME).map(CompactString::from);
        let request = || form.number("ask");
        let incarnation = || form.number("life");
        Ok(match form.text("say", 16)? {
            "look" => Self::Query { key: key()?, tag: ballot()?, members: members()? },
            "prepare" => Self::Prepare { key: key()?, ballot: ballot()?, members: members()? },
            "write" => {
                Self::Write { key: key()?, ballot: ballot()?, value: Value::read(form)?, members: members()? }
            }
            "seen" => Self::QueryReply { key: key()?, tag: ballot()?, accepted: accepted()? },
            "promised" => Self::Promised { key: key()?, ballot: ballot()?, accepted: accepted()? },
            "wrote" => Self::Wrote { key: key()?, ballot: ballot()? },
            "refused" => {
                let promised = Ballot::read(form.get("promised")?, "promised")?;
                Self::Refused { key: key()?, ballot: ballot()?, promised }
            }
            "newer" => Self::NewerMembers {
                key: key()?,
                ballot: ballot()?,
                members: members()?,
                chosen: form.flag("chosen")?,
            },
            "copy" => Self::StateRequest { request: request()? },
            "state" => {
                let slots = form.list("slots", Key::ALL.len())?;
                let slots = slots.iter().map(Slot::read).collect::<Result<_, _>>()?;
                Self::StateReply { request: request()?, members: members()?, slots }
            }
            "ask" => Self::LeaseRequest {
                lease: name("duty")?,
                holder: name("holder")?,
                incarnation: incarnation()?,
                request: request()?,
                held_epoch: form
                    .maybe("held")
                    .map(|held_epoch| form::number(held_epoch, "held"))
                    .transpose()?,
                previous_holder: form.maybe("again").is_some(),
                members: members()?,
            },
            "granted" => {
                Self::LeaseGranted { lease: name("duty")?, incarnation: incarnation()?, request: request()? }
            }
            "denied" => {
                let newer_members = form.maybe("newer").map(Members::from_json).transpose()?;
                Self::LeaseDenied {
                    lease: name("duty")?,
                    incarnation: incarnation()?,
                    request: request()?,
                    remaining: form.number("left")?,
                    newer_members,
                }
            }
            "release" => Self::LeaseRelease {
                lease: name("duty")?,
                holder: name("holder")?,
                incarnation: incarnation()?,
                request: request()?,
            },
            _ => return Err(form::wrong("say", "a known message")),
        })
    }
}

fn named(name: &str, fields: Vec<(&str, JsonValue)>) -> JsonValue {
    let fields = fields.into_iter().chain([("say", form::word(name))]);
    JsonValue::Object(fields.map(|(name, value)| (name.to_owned(), value)).collect())
}

fn lease_fields(lease: &str, incarnation: u64, request: u64) -> Vec<(&'static str, JsonValue)> {
    vec![("duty", form::word(lease)), ("life", form::count(incarnation)), ("ask", form::count(request))]
}
