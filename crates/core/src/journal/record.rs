use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;
use crate::job::{Job, Progress};

/// `Key` is what a record is about; the log keeps the newest record of each.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Key {
    /// The job as it was accepted.
    Accepted(ids::Job),
    /// The leader of the shard.
    Heartbeat,
    /// The wish of a caller to end a job.
    Canceled(ids::Job),
    /// A worker that is to be freed of tasks.
    Drain(ids::Worker),
    /// The ends of a job's tasks.
    Progress(ids::Job),
    /// A worker that gets no more tasks from the shard.
    Drained(ids::Worker),
    /// The hosts of a wave that were maintained.
    Wave(ids::WaveNumber),
}

/// `Record` is what the newest record of a key says.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Accepted(Box<Job>),
    /// The leader leads.
    Heartbeat(Heartbeat),
    /// A caller ends a job.
    Canceled(ids::Job),
    /// A worker is to be freed of tasks, or no longer.
    Drain(ids::Worker, Option<Drain>),
    /// Tasks of a job ended.
    Progress(ids::Job, Progress),
    /// A worker gets no more tasks.
    Drained(ids::Worker, Drained),
    /// Hosts of a wave were maintained.
    Wave(ids::WaveNumber, Vec<ids::Host>),
    /// The key was dropped.
    Dropped(Key),
}

/// `Beat` is what a leader says of itself from time to time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Term of the leader; 0 in the record that claims the term, whose offset makes it.
    pub term: ids::Term,
    /// Process that leads.
    pub node: ids::Instance,
    /// Value that tells two claims of one process apart.
    pub nonce: u64,
    /// Whether the leader is going to give up its term, so that others follow closely.
    #[serde(default)]
    #[serde(rename = "leaving")]
    pub is_resigning: bool,
    /// Whether the leader has given up its term and sends nothing more.
    #[serde(rename = "resigned")]
    pub has_resigned: bool,
    /// Load of each service of the shard.
    pub loads: Vec<Load>,
}

/// `Load` is the demand and the room of a service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Service.
    pub service: ids::Service,
    /// Processor time of its workers in use by tasks that end, in thousandths of a core.
    pub used: u64,
    /// Processor time of its workers in use by lasting tasks, in thousandths of a core.
    #[serde(rename = "lasting")]
    pub long_running: u64,
    /// Processor time of its workers, in thousandths of a core.
    #[serde(rename = "room")]
    pub capacity: u64,
    /// Work that waits, in thousandths of a core times seconds.
    #[serde(rename = "waiting")]
    pub backlog: u64,
    /// Time that a job handed in now waits for its first start.
    #[serde(rename = "delay")]
    pub queue_delay: Duration,
    /// Work of the jobs accepted lately, in thousandths of a core times seconds, a second.
    #[serde(rename = "offered")]
    pub offered_load: u64,
    /// Hosts without which a lasting step can't be spread as it asks.
    #[serde(rename = "spread")]
    pub min_hosts: u32,
    /// Workers that run no lasting task, with the processor time in use there, the least first.
    #[serde(rename = "light")]
    pub least_loaded: Vec<(ids::Worker, u64)>,
}

/// `Drain` asks the leader of a shard to free a worker of tasks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Host that the worker runs on.
    pub host: ids::Host,
    /// Service that the worker belongs to.
    pub service: ids::Service,
}

/// `Vacated` says that a worker runs nothing and gets nothing more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drained {
    /// Term of the leader that says so.
    pub term: ids::Term,
}

impl Record {
    /// Gets what the record is about.
    #[must_use]
    pub fn key(&self) -> Key {
        match self {
            Self::Accepted(job) => Key::Accepted(job.id.clone()),
            Self::Heartbeat(_) => Key::Heartbeat,
            Self::Canceled(job) => Key::Canceled(job.clone()),
            Self::Drain(worker, _) => Key::Drain(worker.clone()),
            Self::Progress(job, _) => Key::Progress(job.clone()),
            Self::Drained(worker, _) => Key::Drained(worker.clone()),
            Self::Wave(wave, _) => Key::Wave(*wave),
            Self::Dropped(key) => key.clone(),
        }
    }
}
