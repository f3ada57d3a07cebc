//! Events that the gate takes and actions that it returns.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::outcome::{Answer, Outcome, Refusal};
use crate::record::End;
use crate::request::Request;
use crate::state::Change;

/// `Event` is something that happened to the gate.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A caller sent a request.
    #[serde(skip)]
    Arrive(Request),
    /// A caller cancelled a request or went away.
    Cancel(ids::Request),
    /// The fold of the log changed.
    Change(Change),
    /// The log decided the claim on a request's key.
    Claimed(ids::Request, Claim),
    /// An exchange with a backend server ended.
    Done {
        /// Request that was sent.
        request: ids::Request,
        /// Host it was sent to.
        host: ids::Host,
        /// How the exchange ended.
        exchange: Exchange,
    },
    /// The process is about to exit and takes no further request.
    #[serde(rename = "Leave")]
    ShutDown,
    /// Time passed.
    Tick,
}

/// `Claim` is the end of an attempt to claim a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Claim {
    /// The key's time stamp lies outside the period in which keys are remembered.
    Expired,
    /// The log could not be reached and the claim was never appended.
    Failed(Refusal),
    /// Another request claimed the key before.
    Lost,
    /// The claim may have been appended; its verdict was not read in time.
    #[serde(rename = "Unsettled")]
    Undecided,
    /// The key is this request's own.
    Won,
}

/// `Exchange` is the end of an exchange with a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Exchange {
    /// The whole answer came and carried the request's identifier.
    Answered(Answer),
    /// The exchange broke off after bytes were sent.
    Broken,
    /// The answer carried another identifier.
    Mismatch,
    /// The backend server is full or leaving and refused before running the request.
    Refused,
    /// The backend server refused the request itself before running it.
    Rejected,
    /// No answer came until some time after the deadline.
    Timeout,
    /// No byte was sent.
    Unsent,
}

/// `Action` is something that the gate wants done.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// Never use the connection of this exchange again; its end is still reported.
    Abandon {
        /// Request whose answer nobody waits for.
        request: ids::Request,
        /// Host it was sent to.
        host: ids::Host,
    },
    /// Claim the key for the request.
    Claim {
        /// Request that needs the key.
        request: ids::Request,
        /// Key to claim.
        key: ids::IdempotencyKey,
    },
    /// Report how the holder of a key ended.
    End {
        /// Key claimed before.
        key: ids::IdempotencyKey,
        /// How it ended.
        end: End,
    },
    /// Tell the caller the outcome.
    Finish {
        /// Request that ended.
        request: ids::Request,
        /// What the caller is told.
        outcome: Outcome,
    },
    /// Tell the fleet how many requests are in flight on a draining host.
    Report {
        /// Host that drains.
        host: ids::Host,
        /// Offset of the drain record.
        since: ids::Offset,
        /// Requests in flight from this entry host.
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
