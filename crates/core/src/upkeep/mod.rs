//! Waves of maintenance and moves of hosts between pools, decided by one leader for the fleet.
//!
//! A host is freed of tasks by the leader of its shard before it is stopped. The host service is
//! called by one holder at a time: a new leader waits until an older one can't have a command on its
//! way.

mod balance;
mod demand;
mod drain;
mod event;
mod host;
mod maintain;
mod planner;
mod wave;

pub use event::{Action, Answer, Command, Event, Operation};
pub use host::{Host, State};
pub use planner::{Options, Planner};
pub use wave::Wave;
