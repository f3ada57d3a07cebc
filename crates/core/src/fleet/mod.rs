//! Claims, moves, drains and maintenance waves of the pools that one fleet instance holds.
//!
//! The manager is level-triggered: at each event it compares the replayed state with the desired one and
//! appends records for the difference, so that a new holder of a pool continues where the last one stopped.
//!
//! The fleet process uses it; the gateway that accepts jobs plans its hosts with [`crate::upkeep`].

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
