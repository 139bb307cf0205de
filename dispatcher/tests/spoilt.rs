//! Malformed answers, and answers followed by extra data.

mod common;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::*;

#[test]
fn status_line_of_200_is_conclusive_whatever_follows() {
    let endless =
        [b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n".as_slice(), &[7; 300_000]].concat();
    let heads: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\nbad \x00 head\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Without: an end",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        &endless,
    ];
    for head in heads {
        let (discovery, head) = (Discovery::start(), head.to_vec());
        let (text, told) = (String::from_utf8_lossy(&head[..head.len().min(70)]).into_owned(), head.clone());
        let partner = Server::start(
            move |number, _| if number == 0 { Reply::Open(told.clone()) } else { answer("200 OK") },
        );
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
        assert_eq!(node.hand_in("unsafe", "first", 7, 20.0), 202);
        node.wait_for(ENDED);
        // After a malformed answer the connection must not be reused.
        assert_eq!(node.hand_in("unsafe", "second", 7, 20.0), 202);
        assert_eq!(partner.message(1).connection, 1, "{text}");
        node.wait_for(ENDED);
        assert!(discovery.notices.lock().expect("lock").is_empty(), "{text}");
    }
}

#[test]
fn other_malformed_answers_count_as_possibly_executed() {
    let heads: [&[u8]; 8] = [
        b"\x00\x01noise\xff\r\n\r\n",
        b"noise without an end",
        b"HTTP/1.1 503 Full\r\nContent-Length: 50\r\n\r\nshort",
        b"HTTP/1.1 429 Wait\r\nRetry-After: 0.1\r\nContent-Length: 99999999\r\n\r\nshort",
        b"HTTP/1.1 504 Spent\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 503 Full\r\nX-Without: an end",
    ];
    for head in heads {
        let discovery = Discovery::start();
        let partner = Server::start(move |_, _| Reply::Open(head.to_vec()));
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
        assert_eq!(node.hand_in("unsafe", "r", 7, 2.0), 202);
        let text = String::from_utf8_lossy(head);
        assert_eq!(discovery.notice("r")["result"], "dead", "{text}");
        assert_eq!(partner.count(), 1, "{text}");
    }
}

#[test]
fn data_after_an_answer_is_not_taken_as_another_answer() {
    let refused = "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno";
    for behind in ["HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "noise"] {
        let discovery = Discovery::start();
        let partner = Server::start(move |number, _| match number {
            0 => Reply::Open(format!("{refused}{behind}").into_bytes()),
            _ => answer("200 OK"),
        });
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
        assert_eq!(node.hand_in("unsafe", "first", 7, 20.0), 202);
        // The answer itself is valid: the message was not executed, and is retried on another connection.
        let second = partner.message(1);
        assert_eq!((second.header("Req-Id"), second.connection), (Some("first"), 1), "{behind}");
        node.wait_for(ENDED);
        assert!(discovery.notices.lock().expect("lock").is_empty(), "{behind}");
    }
}

#[test]
fn informational_responses_are_skipped_and_the_connection_is_kept() {
    let ahead = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
    let discovery = Discovery::start();
    let partner = Server::start(move |_, _| {
        let good = "HTTP/1.1 200 OK\r\nSrv-Load: TEXT x0=nonsense\r\nContent-Length: 0\r\n\r\n";
        Reply::Open(format!("{ahead}{good}").into_bytes())
    });
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    for n in 0..3 {
        assert_eq!(node.hand_in("unsafe", &format!("r{n}"), 7, 20.0), 202);
        assert_eq!(partner.message(n).connection, 0);
        node.wait_for(ENDED);
    }
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn endpoint_that_closes_every_connection_gets_a_bounded_number_of_attempts() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (closing, came) = (listener.local_addr().expect("an address"), Arc::new(AtomicUsize::new(0)));
    let counted = came.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            counted.fetch_add(1, Ordering::SeqCst);
            drop(stream);
        }
    });
    let line =
        entry("a", &partner, 7, "in_service").replace(&partner.address.to_string(), &closing.to_string());
    let node = Node::start(&discovery, &[line], Options::default());
    assert_eq!(node.hand_in("unsafe", "r", 7, 2.0), 202);
    discovery.notice("r");
    // At most one connection per attempt.
    assert!((1..=6).contains(&came.load(Ordering::SeqCst)), "{came:?}");
}
