//! Fixtures for end-to-end tests that run the real processes on loopback and inject failures.
//!
//! Each end-to-end test has its own test binary, because Cargo runs test binaries one after the
//! other.
//!
//! - [`caller`]: one request of a caller to one entry host
//! - [`cluster`]: the platform, entry hosts and fleet instances of one test
//! - [`process`]: a child process that is killed when its handle is dropped
//! - [`wait`]: polling until a condition holds

pub mod caller;
pub mod cluster;
pub mod process;
pub mod wait;
