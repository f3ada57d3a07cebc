use std::time::{Duration, Instant};

use super::event::Action;
use super::scheduler::Scheduler;
use super::worker::LEASE_MS;
use crate::ids;
use crate::map::{Map, Set};

/// Time since the log was reached for which a leader still gives orders: outages of the log of this
/// length cost no task its lease.
pub(super) const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);
/// Slack for timers and clocks that run at different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// `Settling` is the time in which tasks of older terms may still run on workers that did not answer.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Time after which nothing of older terms runs anywhere.
    deadline: Instant,
    /// Workers that hosts may run and that the list doesn't have; nothing while that is unknown.
    unlisted_workers: Option<Set<ids::Worker>>,
}

impl Recovery {
    pub(super) fn new(succeeds: bool, resigned: bool, now: Instant) -> Self {
        let lease = Duration::from_millis(LEASE_MS) + CLOCK_MARGIN;
        let wait = match (succeeds, resigned) {
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
    /// Notes the workers that hosts run.
    ///
    /// A host that runs another worker, or none, has ended the life of the one that it ran.
    pub(super) fn handle_hosts(
        &mut self,
        hosts: &[(ids::Host, Option<ids::Worker>)],
        actions: &mut Vec<Action>,
    ) {
        let runs = hosts.iter().filter_map(|(_, worker)| worker.clone());
        let unlisted = runs.filter(|worker| !self.workers.contains_key(worker));
        self.recovery.unlisted_workers = Some(unlisted.collect());
        let hosts: Map<&ids::Host, &Option<ids::Worker>> =
            hosts.iter().map(|(host, worker)| (host, worker)).collect();
        let mut ended = Vec::new();
        for (id, worker) in &mut self.workers {
            let Some(runs) = worker.report.host.as_ref().and_then(|host| hosts.get(host)) else {
                continue;
            };
            let own = runs.as_ref() == Some(id);
            worker.seen_on_host |= own;
            // The list of hosts may lag behind a worker that has just come.
            if worker.seen_on_host && !own && !worker.has_terminated {
                worker.has_terminated = true;
                ended.push((id.clone(), worker.runs.keys().cloned().collect::<Vec<_>>()));
            }
        }
        for (id, tasks) in ended {
            for task in tasks {
                self.release_run(&id, &task, "host ended its worker", actions);
            }
        }
        self.needs_placement = true;
    }

    /// Counts the workers on which tasks of older terms may still run.
    pub(super) fn unconfirmed_count(&self) -> usize {
        let open = self
            .workers
            .values()
            .filter(|worker| !worker.is_confirmed && !worker.has_terminated);
        open.count() + self.recovery.unlisted_workers.as_ref().map_or(0, Set::len)
    }

    /// Gets the time after which nothing of older terms runs anywhere.
    pub(super) fn recovery_deadline(&self) -> Instant {
        self.recovery.deadline
    }

    /// Checks if nothing of older terms runs anywhere but where it is known.
    pub(super) fn has_recovered(&self, now: Instant) -> bool {
        now >= self.recovery.deadline
            || (self.recovery.unlisted_workers.is_some() && self.unconfirmed_count() == 0)
    }
}
