//! Reading JSON by hand; keeps: nothing that is read panics, nests deep or is longer than its limit.
//!
//! Numbers travel as decimal text, since a JSON number of `tinyjson` holds 53 bits only.

use std::collections::HashMap;

use snafu::Snafu;
use tinyjson::JsonValue;

/// FailureReason something is not in the form it should have.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// Not JSON at all.
    #[snafu(display("not JSON: {reason}"))]
    NotJson {
        /// What the parser found.
        reason: String,
    },
    /// Nested deeper than anything of ours.
    #[snafu(display("nested too deep"))]
    TooDeep,
    /// A field is not there.
    #[snafu(display("`{what}` is missing"))]
    Missing {
        /// The field.
        what: &'static str,
    },
    /// A field holds something else.
    #[snafu(display("`{what}` is not {wanted}"))]
    Wrong {
        /// The field.
        what: &'static str,
        /// What it should be.
        wanted: &'static str,
    },
}

pub(crate) fn wrong(what: &'static str, wanted: &'static str) -> DecodeError {
    DecodeError::Wrong { what, wanted }
}

/// Parse a text that may come from anywhere: the parser calls itself for each level, so levels are counted first.
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
    // Fails for numbers that are not finite only, and no number is written.
    value.stringify().unwrap_or_default()
}

pub(crate) fn object<const N: usize>(fields: [(&str, JsonValue); N]) -> JsonValue {
    JsonValue::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

pub(crate) fn word(text: &str) -> JsonValue {
    JsonValue::String(text.to_owned())
}

pub(crate) fn count(number: u64) -> JsonValue {
    JsonValue::String(number.to_string())
}

pub(crate) fn maybe(value: Option<JsonValue>) -> JsonValue {
    value.unwrap_or(JsonValue::Null)
}

pub(crate) fn text<'a>(
    value: &'a JsonValue,
    what: &'static str,
    most: usize,
) -> Result<&'a str, DecodeError> {
    match value {
        JsonValue::String(text) if text.len() <= most => Ok(text),
        JsonValue::String(_) => Err(wrong(what, "short enough")),
        _ => Err(wrong(what, "text")),
    }
}

pub(crate) fn number(value: &JsonValue, what: &'static str) -> Result<u64, DecodeError> {
    let digits = text(value, what, 20)?;
    let plain = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| plain).ok_or_else(|| wrong(what, "a number as text"))
}

/// The fields of an object.
#[derive(Clone, Copy)]
pub(crate) struct Form<'a>(&'a HashMap<String, JsonValue>);

impl<'a> Form<'a> {
    pub(crate) fn of(value: &'a JsonValue, what: &'static str) -> Result<Self, DecodeError> {
        match value {
            JsonValue::Object(fields) => Ok(Self(fields)),
            _ => Err(wrong(what, "an object")),
        }
    }

    pub(crate) fn get(self, what: &'static str) -> Result<&'a JsonValue, DecodeError> {
        self.0.get(what).ok_or(DecodeError::Missing { what })
    }

    pub(crate) fn maybe(self, what: &'static str) -> Option<&'a JsonValue> {
        self.0.get(what).filter(|value| !matches!(value, JsonValue::Null))
    }

    pub(crate) fn text(self, what: &'static str, most: usize) -> Result<&'a str, DecodeError> {
        text(self.get(what)?, what, most)
    }

    pub(crate) fn number(self, what: &'static str) -> Result<u64, DecodeError> {
        number(self.get(what)?, what)
    }

    pub(crate) fn flag(self, what: &'static str) -> Result<bool, DecodeError> {
        match self.get(what)? {
            JsonValue::Boolean(flag) => Ok(*flag),
            _ => Err(wrong(what, "true or false")),
        }
    }

    pub(crate) fn list(self, what: &'static str, most: usize) -> Result<&'a [JsonValue], DecodeError> {
        match self.get(what)? {
            JsonValue::Array(items) if items.len() <= most => Ok(items),
            _ => Err(wrong(what, "a list that is short enough")),
        }
    }
}
