//! Helpers to build and read `tinyjson` values.

use std::collections::HashMap;

use compact_str::CompactString;
use snafu::Snafu;
use tinyjson::JsonValue;

/// Why a JSON value was rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{key}: {reason}"))]
pub struct Fault {
    /// Key of the rejected value.
    pub key: String,
    /// Why it was rejected.
    pub reason: &'static str,
}

pub(crate) fn fault(key: &str, reason: &'static str) -> Fault {
    Fault { key: key.to_owned(), reason }
}

/// Maximum length in bytes of a string; no valid name is longer.
const MAX_STRING_LEN: usize = 1_024;

/// Builds an object from key-value pairs; null values are omitted.
pub fn object<const N: usize>(entries: [(&str, JsonValue); N]) -> JsonValue {
    let entries = entries.into_iter().filter(|(_, v)| !matches!(v, JsonValue::Null));
    JsonValue::Object(entries.map(|(k, v)| (k.to_owned(), v)).collect())
}

/// Builds a string value.
pub fn text(value: &str) -> JsonValue {
    JsonValue::String(value.to_owned())
}

/// Returns the value of a required key.
pub(crate) fn get<'a>(from: &'a HashMap<String, JsonValue>, key: &str) -> Result<&'a JsonValue, Fault> {
    from.get(key).ok_or_else(|| fault(key, "missing"))
}

/// Returns the string under a required key, at most 1,024 bytes long.
pub fn string(from: &HashMap<String, JsonValue>, key: &str) -> Result<CompactString, Fault> {
    match get(from, key)? {
        JsonValue::String(s) if s.len() <= MAX_STRING_LEN => Ok(s.as_str().into()),
        JsonValue::String(_) => Err(fault(key, "too long")),
        _ => Err(fault(key, "no text")),
    }
}

/// Returns the finite number under a required key.
pub fn number(from: &HashMap<String, JsonValue>, key: &str) -> Result<f64, Fault> {
    match get(from, key)? {
        JsonValue::Number(n) if n.is_finite() => Ok(*n),
        _ => Err(fault(key, "no number")),
    }
}

/// Returns the non-negative integer under a required key, up to 2^53.
pub fn whole(from: &HashMap<String, JsonValue>, key: &str) -> Result<u64, Fault> {
    let n = number(from, key)?;
    let exact = (0.0..=9_007_199_254_740_992.0).contains(&n) && n.fract() == 0.0;
    if exact { Ok(n as u64) } else { Err(fault(key, "no whole number")) }
}

/// Returns the array under a key, or an empty slice if the key is absent.
pub fn list<'a>(from: &'a HashMap<String, JsonValue>, key: &str) -> Result<&'a [JsonValue], Fault> {
    match from.get(key) {
        None => Ok(&[]),
        Some(JsonValue::Array(all)) => Ok(all),
        Some(_) => Err(fault(key, "no list")),
    }
}
