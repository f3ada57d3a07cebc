//! Availability of long-running tasks: how many of a step are away when a leader stops one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_core::job::{Job, Task};
use persimmongate_core::sched::Call;

use crate::worker::Worker;

/// Time without work after which a task is away, whatever the cause.
const NOTICE: Duration = Duration::from_millis(5_500);

/// `Ledger` records which long-running tasks work, and which a leader has stopped.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// Time at which each task last worked, or its job was accepted.
    worked_at: BTreeMap<Task, Instant>,
    /// Tasks that a leader stopped and that have not worked since.
    stopped: BTreeSet<Task>,
}

impl Ledger {
    /// Records the tasks that work now.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        workers: &BTreeMap<String, Worker>,
        jobs: &BTreeMap<ids::Job, Arc<Job>>,
    ) {
        for job in jobs.values() {
            for task in long_running_tasks(job) {
                if is_working(now, workers, &task) {
                    self.stopped.remove(&task);
                    self.worked_at.insert(task, now);
                } else {
                    self.worked_at.entry(task).or_insert(now);
                }
            }
        }
    }

    /// Records a stop that reaches a worker, and returns the number of other tasks of the step that are
    /// away if it is more than the step permits.
    pub(crate) fn observe_stop(
        &mut self,
        now: Instant,
        call: &Call,
        name: &str,
        workers: &BTreeMap<String, Worker>,
        job: &Job,
    ) -> Option<usize> {
        let step = &job.steps[call.task.step as usize];
        let worker = &workers[name];
        let run = worker.runs.get(&call.task)?;
        let is_stopped_now = run.run <= call.run && run.is_working(now);
        if !step.is_long_running || !is_stopped_now || worker.report.is_shutting_down {
            return None;
        }
        let others = (0..step.count).filter(|index| *index != call.task.index);
        let others = others.map(|index| Task {
            index,
            ..call.task.clone()
        });
        let is_away = |task: &Task| {
            let is_overdue = |at| now.saturating_duration_since(at) >= NOTICE;
            !is_working(now, workers, task)
                && (self.stopped.contains(task)
                    || self.worked_at.get(task).copied().is_some_and(is_overdue))
        };
        let away = others.filter(is_away).count();
        self.stopped.insert(call.task.clone());
        (step.max_unavailable > 0 && away >= step.max_unavailable as usize).then_some(away)
    }
}

/// Returns the long-running tasks of a job without a schedule.
fn long_running_tasks(job: &Job) -> impl Iterator<Item = Task> {
    let steps = (0_u32..).zip(&job.steps);
    let steps = steps.filter(|(_, step)| step.is_long_running);
    steps.flat_map(move |(number, step)| {
        (0..step.count).map(move |index| Task {
            job: job.id.clone(),
            occurrence: 0,
            step: number,
            index,
        })
    })
}

fn is_working(now: Instant, workers: &BTreeMap<String, Worker>, task: &Task) -> bool {
    workers.values().any(|worker| {
        let run = worker.runs.get(task);
        worker.is_up && run.is_some_and(|run| run.is_working(now))
    })
}
