//! Traces of the state machines of a daemon, and their replay.
//!
//! A trace holds the initial configuration of a state machine and every event with the resulting
//! actions, so that the same code can reproduce the actions offline. Times are nanoseconds since
//! the start of the trace.

mod replay;
mod step;
mod summary;

pub use replay::Replay;
pub use step::{Action, Event, Header, Request, Source, Step};
pub use summary::Summary;

/// Version of the trace format; traces of other versions are rejected.
pub const VERSION: u16 = 1;
