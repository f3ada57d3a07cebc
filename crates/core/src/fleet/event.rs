//! Inputs and outputs of the manager.

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::record::{Body, Listing};
use crate::state::{Change, Verdict};

/// `Event` is an input of the manager.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// The platform answered a call.
    #[serde(rename = "Answer")]
    CallAnswered {
        /// Token of the call.
        token: u64,
        /// Status of the host after the call, or `None` when the call failed.
        status: Option<Status>,
    },
    /// A record of the log changed the replayed state.
    Change(Change),
    /// The log was read up to its end after an outage.
    #[serde(rename = "Caught")]
    CaughtUp,
    /// The platform returned its host list.
    #[serde(rename = "Listed")]
    HostsListed(Vec<Listing>),
    /// An entry host reported its requests in flight on a draining host.
    Report {
        /// Entry host that reports.
        instance: ids::Instance,
        /// Host that is draining.
        host: ids::Host,
        /// Offset of the drain record that the report is about.
        #[serde(rename = "since")]
        drain_offset: ids::Offset,
        /// Requests in flight.
        in_flight: u32,
    },
    /// An append completed.
    #[serde(rename = "Settled")]
    AppendCompleted {
        /// Token of the append.
        token: u64,
        /// Verdict on the record, or `None` when the append failed.
        verdict: Option<Verdict>,
    },
    /// Time passed.
    Tick,
}

/// `Status` is the state of a host that the platform reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Generation of the host, which counts its starts.
    pub generation: ids::Generation,
    /// Health of the host.
    pub health: Health,
}

/// `Health` is the health of a host that the platform reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The host does not answer.
    Dead,
    /// The host rejects new requests and has none in flight.
    Drained,
    /// The host rejects new requests and finishes those in flight.
    Draining,
    /// The host is starting.
    Rebooting,
    /// The host accepts requests.
    Serving,
}

/// `Action` is an output of the manager.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Append a record to the log.
    Append {
        /// Token that `Event::AppendCompleted` returns.
        token: u64,
        /// Body of the record.
        body: Body,
    },
    /// Call the platform.
    Call {
        /// Token that `Event::CallAnswered` returns.
        token: u64,
        /// Host that the call is about.
        host: ids::Host,
        /// Generation of the host; the platform rejects the call for any other.
        generation: ids::Generation,
        /// Operation to carry out.
        call: Call,
    },
}

/// `Call` is an operation of the platform on one host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Call {
    /// Reject new requests and finish those in flight.
    Drain,
    /// Get the status only.
    Query,
    /// Stop the host and start it again.
    Reboot,
    /// Accept requests again.
    Undrain,
}
