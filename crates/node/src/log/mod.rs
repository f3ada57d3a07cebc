//! Replay of the platform's log, and appends to it.
//!
//! One actor owns the connections to the log and the state replayed from it. It first publishes the
//! changes to subscribers, then sends the verdicts on records to those who requested them.

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
