//! Which worker runs which task of a shard, and when.
//!
//! The leader of a shard holds the workers of its services by leases. Starts are not recorded: the
//! workers' own lists are the truth. A new leader starts a task from before its term only when every
//! worker that an older leader may have used has answered under the new token, or can't run anything
//! of older terms any more. Ends are recorded before they are acknowledged to the worker.

mod advice;
mod command;
mod drain;
mod event;
mod exit;
mod flush;
mod load;
mod pace;
mod place;
mod poll;
mod rank;
mod recovery;
mod run;
mod scheduler;
mod state;
mod step;
mod worker;

pub use event::{
    Action, AdviceRequest, Answer, Call, Command, Event, Exit, ExitStatus, Inventory, Poll, Report,
    RunStatus, Ticket,
};
pub use scheduler::{Options, Scheduler};
pub use worker::Resources;
