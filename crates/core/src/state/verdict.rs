//! What the fold says of a record.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids;

/// `Verdict` is what the fold says of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The record changed the state.
    Accepted,
    /// The same record was applied before.
    Duplicate,
    /// The record changed nothing.
    Rejected(Reason),
}

/// `Reason` tells why a record was rejected.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Reason {
    /// The service would fall below its availability budget.
    #[error("service {service} keeps {serving} serving hosts and promises {promised}")]
    Budget {
        /// Service at its limit.
        service: ids::Service,
        /// Hosts that serve it now.
        serving: u32,
        /// Hosts it promises.
        promised: u32,
    },
    /// The author is not a current member, or another run of it is.
    #[error("author is not a current member")]
    #[serde(rename = "Stranger")]
    NotMember,
    /// The thing named does not exist.
    #[error("{0} does not exist")]
    #[serde(rename = "Absent")]
    NotFound(String),
    /// The thing changed since the decision was made.
    #[error("changed at revision {current}, decided against {seen}")]
    Conflict {
        /// Revision in force.
        current: u64,
        /// Revision that the author saw.
        seen: u64,
    },
    /// Another claim on the pool is in force.
    #[error("term {current} is in force, decided under {seen}")]
    Term {
        /// Term in force.
        current: ids::Term,
        /// Term that the author held.
        seen: ids::Term,
    },
    /// The host or wave is not in a state that allows the change.
    #[error("not possible while {0}")]
    Stage(String),
}
