//! Handles incoming calls from operators, agents and other controllers.

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

/// Configurations above this size, in bytes, are compressed on arrival and stay compressed in the register,
/// on disk and in the feed.
const PACK_THRESHOLD: usize = 4 * 1024;
/// The leader redirects configurations above this size, in bytes, to another voter.
const DELEGATE_THRESHOLD: usize = 64 * 1024;
/// A controller that replied to a message sent this recently counts as available.
const REPLY_TTL: Nanos = 1_000 * MS;
/// Maximum number of parsed configurations that are kept until they are chosen.
const MAX_PARSED_CONFIGS: usize = 4;

/// Redirects the call to another controller.
fn redirect_to(address: &Address) -> Reply {
    let to = HeaderValue::try_from(format!("http://{address}/Config.Replace"));
    match to {
        Ok(to) => Reply::empty(StatusCode::TEMPORARY_REDIRECT).with(LOCATION, to),
        Err(_) => CallError::Busy.to_reply(),
    }
}

/// Returns the text of a stored configuration as its operator sent it.
pub(super) fn config_text(content: &str) -> Option<Cow<'_, str>> {
    pack::plain(content, MAX_BODY)
}

/// Returns the reply to an operator's put.
pub(super) fn put_reply(revision: u64) -> Reply {
    let body = object([("revision", JsonValue::Number(revision as f64))]).stringify().unwrap_or_default();
    Reply::json(StatusCode::OK, body)
}

/// Returns the reply to an operator's read.
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

    /// Answers a call immediately, or passes it to a round, the voter or a feed that answers it later.
    pub(super) fn call(&mut self, now: Nanos, id: u64, call: &Call) {
        let answer = match route(&call.method, &call.path) {
            Err(kind) => Err(kind),
            // During a shutdown new calls are refused, so that the callers try another controller.
            Ok(
                Endpoint::PutConfig
                | Endpoint::ReadConfig
                | Endpoint::Follow
                | Endpoint::MigrationOrder
                | Endpoint::DrainOrder,
            ) if self.shutdown.is_some() => Err(CallError::Busy),
            // Without a majority a round would only run into its timeout.
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

    /// Returns an available voter other than the leader, to parse long configurations: parsing them delayed
    /// the leader beyond its lease.
    fn other_voter(&self, now: Nanos) -> Option<&Address> {
        self.leadership.leader()?;
        let members = self.rounds.members()?;
        let available =
            |a: &Address| self.contact.last_reply_sent(a).is_some_and(|sent| sent + REPLY_TTL > now);
        let votes = |a: &Address| self.gossip.peers().get(a).is_some_and(|s| s.voting);
        let fresh = |a: &&Address| available(a) && votes(a);
        let all: Vec<_> = members.voters.iter().filter(|a| **a != self.me).filter(fresh).collect();
        let turn = (now / REPLY_TTL) as usize % all.len().max(1);
        all.get(turn).copied()
    }

    /// Parses and compresses a configuration, and returns the round that proposes it.
    pub(super) fn prepare_put(&mut self, text: &str, over: Option<u64>) -> Result<Operation, String> {
        let config = Config::parse(text).map_err(|e| e.to_string())?;
        let packed = if text.len() > PACK_THRESHOLD { pack(text) } else { None };
        // Content that starts with another character counts as compressed.
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
            log::info!("rejected configuration: {why}");
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
        let (mut needs_leader, mut asks_revision) = (false, false);
        for message in &batch.messages {
            match (message, self.leadership.leader_mut()) {
                (PeerMessage::ConfigApplied { revision, .. }, _) => {
                    let resent = self.feed.on_applied(now, &batch.from, *revision);
                    self.send_lines(resent);
                }
                (PeerMessage::QueryRevision, _) => asks_revision = true,
                (PeerMessage::Drain { name, left }, _) => self.on_rest(now, name, *left),
                (message, Some(leader)) => leader.on_message(now, message),
                (PeerMessage::Heartbeat { .. }, None) => {}
                (_, None) => needs_leader = true,
            }
        }
        if needs_leader {
            return Err(CallError::NotLeader);
        }
        // Without contact the chosen revision is unknown.
        Ok(if asks_revision && self.in_contact(now) {
            self.revision_reply()
        } else {
            Reply::empty(StatusCode::OK)
        })
    }

    /// Returns the chosen revision, for a proxy that has started.
    fn revision_reply(&self) -> Reply {
        let message = PeerMessage::CommittedRevision { revision: self.gossip.revision() };
        let body = object([
            ("from", text(&self.me)),
            ("life", JsonValue::Number(0.0)),
            ("notes", JsonValue::Array(vec![message.to_json()])),
        ]);
        Reply::json(StatusCode::OK, body.stringify().unwrap_or_default())
    }

    /// Returns the state of this controller with respect to the leader's lease.
    fn lease_status(&self, now: Nanos) -> &'static str {
        match () {
            () if self.platform.is_none() => "no_platform",
            () if !self.voting => "no_vote",
            () => self.leadership.lease_status(now),
        }
    }

    /// Returns the status of this controller, for operators.
    fn status(&self, now: Nanos) -> Reply {
        let number = |n: u64| JsonValue::Number(n as f64);
        let strings = |all: &[Address]| JsonValue::Array(all.iter().map(|a| text(a)).collect());
        let followers = self.feed.followers().map(|(name, acts)| (name.to_string(), number(acts))).collect();
        let members = self.rounds.members();
        let voters = members.map_or(JsonValue::Null, |m| strings(&m.voters));
        let next = members.and_then(|m| m.next.as_deref()).map_or(JsonValue::Null, strings);
        let ago = |at: Nanos| number(now.saturating_sub(at) / MS);
        let others = self.gossip.peers().iter().map(|(a, s)| (a.to_string(), ago(s.last_heard))).collect();
        let leader = self.leadership.leader();
        let (fence, address) = self.gossip.leader();
        let body = object([
            ("address", text(&self.me)),
            ("voting", JsonValue::Boolean(self.voting)),
            ("epoch", number(members.map_or(0, |m| m.epoch))),
            ("voters", voters),
            ("next_voters", next),
            (
                "voters_bear_tolerance",
                self.voter_view()
                    .and_then(|view| view.bears_tolerance())
                    .map_or(JsonValue::Null, JsonValue::Boolean),
            ),
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
