//! Actors that accept jobs, schedule them and plan maintenance of the fleet.
//!
//! - [`cursor`]: reading of a partition of the log
//! - [`fleet`]: maintenance waves and moves of hosts between pools
//! - [`operator`]: configuration and waves that operators request
//! - [`platform`]: interface to the services of a deployment's platform
//! - [`roster`]: workers and hosts of the fleet
//! - [`router`]: requests of callers, forwarded to the shard that owns the job
//! - [`shard`]: jobs of one shard, and its leader

pub mod cursor;
pub mod fleet;
mod leadership;
pub mod operator;
pub mod platform;
mod reader;
pub mod roster;
pub mod router;
pub mod shard;
