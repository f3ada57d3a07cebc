//! Admission, routing and retries of one entry host.
//!
//! The gate owns every request between its arrival and its outcome. It takes the time and an event
//! and returns actions; it never sends anything itself.

mod admit;
mod budget;
mod dispatch;
mod estimate;
mod event;
mod exchange;
mod finish;
mod lend;
mod options;
mod place;
mod queue;
mod service;
mod step;
mod table;
mod track;
mod worker;

pub use budget::Budget;
pub use event::{Action, Claim, Event, Exchange};
pub use options::Options;
pub use queue::Queue;
pub use step::Gate;
pub use table::Table;
pub use worker::Worker;
