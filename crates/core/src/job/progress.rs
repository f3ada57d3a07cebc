use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use super::ranges::Ranges;
use super::{Job, Task};
use crate::ids;

/// Maximum number of crashes of a task that are kept: more than after which it is given up.
const MAX_CRASHES: usize = 8;

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
/// Each record in the log holds all of it, so that the newest record of a job suffices. Nothing is kept of a task that is
/// done but a bit until its occurrence is finished, so the size depends on the tasks of unfinished occurrences.
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
    /// Finished occurrences, of which all tasks are done.
    #[serde(default, skip_serializing_if = "Ranges::is_empty")]
    finished: Ranges,
    /// Bit sets of the done tasks of the other occurrences, by occurrence and step.
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
        if self.is_finished(task.occurrence) {
            return true;
        }
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
        // A task that is done starts no more, whatever became of its runs.
        let key = (task.occurrence, task.step, task.index);
        self.failed_runs.remove(&key);
        self.crashes.remove(&key);
        true
    }

    /// Checks if an occurrence is finished.
    #[must_use]
    pub fn is_finished(&self, occurrence: u32) -> bool {
        self.finished.contains(occurrence)
    }

    /// Returns the first occurrence that is not finished.
    #[must_use]
    pub fn first_unfinished(&self) -> u32 {
        self.finished.first_missing(0)
    }

    /// Records that an occurrence is finished if all of its tasks are done.
    pub fn finish_if_done(&mut self, job: &Job, occurrence: u32) {
        if occurrence >= job.occurrences()
            || self.is_finished(occurrence)
            || !self.is_occurrence_done(job, occurrence)
        {
            return;
        }
        self.finished.insert(occurrence);
        for (step, _) in (0..).zip(&job.steps) {
            self.done_tasks.remove(&(occurrence, step));
        }
    }

    /// Brings the progress of a job that an earlier version recorded into the present form.
    pub fn compact(&mut self, job: &Job) {
        let occurrences: BTreeSet<u32> = self.done_tasks.keys().map(|key| key.0).collect();
        for occurrence in occurrences {
            self.finish_if_done(job, occurrence);
        }
        let finished = &self.finished;
        self.failed_runs
            .retain(|(occurrence, ..), _| !finished.contains(*occurrence));
        self.crashes
            .retain(|(occurrence, ..), _| !finished.contains(*occurrence));
    }

    /// Returns the progress without the details of tasks, as that of a job that ends as failed unless it has ended.
    #[must_use]
    pub fn summary(&self, ended_at_ms: u64) -> Self {
        Self {
            has_started: self.has_started,
            outcome: self.outcome.or(Some(Outcome::Failed)),
            ended_at_ms: self.outcome.map_or(ended_at_ms, |_| self.ended_at_ms),
            ..Self::default()
        }
    }

    /// Records a failed run of a task, and returns whether that was new.
    pub fn record_failure(&mut self, task: &Task, run: ids::Run) -> bool {
        if self.is_done(task) {
            return false;
        }
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
        if self.is_done(task) {
            return false;
        }
        let key = (task.occurrence, task.step, task.index);
        let crashes = self.crashes.entry(key).or_default();
        if crashes.runs.contains(&run) {
            return false;
        }
        if crashes.runs.len() == MAX_CRASHES {
            crashes.runs.remove(0);
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

    fn is_occurrence_done(&self, job: &Job, occurrence: u32) -> bool {
        let mut steps = (0_u32..).zip(&job.steps);
        steps.all(|(index, step)| self.is_step_done(occurrence, index, step.count))
    }

    /// Checks if every task of a job is done.
    #[must_use]
    pub fn is_complete(&self, job: &Job) -> bool {
        let mut occurrence = self.first_unfinished();
        while occurrence < job.occurrences() {
            if !self.is_occurrence_done(job, occurrence) {
                return false;
            }
            occurrence = self.finished.first_missing(occurrence + 1);
        }
        true
    }
}
