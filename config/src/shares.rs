//! The services of a route and their weights, in whichever form they come.
//!
//! The operator's page speaks of the weights of a route, yet its example only has `"service":"x"`. So the likely
//! forms are all read: a list of objects, of pairs or of names, an object from name to weight, two lists.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::gather::Gather;
use crate::values::{self, list, number, object, string};
use crate::{ConfigError, JsonCursor};

/// Keys under which several services are looked for, before `service`.
const SPLITS: [&str; 8] =
    ["services", "weights", "targets", "split", "splits", "backends", "shares", "weighted_services"];
/// Keys of a service in a list.
const NAMES: [&str; 3] = ["service", "name", "to"];
/// Keys of its weight.
const WEIGHTS: [&str; 3] = ["weight", "share", "percent"];
/// What the largest weight becomes where some are fractions.
const SCALE: f64 = 1_000_000.0;

/// Reads the services of a route; none where something is wrong with them.
pub(crate) fn gather(route: &JsonCursor<'_>, faults: &mut Gather) -> Vec<(CompactString, u32)> {
    let names = route.optional("services").filter(|names| names.value().is_array());
    let weights = route.optional("weights").filter(|weights| weights.value().is_array());
    let before = faults.count();
    if let (Some(names), Some(weights)) = (&names, &weights) {
        let found = side_by_side(names, weights, faults);
        return ended(found, before, weights, faults);
    }
    if let Some(split) = SPLITS.iter().find_map(|key| route.optional(key).filter(|split| !is_empty(split))) {
        let found = several(&split, faults);
        return ended(found, before, &split, faults);
    }
    let Some(service) = faults.some(route.required("service")) else { return Vec::new() };
    let found = match service.value() {
        JsonValue::String(name) => vec![(name.as_str(), faults.get(route.non_negative_or("weight", 1.0)))],
        _ => several(&service, faults),
    };
    ended(found, before, &service, faults)
}

/// What was found, unless something was wrong with it.
fn ended(
    found: Vec<(&str, f64)>,
    before: usize,
    at: &JsonCursor<'_>,
    faults: &mut Gather,
) -> Vec<(CompactString, u32)> {
    if faults.count() > before { Vec::new() } else { faults.get(scaled(found, at)) }
}

/// The entry of a route, which reads back equal.
pub(crate) fn to_entry(shares: &[(CompactString, u32)]) -> (&'static str, JsonValue) {
    let share = |(name, weight): &(CompactString, u32)| {
        object([("service", string(name)), ("weight", number(u64::from(*weight)))])
    };
    match shares {
        [(name, 1)] => ("service", string(name)),
        shares => ("services", list(shares.iter().map(share))),
    }
}

/// Gives a route, as its operator wrote it, these services in place of those it had, in whichever form; all else of it stays.
pub fn set_services(route: &mut JsonValue, shares: &[(CompactString, u32)]) {
    let JsonValue::Object(entries) = route else { return };
    entries.retain(|key, _| !SPLITS.contains(&key.as_str()) && key != "service" && key != "weight");
    let (key, entry) = to_entry(shares);
    entries.insert(key.to_owned(), entry);
}

fn is_empty(at: &JsonCursor<'_>) -> bool {
    match at.value() {
        JsonValue::Array(items) => items.is_empty(),
        JsonValue::Object(object) => object.is_empty(),
        _ => false,
    }
}

fn side_by_side<'a>(
    names: &'a JsonCursor<'_>,
    weights: &JsonCursor<'_>,
    faults: &mut Gather,
) -> Vec<(&'a str, f64)> {
    let (Some(names), Some(amounts)) = (faults.some(names.items()), faults.some(weights.items())) else {
        return Vec::new();
    };
    if names.len() != amounts.len() {
        return faults.get(Err(weights.error("are not as many as services")));
    }
    names.zip(amounts).map(|(name, weight)| share(name_of(&name), weight.non_negative(), faults)).collect()
}

fn share<'a>(
    name: Result<&'a str, ConfigError>,
    weight: Result<f64, ConfigError>,
    faults: &mut Gather,
) -> (&'a str, f64) {
    (faults.get(name), faults.get(weight))
}

/// Out of a list, or out of an object from name to weight.
fn several<'a>(at: &'a JsonCursor<'_>, faults: &mut Gather) -> Vec<(&'a str, f64)> {
    if at.value().is_array() {
        let items = faults.some(at.items()).into_iter().flatten();
        return items.map(|item| share(name_of(&item), weight_of(&item), faults)).collect();
    }
    if NAMES.iter().any(|key| values::get_str(at.value(), key).is_some()) {
        return vec![share(name_of(at), weight_of(at), faults)];
    }
    let entries = faults.get(at.entries());
    let one = |(name, at): (&'a str, JsonCursor<'_>)| {
        let weight = if at.value().is_object() { weight_of(&at) } else { at.non_negative() };
        share(Ok(name), weight, faults)
    };
    entries.into_iter().map(one).collect()
}

fn name_of<'a>(item: &JsonCursor<'a>) -> Result<&'a str, ConfigError> {
    let named = match item.value() {
        JsonValue::String(name) => Some(name.as_str()),
        JsonValue::Array(pair) => match &pair[..] {
            [JsonValue::String(name), _] => Some(name.as_str()),
            _ => None,
        },
        object => NAMES.iter().find_map(|key| values::get_str(object, key)),
    };
    named.ok_or_else(|| item.error("names no service"))
}

fn weight_of(item: &JsonCursor<'_>) -> Result<f64, ConfigError> {
    if item.value().is_array() {
        return item.items()?.nth(1).map_or(Ok(1.0), |weight| weight.non_negative());
    }
    let weight = WEIGHTS.iter().find_map(|key| item.optional(key));
    weight.map_or(Ok(1.0), |weight| weight.non_negative())
}

/// Whole weights stay as they are; others are brought to whole ones, and none but 0 becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(found: Vec<(&str, f64)>, at: &JsonCursor<'_>) -> Result<Vec<(CompactString, u32)>, ConfigError> {
    let largest = found.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    if largest == 0.0 {
        return Err(at.error("has weights that sum to 0"));
    }
    let whole = largest <= f64::from(u32::MAX) && found.iter().all(|(_, weight)| weight.fract() == 0.0);
    let share = |(name, weight): (&str, f64)| {
        let weight = match whole {
            true => weight,
            false if weight == 0.0 => 0.0,
            false => (weight / largest * SCALE).round().max(1.0),
        };
        (CompactString::from(name), weight as u32)
    };
    Ok(found.into_iter().map(share).collect())
}
