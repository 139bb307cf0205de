//! Several coordinators that exchange messages, delivered when the test says so.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;

use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{
    Action, Coordinator, FunctionSpec, MS, Nanos, Outcome, Owners, Peer, PermitRequest, SECOND,
    SchedulerLimits,
};

pub const T: Nanos = 2 * SECOND;
pub const CONCURRENCY: u32 = 4;

pub struct Cluster {
    pub coordinators: BTreeMap<String, Coordinator>,
    /// Messages in transit: sender, receiver address, message.
    pub in_transit: Vec<(String, String, PeerMessage)>,
    /// Grants: proxy, request id and instance.
    pub granted: Vec<(String, u64, String)>,
}

pub fn peer(n: usize) -> Peer {
    let zone = if n >= 100 { "c" } else { ["a", "b"][n % 2] };
    Peer { name: format!("edge-{n}").into(), address: format!("edge-{n}:1").into(), zone: zone.into() }
}

pub fn full_view(version: u64, who: &[usize], split: bool) -> PeerMessage {
    let split = if split { vec!["f".into()] } else { vec![] };
    let peers = who.iter().map(|n| peer(*n)).collect();
    PeerMessage::FullView { version: (1, version), peers, leaving: vec![], split }
}

pub fn owner(who: &[usize], split: bool, zone: &str) -> String {
    let split = split.then(|| "f".into());
    let owners = Owners::new((1, 1), who.iter().map(|n| peer(*n)).collect(), split);
    owners.owner("f", zone, |_| true).expect("an owner").name.to_string()
}

pub fn instances(version: u64) -> PeerMessage {
    let instance = |n: usize| Instance {
        id: format!("i-{n}").into(),
        service: "f".into(),
        address: format!("10.0.0.{n}:80").into(),
        zone: ["a", "b"][n % 2].into(),
        worker: "w".into(),
        stage: 1,
    };
    PeerMessage::Instances {
        version: (1, version),
        all: true,
        set: (0..4).map(instance).collect(),
        gone: vec![],
    }
}

impl Cluster {
    /// Creates the proxies of these numbers; all know the first view and all instances.
    pub fn new(numbers: &[usize]) -> Self {
        let mut cluster = Cluster { coordinators: BTreeMap::new(), in_transit: vec![], granted: vec![] };
        for n in numbers {
            let me = peer(*n);
            let limits = SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 10 * SECOND,
                retry_slack: 50.0,
                requests_per_s: 100.0,
                rank_by_latency: false,
            };
            let mut coordinator = Coordinator::new(me, limits, *n as u64, 1_000 * *n as u64);
            let spec = FunctionSpec {
                name: "f".into(),
                concurrency: CONCURRENCY,
                startup_time: 400 * MS,
                memory_mb: 128,
            };
            coordinator.configure(0, [spec].into_iter());
            coordinator.receive_from_controller(0, full_view(1, numbers, false));
            coordinator.receive_from_controller(0, instances(1));
            cluster.coordinators.insert(format!("edge-{n}"), coordinator);
        }
        let names: Vec<_> = cluster.coordinators.keys().cloned().collect();
        names.iter().for_each(|name| cluster.with(T, name, |coordinator| coordinator.tick(T)));
        cluster
    }

    pub fn with(&mut self, now: Nanos, name: &str, what: impl FnOnce(&mut Coordinator)) {
        let coordinator = self.coordinators.get_mut(name).expect("a coordinator");
        what(coordinator);
        for out in coordinator.take_actions() {
            match out {
                Action::Send { to, note: message } => {
                    self.in_transit.push((name.into(), to.trim_end_matches(":1").to_owned(), message));
                }
                Action::Granted { ask: request_id, instance, .. } => {
                    self.granted.push((name.into(), request_id, instance.into()));
                }
                _ => {}
            }
        }
        let _ = now;
    }

    pub fn request(&mut self, now: Nanos, name: &str) {
        self.with(now, name, |coordinator| {
            let request = PermitRequest {
                id: 0,
                service: "f".into(),
                deadline: now + 4 * SECOND,
                soft_deadline: now + 300 * MS,
                target: 300 * MS,
                attempts_sent: 0,
                returned: true,
                avoid: vec![],
                zone: peer(name[5..].parse().expect("a number")).zone,
            };
            coordinator.request_permit(now, request, true);
        });
    }

    /// Delivers messages, except those to the proxies in `but`.
    pub fn deliver(&mut self, now: Nanos, but: &[&str]) {
        loop {
            let Some(at) = self.in_transit.iter().position(|(_, to, _)| !but.contains(&to.as_str())) else {
                return;
            };
            let (from, to, message) = self.in_transit.remove(at);
            if self.coordinators.contains_key(&to) {
                self.with(now, &to, |coordinator| coordinator.receive(now, &from, 1, vec![message]));
            }
        }
    }

    /// Number of outstanding permits by instance.
    pub fn out(&self) -> BTreeMap<&str, usize> {
        let mut out = BTreeMap::new();
        self.granted.iter().for_each(|(.., i)| *out.entry(i.as_str()).or_default() += 1);
        out
    }

    pub fn within_limits(&self) -> bool {
        self.out().values().all(|n| *n <= CONCURRENCY as usize)
    }

    /// Ends this many of the outstanding requests.
    pub fn finish(&mut self, now: Nanos, count: usize) {
        for _ in 0..count.min(self.granted.len()) {
            let (name, id, _) = self.granted.remove(0);
            self.with(now, &name, |coordinator| coordinator.finish(now, id, Outcome::Answered, 50 * MS));
        }
    }
}

pub const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
