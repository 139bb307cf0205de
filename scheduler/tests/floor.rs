//! A floor under a function: who goes by it, how long it holds, and what is told meanwhile.

use millpost_protocol::FunctionStatus;
use millpost_scheduler::{
    Effect, FunctionSpec, Instance, MS, Nanos, Outcome, Owners, OwnershipChange, Peer, PermitRequest, SECOND,
    Scheduler, SchedulerLimits, Stage, Transfer,
};

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: "a:1".into(), zone: "z".into() }
}

fn own(broker: &mut Scheduler, now: Nanos, owner: &str) {
    let owners = Owners::new((1, 1), vec![peer(owner)], []);
    broker.update_ownership(now, &peer("me"), &owners, &OwnershipChange::all(), |_, _| Transfer::default());
}

fn broker(owner: &str) -> Scheduler {
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut broker = Scheduler::new(terms, 1);
    let spec = FunctionSpec { name: "f".into(), concurrency: 1, startup_time: 400 * MS, memory_mb: 128 };
    broker.configure(0, [spec].into_iter());
    own(&mut broker, 0, owner);
    for id in ["i", "j", "k"] {
        let stage = Stage::Ready;
        let name = |text: &str| text.into();
        let of = Instance {
            id: name(id),
            service: name("f"),
            address: name("a:1"),
            zone: name("z"),
            worker: name("w"),
            stage,
        };
        broker.update_instance(0, of, true);
    }
    broker
}

/// What is wanted last, and how often it was said, and what was let go, from one time to another.
fn pass(broker: &mut Scheduler, from: Nanos, to: Nanos) -> (Option<u32>, usize, usize) {
    let (mut wanted, mut said, mut retired) = (None, 0, 0);
    for now in (from..to).step_by(25 * MS as usize) {
        broker.tick(now);
        for effect in broker.take_effects() {
            if let Effect::Retire(id) = &effect {
                broker.remove_instance(now, id);
            }
            match effect {
                Effect::SetInstanceTarget { count, .. } => (wanted, said) = (Some(count), said + 1),
                Effect::Retire(_) => retired += 1,
                _ => {}
            }
        }
    }
    (wanted, said, retired)
}

#[test]
fn an_owner_lets_nothing_go_that_a_floor_keeps_until_the_floor_is_over() {
    let mut broker = broker("me");
    broker.set_min_instances(0, "f", 2, 7, 20 * SECOND);
    let (wanted, said, retired) = pass(&mut broker, 0, 10 * SECOND);
    assert_eq!((wanted, retired), (Some(2), 1), "one more than the floor");
    assert!((18..=24).contains(&said), "twice a second: {said}");
    // A steward of before says nothing that counts any more; the same one and the next do.
    broker.set_min_instances(10 * SECOND, "f", 0, 6, 0);
    assert_eq!(pass(&mut broker, 10 * SECOND, 12 * SECOND).2, 0);
    broker.set_min_instances(12 * SECOND, "f", 1, 8, 14 * SECOND);
    assert_eq!(pass(&mut broker, 12 * SECOND, 13 * SECOND), (Some(1), 2, 1));
    // Its time is over, without another word.
    let (wanted, _, retired) = pass(&mut broker, 13 * SECOND, 16 * SECOND);
    assert_eq!((wanted, retired), (Some(0), 1));
    assert_eq!(pass(&mut broker, 16 * SECOND, 30 * SECOND), (None, 0, 0));
}

#[test]
fn who_comes_to_own_it_goes_by_the_floor_and_who_does_not_own_it_says_nothing() {
    let mut broker = broker("you");
    broker.set_min_instances(0, "f", 3, 7, 9 * SECOND);
    assert_eq!(pass(&mut broker, 0, SECOND), (None, 0, 0));
    own(&mut broker, SECOND, "me");
    assert_eq!(pass(&mut broker, SECOND, 8 * SECOND).0, Some(3));
    own(&mut broker, 8 * SECOND, "you");
    assert_eq!(pass(&mut broker, 8 * SECOND, 8_500 * MS), (None, 0, 0));
}

/// Requests that are there at once, to their end.
fn serve(broker: &mut Scheduler, now: Nanos, ids: std::ops::Range<u64>, outcome: Outcome, took: Nanos) {
    let ask = |id| PermitRequest {
        id,
        service: "f".into(),
        deadline: now + SECOND,
        soft_deadline: now + 400 * MS,
        target: 400 * MS,
        attempts_sent: 0,
        returned: false,
        avoid: vec![],
        zone: "z".into(),
    };
    ids.clone().for_each(|id| broker.request_permit(now, "me".into(), ask(id), true));
    ids.for_each(|id| broker.release(now + took, "me", id, outcome, took));
}

#[test]
fn with_a_floor_an_owner_tells_the_mean_delay_and_the_lowest_and_what_was_refused_lately() {
    let mut broker = broker("me");
    let told = |broker: &mut Scheduler, now| -> Option<FunctionStatus> {
        broker.tick(now);
        let all = broker.take_effects();
        all.iter()
            .rev()
            .find_map(|e| if let Effect::SetInstanceTarget { does, .. } = e { Some(*does) } else { None })?
    };
    serve(&mut broker, SECOND, 0..3, Outcome::Answered, 40 * MS);
    assert_eq!(told(&mut broker, 2 * SECOND), None, "nobody has asked for it");
    broker.set_min_instances(2 * SECOND, "f", 1, 7, 60 * SECOND);
    let does = FunctionStatus { delay: 40.0, lowest: 40.0, asked: 0, refused: 0 };
    assert_eq!(told(&mut broker, 2_100 * MS), Some(does));
    // All three take 240 ms once: a fifth of that, and the rest of before.
    serve(&mut broker, 2_200 * MS, 10..13, Outcome::Answered, 240 * MS);
    let does = told(&mut broker, 2_700 * MS).expect("asked for");
    assert!((does.delay - 80.0).abs() < 1e-6 && does.lowest == 40.0, "{does:?}");
    assert_eq!((does.asked, does.refused), (3, 0));
    serve(&mut broker, 2_800 * MS, 20..21, Outcome::Full, MS);
    assert_eq!(told(&mut broker, 3_300 * MS).map(|d| (d.asked, d.refused)), Some((4, 1)));
    assert_eq!(told(&mut broker, 6_000 * MS).map(|d| (d.asked, d.refused)), Some((0, 0)));
    broker.set_min_instances(6_100 * MS, "f", 0, 7, 0);
    assert_eq!(told(&mut broker, 8_500 * MS), None);
}
