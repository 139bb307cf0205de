//! Clients that send nothing, incomplete, oversized or malformed requests.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use common::*;

/// Reads until the connection ends, and returns the first line received, or an empty string.
fn read_to_end(stream: &mut impl Read) -> String {
    let mut all = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => all.extend_from_slice(&buffer[..n]),
            Err(e) if [ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()) => {
                panic!("neither answered nor closed")
            }
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&all).lines().next().unwrap_or_default().to_owned()
}

#[test]
fn silent_and_incomplete_requests_time_out() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], Options::default());
    let whole = request("safe", "half", 7, 50.0, b"body");
    let mut open: Vec<_> = [0, 20, whole.len() - 2].map(|sent| (sent, node.connect())).into();
    for (sent, stream) in &mut open {
        stream.get_mut().write_all(&whole[..*sent]).expect("sent");
    }
    // A connection that is idle after an answer.
    let mut kept = node.connect();
    kept.get_mut().write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    assert_eq!(read(&mut kept).map(|a| a.status()), Some(200));
    assert_eq!(read_to_end(&mut kept), "");
    let told: Vec<String> = open.iter_mut().map(|(_, stream)| read_to_end(stream)).collect();
    assert_eq!(told, ["", "", "HTTP/1.1 408 Request Timeout"]);
    assert_eq!(
        node.hand_in("safe", "half", 7, 50.0),
        202,
        "the incomplete request must not have been accepted"
    );
}

#[test]
fn silent_connections_do_not_block_others() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], Options::default());
    // Opens far more connections than there are descriptors, repeatedly.
    let mut silent = Vec::new();
    for round in 0..4 {
        for _ in 0..150 {
            silent.push(node.connect());
        }
        assert_eq!(node.hand_in("safe", &format!("r{round}"), 7, 50.0), 202);
    }
}

#[test]
fn oversized_body_is_rejected_before_it_is_received() {
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[], Options::default());
    let head = "POST /safe HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Deadline: 9\r\nX-Addressing: dest=7\r\n";
    for length in ["62914560", "3000000000", "18446744073709551614"] {
        let stream = node.connect();
        let mut writer = stream.get_ref().try_clone().expect("a handle");
        writer.set_write_timeout(Some(Duration::from_secs(60))).expect("a limit");
        let sender = std::thread::spawn({
            let head = format!("{head}Content-Length: {length}\r\n\r\n");
            move || {
                let _ = writer.write_all(head.as_bytes());
                let part = vec![7; 1 << 20];
                // Sends as fast as the data is read, until the connection is closed.
                (0..60).all(|_| writer.write_all(&part).is_ok())
            }
        });
        let mut stream = stream;
        assert!(read_to_end(&mut stream).starts_with("HTTP/1.1 4"), "{length}");
        drop(stream);
        sender.join().expect("the sender ends");
    }
    let endless = format!("{head}X-Long: {}", "x".repeat(4 << 20));
    assert!(node.ask(endless).is_some_and(|a| a.status() == 431));
}

#[test]
fn rejects_request_smuggling() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], Options::default());
    let hidden = String::from_utf8_lossy(&request("safe", "hidden", 7, 50.0, b"")).into_owned();
    let head = "POST /safe HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Deadline: 9\r\nX-Addressing: dest=7\r\n";
    let long = hidden.len() + 5;
    for lengths in [
        format!("Content-Length: {long}\r\nTransfer-Encoding: chunked"),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {long}"),
        format!("Content-Length: {long}\r\nTransfer-Encoding: identity"),
        format!("Content-Length: {long}\r\nTransfer-Encoding: x\r\nTransfer-Encoding: chunked"),
        "Transfer-Encoding: chunked".to_owned(),
        "Content-Length: 0\r\nContent-Length: 5".to_owned(),
        "Content-Length: -1".to_owned(),
    ] {
        let mut stream = node.connect();
        let whole = format!("{head}{lengths}\r\n\r\n0\r\n\r\n{hidden}");
        stream.get_mut().write_all(whole.as_bytes()).expect("sent");
        assert!(read(&mut stream).is_some_and(|a| a.status() == 400), "{lengths}");
        assert_eq!(read_to_end(&mut stream), "", "{lengths}: a hidden request was answered");
    }
    assert_eq!(node.hand_in("safe", "after", 7, 50.0), 202);
    assert_eq!(partner.message(0).header("Req-Id"), Some("after"));
}
