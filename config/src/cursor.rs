//! A cursor into JSON values that tracks the path, so that each error names the key and the reason.

use std::fmt;
use std::str::FromStr;

use tinyjson::JsonValue;

use crate::ConfigError;
use crate::values::to_uint;

/// A value and its path from the root.
#[derive(Clone, Copy)]
pub struct JsonCursor<'a> {
    value: &'a JsonValue,
    step: Step<'a>,
}

#[derive(Clone, Copy)]
enum Step<'a> {
    Root,
    Key(&'a JsonCursor<'a>, &'a str),
    Item(&'a JsonCursor<'a>, usize),
}

impl fmt::Display for JsonCursor<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.step {
            Step::Root => Ok(()),
            Step::Key(JsonCursor { step: Step::Root, .. }, key) => f.write_str(key),
            Step::Key(parent, key) => write!(f, "{parent}.{key}"),
            Step::Item(parent, index) => write!(f, "{parent}[{index}]"),
        }
    }
}

impl<'a> JsonCursor<'a> {
    /// Creates a cursor at the root value.
    #[must_use]
    pub fn root(value: &'a JsonValue) -> Self {
        Self { value, step: Step::Root }
    }

    /// Returns the value.
    #[must_use]
    pub fn value(&self) -> &'a JsonValue {
        self.value
    }

    /// Returns an error at this path.
    #[must_use]
    pub fn error(&self, reason: impl Into<String>) -> ConfigError {
        let path = match self.step {
            Step::Root => "the whole".to_owned(),
            _ => self.to_string(),
        };
        ConfigError::Field { path, reason: reason.into() }
    }

    /// Returns the value of a key. Null counts as missing.
    #[must_use]
    pub fn optional<'b>(&'b self, key: &'b str) -> Option<JsonCursor<'b>> {
        let JsonValue::Object(object) = self.value else { return None };
        let value = object.get(key).filter(|value| !value.is_null())?;
        Some(JsonCursor { value, step: Step::Key(self, key) })
    }

    /// Returns the value of a required key.
    pub fn required<'b>(&'b self, key: &'b str) -> Result<JsonCursor<'b>, ConfigError> {
        self.object()?;
        let missing = || JsonCursor { value: self.value, step: Step::Key(self, key) }.error("is missing");
        self.optional(key).ok_or_else(missing)
    }

    /// Checks that this is an object.
    pub fn object(&self) -> Result<(), ConfigError> {
        if self.value.is_object() { Ok(()) } else { Err(self.error("is not an object")) }
    }

    /// Reads a string.
    pub fn str(&self) -> Result<&'a str, ConfigError> {
        match self.value {
            JsonValue::String(text) => Ok(text),
            _ => Err(self.error("is not a string")),
        }
    }

    /// Reads a finite number.
    pub fn number(&self) -> Result<f64, ConfigError> {
        match self.value {
            JsonValue::Number(number) if number.is_finite() => Ok(*number),
            _ => Err(self.error("is not a number")),
        }
    }

    /// Reads a finite number that is at least 0.
    pub fn non_negative(&self) -> Result<f64, ConfigError> {
        let number = self.number()?;
        if number >= 0.0 { Ok(number) } else { Err(self.error(format!("is {number}; at least 0"))) }
    }

    /// Reads an integer from 0 to 2^53.
    pub fn uint(&self) -> Result<u64, ConfigError> {
        let number = self.number()?;
        to_uint(number)
            .ok_or_else(|| self.error(format!("is {number}; a whole number from 0 to 2^53 is needed")))
    }

    /// Reads an integer; values above `u32::MAX` are clamped to it.
    pub fn saturating_u32(&self) -> Result<u32, ConfigError> {
        Ok(u32::try_from(self.uint()?).unwrap_or(u32::MAX))
    }

    /// Reads a boolean.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.value {
            JsonValue::Boolean(flag) => Ok(*flag),
            _ => Err(self.error("is neither true nor false")),
        }
    }

    /// Parses a string, for example as an address. `what` describes the expected value in the error.
    pub fn parse_as<T: FromStr>(&self, what: &str) -> Result<T, ConfigError> {
        let text = self.str()?;
        text.parse().map_err(|_| self.error(format!("is {text:?}; {what} is needed")))
    }

    /// Returns the items of a list.
    pub fn items<'b>(&'b self) -> Result<impl ExactSizeIterator<Item = JsonCursor<'b>>, ConfigError> {
        let JsonValue::Array(items) = self.value else { return Err(self.error("is not a list")) };
        let item = move |(index, value)| JsonCursor { value, step: Step::Item(self, index) };
        Ok(items.iter().enumerate().map(item))
    }

    /// Returns the entries of an object in the order of their keys. Null entries count as missing.
    pub fn entries<'b>(&'b self) -> Result<Vec<(&'b str, JsonCursor<'b>)>, ConfigError> {
        let JsonValue::Object(object) = self.value else { return Err(self.error("is not an object")) };
        let mut entries: Vec<_> = object
            .iter()
            .filter(|(_, value)| !value.is_null())
            .map(|(key, value)| (key.as_str(), JsonCursor { value, step: Step::Key(self, key) }))
            .collect();
        entries.sort_unstable_by_key(|(key, _)| *key);
        Ok(entries)
    }

    /// Reads the string at a key, or returns the default if the key is missing.
    pub fn str_or<'b>(&'b self, key: &'b str, default: &'b str) -> Result<&'b str, ConfigError> {
        self.optional(key).map_or(Ok(default), |at| at.str())
    }

    /// Reads the integer at a key, or returns the default if the key is missing.
    pub fn uint_or(&self, key: &str, default: u64) -> Result<u64, ConfigError> {
        self.optional(key).map_or(Ok(default), |at| at.uint())
    }

    /// Reads the clamped integer at a key, or returns the default if the key is missing.
    pub fn saturating_u32_or(&self, key: &str, default: u32) -> Result<u32, ConfigError> {
        self.optional(key).map_or(Ok(default), |at| at.saturating_u32())
    }

    /// Reads the non-negative number at a key, or returns the default if the key is missing.
    pub fn non_negative_or(&self, key: &str, default: f64) -> Result<f64, ConfigError> {
        self.optional(key).map_or(Ok(default), |at| at.non_negative())
    }

    /// Reads the boolean at a key, or returns the default if the key is missing.
    pub fn boolean_or(&self, key: &str, default: bool) -> Result<bool, ConfigError> {
        self.optional(key).map_or(Ok(default), |at| at.boolean())
    }
}
