//! An agent: the I/O layer of `agent/src/run.rs` on the simulated network.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_agent::{AgentConfig, Effect, Input, Recorded as Round};

use super::outbox::{BatchOutcome, Outbox};
use super::{Payload, ProcessContext, ProcessInput, ProcessOutput, encode_messages};
use crate::mutation::Mutation;
use crate::{MS, Time};

/// Time-out for the first line of a feed, and for silence on an open feed.
const BEGINS: Time = 700 * MS;
const SILENCE: Time = 1_200 * MS;
const UP: Time = 900 * MS;
const DOWN: Time = 800 * MS;

struct Open {
    to: CompactString,
    outbox: Outbox,
    /// When the feed times out.
    until: Time,
}

/// One agent process.
pub struct AgentProcess {
    context: ProcessContext,
    proxy_address: CompactString,
    round: Round,
    open: BTreeMap<u64, Open>,
    proxy: Outbox,
    next: u64,
    over: bool,
    outs: Vec<ProcessOutput>,
}

impl AgentProcess {
    /// Starts an agent for the proxy at this address.
    pub fn new(now: Time, context: ProcessContext, proxy_address: CompactString) -> Self {
        let blind = context.mutation == Some(Mutation::AgentWithoutSeeds) && context.restarted;
        let seeds = if blind { Vec::new() } else { context.seed_addresses() };
        let terms =
            AgentConfig { name: context.name.clone(), life: context.life, seeds, grace: context.grace };
        let sink = context.records.as_ref().map(|r| r.life(&context.name, "porter", context.life));
        AgentProcess {
            round: Round::new(terms, now, sink),
            context,
            proxy_address,
            open: BTreeMap::new(),
            // Messages about instances are order-dependent.
            proxy: Outbox::new(1),
            next: 0,
            over: false,
            outs: Vec::new(),
        }
    }

    /// Whether the process has exited.
    pub fn over(&self) -> bool {
        self.over
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self) -> Time {
        let outboxes = self.open.values().filter_map(|o| o.outbox.due()).chain(self.proxy.due());
        let feeds = self.open.values().map(|o| o.until);
        outboxes.chain(feeds).min().unwrap_or(Time::MAX).min(self.round.due())
    }

    /// Handles an input and returns the resulting outputs.
    pub fn input(&mut self, now: Time, input: ProcessInput) -> Vec<ProcessOutput> {
        match input {
            ProcessInput::Line { feed, line } => {
                if let Some(open) = self.open.get_mut(&feed) {
                    open.until = now + SILENCE;
                    let line = line.strip_suffix(b"\n").map_or(line.clone(), |text| line.slice_ref(text));
                    if !line.is_empty() {
                        self.give(now, Input::FeedLine { feed, line }, None);
                    }
                }
            }
            ProcessInput::Ended { feed } => self.ended(now, feed),
            ProcessInput::Call { call, said: Payload::Messages { from, life, notes } } => {
                let body = encode_messages(&from, life, &notes);
                self.give(now, Input::ProxyMessages(body), Some(call));
            }
            ProcessInput::Call { call, .. } => {
                self.outs.push(ProcessOutput::Reply { call, said: Payload::Refused(404) })
            }
            ProcessInput::Answer { id, said } => {
                self.batch_done(now, id, matches!(said, Some(Payload::Taken)))
            }
            ProcessInput::Seeds(seeds) => self.context.seeds = seeds,
            ProcessInput::Leave => self.give(now, Input::Shutdown, None),
            _ => {}
        }
        let silent: Vec<_> =
            self.open.iter().filter(|(_, o)| now >= o.until).map(|(feed, _)| *feed).collect();
        for feed in silent {
            self.outs.push(ProcessOutput::Close { feed });
            self.ended(now, feed);
        }
        if now >= self.round.due() {
            self.give(now, Input::Tick, None);
        }
        self.send_batches(now);
        std::mem::take(&mut self.outs)
    }

    fn ended(&mut self, now: Time, feed: u64) {
        self.open.remove(&feed);
        self.give(now, Input::FeedEnded { feed }, None);
    }

    fn batch_done(&mut self, now: Time, id: u64, taken: bool) {
        if self.proxy.has(id) {
            if matches!(self.proxy.batch_done(now, id, taken), BatchOutcome::Up) {
                self.give(now, Input::ProxyUp, None);
            }
            return;
        }
        let Some((feed, open)) = self.open.iter_mut().find(|(_, o)| o.outbox.has(id)) else { return };
        if let BatchOutcome::Lost(notes) = open.outbox.batch_done(now, id, taken) {
            let (feed, notes) = (*feed, notes.len() as u64);
            self.give(now, Input::MessagesLost { feed, messages: notes }, None);
        }
    }

    fn give(&mut self, now: Time, input: Input, call: Option<u64>) {
        self.round.handle(now, input);
        let (mut settings, mut full) = (false, false);
        for effect in self.round.take() {
            match effect {
                Effect::Open { feed, address, path, messages: notes } => {
                    let to = CompactString::from(address.to_string());
                    let (from, whole) = (self.context.name.clone(), !path.ends_with("whole=0"));
                    let said = Payload::Follow { from, life: self.context.life, notes, whole };
                    self.outs.push(ProcessOutput::Follow { feed, to: to.clone(), said });
                    self.open.insert(feed, Open { to, outbox: Outbox::new(1), until: now + BEGINS });
                }
                Effect::Close { feed } => {
                    if self.open.remove(&feed).is_some() {
                        self.outs.push(ProcessOutput::Close { feed });
                    }
                }
                Effect::SendToControl { feed, message: note, .. } => {
                    if let Some(open) = self.open.get_mut(&feed) {
                        open.outbox.push(note);
                    }
                }
                Effect::SendToProxy(note) => full |= !self.proxy.push(note),
                Effect::AnswerProxy { read } => {
                    let said = if read { Payload::Taken } else { Payload::Refused(400) };
                    self.outs.extend(call.map(|call| ProcessOutput::Reply { call, said }));
                }
                Effect::ReadSettings => settings = true,
                Effect::Log(level, text) => log::log!(level, "{}: {text}", self.context.name),
                Effect::Exit => self.over = true,
            }
        }
        if full {
            self.give(now, Input::ProxyQueueFull, None);
        }
        // With this mutation a restarted agent never learns the seeds.
        if settings && !(self.context.mutation == Some(Mutation::AgentWithoutSeeds) && self.context.restarted)
        {
            self.give(now, Input::Seeds(self.context.seed_addresses()), None);
        }
    }

    fn send_batches(&mut self, now: Time) {
        let (from, life) = (self.context.name.clone(), self.context.life);
        let mail = |notes| Payload::Messages { from: from.clone(), life, notes };
        while let Some(notes) = self.proxy.take(now, self.next + 1) {
            self.next += 1;
            let to = self.proxy_address.clone();
            self.outs.push(ProcessOutput::Call { id: self.next, to, said: mail(notes), within: DOWN });
        }
        for open in self.open.values_mut() {
            while let Some(notes) = open.outbox.take(now, self.next + 1) {
                self.next += 1;
                let to = open.to.clone();
                self.outs.push(ProcessOutput::Call { id: self.next, to, said: mail(notes), within: UP });
            }
        }
    }
}
