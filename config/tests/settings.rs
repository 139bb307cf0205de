//! Tests of settings files: the fields of the specification's example, and errors that name the key.

mod common;

use common::SETTINGS;
use millpost_config::Settings;
use yare::parameterized;

#[test]
fn parses_the_example() {
    let settings = Settings::parse(SETTINGS).unwrap();
    assert_eq!(settings.node_name, "edge-hall-a-1");
    assert_eq!(settings.bind_addrs.front, Some("10.1.0.36:8425".parse().unwrap()));
    assert_eq!(settings.bind_addrs.control, None);
    assert_eq!(settings.internal_ports, (7760, 7775));
    assert_eq!(settings.zones["hall-b"], "ile-de-france");
    assert_eq!(settings.seed_nodes.len(), 2);
    assert_eq!((settings.bounds.drain_ms, settings.bounds.ack_ms), (3500, 5000));
    assert_eq!(settings.data_dir, None);
    assert!(settings.bootstrap && settings.has_contract("functions") && !settings.has_contract("x"));
    assert_eq!(settings.platform_api.unwrap().rate_per_s, 26.5);
}

#[parameterized(
    ip = { "10.1.0.36\",\"zone", "here\",\"zone", r#"ip: is "here"; an IP address is needed"# },
    node = { "node_name", "name", "node_name: is missing" },
    front = { "10.1.0.36:8425", "10.1.0.36", r#"bind_addrs.front: is "10.1.0.36"; IP:port is needed"# },
    ports = { "[7760,7775]", "[7760]", "internal_ports: are not two ports" },
    ports_reversed = { "[7760,7775]", "[7775,7760]", "internal_ports: end at 7760, before" },
    port = { "7775", "77750", "internal_ports[1]: is 77750; at most 65535" },
    seed = { "10.2.0.6:8428", "b:8428", "seed_nodes[1]: is" },
    zone = { r#""hall-b":"ile-de-france""#, r#""hall-b":1"#, "zones.hall-b: is not a string" },
    flag = { r#""bootstrap":true"#, r#""bootstrap":1"#, "bootstrap: is neither true nor false" },
    bound = { r#""retry_ratio":0.1"#, r#""retry_ratio":-0.1"#, "bounds.retry_ratio: is -0.1; at least 0" },
    platform = { r#""address":"#, r#""at":"#, "platform_api.address: is missing" },
    memory = { r#""memory_mb":260"#, r#""memory_mb":0.5"#, "limits.memory_mb: is 0.5; a whole number" },
    truncated = { "}}", "}", "not read" },
)]
fn invalid_settings_are_rejected(from: &str, to: &str, expected: &str) {
    assert!(SETTINGS.contains(from), "{from}");
    let found = Settings::parse(&SETTINGS.replacen(from, to, 1)).unwrap_err().to_string();
    assert!(found.starts_with(expected), "{found}");
}

#[parameterized(
    two_errors = { &[("node_name", "name"), ("7775", "77750")],
        &["node_name: is missing", "internal_ports[1]: is 77750; at most 65535"] },
    nested_in_reading_order = { &[("true", "1"), ("10.1.0.36:8425", "x"), ("10.2.0.6:8428", "b"), (r#""address":"#, r#""at":"#)],
        &["bind_addrs.front: is \"x\"", "seed_nodes[1]: is \"b\"", "bootstrap: is neither", "platform_api.address: is missing"] },
    wrong_object_reported_once = { &[(r#""limits":{"#, r#""limits":3,"x":{"#), (r#""zone":"hall-a""#, r#""zone":3"#)],
        &["zone: is not a string", "limits: is not an object"] },
)]
fn all_errors_are_reported(changes: &[(&str, &str)], expected: &[&str]) {
    let text = changes.iter().fold(SETTINGS.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    });
    let found: Vec<_> = Settings::parse_collecting_errors(&text).unwrap_err().lines().collect();
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    found.iter().zip(expected).for_each(|(found, expected)| assert!(found.starts_with(expected), "{found}"));
    assert_eq!(Settings::parse(&text).unwrap_err().to_string(), found[0]);
}

#[test]
fn missing_required_keys_are_reported_with_other_errors() {
    let required_keys = ["bind_addrs.front", "bind_addrs.back", "data_dir", "x"];
    let text = SETTINGS.replacen("node_name", "name", 1);
    let found: Vec<_> = Settings::parse_for(&text, &required_keys).unwrap_err().lines().collect();
    let missing = |key: &str| format!("{key}: is missing, and this program needs it");
    let mut expected = vec!["node_name: is missing".to_owned(), missing("bind_addrs.back")];
    expected.extend((!SETTINGS.contains("data_dir")).then(|| missing("data_dir")));
    expected.push(missing("x"));
    assert_eq!(found, expected);
    assert!(Settings::parse_for(SETTINGS, &required_keys[..1]).is_ok());
}

#[test]
fn errors_name_the_file() {
    let path = std::env::temp_dir().join(format!("millpost-config-{}.json", std::process::id()));
    assert!(Settings::load(&path).unwrap_err().to_string().contains(path.to_str().unwrap()));
    let text = SETTINGS.replace("node_name", "name").replace("\"zone\"", "\"zona\"");
    std::fs::write(&path, text).unwrap();
    let found: Vec<_> = Settings::load_collecting_errors(&path).unwrap_err().lines().collect();
    let first = Settings::load(&path).unwrap_err().to_string();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(found, ["node_name", "zone"].map(|key| format!("{}: {key}: is missing", path.display())));
    assert_eq!(first, found[0]);
}
