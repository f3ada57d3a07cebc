//! Outcomes of requests as reported to their callers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// `Outcome` is the result of a request as its caller sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// A backend server ran the request and returned this complete answer.
    Answered(Answer),
    /// No backend server ran the request.
    NotRun(Refusal),
    /// It is unknown whether the request ran.
    Unknown(Doubt),
}

/// `Answer` is a complete answer of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Body of the answer.
    pub body: Bytes,
}

/// `Refusal` is the reason why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Refusal {
    /// The caller cancelled it or closed its connection while it was queued.
    Cancelled,
    /// It could not start early enough to meet its deadline.
    Deadline,
    /// The process is shutting down.
    Leaving,
    /// The log is unreachable, so the idempotency key could not be claimed.
    LogDown,
    /// No backend server accepted it within the retry budget.
    NoWorker,
    /// The service is not configured.
    NoService,
    /// The replayed state is too old to send non-idempotent requests.
    Stale,
    /// Several healthy backend servers rejected it without running it.
    Unrunnable,
}

/// `Doubt` is the reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Doubt {
    /// The connection to the backend server failed during the exchange.
    Broken,
    /// An earlier request with the same key was accepted, and its answer is not stored here.
    Claimed,
    /// The time stamp of the key is older than the retention period of keys or too far ahead.
    Expired,
    /// The answer carried another request's identifier.
    Mismatch,
    /// No answer arrived before the deadline.
    Timeout,
    /// Its exchange failed on several healthy backend servers, so it is not retried.
    Unrunnable,
}

impl Outcome {
    /// Returns the name of the outcome as used in answers to callers and in metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}
