//! Load of a deployment's services, with checks of every answer.

mod call;
mod load;
mod table;
mod watch;

pub use load::{Args, run};
