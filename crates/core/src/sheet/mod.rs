//! The planners' sheet: one row is one intent.

mod parse;

pub use parse::parse;

use serde::{Deserialize, Serialize};

use crate::ids;

/// `Intent` is one checked row of the sheet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Intent {
    /// Promises serving hosts for a service.
    Budget {
        /// Service that promises.
        service: ids::Service,
        /// Hosts that serve at any time.
        hosts: u32,
    },
    /// Puts a host into a pool by name.
    Move {
        /// Host to put.
        host: ids::Host,
        /// Pool it goes to.
        pool: ids::Pool,
    },
    /// Sets the size of a pool.
    Pool {
        /// Name of the pool.
        name: ids::Pool,
        /// Service that its hosts run, none for a spare pool.
        service: Option<ids::Service>,
        /// Hosts that it should have.
        hosts: u32,
    },
    /// Guarantees slots to a caller.
    Quota {
        /// Caller that gets them.
        caller: ids::Caller,
        /// Service in which it gets them.
        service: ids::Service,
        /// Slots guaranteed.
        slots: u32,
    },
    /// Maintains every host of a pool.
    Wave {
        /// Name of the wave.
        name: ids::Wave,
        /// Pool to maintain.
        pool: ids::Pool,
        /// Hosts out of service at once, at most.
        batch: u32,
    },
}
