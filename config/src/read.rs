//! Walks through JSON values and knows the path, so that each fault names key and reason.

use std::fmt;
use std::str::FromStr;

use tinyjson::JsonValue;

use crate::ConfigError;
use crate::values::to_uint;

/// A value and the way to it from the outermost one.
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
            Step::Key(up, key) => write!(f, "{up}.{key}"),
            Step::Item(up, number) => write!(f, "{up}[{number}]"),
        }
    }
}

impl<'a> JsonCursor<'a> {
    /// The outermost value.
    #[must_use]
    pub fn root(value: &'a JsonValue) -> Self {
        Self { value, step: Step::Root }
    }

    /// The value itself.
    #[must_use]
    pub fn value(&self) -> &'a JsonValue {
        self.value
    }

    /// A fault at this place.
    #[must_use]
    pub fn error(&self, reason: impl Into<String>) -> ConfigError {
        let path = match self.step {
            Step::Root => "the whole".to_owned(),
            _ => self.to_string(),
        };
        ConfigError::Field { path, reason: reason.into() }
    }

    /// What stands under a key. A null counts as left out.
    #[must_use]
    pub fn optional<'b>(&'b self, key: &'b str) -> Option<JsonCursor<'b>> {
        let JsonValue::Object(object) = self.value else { return None };
        let value = object.get(key).filter(|value| !value.is_null())?;
        Some(JsonCursor { value, step: Step::Key(self, key) })
    }

    /// What stands under a key that must be there.
    pub fn required<'b>(&'b self, key: &'b str) -> Result<JsonCursor<'b>, ConfigError> {
        self.object()?;
        let missing = || JsonCursor { value: self.value, step: Step::Key(self, key) }.error("is missing");
        self.optional(key).ok_or_else(missing)
    }

    /// Checks that this is an object.
    pub fn object(&self) -> Result<(), ConfigError> {
        if self.value.is_object() { Ok(()) } else { Err(self.error("is not an object")) }
    }

    /// A string.
    pub fn str(&self) -> Result<&'a str, ConfigError> {
        match self.value {
            JsonValue::String(text) => Ok(text),
            _ => Err(self.error("is not a string")),
        }
    }

    /// A finite number.
    pub fn number(&self) -> Result<f64, ConfigError> {
        match self.value {
            JsonValue::Number(number) if number.is_finite() => Ok(*number),
            _ => Err(self.error("is not a number")),
        }
    }

    /// A finite number that is not below 0.
    pub fn non_negative(&self) -> Result<f64, ConfigError> {
        let number = self.number()?;
        if number >= 0.0 { Ok(number) } else { Err(self.error(format!("is {number}; at least 0"))) }
    }

    /// A whole number from 0 to 2^53.
    pub fn uint(&self) -> Result<u64, ConfigError> {
        let number = self.number()?;
        to_uint(number)
            .ok_or_else(|| self.error(format!("is {number}; a whole number from 0 to 2^53 is needed")))
    }

    /// A whole number; what is above `u32` counts as its largest.
    pub fn saturating_u32(&self) -> Result<u32, ConfigError> {
        Ok(u32::try_from(self.uint()?).unwrap_or(u32::MAX))
    }

    /// True or false.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        match self.value {
            JsonValue::Boolean(flag) => Ok(*flag),
            _ => Err(self.error("is neither true nor false")),
        }
    }

    /// A string that holds something, such as an address.
    pub fn parse_as<T: FromStr>(&self, what: &str) -> Result<T, ConfigError> {
        let text = self.str()?;
        text.parse().map_err(|_| self.error(format!("is {text:?}; {what} is needed")))
    }

    /// The items of a list.
    pub fn items<'b>(&'b self) -> Result<impl ExactSizeIterator<Item = JsonCursor<'b>>, ConfigError> {
        let JsonValue::Array(items) = self.value else { return Err(self.error("is not a list")) };
        let item = move |(number, value)| JsonCursor { value, step: Step::Item(self, number) };
        Ok(items.iter().enumerate().map(item))
    }

    /// The items of an object in the order of their keys; what is null counts as left out.
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

    /// A string, or something else where the key is left out.
    pub fn str_or<'b>(&'b self, key: &'b str, other: &'b str) -> Result<&'b str, ConfigError> {
        self.optional(key).map_or(Ok(other), |at| at.str())
    }

    /// A whole number, or something else where the key is left out.
    pub fn uint_or(&self, key: &str, other: u64) -> Result<u64, ConfigError> {
        self.optional(key).map_or(Ok(other), |at| at.uint())
    }

    /// A count, or something else where the key is left out.
    pub fn saturating_u32_or(&self, key: &str, other: u32) -> Result<u32, ConfigError> {
        self.optional(key).map_or(Ok(other), |at| at.saturating_u32())
    }

    /// A number from 0, or something else where the key is left out.
    pub fn non_negative_or(&self, key: &str, other: f64) -> Result<f64, ConfigError> {
        self.optional(key).map_or(Ok(other), |at| at.non_negative())
    }

    /// True or false, or something else where the key is left out.
    pub fn boolean_or(&self, key: &str, other: bool) -> Result<bool, ConfigError> {
        self.optional(key).map_or(Ok(other), |at| at.boolean())
    }
}
