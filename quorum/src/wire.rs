//! What voters, proposers and holders say to each other; keeps: whatever comes in is read whole and checked, or not at all.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::ballot::{Accepted, Ballot, Key, MAX_NAME, Slot, Value};
use crate::form::{self, BadForm, Form};
use crate::members::Members;

/// A message. Requests carry the sender's members, which it knows to be chosen; replies carry the request's ballot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "explore", derive(Hash))]
#[allow(missing_docs, reason = "the fields are what the variants say they carry")]
pub enum Message {
    /// What stands here? The tag is a ballot that is used for nothing else.
    Look { key: Key, tag: Ballot, members: Members },
    /// Accept nothing below this ballot any more, and say what stands here.
    Prepare { key: Key, ballot: Ballot, members: Members },
    /// Accept this value.
    Write { key: Key, ballot: Ballot, value: Value, members: Members },
    /// To [`Message::Look`]: this stands here.
    Seen { key: Key, tag: Ballot, accepted: Option<Accepted> },
    /// To [`Message::Prepare`]: done, and this stands here.
    Promised { key: Key, ballot: Ballot, accepted: Option<Accepted> },
    /// To [`Message::Write`]: accepted.
    Wrote { key: Key, ballot: Ballot },
    /// A higher ballot was promised.
    Refused { key: Key, ballot: Ballot, promised: Ballot },
    /// The sender's members are of the past; or newer ones are written here, which may or may not be chosen.
    Newer { key: Key, ballot: Ballot, members: Members, chosen: bool },
    /// An empty voter asks for all that another has.
    Copy { ask: u64 },
    /// To [`Message::Copy`]: all of it.
    State { ask: u64, members: Members, slots: Vec<(Key, Slot)> },
    /// Grant this duty, or renew it; the holder says under which epoch it holds it now.
    Ask {
        duty: CompactString,
        holder: CompactString,
        life: u64,
        ask: u64,
        held: Option<u64>,
        again: bool,
        members: Members,
    },
    /// To [`Message::Ask`]: granted.
    Granted { duty: CompactString, life: u64, ask: u64 },
    /// To [`Message::Ask`]: no; another holds it for so long, or nobody may yet, or the asker's members are of the past.
    Denied { duty: CompactString, life: u64, ask: u64, left: u64, newer: Option<Members> },
    /// The holder gives back what it was granted up to this ask.
    Release { duty: CompactString, holder: CompactString, life: u64, ask: u64 },
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
            Self::Look { key, tag, members } => keyed("look", key, tag, vec![("members", members.to_json())]),
            Self::Prepare { key, ballot, members } => {
                keyed("prepare", key, ballot, vec![("members", members.to_json())])
            }
            Self::Write { key, ballot, value, members } => {
                let version = ("version", form::count(value.version));
                let content = ("content", form::word(&value.content));
                keyed("write", key, ballot, vec![version, content, ("members", members.to_json())])
            }
            Self::Seen { key, tag, accepted } => {
                keyed("seen", key, tag, vec![("accepted", accepted_of(accepted))])
            }
            Self::Promised { key, ballot, accepted } => {
                keyed("promised", key, ballot, vec![("accepted", accepted_of(accepted))])
            }
            Self::Wrote { key, ballot } => keyed("wrote", key, ballot, vec![]),
            Self::Refused { key, ballot, promised } => {
                keyed("refused", key, ballot, vec![("promised", promised.to_json())])
            }
            Self::Newer { key, ballot, members, chosen } => {
                let chosen = ("chosen", JsonValue::Boolean(*chosen));
                keyed("newer", key, ballot, vec![("members", members.to_json()), chosen])
            }
            Self::Copy { ask } => named("copy", vec![("ask", form::count(*ask))]),
            Self::State { ask, members, slots } => {
                let slots = slots.iter().map(|(key, slot)| slot.to_json(*key)).collect();
                let fields = [("ask", form::count(*ask)), ("members", members.to_json())];
                named("state", fields.into_iter().chain([("slots", JsonValue::Array(slots))]).collect())
            }
            Self::Ask { duty, holder, life, ask, held, again, members } => {
                let mut fields = lease(duty, *life, *ask);
                fields.extend([("holder", form::word(holder)), ("members", members.to_json())]);
                fields.push(("held", form::maybe(held.map(form::count))));
                fields.push(("again", form::maybe(again.then(|| form::count(1)))));
                named("ask", fields)
            }
            Self::Granted { duty, life, ask } => named("granted", lease(duty, *life, *ask)),
            Self::Denied { duty, life, ask, left, newer } => {
                let mut fields = lease(duty, *life, *ask);
                fields.push(("left", form::count(*left)));
                fields.push(("newer", form::maybe(newer.as_ref().map(Members::to_json))));
                named("denied", fields)
            }
            Self::Release { duty, holder, life, ask } => {
                let mut fields = lease(duty, *life, *ask);
                fields.push(("holder", form::word(holder)));
                named("release", fields)
            }
        }
    }

    /// From JSON, checked.
    pub fn read(value: &JsonValue) -> Result<Self, BadForm> {
        let form = Form::of(value, "message")?;
        let key = || Key::read(form.get("key")?);
        let ballot = || Ballot::read(form.get("ballot")?, "ballot");
        let members = || Members::read(form.get("members")?);
        let accepted = || form.maybe("accepted").map(Accepted::read).transpose();
        let name = |what| form.text(what, MAX_NAME).map(CompactString::from);
        let ask = || form.number("ask");
        let life = || form.number("life");
        Ok(match form.text("say", 16)? {
            "look" => Self::Look { key: key()?, tag: ballot()?, members: members()? },
            "prepare" => Self::Prepare { key: key()?, ballot: ballot()?, members: members()? },
            "write" => {
                Self::Write { key: key()?, ballot: ballot()?, value: Value::read(form)?, members: members()? }
            }
            "seen" => Self::Seen { key: key()?, tag: ballot()?, accepted: accepted()? },
            "promised" => Self::Promised { key: key()?, ballot: ballot()?, accepted: accepted()? },
            "wrote" => Self::Wrote { key: key()?, ballot: ballot()? },
            "refused" => {
                let promised = Ballot::read(form.get("promised")?, "promised")?;
                Self::Refused { key: key()?, ballot: ballot()?, promised }
            }
            "newer" => Self::Newer {
                key: key()?,
                ballot: ballot()?,
                members: members()?,
                chosen: form.flag("chosen")?,
            },
            "copy" => Self::Copy { ask: ask()? },
            "state" => {
                let slots = form.list("slots", Key::ALL.len())?;
                let slots = slots.iter().map(Slot::read).collect::<Result<_, _>>()?;
                Self::State { ask: ask()?, members: members()?, slots }
            }
            "ask" => Self::Ask {
                duty: name("duty")?,
                holder: name("holder")?,
                life: life()?,
                ask: ask()?,
                held: form.maybe("held").map(|held| form::number(held, "held")).transpose()?,
                again: form.maybe("again").is_some(),
                members: members()?,
            },
            "granted" => Self::Granted { duty: name("duty")?, life: life()?, ask: ask()? },
            "denied" => {
                let newer = form.maybe("newer").map(Members::read).transpose()?;
                Self::Denied {
                    duty: name("duty")?,
                    life: life()?,
                    ask: ask()?,
                    left: form.number("left")?,
                    newer,
                }
            }
            "release" => {
                Self::Release { duty: name("duty")?, holder: name("holder")?, life: life()?, ask: ask()? }
            }
            _ => return Err(form::wrong("say", "a known message")),
        })
    }
}

fn named(name: &str, fields: Vec<(&str, JsonValue)>) -> JsonValue {
    let fields = fields.into_iter().chain([("say", form::word(name))]);
    JsonValue::Object(fields.map(|(name, value)| (name.to_owned(), value)).collect())
}

fn lease(duty: &str, life: u64, ask: u64) -> Vec<(&'static str, JsonValue)> {
    vec![("duty", form::word(duty)), ("life", form::count(life)), ("ask", form::count(ask))]
}
