use std::time::{Duration, Instant};

use super::event::Action;
use super::scheduler::Scheduler;
use super::worker::LEASE_MS;
use crate::ids;
use crate::map::{Map, Set};

/// Time since the last confirmation of the term for which a leader still sends requests to workers.
/// Log outages of this length don't make a lease expire.
pub(super) const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);
/// Tolerance for late timers and for clocks that run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// `Recovery` is the period in which tasks of older terms may still run on workers that have not
/// answered.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Time after which no unanswered worker can run a task of an older term.
    deadline: Instant,
    /// Workers that hosts run but the worker list lacks; `None` while the hosts are unknown.
    unlisted_workers: Option<Set<ids::Worker>>,
}

impl Recovery {
    pub(super) fn new(has_predecessor: bool, predecessor_resigned: bool, now: Instant) -> Self {
        let lease = Duration::from_millis(LEASE_MS) + CLOCK_MARGIN;
        let wait = match (has_predecessor, predecessor_resigned) {
            (false, _) => Duration::ZERO,
            (true, true) => lease,
            (true, false) => CONFIRMATION_VALIDITY + lease,
        };
        Self {
            deadline: now + wait,
            unlisted_workers: None,
        }
    }
}

impl Scheduler {
    /// Applies the host list and the workers that they run.
    ///
    /// A worker whose host now runs another worker, or none, has terminated.
    pub(super) fn handle_hosts(
        &mut self,
        hosts: &[(ids::Host, Option<ids::Worker>)],
        actions: &mut Vec<Action>,
    ) {
        let hosted_workers = hosts.iter().filter_map(|(_, worker)| worker.clone());
        let unlisted = hosted_workers.filter(|worker| !self.workers.contains_key(worker));
        self.recovery.unlisted_workers = Some(unlisted.collect());
        let worker_by_host: Map<&ids::Host, &Option<ids::Worker>> =
            hosts.iter().map(|(host, worker)| (host, worker)).collect();
        let mut terminated = Vec::new();
        for (id, worker) in &mut self.workers {
            let Some(hosted) = worker
                .report
                .host
                .as_ref()
                .and_then(|host| worker_by_host.get(host))
            else {
                continue;
            };
            let is_hosted = hosted.as_ref() == Some(id);
            worker.was_seen_on_host |= is_hosted;
            // The host list may not contain a worker yet that has just started.
            if worker.was_seen_on_host && !is_hosted && !worker.has_terminated {
                worker.has_terminated = true;
                terminated.push((id.clone(), worker.runs.keys().cloned().collect::<Vec<_>>()));
            }
        }
        for (id, tasks) in terminated {
            for task in tasks {
                self.release_run(&id, &task, "host terminated its worker", actions);
            }
        }
        self.needs_placement = true;
    }

    /// Counts the workers on which tasks of older terms may still run.
    pub(super) fn unconfirmed_count(&self) -> usize {
        let unconfirmed = self
            .workers
            .values()
            .filter(|worker| !worker.is_confirmed && !worker.has_terminated);
        unconfirmed.count() + self.recovery.unlisted_workers.as_ref().map_or(0, Set::len)
    }

    /// Returns the time after which no unanswered worker can run a task of an older term.
    pub(super) fn recovery_deadline(&self) -> Instant {
        self.recovery.deadline
    }

    /// Checks if every run of an older term that may still exist is known.
    pub(super) fn has_recovered(&self, now: Instant) -> bool {
        now >= self.recovery.deadline
            || (self.recovery.unlisted_workers.is_some() && self.unconfirmed_count() == 0)
    }
}
