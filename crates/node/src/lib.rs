//! Actors that every daemon shares.
//!
//! - [`admin`]: HTTP interface for metrics, health and dumps
//! - [`boot`]: loading of settings, start of a daemon, and signals
//! - [`client`]: HTTP client and the owner of its connections
//! - [`clock`]: the runtime's clock, and the time of day
//! - [`errors`]: the error type, its alias and its constructors
//! - [`http`]: HTTP servers as children of a supervisor
//! - [`invariant`]: metrics and log lines about violated invariants
//! - [`log`]: replay of the platform's log, and appends to it
//! - [`logger`]: structured log lines
//! - [`metrics`]: counters and histograms
//! - [`peer`]: WebSocket links to other processes
//! - [`platform`]: client of the platform's host service
//! - [`supervisor`]: supervision and restarts of child actors
//! - [`trace`]: recording of events and actions to a file

pub mod admin;
pub mod boot;
pub mod client;
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
