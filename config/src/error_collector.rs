//! Collects errors in reading order, so that all of them are reported at once. Invariant: a collector with an
//! error returns no value.

use std::fmt;

use crate::ConfigError;

/// Maximum number of errors that are kept; further ones are only counted.
const MAX_ERRORS: usize = 100;

/// All errors in a text, in reading order; at least one.
#[derive(Debug)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
    omitted: usize,
}

impl ConfigErrors {
    /// Returns the first 100 errors.
    #[must_use]
    pub fn list(&self) -> &[ConfigError] {
        &self.errors
    }

    /// Converts into the errors of [`ConfigErrors::list`].
    #[must_use]
    pub fn into_vec(self) -> Vec<ConfigError> {
        self.errors
    }

    /// Returns the number of errors that are not in the list.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns a line for each listed error, and one with the number of further errors.
    pub fn lines(&self) -> impl Iterator<Item = String> {
        let more = (self.omitted > 0).then(|| format!("and {} more", self.omitted));
        self.errors.iter().map(ToString::to_string).chain(more)
    }

    /// Converts into the first error.
    #[must_use]
    pub fn into_first(self) -> ConfigError {
        self.errors.into_iter().next().unwrap_or(ConfigError::Text { reason: "no reason given".to_owned() })
    }

    /// Converts each listed error.
    #[must_use]
    pub(crate) fn map(self, convert: impl FnMut(ConfigError) -> ConfigError) -> Self {
        Self { errors: self.errors.into_iter().map(convert).collect(), omitted: self.omitted }
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        Self { errors: vec![error], omitted: 0 }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().collect::<Vec<_>>().join("\n"))
    }
}

impl std::error::Error for ConfigErrors {}

/// Collects errors while reading. A substitute for a value that could not be read is never returned to the
/// caller of the parser.
#[derive(Default)]
pub(crate) struct ErrorCollector {
    errors: Vec<ConfigError>,
    count: usize,
}

impl ErrorCollector {
    /// Returns the value that was read, or records the error and returns the substitute.
    pub(crate) fn value_or<T>(&mut self, result: Result<T, ConfigError>, substitute: T) -> T {
        result.unwrap_or_else(|error| {
            self.count += 1;
            if self.errors.len() < MAX_ERRORS {
                self.errors.push(error);
            }
            substitute
        })
    }

    /// Returns the value that was read, or records the error and returns the default.
    pub(crate) fn value_or_default<T: Default>(&mut self, result: Result<T, ConfigError>) -> T {
        self.value_or(result, T::default())
    }

    /// Returns the value that was read, or records the error.
    pub(crate) fn ok<T>(&mut self, result: Result<T, ConfigError>) -> Option<T> {
        self.value_or(result.map(Some), None)
    }

    /// Returns the number of errors so far.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Returns the value if there were no errors.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.count == 0 {
            return Ok(value);
        }
        Err(ConfigErrors { omitted: self.count - self.errors.len(), errors: self.errors })
    }
}
