//! Messages between processes and their encoding.
//!
//! - [`errors`]: the error type, its alias and its constructors
//! - [`frame`]: frames on peer links
//! - [`journal`]: keys and values of the records about jobs
//! - [`log`]: records and pages of the platform's log
//! - [`platform`]: the platform's interface for hosts
//! - [`trace`]: traces of decisions

pub mod errors;
pub mod frame;
pub mod journal;
pub mod log;
pub mod platform;
pub mod trace;
