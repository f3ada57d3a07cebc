//! Fault injection: `POST /faults` with one [`Fault`] as JSON.

mod route;

pub use route::configure;

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::record::Listing;
use serde::{Deserialize, Serialize};

/// `Fault` is the behaviour that one part of the stand-in takes on when it gets the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Behaviour of the host list.
    #[serde(rename = "list")]
    HostList(HostList),
    /// Behaviour of the log.
    Log(Log),
    /// Maximum number of records that each stream of the log retains.
    Retention(usize),
    /// Behaviour of some of the workers.
    Workers {
        /// Workers affected.
        target: Target,
        /// Behaviour of these workers.
        fault: Worker,
    },
}

/// `Log` is the behaviour of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Log {
    /// Rejects every call.
    Down,
    /// Applies every append but answers it with a gateway time-out.
    #[serde(rename = "mute")]
    Unanswered,
    /// Delays each call by this many milliseconds.
    Slow(u64),
    /// Behaves normally.
    #[default]
    Up,
}

impl Log {
    /// Returns the delay before a call is processed.
    #[must_use]
    pub fn delay(self) -> Duration {
        match self {
            Self::Slow(millis) => Duration::from_millis(millis),
            Self::Down | Self::Unanswered | Self::Up => Duration::ZERO,
        }
    }
}

/// `HostList` is the behaviour of the host list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct HostList {
    /// Whether the list is no longer updated.
    #[serde(rename = "frozen")]
    pub is_frozen: bool,
    /// Hosts that the list omits.
    #[serde(rename = "missing")]
    pub missing_hosts: Vec<ids::Host>,
}

/// `Target` is a selection of workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Every worker.
    All,
    /// One worker.
    Host(ids::Host),
    /// All workers of a rack.
    Rack(ids::Rack),
    /// All workers of an availability zone.
    Zone(ids::Zone),
}

impl Target {
    /// Returns whether a worker is selected.
    #[must_use]
    pub fn matches(&self, listing: &Listing) -> bool {
        match self {
            Self::All => true,
            Self::Host(host) => listing.host == *host,
            Self::Rack(rack) => listing.rack == *rack,
            Self::Zone(zone) => listing.zone == *zone,
        }
    }
}

/// `Worker` is the behaviour of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Worker {
    /// Answers with the request id and body of the previous request.
    #[serde(rename = "crossed")]
    Mismatched,
    /// Fails each request at once with status 500.
    Failing,
    /// Behaves normally; a crashed worker restarts.
    #[default]
    Healthy,
    /// Delays each answer by this many milliseconds after the work is done.
    Late(u64),
    /// Rejects each request before running it.
    Refusing,
    /// Runs each request for this many additional milliseconds.
    Slow(u64),
    /// Closes the connection in the middle of each answer.
    Truncated,
    /// Has stopped and dropped all requests in flight.
    #[serde(rename = "vanished")]
    Crashed,
}
