//! A porter: what `agent/src/run.rs` carries out for its round, on the played network.

use std::collections::BTreeMap;

use compact_str::CompactString;
use millpost_agent::{AgentConfig, Effect, Input, Recorded as Round};

use super::outbox::{Landed, Outbox};
use super::{Payload, ProcessContext, ProcessInput, ProcessOutput, letter};
use crate::mutation::Mutation;
use crate::{MS, Time};

/// A feed that has not begun by then is given up, and one on which nothing comes for so long.
const BEGINS: Time = 700 * MS;
const SILENCE: Time = 1_200 * MS;
const UP: Time = 900 * MS;
const DOWN: Time = 800 * MS;

struct Open {
    to: CompactString,
    post: Outbox,
    /// It is given up then.
    until: Time,
}

/// One porter.
pub struct AgentProcess {
    place: ProcessContext,
    stall_address: CompactString,
    round: Round,
    open: BTreeMap<u64, Open>,
    stall: Outbox,
    next: u64,
    over: bool,
    outs: Vec<ProcessOutput>,
}

impl AgentProcess {
    /// One that starts now, for the stall at this address.
    pub fn new(now: Time, place: ProcessContext, stall_address: CompactString) -> Self {
        let blind = place.mutation == Some(Mutation::Blind) && place.restarted;
        let seeds = if blind { Vec::new() } else { place.seed_addresses() };
        let terms = AgentConfig { name: place.name.clone(), life: place.life, seeds, grace: place.grace };
        let sink = place.records.as_ref().map(|r| r.life(&place.name, "porter", place.life));
        AgentProcess {
            round: Round::new(terms, now, sink),
            place,
            stall_address,
            open: BTreeMap::new(),
            // What is told of instances counts in its order.
            stall: Outbox::new(1),
            next: 0,
            over: false,
            outs: Vec::new(),
        }
    }

    /// Its process ends.
    pub fn over(&self) -> bool {
        self.over
    }

    /// When [`ProcessInput::Tick`] is due.
    pub fn wake(&self) -> Time {
        let posts = self.open.values().filter_map(|o| o.post.due()).chain(self.stall.due());
        let feeds = self.open.values().map(|o| o.until);
        posts.chain(feeds).min().unwrap_or(Time::MAX).min(self.round.due())
    }

    /// What it does with this.
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
            ProcessInput::Call { call, said: Payload::Mail { from, life, notes } } => {
                let body = letter(&from, life, &notes);
                self.give(now, Input::ProxyMessages(body), Some(call));
            }
            ProcessInput::Call { call, .. } => {
                self.outs.push(ProcessOutput::Reply { call, said: Payload::Refused(404) })
            }
            ProcessInput::Answer { id, said } => self.landed(now, id, matches!(said, Some(Payload::Taken))),
            ProcessInput::Seeds(seeds) => self.place.seeds = seeds,
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
        self.post(now);
        std::mem::take(&mut self.outs)
    }

    fn ended(&mut self, now: Time, feed: u64) {
        self.open.remove(&feed);
        self.give(now, Input::FeedEnded { feed }, None);
    }

    fn landed(&mut self, now: Time, id: u64, taken: bool) {
        if self.stall.has(id) {
            if matches!(self.stall.landed(now, id, taken), Landed::Up) {
                self.give(now, Input::ProxyUp, None);
            }
            return;
        }
        let Some((feed, open)) = self.open.iter_mut().find(|(_, o)| o.post.has(id)) else { return };
        if let Landed::Lost(notes) = open.post.landed(now, id, taken) {
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
                    let (from, whole) = (self.place.name.clone(), !path.ends_with("whole=0"));
                    let said = Payload::Follow { from, life: self.place.life, notes, whole };
                    self.outs.push(ProcessOutput::Follow { feed, to: to.clone(), said });
                    self.open.insert(feed, Open { to, post: Outbox::new(1), until: now + BEGINS });
                }
                Effect::Close { feed } => {
                    if self.open.remove(&feed).is_some() {
                        self.outs.push(ProcessOutput::Close { feed });
                    }
                }
                Effect::SendToControl { feed, message: note, .. } => {
                    if let Some(open) = self.open.get_mut(&feed) {
                        open.post.push(note);
                    }
                }
                Effect::SendToProxy(note) => full |= !self.stall.push(note),
                Effect::AnswerProxy { read } => {
                    let said = if read { Payload::Taken } else { Payload::Refused(400) };
                    self.outs.extend(call.map(|call| ProcessOutput::Reply { call, said }));
                }
                Effect::ReadSettings => settings = true,
                Effect::Log(level, text) => log::log!(level, "{}: {text}", self.place.name),
                Effect::Exit => self.over = true,
            }
        }
        if full {
            self.give(now, Input::ProxyQueueFull, None);
        }
        // A blind one never hears of seeds.
        if settings && !(self.place.mutation == Some(Mutation::Blind) && self.place.restarted) {
            self.give(now, Input::Seeds(self.place.seed_addresses()), None);
        }
    }

    fn post(&mut self, now: Time) {
        let (from, life) = (self.place.name.clone(), self.place.life);
        let mail = |notes| Payload::Mail { from: from.clone(), life, notes };
        while let Some(notes) = self.stall.take(now, self.next + 1) {
            self.next += 1;
            let to = self.stall_address.clone();
            self.outs.push(ProcessOutput::Call { id: self.next, to, said: mail(notes), within: DOWN });
        }
        for open in self.open.values_mut() {
            while let Some(notes) = open.post.take(now, self.next + 1) {
                self.next += 1;
                let to = open.to.clone();
                self.outs.push(ProcessOutput::Call { id: self.next, to, said: mail(notes), within: UP });
            }
        }
    }
}
