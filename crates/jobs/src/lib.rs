//! Actors that take in jobs and lead shards of the fleet.
//!
//! - [`desk`]: callers' requests, sent to the shard that they belong to
//! - [`edge`]: what a deployment's platform gives, as the actors call it
//! - [`fleet`]: waves of maintenance and moves of hosts between pools
//! - [`follow`]: reading of a partition of the log
//! - [`operator`]: what operators ask for
//! - [`roster`]: workers and hosts of the fleet
//! - [`shard`]: jobs of one shard, and its leadership

pub mod desk;
pub mod edge;
pub mod fleet;
pub mod follow;
mod lead;
pub mod operator;
pub mod roster;
pub mod shard;
