//! The services of a route and their weights, in all supported forms.
//!
//! The operator's specification mentions weights of a route, but its example has only `"service":"x"`.
//! Therefore all likely forms are accepted: a list of objects, of pairs or of names, an object from name to
//! weight, and two lists.

use compact_str::CompactString;
use tinyjson::JsonValue;

use crate::error_collector::ErrorCollector;
use crate::values::{self, list, number, object, string};
use crate::{ConfigError, JsonCursor};

/// Keys that may hold several services; they take precedence over `service`.
const SPLIT_KEYS: [&str; 8] =
    ["services", "weights", "targets", "split", "splits", "backends", "shares", "weighted_services"];
/// Keys of the name of a service in a list.
const NAME_KEYS: [&str; 3] = ["service", "name", "to"];
/// Keys of the weight of a service in a list.
const WEIGHT_KEYS: [&str; 3] = ["weight", "share", "percent"];
/// The largest weight after scaling, if some weights are fractions.
const MAX_SCALED_WEIGHT: f64 = 1_000_000.0;

/// Reads the services of a route. Returns an empty list if there are errors.
pub(crate) fn read_collecting(
    route: &JsonCursor<'_>,
    errors: &mut ErrorCollector,
) -> Vec<(CompactString, u32)> {
    let names = route.optional("services").filter(|names| names.value().is_array());
    let weights = route.optional("weights").filter(|weights| weights.value().is_array());
    let errors_before = errors.count();
    if let (Some(names), Some(weights)) = (&names, &weights) {
        let found = read_two_lists(names, weights, errors);
        return scaled_if_valid(found, errors_before, weights, errors);
    }
    if let Some(split) =
        SPLIT_KEYS.iter().find_map(|key| route.optional(key).filter(|split| !is_empty(split)))
    {
        let found = read_services(&split, errors);
        return scaled_if_valid(found, errors_before, &split, errors);
    }
    let Some(service) = errors.ok(route.required("service")) else { return Vec::new() };
    let found = match service.value() {
        JsonValue::String(name) => {
            vec![(name.as_str(), errors.value_or_default(route.non_negative_or("weight", 1.0)))]
        }
        _ => read_services(&service, errors),
    };
    scaled_if_valid(found, errors_before, &service, errors)
}

/// Returns the scaled weights, or an empty list if there were errors.
fn scaled_if_valid(
    found: Vec<(&str, f64)>,
    errors_before: usize,
    at: &JsonCursor<'_>,
    errors: &mut ErrorCollector,
) -> Vec<(CompactString, u32)> {
    if errors.count() > errors_before { Vec::new() } else { errors.value_or_default(scaled(found, at)) }
}

/// Returns the entry for the services of a route, which reads back as equal services.
pub(crate) fn to_entry(shares: &[(CompactString, u32)]) -> (&'static str, JsonValue) {
    let share = |(name, weight): &(CompactString, u32)| {
        object([("service", string(name)), ("weight", number(u64::from(*weight)))])
    };
    match shares {
        [(name, 1)] => ("service", string(name)),
        shares => ("services", list(shares.iter().map(share))),
    }
}

/// Replaces the services of a route in the operator's JSON, in whichever form they are given. All other
/// fields are kept.
pub fn set_services(route: &mut JsonValue, shares: &[(CompactString, u32)]) {
    let JsonValue::Object(entries) = route else { return };
    entries.retain(|key, _| !SPLIT_KEYS.contains(&key.as_str()) && key != "service" && key != "weight");
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

fn read_two_lists<'a>(
    names: &'a JsonCursor<'_>,
    weights: &JsonCursor<'_>,
    errors: &mut ErrorCollector,
) -> Vec<(&'a str, f64)> {
    let (Some(names), Some(amounts)) = (errors.ok(names.items()), errors.ok(weights.items())) else {
        return Vec::new();
    };
    if names.len() != amounts.len() {
        return errors.value_or_default(Err(weights.error("are not as many as services")));
    }
    names.zip(amounts).map(|(name, weight)| share(name_of(&name), weight.non_negative(), errors)).collect()
}

fn share<'a>(
    name: Result<&'a str, ConfigError>,
    weight: Result<f64, ConfigError>,
    errors: &mut ErrorCollector,
) -> (&'a str, f64) {
    (errors.value_or_default(name), errors.value_or_default(weight))
}

/// Reads services from a list, or from an object from name to weight.
fn read_services<'a>(at: &'a JsonCursor<'_>, errors: &mut ErrorCollector) -> Vec<(&'a str, f64)> {
    if at.value().is_array() {
        let items = errors.ok(at.items()).into_iter().flatten();
        return items.map(|item| share(name_of(&item), weight_of(&item), errors)).collect();
    }
    if NAME_KEYS.iter().any(|key| values::get_str(at.value(), key).is_some()) {
        return vec![share(name_of(at), weight_of(at), errors)];
    }
    let entries = errors.value_or_default(at.entries());
    let one = |(name, at): (&'a str, JsonCursor<'_>)| {
        let weight = if at.value().is_object() { weight_of(&at) } else { at.non_negative() };
        share(Ok(name), weight, errors)
    };
    entries.into_iter().map(one).collect()
}

fn name_of<'a>(item: &JsonCursor<'a>) -> Result<&'a str, ConfigError> {
    let name = match item.value() {
        JsonValue::String(name) => Some(name.as_str()),
        JsonValue::Array(pair) => match &pair[..] {
            [JsonValue::String(name), _] => Some(name.as_str()),
            _ => None,
        },
        object => NAME_KEYS.iter().find_map(|key| values::get_str(object, key)),
    };
    name.ok_or_else(|| item.error("names no service"))
}

fn weight_of(item: &JsonCursor<'_>) -> Result<f64, ConfigError> {
    if item.value().is_array() {
        return item.items()?.nth(1).map_or(Ok(1.0), |weight| weight.non_negative());
    }
    let weight = WEIGHT_KEYS.iter().find_map(|key| item.optional(key));
    weight.map_or(Ok(1.0), |weight| weight.non_negative())
}

/// Keeps integer weights as they are and scales others to integers. Only a weight of 0 becomes 0.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(found: Vec<(&str, f64)>, at: &JsonCursor<'_>) -> Result<Vec<(CompactString, u32)>, ConfigError> {
    let largest = found.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    if largest == 0.0 {
        return Err(at.error("has weights that sum to 0"));
    }
    let all_integers =
        largest <= f64::from(u32::MAX) && found.iter().all(|(_, weight)| weight.fract() == 0.0);
    let share = |(name, weight): (&str, f64)| {
        let weight = match all_integers {
            true => weight,
            false if weight == 0.0 => 0.0,
            false => (weight / largest * MAX_SCALED_WEIGHT).round().max(1.0),
        };
        (CompactString::from(name), weight as u32)
    };
    Ok(found.into_iter().map(share).collect())
}
