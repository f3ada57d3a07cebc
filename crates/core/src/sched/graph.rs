use std::sync::Arc;
use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::Ticket;
use super::exit::to_u32;
use crate::ids;
use crate::job::{Job, MAX_TASKS, Progress, Step, Task};
use crate::map::Set;
use crate::share::Standing;

/// Range of run numbers that each term gets, so that the runs of a term are numbered higher than
/// those of older terms.
const RUNS_PER_TERM: u64 = 1_000;

/// Most steps of opened occurrences that the leader keeps, finished ones among them. A job that reaches it waits for the
/// oldest of its occurrences that is not finished.
const MAX_STAGES: usize = 100_000;

/// `Placement` is where a task runs, or whether it waits or is done.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Placement {
    /// The task waits for a worker.
    Idle,
    /// The task has a run on a worker.
    On(ids::Worker),
    /// The task is done.
    Done,
}

/// `State` is the state of one task of a stage.
#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) placement: Placement,
    pub(super) run: ids::Run,
    pub(super) checkpoint: ByteString,
    /// Workers on which it failed or stalled.
    pub(super) avoided_workers: Vec<ids::Worker>,
    /// Whether a worker crashed under it and the log does not hold that yet.
    pub(super) has_unrecorded_crash: bool,
}

/// `Advice` is the state of the policy service's advice for a stage.
#[derive(Clone, Debug)]
pub(super) enum Advice {
    /// No request was sent.
    NotRequested,
    /// A request about these workers is in flight.
    Requested(Vec<ids::Worker>),
    /// A request had no answer, and the next one follows after this time.
    Unanswered(Instant),
    /// Tickets, with the time until which they are valid.
    Granted(Vec<Ticket>, Instant),
}

/// `Stage` is a step of one occurrence of a job.
#[derive(Debug)]
pub(super) struct Stage {
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) tasks: Vec<State>,
    pub(super) advice: Advice,
    /// Workers that the policy service does not permit.
    pub(super) forbidden: Set<ids::Worker>,
    /// Number of idle tasks.
    pub(super) idle_count: u32,
    /// Number of done tasks.
    pub(super) done_count: u32,
}

/// `Graph` is a job with the state of its tasks.
#[derive(Debug)]
pub(super) struct Graph {
    pub(super) job: Arc<Job>,
    /// Payload that is sent with each start; `None` while a detached one is not known.
    pub(super) payload: Option<ByteString>,
    pub(super) progress: Progress,
    /// Whether its progress has changed since the latest append.
    pub(super) is_dirty: bool,
    /// Whether a caller canceled it.
    pub(super) is_canceled: bool,
    /// Whether an older leader may have started its tasks.
    pub(super) predates_term: bool,
    /// Time at which it was accepted, on the clock of this process.
    pub(super) accepted_at: Instant,
    /// Time by which it must complete to meet its objective.
    pub(super) deadline: Instant,
    /// Time at which it completed, failed or was canceled.
    pub(super) ended_at: Option<Instant>,
    /// Stages of the opened occurrences from `first_occurrence` on.
    pub(super) stages: Vec<Stage>,
    /// Occurrence of the first stage; all earlier ones are finished.
    first_occurrence: u32,
    /// Time since which it has had idle long-running tasks.
    pub(super) idle_since: Option<Instant>,
    /// Time of the latest log line about them.
    pub(super) idle_logged_at: Option<Instant>,
    /// Whether its account had sent more than its rate when it was accepted, or had its share of the pool without it
    /// in the latest ranking.
    pub(super) standing: Standing,
    /// Number of occurrences whose tasks were created.
    opened_occurrences: u32,
}

impl Stage {
    /// Returns the number of tasks that are not done.
    fn open_task_count(&self) -> u64 {
        (self.tasks.len() as u64).saturating_sub(u64::from(self.done_count))
    }

    /// Returns the number of tasks that have a run.
    pub(super) fn running_count(&self) -> u64 {
        self.open_task_count()
            .saturating_sub(u64::from(self.idle_count))
    }
}

impl Graph {
    pub(super) fn new(
        job: Arc<Job>,
        mut progress: Progress,
        is_canceled: bool,
        accepted_at: Instant,
        objective: Duration,
    ) -> Self {
        let payload = (!job.has_detached_payload).then(|| job.payload.clone());
        progress.compact(&job);
        let first_occurrence = progress.first_unfinished();
        Self {
            job,
            payload,
            progress,
            is_dirty: false,
            is_canceled,
            predates_term: false,
            accepted_at,
            deadline: accepted_at + objective,
            ended_at: None,
            stages: Vec::new(),
            first_occurrence,
            idle_since: None,
            idle_logged_at: None,
            standing: Standing::Within,
            opened_occurrences: first_occurrence,
        }
    }

    /// Checks if it has completed, failed or was canceled.
    pub(super) fn is_over(&self) -> bool {
        self.is_canceled || self.progress.outcome.is_some()
    }

    /// Records that a worker has started a task.
    pub(super) fn mark_started(&mut self) {
        self.is_dirty |= !self.progress.has_started;
        self.progress.has_started = true;
    }

    /// Creates the tasks of the occurrences that are due, and returns whether there were any.
    ///
    /// When many are due at once, the later ones follow as tasks of the earlier ones are done.
    ///
    /// `unix_ms` is the time of day in milliseconds since the Unix epoch.
    pub(super) fn open_due_occurrences(&mut self, unix_ms: u64) -> bool {
        if self.is_over() {
            return false;
        }
        self.drop_finished();
        let previous = self.opened_occurrences;
        let step_count = self.job.steps.len();
        let mut held_count = None;
        while self.opened_occurrences < self.job.occurrences() {
            if let Some(schedule) = self.job.schedule
                && unix_ms < schedule.due_ms(self.opened_occurrences)
            {
                break;
            }
            let held_count = held_count.get_or_insert_with(|| self.held_task_count());
            if *held_count > 0
                && (*held_count + self.job.task_count() > u64::from(MAX_TASKS)
                    || self.stages.len() + step_count > MAX_STAGES)
            {
                break;
            }
            let occurrence = self.opened_occurrences;
            for step in (0_u32..).take(step_count) {
                let stage = self.new_stage(occurrence, step);
                *held_count += stage.tasks.len() as u64;
                self.stages.push(stage);
            }
            self.opened_occurrences += 1;
        }
        self.opened_occurrences != previous
    }

    /// Returns the number of tasks of the opened occurrences that are not finished. The progress of the job holds
    /// something of each.
    fn held_task_count(&self) -> u64 {
        let counts = self.stages.iter().map(|stage| stage.tasks.len() as u64);
        counts.sum()
    }

    /// Drops the tasks of finished occurrences, and the stages before the first one that is not finished.
    fn drop_finished(&mut self) {
        let first_unfinished = self.progress.first_unfinished();
        let first_unfinished = first_unfinished.min(self.opened_occurrences);
        let finished = (first_unfinished - self.first_occurrence) as usize;
        self.stages.drain(..finished * self.job.steps.len());
        self.first_occurrence = first_unfinished;
        let progress = &self.progress;
        let is_finished =
            |stage: &&mut Stage| !stage.tasks.is_empty() && progress.is_finished(stage.occurrence);
        for stage in self.stages.iter_mut().filter(is_finished) {
            stage.tasks = Vec::new();
            stage.idle_count = 0;
            stage.done_count = 0;
            stage.advice = Advice::NotRequested;
            stage.forbidden = Set::default();
        }
    }

    fn new_stage(&self, occurrence: u32, step: u32) -> Stage {
        let count = if self.progress.is_finished(occurrence) {
            0
        } else {
            self.job.steps[step as usize].count
        };
        let task_state = |index| {
            let task = self.task(occurrence, step, index);
            State {
                placement: if self.progress.is_done(&task) {
                    Placement::Done
                } else {
                    Placement::Idle
                },
                run: 0,
                checkpoint: ByteString::new(),
                avoided_workers: Vec::new(),
                has_unrecorded_crash: false,
            }
        };
        let tasks: Vec<State> = (0..count).map(task_state).collect();
        let is_done = |state: &&State| state.placement == Placement::Done;
        let done_count = to_u32(tasks.iter().filter(is_done).count());
        Stage {
            occurrence,
            step,
            tasks,
            advice: Advice::NotRequested,
            forbidden: Set::default(),
            idle_count: count - done_count,
            done_count,
        }
    }

    /// Checks if a task waits for a worker, or for earlier steps.
    pub(super) fn has_idle_tasks(&self) -> bool {
        self.stages.iter().any(|stage| stage.idle_count > 0)
    }

    /// Returns the id of a task of the job.
    pub(super) fn task(&self, occurrence: u32, step: u32, index: u32) -> Task {
        Task {
            job: self.job.id.clone(),
            occurrence,
            step,
            index,
        }
    }

    /// Returns the tasks of all opened occurrences.
    pub(super) fn tasks(&self) -> impl Iterator<Item = Task> {
        self.stages.iter().flat_map(|stage| {
            let indexes = 0..to_u32(stage.tasks.len());
            indexes.map(|index| self.task(stage.occurrence, stage.step, index))
        })
    }

    /// Returns the task on which failures and crashes of a task are counted: the first member of its gang.
    pub(super) fn counted(&self, task: &Task) -> Task {
        let step = self.job.steps.get(task.step as usize);
        let is_gang = step.is_some_and(|step| step.is_gang);
        let index = if is_gang { 0 } else { task.index };
        self.task(task.occurrence, task.step, index)
    }

    /// Returns the step that a stage was created from.
    pub(super) fn step_of(&self, stage: usize) -> &Step {
        &self.job.steps[self.stages[stage].step as usize]
    }

    /// Checks if all tasks of the steps that a stage depends on are done.
    pub(super) fn is_ready(&self, stage: usize) -> bool {
        let current = &self.stages[stage];
        let step = &self.job.steps[current.step as usize];
        step.dependencies.iter().all(|dependency| {
            let required = self.stage_index(current.occurrence, *dependency);
            required.is_some_and(|required| self.stages[required].open_task_count() == 0)
        })
    }

    /// Finds the index of the stage of a step and occurrence. There is one of each step of each
    /// opened occurrence from the first one on that is not finished, in this order.
    fn stage_index(&self, occurrence: u32, step: u32) -> Option<usize> {
        let (step, step_count) = (step as usize, self.job.steps.len());
        let index = (occurrence.checked_sub(self.first_occurrence)? as usize)
            .checked_mul(step_count)?
            .checked_add(step)?;
        (step < step_count && index < self.stages.len()).then_some(index)
    }

    /// Finds the index of a task's stage and its index in the stage.
    pub(super) fn find(&self, task: &Task) -> Option<(usize, usize)> {
        let stage = self.stage_index(task.occurrence, task.step)?;
        let index = task.index as usize;
        (index < self.stages[stage].tasks.len()).then_some((stage, index))
    }

    /// Sets the placement of a task and updates the counts of its stage.
    pub(super) fn set_placement(&mut self, stage: usize, index: usize, placement: Placement) {
        let stage = &mut self.stages[stage];
        let task = &mut stage.tasks[index];
        match task.placement {
            Placement::Idle => stage.idle_count -= 1,
            Placement::Done => stage.done_count -= 1,
            Placement::On(_) => {}
        }
        match placement {
            Placement::Idle => stage.idle_count += 1,
            Placement::Done => stage.done_count += 1,
            Placement::On(_) => {}
        }
        task.placement = placement;
    }

    /// Returns the number of the next run of a task in a term.
    pub(super) fn next_run(&self, term: ids::Term, stage: usize, index: usize) -> ids::Run {
        let term_base = term.saturating_sub(1).saturating_mul(RUNS_PER_TERM);
        self.stages[stage].tasks[index]
            .run
            .max(term_base)
            .saturating_add(1)
    }
}
