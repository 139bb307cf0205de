//! Tests of configurations: which ones are rejected and at which path, and which are accepted.

mod common;

use common::{CONFIG, Rng};
use millpost_config::{Config, values};
use yare::parameterized;

fn changed(from: &str, to: &str) -> String {
    assert!(CONFIG.contains(from), "{from}");
    CONFIG.replacen(from, to, 1)
}

#[parameterized(
    revision_missing = { r#""revision":7,"#, "", "revision: is missing" },
    revision_fraction = { r#""revision":7"#, r#""revision":7.5"#, "revision: is 7.5; a whole number" },
    revision_negative = { r#""revision":7"#, r#""revision":-1"#, "revision: is -1; a whole number" },
    revision_huge = { r#""revision":7"#, r#""revision":1e999"#, "revision: is not a number" },
    revision_text = { r#""revision":7"#, r#""revision":"7""#, "revision: is not a number" },
    routes_missing = { r#""routes""#, r#""roads""#, "routes: is missing" },
    services_missing = { r#""services":[{"name""#, r#""x":[{"name""#, "services: is missing" },
    route_no_object = { r#""routes":["#, r#""routes":[3,"#, "routes[0]: is not an object" },
    host_missing = { r#""host":"dese56.example","#, "", "routes[0].host: is missing" },
    deadline_zero = { r#""deadline_ms":12000"#, r#""deadline_ms":0"#, "routes[2].deadline_ms: is 0; at least 1" },
    kind = { "mutating", "odd", r#"routes[1].traffic_kind: is "odd"; idempotent or mutating"# },
    unknown_service = { r#""service":"huvo11a""#, r#""service":"x""#, r#"routes[0].service: is "x", which is no service"# },
    unknown_in_split = { r#"{"service":"wuno96b""#, r#"{"service":"x""#, r#"routes[2].service: is "x", which is no"# },
    same_prefix = { "/huye432/", "/yeje571/", "routes[2].path_prefix: has the host and prefix of routes[1]" },
    same_host_in_capitals = {
        r#"dese56.example","path_prefix":"/yeje571/"#, r#"DESE56.example","path_prefix":"/gowu780/fi14/"#,
        "routes[1].path_prefix: has the host and prefix of routes[0]"
    },
    weights_sum = { r#""weight":3},{"service":"huvo11a","weight":1}"#, r#""weight":0}"#, "routes[2].services: has weights that sum to 0" },
    weight_alone = { r#""service":"huvo11a","#, r#""service":"huvo11a","weight":0,"#, "routes[0].service: has weights that sum to 0" },
    weight_negative = { r#""weight":3"#, r#""weight":-3"#, "routes[2].services[0].weight: is -3; at least 0" },
    no_service = { r#""service":"huvo11a","#, "", "routes[0].service: is missing" },
    service_name = { r#""name":"wuno96b","#, "", "services[1].name: is missing" },
    limits = { r#""limits":{"#, r#""limits":3,"x":{"#, "limits: is not an object" },
    limit = { r#""max_body_bytes":262144"#, r#""max_body_bytes":"""#, "limits.max_body_bytes: is not a number" },
)]
fn invalid_configuration_is_rejected(from: &str, to: &str, expected: &str) {
    let found = Config::parse(&changed(from, to)).unwrap_err().to_string();
    assert!(found.starts_with(expected), "{found}");
}

#[parameterized(
    in_reading_order = { &[(r#""revision":7"#, r#""revision":-1"#), (r#""service":"huvo11a""#, r#""service":"x""#), ("mutating", "odd"), (r#""weight":3"#, r#""weight":-3"#),
        (r#""max_body_bytes":262144"#, r#""max_body_bytes":"""#)],
        &["revision: is -1", "routes[0].service: is \"x\", which is no service", "routes[1].traffic_kind: is \"odd\"",
        "routes[2].services[0].weight: is -3", "limits.max_body_bytes: is not a number"] },
    several_errors_in_one_route = { &[("/huye432/", "/yeje571/"), (r#""deadline_ms":12000"#, r#""deadline_ms":0"#)],
        &["routes[2].deadline_ms: is 0", "routes[2].path_prefix: has the host and prefix of routes[1]"] },
    no_further_error_for_an_invalid_service_name = { &[(r#""name":"wuno96b","#, "")], &["services[1].name: is missing"] },
    no_further_error_for_an_invalid_route = { &[(r#""routes":["#, r#""routes":[3,null,"#)],
        &["routes[0]: is not an object", "routes[1]: is not an object"] },
    not_json = { &[("{", "[")], &["not read: "] },
)]
fn all_errors_are_reported(changes: &[(&str, &str)], expected: &[&str]) {
    let text = changes.iter().fold(CONFIG.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    });
    let found: Vec<_> = Config::parse_collecting_errors(&text).unwrap_err().lines().collect();
    assert_eq!(found.len(), expected.len(), "{found:#?}");
    found.iter().zip(expected).for_each(|(found, expected)| assert!(found.starts_with(expected), "{found}"));
}

#[test]
fn errors_beyond_a_hundred_are_counted() {
    let text = format!(r#"{{"revision":1,"services":[],"routes":[0{}]}}"#, ",0".repeat(999));
    let errors = Config::parse_collecting_errors(&text).unwrap_err();
    assert_eq!((errors.list().len(), errors.omitted()), (100, 900));
    assert_eq!(errors.lines().last().unwrap(), "and 900 more");
}

#[parameterized(
    unknown_fields = { r#""priority":2"#, r#""new":[{}],"priority":2"# },
    no_limits = { r#""limits""#, r#""none""# },
    limits_null = { r#""limits":{"#, r#""limits":null,"more":{"# },
    prefix_without_slashes = { "/yeje571/", "yeje571" },
    same_route_name = { "r-2", "r-1" },
    names_empty = { "r-1", "" },
    same_service_name = { r#""services":[{"name":"huvo11a""#, r#""services":[{"name":"wuno96b"},{"name":"huvo11a""# },
    no_tries = { r#""max_tries":2"#, r#""max_tries":0"# },
    huge_priority = { r#""priority":2"#, r#""priority":9007199254740992"# },
    unused_service = { r#""weight":1}"#, r#""weight":0}"# },
)]
fn unusual_configuration_is_accepted(from: &str, to: &str) {
    let config = Config::parse(&changed(from, to)).unwrap();
    assert_eq!(Config::parse(&config.to_json()).unwrap(), config);
}

#[parameterized(
    list = { r#""services":[{"service":"wuno96b","weight":3},{"service":"huvo11a","weight":1}]"# },
    beside_service = { r#""service":"huvo11a","split":[{"service":"wuno96b","weight":3},{"service":"huvo11a"}]"# },
    other_names = { r#""backends":[{"name":"wuno96b","percent":3},{"to":"huvo11a","share":1}]"# },
    in_service = { r#""service":[{"service":"wuno96b","weight":3},{"service":"huvo11a"}]"# },
    pairs = { r#""targets":[["wuno96b",3],["huvo11a",1]]"# },
    side_by_side = { r#""services":["wuno96b","huvo11a"],"weights":[3,1]"# },
)]
fn all_forms_of_services_are_equivalent(split: &str) {
    let from = r#""services":[{"service":"wuno96b","weight":3},{"service":"huvo11a","weight":1}]"#;
    let config = Config::parse(&changed(from, split)).unwrap();
    assert_eq!(config, Config::parse(CONFIG).unwrap());
    let route = &config.routes[2];
    let picked: Vec<_> = (0..4).map(|random| route.pick(random).unwrap().as_str()).collect();
    assert_eq!(picked, ["wuno96b", "wuno96b", "wuno96b", "huvo11a"]);
}

#[parameterized(
    object = { r#"{"huvo11a":25,"wuno96b":75}"#, 25, 75 },
    objects = { r#"{"huvo11a":{"weight":1},"wuno96b":{}}"#, 1, 1 },
    fractions = { r#"{"huvo11a":0.25,"wuno96b":0.75}"#, 333_333, 1_000_000 },
    tiny = { r#"{"huvo11a":1e-30,"wuno96b":1}"#, 1, 1_000_000 },
    huge = { r#"{"huvo11a":0,"wuno96b":1e300}"#, 0, 1_000_000 },
)]
fn weights_by_name_are_scaled_to_integers(split: &str, first: u32, second: u32) {
    let from = r#""services":[{"service":"wuno96b","weight":3},{"service":"huvo11a","weight":1}]"#;
    let config = Config::parse(&changed(from, &format!(r#""weights":{split}"#))).unwrap();
    assert_eq!(config.routes[2].shares, [("huvo11a".into(), first), ("wuno96b".into(), second)]);
}

#[test]
fn truncated_text_is_rejected() {
    for end in (0..CONFIG.len()).filter(|end| CONFIG.is_char_boundary(*end)) {
        assert!(Config::parse(&CONFIG[..end]).is_err(), "{end}");
    }
}

#[test]
fn mutated_text_never_panics() {
    let mut rng = Rng(1);
    for _ in 0..20_000 {
        let mut bytes = CONFIG.as_bytes().to_vec();
        for _ in 0..=rng.below(3) {
            let at = usize::try_from(rng.below(bytes.len() as u64)).unwrap();
            bytes[at] = b"\"\\{}[],:0-e.ux\n"[usize::try_from(rng.below(15)).unwrap()];
        }
        _ = Config::parse(&String::from_utf8(bytes).unwrap());
    }
}

#[parameterized(
    deep = { "[".repeat(1_000_000) },
    deep_objects = { r#"{"a":"#.repeat(500_000) },
    many = { format!("[{}0]", "0,".repeat(1_000_000)) },
    long = { format!("\"{}\"", " ".repeat(5 << 20)) },
)]
fn text_beyond_the_limits_is_rejected(text: String) {
    assert!(values::parse(&text).is_err());
}

#[test]
fn brackets_inside_strings_do_not_count_as_nesting() {
    let text = format!(r#"["{}\"{}"]"#, "[".repeat(100), "{".repeat(100));
    assert_eq!(values::write(&values::parse(&text).unwrap()), text);
}
