use std::sync::Arc;
use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::Ticket;
use crate::ids;
use crate::job::{Job, Progress, Step, Task};

/// Runs of one term are numbered from the term's own thousand, so that they are higher than any of an
/// older term.
const RUNS_PER_TERM: u64 = 1_000;

/// `Place` is where a task stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Placement {
    /// It waits for a worker.
    Idle,
    /// It has a run on a worker.
    On(ids::Worker),
    /// It is done.
    Done,
}

/// `Item` is one task of a stage.
#[derive(Clone, Debug)]
pub(super) struct TaskState {
    pub(super) placement: Placement,
    pub(super) run: ids::Run,
    pub(super) checkpoint: ByteString,
    /// Workers on which it failed or stood still.
    pub(super) avoided_workers: Vec<ids::Worker>,
}

/// `Advised` is what the policy service said of a stage.
#[derive(Clone, Debug)]
pub(super) enum Advice {
    /// It was not asked.
    NotRequested,
    /// It was asked.
    Requested,
    /// It answered; the tickets hold until a time.
    Granted(Vec<Ticket>, Instant),
}

/// `Stage` is a step of one occurrence of a job.
#[derive(Debug)]
pub(super) struct Stage {
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) tasks: Vec<TaskState>,
    pub(super) advice: Advice,
    /// Tasks that are idle.
    pub(super) idle_count: u32,
    /// Tasks that are done.
    pub(super) done_count: u32,
}

/// `Work` is a job with where its tasks stand.
#[derive(Debug)]
pub(super) struct JobState {
    pub(super) job: Arc<Job>,
    pub(super) progress: Progress,
    /// Whether the log has less than is known of it.
    pub(super) is_dirty: bool,
    /// Whether a caller ended it.
    pub(super) is_canceled: bool,
    /// Whether an older leader may have started its tasks.
    pub(super) predates_term: bool,
    /// Time at which it was accepted, on this process's clock.
    pub(super) accepted_at: Instant,
    /// Time after which it is not served in time any more.
    pub(super) deadline: Instant,
    /// Time since which nothing of it is left to do.
    pub(super) ended_at: Option<Instant>,
    pub(super) stages: Vec<Stage>,
    /// Occurrences that were opened.
    opened_occurrences: u32,
}

impl JobState {
    pub(super) fn new(
        job: Arc<Job>,
        progress: Progress,
        canceled: bool,
        accepted: Instant,
        objective: Duration,
    ) -> Self {
        Self {
            job,
            progress,
            is_dirty: false,
            is_canceled: canceled,
            predates_term: false,
            accepted_at: accepted,
            deadline: accepted + objective,
            ended_at: None,
            stages: Vec::new(),
            opened_occurrences: 0,
        }
    }

    /// Checks if nothing of it is left to start.
    pub(super) fn is_over(&self) -> bool {
        self.is_canceled || self.progress.outcome.is_some()
    }

    /// Notes that a worker has begun a task.
    pub(super) fn mark_started(&mut self) {
        self.is_dirty |= !self.progress.has_started;
        self.progress.has_started = true;
    }

    /// Opens the occurrences that are due at a time of day; gets whether any was.
    pub(super) fn open_due_occurrences(&mut self, wall: u64) -> bool {
        if self.is_over() {
            return false;
        }
        let before = self.opened_occurrences;
        while self.opened_occurrences < self.job.occurrences() {
            if let Some(schedule) = self.job.schedule
                && wall
                    < schedule.first_due_ms
                        + u64::from(self.opened_occurrences) * schedule.interval_ms
            {
                break;
            }
            let occurrence = self.opened_occurrences;
            for step in (0_u32..).take(self.job.steps.len()) {
                let stage = self.new_stage(occurrence, step);
                self.stages.push(stage);
            }
            self.opened_occurrences += 1;
        }
        self.opened_occurrences != before
    }

    fn new_stage(&self, occurrence: u32, step: u32) -> Stage {
        let count = self.job.steps[step as usize].count;
        let item = |index| {
            let task = self.task(occurrence, step, index);
            TaskState {
                placement: if self.progress.is_done(&task) {
                    Placement::Done
                } else {
                    Placement::Idle
                },
                run: 0,
                checkpoint: ByteString::new(),
                avoided_workers: Vec::new(),
            }
        };
        let items: Vec<TaskState> = (0..count).map(item).collect();
        let done = self.progress.done_count(occurrence, step);
        Stage {
            occurrence,
            step,
            tasks: items,
            advice: Advice::NotRequested,
            idle_count: count.saturating_sub(done),
            done_count: done,
        }
    }

    /// Names a task of the job.
    pub(super) fn task(&self, occurrence: u32, step: u32, index: u32) -> Task {
        Task {
            job: self.job.id.clone(),
            occurrence,
            step,
            index,
        }
    }

    /// Gets the step of a stage.
    pub(super) fn step_of(&self, stage: usize) -> &Step {
        &self.job.steps[self.stages[stage].step as usize]
    }

    /// Checks if all stages that a stage waits for are done.
    pub(super) fn is_ready(&self, stage: usize) -> bool {
        let own = &self.stages[stage];
        let step = &self.job.steps[own.step as usize];
        step.dependencies.iter().all(|after| {
            let before = self
                .stages
                .iter()
                .find(|other| other.occurrence == own.occurrence && other.step == *after);
            before.is_some_and(|other| other.done_count as usize >= other.tasks.len())
        })
    }

    /// Finds the stage and the place of a task.
    pub(super) fn find(&self, task: &Task) -> Option<(usize, usize)> {
        let matches =
            |stage: &Stage| stage.occurrence == task.occurrence && stage.step == task.step;
        let stage = self.stages.iter().position(matches)?;
        let index = task.index as usize;
        (index < self.stages[stage].tasks.len()).then_some((stage, index))
    }

    /// Sets where a task stands, and keeps the counts of its stage.
    pub(super) fn set_placement(&mut self, stage: usize, index: usize, place: Placement) {
        let stage = &mut self.stages[stage];
        let item = &mut stage.tasks[index];
        match item.placement {
            Placement::Idle => stage.idle_count -= 1,
            Placement::Done => stage.done_count -= 1,
            Placement::On(_) => {}
        }
        match place {
            Placement::Idle => stage.idle_count += 1,
            Placement::Done => stage.done_count += 1,
            Placement::On(_) => {}
        }
        item.placement = place;
    }

    /// Gets the number of the next run of a task in a term.
    pub(super) fn next_run_number(&self, term: ids::Term, stage: usize, index: usize) -> ids::Run {
        let least = (term - 1) * RUNS_PER_TERM;
        self.stages[stage].tasks[index].run.max(least) + 1
    }
}
