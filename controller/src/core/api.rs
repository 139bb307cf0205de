//! Calls that come in: of operators, porters and other control machines.

use std::borrow::Cow;
use std::sync::Arc;

use hyper::StatusCode;
use hyper::header::{HeaderValue, LOCATION};
use millpost_config::Config;
use millpost_migration::Input;
use millpost_net::messaging::{Call, Reply};
use millpost_net::pack::{self, pack};
use millpost_protocol::{MessageBatch, PeerMessage, object, text};
use millpost_quorum::{Address, Key, Message, Operation, Value};
use tinyjson::JsonValue;

use super::{Core, Effect, carts};
use crate::calls::{LONGEST_BODY, What, what};
use crate::contact::GossipReply;
use crate::errors::Kind;
use crate::gossip::News;
use crate::rounds::For;
use crate::{MS, Nanos};

/// Longer configurations are packed once, as they come, and stay so in the register, on its disks and in the feed.
const PACK_FROM: usize = 4 * 1024;
/// A leader has longer ones read by another.
const LONG_BODY: usize = 64 * 1024;
/// Another control machine that has answered so lately is there.
const FRESH: Nanos = 1_000 * MS;
/// Configurations that were read and may be chosen yet.
const MOST_READ: usize = 4;

/// Another control machine takes the call.
fn elsewhere(address: &Address) -> Reply {
    let to = HeaderValue::try_from(format!("http://{address}/Config.Replace"));
    match to {
        Ok(to) => Reply::empty(StatusCode::TEMPORARY_REDIRECT).with(LOCATION, to),
        Err(_) => Kind::Busy.answer(),
    }
}

/// The text of a configuration as its operator sent it.
pub(super) fn plain(content: &str) -> Option<Cow<'_, str>> {
    pack::plain(content, LONGEST_BODY)
}

/// The answer to an operator's put.
pub(super) fn revision(revision: u64) -> Reply {
    let body = object([("revision", JsonValue::Number(revision as f64))]).stringify().unwrap_or_default();
    Reply::json(StatusCode::OK, body)
}

/// The answer to an operator who reads.
pub(super) fn content(value: Option<&Value>) -> Result<Reply, Kind> {
    let text = value.and_then(|value| plain(&value.content)).ok_or(Kind::Empty)?;
    Ok(Reply::json(StatusCode::OK, text.into_owned()))
}

pub(super) fn letter(call: &Call) -> Result<MessageBatch, Kind> {
    let json = call.json().ok_or_else(|| Kind::Invalid("no JSON".to_owned()))?;
    MessageBatch::read(&json).map_err(|e| Kind::Invalid(e.to_string()))
}

fn vote(call: &Call) -> Result<(Address, Message), Kind> {
    let read = || {
        let JsonValue::Object(parts) = call.json()? else { return None };
        let from = millpost_protocol::string(&parts, "from").ok()?;
        Some((from, Message::from_json(parts.get("m")?).ok()?))
    };
    read().ok_or_else(|| Kind::Invalid("no message of a register".to_owned()))
}

impl Core {
    pub(super) fn answer(&mut self, id: u64, answer: Result<Reply, Kind>) {
        self.effects.push(Effect::Reply(id, answer.unwrap_or_else(|kind| kind.answer())));
    }

    /// A call is answered now, or by the round or the voter that it is handed to.
    pub(super) fn call(&mut self, now: Nanos, id: u64, call: &Call) {
        let answer = match what(&call.method, &call.path) {
            Err(kind) => Err(kind),
            // Who asks from now on goes elsewhere.
            Ok(What::Replace | What::Read | What::Follow | What::Order | What::Drain)
                if self.leave.is_some() =>
            {
                Err(Kind::Busy)
            }
            // A round would only wait for a majority that is known not to answer.
            Ok(What::Replace | What::Read | What::Order) if self.contact.is_lost(now) => {
                Err(Kind::NoMajority)
            }
            Ok(What::Chosen) if !self.in_contact(now) => Err(Kind::NoMajority),
            Ok(What::Replace) if call.body.len() > LONG_BODY && self.other_voter(now).is_some() => {
                Ok(self.other_voter(now).map_or_else(|| Kind::Busy.answer(), elsewhere))
            }
            Ok(What::Replace) => match self.config(call) {
                Ok(kind) => {
                    self.orders.begin(id, &kind);
                    return self.round(now, kind, Key::Config, For::Replace(id));
                }
                Err(kind) => Err(kind),
            },
            Ok(What::Read) => return self.round(now, Operation::Read, Key::Config, For::Read(id)),
            Ok(What::Vote) => match vote(call) {
                Ok((from, message)) => {
                    self.overhear(now, &message);
                    return self.effects.push(Effect::AskLocalVoter(id, from, message));
                }
                Err(kind) => Err(kind),
            },
            Ok(What::News) => self.heard(now, call),
            Ok(What::Chosen) => match self.gossip.chosen() {
                Some(text) => Ok(Reply::json(StatusCode::OK, text.to_string())),
                None => Err(Kind::Empty),
            },
            Ok(What::Status) => Ok(self.status(now)),
            Ok(What::Metrics) => Ok(self.figures(now).reply()),
            Ok(What::Functions) => {
                crate::functions::reply(self.leadership.leader(), now, call.query.as_deref())
            }
            Ok(What::Duty) => crate::duty::reply(self.leadership.leader(), &self.ledger, now),
            Ok(What::Drains) => self.told_outs(now),
            Ok(What::Drain) => self.order_out(now, call),
            Ok(What::Moves) => self.told_moves(now, call.query.as_deref()),
            Ok(What::Order) => match carts::order(call) {
                Ok(order) => return self.cart(now, Input::Order(id, order)),
                Err(kind) => Err(kind),
            },
            Ok(What::Follow) => match self.follow(now, id, call) {
                Ok(()) => return,
                Err(kind) => Err(kind),
            },
            Ok(What::Mail) => self.mail(now, call),
        };
        self.answer(id, answer);
    }

    /// A leader has much to do: another voter, which has answered just now, reads what is long.
    fn other_voter(&self, now: Nanos) -> Option<&Address> {
        self.leadership.leader()?;
        let members = self.rounds.members()?;
        let hears = |a: &Address| self.contact.asked(a).is_some_and(|sent| sent + FRESH > now);
        let votes = |a: &Address| self.gossip.others().get(a).is_some_and(|s| s.voting);
        let fresh = |a: &&Address| hears(a) && votes(a);
        let all: Vec<_> = members.voters.iter().filter(|a| **a != self.me).filter(fresh).collect();
        let turn = (now / FRESH) as usize % all.len().max(1);
        all.get(turn).copied()
    }

    /// The offer of a configuration, which is read and packed.
    pub(super) fn offer(&mut self, text: &str, over: Option<u64>) -> Result<Operation, String> {
        let config = Config::parse(text).map_err(|e| e.to_string())?;
        let packed = if text.len() > PACK_FROM { pack(text) } else { None };
        // What begins otherwise would be taken for packed.
        let content = packed.map_or_else(|| Arc::from(text.trim_start()), Arc::<str>::from);
        let version = config.revision;
        if self.read.len() >= MOST_READ {
            self.read.remove(0);
        }
        self.read.push((Arc::clone(&content), config));
        Ok(Operation::Propose { version, content, expected_version: over })
    }

    fn config(&mut self, call: &Call) -> Result<Operation, Kind> {
        let text = std::str::from_utf8(&call.body).map_err(|e| e.to_string());
        let read = text.and_then(|text| self.offer(text, None));
        read.map_err(|why| {
            log::info!("a configuration is refused: {why}");
            Kind::Invalid(why)
        })
    }

    fn heard(&mut self, now: Nanos, call: &Call) -> Result<Reply, Kind> {
        let json = call.json().ok_or_else(|| Kind::Invalid("no JSON".to_owned()))?;
        let news = News::read(&json)?;
        let (fence, leader, known) = (news.fence, news.leader.clone(), news.epoch);
        let next = self.gossip.heard(now, news)?;
        self.heard_outs(now, &json);
        if fence > 0 {
            self.know(fence, &leader);
        }
        self.bring(now, next);
        if !self.contact.reaches() {
            self.gossip.hasten(now);
        }
        let body = GossipReply::encode(self.rounds.members(), known, self.voting, self.gossip.revision());
        Ok(Reply::json(StatusCode::OK, body))
    }

    fn mail(&mut self, now: Nanos, call: &Call) -> Result<Reply, Kind> {
        let letter = letter(call)?;
        let (mut missed, mut asks) = (false, false);
        for note in &letter.notes {
            match (note, self.leadership.leader_mut()) {
                (PeerMessage::Acts { revision, .. }, _) => {
                    let again = self.feed.acts(now, &letter.from, *revision);
                    self.lines(again);
                }
                (PeerMessage::AskRevision, _) => asks = true,
                (PeerMessage::Rest { name, left }, _) => self.rests(now, name, *left),
                (note, Some(leader)) => leader.note(now, note),
                (PeerMessage::Alive { .. }, None) => {}
                (_, None) => missed = true,
            }
        }
        if missed {
            return Err(Kind::NotLeader);
        }
        // Who is not in contact can't say what stands.
        Ok(if asks && self.in_contact(now) { self.stands() } else { Reply::empty(StatusCode::OK) })
    }

    /// Which configuration stands, for a stall that has started.
    fn stands(&self) -> Reply {
        let stands = PeerMessage::Stands { revision: self.gossip.revision() };
        let body = object([
            ("from", text(&self.me)),
            ("life", JsonValue::Number(0.0)),
            ("notes", JsonValue::Array(vec![stands.to_json()])),
        ]);
        Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
    }

    /// How far this machine is from the leader's lease.
    fn lease_word(&self, now: Nanos) -> &'static str {
        match () {
            () if self.platform.is_none() => "no_platform",
            () if !self.voting => "no_vote",
            () => self.leadership.lease_word(now),
        }
    }

    /// How things stand, for operators.
    fn status(&self, now: Nanos) -> Reply {
        let number = |n: u64| JsonValue::Number(n as f64);
        let strings = |all: &[Address]| JsonValue::Array(all.iter().map(|a| text(a)).collect());
        let followers = self.feed.followers().map(|(name, acts)| (name.to_string(), number(acts))).collect();
        let members = self.rounds.members();
        let voters = members.map_or(JsonValue::Null, |m| strings(&m.voters));
        let next = members.and_then(|m| m.next.as_deref()).map_or(JsonValue::Null, strings);
        let ago = |heard: Nanos| number(now.saturating_sub(heard) / MS);
        let others = self.gossip.others().iter().map(|(a, s)| (a.to_string(), ago(s.heard))).collect();
        let leader = self.leadership.leader();
        let (fence, address) = self.gossip.known();
        let body = object([
            ("address", text(&self.me)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("epoch", number(members.map_or(0, |m| m.epoch))),
            ("voters", voters),
            ("next_voters", next),
            ("steward", text(address)),
            ("fence", number(*fence)),
            ("is_steward", JsonValue::Boolean(leader.is_some())),
            ("lease", text(self.lease_word(now))),
            ("contact", text(self.contact.word())),
            ("contact_ms", self.contact.held_for(now).map_or(JsonValue::Null, |held| number(held / MS))),
            ("revision", number(self.feed.revision())),
            ("followers_act_on", JsonValue::Object(followers)),
            ("others_heard_ms_ago", JsonValue::Object(others)),
            ("instances", number(leader.map_or(0, |s| s.scaler.snapshot().len() as u64))),
        ]);
        Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
    }
}
