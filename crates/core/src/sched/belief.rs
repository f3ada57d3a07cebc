use std::time::{Duration, Instant};

use super::event::{Action, Answer};
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::ids;

/// `Change` is a change of what the leader holds for true about a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The worker list contains it, and it was not known.
    Joined,
    /// It answered a poll of this incarnation for the first time under the leader's term.
    Confirmed,
    /// The worker list contains it no longer.
    Unlisted,
    /// The worker list contains it again.
    Returned,
    /// It is unlisted and nothing can run on it, so that it is forgotten.
    Removed,
    /// It is a new incarnation.
    Restarted,
    /// Its entry in the worker list, with this start time, is of an earlier incarnation and was
    /// ignored.
    Outdated(u64),
    /// Its entry announces that it will shut down.
    ShuttingDown,
    /// It did not answer a poll, for this reason, and had answered the one before.
    Unreachable(Answer),
    /// It answered a poll and had not answered the one before.
    Reachable,
    /// Its host runs it no longer.
    Terminated,
}

/// `Belief` is what the leader holds for true about a worker.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the worker and host lists and the drain requests are independent"
)]
pub struct Belief {
    /// Id of the worker.
    pub worker: ids::Worker,
    /// Service that it belongs to.
    pub service: ids::Service,
    /// Start time of its incarnation, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Whether the worker list contains it.
    pub is_listed: bool,
    /// Whether it has answered a poll under the leader's term.
    pub is_confirmed: bool,
    /// Whether it is to be drained, or has announced that it will shut down.
    pub is_leaving: bool,
    /// Whether its host runs it no longer.
    pub has_terminated: bool,
    /// Consecutive polls without an answer.
    pub missed_polls: u32,
    /// Time since its latest answer to a poll.
    pub answer_age: Option<Duration>,
    /// Number of its runs.
    pub runs: usize,
}

/// `Census` is the number of workers, by what keeps them from getting tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Workers that the leader knows.
    pub known: usize,
    /// Those that the worker list contains.
    pub listed: usize,
    /// Those that have answered a poll under the leader's term.
    pub confirmed: usize,
    /// Those that have not answered their latest poll.
    pub unreachable: usize,
    /// Those that are to be drained or have announced that they will shut down.
    pub leaving: usize,
    /// Those that get no tasks for a while after failures or a refused start.
    pub suspended: usize,
    /// Those that no host runs any more.
    pub terminated: usize,
    /// Those that may get tasks.
    pub eligible: usize,
}

impl Census {
    /// Counts workers.
    pub(super) fn of<'a>(now: Instant, workers: impl Iterator<Item = &'a Worker>) -> Self {
        let mut census = Self::default();
        for worker in workers {
            census.known += 1;
            census.listed += usize::from(worker.is_listed);
            census.confirmed += usize::from(worker.is_confirmed);
            census.unreachable += usize::from(worker.missed_polls > 0);
            census.leaving += usize::from(worker.is_leaving());
            census.suspended += usize::from(worker.suspended_until.is_some_and(|at| at > now));
            census.terminated += usize::from(worker.has_terminated);
            census.eligible += usize::from(worker.accepts_tasks(now));
        }
        census
    }
}

impl Worker {
    fn is_leaving(&self) -> bool {
        self.is_draining || self.report.is_shutting_down
    }

    /// Creates the action that writes a log line about a change.
    pub(super) fn log(&self, now: Instant, change: Change) -> Action {
        let age_of = |answered_at| now.saturating_duration_since(answered_at);
        Action::LogWorker(
            change,
            Belief {
                worker: self.report.worker.clone(),
                service: self.report.service.clone(),
                started_at_ms: self.report.started_at_ms,
                is_listed: self.is_listed,
                is_confirmed: self.is_confirmed,
                is_leaving: self.is_leaving(),
                has_terminated: self.has_terminated,
                missed_polls: self.missed_polls,
                answer_age: self.answered_at.map(age_of),
                runs: self.runs.len(),
            },
        )
    }
}

impl Scheduler {
    /// Writes a log line about a change of a known worker.
    pub(super) fn log_worker(
        &self,
        now: Instant,
        id: &ids::Worker,
        change: Change,
        actions: &mut Vec<Action>,
    ) {
        actions.extend(self.workers.get(id).map(|worker| worker.log(now, change)));
    }
}
