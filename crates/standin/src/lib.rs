//! Stand-ins for the platform, the workers and the callers, for tests and the demo.
//!
//! - [`callers`]: load of a deployment's services, with checks of every answer
//! - [`deployment`]: the two deployments in the sizes of today
//! - [`faults`]: faults on request
//! - [`hosts`]: the platform's hosts, with drains and reboots
//! - [`ledger`]: what ran, to check what callers were told
//! - [`log`]: the platform's log
//! - [`ports`]: free ports of the loopback address
//! - [`worker`]: one backend server

pub mod callers;
pub mod deployment;
pub mod faults;
pub mod hosts;
pub mod ledger;
pub mod log;
pub mod ports;
pub mod worker;
