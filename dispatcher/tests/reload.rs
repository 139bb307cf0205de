//! A new configuration under load: SIGHUP.

mod common;

use common::*;

fn moved(node: &Node, from: &Discovery, to: &Discovery) {
    let (old, new) = (from.server.address.to_string(), to.server.address.to_string());
    node.configure(|text| text.replace(&old, &new));
    node.signal("HUP");
}

#[test]
fn discovery_and_notices_move_to_the_new_address() {
    let (old, new, partner) = (Discovery::start(), Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&old, &[], Options::default());
    // The old one knows versions that the new one does not have, and a watch is pending there.
    for _ in 0..5 {
        old.tell(&[]);
    }
    // A batch of notices is on its way there for as long as it likes.
    *old.deaf.lock().expect("lock") = usize::MAX;
    assert_eq!(node.hand_in("safe", "owed", 7, 0.05), 202);
    until("a notice is tried", || {
        let heard = old.server.heard.lock().expect("lock");
        heard.iter().any(|m| m.line.starts_with("POST")).then_some(())
    });
    new.tell_later(&[entry("a", &partner, 7, "in_service")]);
    moved(&node, &old, &new);
    assert_eq!(new.server.message(0).header("Host"), Some(new.server.address.to_string().as_str()));
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    assert_eq!(partner.message(0).header("Req-Id"), Some("r"));
    new.notice("owed");
    let heard = new.server.heard.lock().expect("lock");
    let first = heard.iter().find(|m| m.line.starts_with("GET")).expect("it asks");
    assert_eq!(first.line, "GET /v1/servers HTTP/1.1", "the whole list");
    drop(heard);
    let connections = old.server.heard.lock().expect("lock").iter().map(|m| m.connection).collect::<Vec<_>>();
    until("the old ones are closed", || {
        let closed = old.server.closed.lock().expect("lock");
        connections.iter().all(|c| closed.contains(c)).then_some(())
    });
}

#[test]
fn two_signals_in_a_row_end_at_the_newest_address() {
    let (first, second, third) = (Discovery::start(), Discovery::start(), Discovery::start());
    let partner = endpoint("200 OK");
    let node = Node::start(&first, &[], Options::default());
    third.tell_later(&[entry("a", &partner, 7, "in_service")]);
    moved(&node, &first, &second);
    moved(&node, &second, &third);
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    partner.message(0);
    // The same file once more changes nothing.
    node.signal("HUP");
    third.tell(&[entry("a", &partner, 7, "in_service")]);
}

#[test]
fn a_file_that_cannot_be_read_changes_nothing() {
    let (old, new, partner) = (Discovery::start(), Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&old, &[], Options::default());
    node.configure(|text| text[..text.len() / 2].to_owned());
    node.signal("HUP");
    old.tell(&[entry("a", &partner, 7, "in_service")]);
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    partner.message(0);
    assert_eq!(new.server.count(), 0);
}

#[test]
fn a_signal_while_it_stops_is_heeded_and_it_ends_well() {
    let (old, new) = (Discovery::start(), Discovery::start());
    // The old one takes no notice any more; what is owed goes to the new one before the end.
    *old.deaf.lock().expect("lock") = usize::MAX;
    let mut node = Node::start(&old, &[], Options::default());
    assert_eq!(node.hand_in("safe", "owed", 7, 0.05), 202);
    node.terminate();
    moved(&node, &old, &new);
    new.notice("owed");
    assert_eq!(until("it ends", || node.ended()).code(), Some(0));
}
