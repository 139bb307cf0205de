//! Errors of settings files, configurations and changes.

use std::path::PathBuf;

use snafu::Snafu;

/// Why a text could not be read or a change could not be applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The text is not JSON, or exceeds the limits of the parser.
    #[snafu(display("not read: {reason}"))]
    Text {
        /// What is wrong with the text.
        reason: String,
    },
    /// A value is missing or invalid.
    #[snafu(display("{path}: {reason}"))]
    Field {
        /// The path of the value, such as `routes[3].deadline_ms`.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A change was made for another configuration than the one it was applied to.
    #[snafu(display("change for configuration {expected} does not apply to configuration {actual}"))]
    BaseMismatch {
        /// The revision and digest that the change expects.
        expected: String,
        /// The revision and digest of the actual configuration.
        actual: String,
    },
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The content of a file is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    FileContent {
        /// The file.
        path: PathBuf,
        /// What is wrong with the content.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
}
