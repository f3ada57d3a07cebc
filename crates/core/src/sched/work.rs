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
pub(super) enum Place {
    /// It waits for a worker.
    Idle,
    /// It has a run on a worker.
    On(ids::Worker),
    /// It is done.
    Done,
}

/// `Item` is one task of a stage.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) place: Place,
    pub(super) run: ids::Run,
    pub(super) saved: ByteString,
    /// Workers on which it failed or stood still.
    pub(super) avoid: Vec<ids::Worker>,
}

/// `Advised` is what the policy service said of a stage.
#[derive(Clone, Debug)]
pub(super) enum Advised {
    /// It was not asked.
    None,
    /// It was asked.
    Asked,
    /// It answered; the tickets hold until a time.
    Good(Vec<Ticket>, Instant),
}

/// `Stage` is a step of one occurrence of a job.
#[derive(Debug)]
pub(super) struct Stage {
    pub(super) occurrence: u32,
    pub(super) step: u32,
    pub(super) items: Vec<Item>,
    pub(super) advised: Advised,
    /// Tasks that are idle.
    pub(super) idle: u32,
    /// Tasks that are done.
    pub(super) done: u32,
}

/// `Work` is a job with where its tasks stand.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) job: Arc<Job>,
    pub(super) progress: Progress,
    /// Whether the log has less than is known of it.
    pub(super) dirty: bool,
    /// Whether a caller ended it.
    pub(super) canceled: bool,
    /// Whether an older leader may have started its tasks.
    pub(super) old: bool,
    /// Time at which it was accepted, on this process's clock.
    pub(super) accepted: Instant,
    /// Time after which it is not served in time any more.
    pub(super) due: Instant,
    /// Time since which nothing of it is left to do.
    pub(super) over: Option<Instant>,
    pub(super) stages: Vec<Stage>,
    /// Occurrences that were opened.
    opened: u32,
}

impl Work {
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
            dirty: false,
            canceled,
            old: false,
            accepted,
            due: accepted + objective,
            over: None,
            stages: Vec::new(),
            opened: 0,
        }
    }

    /// Checks if nothing of it is left to start.
    pub(super) fn is_over(&self) -> bool {
        self.canceled || self.progress.outcome.is_some()
    }

    /// Notes that a worker has begun a task.
    pub(super) fn note_begun(&mut self) {
        self.dirty |= !self.progress.has_started;
        self.progress.has_started = true;
    }

    /// Opens the occurrences that are due at a time of day; gets whether any was.
    pub(super) fn open(&mut self, wall: u64) -> bool {
        if self.is_over() {
            return false;
        }
        let before = self.opened;
        while self.opened < self.job.occurrences() {
            if let Some(schedule) = self.job.schedule
                && wall < schedule.first_due_ms + u64::from(self.opened) * schedule.interval_ms
            {
                break;
            }
            let occurrence = self.opened;
            for step in (0_u32..).take(self.job.steps.len()) {
                let stage = self.stage(occurrence, step);
                self.stages.push(stage);
            }
            self.opened += 1;
        }
        self.opened != before
    }

    fn stage(&self, occurrence: u32, step: u32) -> Stage {
        let count = self.job.steps[step as usize].count;
        let item = |index| {
            let task = self.task(occurrence, step, index);
            Item {
                place: if self.progress.is_done(&task) {
                    Place::Done
                } else {
                    Place::Idle
                },
                run: 0,
                saved: ByteString::new(),
                avoid: Vec::new(),
            }
        };
        let items: Vec<Item> = (0..count).map(item).collect();
        let done = self.progress.done_count(occurrence, step);
        Stage {
            occurrence,
            step,
            items,
            advised: Advised::None,
            idle: count.saturating_sub(done),
            done,
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
            before.is_some_and(|other| other.done as usize >= other.items.len())
        })
    }

    /// Finds the stage and the place of a task.
    pub(super) fn find(&self, task: &Task) -> Option<(usize, usize)> {
        let matches =
            |stage: &Stage| stage.occurrence == task.occurrence && stage.step == task.step;
        let stage = self.stages.iter().position(matches)?;
        let index = task.index as usize;
        (index < self.stages[stage].items.len()).then_some((stage, index))
    }

    /// Sets where a task stands, and keeps the counts of its stage.
    pub(super) fn put(&mut self, stage: usize, index: usize, place: Place) {
        let stage = &mut self.stages[stage];
        let item = &mut stage.items[index];
        match item.place {
            Place::Idle => stage.idle -= 1,
            Place::Done => stage.done -= 1,
            Place::On(_) => {}
        }
        match place {
            Place::Idle => stage.idle += 1,
            Place::Done => stage.done += 1,
            Place::On(_) => {}
        }
        item.place = place;
    }

    /// Gets the number of the next run of a task in a term.
    pub(super) fn next_run(&self, term: ids::Term, stage: usize, index: usize) -> ids::Run {
        let least = (term - 1) * RUNS_PER_TERM;
        self.stages[stage].items[index].run.max(least) + 1
    }
}
