//! Failing writes: new messages are refused, accepted ones still end, and service resumes once there is
//! space.

mod common;

use common::*;

#[test]
fn failing_writes_refuse_new_messages_lose_none_and_service_resumes() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let options = Options { file_bytes: Some(16 * 1024), ..Options::default() };
    let mut node = Node::start(&discovery, &[], options);
    let hand_in = |node: &Node, n: usize| {
        let whole = request("unsafe", &format!("r{n}"), 7, 50.0, &[7; 3_000]);
        node.ask(whole).map_or(0, |answer| answer.status())
    };
    let statuses: Vec<u16> = (0..12).map(|n| hand_in(&node, n)).collect();
    let taken = statuses.iter().take_while(|s| **s == 202).count();
    assert!(taken > 1 && taken < 12 && statuses[taken..].iter().all(|s| *s == 503), "{statuses:?}");
    // Attempts cannot be recorded, so none may be made.
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    assert_eq!(hand_in(&node, 50), 503);
    node.make_room();
    until("messages are accepted again", || (hand_in(&node, 100) == 202).then_some(()));
    node.wait_for(ENDED);
    node.kill();
    let said = node.said();
    let failures = said.lines().filter(|line| line.contains("File too large")).count();
    assert!(failures == 1 && said.contains(".seg"), "the failure must be logged once, with the path: {said}");
    node.start_again();
    node.wait_for(ENDED);
    // Each accepted message has one end: it is delivered once, or its end is reported.
    let heard = partner.heard.lock().expect("lock");
    let notices = discovery.notices.lock().expect("lock");
    for n in (0..taken).chain([100]) {
        let reference = format!("r{n}");
        let sent = heard.iter().filter(|m| m.header("Req-Id") == Some(&reference)).count();
        let told = notices.iter().filter(|m| m["ref"] == reference.as_str()).count();
        assert!(sent <= 1 && sent + told >= 1, "{reference}: sent {sent} times, {told} notices");
    }
    for n in (taken..12).chain([50]) {
        let refused = format!("r{n}");
        assert!(heard.iter().all(|m| m.header("Req-Id") != Some(&refused)), "{refused} was refused but sent");
    }
}
