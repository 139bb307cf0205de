//! Derives the configuration of a step from the one it replaces, and locates a tenant's routes in a
//! configuration.
//!
//! Invariant: the result is the same on every machine, and differs from its base only in the revision and in
//! the services of the tenant's routes.

use std::collections::{HashMap, HashSet};

use millpost_config::routes::host_key;
use millpost_config::{Config, ConfigError, set_services, values};
use tinyjson::JsonValue;

use crate::record::{RouteMove, Share};

/// Which side of a move a configuration assigns a route to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteLocation {
    /// The target services.
    Target,
    /// The source services.
    Source,
    /// The configuration has no such route.
    Missing,
    /// Other services.
    Other,
}

fn same_shares(one: &[Share], other: &[Share]) -> bool {
    one.len() == other.len() && one.iter().all(|share| other.contains(share))
}

fn key(host: &str, prefix: &str) -> (String, String) {
    (host_key(host).into_owned(), prefix.to_owned())
}

/// Locates each route in a configuration.
#[must_use]
pub fn locate_routes(config: &Config, route_moves: &[RouteMove]) -> Vec<RouteLocation> {
    // This runs often, and a tenant's routes are few compared with all routes of a configuration.
    let entry = |(at, route_move): (usize, &RouteMove)| (key(&route_move.host, &route_move.path_prefix), at);
    let wanted: HashMap<_, _> = route_moves.iter().enumerate().map(entry).collect();
    let hosts: HashSet<_> = route_moves.iter().map(|route_move| host_key(&route_move.host)).collect();
    let mut found = vec![RouteLocation::Missing; route_moves.len()];
    for route in config.routes.iter().filter(|route| hosts.contains(&host_key(&route.host))) {
        if let Some(at) = wanted.get(&key(&route.host, &route.path_prefix)) {
            let route_move = &route_moves[*at];
            found[*at] = match &route.shares {
                shares if same_shares(shares, &route_move.to) => RouteLocation::Target,
                shares if same_shares(shares, &route_move.from) => RouteLocation::Source,
                _ => RouteLocation::Other,
            };
        }
    }
    found
}

/// Whether a configuration has the first `loads` loads on the target and the others on the source. A route
/// that no longer exists counts as being in place.
#[must_use]
pub fn has_loads_on_target(config: &Config, route_moves: &[RouteMove], loads: u32) -> bool {
    let expected = |route_move: &RouteMove| {
        if route_move.load <= loads { RouteLocation::Target } else { RouteLocation::Source }
    };
    let locations = locate_routes(config, route_moves);
    route_moves
        .iter()
        .zip(locations)
        .all(|(route_move, location)| location == RouteLocation::Missing || location == expected(route_move))
}

/// Derives from `base` the configuration, under `revision`, that has the first `loads` loads on the target.
pub fn with_loads_on_target(
    base: &str,
    route_moves: &[RouteMove],
    loads: u32,
    revision: u64,
) -> Result<String, ConfigError> {
    let mut value = values::parse(base)?;
    let new_shares: HashMap<_, _> = route_moves
        .iter()
        .map(|route_move| {
            let shares = if route_move.load <= loads { &route_move.to } else { &route_move.from };
            (key(&route_move.host, &route_move.path_prefix), shares)
        })
        .collect();
    if let JsonValue::Object(entries) = &mut value {
        entries.insert("revision".to_owned(), values::number(revision));
        if let Some(JsonValue::Array(routes)) = entries.get_mut("routes") {
            for route in routes {
                let place = values::get_str(route, "host").zip(values::get_str(route, "path_prefix"));
                let shares = place.and_then(|(host, prefix)| new_shares.get(&key(host, prefix)));
                if let Some(shares) = shares {
                    set_services(route, shares);
                }
            }
        }
    }
    let text = values::write(&value);
    // Checked like an operator's configuration: a record must not rely on a configuration that can't be
    // written.
    Config::parse(&text)?;
    Ok(text)
}
