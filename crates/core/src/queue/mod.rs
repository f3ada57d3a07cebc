//! Queues of jobs and the services whose workers run them, as operators configure them.

use std::time::Duration;

use bytestring::ByteString;

use crate::ids;

/// `Queue` takes in jobs of callers for the workers of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: ids::Queue,
    /// Host name that callers address.
    pub hostname: ByteString,
    /// Start of the paths that callers address.
    pub path_prefix: ByteString,
    /// Service whose workers run the tasks.
    pub service: ids::Service,
    /// Rank among the queues; 0 comes first and may preempt others.
    pub priority: u32,
    /// Runs of a task that may end as failed.
    pub max_attempts: u32,
    /// Multiple of its longest chain of work in which a job is served in time.
    pub stretch: f64,
    /// Time that a job has beyond that multiple.
    pub allowance: Duration,
    /// Time limit of the calls themselves.
    pub call_timeout: Duration,
    /// Whether a policy service chooses the workers, and how it does.
    pub advice: Option<Advice>,
}

/// `Advice` is how the policy service answers for a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Advice {
    /// Time that an answer takes.
    pub base_latency: Duration,
    /// Time that it takes more for each worker asked about.
    pub latency_per_worker: Duration,
    /// Time for which an answer holds.
    pub validity: Duration,
}

/// `Service` is a pool of hosts with one kind of worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ids::Service,
    /// Whether its workers refuse tasks that don't fit.
    pub rejects_overload: bool,
    /// Whether its hosts are off and cost nothing.
    pub is_spare: bool,
}

/// `Config` is the configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; it only rises.
    pub version: u64,
    /// Queues, the longest prefix first.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
}

impl Config {
    /// Makes a configuration; the order of the queues doesn't matter.
    #[must_use]
    pub fn new(version: u64, mut queues: Vec<Queue>, services: Vec<Service>) -> Self {
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.path_prefix.len()));
        Self {
            version,
            queues,
            services,
        }
    }

    /// Finds the queue with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches =
            |queue: &&Queue| queue.hostname == host && path.starts_with(&*queue.path_prefix);
        self.queues.iter().find(matches)
    }

    /// Finds a queue by its name.
    #[must_use]
    pub fn queue(&self, name: &ids::Queue) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == *name)
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &ids::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
