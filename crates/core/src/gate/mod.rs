//! Admission, dispatch and retries of requests on one entry host.
//!
//! The gate owns every request from its arrival to its outcome. It is a state machine without I/O:
//! each step takes the time and an event and returns actions.

mod admit;
mod budget;
mod change;
mod dispatch;
mod estimate;
mod event;
mod exchange;
mod finish;
mod lend;
mod options;
mod queue;
mod service;
mod step;
mod table;
mod track;
mod worker;

pub use budget::Budget;
pub use event::{Action, ClaimResult, Event, Exchange};
pub use options::Options;
pub use queue::Queue;
pub use step::Gate;
pub use table::Table;
pub use worker::Worker;
