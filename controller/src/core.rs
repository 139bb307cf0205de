//! The state machine of a controller, without I/O and without a clock. Inputs are passed in with their
//! arrival time; the resulting effects must be carried out in order.
//!
//! Invariant: each incoming call is answered exactly once.

mod api;
mod drains;
mod follow;
mod metrics;
mod migrations;
mod shutdown;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use millpost_autoscaler::{ScalerConfig, Sink};
use millpost_config::{Config, Settings};
use millpost_net::messaging::{Call, Reply};
use millpost_net::pack;
use millpost_protocol::PeerMessage;
use millpost_quorum::{Address, Key, Members, Message, Operation, Outcome, Value};
use tinyjson::JsonValue;

use crate::calls::MAX_BODY;
use crate::contact::{Contact, GossipReply};
use crate::core::drains::DrainState;
use crate::core::follow::Waiting;
use crate::core::migrations::MigrationDriver;
use crate::core::shutdown::ShutdownProgress;
use crate::feed::{ConnectionId, Feed, HEARTBEAT_INTERVAL};
use crate::gossip::{self, Gossip};
use crate::leader::{Leader, ProxyMessages};
use crate::leadership::{
    LeaderOutput, Leadership, LeadershipStep, PlatformCall, PlatformReply, RegisterRead,
};
use crate::pending_puts::PendingPuts;
use crate::placement::{Location, LossTolerance};
use crate::platform_stats::PlatformStats;
use crate::rounds::{self, RoundPurpose, Rounds};
use crate::voters::{VoterAction, VoterView, Voters};
use crate::{MS, Nanos};

/// Longest time between two calls of [`Core::tick`].
const MAX_TICK_INTERVAL: Nanos = 100 * MS;
/// Interval between reads of the configuration register while no configuration is known.
const CONFIG_READ_INTERVAL: Nanos = 1_500 * MS;
/// A configuration that another controller writes to the local voter and that no gossip reports as chosen is
/// read from the register after this delay, at most [`MAX_UNCONFIRMED_READS`] times: the controller that
/// acknowledged it may have failed before announcing it.
const UNCONFIRMED_CONFIG_DELAY: Nanos = 600 * MS;
const MAX_UNCONFIRMED_READS: u32 = 3;
/// A process counts as just started for this long.
const STARTUP_PERIOD: Nanos = 5_000 * MS;

/// Parameters of a [`Core`].
pub struct CoreOptions {
    /// Address of this controller, which is also its name as a voter.
    pub me: Address,
    /// Identifies this process start: the wall-clock time in milliseconds at which the monotonic clock was 0.
    pub life: u64,
    /// Addresses of the seed nodes.
    pub seeds: Vec<Address>,
    /// What may be lost at the same time.
    pub tolerance: LossTolerance,
    /// Where this controller is.
    pub location: Location,
    /// Whether this controller was added to the running system, as opposed to those that started it.
    pub added: bool,
    /// `contact_ms`: a machine that was silent for this long counts as unreachable.
    pub contact_timeout: Nanos,
    /// `config_apply_ms`: time from the acknowledgement of a configuration until it is in force everywhere.
    pub config_apply_time: Nanos,
    /// `grace_s`: time from the request to shut down until the process is killed.
    pub shutdown_grace: Nanos,
    /// The platform's `duty_per_s`, `max_lag_ms` and `rate_per_s`; `None` without a platform.
    pub platform: Option<PlatformLimits>,
    /// Creates the recording sink of a scaler; `None` if nothing is recorded.
    pub sink: Option<Box<dyn Fn() -> Sink>>,
}

/// The limits of the platform: the call rates that it accepts, and the maximum lag of its lists.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs, reason = "the names are those of the settings file")]
pub struct PlatformLimits {
    pub duty_per_s: f64,
    pub max_lag_ms: u64,
    pub rate_per_s: f64,
}

impl CoreOptions {
    /// Builds the options of the controller at `address`. `life` must differ at each start.
    /// `added` says whether this controller was added to the running system.
    pub fn from_settings(settings: &Settings, address: SocketAddr, life: u64, added: bool) -> CoreOptions {
        let platform = settings.platform_api.as_ref().map(|api| PlatformLimits {
            duty_per_s: api.duty_per_s,
            max_lag_ms: api.max_lag_ms,
            rate_per_s: api.rate_per_s,
        });
        CoreOptions {
            me: address.to_compact_string(),
            life,
            seeds: seeds(settings),
            tolerance: settings.tolerance.into(),
            location: Location { zone: settings.zone.clone(), region: settings.region.clone() },
            added,
            contact_timeout: settings.bounds.contact_ms * MS,
            config_apply_time: settings.bounds.config_apply_ms * MS,
            shutdown_grace: (settings.bounds.grace_s * 1e9) as Nanos,
            platform,
            sink: None,
        }
    }
}

/// Returns the seed nodes as voter names.
pub fn seeds(settings: &Settings) -> Vec<Address> {
    settings.seed_nodes.iter().map(ToCompactString::to_compact_string).collect()
}

/// The consumer of a voter's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyTarget {
    /// The round with this number, through [`Input::RoundReply`].
    Round(u64),
    /// The lease, through [`Input::LeaseReply`].
    Lease,
    /// The local voter, to which the runtime passes the reply directly.
    Voter,
}

/// An event that the core reacts to.
#[derive(Debug)]
pub enum Input {
    /// An incoming call, with a unique number.
    Call(u64, Call),
    /// The state of the local voter: whether it votes, and the members it knows.
    VoterStatus(bool, Option<Members>),
    /// Requests of the local voter, which is copying its state from other voters; the replies go back to the
    /// voter.
    VoterRequests(Vec<(Address, Message)>),
    /// A voter's reply to the round with this number.
    RoundReply(u64, Address, Message),
    /// A voter's reply about the lease.
    LeaseReply(Address, Message),
    /// The configuration stored on the local disk, chosen or not: the reply to [`Effect::ReadLocalConfig`].
    LocalConfig(u64, Option<Value>),
    /// The reply to [`Effect::FetchConfig`]: the configuration as stored by the other controller.
    FetchedConfig(u64, Option<String>),
    /// The platform's reply to a call of the leader with this fence that was decided on at this time.
    PlatformReply(u64, Nanos, PlatformReply),
    /// Another controller has replied to a gossip message.
    GossipReply(Address, GossipReply),
    /// The connection of a feed has closed, or its queue was full.
    FeedClosed(ConnectionId),
    /// The list of seed nodes has changed.
    Seeds(Vec<Address>),
    /// The process was asked to terminate.
    Shutdown,
}

/// An action that the caller of the core must carry out.
#[derive(Debug)]
pub enum Effect {
    /// Sends a message to a voter, which may be the local one, and passes its reply to the target.
    SendToVoter(Address, Message, ReplyTarget),
    /// Passes a message to the local voter; the voter's reply answers the call with this number.
    AskLocalVoter(u64, Address, Message),
    /// Answers the call with this number.
    Reply(u64, Reply),
    /// Answers the call with this number by a stream of lines, of which this is the first.
    OpenFeed(u64, ConnectionId, Bytes),
    /// Sends a line on a feed connection.
    FeedLine(ConnectionId, Bytes),
    /// Closes a feed connection.
    CloseFeed(ConnectionId),
    /// Sends an empty line on all feed connections, except those whose queue is full.
    Heartbeat,
    /// Sends a gossip message to another controller, whose reply comes back as [`Input::GossipReply`].
    Gossip(Address, Bytes),
    /// Reads the configuration stored on the local disk, chosen or not.
    ReadLocalConfig(u64),
    /// Fetches the chosen configuration from this controller.
    FetchConfig(u64, Address),
    /// Calls the platform, unless the deadline of the call has passed.
    PlatformCall(PlatformCall),
}

/// The state machine of a controller.
pub struct Core {
    me: Address,
    seeds: Vec<Address>,
    tolerance: LossTolerance,
    location: Location,
    added: bool,
    /// Whether the present voters were last seen to bear the tolerated losses of zones and regions.
    bears_tolerance: Option<bool>,
    platform: Option<PlatformLimits>,
    sink: Option<Box<dyn Fn() -> Sink>>,
    voting: bool,
    /// Whether a read of the configuration register has succeeded since the start, even if it found nothing.
    config_read: bool,
    contact: Contact,
    /// The contact state that was last announced to followers.
    announced_contact: bool,
    /// The controllers that were last announced to followers.
    announced_controllers: Vec<Address>,
    rounds: Rounds,
    leadership: Leadership,
    gossip: Gossip,
    voters: Voters,
    feed: Feed,
    /// Agents that wait until contact is established.
    waiting: Waiting,
    migrations: MigrationDriver,
    /// Drains ordered by operators.
    drain_state: DrainState,
    /// Replies of the platform since this controller became the leader.
    platform_stats: PlatformStats,
    /// Configurations from operators whose rounds are in progress.
    pending_puts: PendingPuts,
    /// A configuration newer than the chosen one that another controller has written to the local voter: its
    /// revision, the time of the next read, and the number of reads so far.
    unconfirmed_config: Option<(u64, Nanos, u32)>,
    heartbeat_at: Nanos,
    config_read_at: Nanos,
    grace: Nanos,
    /// Set once the process was asked to terminate.
    shutdown: Option<ShutdownProgress>,
    /// Recently received configurations from operators in parsed form; the newest is last.
    parsed_configs: Vec<(Arc<str>, Config)>,
    effects: Vec<Effect>,
}

impl Core {
    /// Creates the core of a starting controller.
    pub fn new(options: CoreOptions) -> Self {
        let CoreOptions {
            me,
            life,
            seeds,
            tolerance,
            location,
            added,
            contact_timeout: contact,
            config_apply_time: apply,
            shutdown_grace: grace,
            platform,
            sink,
        } = options;
        let seed = life ^ xxhash_rust::xxh3::xxh3_64(me.as_bytes());
        Core {
            seeds,
            tolerance,
            location,
            added,
            bears_tolerance: None,
            platform,
            sink,
            voting: false,
            config_read: false,
            contact: Contact::new(me.clone(), apply / 2),
            announced_contact: false,
            announced_controllers: Vec::new(),
            rounds: Rounds::new(&me, life, seed),
            leadership: Leadership::new(me.clone(), life, seed),
            gossip: Gossip::new(me.clone()),
            voters: Voters::default(),
            feed: Feed::default(),
            waiting: Waiting::default(),
            migrations: MigrationDriver::new(life, contact, platform.map_or(0.0, |limits| limits.duty_per_s)),
            drain_state: DrainState::default(),
            platform_stats: PlatformStats::default(),
            pending_puts: PendingPuts::default(),
            unconfirmed_config: None,
            heartbeat_at: 0,
            config_read_at: 0,
            grace,
            shutdown: None,
            parsed_configs: Vec::new(),
            effects: Vec::new(),
            me,
        }
    }

    /// Returns the pending effects, in order.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the latest time at which [`Core::tick`] must be called next.
    pub fn next_wake(&self, now: Nanos) -> Nanos {
        let due = self.rounds.next_wake().min(self.leadership.next_wake()).min(now + MAX_TICK_INTERVAL);
        let shutdown = self.shutdown.map_or(Nanos::MAX, |shutdown| shutdown.due(now));
        due.min(self.gossip.next_send()).min(self.waiting.due()).min(shutdown).max(now + MS)
    }

    /// Returns whether this controller is the leader.
    pub fn is_leader(&self) -> bool {
        self.leadership.leader().is_some()
    }

    /// Returns the number of register rounds in progress.
    pub fn rounds_in_progress(&self) -> usize {
        self.rounds.in_progress()
    }

    /// Processes an input that arrived at `now`.
    pub fn handle(&mut self, now: Nanos, input: Input) {
        match input {
            Input::Call(id, call) => self.call(now, id, &call),
            Input::VoterStatus(voting, members) => {
                if voting != self.voting {
                    log::info!(
                        "{}",
                        if voting { "local voter votes" } else { "local voter has no state yet" }
                    );
                }
                self.voting = voting;
                if let Some(members) = members {
                    self.adopt_members(&members);
                }
            }
            Input::VoterRequests(out) => self.send_to_voters(out, ReplyTarget::Voter),
            Input::RoundReply(id, from, message) => {
                let out = self.rounds.on_answer(now, id, &from, &message);
                self.apply_round_output(now, out);
            }
            Input::LeaseReply(from, message) => {
                let out = self.leadership.on_lease(now, &from, &message);
                if let Some(members) = self.leadership.members() {
                    self.rounds.adopt(members);
                }
                self.send_to_voters(out, ReplyTarget::Lease);
            }
            Input::LocalConfig(number, value) => {
                let next = self.gossip.on_local_config(number, value);
                self.continue_fetch(now, next);
            }
            Input::FetchedConfig(number, text) => {
                self.gossip.on_fetched(number);
                let read = |text: &str| Config::parse(&api::config_text(text)?).ok();
                if let Some(text) = text
                    && let Some(config) = read(&text)
                {
                    self.set_config(now, config.revision, Arc::from(text), config);
                }
            }
            Input::PlatformReply(fence, decided_at, reply) => {
                if self.leadership.term().is_some_and(|(held, _)| held == fence) {
                    self.platform_stats.record(now, &reply);
                }
                let reply = self.apply_drains(now, reply);
                self.leadership.on_platform_reply(now, fence, decided_at, reply);
            }
            Input::GossipReply(peer, mut reply) => {
                if let Some(members) = reply.members.take() {
                    self.adopt_members(&members);
                }
                self.contact.on_reply(peer, reply);
                self.update_contact(now);
            }
            Input::FeedClosed(connection) => self.feed.disconnected(connection),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Shutdown => self.begin_shutdown(now),
        }
    }

    /// Advances all timers to `now`.
    pub fn tick(&mut self, now: Nanos) {
        let out = self.rounds.tick(now);
        self.apply_round_output(now, out);
        self.update_contact(now);
        self.tick_lease(now);
        self.tick_drains(now);
        self.tick_leader(now);
        self.tick_voters_in_shutdown(now);
        self.tick_migrations(now);
        self.hand_over(now);
        if now >= self.gossip.next_send() {
            self.send_gossip(now);
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.effects.push(Effect::Heartbeat);
            let lines = self.feed.overdue_changes(now);
            self.send_lines(lines);
        }
        self.read_unknown_config(now);
        if let Some((version, due, reads)) = self.unconfirmed_config.filter(|(_, due, _)| now >= *due) {
            self.unconfirmed_config = None;
            if version > self.gossip.revision() && reads < MAX_UNCONFIRMED_READS {
                self.unconfirmed_config = Some((version, due + CONFIG_READ_INTERVAL, reads + 1));
                self.start_round(now, Operation::Read, Key::Config, RoundPurpose::LearnConfig);
            }
        }
    }

    /// Notes a configuration that another controller writes to the local voter. Gossip reports it once it is
    /// chosen, unless the writer fails first.
    fn note_proposed_config(&mut self, now: Nanos, message: &Message) {
        let Message::Write { key: Key::Config, value, .. } = message else { return };
        let known = self.unconfirmed_config.map_or(0, |(version, ..)| version).max(self.gossip.revision());
        if value.version > known {
            self.unconfirmed_config = Some((value.version, now + UNCONFIRMED_CONFIG_DELAY, 0));
        }
    }

    fn send_to_voters(&mut self, out: Vec<(Address, Message)>, target: ReplyTarget) {
        self.effects.extend(out.into_iter().map(|(to, message)| Effect::SendToVoter(to, message, target)));
    }

    fn send_lines(&mut self, lines: impl IntoIterator<Item = (ConnectionId, Bytes)>) {
        self.effects.extend(lines.into_iter().map(|(connection, line)| Effect::FeedLine(connection, line)));
    }

    fn adopt_members(&mut self, members: &Members) {
        self.rounds.adopt(members);
        self.leadership.adopt(members);
    }

    fn start_round(&mut self, now: Nanos, kind: Operation, key: Key, purpose: RoundPurpose) {
        let out = self.rounds.start(now, kind, key, purpose);
        self.apply_round_output(now, out);
    }

    /// Carries out the output of register rounds.
    fn apply_round_output(&mut self, now: Nanos, out: rounds::RoundOutput) {
        if let Some(members) = self.rounds.members() {
            self.leadership.adopt(members);
        }
        let send = |(id, to, message)| Effect::SendToVoter(to, message, ReplyTarget::Round(id));
        self.effects.extend(out.send.into_iter().map(send));
        for finished in out.finished {
            self.finish_round(now, finished);
        }
    }

    fn finish_round(
        &mut self,
        now: Nanos,
        rounds::FinishedRound { purpose, outcome }: rounds::FinishedRound,
    ) {
        let value = |outcome| match outcome {
            Outcome::Written(value) => Some(value),
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Indeterminate(_) => None,
        };
        match purpose {
            RoundPurpose::PutConfig(id) => {
                let outcome = outcome.map(value);
                if let Ok(Some(value)) = &outcome {
                    self.install_config(now, value);
                }
                let chosen = outcome.as_ref().map(Option::as_ref).map_err(Clone::clone);
                let result = self.pending_puts.finish(id, chosen);
                self.answer(id, result.map(|confirmed| api::put_reply(confirmed.revision)));
            }
            RoundPurpose::ReadConfig(id) => {
                let outcome = outcome.map(value);
                let reply = match &outcome {
                    Ok(value) => api::config_reply(value.as_ref()),
                    Err(kind) => Err(kind.clone()),
                };
                self.answer(id, reply);
                if let Ok(Some(value)) = &outcome {
                    self.install_config(now, value);
                }
            }
            RoundPurpose::LearnConfig => {
                self.config_read |= outcome.is_ok();
                if let Some(value) = outcome.ok().and_then(value) {
                    self.install_config(now, &value);
                }
            }
            RoundPurpose::ConfirmContact(read) => {
                if outcome.is_ok() {
                    let epoch = self.rounds.members().map_or(0, |members| members.epoch);
                    self.contact.confirmed(now, read, epoch);
                    self.update_contact(now);
                }
            }
            RoundPurpose::LastLeader => {
                if let Ok(outcome) = outcome {
                    self.leadership.on_last_leader(value(outcome).as_ref());
                }
            }
            RoundPurpose::ReadFence => {
                let next = self.leadership.on_fence(now, outcome.map(value));
                self.apply_leadership_step(now, next);
            }
            RoundPurpose::WriteFence(fence) => {
                let next = self.leadership.on_fence_written(now, fence, outcome);
                self.apply_leadership_step(now, next);
            }
            RoundPurpose::ChangeVoters => {}
            RoundPurpose::HandOver(key) => self.on_handed_over(now, key, outcome.is_ok()),
            RoundPurpose::MigrationRecord(ask) => self.on_migration_record(now, ask, outcome),
            RoundPurpose::MigrationConfig(number) => {
                self.on_migration_config(now, number, outcome.ok().and_then(value))
            }
        }
    }

    fn apply_leadership_step(&mut self, now: Nanos, next: LeadershipStep) {
        match next {
            LeadershipStep::Idle => {}
            LeadershipStep::ReleaseLease(out) => self.send_to_voters(out, ReplyTarget::Lease),
            LeadershipStep::WriteFence(fence) => {
                let content = Arc::from(self.me.as_str());
                let kind = Operation::Propose { version: fence, content, expected_version: Some(fence - 1) };
                self.start_round(now, kind, Key::Leader, RoundPurpose::WriteFence(fence));
            }
            LeadershipStep::BecomeLeader(fence) => {
                let Some(limits) = self.platform else { return };
                let terms = ScalerConfig::new(fence, limits.duty_per_s, limits.max_lag_ms);
                let sink = self.sink.as_ref().map(|sink| sink());
                let mut leader = Leader::new(now, terms, limits.rate_per_s, self.feed.config(), sink);
                leader.control_restarted = self.contact.uptime(now) < STARTUP_PERIOD;
                self.leadership.install_leader(leader);
                self.platform_stats = PlatformStats::default();
                self.update_leader(fence, &self.me.clone());
                self.send_gossip(now);
            }
        }
    }

    /// Returns whether the local configuration may be served as the chosen one: contact holds, the
    /// configuration was read since the start, and no other controller reports a newer one.
    fn in_contact(&self, now: Nanos) -> bool {
        let known = self.config_read || self.gossip.chosen().is_some();
        self.contact.holds() && known && self.gossip.revision() >= self.contact.newest_revision(now)
    }

    /// Reads the configuration register while no configuration is known.
    fn read_unknown_config(&mut self, now: Nanos) {
        if self.gossip.chosen().is_none() && self.rounds.members().is_some() && now >= self.config_read_at {
            self.config_read_at = now + CONFIG_READ_INTERVAL;
            self.start_round(now, Operation::Read, Key::Config, RoundPurpose::LearnConfig);
        }
    }

    /// Updates contact with a majority, and admits waiting agents accordingly.
    fn update_contact(&mut self, now: Nanos) {
        if let Some(read) = self.contact.update(now, self.rounds.members(), self.voting) {
            // Reads a small value: each voter would send the whole of a possibly long configuration.
            self.start_round(now, Operation::Read, Key::Leader, RoundPurpose::ConfirmContact(read));
        }
        self.read_unknown_config(now);
        self.announce_contact();
        self.admit_waiting(now);
    }

    /// Announces a change of contact to followers, so that they do not wait for this controller while its
    /// feed may be stale.
    fn announce_contact(&mut self) {
        let holds = self.contact.holds();
        let certain = holds || !self.contact.has_majority();
        if certain && holds != self.announced_contact {
            self.announced_contact = holds;
            let lines = self.feed.broadcast(&[PeerMessage::Contact { holds }]);
            self.send_lines(lines);
        }
    }

    /// Announces the known controllers to followers if they have changed, so that agents can follow others
    /// than those in their settings files. Without contact the local view may be stale.
    fn announce_controllers(&mut self, now: Nanos) {
        if !self.in_contact(now) {
            return;
        }
        let controllers = self.gossip.controllers(now, self.rounds.members());
        if controllers != self.announced_controllers {
            self.announced_controllers.clone_from(&controllers);
            let lines = self.feed.broadcast(&[PeerMessage::Controllers { addresses: controllers }]);
            self.send_lines(lines);
        }
    }

    /// Records the leader, and announces it to followers if it has changed.
    fn update_leader(&mut self, fence: u64, address: &str) {
        if self.gossip.update_leader(fence, address) {
            let lines = self.feed.broadcast(&[PeerMessage::Leader { address: address.into(), fence }]);
            self.send_lines(lines);
        }
    }

    /// Carries out the next step of fetching a newer configuration.
    fn continue_fetch(&mut self, now: Nanos, next: Option<gossip::FetchStep>) {
        match next {
            Some(gossip::FetchStep::ReadLocal(number)) => self.effects.push(Effect::ReadLocalConfig(number)),
            Some(gossip::FetchStep::Found(value, change)) => {
                let applied = self.apply_config_change(now, &value, change);
                if !applied {
                    self.install_config(now, &value);
                }
            }
            Some(gossip::FetchStep::Fetch(number, from)) => {
                self.effects.push(Effect::FetchConfig(number, from))
            }
            None => {}
        }
    }

    /// Installs a chosen configuration by applying its change to the current one, if the change is based on
    /// that. Parsing a long configuration as a whole takes ten times as long. Returns whether the change was
    /// applied.
    fn apply_config_change(
        &mut self,
        now: Nanos,
        value: &Value,
        change: Option<gossip::ConfigChange>,
    ) -> bool {
        let Some(change) = change.filter(|c| self.gossip.digest() == Some(&c.base)) else { return false };
        let read = || {
            let text = pack::unpack(&change.packed, MAX_BODY)?;
            let config = millpost_config::change::apply(self.feed.config()?, &text.parse().ok()?).ok()?;
            (config.revision == value.version).then_some(config)
        };
        let Some(config) = read() else { return false };
        self.set_config(now, value.version, value.content.clone(), config);
        true
    }

    /// Installs a chosen configuration unless it is older than the current one.
    fn install_config(&mut self, now: Nanos, value: &Value) {
        if self.gossip.revision() >= value.version && self.gossip.chosen().is_some() {
            return;
        }
        // A configuration from an operator was parsed when it arrived.
        if let Some(at) = self.parsed_configs.iter().position(|(content, _)| *content == value.content) {
            let (content, config) = self.parsed_configs.swap_remove(at);
            return self.set_config(now, value.version, content, config);
        }
        match api::config_text(&value.content).map(|text| Config::parse(&text)) {
            Some(Ok(config)) => self.set_config(now, value.version, value.content.clone(), config),
            Some(Err(e)) => log::error!("invalid chosen configuration {}: {e}", value.version),
            None => log::error!("cannot unpack chosen configuration {}", value.version),
        }
    }

    fn set_config(&mut self, now: Nanos, revision: u64, content: Arc<str>, config: Config) {
        if self.gossip.revision() >= revision && self.gossip.chosen().is_some() {
            return;
        }
        let packed = (!content.starts_with('{')).then(|| content.to_string());
        self.parsed_configs.retain(|(_, read)| read.revision > revision);
        if let Some(leader) = self.leadership.leader_mut() {
            leader.configure(now, &config);
        }
        let lines = self.feed.configure(now, config, packed);
        self.send_lines(lines);
        let change = self.feed.change().and_then(pack::pack);
        self.gossip.set_chosen(revision, content, change);
        self.send_gossip(now);
        self.pass_chosen_config(now);
    }

    /// Sends the local state to the other controllers.
    fn send_gossip(&mut self, now: Nanos) {
        let state = gossip::LocalState {
            voting: self.voting,
            leaving: self.shutdown.is_some(),
            added: self.added,
            location: Some(self.location.clone()),
        };
        let (to, message) = self.gossip.prepare(now, &self.seeds, self.rounds.members(), state);
        let mut message = message.to_json();
        let drains = self.drain_state.drains().to_gossip(now);
        if let (JsonValue::Object(parts), JsonValue::Object(_)) = (&mut message, &drains) {
            parts.insert("drains".to_owned(), drains);
        }
        let body = Bytes::from(message.stringify().unwrap_or_default());
        self.announce_controllers(now);
        self.effects.extend(to.into_iter().map(|to| Effect::Gossip(to, body.clone())));
    }

    fn tick_lease(&mut self, now: Nanos) {
        // Without a platform there are no instances to manage, so there is no leader.
        let eligible = self.voting && self.platform.is_some();
        let (out, read) = self.leadership.tick(now, self.rounds.members(), eligible);
        self.send_to_voters(out, ReplyTarget::Lease);
        match read {
            Some(RegisterRead::LastLeader) if !self.rounds.is_running(RoundPurpose::LastLeader) => {
                self.start_round(now, Operation::Read, Key::Leader, RoundPurpose::LastLeader);
            }
            Some(RegisterRead::Fence) => {
                self.start_round(now, Operation::Read, Key::Leader, RoundPurpose::ReadFence)
            }
            Some(RegisterRead::LastLeader) | None => {}
        }
    }

    /// Runs the leader's duties.
    fn tick_leader(&mut self, now: Nanos) {
        let feed = &self.feed;
        let Some(LeaderOutput { view, messages, platform_calls }) =
            self.leadership.tick_leader(now, |name| feed.is_connected(name))
        else {
            return;
        };
        let send = |messages: ProxyMessages, feed: &mut Feed| -> Vec<_> {
            messages.iter().filter_map(|(name, messages)| feed.send_to(name, messages)).collect()
        };
        if let Some((view, instances)) = view {
            // The view is one line for all proxies; the instances of each proxy follow it.
            let lines = self.feed.broadcast(&[view]);
            self.send_lines(lines);
            let lines = send(instances, &mut self.feed);
            self.send_lines(lines);
        }
        let lines = send(messages, &mut self.feed);
        self.send_lines(lines);
        self.effects.extend(platform_calls.into_iter().map(Effect::PlatformCall));
        self.tick_voters(now);
    }

    fn tick_voters(&mut self, now: Nanos) {
        if self.rounds.is_running(RoundPurpose::ChangeVoters) {
            return;
        }
        let Some(view) = self.voter_view() else { return };
        let bears_tolerance = view.bears_tolerance();
        if bears_tolerance != self.bears_tolerance {
            match bears_tolerance {
                Some(false) => log::warn!(
                    "a loss of zones or regions that is to be tolerated would take a majority of the voters \
                     {:?}",
                    view.members.voters
                ),
                Some(true) => log::info!("the voters bear each loss that is to be tolerated"),
                None => {}
            }
        }
        let mut voters = std::mem::take(&mut self.voters);
        let action = self.voter_view().and_then(|view| voters.next_action(now, view));
        (self.voters, self.bears_tolerance) = (voters, bears_tolerance);
        let out = match action {
            Some(VoterAction::FinishChange) => self.rounds.start_change(now, None),
            Some(VoterAction::StartChange(change)) => self.rounds.start_change(now, Some(change)),
            None => return,
        };
        self.apply_round_output(now, out);
    }

    /// The state on which decisions about the voters are based; `None` while the members are unknown.
    fn voter_view(&self) -> Option<VoterView<'_>> {
        Some(VoterView {
            me: self.me.as_str(),
            my_location: &self.location,
            added: self.added,
            leaving: self.shutdown.is_some(),
            members: self.rounds.members()?,
            peers: self.gossip.peers(),
            tolerance: self.tolerance,
        })
    }

    fn known_leader(&self) -> (u64, CompactString) {
        self.gossip.leader().clone()
    }
}
