//! Admission, routing and retries of one entry host.
//!
//! The gate owns every request between its arrival and its outcome. It takes the time and an event
//! and returns actions; it never sends anything itself.

mod admit;
mod budget;
mod dispatch;
mod event;
mod finish;
mod options;
mod place;
mod queue;
mod step;
mod table;
mod track;

pub use budget::Budget;
pub use event::{Action, Claim, Event, Exchange};
pub use options::Options;
pub use queue::Queue;
pub use step::Gate;
pub use table::{Table, Worker};
