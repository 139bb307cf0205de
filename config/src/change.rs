//! The difference between two configurations, sent instead of a complete one.
//!
//! A change carries the revision and digest of both configurations. It is applied only to the configuration
//! it was made for, and the result is verified to be the intended one.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use compact_str::CompactString;
use snafu::ensure;
use tinyjson::JsonValue;

use crate::error::BaseMismatchSnafu;
use crate::values::{list, number, object, string};
use crate::{Config, ConfigError, JsonCursor, Limits, Route, Service};

/// Returns the change from one configuration to another.
#[must_use]
pub fn diff(old: &Config, new: &Config) -> JsonValue {
    let pair = |(host, prefix): &(CompactString, CompactString)| list([string(host), string(prefix)]);
    object([
        ("from", identity(old)),
        ("to", identity(new)),
        ("routes", diff_items(&old.routes, &new.routes, key, Route::to_value, pair)),
        (
            "services",
            diff_items(
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

/// Applies a change to a configuration and returns the new one.
pub fn apply(config: &Config, change: &JsonValue) -> Result<Config, ConfigError> {
    let at = JsonCursor::root(change);
    check_identity(config, &at.required("from")?)?;
    let mut next = config.clone();
    next.revision = at.required("to")?.required("revision")?.uint()?;
    next.limits = Limits::read(&at.required("limits")?)?;

    let routes = at.required("routes")?;
    let removed = routes
        .required("removed")?
        .items()?
        .map(|at| removed_route(&at))
        .collect::<Result<HashSet<_>, _>>()?;
    next.routes.retain(|route| !removed.contains(&key(route)));
    let put = routes.required("put")?.items()?.map(|at| Route::read(&at)).collect::<Result<Vec<_>, _>>()?;
    put_items(&mut next.routes, put, key);

    let services = at.required("services")?;
    let removed = services.required("removed")?;
    let removed = removed.items()?.map(|at| at.str()).collect::<Result<HashSet<_>, _>>()?;
    next.services.retain(|service| !removed.contains(service.name.as_str()));
    let put =
        services.required("put")?.items()?.map(|at| Service::read(&at)).collect::<Result<Vec<_>, _>>()?;
    put_items(&mut next.services, put, |service| service.name.clone());

    next.check()?;
    check_identity(&next, &at.required("to")?)?;
    Ok(next)
}

/// Returns the revision and digest that identify a configuration.
fn identity(config: &Config) -> JsonValue {
    object([("revision", number(config.revision)), ("digest", string(&digest(config)))])
}

/// The digest as text, since a JSON number is exact for 53 bits only.
fn digest(config: &Config) -> String {
    format!("{:016x}", config.digest())
}

fn check_identity(config: &Config, identity: &JsonCursor<'_>) -> Result<(), ConfigError> {
    let expected =
        format!("{} {}", identity.required("revision")?.uint()?, identity.required("digest")?.str()?);
    let actual = format!("{} {}", config.revision, digest(config));
    ensure!(expected == actual, BaseMismatchSnafu { expected, actual });
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

/// Returns the items to put and the keys to remove.
fn diff_items<T: PartialEq, K: Hash + Ord>(
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

/// Replaces the items with the same keys, and appends the others.
fn put_items<K: Hash + Eq, T>(items: &mut Vec<T>, put: Vec<T>, key: impl Fn(&T) -> K) {
    let positions: HashMap<K, usize> =
        items.iter().enumerate().map(|(index, item)| (key(item), index)).collect();
    for item in put {
        match positions.get(&key(&item)) {
            Some(index) => items[*index] = item,
            None => items.push(item),
        }
    }
}
