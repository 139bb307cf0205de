//! Control machines in memory: their floors and voters, a network that takes 2 ms, a clock that is turned by hand. What happens is the
//! same each time.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use millpost_autoscaler::{Endpoint, Worker};
use millpost_controller::contact::GossipReply;
use millpost_controller::core::{Core, CoreOptions, Effect, Input, PlatformLimits, ReplyTarget};
use millpost_controller::leadership::{self, PlatformCall, PlatformReply};
use millpost_net::messaging::{Call, Content, Reply, json};
use millpost_quorum::{Address, Key, Members, Message, Voter, Write};
use tinyjson::JsonValue;

pub const MS: u64 = 1_000_000;
const WAY: u64 = 2 * MS;

enum Event {
    Input(Input),
    /// For the voter here; its answer goes to that machine, or is that call's.
    Vote(Address, Message, Result<(usize, ReplyTarget), u64>),
    Begin(PlatformCall),
}

struct Machine {
    core: Core,
    voter: Voter,
    /// What its voter has written.
    disk: BTreeMap<String, String>,
    wake: u64,
    up: bool,
    /// Nothing happens to it before.
    frozen: u64,
    side: u32,
    /// It hears those of other sides, though they don't hear it.
    hears: bool,
    told: Option<(bool, Option<Members>)>,
}

#[derive(Default)]
pub struct Cluster {
    pub now: u64,
    /// With any but 0, messages take up to 20 ms, and one in 32 is lost.
    pub luck: u64,
    machines: Vec<Machine>,
    seeds: Vec<Address>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    count: u64,
    /// Answers by call, with their time.
    pub answers: BTreeMap<u64, (u64, StatusCode, String)>,
    fetchers: BTreeMap<u64, (usize, u64)>,
    /// News under way: whose, and when they were sent.
    tellers: BTreeMap<u64, (usize, u64)>,
    /// Fetches by machine.
    pub fetches: Vec<usize>,
    /// Calls to the platform that went out, and those that were kept back: when, and by whom.
    pub went: Vec<(u64, usize, PlatformCall)>,
    pub kept_back: Vec<(u64, usize)>,
    /// Memory that a worker has, and another half of; with none nothing starts.
    pub workers: u64,
    /// Instances that were started: when, and what the list shows of each a while later.
    pub started: Vec<(u64, Endpoint)>,
    names: usize,
    /// Lines for porters, by machine and seat; first those of calls that follow, by the call.
    pub lines: Vec<(usize, u64, Bytes)>,
    pub seats: BTreeMap<u64, (usize, u64)>,
}

pub fn address(n: usize) -> Address {
    format!("10.0.0.{n}:1").into()
}

pub fn config(revision: u64, service: &str) -> String {
    format!(
        r#"{{"revision":{revision},"routes":[],"services":[{{"name":"{service}","boot_ms":300,"memory_mb":128,"concurrency":1}}],"limits":{{}}}}"#
    )
}

fn write(disk: &mut BTreeMap<String, String>, batch: &[Write]) -> Result<(), ()> {
    disk.extend(batch.iter().map(|record| (record.key.clone(), record.text.clone())));
    Ok(())
}

/// What a machine starts from.
fn start(n: usize, life: u64, seeds: &[Address]) -> CoreOptions {
    CoreOptions {
        me: address(n),
        life,
        seeds: seeds.to_vec(),
        tolerated_losses: seeds.len() as u32 / 2,
        contact_timeout: 4_000 * MS,
        config_apply_time: 3_000 * MS,
        shutdown_grace: 6_000 * MS,
        platform: Some(PlatformLimits { duty_per_s: 20.0, max_lag_ms: 100, rate_per_s: 20.0 }),
        sink: None,
    }
}

impl Cluster {
    /// So many voters, and machines beside them that start with nothing.
    pub fn new(voters: usize, spares: usize) -> Self {
        let seeds: Vec<_> = (0..voters).map(address).collect();
        let mut cluster = Cluster { seeds: seeds.clone(), ..Cluster::default() };
        for n in 0..voters + spares {
            let mut voter = Voter::open(address(n), [], seeds.clone(), 1, 0).expect("empty");
            let mut disk = BTreeMap::new();
            if n < voters {
                let first = Members::initial("u", seeds.iter().cloned());
                voter.bootstrap(first).commit(|batch| write(&mut disk, batch)).expect("written");
            }
            let core = Core::new(start(n, 1, &seeds));
            let (wake, up, frozen, side, hears, told) = (0, true, 0, 0, false, None);
            cluster.machines.push(Machine { core, voter, disk, wake, up, frozen, side, hears, told });
        }
        cluster
    }

    pub fn core(&self, n: usize) -> &Core {
        &self.machines[n].core
    }

    pub fn leader(&self) -> Option<usize> {
        let mut leaders = (0..self.machines.len()).filter(|n| self.machines[*n].core.is_leader());
        leaders.next().filter(|n| self.machines[*n].up && leaders.next().is_none())
    }

    /// Whether a machine has anything of moves on its disk.
    pub fn holds_moves(&self, n: usize) -> bool {
        self.machines[n].voter.slot(Key::Migrations).is_some()
    }

    /// Who holds this revision on disk.
    pub fn holders(&self, revision: u64) -> usize {
        let version = |m: &Machine| Some(m.voter.slot(Key::Config)?.accepted.as_ref()?.value.version);
        self.machines.iter().filter(|m| version(m) == Some(revision)).count()
    }

    /// The next number below this one, drawn from the luck.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.luck = self.luck.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.luck >> 33) % below
    }

    /// When what is sent now arrives, if it does.
    fn way(&mut self, from: usize, to: usize) -> Option<u64> {
        let whole = self.machines[from].side == self.machines[to].side || self.machines[to].hears;
        if self.luck == 0 || from == to {
            return whole.then_some(self.now + WAY);
        }
        let arrives = self.now + WAY + self.draw(18) * MS;
        (self.draw(32) > 0 && whole).then_some(arrives)
    }

    /// Whether a call to the platform is decided on and has not begun.
    pub fn in_hand(&self, n: usize) -> bool {
        self.queue.values().any(|(of, event)| *of == n && matches!(event, Event::Begin(_)))
    }

    pub fn down(&mut self, n: usize) {
        self.machines[n].up = false;
    }

    /// It has power again.
    pub fn up(&mut self, n: usize) {
        self.machines[n].up = true;
    }

    /// Bytes of a machine's records.
    pub fn disk_bytes(&self, n: usize) -> usize {
        self.machines[n].disk.values().map(String::len).sum()
    }

    pub fn freeze(&mut self, n: usize, until: u64) {
        self.machines[n].frozen = until;
    }

    /// Machines of one side hear those of another no more.
    pub fn cut(&mut self, n: usize, side: u32) {
        self.machines[n].side = side;
    }

    /// Whether a machine that is cut off still hears the others.
    pub fn hears_across(&mut self, n: usize, hears: bool) {
        self.machines[n].hears = hears;
    }

    /// A machine's process ends, and another begins on its disk.
    pub fn restart(&mut self, n: usize) {
        self.queue.retain(|_, (of, _)| *of != n);
        let records = self.machines[n].disk.clone();
        let (life, seeds) = (self.now / MS + 2, self.seeds.clone());
        let voter = Voter::open(address(n), records, seeds.clone(), life, self.now).expect("its records");
        self.machines[n].voter = voter;
        self.machines[n].core = Core::new(start(n, life, &seeds));
        (self.machines[n].wake, self.machines[n].told) = (self.now, None);
    }

    pub fn input(&mut self, n: usize, input: Input) {
        self.push(self.now, n, Event::Input(input));
    }

    pub fn call(&mut self, n: usize, method: Method, path: &str, body: &str) -> u64 {
        let (path, query) = path.split_once('?').map_or((path, None), |(path, query)| (path, Some(query)));
        self.count += 1;
        let call = Call {
            method,
            path: path.to_owned(),
            query: query.map(str::to_owned),
            headers: HeaderMap::new(),
            body: Bytes::copy_from_slice(body.as_bytes()),
            peer: ([127, 0, 0, 1], 1).into(),
        };
        let id = self.count;
        self.push(self.now, n, Event::Input(Input::Call(id, call)));
        id
    }

    pub fn put(&mut self, n: usize, text: &str) -> u64 {
        self.call(n, Method::POST, "/Config.Replace", text)
    }

    pub fn read(&mut self, n: usize) -> u64 {
        self.call(n, Method::GET, "/Config.Read", "")
    }

    /// A field of what a machine says to operators.
    pub fn status(&mut self, n: usize, key: &str) -> JsonValue {
        let id = self.call(n, Method::GET, "/core", "");
        self.run(self.now);
        let JsonValue::Object(mut all) = json(self.answers[&id].2.as_bytes()).expect("JSON") else {
            panic!("no object")
        };
        all.remove(key).expect("a field")
    }

    fn push(&mut self, at: u64, n: usize, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), (n, event));
    }

    /// Turns the clock on, up to what is true.
    pub fn until(&mut self, longest: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + longest;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.run(self.now + MS);
        }
        true
    }

    /// Turns the clock on.
    pub fn run(&mut self, end: u64) {
        loop {
            let due = |m: &Machine| {
                let voter = m.voter.next_wake().unwrap_or(u64::MAX);
                if m.up { m.wake.min(voter).max(m.frozen) } else { u64::MAX }
            };
            let next = (0..self.machines.len()).map(|n| (due(&self.machines[n]), n)).min();
            let (at, n) = next.expect("machines");
            if let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= at.min(end)) {
                let ((at, _), (n, event)) = entry.remove_entry();
                self.now = self.now.max(at);
                match &self.machines[n] {
                    machine if !machine.up => {}
                    machine if machine.frozen > self.now => self.push(machine.frozen, n, event),
                    _ => self.event(n, event),
                }
            } else if at <= end {
                self.now = self.now.max(at);
                let out = self.machines[n].voter.on_tick(self.now);
                if !out.is_empty() {
                    self.event(n, Event::Input(Input::VoterRequests(out)));
                }
                self.tick(n);
            } else {
                self.now = end;
                return;
            }
        }
    }

    fn event(&mut self, n: usize, event: Event) {
        match event {
            Event::Input(input) => {
                self.machines[n].core.handle(self.now, input);
                self.effects(n);
                self.machines[n].wake = self.machines[n].core.next_wake(self.now);
            }
            Event::Vote(from, message, back) => {
                let Machine { voter, disk, .. } = &mut self.machines[n];
                let step = voter.handle(self.now, &from, message);
                let Ok(Some(answer)) = step.commit(|batch| write(disk, batch)) else { return };
                match back {
                    Ok((to, ReplyTarget::Round(id))) => {
                        self.hand(n, to, Input::RoundReply(id, address(n), answer))
                    }
                    Ok((to, ReplyTarget::Lease)) => self.hand(n, to, Input::LeaseReply(address(n), answer)),
                    Ok((to, ReplyTarget::Voter)) => {
                        self.push(self.now + WAY, to, Event::Vote(address(n), answer, Err(0)));
                    }
                    Err(_) => {}
                }
            }
            Event::Begin(errand) => {
                let (fence, asked) = (errand.fence, errand.decided_at);
                let heard = match errand.clone().begin(self.now) {
                    Ok(call) => {
                        self.went.push((self.now, n, errand));
                        self.platform(call)
                    }
                    Err(heard) => {
                        self.kept_back.push((self.now, n));
                        heard
                    }
                };
                self.push(self.now + WAY, n, Event::Input(Input::PlatformReply(fence, asked, heard)));
            }
        }
    }

    fn platform(&mut self, call: leadership::Call) -> PlatformReply {
        match call {
            leadership::Call::List { .. } => {
                let up = self.started.iter().filter(|(at, _)| at + 400 * MS < self.now);
                PlatformReply::Listed(Some((up.map(|(_, entry)| entry.clone()).collect(), None)))
            }
            leadership::Call::Workers => {
                let worker = |(name, mb): (&str, u64)| Worker {
                    name: name.into(),
                    zone: "z".into(),
                    memory_mb: mb,
                    free_memory_mb: mb,
                    draining: false,
                };
                let all = [("w-1", self.workers), ("w-2", self.workers / 2)];
                let all = all.map(worker).into_iter().filter(|worker| worker.memory_mb > 0);
                PlatformReply::Workers(Some(all.collect()))
            }
            leadership::Call::Start { service, worker, nonce } if self.workers > 0 => {
                let id = CompactString::from(format!("i-{}", self.names));
                let address = ([10, 1, 0, self.names as u8], 80).into();
                self.names += 1;
                let entry = Endpoint {
                    id: id.clone(),
                    service,
                    address,
                    zone: "z".into(),
                    worker: Some(worker),
                    draining: false,
                };
                self.started.push((self.now, entry));
                PlatformReply::Started { nonce, answer: Ok((id, address)) }
            }
            leadership::Call::Stop { id } => {
                self.started.retain(|(_, entry)| entry.id != id);
                PlatformReply::Stopped { id, answer: Ok(()) }
            }
            call => call.unanswered(),
        }
    }

    fn hand(&mut self, from: usize, to: usize, input: Input) {
        if let Some(at) = self.way(from, to) {
            self.push(at, to, Event::Input(input));
        }
    }

    fn tick(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        let standing =
            (machine.voter.state() == millpost_quorum::State::Voting, machine.voter.members().cloned());
        if machine.told.as_ref() != Some(&standing) {
            machine.told = Some(standing.clone());
            machine.core.handle(self.now, Input::VoterStatus(standing.0, standing.1));
        }
        machine.core.tick(self.now);
        machine.wake = machine.core.next_wake(self.now);
        self.effects(n);
    }

    fn effects(&mut self, n: usize) {
        for effect in self.machines[n].core.take_effects() {
            match effect {
                Effect::SendToVoter(to, message, back) => {
                    let to = (0..self.machines.len()).find(|n| address(*n) == to).expect("a machine");
                    if let Some(at) = self.way(n, to) {
                        self.push(at, to, Event::Vote(address(n), message, Ok((n, back))));
                    }
                }
                Effect::AskLocalVoter(id, from, message) => {
                    self.push(self.now, n, Event::Vote(from, message, Err(id)));
                }
                Effect::Reply(id, reply) => self.answer(n, id, reply),
                Effect::Gossip(to, body) => {
                    let to = (0..self.machines.len()).find(|n| address(*n) == to).expect("a machine");
                    if self.way(n, to).is_some() && self.machines[to].up {
                        let body = String::from_utf8_lossy(&body).into_owned();
                        let id = self.call(to, Method::POST, "/core/news", &body);
                        self.tellers.insert(id, (n, self.now));
                    }
                }
                Effect::ReadLocalConfig(number) => {
                    let slot = self.machines[n].voter.slot(Key::Config);
                    let value = slot.and_then(|slot| slot.accepted.as_ref()).map(|a| a.value.clone());
                    self.push(self.now + WAY, n, Event::Input(Input::LocalConfig(number, value)));
                }
                Effect::FetchConfig(number, from) => {
                    self.fetches.push(n);
                    let from = (0..self.machines.len()).find(|n| address(*n) == from).expect("a machine");
                    if self.way(n, from).is_some() {
                        let id = self.call(from, Method::GET, "/core/chosen", "");
                        self.fetchers.insert(id, (n, number));
                    }
                }
                Effect::PlatformCall(errand) => self.push(self.now + WAY, n, Event::Begin(errand)),
                Effect::OpenFeed(id, seat, line) => {
                    self.seats.insert(id, (n, seat));
                    self.lines.push((n, seat, line));
                }
                Effect::FeedLine(seat, line) => self.lines.push((n, seat, line)),
                Effect::CloseFeed(_) | Effect::Heartbeat => {}
            }
        }
    }

    fn answer(&mut self, n: usize, id: u64, reply: Reply) {
        let Content::Whole(body) = reply.content else { panic!("a held answer") };
        let body = String::from_utf8_lossy(&body).into_owned();
        if let Some((to, number)) = self.fetchers.remove(&id) {
            let text = (reply.status == StatusCode::OK).then(|| body.clone());
            self.hand(n, to, Input::FetchedConfig(number, text));
        }
        if let Some((to, sent)) = self.tellers.remove(&id)
            && let Some(answered) = GossipReply::decode(sent, body.as_bytes())
        {
            self.hand(n, to, Input::GossipReply(address(n), answered));
        }
        let before = self.answers.insert(id, (self.now, reply.status, body));
        assert!(before.is_none(), "call {id} is answered twice");
    }

    /// The status and body of a call's answer.
    pub fn answer_to(&self, id: u64) -> Option<(u16, &str)> {
        self.answers.get(&id).map(|(_, status, body)| (status.as_u16(), body.as_str()))
    }

    /// Different texts that the machines which are up hold as chosen.
    pub fn chosen(&mut self) -> BTreeSet<String> {
        let up: Vec<_> = (0..self.machines.len()).filter(|n| self.machines[*n].up).collect();
        let ids: Vec<_> = up.iter().map(|n| self.call(*n, Method::GET, "/core/chosen", "")).collect();
        self.run(self.now);
        ids.iter().map(|id| self.answers[id].2.clone()).collect()
    }
}
