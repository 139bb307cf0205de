//! `replay report`: a day on one page.

use std::io::Write;
use std::path::PathBuf;

use millpost_replay::Error;
use millpost_replay::lines::Which;
use millpost_replay::report::report;

use super::{output, progress};

/// Writes a day as one page that needs nothing beside it, with plots: answers, configurations by proxy, the steward's duty, the
/// busiest functions' instances, queues and permits, refusals, and further tries against their budget.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "report")]
pub struct Report {
    /// the recordings of several processes: a file, or a folder of files
    #[argh(positional)]
    file: PathBuf,
    /// where the page is written
    #[argh(option)]
    out: PathBuf,
    /// functions that are shown one by one, the busiest; 6 where left out
    #[argh(option, default = "6")]
    functions: usize,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object with what it comes to
    #[argh(switch)]
    json: bool,
}

impl Report {
    /// Does it. Whether all rules were kept, and all was decided as it was recorded.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { lenient: self.lenient, ..Which::default() };
        let found = report(&self.file, &which, self.functions, Some(progress(&self.file)))?;
        let file = |source| Error::File { path: self.out.clone(), source };
        std::fs::write(&self.out, found.html()).map_err(file)?;
        let text = if self.json { found.json() + "\n" } else { found.text() };
        std::io::stdout().lock().write_all(text.as_bytes()).map_err(output)?;
        Ok(found.is_well())
    }
}
