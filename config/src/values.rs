//! Parsing and printing of JSON. Parsing is limited in size and depth; printing is deterministic.

use std::fmt::Write;

use tinyjson::JsonValue;

use crate::ConfigError;

/// Maximum length of a parsed text, in bytes.
pub const MAX_BYTES: usize = 4 << 20;
/// Maximum nesting of a parsed text: the parser recurses once per level.
pub const MAX_DEPTH: usize = 32;
/// Maximum number of values in a parsed text. A value needs far more memory than its text.
pub const MAX_VALUES: usize = 250_000;

/// Parses an untrusted text.
pub fn parse(text: &str) -> Result<JsonValue, ConfigError> {
    let text_error = |reason: String| ConfigError::Text { reason };
    if text.len() > MAX_BYTES {
        return Err(text_error(format!("{} bytes; at most {MAX_BYTES}", text.len())));
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
            return Err(text_error(format!("nested deeper than {MAX_DEPTH}")));
        }
        if values > MAX_VALUES {
            return Err(text_error(format!("more than {MAX_VALUES} values")));
        }
    }
    text.parse().map_err(|error: tinyjson::JsonParseError| text_error(error.to_string()))
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

/// Prints a value with sorted keys and without spaces, so that equal values give equal texts.
#[must_use]
pub fn write(value: &JsonValue) -> String {
    let mut out = String::new();
    write_to(&mut out, value);
    out
}

/// Appends a value to a text.
pub(crate) fn write_to(out: &mut String, value: &JsonValue) {
    match value {
        JsonValue::Null => out.push_str("null"),
        JsonValue::Boolean(flag) => out.push_str(if *flag { "true" } else { "false" }),
        // JSON has no infinity and no NaN.
        JsonValue::Number(number) if !number.is_finite() => out.push_str("null"),
        JsonValue::Number(number) => match to_uint(*number) {
            Some(number) => _ = write!(out, "{number}"),
            None => _ = write!(out, "{number}"),
        },
        JsonValue::String(text) => write_string(out, text),
        JsonValue::Array(items) => {
            out.push('[');
            for (index, item) in items.iter().enumerate() {
                out.push_str(if index == 0 { "" } else { "," });
                write_to(out, item);
            }
            out.push(']');
        }
        JsonValue::Object(object) => {
            let mut entries: Vec<_> = object.iter().collect();
            entries.sort_unstable_by_key(|(key, _)| *key);
            out.push('{');
            for (index, (key, item)) in entries.into_iter().enumerate() {
                out.push_str(if index == 0 { "" } else { "," });
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
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\0'..='\x1f' | '\x7f' => _ = write!(out, "\\u{:04x}", u32::from(char)),
            _ => out.push(char),
        }
    }
    out.push('"');
}

/// Converts a number to an integer if it is one from 0 to 2^53, the largest up to which `f64` represents
/// every integer exactly.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn to_uint(number: f64) -> Option<u64> {
    let fits = (0.0..=9_007_199_254_740_992.0).contains(&number) && number.fract() == 0.0;
    fits.then_some(number as u64)
}

/// Returns an integer as a value. It is exact up to 2^53; pass larger ones as strings.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn number(number: u64) -> JsonValue {
    JsonValue::Number(number as f64)
}

/// Returns a string as a value.
#[must_use]
pub fn string(text: &str) -> JsonValue {
    JsonValue::String(text.to_owned())
}

/// Returns an object with these entries.
#[must_use]
pub fn object<const N: usize>(entries: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

/// Returns a list of these items.
#[must_use]
pub fn list(items: impl IntoIterator<Item = JsonValue>) -> JsonValue {
    JsonValue::Array(items.into_iter().collect())
}

/// Returns the value of a key, or `None` if there is none or `value` is not an object.
#[must_use]
pub fn get<'a>(value: &'a JsonValue, key: &str) -> Option<&'a JsonValue> {
    match value {
        JsonValue::Object(object) => object.get(key),
        _ => None,
    }
}

/// Returns the string at a key.
#[must_use]
pub fn get_str<'a>(value: &'a JsonValue, key: &str) -> Option<&'a str> {
    match get(value, key)? {
        JsonValue::String(text) => Some(text),
        _ => None,
    }
}

/// Returns the finite number at a key.
#[must_use]
pub fn get_f64(value: &JsonValue, key: &str) -> Option<f64> {
    match get(value, key)? {
        JsonValue::Number(number) if number.is_finite() => Some(*number),
        _ => None,
    }
}

/// Returns the integer from 0 to 2^53 at a key.
#[must_use]
pub fn get_u64(value: &JsonValue, key: &str) -> Option<u64> {
    to_uint(get_f64(value, key)?)
}

/// Returns the boolean at a key.
#[must_use]
pub fn get_bool(value: &JsonValue, key: &str) -> Option<bool> {
    match get(value, key)? {
        JsonValue::Boolean(flag) => Some(*flag),
        _ => None,
    }
}

/// Returns the list at a key.
#[must_use]
pub fn get_list<'a>(value: &'a JsonValue, key: &str) -> Option<&'a [JsonValue]> {
    match get(value, key)? {
        JsonValue::Array(items) => Some(items),
        _ => None,
    }
}
