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

/// Replaces the settings, and has them read again.
fn settle(node: &Node, change: impl Fn(&mut serde_json::Value)) {
    node.configure(|text| {
        let mut file: serde_json::Value = serde_json::from_str(text).expect("the configuration");
        change(&mut file["settings"]);
        file.to_string()
    });
    node.signal("HUP");
}

fn with_console() -> Options {
    Options { console: true, ..Options::default() }
}

fn taken(node: &Node, files: u64) {
    until("the file is taken", || (node.figure("reconfig_ok") == files).then_some(()));
}

#[test]
fn a_class_that_is_added_binds_and_one_that_is_dropped_is_kept_for_what_is_open() {
    let (discovery, partner) = (Discovery::start(), Server::start(|_, _| answer("500 Oops")));
    let mut node = Node::start(&discovery, &[], with_console());
    // Open under the old class, which loses its name, and under one whose effect changes.
    assert_eq!(node.hand_in("keyed", "of-before", 7, 50.0), 202);
    assert_eq!(node.hand_in("safe", "may-be-repeated", 7, 50.0), 202);
    settle(&node, |settings| {
        let profiles = settings["profiles"].as_array_mut().expect("a list");
        profiles.retain(|p| p["name"] != "keyed");
        profiles[0]["effect"] = "side_effect".into();
        let mut new = profiles[0].clone();
        (new["name"], new["effect"]) = ("new".into(), "side_effect".into());
        profiles.insert(0, new);
        settings["limits"]["tryLimit"] = 3.into();
    });
    taken(&node, 1);
    assert_eq!(node.hand_in("keyed", "too-late", 7, 50.0), 404);
    assert_eq!(node.hand_in("new", "new", 7, 50.0), 202);
    assert_eq!(node.hand_in("safe", "once", 7, 50.0), 202);
    // Also over a restart with the new file.
    node.kill();
    node.start_again();
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    for (reference, result, calls) in [
        ("new", "dead", 1),
        ("once", "dead", 1),
        ("of-before", "bounced", 3),
        ("may-be-repeated", "bounced", 3),
    ] {
        assert_eq!(discovery.notice(reference)["result"], result, "{reference}");
        let heard = partner.heard.lock().expect("lock");
        let of = heard.iter().filter(|m| m.header("Req-Id") == Some(reference)).count();
        assert_eq!(of, calls, "{reference}");
    }
    // The counts of a class that was dropped are kept under its name.
    assert_eq!(node.figure("busy.keyed"), 1);
    assert_eq!(
        (node.figure("failure.new"), node.figure("failure.safe"), node.figure("busy.safe")),
        (1, 1, 1)
    );
}

#[test]
fn broken_settings_leave_the_old_ones_in_force_whole() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let mut bad = 0;
    let mut turned_down = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut good = String::new();
        node.configure(|text| text.to_owned());
        let keep = std::cell::RefCell::new(&mut good);
        node.configure(|text| {
            **keep.borrow_mut() = text.to_owned();
            let mut file: serde_json::Value = serde_json::from_str(text).expect("the configuration");
            // A part that is good is not taken either.
            file["settings"]["profiles"][0]["name"] = "renamed".into();
            change(&mut file);
            file.to_string()
        });
        node.signal("HUP");
        bad += 1;
        until("the file is turned down", || (node.figure("reconfig_failed") == bad).then_some(()));
        assert_eq!(node.hand_in("safe", &format!("r{bad}"), 7, 50.0), 202);
        assert_eq!(node.hand_in("renamed", "no", 7, 50.0), 404);
        node.configure(|_| good.clone());
    };
    turned_down(&|file| file["settings"]["limits"]["tryLimit"] = 0.into());
    turned_down(&|file| file["settings"]["profiles"][1]["deadlineNs"] = 0.into());
    turned_down(&|file| file["settings"]["profiles"][1]["deadlineNs"] = "soon".into());
    turned_down(&|file| drop(file["settings"].as_object_mut().expect("an object").remove("rules")));
    turned_down(&|file| {
        drop(file["settings"]["profiles"][1].as_object_mut().expect("one").remove("lateWorth"))
    });
    turned_down(&|file| *file = serde_json::Value::Null);
    node.configure(|_| String::new());
    node.signal("HUP");
    until("the file is turned down", || (node.figure("reconfig_failed") == 7).then_some(()));
    assert_eq!((node.figure("reconfig_ok"), node.hand_in("safe", "last", 7, 50.0)), (0, 202));
}

#[test]
fn fewer_attempts_bind_what_is_open_and_more_room_is_room_at_once() {
    let (discovery, partner) = (Discovery::start(), Server::start(|_, _| answer("500 Oops")));
    let node = Node::start(&discovery, &[], Options { hold: 4, ..with_console() });
    for n in 0..3 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    settle(&node, |settings| settings["limits"]["openCap"] = 40.into());
    taken(&node, 1);
    for n in 3..20 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    settle(&node, |settings| settings["limits"]["tryLimit"] = 1.into());
    taken(&node, 2);
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    for n in 0..20 {
        assert_eq!(discovery.notice(&format!("r{n}"))["result"], "bounced");
    }
    assert_eq!(partner.count(), 20);
}
