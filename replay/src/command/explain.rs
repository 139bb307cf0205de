//! `replay explain`: one request, over all that had to do with it.

use std::io::Write;
use std::path::PathBuf;

use millpost_replay::Error;
use millpost_replay::explain::explain;
use millpost_replay::lines::Which;

use super::{output, progress};

/// Tells what became of one request: each ask, owner, call and the rule that each was decided by, and its answer.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the recordings of several processes: a file, or a folder of files
    #[argh(positional)]
    file: PathBuf,
    /// the request's X-Attempt-Id
    #[argh(positional)]
    id: String,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object for each request of this id
    #[argh(switch)]
    json: bool,
}

impl Explain {
    /// Does it. Whether there is such a request.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { lenient: self.lenient, ..Which::default() };
        let (day, stories) = explain(&self.file, &which, &self.id, Some(progress(&self.file)))?;
        let mut out = std::io::stdout().lock();
        for story in &stories {
            let text = if self.json { story.json(&day.sources) + "\n" } else { story.text(&day.sources) };
            out.write_all(text.as_bytes()).map_err(output)?;
        }
        if stories.is_empty() {
            eprintln!("no request {} in the recording", self.id);
        }
        Ok(!stories.is_empty())
    }
}
