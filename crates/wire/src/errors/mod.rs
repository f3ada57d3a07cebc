//! The error type of the codec, its alias and its constructors.

use thiserror::Error as ThisError;

/// `Result` is a result with the codec's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` lists what the codec refuses.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// Bytes are not the encoding of the type.
    #[error("malformed {what}: {problem}")]
    Malformed {
        /// Type that was expected.
        what: &'static str,
        /// What the decoder met.
        problem: String,
    },
    /// A message is longer than accepted.
    #[error("{what} of {size} bytes, at most {max} are accepted")]
    Oversized {
        /// Type that was expected.
        what: &'static str,
        /// Bytes seen.
        size: usize,
        /// Bytes accepted.
        max: usize,
    },
    /// The other process speaks another version.
    #[error("peer speaks version {remote}, this process speaks {local}")]
    Version {
        /// Version of this process.
        local: u16,
        /// Version of the peer.
        remote: u16,
    },
}

/// Makes the error for bytes that are not the encoding of a type.
#[must_use]
pub fn malformed_error(what: &'static str, problem: &impl ToString) -> Error {
    Error::Malformed {
        what,
        problem: problem.to_string(),
    }
}

/// Makes the error for a message that is longer than accepted.
#[must_use]
pub fn oversized_error(what: &'static str, size: usize, max: usize) -> Error {
    Error::Oversized { what, size, max }
}

/// Makes the error for a peer of another version.
#[must_use]
pub fn version_error(local: u16, remote: u16) -> Error {
    Error::Version { local, remote }
}
