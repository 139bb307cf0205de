//! The dispatcher over its end and its next start: SIGKILL, SIGTERM, and what the journal keeps.

mod common;

use std::io::Write;

use common::*;

#[test]
fn what_was_taken_on_outlives_a_kill() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[], Options::default());
    for class in ["safe", "keyed", "unsafe"] {
        assert_eq!(node.hand_in(class, class, 7, 50.0), 202);
    }
    node.kill();
    discovery.tell_later(&[entry("a", &partner, 7, "in_service")]);
    node.start_again();
    let mut got: Vec<String> =
        (0..3).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().to_owned()).collect();
    got.sort();
    assert_eq!(got, ["keyed", "safe", "unsafe"]);
    assert_eq!(partner.message(0).body, b"\x00body\xff");
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn an_attempt_out_at_a_kill_may_have_run() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| if number < 3 { Reply::Silent } else { answer("200 OK") });
    let known = [
        entry("a", &partner, 7, "in_service"),
        entry("b", &partner, 8, "in_service"),
        entry("c", &partner, 9, "in_service"),
    ];
    let mut node = Node::start(&discovery, &known, Options::default());
    for (class, dest) in [("safe", 7), ("keyed", 8), ("unsafe", 9)] {
        assert_eq!(node.hand_in(class, class, dest, 50.0), 202);
    }
    partner.message(2);
    node.kill();
    node.start_again();
    // The unsafe one is failed and not sent; the others go again.
    assert_eq!(discovery.notice("unsafe")["result"], "dead");
    let mut again: Vec<String> =
        (3..5).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().to_owned()).collect();
    again.sort();
    assert_eq!(again, ["keyed", "safe"]);
    assert_eq!(partner.count(), 5);
}

#[test]
fn what_is_over_stays_over() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    assert_eq!(node.hand_in("safe", "delivered", 7, 50.0), 202);
    node.settled(ENDED);
    assert_eq!(node.hand_in("safe", "given-up", 99, 0.1), 202);
    discovery.notice("given-up");
    node.settled(ENDED);
    node.kill();
    node.start_again();
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    assert_eq!(partner.message(1).header("Req-Id"), Some("later"));
    assert_eq!(discovery.notices.lock().expect("lock").len(), 1);
}

#[test]
fn a_notice_that_is_owed_outlives_a_kill() {
    let discovery = Discovery::start();
    *discovery.deaf.lock().expect("lock") = usize::MAX;
    let partner = endpoint("500 Oops");
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    assert_eq!(node.hand_in("unsafe", "r", 7, 50.0), 202);
    until("a notice is tried", || {
        let heard = discovery.server.heard.lock().expect("lock");
        heard.iter().any(|m| m.line.starts_with("POST")).then_some(())
    });
    node.kill();
    *discovery.deaf.lock().expect("lock") = 0;
    node.start_again();
    assert_eq!(discovery.notice("r")["result"], "dead");
    assert_eq!(partner.count(), 1);
}

#[test]
fn a_damaged_journal_stops_no_start() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &[], Options::default());
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    node.kill();
    let file = node.state.path().join("journal");
    let mut bytes = std::fs::read(&file).expect("the journal");
    bytes.extend_from_slice(&[0xff; 700]);
    std::fs::write(&file, &bytes).expect("the journal");
    std::fs::write(node.state.path().join("journal.new"), b"half").expect("a leftover");
    node.start_again();
    discovery.tell(&known);
    assert_eq!(partner.message(0).header("Req-Id"), Some("r"));
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    assert_eq!(partner.message(1).header("Req-Id"), Some("later"));
}

#[test]
fn an_end_by_sigterm_answers_what_comes_and_loses_nothing() {
    let discovery = Discovery::start();
    let partner = Server::start(|_, _| {
        // Long enough that the call is out when the signal comes.
        std::thread::sleep(std::time::Duration::from_millis(300));
        answer("200 OK")
    });
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    let mut kept = node.connect();
    assert_eq!(node.hand_in("unsafe", "out", 7, 50.0), 202);
    partner.message(0);
    node.terminate();
    // A connection that is open already, with a request half sent.
    let whole = request("safe", "kept", 99, 50.0, b"body");
    kept.get_mut().write_all(&whole[..20]).expect("sent");
    until("it is about to end", || {
        let health = node.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")?;
        (health.header("connection") == Some("close")).then_some(())
    });
    let _ = kept.get_mut().write_all(&whole[20..]);
    match read(&mut kept) {
        Some(last) => assert_eq!((last.status(), last.header("connection")), (202, Some("close"))),
        // Closed before the rest had come, on a slow machine: the client sends it once more.
        None => assert_eq!(node.hand_in("safe", "kept", 99, 50.0), 202),
    }
    let status = until("it ends", || node.ended());
    assert_eq!(status.code(), Some(0));
    assert!(read(&mut kept).is_none(), "closed after the answer");
    // What was not finished is taken up again, and nothing else.
    let other = endpoint("200 OK");
    node.start_again();
    discovery.tell(&[known[0].clone(), entry("z", &other, 99, "in_service")]);
    assert_eq!(other.message(0).header("Req-Id"), Some("kept"));
    assert_eq!(partner.count(), 1);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}
