//! Tasks that crash the workers that start them.
//!
//! A worker crashes for many causes, so a crash makes a task only a suspect. A suspect prefers workers
//! without another one; after two crashes it only starts on a worker without other tasks. If that worker
//! crashes as well, no other task explains it.

use std::time::{Duration, Instant};

use super::event::Action;
use super::graph::{Graph, Placement};
use super::poll::log_run;
use super::run::Run;
use super::scheduler::Scheduler;
use super::worker::{Resources, Worker};
use crate::ids;
use crate::job::{Outcome, Task};
use crate::map::Set;

/// Crashes under a task after which it only starts on a worker without other tasks.
pub(super) const MAX_SHARED_CRASHES: usize = 2;
/// Crashes under a task after which it is given up if two of them are unexplained.
const MIN_CRASHES: usize = 3;
/// Crashes under a task after which it is given up if one of them is unexplained.
const MAX_CRASHES: usize = 4;
/// Time that a run lasts before it counts as one that its worker survives. The platform's workers crash
/// within milliseconds of such a start.
const PROBATION: Duration = Duration::from_millis(500);
/// Time after a crash for which the next crash of the same host is no evidence: a host that fails by itself
/// does so again within seconds.
const UNSTABLE_TIME: Duration = Duration::from_secs(10);
/// Time for which a worker waits to be free for a task that is to run alone: longer than most tasks run.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Workers of the shard for each one that may be reserved at a time.
const MIN_WORKERS_PER_RESERVATION: usize = 4;
/// Time within which crashes may have a common cause, such as the power of an availability zone: longer
/// than the interval of the host list.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(1_500);
/// Workers that crash within that time without a recent start, from which on there is a common cause.
const MIN_COMMON_CRASHES: usize = 2;

/// `Crash` is the unexpected end of a worker.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    at: Instant,
    worker: ids::Worker,
    host: Option<ids::Host>,
    /// Whether a run had just started, so that it may be the cause.
    has_suspect: bool,
}

impl Worker {
    /// Checks if a run has not lasted long enough yet to rule out that its start crashes the worker.
    pub(super) fn is_on_probation(&self, run: &Run) -> bool {
        let seen_at = self.answered_at.filter(|_| run.has_been_in_inventory);
        let age = seen_at.map(|at| at.saturating_duration_since(run.created_at));
        age.is_none_or(|age| age < PROBATION)
    }

    /// Checks if a suspect runs on it that has not lasted yet.
    pub(super) fn has_untried_suspect(&self) -> bool {
        let mut suspects = self.runs.values().filter(|run| run.crashes > 0);
        suspects.any(|run| self.is_on_probation(run))
    }

    /// Checks if a run may be the cause of a crash of the worker. A long-running task outlasts many workers,
    /// so it is only blamed for a crash at its start.
    fn may_blame(&self, run: &Run) -> bool {
        !run.is_long_running || self.is_on_probation(run)
    }

    /// Checks if a task runs on it that is to run alone.
    pub(super) fn is_isolated(&self) -> bool {
        let mut suspects = self.runs.values().filter(|run| self.may_blame(run));
        suspects.any(|run| run.crashes >= MAX_SHARED_CRASHES)
    }

    /// Counts the runs that a crash could be blamed on, beside that of a new task.
    pub(super) fn suspect_count(&self) -> usize {
        let suspects = self.runs.values().filter(|run| self.may_blame(run));
        suspects.count()
    }
}

impl Graph {
    /// Checks if there is evidence that a task crashes its workers. `counted` is the task that its crashes are
    /// counted on.
    pub(super) fn is_given_up(&self, counted: &Task) -> bool {
        let crashes = self.progress.crash_count(counted);
        let unexplained = self.progress.unexplained_crash_count(counted);
        (crashes >= MIN_CRASHES && unexplained > 1) || (crashes >= MAX_CRASHES && unexplained > 0)
    }
}

impl Scheduler {
    /// Returns the number of workers that crashed under a task; that of a gang is counted on its first
    /// member.
    pub(super) fn crash_count(&self, task: &Task) -> usize {
        self.jobs
            .get(&task.job)
            .filter(|graph| graph.progress.has_crashes())
            .map_or(0, |graph| graph.progress.crash_count(&graph.counted(task)))
    }

    /// Reserves a worker for each idle task that is to run alone, so that it becomes free of other tasks.
    pub(super) fn reserve_workers(&mut self, now: Instant, unstable: &Set<ids::Worker>) {
        let mut reservations = std::mem::take(&mut self.reservations);
        reservations.retain(|id, (task, reserved_at)| {
            let worker = self.workers.get(id);
            self.waits_to_run_alone(task)
                && now.saturating_duration_since(*reserved_at) < RESERVATION_TIMEOUT
                && worker.is_some_and(|worker| worker.accepts_tasks(now))
        });
        let max = self.workers.len() / MIN_WORKERS_PER_RESERVATION + 1;
        let has_crashes = |graph: &&Graph| graph.progress.has_crashes() && !graph.is_over();
        let waiting = self.jobs.values().filter(has_crashes).flat_map(|graph| {
            let tasks = graph.tasks().filter(|task| self.waits_to_run_alone(task));
            tasks.map(move |task| (graph, task))
        });
        let reserved: Set<Task> = reservations
            .values()
            .map(|(task, _)| task.clone())
            .collect();
        let waiting = waiting.filter(|(_, task)| !reserved.contains(task));
        let waiting: Vec<(&Graph, Task)> = waiting.take(max - reserved.len().min(max)).collect();
        if !waiting.is_empty() {
            // The workers with the fewest tasks become free first.
            let stable = self.workers.iter().filter(|(id, worker)| {
                worker.accepts_tasks(now)
                    && !unstable.contains(*id)
                    && !reservations.contains_key(*id)
            });
            let mut stable: Vec<(usize, &ids::Worker, &Worker)> = stable
                .map(|(id, worker)| (worker.runs.len(), id, worker))
                .collect();
            stable.sort_by_key(|(runs, id, _)| (*runs, *id));
            for (graph, task) in waiting {
                let step = &graph.job.steps[task.step as usize];
                let (service, need) = (self.service_of(graph), Resources::reserved_by(step));
                let suits = |worker: &Worker| {
                    let label = step.required_label.as_ref();
                    worker.report.service == *service
                        && worker.report.capacity.covers(need)
                        && label.is_none_or(|label| worker.has_label(label))
                };
                if let Some(position) = stable.iter().position(|(.., worker)| suits(worker)) {
                    let (_, id, _) = stable.remove(position);
                    reservations.insert(id.clone(), (task, now));
                }
            }
        }
        self.reservations = reservations;
    }

    /// Checks if a task is idle and is to start on a worker without other tasks.
    fn waits_to_run_alone(&self, task: &Task) -> bool {
        let Some(graph) = self.jobs.get(&task.job).filter(|graph| !graph.is_over()) else {
            return false;
        };
        let Some((stage, index)) = graph.find(task) else {
            return false;
        };
        let counted = graph.counted(task);
        graph.stages[stage].tasks[index].placement == Placement::Idle
            && !graph.step_of(stage).is_gang
            && graph.is_ready(stage)
            && graph.progress.crash_count(&counted) >= MAX_SHARED_CRASHES
            && !graph.is_given_up(&counted)
    }

    /// Checks if a worker or its host crashed lately.
    fn is_unstable(&self, worker: &Worker) -> bool {
        let host = worker.report.host.as_ref();
        let is_same = |crash: &Crash| {
            crash.worker == worker.report.worker || (host.is_some() && crash.host.as_ref() == host)
        };
        self.crashes.iter().any(is_same)
    }

    /// Returns the workers that crashed lately, or whose hosts did.
    pub(super) fn unstable_workers(&self) -> Set<ids::Worker> {
        if self.crashes.is_empty() {
            return Set::default();
        }
        let workers: Set<&ids::Worker> = self.crashes.iter().map(|crash| &crash.worker).collect();
        let hosts = self.crashes.iter().filter_map(|crash| crash.host.as_ref());
        let hosts: Set<&ids::Host> = hosts.collect();
        let unstable = self.workers.iter().filter(|(id, worker)| {
            let host = worker.report.host.as_ref();
            workers.contains(*id) || host.is_some_and(|host| hosts.contains(host))
        });
        unstable.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets crashes that are too old to matter.
    pub(super) fn drop_old_crashes(&mut self, now: Instant) {
        let is_recent = |crash: &Crash| now.saturating_duration_since(crash.at) < UNSTABLE_TIME;
        self.crashes.retain(is_recent);
    }

    /// Records that workers have crashed, before their runs are released.
    pub(super) fn record_crashes(
        &mut self,
        now: Instant,
        workers: &[ids::Worker],
        actions: &mut Vec<Action>,
    ) {
        // A host is moved or maintained once its worker has no more runs.
        let was_expected = |worker: &&Worker| {
            worker.report.is_shutting_down || (worker.is_draining && worker.runs.is_empty())
        };
        let ended = workers.iter().filter_map(|id| self.workers.get(id));
        let unexpected = ended.filter(|worker| !was_expected(worker));
        let crashes = unexpected.map(|worker| {
            let crash = Crash {
                at: now,
                worker: worker.report.worker.clone(),
                host: worker.report.host.clone(),
                has_suspect: worker.runs.values().any(|run| worker.is_on_probation(run)),
            };
            (crash, !self.is_unstable(worker))
        });
        let crashes: Vec<(Crash, bool)> = crashes.collect();
        self.crashes
            .extend(crashes.iter().map(|(crash, _)| crash.clone()));
        for (crash, was_stable) in crashes {
            self.blame(now, &crash.worker, was_stable, actions);
        }
    }

    /// Checks if workers crashed lately on which no run can be the cause.
    fn has_common_cause(&self, now: Instant) -> bool {
        let is_recent =
            |crash: &&Crash| now.saturating_duration_since(crash.at) < COMMON_CAUSE_WINDOW;
        let recent = self.crashes.iter().filter(is_recent);
        recent.filter(|crash| !crash.has_suspect).count() >= MIN_COMMON_CRASHES
    }

    /// Counts the crash of a worker for the tasks that may be its cause.
    fn blame(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        was_stable: bool,
        actions: &mut Vec<Action>,
    ) {
        let suspects = self.suspects(id);
        let [only] = suspects.as_slice() else {
            for task in &suspects {
                self.count_crash(now, id, task, false, actions);
            }
            return;
        };
        let is_isolated = self.crash_count(only) >= MAX_SHARED_CRASHES;
        let is_unexplained = was_stable && (is_isolated || !self.has_common_cause(now));
        self.count_crash(now, id, only, is_unexplained, actions);
    }

    /// Returns the tasks that may be the cause of the crash of a worker.
    fn suspects(&self, id: &ids::Worker) -> Vec<Task> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let runs = || worker.runs.iter();
        let fresh = runs().filter(|(_, run)| worker.is_on_probation(run));
        let mut suspects: Vec<Task> = fresh.map(|(task, _)| task.clone()).collect();
        if suspects.is_empty() {
            let others = runs().filter(|(_, run)| worker.may_blame(run));
            suspects.extend(others.map(|(task, _)| task.clone()));
        }
        // The members of a gang on the worker count as one.
        let mut counted = Set::default();
        suspects.retain(|task| {
            let graph = self.jobs.get(&task.job);
            graph.is_some_and(|graph| counted.insert(graph.counted(task)))
        });
        suspects
    }

    fn count_crash(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        is_unexplained: bool,
        actions: &mut Vec<Action>,
    ) {
        let run = self
            .workers
            .get(id)
            .and_then(|worker| worker.runs.get(task));
        let Some(number) = run.map(|run| run.number) else {
            return;
        };
        let Some(graph) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((stage, index)) = graph.find(task).filter(|_| !graph.is_over()) else {
            return;
        };
        let counted = graph.counted(task);
        if !graph
            .progress
            .record_crash(&counted, number, is_unexplained)
        {
            return;
        }
        graph.is_dirty = true;
        graph.stages[stage].tasks[index].has_unrecorded_crash = true;
        self.unrecorded_crashes.push(task.clone());
        let message = if is_unexplained {
            "worker crashed under task"
        } else {
            "worker crashed beside task"
        };
        actions.push(log_run(message, task, number, id));
        if !graph.is_given_up(&counted) {
            return;
        }
        actions.push(log_run("task given up", task, number, id));
        // The other tasks of a long-running step still serve.
        if !graph.step_of(stage).is_long_running {
            self.fail_job(now, &task.job, actions);
        }
    }

    /// Ends a job as failed, as one of its tasks can't be done.
    pub(super) fn fail_job(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        let unix_ms = self.unix_ms;
        let Some(graph) = self.jobs.get_mut(job).filter(|graph| !graph.is_over()) else {
            return;
        };
        graph.is_dirty = true;
        graph.progress.outcome = Some(Outcome::Failed);
        graph.progress.ended_at_ms = unix_ms;
        graph.ended_at = Some(now);
        self.stop_job(now, job, actions);
    }

    /// Lets tasks start again whose crashes the log holds.
    pub(super) fn release_recorded_crashes(&mut self) {
        for task in std::mem::take(&mut self.recorded_crashes) {
            if let Some(graph) = self.jobs.get_mut(&task.job)
                && let Some((stage, index)) = graph.find(&task)
            {
                graph.stages[stage].tasks[index].has_unrecorded_crash = false;
                self.needs_placement = true;
            }
        }
    }
}
