//! Names of the checks.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `Check` names one promise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// A caller gets the whole answer to its own request.
    Answer,
    /// No planned act takes a service below its availability budget.
    Budget,
    /// A host that left service gets no new work.
    Leaving,
    /// A request that was refused as not run never ran.
    NotRun,
    /// A non-idempotent request runs at most once.
    Once,
    /// A host belongs to exactly one pool.
    Pool,
    /// A configuration in force never goes back.
    Revision,
    /// A planned stop cuts no request in flight.
    Stop,
}

/// `Breach` is a promise that was seen not to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Breach {
    /// Promise that did not hold.
    pub check: Check,
    /// What was seen.
    pub detail: String,
}

impl Check {
    /// Every check.
    pub const ALL: [Self; 8] = [
        Self::Answer,
        Self::Budget,
        Self::Leaving,
        Self::NotRun,
        Self::Once,
        Self::Pool,
        Self::Revision,
        Self::Stop,
    ];

    /// Gets the name under which breaches are counted.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Budget => "budget",
            Self::Leaving => "leaving",
            Self::NotRun => "not-run",
            Self::Once => "once",
            Self::Pool => "pool",
            Self::Revision => "revision",
            Self::Stop => "stop",
        }
    }

    /// Makes a breach of the check.
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
