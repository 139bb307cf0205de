//! Walks through JSON values and knows the path, so that each fault names key and reason.

use std::fmt;
use std::str::FromStr;

use tinyjson::JsonValue;

use crate::Fault;
use crate::values::whole;

/// A value and the way to it from the outermost one.
#[derive(Clone, Copy)]
pub struct At<'a> {
    value: &'a JsonValue,
    step: Step<'a>,
}

#[derive(Clone, Copy)]
enum Step<'a> {
    Root,
    Key(&'a At<'a>, &'a str),
    Item(&'a At<'a>, usize),
}

impl fmt::Display for At<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.step {
            Step::Root => Ok(()),
            Step::Key(At { step: Step::Root, .. }, key) => f.write_str(key),
            Step::Key(up, key) => write!(f, "{up}.{key}"),
            Step::Item(up, number) => write!(f, "{up}[{number}]"),
        }
    }
}

impl<'a> At<'a> {
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
    pub fn fault(&self, reason: impl Into<String>) -> Fault {
        let path = match self.step {
            Step::Root => "the whole".to_owned(),
            _ => self.to_string(),
        };
        Fault::Field { path, reason: reason.into() }
    }

    /// What stands under a key. A null counts as left out.
    #[must_use]
    pub fn key<'b>(&'b self, key: &'b str) -> Option<At<'b>> {
        let JsonValue::Object(object) = self.value else { return None };
        let value = object.get(key).filter(|value| !value.is_null())?;
        Some(At { value, step: Step::Key(self, key) })
    }

    /// What stands under a key that must be there.
    pub fn need<'b>(&'b self, key: &'b str) -> Result<At<'b>, Fault> {
        self.object()?;
        let missing = || At { value: self.value, step: Step::Key(self, key) }.fault("is missing");
        self.key(key).ok_or_else(missing)
    }

    /// Checks that this is an object.
    pub fn object(&self) -> Result<(), Fault> {
        if self.value.is_object() { Ok(()) } else { Err(self.fault("is not an object")) }
    }

    /// A string.
    pub fn str(&self) -> Result<&'a str, Fault> {
        match self.value {
            JsonValue::String(text) => Ok(text),
            _ => Err(self.fault("is not a string")),
        }
    }

    /// A finite number.
    pub fn number(&self) -> Result<f64, Fault> {
        match self.value {
            JsonValue::Number(number) if number.is_finite() => Ok(*number),
            _ => Err(self.fault("is not a number")),
        }
    }

    /// A finite number that is not below 0.
    pub fn amount(&self) -> Result<f64, Fault> {
        let number = self.number()?;
        if number >= 0.0 { Ok(number) } else { Err(self.fault(format!("is {number}; at least 0"))) }
    }

    /// A whole number from 0 to 2^53.
    pub fn whole(&self) -> Result<u64, Fault> {
        let number = self.number()?;
        whole(number)
            .ok_or_else(|| self.fault(format!("is {number}; a whole number from 0 to 2^53 is needed")))
    }

    /// A whole number; what is above `u32` counts as its largest.
    pub fn count(&self) -> Result<u32, Fault> {
        Ok(u32::try_from(self.whole()?).unwrap_or(u32::MAX))
    }

    /// True or false.
    pub fn flag(&self) -> Result<bool, Fault> {
        match self.value {
            JsonValue::Boolean(flag) => Ok(*flag),
            _ => Err(self.fault("is neither true nor false")),
        }
    }

    /// A string that holds something, such as an address.
    pub fn parsed<T: FromStr>(&self, what: &str) -> Result<T, Fault> {
        let text = self.str()?;
        text.parse().map_err(|_| self.fault(format!("is {text:?}; {what} is needed")))
    }

    /// The items of a list.
    pub fn items<'b>(&'b self) -> Result<impl ExactSizeIterator<Item = At<'b>>, Fault> {
        let JsonValue::Array(items) = self.value else { return Err(self.fault("is not a list")) };
        let item = move |(number, value)| At { value, step: Step::Item(self, number) };
        Ok(items.iter().enumerate().map(item))
    }

    /// The items of an object in the order of their keys; what is null counts as left out.
    pub fn entries<'b>(&'b self) -> Result<Vec<(&'b str, At<'b>)>, Fault> {
        let JsonValue::Object(object) = self.value else { return Err(self.fault("is not an object")) };
        let mut entries: Vec<_> = object
            .iter()
            .filter(|(_, value)| !value.is_null())
            .map(|(key, value)| (key.as_str(), At { value, step: Step::Key(self, key) }))
            .collect();
        entries.sort_unstable_by_key(|(key, _)| *key);
        Ok(entries)
    }

    /// A string, or something else where the key is left out.
    pub fn str_or<'b>(&'b self, key: &'b str, other: &'b str) -> Result<&'b str, Fault> {
        self.key(key).map_or(Ok(other), |at| at.str())
    }

    /// A whole number, or something else where the key is left out.
    pub fn whole_or(&self, key: &str, other: u64) -> Result<u64, Fault> {
        self.key(key).map_or(Ok(other), |at| at.whole())
    }

    /// A count, or something else where the key is left out.
    pub fn count_or(&self, key: &str, other: u32) -> Result<u32, Fault> {
        self.key(key).map_or(Ok(other), |at| at.count())
    }

    /// A number from 0, or something else where the key is left out.
    pub fn amount_or(&self, key: &str, other: f64) -> Result<f64, Fault> {
        self.key(key).map_or(Ok(other), |at| at.amount())
    }

    /// True or false, or something else where the key is left out.
    pub fn flag_or(&self, key: &str, other: bool) -> Result<bool, Fault> {
        self.key(key).map_or(Ok(other), |at| at.flag())
    }
}
