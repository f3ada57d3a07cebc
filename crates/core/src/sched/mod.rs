//! Which worker runs which task of a shard, and when.
//!
//! The leader of a shard holds the workers of its services by leases. Starts are not recorded: the
//! workers' own lists are the truth. A new leader starts a task from before its term only when every
//! worker that an older leader may have used has answered under the new token, or can't run anything
//! of older terms any more. Ends are recorded before they are acknowledged to the worker.

mod advice;
mod drain;
mod ends;
mod event;
mod flush;
mod hold;
mod load;
mod machine;
mod order;
mod pace;
mod place;
mod rank;
mod run;
mod settle;
mod step;
mod work;
mod worker;

pub use event::{
    Action, AdviceRequest, Answer, Call, Command, Event, Exit, ExitStatus, Inventory, Poll, Report,
    RunStatus, Ticket,
};
pub use machine::{Options, Scheduler};
pub use worker::Resources;
