//! The difference between two configurations, to be sent in place of a whole one.
//!
//! A change carries revision and digest of both, so that it only ever meets the configuration it was made for, and
//! what comes out is known to be what was meant.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use compact_str::CompactString;
use snafu::ensure;
use tinyjson::JsonValue;

use crate::fault::BaseMismatchSnafu;
use crate::values::{list, number, object, string};
use crate::{Config, ConfigError, JsonCursor, Limits, Route, Service};

/// The change from one configuration to another.
#[must_use]
pub fn diff(old: &Config, new: &Config) -> JsonValue {
    let pair = |(host, prefix): &(CompactString, CompactString)| list([string(host), string(prefix)]);
    object([
        ("from", state(old)),
        ("to", state(new)),
        ("routes", parts(&old.routes, &new.routes, key, Route::to_value, pair)),
        (
            "services",
            parts(
                &old.services,
                &new.services,
                |service| service.name.clone(),
                Service::to_value,
                |name| string(name),
            ),
        ),
        ("limits", new.limits.to_value()),
    ])
}

/// Makes the new configuration out of the old one and a change.
pub fn apply(config: &Config, change: &JsonValue) -> Result<Config, ConfigError> {
    let at = JsonCursor::root(change);
    meets(config, &at.required("from")?)?;
    let mut next = config.clone();
    next.revision = at.required("to")?.required("revision")?.uint()?;
    next.limits = Limits::read(&at.required("limits")?)?;

    let routes = at.required("routes")?;
    let gone = routes
        .required("removed")?
        .items()?
        .map(|at| removed_route(&at))
        .collect::<Result<HashSet<_>, _>>()?;
    next.routes.retain(|route| !gone.contains(&key(route)));
    let put = routes.required("put")?.items()?.map(|at| Route::read(&at)).collect::<Result<Vec<_>, _>>()?;
    replace(&mut next.routes, put, key);

    let services = at.required("services")?;
    let gone = services.required("removed")?;
    let gone = gone.items()?.map(|at| at.str()).collect::<Result<HashSet<_>, _>>()?;
    next.services.retain(|service| !gone.contains(service.name.as_str()));
    let put =
        services.required("put")?.items()?.map(|at| Service::read(&at)).collect::<Result<Vec<_>, _>>()?;
    replace(&mut next.services, put, |service| service.name.clone());

    next.check()?;
    meets(&next, &at.required("to")?)?;
    Ok(next)
}

/// What tells a configuration from others.
fn state(config: &Config) -> JsonValue {
    object([("revision", number(config.revision)), ("digest", string(&digest(config)))])
}

/// As text: a number in JSON only holds 53 bits.
fn digest(config: &Config) -> String {
    format!("{:016x}", config.digest())
}

fn meets(config: &Config, state: &JsonCursor<'_>) -> Result<(), ConfigError> {
    let wanted = format!("{} {}", state.required("revision")?.uint()?, state.required("digest")?.str()?);
    let held = format!("{} {}", config.revision, digest(config));
    ensure!(wanted == held, BaseMismatchSnafu { wanted, held });
    Ok(())
}

fn key(route: &Route) -> (CompactString, CompactString) {
    (route.host.clone(), route.path_prefix.clone())
}

fn removed_route(at: &JsonCursor<'_>) -> Result<(CompactString, CompactString), ConfigError> {
    let names =
        at.items()?.map(|at| Ok(at.str()?.into())).collect::<Result<Vec<CompactString>, ConfigError>>()?;
    let [host, prefix] = <[_; 2]>::try_from(names).map_err(|_| at.error("is not a host and a prefix"))?;
    Ok((host, prefix))
}

/// What is put and what is removed.
fn parts<T: PartialEq, K: Hash + Ord>(
    old: &[T],
    new: &[T],
    key: impl Fn(&T) -> K,
    item: impl Fn(&T) -> JsonValue,
    name: impl Fn(&K) -> JsonValue,
) -> JsonValue {
    let keyed = |items: &'_ [T]| items.iter().map(&key).collect::<Vec<_>>();
    let (old_keys, new_keys) = (keyed(old), keyed(new));
    let held: HashMap<&K, &T> = old_keys.iter().zip(old).collect();
    let kept: HashSet<&K> = new_keys.iter().collect();
    let put = new_keys.iter().zip(new).filter(|(key, value)| held.get(key) != Some(value));
    let removed = old_keys.iter().filter(|key| !kept.contains(key));
    object([("put", list(put.map(|(_, value)| item(value)))), ("removed", list(removed.map(name)))])
}

/// Puts each item in the place of the one with its key, or at the end.
fn replace<K: Hash + Eq, T>(items: &mut Vec<T>, put: Vec<T>, key: impl Fn(&T) -> K) {
    let places: HashMap<K, usize> =
        items.iter().enumerate().map(|(place, item)| (key(item), place)).collect();
    for item in put {
        match places.get(&key(&item)) {
            Some(place) => items[*place] = item,
            None => items.push(item),
        }
    }
}
