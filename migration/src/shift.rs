//! The configuration of a step, out of the one below it; and where a configuration has a tenant's routes. Invariant: what is made is the same
//! whoever makes it, and differs from its base in its revision and in the services of the tenant's routes only.

use std::collections::{HashMap, HashSet};

use millpost_config::routes::host_key;
use millpost_config::{Config, ConfigError, set_services, values};
use tinyjson::JsonValue;

use crate::record::{RouteMove, Share};

/// Where a configuration has a route of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// On the target.
    There,
    /// On the source.
    Here,
    /// It has no such route.
    Gone,
    /// On other services.
    Elsewhere,
}

fn same(one: &[Share], other: &[Share]) -> bool {
    one.len() == other.len() && one.iter().all(|share| other.contains(share))
}

fn key(host: &str, prefix: &str) -> (String, String) {
    (host_key(host).into_owned(), prefix.to_owned())
}

/// Where each route is.
#[must_use]
pub fn places(config: &Config, hauls: &[RouteMove]) -> Vec<Place> {
    // Tenants are small beside configurations, which this is asked of again and again.
    let of = |(at, haul): (usize, &RouteMove)| (key(&haul.host, &haul.path_prefix), at);
    let wanted: HashMap<_, _> = hauls.iter().enumerate().map(of).collect();
    let hosts: HashSet<_> = hauls.iter().map(|haul| host_key(&haul.host)).collect();
    let mut found = vec![Place::Gone; hauls.len()];
    for route in config.routes.iter().filter(|route| hosts.contains(&host_key(&route.host))) {
        if let Some(at) = wanted.get(&key(&route.host, &route.path_prefix)) {
            let haul = &hauls[*at];
            found[*at] = match &route.shares {
                shares if same(shares, &haul.to) => Place::There,
                shares if same(shares, &haul.from) => Place::Here,
                _ => Place::Elsewhere,
            };
        }
    }
    found
}

/// Whether a configuration has the first loads on the target and the others on the source; a route that is gone is where it should be.
#[must_use]
pub fn fits(config: &Config, hauls: &[RouteMove], loads: u32) -> bool {
    let meant = |haul: &RouteMove| if haul.load <= loads { Place::There } else { Place::Here };
    let places = places(config, hauls);
    hauls.iter().zip(places).all(|(haul, place)| place == Place::Gone || place == meant(haul))
}

/// The configuration that has the first loads on the target, out of the text of another.
pub fn shifted(base: &str, hauls: &[RouteMove], loads: u32, number: u64) -> Result<String, ConfigError> {
    let mut value = values::parse(base)?;
    let meant: HashMap<_, _> = hauls
        .iter()
        .map(|haul| {
            let shares = if haul.load <= loads { &haul.to } else { &haul.from };
            (key(&haul.host, &haul.path_prefix), shares)
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
