//! Tests of the route table, including a comparison with a linear search.

mod common;

use common::Rng;
use millpost_config::{Config, RouteTable};
use yare::parameterized;

fn config(routes: &[(String, String)]) -> Config {
    let routes: Vec<_> = routes
        .iter()
        .map(|(host, prefix)| {
            format!(
                r#"{{"name":"{prefix}","host":"{host}","path_prefix":"{prefix}","traffic_kind":"mutating","deadline_ms":1,"service":"s"}}"#
            )
        })
        .collect();
    Config::parse(&format!(r#"{{"revision":1,"routes":[{}],"services":[{{"name":"s"}}]}}"#, routes.join(",")))
        .unwrap()
}

#[parameterized(
    longest = { "a.example", "/x/y/1", Some("/x/y/") },
    shorter = { "a.example", "/x/z", Some("/x/") },
    exact = { "a.example", "/x/", Some("/x/") },
    without_slash = { "a.example", "/x", None },
    longer_prefix_does_not_match = { "a.example", "/x/y/zz/", Some("/x/y/") },
    port_and_capitals = { "A.Example:8080", "/x/1", Some("/x/") },
    other_host = { "b.example", "/x/y/1", Some("/") },
    no_host = { "c.example", "/x/", None },
    empty = { "", "", None },
    query = { "a.example", "/x?/y/", None },
    query_after = { "a.example", "/x/?q=/y/", Some("/x/") },
    ipv6 = { "[::1]:80", "/1", Some("/six/") },
    not_ascii = { "a.example", "/x/é", Some("/x/") },
)]
fn finds_route(host: &str, path: &str, found: Option<&str>) {
    let routes = [
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("a.example", "/x/y/z/"),
        ("B.example", "/"),
        ("[::1]", "/"),
    ];
    let mut config = config(&routes.map(|(host, prefix)| (host.to_owned(), prefix.to_owned())));
    config.routes[4].name = "/six/".into();
    assert_eq!(RouteTable::new(&config).find(host, path).map(|route| route.name.as_str()), found);
}

#[test]
fn agrees_with_a_linear_search_over_a_thousand_routes() {
    let mut rng = Rng(7);
    let mut part = |end| (0..=rng.below(4)).map(|_| format!("{}/", rng.below(end))).collect::<String>();
    let mut routes: Vec<_> =
        (0..1_200).map(|n| (format!("h{}.example", n % 7), format!("/{}", part(6)))).collect();
    routes.sort();
    routes.dedup();
    routes.truncate(1_000);
    let config = config(&routes);
    let table = RouteTable::new(&config);
    for n in 0..5_000 {
        let (host, path) = (format!("h{}.example", n % 8), format!("/{}", part(7)));
        let matches = |(h, prefix): &&(String, String)| *h == host && path.starts_with(prefix.as_str());
        let expected =
            routes.iter().filter(matches).map(|(_, prefix)| prefix.as_str()).max_by_key(|p| p.len());
        assert_eq!(
            table.find(&host, &path).map(|route| route.path_prefix.as_str()),
            expected,
            "{host}{path}"
        );
    }
}
