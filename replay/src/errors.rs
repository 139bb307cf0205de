//! What can go wrong with a recording, as one closed list.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a recording can't be read, played, cut or compared.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A file can't be opened, read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// What is printed can't be written.
    #[snafu(display("the output: {source}"))]
    Output {
        /// Why.
        source: std::io::Error,
    },
    /// A line that is of a recording can't be read.
    #[snafu(display("{file}{}line {line}: {key}: {reason}", if file.is_empty() { "" } else { ": " }))]
    Spoilt {
        /// The file, where a folder was given.
        file: String,
        /// Its number, from 1.
        line: usize,
        /// The key it is about.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// Several processes have recorded.
    #[snafu(display("line {line}: of {other}, and lines before are of {source_name}: name one with --node"))]
    Several {
        /// Where the second begins.
        line: usize,
        /// It.
        other: String,
        /// The first.
        source_name: String,
    },
    /// Nothing was recorded.
    #[snafu(display("no line of a recording; {passed_over} lines are something else"))]
    Nothing {
        /// How many.
        passed_over: usize,
    },
    /// The recording holds several lives, and one is needed.
    #[snafu(display("it holds {count} lives: name one with --life, from 1 on"))]
    Lives {
        /// How many.
        count: usize,
    },
    /// There is no such life in it.
    #[snafu(display("it holds {count} lives, and no number {life}"))]
    NoLife {
        /// Which was asked for.
        life: usize,
        /// How many.
        count: usize,
    },
    /// The play has gone as far as it was to; no fault.
    #[snafu(display("stopped where it was to stop"))]
    Enough,
    /// Two plays of one recording gave different outputs.
    #[snafu(display("line {line}: one play gives {one}, another {other}"))]
    Unlike {
        /// After which line.
        line: usize,
        /// What one gave.
        one: String,
        /// What the other gave.
        other: String,
    },
}
