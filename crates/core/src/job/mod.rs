//! Jobs of callers, their steps and tasks, and the recorded progress of a job.

mod progress;
mod spec;

pub use progress::{Outcome, Progress};
pub use spec::{Job, MAX_CPU_MILLICORES, MAX_GPUS, MAX_MEMORY_MB, MAX_TASKS, Schedule, Step, Task};

/// Checks if a field has its default value, which is not written to records.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
