//! Messages that are about the same: one at a time, in the order taken, also across a kill.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::*;
use millpost_standins::wire::hand_in;

fn ordered(class: &str, reference: &str, about: &str) -> Vec<u8> {
    let more = format!("Req-Order-Key: {about}\r\n");
    hand_in(class, reference, 7, 50.0, &format!("key-{reference}"), &more, b"x")
}

fn references(partner: &Server, count: usize) -> Vec<String> {
    (0..count).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().to_owned()).collect()
}

#[test]
fn one_about_the_same_waits_and_one_about_another_does_not() {
    let (discovery, open) = (Discovery::start(), Arc::new(AtomicBool::new(false)));
    let door = open.clone();
    let partner = Server::start(move |_, message| {
        // The first is answered only once the one about something else has been here.
        while message.header("Req-Id") == Some("first") && !door.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if message.header("Req-Id") == Some("other") {
            door.store(true, Ordering::SeqCst);
        }
        answer("200 OK")
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for (reference, about) in [("first", "account 5"), ("second", "account 5"), ("other", "account 6")] {
        let told = node.ask(ordered("ordered", reference, about));
        assert_eq!(told.map(|a| a.status()), Some(202));
        // What comes on two connections at once may be read in either order.
        partner.message(0);
    }
    assert_eq!(references(&partner, 3), ["first", "other", "second"]);
    assert!(open.load(Ordering::SeqCst));
}

#[test]
fn the_order_outlives_a_kill() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| if number == 0 { Reply::Silent } else { answer("200 OK") });
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for n in 0..4 {
        assert_eq!(node.ask(ordered("ordered", &format!("m{n}"), "a")).map(|a| a.status()), Some(202));
    }
    partner.message(0);
    node.kill();
    node.start_again();
    assert_eq!(references(&partner, 5), ["m0", "m0", "m1", "m2", "m3"]);
}

/// The first may still run at the partner when the process dies, and is given up at the next start. Its key rests all the
/// same. Found by exploration.
#[test]
fn a_key_rests_across_a_kill() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| if number == 0 { Reply::Silent } else { answer("200 OK") });
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for reference in ["m0", "m1"] {
        assert_eq!(node.ask(ordered("ordered-once", reference, "a")).map(|a| a.status()), Some(202));
    }
    partner.message(0);
    node.kill();
    let killed = Instant::now();
    node.start_again();
    assert_eq!(discovery.notice("m0")["result"], "dead");
    assert_eq!(partner.message(1).header("Req-Id"), Some("m1"));
    // A lower bound, which no slow machine can miss.
    assert!(killed.elapsed() >= Duration::from_millis(300), "it rested for {:?} only", killed.elapsed());
}

#[test]
fn what_a_message_is_about_is_told_once() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    let twice = "Req-Order-Key: a\r\nReq-Order-Key: b\r\n";
    let told = node.ask(hand_in("ordered", "r", 7, 50.0, "key-r", twice, b"x"));
    assert_eq!(told.map(|a| a.status()), Some(400));
}
