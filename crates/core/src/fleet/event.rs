//! Events that the manager takes and actions that it returns.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::record::{Body, Fact};
use crate::state::{Change, Verdict};

/// `Event` is something that happened to the manager.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// The platform answered a call.
    #[serde(rename = "Answer")]
    CallAnswered {
        /// Token of the call.
        token: u64,
        /// Status of the host after the call, or nothing when the call failed.
        status: Option<Status>,
    },
    /// The fold of the log changed.
    Change(Change),
    /// The log was read up to its end after it could not be read for a while.
    #[serde(rename = "Caught")]
    CaughtUp,
    /// The platform listed its hosts.
    #[serde(rename = "Listed")]
    HostsListed(Vec<Fact>),
    /// An entry host reported its requests in flight on a draining host.
    Report {
        /// Entry host that reports.
        instance: ids::Instance,
        /// Host that drains.
        host: ids::Host,
        /// Offset of the drain record that the report answers.
        #[serde(rename = "since")]
        drain_offset: ids::Offset,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The log decided on a record.
    #[serde(rename = "Settled")]
    AppendCompleted {
        /// Token of the append.
        token: u64,
        /// Verdict, or nothing when the append failed.
        verdict: Option<Verdict>,
    },
    /// Time passed.
    Tick,
}

/// `Status` is what the platform tells of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Number of the host's current start.
    pub generation: ids::Generation,
    /// Whether it serves.
    pub health: Health,
}

/// `Health` is whether a host serves, as the platform sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Does not answer.
    Dead,
    /// Refuses new requests and has none in flight.
    Drained,
    /// Refuses new requests and finishes those in flight.
    Draining,
    /// Is starting.
    Rebooting,
    /// Takes requests.
    Serving,
}

/// `Action` is something that the manager wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Append a record.
    Append {
        /// Token to settle.
        token: u64,
        /// What the record says.
        body: Body,
    },
    /// Call the platform.
    Call {
        /// Token to answer.
        token: u64,
        /// Host meant.
        host: ids::Host,
        /// Generation meant; the platform refuses the call for any other.
        generation: ids::Generation,
        /// What to do.
        call: Call,
    },
}

/// `Call` is a call to the platform about one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Call {
    /// Refuse new requests and finish those in flight.
    Drain,
    /// Only tell the status.
    Query,
    /// Stop and start again.
    Reboot,
    /// Take requests again.
    Undrain,
}
