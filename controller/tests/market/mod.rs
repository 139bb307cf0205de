//! Stalls' desks on the feed of control machines in memory, with endpoints whose times a test says: what a move does to owners and
//! to requests. Each step is 5 ms; what happens is the same each time.

use std::collections::{BTreeMap, BTreeSet};

use hyper::Method;
use millpost_config::{Config, JsonCursor, change};
use millpost_controller::core::Input;
use millpost_net::messaging;
use millpost_net::pack::unpack;
use millpost_protocol::{PeerMessage, object, text};
use millpost_scheduler::{
    Action, Coordinator, DenialReason, FunctionSpec, Outcome, Peer, PermitRequest, SECOND, SchedulerLimits,
};
use tinyjson::JsonValue;

use crate::cluster::{Cluster, MS};

const STEP: u64 = 5 * MS;
/// From when an instance may be up to when it is.
const BOOT: u64 = 250 * MS;

/// How an endpoint of a function answers, with so many requests of the function under way.
pub type Serves = fn(service: &str, busy: usize) -> (Outcome, u64);

enum Event {
    Over { stall: usize, ask: u64, service: String, outcome: Outcome, took: u64 },
    Up { stall: usize, instance: String },
    Mail { from: usize, to: usize, note: PeerMessage },
}

struct Stall {
    peer: Peer,
    desk: Coordinator,
    config: Option<Config>,
    up: bool,
    says: Vec<PeerMessage>,
}

pub struct Market {
    pub cluster: Cluster,
    stalls: Vec<Stall>,
    seats: BTreeMap<(usize, u64), usize>,
    follows: BTreeMap<u64, usize>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    serves: Serves,
    /// Requests a second, over all routes in turn.
    pub rate: u64,
    asked: u64,
    /// Requests that were asked for, each once.
    pub asks: usize,
    open: BTreeMap<(usize, u64), String>,
    busy: BTreeMap<String, usize>,
    /// Requests by what became of them: the function and how its endpoint answered, or why there was none.
    pub told: BTreeMap<String, usize>,
    /// Functions that owners told of how they do.
    pub does: BTreeSet<String>,
    /// Instances that were let go.
    pub retired: Vec<String>,
    /// Floors that stalls were told of.
    pub floors: usize,
}

impl Market {
    /// Three control machines and three stalls, with a configuration in force.
    pub fn new(config: &str, serves: Serves) -> Self {
        let mut market = Market {
            cluster: Cluster::new(3, 0),
            stalls: Vec::new(),
            seats: BTreeMap::new(),
            follows: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            serves,
            rate: 0,
            asked: 0,
            asks: 0,
            open: BTreeMap::new(),
            busy: BTreeMap::new(),
            told: BTreeMap::new(),
            does: BTreeSet::new(),
            retired: Vec::new(),
            floors: 0,
        };
        market.cluster.workers = 16_000;
        assert!(market.cluster.until(4_000 * MS, |cluster| cluster.leader().is_some()), "no steward");
        market.cluster.run(4_000 * MS);
        for n in 0..3 {
            let peer = Peer {
                name: format!("edge-{n}").into(),
                address: format!("edge-{n}").into(),
                zone: "z".into(),
            };
            let terms = SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 10 * SECOND,
                retry_slack: 50.0,
                requests_per_s: 1e6,
                rank_by_latency: false,
            };
            let desk = Coordinator::new(peer.clone(), terms, n, 1_000_000 * n);
            market.stalls.push(Stall { peer, desk, config: None, up: true, says: Vec::new() });
            for machine in 0..3 {
                let body =
                    letter(&format!("edge-{n}"), &[PeerMessage::ConfigApplied { revision: 0, number: 0 }]);
                let id = market.cluster.call(machine, Method::POST, "/follow", &body);
                market.follows.insert(id, n as usize);
            }
        }
        market.cluster.put(0, config);
        market.run(6_000);
        market
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.cluster.now + ms * MS;
        while self.cluster.now < end {
            self.step();
        }
    }

    /// Steps until that is so.
    pub fn until(&mut self, ms: u64, done: impl Fn(&mut Self) -> bool) -> bool {
        let end = self.cluster.now + ms * MS;
        while !done(self) {
            if self.cluster.now >= end {
                return false;
            }
            self.run(50);
        }
        true
    }

    /// A stall is no more.
    pub fn kill(&mut self, n: usize) {
        self.stalls[n].up = false;
        for ((machine, seat), _) in self.seats.iter().filter(|(_, of)| **of == n) {
            self.cluster.input(*machine, Input::FeedClosed(*seat));
        }
    }

    /// Who owns a function.
    pub fn owner(&self, service: &str) -> usize {
        let stall = self.stalls.iter().find(|s| s.up).expect("a stall");
        let owner = stall.desk.owners().owner(service, "z", |_| true).expect("an owner").name.clone();
        self.stalls.iter().position(|s| s.peer.name == owner).expect("a stall")
    }

    /// Instances of a function that its owner knows to work.
    pub fn ready(&self, service: &str) -> usize {
        let of = self.stalls[self.owner(service)].desk.scheduler();
        let ready = |i: &&millpost_scheduler::Instance| {
            i.service == service && i.stage == millpost_scheduler::Stage::Ready
        };
        of.owned_instances().filter(ready).count()
    }

    /// The configuration that stalls act on, the oldest.
    pub fn config(&self) -> &Config {
        let all = self.stalls.iter().filter(|s| s.up).filter_map(|s| s.config.as_ref());
        all.min_by_key(|c| c.revision).expect("a configuration")
    }

    /// An operator's order, until it is answered clearly.
    pub fn order(&mut self, order: &str) -> (u16, String) {
        for _ in 0..40 {
            let Some(n) = self.cluster.leader() else {
                self.run(250);
                continue;
            };
            let id = self.cluster.call(n, Method::POST, "/core/moves", order);
            self.until(5_000, |market| market.cluster.answer_to(id).is_some());
            if let Some((status, body)) = self.cluster.answer_to(id).filter(|(status, _)| *status != 503) {
                return (status, body.to_owned());
            }
        }
        let last = self.cluster.answers.last_key_value();
        panic!("no clear answer to {order}: {:?}, {:?}, {last:?}", self.cluster.leader(), self.told);
    }

    /// What the leader tells of a move.
    pub fn tells(&mut self, name: &str) -> String {
        let Some(n) = self.cluster.leader() else { return String::new() };
        let id = self.cluster.call(n, Method::GET, &format!("/core/moves?name={name}"), "");
        self.cluster.run(self.cluster.now);
        self.cluster.answer_to(id).map(|(_, body)| body.to_owned()).unwrap_or_default()
    }

    pub fn is(&mut self, name: &str, step: &str) -> bool {
        self.tells(name).contains(&format!(r#""step":"{step}""#))
    }

    fn later(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn step(&mut self) {
        let now = self.cluster.now + STEP;
        self.cluster.run(now);
        let seated: Vec<_> = self.cluster.seats.iter().map(|(id, seat)| (*id, *seat)).collect();
        self.seats.extend(seated.into_iter().filter_map(|(id, seat)| Some((seat, *self.follows.get(&id)?))));
        for (machine, seat, line) in std::mem::take(&mut self.cluster.lines) {
            if let Some(n) = self.seats.get(&(machine, seat)).copied().filter(|n| self.stalls[*n].up) {
                self.line(now, n, &line);
            }
        }
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
            let event = entry.remove();
            self.event(now, event);
        }
        let asks = now * self.rate / SECOND - self.asked.min(now * self.rate / SECOND);
        for _ in 0..if self.asked == 0 { asks.min(1) } else { asks } {
            self.ask(now);
        }
        self.asked = now * self.rate / SECOND;
        for n in 0..self.stalls.len() {
            if self.stalls[n].up && now.is_multiple_of(25 * MS) {
                self.stalls[n].desk.tick(now);
            }
            self.carry_out(now, n);
            self.say(now, n);
        }
    }

    fn line(&mut self, now: u64, n: usize, line: &[u8]) {
        let Some(JsonValue::Object(parts)) = messaging::json(line) else { return };
        let Some(JsonValue::Array(notes)) = parts.get("notes") else { return };
        let stall = &mut self.stalls[n];
        for note in notes {
            let unpacked = |packed: &str| messaging::json(unpack(packed, 1 << 20)?.as_bytes());
            let old = stall.config.as_ref();
            let new = match PeerMessage::read(note).expect("a note") {
                PeerMessage::Config { body, .. } => Config::read(&JsonCursor::root(&body)).ok(),
                PeerMessage::PackedConfig { packed, .. } => {
                    unpacked(&packed).and_then(|body| Config::read(&JsonCursor::root(&body)).ok())
                }
                PeerMessage::Patch { change, .. } => old.and_then(|old| change::apply(old, &change).ok()),
                PeerMessage::PackedPatch { packed, .. } => {
                    old.zip(unpacked(&packed)).and_then(|(old, change)| change::apply(old, &change).ok())
                }
                PeerMessage::Leader { .. } => None,
                note => {
                    self.floors += usize::from(matches!(note, PeerMessage::MinInstances { .. }));
                    stall.desk.receive_from_controller(now, note);
                    None
                }
            };
            let Some(new) = new.filter(|new| old.is_none_or(|old| old.revision < new.revision)) else {
                continue;
            };
            stall.says.push(PeerMessage::ConfigApplied { revision: new.revision, number: 0 });
            let specs = new.services.iter().map(|s| FunctionSpec {
                name: s.name.clone(),
                concurrency: s.concurrency,
                startup_time: s.boot_ms * MS,
                memory_mb: s.memory_mb,
            });
            if old.is_none_or(|old| old.services != new.services) {
                stall.desk.configure(now, specs);
            }
            stall.config = Some(new);
        }
    }

    fn event(&mut self, now: u64, event: Event) {
        match event {
            Event::Over { stall, ask, service, outcome, took } => {
                *self.busy.entry(service.clone()).or_default() -= 1;
                *self.told.entry(format!("{service} {}", outcome.as_str())).or_default() += 1;
                if self.stalls[stall].up {
                    self.stalls[stall].desk.finish(now, ask, outcome, took);
                }
            }
            Event::Up { stall, instance } if self.stalls[stall].up => {
                if self.stalls[stall].desk.is_booting(&instance) {
                    self.stalls[stall].desk.instance_up(now, &instance);
                }
            }
            Event::Mail { from, to, note } if self.stalls[to].up => {
                let name = self.stalls[from].peer.name.clone();
                self.stalls[to].desk.receive(now, &name, 1, vec![note]);
            }
            Event::Up { .. } | Event::Mail { .. } => {}
        }
    }

    fn ask(&mut self, now: u64) {
        self.count += 1;
        let n = self.count as usize % self.stalls.len();
        let stall = &mut self.stalls[n];
        let Some(config) = stall.config.as_ref().filter(|_| stall.up) else { return };
        let route = &config.routes[self.count as usize / 3 % config.routes.len()];
        let service = route.pick(self.count).expect("a service").clone();
        let (deadline, target) = (now + route.deadline_ms * MS, route.target_latency_ms * MS);
        let ask = PermitRequest {
            id: 0,
            service: service.clone(),
            deadline,
            soft_deadline: now + target,
            target,
            attempts_sent: 0,
            returned: false,
            avoid: vec![],
            zone: "z".into(),
        };
        if let Some(id) = stall.desk.request_permit(now, ask, true) {
            self.asks += 1;
            self.open.insert((n, id), service.into());
        }
    }

    fn carry_out(&mut self, now: u64, n: usize) {
        if !self.stalls[n].up {
            return;
        }
        for out in self.stalls[n].desk.take_actions() {
            match out {
                Action::Send { to, note } => {
                    let to = self.stalls.iter().position(|s| s.peer.address == to).expect("a stall");
                    self.later(now + STEP, Event::Mail { from: n, to, note });
                }
                Action::Granted { ask, .. } => {
                    let service = self.open.remove(&(n, ask)).expect("an ask, granted once");
                    let busy = self.busy.entry(service.clone()).or_default();
                    *busy += 1;
                    let (outcome, took) = (self.serves)(&service, *busy);
                    self.later(now + took, Event::Over { stall: n, ask, service, outcome, took });
                }
                Action::Refused { ask, reason: no } => {
                    let service = self.open.remove(&(n, ask)).expect("an ask");
                    let why = if matches!(no, DenialReason::Full(_)) { "full" } else { no.as_str() };
                    *self.told.entry(format!("{service} no: {why}")).or_default() += 1;
                }
                Action::NotifyController(note) => {
                    match &note {
                        PeerMessage::RetireInstance { instance } => self.retired.push(instance.to_string()),
                        PeerMessage::DesiredInstances { service, does: Some(_), .. } => {
                            self.does.insert(service.to_string());
                        }
                        _ => {}
                    }
                    self.stalls[n].says.push(note);
                }
                Action::ProbeReadiness { instance, from } => {
                    let instance = instance.id.to_string();
                    self.later(from.max(now) + BOOT, Event::Up { stall: n, instance });
                }
            }
        }
    }

    /// The stall's words, and its beat.
    fn say(&mut self, now: u64, n: usize) {
        let stall = &mut self.stalls[n];
        if !stall.up {
            return;
        }
        if now.is_multiple_of(450 * MS) {
            let (split, digest) = (stall.desk.view_split(), stall.desk.view_digest());
            stall.says.push(PeerMessage::Heartbeat {
                peer: stall.peer.clone(),
                serving: true,
                split,
                digest,
            });
            let revision = stall.config.as_ref().map_or(0, |c| c.revision);
            stall.says.push(PeerMessage::ConfigApplied { revision, number: 0 });
        }
        let says = std::mem::take(&mut stall.says);
        if !says.is_empty() {
            let body = letter(&stall.peer.name.clone(), &says);
            for machine in 0..3 {
                self.cluster.call(machine, Method::POST, "/mail", &body);
            }
        }
    }
}

fn letter(from: &str, notes: &[PeerMessage]) -> String {
    let notes = notes.iter().map(PeerMessage::to_json).collect();
    let all = [("from", text(from)), ("life", JsonValue::Number(1.0)), ("notes", JsonValue::Array(notes))];
    object(all).stringify().expect("finite")
}
