//! A small world around the decisions: gates, managers, one log, a platform and callers.
//!
//! Everything runs on one thread in steps of a fixed length, so a run is reproduced by its plan.

mod caller;
mod entry;
pub(crate) mod fault;
mod fleet;
mod follower;
mod inject;
mod log;
mod look;
mod message;
mod operator;
mod platform;
pub(crate) mod run;

use std::time::Duration;

/// Length of one step of time.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Steps in a second.
pub(crate) const SECOND: u64 = 100;
