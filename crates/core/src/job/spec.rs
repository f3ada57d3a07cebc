use std::time::Duration;

use bytestring::ByteString;
use serde::{Deserialize, Serialize};

use crate::errors::{Result, value_error};
use crate::ids;

/// Most tasks of one occurrence of a job, whose states the leader of the shard holds in memory.
pub const MAX_TASKS: u32 = 20_000;
/// Most processor time that a task reserves, in millicores.
pub const MAX_CPU_MILLICORES: u64 = 1_000_000_000;
/// Most memory that a task reserves, in MB.
pub const MAX_MEMORY_MB: u64 = 1_000_000_000_000;
/// Most accelerators that a task reserves.
pub const MAX_GPUS: u64 = 1_000_000;
/// Largest payload, in bytes, that stays in the record of its job: a record of its own costs an append.
const MAX_ATTACHED_PAYLOAD_BYTES: usize = 128;
/// Longest run time of a task that is estimated; a longer one counts as this.
const MAX_ESTIMATE: Duration = Duration::from_hours(365 * 24);

/// `Job` is a job that a caller submitted: steps of tasks for the workers of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Job {
    /// Id that the caller chose.
    pub id: ids::Job,
    /// Queue that accepted the job.
    pub queue: ids::Queue,
    /// Service whose workers ran the queue's tasks when the job was accepted.
    pub service: ids::Service,
    /// Client account that it belongs to; `None` if its queue was open to all when it was accepted, and in records
    /// from before accounts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<ids::Account>,
    /// Payload that is sent with the start of each task; empty if it is detached.
    #[serde(default, rename = "text", skip_serializing_if = "is_default")]
    pub payload: ByteString,
    /// Steps; each depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Times at which the steps run; `None` for a job that runs once and immediately.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// Time at which the job was accepted, in milliseconds since the Unix epoch.
    #[serde(rename = "accepted")]
    pub accepted_at_ms: u64,
    /// Whether its payload is a record of its own.
    #[serde(default, rename = "detached", skip_serializing_if = "is_default")]
    pub has_detached_payload: bool,
}

/// `Schedule` is the times at which the occurrences of a job are due.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Time at which the first occurrence is due, in milliseconds since the Unix epoch.
    #[serde(rename = "first")]
    pub first_due_ms: u64,
    /// Time between two occurrences, in milliseconds.
    #[serde(rename = "interval")]
    pub interval_ms: u64,
    /// Number of occurrences.
    #[serde(rename = "times")]
    pub occurrences: u32,
}

/// `Step` is a set of tasks of a job with the same properties.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "callers declare each property independently"
)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Processor time that a task reserves, in millicores.
    #[serde(rename = "cpu")]
    pub cpu_millicores: u64,
    /// Memory that a task reserves, in MB.
    #[serde(rename = "memory")]
    pub memory_mb: u64,
    /// Number of accelerators that a task reserves.
    #[serde(default, rename = "gpu", skip_serializing_if = "is_default")]
    pub gpus: u64,
    /// Estimated run time of a task, as declared by the caller.
    pub estimate: Duration,
    /// Indexes of the steps whose tasks must all be done first.
    #[serde(default, rename = "after", skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<u32>,
    /// Whether a task saves its progress while it runs.
    #[serde(default, rename = "checkpointing", skip_serializing_if = "is_default")]
    pub is_checkpointing: bool,
    /// Whether the tasks must run simultaneously.
    #[serde(default, rename = "gang", skip_serializing_if = "is_default")]
    pub is_gang: bool,
    /// Whether the tasks run slowly when they are spread over several racks.
    #[serde(default, rename = "same_rack", skip_serializing_if = "is_default")]
    pub prefers_same_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(default, rename = "label", skip_serializing_if = "Option::is_none")]
    pub required_label: Option<ids::Label>,
    /// Rack that holds the tasks' data; the tasks run slowly elsewhere.
    #[serde(default, rename = "rack", skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<ids::Label>,
    /// Limit of the step's tasks on one worker; `None` for no limit.
    #[serde(
        default,
        rename = "per_worker",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_per_worker: Option<u32>,
    /// Whether copies of a task may run in parallel.
    #[serde(default, rename = "duplicates", skip_serializing_if = "is_default")]
    pub allows_duplicates: bool,
    /// Whether the tasks run until the job is canceled.
    #[serde(default, rename = "lasting", skip_serializing_if = "is_default")]
    pub is_long_running: bool,
    /// Program that the tasks run; tasks of the same program have similar resource usage.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<ByteString>,
    /// Target for the response time of a long-running task to its own users.
    #[serde(default, rename = "target", skip_serializing_if = "Option::is_none")]
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only the processor time that other tasks on the worker leave.
    #[serde(default, rename = "fills", skip_serializing_if = "is_default")]
    pub is_best_effort: bool,
    /// Limit of the step's long-running tasks that planned operations may make unavailable at a
    /// time; 0 for no limit.
    #[serde(default, rename = "may_miss", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

/// `Task` is the id of a task of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Task {
    /// Job that it belongs to.
    pub job: ids::Job,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Index in the step, from 0.
    pub index: u32,
}

impl Schedule {
    /// Returns the time at which an occurrence is due, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let delay_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_due_ms.saturating_add(delay_ms)
    }
}

impl Step {
    /// Returns the declared run time of a task, bounded so that times can be computed with it.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        self.estimate.min(MAX_ESTIMATE)
    }

    /// Returns the declared work of a number of tasks, in millicore-seconds.
    #[must_use]
    pub fn work(&self, count: u32) -> u64 {
        let cpu_millicores = u128::from(count).saturating_mul(self.cpu_millicores.into());
        let work = cpu_millicores.saturating_mul(self.run_time().as_millis()) / 1_000;
        u64::try_from(work).unwrap_or(u64::MAX)
    }

    /// Checks that there are tasks, and that these reserve resources which a worker may have.
    fn check(&self) -> Result<()> {
        let problem = if self.count == 0 {
            "a step has no tasks".to_owned()
        } else if self.cpu_millicores > MAX_CPU_MILLICORES {
            format!("a task reserves more processor time than {MAX_CPU_MILLICORES} millicores")
        } else if self.memory_mb > MAX_MEMORY_MB {
            format!("a task reserves more memory than {MAX_MEMORY_MB} MB")
        } else if self.gpus > MAX_GPUS {
            format!("a task reserves more accelerators than {MAX_GPUS}")
        } else {
            return Ok(());
        };
        Err(value_error("job", problem))
    }
}

impl Job {
    /// Returns the number of times that the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the estimated run time of the longest dependency chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_ends = step
                .dependencies
                .iter()
                .filter_map(|s| ends.get(*s as usize));
            let start = dependency_ends.max().copied().unwrap_or_default();
            ends.push(start + step.run_time());
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the declared work of one occurrence without long-running tasks, in millicore-seconds.
    #[must_use]
    pub fn occurrence_work(&self) -> u64 {
        let steps = self.steps.iter().filter(|step| !step.is_long_running);
        let work = steps.map(|step| step.work(step.count));
        work.fold(0, u64::saturating_add)
    }

    /// Separates a large payload from the job, so that only leaders read it, and returns it.
    #[must_use]
    pub fn detach_payload(mut self) -> (Self, Option<ByteString>) {
        if self.payload.len() <= MAX_ATTACHED_PAYLOAD_BYTES {
            return (self, None);
        }
        self.has_detached_payload = true;
        let payload = std::mem::take(&mut self.payload);
        (self, Some(payload))
    }

    /// Returns what the log keeps of a completed job: its id, queue, service and acceptance time.
    #[must_use]
    pub fn stub(&self) -> Self {
        Self {
            payload: ByteString::new(),
            steps: Vec::new(),
            schedule: None,
            has_detached_payload: false,
            ..self.clone()
        }
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Checks if this is what the log keeps of a completed job.
    #[must_use]
    pub fn is_stub(&self) -> bool {
        self.steps.is_empty() && self.payload.is_empty() && self.schedule.is_none()
    }

    /// Checks that a leader can hold the job: that there are steps, that each depends only on
    /// earlier steps, and that the numbers and the resources of the tasks are in range.
    ///
    /// # Errors
    ///
    /// Returns a value error that states the first problem.
    pub fn check(&self) -> Result<()> {
        if self.steps.is_empty() {
            return Err(value_error("job", "the job has no steps"));
        }
        for (index, step) in self.steps.iter().enumerate() {
            step.check()?;
            if step
                .dependencies
                .iter()
                .any(|other| *other as usize >= index)
            {
                return Err(value_error(
                    "job",
                    "a step depends on a step that is not an earlier one",
                ));
            }
        }
        if self.task_count() > u64::from(MAX_TASKS) {
            let problem = format!("the job has more tasks than {MAX_TASKS}");
            return Err(value_error("job", problem));
        }
        Ok(())
    }

    /// Checks if a leader can hold the job.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.check().is_ok()
    }
}

/// Checks if a field has its default value, which is not written.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
