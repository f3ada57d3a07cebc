//! Traces of the decisions of a daemon, and their replay.
//!
//! A trace holds what a decision was made from and every event with the actions that followed, so
//! the same decision code gives the same actions offline. Times are nanoseconds after the start.

mod replay;
mod step;
mod summary;

pub use replay::Replay;
pub use step::{Action, Event, Header, Request, Source, Step};
pub use summary::Summary;

/// Version of the traces; a trace of another version is not replayed.
pub const VERSION: u16 = 1;
