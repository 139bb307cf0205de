//! Faults gathered in the order of reading, so that all that is wrong is said at once. Keeps: whoever gathered one returns no value.

use std::fmt;

use crate::Fault;

/// Faults that are kept; those beyond are counted.
const KEPT: usize = 100;

/// All that is wrong with a text, in the order in which it is read; one at least.
#[derive(Debug)]
pub struct Faults {
    found: Vec<Fault>,
    more: usize,
}

impl Faults {
    /// The faults, the first 100 of them.
    #[must_use]
    pub fn list(&self) -> &[Fault] {
        &self.found
    }

    /// The faults of [`Faults::list`].
    #[must_use]
    pub fn into_list(self) -> Vec<Fault> {
        self.found
    }

    /// How many there are beyond those in the list.
    #[must_use]
    pub fn more(&self) -> usize {
        self.more
    }

    /// A line for each, and one for those beyond.
    pub fn lines(&self) -> impl Iterator<Item = String> {
        let more = (self.more > 0).then(|| format!("and {} more", self.more));
        self.found.iter().map(ToString::to_string).chain(more)
    }

    /// The first one.
    #[must_use]
    pub fn first(self) -> Fault {
        self.found.into_iter().next().unwrap_or(Fault::Text { reason: "nothing said why".to_owned() })
    }

    /// The same, each made into another.
    #[must_use]
    pub(crate) fn map(self, each: impl FnMut(Fault) -> Fault) -> Self {
        Self { found: self.found.into_iter().map(each).collect(), more: self.more }
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self { found: vec![fault], more: 0 }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().collect::<Vec<_>>().join("\n"))
    }
}

impl std::error::Error for Faults {}

/// Takes faults as they are met. What stands in for a value that was not read is never handed on.
#[derive(Default)]
pub(crate) struct Gather {
    found: Vec<Fault>,
    count: usize,
}

impl Gather {
    /// What was read, or the stand-in.
    pub(crate) fn or<T>(&mut self, read: Result<T, Fault>, stand_in: T) -> T {
        read.unwrap_or_else(|fault| {
            self.count += 1;
            if self.found.len() < KEPT {
                self.found.push(fault);
            }
            stand_in
        })
    }

    /// What was read, or the default.
    pub(crate) fn get<T: Default>(&mut self, read: Result<T, Fault>) -> T {
        self.or(read, T::default())
    }

    /// What was read, if it was.
    pub(crate) fn some<T>(&mut self, read: Result<T, Fault>) -> Option<T> {
        self.or(read.map(Some), None)
    }

    /// How many there are by now.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// The value, where nothing was wrong with it.
    pub(crate) fn end<T>(self, value: T) -> Result<T, Faults> {
        if self.count == 0 {
            return Ok(value);
        }
        Err(Faults { more: self.count - self.found.len(), found: self.found })
    }
}
