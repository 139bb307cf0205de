//! A look through a whole recording: who has recorded, how their clocks stand, and whatever else is looked for on the way.

use std::path::{Path, PathBuf};

use crate::clocks::Clocks;
use crate::errors::Error;
use crate::lines::{Lines, Read, Source, Which, Word};
use crate::play::{Event, How, Played, play_so};

/// A recording that is gone through more than once.
pub struct Day {
    path: PathBuf,
    which: Which,
    /// Who is told how far it has come: the pass, and the bytes.
    progress: Option<Box<dyn Fn(&'static str) -> Word>>,
    /// All that have recorded, once it was surveyed.
    pub sources: Vec<Source>,
    /// What they have told one another.
    pub clocks: Clocks,
    /// What it lacks, in words.
    pub missing: Vec<String>,
}

impl Day {
    /// Surveys a file or a folder; `see` is shown each line.
    pub fn survey(
        path: &Path,
        which: Which,
        progress: Option<Box<dyn Fn(&'static str) -> Word>>,
        mut see: impl FnMut(&Read, &[Source]),
    ) -> Result<Day, Error> {
        let (path, which) = (path.to_owned(), Which { all: true, ..which });
        let mut day = Day {
            path,
            which,
            progress,
            sources: Vec::new(),
            clocks: Clocks::default(),
            missing: Vec::new(),
        };
        let mut lines = day.lines("surveyed")?;
        while let Some(read) = lines.read()? {
            day.clocks.see(&read, lines.sources());
            see(&read, lines.sources());
        }
        if lines.sources().is_empty() {
            return Err(Error::Nothing { passed_over: lines.passed_over });
        }
        let [bound, unread] = lines.left_out;
        for (count, what) in [
            (lines.cut_off as u64, "lines were cut off at the end of a life"),
            (lines.spoilt as u64, "lines are spoilt or missing"),
            (bound, "lines were left out, as recordings had reached their bounds"),
            (unread, "lines were left out, as nobody read them in time"),
        ] {
            if count > 0 {
                day.missing.push(format!("{count} {what}"));
            }
        }
        day.sources = lines.into_sources();
        Ok(day)
    }

    fn lines(&self, pass: &'static str) -> Result<Lines<'static>, Error> {
        let mut lines = Lines::open(&self.path, self.which.clone())?;
        if let Some(progress) = &self.progress {
            lines.tell(progress(pass));
        }
        Ok(lines)
    }

    /// Plays all of it, every process with a machine of its own. `tell` hears besides of which process and life something is.
    pub fn play(
        &self,
        reasons: bool,
        tell: impl FnMut(Event<'_>) -> Result<(), Error>,
    ) -> Result<Played, Error> {
        let how = How { life: None, twins: false, reasons };
        play_so(&mut self.lines("played")?, &how, tell)
    }
}
