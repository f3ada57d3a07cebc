//! The error type of the daemons, its alias and its constructors.

use std::io;

/// `Result` is a result with the daemons' [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failure of a daemon or of one of its calls.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Settings or other input is invalid.
    #[error(transparent)]
    Core(#[from] persimmongate_core::errors::Error),
    /// A socket or a file failed.
    #[error("{context}: {source}")]
    Io {
        /// File or address that the error is about.
        context: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Metrics could not be set up.
    #[error("metrics: {0}")]
    Metrics(String),
    /// The platform rejected a call or could not be reached.
    #[error("platform: {0}")]
    Platform(String),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Wire(#[from] persimmongate_wire::errors::Error),
}

/// Creates the error for a socket or file operation that failed.
pub fn io_error(context: impl Into<String>, source: io::Error) -> Error {
    Error::Io {
        context: context.into(),
        source,
    }
}

/// Creates the error for metrics that could not be set up.
pub fn metrics_error(error: &impl ToString) -> Error {
    Error::Metrics(error.to_string())
}

/// Creates the error for a call that the platform rejected or did not answer.
pub fn platform_error(error: &impl ToString) -> Error {
    Error::Platform(error.to_string())
}
