//! Runs written out message by message: each is one that loses a value or gives a duty twice if one rule is missing.

use std::collections::BTreeMap;

use millpost_quorum::*;

const MS: u64 = 1_000_000;

/// Voters whose messages are carried by hand.
struct Lab {
    now: u64,
    voters: BTreeMap<&'static str, (Voter, BTreeMap<String, String>)>,
}

fn members(names: &[&str]) -> Members {
    Members::initial("lab", names.iter().map(|name| Address::from(*name)))
}

fn offer(content: &str) -> Operation {
    Operation::Propose { version: 1, content: content.into(), expected_version: None }
}

fn round(kind: Operation, by: &Members, ballots: &Ballots) -> Round {
    Round::new(kind, Key::Config, by.clone(), ballots, 1, u64::MAX)
}

fn open(name: &str, disk: &BTreeMap<String, String>, now: u64) -> Voter {
    Voter::open(name.into(), disk.clone(), vec!["a".into(), "b".into()], now, now).unwrap()
}

impl Lab {
    fn new(first: &Members, names: &[&'static str]) -> Self {
        let mut lab = Self { now: 10_000 * MS, voters: BTreeMap::new() };
        for name in names {
            let (mut voter, mut disk) = (open(name, &BTreeMap::new(), 0), BTreeMap::new());
            voter.bootstrap(first.clone()).commit(|writes| store(&mut disk, writes)).unwrap();
            lab.voters.insert(name, (voter, disk));
        }
        lab
    }

    fn give(&mut self, to: &str, from: &str, message: Message) -> Option<Message> {
        let (voter, disk) = self.voters.get_mut(to).unwrap();
        voter.handle(self.now, from, message).commit(|writes| store(disk, writes)).unwrap()
    }

    /// Carry what is sent to these voters, and their answers back; what they lead to is not carried on.
    fn carry(&mut self, round: &mut Round, out: &Output, to: &[&str]) -> Output {
        let mut last = Output::default();
        for name in to {
            let message = sent(out, name);
            if let Some(reply) = self.give(name, "p", message) {
                let next = round.on_reply(self.now, name, &reply);
                if !next.send.is_empty() || next.outcome.is_some() {
                    last = next;
                }
            }
        }
        last
    }

    fn wipe(&mut self, name: &'static str) {
        self.voters.insert(name, (open(name, &BTreeMap::new(), self.now), BTreeMap::new()));
    }

    /// Its process ends and starts again with its disk.
    fn restart(&mut self, name: &'static str) {
        let now = self.now;
        if let Some((voter, disk)) = self.voters.get_mut(name) {
            *voter = open(name, disk, now);
        }
    }

    /// Let the emptied voter wait and ask; carry the answers of these.
    fn recover(&mut self, name: &'static str, from: &[&str]) -> State {
        assert!(self.voters.get_mut(name).unwrap().0.on_tick(self.now + PHASE_TIMEOUT).is_empty());
        self.now += PHASE_TIMEOUT + RECOVERY_MARGIN;
        let asks = self.voters.get_mut(name).unwrap().0.on_tick(self.now);
        let ask = asks[0].1.clone();
        for other in from {
            let state = self.give(other, name, ask.clone()).unwrap();
            assert_eq!(self.give(name, other, state), None);
        }
        self.voters[name].0.state()
    }

    fn stands(&self, name: &str) -> Option<&Accepted> {
        self.voters[name].0.slot(Key::Config)?.accepted.as_ref()
    }
}

fn store(disk: &mut BTreeMap<String, String>, writes: &[Write]) -> Result<(), ()> {
    disk.extend(writes.iter().map(|write| (write.key.clone(), write.text.clone())));
    Ok(())
}

fn sent(out: &Output, to: &str) -> Message {
    out.send.iter().find(|(name, _)| name == to).expect("sent").1.clone()
}

#[test]
fn a_copy_is_no_vote() {
    let all = members(&["a", "b", "c", "d", "v"]);
    let mut lab = Lab::new(&all, &["a", "b", "c", "d", "v"]);
    let mut low = round(offer("low"), &all, &Ballots::new("p", 1));
    let mut high = round(offer("high"), &all, &Ballots::new("q", 1));
    let out = low.on_tick(lab.now);
    let low_writes = lab.carry(&mut low, &out, &["a", "d", "b"]);
    let out = high.on_tick(lab.now);
    let high_writes = lab.carry(&mut high, &out, &["v", "b", "c"]);
    lab.carry(&mut low, &low_writes, &["a", "d"]);

    lab.wipe("v");
    assert_eq!(lab.recover("v", &["a", "b", "d"]), State::Voting);
    let mut read = round(Operation::Read, &all, &Ballots::new("r", 1));
    let out = read.on_tick(lab.now);
    let seen = lab.carry(&mut read, &out, &["a", "d", "v"]);
    assert_eq!(seen.outcome, None, "the copy made up a majority");

    lab.carry(&mut high, &high_writes, &["v", "b", "c"]);
    let on: Vec<_> = ["v", "b", "c"].iter().map(|name| &*lab.stands(name).unwrap().value.content).collect();
    assert_eq!(on, ["high"; 3]);
}

#[test]
fn a_write_that_took_long_is_not_answered() {
    let all = members(&["a", "b", "v"]);
    let mut lab = Lab::new(&all, &["a", "b", "v"]);
    let mut change = round(offer("one"), &all, &Ballots::new("p", 1));
    let out = change.on_tick(lab.now);
    let writes = lab.carry(&mut change, &out, &["a", "b"]);
    let mut read = round(Operation::Read, &all, &Ballots::new("q", 1));
    lab.carry(&mut change, &writes, &["v"]);
    let looks = read.on_tick(lab.now);
    lab.carry(&mut read, &looks, &["v"]);

    lab.wipe("v");
    assert_eq!(lab.recover("v", &["a", "b"]), State::Voting);
    assert_eq!(lab.stands("v"), None);
    let late = lab.carry(&mut change, &writes, &["a"]);
    assert_eq!(late.outcome, None, "only one disk has it");
    let late = lab.carry(&mut read, &looks, &["a"]);
    assert_eq!(late.outcome, None, "only one disk has it");
}

#[test]
fn a_promise_outlasts_the_disk() {
    let all = members(&["a", "b", "v"]);
    let mut lab = Lab::new(&all, &["a", "b", "v"]);
    let mut late = round(offer("late"), &all, &Ballots::new("p", 1));
    let late_asks = late.on_tick(lab.now);
    lab.carry(&mut late, &late_asks, &["v"]);
    let mut kept = round(offer("kept"), &all, &Ballots::new("q", 1));
    let out = kept.on_tick(lab.now);
    lab.carry(&mut kept, &out, &["a", "v"]);
    let promised = lab.voters["v"].0.slot(Key::Config).unwrap().promised.clone();

    lab.wipe("v");
    assert_eq!(lab.recover("v", &["a", "b"]), State::Voting);
    assert_eq!(lab.voters["v"].0.slot(Key::Config).unwrap().promised, promised);
    // `b` promises only now: the copy could not know of it.
    let out = lab.carry(&mut late, &late_asks, &["b"]);
    assert!(out.send.iter().all(|(_, message)| !matches!(message, Message::Write { .. })));
}

#[test]
fn half_a_copy_is_none() {
    let all = members(&["a", "b", "v"]);
    let mut lab = Lab::new(&all, &["a", "b", "v"]);
    let mut change = round(offer("one"), &all, &Ballots::new("p", 1));
    let out = change.on_tick(lab.now);
    let out = lab.carry(&mut change, &out, &["a", "v"]);
    assert!(matches!(lab.carry(&mut change, &out, &["a", "v"]).outcome, Some(Outcome::Written(_))));
    lab.wipe("v");
    lab.now += PHASE_TIMEOUT + RECOVERY_MARGIN;
    let ask = lab.voters.get_mut("v").unwrap().0.on_tick(lab.now)[0].1.clone();
    let states = ["a", "b"].map(|name| (name, lab.give(name, "v", ask.clone()).unwrap()));
    let (voter, _) = lab.voters.get_mut("v").unwrap();
    let [(_, first), (_, second)] = states;
    voter.handle(lab.now, "a", first).commit(|_| Err(())).expect("one is not enough to write");
    let (mut disk, mut batches) = (BTreeMap::new(), 0);
    let step = voter.handle(lab.now, "b", second).commit(|writes| {
        batches += 1;
        if batches == 2 { Err(()) } else { store(&mut disk, writes) }
    });
    assert_eq!((step, voter.state()), (Err(()), State::Recovering));
    assert!(!disk.is_empty());
    assert_eq!(open("v", &disk, lab.now).state(), State::Empty);
}

#[test]
fn newer_members_come_first() {
    let first = members(&["a", "b", "c"]);
    let mut lab = Lab::new(&first, &["a", "b", "c"]);
    let joint = first.joint(vec!["a".into(), "b".into(), "z".into()]);
    let ballots = Ballots::new("p", 1);
    let kind = |next: &Members, expected_version| Operation::Propose {
        version: next.epoch,
        content: next.to_text().into(),
        expected_version,
    };
    let mut change = Round::new(kind(&joint, Some(0)), Key::Members, first.clone(), &ballots, 1, u64::MAX);
    let out = change.on_tick(lab.now);
    let out = lab.carry(&mut change, &out, &["a", "b"]);
    assert_eq!(lab.carry(&mut change, &out, &["a"]).outcome, None);

    // Members that are not known to stand are not built upon.
    let after = joint.completed().unwrap();
    let mut jump = Round::new(kind(&after, Some(1)), Key::Members, first.clone(), &ballots, 1, u64::MAX);
    let out = jump.on_tick(lab.now);
    let out = lab.carry(&mut jump, &out, &["a", "c"]);
    let Message::Write { value, .. } = sent(&out, "c") else { panic!("{out:?}") };
    assert_eq!(value.version, 1);

    // Another key: `a` speaks of the newer ones, so they are finished, and the round goes on under them.
    let mut read = round(Operation::Read, &first, &Ballots::new("r", 1));
    let looks = read.on_tick(lab.now);
    let prepares = lab.carry(&mut read, &looks, &["a"]);
    assert!(matches!(sent(&prepares, "b"), Message::Prepare { key: Key::Members, .. }));
    let retries = {
        let mut out = prepares;
        lab.now += 100 * MS;
        for _ in 0..20 {
            let sends = lab.carry(&mut read, &out, &["a", "b"]);
            out = if sends.send.is_empty() { read.on_tick(lab.now) } else { sends };
            lab.now += 100 * MS;
            if read.members().epoch == 1 {
                break;
            }
        }
        out
    };
    assert_eq!(read.members(), &joint);
    assert!(matches!(sent(&retries, "z"), Message::Query { key: Key::Config, .. }));
    lab.carry(&mut read, &retries, &["a", "b"]);
    assert_eq!(lab.voters["b"].0.members(), Some(&joint));

    // Who has adopted them turns older writers down.
    let old = Message::Prepare { key: Key::Config, ballot: Ballots::new("o", 1).next(99), members: first };
    let reply = lab.give("b", "o", old);
    assert!(matches!(reply, Some(Message::NewerMembers { chosen: true, members, .. }) if members == joint));
}

#[test]
fn a_copy_meets_the_sets_that_are_written() {
    let first = members(&["a", "b", "v"]);
    let mut lab = Lab::new(&first, &["a", "b", "v"]);
    let joint = first.joint(vec!["a".into(), "z".into(), "v".into()]);
    let after = joint.completed().unwrap();
    let value = Value { version: 2, content: after.to_text().into() };
    let ballot = Ballots::new("p", 1).next(0);
    for name in ["a", "v"] {
        let (value, ballot) = (value.clone(), ballot.clone());
        let write = Message::Write { key: Key::Members, ballot, value, members: joint.clone() };
        assert!(matches!(lab.give(name, "p", write), Some(Message::Wrote { .. })));
    }
    lab.wipe("v");
    assert_eq!(lab.recover("v", &["a", "b"]), State::Recovering, "`z` and `v` may have decided alone since");
}

/// Changes the voters; all that are here answer.
fn change(lab: &mut Lab, before: &Members, change: VoterChange) -> Members {
    let (ballots, limit) = (Ballots::new("m", lab.now), lab.now + 6_000 * MS);
    let mut moving =
        MembershipChange::new(Some(change), before.clone(), &ballots, 1, 800 * MS, limit, lab.now);
    let mut out = moving.on_tick(lab.now);
    for _ in 0..200 {
        for (to, message) in std::mem::take(&mut out.send) {
            if let Some(reply) = lab.give(&to, "m", message) {
                out.send.extend(moving.on_reply(lab.now, &to, &reply).send);
            }
        }
        if let Some(MembershipOutcome::Done(members)) = moving.outcome() {
            return members.clone();
        }
        if out.send.is_empty() {
            lab.now += 100 * MS;
            out = moving.on_tick(lab.now);
        }
    }
    panic!("{:?}", moving.outcome());
}

/// The new voter has a state of before, so it copies nothing.
#[test]
fn a_record_of_moves_goes_over_to_new_voters_and_none_leaves_no_trace() {
    let first = members(&["a", "b", "c", "z"]);
    for written in [true, false] {
        let mut lab = Lab::new(&first, &["a", "b", "c", "z"]);
        let three = change(&mut lab, &first, VoterChange::Remove("z".into()));
        if written {
            let ballots = Ballots::new("p", 1);
            let mut write = Round::new(offer("x"), Key::Migrations, three.clone(), &ballots, 1, u64::MAX);
            let out = write.on_tick(lab.now);
            let out = lab.carry(&mut write, &out, &["a", "b"]);
            assert!(lab.carry(&mut write, &out, &["a", "b"]).outcome.is_some());
        }
        let after = change(&mut lab, &three, VoterChange::Replace { old: "a".into(), new: "z".into() });
        let mut read =
            Round::new(Operation::Read, Key::Migrations, after, &Ballots::new("r", 1), 1, u64::MAX);
        let mut out = read.on_tick(lab.now);
        for _ in 0..20 {
            for (to, message) in std::mem::take(&mut out.send).into_iter().filter(|(to, _)| to != "b") {
                let reply = lab.give(&to, "r", message);
                let next = reply.map(|reply| read.on_reply(lab.now, &to, &reply)).unwrap_or_default();
                out.send.extend(next.send);
                out.outcome = out.outcome.or(next.outcome);
            }
            if out.outcome.is_none() && out.send.is_empty() {
                lab.now += 20 * MS;
                out = read.on_tick(lab.now);
            }
        }
        let found = written.then(|| Value { version: 1, content: "x".into() });
        assert_eq!(out.outcome, Some(Outcome::Found(found)));
        let disk = &lab.voters["c"].1;
        assert_eq!(disk.contains_key("key/moves"), written);
        assert!(disk["voter"].contains(if written { r#""format":"2""# } else { r#""format":"1""# }));
    }
}

#[test]
fn a_duty_is_not_given_twice_over_a_move() {
    let first = members(&["a", "b", "c"]);
    let mut lab = Lab::new(&first, &["a", "b", "c"]);
    let joint = first.joint(vec!["a".into(), "b".into(), "z".into()]);
    let after = joint.completed().unwrap();
    let ask = |holder: &str, request, held_epoch, members: &Members| Message::LeaseRequest {
        lease: "steward".into(),
        holder: holder.into(),
        incarnation: 1,
        request,
        held_epoch,
        previous_holder: false,
        members: members.clone(),
    };
    let granted = |reply: Option<Message>| matches!(reply, Some(Message::LeaseGranted { .. }));
    assert!(granted(lab.give("c", "h", ask("h", 1, None, &first))));
    assert!(granted(lab.give("a", "h", ask("h", 1, None, &first))));
    // `b` jumps over the joint record: it can't know whom the others granted, unless one held it under that.
    assert!(!granted(lab.give("b", "k", ask("k", 1, None, &after))));
    assert!(!granted(lab.give("b", "h", ask("h", 2, Some(0), &after))));
    assert!(granted(lab.give("b", "h", ask("h", 3, Some(1), &after))));
    // One step onto a joint record shares its majorities with what was before.
    assert!(granted(lab.give("c", "h", ask("h", 4, None, &joint))));
    lab.now += LEASE_DURATION;
    assert!(granted(lab.give("b", "k", ask("k", 2, None, &after))));
}

#[test]
fn who_had_the_duty_last_need_not_wait_for_its_own_life_of_before() {
    let all = members(&["a", "b", "c"]);
    let mut lab = Lab::new(&all, &["a", "b", "c"]);
    let ask = |holder: &str, incarnation, previous_holder| Message::LeaseRequest {
        lease: "steward".into(),
        holder: holder.into(),
        incarnation,
        request: 1,
        held_epoch: None,
        previous_holder,
        members: all.clone(),
    };
    let granted = |reply: Option<Message>| matches!(reply, Some(Message::LeaseGranted { .. }));
    assert!(granted(lab.give("a", "h", ask("h", 1, false))));
    // Its next life, at a voter that knows of the one before; nobody else, and no life that is over.
    assert!(!granted(lab.give("a", "k", ask("k", 9, true))));
    assert!(granted(lab.give("a", "h", ask("h", 2, false))));
    assert!(!granted(lab.give("a", "h", ask("h", 1, true))));
    // A voter that has just started: only for the one that the register names.
    lab.restart("b");
    assert!(!granted(lab.give("b", "k", ask("k", 9, false))));
    assert!(granted(lab.give("b", "h", ask("h", 2, true))));
    assert!(!granted(lab.give("b", "k", ask("k", 9, true))));
    // Once in office it asks as any holder does, and goes on, though a voter that starts would grant nobody else yet.
    assert!(granted(lab.give("b", "h", ask("h", 2, false))));
    assert!(!granted(lab.give("b", "h", ask("h", 3, false))));
}
