//! A voter is replaced, and as many others as the tolerance allows lose their disks at any step of that: what was acknowledged on a bare
//! majority, the leaving voter among it, is still read afterwards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use millpost_quorum::{
    Address, Ballots, Key, Members, MembershipChange, MembershipOutcome, Message, Operation, Outcome, Output,
    Round, Value, Voter, VoterChange,
};

const MS: u64 = 1_000_000;
const EACH: u64 = 800 * MS;
const ALL: u64 = 6_000 * MS;
/// More messages than any change takes.
const MOST_STEPS: usize = 2_000;

struct Machine {
    voter: Voter,
    disk: BTreeMap<String, String>,
}

/// Machines whose messages arrive in their order, and how many have.
struct Lab {
    now: u64,
    machines: BTreeMap<Address, Machine>,
    steps: usize,
    /// At this step these are gone for good.
    strikes: Option<(usize, Vec<Address>)>,
}

/// What the machine has that comes for another.
#[derive(Clone, Copy, PartialEq)]
enum Spare {
    Empty,
    WasVoter,
}

/// Whoever proposes.
trait Proposer {
    fn hear(&mut self, now: u64, from: &str, message: &Message) -> Output;
    fn tick(&mut self, now: u64) -> Output;
}

impl Proposer for Round {
    fn hear(&mut self, now: u64, from: &str, message: &Message) -> Output {
        self.on_reply(now, from, message)
    }
    fn tick(&mut self, now: u64) -> Output {
        self.on_tick(now)
    }
}

impl Proposer for MembershipChange {
    fn hear(&mut self, now: u64, from: &str, message: &Message) -> Output {
        self.on_reply(now, from, message)
    }
    fn tick(&mut self, now: u64) -> Output {
        self.on_tick(now)
    }
}

fn name(n: usize) -> Address {
    format!("v{n}").into()
}

impl Lab {
    /// So many voters and a spare; a value stands on a bare majority, the first voter among it. The spare has nothing, or what it had
    /// when it was a voter itself: then it copies nothing.
    fn new(voters: usize, spare: Spare) -> (Self, Members) {
        let of = |first: usize| (1..voters).chain([first]).map(name);
        let before = Members::initial("lab", of(if spare == Spare::WasVoter { voters } else { 0 }));
        let mut lab = Lab { now: 0, machines: BTreeMap::new(), steps: 0, strikes: None };
        for n in 0..=voters {
            let mut voter = Voter::open(name(n), [], before.voters.clone(), 1, 0).expect("an empty disk");
            let mut disk = BTreeMap::new();
            if before.contains(&name(n)) {
                voter.bootstrap(before.clone()).commit(|batch| store(&mut disk, batch)).expect("stored");
            }
            lab.machines.insert(name(n), Machine { voter, disk });
        }
        let members = match spare {
            Spare::Empty => before,
            Spare::WasVoter => {
                let change = VoterChange::Replace { old: name(voters), new: name(0) };
                match lab.end_change(&before, Some(change), 3) {
                    Some(MembershipOutcome::Done(members)) => members,
                    other => panic!("{other:?}"),
                }
            }
        };
        let late: Vec<_> =
            (voters / 2 + 1..voters).map(|n| (name(n), lab.machines.remove(&name(n)))).collect();
        let offer = Operation::Propose { version: 1, content: "kept".into(), expected_version: None };
        let mut round = lab.round(offer, &members, 1);
        assert!(matches!(lab.play(&mut round), Some(Outcome::Written(_))));
        lab.machines.extend(late.into_iter().filter_map(|(name, machine)| Some((name, machine?))));
        lab.steps = 0;
        (lab, members)
    }

    fn round(&self, kind: Operation, members: &Members, life: u64) -> Round {
        let ballots = Ballots::new("p", life);
        Round::new(kind, Key::Config, members.clone(), &ballots, life, self.now + EACH)
    }

    /// Plays a proposer to its end: messages first, then time.
    fn play(&mut self, proposer: &mut impl Proposer) -> Option<Outcome> {
        let mut mail: VecDeque<(Address, Address, Message)> = VecDeque::new();
        let end = self.now + 2 * ALL;
        let mut wake = self.now;
        let send = |mail: &mut VecDeque<_>, out: Output| {
            mail.extend(out.send.into_iter().map(|(to, message)| ("p".into(), to, message)));
            (out.wake, out.outcome)
        };
        while self.now < end {
            let said = match mail.pop_front() {
                Some((from, to, message)) if to == "p" => {
                    let out = proposer.hear(self.now, &from, &message);
                    send(&mut mail, out)
                }
                Some((from, to, message)) => {
                    self.deliver(&mut mail, &from, &to, message);
                    continue;
                }
                None => {
                    let due = self.machines.values().filter_map(|m| m.voter.next_wake()).min();
                    self.now = self.now.max(wake.min(due.unwrap_or(u64::MAX))).max(self.now + MS / 10);
                    for (name, machine) in &mut self.machines {
                        let asks = machine.voter.on_tick(self.now);
                        mail.extend(asks.into_iter().map(|(to, message)| (name.clone(), to, message)));
                    }
                    let out = proposer.tick(self.now);
                    send(&mut mail, out)
                }
            };
            match said {
                (_, Some(outcome)) => return Some(outcome),
                (Some(next), None) => wake = next,
                // A change of members says by itself that it is over.
                (None, None) => return None,
            }
        }
        panic!("no end");
    }

    fn deliver(
        &mut self,
        mail: &mut VecDeque<(Address, Address, Message)>,
        from: &Address,
        to: &Address,
        message: Message,
    ) {
        self.steps += 1;
        if let Some((_, gone)) = self.strikes.take_if(|(at, _)| *at == self.steps) {
            gone.iter().for_each(|name| drop(self.machines.remove(name)));
        }
        let Some(Machine { voter, disk }) = self.machines.get_mut(to) else { return };
        let step = voter.handle(self.now, from, message);
        if let Ok(Some(answer)) = step.commit(|batch| store(disk, batch)) {
            mail.push_back((to.clone(), from.clone(), answer));
        }
    }

    /// What a majority of these members, or of newer ones that they lead to, holds.
    fn read(&mut self, members: &Members) -> Option<Value> {
        let mut round = self.round(Operation::Read, members, 9);
        match self.play(&mut round) {
            Some(Outcome::Found(value)) => value,
            other => panic!("{other:?}"),
        }
    }

    /// Another machine ends the change that somebody began, if it can.
    fn end_change(
        &mut self,
        members: &Members,
        change: Option<VoterChange>,
        life: u64,
    ) -> Option<MembershipOutcome> {
        let ballots = Ballots::new("p", life);
        let mut moving =
            MembershipChange::new(change, members.clone(), &ballots, life, EACH, self.now + ALL, self.now);
        self.play(&mut moving);
        moving.outcome().cloned()
    }
}

fn store(disk: &mut BTreeMap<String, String>, batch: &[millpost_quorum::Write]) -> Result<(), ()> {
    disk.extend(batch.iter().map(|record| (record.key.clone(), record.text.clone())));
    Ok(())
}

/// Every way to lose `count` of these.
fn losses(of: &[Address], count: usize) -> Vec<Vec<Address>> {
    let Some((first, rest)) = of.split_first() else {
        return if count == 0 { vec![Vec::new()] } else { Vec::new() };
    };
    if count == 0 {
        return vec![Vec::new()];
    }
    let with = losses(rest, count - 1).into_iter().map(|mut all| {
        all.push(first.clone());
        all
    });
    with.chain(losses(rest, count)).collect()
}

/// `first_is_dead`: the voter that leaves has lost its disk, and counts as one of the losses.
#[yare::parameterized(
    three_one_leaves_and_one_is_lost = { 3, 1, false, Spare::Empty },
    three_one_leaves_for_one_that_voted_before = { 3, 1, false, Spare::WasVoter },
    three_one_is_dead = { 3, 1, true, Spare::Empty },
    three_one_is_dead_and_one_that_voted_before_comes = { 3, 1, true, Spare::WasVoter },
    five_one_leaves_and_two_are_lost = { 5, 2, false, Spare::Empty },
    five_one_leaves_for_one_that_voted_before = { 5, 2, false, Spare::WasVoter },
    five_one_is_dead_and_another_is_lost = { 5, 2, true, Spare::WasVoter },
)]
fn what_was_acknowledged_outlasts_losses_at_each_step_of_a_replacement(
    voters: usize,
    tolerance: usize,
    first_is_dead: bool,
    spare: Spare,
) {
    let change = VoterChange::Replace { old: name(0), new: name(voters) };
    let others: Vec<_> = (1..voters).map(name).collect();
    let lab = || {
        let (mut lab, members) = Lab::new(voters, spare);
        if first_is_dead {
            lab.machines.remove(&name(0));
        }
        (lab, members)
    };
    let (mut whole, members) = lab();
    let Some(MembershipOutcome::Done(after)) = whole.end_change(&members, Some(change.clone()), 2) else {
        panic!("without losses it is done")
    };
    assert_eq!(after.voters.iter().collect::<BTreeSet<_>>().len(), voters);
    let steps = whole.steps;
    assert!((20..MOST_STEPS).contains(&steps), "{steps}");
    let count = tolerance - usize::from(first_is_dead);
    for gone in losses(&others, count) {
        for at in 1..=steps {
            let (mut lab, members) = lab();
            lab.strikes = Some((at, gone.clone()));
            let moved = lab.end_change(&members, Some(change.clone()), 2);
            let value = lab.read(&members);
            let content = value.as_ref().map(|value| &*value.content);
            assert_eq!(content, Some("kept"), "{gone:?} lost at step {at}: {moved:?}");
        }
    }
    // Once it is done the tolerance counts anew: the one that left goes for good, and others may be lost.
    for gone in losses(&after.voters, tolerance) {
        let (mut lab, members) = lab();
        lab.end_change(&members, Some(change.clone()), 2);
        lab.machines.remove(&name(0));
        gone.iter().for_each(|name| drop(lab.machines.remove(name)));
        let value = lab.read(&after);
        assert_eq!(value.map(|value| value.content.to_string()).as_deref(), Some("kept"), "{gone:?}");
    }
}
