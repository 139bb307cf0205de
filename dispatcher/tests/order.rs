//! Messages with the same ordering key are delivered one at a time, in the order of acceptance, also across a
//! kill.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::*;
use millpost_standins::wire::hand_in;

fn ordered(class: &str, reference: &str, order_key: &str) -> Vec<u8> {
    let more = format!("Req-Order-Key: {order_key}\r\n");
    hand_in(class, reference, 7, 50.0, &format!("key-{reference}"), &more, b"x")
}

fn references(partner: &Server, count: usize) -> Vec<String> {
    (0..count).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().to_owned()).collect()
}

#[test]
fn same_key_waits_and_another_key_does_not() {
    let (discovery, open) = (Discovery::start(), Arc::new(AtomicBool::new(false)));
    let door = open.clone();
    let partner = Server::start(move |_, message| {
        // The first message is answered only after the one with the other key has arrived.
        while message.header("Req-Id") == Some("first") && !door.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if message.header("Req-Id") == Some("other") {
            door.store(true, Ordering::SeqCst);
        }
        answer("200 OK")
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for (reference, order_key) in [("first", "account 5"), ("second", "account 5"), ("other", "account 6")] {
        let told = node.ask(ordered("ordered", reference, order_key));
        assert_eq!(told.map(|a| a.status()), Some(202));
        // Wait, because requests on two connections at once may be read in either order.
        partner.message(0);
    }
    assert_eq!(references(&partner, 3), ["first", "other", "second"]);
    assert!(open.load(Ordering::SeqCst));
}

#[test]
fn order_is_preserved_across_a_kill() {
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

/// The first message may still be executing at the partner when the process is killed, and it fails at the
/// next start. Its ordering key must rest nevertheless before the next message is sent. Found by state
/// exploration.
#[test]
fn ordering_key_rests_across_a_kill() {
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
    // A lower bound, which holds on slow machines too.
    assert!(killed.elapsed() >= Duration::from_millis(300), "the key rested for only {:?}", killed.elapsed());
}

#[test]
fn rejects_a_repeated_order_key() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    let twice = "Req-Order-Key: a\r\nReq-Order-Key: b\r\n";
    let told = node.ask(hand_in("ordered", "r", 7, 50.0, "key-r", twice, b"x"));
    assert_eq!(told.map(|a| a.status()), Some(400));
}
