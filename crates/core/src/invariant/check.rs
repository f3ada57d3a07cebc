//! Invariant checks and their breaches.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Check` is one invariant that the product guarantees to its users.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// A caller gets the complete answer to its own request.
    Answer,
    /// No planned operation takes a service below its availability budget.
    Budget,
    /// A host that is not in service gets no new work.
    #[serde(rename = "leaving")]
    NotServing,
    /// A request that was reported as not run never ran.
    NotRun,
    /// A non-idempotent request runs at most once.
    Once,
    /// A host belongs to exactly one pool.
    Pool,
    /// The revision of a configuration never decreases.
    Revision,
    /// A planned stop interrupts no request in flight.
    Stop,
}

/// `Breach` is an observed violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// Invariant that was violated.
    pub check: Check,
    /// What was observed.
    pub detail: String,
}

impl Check {
    /// All invariants, in the order of their declaration.
    pub const ALL: [Self; 8] = [
        Self::Answer,
        Self::Budget,
        Self::NotServing,
        Self::NotRun,
        Self::Once,
        Self::Pool,
        Self::Revision,
        Self::Stop,
    ];

    /// Returns the name under which breaches are counted in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Budget => "budget",
            Self::NotServing => "leaving",
            Self::NotRun => "not-run",
            Self::Once => "once",
            Self::Pool => "pool",
            Self::Revision => "revision",
            Self::Stop => "stop",
        }
    }

    /// Creates a breach of the check.
    pub fn breach(self, detail: impl Into<String>) -> Breach {
        Breach {
            check: self,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.check.name(), self.detail)
    }
}
