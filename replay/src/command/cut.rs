//! `replay cut`: a part of a recording that plays by itself.

use std::path::PathBuf;

use millpost_protocol::line::Line;
use millpost_replay::Error;
use millpost_replay::cut::{Part, cut};
use millpost_replay::lines::{Lines, Which};
use millpost_replay::play::play;
use millpost_scheduler::{Nanos, SECOND};

use super::seconds;

/// Cuts a part out of a recording that plays by itself.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "cut")]
pub struct Cut {
    /// the recording
    #[argh(positional)]
    file: PathBuf,
    /// of this machine, or of this process on it, as the collector names it
    #[argh(option)]
    node: Option<String>,
    /// the life of the process, from 1 on; may be left out where there is one only
    #[argh(option)]
    life: Option<usize>,
    /// where the part begins, in seconds of the life
    #[argh(option, from_str_fn(seconds))]
    from: Nanos,
    /// where it ends, in seconds of the life
    #[argh(option, from_str_fn(seconds))]
    to: Nanos,
    /// seconds before the part that are kept whole, for averages and budgets; 12 where left out
    #[argh(option, from_str_fn(seconds), default = "12 * SECOND")]
    warm: Nanos,
    /// keep all that came before, so that the part plays exactly as it did
    #[argh(switch)]
    whole: bool,
    /// where it is written
    #[argh(option)]
    out: PathBuf,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object
    #[argh(switch)]
    json: bool,
}

impl Cut {
    /// Does it.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { node: self.node, lenient: self.lenient, all: false };
        let warm = if self.whole { self.from } else { self.warm };
        let part = Part { life: self.life, from: self.from, to: self.to, warm };
        let file = |source| Error::File { path: self.out.clone(), source };
        let mut lines = Vec::new();
        let cut = cut(&self.file, &which, &part, &mut lines)?;
        std::fs::write(&self.out, lines).map_err(file)?;
        let mut lines = Lines::open(&self.out, Which::default())?;
        let played = play(&mut lines, None, |_| Ok(()))?;
        if self.json {
            let mut line = Line::new();
            line.text("out", &self.out.display().to_string()).whole("inputs", played.inputs as u64);
            line.whole("left_out", cut.left_out as u64).time("whole_from", cut.whole_from);
            println!("{}", line.end());
            return Ok(true);
        }
        println!(
            "{}: {} lines, whole from {:.3} s on, {} left out before; it plays",
            self.out.display(),
            played.inputs,
            cut.whole_from as f64 / SECOND as f64,
            cut.left_out,
        );
        Ok(true)
    }
}
