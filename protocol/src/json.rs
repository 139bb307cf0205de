//! Reading and making of `tinyjson` values.

use std::collections::HashMap;

use compact_str::CompactString;
use snafu::Snafu;
use tinyjson::JsonValue;

/// What is wrong with a note.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(display("{key}: {reason}"))]
pub struct Fault {
    /// The key it is about.
    pub key: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

pub(crate) fn fault(key: &str, reason: &'static str) -> Fault {
    Fault { key: key.to_owned(), reason }
}

/// Texts longer than this are no names of ours.
const LONGEST: usize = 1_024;

/// An object from its parts; parts that are null are left out.
pub fn object<const N: usize>(parts: [(&str, JsonValue); N]) -> JsonValue {
    let parts = parts.into_iter().filter(|(_, v)| !matches!(v, JsonValue::Null));
    JsonValue::Object(parts.map(|(k, v)| (k.to_owned(), v)).collect())
}

/// A text value.
pub fn text(value: &str) -> JsonValue {
    JsonValue::String(value.to_owned())
}

/// The value under a key.
pub(crate) fn get<'a>(from: &'a HashMap<String, JsonValue>, key: &str) -> Result<&'a JsonValue, Fault> {
    from.get(key).ok_or_else(|| fault(key, "missing"))
}

/// The text under a key.
pub fn string(from: &HashMap<String, JsonValue>, key: &str) -> Result<CompactString, Fault> {
    match get(from, key)? {
        JsonValue::String(s) if s.len() <= LONGEST => Ok(s.as_str().into()),
        JsonValue::String(_) => Err(fault(key, "too long")),
        _ => Err(fault(key, "no text")),
    }
}

/// The number under a key.
pub fn number(from: &HashMap<String, JsonValue>, key: &str) -> Result<f64, Fault> {
    match get(from, key)? {
        JsonValue::Number(n) if n.is_finite() => Ok(*n),
        _ => Err(fault(key, "no number")),
    }
}

/// The whole number under a key.
pub fn whole(from: &HashMap<String, JsonValue>, key: &str) -> Result<u64, Fault> {
    let n = number(from, key)?;
    let exact = (0.0..=9_007_199_254_740_992.0).contains(&n) && n.fract() == 0.0;
    if exact { Ok(n as u64) } else { Err(fault(key, "no whole number")) }
}

/// The list under a key; none where it is left out.
pub fn list<'a>(from: &'a HashMap<String, JsonValue>, key: &str) -> Result<&'a [JsonValue], Fault> {
    match from.get(key) {
        None => Ok(&[]),
        Some(JsonValue::Array(all)) => Ok(all),
        Some(_) => Err(fault(key, "no list")),
    }
}
