//! Proxies' schedulers on the feed of controllers in memory, with endpoints that a test models: shows what a
//! migration does to owners and to requests. Each step takes 5 ms; runs are deterministic.

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
/// Time from when an instance may accept connections until it does.
const BOOT_TIME: u64 = 250 * MS;

/// Returns how an endpoint of a function answers and after which time, given the number of running requests
/// of the function.
pub type EndpointModel = fn(service: &str, running: usize) -> (Outcome, u64);

enum Event {
    Finished { proxy: usize, ask: u64, service: String, outcome: Outcome, took: u64 },
    Up { proxy: usize, instance: String },
    Message { from: usize, to: usize, message: PeerMessage },
}

struct Proxy {
    peer: Peer,
    coordinator: Coordinator,
    config: Option<Config>,
    up: bool,
    outbox: Vec<PeerMessage>,
}

pub struct Deployment {
    pub cluster: Cluster,
    proxies: Vec<Proxy>,
    feeds: BTreeMap<(usize, u64), usize>,
    follow_calls: BTreeMap<u64, usize>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    model: EndpointModel,
    /// Requests per second, spread over all routes in turn.
    pub rate: u64,
    requests_due: u64,
    /// Number of requests that were made.
    pub requests: usize,
    open_requests: BTreeMap<(usize, u64), String>,
    running: BTreeMap<String, usize>,
    /// Number of requests by function and outcome, or by function and reason of refusal.
    pub outcomes: BTreeMap<String, usize>,
    /// Functions whose status was reported by owners.
    pub reported_functions: BTreeSet<String>,
    /// Instances that were retired.
    pub retired: Vec<String>,
    /// Number of messages with a minimum number of instances that proxies received.
    pub min_instances_messages: usize,
}

impl Deployment {
    /// Creates three controllers and three proxies, with a configuration in force.
    pub fn new(config: &str, model: EndpointModel) -> Self {
        let mut deployment = Deployment {
            cluster: Cluster::new(3, 0),
            proxies: Vec::new(),
            feeds: BTreeMap::new(),
            follow_calls: BTreeMap::new(),
            events: BTreeMap::new(),
            count: 0,
            model,
            rate: 0,
            requests_due: 0,
            requests: 0,
            open_requests: BTreeMap::new(),
            running: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            reported_functions: BTreeSet::new(),
            retired: Vec::new(),
            min_instances_messages: 0,
        };
        deployment.cluster.workers = 16_000;
        assert!(deployment.cluster.until(4_000 * MS, |cluster| cluster.leader().is_some()), "no leader");
        deployment.cluster.run(4_000 * MS);
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
            let coordinator = Coordinator::new(peer.clone(), terms, n, 1_000_000 * n);
            deployment.proxies.push(Proxy { peer, coordinator, config: None, up: true, outbox: Vec::new() });
            for machine in 0..3 {
                let body =
                    batch(&format!("edge-{n}"), &[PeerMessage::ConfigApplied { revision: 0, number: 0 }]);
                let id = deployment.cluster.call(machine, Method::POST, "/follow", &body);
                deployment.follow_calls.insert(id, n as usize);
            }
        }
        deployment.cluster.put(0, config);
        deployment.run(6_000);
        deployment
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.cluster.now + ms * MS;
        while self.cluster.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds; returns false after `ms`.
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

    /// Stops a proxy for good.
    pub fn kill(&mut self, n: usize) {
        self.proxies[n].up = false;
        for ((machine, connection), _) in self.feeds.iter().filter(|(_, proxy)| **proxy == n) {
            self.cluster.input(*machine, Input::FeedClosed(*connection));
        }
    }

    /// Returns the owner of a function.
    pub fn owner(&self, service: &str) -> usize {
        let proxy = self.proxies.iter().find(|p| p.up).expect("a proxy");
        let owner = proxy.coordinator.owners().owner(service, "z", |_| true).expect("an owner").name.clone();
        self.proxies.iter().position(|p| p.peer.name == owner).expect("a proxy")
    }

    /// Returns the number of instances of a function that its owner knows to be ready.
    pub fn ready(&self, service: &str) -> usize {
        let scheduler = self.proxies[self.owner(service)].coordinator.scheduler();
        let ready = |i: &&millpost_scheduler::Instance| {
            i.service == service && i.stage == millpost_scheduler::Stage::Ready
        };
        scheduler.owned_instances().filter(ready).count()
    }

    /// Returns the oldest configuration that a running proxy has applied.
    pub fn config(&self) -> &Config {
        let all = self.proxies.iter().filter(|p| p.up).filter_map(|p| p.config.as_ref());
        all.min_by_key(|c| c.revision).expect("a configuration")
    }

    /// Sends an operator's order until it gets a definite reply.
    pub fn order(&mut self, order: &str) -> (u16, String) {
        for _ in 0..40 {
            let Some(n) = self.cluster.leader() else {
                self.run(250);
                continue;
            };
            let id = self.cluster.call(n, Method::POST, "/core/moves", order);
            self.until(5_000, |deployment| deployment.cluster.reply_to(id).is_some());
            if let Some((status, body)) = self.cluster.reply_to(id).filter(|(status, _)| *status != 503) {
                return (status, body.to_owned());
            }
        }
        let last = self.cluster.replies.last_key_value();
        panic!("no definite reply to {order}: {:?}, {:?}, {last:?}", self.cluster.leader(), self.outcomes);
    }

    /// Returns what the leader reports about a migration.
    pub fn migration_status(&mut self, name: &str) -> String {
        let Some(n) = self.cluster.leader() else { return String::new() };
        let id = self.cluster.call(n, Method::GET, &format!("/core/moves?name={name}"), "");
        self.cluster.run(self.cluster.now);
        self.cluster.reply_to(id).map(|(_, body)| body.to_owned()).unwrap_or_default()
    }

    pub fn is_at_step(&mut self, name: &str, step: &str) -> bool {
        self.migration_status(name).contains(&format!(r#""step":"{step}""#))
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn step(&mut self) {
        let now = self.cluster.now + STEP;
        self.cluster.run(now);
        let opened: Vec<_> = self.cluster.feeds.iter().map(|(id, connection)| (*id, *connection)).collect();
        self.feeds.extend(
            opened
                .into_iter()
                .filter_map(|(id, connection)| Some((connection, *self.follow_calls.get(&id)?))),
        );
        for (machine, connection, line) in std::mem::take(&mut self.cluster.lines) {
            if let Some(n) = self.feeds.get(&(machine, connection)).copied().filter(|n| self.proxies[*n].up) {
                self.on_feed_line(now, n, &line);
            }
        }
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= now) {
            let event = entry.remove();
            self.event(now, event);
        }
        let due = now * self.rate / SECOND - self.requests_due.min(now * self.rate / SECOND);
        for _ in 0..if self.requests_due == 0 { due.min(1) } else { due } {
            self.start_request(now);
        }
        self.requests_due = now * self.rate / SECOND;
        for n in 0..self.proxies.len() {
            if self.proxies[n].up && now.is_multiple_of(25 * MS) {
                self.proxies[n].coordinator.tick(now);
            }
            self.carry_out(now, n);
            self.send_messages(now, n);
        }
    }

    fn on_feed_line(&mut self, now: u64, n: usize, line: &[u8]) {
        let Some(JsonValue::Object(parts)) = messaging::json(line) else { return };
        let Some(JsonValue::Array(messages)) = parts.get("notes") else { return };
        let proxy = &mut self.proxies[n];
        for message in messages {
            let unpacked = |packed: &str| messaging::json(unpack(packed, 1 << 20)?.as_bytes());
            let old = proxy.config.as_ref();
            let new = match PeerMessage::read(message).expect("a message") {
                PeerMessage::Config { body, .. } => Config::read(&JsonCursor::root(&body)).ok(),
                PeerMessage::PackedConfig { packed, .. } => {
                    unpacked(&packed).and_then(|body| Config::read(&JsonCursor::root(&body)).ok())
                }
                PeerMessage::Patch { change, .. } => old.and_then(|old| change::apply(old, &change).ok()),
                PeerMessage::PackedPatch { packed, .. } => {
                    old.zip(unpacked(&packed)).and_then(|(old, change)| change::apply(old, &change).ok())
                }
                PeerMessage::Leader { .. } => None,
                message => {
                    self.min_instances_messages +=
                        usize::from(matches!(message, PeerMessage::MinInstances { .. }));
                    proxy.coordinator.receive_from_controller(now, message);
                    None
                }
            };
            let Some(new) = new.filter(|new| old.is_none_or(|old| old.revision < new.revision)) else {
                continue;
            };
            proxy.outbox.push(PeerMessage::ConfigApplied { revision: new.revision, number: 0 });
            let specs = new.services.iter().map(|s| FunctionSpec {
                name: s.name.clone(),
                concurrency: s.concurrency,
                startup_time: s.boot_ms * MS,
                memory_mb: s.memory_mb,
            });
            if old.is_none_or(|old| old.services != new.services) {
                proxy.coordinator.configure(now, specs);
            }
            proxy.config = Some(new);
        }
    }

    fn event(&mut self, now: u64, event: Event) {
        match event {
            Event::Finished { proxy, ask, service, outcome, took } => {
                *self.running.entry(service.clone()).or_default() -= 1;
                *self.outcomes.entry(format!("{service} {}", outcome.as_str())).or_default() += 1;
                if self.proxies[proxy].up {
                    self.proxies[proxy].coordinator.finish(now, ask, outcome, took);
                }
            }
            Event::Up { proxy, instance } if self.proxies[proxy].up => {
                if self.proxies[proxy].coordinator.is_booting(&instance) {
                    self.proxies[proxy].coordinator.instance_up(now, &instance);
                }
            }
            Event::Message { from, to, message } if self.proxies[to].up => {
                let name = self.proxies[from].peer.name.clone();
                self.proxies[to].coordinator.receive(now, &name, 1, vec![message]);
            }
            Event::Up { .. } | Event::Message { .. } => {}
        }
    }

    fn start_request(&mut self, now: u64) {
        self.count += 1;
        let n = self.count as usize % self.proxies.len();
        let proxy = &mut self.proxies[n];
        let Some(config) = proxy.config.as_ref().filter(|_| proxy.up) else { return };
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
        if let Some(id) = proxy.coordinator.request_permit(now, ask, true) {
            self.requests += 1;
            self.open_requests.insert((n, id), service.into());
        }
    }

    fn carry_out(&mut self, now: u64, n: usize) {
        if !self.proxies[n].up {
            return;
        }
        for out in self.proxies[n].coordinator.take_actions() {
            match out {
                Action::Send { to, note: message } => {
                    let to = self.proxies.iter().position(|p| p.peer.address == to).expect("a proxy");
                    self.schedule(now + STEP, Event::Message { from: n, to, message });
                }
                Action::Granted { ask, .. } => {
                    let service = self.open_requests.remove(&(n, ask)).expect("a request, granted once");
                    let running = self.running.entry(service.clone()).or_default();
                    *running += 1;
                    let (outcome, took) = (self.model)(&service, *running);
                    self.schedule(now + took, Event::Finished { proxy: n, ask, service, outcome, took });
                }
                Action::Refused { ask, reason: no } => {
                    let service = self.open_requests.remove(&(n, ask)).expect("a request");
                    let why = if matches!(no, DenialReason::Full(_)) { "full" } else { no.as_str() };
                    *self.outcomes.entry(format!("{service} no: {why}")).or_default() += 1;
                }
                Action::NotifyController(message) => {
                    match &message {
                        PeerMessage::RetireInstance { instance } => self.retired.push(instance.to_string()),
                        PeerMessage::DesiredInstances { service, does: Some(_), .. } => {
                            self.reported_functions.insert(service.to_string());
                        }
                        _ => {}
                    }
                    self.proxies[n].outbox.push(message);
                }
                Action::ProbeReadiness { instance, from } => {
                    let instance = instance.id.to_string();
                    self.schedule(from.max(now) + BOOT_TIME, Event::Up { proxy: n, instance });
                }
            }
        }
    }

    /// Sends the proxy's pending messages and, every 450 ms, its heartbeat.
    fn send_messages(&mut self, now: u64, n: usize) {
        let proxy = &mut self.proxies[n];
        if !proxy.up {
            return;
        }
        if now.is_multiple_of(450 * MS) {
            let (split, digest) = (proxy.coordinator.view_split(), proxy.coordinator.view_digest());
            proxy.outbox.push(PeerMessage::Heartbeat {
                peer: proxy.peer.clone(),
                serving: true,
                split,
                digest,
            });
            let revision = proxy.config.as_ref().map_or(0, |c| c.revision);
            proxy.outbox.push(PeerMessage::ConfigApplied { revision, number: 0 });
        }
        let messages = std::mem::take(&mut proxy.outbox);
        if !messages.is_empty() {
            let body = batch(&proxy.peer.name.clone(), &messages);
            for machine in 0..3 {
                self.cluster.call(machine, Method::POST, "/mail", &body);
            }
        }
    }
}

fn batch(from: &str, messages: &[PeerMessage]) -> String {
    let messages = messages.iter().map(PeerMessage::to_json).collect();
    let all = [("from", text(from)), ("life", JsonValue::Number(1.0)), ("notes", JsonValue::Array(messages))];
    object(all).stringify().expect("finite")
}
