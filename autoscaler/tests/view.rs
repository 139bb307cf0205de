//! The status of functions and instances that operators see.

use millpost_autoscaler::scaler::view::{HoldReason, PendingStart};
use millpost_autoscaler::{Scaler, ScalerConfig, ServiceSpec, StartFault, Worker};
use yare::parameterized;

const MS: u64 = 1_000_000;

fn scaler(fence: u64) -> Scaler {
    let mut scaler = Scaler::new(ScalerConfig::new(fence, 78.0, 800), 0);
    let spec =
        |name: &&str| ServiceSpec { name: (*name).into(), memory_mb: 100, boot_ms: 300, concurrency: 1 };
    scaler.configure(0, ["f", "g", "h"].iter().map(spec));
    scaler
}

fn worker(free_memory_mb: u64) -> Worker {
    Worker { name: "w1".into(), zone: "a".into(), memory_mb: 8_000, free_memory_mb, draining: false }
}

/// What the platform has answered before the status is taken.
enum Answered {
    Nothing,
    List,
    Start(StartFault),
    Started,
}

#[parameterized(
    unwanted = { 1, 0, 1_000, Answered::List, HoldReason::Unwanted, 0 },
    no_list = { 1, 2, 1_000, Answered::Nothing, HoldReason::NoList, 0 },
    starting = { 1, 2, 1_000, Answered::List, HoldReason::Satisfied, 2 },
    started = { 1, 2, 1_000, Answered::Started, HoldReason::Satisfied, 1 },
    start_repeated = { 1, 2, 1_000, Answered::Start(StartFault::Unclear), HoldReason::Satisfied, 2 },
    refused = { 1, 2, 1_000, Answered::Start(StartFault::Refused), HoldReason::Refused(1_000), 1 },
    no_room = { 1, 2, 50, Answered::List, HoldReason::NoRoom, 0 },
    successor = { 2, 2, 1_000, Answered::List, HoldReason::Settling(0), 1 },
)]
fn hold_reason_of_a_function(
    fence: u64,
    count: u32,
    free: u64,
    answered: Answered,
    hold: HoldReason,
    starting: usize,
) {
    let (mut scaler, now) = (scaler(fence), 10 * MS);
    scaler.workers_listed(MS, MS, vec![worker(free)]);
    if !matches!(answered, Answered::Nothing) {
        scaler.endpoints_listed(MS, MS, Vec::new());
    }
    scaler.set_target(4 * MS, "f", None, count, &["b".into(), "a".into(), "a".into()]);
    scaler.tick(4 * MS);
    let nonce = format!("{fence}.1.f");
    match answered {
        Answered::Start(fault) => scaler.start_answered(now, &nonce, Err(fault)),
        Answered::Started => {
            scaler.start_answered(now, &nonce, Ok(("i1".into(), "10.0.0.1:80".parse().expect("an address"))))
        }
        Answered::Nothing | Answered::List => {}
    }
    // The view changes nothing.
    let before = format!("{scaler:?}");
    let found = scaler.function(now, "f").expect("a function");
    assert_eq!(format!("{scaler:?}"), before);
    match (found.hold, hold) {
        // The exact time depends on the configuration.
        (HoldReason::Settling(left), HoldReason::Settling(_)) => assert!(left > 800, "{left}"),
        (found, hold) => assert_eq!(found, hold),
    }
    assert_eq!((found.wanted, found.starting, found.ready), (Some((count, 6)), starting, 0));
    assert_eq!(found.zones, [("a".into(), 2), ("b".into(), 1)]);
    assert_eq!(found.booting, usize::from(matches!(answered, Answered::Started)));
    if starting == 2 {
        let failed = u32::from(matches!(answered, Answered::Start(_)));
        let sent_ms_ago = (failed == 0).then_some(6);
        let first = PendingStart { worker: "w1".into(), nonce: nonce.into(), sent_ms_ago, failed };
        assert_eq!(found.starts[0], first);
    }
}

#[test]
fn functions_are_paged_by_name() {
    let scaler = scaler(1);
    let page = |after, most| {
        let found = scaler.functions(0, after, most).into_iter().map(|f| f.name.to_string());
        found.collect::<Vec<_>>()
    };
    assert_eq!(page(None, 2), ["f", "g"]);
    assert_eq!(page(Some("g"), 2), ["h"]);
    assert_eq!(page(Some("fa"), 9), ["g", "h"]);
    assert!(page(Some("h"), 2).is_empty());
    assert_eq!(scaler.function(0, "x"), None);
}

#[test]
fn a_split_function_shows_a_target_for_each_zone() {
    let mut scaler = scaler(1);
    scaler.workers_listed(MS, MS, vec![worker(1_000)]);
    scaler.endpoints_listed(MS, MS, Vec::new());
    scaler.set_split(MS, &["f".into()].into());
    scaler.set_target(2 * MS, "f", Some(&"a".into()), 2, &[]);
    scaler.set_target(2 * MS, "f", Some(&"b".into()), 3, &[]);
    scaler.tick(2 * MS);
    let found = scaler.function(5 * MS, "f").expect("a function");
    let targets: Vec<_> =
        found.zone_targets.iter().map(|l| (l.zone.as_str(), l.wanted, l.live, l.hold)).collect();
    // The only worker is in zone a.
    assert_eq!(targets, [("a", 2, 2, HoldReason::Satisfied), ("b", 3, 0, HoldReason::NoRoom)]);
    assert_eq!((found.wanted, found.hold), (Some((5, 3)), HoldReason::NoRoom));
}

#[test]
fn an_instance_is_shown_from_start_to_stop() {
    let mut scaler = scaler(1);
    scaler.workers_listed(MS, MS, vec![worker(1_000)]);
    scaler.endpoints_listed(MS, MS, Vec::new());
    scaler.set_target(2 * MS, "f", None, 1, &[]);
    scaler.tick(2 * MS);
    scaler.start_answered(3 * MS, "1.1.f", Ok(("i1".into(), "10.0.0.1:80".parse().expect("an address"))));
    let summaries = |scaler: &Scaler, now: u64| {
        let all = scaler.instances(now * MS, "f");
        all.iter()
            .map(|i| format!("{} {} {} {} {:?}", i.id, i.worker, i.state, i.since_ms, i.stop))
            .collect::<Vec<_>>()
    };
    assert_eq!(summaries(&scaler, 5), ["i1 w1 booting 2 None"]);
    scaler.mark_up(6 * MS, "i1");
    assert_eq!(summaries(&scaler, 6), ["i1 w1 ready 3 None"]);
    scaler.retire(7 * MS, "i1");
    assert_eq!(summaries(&scaler, 7), ["i1 w1 ended 4 Some(\"due\")"]);
    scaler.tick(7 * MS);
    assert_eq!(summaries(&scaler, 7), ["i1 w1 ended 4 Some(\"called\")"]);
    scaler.stop_answered(8 * MS, "i1", Ok(()));
    assert_eq!(summaries(&scaler, 8), ["i1 w1 ended 5 Some(\"answered\")"]);
    assert_eq!((scaler.function_of("i1"), scaler.function_of("i2")), (Some("f"), None));
    assert!(scaler.instances(0, "g").is_empty());
}
