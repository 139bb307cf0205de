//! `replay diff`: the first difference between two plays.

use std::io::Write;
use std::path::PathBuf;

use millpost_protocol::line::Line;
use millpost_replay::Error;
use millpost_replay::diff::{Difference, diff};
use millpost_replay::lines::Which;

use super::output;

fn json(found: &Result<usize, Difference>) -> String {
    let mut line = Line::new();
    match found {
        Ok(same) => {
            line.whole("same", *same as u64);
        }
        Err(found) => {
            line.whole("same", found.same as u64);
            let before: Vec<_> = found.before.iter().map(Into::into).collect();
            line.names("before", &before);
            for (key, part) in [("one", &found.one), ("other", &found.other), ("input", &found.input)] {
                if let Some(text) = part {
                    line.text(key, text);
                }
            }
        }
    }
    line.end()
}

/// Tells the first difference between the outputs of two plays.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// what `play --outs` printed, or a recording, which is played
    #[argh(positional)]
    one: PathBuf,
    /// the other
    #[argh(positional)]
    other: PathBuf,
    /// of this machine, or of this process on it, as the collector names it
    #[argh(option)]
    node: Option<String>,
    /// pass over lines that can't be read or are missing
    #[argh(switch)]
    lenient: bool,
    /// one object
    #[argh(switch)]
    json: bool,
}

impl Diff {
    /// Does it. Whether there is none.
    pub fn run(self) -> Result<bool, Error> {
        let which = Which { node: self.node, lenient: self.lenient, all: false };
        let mut out = std::io::stdout().lock();
        let found = diff(&self.one, &self.other, &which)?;
        if self.json {
            writeln!(out, "{}", json(&found)).map_err(output)?;
            return Ok(found.is_ok());
        }
        match found {
            Ok(same) => {
                writeln!(out, "no difference in {same} outputs").map_err(output)?;
                Ok(true)
            }
            Err(found) => {
                writeln!(out, "{} outputs are the same, then they differ", found.same).map_err(output)?;
                for before in &found.before {
                    writeln!(out, "  {before}").map_err(output)?;
                }
                if let Some(input) = &found.input {
                    writeln!(out, "after {input}").map_err(output)?;
                }
                for (sign, side) in [('-', &found.one), ('+', &found.other)] {
                    let side = side.as_deref().unwrap_or("(nothing more)");
                    writeln!(out, "{sign} {side}").map_err(output)?;
                }
                Ok(false)
            }
        }
    }
}
