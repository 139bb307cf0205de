//! Minimum instance counts: who applies them, how long they last, and what is reported meanwhile.

use millpost_protocol::FunctionStatus;
use millpost_scheduler::{
    Effect, FunctionSpec, Instance, MS, Nanos, Outcome, Owners, OwnershipChange, Peer, PermitRequest, SECOND,
    Scheduler, SchedulerLimits, Stage, Transfer,
};

fn peer(name: &str) -> Peer {
    Peer { name: name.into(), address: "a:1".into(), zone: "z".into() }
}

fn set_owner(scheduler: &mut Scheduler, now: Nanos, owner: &str) {
    let owners = Owners::new((1, 1), vec![peer(owner)], []);
    scheduler
        .update_ownership(now, &peer("me"), &owners, &OwnershipChange::all(), |_, _| Transfer::default());
}

fn scheduler(owner: &str) -> Scheduler {
    let limits = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: false,
    };
    let mut scheduler = Scheduler::new(limits, 1);
    let spec = FunctionSpec { name: "f".into(), concurrency: 1, startup_time: 400 * MS, memory_mb: 128 };
    scheduler.configure(0, [spec].into_iter());
    set_owner(&mut scheduler, 0, owner);
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
        scheduler.update_instance(0, of, true);
    }
    scheduler
}

/// Runs ticks from one time to another. Returns the last reported target, the number of reports and the
/// number of retired instances.
fn run_ticks(scheduler: &mut Scheduler, from: Nanos, to: Nanos) -> (Option<u32>, usize, usize) {
    let (mut target, mut reports, mut retired) = (None, 0, 0);
    for now in (from..to).step_by(25 * MS as usize) {
        scheduler.tick(now);
        for effect in scheduler.take_effects() {
            if let Effect::Retire(id) = &effect {
                scheduler.remove_instance(now, id);
            }
            match effect {
                Effect::SetInstanceTarget { count, .. } => (target, reports) = (Some(count), reports + 1),
                Effect::Retire(_) => retired += 1,
                _ => {}
            }
        }
    }
    (target, reports, retired)
}

#[test]
fn owner_retires_nothing_below_the_minimum_until_it_expires() {
    let mut scheduler = scheduler("me");
    scheduler.set_min_instances(0, "f", 2, 7, 20 * SECOND);
    let (target, reports, retired) = run_ticks(&mut scheduler, 0, 10 * SECOND);
    assert_eq!((target, retired), (Some(2), 1), "one instance above the minimum is retired");
    assert!((18..=24).contains(&reports), "twice a second: {reports}");
    // A message from an earlier leader is ignored; those from the current and later leaders apply.
    scheduler.set_min_instances(10 * SECOND, "f", 0, 6, 0);
    assert_eq!(run_ticks(&mut scheduler, 10 * SECOND, 12 * SECOND).2, 0);
    scheduler.set_min_instances(12 * SECOND, "f", 1, 8, 14 * SECOND);
    assert_eq!(run_ticks(&mut scheduler, 12 * SECOND, 13 * SECOND), (Some(1), 2, 1));
    // The minimum has expired without a further message.
    let (target, _, retired) = run_ticks(&mut scheduler, 13 * SECOND, 16 * SECOND);
    assert_eq!((target, retired), (Some(0), 1));
    assert_eq!(run_ticks(&mut scheduler, 16 * SECOND, 30 * SECOND), (None, 0, 0));
}

#[test]
fn new_owner_applies_the_minimum_and_others_report_nothing() {
    let mut scheduler = scheduler("you");
    scheduler.set_min_instances(0, "f", 3, 7, 9 * SECOND);
    assert_eq!(run_ticks(&mut scheduler, 0, SECOND), (None, 0, 0));
    set_owner(&mut scheduler, SECOND, "me");
    assert_eq!(run_ticks(&mut scheduler, SECOND, 8 * SECOND).0, Some(3));
    set_owner(&mut scheduler, 8 * SECOND, "you");
    assert_eq!(run_ticks(&mut scheduler, 8 * SECOND, 8_500 * MS), (None, 0, 0));
}

/// Grants these requests at the same time and ends them all.
fn serve(scheduler: &mut Scheduler, now: Nanos, ids: std::ops::Range<u64>, outcome: Outcome, took: Nanos) {
    let request = |id| PermitRequest {
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
    ids.clone().for_each(|id| scheduler.request_permit(now, "me".into(), request(id), true));
    ids.for_each(|id| scheduler.release(now + took, "me", id, outcome, took));
}

#[test]
fn with_a_minimum_the_owner_reports_mean_and_lowest_delay_and_recent_refusals() {
    let mut scheduler = scheduler("me");
    let reported_status = |scheduler: &mut Scheduler, now| -> Option<FunctionStatus> {
        scheduler.tick(now);
        let all = scheduler.take_effects();
        all.iter().rev().find_map(|e| {
            if let Effect::SetInstanceTarget { status: does, .. } = e { Some(*does) } else { None }
        })?
    };
    serve(&mut scheduler, SECOND, 0..3, Outcome::Answered, 40 * MS);
    assert_eq!(reported_status(&mut scheduler, 2 * SECOND), None, "no minimum is set");
    scheduler.set_min_instances(2 * SECOND, "f", 1, 7, 60 * SECOND);
    let status = FunctionStatus { delay: 40.0, lowest: 40.0, asked: 0, refused: 0 };
    assert_eq!(reported_status(&mut scheduler, 2_100 * MS), Some(status));
    // All three instances take 240 ms once: the average moves by a fifth of that.
    serve(&mut scheduler, 2_200 * MS, 10..13, Outcome::Answered, 240 * MS);
    let status = reported_status(&mut scheduler, 2_700 * MS).expect("a status while a minimum is set");
    assert!((status.delay - 80.0).abs() < 1e-6 && status.lowest == 40.0, "{status:?}");
    assert_eq!((status.asked, status.refused), (3, 0));
    serve(&mut scheduler, 2_800 * MS, 20..21, Outcome::Full, MS);
    assert_eq!(reported_status(&mut scheduler, 3_300 * MS).map(|d| (d.asked, d.refused)), Some((4, 1)));
    assert_eq!(reported_status(&mut scheduler, 6_000 * MS).map(|d| (d.asked, d.refused)), Some((0, 0)));
    scheduler.set_min_instances(6_100 * MS, "f", 0, 7, 0);
    assert_eq!(reported_status(&mut scheduler, 8_500 * MS), None);
}
