//! Reloading the configuration by SIGHUP.

mod common;

use common::*;

/// Replaces the discovery address in the configuration and sends SIGHUP.
fn change_discovery(node: &Node, from: &Discovery, to: &Discovery) {
    let (old, new) = (from.server.address.to_string(), to.server.address.to_string());
    node.configure(|text| text.replace(&old, &new));
    node.signal("HUP");
}

#[test]
fn discovery_and_notices_switch_to_the_new_address() {
    let (old, new, partner) = (Discovery::start(), Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&old, &[], Options::default());
    // The old agent has list versions that the new one does not have, and a watch is pending there.
    for _ in 0..5 {
        old.tell(&[]);
    }
    // A batch of notices is in flight to the old address and is never answered.
    *old.deaf.lock().expect("lock") = usize::MAX;
    assert_eq!(node.hand_in("safe", "owed", 7, 0.05), 202);
    until("a notice is attempted", || {
        let heard = old.server.heard.lock().expect("lock");
        heard.iter().any(|m| m.line.starts_with("POST")).then_some(())
    });
    new.tell_later(&[entry("a", &partner, 7, "in_service")]);
    change_discovery(&node, &old, &new);
    assert_eq!(new.server.message(0).header("Host"), Some(new.server.address.to_string().as_str()));
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    assert_eq!(partner.message(0).header("Req-Id"), Some("r"));
    new.notice("owed");
    let heard = new.server.heard.lock().expect("lock");
    let first = heard.iter().find(|m| m.line.starts_with("GET")).expect("a request");
    assert_eq!(first.line, "GET /v1/servers HTTP/1.1", "a snapshot must be requested");
    drop(heard);
    let connections = old.server.heard.lock().expect("lock").iter().map(|m| m.connection).collect::<Vec<_>>();
    until("the old connections are closed", || {
        let closed = old.server.closed.lock().expect("lock");
        connections.iter().all(|c| closed.contains(c)).then_some(())
    });
}

#[test]
fn two_reloads_in_a_row_end_at_the_newest_address() {
    let (first, second, third) = (Discovery::start(), Discovery::start(), Discovery::start());
    let partner = endpoint("200 OK");
    let node = Node::start(&first, &[], Options::default());
    third.tell_later(&[entry("a", &partner, 7, "in_service")]);
    change_discovery(&node, &first, &second);
    change_discovery(&node, &second, &third);
    assert_eq!(node.hand_in("safe", "r", 7, 50.0), 202);
    partner.message(0);
    // Reloading the same file changes nothing.
    node.signal("HUP");
    third.tell(&[entry("a", &partner, 7, "in_service")]);
}

#[test]
fn unreadable_file_changes_nothing() {
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
fn reload_while_stopping_is_applied_before_a_clean_exit() {
    let (old, new) = (Discovery::start(), Discovery::start());
    // The old address accepts no notices any more; the pending one must reach the new address before the
    // process ends.
    *old.deaf.lock().expect("lock") = usize::MAX;
    let mut node = Node::start(&old, &[], Options::default());
    assert_eq!(node.hand_in("safe", "owed", 7, 0.05), 202);
    node.terminate();
    change_discovery(&node, &old, &new);
    new.notice("owed");
    assert_eq!(until("the process ends", || node.ended()).code(), Some(0));
}

/// Changes the settings in the configuration and sends SIGHUP.
fn change_settings(node: &Node, change: impl Fn(&mut serde_json::Value)) {
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

fn wait_for_reloads(node: &Node, count: u64) {
    until("the file is loaded", || (node.figure("reconfig_ok") == count).then_some(()));
}

#[test]
fn added_class_takes_effect_and_removed_class_remains_for_open_messages() {
    let (discovery, partner) = (Discovery::start(), Server::start(|_, _| answer("500 Oops")));
    let mut node = Node::start(&discovery, &[], with_console());
    // One message is open under a class that is removed, and one under a class whose effect changes.
    assert_eq!(node.hand_in("keyed", "of-before", 7, 50.0), 202);
    assert_eq!(node.hand_in("safe", "may-be-repeated", 7, 50.0), 202);
    change_settings(&node, |settings| {
        let profiles = settings["profiles"].as_array_mut().expect("a list");
        profiles.retain(|p| p["name"] != "keyed");
        profiles[0]["effect"] = "side_effect".into();
        let mut new = profiles[0].clone();
        (new["name"], new["effect"]) = ("new".into(), "side_effect".into());
        profiles.insert(0, new);
        settings["limits"]["tryLimit"] = 3.into();
    });
    wait_for_reloads(&node, 1);
    assert_eq!(node.hand_in("keyed", "too-late", 7, 50.0), 404);
    assert_eq!(node.hand_in("new", "new", 7, 50.0), 202);
    assert_eq!(node.hand_in("safe", "once", 7, 50.0), 202);
    // This must hold across a restart with the new file.
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
    // The counters of a removed class remain under its name.
    assert_eq!(node.figure("busy.keyed"), 1);
    assert_eq!(
        (node.figure("failure.new"), node.figure("failure.safe"), node.figure("busy.safe")),
        (1, 1, 1)
    );
}

#[test]
fn invalid_settings_leave_the_old_ones_fully_in_force() {
    let (discovery, partner) = (Discovery::start(), endpoint("200 OK"));
    let node = Node::start(&discovery, &[entry("a", &partner, 7, "in_service")], with_console());
    let mut bad = 0;
    let mut rejected = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut good = String::new();
        node.configure(|text| text.to_owned());
        let keep = std::cell::RefCell::new(&mut good);
        node.configure(|text| {
            **keep.borrow_mut() = text.to_owned();
            let mut file: serde_json::Value = serde_json::from_str(text).expect("the configuration");
            // A valid change in the same file must not be applied either.
            file["settings"]["profiles"][0]["name"] = "renamed".into();
            change(&mut file);
            file.to_string()
        });
        node.signal("HUP");
        bad += 1;
        until("the file is rejected", || (node.figure("reconfig_failed") == bad).then_some(()));
        assert_eq!(node.hand_in("safe", &format!("r{bad}"), 7, 50.0), 202);
        assert_eq!(node.hand_in("renamed", "no", 7, 50.0), 404);
        node.configure(|_| good.clone());
    };
    rejected(&|file| file["settings"]["limits"]["tryLimit"] = 0.into());
    rejected(&|file| file["settings"]["profiles"][1]["deadlineNs"] = 0.into());
    rejected(&|file| file["settings"]["profiles"][1]["deadlineNs"] = "soon".into());
    rejected(&|file| drop(file["settings"].as_object_mut().expect("an object").remove("rules")));
    rejected(&|file| drop(file["settings"]["profiles"][1].as_object_mut().expect("one").remove("lateWorth")));
    rejected(&|file| *file = serde_json::Value::Null);
    node.configure(|_| String::new());
    node.signal("HUP");
    until("the file is rejected", || (node.figure("reconfig_failed") == 7).then_some(()));
    assert_eq!((node.figure("reconfig_ok"), node.hand_in("safe", "last", 7, 50.0)), (0, 202));
}

#[test]
fn changed_limits_apply_to_open_messages_at_once() {
    let (discovery, partner) = (Discovery::start(), Server::start(|_, _| answer("500 Oops")));
    let node = Node::start(&discovery, &[], Options { hold: 4, ..with_console() });
    for n in 0..3 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    change_settings(&node, |settings| settings["limits"]["openCap"] = 40.into());
    wait_for_reloads(&node, 1);
    for n in 3..20 {
        assert_eq!(node.hand_in("safe", &format!("r{n}"), 7, 50.0), 202);
    }
    change_settings(&node, |settings| settings["limits"]["tryLimit"] = 1.into());
    wait_for_reloads(&node, 2);
    discovery.tell(&[entry("a", &partner, 7, "in_service")]);
    for n in 0..20 {
        assert_eq!(discovery.notice(&format!("r{n}"))["result"], "bounced");
    }
    assert_eq!(partner.count(), 20);
}
