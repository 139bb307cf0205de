//! `replay duty`: the steward's duty over the day.

use std::io::Write;
use std::path::PathBuf;

use millpost_replay::Error;
use millpost_replay::duty::duty;
use millpost_replay::lines::Which;

use super::{output, progress};

/// Tells who was the steward when and under which fence, what was called, and whether two were at once.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "duty")]
pub struct Duty {
    /// the recordings of several processes: a file, or a folder of files
    #[argh(positional)]
    file: PathBuf,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object
    #[argh(switch)]
    json: bool,
}

impl Duty {
    /// Does it. Whether it was held, by one at a time.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { lenient: self.lenient, ..Which::default() };
        let (day, story) = duty(&self.file, &which, Some(progress(&self.file)))?;
        let text = if self.json { story.json(&day.sources) + "\n" } else { story.text(&day.sources) };
        std::io::stdout().lock().write_all(text.as_bytes()).map_err(output)?;
        Ok(story.well)
    }
}
