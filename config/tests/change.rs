//! Tests of changes between configurations: computing, encoding and applying them.

mod common;

use common::{CONFIG, random_config};
use millpost_config::{Config, ConfigError, change, values};

#[test]
fn applied_change_gives_the_new_configuration() {
    for seed in 0..300 {
        let (old, new) = (random_config(seed), random_config(seed + 1));
        let text = values::write(&change::diff(&old, &new));
        let applied = change::apply(&old, &values::parse(&text).unwrap()).unwrap();
        assert!(applied.same_content(&new), "{text}");
        assert_eq!(applied.digest(), new.digest());
    }
}

#[test]
fn change_contains_only_the_differences() {
    let old = Config::parse(CONFIG).unwrap();
    let mut new = old.clone();
    new.revision = 9;
    new.routes[1].deadline_ms = 1;
    new.routes.reverse();
    let change = change::diff(&old, &new);
    let routes = values::get(&change, "routes").unwrap();
    assert_eq!(values::get_list(routes, "put").unwrap().len(), 1);
    assert!(values::get_list(routes, "removed").unwrap().is_empty());
    assert!(change::apply(&old, &change).unwrap().same_content(&new));
}

#[test]
fn change_for_another_configuration_is_rejected() {
    let (old, new) = (random_config(1), random_config(2));
    let change = change::diff(&old, &new);
    let mut other = old.clone();
    other.limits.idle_timeout_ms += 1;
    for base in [&other, &new] {
        assert!(matches!(change::apply(base, &change), Err(ConfigError::BaseMismatch { .. })));
    }
}

#[test]
fn corrupted_change_is_rejected() {
    let old = Config::parse(CONFIG).unwrap();
    let mut new = old.clone();
    new.routes.truncate(1);
    new.services[0].concurrency = 3;
    let text = values::write(&change::diff(&old, &new));
    for (from, to) in [(r#""concurrency":3"#, r#""concurrency":4"#), ("/yeje571/", "/"), ("huvo11a", "x")] {
        assert!(text.contains(from), "{from} in {text}");
        let corrupted = values::parse(&text.replace(from, to)).unwrap();
        assert!(change::apply(&old, &corrupted).is_err(), "{from}");
    }
}

#[test]
fn digest_is_stable_across_builds() {
    // Machines that run different builds compare digests, so the digest of a configuration must not change.
    assert_eq!(format!("{:016x}", Config::parse(CONFIG).unwrap().digest()), "9ef38a1d81c27052");
}

/// The same change made to different routes once gave the same digest, because the hashes of the parts were
/// summed without mixing.
#[test]
fn the_same_change_made_to_different_routes_gives_different_digests() {
    let route = |n: u32| {
        format!(
            r#"{{"name":"s{n}","host":"h.example","path_prefix":"/s{n}/","traffic_kind":"idempotent","deadline_ms":3000,"service":"f"}}"#
        )
    };
    let routes: Vec<_> = (0..500).map(route).collect();
    let text = format!(
        r#"{{"revision":7,"routes":[{}],"services":[{{"name":"f"}}],"limits":{{}}}}"#,
        routes.join(",")
    );
    let config = Config::parse(&text).unwrap();
    let changed = |n: usize| {
        let mut config = config.clone();
        config.routes[n].deadline_ms = 3_100;
        config.digest()
    };
    let digests: std::collections::BTreeSet<_> = (0..500).map(changed).collect();
    assert_eq!(digests.len(), 500);
}
