//! Replacing the running process: operations in progress on either side at each stage of the handover.

mod common;

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::*;
use millpost_handover::{Ask, Frame, Reader, VERSION, write};

fn with_console() -> Options {
    Options { console: true, ..Options::default() }
}

/// An endpoint whose first answer is `first`, sent only after a signal on the returned channel.
fn delayed_endpoint(first: &'static str) -> (Server, Sender<()>) {
    let (go, going): (Sender<()>, Receiver<()>) = channel();
    let going = Arc::new(Mutex::new(going));
    let server = Server::start(move |number, _| {
        if number == 0 {
            let _ = going.lock().expect("lock").recv();
            return answer(first);
        }
        answer("200 OK")
    });
    (server, go)
}

fn succeeded(answer: Option<String>) -> bool {
    answer.is_some_and(|answer| answer.starts_with("SUCCESS"))
}

#[test]
fn call_in_flight_is_finished_by_the_old_process_and_counted_by_the_new() {
    let (discovery, (partner, go)) = (Discovery::start(), delayed_endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    let mut old = node.upgrade();
    assert!(!succeeded(old.staff("health")), "the old process must no longer be ready");
    assert_eq!(node.figure("inflight"), 1);
    old.terminate();
    go.send(()).expect("the endpoint waits");
    until("the message is delivered", || (node.figure("success.unsafe") == 1).then_some(()));
    assert_eq!(until("the process ends", || old.ended()).code(), Some(0));
    assert_eq!(node.hand_in("unsafe", "next", 7, 50.0), 202);
    partner.message(1);
    node.wait_for(ENDED);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn calls_of_a_killed_old_process_count_as_possibly_executed() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| if number < 2 { Reply::Silent } else { answer("200 OK") });
    let known = [entry("a", &partner, 7, "in_service"), entry("b", &partner, 8, "in_service")];
    let mut node = Node::start(&discovery, &known, with_console());
    assert_eq!(node.hand_in("unsafe", "once", 7, 50.0), 202);
    assert_eq!(node.hand_in("safe", "again", 8, 50.0), 202);
    partner.message(1);
    node.upgrade().kill();
    assert_eq!(discovery.notice("once")["result"], "dead");
    assert_eq!(partner.message(2).header("Req-Id"), Some("again"));
    node.wait_for(ENDED);
    assert_eq!(partner.count(), 3);
}

#[test]
fn wait_received_by_the_old_process_after_the_handover_binds_the_new() {
    let (discovery, (partner, go)) = (Discovery::start(), delayed_endpoint("429 Wait\r\nRetry-After: 2"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("safe", "told", 7, 50.0), 202);
    partner.message(0);
    let _old = node.upgrade();
    go.send(()).expect("the endpoint waits");
    node.wait_for(NEVER_RAN);
    let told = std::time::Instant::now();
    assert_eq!(node.hand_in("unsafe", "waits", 7, 50.0), 202);
    let next = partner.message(1).at.expect("a time");
    assert!(next - told >= Duration::from_millis(1_900), "{:?}", next - told);
}

#[test]
fn order_is_preserved_between_messages_on_both_sides() {
    let (discovery, (partner, go)) = (Discovery::start(), delayed_endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let ordered = |reference: &str| {
        let text = String::from_utf8(request("ordered-once", reference, 7, 50.0, b"x")).expect("text");
        text.replacen("\r\n", "\r\nReq-Order-Key: loan-1\r\n", 1)
    };
    assert_eq!(node.ask(ordered("first")).map(|a| a.status()), Some(202));
    partner.message(0);
    let _old = node.upgrade();
    assert_eq!(node.ask(ordered("second")).map(|a| a.status()), Some(202));
    assert_eq!(node.hand_in("safe", "another", 7, 50.0), 202);
    assert_eq!(
        partner.message(1).header("Req-Id"),
        Some("another"),
        "only messages with the same key must wait"
    );
    go.send(()).expect("the endpoint waits");
    assert_eq!(partner.message(2).header("Req-Id"), Some("second"));
    node.wait_for(ENDED);
}

#[test]
fn requests_on_connections_of_the_old_process_are_accepted_by_the_new() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let (mut half, mut idle) = (node.connect(), node.connect());
    let whole = request("unsafe", "half", 7, 50.0, b"body");
    half.get_mut().write_all(&whole[..whole.len() - 1]).expect("sent");
    idle.get_mut().write_all(&request("safe", "first", 7, 50.0, b"")).expect("sent");
    assert_eq!(read(&mut idle).map(|a| a.status()), Some(202));
    let mut old = node.upgrade();
    // The last byte of the request arrives after the handover.
    half.get_mut().write_all(&whole[whole.len() - 1..]).expect("sent");
    idle.get_mut().write_all(&request("safe", "second", 7, 50.0, b"")).expect("sent");
    for connection in [&mut half, &mut idle] {
        let answer = read(connection).expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    }
    let mut got: Vec<String> =
        (0..3).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().into()).collect();
    got.sort();
    assert_eq!(got, ["first", "half", "second"]);
    // A submission with the same reference on the other side is the same message.
    assert_eq!(node.hand_in("unsafe", "half", 7, 50.0), 202);
    old.terminate();
    assert_eq!(until("the process ends", || old.ended()).code(), Some(0));
    node.wait_for(ENDED);
    assert_eq!(partner.count(), 3);
}

#[test]
fn cordons_survive_a_handover_and_the_old_console_forwards_commands() {
    let (discovery, a, b) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let known = [entry("a", &a, 7, "in_service"), entry("b", &b, 8, "in_service")];
    let mut node = Node::start(&discovery, &known, with_console());
    assert!(node.staff("cordon a").starts_with("SUCCESS"));
    let old = node.upgrade();
    assert!(succeeded(old.staff("cordon b")), "the owner must answer");
    assert!(!succeeded(old.staff("cordon nobody")));
    for dest in [7, 8] {
        assert_eq!(node.hand_in("safe", &format!("to-{dest}"), dest, 50.0), 202);
    }
    assert!(node.staff("uncordon a").starts_with("SUCCESS"));
    assert_eq!(a.message(0).header("Req-Id"), Some("to-7"));
    until("the first message is finished", || (node.figure("inflight") == 1).then_some(()));
    assert_eq!(b.count(), 0);
    assert!(succeeded(old.staff("uncordon b")));
    assert_eq!(b.message(0).header("Req-Id"), Some("to-8"));
}

#[test]
fn new_process_with_an_invalid_configuration_changes_nothing() {
    let (discovery, (partner, go)) = (Discovery::start(), delayed_endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    node.configure(|text| text[..text.len() / 2].to_owned());
    let mut new = node.launch_beside();
    assert_eq!(until("the process ends", || new.ended()).code(), Some(1));
    go.send(()).expect("the endpoint waits");
    until("the message is delivered", || (node.figure("success.unsafe") == 1).then_some(()));
    assert!(node.staff("health").starts_with("SUCCESS"));
}

/// Connects to the handover socket of the process that owns the folder.
fn handover_client(node: &Node) -> UnixStream {
    let stream = UnixStream::connect(node.state.path().join("handover.sock")).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set");
    stream
}

fn ask(stream: &mut UnixStream, name: &str) -> Option<Frame> {
    stream.write_all(&write(&Frame::Ask(Ask { version: VERSION, name: name.to_owned() }))).ok()?;
    let (mut reader, mut buffer) = (Reader::default(), vec![0; 4096]);
    reader.trust();
    loop {
        if let Ok(Some(frame)) = reader.frame() {
            return Some(frame);
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => reader.read(&buffer[..n]),
            _ => return None,
        }
    }
}

#[test]
fn successor_that_ends_before_taking_ownership_changes_nothing() {
    let (discovery, (partner, go)) = (Discovery::start(), delayed_endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    for _ in 0..3 {
        let mut successor = handover_client(&node);
        assert!(matches!(ask(&mut successor, "n0"), Some(Frame::Offer(_))));
    }
    assert_eq!(node.hand_in("safe", "meanwhile", 7, 50.0), 202);
    go.send(()).expect("the endpoint waits");
    until("both messages are delivered", || {
        (node.figure("success.unsafe") + node.figure("success.safe") == 2).then_some(())
    });
    // Invalid, malformed and silent requests get no offer and do not block a handover.
    assert!(matches!(ask(&mut handover_client(&node), "n1"), Some(Frame::No(_))));
    handover_client(&node).write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    let _silent = handover_client(&node);
    let _old = node.upgrade();
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    node.wait_for(ENDED);
    assert_eq!(partner.count(), 3);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn replaced_process_takes_over_if_the_new_owner_dies_early() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[], with_console());
    assert_eq!(node.hand_in("safe", "kept", 7, 50.0), 202);
    let old = node.upgrade();
    let mut new = node.replace(old);
    assert_eq!(node.hand_in("unsafe", "also", 7, 50.0), 202);
    new.kill();
    // The former owner restarts from the store, with the same process id.
    until("the former owner serves again", || {
        assert!(node.ended().is_none(), "it ended");
        node.staff_now("health").is_some_and(|answer| answer.starts_with("SUCCESS")).then_some(())
    });
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    let mut got: Vec<String> =
        (0..2).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().into()).collect();
    got.sort();
    assert_eq!(got, ["also", "kept"]);
    node.wait_for(ENDED);
}

#[test]
fn handovers_can_follow_each_other() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let first = node.upgrade();
    // The third process must wait while the first still finishes its work.
    let mut third = node.launch_beside();
    std::thread::sleep(Duration::from_millis(300));
    assert!(!succeeded(third.staff("health")));
    first.terminate();
    until("the third process is ready", || {
        assert!(third.ended().is_none(), "it ended");
        succeeded(third.staff("health")).then_some(())
    });
    let second = node.replace(third);
    second.terminate();
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    partner.message(0);
    // A stopping process declines a handover; the next process recovers from the store.
    node.terminate();
    let next = node.launch_beside();
    until("the next process is ready", || succeeded(next.staff("health")).then_some(()));
    let _old = node.replace(next);
    assert_eq!(node.hand_in("safe", "s", 7, 50.0), 202);
    partner.message(1);
}
