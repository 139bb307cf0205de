//! An owner of functions, step by step: each test is what went wrong once on a day, in the small.

use millpost_scheduler::{
    DenialReason, Effect, FunctionSpec, Instance, MS, Nanos, Outcome, Owners, OwnershipChange, Peer,
    PermitRequest, SECOND, Scheduler, SchedulerLimits, Stage, Transfer,
};

fn broker(concurrency: u32) -> Scheduler {
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut broker = Scheduler::new(terms, 1);
    let spec = FunctionSpec { name: "f".into(), concurrency, startup_time: 400 * MS, memory_mb: 128 };
    broker.configure(0, [spec].into_iter());
    own(&mut broker, 0, true);
    broker.tick(T);
    broker.take_effects();
    broker
}

/// By then an owner gives out all its slots.
const T: Nanos = SECOND;

fn own(broker: &mut Scheduler, now: Nanos, mine: bool) {
    let who = if mine { peer("z") } else { peer("y") };
    let owners = Owners::new((1, 1), vec![who], []);
    broker.update_ownership(now, &peer("z"), &owners, &OwnershipChange::all(), |_, _| Transfer::default());
}

/// The stall of a zone; this one is that of `z`.
fn peer(zone: &str) -> Peer {
    Peer { name: format!("edge-{zone}").into(), address: "a:1".into(), zone: zone.into() }
}

fn instance(id: &str, stage: Stage) -> Instance {
    let name = |text: &str| text.into();
    Instance {
        id: name(id),
        service: name("f"),
        address: name("a:1"),
        zone: name("z"),
        worker: name("w"),
        stage,
    }
}

fn ask(id: u64, now: Nanos, deadline: Nanos, returned: bool) -> PermitRequest {
    PermitRequest {
        id,
        service: "f".into(),
        deadline,
        soft_deadline: now + 200 * MS,
        target: 200 * MS,
        attempts_sent: 0,
        returned,
        avoid: vec![],
        zone: "z".into(),
    }
}

fn granted(effects: &[Effect]) -> Vec<u64> {
    let grants =
        effects.iter().filter_map(|e| if let Effect::Grant { ask, .. } = e { Some(*ask) } else { None });
    grants.collect()
}

/// A retirement that control never heard of left an instance that nobody used and nobody replaced, to the day's end.
#[test]
fn what_control_still_names_is_retired_again() {
    let mut broker = broker(1);
    broker.update_instance(0, instance("i", Stage::Ready), true);
    let mut told = Vec::new();
    for step in 0..400 {
        broker.tick(step * 25 * MS);
        let retired = |e: &Effect| matches!(e, Effect::Retire(id) if id == "i");
        told.extend(broker.take_effects().iter().filter(|e| retired(e)).map(|_| step * 25 * MS));
    }
    assert!(told.len() > 3, "{told:?}");
    broker.remove_instance(10 * SECOND, "i");
    broker.tick(12 * SECOND);
    assert!(!broker.take_effects().iter().any(|e| matches!(e, Effect::Retire(_))));
}

/// A new owner, whose demand is zero, stopped what it found, and the load that came a moment later had nothing.
#[test]
fn what_an_owner_finds_stays_until_its_demand_is_known() {
    let mut broker = broker(4);
    broker.update_instance(0, instance("i", Stage::Ready), true);
    broker.update_instance(0, instance("j", Stage::Ready), true);
    for step in 0..80 {
        broker.tick(step * 25 * MS);
    }
    let effects = broker.take_effects();
    assert!(!effects.iter().any(|e| matches!(e, Effect::Retire(_))), "{effects:?}");
    assert!(effects.iter().any(|e| matches!(e, Effect::SetInstanceTarget { count: 2, .. })));
}

#[test]
fn a_slot_is_out_once_and_those_with_least_time_come_first() {
    let mut broker = broker(2);
    broker.update_instance(T, instance("i", Stage::Ready), true);
    let times = [900, 1_500, 1_400, 700];
    for (id, deadline) in times.into_iter().enumerate() {
        broker.request_permit(T, "s".into(), ask(id as u64, T, T + deadline * MS, true), true);
    }
    assert_eq!(granted(&broker.take_effects()), [0, 1]);
    broker.release(T + 50 * MS, "s", 0, Outcome::Answered, 50 * MS);
    assert_eq!(granted(&broker.take_effects()), [3]);
    // The same again, late, frees nothing.
    broker.release(T + 60 * MS, "s", 0, Outcome::Answered, 50 * MS);
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0]);
    // One that was given up may be running still: its slot waits for the usual time.
    broker.release(T + 61 * MS, "s", 1, Outcome::Abandoned, 61 * MS);
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0]);
    broker.tick(T + 200 * MS);
    assert_eq!(granted(&broker.take_effects()), [2]);
}

/// One of which nothing was heard for long counts as a slow sample at once, and its slot waits as that of any request that was left.
#[test]
fn the_slot_of_a_silent_try_waits_for_the_usual_time_and_two_in_a_row_rest_their_instance() {
    let mut broker = broker(2);
    broker.update_instance(T, instance("i", Stage::Ready), true);
    (0..4).for_each(|id| broker.request_permit(T, "s".into(), ask(id, T, T + 4_000 * MS, true), true));
    assert_eq!(granted(&broker.take_effects()), [0, 1]);
    for id in [0, 1] {
        broker.release(T + 400 * MS, "s", id, Outcome::TimedOut, 400 * MS);
    }
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0]);
    broker.tick(T + 500 * MS);
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0], "free, and left alone for a while");
    broker.tick(T + 700 * MS);
    assert_eq!(granted(&broker.take_effects()), [2, 3]);
}

#[test]
fn a_first_try_that_would_be_late_is_turned_away_and_one_that_came_back_waits() {
    let mut broker = broker(1);
    broker.request_permit(T, "s".into(), ask(1, T, T + 1_500 * MS, false), true);
    let effects = broker.take_effects();
    assert!(
        effects.iter().any(
            |e| matches!(e, Effect::Refuse { reason: DenialReason::Full(wait), .. } if *wait >= 400 * MS)
        )
    );
    assert!(
        effects.iter().any(|e| matches!(e, Effect::SetInstanceTarget { count: 1, .. })),
        "it counts as demand: {effects:?}"
    );
    broker.request_permit(T + 450 * MS, "s".into(), ask(2, T + 450 * MS, T + 1_050 * MS, true), true);
    assert!(broker.take_effects().iter().any(|e| matches!(e, Effect::Queued { ask: 2, .. })));
    broker.update_instance(T + 500 * MS, instance("i", Stage::Booting), true);
    assert!(broker.take_effects().iter().any(|e| matches!(e, Effect::ProbeReadiness { .. })));
    broker.instance_up(T + 800 * MS, "i");
    assert_eq!(granted(&broker.take_effects()), [2]);
}

#[test]
fn what_a_stall_had_out_is_free_once_it_is_gone() {
    let mut broker = broker(1);
    broker.update_instance(0, instance("i", Stage::Ready), true);
    broker.request_permit(0, "s".into(), ask(1, 0, 1_500 * MS, true), true);
    broker.request_permit(0, "t".into(), ask(1, 0, 1_500 * MS, true), true);
    assert_eq!(granted(&broker.take_effects()).len(), 1);
    broker.proxy_left(10 * MS, "s");
    assert_eq!(granted(&broker.take_effects()).len(), 1);
}

/// Where mail to an owner was late, the next in line gave out the slots that the owner had out already, in the middle of a calm day.
#[test]
fn who_stands_in_for_the_owner_gives_one_slot_and_a_quarter_once_that_has_served() {
    let mut broker = broker(8);
    let late = T + 9 * SECOND;
    own(&mut broker, T, false);
    broker.update_instance(T, instance("i", Stage::Ready), true);
    for id in 0..8 {
        broker.request_permit(T, "s".into(), ask(id, T, late, true), true);
    }
    // Who was the owner until this moment gives nothing.
    broker.tick(T + 1_400 * MS);
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0]);
    broker.tick(T + 1_600 * MS);
    assert_eq!(granted(&broker.take_effects()), [0]);
    broker.release(T + 1_700 * MS, "s", 0, Outcome::Answered, 60 * MS);
    assert_eq!(granted(&broker.take_effects()), [1, 2]);
    // Somebody else has it full: it is left alone.
    broker.release(T + 1_800 * MS, "s", 1, Outcome::Full, MS);
    broker.release(T + 1_900 * MS, "s", 2, Outcome::Answered, MS);
    broker.tick(T + 3 * SECOND);
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0]);
    // Who owns it from now on gives half of them while the one of before may still give some.
    own(&mut broker, T + 4 * SECOND, true);
    broker.tick(T + 4_025 * MS);
    assert_eq!(granted(&broker.take_effects()).len(), 4);
}

/// Askers heard of a new owner before it had heard of the instances: what they had out was forgotten, and was given out again.
#[test]
fn permits_told_of_before_their_instance_count_once_it_is_known() {
    let mut broker = broker(2);
    broker.hold_permit(T, "s".into(), 1, "i", T + 900 * MS);
    broker.hold_permit(T, "s".into(), 2, "i", T + 900 * MS);
    broker.hold_permit(T, "s".into(), 3, "j", T + 900 * MS);
    broker.update_instance(T + 20 * MS, instance("i", Stage::Ready), true);
    broker.request_permit(T + 30 * MS, "t".into(), ask(1, T, T + 1_500 * MS, true), true);
    assert_eq!(granted(&broker.take_effects()), [] as [u64; 0]);
    broker.release(T + 60 * MS, "s", 2, Outcome::Answered, 60 * MS);
    assert_eq!(granted(&broker.take_effects()), [1]);
    // What is told of too long ago is over.
    broker.update_instance(T + 4 * SECOND, instance("j", Stage::Ready), true);
    assert_eq!(broker.permits().filter(|(.., id)| *id == "j").count(), 0);
}

/// Asks that reached an owner before word of its instances did were turned away for the time of a start.
#[test]
fn an_ask_that_comes_before_word_of_any_instance_waits_for_that_and_no_longer() {
    let mut broker = broker(4);
    own(&mut broker, T, false);
    for id in [1, 2] {
        broker.request_permit(T, "s".into(), ask(id, T, T + 1_500 * MS, false), true);
    }
    assert!(!broker.take_effects().iter().any(|e| matches!(e, Effect::Refuse { .. })));
    own(&mut broker, T + 10 * MS, true);
    broker.update_instance(T + 20 * MS, instance("i", Stage::Ready), true);
    assert_eq!(granted(&broker.take_effects()), [1, 2]);
    broker.remove_instance(T + 500 * MS, "i");
    own(&mut broker, T + 600 * MS, false);
    broker.request_permit(T + 700 * MS, "s".into(), ask(3, T + 700 * MS, T + 2_200 * MS, false), true);
    broker.tick(T + 900 * MS);
    assert!(!broker.take_effects().iter().any(|e| matches!(e, Effect::Refuse { .. })));
    broker.tick(T + 975 * MS);
    assert!(broker.take_effects().iter().any(|e| matches!(e, Effect::Refuse { ask: 3, .. })));
}

/// A lot's owner has the instances of its zone and no others, and a part of the budget's slack.
#[test]
fn an_owner_of_a_lot_gives_out_its_own_zone_alone() {
    let mut broker = broker(2);
    let there = Instance { zone: "y".into(), ..instance("j", Stage::Ready) };
    broker.update_instance(T, there, true);
    broker.update_instance(T, instance("i", Stage::Ready), true);
    let owners = Owners::new((1, 2), vec![peer("y"), peer("z")], ["f".into()]);
    broker.update_ownership(T, &peer("z"), &owners, &OwnershipChange::all(), |_, _| Transfer::default());
    broker.tick(T + 400 * MS);
    broker.take_effects();
    for id in 0..4 {
        broker.request_permit(T + 400 * MS, "s".into(), ask(id, T, T + 1_500 * MS, true), true);
    }
    let effects = broker.take_effects();
    let to = |e: &Effect| matches!(e, Effect::Grant { instance, .. } if instance.id == "i");
    assert_eq!((granted(&effects).len(), effects.iter().filter(|e| to(e)).count()), (2, 2));
    assert_eq!(broker.owned_instances().count(), 1);
    // Fifty are the slack of all, and half of what a window allows is used: twelve of this lot.
    let tries = (10..60).filter(|id| {
        let again = PermitRequest { attempts_sent: 1, ..ask(*id, T, T + 1_500 * MS, true) };
        broker.request_permit(T + 500 * MS, "s".into(), again, false);
        !broker.take_effects().iter().any(|e| matches!(e, Effect::Refuse { reason: DenialReason::Spent, .. }))
    });
    assert_eq!(tries.count(), 12);
}
