//! The planners' sheet: one row is one intent.

mod check;
mod difference;
mod encoding;
mod parse;
mod row;

pub use difference::{Difference, diff};
pub use parse::{Row, parse_intents, parse_rows};

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids;

/// `Intent` is one checked row of the sheet.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
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

impl Intent {
    /// Gets what the row is about; a sheet has one row for each.
    #[must_use]
    pub fn subject(&self) -> String {
        match self {
            Self::Budget { service, .. } => format!("budget of {service}"),
            Self::Move { host, .. } => format!("move of {host}"),
            Self::Pool { name, .. } => format!("pool {name}"),
            Self::Quota {
                caller, service, ..
            } => format!("quota of {caller} in {service}"),
            Self::Wave { name, .. } => format!("wave {name}"),
        }
    }
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Budget { hosts, .. } => write!(f, "{hosts} hosts"),
            Self::Move { pool, .. } => write!(f, "to {pool}"),
            Self::Pool { service, hosts, .. } => match service {
                Some(service) => write!(f, "{hosts} hosts for {service}"),
                None => write!(f, "{hosts} hosts without a service"),
            },
            Self::Quota { slots, .. } => write!(f, "{slots} slots"),
            Self::Wave { pool, batch, .. } => write!(f, "over {pool}, {batch} at once"),
        }
    }
}
