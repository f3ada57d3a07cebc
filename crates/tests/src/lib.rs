//! Real processes on loopback for trials under failure.
//!
//! Each trial is a test of its own binary, so that trials run one after the other.
//!
//! - [`caller`]: one request of a caller to one entry host
//! - [`cluster`]: the platform, entry hosts and fleet instances of one trial
//! - [`process`]: one process, ended with its owner
//! - [`wait`]: waits for a condition

pub mod caller;
pub mod cluster;
pub mod process;
pub mod wait;
