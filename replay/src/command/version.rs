//! `replay version`: who had one configuration, and when.

use std::io::Write;
use std::path::PathBuf;

use millpost_replay::Error;
use millpost_replay::lines::Which;
use millpost_replay::version::version;

use super::{output, progress};

/// Tells which porter had a configuration when and from whom, which stall acted on it when, and who never did.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {
    /// the recordings of several processes: a file, or a folder of files
    #[argh(positional)]
    file: PathBuf,
    /// its revision
    #[argh(positional)]
    revision: u64,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object
    #[argh(switch)]
    json: bool,
}

impl Version {
    /// Does it. Whether anybody had it.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { lenient: self.lenient, ..Which::default() };
        let (day, story) = version(&self.file, &which, self.revision, Some(progress(&self.file)))?;
        let text = if self.json { story.json(&day.sources) + "\n" } else { story.text(&day.sources) };
        std::io::stdout().lock().write_all(text.as_bytes()).map_err(output)?;
        Ok(story.well)
    }
}
