//! Changes that an accepted record made.

use serde::{Deserialize, Serialize};

use super::{Host, Member, Pool, Wave};
use crate::ids;

/// `Change` is one thing that is new, different or gone; a view that folds all changes follows the
/// state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// The promise of a service.
    Budget(ids::Service, u32),
    /// A host as it is now.
    Host(ids::Host, Host),
    /// Keys that a process won with its latest claim.
    Keys(ids::Instance, Vec<ids::IdempotencyKey>),
    /// A member as it is now, or nothing when it is gone.
    Member(ids::Instance, Option<Member>),
    /// The pool into which the sheet puts a host by name, or nothing when it names none.
    Pin(ids::Host, Option<ids::Pool>),
    /// A pool as it is now.
    Pool(ids::Pool, Pool),
    /// The guaranteed slots of a caller in a service.
    Quota(ids::Service, ids::Caller, u32),
    /// A member showed that it is alive.
    Renewed(ids::Instance),
    /// A wave as it is now.
    Wave(ids::Wave, Wave),
}
