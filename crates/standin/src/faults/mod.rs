//! Faults on request: `POST /faults` with one [`Fault`] as JSON.

mod route;

pub use route::configure;

use std::time::Duration;

use persimmongate_core::ids;
use persimmongate_core::record::Fact;
use serde::{Deserialize, Serialize};

/// `Fault` sets how one part of the stand-in behaves from now on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The host list.
    #[serde(rename = "list")]
    HostList(HostList),
    /// The log.
    Log(Log),
    /// Records that the log keeps, at most.
    Retention(usize),
    /// Some of the workers.
    Workers {
        /// Which workers.
        target: Target,
        /// How they behave.
        fault: Worker,
    },
}

/// `Log` is how the log behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Log {
    /// Refuses every call.
    Down,
    /// Carries out every append and answers none.
    #[serde(rename = "mute")]
    Unanswered,
    /// Answers each call after this many milliseconds.
    Slow(u64),
    /// Works.
    #[default]
    Up,
}

impl Log {
    /// Gets the delay before a call is answered.
    #[must_use]
    pub fn delay(self) -> Duration {
        match self {
            Self::Slow(millis) => Duration::from_millis(millis),
            Self::Down | Self::Unanswered | Self::Up => Duration::ZERO,
        }
    }
}

/// `HostList` is how the host list behaves.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct HostList {
    /// Whether the list stays as it is.
    #[serde(rename = "frozen")]
    pub is_frozen: bool,
    /// Hosts that the list leaves out.
    #[serde(rename = "missing")]
    pub missing_hosts: Vec<ids::Host>,
}

/// `Target` names workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Every worker.
    All,
    /// One worker.
    Host(ids::Host),
    /// The workers of a rack.
    Rack(ids::Rack),
    /// The workers of an availability zone.
    Zone(ids::Zone),
}

impl Target {
    /// Gets whether a worker is meant.
    #[must_use]
    pub fn matches(&self, fact: &Fact) -> bool {
        match self {
            Self::All => true,
            Self::Host(host) => fact.host == *host,
            Self::Rack(rack) => fact.rack == *rack,
            Self::Zone(zone) => fact.zone == *zone,
        }
    }
}

/// `Worker` is how a worker behaves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Worker {
    /// Answers with the identifier and the body of the request before.
    #[serde(rename = "crossed")]
    Mismatched,
    /// Runs each request for no time and fails it.
    Failing,
    /// Works; a worker that vanished starts again.
    #[default]
    Healthy,
    /// Answers this many milliseconds after the work is done.
    Late(u64),
    /// Refuses each request before running it.
    Refusing,
    /// Takes this many milliseconds longer for each request.
    Slow(u64),
    /// Breaks off in the middle of each answer.
    Truncated,
    /// Is gone, with all that it had in flight.
    #[serde(rename = "vanished")]
    Crashed,
}
