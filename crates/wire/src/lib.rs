//! Messages between processes, and their encoding.
//!
//! - [`errors`]: error type, result alias and constructors
//! - [`frame`]: frames on peer links
//! - [`journal`]: encoding of the records about jobs
//! - [`log`]: records and pages of the platform's log
//! - [`platform`]: interface of the platform, and headers of requests
//! - [`trace`]: encoding of traces of decisions

pub mod errors;
pub mod frame;
pub mod journal;
pub mod log;
pub mod platform;
pub mod trace;
