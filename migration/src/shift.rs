//! The configuration of a step, out of the one below it; and where a configuration has a tenant's routes. Invariant: what is made is the same
//! whoever makes it, and differs from its base in its revision and in the services of the tenant's routes only.

use std::collections::{HashMap, HashSet};

use millpost_config::routes::host_key;
use millpost_config::{Config, ConfigError, set_services, values};
use tinyjson::JsonValue;

use crate::record::{RouteMove, Share};

/// Where a configuration has a route of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteLocation {
    /// On the target.
    Target,
    /// On the source.
    Source,
    /// It has no such route.
    Missing,
    /// On other services.
    Other,
}

fn same(one: &[Share], other: &[Share]) -> bool {
    one.len() == other.len() && one.iter().all(|share| other.contains(share))
}

fn key(host: &str, prefix: &str) -> (String, String) {
    (host_key(host).into_owned(), prefix.to_owned())
}

/// Where each route is.
#[must_use]
pub fn locate_routes(config: &Config, route_moves: &[RouteMove]) -> Vec<RouteLocation> {
    // Tenants are small beside configurations, which this is asked of again and again.
    let of = |(at, route_move): (usize, &RouteMove)| (key(&route_move.host, &route_move.path_prefix), at);
    let wanted: HashMap<_, _> = route_moves.iter().enumerate().map(of).collect();
    let hosts: HashSet<_> = route_moves.iter().map(|route_move| host_key(&route_move.host)).collect();
    let mut found = vec![RouteLocation::Missing; route_moves.len()];
    for route in config.routes.iter().filter(|route| hosts.contains(&host_key(&route.host))) {
        if let Some(at) = wanted.get(&key(&route.host, &route.path_prefix)) {
            let route_move = &route_moves[*at];
            found[*at] = match &route.shares {
                shares if same(shares, &route_move.to) => RouteLocation::Target,
                shares if same(shares, &route_move.from) => RouteLocation::Source,
                _ => RouteLocation::Other,
            };
        }
    }
    found
}

/// Whether a configuration has the first loads on the target and the others on the source; a route that is gone is where it should be.
#[must_use]
pub fn has_loads_on_target(config: &Config, route_moves: &[RouteMove], loads: u32) -> bool {
    let meant = |route_move: &RouteMove| {
        if route_move.load <= loads { RouteLocation::Target } else { RouteLocation::Source }
    };
    let places = locate_routes(config, route_moves);
    route_moves
        .iter()
        .zip(places)
        .all(|(route_move, place)| place == RouteLocation::Missing || place == meant(route_move))
}

/// The configuration that has the first loads on the target, out of the text of another.
pub fn with_loads_on_target(
    base: &str,
    route_moves: &[RouteMove],
    loads: u32,
    number: u64,
) -> Result<String, ConfigError> {
    let mut value = values::parse(base)?;
    let meant: HashMap<_, _> = route_moves
        .iter()
        .map(|route_move| {
            let shares = if route_move.load <= loads { &route_move.to } else { &route_move.from };
            (key(&route_move.host, &route_move.path_prefix), shares)
        })
        .collect();
    if let JsonValue::Object(entries) = &mut value {
        entries.insert("revision".to_owned(), values::number(number));
        if let Some(JsonValue::Array(routes)) = entries.get_mut("routes") {
            for route in routes {
                let place = values::get_str(route, "host").zip(values::get_str(route, "path_prefix"));
                let shares = place.and_then(|(host, prefix)| meant.get(&key(host, prefix)));
                if let Some(shares) = shares {
                    set_services(route, shares);
                }
            }
        }
    }
    let text = values::write(&value);
    // Checked as an operator's own would be: what can't be put must not stand in a record as if it could.
    Config::parse(&text)?;
    Ok(text)
}
