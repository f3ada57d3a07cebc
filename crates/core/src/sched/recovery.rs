use std::time::{Duration, Instant};

use super::belief::Change;
use super::event::Action;
use super::scheduler::Scheduler;
use super::worker::LEASE_MS;
use crate::ids;
use crate::map::{Map, Set};

/// Time since the last confirmation of the term for which a leader still renews leases and stops runs.
/// Log outages of this length don't make a lease expire.
pub(super) const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);
/// Time since the last confirmation of the term for which a leader still starts tasks. Each job may have been
/// canceled since, and the tasks of a canceled job must not start from 3 s after the acknowledgement.
pub(super) const START_VALIDITY: Duration = Duration::from_secs(2);
/// Tolerance for late timers and for clocks that run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// Consecutive host lists without a worker that doesn't answer after which it has terminated. A list is
/// requested once the one before has arrived, so the third was requested after the worker was known, even
/// if the first was sent before and the second was already requested then.
const LISTS_WITHOUT_TERMINATED: u32 = 3;

/// `Rule` is what ends the wait for the runs of older terms.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// Every worker that an older leader may have used has answered.
    Answered,
    /// No worker without an answer can run a task of an older term any more.
    Deadline,
}

/// `Wait` is the state of the wait for the runs of older terms.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Rule that ended it; `None` if it began again, as an unanswered worker has become known.
    pub ended_by: Option<Rule>,
    /// Time since the start of the term.
    pub term_age: Duration,
    /// Known workers that have not answered under this term and may run tasks.
    pub unconfirmed: usize,
    /// Workers that hosts run and the leader did not know at the latest host list; `None` while the
    /// hosts are unknown.
    pub hosted_unknown: Option<usize>,
}

/// `Recovery` is the period in which tasks of older terms may still run on workers that have not
/// answered.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Time at which the term started.
    started_at: Instant,
    /// Whether the latest log line said that it has ended.
    has_ended: bool,
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
            started_at: now,
            has_ended: false,
            deadline: now + wait,
            unlisted_workers: None,
        }
    }

    /// Removes a worker that the worker list contains from those that it lacks.
    pub(super) fn forget_unlisted(&mut self, worker: &ids::Worker) {
        if let Some(unlisted) = &mut self.unlisted_workers {
            unlisted.remove(worker);
        }
    }
}

impl Scheduler {
    /// Applies the host list and the workers that they run.
    ///
    /// A worker whose host now runs another worker, or none, has terminated, and so has one whose host is
    /// gone from a complete list. A worker that is only cut off stays in the host list.
    pub(super) fn handle_hosts(
        &mut self,
        now: Instant,
        hosts: &[(ids::Host, Option<ids::Worker>)],
        is_complete: bool,
        actions: &mut Vec<Action>,
    ) {
        // Without a host service the list has no hosts.
        let is_complete = is_complete && !hosts.is_empty();
        let hosted_workers = hosts.iter().filter_map(|(_, worker)| worker.clone());
        let unlisted = hosted_workers.filter(|worker| !self.workers.contains_key(worker));
        let unlisted: Set<ids::Worker> = unlisted.collect();
        if is_complete {
            self.recovery.unlisted_workers = Some(unlisted);
        } else if let Some(known) = &mut self.recovery.unlisted_workers {
            known.extend(unlisted);
        }
        let worker_by_host: Map<&ids::Host, &Option<ids::Worker>> =
            hosts.iter().map(|(host, worker)| (host, worker)).collect();
        let mut terminated = Vec::new();
        for (id, worker) in &mut self.workers {
            let Some(host) = &worker.report.host else {
                continue;
            };
            let hosted = worker_by_host.get(host);
            if hosted.is_none() && !is_complete {
                continue;
            }
            let is_hosted = hosted.is_some_and(|hosted| hosted.as_ref() == Some(id));
            worker.was_seen_on_host |= is_hosted;
            worker.host_lists_without = if is_hosted {
                0
            } else {
                worker.host_lists_without.saturating_add(1)
            };
            if is_hosted && worker.has_terminated {
                // The host has started it again under its id: it gets tasks once it answers.
                worker.has_terminated = false;
                worker.is_confirmed = false;
            }
            // The host list may not contain a worker yet that has just started.
            let is_replaced = worker.was_seen_on_host && hosted.is_some() && !is_hosted;
            let is_gone =
                worker.missed_polls > 0 && worker.host_lists_without >= LISTS_WITHOUT_TERMINATED;
            if (is_replaced || is_gone) && !worker.has_terminated {
                worker.has_terminated = true;
                actions.push(worker.log(now, Change::Terminated));
                terminated.push((id.clone(), worker.runs.keys().cloned().collect::<Vec<_>>()));
            }
        }
        let crashed: Vec<ids::Worker> = terminated.iter().map(|(id, _)| id.clone()).collect();
        self.record_crashes(now, &crashed, actions);
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
        unconfirmed.count() + self.hosted_unknown_count().unwrap_or(0)
    }

    /// Counts the workers that hosts run and that were not known at the latest host list; `None` while
    /// the hosts are unknown.
    pub(super) fn hosted_unknown_count(&self) -> Option<usize> {
        self.recovery.unlisted_workers.as_ref().map(Set::len)
    }

    /// Writes a log line when recovery ends or begins again.
    pub(super) fn log_recovery(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_past_deadline = self.is_past_deadline();
        if self.recovery.has_ended && is_past_deadline {
            return;
        }
        let has_ended = self.has_recovered();
        if has_ended == self.recovery.has_ended {
            return;
        }
        self.recovery.has_ended = has_ended;
        let rule = if is_past_deadline {
            Rule::Deadline
        } else {
            Rule::Answered
        };
        let hosted_unknown = self.hosted_unknown_count();
        actions.push(Action::LogRecovery(Wait {
            ended_by: has_ended.then_some(rule),
            term_age: now.saturating_duration_since(self.recovery.started_at),
            unconfirmed: self.unconfirmed_count() - hosted_unknown.unwrap_or(0),
            hosted_unknown,
        }));
    }

    /// Checks if no unanswered worker can run a task of another term.
    ///
    /// The term must have been confirmed since: a newer leader may have adopted tasks before.
    pub(super) fn is_past_deadline(&self) -> bool {
        self.term_confirmed_at >= self.recovery.deadline
    }

    /// Checks if every run of an older term that may still exist is known.
    pub(super) fn has_recovered(&self) -> bool {
        self.is_past_deadline()
            || (self.recovery.unlisted_workers.is_some() && self.unconfirmed_count() == 0)
    }
}
