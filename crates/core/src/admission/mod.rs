//! Admission of connections and of large request bodies at a listener, within limits of memory, descriptors and time.
//!
//! Each connection publishes its [`Activity`]. When there are too many connections, or too many bytes of unfinished bodies,
//! the table ends those that made no progress for the longest time, so that a crowd does not keep out other callers.

mod limits;
mod table;

use std::time::{Duration, Instant};

pub use limits::{HEAD_BYTES, Limits};
pub use table::Table;

use crate::ids;

/// `Phase` is what a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No byte of the next request has arrived.
    Idle,
    /// The head of a request has begun to arrive.
    Head,
    /// A request has arrived except for its body, which nobody has asked for yet.
    Unread,
    /// The body waits for room.
    Waiting,
    /// The body is arriving.
    Body,
    /// A request has arrived and is being handled.
    Request,
    /// What follows a refused request is read and dropped.
    Drain,
}

/// `Activity` is what a connection does, and since when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Activity {
    /// What the connection is doing.
    pub phase: Phase,
    /// Time at which the phase began.
    pub since: Instant,
    /// Time of the latest progress: a phase began, or bytes arrived.
    pub progress_at: Instant,
    /// Time since which an answer waits for the client to read; `None` if none does.
    pub blocked_since: Option<Instant>,
    /// Whether a request of the connection was answered.
    pub is_served: bool,
}

/// `Reason` is why a connection or a body was ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The body is longer than the limit.
    BodyTooLong,
    /// The body made no progress while others waited for room.
    Crowded,
    /// The head is longer than the limit.
    HeadTooLong,
    /// No request arrived in time.
    Idle,
    /// The body did not arrive in time.
    SlowBody,
    /// The head did not arrive in time.
    SlowHead,
    /// There were too many connections.
    TooMany,
    /// The client did not read an answer in time.
    UnreadAnswer,
}

/// `Event` is an input of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A connection was opened.
    Opened(ids::Connection),
    /// A connection was closed.
    Closed(ids::Connection),
    /// A connection asks for room for a body of this size, in bytes.
    Asked(ids::Connection, usize),
    /// A connection gives its room back, or needs none any more.
    Returned(ids::Connection),
    /// Time has passed.
    Checked,
}

/// `Action` is an output of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Close a connection.
    Close(ids::Connection, Reason),
    /// Tell a connection that it has room for its body.
    Grant(ids::Connection),
    /// Tell a connection that it has no room for its body any more, or gets none.
    Revoke(ids::Connection, Reason),
    /// Report that a crowd began.
    Begin(Reason),
    /// Report that it ended, and how long it lasted.
    End(Duration),
}

impl Activity {
    /// Creates the activity of a new connection.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            phase: Phase::Idle,
            since: now,
            progress_at: now,
            blocked_since: None,
            is_served: false,
        }
    }
}

impl Reason {
    /// Returns the reason as it stands in metrics and log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BodyTooLong => "body-too-long",
            Self::Crowded => "crowded",
            Self::HeadTooLong => "head-too-long",
            Self::Idle => "idle",
            Self::SlowBody => "slow-body",
            Self::SlowHead => "slow-head",
            Self::TooMany => "too-many-connections",
            Self::UnreadAnswer => "unread-answer",
        }
    }
}
