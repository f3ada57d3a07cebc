//! Maintenance waves and moves of hosts between pools, planned by one leader for the fleet.
//!
//! The leader of a shard drains a worker before its host is maintained or moved. Only one leader at a time
//! calls the host service: a new one waits until no command of its predecessor can be in flight.

mod balance;
mod demand;
mod drain;
mod event;
mod history;
mod host;
mod maintain;
mod planner;
mod sizing;
mod transition;
mod turns;
mod wave;

pub use event::{Action, Answer, Command, Event, Operation};
pub use history::History;
pub use host::{Host, Listing, State};
pub use planner::{Options, Planner, Predecessor};
pub use wave::Wave;
