//! A seeded simulation of voters, proposers, membership changes and leases on an unreliable network with
//! unreliable disks. It checks that a reported version is never lost, that a version always has the same
//! content, and that a lease has one holder at a time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use millpost_quorum::*;
use yare::parameterized;

const MS: u64 = 1_000_000;

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        (self.0 ^ (self.0 >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 20
    }

    fn below(&mut self, most: u64) -> u64 {
        self.next() % most
    }

    fn one_in(&mut self, of: u64) -> bool {
        self.below(of) == 0
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Event {
    Deliver(Address, Address, Box<Message>),
    Voter(Address, u64),
    Start(Address),
    Client(usize),
    Fault,
}

struct Machine {
    disk: BTreeMap<String, String>,
    voter: Option<Voter>,
    starts: u64,
    /// Whether the disk was lost and the state is not recovered yet.
    disk_lost: bool,
    clock: u64,
    frozen: u64,
}

struct PendingRound {
    key: Key,
    min_version: u64,
    round: Round,
}

struct Client {
    members: Members,
    ballots: Ballots,
    op: Option<PendingRound>,
    change: Option<MembershipChange>,
    holder: LeaseHolder,
    clock: u64,
    frozen: u64,
    next: u64,
}

#[derive(Default)]
struct Checker {
    contents: BTreeMap<(Key, u64), String>,
    newest: BTreeMap<Key, u64>,
    ended: u64,
    indeterminate: u64,
    changed: u64,
    held: u64,
    copied: u64,
}

struct Simulation {
    rng: Rng,
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    machines: BTreeMap<Address, Machine>,
    clients: Vec<Client>,
    checker: Checker,
    reliable: bool,
}

fn addresses(range: std::ops::Range<usize>) -> Vec<Address> {
    range.map(|at| format!("v{at}").into()).collect()
}

impl Simulation {
    fn new(seed: u64, voters: usize, clients: usize) -> Self {
        let mut rng = Rng(seed);
        let members = Members::initial("sim", addresses(0..voters));
        let mut machines = BTreeMap::new();
        for address in addresses(0..voters + 2) {
            let clock = rng.below(1 << 40);
            machines.insert(
                address,
                Machine { disk: BTreeMap::new(), voter: None, starts: 0, disk_lost: false, clock, frozen: 0 },
            );
        }
        let clients = (0..clients).map(|at| {
            let (name, clock) = (format!("p{at}"), rng.below(1 << 40));
            let holder = LeaseHolder::new("steward", &name, seed, members.clone(), rng.next(), clock);
            let (members, ballots) = (members.clone(), Ballots::new(&name, seed));
            Client { members, ballots, op: None, change: None, holder, clock, frozen: 0, next: 0 }
        });
        let clients: Vec<_> = clients.collect();
        let (queue, events, checker) = (BinaryHeap::new(), BTreeMap::new(), Checker::default());
        let mut simulation =
            Self { rng, now: 0, seq: 0, queue, events, machines, clients, checker, reliable: false };
        for address in addresses(0..voters + 2) {
            simulation.start(&address, Some(members.clone()));
        }
        (0..simulation.clients.len()).for_each(|at| simulation.schedule(0, Event::Client(at)));
        simulation.schedule(50 * MS, Event::Fault);
        simulation
    }

    fn schedule(&mut self, when: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((when.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    fn send(&mut self, from: &str, to: Address, message: Message) {
        let (lost, duplicated) = if self.reliable { (0, 0) } else { (8, 8) };
        let copies = match self.rng.below(100) {
            roll if roll < lost => 0,
            roll if roll < lost + duplicated => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max_delay = if !self.reliable && self.rng.one_in(12) { 2_500 * MS } else { 15 * MS };
            let when = self.now + MS / 2 + self.rng.below(max_delay);
            let message = match self.rng.one_in(16) {
                true => Message::from_json(&message.to_json()).expect("an encoded message decodes"),
                false => message.clone(),
            };
            self.schedule(when, Event::Deliver(from.into(), to.clone(), Box::new(message)));
        }
    }

    fn start(&mut self, address: &Address, first: Option<Members>) {
        let machine = self.machines.get_mut(address).unwrap();
        machine.starts += 1;
        machine.clock += 1_000 * MS;
        let (now, seeds) = (self.now + machine.clock, addresses(0..3));
        let mut voter =
            Voter::open(address.clone(), machine.disk.clone(), seeds, machine.starts, now).unwrap();
        if let Some(first) = first {
            let disk = &mut machine.disk;
            voter.bootstrap(first).commit(|writes| store(disk, writes, usize::MAX)).unwrap();
        }
        machine.voter = Some(voter);
        let incarnation = machine.starts;
        self.schedule(self.now, Event::Voter(address.clone(), incarnation));
    }

    fn stop(&mut self, address: &Address, wipe: bool) {
        let machine = self.machines.get_mut(address).unwrap();
        machine.voter = None;
        if wipe {
            machine.disk_lost |= machine.disk.remove("voter").is_some();
            machine.disk.clear();
        }
        let most = if self.rng.one_in(3) { 1_500 } else { 100 };
        let back = self.now + self.rng.below(most) * MS;
        self.schedule(back, Event::Start(address.clone()));
    }

    /// Whether the disk of this machine may be lost: whether every set keeps a majority within the tolerance.
    fn may_lose_disk(&self, address: &Address) -> bool {
        let state = |text: &String| text.contains("voting");
        let opened = self.machines.iter().filter(|(_, machine)| machine.disk.get("voter").is_some_and(state));
        let opened: BTreeMap<_, _> = opened
            .map(|(name, machine)| {
                let voter = Voter::open(name.clone(), machine.disk.clone(), vec![], 0, 0).unwrap();
                (name, voter)
            })
            .collect();
        let adopted = opened.values().filter_map(|voter| voter.members());
        let Some(adopted) = adopted.max_by_key(|members| members.epoch) else { return false };
        let slots = opened.values().filter_map(|voter| voter.slot(Key::Members)?.accepted.as_ref());
        let newer = slots.filter(|accepted| accepted.value.version > adopted.epoch);
        let newer = newer.map(|accepted| Members::parse(&accepted.value.content).unwrap());
        newer.chain([adopted.clone()]).all(|members| {
            let voting = |set: &[Address]| {
                set.iter().filter(|one| *one != address && opened.contains_key(one)).count()
            };
            {
                let has_disk = |name: &&Address| *name != address && !self.machines[*name].disk_lost;
                let next = members.next.iter().all(|set| set.iter().filter(has_disk).count() * 2 > set.len());
                next && voting(&members.voters) * 2 > members.voters.len()
            }
        })
    }

    fn fault(&mut self) {
        let names: Vec<_> = self.machines.keys().cloned().collect();
        let one = names[self.rng.below(names.len() as u64) as usize].clone();
        let up = self.machines[&one].voter.is_some();
        match self.rng.below(12) {
            0..=2 if up => self.stop(&one, false),
            3..=6 if up && self.may_lose_disk(&one) => self.stop(&one, true),
            7 => {
                let until = self.now + self.rng.below(2_000) * MS;
                self.machines.get_mut(&one).unwrap().frozen = until;
            }
            8..=9 => {
                let at = self.rng.below(self.clients.len() as u64) as usize;
                self.clients[at].frozen = self.now + self.rng.below(2_500) * MS;
            }
            10 if self.rng.one_in(4) => {
                for name in names
                    .iter()
                    .filter(|name| self.machines[*name].voter.is_some())
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    self.stop(&name, false);
                }
            }
            _ => {}
        }
        let next = self.now + self.rng.below(400) * MS;
        self.schedule(next, Event::Fault);
    }

    fn deliver_to_voter(&mut self, from: Address, to: Address, message: Message) {
        let crash = !self.reliable && self.rng.one_in(300);
        let capacity = if crash { self.rng.below(3) as usize } else { usize::MAX };
        let machine = self.machines.get_mut(&to).unwrap();
        let Some(voter) = &mut machine.voter else { return };
        let blank = voter.state() != State::Voting;
        let (disk, mut left) = (&mut machine.disk, capacity);
        let step = voter.handle(self.now + machine.clock, &from, message).commit(|writes| {
            let done = store(disk, writes, left);
            left = left.saturating_sub(writes.len());
            done
        });
        let copied = blank && step.is_ok() && voter.state() == State::Voting;
        machine.disk_lost &= !copied;
        self.checker.copied += u64::from(copied);
        match step {
            Ok(Some(reply)) => self.send(&to, from, reply),
            Ok(None) => {}
            Err(()) => self.stop(&to, false),
        }
    }

    fn client(&mut self, at: usize, reply: Option<(Address, Message)>) {
        let name = format!("p{at}");
        let client = &mut self.clients[at];
        let now = self.now + client.clock;
        let mut sends = Vec::new();
        let mut wakes = Vec::new();
        match &reply {
            Some((from, message)) => sends.extend(client.holder.on_message(now, from, message)),
            None => sends.extend(client.holder.on_tick(now)),
        }
        wakes.push(client.holder.next_wake());
        if client.op.is_none() && client.change.is_none() && now >= client.next {
            let key = [Key::Leader, Key::Config, Key::Migrations][self.rng.below(3) as usize];
            let newest = self.checker.newest.get(&key).copied().unwrap_or(0);
            let seed = self.rng.next();
            if at == 0 && self.rng.one_in(8) && client.members.next.is_none() {
                let voters = &client.members.voters;
                let spare = self.machines.keys().filter(|name| !voters.contains(name));
                let spare: Vec<_> = spare.cloned().collect();
                let new = spare[self.rng.below(spare.len() as u64) as usize].clone();
                let out = voters[self.rng.below(voters.len() as u64) as usize].clone();
                let change = match self.rng.below(6) {
                    0 if spare.len() > 1 => VoterChange::Add(new),
                    1 if voters.len() > 3 => VoterChange::Remove(out),
                    // Several at once, as far as the spares go.
                    2 if spare.len() > 1 => {
                        let old: Vec<_> =
                            voters.iter().take(spare.len().min(voters.len() / 2)).cloned().collect();
                        VoterChange::exchange(&old, &spare[..old.len()]).expect("a change")
                    }
                    _ => VoterChange::Replace { old: out, new },
                };
                let (members, limit) = (client.members.clone(), now + 6_000 * MS);
                client.change = Some(MembershipChange::new(
                    Some(change),
                    members,
                    &client.ballots,
                    seed,
                    800 * MS,
                    limit,
                    now,
                ));
            } else {
                let version = newest + 1 + u64::from(self.rng.one_in(4));
                let content = format!("{name} {seed}").into();
                let kind = match self.rng.below(5) {
                    0..=1 => Operation::Read,
                    2 => Operation::Propose { version, content, expected_version: Some(newest) },
                    _ => Operation::Propose { version, content, expected_version: None },
                };
                let limit = now + 800 * MS;
                let round = Round::new(kind, key, client.members.clone(), &client.ballots, seed, limit);
                client.op = Some(PendingRound { key, min_version: newest, round });
            }
        }
        if let Some(op) = &mut client.op {
            let out = match &reply {
                Some((from, message)) => op.round.on_reply(now, from, message),
                None => op.round.on_tick(now),
            };
            sends.extend(out.send);
            wakes.extend(out.wake);
            if op.round.members().epoch > client.members.epoch {
                client.members = op.round.members().clone();
            }
            if let Some(outcome) = out.outcome {
                let (key, min_version) = (op.key, op.min_version);
                client.op = None;
                client.next = now + self.rng.below(150) * MS;
                self.checker.check(key, min_version, outcome);
            }
        }
        let client = &mut self.clients[at];
        if let Some(change) = &mut client.change {
            let out = match &reply {
                Some((from, message)) => change.on_reply(now, from, message),
                None => change.on_tick(now),
            };
            sends.extend(out.send);
            wakes.extend(out.wake);
            client.members = change.members().clone();
            if let Some(changed) = change.outcome() {
                self.checker.changed += u64::from(matches!(changed, MembershipOutcome::Done(_)));
                client.change = None;
            }
        }
        client.holder.adopt(&client.members.clone());
        if client.members.epoch < client.holder.members().epoch
            && client.op.is_none()
            && client.change.is_none()
        {
            client.members = client.holder.members().clone();
        }
        if self.rng.one_in(2_000) {
            sends.extend(client.holder.release(now));
        }
        let wake =
            wakes.into_iter().chain((client.op.is_none() && client.change.is_none()).then_some(client.next));
        let wake = wake.min().unwrap_or(0).max(now + MS / 4) - client.clock;
        sends.into_iter().for_each(|(to, message)| self.send(&name, to, message));
        if reply.is_none() {
            self.schedule(wake.min(self.now + 20 * MS), Event::Client(at));
        }
        let acting =
            self.clients.iter().filter(|client| client.holder.is_held(self.now + client.clock)).count();
        assert!(acting <= 1, "two holders of the lease");
        self.checker.held += acting as u64;
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((when, seq))) = self.queue.pop() {
            let event = self.events.remove(&seq).unwrap();
            if when > until {
                return self.schedule(when, event);
            }
            self.now = when;
            let client_of = |name: &Address| name.strip_prefix('p').and_then(|at| at.parse::<usize>().ok());
            let frozen = match &event {
                Event::Deliver(_, to, _) => {
                    client_of(to).map_or_else(|| self.machines[to].frozen, |at| self.clients[at].frozen)
                }
                Event::Voter(name, _) => self.machines[name].frozen,
                Event::Client(at) => self.clients[*at].frozen,
                _ => 0,
            };
            match event {
                event if frozen > when => self.schedule(frozen, event),
                Event::Deliver(from, to, message) => match client_of(&to) {
                    Some(at) => self.client(at, Some((from, *message))),
                    None => self.deliver_to_voter(from, to, *message),
                },
                Event::Voter(name, incarnation) => {
                    let machine = self.machines.get_mut(&name).unwrap();
                    let Some(voter) = machine.voter.as_mut().filter(|_| machine.starts == incarnation) else {
                        continue;
                    };
                    let sends = voter.on_tick(when + machine.clock);
                    sends.into_iter().for_each(|(to, message)| self.send(&name, to, message));
                    self.schedule(when + 50 * MS, Event::Voter(name, incarnation));
                }
                Event::Start(name) => self.start(&name, None),
                Event::Client(at) => self.client(at, None),
                Event::Fault if self.reliable => {}
                Event::Fault => self.fault(),
            }
        }
    }
}

/// Writes to a disk that loses power after `capacity` records.
fn store(disk: &mut BTreeMap<String, String>, writes: &[Write], capacity: usize) -> Result<(), ()> {
    for write in writes.iter().take(capacity) {
        disk.insert(write.key.clone(), write.text.clone());
    }
    if writes.len() > capacity { Err(()) } else { Ok(()) }
}

impl Checker {
    fn check(&mut self, key: Key, min_version: u64, outcome: Outcome) {
        let value = match outcome {
            Outcome::Indeterminate(_) => {
                self.indeterminate += 1;
                return;
            }
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Written(value) => Some(value),
        };
        self.ended += 1;
        let version = value.as_ref().map_or(0, |value| value.version);
        assert!(
            version >= min_version,
            "{key:?}: version {version}, although {min_version} was reported before"
        );
        let Some(value) = value else { return };
        let content = self.contents.entry((key, version)).or_insert_with(|| value.content.to_string());
        assert_eq!(**content, *value.content, "{key:?}: two contents for version {version}");
        let newest = self.newest.entry(key).or_default();
        *newest = version.max(*newest);
    }
}

fn seeds() -> u64 {
    std::env::var("TALLY_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(50)
}

#[parameterized(
    three = { 0, 3, 2 },
    three_crowded = { 1, 3, 4 },
    four = { 2, 4, 3 },
    five = { 3, 5, 3 },
)]
fn reported_versions_are_never_lost(part: u64, voters: usize, clients: usize) {
    let mut sums = BTreeMap::<&str, u64>::new();
    for seed in 0..seeds() {
        let seed = part << 32 | seed;
        let run = std::panic::catch_unwind(|| {
            let mut simulation = Simulation::new(seed, voters, clients);
            simulation.run(8_000 * MS);
            simulation.reliable = true;
            let before = simulation.checker.ended;
            simulation.run(16_000 * MS);
            assert!(
                simulation.checker.ended > before + 20,
                "no progress: {} results",
                simulation.checker.ended - before
            );
            simulation.checker
        });
        let checker = run.unwrap_or_else(|_| panic!("seed {seed}"));
        let Checker { ended, indeterminate, changed, held, copied, .. } = checker;
        let counts = [
            ("ended", ended),
            ("indeterminate", indeterminate),
            ("changed", changed),
            ("held", held),
            ("copied", copied),
        ];
        for (what, count) in counts {
            *sums.entry(what).or_default() += count;
        }
    }
    println!("{sums:?}");
    assert!(sums.values().all(|count| *count >= seeds()), "{sums:?}");
}
