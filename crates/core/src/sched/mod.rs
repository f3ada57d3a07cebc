//! Scheduling of a shard's tasks on its workers.
//!
//! The leader of a shard grants leases to the workers of its services and renews them by polling.
//! Starts are not recorded in the log: the inventory of each worker is authoritative. A new leader
//! starts a task that was accepted before its term only when every worker that an older leader may
//! have used has answered under the new fencing token, or can no longer run anything of an older
//! term. Exits are recorded in the log before they are acknowledged to the worker.

mod advice;
mod belief;
mod check;
mod command;
mod crash;
mod drain;
mod event;
mod exit;
mod flush;
mod graph;
mod handler;
mod idle;
mod load;
mod near;
mod outlook;
mod pace;
mod payload;
mod pick;
mod place;
mod poll;
mod pool;
mod rank;
mod recovery;
mod run;
mod scheduler;
mod share;
mod usage;
mod worker;

pub use belief::{Belief, Census, Change};
pub use event::{
    Action, Answer, Call, Cause, Command, Event, Exit, Inventory, Poll, Query, Reason, Report,
    Status, Stop, Ticket,
};
pub use idle::Idle;
pub use pool::Tally;
pub use recovery::{Rule, Wait};
pub use scheduler::{Options, Scheduler};
pub use worker::Resources;
