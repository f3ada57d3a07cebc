//! Configuration of the job queues and of the services whose workers run the jobs.

use std::time::{Duration, Instant};

use bytestring::ByteString;

use crate::account::{Caller, Denial, Directory, Key};
use crate::ids;
use crate::map::Map;

/// Longest time objective of a job. Times up to it can be added to the present.
const MAX_OBJECTIVE: Duration = Duration::from_hours(100 * 365 * 24);
/// Longest time that an answer of the policy service is waited for.
const MAX_ANSWER_TIME: Duration = Duration::from_mins(1);
/// Longest validity of a ticket; one that is valid for longer is requested again.
const MAX_VALIDITY: Duration = Duration::from_hours(24);

/// `Queue` is a job queue; it accepts jobs of callers for the workers of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: ids::Queue,
    /// Host name of the callers' requests.
    pub hostname: ByteString,
    /// Path prefix of the callers' requests.
    pub path_prefix: ByteString,
    /// Service whose workers run the tasks.
    pub service: ids::Service,
    /// Priority among the queues; 0 is the highest. It orders jobs of equal timeliness; running tasks are
    /// not preempted.
    pub priority: u32,
    /// Number of failed runs after which a task, and with it the job, fails.
    pub max_attempts: u32,
    /// Multiple of its critical path within which a job should complete.
    pub stretch: f64,
    /// Time that is added to that multiple.
    pub allowance: Duration,
    /// Time limit of a caller's request.
    pub call_timeout: Duration,
    /// Policy service that decides which workers may run a step, if there is one.
    pub policy_service: Option<Policy>,
    /// Whether callers need no key, so that its jobs belong to no account.
    pub is_open: bool,
}

/// `Policy` is the declared latency of the policy service of a queue, and the validity of its tickets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Time that an answer takes, without the share of the workers.
    pub base_latency: Duration,
    /// Additional time for each worker in the request.
    pub latency_per_worker: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
}

/// `Service` is a pool of hosts with one kind of worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ids::Service,
    /// Whether its workers refuse tasks that exceed their free resources.
    pub rejects_overload: bool,
    /// Whether this is the spare pool, whose hosts are off and cost nothing.
    pub is_spare: bool,
}

/// `Config` is the current configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version, rising.
    pub version: u64,
    /// Queues in descending order of the length of the path prefix.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// Client accounts; without any, no caller needs a key.
    pub accounts: Directory,
    /// Positions of the queues by name, as a configuration may have thousands.
    positions: Map<ids::Queue, usize>,
}

impl Queue {
    /// Returns the time within which a job of a critical path should complete.
    #[must_use]
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = critical_path.as_secs_f64() * self.stretch;
        // A stretch that is no number, or below 0, says nothing.
        let stretched = if stretched >= 0.0 {
            Duration::try_from_secs_f64(stretched).unwrap_or(MAX_OBJECTIVE)
        } else {
            critical_path
        };
        let objective = stretched.saturating_add(self.allowance);
        objective.min(MAX_OBJECTIVE)
    }
}

impl Policy {
    /// Returns the time to wait for the answer to a request that names a number of workers, behind
    /// a number of earlier requests.
    #[must_use]
    pub fn answer_time(&self, workers: u32, earlier_requests: u32) -> Duration {
        let latency_of_workers = self.latency_per_worker.saturating_mul(workers);
        let answer_time = self.base_latency.saturating_add(latency_of_workers);
        let answer_time = answer_time.saturating_mul(earlier_requests.saturating_add(1));
        answer_time.min(MAX_ANSWER_TIME)
    }
}

/// Returns the time at which a ticket expires.
#[must_use]
pub(crate) fn ticket_expiry(requested_at: Instant, validity: Duration) -> Instant {
    requested_at + validity.min(MAX_VALIDITY)
}

impl Config {
    /// Creates a configuration; the queues may be given in any order.
    #[must_use]
    pub fn new(version: u64, mut queues: Vec<Queue>, services: Vec<Service>) -> Self {
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.path_prefix.len()));
        let mut positions = Map::default();
        for (position, queue) in queues.iter().enumerate() {
            positions.entry(queue.name.clone()).or_insert(position);
        }
        Self {
            version,
            queues,
            services,
            accounts: Directory::default(),
            positions,
        }
    }

    /// Returns the configuration with client accounts.
    #[must_use]
    pub fn with_accounts(self, accounts: Directory) -> Self {
        Self { accounts, ..self }
    }

    /// Finds the queue of a request: the one with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches =
            |queue: &&Queue| queue.hostname == host && path.starts_with(&*queue.path_prefix);
        self.queues.iter().find(matches)
    }

    /// Checks if a configuration with accounts can't be known to be in force, as the latest complete read of operators'
    /// records was sent `age` ago. A key may have been taken away since, and a queue or a key added.
    #[must_use]
    pub fn is_outdated(&self, age: Option<Duration>, max_age: Duration) -> bool {
        self.accounts.requires_keys() && age.is_none_or(|age| age >= max_age)
    }

    /// Finds out who calls a queue.
    ///
    /// # Errors
    ///
    /// Returns the reason if the queue needs a key that the call doesn't have.
    pub fn identify(&self, queue: &Queue, key: Option<&Key>) -> Result<Caller, Denial> {
        if queue.is_open || !self.accounts.requires_keys() {
            return Ok(Caller::Public(queue.name.clone()));
        }
        let key = key.ok_or(Denial::NoKey)?;
        let account = self.accounts.authenticate(key);
        let account = account.ok_or(Denial::UnknownKey)?;
        Ok(Caller::Account(account.name.clone()))
    }

    /// Finds a queue by its name.
    #[must_use]
    pub fn queue(&self, name: &ids::Queue) -> Option<&Queue> {
        let position = self.positions.get(name)?;
        self.queues.get(*position)
    }

    /// Finds a service by its name.
    #[must_use]
    pub fn service(&self, name: &ids::Service) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}
