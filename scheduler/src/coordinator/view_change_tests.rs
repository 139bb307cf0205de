//! Random membership changes: a coordinator that processes only what has changed must act like one that
//! recomputes everything.

use millpost::RandomSource;
use millpost_protocol::{Instance as ListedInstance, MembershipView};

use super::*;
use crate::recording::Input;

const FUNCTIONS: u64 = 40;

fn peer(n: u64, zone: u64) -> Peer {
    let zone = ["a", "b", "c"][zone as usize].into();
    Peer { name: format!("edge-{n}").into(), address: format!("a-{n}:1").into(), zone }
}

fn service(n: u64) -> CompactString {
    format!("f{n}").into()
}

/// Random source and the state of the simulated controller.
struct FakeController {
    dice: RandomSource,
    count: u64,
    proxies: BTreeMap<u64, u64>,
    split: BTreeSet<u64>,
    view: MembershipView,
    instances: BTreeSet<u64>,
}

impl FakeController {
    fn below(&mut self, n: u64) -> u64 {
        (self.dice.next_f64() * n as f64) as u64
    }

    fn version(&mut self) -> Version {
        self.count += 1;
        (1 + self.count / 400, self.count)
    }

    /// A new membership view, in full or as a change, sometimes a change relative to an unknown version.
    fn view_message(&mut self) -> PeerMessage {
        for _ in 0..=self.below(3) {
            let n = self.below(14);
            if self.proxies.len() > 1 && self.below(3) == 0 {
                self.proxies.remove(&n);
            } else {
                self.proxies.insert(n, n % 3);
            }
        }
        if self.below(6) == 0 {
            let zone = self.below(3);
            self.proxies.insert(0, zone);
        }
        if self.below(3) == 0 {
            let n = self.below(FUNCTIONS);
            if !self.split.remove(&n) && self.split.len() < 5 {
                self.split.insert(n);
            }
        }
        let peers = self.proxies.iter().map(|(n, zone)| peer(*n, *zone)).collect();
        let split: Vec<_> = self.split.iter().map(|n| service(*n)).collect();
        let next = MembershipView::new(self.version(), peers, split);
        let before = std::mem::replace(&mut self.view, next);
        let mut change = self.view.change_from(&before);
        match self.below(8) {
            0 => self.view.to_message(),
            1 => {
                change.from.1 += 1_000_000;
                PeerMessage::ViewChange(change)
            }
            _ => PeerMessage::ViewChange(change),
        }
    }

    fn instances_message(&mut self) -> PeerMessage {
        let (mut set, mut gone) = (Vec::new(), Vec::new());
        let all = self.below(4) == 0;
        for _ in 0..=self.below(4) {
            let n = self.below(80);
            if self.instances.remove(&n) {
                gone.push(format!("i{n}").into());
            } else {
                self.instances.insert(n);
                set.push(n);
            }
        }
        if all {
            set = self.instances.iter().copied().collect();
        }
        let listed = |n: u64| ListedInstance {
            id: format!("i{n}").into(),
            service: service(n % (FUNCTIONS + 2)),
            address: format!("b-{n}:1").into(),
            zone: ["a", "b", "c", "d"][(n % 4) as usize].into(),
            worker: "w".into(),
            stage: (!n.is_multiple_of(5)).into(),
        };
        let set = set.into_iter().map(listed).collect();
        PeerMessage::Instances { version: self.version(), all, set, gone }
    }

    fn request(&mut self, now: Nanos) -> PermitRequest {
        PermitRequest {
            id: 0,
            service: service(self.below(FUNCTIONS)),
            deadline: now + 900 * MS,
            soft_deadline: now + 300 * MS,
            target: 300 * MS,
            attempts_sent: 0,
            returned: self.below(2) == 0,
            avoid: vec![],
            zone: ["a", "b", "c"][self.below(3) as usize].into(),
        }
    }

    /// A permit request from another proxy.
    fn peer_request(&mut self, now: Nanos) -> Input {
        self.count += 1;
        let (id, from) = (self.count, peer(1 + self.below(13), 0).name);
        let PermitRequest { service, zone, .. } = self.request(now);
        let (left, aim, target, first, returned) = (900.0, 300.0, 300.0, true, true);
        let (avoid, sent) = (vec![], 0);
        let message =
            PeerMessage::RequestPermit { id, service, left, aim, target, sent, first, returned, avoid, zone };
        Input::PeerMessages { from, incarnation: 1, messages: vec![message] }
    }
}

fn given(coordinator: &mut Coordinator, now: Nanos, input: Input) -> Vec<Action> {
    input.apply(now, coordinator);
    coordinator.take_actions().into()
}

/// Runs a random input sequence. Returns how often a view change did not apply and how often a function
/// was handed over.
fn run_random_inputs(seed: u64) -> (usize, usize) {
    let limits = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut incremental = Coordinator::new(peer(0, 0), limits.clone(), seed, 0);
    let mut reference = Coordinator::new(peer(0, 0), limits, seed, 0);
    reference.full_recompute = true;
    let (proxies, split, instances) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    let (dice, view) = (RandomSource::seeded(seed), MembershipView::default());
    let mut controller = FakeController { dice, count: 0, proxies, split, view, instances };
    let (mut now, mut granted) = (0, Vec::new());
    let (mut behind, mut released) = (0, 0);
    for _ in 0..1_500 {
        now += controller.below(60) * MS;
        let input = match controller.below(10) {
            0 if controller.below(8) == 0 => {
                let spec = |n| FunctionSpec {
                    name: service(n),
                    concurrency: 2,
                    startup_time: 300 * MS,
                    memory_mb: 1,
                };
                let from = controller.below(6);
                Input::Configure((from..FUNCTIONS).map(spec).collect())
            }
            0 | 1 => Input::ControllerMessage(controller.view_message()),
            2 => Input::ControllerMessage(controller.instances_message()),
            3 | 4 => Input::RequestPermit { ask: controller.request(now), first: true, id: None, of: None },
            5 | 6 => controller.peer_request(now),
            7 if !granted.is_empty() => {
                let at = controller.below(granted.len() as u64) as usize;
                Input::Finish { id: granted.swap_remove(at), outcome: Outcome::Answered, took: 40 * MS }
            }
            8 => Input::InstanceUp(format!("i{}", controller.below(80)).into()),
            _ => Input::Tick,
        };
        let actions = given(&mut incremental, now, input.clone());
        assert_eq!(actions, given(&mut reference, now, input.clone()), "seed {seed}, {input:?}");
        for action in &actions {
            match action {
                Action::Granted { ask: request_id, .. } => granted.push(*request_id),
                Action::NotifyController(PeerMessage::ViewOutdated { version }) => {
                    behind += 1;
                    assert_eq!(*version, incremental.owners.version());
                    let whole = Input::ControllerMessage(controller.view.to_message());
                    assert_eq!(
                        given(&mut incremental, now, whole.clone()),
                        given(&mut reference, now, whole)
                    );
                }
                Action::Send { note: PeerMessage::HandOverPermits { .. }, .. } => released += 1,
                _ => {}
            }
        }
        assert_eq!(incremental.owners.view(), reference.owners.view());
        assert_eq!(
            incremental.scheduler.ownership_state(),
            reference.scheduler.ownership_state(),
            "seed {seed}, {input:?}"
        );
        let in_zone_a = incremental.owners.find("edge-0").is_none_or(|p| p.zone == "a");
        for (name, owned, split) in incremental.scheduler.ownership_state() {
            let expected = incremental.owners.owner(&name, "a", |_| true).is_some_and(|p| p.name == "edge-0");
            assert!(!in_zone_a || owned == expected, "{name}");
            assert_eq!(split, incremental.owners.partition_count(&name) > 1, "{name}");
        }
    }
    (behind, released)
}

#[test]
fn incremental_update_equals_full_recomputation() {
    let (mut behind, mut released) = (0, 0);
    for seed in 0..12 {
        let (behind_here, released_here) = run_random_inputs(seed);
        (behind, released) = (behind + behind_here, released + released_here);
    }
    assert!(behind > 50 && released > 500, "{behind}, {released}");
}
