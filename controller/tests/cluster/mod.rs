//! Controllers in memory, with simulated disks, a network with a latency of 2 ms, and a simulated clock. Runs
//! are deterministic.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use compact_str::CompactString;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use millpost_autoscaler::{Endpoint, Worker};
use millpost_controller::contact::GossipReply;
use millpost_controller::core::{Core, CoreOptions, Effect, Input, PlatformLimits, ReplyTarget};
use millpost_controller::leadership::{self, PlatformCall, PlatformReply};
use millpost_controller::placement::{Location, LossTolerance};
use millpost_net::messaging::{Call, Content, Reply, json};
use millpost_quorum::{Address, Key, Members, Message, Voter, Write};
use tinyjson::JsonValue;

pub const MS: u64 = 1_000_000;
const LATENCY: u64 = 2 * MS;

enum Event {
    Input(Input),
    /// A message for the local voter. The reply goes to the given machine, or answers the given call.
    VoterMessage(Address, Message, Result<(usize, ReplyTarget), u64>),
    PlatformCall(PlatformCall),
}

/// Where a machine is, whether it was added to the running system, and its `grace_s` in nanoseconds.
#[derive(Clone)]
struct Place {
    zone: CompactString,
    added: bool,
    grace: u64,
}

struct Machine {
    place: Place,
    core: Core,
    voter: Voter,
    /// The records that the voter has written.
    disk: BTreeMap<String, String>,
    wake: u64,
    up: bool,
    /// All events are delayed until then.
    frozen_until: u64,
    side: u32,
    /// Receives messages from other sides of a partition, which do not receive its messages.
    hears_others: bool,
    reported: Option<(bool, Option<Members>)>,
}

#[derive(Default)]
pub struct Cluster {
    pub now: u64,
    /// With any value but 0, messages take up to 20 ms, and one in 32 is lost.
    pub seed: u64,
    machines: Vec<Machine>,
    seeds: Vec<Address>,
    grace: u64,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    count: u64,
    /// Replies by call, with their times.
    pub replies: BTreeMap<u64, (u64, StatusCode, String)>,
    fetch_calls: BTreeMap<u64, (usize, u64)>,
    /// Gossip calls in progress: the sender, and when it sent them.
    gossip_calls: BTreeMap<u64, (usize, u64)>,
    /// The machines that fetched a configuration, once per fetch.
    pub fetches: Vec<usize>,
    /// Calls to the platform that were made, and those that missed their deadline: when, and by which
    /// machine.
    pub platform_calls: Vec<(u64, usize, PlatformCall)>,
    pub late_calls: Vec<(u64, usize)>,
    /// Memory of the first worker in MB; the second has half of it. With 0 there are no workers, and starts get no reply.
    pub workers: u64,
    /// Started instances and their start times; the list shows them after a delay.
    pub started: Vec<(u64, Endpoint)>,
    next_instance: usize,
    /// Feed lines, by machine and connection; and the feeds, by the call that opened them.
    pub lines: Vec<(usize, u64, Bytes)>,
    pub feeds: BTreeMap<u64, (usize, u64)>,
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

/// Returns the options of a machine.
fn options(n: usize, life: u64, seeds: &[Address], Place { zone, added, grace }: &Place) -> CoreOptions {
    CoreOptions {
        me: address(n),
        life,
        seeds: seeds.to_vec(),
        tolerance: LossTolerance::of_machines(seeds.len() as u32 / 2),
        location: Location { zone: zone.clone(), region: "r".into() },
        added: *added,
        contact_timeout: 4_000 * MS,
        config_apply_time: 3_000 * MS,
        shutdown_grace: *grace,
        platform: Some(PlatformLimits { duty_per_s: 20.0, max_lag_ms: 100, rate_per_s: 20.0 }),
        sink: None,
    }
}

impl Cluster {
    /// Creates a cluster of voters, and of spares that start without a state.
    pub fn new(voters: usize, spares: usize) -> Self {
        Self::in_zones(voters, &vec!["z"; voters + spares], 6_000 * MS)
    }

    /// Creates a cluster of one machine for each of these zones; the first ones vote. `grace` is their `grace_s`.
    pub fn in_zones(voters: usize, zones: &[&str], grace: u64) -> Self {
        let seeds: Vec<_> = (0..voters).map(address).collect();
        let mut cluster = Cluster { seeds: seeds.clone(), grace, ..Cluster::default() };
        for (n, zone) in zones.iter().enumerate() {
            cluster.push_machine(zone, false);
            if n < voters {
                let first = Members::initial("u", seeds.iter().cloned());
                let Machine { voter, disk, .. } = &mut cluster.machines[n];
                voter.bootstrap(first).commit(|batch| write(disk, batch)).expect("written");
            }
        }
        cluster
    }

    /// Sets the seeds of processes that start from now on.
    pub fn set_seeds(&mut self, machines: &[usize]) {
        self.seeds = machines.iter().copied().map(address).collect();
    }

    /// Adds a machine with an empty disk to the running system, and returns its number.
    pub fn add(&mut self, zone: &str) -> usize {
        self.push_machine(zone, true);
        self.machines.len() - 1
    }

    fn push_machine(&mut self, zone: &str, added: bool) {
        let (n, life, seeds) = (self.machines.len(), self.now / MS + 1, self.seeds.clone());
        let place = Place { zone: zone.into(), added, grace: self.grace };
        self.machines.push(Machine {
            core: Core::new(options(n, life, &seeds, &place)),
            voter: Voter::open(address(n), [], seeds, life, self.now).expect("empty"),
            place,
            disk: BTreeMap::new(),
            wake: self.now,
            up: true,
            frozen_until: 0,
            side: 0,
            hears_others: false,
            reported: None,
        });
    }

    pub fn core(&self, n: usize) -> &Core {
        &self.machines[n].core
    }

    pub fn leader(&self) -> Option<usize> {
        let mut leaders = (0..self.machines.len()).filter(|n| self.machines[*n].core.is_leader());
        leaders.next().filter(|n| self.machines[*n].up && leaders.next().is_none())
    }

    /// Returns whether a machine stores a record of migrations.
    pub fn stores_migrations(&self, n: usize) -> bool {
        self.machines[n].voter.slot(Key::Migrations).is_some()
    }

    /// Returns the number of machines that store this revision.
    pub fn holders(&self, revision: u64) -> usize {
        let version = |m: &Machine| Some(m.voter.slot(Key::Config)?.accepted.as_ref()?.value.version);
        self.machines.iter().filter(|m| version(m) == Some(revision)).count()
    }

    /// Draws the next pseudo-random number below `below`.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 33) % below
    }

    /// Returns when a message sent now arrives; `None` if it is lost.
    fn arrival(&mut self, from: usize, to: usize) -> Option<u64> {
        let reachable = self.machines[from].side == self.machines[to].side || self.machines[to].hears_others;
        if self.seed == 0 || from == to {
            return reachable.then_some(self.now + LATENCY);
        }
        let arrives = self.now + LATENCY + self.draw(18) * MS;
        (self.draw(32) > 0 && reachable).then_some(arrives)
    }

    /// Returns whether a machine has decided on a call to the platform that has not begun.
    pub fn has_pending_platform_call(&self, n: usize) -> bool {
        self.queue.values().any(|(of, event)| *of == n && matches!(event, Event::PlatformCall(_)))
    }

    pub fn down(&mut self, n: usize) {
        self.machines[n].up = false;
    }

    /// Switches a machine on again, with its process in the state in which it was.
    pub fn up(&mut self, n: usize) {
        self.machines[n].up = true;
    }

    /// Returns the size of a machine's records in bytes.
    pub fn disk_bytes(&self, n: usize) -> usize {
        self.machines[n].disk.values().map(String::len).sum()
    }

    pub fn freeze(&mut self, n: usize, until: u64) {
        self.machines[n].frozen_until = until;
    }

    /// Moves a machine to a side of a network partition.
    pub fn cut(&mut self, n: usize, side: u32) {
        self.machines[n].side = side;
    }

    /// Sets whether a machine receives messages from other sides.
    pub fn set_hears_others(&mut self, n: usize, hears: bool) {
        self.machines[n].hears_others = hears;
    }

    /// Ends a machine's process and starts another one on its disk.
    pub fn restart(&mut self, n: usize) {
        self.queue.retain(|_, (of, _)| *of != n);
        let records = self.machines[n].disk.clone();
        let (life, seeds) = (self.now / MS + 2, self.seeds.clone());
        let voter = Voter::open(address(n), records, seeds.clone(), life, self.now).expect("its records");
        self.machines[n].voter = voter;
        self.machines[n].core = Core::new(options(n, life, &seeds, &self.machines[n].place));
        (self.machines[n].wake, self.machines[n].reported) = (self.now, None);
    }

    /// Ends a machine's process and starts another one on an empty disk. Nothing tells it from one that was added.
    pub fn wipe(&mut self, n: usize) {
        self.machines[n].disk.clear();
        self.machines[n].place.added = true;
        self.restart(n);
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

    /// Returns a field of a machine's status for operators.
    pub fn status(&mut self, n: usize, key: &str) -> JsonValue {
        let id = self.call(n, Method::GET, "/core", "");
        self.run(self.now);
        let JsonValue::Object(mut all) = json(self.replies[&id].2.as_bytes()).expect("JSON") else {
            panic!("no object")
        };
        all.remove(key).expect("a field")
    }

    fn push(&mut self, at: u64, n: usize, event: Event) {
        self.count += 1;
        self.queue.insert((at, self.count), (n, event));
    }

    /// Advances the clock until the condition holds; returns false after `timeout`.
    pub fn until(&mut self, timeout: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + timeout;
        while !done(self) {
            if self.now >= end {
                return false;
            }
            self.run(self.now + MS);
        }
        true
    }

    /// Advances the clock to `end`.
    pub fn run(&mut self, end: u64) {
        loop {
            let due = |m: &Machine| {
                let voter = m.voter.next_wake().unwrap_or(u64::MAX);
                if m.up { m.wake.min(voter).max(m.frozen_until) } else { u64::MAX }
            };
            let next = (0..self.machines.len()).map(|n| (due(&self.machines[n]), n)).min();
            let (at, n) = next.expect("machines");
            if let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= at.min(end)) {
                let ((at, _), (n, event)) = entry.remove_entry();
                self.now = self.now.max(at);
                match &self.machines[n] {
                    machine if !machine.up => {}
                    machine if machine.frozen_until > self.now => self.push(machine.frozen_until, n, event),
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
            Event::VoterMessage(from, message, target) => {
                let Machine { voter, disk, .. } = &mut self.machines[n];
                let step = voter.handle(self.now, &from, message);
                let Ok(Some(answer)) = step.commit(|batch| write(disk, batch)) else { return };
                match target {
                    Ok((to, ReplyTarget::Round(id))) => {
                        self.deliver(n, to, Input::RoundReply(id, address(n), answer))
                    }
                    Ok((to, ReplyTarget::Lease)) => {
                        self.deliver(n, to, Input::LeaseReply(address(n), answer))
                    }
                    Ok((to, ReplyTarget::Voter)) => {
                        self.push(self.now + LATENCY, to, Event::VoterMessage(address(n), answer, Err(0)));
                    }
                    Err(_) => {}
                }
            }
            Event::PlatformCall(call) => {
                let (fence, decided_at) = (call.fence, call.decided_at);
                let reply = match call.clone().begin(self.now) {
                    Ok(request) => {
                        self.platform_calls.push((self.now, n, call));
                        self.platform(request)
                    }
                    Err(reply) => {
                        self.late_calls.push((self.now, n));
                        reply
                    }
                };
                self.push(
                    self.now + LATENCY,
                    n,
                    Event::Input(Input::PlatformReply(fence, decided_at, reply)),
                );
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
                let id = CompactString::from(format!("i-{}", self.next_instance));
                let address = ([10, 1, 0, self.next_instance as u8], 80).into();
                self.next_instance += 1;
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

    fn deliver(&mut self, from: usize, to: usize, input: Input) {
        if let Some(at) = self.arrival(from, to) {
            self.push(at, to, Event::Input(input));
        }
    }

    fn tick(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        let status =
            (machine.voter.state() == millpost_quorum::State::Voting, machine.voter.members().cloned());
        if machine.reported.as_ref() != Some(&status) {
            machine.reported = Some(status.clone());
            machine.core.handle(self.now, Input::VoterStatus(status.0, status.1));
        }
        machine.core.tick(self.now);
        machine.wake = machine.core.next_wake(self.now);
        self.effects(n);
    }

    fn effects(&mut self, n: usize) {
        for effect in self.machines[n].core.take_effects() {
            match effect {
                Effect::SendToVoter(to, message, target) => {
                    let to = (0..self.machines.len()).find(|n| address(*n) == to).expect("a machine");
                    if let Some(at) = self.arrival(n, to) {
                        self.push(at, to, Event::VoterMessage(address(n), message, Ok((n, target))));
                    }
                }
                Effect::AskLocalVoter(id, from, message) => {
                    self.push(self.now, n, Event::VoterMessage(from, message, Err(id)));
                }
                Effect::Reply(id, reply) => self.record_reply(n, id, reply),
                Effect::Gossip(to, body) => {
                    let to = (0..self.machines.len()).find(|n| address(*n) == to).expect("a machine");
                    if self.arrival(n, to).is_some() && self.machines[to].up {
                        let body = String::from_utf8_lossy(&body).into_owned();
                        let id = self.call(to, Method::POST, "/core/news", &body);
                        self.gossip_calls.insert(id, (n, self.now));
                    }
                }
                Effect::ReadLocalConfig(number) => {
                    let slot = self.machines[n].voter.slot(Key::Config);
                    let value = slot.and_then(|slot| slot.accepted.as_ref()).map(|a| a.value.clone());
                    self.push(self.now + LATENCY, n, Event::Input(Input::LocalConfig(number, value)));
                }
                Effect::FetchConfig(number, from) => {
                    self.fetches.push(n);
                    let from = (0..self.machines.len()).find(|n| address(*n) == from).expect("a machine");
                    if self.arrival(n, from).is_some() {
                        let id = self.call(from, Method::GET, "/core/chosen", "");
                        self.fetch_calls.insert(id, (n, number));
                    }
                }
                Effect::PlatformCall(call) => self.push(self.now + LATENCY, n, Event::PlatformCall(call)),
                Effect::OpenFeed(id, connection, line) => {
                    self.feeds.insert(id, (n, connection));
                    self.lines.push((n, connection, line));
                }
                Effect::FeedLine(connection, line) => self.lines.push((n, connection, line)),
                Effect::CloseFeed(_) | Effect::Heartbeat => {}
            }
        }
    }

    fn record_reply(&mut self, n: usize, id: u64, reply: Reply) {
        let Content::Whole(body) = reply.content else { panic!("a streamed reply") };
        let body = String::from_utf8_lossy(&body).into_owned();
        if let Some((to, number)) = self.fetch_calls.remove(&id) {
            let text = (reply.status == StatusCode::OK).then(|| body.clone());
            self.deliver(n, to, Input::FetchedConfig(number, text));
        }
        if let Some((to, sent)) = self.gossip_calls.remove(&id)
            && let Some(reply) = GossipReply::decode(sent, body.as_bytes())
        {
            self.deliver(n, to, Input::GossipReply(address(n), reply));
        }
        let before = self.replies.insert(id, (self.now, reply.status, body));
        assert!(before.is_none(), "call {id} was answered twice");
    }

    /// Returns the status and body of the reply to a call.
    pub fn reply_to(&self, id: u64) -> Option<(u16, &str)> {
        self.replies.get(&id).map(|(_, status, body)| (status.as_u16(), body.as_str()))
    }

    /// Returns the distinct configurations that running machines hold as chosen.
    pub fn chosen(&mut self) -> BTreeSet<String> {
        let up: Vec<_> = (0..self.machines.len()).filter(|n| self.machines[*n].up).collect();
        let ids: Vec<_> = up.iter().map(|n| self.call(*n, Method::GET, "/core/chosen", "")).collect();
        self.run(self.now);
        ids.iter().map(|id| self.replies[id].2.clone()).collect()
    }
}
