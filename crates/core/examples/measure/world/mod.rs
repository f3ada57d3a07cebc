//! Deterministic simulation of a deployment around the decision code: entry hosts with their gates,
//! fleet instances with their managers, the log, the platform with its workers, and callers.
//!
//! Everything runs on one thread in steps of a fixed length, so the plan of a run reproduces it.

mod caller;
mod convergence;
mod entry;
pub(crate) mod fault;
mod fleet;
mod follower;
mod inject;
mod log;
mod message;
mod operator;
mod platform;
pub(crate) mod run;

use std::time::Duration;

/// Simulated time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Steps in one simulated second.
pub(crate) const SECOND: u64 = 100;
