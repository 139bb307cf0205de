//! `replay instance`: one instance, from why it was started to why it was stopped.

use std::io::Write;
use std::path::PathBuf;

use millpost_replay::Error;
use millpost_replay::instance::instance;
use millpost_replay::lines::Which;

use super::{output, progress};

/// Tells why an instance was started and by whom, who had it, what was sent there, and why it was stopped.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "instance")]
pub struct Instance {
    /// the recordings of several processes: a file, or a folder of files
    #[argh(positional)]
    file: PathBuf,
    /// its id
    #[argh(positional)]
    id: String,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object
    #[argh(switch)]
    json: bool,
}

impl Instance {
    /// Does it. Whether anybody has heard of it.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { lenient: self.lenient, ..Which::default() };
        let (day, story) = instance(&self.file, &which, &self.id, Some(progress(&self.file)))?;
        let text = if self.json { story.json(&day.sources) + "\n" } else { story.text(&day.sources) };
        std::io::stdout().lock().write_all(text.as_bytes()).map_err(output)?;
        Ok(story.well)
    }
}
