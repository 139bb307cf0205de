//! Replacing the process in service: what is under way on either side at each moment of it.

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

/// An endpoint whose answers wait to be let go, one by one.
fn held(first: &'static str) -> (Server, Sender<()>) {
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

fn said(line: Option<String>) -> bool {
    line.is_some_and(|answer| answer.starts_with("SUCCESS"))
}

#[test]
fn a_call_that_is_out_is_finished_by_the_old_process_and_counted_by_the_new() {
    let (discovery, (partner, go)) = (Discovery::start(), held("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    let mut old = node.upgrade();
    assert!(!said(old.staff("health")), "it is no owner any more");
    assert_eq!(node.figure("inflight"), 1);
    old.terminate();
    go.send(()).expect("it waits");
    until("it is delivered", || (node.figure("success.unsafe") == 1).then_some(()));
    assert_eq!(until("it ends", || old.ended()).code(), Some(0));
    assert_eq!(node.hand_in("unsafe", "next", 7, 50.0), 202);
    partner.message(1);
    node.settled(ENDED);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn what_was_out_on_an_old_process_that_is_killed_may_have_run() {
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
    node.settled(ENDED);
    assert_eq!(partner.count(), 3);
}

#[test]
fn a_wait_that_the_old_process_is_told_after_the_change_binds_the_new() {
    let (discovery, (partner, go)) = (Discovery::start(), held("429 Wait\r\nRetry-After: 2"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("safe", "told", 7, 50.0), 202);
    partner.message(0);
    let _old = node.upgrade();
    go.send(()).expect("it waits");
    node.settled(NEVER_RAN);
    let told = std::time::Instant::now();
    assert_eq!(node.hand_in("unsafe", "waits", 7, 50.0), 202);
    let next = partner.message(1).at.expect("a time");
    assert!(next - told >= Duration::from_millis(1_900), "{:?}", next - told);
}

#[test]
fn messages_in_order_stay_in_order_with_one_on_each_side() {
    let (discovery, (partner, go)) = (Discovery::start(), held("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let about = |reference: &str| {
        let text = String::from_utf8(request("ordered-once", reference, 7, 50.0, b"x")).expect("text");
        text.replacen("\r\n", "\r\nReq-Order-Key: loan-1\r\n", 1)
    };
    assert_eq!(node.ask(about("first")).map(|a| a.status()), Some(202));
    partner.message(0);
    let _old = node.upgrade();
    assert_eq!(node.ask(about("second")).map(|a| a.status()), Some(202));
    assert_eq!(node.hand_in("safe", "another", 7, 50.0), 202);
    assert_eq!(partner.message(1).header("Req-Id"), Some("another"), "the key waits, nothing else");
    go.send(()).expect("it waits");
    assert_eq!(partner.message(2).header("Req-Id"), Some("second"));
    node.settled(ENDED);
}

#[test]
fn requests_on_connections_of_the_old_process_are_taken_on_by_the_new() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let (mut half, mut idle) = (node.connect(), node.connect());
    let whole = request("unsafe", "half", 7, 50.0, b"body");
    half.get_mut().write_all(&whole[..whole.len() - 1]).expect("sent");
    idle.get_mut().write_all(&request("safe", "first", 7, 50.0, b"")).expect("sent");
    assert_eq!(read(&mut idle).map(|a| a.status()), Some(202));
    let mut old = node.upgrade();
    // The last acceptable byte comes after the change.
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
    // The same reference on both sides is one message.
    assert_eq!(node.hand_in("unsafe", "half", 7, 50.0), 202);
    old.terminate();
    assert_eq!(until("it ends", || old.ended()).code(), Some(0));
    node.settled(ENDED);
    assert_eq!(partner.count(), 3);
}

#[test]
fn endpoints_out_by_hand_stay_out_over_a_change_and_the_old_console_passes_calls_on() {
    let (discovery, a, b) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let known = [entry("a", &a, 7, "in_service"), entry("b", &b, 8, "in_service")];
    let mut node = Node::start(&discovery, &known, with_console());
    assert!(node.staff("cordon a").starts_with("SUCCESS"));
    let old = node.upgrade();
    assert!(said(old.staff("cordon b")), "the owner says so");
    assert!(!said(old.staff("cordon nobody")));
    for dest in [7, 8] {
        assert_eq!(node.hand_in("safe", &format!("to-{dest}"), dest, 50.0), 202);
    }
    assert!(node.staff("uncordon a").starts_with("SUCCESS"));
    assert_eq!(a.message(0).header("Req-Id"), Some("to-7"));
    until("the first one is over", || (node.figure("inflight") == 1).then_some(()));
    assert_eq!(b.count(), 0);
    assert!(said(old.staff("uncordon b")));
    assert_eq!(b.message(0).header("Req-Id"), Some("to-8"));
}

#[test]
fn a_new_process_that_cannot_read_its_configuration_changes_nothing() {
    let (discovery, (partner, go)) = (Discovery::start(), held("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    node.configure(|text| text[..text.len() / 2].to_owned());
    let mut new = node.launch_beside();
    assert_eq!(until("it ends", || new.ended()).code(), Some(1));
    go.send(()).expect("it waits");
    until("it is delivered", || (node.figure("success.unsafe") == 1).then_some(()));
    assert!(node.staff("health").starts_with("SUCCESS"));
}

/// Speaks to the process that owns the folder.
fn stranger(node: &Node) -> UnixStream {
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
fn a_taker_that_dies_before_it_is_the_owner_leaves_all_as_it_was() {
    let (discovery, (partner, go)) = (Discovery::start(), held("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    for _ in 0..3 {
        let mut taker = stranger(&node);
        assert!(matches!(ask(&mut taker, "n0"), Some(Frame::Offer(_))));
    }
    assert_eq!(node.hand_in("safe", "meanwhile", 7, 50.0), 202);
    go.send(()).expect("it waits");
    until("both are delivered", || {
        (node.figure("success.unsafe") + node.figure("success.safe") == 2).then_some(())
    });
    // Strangers get nothing, and keep nobody out.
    assert!(matches!(ask(&mut stranger(&node), "n1"), Some(Frame::No(_))));
    stranger(&node).write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    let _silent = stranger(&node);
    let _old = node.upgrade();
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    node.settled(ENDED);
    assert_eq!(partner.count(), 3);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn an_owner_that_dies_early_is_followed_by_the_process_that_it_replaced() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[], with_console());
    assert_eq!(node.hand_in("safe", "kept", 7, 50.0), 202);
    let old = node.upgrade();
    let mut new = node.replace(old);
    assert_eq!(node.hand_in("unsafe", "also", 7, 50.0), 202);
    new.kill();
    // Under its own number, from the store.
    until("it serves again", || {
        assert!(node.ended().is_none(), "it ended");
        node.staff_now("health").is_some_and(|answer| answer.starts_with("SUCCESS")).then_some(())
    });
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    let mut got: Vec<String> =
        (0..2).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().into()).collect();
    got.sort();
    assert_eq!(got, ["also", "kept"]);
    node.settled(ENDED);
}

#[test]
fn one_change_follows_another() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let first = node.upgrade();
    // The third waits for as long as the first still finishes what it has.
    let mut third = node.launch_beside();
    std::thread::sleep(Duration::from_millis(300));
    assert!(!said(third.staff("health")));
    first.terminate();
    until("the third is ready", || {
        assert!(third.ended().is_none(), "it ended");
        said(third.staff("health")).then_some(())
    });
    let second = node.replace(third);
    second.terminate();
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    partner.message(0);
    // One that is told to end gives nothing away; who asks then follows from the store.
    node.terminate();
    let next = node.launch_beside();
    until("it is ready", || said(next.staff("health")).then_some(()));
    let _old = node.replace(next);
    assert_eq!(node.hand_in("safe", "s", 7, 50.0), 202);
    partner.message(1);
}
