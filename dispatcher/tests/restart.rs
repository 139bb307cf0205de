//! Restarts of the dispatcher: SIGKILL, SIGTERM, and recovery from the store.

mod common;

use std::io::Write;

use common::*;

#[test]
fn accepted_messages_survive_a_kill() {
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
fn attempts_in_flight_at_a_kill_count_as_possibly_executed() {
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
    // The unsafe message fails and is not sent again; the others are retried.
    assert_eq!(discovery.notice("unsafe")["result"], "dead");
    let mut again: Vec<String> =
        (3..5).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().to_owned()).collect();
    again.sort();
    assert_eq!(again, ["keyed", "safe"]);
    assert_eq!(partner.count(), 5);
}

#[test]
fn finished_messages_are_not_sent_again_after_a_kill() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    assert_eq!(node.hand_in("safe", "delivered", 7, 50.0), 202);
    node.wait_for(ENDED);
    assert_eq!(node.hand_in("safe", "given-up", 99, 0.1), 202);
    discovery.notice("given-up");
    node.wait_for(ENDED);
    node.kill();
    node.start_again();
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    assert_eq!(partner.message(1).header("Req-Id"), Some("later"));
    assert_eq!(discovery.notices.lock().expect("lock").len(), 1);
}

#[test]
fn pending_notice_survives_a_kill() {
    let discovery = Discovery::start();
    *discovery.deaf.lock().expect("lock") = usize::MAX;
    let partner = endpoint("500 Oops");
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    assert_eq!(node.hand_in("unsafe", "r", 7, 50.0), 202);
    until("a notice is attempted", || {
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
fn starts_with_a_damaged_store() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &[], Options::default());
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    node.kill();
    let file = node.state.path().join("000000000001.seg");
    let mut bytes = std::fs::read(&file).expect("a segment");
    bytes.extend_from_slice(&[0xff; 700]);
    std::fs::write(&file, &bytes).expect("a segment");
    std::fs::write(node.state.path().join("000000000002.seg"), b"MILL").expect("a leftover");
    node.start_again();
    discovery.tell(&known);
    assert_eq!(partner.message(0).header("Req-Id"), Some("r"));
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    assert_eq!(partner.message(1).header("Req-Id"), Some("later"));
}

#[test]
fn rejects_a_store_of_a_newer_format_without_changing_it() {
    let discovery = Discovery::start();
    let mut node = Node::start(&discovery, &[], Options::default());
    node.kill();
    let file = node.state.path().join("000000000001.seg");
    std::fs::write(&file, [7; 300]).expect("a segment");
    let (status, said) = node.start_and_fail();
    assert!(!status.success() && said.contains("000000000001.seg") && said.contains("no segment"), "{said}");
    assert_eq!(std::fs::read(&file).expect("a segment"), [7; 300]);
}

#[test]
fn second_dispatcher_on_the_same_folder_fails_to_start() {
    let discovery = Discovery::start();
    let mut node = Node::start(&discovery, &[], Options::default());
    let (status, said) = node.start_and_fail();
    assert!(!status.success() && said.contains("in use by another process"), "{said}");
    assert!(node.ended().is_none(), "the first one must keep running");
}

#[test]
fn migrates_an_old_journal_at_the_first_start() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[], Options::default());
    node.kill();
    for file in std::fs::read_dir(node.state.path()).expect("the folder").flatten() {
        std::fs::remove_file(file.path()).expect("removed");
    }
    let old = concat!(env!("CARGO_MANIFEST_DIR"), "/../store/tests/fixtures/journal-appended");
    std::fs::copy(old, node.state.path().join("journal")).expect("copied");
    std::fs::write(node.state.path().join("journal.new"), b"half").expect("a leftover");
    node.start_again();
    // One message was refused and one had failed before; their notices are still pending.
    assert_eq!(discovery.notice("ref-3")["result"], "bounced");
    assert_eq!(discovery.notice("ref-4")["result"], "dead");
    assert!(!node.state.path().join("journal").exists() && !node.state.path().join("journal.new").exists());
    let known: Vec<String> = (7..15).map(|n| entry(&format!("e{n}"), &partner, n, "in_service")).collect();
    discovery.tell(&known);
    // The clock continues from the time of the fixture, so the key of `ref-1` is still valid.
    let mut got: Vec<String> =
        (0..5).map(|n| partner.message(n).header("Req-Id").unwrap_or_default().to_owned()).collect();
    got.sort();
    assert_eq!(got, ["ref-0", "ref-1", "ref-5", "ref-6", "ref-7"]);
    node.wait_for(ENDED);
}

#[test]
fn resubmission_after_the_end_and_a_restart_gets_the_same_answer() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| answer(if number == 0 { "200 OK" } else { "500 Oops" }));
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    assert_eq!(node.hand_in("unsafe", "done", 7, 50.0), 202);
    node.wait_for(ENDED);
    assert_eq!(node.hand_in("unsafe", "dead", 7, 50.0), 202);
    assert_eq!(discovery.notice("dead")["result"], "dead");
    assert_eq!(node.hand_in("safe", "bounced", 99, 0.1), 202);
    assert_eq!(discovery.notice("bounced")["result"], "bounced");
    node.wait_for(ENDED);
    for _ in 0..2 {
        assert_eq!(node.hand_in("unsafe", "done", 7, 50.0), 202);
        assert_eq!(node.hand_in("unsafe", "dead", 7, 50.0), 410);
        assert_eq!(node.hand_in("safe", "bounced", 99, 50.0), 503);
        node.kill();
        node.start_again();
    }
    assert_eq!(node.hand_in("unsafe", "after", 7, 50.0), 202);
    assert_eq!(partner.message(2).header("Req-Id"), Some("after"));
    assert_eq!(partner.count(), 3);
}

#[test]
fn requested_wait_is_observed_across_a_restart() {
    let discovery = Discovery::start();
    let partner =
        Server::start(|number, _| answer(if number == 0 { "429 Wait\r\nRetry-After: 4" } else { "200 OK" }));
    let known = [entry("a", &partner, 7, "in_service")];
    let mut node = Node::start(&discovery, &known, Options::default());
    assert_eq!(node.hand_in("safe", "first", 7, 50.0), 202);
    let told = partner.message(0).at.expect("a time");
    node.wait_for(NEVER_RAN);
    until("the learned state is stored", || (node.learned() > 0).then_some(()));
    node.kill();
    node.start_again();
    assert_eq!(node.hand_in("safe", "second", 7, 50.0), 202);
    let next = partner.message(1).at.expect("a time");
    assert!(next - told >= std::time::Duration::from_secs(4), "{:?}", next - told);
}

#[test]
fn list_newer_than_the_configuration_survives_a_restart() {
    let (discovery, old, new) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let mut node = Node::start(&discovery, &[entry("a", &old, 7, "in_service")], Options::default());
    discovery.tell(&[entry("a", &old, 7, "terminating"), entry("b", &new, 7, "in_service")]);
    until("the list is stored", || (node.listed() == ["a", "b"]).then_some(()));
    node.kill();
    // Discovery is silent from now on, and the configuration still lists the old endpoint as in service.
    discovery.silence();
    node.start_again();
    for n in 0..3 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
        new.message(n);
    }
    assert_eq!(old.count(), 0);
}

#[test]
fn accepted_messages_survive_with_machine_durability() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let known = [entry("a", &partner, 7, "in_service")];
    let options = Options { store: Some("durability = \"machine\""), ..Options::default() };
    let mut node = Node::start(&discovery, &known, options);
    for n in 0..20 {
        assert_eq!(node.hand_in("unsafe", &format!("r{n}"), 7, 50.0), 202);
        partner.message(n);
    }
    node.wait_for(ENDED);
    assert_eq!(node.hand_in("unsafe", "kept", 99, 50.0), 202);
    node.kill();
    node.start_again();
    let other = endpoint("200 OK");
    discovery.tell(&[known[0].clone(), entry("z", &other, 99, "in_service")]);
    assert_eq!(other.message(0).header("Req-Id"), Some("kept"));
    assert_eq!(partner.count(), 20);
}

#[test]
fn sigterm_answers_open_requests_and_loses_nothing() {
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
    // An open connection with a partly sent request.
    let whole = request("safe", "kept", 99, 50.0, b"body");
    kept.get_mut().write_all(&whole[..20]).expect("sent");
    until("responses close their connections", || {
        let Ok(mut stream) = std::net::TcpStream::connect(node.address) else { return Some(()) };
        stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
        let health = read(&mut std::io::BufReader::new(stream))?;
        (health.header("connection") == Some("close")).then_some(())
    });
    let _ = kept.get_mut().write_all(&whole[20..]);
    let last = read(&mut kept);
    if let Some(last) = &last {
        assert_eq!((last.status(), last.header("connection")), (202, Some("close")));
    }
    let status = until("the process ends", || node.ended());
    assert_eq!(status.code(), Some(0));
    assert!(read(&mut kept).is_none(), "the connection must be closed after the answer");
    // Exactly the unfinished messages are resumed.
    let other = endpoint("200 OK");
    node.start_again();
    if last.is_none() {
        // On a slow machine the connection may close before the rest arrives; the client then submits again.
        assert_eq!(node.hand_in("safe", "kept", 99, 50.0), 202);
    }
    discovery.tell(&[known[0].clone(), entry("z", &other, 99, "in_service")]);
    assert_eq!(other.message(0).header("Req-Id"), Some("kept"));
    assert_eq!(partner.count(), 1);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

/// A client whose connection is accepted and then closed unread does not know whether its message was
/// accepted; a refused connection leaves no doubt.
#[test]
fn refuses_connections_while_stopping() {
    let discovery = Discovery::start();
    let mut node = Node::start(&discovery, &[], Options::default());
    // An open message without an endpoint keeps the process running as long as possible.
    assert_eq!(node.hand_in("safe", "held", 7, 50.0), 202);
    node.terminate();
    until("connections are refused", || std::net::TcpStream::connect(node.address).is_err().then_some(()));
    assert!(node.ended().is_none(), "the process must still be running");
    assert_eq!(until("the process ends", || node.ended()).code(), Some(0));
}
