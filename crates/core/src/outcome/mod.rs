//! What a caller is told of a request.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Outcome` is the end of a request as its caller sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A backend server ran the request and gave this whole answer.
    Answered(Answer),
    /// No backend server ran the request.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Doubt),
}

/// `Answer` is a whole answer of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
}

/// `Refusal` tells why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Refusal {
    /// The caller cancelled it or went away while it was queued.
    Cancelled,
    /// It could not have started before its deadline.
    Deadline,
    /// The process is about to exit.
    Leaving,
    /// The log can't be reached, so the idempotency key could not be claimed.
    LogDown,
    /// No backend server accepted it inside the retry budget.
    NoWorker,
    /// The service is not configured.
    NoService,
    /// The view of the fleet is older than non-idempotent work allows.
    Stale,
    /// Several healthy backend servers rejected it before running it.
    Unrunnable,
}

/// `Doubt` tells why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Doubt {
    /// The exchange with the backend server broke off.
    Broken,
    /// An earlier request with the same key was accepted; its answer is not held here.
    Claimed,
    /// The key is older than keys are remembered.
    Expired,
    /// The answer carried another request's identifier.
    Mismatch,
    /// No answer came before the deadline.
    Timeout,
    /// It broke off on several healthy backend servers and is not tried again.
    Unrunnable,
}

impl Outcome {
    /// Gets the standard word for the outcome, as callers and metrics see it.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}
