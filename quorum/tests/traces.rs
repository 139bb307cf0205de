//! Scenarios written out message by message. Each loses a value, or grants a lease twice, if one rule of the
//! protocol is missing.

use std::collections::BTreeMap;

use millpost_quorum::*;

const MS: u64 = 1_000_000;

/// Voters whose messages are delivered explicitly.
struct Cluster {
    now: u64,
    voters: BTreeMap<&'static str, (Voter, BTreeMap<String, String>)>,
}

fn members(names: &[&str]) -> Members {
    Members::initial("lab", names.iter().map(|name| Address::from(*name)))
}

fn propose(content: &str) -> Operation {
    Operation::Propose { version: 1, content: content.into(), expected_version: None }
}

fn round(operation: Operation, members: &Members, ballots: &Ballots) -> Round {
    Round::new(operation, Key::Config, members.clone(), ballots, 1, u64::MAX)
}

fn open(name: &str, disk: &BTreeMap<String, String>, now: u64) -> Voter {
    Voter::open(name.into(), disk.clone(), vec!["a".into(), "b".into()], now, now).unwrap()
}

impl Cluster {
    fn new(first: &Members, names: &[&'static str]) -> Self {
        let mut cluster = Self { now: 10_000 * MS, voters: BTreeMap::new() };
        for name in names {
            let (mut voter, mut disk) = (open(name, &BTreeMap::new(), 0), BTreeMap::new());
            voter.bootstrap(first.clone()).commit(|writes| store(&mut disk, writes)).unwrap();
            cluster.voters.insert(name, (voter, disk));
        }
        cluster
    }

    fn deliver(&mut self, to: &str, from: &str, message: Message) -> Option<Message> {
        let (voter, disk) = self.voters.get_mut(to).unwrap();
        voter.handle(self.now, from, message).commit(|writes| store(disk, writes)).unwrap()
    }

    /// Delivers the messages sent to these voters and their replies. Returns the resulting output without
    /// delivering it.
    fn exchange(&mut self, round: &mut Round, out: &Output, to: &[&str]) -> Output {
        let mut last = Output::default();
        for name in to {
            let message = sent(out, name);
            if let Some(reply) = self.deliver(name, "p", message) {
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

    /// Restarts the process of a voter with its disk.
    fn restart(&mut self, name: &'static str) {
        let now = self.now;
        if let Some((voter, disk)) = self.voters.get_mut(name) {
            *voter = open(name, disk, now);
        }
    }

    /// Lets an empty voter wait and send its state requests, and delivers the replies of these voters.
    fn recover(&mut self, name: &'static str, from: &[&str]) -> State {
        assert!(self.voters.get_mut(name).unwrap().0.on_tick(self.now + PHASE_TIMEOUT).is_empty());
        self.now += PHASE_TIMEOUT + RECOVERY_MARGIN;
        let requests = self.voters.get_mut(name).unwrap().0.on_tick(self.now);
        let request = requests[0].1.clone();
        for other in from {
            let state = self.deliver(other, name, request.clone()).unwrap();
            assert_eq!(self.deliver(name, other, state), None);
        }
        self.voters[name].0.state()
    }

    fn accepted(&self, name: &str) -> Option<&Accepted> {
        self.voters[name].0.slot(Key::Config)?.accepted.as_ref()
    }
}

fn store(disk: &mut BTreeMap<String, String>, writes: &[Write]) -> Result<(), ()> {
    disk.extend(writes.iter().map(|write| (write.key.clone(), write.text.clone())));
    Ok(())
}

fn sent(out: &Output, to: &str) -> Message {
    out.send.iter().find(|(name, _)| name == to).expect("a message to this voter").1.clone()
}

#[test]
fn copied_value_does_not_count_as_a_vote() {
    let all = members(&["a", "b", "c", "d", "v"]);
    let mut cluster = Cluster::new(&all, &["a", "b", "c", "d", "v"]);
    let mut low = round(propose("low"), &all, &Ballots::new("p", 1));
    let mut high = round(propose("high"), &all, &Ballots::new("q", 1));
    let out = low.on_tick(cluster.now);
    let low_writes = cluster.exchange(&mut low, &out, &["a", "d", "b"]);
    let out = high.on_tick(cluster.now);
    let high_writes = cluster.exchange(&mut high, &out, &["v", "b", "c"]);
    cluster.exchange(&mut low, &low_writes, &["a", "d"]);

    cluster.wipe("v");
    assert_eq!(cluster.recover("v", &["a", "b", "d"]), State::Voting);
    let mut read = round(Operation::Read, &all, &Ballots::new("r", 1));
    let out = read.on_tick(cluster.now);
    let seen = cluster.exchange(&mut read, &out, &["a", "d", "v"]);
    assert_eq!(seen.outcome, None, "the copied value completed a majority");

    cluster.exchange(&mut high, &high_writes, &["v", "b", "c"]);
    let contents: Vec<_> =
        ["v", "b", "c"].iter().map(|name| &*cluster.accepted(name).unwrap().value.content).collect();
    assert_eq!(contents, ["high"; 3]);
}

#[test]
fn phase_that_exceeds_its_timeout_gives_no_result() {
    let all = members(&["a", "b", "v"]);
    let mut cluster = Cluster::new(&all, &["a", "b", "v"]);
    let mut change = round(propose("one"), &all, &Ballots::new("p", 1));
    let out = change.on_tick(cluster.now);
    let writes = cluster.exchange(&mut change, &out, &["a", "b"]);
    let mut read = round(Operation::Read, &all, &Ballots::new("q", 1));
    cluster.exchange(&mut change, &writes, &["v"]);
    let queries = read.on_tick(cluster.now);
    cluster.exchange(&mut read, &queries, &["v"]);

    cluster.wipe("v");
    assert_eq!(cluster.recover("v", &["a", "b"]), State::Voting);
    assert_eq!(cluster.accepted("v"), None);
    let out = cluster.exchange(&mut change, &writes, &["a"]);
    assert_eq!(out.outcome, None, "only one disk has it");
    let out = cluster.exchange(&mut read, &queries, &["a"]);
    assert_eq!(out.outcome, None, "only one disk has it");
}

#[test]
fn promise_survives_the_loss_of_the_disk() {
    let all = members(&["a", "b", "v"]);
    let mut cluster = Cluster::new(&all, &["a", "b", "v"]);
    let mut late = round(propose("late"), &all, &Ballots::new("p", 1));
    let late_prepares = late.on_tick(cluster.now);
    cluster.exchange(&mut late, &late_prepares, &["v"]);
    let mut kept = round(propose("kept"), &all, &Ballots::new("q", 1));
    let out = kept.on_tick(cluster.now);
    cluster.exchange(&mut kept, &out, &["a", "v"]);
    let promised = cluster.voters["v"].0.slot(Key::Config).unwrap().promised.clone();

    cluster.wipe("v");
    assert_eq!(cluster.recover("v", &["a", "b"]), State::Voting);
    assert_eq!(cluster.voters["v"].0.slot(Key::Config).unwrap().promised, promised);
    // `b` promises only now, so the copied state does not include this promise.
    let out = cluster.exchange(&mut late, &late_prepares, &["b"]);
    assert!(out.send.iter().all(|(_, message)| !matches!(message, Message::Write { .. })));
}

#[test]
fn incomplete_copy_counts_as_an_empty_disk() {
    let all = members(&["a", "b", "v"]);
    let mut cluster = Cluster::new(&all, &["a", "b", "v"]);
    let mut change = round(propose("one"), &all, &Ballots::new("p", 1));
    let out = change.on_tick(cluster.now);
    let out = cluster.exchange(&mut change, &out, &["a", "v"]);
    assert!(matches!(cluster.exchange(&mut change, &out, &["a", "v"]).outcome, Some(Outcome::Written(_))));
    cluster.wipe("v");
    cluster.now += PHASE_TIMEOUT + RECOVERY_MARGIN;
    let request = cluster.voters.get_mut("v").unwrap().0.on_tick(cluster.now)[0].1.clone();
    let states = ["a", "b"].map(|name| (name, cluster.deliver(name, "v", request.clone()).unwrap()));
    let (voter, _) = cluster.voters.get_mut("v").unwrap();
    let [(_, first), (_, second)] = states;
    voter.handle(cluster.now, "a", first).commit(|_| Err(())).expect("one reply is not enough to write");
    let (mut disk, mut batches) = (BTreeMap::new(), 0);
    let step = voter.handle(cluster.now, "b", second).commit(|writes| {
        batches += 1;
        if batches == 2 { Err(()) } else { store(&mut disk, writes) }
    });
    assert_eq!((step, voter.state()), (Err(()), State::Recovering));
    assert!(!disk.is_empty());
    assert_eq!(open("v", &disk, cluster.now).state(), State::Empty);
}

#[test]
fn newer_members_are_adopted_before_other_requests() {
    let first = members(&["a", "b", "c"]);
    let mut cluster = Cluster::new(&first, &["a", "b", "c"]);
    let joint = first.joint(vec!["a".into(), "b".into(), "z".into()]);
    let ballots = Ballots::new("p", 1);
    let propose_members = |next: &Members, expected_version| Operation::Propose {
        version: next.epoch,
        content: next.to_text().into(),
        expected_version,
    };
    let mut change =
        Round::new(propose_members(&joint, Some(0)), Key::Members, first.clone(), &ballots, 1, u64::MAX);
    let out = change.on_tick(cluster.now);
    let out = cluster.exchange(&mut change, &out, &["a", "b"]);
    assert_eq!(cluster.exchange(&mut change, &out, &["a"]).outcome, None);

    // A further change cannot be based on members that are not known to be chosen.
    let after = joint.completed().unwrap();
    let mut skipping =
        Round::new(propose_members(&after, Some(1)), Key::Members, first.clone(), &ballots, 1, u64::MAX);
    let out = skipping.on_tick(cluster.now);
    let out = cluster.exchange(&mut skipping, &out, &["a", "c"]);
    let Message::Write { value, .. } = sent(&out, "c") else { panic!("{out:?}") };
    assert_eq!(value.version, 1);

    // A round for another key: `a` reports the newer members, so they are written first and the round
    // continues under them.
    let mut read = round(Operation::Read, &first, &Ballots::new("r", 1));
    let queries = read.on_tick(cluster.now);
    let prepares = cluster.exchange(&mut read, &queries, &["a"]);
    assert!(matches!(sent(&prepares, "b"), Message::Prepare { key: Key::Members, .. }));
    let retries = {
        let mut out = prepares;
        cluster.now += 100 * MS;
        for _ in 0..20 {
            let sends = cluster.exchange(&mut read, &out, &["a", "b"]);
            out = if sends.send.is_empty() { read.on_tick(cluster.now) } else { sends };
            cluster.now += 100 * MS;
            if read.members().epoch == 1 {
                break;
            }
        }
        out
    };
    assert_eq!(read.members(), &joint);
    assert!(matches!(sent(&retries, "z"), Message::Query { key: Key::Config, .. }));
    cluster.exchange(&mut read, &retries, &["a", "b"]);
    assert_eq!(cluster.voters["b"].0.members(), Some(&joint));

    // A voter that has adopted them rejects proposers with older members.
    let old = Message::Prepare { key: Key::Config, ballot: Ballots::new("o", 1).next(99), members: first };
    let reply = cluster.deliver("b", "o", old);
    assert!(matches!(reply, Some(Message::NewerMembers { chosen: true, members, .. }) if members == joint));
}

#[test]
fn recovery_waits_for_the_sets_of_members_that_are_only_written() {
    let first = members(&["a", "b", "v"]);
    let mut cluster = Cluster::new(&first, &["a", "b", "v"]);
    let joint = first.joint(vec!["a".into(), "z".into(), "v".into()]);
    let after = joint.completed().unwrap();
    let value = Value { version: 2, content: after.to_text().into() };
    let ballot = Ballots::new("p", 1).next(0);
    for name in ["a", "v"] {
        let (value, ballot) = (value.clone(), ballot.clone());
        let write = Message::Write { key: Key::Members, ballot, value, members: joint.clone() };
        assert!(matches!(cluster.deliver(name, "p", write), Some(Message::Wrote { .. })));
    }
    cluster.wipe("v");
    assert_eq!(
        cluster.recover("v", &["a", "b"]),
        State::Recovering,
        "`z` and `v` may have decided without the others since"
    );
}

/// Changes the voters; all machines of the cluster reply.
fn change_voters(cluster: &mut Cluster, before: &Members, change: VoterChange) -> Members {
    let (ballots, limit) = (Ballots::new("m", cluster.now), cluster.now + 6_000 * MS);
    let mut change =
        MembershipChange::new(Some(change), before.clone(), &ballots, 1, 800 * MS, limit, cluster.now);
    let mut out = change.on_tick(cluster.now);
    for _ in 0..200 {
        for (to, message) in std::mem::take(&mut out.send) {
            if let Some(reply) = cluster.deliver(&to, "m", message) {
                out.send.extend(change.on_reply(cluster.now, &to, &reply).send);
            }
        }
        if let Some(MembershipOutcome::Done(members)) = change.outcome() {
            return members.clone();
        }
        if out.send.is_empty() {
            cluster.now += 100 * MS;
            out = change.on_tick(cluster.now);
        }
    }
    panic!("{:?}", change.outcome());
}

/// The new voter has a state from an earlier membership, so it copies nothing.
#[test]
fn record_of_migrations_reaches_new_voters_and_an_absent_one_is_not_written() {
    let first = members(&["a", "b", "c", "z"]);
    for written in [true, false] {
        let mut cluster = Cluster::new(&first, &["a", "b", "c", "z"]);
        let three_voters = change_voters(&mut cluster, &first, VoterChange::Remove("z".into()));
        if written {
            let ballots = Ballots::new("p", 1);
            let mut write =
                Round::new(propose("x"), Key::Migrations, three_voters.clone(), &ballots, 1, u64::MAX);
            let out = write.on_tick(cluster.now);
            let out = cluster.exchange(&mut write, &out, &["a", "b"]);
            assert!(cluster.exchange(&mut write, &out, &["a", "b"]).outcome.is_some());
        }
        let after = change_voters(
            &mut cluster,
            &three_voters,
            VoterChange::Replace { old: "a".into(), new: "z".into() },
        );
        let mut read =
            Round::new(Operation::Read, Key::Migrations, after, &Ballots::new("r", 1), 1, u64::MAX);
        let mut out = read.on_tick(cluster.now);
        for _ in 0..20 {
            for (to, message) in std::mem::take(&mut out.send).into_iter().filter(|(to, _)| to != "b") {
                let reply = cluster.deliver(&to, "r", message);
                let next = reply.map(|reply| read.on_reply(cluster.now, &to, &reply)).unwrap_or_default();
                out.send.extend(next.send);
                out.outcome = out.outcome.or(next.outcome);
            }
            if out.outcome.is_none() && out.send.is_empty() {
                cluster.now += 20 * MS;
                out = read.on_tick(cluster.now);
            }
        }
        let found = written.then(|| Value { version: 1, content: "x".into() });
        assert_eq!(out.outcome, Some(Outcome::Found(found)));
        let disk = &cluster.voters["c"].1;
        assert_eq!(disk.contains_key("key/moves"), written);
        assert!(disk["voter"].contains(if written { r#""format":"2""# } else { r#""format":"1""# }));
    }
}

#[test]
fn lease_is_not_granted_twice_during_a_membership_change() {
    let first = members(&["a", "b", "c"]);
    let mut cluster = Cluster::new(&first, &["a", "b", "c"]);
    let joint = first.joint(vec!["a".into(), "b".into(), "z".into()]);
    let after = joint.completed().unwrap();
    let request = |holder: &str, request, held_epoch, members: &Members| Message::LeaseRequest {
        lease: "steward".into(),
        holder: holder.into(),
        incarnation: 1,
        request,
        held_epoch,
        previous_holder: false,
        members: members.clone(),
    };
    let granted = |reply: Option<Message>| matches!(reply, Some(Message::LeaseGranted { .. }));
    assert!(granted(cluster.deliver("c", "h", request("h", 1, None, &first))));
    assert!(granted(cluster.deliver("a", "h", request("h", 1, None, &first))));
    // `b` skips the joint record: it cannot know the grants of the others, except for a process that held the
    // lease under it.
    assert!(!granted(cluster.deliver("b", "k", request("k", 1, None, &after))));
    assert!(!granted(cluster.deliver("b", "h", request("h", 2, Some(0), &after))));
    assert!(granted(cluster.deliver("b", "h", request("h", 3, Some(1), &after))));
    // A majority under a joint record includes one under the record before it.
    assert!(granted(cluster.deliver("c", "h", request("h", 4, None, &joint))));
    cluster.now += LEASE_DURATION;
    assert!(granted(cluster.deliver("b", "k", request("k", 2, None, &after))));
}

#[test]
fn last_holder_need_not_wait_for_the_lease_of_its_earlier_incarnation() {
    let all = members(&["a", "b", "c"]);
    let mut cluster = Cluster::new(&all, &["a", "b", "c"]);
    let request = |holder: &str, incarnation, previous_holder| Message::LeaseRequest {
        lease: "steward".into(),
        holder: holder.into(),
        incarnation,
        request: 1,
        held_epoch: None,
        previous_holder,
        members: all.clone(),
    };
    let granted = |reply: Option<Message>| matches!(reply, Some(Message::LeaseGranted { .. }));
    assert!(granted(cluster.deliver("a", "h", request("h", 1, false))));
    // At a voter that knows the earlier grant, only a later incarnation of the holder is granted the lease.
    assert!(!granted(cluster.deliver("a", "k", request("k", 9, true))));
    assert!(granted(cluster.deliver("a", "h", request("h", 2, false))));
    assert!(!granted(cluster.deliver("a", "h", request("h", 1, true))));
    // A voter that has just started grants the lease only to the last holder that the register names.
    cluster.restart("b");
    assert!(!granted(cluster.deliver("b", "k", request("k", 9, false))));
    assert!(granted(cluster.deliver("b", "h", request("h", 2, true))));
    assert!(!granted(cluster.deliver("b", "k", request("k", 9, true))));
    // Once it holds the lease, it renews it like any holder, although the voter would not grant it to others
    // yet.
    assert!(granted(cluster.deliver("b", "h", request("h", 2, false))));
    assert!(!granted(cluster.deliver("b", "h", request("h", 3, false))));
}
