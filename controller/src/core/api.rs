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

use super::{Core, Effect, migrations};
use crate::calls::{Endpoint, MAX_BODY, route};
use crate::contact::GossipReply;
use crate::errors::CallError;
use crate::gossip::GossipMessage;
use crate::rounds::RoundPurpose;
use crate::{MS, Nanos};

/// Longer configurations are packed once, as they come, and stay so in the register, on its disks and in the feed.
const PACK_THRESHOLD: usize = 4 * 1024;
/// A leader has longer ones read by another.
const DELEGATE_THRESHOLD: usize = 64 * 1024;
/// Another control machine that has answered so lately is there.
const REPLY_TTL: Nanos = 1_000 * MS;
/// Configurations that were read and may be chosen yet.
const MAX_PARSED_CONFIGS: usize = 4;

/// Another control machine takes the call.
fn redirect_to(address: &Address) -> Reply {
    let to = HeaderValue::try_from(format!("http://{address}/Config.Replace"));
    match to {
        Ok(to) => Reply::empty(StatusCode::TEMPORARY_REDIRECT).with(LOCATION, to),
        Err(_) => CallError::Busy.to_reply(),
    }
}

/// The text of a configuration as its operator sent it.
pub(super) fn config_text(content: &str) -> Option<Cow<'_, str>> {
    pack::plain(content, MAX_BODY)
}

/// The answer to an operator's put.
pub(super) fn put_reply(revision: u64) -> Reply {
    let body = object([("revision", JsonValue::Number(revision as f64))]).stringify().unwrap_or_default();
    Reply::json(StatusCode::OK, body)
}

/// The answer to an operator who reads.
pub(super) fn config_reply(value: Option<&Value>) -> Result<Reply, CallError> {
    let text = value.and_then(|value| config_text(&value.content)).ok_or(CallError::Empty)?;
    Ok(Reply::json(StatusCode::OK, text.into_owned()))
}

pub(super) fn read_batch(call: &Call) -> Result<MessageBatch, CallError> {
    let json = call.json().ok_or_else(|| CallError::Invalid("no JSON".to_owned()))?;
    MessageBatch::read(&json).map_err(|e| CallError::Invalid(e.to_string()))
}

fn read_vote(call: &Call) -> Result<(Address, Message), CallError> {
    let read = || {
        let JsonValue::Object(parts) = call.json()? else { return None };
        let from = millpost_protocol::string(&parts, "from").ok()?;
        Some((from, Message::from_json(parts.get("m")?).ok()?))
    };
    read().ok_or_else(|| CallError::Invalid("no message of a register".to_owned()))
}

impl Core {
    pub(super) fn answer(&mut self, id: u64, answer: Result<Reply, CallError>) {
        self.effects.push(Effect::Reply(id, answer.unwrap_or_else(|kind| kind.to_reply())));
    }

    /// A call is answered now, or by the round or the voter that it is handed to.
    pub(super) fn call(&mut self, now: Nanos, id: u64, call: &Call) {
        let answer = match route(&call.method, &call.path) {
            Err(kind) => Err(kind),
            // Who asks from now on goes elsewhere.
            Ok(
                Endpoint::PutConfig
                | Endpoint::ReadConfig
                | Endpoint::Follow
                | Endpoint::MigrationOrder
                | Endpoint::DrainOrder,
            ) if self.shutdown.is_some() => Err(CallError::Busy),
            // A round would only wait for a majority that is known not to answer.
            Ok(Endpoint::PutConfig | Endpoint::ReadConfig | Endpoint::MigrationOrder)
                if self.contact.is_lost(now) =>
            {
                Err(CallError::NoMajority)
            }
            Ok(Endpoint::ChosenConfig) if !self.in_contact(now) => Err(CallError::NoMajority),
            Ok(Endpoint::PutConfig)
                if call.body.len() > DELEGATE_THRESHOLD && self.other_voter(now).is_some() =>
            {
                Ok(self.other_voter(now).map_or_else(|| CallError::Busy.to_reply(), redirect_to))
            }
            Ok(Endpoint::PutConfig) => match self.read_put(call) {
                Ok(kind) => {
                    self.pending_puts.begin(id, &kind);
                    return self.start_round(now, kind, Key::Config, RoundPurpose::PutConfig(id));
                }
                Err(kind) => Err(kind),
            },
            Ok(Endpoint::ReadConfig) => {
                return self.start_round(now, Operation::Read, Key::Config, RoundPurpose::ReadConfig(id));
            }
            Ok(Endpoint::Vote) => match read_vote(call) {
                Ok((from, message)) => {
                    self.note_proposed_config(now, &message);
                    return self.effects.push(Effect::AskLocalVoter(id, from, message));
                }
                Err(kind) => Err(kind),
            },
            Ok(Endpoint::Gossip) => self.on_gossip(now, call),
            Ok(Endpoint::ChosenConfig) => match self.gossip.chosen() {
                Some(text) => Ok(Reply::json(StatusCode::OK, text.to_string())),
                None => Err(CallError::Empty),
            },
            Ok(Endpoint::Status) => Ok(self.status(now)),
            Ok(Endpoint::Metrics) => Ok(self.metrics(now).reply()),
            Ok(Endpoint::Functions) => {
                crate::functions::reply(self.leadership.leader(), now, call.query.as_deref())
            }
            Ok(Endpoint::Duty) => crate::duty::reply(self.leadership.leader(), &self.platform_stats, now),
            Ok(Endpoint::Drains) => self.drains_reply(now),
            Ok(Endpoint::DrainOrder) => self.order_drain(now, call),
            Ok(Endpoint::Migrations) => self.migrations_reply(now, call.query.as_deref()),
            Ok(Endpoint::MigrationOrder) => match migrations::order(call) {
                Ok(order) => return self.drive_migrations(now, Input::Order(id, order)),
                Err(kind) => Err(kind),
            },
            Ok(Endpoint::Follow) => match self.follow(now, id, call) {
                Ok(()) => return,
                Err(kind) => Err(kind),
            },
            Ok(Endpoint::Messages) => self.on_messages(now, call),
        };
        self.answer(id, answer);
    }

    /// A leader has much to do: another voter, which has answered just now, reads what is long.
    fn other_voter(&self, now: Nanos) -> Option<&Address> {
        self.leadership.leader()?;
        let members = self.rounds.members()?;
        let hears = |a: &Address| self.contact.last_reply_sent(a).is_some_and(|sent| sent + REPLY_TTL > now);
        let votes = |a: &Address| self.gossip.peers().get(a).is_some_and(|s| s.voting);
        let fresh = |a: &&Address| hears(a) && votes(a);
        let all: Vec<_> = members.voters.iter().filter(|a| **a != self.me).filter(fresh).collect();
        let turn = (now / REPLY_TTL) as usize % all.len().max(1);
        all.get(turn).copied()
    }

    /// The offer of a configuration, which is read and packed.
    pub(super) fn prepare_put(&mut self, text: &str, over: Option<u64>) -> Result<Operation, String> {
        let config = Config::parse(text).map_err(|e| e.to_string())?;
        let packed = if text.len() > PACK_THRESHOLD { pack(text) } else { None };
        // What begins otherwise would be taken for packed.
        let content = packed.map_or_else(|| Arc::from(text.trim_start()), Arc::<str>::from);
        let version = config.revision;
        if self.parsed_configs.len() >= MAX_PARSED_CONFIGS {
            self.parsed_configs.remove(0);
        }
        self.parsed_configs.push((Arc::clone(&content), config));
        Ok(Operation::Propose { version, content, expected_version: over })
    }

    fn read_put(&mut self, call: &Call) -> Result<Operation, CallError> {
        let text = std::str::from_utf8(&call.body).map_err(|e| e.to_string());
        let read = text.and_then(|text| self.prepare_put(text, None));
        read.map_err(|why| {
            log::info!("a configuration is refused: {why}");
            CallError::Invalid(why)
        })
    }

    fn on_gossip(&mut self, now: Nanos, call: &Call) -> Result<Reply, CallError> {
        let json = call.json().ok_or_else(|| CallError::Invalid("no JSON".to_owned()))?;
        let message = GossipMessage::read(&json)?;
        let (fence, leader, known) = (message.fence, message.leader.clone(), message.epoch);
        let next = self.gossip.on_message(now, message)?;
        self.merge_drains(now, &json);
        if fence > 0 {
            self.update_leader(fence, &leader);
        }
        self.continue_fetch(now, next);
        if !self.contact.has_majority() {
            self.gossip.hasten(now);
        }
        let body = GossipReply::encode(self.rounds.members(), known, self.voting, self.gossip.revision());
        Ok(Reply::json(StatusCode::OK, body))
    }

    fn on_messages(&mut self, now: Nanos, call: &Call) -> Result<Reply, CallError> {
        let batch = read_batch(call)?;
        let (mut missed, mut asks) = (false, false);
        for note in &batch.messages {
            match (note, self.leadership.leader_mut()) {
                (PeerMessage::ConfigApplied { revision, .. }, _) => {
                    let again = self.feed.on_applied(now, &batch.from, *revision);
                    self.send_lines(again);
                }
                (PeerMessage::QueryRevision, _) => asks = true,
                (PeerMessage::Drain { name, left }, _) => self.on_rest(now, name, *left),
                (note, Some(leader)) => leader.on_message(now, note),
                (PeerMessage::Heartbeat { .. }, None) => {}
                (_, None) => missed = true,
            }
        }
        if missed {
            return Err(CallError::NotLeader);
        }
        // Who is not in contact can't say what stands.
        Ok(if asks && self.in_contact(now) { self.revision_reply() } else { Reply::empty(StatusCode::OK) })
    }

    /// Which configuration stands, for a stall that has started.
    fn revision_reply(&self) -> Reply {
        let note = PeerMessage::CommittedRevision { revision: self.gossip.revision() };
        let body = object([
            ("from", text(&self.me)),
            ("life", JsonValue::Number(0.0)),
            ("notes", JsonValue::Array(vec![note.to_json()])),
        ]);
        Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
    }

    /// How far this machine is from the leader's lease.
    fn lease_status(&self, now: Nanos) -> &'static str {
        match () {
            () if self.platform.is_none() => "no_platform",
            () if !self.voting => "no_vote",
            () => self.leadership.lease_status(now),
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
        let others = self.gossip.peers().iter().map(|(a, s)| (a.to_string(), ago(s.heard))).collect();
        let leader = self.leadership.leader();
        let (fence, address) = self.gossip.leader();
        let body = object([
            ("address", text(&self.me)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("epoch", number(members.map_or(0, |m| m.epoch))),
            ("voters", voters),
            ("next_voters", next),
            ("steward", text(address)),
            ("fence", number(*fence)),
            ("is_steward", JsonValue::Boolean(leader.is_some())),
            ("lease", text(self.lease_status(now))),
            ("contact", text(self.contact.status())),
            ("contact_ms", self.contact.held_for(now).map_or(JsonValue::Null, |held| number(held / MS))),
            ("revision", number(self.feed.revision())),
            ("followers_act_on", JsonValue::Object(followers)),
            ("others_heard_ms_ago", JsonValue::Object(others)),
            ("instances", number(leader.map_or(0, |s| s.scaler.snapshot().len() as u64))),
        ]);
        Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
    }
}
