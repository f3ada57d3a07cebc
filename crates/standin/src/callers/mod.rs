//! Load generator for a deployment's services, which checks every response.

mod call;
mod load;
mod table;
mod watch;

pub use load::{Args, run};
