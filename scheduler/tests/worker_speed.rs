//! Scheduling on workers of different speed.

use std::collections::BTreeSet;

use millpost_scheduler::{
    Effect, FunctionSpec, Instance, MS, Nanos, Outcome, Owners, OwnershipChange, Peer, PermitRequest, SECOND,
    Scheduler, SchedulerLimits, Stage, Transfer,
};

const T: Nanos = SECOND;
const SLOTS: usize = 4;

/// A scheduler that owns `f` with three instances, each on its own worker.
fn scheduler() -> Scheduler {
    let limits = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: true,
    };
    let mut scheduler = Scheduler::new(limits, 1);
    let spec =
        FunctionSpec { name: "f".into(), concurrency: SLOTS as u32, startup_time: 400 * MS, memory_mb: 128 };
    scheduler.configure(0, [spec].into_iter());
    let me = Peer { name: "edge".into(), address: "a:1".into(), zone: "z".into() };
    let owners = Owners::new((1, 1), vec![me.clone()], []);
    scheduler.update_ownership(0, &me, &owners, &OwnershipChange::all(), |_, _| Transfer::default());
    for n in 0..3 {
        let of = Instance {
            id: format!("i-{n}").into(),
            service: "f".into(),
            address: "a:1".into(),
            zone: "z".into(),
            worker: format!("w-{n}").into(),
            stage: Stage::Ready,
        };
        scheduler.update_instance(0, of, true);
    }
    scheduler
}

fn request(id: u64, now: Nanos) -> PermitRequest {
    PermitRequest {
        id,
        service: "f".into(),
        deadline: now + 2 * SECOND,
        soft_deadline: now + SECOND,
        target: SECOND,
        attempts_sent: 0,
        returned: false,
        avoid: vec![],
        zone: "z".into(),
    }
}

/// Sends a request every 20 ms, ended with `outcome` after `took` for the number of its instance. Returns
/// the instance of each request and the workers reported as slow.
fn run_requests(
    scheduler: &mut Scheduler,
    took: impl Fn(&str) -> Nanos,
    outcome: Outcome,
) -> (Vec<String>, BTreeSet<String>) {
    let (mut granted_to, mut reported, mut out) =
        (Vec::new(), BTreeSet::new(), Vec::<(Nanos, u64, Nanos)>::new());
    for step in 0..1_000u64 {
        let now = T + step * 10 * MS;
        if step % 2 == 0 {
            scheduler.request_permit(now, "edge".into(), request(step, now), true);
        }
        for (_, id, took) in out.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>() {
            scheduler.release(now, "edge", id, outcome, took);
        }
        scheduler.tick(now);
        for effect in scheduler.take_effects() {
            match effect {
                Effect::Grant { request_id, instance, .. } => {
                    // Durations vary as those of real requests do.
                    let took = took(&instance.id) * (70 + request_id * 7_919 % 61) / 100;
                    out.push((now + took, request_id, took));
                    granted_to.push(instance.id.to_string());
                }
                Effect::SetInstanceTarget { slow_workers: slow, .. } => {
                    reported.extend(slow.iter().map(|w| w.to_string()))
                }
                _ => {}
            }
        }
    }
    (granted_to, reported)
}

fn share(granted_to: &[String], id: &str) -> f64 {
    let late = &granted_to[granted_to.len() / 2..];
    late.iter().filter(|g| *g == id).count() as f64 / late.len() as f64
}

#[test]
fn similar_instances_take_turns_and_no_worker_is_reported() {
    // Normal variation between instances is a factor of 1.5.
    let (granted_to, reported) =
        run_requests(&mut scheduler(), |id| if id == "i-0" { 60 * MS } else { 45 * MS }, Outcome::Answered);
    // One of the three is surplus and is retired.
    assert!(
        (0.3..0.7).contains(&share(&granted_to, "i-0")) || share(&granted_to, "i-0") == 0.0,
        "{}",
        share(&granted_to, "i-0")
    );
    assert!(reported.is_empty(), "{reported:?}");
}

#[test]
fn instance_on_slow_worker_gets_only_overflow_and_the_worker_is_reported() {
    let (granted_to, reported) =
        run_requests(&mut scheduler(), |id| if id == "i-1" { 180 * MS } else { 45 * MS }, Outcome::Answered);
    assert!(share(&granted_to, "i-1") < 0.02, "{}", share(&granted_to, "i-1"));
    assert_eq!(reported, BTreeSet::from(["w-1".to_owned()]));
}

#[test]
fn fast_errors_do_not_count_as_speed() {
    let (granted_to, reported) =
        run_requests(&mut scheduler(), |id| if id == "i-1" { 2 * MS } else { 45 * MS }, Outcome::Failed);
    assert!(share(&granted_to, "i-0") > 0.2 && reported.is_empty(), "{reported:?}");
}
