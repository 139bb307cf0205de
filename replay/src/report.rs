//! A day on one page: versions by proxy over time, the busiest functions' instances, queues and permits, the steward's terms, answers,
//! refusals, and further tries against their budget.

mod gather;
mod page;

use std::path::Path;

use crate::clocks::Alignment;
use crate::errors::Error;
use crate::lines::{Which, Word};
use crate::survey::Day;

pub use gather::Gathered;

/// Spans of time that a day is counted in.
const BUCKETS: f64 = 600.0;

/// A report.
pub struct Report {
    /// The recording.
    pub day: Day,
    /// Its clocks.
    pub clocks: Alignment,
    /// What was counted.
    pub of: Gathered,
    /// Functions that are shown one by one.
    pub functions: usize,
}

/// Goes through a day. `functions`: so many of the busiest are shown one by one.
pub fn report(
    path: &Path,
    which: &Which,
    functions: usize,
    progress: Option<Box<dyn Fn(&'static str) -> Word>>,
) -> Result<Report, Error> {
    let mut spans = gather::Spans::default();
    let day = Day::survey(path, which.clone(), progress, |read, _| spans.see(read))?;
    // By the clock of whom most has passed to and from.
    let words = day.clocks.align((0, 0), &day.sources);
    let to = spans.nodes().max_by_key(|node| words.words(*node)).unwrap_or((0, 0));
    let clocks = day.clocks.align(to, &day.sources);
    let mut of = Gathered::new(&spans, &clocks, BUCKETS);
    of.played = day.play(true, |event| {
        of.see(&event, &clocks);
        Ok(())
    })?;
    of.end(&clocks);
    Ok(Report { day, clocks, of, functions })
}

impl Report {
    /// No rule was broken, nothing was decided otherwise, and no two were stewards at once.
    pub fn is_well(&self) -> bool {
        self.of.broken.is_empty()
            && self.of.played.unlike.is_empty()
            && !self.of.overlaps.iter().any(crate::duty::Overlap::is_sure)
    }
}
