//! What can be wrong with a settings file, a configuration or a change.

use std::path::PathBuf;

use snafu::Snafu;

/// Why something was not read or not applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The text is no JSON, or more of it than is read here.
    #[snafu(display("not read: {reason}"))]
    Text {
        /// What is wrong with the text.
        reason: String,
    },
    /// A value is missing, or is not what its key asks for.
    #[snafu(display("{path}: {reason}"))]
    Field {
        /// Where the value stands, as `routes[3].deadline_ms`.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A change was made for another configuration than the one it met.
    #[snafu(display("a change from {wanted} met {held}"))]
    BaseMismatch {
        /// Revision and digest that the change starts from.
        wanted: String,
        /// Revision and digest of the configuration held.
        held: String,
    },
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A file was read, but not what stands in it.
    #[snafu(display("{}: {source}", path.display()))]
    FileContent {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        #[snafu(source(from(ConfigError, Box::new)))]
        source: Box<ConfigError>,
    },
}
