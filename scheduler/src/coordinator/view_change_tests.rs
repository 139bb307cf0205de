//! Random membership changes: a coordinator that processes only what has changed must act like one that
//! recomputes everything.

use millpost::Dice;
use millpost_protocol::{Instance as Told, MembershipView};

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
struct World {
    dice: Dice,
    count: u64,
    stalls: BTreeMap<u64, u64>,
    split: BTreeSet<u64>,
    named: MembershipView,
    instances: BTreeSet<u64>,
}

impl World {
    fn below(&mut self, n: u64) -> u64 {
        (self.dice.share() * n as f64) as u64
    }

    fn version(&mut self) -> Version {
        self.count += 1;
        (1 + self.count / 400, self.count)
    }

    /// A new membership view, in full or as a change, sometimes a change relative to an unknown version.
    fn naming(&mut self) -> PeerMessage {
        for _ in 0..=self.below(3) {
            let n = self.below(14);
            if self.stalls.len() > 1 && self.below(3) == 0 {
                self.stalls.remove(&n);
            } else {
                self.stalls.insert(n, n % 3);
            }
        }
        if self.below(6) == 0 {
            let zone = self.below(3);
            self.stalls.insert(0, zone);
        }
        if self.below(3) == 0 {
            let n = self.below(FUNCTIONS);
            if !self.split.remove(&n) && self.split.len() < 5 {
                self.split.insert(n);
            }
        }
        let peers = self.stalls.iter().map(|(n, zone)| peer(*n, *zone)).collect();
        let split: Vec<_> = self.split.iter().map(|n| service(*n)).collect();
        let next = MembershipView::new(self.version(), peers, split);
        let before = std::mem::replace(&mut self.named, next);
        let mut shift = self.named.shift(&before);
        match self.below(8) {
            0 => self.named.note(),
            1 => {
                shift.from.1 += 1_000_000;
                PeerMessage::ViewChange(shift)
            }
            _ => PeerMessage::ViewChange(shift),
        }
    }

    fn told(&mut self) -> PeerMessage {
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
        let told = |n: u64| Told {
            id: format!("i{n}").into(),
            service: service(n % (FUNCTIONS + 2)),
            address: format!("b-{n}:1").into(),
            zone: ["a", "b", "c", "d"][(n % 4) as usize].into(),
            worker: "w".into(),
            stage: (!n.is_multiple_of(5)).into(),
        };
        let set = set.into_iter().map(told).collect();
        PeerMessage::Instances { version: self.version(), all, set, gone }
    }

    fn ask(&mut self, now: Nanos) -> PermitRequest {
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
    fn mail(&mut self, now: Nanos) -> Input {
        self.count += 1;
        let (id, from) = (self.count, peer(1 + self.below(13), 0).name);
        let PermitRequest { service, zone, .. } = self.ask(now);
        let (left, aim, target, first, returned) = (900.0, 300.0, 300.0, true, true);
        let (avoid, sent) = (vec![], 0);
        let note = PeerMessage::Ask { id, service, left, aim, target, sent, first, returned, avoid, zone };
        Input::PeerMessages { from, incarnation: 1, messages: vec![note] }
    }
}

fn given(desk: &mut Coordinator, now: Nanos, input: Input) -> Vec<Action> {
    input.apply(now, desk);
    desk.take_actions().into()
}

/// Runs a random input sequence. Returns how often a view change did not apply and how often a function
/// was handed over.
fn play(seed: u64) -> (usize, usize) {
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut quick = Coordinator::new(peer(0, 0), terms.clone(), seed, 0);
    let mut plain = Coordinator::new(peer(0, 0), terms, seed, 0);
    plain.full_recompute = true;
    let (stalls, split, instances) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    let (dice, named) = (Dice::seeded(seed), MembershipView::default());
    let mut world = World { dice, count: 0, stalls, split, named, instances };
    let (mut now, mut granted) = (0, Vec::new());
    let (mut behind, mut parted) = (0, 0);
    for _ in 0..1_500 {
        now += world.below(60) * MS;
        let input = match world.below(10) {
            0 if world.below(8) == 0 => {
                let spec = |n| FunctionSpec {
                    name: service(n),
                    concurrency: 2,
                    startup_time: 300 * MS,
                    memory_mb: 1,
                };
                let from = world.below(6);
                Input::Configure((from..FUNCTIONS).map(spec).collect())
            }
            0 | 1 => Input::ControllerMessage(world.naming()),
            2 => Input::ControllerMessage(world.told()),
            3 | 4 => Input::RequestPermit { ask: world.ask(now), first: true, id: None, of: None },
            5 | 6 => world.mail(now),
            7 if !granted.is_empty() => {
                let at = world.below(granted.len() as u64) as usize;
                Input::Finish { id: granted.swap_remove(at), outcome: Outcome::Answered, took: 40 * MS }
            }
            8 => Input::InstanceUp(format!("i{}", world.below(80)).into()),
            _ => Input::Tick,
        };
        let outs = given(&mut quick, now, input.clone());
        assert_eq!(outs, given(&mut plain, now, input.clone()), "seed {seed}, {input:?}");
        for out in &outs {
            match out {
                Action::Granted { ask, .. } => granted.push(*ask),
                Action::NotifyController(PeerMessage::Behind { version }) => {
                    behind += 1;
                    assert_eq!(*version, quick.owners.version());
                    let whole = Input::ControllerMessage(world.named.note());
                    assert_eq!(given(&mut quick, now, whole.clone()), given(&mut plain, now, whole));
                }
                Action::Send { note: PeerMessage::Over { .. }, .. } => parted += 1,
                _ => {}
            }
        }
        assert_eq!(quick.owners.view(), plain.owners.view());
        assert_eq!(
            quick.scheduler.ownership_state(),
            plain.scheduler.ownership_state(),
            "seed {seed}, {input:?}"
        );
        let home = quick.owners.find("edge-0").is_none_or(|p| p.zone == "a");
        for (name, owned, split) in quick.scheduler.ownership_state() {
            let mine = quick.owners.owner(&name, "a", |_| true).is_some_and(|p| p.name == "edge-0");
            assert!(!home || owned == mine, "{name}");
            assert_eq!(split, quick.owners.partition_count(&name) > 1, "{name}");
        }
    }
    (behind, parted)
}

#[test]
fn what_is_worked_out_of_a_change_is_what_is_worked_out_of_all() {
    let (mut behind, mut parted) = (0, 0);
    for seed in 0..12 {
        let (b, p) = play(seed);
        (behind, parted) = (behind + b, parted + p);
    }
    assert!(behind > 50 && parted > 500, "{behind}, {parted}");
}
