//! Calls with several messages, for endpoint kinds that support them: every possible result of a message, and
//! every way in which an answer can be missing or broken.

mod common;

use std::time::Duration;

use common::*;
use millpost_standins::wire::Message;
use serde_json::Value;

/// The ids of the messages in a call.
fn ids(call: &Message) -> Vec<String> {
    match call.line.as_str() {
        "POST /hook HTTP/1.1" => vec![call.header("Req-Id").expect("an id").to_owned()],
        "POST /hook/batch HTTP/1.1" => {
            let items: Vec<Value> = serde_json::from_slice(&call.body).expect("a list");
            items.iter().map(|i| i["id"].as_str().expect("an id").to_owned()).collect()
        }
        other => panic!("{other}"),
    }
}

/// An answer that lists a result for each message of a call.
fn ends(head: &'static str, call: &Message, end: impl Fn(&str) -> &'static str) -> Reply {
    let lines: Vec<Value> =
        ids(call).iter().map(|id| serde_json::json!({"id": id, "state": end(id)})).collect();
    Reply::Answer(head, Value::from(lines).to_string())
}

/// Options with one call slot, so that messages submitted during a call are batched in the next one.
fn one_slot(bundle: usize) -> Options {
    Options { slots: 1, bundle, ..Options::default() }
}

/// A partner that answers its first call, of one message, only after a signal on the returned channel;
/// messages submitted meanwhile wait for the slot. The next call is answered by `second`, all others with
/// 200.
fn delayed_partner(
    second: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> (Server, std::sync::mpsc::SyncSender<()>) {
    let (go, told) = std::sync::mpsc::sync_channel::<()>(1);
    let told = std::sync::Mutex::new(told);
    let server = Server::start(move |number, call| match number {
        0 => {
            told.lock().expect("lock").recv().expect("a signal");
            answer("200 OK")
        }
        1 => second(call),
        _ if call.line.contains("batch") => ends("200 OK", call, |_| "delivered"),
        _ => answer("200 OK"),
    });
    (server, go)
}

/// Submits one message that occupies the slot, then `all`, which wait and are sent together.
fn hand_in_together(
    node: &Node,
    partner: &Server,
    go: &std::sync::mpsc::SyncSender<()>,
    all: &[(&str, &str)],
) {
    assert_eq!(node.hand_in("safe", "first", 7, 50.0), 202);
    partner.message(0);
    for (class, reference) in all {
        assert_eq!(node.hand_in(class, reference, 7, 50.0), 202);
    }
    go.send(()).expect("the partner waits");
}

#[test]
fn waiting_messages_for_an_endpoint_are_batched() {
    let (partner, go) = delayed_partner(|call| ends("200 OK", call, |_| "delivered"));
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(4));
    let all = ["r0", "r1", "r2", "r3", "r4"].map(|r| (if r == "r1" { "keyed" } else { "safe" }, r));
    hand_in_together(&node, &partner, &go, &all);
    let (call, last) = (partner.message(1), partner.message(2));
    assert_eq!(
        (ids(&call).len(), ids(&last).len()),
        (4, 1),
        "the batch size is limited by the endpoint kind"
    );
    assert_eq!(last.line, "POST /hook HTTP/1.1", "a single message is sent without a list");
    let mut came: Vec<String> = [ids(&call), ids(&last)].concat();
    came.sort();
    assert_eq!(came, ["r0", "r1", "r2", "r3", "r4"]);
    let items: Vec<Value> = serde_json::from_slice(&call.body).expect("a list");
    for item in &items {
        assert_eq!(item["body"], "AGJvZHn/", "the body must be unchanged");
        assert_eq!(item["key"], format!("key-{}", item["id"].as_str().expect("an id")));
    }
    let within: f64 = call.header("Req-Deadline").and_then(|d| d.parse().ok()).expect("a number");
    assert!(within > 0.0 && within <= 50.0);
    node.wait_for(ENDED);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn each_message_gets_its_own_result() {
    let (partner, go) = delayed_partner(|call| {
        ends("200 OK", call, |id| match id {
            "unsafe-failed" => "failed",
            "unsafe-unknown" => "lost",
            "over" => "over",
            "spent" => "spent",
            "unsafe-refused" => "refused",
            _ => "delivered",
        })
    });
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(20));
    let all = [
        ("unsafe", "unsafe-failed"),
        ("unsafe", "unsafe-unknown"),
        ("unsafe", "unsafe-refused"),
        ("unsafe", "delivered"),
        ("safe", "over"),
        ("safe", "spent"),
    ];
    hand_in_together(&node, &partner, &go, &all);
    assert_eq!(ids(&partner.message(1)).len(), 6);
    assert_eq!(discovery.notice("unsafe-failed")["result"], "dead");
    assert_eq!(discovery.notice("unsafe-unknown")["result"], "dead");
    assert_eq!(discovery.notice("spent")["result"], "bounced");
    // The refused message was not executed; it is retried or finally refused.
    until("the refused message ends", || {
        let notices = discovery.notices.lock().expect("lock");
        let given_up =
            notices.iter().find(|n| n["ref"] == "unsafe-refused").map(|n| n["result"] == "bounced");
        given_up.or((partner.count() > 2).then_some(true)).filter(|bounced| *bounced)
    });
    node.wait_for(ENDED);
    let heard = partner.heard.lock().expect("lock");
    let again: Vec<String> = heard.iter().skip(2).flat_map(ids).collect();
    assert!(again.iter().all(|id| id == "unsafe-refused"), "{again:?}");
    let notices = discovery.notices.lock().expect("lock");
    assert!(
        notices.iter().all(|n| n["ref"] != "over" && n["ref"] != "delivered"),
        "finished messages need no notice"
    );
}

#[test]
fn answer_without_results_counts_as_possibly_executed() {
    type Answer = (&'static str, fn(&Message) -> Reply);
    let answers: [Answer; 7] = [
        ("noise", |_| Reply::Answer("200 OK", "noise".to_owned())),
        ("empty", |_| answer("200 OK")),
        ("none of them", |_| Reply::Answer("200 OK", "[]".to_owned())),
        ("cut", |_| {
            Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n[{\"id\":\"r0\",\"state\":\"refu")
        }),
        ("no head", |_| Reply::Raw(b"HTTP/1.1 200 OK\r\nbad head\x00\r\n")),
        ("reset", |_| Reply::Raw(b"")),
        ("error", |_| answer("500 Oops")),
    ];
    for (name, reply) in answers {
        let (partner, go) = delayed_partner(reply);
        let discovery = Discovery::start();
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(20));
        hand_in_together(&node, &partner, &go, &[("unsafe", "r0"), ("unsafe", "r1")]);
        for reference in ["r0", "r1"] {
            assert_eq!(discovery.notice(reference)["result"], "dead", "{name}: {reference}");
        }
        assert_eq!(partner.count(), 2, "{name}");
    }
}

#[test]
fn rejected_batch_counts_as_not_executed() {
    for head in
        ["503 Full", "429 Wait\r\nRetry-After: 0.01", "413 Many", "400 What", "503 Slots\r\nX-Over-Slots: 1"]
    {
        let (partner, go) = delayed_partner(move |_| answer(head));
        let discovery = Discovery::start();
        let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(20));
        hand_in_together(&node, &partner, &go, &[("unsafe", "r0"), ("unsafe", "r1")]);
        partner.message(1);
        until("the messages end", || {
            let notices = discovery.notices.lock().expect("lock");
            assert!(notices.iter().all(|n| n["result"] == "bounced"), "{head}: {notices:?}");
            let heard = partner.heard.lock().expect("lock");
            let again: Vec<String> = heard.iter().skip(2).flat_map(ids).collect();
            let ended = |id| again.iter().any(|a| a == id) || notices.iter().any(|n| n["ref"] == id);
            (ended("r0") && ended("r1")).then_some(())
        });
    }
}

#[test]
fn wait_in_a_successful_answer_is_observed() {
    let (partner, go) = delayed_partner(|call| ends("200 OK\r\nRetry-After: 1.5", call, |_| "delivered"));
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(20));
    hand_in_together(&node, &partner, &go, &[("safe", "r0"), ("safe", "r1")]);
    let told = partner.message(1).at.expect("a time");
    node.wait_for(ENDED);
    assert_eq!(node.hand_in("safe", "later", 7, 50.0), 202);
    let next = partner.message(2).at.expect("a time");
    assert!(next - told >= Duration::from_millis(1_500), "{:?}", next - told);
}

#[test]
fn batch_over_the_size_limit_is_split_and_sent_on_the_same_slot() {
    // With one slot the second part must wait until the first one ends.
    let out = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let (counted, most) = (out.clone(), std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0)));
    let seen = most.clone();
    let partner = Server::start(move |_, call| {
        use std::sync::atomic::Ordering::SeqCst;
        seen.fetch_max(counted.fetch_add(1, SeqCst) + 1, SeqCst);
        std::thread::sleep(Duration::from_millis(150));
        counted.fetch_sub(1, SeqCst);
        if call.line.contains("batch") { ends("200 OK", call, |_| "delivered") } else { answer("200 OK") }
    });
    let discovery = Discovery::start();
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(20));
    assert_eq!(node.hand_in("safe", "first", 7, 50.0), 202);
    partner.message(0);
    for n in 0..6 {
        let answer = node.ask(request("unsafe", &format!("r{n}"), 7, 50.0, &[7; 20_000]));
        assert_eq!(answer.map(|a| a.status()), Some(202));
    }
    node.wait_for(ENDED);
    let heard = partner.heard.lock().expect("lock");
    let mut came: Vec<String> = heard.iter().skip(1).flat_map(ids).collect();
    came.sort();
    assert_eq!(came, ["r0", "r1", "r2", "r3", "r4", "r5"], "each message must be sent once");
    assert!(heard.iter().all(|call| call.body.len() <= 64 * 1024));
    assert!(heard.iter().skip(1).any(|call| ids(call).len() == 2), "two messages fit into a call");
    assert_eq!(most.load(std::sync::atomic::Ordering::SeqCst), 1);
    assert!(discovery.notices.lock().expect("lock").is_empty());
}

#[test]
fn batch_in_flight_at_a_kill_counts_as_possibly_executed_for_each_message() {
    let (partner, go) = delayed_partner(|_| Reply::Silent);
    let discovery = Discovery::start();
    let mut node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], one_slot(20));
    hand_in_together(&node, &partner, &go, &[("unsafe", "u0"), ("unsafe", "u1"), ("safe", "s0")]);
    assert_eq!(ids(&partner.message(1)).len(), 3);
    node.kill();
    node.start_again();
    for reference in ["u0", "u1"] {
        assert_eq!(discovery.notice(reference)["result"], "dead", "{reference}");
    }
    let safe = partner.message(2);
    assert_eq!(ids(&safe), ["s0"], "the safe message is retried alone");
    node.wait_for(ENDED);
    assert_eq!(partner.count(), 3);
}
