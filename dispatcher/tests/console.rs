//! The second address: what the staff asks, what it shows, and endpoints that are taken out by hand.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use common::*;

fn with_console() -> Options {
    Options { console: true, ..Options::default() }
}

/// Sends these bytes, in one piece each; what comes back until the end.
fn say(node: &Node, pieces: &[&[u8]], ends: bool) -> String {
    let mut stream = TcpStream::connect(node.console.expect("a console")).expect("it listens");
    stream.set_nodelay(true).expect("set");
    for piece in pieces {
        stream.write_all(piece).expect("sent");
        std::thread::sleep(Duration::from_millis(5));
    }
    if ends {
        stream.shutdown(Shutdown::Write).expect("ended");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn calls_are_answered_however_they_come() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], with_console());
    until("it is ready", || node.staff("health").starts_with("SUCCESS").then_some(()));
    let bytes: Vec<&[u8]> = b"health\r\n".chunks(1).collect();
    assert!(say(&node, &bytes, false).starts_with("SUCCESS"));
    assert!(say(&node, &[b"health"], true).starts_with("SUCCESS"), "the line ends with the sending");
    assert!(say(&node, &[b"health\ncordon nobody\n"], false).starts_with("SUCCESS"), "the first line counts");
    for bad in [&b"\n"[..], b"\xff\xfe\n", b"healthy\n", b"cordon\n", b"cordon a b\n", &[b'x'; 2_000]] {
        assert!(say(&node, &[bad], false).starts_with("FAILURE"), "{bad:?}");
    }
    assert_eq!(say(&node, &[], true), "", "nothing was asked");
}

#[test]
fn callers_that_never_finish_keep_no_one_out() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], with_console());
    let console = node.console.expect("a console");
    let silent: Vec<TcpStream> = (0..100)
        .map(|n| {
            let mut stream = TcpStream::connect(console).expect("it listens");
            stream.write_all(if n % 2 == 0 { b"" } else { b"count" }).expect("sent");
            stream
        })
        .collect();
    let asked: Vec<_> =
        (0..20).map(|_| Instant::now()).map(|at| (node.staff("counters"), at.elapsed())).collect();
    for (answer, took) in &asked {
        assert!(answer.ends_with("EOT\n"), "{answer}");
        assert!(*took < Duration::from_secs(1), "{took:?}");
    }
    drop(silent);
    // Nor does one that leaves before its answer.
    for _ in 0..50 {
        TcpStream::connect(console).and_then(|mut s| s.write_all(b"counters\n")).expect("sent");
    }
    assert!(node.staff("health").starts_with("SUCCESS"));
}

#[test]
fn figures_are_what_partners_and_clients_saw() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| answer(if number < 3 { "200 OK" } else { "500 Oops" }));
    let known = [entry("a", &partner, 7, "in_service"), entry("b", &partner, 8, "terminating")];
    let node = Node::start(&discovery, &known, with_console());
    for n in 0..3 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    until("they are delivered", || (node.figure("success.safe") == 3).then_some(()));
    assert_eq!(node.hand_in("unsafe", "fails", 7, 50.0), 202);
    discovery.notice("fails");
    assert_eq!(node.hand_in("keyed", "handed-back", 99, 0.05), 202);
    discovery.notice("handed-back");
    assert_eq!(node.hand_in("keyed", "waits", 99, 50.0), 202);
    let figures =
        ["success.safe", "failure.unsafe", "busy.keyed", "inflight", "backend_calls", "failure.safe"];
    assert_eq!(figures.map(|name| node.figure(name)), [3, 1, 1, 1, 4, 0]);
    assert_eq!(partner.count(), 4);
    // Two of this test's, three that the tests' stand-in names beside.
    assert_eq!(node.figure("hosts_listed"), 5);
    assert!(node.figure("hosts_down") >= 4);
}

#[test]
fn an_endpoint_that_is_out_by_hand_gets_nothing_until_it_is_put_back() {
    let (discovery, a, b) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let known = [entry("a", &a, 7, "in_service"), entry("b", &b, 8, "in_service")];
    let mut node = Node::start(&discovery, &known, with_console());
    assert_eq!(node.hand_in("safe", "before", 7, 50.0), 202);
    a.message(0);
    assert!(node.staff("cordon nobody").starts_with("FAILURE"));
    assert!(node.staff("uncordon nobody").starts_with("FAILURE"));
    assert!(node.staff("uncordon b").starts_with("SUCCESS"), "it is in use");
    for _ in 0..2 {
        assert!(node.staff("cordon a").starts_with("SUCCESS"));
    }
    let connection = a.message(0).connection;
    until("its idle connection is closed", || {
        a.closed.lock().expect("lock").contains(&connection).then_some(())
    });
    assert_eq!(node.hand_in("safe", "held", 7, 50.0), 202);
    // Whatever the list says meanwhile, also that it is gone and back, and over a kill.
    discovery.tell(&[entry("b", &b, 8, "in_service")]);
    discovery.tell(&[entry("a", &a, 7, "in_service"), entry("b", &b, 8, "in_service")]);
    node.kill();
    node.start_again();
    until("it is ready", || node.staff("health").starts_with("SUCCESS").then_some(()));
    assert_eq!(node.hand_in("safe", "other", 8, 50.0), 202);
    b.message(0);
    until("the other one is over", || (node.figure("inflight") == 1).then_some(()));
    assert_eq!(a.count(), 1);
    assert!(node.staff("uncordon a").starts_with("SUCCESS"));
    assert_eq!(a.message(1).header("Req-Id"), Some("held"));
    assert!(node.staff("uncordon a").starts_with("SUCCESS"), "once is enough");
}

#[test]
fn putting_an_endpoint_back_does_not_undo_a_drain_that_discovery_told() {
    let (discovery, a) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &a, 7, "in_service")], with_console());
    assert!(node.staff("cordon a").starts_with("SUCCESS"));
    discovery.tell(&[entry("a", &a, 7, "terminating")]);
    assert!(node.staff("uncordon a").starts_with("SUCCESS"));
    assert_eq!(node.hand_in("safe", "r", 7, 0.3), 202);
    discovery.notice("r");
    assert_eq!(a.count(), 0);
}

#[test]
fn without_the_setting_nothing_is_opened() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], Options::default());
    let fds = std::fs::read_dir(format!("/proc/{}/task", node.pid())).expect("its threads").count();
    assert_eq!(fds, 1, "one thread");
}

/// Clients hand in, partners deliver, fail and refuse, the process is restarted in order in between: what the figures of
/// both processes say together is what clients, partners and the platform counted.
#[test]
fn figures_of_a_busy_run_with_a_restart_add_up() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| match number % 10 {
        3 => answer("500 Oops"),
        6 => answer("503 Full"),
        _ => answer("200 OK"),
    });
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options { hold: 60, ..with_console() });
    let figures = ["success", "busy", "failure"];
    let classes = ["safe", "unsafe"];
    let mut sums = [[0_u64; 2]; 3];
    let mut calls = 0;
    let (mut taken, mut refused) = ([0_u64; 2], [0_u64; 2]);
    for process in 0..2 {
        for n in 0..300 {
            let class = n % 2;
            // Some for a destination that takes nothing: they are handed back when their time is up.
            let (dest, deadline) = if n % 7 == 0 { (99, 0.2) } else { (7, 20.0) };
            match node.hand_in(classes[class], &format!("p{process}-{n}"), dest, deadline) {
                202 => taken[class] += 1,
                503 => refused[class] += 1,
                other => panic!("{other}"),
            }
        }
        until("all have ended", || (node.figure("inflight") == 0).then_some(()));
        node.settled(ENDED);
        for (sum, name) in sums.iter_mut().zip(figures) {
            for (sum, class) in sum.iter_mut().zip(classes) {
                *sum += node.figure(&format!("{name}.{class}"));
            }
        }
        calls += node.figure("backend_calls");
        node.terminate();
        until("it ends", || node.ended());
        node.start_again();
        until("it is ready", || node.staff("health").starts_with("SUCCESS").then_some(()));
        assert_eq!(node.figure("success.safe"), 0, "each process counts from 0");
    }
    let notices = discovery.notices.lock().expect("lock");
    let told = |result: &str| notices.iter().filter(|n| n["result"] == result).count() as u64;
    let [success, busy, failure] = sums;
    assert_eq!(calls, partner.count() as u64);
    assert_eq!(failure.iter().sum::<u64>(), told("dead"));
    assert_eq!(busy.iter().sum::<u64>(), told("bounced") + refused.iter().sum::<u64>());
    for class in 0..2 {
        let ended = success[class] + busy[class] + failure[class];
        assert_eq!(ended, taken[class] + refused[class], "{}", classes[class]);
    }
    // An unsafe message whose call failed may have run; a safe one is never failed.
    assert!(failure[1] > 0 && failure[0] == 0 && success[0] > 100, "{sums:?}");
}
