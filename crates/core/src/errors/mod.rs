//! Error type of the core, its result alias and its constructors.

use thiserror::Error as ThisError;

use crate::finding::Findings;

/// `Result` is a result with the core's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason for which the core rejects an input.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// Operator input has findings.
    #[error("{0}")]
    Findings(Findings),
    /// A value can't be converted to its checked type.
    #[error("{name}: {problem}")]
    Value {
        /// Name of the value, such as a key or an argument.
        name: &'static str,
        /// Why it was rejected.
        problem: String,
    },
}

/// Creates the error for a value that can't be converted to its checked type.
pub fn value_error(name: &'static str, problem: impl Into<String>) -> Error {
    Error::Value {
        name,
        problem: problem.into(),
    }
}

impl From<Findings> for Error {
    fn from(findings: Findings) -> Self {
        Self::Findings(findings)
    }
}
