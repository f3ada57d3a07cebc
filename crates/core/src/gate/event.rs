//! Events that the gate handles and actions that it returns.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::outcome::{Answer, Outcome, Refusal};
use crate::record::Completion;
use crate::request::Request;
use crate::state::Change;

/// `Event` is an input of the gate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A caller sent a request.
    #[serde(skip)]
    Arrive(Request),
    /// A caller cancelled a request or closed its connection.
    Cancel(ids::Request),
    /// The state replayed from the log changed.
    Change(Change),
    /// The claim on a request's idempotency key was decided, or given up.
    Claimed(ids::Request, ClaimResult),
    /// An exchange with a backend server ended.
    #[serde(rename = "Done")]
    ExchangeEnded {
        /// Request that was sent.
        request: ids::Request,
        /// Host that it was sent to.
        host: ids::Host,
        /// How the exchange ended.
        exchange: Exchange,
    },
    /// The process is shutting down and accepts no further request.
    #[serde(rename = "Leave")]
    ShutDown,
    /// Time passed.
    Tick,
}

/// `ClaimResult` is the result of an attempt to claim an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimResult {
    /// The key's time stamp is older than the retention period of keys or too far ahead.
    Expired,
    /// The log could not be reached and the claim was never appended.
    Failed(Refusal),
    /// Another request claimed the key first.
    Lost,
    /// The claim may have been appended, but its verdict was not read in time.
    #[serde(rename = "Unsettled")]
    Undecided,
    /// This request holds the key.
    Won,
}

/// `Exchange` is the result of an exchange with a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Exchange {
    /// The complete answer arrived and carried the request's identifier.
    Answered(Answer),
    /// The connection failed after bytes of the request were sent.
    Broken,
    /// The answer carried another request's identifier.
    Mismatch,
    /// The backend server is at capacity or shutting down and refused to run the request.
    #[serde(rename = "Refused")]
    Unavailable,
    /// The backend server rejected the request itself and did not run it.
    #[serde(rename = "Rejected")]
    RequestRejected,
    /// No answer arrived by the deadline plus a grace period.
    Timeout,
    /// No byte of the request was sent.
    Unsent,
}

/// `Action` is an output of the gate that the caller of [`super::Gate::step`] carries out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Do not reuse the connection of this exchange; its end is still reported to the gate.
    Abandon {
        /// Request whose caller no longer waits for the answer.
        request: ids::Request,
        /// Host it was sent to.
        host: ids::Host,
    },
    /// Claim the idempotency key for the request.
    Claim {
        /// Request that needs the key.
        request: ids::Request,
        /// Key to claim.
        key: ids::IdempotencyKey,
    },
    /// Report how the request that holds a key ended.
    #[serde(rename = "End")]
    ReportKeyOutcome {
        /// Key claimed before.
        key: ids::IdempotencyKey,
        /// How it ended.
        #[serde(rename = "end")]
        outcome: Completion,
    },
    /// Send the outcome to the caller.
    Finish {
        /// Request that ended.
        request: ids::Request,
        /// Outcome for the caller.
        outcome: Outcome,
    },
    /// Report to the fleet manager how many requests are in flight on a draining host.
    Report {
        /// Host that is draining.
        host: ids::Host,
        /// Offset of the drain record.
        #[serde(rename = "since")]
        drain_offset: ids::Offset,
        /// Requests from this entry host that are in flight on it.
        in_flight: u32,
    },
    /// Send the request to a backend server.
    Send {
        /// Request to send.
        request: ids::Request,
        /// Host to send it to.
        host: ids::Host,
        /// Address of the worker on the host.
        address: SocketAddr,
    },
}
