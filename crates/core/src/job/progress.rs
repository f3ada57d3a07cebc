use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::{Job, Task};
use crate::ids;

/// `Outcome` is the final result of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task used up all of its attempts.
    Failed,
}

/// `Crashes` counts the workers that crashed under a task.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Crashes {
    /// Runs of the task that were lost with their worker.
    runs: Vec<ids::Run>,
    /// Number of those crashes that only this task can have caused.
    unexplained: u32,
}

/// `Progress` is the recorded progress of a job: its done tasks, failed runs, crashes and outcome.
///
/// Each record in the log holds all of it, so that the newest record of a job suffices.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Whether a task has started.
    #[serde(rename = "started")]
    pub has_started: bool,
    /// Result of the job, once it has ended.
    pub outcome: Option<Outcome>,
    /// Time at which the job ended, in milliseconds since the Unix epoch.
    #[serde(rename = "ended")]
    pub ended_at_ms: u64,
    /// Bit sets of the done tasks, by occurrence and step.
    #[serde(rename = "done")]
    done_tasks: BTreeMap<(u32, u32), ByteBuf>,
    /// Failed runs, by occurrence, step and index of the task.
    #[serde(rename = "failed")]
    failed_runs: BTreeMap<(u32, u32, u32), Vec<ids::Run>>,
    /// Crashes of workers, by occurrence, step and index of the task that ran on them.
    #[serde(
        default,
        rename = "crashed",
        skip_serializing_if = "BTreeMap::is_empty"
    )]
    crashes: BTreeMap<(u32, u32, u32), Crashes>,
}

impl Progress {
    /// Checks if a task is done.
    #[must_use]
    pub fn is_done(&self, task: &Task) -> bool {
        let bits = self.done_tasks.get(&(task.occurrence, task.step));
        let byte = bits.and_then(|bits| bits.get(task.index as usize / 8));
        byte.is_some_and(|byte| byte & (1 << (task.index % 8)) != 0)
    }

    /// Records that a task is done, and returns whether that was new.
    pub fn record_done(&mut self, task: &Task) -> bool {
        if self.is_done(task) {
            return false;
        }
        let bits = self
            .done_tasks
            .entry((task.occurrence, task.step))
            .or_default();
        let byte = task.index as usize / 8;
        if bits.len() <= byte {
            bits.resize(byte + 1, 0);
        }
        bits[byte] |= 1 << (task.index % 8);
        true
    }

    /// Records a failed run of a task, and returns whether that was new.
    pub fn record_failure(&mut self, task: &Task, run: ids::Run) -> bool {
        let key = (task.occurrence, task.step, task.index);
        let runs = self.failed_runs.entry(key).or_default();
        if runs.contains(&run) {
            return false;
        }
        runs.push(run);
        true
    }

    /// Returns the number of failed runs of a task.
    #[must_use]
    pub fn failure_count(&self, task: &Task) -> usize {
        let key = (task.occurrence, task.step, task.index);
        self.failed_runs.get(&key).map_or(0, Vec::len)
    }

    /// Records the crash of a worker under a run of a task, and returns whether that was new.
    ///
    /// `is_unexplained` is true if only this task can have caused it.
    pub fn record_crash(&mut self, task: &Task, run: ids::Run, is_unexplained: bool) -> bool {
        let key = (task.occurrence, task.step, task.index);
        let crashes = self.crashes.entry(key).or_default();
        if crashes.runs.contains(&run) {
            return false;
        }
        crashes.runs.push(run);
        crashes.unexplained += u32::from(is_unexplained);
        true
    }

    /// Checks if a worker has crashed under a task of the job.
    #[must_use]
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the number of workers that crashed under a task.
    #[must_use]
    pub fn crash_count(&self, task: &Task) -> usize {
        let key = (task.occurrence, task.step, task.index);
        self.crashes.get(&key).map_or(0, |known| known.runs.len())
    }

    /// Returns the number of crashes that only this task can have caused.
    #[must_use]
    pub fn unexplained_crash_count(&self, task: &Task) -> u32 {
        let key = (task.occurrence, task.step, task.index);
        self.crashes.get(&key).map_or(0, |known| known.unexplained)
    }

    /// Checks if all tasks of a step are done, which has `count` of them.
    fn is_step_done(&self, occurrence: u32, step: u32, count: u32) -> bool {
        let Some(bits) = self.done_tasks.get(&(occurrence, step)) else {
            return count == 0;
        };
        // Bits behind the last task stand for nothing.
        let full = (count / 8) as usize;
        let rest = (1_u8 << (count % 8)) - 1;
        let is_rest_done = rest == 0 || bits.get(full).is_some_and(|byte| byte & rest == rest);
        is_rest_done && bits.len() >= full && bits[..full].iter().all(|byte| *byte == u8::MAX)
    }

    /// Checks if every task of a job is done.
    #[must_use]
    pub fn is_complete(&self, job: &Job) -> bool {
        (0..job.occurrences()).all(|occurrence| {
            let mut steps = (0_u32..).zip(&job.steps);
            steps.all(|(index, step)| self.is_step_done(occurrence, index, step.count))
        })
    }
}
