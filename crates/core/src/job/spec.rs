use std::time::Duration;

use bytestring::ByteString;
use serde::{Deserialize, Serialize};

use crate::ids;

/// `Job` is work that a caller handed in: steps of tasks for the workers of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Name that the caller chose.
    pub id: ids::Job,
    /// Queue that took it in.
    pub queue: ids::Queue,
    /// Service whose workers ran the queue's tasks when the job was accepted.
    pub service: ids::Service,
    /// Text that each of its tasks is started with.
    #[serde(rename = "text")]
    pub payload: ByteString,
    /// Steps in the order in which they refer to each other.
    pub steps: Vec<Step>,
    /// Times at which the steps run; nothing for a job that runs once, at once.
    pub schedule: Option<Schedule>,
    /// Milliseconds since the epoch at which it was accepted.
    #[serde(rename = "accepted")]
    pub accepted_at_ms: u64,
}

/// `Schedule` is when the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Milliseconds since the epoch at which the first occurrence is due.
    #[serde(rename = "first")]
    pub first_due_ms: u64,
    /// Milliseconds between two occurrences.
    #[serde(rename = "interval")]
    pub interval_ms: u64,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: u32,
}

/// `Step` is a set of like tasks of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers declare each property by itself"
)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Processor time that a task reserves, in thousandths of a core.
    #[serde(rename = "cpu")]
    pub cpu_millicores: u64,
    /// Memory that a task reserves, in MB.
    #[serde(rename = "memory")]
    pub memory_mb: u64,
    /// Accelerators that a task reserves.
    #[serde(rename = "gpu")]
    pub gpus: u64,
    /// Rough run time of a task, as the caller declares it.
    pub estimate: Duration,
    /// Steps whose tasks must all be done first.
    #[serde(rename = "after")]
    pub dependencies: Vec<u32>,
    /// Whether a task saves its progress while it runs.
    #[serde(rename = "checkpointing")]
    pub is_checkpointing: bool,
    /// Whether the tasks work only together.
    #[serde(rename = "gang")]
    pub is_gang: bool,
    /// Whether the tasks are slow when spread over several racks.
    #[serde(rename = "same_rack")]
    pub prefers_same_rack: bool,
    /// Label that a worker must have.
    #[serde(rename = "label")]
    pub required_label: Option<ids::Label>,
    /// Rack where the tasks' data is; they are slow elsewhere.
    #[serde(rename = "rack")]
    pub data_rack: Option<ids::Label>,
    /// Most tasks of the step on one worker; nothing for no limit.
    #[serde(rename = "per_worker")]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    #[serde(rename = "duplicates")]
    pub allows_duplicates: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub is_long_running: bool,
    /// Program that the tasks run; tasks of one program behave alike.
    pub image: Option<ByteString>,
    /// Response time that a lasting task owes its own users.
    #[serde(rename = "target")]
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only what other tasks on the worker leave.
    #[serde(rename = "fills")]
    pub is_best_effort: bool,
    /// Lasting tasks of the step that may be away at once by planned acts.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

/// `Task` names a task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Task {
    /// Job that it belongs to.
    pub job: ids::Job,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Place in the step, from 0.
    pub index: u32,
}

impl Job {
    /// Gets how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Gets the declared run time of the longest chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let after = step
                .dependencies
                .iter()
                .filter_map(|s| ends.get(*s as usize));
            let start = after.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Gets the declared work of one occurrence, in thousandths of a core times seconds.
    #[must_use]
    pub fn total_work(&self) -> u64 {
        let work = |step: &Step| {
            let millis = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
            u64::from(step.count) * step.cpu_millicores * millis / 1_000
        };
        self.steps
            .iter()
            .filter(|step| !step.is_long_running)
            .map(work)
            .sum()
    }

    /// Gets what is kept of the job once it is completed: its name and where it belongs.
    #[must_use]
    pub fn stub(&self) -> Self {
        Self {
            payload: ByteString::new(),
            steps: Vec::new(),
            schedule: None,
            ..self.clone()
        }
    }

    /// Checks that the steps refer to earlier ones only and have tasks.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let ordered = |(index, step): (usize, &Step)| {
            step.count > 0
                && step
                    .dependencies
                    .iter()
                    .all(|after| (*after as usize) < index)
        };
        !self.steps.is_empty() && self.steps.iter().enumerate().all(ordered)
    }
}
