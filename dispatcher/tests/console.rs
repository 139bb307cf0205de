//! The operators' console: its commands, its figures, and cordoned endpoints.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use common::*;

fn with_console() -> Options {
    Options { console: true, ..Options::default() }
}

/// Sends these pieces one by one, and returns everything received until the connection closes. `half_close`
/// ends the sending direction first.
fn exchange(node: &Node, pieces: &[&[u8]], half_close: bool) -> String {
    let mut stream = TcpStream::connect(node.console.expect("a console")).expect("it listens");
    stream.set_nodelay(true).expect("set");
    for piece in pieces {
        stream.write_all(piece).expect("sent");
        std::thread::sleep(Duration::from_millis(5));
    }
    if half_close {
        stream.shutdown(Shutdown::Write).expect("ended");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn answers_commands_however_they_are_split() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], with_console());
    until("it is ready", || node.staff("health").starts_with("SUCCESS").then_some(()));
    let bytes: Vec<&[u8]> = b"health\r\n".chunks(1).collect();
    assert!(exchange(&node, &bytes, false).starts_with("SUCCESS"));
    assert!(exchange(&node, &[b"health"], true).starts_with("SUCCESS"), "the end of input ends the line");
    assert!(
        exchange(&node, &[b"health\ncordon nobody\n"], false).starts_with("SUCCESS"),
        "only the first line counts"
    );
    for bad in [&b"\n"[..], b"\xff\xfe\n", b"healthy\n", b"cordon\n", b"cordon a b\n", &[b'x'; 2_000]] {
        assert!(exchange(&node, &[bad], false).starts_with("FAILURE"), "{bad:?}");
    }
    assert_eq!(exchange(&node, &[], true), "", "no command, no answer");
}

#[test]
fn unfinished_connections_do_not_block_others() {
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
    // Connections closed before the answer must not block others either.
    for _ in 0..50 {
        TcpStream::connect(console).and_then(|mut s| s.write_all(b"counters\n")).expect("sent");
    }
    assert!(node.staff("health").starts_with("SUCCESS"));
}

#[test]
fn figures_match_what_partners_and_clients_observed() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| answer(if number < 3 { "200 OK" } else { "500 Oops" }));
    let known = [entry("a", &partner, 7, "in_service"), entry("b", &partner, 8, "terminating")];
    let node = Node::start(&discovery, &known, with_console());
    for n in 0..3 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    until("the messages are delivered", || (node.figure("success.safe") == 3).then_some(()));
    assert_eq!(node.hand_in("unsafe", "fails", 7, 50.0), 202);
    discovery.notice("fails");
    assert_eq!(node.hand_in("keyed", "handed-back", 99, 0.05), 202);
    discovery.notice("handed-back");
    assert_eq!(node.hand_in("keyed", "waits", 99, 50.0), 202);
    let figures =
        ["success.safe", "failure.unsafe", "busy.keyed", "inflight", "backend_calls", "failure.safe"];
    assert_eq!(figures.map(|name| node.figure(name)), [3, 1, 1, 1, 4, 0]);
    assert_eq!(partner.count(), 4);
    // Two endpoints of this test, and three that `Node::start` adds.
    assert_eq!(node.figure("hosts_listed"), 5);
    assert!(node.figure("hosts_down") >= 4);
}

#[test]
fn cordoned_endpoint_gets_no_calls_until_it_is_uncordoned() {
    let (discovery, a, b) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let known = [entry("a", &a, 7, "in_service"), entry("b", &b, 8, "in_service")];
    let mut node = Node::start(&discovery, &known, with_console());
    assert_eq!(node.hand_in("safe", "before", 7, 50.0), 202);
    a.message(0);
    assert!(node.staff("cordon nobody").starts_with("FAILURE"));
    assert!(node.staff("uncordon nobody").starts_with("FAILURE"));
    assert!(node.staff("uncordon b").starts_with("SUCCESS"), "uncordoning an endpoint in use succeeds");
    for _ in 0..2 {
        assert!(node.staff("cordon a").starts_with("SUCCESS"));
    }
    let connection = a.message(0).connection;
    until("the idle connection is closed", || {
        a.closed.lock().expect("lock").contains(&connection).then_some(())
    });
    assert_eq!(node.hand_in("safe", "held", 7, 50.0), 202);
    // The cordon must hold whatever the list says meanwhile, also if the endpoint is removed and listed
    // again, and across a kill.
    discovery.tell(&[entry("b", &b, 8, "in_service")]);
    discovery.tell(&[entry("a", &a, 7, "in_service"), entry("b", &b, 8, "in_service")]);
    node.kill();
    node.start_again();
    until("it is ready", || node.staff("health").starts_with("SUCCESS").then_some(()));
    assert_eq!(node.hand_in("safe", "other", 8, 50.0), 202);
    b.message(0);
    until("the other message is finished", || (node.figure("inflight") == 1).then_some(()));
    assert_eq!(a.count(), 1);
    assert!(node.staff("uncordon a").starts_with("SUCCESS"));
    assert_eq!(a.message(1).header("Req-Id"), Some("held"));
    assert!(node.staff("uncordon a").starts_with("SUCCESS"), "uncordoning twice succeeds");
}

#[test]
fn uncordoning_does_not_undo_a_drain_from_discovery() {
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
fn console_is_not_opened_unless_configured() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], Options::default());
    let threads = std::fs::read_dir(format!("/proc/{}/task", node.pid())).expect("the threads").count();
    assert_eq!(threads, 1, "the console thread must not exist");
}

/// Messages are delivered, failed and refused, with a graceful restart in between: the figures of both
/// processes together must match the counts of clients, partners and the platform.
#[test]
fn figures_of_two_processes_add_up_across_a_restart() {
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
            // Some messages are for a destination without endpoints in service; they are returned at their
            // deadline.
            let (dest, deadline) = if n % 7 == 0 { (99, 0.2) } else { (7, 20.0) };
            match node.hand_in(classes[class], &format!("p{process}-{n}"), dest, deadline) {
                202 => taken[class] += 1,
                503 => refused[class] += 1,
                other => panic!("{other}"),
            }
        }
        until("all messages have ended", || (node.figure("inflight") == 0).then_some(()));
        node.wait_for(ENDED);
        for (sum, name) in sums.iter_mut().zip(figures) {
            for (sum, class) in sum.iter_mut().zip(classes) {
                *sum += node.figure(&format!("{name}.{class}"));
            }
        }
        calls += node.figure("backend_calls");
        node.terminate();
        until("the process ends", || node.ended());
        node.start_again();
        until("it is ready", || node.staff("health").starts_with("SUCCESS").then_some(()));
        assert_eq!(node.figure("success.safe"), 0, "a new process counts from 0");
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
    // An unsafe message fails if its call may have been executed; a safe one never fails.
    assert!(failure[1] > 0 && failure[0] == 0 && success[0] > 100, "{sums:?}");
}
