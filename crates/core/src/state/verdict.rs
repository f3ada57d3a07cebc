//! Verdicts on records.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids;

/// `Verdict` is the result of applying a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// The record was applied.
    Accepted,
    /// The same record was applied before and is ignored.
    Duplicate,
    /// The record was rejected and changed nothing.
    Rejected(Reason),
}

/// `Reason` is the reason why a record was rejected.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Reason {
    /// The service would fall below its availability budget.
    #[error("service {service} keeps {serving} serving hosts and promises {required}")]
    Budget {
        /// Service at its availability budget.
        service: ids::Service,
        /// Hosts in service for it now.
        serving: u32,
        /// Hosts in service that its availability budget requires.
        #[serde(rename = "promised")]
        required: u32,
    },
    /// The author is not a current member, or only another incarnation of it is.
    #[error("author is not a current member")]
    #[serde(rename = "Stranger")]
    NotMember,
    /// The host, pool, wave or process does not exist.
    #[error("{0} does not exist")]
    #[serde(rename = "Absent")]
    NotFound(String),
    /// The item changed after the revision or generation that the record is based on.
    #[error("changed at revision {current}, decided against {seen}")]
    Conflict {
        /// Revision or generation in force.
        current: u64,
        /// Revision or generation that the author based the record on.
        seen: u64,
    },
    /// Another claim on the pool is in force.
    #[error("term {current} is in force, decided under {seen}")]
    Term {
        /// Term in force.
        current: ids::Term,
        /// Term that the author named.
        seen: ids::Term,
    },
    /// The stage of the host or the phase of the wave does not allow the change.
    #[error("not possible while {0}")]
    #[serde(rename = "Stage")]
    InvalidState(String),
}
