//! ConfigErrors gathered in the order of reading, so that all that is wrong is said at once. Keeps: whoever gathered one returns no value.

use std::fmt;

use crate::ConfigError;

/// ConfigErrors that are kept; those beyond are counted.
const KEPT: usize = 100;

/// All that is wrong with a text, in the order in which it is read; one at least.
#[derive(Debug)]
pub struct ConfigErrors {
    found: Vec<ConfigError>,
    more: usize,
}

impl ConfigErrors {
    /// The faults, the first 100 of them.
    #[must_use]
    pub fn list(&self) -> &[ConfigError] {
        &self.found
    }

    /// The faults of [`ConfigErrors::list`].
    #[must_use]
    pub fn into_vec(self) -> Vec<ConfigError> {
        self.found
    }

    /// How many there are beyond those in the list.
    #[must_use]
    pub fn omitted(&self) -> usize {
        self.more
    }

    /// A line for each, and one for those beyond.
    pub fn lines(&self) -> impl Iterator<Item = String> {
        let more = (self.more > 0).then(|| format!("and {} more", self.more));
        self.found.iter().map(ToString::to_string).chain(more)
    }

    /// The first one.
    #[must_use]
    pub fn into_first(self) -> ConfigError {
        self.found.into_iter().next().unwrap_or(ConfigError::Text { reason: "nothing said why".to_owned() })
    }

    /// The same, each made into another.
    #[must_use]
    pub(crate) fn map(self, each: impl FnMut(ConfigError) -> ConfigError) -> Self {
        Self { found: self.found.into_iter().map(each).collect(), more: self.more }
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(fault: ConfigError) -> Self {
        Self { found: vec![fault], more: 0 }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().collect::<Vec<_>>().join("\n"))
    }
}

impl std::error::Error for ConfigErrors {}

/// Takes faults as they are met. What stands in for a value that was not read is never handed on.
#[derive(Default)]
pub(crate) struct Gather {
    found: Vec<ConfigError>,
    count: usize,
}

impl Gather {
    /// What was read, or the stand-in.
    pub(crate) fn or<T>(&mut self, read: Result<T, ConfigError>, stand_in: T) -> T {
        read.unwrap_or_else(|fault| {
            self.count += 1;
            if self.found.len() < KEPT {
                self.found.push(fault);
            }
            stand_in
        })
    }

    /// What was read, or the default.
    pub(crate) fn get<T: Default>(&mut self, read: Result<T, ConfigError>) -> T {
        self.or(read, T::default())
    }

    /// What was read, if it was.
    pub(crate) fn some<T>(&mut self, read: Result<T, ConfigError>) -> Option<T> {
        self.or(read.map(Some), None)
    }

    /// How many there are by now.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// The value, where nothing was wrong with it.
    pub(crate) fn end<T>(self, value: T) -> Result<T, ConfigErrors> {
        if self.count == 0 {
            return Ok(value);
        }
        Err(ConfigErrors { more: self.count - self.found.len(), found: self.found })
    }
}
