//! Traces of inputs and expected effects, run against the scaler.
//!
//! A line is a time in milliseconds and an input; a tick follows each. The lines with `>` below it are all
//! its effects. `w1:a:1000` is a worker with its zone and free memory, `i1:f:w1:a` a listed endpoint with its
//! service, worker and zone; `:d` means draining.

use std::net::SocketAddr;

use compact_str::CompactString;
use millpost_autoscaler::{
    Effect, Endpoint, Instance, Scaler, ScalerConfig, ServiceSpec, StartFault, State, StopFault, Worker,
};
use yare::parameterized;

const MS: u64 = 1_000_000;

fn address(id: &str) -> SocketAddr {
    // `i7b` has the same address as `i7`.
    let digits: String = id.chars().filter(char::is_ascii_digit).collect();
    SocketAddr::from(([10, 0, 0, digits.parse().expect("a number")], 80))
}

fn describe(effect: Effect) -> String {
    match effect {
        Effect::Start { service, worker, nonce } => format!("start {service} {worker} {nonce}"),
        Effect::Stop { id } => format!("stop {id}"),
        Effect::Updated { instance: Instance { id, service, worker, state, .. } } => {
            format!("updated {id} {service} {worker} {state:?}")
        }
        Effect::Removed { id, service, .. } => format!("removed {id} {service}"),
    }
}

fn endpoint(text: &str) -> Endpoint {
    let parts: Vec<&str> = text.split(':').collect();
    Endpoint {
        id: parts[0].into(),
        service: parts[1].into(),
        address: address(parts[0]),
        worker: (parts[2] != "-").then(|| parts[2].into()),
        zone: parts[3].into(),
        draining: parts.len() > 4,
    }
}

fn worker(text: &str) -> Worker {
    let parts: Vec<&str> = text.split(':').collect();
    let (name, zone, free_memory_mb) = (parts[0].into(), parts[1].into(), parts[2].parse().expect("memory"));
    Worker { name, zone, memory_mb: 8_000, free_memory_mb, draining: parts.len() > 3 }
}

fn spec(name: &str) -> ServiceSpec {
    ServiceSpec { name: name.into(), memory_mb: 100, boot_ms: 300, concurrency: 1 }
}

fn input(scaler: &mut Scaler, now: u64, words: &[&str]) {
    match words {
        ["tick"] => {}
        ["configure", names @ ..] => scaler.configure(now, names.iter().map(|name| spec(name))),
        ["list", entries @ ..] => {
            scaler.endpoints_listed(now, now, entries.iter().map(|text| endpoint(text)).collect())
        }
        ["workers", workers @ ..] => {
            scaler.workers_listed(now, now, workers.iter().map(|text| worker(text)).collect());
        }
        ["target", service, count, zones @ ..] => {
            let zones: Vec<CompactString> = zones.iter().map(|zone| (*zone).into()).collect();
            scaler.set_target(now, service, None, count.parse().expect("a count"), &zones);
        }
        ["split", names @ ..] => scaler.set_split(now, &names.iter().map(|name| (*name).into()).collect()),
        ["zone_target", service, zone, count] => {
            scaler.set_target(now, service, Some(&(*zone).into()), count.parse().expect("a count"), &[]);
        }
        ["ok", nonce, id] => scaler.start_answered(now, nonce, Ok(((*id).into(), address(id)))),
        ["fault", nonce, fault] => {
            let fault = match *fault {
                "room" => StartFault::NoRoom,
                "busy" => StartFault::Busy,
                "refused" => StartFault::Refused,
                _ => StartFault::Unclear,
            };
            scaler.start_answered(now, nonce, Err(fault));
        }
        ["stopped", id, "ok"] => scaler.stop_answered(now, id, Ok(())),
        ["stopped", id, _] => scaler.stop_answered(now, id, Err(StopFault::Unclear)),
        ["retire", id] => scaler.retire(now, id),
        ["unreachable", id] => scaler.mark_unreachable(now, id),
        ["up", id] => scaler.mark_up(now, id),
        ["inherit", state, text] => {
            let Endpoint { id, service, address, zone, worker, .. } = endpoint(text);
            let state = if *state == "booting" { State::Booting } else { State::Ready };
            let worker = worker.expect("a worker");
            let instance = Instance { id, service, address, zone, worker, state, boot_ms: 300, since: 0 };
            scaler.inherit(now, [instance]);
        }
        _ => panic!("no such input: {words:?}"),
    }
}

/// Runs a trace and compares the effects of each line.
fn run(fence: u64, duty_per_s: f64, trace: &str) {
    let mut scaler = Scaler::new(ScalerConfig::new(fence, duty_per_s, 800), 0);
    let lines: Vec<&str> = trace.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    let mut at = 0;
    while at < lines.len() {
        let words: Vec<&str> = lines[at].split_whitespace().collect();
        let now = words[0].parse::<u64>().expect("a time") * MS;
        input(&mut scaler, now, &words[1..]);
        let wake = scaler.tick(now);
        assert!(wake > now && wake <= now + 250 * MS, "{}: wakes at {wake}", lines[at]);
        let effects: Vec<String> = scaler.take().into_iter().map(describe).collect();
        let expected: Vec<&str> = lines[at + 1..].iter().map_while(|line| line.strip_prefix("> ")).collect();
        assert_eq!(effects, expected, "after `{}`", lines[at]);
        at += 1 + expected.len();
    }
}

const STEADY: &str = "0 configure f g
    1 workers w1:a:1000 w2:a:1000 w3:b:1000 w4:b:1000
    2 list";

#[parameterized(
    start_to_stop = { "
        3 target f 1 a b
        > start f w1 1.1.f
        20 ok 1.1.f i1
        > updated i1 f w1 Booting
        300 target f 1 a b
        400 list
        500 up i1
        > updated i1 f w1 Ready
        600 list
        1400 list i1:f:w1:a
        1500 retire i1
        > removed i1 f
        > stop i1
        1505 target f 0 a b
        1510 stopped i1 ok
        1600 list i1:f:w1:a
        2400 list
        2500 retire i1
        > stop i1
    " },
    spread_over_workers_then_zones = { "
        3 target f 3 a a b
        > start f w1 1.1.f
        > start f w2 1.2.f
        > start f w3 1.3.f
        4 target f 5 a a b
        > start f w4 1.4.f
        > start f w1 1.5.f
    " },
    split_service_starts_in_each_owners_zone = { "
        3 split f
        4 target f 5 a
        5 zone_target f b 2
        > start f w3 1.1.f
        > start f w4 1.2.f
        10 ok 1.1.f i1
        > updated i1 f w3 Booting
        11 ok 1.2.f i2
        > updated i2 f w4 Booting
        20 zone_target f a 1
        > start f w1 1.3.f
        30 retire i1
        > removed i1 f
        > stop i1
        40 tick
        50 split
        60 zone_target f b 9
        70 target f 3 a
        > start f w2 1.4.f
        80 split f
        90 zone_target f c 1
        100 zone_target f b 2
        > start f w3 1.5.f
    " },
    services_without_instances_start_first = { "
        3 target f 1 a
        > start f w1 1.1.f
        4 workers w5:c:90
        5 target f 3 a
        6 target g 2 b
        7 workers w1:a:1000 w3:b:1000
        > start g w3 1.2.g
        > start f w1 1.3.f
        > start f w1 1.4.f
        > start g w3 1.5.g
    " },
    free_memory_excludes_starts_not_reported_yet = { "
        3 workers w1:a:250
        4 target f 4 a
        > start f w1 1.1.f
        > start f w1 1.2.f
        500 workers w1:a:250
        1000 workers w1:a:150
        > start f w1 1.3.f
    " },
    no_room_takes_another_worker = { "
        3 target f 1 a
        > start f w1 1.1.f
        9 fault 1.1.f room
        > start f w2 1.2.f
        15 fault 1.2.f room
        > start f w3 1.3.f
        21 ok 1.3.f i1
        > updated i1 f w3 Booting
        1000 target f 3 a
        > start f w4 1.4.f
        > start f w3 1.5.f
        1001 workers w1:a:1000 w2:a:1000 w3:b:1000 w4:b:1000
        1002 target f 4 a
        > start f w1 1.6.f
    " },
    unclear_and_busy_repeat_with_same_nonce_and_worker = { "
        3 target f 1 a
        > start f w1 1.1.f
        10 fault 1.1.f unclear
        40 tick
        > start f w1 1.1.f
        50 fault 1.1.f busy
        109 tick
        110 tick
        > start f w1 1.1.f
        120 fault 1.1.f busy
        130 list i1:f:w1:a
        > updated i1 f w1 Ready
        240 tick
    " },
    unclear_start_that_succeeded_is_one_instance = { "
        3 target f 2 a
        > start f w1 1.1.f
        > start f w2 1.2.f
        10 fault 1.1.f unclear
        12 fault 1.2.f unclear
        40 tick
        > start f w1 1.1.f
        42 tick
        > start f w2 1.2.f
        400 list i1:f:w1:a
        > updated i1 f w1 Ready
        500 ok 1.1.f i1
        510 ok 1.2.f i2
        > updated i2 f w2 Booting
    " },
    unclear_start_moves_off_a_draining_worker = { "
        3 target f 1 a
        > start f w1 1.1.f
        10 fault 1.1.f unclear
        20 workers w1:a:1000:d w2:a:1000
        > start f w2 1.2.f
    " },
    unanswered_start_is_repeated_and_refused_start_pauses = { "
        3 target f 1 a
        > start f w1 1.1.f
        4000 target f 1 a
        8000 target f 1 a
        10100 tick
        10130 tick
        > start f w1 1.1.f
        10140 fault 1.1.f refused
        11139 target f 1 a
        11140 tick
        > start f w1 1.2.f
        11150 fault 1.2.f refused
        11200 configure f g
        > start f w1 1.3.f
    " },
    draining_instance_is_replaced_at_once = { "
        100 list i1:f:w1:a i2:f:w2:a
        > updated i1 f w1 Ready
        > updated i2 f w2 Ready
        101 target f 2 a
        900 list i1:f:w1:a:d i2:f:w2:a
        > updated i1 f w1 Draining
        > start f w1 1.1.f
        1000 unreachable i1
        > removed i1 f
        3000 list i2:f:w2:a
    " },
    draining_worker = { "
        100 list i1:f:w1:a
        > updated i1 f w1 Ready
        101 target f 1 a
        200 workers w1:a:1000:d w2:a:1000 w3:b:1000 w4:b:1000
        > updated i1 f w1 Draining
        > start f w2 1.1.f
        300 list i1:f:w1:a
        1300 list i1:f:w1:a:d
        4400 list
        > removed i1 f
    " },
    crash_of_a_worker = { "
        100 list i1:f:w1:a i2:f:w2:a
        > updated i1 f w1 Ready
        > updated i2 f w2 Ready
        101 target f 2 a b
        1000 workers w2:a:1000 w3:b:1000
        2000 workers w2:a:1000 w3:b:1000
        > removed i1 f
        > start f w3 1.1.f
        2100 list i1:f:w1:a i2:f:w2:a
        2900 list i1:f:w1:a i2:f:w2:a
        3300 list i1:f:w1:a i2:f:w2:a
        4000 list i2:f:w2:a
        4500 workers w1:a:8000 w2:a:1000 w3:b:1000
    " },
    started_instance_survives_lists_that_lag = { "
        3 target f 1 a
        > start f w1 1.1.f
        20 ok 1.1.f i1
        > updated i1 f w1 Booting
        30 unreachable i1
        1500 list
        2619 target f 1 a
        2620 list
        2621 list
        > removed i1 f
        > start f w2 1.2.f
    " },
    listed_instance_survives_one_list_without_it = { "
        100 list i1:f:w1:a
        > updated i1 f w1 Ready
        500 list
        800 list i1:f:w1:a
        1300 list
        > removed i1 f
    " },
    unreachable_and_listed_again = { "
        100 list i1:f:w1:a
        > updated i1 f w1 Ready
        101 target f 1 a
        1000 unreachable i1
        > removed i1 f
        > start f w2 1.1.f
        1700 list i1:f:w1:a
        1801 list i1:f:w1:a
        2000 list i1:f:w1:a
        > updated i1 f w1 Ready
        2100 unreachable i1
        > removed i1 f
        3000 list
    " },
    dropped_service = { "
        100 list i1:f:w1:a i2:f:w2:a
        > updated i1 f w1 Ready
        > updated i2 f w2 Ready
        101 target f 3 a
        > start f w1 1.1.f
        200 configure g
        > updated i1 f w1 Draining
        > updated i2 f w2 Draining
        250 target f 3 a
        300 ok 1.1.f i3
        > stop i3
        500 retire i1
        > removed i1 f
        > stop i1
        1200 tick
        > removed i2 f
        > stop i2
        1210 stopped i2 unclear
        1240 tick
        > stop i2
    " },
    no_owner = { "
        100 list i1:f:w1:a
        > updated i1 f w1 Ready
        101 target f 2 a
        > start f w2 1.1.f
        150 ok 1.1.f i2
        > updated i2 f w2 Booting
        1000 list i1:f:w1:a i2:f:w2:a
        > updated i2 f w2 Ready
        5200 unreachable i2
        > removed i2 f
        15000 list i1:f:w1:a
        15250 tick
        > updated i1 f w1 Draining
    " },
    reused_address = { "
        100 list i1:f:w1:a
        > updated i1 f w1 Ready
        3000 list i1:f:w1:a i1b:g:w2:a
        > removed i1 f
        > updated i1b g w2 Ready
        3500 list i1:f:w1:a i1b:g:w2:a i2:f:-:a
    " },
    stopped_and_still_listed = { "
        100 list i1:f:w1:a
        > updated i1 f w1 Ready
        200 retire i1
        > removed i1 f
        > stop i1
        210 stopped i1 ok
        6000 list i1:f:w1:a
        6100 list i1:f:w1:a
        > stop i1
    " },
)]
fn first_leader(trace: &str) {
    run(1, 100.0, &format!("{STEADY}\n{trace}"));
}

#[parameterized(
    no_start_before_the_first_list = { "
        0 configure f
        1 workers w1:a:1000
        2 target f 1 a
        1000 tick
        1100 list i1:f:w1:a
        > updated i1 f w1 Ready
    " },
    starts_of_the_predecessor_are_taken_over = { "
        0 configure f
        1 workers w1:a:1000 w2:a:1000 w3:a:1000
        2 inherit ready i1:f:w1:a
        3 inherit booting i2:f:w2:a
        4 list i1:f:w1:a
        10 target f 2 a
        400 list i1:f:w1:a i3:f:w3:a
        > updated i3 f w3 Ready
        500 list i1:f:w1:a i2:f:w2:a i3:f:w3:a
        > updated i2 f w2 Ready
        1500 target f 4 a
        > start f w1 2.1.f
    " },
    inherited_service_does_not_wait_to_settle = { "
        0 configure f
        1 workers w1:a:1000 w2:a:1000 w3:a:1000
        2 list i1:f:w1:a
        > updated i1 f w1 Ready
        3 inherit booting i2:f:w2:a
        10 target f 3 a
        > start f w3 2.1.f
    " },
    one_instance_is_started_before_settled = { "
        0 configure f
        1 workers w1:a:1000 w2:a:1000
        2 list
        10 target f 2 a
        > start f w1 2.1.f
        20 ok 2.1.f i1
        > updated i1 f w1 Booting
        1000 list i1:f:w1:a i2:f:w2:a
        > updated i1 f w1 Ready
        > updated i2 f w2 Ready
        1400 tick
    " },
    predecessor_and_owners_gone = { "
        0 configure f
        1 workers w1:a:1000
        2 list i1:f:w1:a
        > updated i1 f w1 Ready
        14999 tick
        15249 tick
        > updated i1 f w1 Draining
        15500 target f 1 a
        > start f w1 2.1.f
        16249 tick
        > removed i1 f
        > stop i1
    " },
    retired_before_it_is_listed = { "
        0 configure f
        1 workers w1:a:1000
        2 retire i1
        > stop i1
        10 stopped i1 ok
        20 list i1:f:w1:a
        900 list
    " },
)]
fn successor(trace: &str) {
    run(2, 100.0, trace);
}

#[test]
fn calls_stay_within_the_rate_limit() {
    let mut scaler = Scaler::new(ScalerConfig::new(1, 20.0, 800), 0);
    let names: Vec<String> = (0..60).map(|n| format!("s{n}")).collect();
    scaler.configure(0, names.iter().map(|name| spec(name)));
    scaler.workers_listed(0, 1, vec![worker("w1:a:9000")]);
    scaler.endpoints_listed(0, 1, Vec::new());
    names.iter().for_each(|name| scaler.set_target(0, name, None, 1, &[]));
    let (mut calls, mut now) = (Vec::new(), 0);
    while calls.len() < 60 && now < 4_000 * MS {
        let wake = scaler.tick(now);
        for effect in scaler.take() {
            let Effect::Start { nonce, .. } = effect else { continue };
            let id = format!("i{}", calls.len());
            calls.push(now);
            scaler.start_answered(now, &nonce, Ok((id.as_str().into(), address(&id))));
        }
        now = wake;
    }
    assert_eq!(calls.len(), 60, "in {now}");
    assert!(calls.windows(21).all(|w| w[20] - w[0] >= 1_000 * MS), "{calls:?}");
}

#[test]
fn a_nonce_is_bounded() {
    let mut scaler = Scaler::new(ScalerConfig::new(u64::MAX, 20.0, 0), 0);
    let name = "n".repeat(200);
    scaler.configure(0, [spec(&name)]);
    scaler.workers_listed(0, 1, vec![worker("w1:a:9000")]);
    scaler.endpoints_listed(0, 1, Vec::new());
    scaler.set_target(0, &name, None, 1, &[]);
    scaler.tick(1_000 * MS);
    let effects = scaler.take();
    assert!(matches!(&effects[..], [Effect::Start { nonce, .. }] if nonce.len() == 64), "{effects:?}");
}

/// Without this report, requests of a zone whose workers are full would wait forever.
#[test]
fn split_service_with_a_full_zone_is_reported_as_starved() {
    let mut scaler = Scaler::new(ScalerConfig::new(1, 20.0, 0), 0);
    scaler.configure(0, ["f", "g"].map(spec));
    scaler.workers_listed(0, 1, vec![worker("w1:a:9000"), worker("w2:b:90")]);
    scaler.endpoints_listed(0, 1, Vec::new());
    scaler.set_split(0, &["f".into(), "g".into()].into());
    for (service, zone) in [("f", "a"), ("f", "b"), ("g", "a")] {
        scaler.set_target(0, service, Some(&zone.into()), 1, &[]);
    }
    let starved = |scaler: &Scaler, at| scaler.starved(at, 1_500 * MS).cloned().collect::<Vec<_>>();
    scaler.tick(10 * MS);
    assert!(starved(&scaler, 1_400 * MS).is_empty());
    scaler.tick(1_600 * MS);
    assert_eq!(starved(&scaler, 1_600 * MS), ["f"]);
    scaler.workers_listed(1_700 * MS, 1_700 * MS, vec![worker("w1:a:9000"), worker("w2:b:900")]);
    scaler.tick(1_700 * MS);
    assert!(starved(&scaler, 9_000 * MS).is_empty());
}

/// A worker that one service's owner reports as slow is avoided for that service; one that two services
/// report is avoided for all.
#[test]
fn slow_workers_are_avoided_while_others_have_room() {
    let first = |named: &[(&str, &[&str])], rooms: [&str; 3]| {
        let mut scaler = Scaler::new(ScalerConfig::new(1, 20.0, 0), 0);
        scaler.configure(0, ["f", "g", "h"].map(spec));
        scaler.workers_listed(0, 1, rooms.map(worker).to_vec());
        scaler.endpoints_listed(0, 1, Vec::new());
        for (service, slow) in named {
            scaler.set_target(0, service, None, 0, &[]);
            scaler.set_slow_workers(0, service, None, &slow.iter().map(|w| (*w).into()).collect::<Vec<_>>());
        }
        scaler.set_target(0, "f", None, 1, &["a".into()]);
        scaler.tick(MS);
        match &scaler.take()[..] {
            [Effect::Start { worker, .. }] => worker.to_string(),
            other => panic!("{other:?}"),
        }
    };
    let rooms = ["w1:a:9000", "w2:a:900", "w3:b:900"];
    assert_eq!(first(&[], rooms), "w1");
    assert_eq!(first(&[("f", &["w1"])], rooms), "w2");
    assert_eq!(first(&[("f", &["w1"]), ("f", &[])], rooms), "w1");
    assert_eq!(first(&[("g", &["w1"])], rooms), "w1");
    assert_eq!(first(&[("g", &["w1"]), ("h", &["w1"])], rooms), "w2");
    assert_eq!(first(&[("f", &["w1", "w2"])], rooms), "w3");
    assert_eq!(first(&[("f", &["w1", "w2"])], ["w1:a:9000", "w2:a:900", "w3:b:90"]), "w1");
}
