//! Follower of the platform's log, and appends to it.
//!
//! One actor owns the connections to the log and the fold. It tells subscribers what changed and
//! tells authors the verdict on their records, in that order.

mod append;
mod client;
mod follower;
mod keys;
mod message;
mod pace;
mod read;
mod seeds;
mod snapshot;

pub use client::Client;
pub use follower::{Follower, Options};
pub use message::{
    Append, AppendCompleted, ClaimCompleted, ClaimKey, EndMembership, FetchState, GetLogAge,
    GetState, ReportOutcome, Restore, StateChanged, Subscribe,
};
