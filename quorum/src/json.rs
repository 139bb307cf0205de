//! Decoding of JSON without a derive. Invariant: decoding never panics, and rejects input that is nested too
//! deeply or longer than its limit.
//!
//! Integers are encoded as decimal strings, since a JSON number of `tinyjson` is exact for 53 bits only.

use std::collections::HashMap;

use snafu::Snafu;
use tinyjson::JsonValue;

/// Why a JSON text or value could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// The text is not JSON.
    #[snafu(display("not JSON: {reason}"))]
    NotJson {
        /// The parser's error message.
        reason: String,
    },
    /// The text is nested deeper than any valid message or record.
    #[snafu(display("nested too deep"))]
    TooDeep,
    /// A field is missing.
    #[snafu(display("`{field}` is missing"))]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field has a value of the wrong type or outside its range.
    #[snafu(display("`{field}` is not {expected}"))]
    Wrong {
        /// The field.
        field: &'static str,
        /// The value that is expected there.
        expected: &'static str,
    },
}

pub(crate) fn wrong(field: &'static str, expected: &'static str) -> DecodeError {
    DecodeError::Wrong { field, expected }
}

/// Parses an untrusted text. The parser recurses once per nesting level, so the levels are counted
/// beforehand.
pub(crate) fn parse(text: &str) -> Result<JsonValue, DecodeError> {
    let (mut depth, mut quoted, mut escaped) = (0_u32, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'[' | b'{' if !quoted => depth += 1,
            b']' | b'}' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > 8 {
            return TooDeepSnafu.fail();
        }
    }
    text.parse().map_err(|error: tinyjson::JsonParseError| DecodeError::NotJson { reason: error.to_string() })
}

pub(crate) fn print(value: &JsonValue) -> String {
    // This fails only for numbers that are not finite, and no JSON numbers are written.
    value.stringify().unwrap_or_default()
}

pub(crate) fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

pub(crate) fn string(text: &str) -> JsonValue {
    JsonValue::String(text.to_owned())
}

/// Encodes an integer as a decimal string.
pub(crate) fn uint(number: u64) -> JsonValue {
    JsonValue::String(number.to_string())
}

pub(crate) fn or_null(value: Option<JsonValue>) -> JsonValue {
    value.unwrap_or(JsonValue::Null)
}

/// Reads a string of at most `max_len` bytes.
pub(crate) fn read_string<'a>(
    value: &'a JsonValue,
    field: &'static str,
    max_len: usize,
) -> Result<&'a str, DecodeError> {
    match value {
        JsonValue::String(text) if text.len() <= max_len => Ok(text),
        JsonValue::String(_) => Err(wrong(field, "short enough")),
        _ => Err(wrong(field, "text")),
    }
}

/// Reads an integer that is encoded as a decimal string.
pub(crate) fn read_uint(value: &JsonValue, field: &'static str) -> Result<u64, DecodeError> {
    let digits = read_string(value, field, 20)?;
    let only_digits = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| only_digits).ok_or_else(|| wrong(field, "a number as text"))
}

/// The fields of a JSON object.
#[derive(Clone, Copy)]
pub(crate) struct Object<'a>(&'a HashMap<String, JsonValue>);

impl<'a> Object<'a> {
    pub(crate) fn of(value: &'a JsonValue, field: &'static str) -> Result<Self, DecodeError> {
        match value {
            JsonValue::Object(fields) => Ok(Self(fields)),
            _ => Err(wrong(field, "an object")),
        }
    }

    pub(crate) fn required(self, field: &'static str) -> Result<&'a JsonValue, DecodeError> {
        self.0.get(field).ok_or(DecodeError::Missing { field })
    }

    /// Returns the value of a field, or `None` if the field is missing or null.
    pub(crate) fn optional(self, field: &'static str) -> Option<&'a JsonValue> {
        self.0.get(field).filter(|value| !matches!(value, JsonValue::Null))
    }

    pub(crate) fn string(self, field: &'static str, max_len: usize) -> Result<&'a str, DecodeError> {
        read_string(self.required(field)?, field, max_len)
    }

    pub(crate) fn uint(self, field: &'static str) -> Result<u64, DecodeError> {
        read_uint(self.required(field)?, field)
    }

    pub(crate) fn boolean(self, field: &'static str) -> Result<bool, DecodeError> {
        match self.required(field)? {
            JsonValue::Boolean(flag) => Ok(*flag),
            _ => Err(wrong(field, "true or false")),
        }
    }

    /// Reads a list of at most `max_len` items.
    pub(crate) fn list(self, field: &'static str, max_len: usize) -> Result<&'a [JsonValue], DecodeError> {
        match self.required(field)? {
            JsonValue::Array(items) if items.len() <= max_len => Ok(items),
            _ => Err(wrong(field, "a list that is short enough")),
        }
    }
}
