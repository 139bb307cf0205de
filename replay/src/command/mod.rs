//! What the commands share: how far a long reading has come, seconds, outputs that nobody takes.

pub mod cut;
pub mod diff;
pub mod duty;
pub mod explain;
pub mod instance;
pub mod play;
pub mod report;
mod step;
pub mod version;

use std::path::Path;
use std::time::{Duration, Instant};

use millpost_replay::Error;
use millpost_replay::lines::{Word, files};
use millpost_scheduler::{Nanos, SECOND};

/// Nothing is said of a reading that takes no longer, and then no more often.
const SAY: Duration = Duration::from_secs(2);

/// A number of seconds on the command line.
pub fn seconds(text: &str) -> Result<Nanos, String> {
    match text.parse::<f64>() {
        Ok(s) if (0.0..1e6).contains(&s) => Ok((s * SECOND as f64) as Nanos),
        _ => Err("no number of seconds".to_owned()),
    }
}

/// What is printed can't be written.
pub fn output(source: std::io::Error) -> Error {
    Error::Output { source }
}

/// Says on the standard error how far a long reading has come.
pub fn progress(path: &Path) -> Box<dyn Fn(&'static str) -> Word> {
    let length = |path: &Path| std::fs::metadata(path).map_or(0, |of| of.len());
    let all: u64 = files(path).unwrap_or_default().iter().map(|path| length(path)).sum();
    Box::new(move |pass| {
        let mut said = Instant::now();
        Box::new(move |read| {
            if said.elapsed() >= SAY {
                said = Instant::now();
                let part = read as f64 / all.max(1) as f64 * 100.0;
                eprintln!("replay: {pass} {part:.0} % of {:.0} MB", all as f64 / 1e6);
            }
        })
    })
}
