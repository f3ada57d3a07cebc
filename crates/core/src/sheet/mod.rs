//! Sheet of the capacity planners: each row is one intent.

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

/// Largest number of hosts in a row.
const HOSTS_MAX: u32 = 32_000;
/// Largest number of slots in a row: eight for each of `HOSTS_MAX` hosts.
const SLOTS_MAX: u32 = 8 * HOSTS_MAX;

/// `Intent` is what one row of the sheet asks for, after its checks.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Intent {
    /// Sets the availability budget of a service.
    Budget {
        /// Service with this budget.
        service: ids::Service,
        /// Number of hosts that must serve at any time.
        hosts: u32,
    },
    /// Pins a host to a pool by name; the fleet manager then moves it there.
    Move {
        /// Host to move.
        host: ids::Host,
        /// Pool that it moves to.
        pool: ids::Pool,
    },
    /// Sets the size of a pool.
    Pool {
        /// Name of the pool.
        name: ids::Pool,
        /// Service that its hosts run, `None` for a pool without a service.
        service: Option<ids::Service>,
        /// Number of hosts that it should have.
        hosts: u32,
    },
    /// Guarantees slots of a service to a caller.
    Quota {
        /// Caller that gets the slots.
        caller: ids::Caller,
        /// Service whose slots they are.
        service: ids::Service,
        /// Number of slots guaranteed.
        slots: u32,
    },
    /// Maintains every host of a pool, batch by batch.
    Wave {
        /// Name of the wave.
        name: ids::Wave,
        /// Pool to maintain.
        pool: ids::Pool,
        /// Largest number of hosts out of service at once.
        batch: u32,
    },
}

impl Intent {
    /// Returns the subject of the row; a sheet has at most one row for each subject.
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

    /// Checks that its number is in the range that a row of a sheet may have.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        match self {
            Self::Move { .. } => true,
            Self::Budget { hosts, .. } | Self::Pool { hosts, .. } => *hosts <= HOSTS_MAX,
            Self::Quota { slots, .. } => *slots <= SLOTS_MAX,
            Self::Wave { batch, .. } => (1..=HOSTS_MAX).contains(batch),
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
