//! An agent: the I/O layer of `agent/src/run.rs` on the simulated network.

use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use millpost_agent::{AgentConfig, Effect, Input, Recorded as Agent};
use millpost_net::messaging;
use millpost_protocol::PeerMessage;
use tinyjson::JsonValue;

use super::outbox::{BatchOutcome, Outbox};
use super::{Payload, ProcessContext, ProcessInput, ProcessOutput, encode_messages};
use crate::mutation::Mutation;
use crate::{MS, Time};

/// Time-out for the first line of a feed.
const FIRST_LINE_TIMEOUT: Time = 700 * MS;
/// Time-out for silence on an open feed.
const FEED_TIMEOUT: Time = 1_200 * MS;
const CONTROLLER_TIMEOUT: Time = 900 * MS;
const PROXY_TIMEOUT: Time = 800 * MS;

struct Feed {
    to: CompactString,
    outbox: Outbox,
    /// When the feed times out.
    until: Time,
}

/// The line of a feed without its messages about controllers.
fn without_controllers(line: &Bytes) -> Bytes {
    let Some(JsonValue::Object(mut parts)) = messaging::json(line) else { return line.clone() };
    if let Some(JsonValue::Array(messages)) = parts.get_mut("notes") {
        messages.retain(|message| !matches!(PeerMessage::read(message), Ok(PeerMessage::Controllers { .. })));
    }
    Bytes::from(JsonValue::Object(parts).stringify().unwrap_or_default())
}

/// One agent process.
pub struct AgentProcess {
    context: ProcessContext,
    proxy_address: CompactString,
    agent: Agent,
    feeds: BTreeMap<u64, Feed>,
    proxy: Outbox,
    next: u64,
    exited: bool,
    outs: Vec<ProcessOutput>,
}

impl AgentProcess {
    /// Starts an agent for the proxy at this address.
    pub fn new(now: Time, context: ProcessContext, proxy_address: CompactString) -> Self {
        let no_seeds = context.mutation == Some(Mutation::AgentWithoutSeeds) && context.restarted;
        let seeds = if no_seeds { Vec::new() } else { context.seed_addresses() };
        let config = AgentConfig {
            name: context.name.clone(),
            life: context.incarnation,
            seeds,
            grace: context.grace,
        };
        let sink = context
            .records
            .as_ref()
            .map(|r| r.begin_incarnation(&context.name, "porter", context.incarnation));
        AgentProcess {
            agent: Agent::new(config, now, sink),
            context,
            proxy_address,
            feeds: BTreeMap::new(),
            // Messages about instances are order-dependent.
            proxy: Outbox::new(1),
            next: 0,
            exited: false,
            outs: Vec::new(),
        }
    }

    /// Whether the process has exited.
    pub fn has_exited(&self) -> bool {
        self.exited
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self) -> Time {
        let outboxes = self.feeds.values().filter_map(|o| o.outbox.due()).chain(self.proxy.due());
        let feeds = self.feeds.values().map(|o| o.until);
        outboxes.chain(feeds).min().unwrap_or(Time::MAX).min(self.agent.due())
    }

    /// Handles an input and returns the resulting outputs.
    pub fn input(&mut self, now: Time, input: ProcessInput) -> Vec<ProcessOutput> {
        match input {
            ProcessInput::Line { feed, line } => {
                if let Some(open) = self.feeds.get_mut(&feed) {
                    open.until = now + FEED_TIMEOUT;
                    let line = line.strip_suffix(b"\n").map_or(line.clone(), |text| line.slice_ref(text));
                    let ignored = self.context.mutation == Some(Mutation::IgnoreControllers);
                    let line = if ignored { without_controllers(&line) } else { line };
                    if !line.is_empty() {
                        self.handle(now, Input::FeedLine { feed, line }, None);
                    }
                }
            }
            ProcessInput::Ended { feed } => self.ended(now, feed),
            ProcessInput::Call { call, payload: Payload::Messages { from, incarnation, messages } } => {
                let body = encode_messages(&from, incarnation, &messages);
                self.handle(now, Input::ProxyMessages(body), Some(call));
            }
            ProcessInput::Call { call, .. } => {
                self.outs.push(ProcessOutput::Reply { call, payload: Payload::Refused(404) })
            }
            ProcessInput::Answer { id, payload } => {
                self.batch_done(now, id, matches!(payload, Some(Payload::Taken)))
            }
            ProcessInput::Seeds(seeds) => self.context.seeds = seeds,
            ProcessInput::Leave => self.handle(now, Input::Shutdown, None),
            _ => {}
        }
        let silent: Vec<_> =
            self.feeds.iter().filter(|(_, o)| now >= o.until).map(|(feed, _)| *feed).collect();
        for feed in silent {
            self.outs.push(ProcessOutput::Close { feed });
            self.ended(now, feed);
        }
        if now >= self.agent.due() {
            self.handle(now, Input::Tick, None);
        }
        self.send_batches(now);
        std::mem::take(&mut self.outs)
    }

    fn ended(&mut self, now: Time, feed: u64) {
        self.feeds.remove(&feed);
        self.handle(now, Input::FeedEnded { feed }, None);
    }

    fn batch_done(&mut self, now: Time, id: u64, taken: bool) {
        if self.proxy.has(id) {
            match self.proxy.batch_done(now, id, taken) {
                BatchOutcome::Up => self.handle(now, Input::ProxyUp, None),
                BatchOutcome::Lost(_) => self.handle(now, Input::ProxyMessagesLost, None),
                BatchOutcome::Well => {}
            }
            return;
        }
        let Some((feed, open)) = self.feeds.iter_mut().find(|(_, o)| o.outbox.has(id)) else { return };
        if let BatchOutcome::Lost(messages) = open.outbox.batch_done(now, id, taken) {
            let (feed, messages) = (*feed, messages.len() as u64);
            self.handle(now, Input::MessagesLost { feed, messages }, None);
        }
    }

    fn handle(&mut self, now: Time, input: Input, call: Option<u64>) {
        self.agent.handle(now, input);
        let (mut settings, mut full) = (false, false);
        for effect in self.agent.take() {
            match effect {
                Effect::Open { feed, address, path, messages } => {
                    let to = CompactString::from(address.to_string());
                    let (from, whole) = (self.context.name.clone(), !path.ends_with("whole=0"));
                    let payload =
                        Payload::Follow { from, incarnation: self.context.incarnation, messages, whole };
                    self.outs.push(ProcessOutput::Follow { feed, to: to.clone(), payload });
                    self.feeds
                        .insert(feed, Feed { to, outbox: Outbox::new(1), until: now + FIRST_LINE_TIMEOUT });
                }
                Effect::Close { feed } => {
                    if self.feeds.remove(&feed).is_some() {
                        self.outs.push(ProcessOutput::Close { feed });
                    }
                }
                Effect::SendToControl { feed, message, .. } => {
                    if let Some(open) = self.feeds.get_mut(&feed) {
                        open.outbox.push(message);
                    }
                }
                Effect::SendToProxy(message) => full |= !self.proxy.push(message),
                Effect::AnswerProxy { read } => {
                    let payload = if read { Payload::Taken } else { Payload::Refused(400) };
                    self.outs.extend(call.map(|call| ProcessOutput::Reply { call, payload }));
                }
                Effect::ReadSettings => settings = true,
                Effect::Log(level, text) => log::log!(level, "{}: {text}", self.context.name),
                Effect::Exit => self.exited = true,
            }
        }
        if full {
            self.handle(now, Input::ProxyQueueFull, None);
        }
        // With this mutation a restarted agent never learns the seeds.
        if settings && !(self.context.mutation == Some(Mutation::AgentWithoutSeeds) && self.context.restarted)
        {
            self.handle(now, Input::Seeds(self.context.seed_addresses()), None);
        }
    }

    fn send_batches(&mut self, now: Time) {
        let (from, incarnation) = (self.context.name.clone(), self.context.incarnation);
        let payload = |messages| Payload::Messages { from: from.clone(), incarnation, messages };
        while let Some(messages) = self.proxy.take(now, self.next + 1) {
            self.next += 1;
            let to = self.proxy_address.clone();
            self.outs.push(ProcessOutput::Call {
                id: self.next,
                to,
                payload: payload(messages),
                within: PROXY_TIMEOUT,
            });
        }
        for open in self.feeds.values_mut() {
            while let Some(messages) = open.outbox.take(now, self.next + 1) {
                self.next += 1;
                let to = open.to.clone();
                self.outs.push(ProcessOutput::Call {
                    id: self.next,
                    to,
                    payload: payload(messages),
                    within: CONTROLLER_TIMEOUT,
                });
            }
        }
    }
}
