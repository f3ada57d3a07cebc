//! Replay of the platform's log, and appends to it.
//!
//! One actor owns the connections to the log and the state replayed from it. It first publishes the
//! changes to subscribers, then sends the verdicts on records to those who requested them.

mod append;
mod client;
mod follower;
mod keys;
mod message;
mod peer_state;
mod rate_limiter;
mod read;
mod snapshot;

pub use client::Client;
pub use follower::{Follower, Options};
pub use message::{
    Append, Appended, Claim, Claimed, Completion, Fetch, Leave, Query, Staleness, Subscribe,
    Transfer, Update,
};
