//! Recorded traces played against the scaler.
//!
//! A line is a time in milliseconds and an input; a tick follows each. The lines with `>` under it are all that came of it.
//! `w1:a:1000` is a worker with its zone and free memory, `i1:f:w1:a` an entry with its service; `:d` means draining.

use std::net::SocketAddr;

use compact_str::CompactString;
use millpost_autoscaler::{
    Effect, Endpoint, Instance, Scaler, ScalerConfig, ServiceSpec, StartFault, State, StopFault, Worker,
};
use yare::parameterized;

const MS: u64 = 1_000_000;

fn address(id: &str) -> SocketAddr {
    // `i7b` listens where `i7` did.
    let digits: String = id.chars().filter(char::is_ascii_digit).collect();
    SocketAddr::from(([10, 0, 0, digits.parse().expect("a number")], 80))
}

fn told(effect: Effect) -> String {
    match effect {
        Effect::Start { service, worker, nonce } => format!("start {service} {worker} {nonce}"),
        Effect::Stop { id } => format!("stop {id}"),
        Effect::Updated { instance: Instance { id, service, worker, state, .. } } => {
            format!("known {id} {service} {worker} {state:?}")
        }
        Effect::Removed { id, service, .. } => format!("gone {id} {service}"),
    }
}

fn entry(text: &str) -> Endpoint {
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
        ["conf", names @ ..] => scaler.configure(now, names.iter().map(|name| spec(name))),
        ["list", entries @ ..] => {
            scaler.endpoints_listed(now, now, entries.iter().map(|text| entry(text)).collect())
        }
        ["workers", workers @ ..] => {
            scaler.workers_listed(now, now, workers.iter().map(|text| worker(text)).collect());
        }
        ["want", service, count, zones @ ..] => {
            let zones: Vec<CompactString> = zones.iter().map(|zone| (*zone).into()).collect();
            scaler.set_target(now, service, None, count.parse().expect("a count"), &zones);
        }
        ["split", names @ ..] => scaler.set_split(now, &names.iter().map(|name| (*name).into()).collect()),
        ["lot", service, zone, count] => {
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
        ["lost", id] => scaler.mark_unreachable(now, id),
        ["up", id] => scaler.mark_up(now, id),
        ["inherit", state, text] => {
            let Endpoint { id, service, address, zone, worker, .. } = entry(text);
            let state = if *state == "booting" { State::Booting } else { State::Ready };
            let worker = worker.expect("a worker");
            let told = Instance { id, service, address, zone, worker, state, boot_ms: 300, since: 0 };
            scaler.inherit(now, [told]);
        }
        _ => panic!("no such input: {words:?}"),
    }
}

/// Plays a trace and compares what comes of each line.
fn play(fence: u64, duty_per_s: f64, trace: &str) {
    let mut scaler = Scaler::new(ScalerConfig::new(fence, duty_per_s, 800), 0);
    let lines: Vec<&str> = trace.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    let mut at = 0;
    while at < lines.len() {
        let words: Vec<&str> = lines[at].split_whitespace().collect();
        let now = words[0].parse::<u64>().expect("a time") * MS;
        input(&mut scaler, now, &words[1..]);
        let wake = scaler.tick(now);
        assert!(wake > now && wake <= now + 250 * MS, "{}: wakes at {wake}", lines[at]);
        let came: Vec<String> = scaler.take().into_iter().map(told).collect();
        let expected: Vec<&str> = lines[at + 1..].iter().map_while(|line| line.strip_prefix("> ")).collect();
        assert_eq!(came, expected, "after `{}`", lines[at]);
        at += 1 + expected.len();
    }
}

const STEADY: &str = "0 conf f g
    1 workers w1:a:1000 w2:a:1000 w3:b:1000 w4:b:1000
    2 list";

#[parameterized(
    life = { "
        3 want f 1 a b
        > start f w1 1.1.f
        20 ok 1.1.f i1
        > known i1 f w1 Booting
        300 want f 1 a b
        400 list
        500 up i1
        > known i1 f w1 Ready
        600 list
        1400 list i1:f:w1:a
        1500 retire i1
        > gone i1 f
        > stop i1
        1505 want f 0 a b
        1510 stopped i1 ok
        1600 list i1:f:w1:a
        2400 list
        2500 retire i1
        > stop i1
    " },
    spread_over_workers_then_zones = { "
        3 want f 3 a a b
        > start f w1 1.1.f
        > start f w2 1.2.f
        > start f w3 1.3.f
        4 want f 5 a a b
        > start f w4 1.4.f
        > start f w1 1.5.f
    " },
    lots_start_in_their_own_zones = { "
        3 split f
        4 want f 5 a
        5 lot f b 2
        > start f w3 1.1.f
        > start f w4 1.2.f
        10 ok 1.1.f i1
        > known i1 f w3 Booting
        11 ok 1.2.f i2
        > known i2 f w4 Booting
        20 lot f a 1
        > start f w1 1.3.f
        30 retire i1
        > gone i1 f
        > stop i1
        40 tick
        50 split
        60 lot f b 9
        70 want f 3 a
        > start f w2 1.4.f
        80 split f
        90 lot f c 1
        100 lot f b 2
        > start f w3 1.5.f
    " },
    none_at_all_goes_first = { "
        3 want f 1 a
        > start f w1 1.1.f
        4 workers w5:c:90
        5 want f 3 a
        6 want g 2 b
        7 workers w1:a:1000 w3:b:1000
        > start g w3 1.2.g
        > start f w1 1.3.f
        > start f w1 1.4.f
        > start g w3 1.5.g
    " },
    room_counts_what_was_started_since = { "
        3 workers w1:a:250
        4 want f 4 a
        > start f w1 1.1.f
        > start f w1 1.2.f
        500 workers w1:a:250
        1000 workers w1:a:150
        > start f w1 1.3.f
    " },
    no_room_takes_another_worker = { "
        3 want f 1 a
        > start f w1 1.1.f
        9 fault 1.1.f room
        > start f w2 1.2.f
        15 fault 1.2.f room
        > start f w3 1.3.f
        21 ok 1.3.f i1
        > known i1 f w3 Booting
        1000 want f 3 a
        > start f w4 1.4.f
        > start f w3 1.5.f
        1001 workers w1:a:1000 w2:a:1000 w3:b:1000 w4:b:1000
        1002 want f 4 a
        > start f w1 1.6.f
    " },
    unclear_and_busy_keep_nonce_and_worker = { "
        3 want f 1 a
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
        > known i1 f w1 Ready
        240 tick
    " },
    unclear_that_was_done_is_one_instance = { "
        3 want f 2 a
        > start f w1 1.1.f
        > start f w2 1.2.f
        10 fault 1.1.f unclear
        12 fault 1.2.f unclear
        40 tick
        > start f w1 1.1.f
        42 tick
        > start f w2 1.2.f
        400 list i1:f:w1:a
        > known i1 f w1 Ready
        500 ok 1.1.f i1
        510 ok 1.2.f i2
        > known i2 f w2 Booting
    " },
    unclear_on_a_worker_that_drains_goes_elsewhere = { "
        3 want f 1 a
        > start f w1 1.1.f
        10 fault 1.1.f unclear
        20 workers w1:a:1000:d w2:a:1000
        > start f w2 1.2.f
    " },
    silent_call_counts_as_unclear_and_a_refused_one_pauses = { "
        3 want f 1 a
        > start f w1 1.1.f
        4000 want f 1 a
        8000 want f 1 a
        10100 tick
        10130 tick
        > start f w1 1.1.f
        10140 fault 1.1.f refused
        11139 want f 1 a
        11140 tick
        > start f w1 1.2.f
        11150 fault 1.2.f refused
        11200 conf f g
        > start f w1 1.3.f
    " },
    drain_is_replaced_at_once = { "
        100 list i1:f:w1:a i2:f:w2:a
        > known i1 f w1 Ready
        > known i2 f w2 Ready
        101 want f 2 a
        900 list i1:f:w1:a:d i2:f:w2:a
        > known i1 f w1 Draining
        > start f w1 1.1.f
        1000 lost i1
        > gone i1 f
        3000 list i2:f:w2:a
    " },
    draining_worker = { "
        100 list i1:f:w1:a
        > known i1 f w1 Ready
        101 want f 1 a
        200 workers w1:a:1000:d w2:a:1000 w3:b:1000 w4:b:1000
        > known i1 f w1 Draining
        > start f w2 1.1.f
        300 list i1:f:w1:a
        1300 list i1:f:w1:a:d
        4400 list
        > gone i1 f
    " },
    crash_of_a_worker = { "
        100 list i1:f:w1:a i2:f:w2:a
        > known i1 f w1 Ready
        > known i2 f w2 Ready
        101 want f 2 a b
        1000 workers w2:a:1000 w3:b:1000
        2000 workers w2:a:1000 w3:b:1000
        > gone i1 f
        > start f w3 1.1.f
        2100 list i1:f:w1:a i2:f:w2:a
        2900 list i1:f:w1:a i2:f:w2:a
        3300 list i1:f:w1:a i2:f:w2:a
        4000 list i2:f:w2:a
        4500 workers w1:a:8000 w2:a:1000 w3:b:1000
    " },
    lag_does_not_end_what_was_just_started = { "
        3 want f 1 a
        > start f w1 1.1.f
        20 ok 1.1.f i1
        > known i1 f w1 Booting
        30 lost i1
        1500 list
        2619 want f 1 a
        2620 list
        2621 list
        > gone i1 f
        > start f w2 1.2.f
    " },
    one_that_flickers_when_new_stays = { "
        100 list i1:f:w1:a
        > known i1 f w1 Ready
        500 list
        800 list i1:f:w1:a
        1300 list
        > gone i1 f
    " },
    lost_and_seen_again = { "
        100 list i1:f:w1:a
        > known i1 f w1 Ready
        101 want f 1 a
        1000 lost i1
        > gone i1 f
        > start f w2 1.1.f
        1700 list i1:f:w1:a
        1801 list i1:f:w1:a
        2000 list i1:f:w1:a
        > known i1 f w1 Ready
        2100 lost i1
        > gone i1 f
        3000 list
    " },
    dropped_service = { "
        100 list i1:f:w1:a i2:f:w2:a
        > known i1 f w1 Ready
        > known i2 f w2 Ready
        101 want f 3 a
        > start f w1 1.1.f
        200 conf g
        > known i1 f w1 Draining
        > known i2 f w2 Draining
        250 want f 3 a
        300 ok 1.1.f i3
        > stop i3
        500 retire i1
        > gone i1 f
        > stop i1
        1200 tick
        > gone i2 f
        > stop i2
        1210 stopped i2 unclear
        1240 tick
        > stop i2
    " },
    nobody_speaks = { "
        100 list i1:f:w1:a
        > known i1 f w1 Ready
        101 want f 2 a
        > start f w2 1.1.f
        150 ok 1.1.f i2
        > known i2 f w2 Booting
        1000 list i1:f:w1:a i2:f:w2:a
        > known i2 f w2 Ready
        5200 lost i2
        > gone i2 f
        15000 list i1:f:w1:a
        15250 tick
        > known i1 f w1 Draining
    " },
    an_address_that_is_used_again = { "
        100 list i1:f:w1:a
        > known i1 f w1 Ready
        3000 list i1:f:w1:a i1b:g:w2:a
        > gone i1 f
        > known i1b g w2 Ready
        3500 list i1:f:w1:a i1b:g:w2:a i2:f:-:a
    " },
    stopped_and_still_listed = { "
        100 list i1:f:w1:a
        > known i1 f w1 Ready
        200 retire i1
        > gone i1 f
        > stop i1
        210 stopped i1 ok
        6000 list i1:f:w1:a
        6100 list i1:f:w1:a
        > stop i1
    " },
)]
fn first_holder(trace: &str) {
    play(1, 100.0, &format!("{STEADY}\n{trace}"));
}

#[parameterized(
    nothing_before_the_list = { "
        0 conf f
        1 workers w1:a:1000
        2 want f 1 a
        1000 tick
        1100 list i1:f:w1:a
        > known i1 f w1 Ready
    " },
    starts_in_flight_are_adopted = { "
        0 conf f
        1 workers w1:a:1000 w2:a:1000 w3:a:1000
        2 inherit ready i1:f:w1:a
        3 inherit booting i2:f:w2:a
        4 list i1:f:w1:a
        10 want f 2 a
        400 list i1:f:w1:a i3:f:w3:a
        > known i3 f w3 Ready
        500 list i1:f:w1:a i2:f:w2:a i3:f:w3:a
        > known i2 f w2 Ready
        1500 want f 4 a
        > start f w1 2.1.f
    " },
    what_owners_tell_of_is_all_there_is = { "
        0 conf f
        1 workers w1:a:1000 w2:a:1000 w3:a:1000
        2 list i1:f:w1:a
        > known i1 f w1 Ready
        3 inherit booting i2:f:w2:a
        10 want f 3 a
        > start f w3 2.1.f
    " },
    one_is_started_where_none_is_known = { "
        0 conf f
        1 workers w1:a:1000 w2:a:1000
        2 list
        10 want f 2 a
        > start f w1 2.1.f
        20 ok 2.1.f i1
        > known i1 f w1 Booting
        1000 list i1:f:w1:a i2:f:w2:a
        > known i1 f w1 Ready
        > known i2 f w2 Ready
        1400 tick
    " },
    a_dead_holder_and_dead_owners = { "
        0 conf f
        1 workers w1:a:1000
        2 list i1:f:w1:a
        > known i1 f w1 Ready
        14999 tick
        15249 tick
        > known i1 f w1 Draining
        15500 want f 1 a
        > start f w1 2.1.f
        16249 tick
        > gone i1 f
        > stop i1
    " },
    retired_before_it_is_known = { "
        0 conf f
        1 workers w1:a:1000
        2 retire i1
        > stop i1
        10 stopped i1 ok
        20 list i1:f:w1:a
        900 list
    " },
)]
fn successor(trace: &str) {
    play(2, 100.0, trace);
}

#[test]
fn calls_keep_under_the_rate() {
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

/// A zone without room would have kept its own requests waiting for good.
#[test]
fn a_lot_whose_zone_has_no_room_is_named() {
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

/// What one service's owner calls slow counts for that service; what two say counts for all.
#[test]
fn slow_workers_are_left_out_while_others_have_room() {
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
