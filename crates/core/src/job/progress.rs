use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::{Job, Task};
use crate::ids;

/// `Outcome` is how a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
}

/// `Progress` is what is known of the ends of a job's tasks.
///
/// Each record carries all of it, so that the newest record of a job is enough.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Whether a task has started.
    #[serde(rename = "started")]
    pub has_started: bool,
    /// How the job ended, once it has.
    pub outcome: Option<Outcome>,
    /// Milliseconds since the epoch at which it ended.
    #[serde(rename = "ended")]
    pub ended_at_ms: u64,
    /// Tasks that are done: a bit each, by occurrence and step.
    #[serde(rename = "done")]
    completed: BTreeMap<(u32, u32), ByteBuf>,
    /// Runs of a task that ended as failed.
    #[serde(rename = "failed")]
    failed_runs: BTreeMap<(u32, u32, u32), Vec<ids::Run>>,
}

impl Progress {
    /// Checks if a task is done.
    #[must_use]
    pub fn is_done(&self, task: &Task) -> bool {
        let bits = self.completed.get(&(task.occurrence, task.step));
        let byte = bits.and_then(|bits| bits.get(task.index as usize / 8));
        byte.is_some_and(|byte| byte & (1 << (task.index % 8)) != 0)
    }

    /// Notes that a task is done; gets whether this is new.
    pub fn record_done(&mut self, task: &Task) -> bool {
        if self.is_done(task) {
            return false;
        }
        let bits = self
            .completed
            .entry((task.occurrence, task.step))
            .or_default();
        let byte = task.index as usize / 8;
        if bits.len() <= byte {
            bits.resize(byte + 1, 0);
        }
        bits[byte] |= 1 << (task.index % 8);
        true
    }

    /// Notes that a run of a task ended as failed; gets whether this is new.
    pub fn record_failure(&mut self, task: &Task, run: ids::Run) -> bool {
        let key = (task.occurrence, task.step, task.index);
        let runs = self.failed_runs.entry(key).or_default();
        if runs.contains(&run) {
            return false;
        }
        runs.push(run);
        true
    }

    /// Gets how many runs of a task ended as failed.
    #[must_use]
    pub fn failure_count(&self, task: &Task) -> usize {
        let key = (task.occurrence, task.step, task.index);
        self.failed_runs.get(&key).map_or(0, Vec::len)
    }

    /// Gets how many tasks of a step are done.
    #[must_use]
    pub fn done_count(&self, occurrence: u32, step: u32) -> u32 {
        let bits = self.completed.get(&(occurrence, step));
        bits.map_or(0, |bits| bits.iter().map(|byte| byte.count_ones()).sum())
    }

    /// Checks if every task of a job is done.
    #[must_use]
    pub fn is_complete(&self, job: &Job) -> bool {
        (0..job.occurrences()).all(|occurrence| {
            let mut steps = (0_u32..).zip(&job.steps);
            steps.all(|(index, step)| self.done_count(occurrence, index) >= step.count)
        })
    }
}
