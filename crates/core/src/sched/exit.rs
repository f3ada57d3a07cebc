use std::time::{Duration, Instant};

use super::event::{Action, Exit, ExitStatus};
use super::poll::log_run;
use super::scheduler::Scheduler;
use super::state::Placement;
use crate::ids;
use crate::job::{Outcome, Task};

/// Failed runs in a row after which a worker gets no task for a time.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Time for which a worker that keeps failing gets no task.
const FAILURE_SUSPENSION: Duration = Duration::from_secs(3);

impl Scheduler {
    /// Takes in an end that a worker lists; an end that was taken in already changes nothing.
    pub(super) fn handle_exit(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        ending: &Exit,
        actions: &mut Vec<Action>,
    ) {
        let (task, run) = (&ending.task, ending.run);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if ending.sequence <= worker.observed_through {
            return;
        }
        worker.observed_through = ending.sequence;
        let lasting = worker
            .runs
            .get(task)
            .is_some_and(|known| known.is_long_running);
        match ending.status {
            ExitStatus::Done if !lasting => {
                worker.consecutive_failures = 0;
                self.handle_done(now, id, task, actions);
            }
            ExitStatus::Failed if !lasting => {
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    worker.suspended_until = Some(now + FAILURE_SUSPENSION);
                }
                self.handle_failed(now, id, task, run, actions);
            }
            ExitStatus::Done | ExitStatus::Failed | ExitStatus::Interrupted => {}
        }
        if let Some(work) = self.jobs.get_mut(&task.job)
            && let Some((stage, index)) = work.find(task)
        {
            work.mark_started();
            if !ending.checkpoint.is_empty() {
                work.stages[stage].tasks[index].checkpoint = ending.checkpoint.clone();
            }
        }
        let current = self
            .workers
            .get(id)
            .and_then(|worker| worker.runs.get(task));
        let what = match ending.status {
            ExitStatus::Done => "done",
            ExitStatus::Failed => "failed",
            ExitStatus::Interrupted => "cut",
        };
        if current.is_some_and(|known| known.number <= run) {
            self.release_run(id, task, what, actions);
        } else {
            actions.push(log_run(what, task, run, id));
        }
    }

    fn handle_done(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        actions: &mut Vec<Action>,
    ) {
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((stage, index)) = work.find(task) else {
            return;
        };
        let step = work.step_of(stage);
        if step.is_long_running {
            return;
        }
        // One end stands for all tasks of a gang.
        let indexes = if step.is_gang {
            0..work.stages[stage].tasks.len()
        } else {
            index..index + 1
        };
        let mut elsewhere = Vec::new();
        for (index, number) in indexes.clone().zip(to_u32(indexes.start)..) {
            let member = work.task(task.occurrence, task.step, number);
            work.is_dirty |= work.progress.record_done(&member);
            if let Placement::On(other) = &work.stages[stage].tasks[index].placement
                && other != id
            {
                elsewhere.push((other.clone(), member));
            }
            work.set_placement(stage, index, Placement::Done);
        }
        if work.progress.outcome.is_none() && work.progress.is_complete(&work.job) {
            work.progress.outcome = Some(Outcome::Completed);
            work.progress.ended_at_ms = self.unix_ms;
            work.ended_at = Some(now);
        }
        for (other, member) in elsewhere {
            self.stop_run(now, &other, &member, actions);
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
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((stage, index)) = work.find(task) else {
            return;
        };
        let (lasting, gang) = (
            work.step_of(stage).is_long_running,
            work.step_of(stage).is_gang,
        );
        if lasting {
            return;
        }
        work.stages[stage].tasks[index]
            .avoided_workers
            .push(id.clone());
        // A gang fails as one.
        let counted = work.task(
            task.occurrence,
            task.step,
            if gang { 0 } else { task.index },
        );
        work.is_dirty |= work.progress.record_failure(&counted, run);
        let failures = work.progress.failure_count(&counted);
        let queue = self.config.queue(&work.job.queue);
        let attempts = queue.map_or(1, |queue| queue.max_attempts.max(1) as usize);
        if failures >= attempts && work.progress.outcome.is_none() && !work.is_canceled {
            work.progress.outcome = Some(Outcome::Failed);
            work.progress.ended_at_ms = self.unix_ms;
            work.ended_at = Some(now);
            let job = task.job.clone();
            self.stop_job(now, &job, actions);
        }
        self.needs_placement = true;
    }

    /// Drops a run that is over, and lets its task start elsewhere if it is not done.
    pub(super) fn release_run(
        &mut self,
        id: &ids::Worker,
        task: &Task,
        what: &'static str,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.remove(task) else {
            return;
        };
        self.needs_placement = true;
        actions.push(log_run(what, task, run.number, id));
        let Some(work) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some((stage, index)) = work.find(task) {
            let item = &mut work.stages[stage].tasks[index];
            if !run.checkpoint.is_empty() && item.checkpoint.is_empty() {
                item.checkpoint = run.checkpoint;
            }
            if work.stages[stage].tasks[index].placement == Placement::On(id.clone()) {
                work.set_placement(stage, index, Placement::Idle);
            }
        }
    }
}

/// Gets the number of a task from its place in the step.
pub(super) fn to_u32(place: usize) -> u32 {
    u32::try_from(place).unwrap_or(u32::MAX)
}
