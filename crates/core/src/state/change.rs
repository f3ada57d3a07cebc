//! Changes of the state that accepted records cause.

use serde::{Deserialize, Serialize};

use super::{Host, Member, Pool, Wave};
use crate::ids;

/// `Change` is one item of the state that was added, changed or removed; a view that applies all
/// changes follows the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Change {
    /// The availability budget of a service: the serving hosts that it guarantees.
    Budget(ids::Service, u32),
    /// The new state of a host.
    Host(ids::Host, Host),
    /// Keys that a process acquired with its latest claim.
    Keys(ids::Instance, Vec<ids::IdempotencyKey>),
    /// The new state of a member, none if it was removed.
    Member(ids::Instance, Option<Member>),
    /// The pool that the sheet assigns to a host by name, none if it assigns none.
    Pin(ids::Host, Option<ids::Pool>),
    /// The new state of a pool.
    Pool(ids::Pool, Pool),
    /// The guaranteed slots of a caller in a service.
    Quota(ids::Service, ids::Caller, u32),
    /// A member renewed its membership.
    Renewed(ids::Instance),
    /// The new state of a wave.
    Wave(ids::Wave, Wave),
}
