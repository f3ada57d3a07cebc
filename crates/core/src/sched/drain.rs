use std::time::{Duration, Instant};

use super::event::{Action, Reason};
use super::graph::{Graph, Placement};
use super::run::{Phase, Run};
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::ids;
use crate::job::Task;
use crate::map::Map;

/// Progress that a long-running task reports once it is ready, in percent.
const READY_PERCENT: u32 = 100;

/// Remaining time of a task from which on it moves from a worker that is drained, if its progress is saved: longer than
/// a stop, a start elsewhere and the work since the latest save take together.
const MIN_MOVED_TIME: Duration = Duration::from_secs(4);

impl Scheduler {
    pub(super) fn handle_drain(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        requested: bool,
        actions: &mut Vec<Action>,
    ) {
        if requested {
            self.draining.insert(id.clone());
        } else {
            self.draining.remove(id);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_draining = requested;
            // A repeated request means that the requester has missed the record of the drained
            // worker.
            worker.has_reported_drained = false;
            self.needs_placement = true;
        }
        self.advance_drains(now, actions);
    }

    /// Stops the long-running tasks of a worker that is draining, so that they start elsewhere.
    pub(super) fn stop_long_running(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if !worker.report.is_shutting_down && !worker.is_draining {
            return;
        }
        let is_shutting_down = worker.report.is_shutting_down;
        let long_running = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_long_running && run.state == Phase::Running);
        let long_running_tasks: Vec<Task> = long_running.map(|(task, _)| task.clone()).collect();
        for task in long_running_tasks {
            if is_shutting_down || self.is_stop_allowed(now, &task) {
                self.stop_run(now, id, &task, Reason::Drain, actions);
            }
        }
    }

    /// Stops the tasks of a draining worker that would keep it for long, and whose progress is saved, so that they
    /// resume elsewhere.
    fn stop_resumable(&mut self, now: Instant, id: &ids::Worker, actions: &mut Vec<Action>) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.is_draining) else {
            return;
        };
        let is_resumable = |run: &Run| {
            let is_single = run.is_assigned && !run.is_long_running && !run.is_best_effort;
            is_single && run.state == Phase::Running && !run.checkpoint.is_empty()
        };
        let outlasts = |run: &Run| {
            let elapsed = run.progressed_at.saturating_duration_since(run.created_at);
            let done = run.percent.clamp(1, READY_PERCENT);
            elapsed * (READY_PERCENT - done) / done > MIN_MOVED_TIME
        };
        let runs = worker.runs.iter();
        let runs = runs
            .filter(|(task, run)| is_resumable(run) && outlasts(run) && !self.is_gang_member(task));
        let tasks: Vec<Task> = runs.map(|(task, _)| task.clone()).collect();
        for task in tasks {
            self.stop_run(now, id, &task, Reason::Drain, actions);
        }
    }

    /// Checks if a task works only together with the others of its step. One whose job isn't known counts as such.
    fn is_gang_member(&self, task: &Task) -> bool {
        let graph = self.jobs.get(&task.job).filter(|graph| !graph.is_over());
        let stage = graph.and_then(|graph| Some((graph, graph.find(task)?.0)));
        stage.is_none_or(|(graph, stage)| graph.step_of(stage).is_gang)
    }

    /// Checks if a long-running task may be stopped in view of the unavailable tasks of its step.
    pub(super) fn is_stop_allowed(&self, now: Instant, task: &Task) -> bool {
        self.unavailability(now, task)
            .is_none_or(|(unavailable, max)| unavailable < max as usize)
    }

    /// Returns how many other tasks of a task's step are unavailable and how many may be; `None` if the
    /// step does not limit them or its job is over.
    pub(super) fn unavailability(&self, now: Instant, task: &Task) -> Option<(usize, u32)> {
        let graph = self.jobs.get(&task.job).filter(|graph| !graph.is_over())?;
        let (stage, index) = graph.find(task)?;
        let max_unavailable = graph.step_of(stage).max_unavailable;
        (max_unavailable > 0).then(|| {
            let unavailable = self.count_unavailable(now, graph, stage, index);
            (unavailable, max_unavailable)
        })
    }

    /// Counts the tasks of a stage that are not ready, without the one at the index `excluded`.
    fn count_unavailable(
        &self,
        now: Instant,
        graph: &Graph,
        stage: usize,
        excluded: usize,
    ) -> usize {
        let current = &graph.stages[stage];
        let mut availability: Map<u32, bool> = Map::default();
        for (index, task_state) in (0_u32..).zip(&current.tasks) {
            let Placement::On(id) = &task_state.placement else {
                availability.insert(index, false);
                continue;
            };
            let worker = self.workers.get(id);
            let task = graph.task(current.occurrence, current.step, index);
            let run = worker.and_then(|worker| worker.runs.get(&task));
            let is_serving = run.is_some_and(|run| {
                run.state == Phase::Running
                    && run.percent >= READY_PERCENT
                    && run.may_stop_until.is_none_or(|until| until <= now)
            });
            let is_reachable = worker.is_some_and(|worker| {
                worker.missed_polls == 0 && worker.is_listed && !worker.report.is_shutting_down
            });
            availability.insert(index, is_serving && is_reachable);
        }
        let unavailable = availability
            .iter()
            .filter(|(index, is_serving)| **index as usize != excluded && !**is_serving);
        unavailable.count()
    }

    /// Continues to drain workers, and collects those that are drained for the next append.
    pub(super) fn advance_drains(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let drain_key = |(id, worker): (&ids::Worker, &Worker)| {
            let long_running_count = worker
                .runs
                .values()
                .filter(|run| run.is_long_running)
                .count();
            (worker.is_draining || worker.report.is_shutting_down)
                .then(|| (long_running_count, id.clone()))
        };
        // The worker with the fewest long-running tasks is drained first, rather than each in part.
        let mut draining: Vec<(usize, ids::Worker)> =
            self.workers.iter().filter_map(drain_key).collect();
        draining.sort();
        for (_, id) in draining {
            self.stop_long_running(now, &id, actions);
            self.stop_resumable(now, &id, actions);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let is_drained = worker.is_draining && worker.is_confirmed && worker.runs.is_empty();
            if is_drained && !worker.has_reported_drained {
                worker.has_reported_drained = true;
                self.newly_drained.push(id);
            }
        }
    }
}
