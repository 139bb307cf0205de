//! Scheduler of an owner, step by step. Each test reproduces on a small scale a fault that was seen once
//! in a day's run.

use millpost_scheduler::{
    DenialReason, Effect, FunctionSpec, Instance, MS, Nanos, Outcome, Owners, OwnershipChange, Peer,
    PermitRequest, SECOND, Scheduler, SchedulerLimits, Stage, Transfer,
};

fn scheduler(concurrency: u32) -> Scheduler {
    let limits = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut scheduler = Scheduler::new(limits, 1);
    let spec = FunctionSpec { name: "f".into(), concurrency, startup_time: 400 * MS, memory_mb: 128 };
    scheduler.configure(0, [spec].into_iter());
    set_owner(&mut scheduler, 0, true);
    scheduler.tick(T);
    scheduler.take_effects();
    scheduler
}

/// Time by which an owner grants all its slots.
const T: Nanos = SECOND;

fn set_owner(scheduler: &mut Scheduler, now: Nanos, mine: bool) {
    let who = if mine { peer("z") } else { peer("y") };
    let owners = Owners::new((1, 1), vec![who], []);
    scheduler.update_ownership(now, &peer("z"), &owners, &OwnershipChange::all(), |_, _| Transfer::default());
}

/// The proxy of a zone; the scheduler under test runs on that of zone `z`.
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

fn request(id: u64, now: Nanos, deadline: Nanos, returned: bool) -> PermitRequest {
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
    let grants = effects
        .iter()
        .filter_map(|e| if let Effect::Grant { request_id, .. } = e { Some(*request_id) } else { None });
    grants.collect()
}

/// A retirement report was lost, which left an instance that was neither used nor replaced until the end
/// of the day.
#[test]
fn retirement_is_repeated_while_the_instance_is_listed() {
    let mut scheduler = scheduler(1);
    scheduler.update_instance(0, instance("i", Stage::Ready), true);
    let mut reported = Vec::new();
    for step in 0..400 {
        scheduler.tick(step * 25 * MS);
        let retired = |e: &Effect| matches!(e, Effect::Retire(id) if id == "i");
        reported.extend(scheduler.take_effects().iter().filter(|e| retired(e)).map(|_| step * 25 * MS));
    }
    assert!(reported.len() > 3, "{reported:?}");
    scheduler.remove_instance(10 * SECOND, "i");
    scheduler.tick(12 * SECOND);
    assert!(!scheduler.take_effects().iter().any(|e| matches!(e, Effect::Retire(_))));
}

/// A new owner, whose measured demand is zero, retired all inherited instances, and the load that followed
/// found none.
#[test]
fn inherited_instances_stay_until_demand_is_known() {
    let mut scheduler = scheduler(4);
    scheduler.update_instance(0, instance("i", Stage::Ready), true);
    scheduler.update_instance(0, instance("j", Stage::Ready), true);
    for step in 0..80 {
        scheduler.tick(step * 25 * MS);
    }
    let effects = scheduler.take_effects();
    assert!(!effects.iter().any(|e| matches!(e, Effect::Retire(_))), "{effects:?}");
    assert!(effects.iter().any(|e| matches!(e, Effect::SetInstanceTarget { count: 2, .. })));
}

#[test]
fn slot_is_granted_once_and_earliest_deadline_is_served_first() {
    let mut scheduler = scheduler(2);
    scheduler.update_instance(T, instance("i", Stage::Ready), true);
    let times = [900, 1_500, 1_400, 700];
    for (id, deadline) in times.into_iter().enumerate() {
        scheduler.request_permit(T, "s".into(), request(id as u64, T, T + deadline * MS, true), true);
    }
    assert_eq!(granted(&scheduler.take_effects()), [0, 1]);
    scheduler.release(T + 50 * MS, "s", 0, Outcome::Answered, 50 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [3]);
    // A late duplicate release frees nothing.
    scheduler.release(T + 60 * MS, "s", 0, Outcome::Answered, 50 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [] as [u64; 0]);
    // An abandoned request may still be running: its slot is reused after the usual hold time.
    scheduler.release(T + 61 * MS, "s", 1, Outcome::Abandoned, 61 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [] as [u64; 0]);
    scheduler.tick(T + 200 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [2]);
}

/// A timed-out attempt counts as a slow sample at once, and its slot is reused after the usual hold time,
/// as for any abandoned request.
#[test]
fn slot_of_a_timed_out_attempt_is_held_and_two_in_a_row_back_off_the_instance() {
    let mut scheduler = scheduler(2);
    scheduler.update_instance(T, instance("i", Stage::Ready), true);
    (0..4).for_each(|id| scheduler.request_permit(T, "s".into(), request(id, T, T + 4_000 * MS, true), true));
    assert_eq!(granted(&scheduler.take_effects()), [0, 1]);
    for id in [0, 1] {
        scheduler.release(T + 400 * MS, "s", id, Outcome::TimedOut, 400 * MS);
    }
    assert_eq!(granted(&scheduler.take_effects()), [] as [u64; 0]);
    scheduler.tick(T + 500 * MS);
    assert_eq!(
        granted(&scheduler.take_effects()),
        [] as [u64; 0],
        "the slots are free, but the instance is backed off"
    );
    scheduler.tick(T + 700 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [2, 3]);
}

#[test]
fn late_first_attempt_is_denied_and_returning_one_is_queued() {
    let mut scheduler = scheduler(1);
    scheduler.request_permit(T, "s".into(), request(1, T, T + 1_500 * MS, false), true);
    let effects = scheduler.take_effects();
    assert!(
        effects.iter().any(
            |e| matches!(e, Effect::Refuse { reason: DenialReason::Full(wait), .. } if *wait >= 400 * MS)
        )
    );
    assert!(
        effects.iter().any(|e| matches!(e, Effect::SetInstanceTarget { count: 1, .. })),
        "a denied request counts as demand: {effects:?}"
    );
    scheduler.request_permit(T + 450 * MS, "s".into(), request(2, T + 450 * MS, T + 1_050 * MS, true), true);
    assert!(scheduler.take_effects().iter().any(|e| matches!(e, Effect::Queued { request_id: 2, .. })));
    scheduler.update_instance(T + 500 * MS, instance("i", Stage::Booting), true);
    assert!(scheduler.take_effects().iter().any(|e| matches!(e, Effect::ProbeReadiness { .. })));
    scheduler.instance_up(T + 800 * MS, "i");
    assert_eq!(granted(&scheduler.take_effects()), [2]);
}

#[test]
fn permits_of_a_departed_proxy_are_freed() {
    let mut scheduler = scheduler(1);
    scheduler.update_instance(0, instance("i", Stage::Ready), true);
    scheduler.request_permit(0, "s".into(), request(1, 0, 1_500 * MS, true), true);
    scheduler.request_permit(0, "t".into(), request(1, 0, 1_500 * MS, true), true);
    assert_eq!(granted(&scheduler.take_effects()).len(), 1);
    scheduler.proxy_left(10 * MS, "s");
    assert_eq!(granted(&scheduler.take_effects()).len(), 1);
}

/// When messages to an owner were late, the proxy asked in its place granted slots that the owner had
/// already granted, in the middle of a day without other trouble.
#[test]
fn deputy_grants_one_slot_and_a_quarter_once_it_has_answered() {
    let mut scheduler = scheduler(8);
    let late = T + 9 * SECOND;
    set_owner(&mut scheduler, T, false);
    scheduler.update_instance(T, instance("i", Stage::Ready), true);
    for id in 0..8 {
        scheduler.request_permit(T, "s".into(), request(id, T, late, true), true);
    }
    // A proxy that was the owner until now grants nothing.
    scheduler.tick(T + 1_400 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [] as [u64; 0]);
    scheduler.tick(T + 1_600 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [0]);
    scheduler.release(T + 1_700 * MS, "s", 0, Outcome::Answered, 60 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [1, 2]);
    // Another proxy has filled it, so it is left alone.
    scheduler.release(T + 1_800 * MS, "s", 1, Outcome::Full, MS);
    scheduler.release(T + 1_900 * MS, "s", 2, Outcome::Answered, MS);
    scheduler.tick(T + 3 * SECOND);
    assert_eq!(granted(&scheduler.take_effects()), [] as [u64; 0]);
    // A new owner grants half of the slots while the previous owner may still grant some.
    set_owner(&mut scheduler, T + 4 * SECOND, true);
    scheduler.tick(T + 4_025 * MS);
    assert_eq!(granted(&scheduler.take_effects()).len(), 4);
}

/// Requesting proxies learnt of a new owner before it knew the instances: their permits were dropped, and
/// the slots were granted again.
#[test]
fn permits_reported_before_their_instance_count_once_it_is_known() {
    let mut scheduler = scheduler(2);
    scheduler.hold_permit(T, "s".into(), 1, "i", T + 900 * MS);
    scheduler.hold_permit(T, "s".into(), 2, "i", T + 900 * MS);
    scheduler.hold_permit(T, "s".into(), 3, "j", T + 900 * MS);
    scheduler.update_instance(T + 20 * MS, instance("i", Stage::Ready), true);
    scheduler.request_permit(T + 30 * MS, "t".into(), request(1, T, T + 1_500 * MS, true), true);
    assert_eq!(granted(&scheduler.take_effects()), [] as [u64; 0]);
    scheduler.release(T + 60 * MS, "s", 2, Outcome::Answered, 60 * MS);
    assert_eq!(granted(&scheduler.take_effects()), [1]);
    // Reports that are too old have expired.
    scheduler.update_instance(T + 4 * SECOND, instance("j", Stage::Ready), true);
    assert_eq!(scheduler.permits().filter(|(.., id)| *id == "j").count(), 0);
}

/// Requests that reached an owner before information about its instances were denied for the duration of
/// an instance start.
#[test]
fn request_before_any_instance_is_known_waits_for_a_limited_time() {
    let mut scheduler = scheduler(4);
    set_owner(&mut scheduler, T, false);
    for id in [1, 2] {
        scheduler.request_permit(T, "s".into(), request(id, T, T + 1_500 * MS, false), true);
    }
    assert!(!scheduler.take_effects().iter().any(|e| matches!(e, Effect::Refuse { .. })));
    set_owner(&mut scheduler, T + 10 * MS, true);
    scheduler.update_instance(T + 20 * MS, instance("i", Stage::Ready), true);
    assert_eq!(granted(&scheduler.take_effects()), [1, 2]);
    scheduler.remove_instance(T + 500 * MS, "i");
    set_owner(&mut scheduler, T + 600 * MS, false);
    scheduler.request_permit(T + 700 * MS, "s".into(), request(3, T + 700 * MS, T + 2_200 * MS, false), true);
    scheduler.tick(T + 900 * MS);
    assert!(!scheduler.take_effects().iter().any(|e| matches!(e, Effect::Refuse { .. })));
    scheduler.tick(T + 975 * MS);
    assert!(scheduler.take_effects().iter().any(|e| matches!(e, Effect::Refuse { request_id: 3, .. })));
}

/// The owner of a partition uses only the instances of its zone, and has a share of the constant part of
/// the retry budget.
#[test]
fn partition_owner_grants_only_instances_of_its_zone() {
    let mut scheduler = scheduler(2);
    let there = Instance { zone: "y".into(), ..instance("j", Stage::Ready) };
    scheduler.update_instance(T, there, true);
    scheduler.update_instance(T, instance("i", Stage::Ready), true);
    let owners = Owners::new((1, 2), vec![peer("y"), peer("z")], ["f".into()]);
    scheduler.update_ownership(T, &peer("z"), &owners, &OwnershipChange::all(), |_, _| Transfer::default());
    scheduler.tick(T + 400 * MS);
    scheduler.take_effects();
    for id in 0..4 {
        scheduler.request_permit(T + 400 * MS, "s".into(), request(id, T, T + 1_500 * MS, true), true);
    }
    let effects = scheduler.take_effects();
    let to = |e: &Effect| matches!(e, Effect::Grant { instance, .. } if instance.id == "i");
    assert_eq!((granted(&effects).len(), effects.iter().filter(|e| to(e)).count()), (2, 2));
    assert_eq!(scheduler.owned_instances().count(), 1);
    // The constant part is 50 in all, of which half is usable: twelve for this partition.
    let tries = (10..60).filter(|id| {
        let again = PermitRequest { attempts_sent: 1, ..request(*id, T, T + 1_500 * MS, true) };
        scheduler.request_permit(T + 500 * MS, "s".into(), again, false);
        !scheduler
            .take_effects()
            .iter()
            .any(|e| matches!(e, Effect::Refuse { reason: DenialReason::Spent, .. }))
    });
    assert_eq!(tries.count(), 12);
}
