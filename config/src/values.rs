//! JSON texts into values and back: guarded when read, always the same when written.

use std::fmt::Write;

use tinyjson::JsonValue;

use crate::ConfigError;

/// The longest text that is read.
pub const MAX_BYTES: usize = 4 << 20;
/// The deepest nesting that is read: the reader calls itself for each level.
pub const MAX_DEPTH: usize = 32;
/// The most values that are read. A value takes far more memory than its text.
pub const MAX_VALUES: usize = 250_000;

/// Reads a text that may come from anywhere.
pub fn parse(text: &str) -> Result<JsonValue, ConfigError> {
    let refuse = |reason: String| ConfigError::Text { reason };
    if text.len() > MAX_BYTES {
        return Err(refuse(format!("{} bytes; at most {MAX_BYTES}", text.len())));
    }
    let (mut depth, mut values) = (0_usize, 0);
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'"' => skip_string(&mut bytes),
            b'[' | b'{' => (depth, values) = (depth + 1, values + 1),
            b']' | b'}' => depth = depth.saturating_sub(1),
            b',' => values += 1,
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(refuse(format!("nested deeper than {MAX_DEPTH}")));
        }
        if values > MAX_VALUES {
            return Err(refuse(format!("more than {MAX_VALUES} values")));
        }
    }
    text.parse().map_err(|fault: tinyjson::JsonParseError| refuse(fault.to_string()))
}

fn skip_string(bytes: &mut std::str::Bytes<'_>) {
    while let Some(byte) = bytes.next() {
        match byte {
            b'\\' => _ = bytes.next(),
            b'"' => return,
            _ => {}
        }
    }
}

/// Writes a value: keys in order, no spaces, so equal values give equal texts.
#[must_use]
pub fn write(value: &JsonValue) -> String {
    let mut out = String::new();
    write_to(&mut out, value);
    out
}

/// Writes a value behind what is there.
pub(crate) fn write_to(out: &mut String, value: &JsonValue) {
    match value {
        JsonValue::Null => out.push_str("null"),
        JsonValue::Boolean(flag) => out.push_str(if *flag { "true" } else { "false" }),
        // JSON knows no infinity.
        JsonValue::Number(number) if !number.is_finite() => out.push_str("null"),
        JsonValue::Number(number) => match to_uint(*number) {
            Some(number) => _ = write!(out, "{number}"),
            None => _ = write!(out, "{number}"),
        },
        JsonValue::String(text) => write_string(out, text),
        JsonValue::Array(items) => {
            out.push('[');
            for (number, item) in items.iter().enumerate() {
                out.push_str(if number == 0 { "" } else { "," });
                write_to(out, item);
            }
            out.push(']');
        }
        JsonValue::Object(object) => {
            let mut entries: Vec<_> = object.iter().collect();
            entries.sort_unstable_by_key(|(key, _)| *key);
            out.push('{');
            for (number, (key, item)) in entries.into_iter().enumerate() {
                out.push_str(if number == 0 { "" } else { "," });
                write_string(out, key);
                out.push(':');
                write_to(out, item);
            }
            out.push('}');
        }
    }
}

fn write_string(out: &mut String, text: &str) {
    out.push('"');
    for sign in text.chars() {
        match sign {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\0'..='\x1f' | '\x7f' => _ = write!(out, "\\u{:04x}", u32::from(sign)),
            _ => out.push(sign),
        }
    }
    out.push('"');
}

/// The number as a whole one from 0 to 2^53, the last up to which each whole number has its own value.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn to_uint(number: f64) -> Option<u64> {
    let fits = (0.0..=9_007_199_254_740_992.0).contains(&number) && number.fract() == 0.0;
    fits.then_some(number as u64)
}

/// A whole number as a value. Exact up to 2^53; hand larger ones over as strings.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn number(number: u64) -> JsonValue {
    JsonValue::Number(number as f64)
}

/// A string as a value.
#[must_use]
pub fn string(text: &str) -> JsonValue {
    JsonValue::String(text.to_owned())
}

/// An object with these entries.
#[must_use]
pub fn object<const N: usize>(entries: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

/// A list of these items.
#[must_use]
pub fn list(items: impl IntoIterator<Item = JsonValue>) -> JsonValue {
    JsonValue::Array(items.into_iter().collect())
}

/// What stands under a key of an object.
#[must_use]
pub fn get<'a>(value: &'a JsonValue, key: &str) -> Option<&'a JsonValue> {
    match value {
        JsonValue::Object(object) => object.get(key),
        _ => None,
    }
}

/// A string under a key.
#[must_use]
pub fn get_str<'a>(value: &'a JsonValue, key: &str) -> Option<&'a str> {
    match get(value, key)? {
        JsonValue::String(text) => Some(text),
        _ => None,
    }
}

/// A number under a key.
#[must_use]
pub fn get_f64(value: &JsonValue, key: &str) -> Option<f64> {
    match get(value, key)? {
        JsonValue::Number(number) if number.is_finite() => Some(*number),
        _ => None,
    }
}

/// A whole number from 0 to 2^53 under a key.
#[must_use]
pub fn get_u64(value: &JsonValue, key: &str) -> Option<u64> {
    to_uint(get_f64(value, key)?)
}

/// True or false under a key.
#[must_use]
pub fn get_bool(value: &JsonValue, key: &str) -> Option<bool> {
    match get(value, key)? {
        JsonValue::Boolean(flag) => Some(*flag),
        _ => None,
    }
}

/// A list under a key.
#[must_use]
pub fn get_list<'a>(value: &'a JsonValue, key: &str) -> Option<&'a [JsonValue]> {
    match get(value, key)? {
        JsonValue::Array(items) => Some(items),
        _ => None,
    }
}
