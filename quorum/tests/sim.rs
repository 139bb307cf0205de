//! Voters, proposers, moves and leases played by seed on a bad network with bad disks. What must hold: an answered
//! version is never gone, a version has one content for ever, and a duty has one holder at a time.

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
    lives: u64,
    lost: bool,
    clock: u64,
    frozen: u64,
}

struct Op {
    key: Key,
    floor: u64,
    round: Round,
}

struct Client {
    members: Members,
    ballots: Ballots,
    op: Option<Op>,
    moving: Option<MembershipChange>,
    holder: LeaseHolder,
    clock: u64,
    frozen: u64,
    next: u64,
}

#[derive(Default)]
struct Oracle {
    contents: BTreeMap<(Key, u64), String>,
    newest: BTreeMap<Key, u64>,
    ended: u64,
    lost: u64,
    moved: u64,
    held: u64,
    copied: u64,
}

struct World {
    rng: Rng,
    now: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    machines: BTreeMap<Address, Machine>,
    clients: Vec<Client>,
    oracle: Oracle,
    calm: bool,
}

fn addresses(range: std::ops::Range<usize>) -> Vec<Address> {
    range.map(|at| format!("v{at}").into()).collect()
}

impl World {
    fn new(seed: u64, voters: usize, clients: usize) -> Self {
        let mut rng = Rng(seed);
        let members = Members::initial("sim", addresses(0..voters));
        let mut machines = BTreeMap::new();
        for address in addresses(0..voters + 2) {
            let clock = rng.below(1 << 40);
            machines.insert(
                address,
                Machine { disk: BTreeMap::new(), voter: None, lives: 0, lost: false, clock, frozen: 0 },
            );
        }
        let clients = (0..clients).map(|at| {
            let (name, clock) = (format!("p{at}"), rng.below(1 << 40));
            let holder = LeaseHolder::new("steward", &name, seed, members.clone(), rng.next(), clock);
            let (members, ballots) = (members.clone(), Ballots::new(&name, seed));
            Client { members, ballots, op: None, moving: None, holder, clock, frozen: 0, next: 0 }
        });
        let clients: Vec<_> = clients.collect();
        let (queue, events, oracle) = (BinaryHeap::new(), BTreeMap::new(), Oracle::default());
        let mut world = Self { rng, now: 0, seq: 0, queue, events, machines, clients, oracle, calm: false };
        for address in addresses(0..voters + 2) {
            world.start(&address, Some(members.clone()));
        }
        (0..world.clients.len()).for_each(|at| world.at(0, Event::Client(at)));
        world.at(50 * MS, Event::Fault);
        world
    }

    fn at(&mut self, when: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((when.max(self.now), self.seq)));
        self.events.insert(self.seq, event);
    }

    fn send(&mut self, from: &str, to: Address, message: Message) {
        let (lost, twice) = if self.calm { (0, 0) } else { (8, 8) };
        let copies = match self.rng.below(100) {
            dice if dice < lost => 0,
            dice if dice < lost + twice => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let far = if !self.calm && self.rng.one_in(12) { 2_500 * MS } else { 15 * MS };
            let when = self.now + MS / 2 + self.rng.below(far);
            let message = match self.rng.one_in(16) {
                true => Message::from_json(&message.to_json()).expect("reads what it wrote"),
                false => message.clone(),
            };
            self.at(when, Event::Deliver(from.into(), to.clone(), Box::new(message)));
        }
    }

    fn start(&mut self, address: &Address, first: Option<Members>) {
        let machine = self.machines.get_mut(address).unwrap();
        machine.lives += 1;
        machine.clock += 1_000 * MS;
        let (now, seeds) = (self.now + machine.clock, addresses(0..3));
        let mut voter =
            Voter::open(address.clone(), machine.disk.clone(), seeds, machine.lives, now).unwrap();
        if let Some(first) = first {
            let disk = &mut machine.disk;
            voter.bootstrap(first).commit(|writes| store(disk, writes, usize::MAX)).unwrap();
        }
        machine.voter = Some(voter);
        let life = machine.lives;
        self.at(self.now, Event::Voter(address.clone(), life));
    }

    fn stop(&mut self, address: &Address, wipe: bool) {
        let machine = self.machines.get_mut(address).unwrap();
        machine.voter = None;
        if wipe {
            machine.lost |= machine.disk.remove("voter").is_some();
            machine.disk.clear();
        }
        let most = if self.rng.one_in(3) { 1_500 } else { 100 };
        let back = self.now + self.rng.below(most) * MS;
        self.at(back, Event::Start(address.clone()));
    }

    /// Whether all sets could do with this machine's disk emptied, as the tolerance says.
    fn may_wipe(&self, address: &Address) -> bool {
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
            let full = |set: &[Address]| {
                set.iter().filter(|one| *one != address && opened.contains_key(one)).count()
            };
            {
                let kept = |name: &&Address| *name != address && !self.machines[*name].lost;
                let next = members.next.iter().all(|set| set.iter().filter(kept).count() * 2 > set.len());
                next && full(&members.voters) * 2 > members.voters.len()
            }
        })
    }

    fn fault(&mut self) {
        let names: Vec<_> = self.machines.keys().cloned().collect();
        let one = names[self.rng.below(names.len() as u64) as usize].clone();
        let up = self.machines[&one].voter.is_some();
        match self.rng.below(12) {
            0..=2 if up => self.stop(&one, false),
            3..=6 if up && self.may_wipe(&one) => self.stop(&one, true),
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
        self.at(next, Event::Fault);
    }

    fn voter_hears(&mut self, from: Address, to: Address, message: Message) {
        let crash = !self.calm && self.rng.one_in(300);
        let room = if crash { self.rng.below(3) as usize } else { usize::MAX };
        let machine = self.machines.get_mut(&to).unwrap();
        let Some(voter) = &mut machine.voter else { return };
        let blank = voter.state() != State::Voting;
        let (disk, mut left) = (&mut machine.disk, room);
        let step = voter.handle(self.now + machine.clock, &from, message).commit(|writes| {
            let done = store(disk, writes, left);
            left = left.saturating_sub(writes.len());
            done
        });
        let copied = blank && step.is_ok() && voter.state() == State::Voting;
        machine.lost &= !copied;
        self.oracle.copied += u64::from(copied);
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
        if client.op.is_none() && client.moving.is_none() && now >= client.next {
            let key = [Key::Leader, Key::Config, Key::Migrations][self.rng.below(3) as usize];
            let newest = self.oracle.newest.get(&key).copied().unwrap_or(0);
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
                    _ => VoterChange::Replace { old: out, new },
                };
                let (members, limit) = (client.members.clone(), now + 6_000 * MS);
                client.moving = Some(MembershipChange::new(
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
                client.op = Some(Op { key, floor: newest, round });
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
                let (key, floor) = (op.key, op.floor);
                client.op = None;
                client.next = now + self.rng.below(150) * MS;
                self.oracle.check(key, floor, outcome);
            }
        }
        let client = &mut self.clients[at];
        if let Some(moving) = &mut client.moving {
            let out = match &reply {
                Some((from, message)) => moving.on_reply(now, from, message),
                None => moving.on_tick(now),
            };
            sends.extend(out.send);
            wakes.extend(out.wake);
            client.members = moving.members().clone();
            if let Some(moved) = moving.outcome() {
                self.oracle.moved += u64::from(matches!(moved, MembershipOutcome::Done(_)));
                client.moving = None;
            }
        }
        client.holder.adopt(&client.members.clone());
        if client.members.epoch < client.holder.members().epoch
            && client.op.is_none()
            && client.moving.is_none()
        {
            client.members = client.holder.members().clone();
        }
        if self.rng.one_in(2_000) {
            sends.extend(client.holder.release(now));
        }
        let wake =
            wakes.into_iter().chain((client.op.is_none() && client.moving.is_none()).then_some(client.next));
        let wake = wake.min().unwrap_or(0).max(now + MS / 4) - client.clock;
        sends.into_iter().for_each(|(to, message)| self.send(&name, to, message));
        if reply.is_none() {
            self.at(wake.min(self.now + 20 * MS), Event::Client(at));
        }
        let acting =
            self.clients.iter().filter(|client| client.holder.is_held(self.now + client.clock)).count();
        assert!(acting <= 1, "two holders");
        self.oracle.held += acting as u64;
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((when, seq))) = self.queue.pop() {
            let event = self.events.remove(&seq).unwrap();
            if when > until {
                return self.at(when, event);
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
                event if frozen > when => self.at(frozen, event),
                Event::Deliver(from, to, message) => match client_of(&to) {
                    Some(at) => self.client(at, Some((from, *message))),
                    None => self.voter_hears(from, to, *message),
                },
                Event::Voter(name, life) => {
                    let machine = self.machines.get_mut(&name).unwrap();
                    let Some(voter) = machine.voter.as_mut().filter(|_| machine.lives == life) else {
                        continue;
                    };
                    let sends = voter.on_tick(when + machine.clock);
                    sends.into_iter().for_each(|(to, message)| self.send(&name, to, message));
                    self.at(when + 50 * MS, Event::Voter(name, life));
                }
                Event::Start(name) => self.start(&name, None),
                Event::Client(at) => self.client(at, None),
                Event::Fault if self.calm => {}
                Event::Fault => self.fault(),
            }
        }
    }
}

/// A disk that may lose power after so many records.
fn store(disk: &mut BTreeMap<String, String>, writes: &[Write], room: usize) -> Result<(), ()> {
    for write in writes.iter().take(room) {
        disk.insert(write.key.clone(), write.text.clone());
    }
    if writes.len() > room { Err(()) } else { Ok(()) }
}

impl Oracle {
    fn check(&mut self, key: Key, floor: u64, outcome: Outcome) {
        let value = match outcome {
            Outcome::Indeterminate(_) => {
                self.lost += 1;
                return;
            }
            Outcome::Found(value) | Outcome::Conflict(value) => value,
            Outcome::Written(value) => Some(value),
        };
        self.ended += 1;
        let version = value.as_ref().map_or(0, |value| value.version);
        assert!(version >= floor, "{key:?}: version {version}, though {floor} was answered before");
        let Some(value) = value else { return };
        let content = self.contents.entry((key, version)).or_insert_with(|| value.content.to_string());
        assert_eq!(**content, *value.content, "{key:?}: two contents of version {version}");
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
fn nothing_answered_is_lost(part: u64, voters: usize, clients: usize) {
    let mut sums = BTreeMap::<&str, u64>::new();
    for seed in 0..seeds() {
        let seed = part << 32 | seed;
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed, voters, clients);
            world.run(8_000 * MS);
            world.calm = true;
            let before = world.oracle.ended;
            world.run(16_000 * MS);
            assert!(
                world.oracle.ended > before + 20,
                "stands still: {} answers",
                world.oracle.ended - before
            );
            world.oracle
        });
        let oracle = run.unwrap_or_else(|_| panic!("seed {seed}"));
        let Oracle { ended, lost, moved, held, copied, .. } = oracle;
        let counts = [("ended", ended), ("lost", lost), ("moved", moved), ("held", held), ("copied", copied)];
        for (what, count) in counts {
            *sums.entry(what).or_default() += count;
        }
    }
    println!("{sums:?}");
    assert!(sums.values().all(|count| *count >= seeds()), "{sums:?}");
}
