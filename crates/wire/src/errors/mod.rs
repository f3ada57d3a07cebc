//! Error type of the codec, its result alias and its constructors.

use thiserror::Error as ThisError;

/// `Result` is a result with the codec's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason for which the codec rejects a message.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// The bytes are not an encoding of the expected type, or a value can't be encoded.
    #[error("malformed {message_type}: {problem}")]
    Malformed {
        /// Name of the expected type.
        message_type: &'static str,
        /// Message of the decoder or encoder.
        problem: String,
    },
    /// A message exceeds the limit of its type.
    #[error("{message_type} has {size} bytes, at most {max} bytes are accepted")]
    Oversized {
        /// Name of the expected type.
        message_type: &'static str,
        /// Size of the message in bytes.
        size: usize,
        /// Largest size accepted, in bytes.
        max: usize,
    },
    /// The peer uses another version of the protocol.
    #[error("peer uses protocol version {remote}, this process uses version {local}")]
    Version {
        /// Protocol version of this process.
        local: u16,
        /// Protocol version of the peer.
        remote: u16,
    },
}

/// Creates the error for bytes that are not an encoding of the expected type.
#[must_use]
pub fn malformed_error(message_type: &'static str, problem: &impl ToString) -> Error {
    Error::Malformed {
        message_type,
        problem: problem.to_string(),
    }
}

/// Creates the error for a message that exceeds its limit.
#[must_use]
pub fn oversized_error(message_type: &'static str, size: usize, max: usize) -> Error {
    Error::Oversized {
        message_type,
        size,
        max,
    }
}

/// Creates the error for a peer with another protocol version.
#[must_use]
pub fn version_error(local: u16, remote: u16) -> Error {
    Error::Version { local, remote }
}
