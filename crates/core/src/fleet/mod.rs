//! Claims, moves, drains and waves of the pools that one fleet instance decides for.
//!
//! The manager is driven by levels, not by edges: at each event it compares the fold with what it
//! should be and appends the difference, so that a new holder continues where the last one stopped.

mod buffer;
mod claim;
mod drain;
mod event;
mod health;
mod manager;
mod moves;
mod options;
mod view;
mod watch;
mod wave;

pub use buffer::{Buffer, Need, buffer};
pub use event::{Action, Call, Event, Health, Status};
pub use manager::Manager;
pub use options::Options;
pub use view::{Index, View};
