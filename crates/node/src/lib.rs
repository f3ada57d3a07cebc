//! Actors that every daemon shares.
//!
//! - [`admin`]: HTTP interface for metrics, health and dumps
//! - [`boot`]: reading of settings and the run of a daemon
//! - [`clock`]: the runtime's clock
//! - [`errors`]: the error type, its alias and its constructors
//! - [`http`]: HTTP servers as children of a supervisor
//! - [`invariant`]: count and log lines of promises that did not hold
//! - [`log`]: follower of the platform's log, and appends to it
//! - [`logger`]: structured log lines
//! - [`metrics`]: counters and histograms
//! - [`peer`]: links to other processes
//! - [`platform`]: calls to the platform about hosts
//! - [`supervisor`]: restarts of failed children
//! - [`trace`]: recording of decisions to a file

pub mod admin;
pub mod boot;
pub mod clock;
pub mod errors;
pub mod http;
pub mod invariant;
pub mod log;
pub mod logger;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod supervisor;
pub mod trace;
