//! Several desks with mail between them that comes when the test says.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;

use millpost_protocol::{Instance, PeerMessage};
use millpost_scheduler::{
    Action, Coordinator, FunctionSpec, MS, Nanos, Outcome, Owners, Peer, PermitRequest, SECOND,
    SchedulerLimits,
};

pub const T: Nanos = 2 * SECOND;
pub const CONCURRENCY: u32 = 4;

pub struct Town {
    pub desks: BTreeMap<String, Coordinator>,
    /// Mail that has not come yet: from, to, note.
    pub mail: Vec<(String, String, PeerMessage)>,
    /// Granted, by desk: ask and instance.
    pub granted: Vec<(String, u64, String)>,
}

pub fn peer(n: usize) -> Peer {
    let zone = if n >= 100 { "c" } else { ["a", "b"][n % 2] };
    Peer { name: format!("edge-{n}").into(), address: format!("edge-{n}:1").into(), zone: zone.into() }
}

pub fn stalls(version: u64, who: &[usize], split: bool) -> PeerMessage {
    let split = if split { vec!["f".into()] } else { vec![] };
    let peers = who.iter().map(|n| peer(*n)).collect();
    PeerMessage::FullView { version: (1, version), peers, leaving: vec![], split }
}

pub fn owner(who: &[usize], split: bool, zone: &str) -> String {
    let split = split.then(|| "f".into());
    let owners = Owners::new((1, 1), who.iter().map(|n| peer(*n)).collect(), split);
    owners.owner("f", zone, |_| true).expect("one").name.to_string()
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

impl Town {
    /// So many stalls that all have heard of the first naming, and all instances.
    pub fn new(stalls_of: &[usize]) -> Self {
        let mut town = Town { desks: BTreeMap::new(), mail: vec![], granted: vec![] };
        for n in stalls_of {
            let me = peer(*n);
            let terms = SchedulerLimits {
                retry_ratio: 0.2,
                retry_window: 10 * SECOND,
                retry_slack: 50.0,
                requests_per_s: 100.0,
                rank_by_latency: false,
            };
            let mut desk = Coordinator::new(me, terms, *n as u64, 1_000 * *n as u64);
            let spec = FunctionSpec {
                name: "f".into(),
                concurrency: CONCURRENCY,
                startup_time: 400 * MS,
                memory_mb: 128,
            };
            desk.configure(0, [spec].into_iter());
            desk.receive_from_controller(0, stalls(1, stalls_of, false));
            desk.receive_from_controller(0, instances(1));
            town.desks.insert(format!("edge-{n}"), desk);
        }
        let names: Vec<_> = town.desks.keys().cloned().collect();
        names.iter().for_each(|name| town.with(T, name, |desk| desk.tick(T)));
        town
    }

    pub fn with(&mut self, now: Nanos, name: &str, what: impl FnOnce(&mut Coordinator)) {
        let desk = self.desks.get_mut(name).expect("a desk");
        what(desk);
        for out in desk.take_actions() {
            match out {
                Action::Send { to, note } => {
                    self.mail.push((name.into(), to.trim_end_matches(":1").to_owned(), note));
                }
                Action::Granted { ask, instance, .. } => {
                    self.granted.push((name.into(), ask, instance.into()));
                }
                _ => {}
            }
        }
        let _ = now;
    }

    pub fn ask(&mut self, now: Nanos, name: &str) {
        self.with(now, name, |desk| {
            let ask = PermitRequest {
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
            desk.request_permit(now, ask, true);
        });
    }

    /// Mail comes, but for what goes to those that are named.
    pub fn post(&mut self, now: Nanos, but: &[&str]) {
        loop {
            let Some(at) = self.mail.iter().position(|(_, to, _)| !but.contains(&to.as_str())) else {
                return;
            };
            let (from, to, note) = self.mail.remove(at);
            if self.desks.contains_key(&to) {
                self.with(now, &to, |desk| desk.receive(now, &from, 1, vec![note]));
            }
        }
    }

    /// Granted and not done yet, by instance.
    pub fn out(&self) -> BTreeMap<&str, usize> {
        let mut out = BTreeMap::new();
        self.granted.iter().for_each(|(.., i)| *out.entry(i.as_str()).or_default() += 1);
        out
    }

    pub fn within_limits(&self) -> bool {
        self.out().values().all(|n| *n <= CONCURRENCY as usize)
    }

    /// So many of those that are out are over.
    pub fn finish(&mut self, now: Nanos, count: usize) {
        for _ in 0..count.min(self.granted.len()) {
            let (name, id, _) = self.granted.remove(0);
            self.with(now, &name, |desk| desk.finish(now, id, Outcome::Answered, 50 * MS));
        }
    }
}

pub const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
