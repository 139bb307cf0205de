//! Normal operation over loopback sockets: clients, endpoints, discovery and notices.

mod common;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::*;

#[test]
fn messages_are_forwarded_unchanged_on_a_reused_connection() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for n in 0..4 {
        assert_eq!(node.hand_in("keyed", &format!("r{n}"), 7, 20.0), 202);
        let call = partner.message(n);
        assert_eq!(call.line, "POST /hook HTTP/1.1");
        assert_eq!(call.header("Req-Id"), Some(format!("r{n}").as_str()));
        assert_eq!(call.header("Idempotency-Key"), Some(format!("key-r{n}").as_str()));
        assert_eq!(call.body, b"\x00body\xff");
        let within: f64 = call.header("Req-Deadline").and_then(|d| d.parse().ok()).expect("a number");
        assert!(within > 0.0 && within <= 20.0);
        // Waits until the answer has been read before the next message.
        node.wait_for(ENDED);
    }
    assert!((0..4).all(|n| partner.message(n).connection == 0), "the connection must be reused");
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn malformed_requests_are_rejected_without_side_effects() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    let good = String::from_utf8_lossy(&request("keyed", "r", 7, 2.0, b"x")).into_owned();
    let status = |text: &str| node.ask(text).map_or(0, |a| a.status());
    assert_eq!(status("nonsense\r\n\r\n"), 400);
    assert_eq!(status("\x16\x03\x01\r\n\r\n"), 400);
    assert_eq!(status(&good.replace("Req-Id: r\r\n", "")), 400);
    assert_eq!(status(&good.replace("Req-Id: r", "Req-Id: \u{e9}")), 400);
    assert_eq!(status(&good.replace("Req-Deadline: 2", "Req-Deadline: soon")), 400);
    assert_eq!(status(&good.replace("Req-Deadline: 2", "Req-Deadline: NaN")), 400);
    assert_eq!(status(&good.replace("Req-Deadline: 2", "Req-Deadline: -1")), 400);
    assert_eq!(status(&good.replace("dest=7", "dest=-7")), 400);
    assert_eq!(status(&good.replace("X-Addressing: dest=7\r\n", "")), 400);
    assert_eq!(status(&good.replace("Idempotency-Key: key-r\r\n", "")), 400);
    assert_eq!(status(&good.replace("Content-Length: 1", "Content-Length: x")), 400);
    assert_eq!(status(&good.replace("/keyed", "/unheard-of")), 404);
    assert_eq!(status(&good.replace("dest=7", "dest=12345")), 404);
    for field in ["Req-Id: r", "Req-Deadline: 2", "X-Addressing: dest=7", "Idempotency-Key: key-r"] {
        // A second header with another value.
        let other = format!("{}8", &field[..field.len() - 1]);
        assert_eq!(status(&good.replace(field, &format!("{field}\r\n{other}"))), 400, "twice: {field}");
    }
    assert_eq!(status(&good.replace("POST", "PUT")), 405);
    assert_eq!(status("POST /healthz HTTP/1.1\r\nHost: x\r\n\r\n"), 405);
    let long = node.ask(request("keyed", "long", 7, 2.0, &vec![7; 64 * 1024 + 1]));
    assert_eq!(long.map(|a| a.status()), Some(413));
    let longest = node.ask(request("keyed", "longest", 7, 20.0, &vec![7; 64 * 1024]));
    assert_eq!(longest.map(|a| a.status()), Some(202));
    assert_eq!(partner.message(0).header("Req-Id"), Some("longest"));
    assert_eq!(partner.message(0).body.len(), 64 * 1024);
    assert_eq!(partner.count(), 1);
}

#[test]
fn unsafe_message_fails_if_its_attempt_may_have_been_executed() {
    type Answer = (&'static str, fn() -> Reply);
    let answers: [Answer; 4] = [
        ("garbage", || Reply::Raw(b"what?\r\n\r\n")),
        ("cut", || Reply::Raw(b"")),
        ("error", || answer("500 Oops")),
        ("odd", || answer("302 Elsewhere")),
    ];
    for (name, reply) in answers {
        let discovery = Discovery::start();
        let partner = Server::start(move |_, _| reply());
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
        assert_eq!(node.hand_in("unsafe", name, 7, 20.0), 202);
        assert_eq!(discovery.notice(name)["result"], "dead", "{name}");
        assert_eq!(partner.count(), 1, "{name}");
    }
}

#[test]
fn unsafe_message_is_retried_if_it_was_not_executed() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| {
        answer(
            ["503 Full", "503 Full\r\nX-Over-Slots: 1", "429 Wait\r\nRetry-After: 0.01", "200 OK"]
                [number.min(3)],
        )
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    assert_eq!(node.hand_in("unsafe", "r", 7, 50.0), 202);
    partner.message(1);
    // Retries are limited, so the message may be given up by now, but only as refused.
    until("the message ends", || {
        let notices = discovery.notices.lock().expect("lock");
        assert!(notices.iter().all(|n| n["result"] == "bounced"));
        (partner.count() > 3 || !notices.is_empty()).then_some(())
    });
}

#[test]
fn finished_or_exhausted_message_is_not_sent_again() {
    let discovery = Discovery::start();
    let (gone, spent) = (endpoint("410 Gone"), endpoint("504 Spent"));
    let list = [entry("a", &gone, 7, "in_service"), entry("b", &spent, 8, "in_service")];
    let node = Node::start(&discovery, &list, Options::default());
    assert_eq!(node.hand_in("safe", "over", 7, 20.0), 202);
    gone.message(0);
    assert_eq!(node.hand_in("safe", "spent", 8, 20.0), 202);
    assert_eq!(discovery.notice("spent")["result"], "bounced");
    assert_eq!((gone.count(), spent.count()), (1, 1));
    assert_eq!(discovery.notices.lock().expect("lock").len(), 1);
}

#[test]
fn timeout_closes_the_connection_before_the_next_attempt() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| if number == 0 { Reply::Silent } else { answer("200 OK") });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    let second = partner.message(1);
    assert_ne!(second.connection, 0);
    until("the first connection is closed", || {
        partner.closed.lock().expect("lock").contains(&0).then_some(())
    });
    assert_eq!(partner.count(), 2);
}

#[test]
fn every_message_ends_despite_a_silent_endpoint() {
    let discovery = Discovery::start();
    let partner = Server::start(|_, _| Reply::Silent);
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    // More messages than slots, some for a destination without an endpoint.
    for n in 0..40 {
        assert_eq!(node.hand_in(["safe", "unsafe"][n % 2], &format!("r{n}"), 7 + n as u64 / 30, 0.5), 202);
    }
    for n in 0..40 {
        discovery.notice(&format!("r{n}"));
    }
}

#[test]
fn requested_wait_applies_to_every_message() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| {
        answer(if number == 0 { "429 Wait\r\nRetry-After: 1.5" } else { "200 OK" })
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    assert_eq!(node.hand_in("safe", "first", 7, 50.0), 202);
    let told = partner.message(0).at.expect("a time");
    node.wait_for(NEVER_RAN);
    for n in 0..5 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    let next = partner.message(1).at.expect("a time");
    assert!(next - told >= Duration::from_millis(1_500), "{:?}", next - told);
}

#[test]
fn draining_endpoint_gets_no_new_calls() {
    let (discovery, old, new) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &old, 7, "in_service")], Options::default());
    assert_eq!(node.hand_in("safe", "before", 7, 50.0), 202);
    old.message(0);
    discovery.tell(&[entry("a", &old, 7, "terminating"), entry("b", &new, 7, "in_service")]);
    for n in 0..5 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
        new.message(n);
    }
    assert_eq!(old.count(), 1);
}

#[test]
fn idle_connections_to_a_draining_endpoint_are_closed() {
    let (discovery, old) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &old, 7, "in_service")], Options::default());
    assert_eq!(node.hand_in("safe", "before", 7, 50.0), 202);
    node.wait_for(ENDED);
    discovery.tell(&[entry("a", &old, 7, "terminating")]);
    until("the connection is closed", || old.closed.lock().expect("lock").contains(&0).then_some(()));
}

#[test]
fn unreadable_list_entry_gets_no_new_calls_and_does_not_affect_others() {
    let (discovery, old, new) = (Discovery::start(), endpoint("200 OK"), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &old, 7, "in_service")], Options::default());
    let bad = r#"{"name":"a","address":"nowhere","group":7,"status":"terminating"}"#;
    discovery.tell(&[bad.to_owned(), "[]".to_owned(), entry("b", &new, 7, "in_service")]);
    for n in 0..5 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
        new.message(n);
    }
    assert_eq!(old.count(), 0);
}

#[test]
fn delivers_despite_a_malformed_or_silent_discovery() {
    for reply in [|| Reply::Raw(b"what?\r\n\r\n"), || answer("200 OK"), || Reply::Silent] {
        let mut discovery = Discovery::start();
        discovery.server = Server::start(move |_, _| reply());
        let partner = endpoint("200 OK");
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
        discovery.server.message(0);
        assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
        partner.message(0);
        discovery.server.message(1);
    }
}

#[test]
fn notices_are_repeated_until_accepted() {
    let discovery = Discovery::start();
    *discovery.deaf.lock().expect("lock") = 3;
    let node = Node::start(&discovery, &[], Options::default());
    assert_eq!(node.hand_in("safe", "r", 7, 0.1), 202);
    assert_eq!(discovery.notice("r")["result"], "bounced");
}

#[test]
fn messages_beyond_the_limits_are_refused() {
    let discovery = Discovery::start();
    // The message limit: the first messages wait for an endpoint that does not exist. The module frees space
    // in time, so that each message turned away, new or older, is answered or gets a notice.
    let options = Options { hold: 4, ..Options::default() };
    let node = Node::start(&discovery, &[], options);
    let taken = (0..10).map(|n| node.hand_in("safe", &format!("h{n}"), 7, 50.0));
    let taken: Vec<u16> = taken.collect();
    assert!(taken.iter().all(|s| [202, 503].contains(s)) && taken[0] == 202, "{taken:?}");
    let refused = taken.iter().filter(|s| **s == 503).count();
    until("the excess messages are refused or given up", || {
        (refused + discovery.notices.lock().expect("lock").len() >= 6).then_some(())
    });
    // The disk limit.
    let options = Options { disk_mb: 0.2, ..Options::default() };
    let node = Node::start(&discovery, &[], options);
    let mut statuses = Vec::new();
    for n in 0..20 {
        let answer = node.ask(request("safe", &format!("d{n}"), 7, 50.0, &[7; 20_000]));
        statuses.push(answer.map_or(0, |a| a.status()));
        assert!(node.disk() <= 200_000);
    }
    assert_eq!((statuses[0], statuses[19]), (202, 503), "{statuses:?}");
}

#[test]
fn duplicate_submission_is_accepted_once() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[], Options::default());
    assert_eq!(node.hand_in("unsafe", "r", 7, 50.0), 202);
    assert_eq!(node.hand_in("unsafe", "r", 7, 50.0), 202);
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    partner.message(0);
    assert_eq!(node.hand_in("safe", "after", 7, 50.0), 202);
    let count = |reference: &str| {
        let heard = partner.heard.lock().expect("lock");
        heard.iter().filter(|m| m.header("Req-Id") == Some(reference)).count()
    };
    until("the later message arrives", || (count("after") == 1).then_some(()));
    assert_eq!(count("r"), 1);
}

#[test]
fn idle_connection_closed_by_the_endpoint_is_not_reused() {
    let discovery = Discovery::start();
    let partner = Server::start(|number, _| match number {
        0 => Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        _ => answer("200 OK"),
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    assert_eq!(node.hand_in("unsafe", "first", 7, 50.0), 202);
    until("the connection is closed", || partner.closed.lock().expect("lock").contains(&0).then_some(()));
    assert_eq!(node.hand_in("unsafe", "second", 7, 50.0), 202);
    assert_eq!(partner.message(1).connection, 1);
    node.wait_for(ENDED);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn reset_of_a_reused_connection_loses_no_message() {
    reset_reused_connections(Duration::ZERO);
}

#[test]
fn late_reset_of_a_reused_connection_is_told_apart() {
    reset_reused_connections(Duration::from_millis(40));
}

/// A request whose connection is reset before its last byte was written has not run, and is sent again. Once the last
/// byte has arrived, it may have run, and an unsafe message gets a notice. On a busy machine the endpoint may be late, so it
/// tells which of both it was. An endpoint that is always late shows that the second case is told apart.
fn reset_reused_connections(delay: Duration) {
    const BODY_BYTES: usize = 20_000;
    let arrived_whole = Arc::new(AtomicUsize::new(0));
    let counter = arrived_whole.clone();
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = counter.clone();
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream);
                read(&mut reader).expect("a request");
                let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                // Closes the connection after the first byte of the next request; the unread rest causes a
                // reset.
                let mut rest = vec![0; 2 * BODY_BYTES];
                let came = std::io::Read::read(reader.get_mut(), &mut [0]).is_ok_and(|n| n > 0);
                std::thread::sleep(delay);
                let unread = reader.get_mut().peek(&mut rest).unwrap_or(0);
                drop(reader);
                if came && ends_with_body(&rest[..unread], BODY_BYTES) {
                    counter.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    let line =
        entry("a", &partner, 7, "in_service").replace(&partner.address.to_string(), &address.to_string());
    let node = Node::start(&discovery, &[line], Options::default());
    for n in 0..5 {
        let answer = node.ask(request("unsafe", &format!("r{n}"), 7, 50.0, &[7; BODY_BYTES]));
        assert_eq!(answer.map(|a| a.status()), Some(202));
        node.wait_for(ENDED);
    }
    let (notices, whole) =
        (discovery.notices.lock().expect("lock").len(), arrived_whole.load(Ordering::SeqCst));
    assert_eq!(notices, whole, "all messages but those that arrived whole must be retried");
    assert!(delay.is_zero() || whole > 0, "a late endpoint gets whole requests");
}

/// Whether these bytes end with a head and a whole body of sevens.
fn ends_with_body(bytes: &[u8], length: usize) -> bool {
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    head.is_some_and(|at| bytes.len() == at + 4 + length)
}

#[test]
fn stalled_client_does_not_delay_others() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    let whole = request("safe", "slow", 7, 50.0, b"body");
    let mut slow = node.connect();
    slow.get_mut().write_all(&whole[..whole.len() - 2]).expect("sent");
    assert_eq!(node.hand_in("safe", "quick", 7, 50.0), 202);
    slow.get_mut().write_all(&whole[whole.len() - 2..]).expect("sent");
    assert_eq!(read(&mut slow).map(|a| a.status()), Some(202));
}

#[test]
fn no_idle_connection_to_an_endpoint_is_reused_after_a_timeout() {
    let discovery = Discovery::start();
    let came = std::sync::Arc::new(std::sync::Barrier::new(2));
    let partner = Server::start(move |number, _| match number {
        // Both calls are answered together, so that there are two connections.
        0 | 1 => {
            came.wait();
            answer("200 OK")
        }
        2 => Reply::Silent,
        _ => answer("200 OK"),
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for n in 0..2 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    partner.message(1);
    node.wait_for(ENDED);
    assert_eq!(node.hand_in("safe", "silent", 7, 50.0), 202);
    assert!(
        partner.message(3).connection > 1,
        "connections to an unreachable machine stay open and must not be reused"
    );
}

#[test]
fn deadline_counts_while_the_body_is_received() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    let whole = request("safe", "slow", 7, 0.2, b"body");
    let mut slow = node.connect();
    slow.get_mut().write_all(&whole[..whole.len() - 2]).expect("sent");
    std::thread::sleep(Duration::from_millis(300));
    slow.get_mut().write_all(&whole[whole.len() - 2..]).expect("sent");
    assert_eq!(read(&mut slow).map(|a| a.status()), Some(202));
    discovery.notice("slow");
    assert_eq!(partner.count(), 0, "its deadline had passed");
}
