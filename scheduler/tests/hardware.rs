//! An owner whose workers differ in speed.

use std::collections::BTreeSet;

use millpost_scheduler::{
    Effect, FunctionSpec, Instance, MS, Nanos, Outcome, Owners, OwnershipChange, Peer, PermitRequest, SECOND,
    Scheduler, SchedulerLimits, Stage, Transfer,
};

const T: Nanos = SECOND;
const SLOTS: usize = 4;

/// An owner of `f`, and three instances of it, each on a worker of its own.
fn broker() -> Scheduler {
    let terms = SchedulerLimits {
        retry_ratio: 0.2,
        retry_window: 10 * SECOND,
        retry_slack: 50.0,
        requests_per_s: 100.0,
        rank_by_latency: true,
    };
    let mut broker = Scheduler::new(terms, 1);
    let spec =
        FunctionSpec { name: "f".into(), concurrency: SLOTS as u32, startup_time: 400 * MS, memory_mb: 128 };
    broker.configure(0, [spec].into_iter());
    let me = Peer { name: "edge".into(), address: "a:1".into(), zone: "z".into() };
    let owners = Owners::new((1, 1), vec![me.clone()], []);
    broker.update_ownership(0, &me, &owners, &OwnershipChange::all(), |_, _| Transfer::default());
    for n in 0..3 {
        let of = Instance {
            id: format!("i-{n}").into(),
            service: "f".into(),
            address: "a:1".into(),
            zone: "z".into(),
            worker: format!("w-{n}").into(),
            stage: Stage::Ready,
        };
        broker.update_instance(0, of, true);
    }
    broker
}

fn ask(id: u64, now: Nanos) -> PermitRequest {
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

/// Asks come every 20 ms, and are answered after `took` of their instance's number, with `outcome`. Who got each, and whom wants named.
fn play(
    broker: &mut Scheduler,
    took: impl Fn(&str) -> Nanos,
    outcome: Outcome,
) -> (Vec<String>, BTreeSet<String>) {
    let (mut got, mut named, mut out) = (Vec::new(), BTreeSet::new(), Vec::<(Nanos, u64, Nanos)>::new());
    for step in 0..1_000u64 {
        let now = T + step * 10 * MS;
        if step % 2 == 0 {
            broker.request_permit(now, "edge".into(), ask(step, now), true);
        }
        for (_, id, took) in out.extract_if(.., |(due, ..)| *due <= now).collect::<Vec<_>>() {
            broker.release(now, "edge", id, outcome, took);
        }
        broker.tick(now);
        for effect in broker.take_effects() {
            match effect {
                Effect::Grant { ask, instance, .. } => {
                    // Durations differ as those of work do.
                    let took = took(&instance.id) * (70 + ask * 7_919 % 61) / 100;
                    out.push((now + took, ask, took));
                    got.push(instance.id.to_string());
                }
                Effect::SetInstanceTarget { slow, .. } => named.extend(slow.iter().map(|w| w.to_string())),
                _ => {}
            }
        }
    }
    (got, named)
}

fn share(got: &[String], id: &str) -> f64 {
    let late = &got[got.len() / 2..];
    late.iter().filter(|g| *g == id).count() as f64 / late.len() as f64
}

#[test]
fn instances_that_are_alike_take_turns_and_no_worker_is_named() {
    // By nature instances differ by 1.5 times.
    let (got, named) =
        play(&mut broker(), |id| if id == "i-0" { 60 * MS } else { 45 * MS }, Outcome::Answered);
    // One of the three is not needed, and leaves.
    assert!((0.3..0.7).contains(&share(&got, "i-0")) || share(&got, "i-0") == 0.0, "{}", share(&got, "i-0"));
    assert!(named.is_empty(), "{named:?}");
}

#[test]
fn one_on_a_slow_worker_gets_what_the_others_have_no_slots_for_and_control_hears_of_it() {
    let (got, named) =
        play(&mut broker(), |id| if id == "i-1" { 180 * MS } else { 45 * MS }, Outcome::Answered);
    assert!(share(&got, "i-1") < 0.02, "{}", share(&got, "i-1"));
    assert_eq!(named, BTreeSet::from(["w-1".to_owned()]));
}

#[test]
fn quick_errors_are_no_speed() {
    let (got, named) = play(&mut broker(), |id| if id == "i-1" { 2 * MS } else { 45 * MS }, Outcome::Failed);
    assert!(share(&got, "i-0") > 0.2 && named.is_empty(), "{named:?}");
}
