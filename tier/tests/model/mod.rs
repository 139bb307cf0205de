//! A fleet of the real machines in simulated time: clocks that differ in what they show and in how fast they run, datagrams
//! that are lost, late, repeated and reordered by pair, pauses, and restarts with and without what lasts. All draws come
//! from one seed.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use millpost_tier::frame::read;
use millpost_tier::records::{EndpointRecord, RecordKind};
use millpost_tier::roll::InitialState;
use millpost_tier::staleness::View;
use millpost_tier::versions::{ActiveVersions, Kind};
use millpost_tier::{CallResult, Demand, Output, RateBudget, RollAction, Rules, Tier, TierConfig, TierEvent};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MS;
pub const DEST: u64 = 1;
pub const PLACE: u64 = 11;
/// What a stopped process finds of what came meanwhile.
const SOCKET: usize = 200;

/// A datagram on its way: when it comes, its number, from, to, the bytes.
type Flying = Reverse<(u64, u64, u16, u16, Vec<u8>)>;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Shape {
    pub dispatchers: u16,
    pub terms: TierConfig,
    pub seed: u64,
    /// Calls a second that the destination takes from all.
    pub limit: f64,
    /// Calls a second that each wants to send.
    pub offered: Vec<f64>,
    pub loss: f64,
    pub repeated: f64,
    /// Datagrams take so long, least and most.
    pub delay: [u64; 2],
    /// The rules of the roll, where one is kept.
    pub rules: Option<Rules>,
}

/// What one dispatcher acts on, and how it comes by it.
#[derive(Clone, Debug, Default)]
pub struct Acts {
    /// Its agent tells nothing; SIGHUP does not reach it; it turns settings down.
    pub mute: bool,
    pub missed: bool,
    pub refuses: bool,
    pub list: u32,
    pub settings: u32,
    /// The layout of its program.
    pub layout: u32,
    confirmed: bool,
    /// What lasts of it: the settings and since when, by its clock; and the words.
    settled: u64,
    listed: Option<u64>,
    words: Vec<EndpointRecord>,
    /// It takes no messages.
    pub out: bool,
    pub outs: u32,
    /// Endpoints that it does without, on the word of others.
    pub held: std::collections::BTreeSet<(u64, RecordKind)>,
}

pub struct Node {
    pub tier: Option<Tier>,
    offset: u64,
    rate: f64,
    pub part: Option<RateBudget>,
    incarnation: u32,
    paused: bool,
    waiting: Vec<(u16, Vec<u8>)>,
    tokens: f64,
    backlog: f64,
    pub offered: f64,
    pub sent: f64,
    /// When a wait was heard that another was told.
    pub wait_heard: Option<u64>,
    pub acts: Acts,
}

pub struct Model {
    pub now: u64,
    pub shape: Shape,
    pub nodes: Vec<Node>,
    rng: Pcg64Mcg,
    flying: BinaryHeap<Flying>,
    number: u64,
    /// Which side of a split each is on.
    pub side: Vec<u8>,
    /// Who hears nothing, and who is not heard.
    pub deaf: Vec<bool>,
    pub mute: Vec<bool>,
    /// The highest sum of all parts in use so far, of the limit.
    pub most: f64,
    pub datagrams: u64,
    pub bytes: u64,
    /// What the sources have by now.
    pub list: u32,
    pub settings: u32,
    /// Who was shut out, when, and on what.
    pub shut_out: Vec<(u64, usize, Kind)>,
}

impl Model {
    pub fn new(shape: Shape) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(shape.seed);
        let n = usize::from(shape.dispatchers);
        let apart = shape.terms.clock_rate_permille as f64 / 1e3;
        let nodes = shape.offered.iter().map(|offered| Node {
            tier: None,
            // Any hour, and as fast or slow as the terms allow.
            offset: u64::from(rng.next_u32()) * 1_000 * MS,
            rate: 1.0 + apart * (2.0 * share(&mut rng) - 1.0),
            part: None,
            incarnation: 0,
            paused: false,
            waiting: Vec::new(),
            tokens: 0.0,
            backlog: 0.0,
            offered: *offered,
            sent: 0.0,
            wait_heard: None,
            acts: Acts { list: 1, settings: 1, ..Acts::default() },
        });
        let nodes = nodes.collect();
        let mut model = Model {
            now: 0,
            nodes,
            rng,
            flying: BinaryHeap::new(),
            number: 0,
            side: vec![0; n],
            deaf: vec![false; n],
            mute: vec![false; n],
            most: 0.0,
            datagrams: 0,
            bytes: 0,
            list: 1,
            settings: 1,
            shut_out: Vec::new(),
            shape,
        };
        (0..n).for_each(|node| model.start(node, false));
        model
    }

    pub fn local(&self, node: usize) -> u64 {
        let Node { offset, rate, .. } = self.nodes[node];
        offset + (self.now as f64 * rate) as u64
    }

    /// A new life, with what lasts or without.
    pub fn start(&mut self, node: usize, lost: bool) {
        let (now, seed) = (self.local(node), u64::from(self.rng.next_u32()));
        let n = &mut self.nodes[node];
        n.incarnation = if lost { 1 } else { n.incarnation + 1 };
        let (me, of) = (node as u16, self.shape.dispatchers);
        let mut tier = Tier::new(now, self.shape.terms.clone(), me, of, n.incarnation, seed);
        if let Some(rules) = self.shape.rules.clone() {
            if lost {
                (n.acts.words, n.acts.settled, n.acts.held) = (Vec::new(), now, Default::default());
                n.acts.listed = None;
            }
            // The file is read anew; the list is what the store has, or the configuration.
            if !n.acts.refuses && !n.acts.missed && n.acts.settings != self.settings {
                (n.acts.settings, n.acts.settled) = (self.settings, now);
            }
            (n.acts.confirmed, n.acts.out) = (false, false);
            let mut standing = ActiveVersions::default();
            standing.program.generation = n.acts.layout;
            standing.set_version(Kind::Program, n.acts.layout + 1);
            standing.set_version(Kind::List, n.acts.list);
            standing.set_version(Kind::Settings, n.acts.settings);
            let held = [n.acts.listed.map_or(u64::MAX, |at| now - at), now - n.acts.settled, 0, 0];
            tier.enable_roll(
                now,
                InitialState { rules, standing, held, words: n.acts.words.clone() },
                seed ^ 1,
            );
        }
        tier.set_endpoints(now, [(DEST, PLACE), (DEST, PLACE + 1)]);
        (n.tier, n.part, n.tokens, n.paused) = (Some(tier), None, 0.0, false);
        n.waiting.clear();
    }

    pub fn pause(&mut self, node: usize, paused: bool) {
        self.nodes[node].paused = paused;
        for (from, bytes) in std::mem::take(&mut self.nodes[node].waiting) {
            self.hear(node, from, &bytes);
        }
        if !paused && self.shape.rules.is_some() {
            // What its agent said meanwhile is there to be read.
            self.ask_list(node);
        }
    }

    /// One dispatcher is told to wait until this time.
    pub fn told_to_wait(&mut self, node: usize, lasts: u64) {
        let now = self.local(node);
        self.nodes[node].wait_heard = Some(self.now);
        let tier = self.nodes[node].tier.as_mut().expect("it lives");
        tier.record_result(now, PLACE, CallResult::Refused, Some(now + lasts));
    }

    fn hear(&mut self, node: usize, from: u16, bytes: &[u8]) {
        let now = self.local(node);
        let frame = read(bytes).expect("nobody spoils it");
        assert_eq!(frame.speaker.who, from);
        if let Some(tier) = &mut self.nodes[node].tier {
            tier.receive(now, &frame);
        }
        self.carry(node);
    }

    fn carry(&mut self, node: usize) {
        while let Some(out) = self.nodes[node].tier.as_mut().and_then(Tier::next_output) {
            match out {
                Output::Event(TierEvent::RateBudget { part, .. }) => self.nodes[node].part = part,
                Output::Event(TierEvent::WaitRequested { .. }) => {
                    self.nodes[node].wait_heard.get_or_insert(self.now);
                }
                Output::Event(_) => {}
                Output::Incarnation(incarnation) => self.nodes[node].incarnation = incarnation,
                Output::RollAction(act) => self.act(node, act),
                Output::Loan(_) => {}
                Output::Send { to, bytes } => {
                    (self.datagrams, self.bytes) = (self.datagrams + 1, self.bytes + bytes.len() as u64);
                    self.send(node as u16, to, bytes);
                }
            }
        }
    }

    fn act(&mut self, node: usize, act: RollAction) {
        let now = self.now;
        let n = &mut self.nodes[node];
        match act {
            RollAction::RefreshSource(Kind::List) => self.ask_list(node),
            RollAction::RefreshSource(_) => {
                n.acts.missed = false;
                self.hangup(node);
            }
            RollAction::ShutOut(kind) => {
                (n.acts.out, n.acts.outs) = (true, n.acts.outs + 1);
                self.shut_out.push((now, node, kind));
            }
            RollAction::Readmit => n.acts.out = false,
            RollAction::Hold(place, what) => {
                n.acts.held.insert((place, what));
            }
            RollAction::Release(place) => {
                n.acts.held.remove(&(place, RecordKind::Drain));
            }
            RollAction::RecordsChanged => {
                let words =
                    n.tier.as_mut().and_then(Tier::roll).map(|(roll, _)| roll.records().copied().collect());
                n.acts.words = words.unwrap_or_default();
            }
        }
    }

    /// A dispatcher asks its agent.
    pub fn ask_list(&mut self, node: usize) {
        let (now, list) = (self.local(node), self.list);
        let n = &mut self.nodes[node];
        let hears = !n.acts.mute && !n.paused;
        let Some((roll, pass_on)) = n.tier.as_mut().and_then(Tier::roll).filter(|_| hears) else { return };
        let first = !std::mem::replace(&mut n.acts.confirmed, true);
        if n.acts.list != list {
            n.acts.listed = Some(now);
        } else if first && n.acts.listed.is_none() {
            roll.confirm(now, Kind::List, pass_on);
            n.acts.listed = Some(now);
        }
        n.acts.list = list;
        roll.set_version(now, Kind::List, list, pass_on);
    }

    /// A dispatcher reads its settings again, if it hears that it should.
    pub fn hangup(&mut self, node: usize) {
        let (now, settings) = (self.local(node), self.settings);
        let n = &mut self.nodes[node];
        let hears = !n.acts.missed && !n.paused;
        let Some((roll, pass_on)) = n.tier.as_mut().and_then(Tier::roll).filter(|_| hears) else { return };
        if n.acts.refuses {
            roll.reject_settings(settings, pass_on);
        } else if n.acts.settings != settings {
            (n.acts.settings, n.acts.settled) = (settings, now);
            roll.set_version(now, Kind::Settings, settings, pass_on);
        }
    }

    /// The staff takes an endpoint out at one dispatcher, or puts it back.
    pub fn cordon(&mut self, node: usize, place: u64, out: bool) {
        let now = self.local(node);
        let n = &mut self.nodes[node];
        if let Some((roll, pass_on)) = n.tier.as_mut().and_then(Tier::roll) {
            roll.set_cordon(now, place, out, pass_on);
        }
        let own = (place, RecordKind::Cordon);
        if out {
            n.acts.held.insert(own)
        } else {
            n.acts.held.remove(&own)
        };
    }

    /// The lists of one dispatcher's agent have an endpoint in service, or not.
    pub fn drains(&mut self, node: usize, drained: &[u64]) {
        let now = self.local(node);
        let n = &mut self.nodes[node];
        if let Some((roll, pass_on)) = n.tier.as_mut().and_then(Tier::roll) {
            roll.set_endpoints(
                now,
                (0..4).map(|p| (PLACE + p, DEST, !drained.contains(&(PLACE + p)))),
                pass_on,
            );
        }
    }

    /// How all are seen from one, on one kind.
    pub fn views(&mut self, node: usize, kind: Kind) -> Vec<View> {
        let now = self.local(node);
        let rows = self.nodes[node].tier.as_mut().map(|tier| tier.peer_statuses(now)).unwrap_or_default();
        rows.into_iter().map(|row| row.views[kind as usize]).collect()
    }

    fn send(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        if share(&mut self.rng) < self.shape.loss {
            return;
        }
        let times = 1 + u64::from(share(&mut self.rng) < self.shape.repeated);
        let [least, most] = self.shape.delay;
        for _ in 0..times {
            self.number += 1;
            let at = self.now + least + ((most - least) as f64 * share(&mut self.rng)) as u64;
            self.flying.push(Reverse((at, self.number, from, to, bytes.clone())));
        }
    }

    /// What one may send a second, by its own clock.
    fn in_use(&self, node: usize) -> f64 {
        self.nodes[node].part.map_or(0.0, |p| if self.local(node) < p.until { p.rate } else { p.after })
    }

    /// Time passes, in steps of 10 ms.
    pub fn pass(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += 10 * MS;
            while self.flying.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((_, _, from, to, bytes))) = self.flying.pop() else { break };
                let (a, b) = (usize::from(from), usize::from(to));
                if self.side[a] != self.side[b] || self.mute[a] || self.deaf[b] {
                    continue;
                }
                let node = &mut self.nodes[b];
                if !node.paused {
                    self.hear(b, from, &bytes);
                } else if node.waiting.len() < SOCKET {
                    node.waiting.push((from, bytes));
                }
            }
            for node in 0..self.nodes.len() {
                self.step(node);
            }
            let sum: f64 =
                (0..self.nodes.len()).filter(|n| !self.nodes[*n].paused).map(|n| self.in_use(n)).sum();
            self.most = self.most.max(sum / self.shape.limit);
        }
    }

    fn step(&mut self, node: usize) {
        if self.nodes[node].paused {
            return;
        }
        let (now, rate, limit) = (self.local(node), self.in_use(node), self.shape.limit);
        let n = &mut self.nodes[node];
        n.backlog = (n.backlog + n.offered / 100.0).min(4.0 * n.offered);
        n.tokens = (n.tokens + rate / 100.0).min((rate / 10.0).max(1.0));
        let Some(tier) = &mut n.tier else { return };
        while n.tokens >= 1.0 && n.backlog >= 1.0 {
            (n.tokens, n.backlog, n.sent) = (n.tokens - 1.0, n.backlog - 1.0, n.sent + 1.0);
            tier.record_call(now, DEST);
            tier.record_result(now, PLACE, CallResult::Served, None);
        }
        if now >= tier.next_round_at() {
            // Its agent has told it for the first time by now.
            let first = n.acts.mute || n.acts.confirmed || self.shape.rules.is_none();
            tier.tick(now, &[Demand { dest: DEST, limit, waiting: n.backlog as usize }]);
            self.carry(node);
            if !first {
                self.ask_list(node);
            }
        }
    }

    /// Calls that all have sent so far.
    pub fn sent(&self) -> f64 {
        self.nodes.iter().map(|node| node.sent).sum()
    }
}

/// From 0 on, under 1.
pub fn share(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / 4_294_967_296.0
}

/// A few are busy, and most are not: the sum is `load` times the limit.
pub fn uneven(dispatchers: u16, limit: f64, load: f64) -> Vec<f64> {
    let weight = |n: u16| if n.is_multiple_of(5) { 4.0 } else { 0.25 };
    let all: f64 = (0..dispatchers).map(weight).sum();
    (0..dispatchers).map(|n| weight(n) / all * limit * load).collect()
}
