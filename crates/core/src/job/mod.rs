//! Jobs of callers, their steps and tasks, and the recorded progress of a job.

mod progress;
mod ranges;
mod spec;

pub use progress::{Outcome, Progress};
pub use spec::{Job, MAX_CPU_MILLICORES, MAX_GPUS, MAX_MEMORY_MB, MAX_TASKS, Schedule, Step, Task};
