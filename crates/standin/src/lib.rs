//! Stand-ins for the platform, the workers and the callers, for tests and the demo.
//!
//! - [`callers`]: load generator for a deployment's services, which checks every response
//! - [`deployment`]: services and hosts of the two deployments at their current size
//! - [`faults`]: fault injection over HTTP
//! - [`hosts`]: the platform's host list, with drains and reboots
//! - [`runs`]: counts of the requests that ran, compared with the outcomes that callers received
//! - [`log`]: the platform's log service
//! - [`ports`]: free ports on loopback addresses
//! - [`worker`]: one backend server

pub mod callers;
pub mod deployment;
pub mod faults;
pub mod hosts;
pub mod log;
pub mod ports;
pub mod runs;
pub mod worker;
