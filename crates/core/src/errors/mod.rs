//! The error type of the core, its alias and its constructors.

use thiserror::Error as ThisError;

use crate::finding::Findings;

/// `Result` is a result with the core's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` lists what the core refuses.
#[derive(Clone, Debug, Eq, PartialEq, ThisError)]
pub enum Error {
    /// Operator input has findings.
    #[error("{0}")]
    Findings(Findings),
    /// A value can't be turned into its checked type.
    #[error("{name}: {problem}")]
    Value {
        /// What the value is for.
        name: &'static str,
        /// Why it was refused.
        problem: String,
    },
}

/// Makes the error for a value that can't be turned into its checked type.
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
