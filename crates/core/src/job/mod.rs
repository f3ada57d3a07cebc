//! Jobs of callers: steps of tasks, what is known of their ends, and what callers are told.

mod progress;
mod spec;

pub use progress::{Outcome, Progress};
pub use spec::{Job, Schedule, Step, Task};
