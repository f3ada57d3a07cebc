use std::time::{Duration, Instant};

use super::event::{Action, Cause, Exit, Reason};
use super::graph::Placement;
use super::poll::log_run;
use super::scheduler::Scheduler;
use crate::ids;
use crate::job::{Outcome, Task};

/// Consecutive failed runs after which a worker is suspended.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Time for which a worker whose runs keep failing gets no tasks.
const FAILURE_SUSPENSION: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Applies an exit that a worker reports; an exit that was already processed has no
    /// effect.
    pub(super) fn handle_exit(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        exit: &Exit,
        actions: &mut Vec<Action>,
    ) {
        let (task, run) = (&exit.task, exit.run);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if exit.sequence <= worker.observed_through {
            return;
        }
        worker.observed_through = exit.sequence;
        let is_long_running = worker
            .runs
            .get(task)
            .is_some_and(|known| known.is_long_running);
        match exit.status {
            Cause::Done if !is_long_running => {
                worker.consecutive_failures = 0;
                self.handle_done(now, id, task, actions);
            }
            Cause::Failed if !is_long_running => {
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    worker.suspended_until = Some(now + FAILURE_SUSPENSION);
                }
                self.handle_failed(now, id, task, run, actions);
            }
            Cause::Done | Cause::Failed | Cause::Expired | Cause::Interrupted => {}
        }
        if let Some(graph) = self.jobs.get_mut(&task.job)
            && let Some((stage, index)) = graph.find(task)
        {
            graph.mark_started();
            if !exit.checkpoint.is_empty() {
                graph.stages[stage].tasks[index].checkpoint = exit.checkpoint.clone();
            }
        }
        let current = self
            .workers
            .get(id)
            .and_then(|worker| worker.runs.get(task));
        let message = match exit.status {
            Cause::Done => "done",
            Cause::Failed => "failed",
            Cause::Expired => "lease expired on worker",
            Cause::Interrupted => "interrupted",
        };
        if current.is_some_and(|known| known.number <= run) {
            self.release_run(id, task, message, actions);
        } else {
            actions.push(log_run(message, task, run, id));
        }
    }

    fn handle_done(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        actions: &mut Vec<Action>,
    ) {
        let Some(graph) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((stage, index)) = graph.find(task) else {
            return;
        };
        let step = graph.step_of(stage);
        if step.is_long_running {
            return;
        }
        // The exit of one member completes all tasks of a gang.
        let indexes = if step.is_gang {
            0..graph.stages[stage].tasks.len()
        } else {
            index..index + 1
        };
        let mut other_runs = Vec::new();
        for (index, number) in indexes.clone().zip(to_u32(indexes.start)..) {
            let member = graph.task(task.occurrence, task.step, number);
            graph.is_dirty |= graph.progress.record_done(&member);
            if let Placement::On(other) = &graph.stages[stage].tasks[index].placement
                && other != id
            {
                other_runs.push((other.clone(), member));
            }
            graph.set_placement(stage, index, Placement::Done);
        }
        let job = graph.job.clone();
        graph.progress.finish_if_done(&job, task.occurrence);
        if graph.progress.outcome.is_none() && graph.progress.is_complete(&graph.job) {
            graph.progress.outcome = Some(Outcome::Completed);
            graph.progress.ended_at_ms = self.unix_ms;
            graph.ended_at = Some(now);
        }
        for (other, member) in other_runs {
            self.stop_run(now, &other, &member, Reason::Redundant, actions);
        }
        self.needs_placement = true;
    }

    fn handle_failed(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        run: ids::Run,
        actions: &mut Vec<Action>,
    ) {
        let Some(graph) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((stage, index)) = graph.find(task) else {
            return;
        };
        if graph.step_of(stage).is_long_running {
            return;
        }
        graph.stages[stage].tasks[index]
            .avoided_workers
            .push(id.clone());
        let counted = graph.counted(task);
        graph.is_dirty |= graph.progress.record_failure(&counted, run);
        let failures = graph.progress.failure_count(&counted);
        let queue = self.config.queue(&graph.job.queue);
        let max_attempts = queue.map_or(1, |queue| queue.max_attempts.max(1) as usize);
        if failures >= max_attempts {
            self.fail_job(now, &task.job, actions);
        }
        self.needs_placement = true;
    }

    /// Removes a run that has ended and makes its task idle again unless it is done.
    ///
    /// `message` is the message of the log line.
    pub(super) fn release_run(
        &mut self,
        id: &ids::Worker,
        task: &Task,
        message: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.remove(task) else {
            return;
        };
        self.needs_placement = true;
        actions.push(log_run(message, task, run.number, id));
        let Some(graph) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some((stage, index)) = graph.find(task) {
            let task_state = &mut graph.stages[stage].tasks[index];
            if !run.checkpoint.is_empty() && task_state.checkpoint.is_empty() {
                task_state.checkpoint = run.checkpoint;
            }
            if graph.stages[stage].tasks[index].placement == Placement::On(id.clone()) {
                graph.set_placement(stage, index, Placement::Idle);
            }
        }
    }
}

/// Converts an index or a count, saturating.
pub(super) fn to_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}
