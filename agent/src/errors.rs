//! Why the program can't go on, as one closed list.

use snafu::Snafu;

/// Why the program can't go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// Why.
        source: std::io::Error,
    },
    /// Signals can't be waited for.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}
