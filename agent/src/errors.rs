//! Errors that end the program.

use snafu::Snafu;

/// An error that ends the program.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address for the proxy's messages can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("can't install signal handlers: {source}"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
}
