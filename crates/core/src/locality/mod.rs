//! Waits for a place near the data of a task, or on one rack for a group.
//!
//! A task runs longer away from its data, but a wait for a place near it costs time as well. This module
//! decides how long a wait pays, as delay scheduling with a price instead of a fixed time: the scheduler
//! forecasts when a rack has room, and a task waits while that is sooner than the time that it would lose
//! elsewhere. It neither knows workers nor jobs, and does no I/O.

mod demand;
mod forecast;
mod ledger;
mod room;

pub use demand::{Demand, MAX_WAIT, UNIT};
pub use forecast::{Forecast, Place, Progress, remaining};
pub use ledger::{Ending, Ledger, MAX_WAITS, Outcome, Tally, Wait};
pub use room::Room;
