use std::time::Duration;

use bytestring::ByteString;
use serde::{Deserialize, Serialize};

use crate::account::Caller;
use crate::ids;
use crate::job::{Job, Progress};

/// `Key` is the key of a record; the log keeps the newest record of each key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Key {
    /// An accepted job.
    Accepted(ids::Job),
    /// The heartbeat of the shard's leader.
    Heartbeat,
    /// The cancellation of a job by a caller.
    Canceled(ids::Job),
    /// The cancellation of a job by a caller, where there are accounts.
    Barred(ids::Job, Caller),
    /// The drain request for a worker.
    Drain(ids::Worker),
    /// The detached payload of a job.
    Payload(ids::Job),
    /// The progress of a job.
    Progress(ids::Job),
    /// A worker that is drained.
    Drained(ids::Worker),
    /// The maintained hosts of a wave.
    Wave(ids::WaveNumber),
}

/// `Record` is a record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Job>),
    /// A process claims a term, or the leader shows that it is alive.
    Heartbeat(Heartbeat),
    /// A caller canceled a job, whoever it belongs to.
    Canceled(ids::Job),
    /// A caller canceled a job. It has effect if the job is the caller's, as those who read its acceptance know.
    Barred(ids::Job, Caller),
    /// A worker is to be drained; `None` withdraws the request.
    Drain(ids::Worker, Option<Drain>),
    /// The payload of a job, recorded before its acceptance in a partition that only leaders read.
    Payload(ids::Job, ByteString),
    /// Tasks of a job have started or ended.
    Progress(ids::Job, Progress),
    /// A worker is drained.
    Drained(ids::Worker, Drained),
    /// Hosts of a wave were maintained.
    Wave(ids::WaveNumber, Vec<ids::Host>),
    /// The key was deleted.
    Dropped(Key),
}

/// Most accounts whose excess a load reports: the heartbeat of a leader is written several times a second and read by
/// all processes.
pub const MAX_EXCESSES: usize = 32;

/// `Heartbeat` is the periodic record of a leader.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Term of the leader; 0 in the record that claims a term, which takes its number from the
    /// offset.
    pub term: ids::Term,
    /// Process that leads.
    pub node: ids::Instance,
    /// Value that distinguishes the incarnations of a process.
    pub nonce: u64,
    /// Whether the leader is about to resign, so that the others read the log more often.
    #[serde(default)]
    #[serde(rename = "leaving")]
    pub is_resigning: bool,
    /// Whether the leader has resigned and sends no further requests.
    #[serde(rename = "resigned")]
    pub has_resigned: bool,
    /// Load of each service of the shard.
    pub loads: Vec<Load>,
}

/// `Load` is the demand and the capacity of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Service.
    pub service: ids::Service,
    /// Processor time reserved by tasks that are not long-running, in millicores.
    pub used: u64,
    /// Processor time reserved by long-running tasks, in millicores.
    #[serde(rename = "lasting")]
    pub long_running: u64,
    /// Total processor time of its workers, in millicores.
    #[serde(rename = "room")]
    pub capacity: u64,
    /// Work of idle tasks that could start, in millicore-seconds.
    #[serde(rename = "waiting")]
    pub backlog: u64,
    /// Estimated time until the first start of a job that is submitted now.
    #[serde(rename = "delay")]
    pub queue_delay: Duration,
    /// Estimated time until the first start of a job that is submitted now and will be late: such jobs come after all
    /// that can complete in time.
    #[serde(
        default,
        rename = "late_delay",
        skip_serializing_if = "Duration::is_zero"
    )]
    pub late_delay: Duration,
    /// Client accounts that exceed their rate or their share, [`MAX_EXCESSES`] at most. The delays above are those of
    /// all others.
    #[serde(default, rename = "excess", skip_serializing_if = "Vec::is_empty")]
    pub excesses: Vec<Excess>,
    /// Work of newly accepted jobs per second, in millicore-seconds.
    #[serde(rename = "offered")]
    pub arrival_rate: u64,
    /// Hosts that long-running steps need to stay within their limit of tasks per worker.
    #[serde(rename = "spread")]
    pub min_hosts: u32,
    /// Workers without long-running tasks and their reserved processor time in millicores, in
    /// ascending order of it.
    #[serde(rename = "light")]
    pub short_running_workers: Vec<(ids::Worker, u64)>,
}

/// `Excess` is what the jobs of a client account face that exceeds its rate or its share.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Excess {
    /// Account.
    pub account: ids::Account,
    /// Estimated time until the first start of a job that is submitted now and is within the rate.
    pub delay: Duration,
    /// Part of the account's jobs that is within its rate, in parts per thousand.
    pub admitted: u32,
    /// Estimated time until the first start of a job that is submitted now and is beyond the rate.
    #[serde(rename = "beyond_delay")]
    pub beyond_rate_delay: Duration,
}

impl Excess {
    /// Parts per thousand that stand for all jobs of an account.
    pub const ALL_ADMITTED: u32 = 1_000;
}

/// `Drain` is a request to the leader of a shard to drain a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Host that the worker runs on.
    pub host: ids::Host,
    /// Service that the worker belongs to.
    pub service: ids::Service,
}

/// `Drained` is the confirmation that a worker runs no tasks and gets none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drained {
    /// Term of the leader that drained the worker.
    pub term: ids::Term,
}

/// `Limits` bounds what the log takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a record with its key, in bytes.
    pub record_bytes: usize,
    /// Maximum size of the records of one append, in bytes.
    pub append_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            record_bytes: 256 * 1024,
            append_bytes: 2 * 1024 * 1024,
        }
    }
}

impl Heartbeat {
    /// Checks if a record at this offset may have the term: that of a claim is its offset plus 1.
    #[must_use]
    pub fn is_valid_at(&self, offset: ids::Offset) -> bool {
        offset
            .checked_add(1)
            .is_some_and(|claimable| self.term <= claimable)
    }
}

impl Record {
    /// Returns the key of the record.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Accepted(job) => Key::Accepted(job.id.clone()),
            Self::Heartbeat(_) => Key::Heartbeat,
            Self::Canceled(job) => Key::Canceled(job.clone()),
            Self::Barred(job, caller) => Key::Barred(job.clone(), caller.clone()),
            Self::Drain(worker, _) => Key::Drain(worker.clone()),
            Self::Payload(job, _) => Key::Payload(job.clone()),
            Self::Progress(job, _) => Key::Progress(job.clone()),
            Self::Drained(worker, _) => Key::Drained(worker.clone()),
            Self::Wave(wave, _) => Key::Wave(*wave),
            Self::Dropped(key) => key.clone(),
        }
    }

    /// Returns what is recorded in place of a record that the log can't store: the end of the job whose progress it
    /// is, or a heartbeat without workers. `None` if nothing can take its place.
    #[must_use]
    pub fn reduced(&self, unix_ms: u64) -> Option<Self> {
        let reduced = match self {
            Self::Progress(job, progress) => Self::Progress(job.clone(), progress.summary(unix_ms)),
            Self::Heartbeat(heartbeat) => {
                let mut heartbeat = heartbeat.clone();
                for load in &mut heartbeat.loads {
                    load.short_running_workers.clear();
                }
                Self::Heartbeat(heartbeat)
            }
            Self::Accepted(_)
            | Self::Canceled(_)
            | Self::Barred(..)
            | Self::Drain(..)
            | Self::Payload(..)
            | Self::Drained(..)
            | Self::Wave(..)
            | Self::Dropped(_) => return None,
        };
        (reduced != *self).then_some(reduced)
    }
}
