//! The agent's state machine: what is sent to the proxy and to the leader, and when the proxy is behind. No
//! I/O and no clock: it takes inputs with their times and returns effects. `feeds` chooses the controllers to
//! follow, `latest` keeps the newest state.
//!
//! Invariant: what is sent to the proxy is at least as new as what was sent before, whichever controller it
//! came from.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use log::Level;
use millpost_net::messaging;
use millpost_protocol::{Fault, MessageBatch, PeerMessage, whole};
use tinyjson::JsonValue;

use crate::feeds::{FeedAction, FeedSet};
use crate::latest::{Applied, LatestState};
use crate::{MS, Nanos, SECOND};

/// How often feeds are opened and closed as needed.
const MAINTAIN_EVERY: Nanos = 100 * MS;
/// How often the settings file is read for new seeds.
const READ_SETTINGS_EVERY: Nanos = SECOND;
/// A proxy that is behind is sent the full configuration no more often than this.
const FULL_CONFIG_EVERY: Nanos = SECOND;
/// A proxy that has not announced itself for this long counts as gone, and the agent announces it to no
/// controller.
const PROXY_ALIVE_FOR: Nanos = 1_500 * MS;
/// After the queue to the proxy was full, the snapshot is sent again after this long, and no more often.
const RESEND_AFTER: Nanos = SECOND;
/// After this long without a feed from a controller in contact, that is logged, and again after each such time.
const LOG_UNFOLLOWED_AFTER: Nanos = 5 * SECOND;
/// The most messages in a line of a feed; a line with more is invalid.
const MAX_MESSAGES: usize = 10_000;
/// The most unreadable messages that are logged for each line or batch.
const MAX_LOGGED_FAULTS: usize = 5;
/// The agent exits this long before the grace period ends. Proxy and agent get SIGTERM at the same time, and
/// the agent has to stay while the proxy shuts down.
const EXIT_BEFORE_GRACE: Nanos = 500 * MS;

/// Parameters of an [`Agent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentConfig {
    /// The machine's name.
    pub name: CompactString,
    /// The incarnation: a number that differs in each run of the process.
    pub life: u64,
    /// Addresses of controllers, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// The time from SIGTERM until the process is killed.
    pub grace: Nanos,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The process has started.
    New(AgentConfig),
    /// A line of a feed, without the newline.
    FeedLine {
        /// The feed's number.
        feed: u64,
        /// The line's bytes.
        line: Bytes,
    },
    /// A feed has ended, or could not be opened.
    FeedEnded {
        /// Its number.
        feed: u64,
    },
    /// A controller's answer to messages: a message batch.
    ControlAnswered(Bytes),
    /// A message batch from the proxy; [`Effect::AnswerProxy`] follows.
    ProxyMessages(Bytes),
    /// The proxy accepts messages, for the first time or again.
    ProxyUp,
    /// The proxy did not confirm messages, which it may not have received.
    ProxyMessagesLost,
    /// The queue to the proxy was full, and a message was dropped.
    ProxyQueueFull,
    /// Messages to a controller could not be delivered.
    MessagesLost {
        /// The feed of that controller.
        feed: u64,
        /// How many messages.
        messages: u64,
    },
    /// The seeds from the settings file.
    Seeds(Vec<SocketAddr>),
    /// SIGTERM.
    Shutdown,
    /// Time has passed. Due at [`Agent::due`] at the latest, unless another input comes.
    Tick,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a feed.
    Open {
        /// Its number, which its lines and its end refer to.
        feed: u64,
        /// The controller's address.
        address: SocketAddr,
        /// The path of the request.
        path: &'static str,
        /// The messages of the batch that is the request's body.
        messages: Vec<PeerMessage>,
    },
    /// Close a feed and the queue of messages to its controller.
    Close {
        /// Its number.
        feed: u64,
    },
    /// Send a message to a followed controller.
    SendToControl {
        /// The feed of that controller.
        feed: u64,
        /// The controller's address.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message to the proxy.
    SendToProxy(PeerMessage),
    /// Answer the proxy's message batch.
    AnswerProxy {
        /// Whether the batch could be parsed.
        read: bool,
    },
    /// Read the settings file, and pass its seeds in as [`Input::Seeds`].
    ReadSettings,
    /// Write a line to the log.
    Log(Level, String),
    /// End the process.
    Exit,
}

/// The valid ones of these addresses.
fn parse_addresses(addresses: &[CompactString]) -> impl Iterator<Item = SocketAddr> {
    addresses.iter().filter_map(|address| address.parse().ok())
}

/// The agent's state. The crate's documentation describes its use.
#[derive(Debug)]
pub struct Agent {
    feeds: FeedSet,
    latest: LatestState,
    /// The proxy's last announcement of itself, and when it came.
    proxy_alive: Option<(Nanos, PeerMessage)>,
    /// The name in the last request that the proxy stay out of service, and when that ends.
    rest: Option<(CompactString, Nanos)>,
    /// The configuration revision that the proxy reports to act on.
    proxy_revision: u64,
    /// When the proxy was last sent the full configuration because it was behind.
    full_config_sent_at: Nanos,
    due: Nanos,
    /// Messages to the proxy were lost, and nothing was sent since that finds out when it accepts messages again.
    must_probe_proxy: bool,
    /// When the proxy is sent a snapshot to make up for dropped messages.
    resend_at: Option<Nanos>,
    settings_read_at: Nanos,
    /// When a controller in contact was last followed, or when that was last logged to be missing.
    followed_at: Nanos,
    grace: Nanos,
    exit_at: Option<Nanos>,
    effects: Vec<Effect>,
}

impl Agent {
    /// Creates the state machine, which opens the first feeds.
    pub fn new(config: AgentConfig, now: Nanos) -> Self {
        let mut agent = Agent {
            feeds: FeedSet::new(config.seeds, config.life),
            latest: LatestState::default(),
            proxy_alive: None,
            rest: None,
            proxy_revision: 0,
            full_config_sent_at: now,
            due: now,
            must_probe_proxy: false,
            resend_at: None,
            settings_read_at: now,
            followed_at: now,
            grace: config.grace,
            exit_at: None,
            effects: Vec::new(),
        };
        agent.maintain(now);
        agent
    }

    /// The effects since the last call, in order.
    pub fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// When [`Input::Tick`] is due.
    pub fn due(&self) -> Nanos {
        self.due
    }

    /// The feeds to controllers.
    pub fn feeds(&self) -> &FeedSet {
        &self.feeds
    }

    /// The newest configuration, membership and instances.
    pub fn latest(&self) -> &LatestState {
        &self.latest
    }

    /// Whether [`Input::Shutdown`] has come.
    pub fn is_shutting_down(&self) -> bool {
        self.exit_at.is_some()
    }

    /// The configuration revision that the proxy reports to act on; 0 before its first report.
    pub fn proxy_revision(&self) -> u64 {
        self.proxy_revision
    }
}

impl Agent {
    /// Handles an input.
    pub fn handle(&mut self, now: Nanos, input: Input) {
        match input {
            Input::New(config) => *self = Agent::new(config, now),
            Input::FeedLine { feed, line } => self.feed_line(now, feed, &line),
            Input::FeedEnded { feed } => {
                self.feeds.feed_ended(now, feed);
                self.run_feed_actions(now);
            }
            Input::ControlAnswered(body) => self.control_answered(&body),
            Input::ProxyMessages(body) => self.proxy_messages(now, &body),
            // A proxy that has restarted has no state.
            Input::ProxyUp => self.send_snapshot(now),
            Input::ProxyMessagesLost => self.must_probe_proxy = true,
            Input::ProxyQueueFull => {
                if self.resend_at.is_none() {
                    self.log(Level::Warn, "queue to the proxy is full; message dropped".to_owned());
                    self.resend_at = Some(now.saturating_add(RESEND_AFTER));
                }
            }
            Input::MessagesLost { feed, messages } => {
                if let Some(peer) = self.feeds.address(feed) {
                    self.log(
                        Level::Debug,
                        format!("{messages} messages to controller {peer} could not be delivered"),
                    );
                }
            }
            Input::Seeds(seeds) => {
                if self.feeds.set_seeds(seeds) {
                    self.log(Level::Info, format!("seeds are now {:?}", self.feeds.seeds()));
                }
            }
            Input::Shutdown => {
                if self.exit_at.is_none() {
                    self.log(Level::Info, "shutting down".to_owned());
                    self.exit_at = Some(now.saturating_add(self.grace.saturating_sub(EXIT_BEFORE_GRACE)));
                }
            }
            Input::Tick => {}
        }
        // After any input: under load, inputs may come so often that the caller never sends a tick.
        if now >= self.due {
            self.maintain(now);
        }
        if self.exit_at.is_some_and(|at| now >= at) {
            self.effects.push(Effect::Exit);
        }
    }

    fn log(&mut self, level: Level, text: String) {
        self.effects.push(Effect::Log(level, text));
    }

    fn maintain(&mut self, now: Nanos) {
        self.due = now.saturating_add(MAINTAIN_EVERY);
        self.feeds.maintain(now);
        self.run_feed_actions(now);
        if self.resend_at.is_some_and(|at| now >= at) {
            self.send_snapshot(now);
        } else if std::mem::take(&mut self.must_probe_proxy) {
            self.probe_proxy(now);
        }
        self.log_if_unfollowed(now);
        if now.saturating_sub(self.settings_read_at) >= READ_SETTINGS_EVERY {
            self.settings_read_at = now;
            self.effects.push(Effect::ReadSettings);
        }
    }

    /// Logs which controllers are known if none of them has been followed for some time.
    fn log_if_unfollowed(&mut self, now: Nanos) {
        if self.feeds.follows_any(now) {
            self.followed_at = now;
        } else if now.saturating_sub(self.followed_at) >= LOG_UNFOLLOWED_AFTER {
            self.followed_at = now;
            let known: Vec<_> = self.feeds.known().collect();
            let open: Vec<_> = self.feeds.feeds().map(|(_, address, _)| address).collect();
            self.log(
                Level::Warn,
                format!("no controller in contact is followed; known: {known:?}, open feeds: {open:?}"),
            );
        }
    }

    /// Turns the actions of the feed set into effects.
    fn run_feed_actions(&mut self, now: Nanos) {
        for action in self.feeds.take() {
            let effect = match action {
                FeedAction::Open { feed, address, full_config } => {
                    let path = if full_config { "/follow" } else { "/follow?whole=0" };
                    let acts = PeerMessage::ConfigApplied { revision: self.latest.revision(), number: 0 };
                    let alive =
                        self.proxy_alive.iter().filter(|(at, _)| now.saturating_sub(*at) <= PROXY_ALIVE_FOR);
                    let messages = alive.map(|(_, message)| message.clone()).chain([acts]).collect();
                    Effect::Open { feed, address, path, messages }
                }
                FeedAction::Close { feed } => Effect::Close { feed },
            };
            self.effects.push(effect);
        }
    }

    fn feed_line(&mut self, now: Nanos, feed: u64, line: &[u8]) {
        let Some(from) = self.feeds.line_received(feed) else { return };
        let Some(JsonValue::Object(parts)) = messaging::json(line) else {
            self.log(Level::Warn, format!("invalid line in the feed of controller {from}"));
            self.feeds.feed_invalid(now, feed);
            return self.run_feed_actions(now);
        };
        let Some(JsonValue::Array(messages)) = parts.get("notes") else { return };
        if messages.len() > MAX_MESSAGES {
            self.log(
                Level::Warn,
                format!(
                    "line in the feed of controller {from} has {} messages, more than {MAX_MESSAGES}",
                    messages.len()
                ),
            );
            self.feeds.feed_invalid(now, feed);
            return self.run_feed_actions(now);
        }
        let mut faults = Vec::new();
        for message in messages {
            match PeerMessage::read(message) {
                Ok(message) => self.control_message(now, from, message, line.len()),
                Err(e) => faults.push(e),
            }
        }
        self.log_faults(&from.to_string(), &faults);
        if self.feeds.address(feed).is_some() {
            let number = whole(&parts, "n").unwrap_or(0);
            let message = PeerMessage::ConfigApplied { revision: self.proxy_revision, number };
            self.effects.push(Effect::SendToControl { feed, to: from, message });
        }
    }

    /// Logs the first few messages that could not be parsed, and the number of the others.
    fn log_faults(&mut self, from: &str, faults: &[Fault]) {
        for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
            self.log(Level::Warn, format!("invalid message from {from}: {fault}"));
        }
        if faults.len() > MAX_LOGGED_FAULTS {
            self.log(
                Level::Warn,
                format!("{} more invalid messages from {from}", faults.len() - MAX_LOGGED_FAULTS),
            );
        }
    }

    /// Handles a controller's message, from a line of `line_bytes` bytes.
    fn control_message(&mut self, now: Nanos, from: SocketAddr, message: PeerMessage, line_bytes: usize) {
        if let PeerMessage::Leader { address, fence } = &message {
            if let Ok(address) = address.parse() {
                self.feeds.set_leader(now, *fence, address);
                self.run_feed_actions(now);
            }
            return;
        }
        if let PeerMessage::Controllers { addresses } = &message {
            if self.feeds.set_controllers(now, from, parse_addresses(addresses).collect()) {
                self.effects.push(Effect::SendToProxy(self.controllers()));
            }
            return self.run_feed_actions(now);
        }
        if let PeerMessage::Contact { holds } = &message {
            self.feeds.set_contact(now, from, *holds);
            return self.run_feed_actions(now);
        }
        if let PeerMessage::Drain { name, left } = &message {
            let lasts_ns = (left.clamp(0.0, 1e9) * 1e6) as Nanos;
            self.rest = (lasts_ns > 0).then(|| (name.clone(), now.saturating_add(lasts_ns)));
            return self.effects.push(Effect::SendToProxy(message));
        }
        match self.latest.apply(message, line_bytes) {
            Applied::Stale => {}
            Applied::New(message) => self.effects.push(Effect::SendToProxy(message)),
            Applied::Partial(message, left_out) => {
                self.effects.push(Effect::SendToProxy(message));
                self.log(Level::Warn, format!("too many instances: {left_out} were left out"));
            }
            Applied::Unreadable(why) => self.log(Level::Error, why),
            // Changes in between were missed, so a snapshot is needed.
            Applied::VersionGap(base, held) => {
                self.log(
                    Level::Info,
                    format!(
                        "membership change from {from} is based on version {base:?}, but {held:?} is held"
                    ),
                );
                self.feeds.snapshot_needed(now, from);
                self.run_feed_actions(now);
            }
            Applied::BaseMissing(what, why) => {
                self.log(Level::Info, format!("{what} from {from}: {why}"));
                self.feeds.base_missing(now, from);
                self.run_feed_actions(now);
            }
        }
    }

    /// Sends the proxy everything that it needs after a start.
    fn send_snapshot(&mut self, now: Nanos) {
        self.resend_at = None;
        // First, so that the proxy does not become ready in between.
        self.rest = self.rest.take().filter(|(_, until)| *until > now);
        if let Some((name, until)) = &self.rest {
            let left_ms = (until - now) as f64 / 1e6;
            self.effects.push(Effect::SendToProxy(PeerMessage::Drain { name: name.clone(), left: left_ms }));
        }
        self.effects.extend(self.latest.snapshot().into_iter().map(Effect::SendToProxy));
        if !self.feeds.reported().is_empty() {
            self.effects.push(Effect::SendToProxy(self.controllers()));
        }
    }

    /// Sends something, since it is with the next message that the proxy turns out to be up again, and gets the snapshot
    /// with what it has missed. Without this it would act on old state until something changes.
    fn probe_proxy(&mut self, now: Nanos) {
        if self.feeds.reported().is_empty() {
            self.send_snapshot(now);
        } else {
            self.effects.push(Effect::SendToProxy(self.controllers()));
        }
    }

    /// The message by which the proxy keeps the known controllers for the next run of this process.
    fn controllers(&self) -> PeerMessage {
        let addresses = self.feeds.reported().iter().map(ToCompactString::to_compact_string).collect();
        PeerMessage::Controllers { addresses }
    }

    /// Passes a controller's answer to [`PeerMessage::QueryRevision`] on to the proxy.
    fn control_answered(&mut self, body: &[u8]) {
        let Some(batch) = messaging::json(body).and_then(|json| MessageBatch::read(&json).ok()) else {
            return;
        };
        let answers = batch
            .messages
            .into_iter()
            .filter(|message| matches!(message, PeerMessage::CommittedRevision { .. }));
        self.effects.extend(answers.map(Effect::SendToProxy));
    }

    /// Handles a message batch from the proxy.
    fn proxy_messages(&mut self, now: Nanos, body: &[u8]) {
        let Some(batch) = messaging::json(body).and_then(|json| MessageBatch::read(&json).ok()) else {
            return self.effects.push(Effect::AnswerProxy { read: false });
        };
        self.log_faults(&batch.from, &batch.faults);
        for message in batch.messages {
            match message {
                PeerMessage::Heartbeat { .. } => {
                    self.proxy_alive = Some((now, message.clone()));
                    self.send_to_control(message, false);
                }
                PeerMessage::ConfigApplied { revision, .. } => self.proxy_acts_on(now, revision),
                // A proxy that has started, or has missed a change.
                PeerMessage::ViewOutdated { version } => {
                    if version < self.latest.versions().0 {
                        self.send_snapshot(now);
                    }
                }
                PeerMessage::Controllers { addresses } => {
                    self.feeds.recall_controllers(now, parse_addresses(&addresses));
                    self.run_feed_actions(now);
                }
                // Any controller that is in contact with a majority can answer.
                PeerMessage::QueryRevision => self.send_to_control(message, true),
                message => self.send_to_control(message, false),
            }
        }
        self.effects.push(Effect::AnswerProxy { read: true });
    }

    /// Handles the proxy's report of the configuration revision that it acts on.
    fn proxy_acts_on(&mut self, now: Nanos, revision: u64) {
        let newest = self.latest.revision();
        // A proxy that has started, or could not apply a change, gets the snapshot.
        if revision < newest && revision < self.proxy_revision.max(1) || revision < self.proxy_revision {
            self.send_snapshot(now);
        } else if revision < newest && now.saturating_sub(self.full_config_sent_at) > FULL_CONFIG_EVERY {
            self.full_config_sent_at = now;
            self.effects.extend(self.latest.full_config().map(Effect::SendToProxy));
        }
        if revision != self.proxy_revision {
            self.proxy_revision = revision;
            self.send_to_control(PeerMessage::ConfigApplied { revision, number: 0 }, true);
        }
    }

    /// Sends a message to the leader if it is followed, or with `all` to all followed controllers.
    fn send_to_control(&mut self, message: PeerMessage, all: bool) {
        let leader = self.feeds.leader().map(|(_, address)| address);
        for (feed, to, _) in self.feeds.feeds() {
            if all || leader == Some(to) {
                self.effects.push(Effect::SendToControl { feed, to, message: message.clone() });
            }
        }
    }
}
