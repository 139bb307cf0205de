//! Replaces a voter while as many other machines as the tolerance allows are lost at each step of the change.
//! A value that was acknowledged by the smallest possible majority, including the voter that leaves, must
//! still be read afterwards.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use millpost_quorum::{
    Address, Ballots, Key, Members, MembershipChange, MembershipOutcome, Message, Operation, Outcome, Output,
    Round, Value, Voter, VoterChange,
};

const MS: u64 = 1_000_000;
const ROUND_TIMEOUT: u64 = 800 * MS;
const CHANGE_TIMEOUT: u64 = 6_000 * MS;
/// More messages than any change needs.
const MAX_STEPS: usize = 2_000;

struct Machine {
    voter: Voter,
    disk: BTreeMap<String, String>,
}

/// A cluster whose messages are delivered in order.
struct Cluster {
    now: u64,
    machines: BTreeMap<Address, Machine>,
    /// The number of messages delivered to machines.
    steps: usize,
    /// The machines that are lost for ever, and the step at which they are lost.
    losses: Option<(usize, Vec<Address>)>,
}

/// What the disk of the joining machine holds.
#[derive(Clone, Copy, PartialEq)]
enum Spare {
    Empty,
    FormerVoter,
}

/// The common interface of a round and a membership change.
trait Proposer {
    fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output;
    fn on_tick(&mut self, now: u64) -> Output;
}

impl Proposer for Round {
    fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output {
        self.on_reply(now, from, message)
    }
    fn on_tick(&mut self, now: u64) -> Output {
        self.on_tick(now)
    }
}

impl Proposer for MembershipChange {
    fn on_reply(&mut self, now: u64, from: &str, message: &Message) -> Output {
        self.on_reply(now, from, message)
    }
    fn on_tick(&mut self, now: u64) -> Output {
        self.on_tick(now)
    }
}

fn name(n: usize) -> Address {
    format!("v{n}").into()
}

impl Cluster {
    /// Creates a cluster of `voters` voters and a spare, with a value on the smallest possible majority,
    /// which includes the first voter. The spare has an empty disk, or the disk of a former voter; in that
    /// case it copies nothing.
    fn new(voters: usize, spare: Spare) -> (Self, Members) {
        Self::with_spares(voters, spare, 1)
    }

    /// Creates such a cluster with several spares.
    fn with_spares(voters: usize, spare: Spare, spares: usize) -> (Self, Members) {
        let names = |first: usize| (1..voters).chain([first]).map(name);
        let before = Members::initial("lab", names(if spare == Spare::FormerVoter { voters } else { 0 }));
        let mut cluster = Cluster { now: 0, machines: BTreeMap::new(), steps: 0, losses: None };
        for n in 0..voters + spares {
            let mut voter = Voter::open(name(n), [], before.voters.clone(), 1, 0).expect("an empty disk");
            let mut disk = BTreeMap::new();
            if before.contains(&name(n)) {
                voter.bootstrap(before.clone()).commit(|batch| store(&mut disk, batch)).expect("stored");
            }
            cluster.machines.insert(name(n), Machine { voter, disk });
        }
        let members = match spare {
            Spare::Empty => before,
            Spare::FormerVoter => {
                let change = VoterChange::Replace { old: name(voters), new: name(0) };
                match cluster.change_members(&before, Some(change), 3) {
                    Some(MembershipOutcome::Done(members)) => members,
                    other => panic!("{other:?}"),
                }
            }
        };
        let absent: Vec<_> =
            (voters / 2 + 1..voters).map(|n| (name(n), cluster.machines.remove(&name(n)))).collect();
        let operation = Operation::Propose { version: 1, content: "kept".into(), expected_version: None };
        let mut round = cluster.round(operation, &members, 1);
        assert!(matches!(cluster.run(&mut round), Some(Outcome::Written(_))));
        cluster.machines.extend(absent.into_iter().filter_map(|(name, machine)| Some((name, machine?))));
        cluster.steps = 0;
        (cluster, members)
    }

    fn round(&self, operation: Operation, members: &Members, incarnation: u64) -> Round {
        let ballots = Ballots::new("p", incarnation);
        Round::new(operation, Key::Config, members.clone(), &ballots, incarnation, self.now + ROUND_TIMEOUT)
    }

    /// Runs a proposer to its end: delivers all pending messages, then advances the time.
    fn run(&mut self, proposer: &mut impl Proposer) -> Option<Outcome> {
        let mut queue: VecDeque<(Address, Address, Message)> = VecDeque::new();
        let end = self.now + 2 * CHANGE_TIMEOUT;
        let mut wake = self.now;
        let send = |queue: &mut VecDeque<_>, out: Output| {
            queue.extend(out.send.into_iter().map(|(to, message)| ("p".into(), to, message)));
            (out.wake, out.outcome)
        };
        while self.now < end {
            let result = match queue.pop_front() {
                Some((from, to, message)) if to == "p" => {
                    let out = proposer.on_reply(self.now, &from, &message);
                    send(&mut queue, out)
                }
                Some((from, to, message)) => {
                    self.deliver(&mut queue, &from, &to, message);
                    continue;
                }
                None => {
                    let voter_wake = self.machines.values().filter_map(|m| m.voter.next_wake()).min();
                    self.now = self.now.max(wake.min(voter_wake.unwrap_or(u64::MAX))).max(self.now + MS / 10);
                    for (name, machine) in &mut self.machines {
                        let requests = machine.voter.on_tick(self.now);
                        queue.extend(requests.into_iter().map(|(to, message)| (name.clone(), to, message)));
                    }
                    let out = proposer.on_tick(self.now);
                    send(&mut queue, out)
                }
            };
            match result {
                (_, Some(outcome)) => return Some(outcome),
                (Some(next), None) => wake = next,
                // A membership change reports its own outcome.
                (None, None) => return None,
            }
        }
        panic!("the proposer did not end");
    }

    fn deliver(
        &mut self,
        queue: &mut VecDeque<(Address, Address, Message)>,
        from: &Address,
        to: &Address,
        message: Message,
    ) {
        self.steps += 1;
        if let Some((_, lost)) = self.losses.take_if(|(at, _)| *at == self.steps) {
            lost.iter().for_each(|name| drop(self.machines.remove(name)));
        }
        let Some(Machine { voter, disk }) = self.machines.get_mut(to) else { return };
        let step = voter.handle(self.now, from, message);
        if let Ok(Some(reply)) = step.commit(|batch| store(disk, batch)) {
            queue.push_back((to.clone(), from.clone(), reply));
        }
    }

    /// Reads the value from a majority of these members, or of newer ones that they report.
    fn read(&mut self, members: &Members) -> Option<Value> {
        let mut round = self.round(Operation::Read, members, 9);
        match self.run(&mut round) {
            Some(Outcome::Found(value)) => value,
            other => panic!("{other:?}"),
        }
    }

    /// Makes the change, or completes one that is in progress, from a proposer with this incarnation.
    fn change_members(
        &mut self,
        members: &Members,
        change: Option<VoterChange>,
        incarnation: u64,
    ) -> Option<MembershipOutcome> {
        let ballots = Ballots::new("p", incarnation);
        let mut change = MembershipChange::new(
            change,
            members.clone(),
            &ballots,
            incarnation,
            ROUND_TIMEOUT,
            self.now + CHANGE_TIMEOUT,
            self.now,
        );
        self.run(&mut change);
        change.outcome().cloned()
    }
}

fn store(disk: &mut BTreeMap<String, String>, batch: &[millpost_quorum::Write]) -> Result<(), ()> {
    disk.extend(batch.iter().map(|record| (record.key.clone(), record.text.clone())));
    Ok(())
}

/// Returns all subsets of `count` machines.
fn subsets(of: &[Address], count: usize) -> Vec<Vec<Address>> {
    let Some((first, rest)) = of.split_first() else {
        return if count == 0 { vec![Vec::new()] } else { Vec::new() };
    };
    if count == 0 {
        return vec![Vec::new()];
    }
    let with = subsets(rest, count - 1).into_iter().map(|mut all| {
        all.push(first.clone());
        all
    });
    with.chain(subsets(rest, count)).collect()
}

/// With `first_is_lost` the voter that leaves is already lost, and counts as one of the losses.
#[yare::parameterized(
    three_voters_one_lost = { 3, 1, false, Spare::Empty },
    three_voters_one_lost_former_voter_joins = { 3, 1, false, Spare::FormerVoter },
    three_voters_leaving_voter_lost = { 3, 1, true, Spare::Empty },
    three_voters_leaving_voter_lost_former_voter_joins = { 3, 1, true, Spare::FormerVoter },
    five_voters_two_lost = { 5, 2, false, Spare::Empty },
    five_voters_two_lost_former_voter_joins = { 5, 2, false, Spare::FormerVoter },
    five_voters_leaving_voter_and_another_lost = { 5, 2, true, Spare::FormerVoter },
)]
fn acknowledged_value_survives_losses_at_each_step_of_a_replacement(
    voters: usize,
    tolerance: usize,
    first_is_lost: bool,
    spare: Spare,
) {
    let change = VoterChange::Replace { old: name(0), new: name(voters) };
    let others: Vec<_> = (1..voters).map(name).collect();
    let cluster = || {
        let (mut cluster, members) = Cluster::new(voters, spare);
        if first_is_lost {
            cluster.machines.remove(&name(0));
        }
        (cluster, members)
    };
    let (mut baseline, members) = cluster();
    let Some(MembershipOutcome::Done(after)) = baseline.change_members(&members, Some(change.clone()), 2)
    else {
        panic!("the change must succeed without losses")
    };
    assert_eq!(after.voters.iter().collect::<BTreeSet<_>>().len(), voters);
    let steps = baseline.steps;
    assert!((20..MAX_STEPS).contains(&steps), "{steps}");
    let count = tolerance - usize::from(first_is_lost);
    for lost in subsets(&others, count) {
        for step in 1..=steps {
            let (mut cluster, members) = cluster();
            cluster.losses = Some((step, lost.clone()));
            let outcome = cluster.change_members(&members, Some(change.clone()), 2);
            let value = cluster.read(&members);
            let content = value.as_ref().map(|value| &*value.content);
            assert_eq!(content, Some("kept"), "{lost:?} lost at step {step}: {outcome:?}");
        }
    }
    // After the change the full tolerance applies again: the voter that left is lost for ever, and others may
    // be lost.
    for lost in subsets(&after.voters, tolerance) {
        let (mut cluster, members) = cluster();
        cluster.change_members(&members, Some(change.clone()), 2);
        cluster.machines.remove(&name(0));
        lost.iter().for_each(|name| drop(cluster.machines.remove(name)));
        let value = cluster.read(&after);
        assert_eq!(value.map(|value| value.content.to_string()).as_deref(), Some("kept"), "{lost:?}");
    }
}

/// As many voters as may be lost are exchanged at once, and as many machines are lost at each step of that, those that
/// join among them. The machines that leave are not: they count as removed only after the change.
#[yare::parameterized(
    one_of_three = { 3, 1 },
    two_of_five = { 5, 2 },
)]
fn acknowledged_value_survives_losses_at_each_step_of_an_exchange(voters: usize, tolerance: usize) {
    let old: Vec<_> = (0..tolerance).map(name).collect();
    let new: Vec<_> = (voters..voters + tolerance).map(name).collect();
    let change = VoterChange::exchange(&old, &new).expect("a change");
    let cluster = || Cluster::with_spares(voters, Spare::Empty, tolerance);
    let (mut baseline, members) = cluster();
    let Some(MembershipOutcome::Done(after)) = baseline.change_members(&members, Some(change.clone()), 2)
    else {
        panic!("the change must succeed without losses")
    };
    assert!(new.iter().all(|voter| after.voters.contains(voter)) && after.voters.len() == voters);
    let others: Vec<_> = (tolerance..voters + tolerance).map(name).collect();
    for lost in subsets(&others, tolerance) {
        for step in 1..=baseline.steps {
            let (mut cluster, members) = cluster();
            cluster.losses = Some((step, lost.clone()));
            let outcome = cluster.change_members(&members, Some(change.clone()), 2);
            let what = format!("{lost:?} lost at step {step}: {outcome:?}");
            let value = cluster.read(&members);
            assert_eq!(value.map(|value| value.content.to_string()).as_deref(), Some("kept"), "{what}");
            // The change can be finished or rolled back without those that are lost.
            let rest = cluster.change_members(&members, None, 3);
            assert!(
                matches!(rest, Some(MembershipOutcome::Done(_) | MembershipOutcome::RolledBack(_))),
                "{what}, then {rest:?}"
            );
        }
    }
    // After the change the full tolerance applies again: those that left are lost for ever, and others may be lost.
    for lost in subsets(&after.voters, tolerance) {
        let (mut cluster, members) = cluster();
        cluster.change_members(&members, Some(change.clone()), 2);
        old.iter().chain(&lost).for_each(|name| drop(cluster.machines.remove(name)));
        let value = cluster.read(&after);
        assert_eq!(value.map(|value| value.content.to_string()).as_deref(), Some("kept"), "{lost:?}");
    }
}
