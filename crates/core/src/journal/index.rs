use std::sync::Arc;

use super::{Key, Record};
use crate::account::Caller;
use crate::ids;
use crate::job::{Job, Outcome, Progress};
use crate::map::Map;

/// `Phase` is the state of a job as callers see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task used up all of its attempts.
    Failed,
    /// A caller canceled the job.
    Canceled,
}

/// `Entry` is the replayed state of one job.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The job; `None` while only later records of it were read.
    pub job: Option<Arc<Job>>,
    /// Offset of the record that accepted it.
    pub offset: ids::Offset,
    /// Recorded progress of its tasks.
    pub progress: Progress,
    /// Whether a caller canceled it before it ended.
    pub is_canceled: bool,
    /// Whether it was canceled whoever it belongs to.
    is_canceled_for_all: bool,
    /// Callers that canceled it before it ended, if it is theirs.
    barred_by: Vec<Caller>,
}

impl Entry {
    /// Returns the state of the job as callers see it.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.progress.outcome {
            _ if self.is_canceled => Phase::Canceled,
            Some(Outcome::Completed) => Phase::Completed,
            Some(Outcome::Failed) => Phase::Failed,
            None if self.progress.has_started => Phase::Running,
            None => Phase::Pending,
        }
    }

    /// Checks if an accepted job is the caller's.
    #[must_use]
    pub fn is_owned_by(&self, caller: &Caller) -> bool {
        self.job.as_ref().is_some_and(|job| caller.owns(job))
    }

    /// Finds out if the job was canceled, by whom it belongs to.
    fn apply_cancellations(&mut self) {
        let is_barred = self.barred_by.iter().any(|caller| self.is_owned_by(caller));
        self.is_canceled = self.is_canceled_for_all || is_barred;
    }

    /// Checks if the job has completed, failed or was canceled.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_canceled || self.progress.outcome.is_some()
    }
}

/// `Index` is the state of the jobs of one shard, replayed from the log.
#[derive(Debug, Default)]
pub struct Index {
    entries: Map<ids::Job, Entry>,
}

impl Index {
    /// Applies a record and returns the job that changed.
    ///
    /// Records may be read repeatedly; only the first acceptance of a job counts, by its offset.
    pub fn apply(&mut self, offset: ids::Offset, record: &Record) -> Option<ids::Job> {
        match record {
            Record::Accepted(job) => {
                let entry = self.entries.entry(job.id.clone()).or_default();
                // A process applies its own record before it has read those of others from before it.
                if entry.job.is_some() && entry.offset <= offset {
                    return None;
                }
                entry.job = Some(Arc::new((**job).clone()));
                entry.offset = offset;
                entry.apply_cancellations();
                Some(job.id.clone())
            }
            Record::Canceled(job) => {
                let entry = self.entries.entry(job.clone()).or_default();
                entry.is_canceled_for_all |= entry.progress.outcome.is_none();
                entry.apply_cancellations();
                Some(job.clone())
            }
            Record::Barred(job, caller) => {
                let entry = self.entries.entry(job.clone()).or_default();
                let has_ended = entry.progress.outcome.is_some();
                if !has_ended && !entry.barred_by.contains(caller) {
                    entry.barred_by.push(caller.clone());
                }
                entry.apply_cancellations();
                Some(job.clone())
            }
            Record::Progress(job, progress) => {
                let entry = self.entries.entry(job.clone()).or_default();
                entry.progress = progress.clone();
                Some(job.clone())
            }
            Record::Dropped(Key::Accepted(job)) => {
                self.entries.remove(job);
                Some(job.clone())
            }
            Record::Heartbeat(_)
            | Record::Drain(..)
            | Record::Payload(..)
            | Record::Dropped(_)
            | Record::Drained(..)
            | Record::Wave(..) => None,
        }
    }

    /// Removes all jobs, before the newest records are read again.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the state of an accepted job.
    #[must_use]
    pub fn get(&self, job: &ids::Job) -> Option<&Entry> {
        self.entries.get(job).filter(|entry| entry.job.is_some())
    }

    /// Checks if a caller canceled a job that was not accepted, or that had not ended.
    #[must_use]
    pub fn is_canceled(&self, job: &ids::Job) -> bool {
        self.entries.get(job).is_some_and(|entry| entry.is_canceled)
    }

    /// Checks if a job that is not known would be canceled if it turned out to be the caller's.
    #[must_use]
    pub fn is_barred(&self, job: &ids::Job, caller: &Caller) -> bool {
        let entry = self.entries.get(job);
        entry.is_some_and(|entry| entry.is_canceled || entry.barred_by.contains(caller))
    }

    /// Iterates over the accepted jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<Job>, &Entry)> {
        let is_accepted = |entry: &'_ Entry| entry.job.is_some();
        let entries = self
            .entries
            .values()
            .filter(move |entry| is_accepted(entry));
        entries.filter_map(|entry| entry.job.as_ref().map(|job| (job, entry)))
    }

    /// Counts the pending jobs of a queue, without scheduled ones.
    #[must_use]
    pub fn pending_count(&self, queue: &ids::Queue) -> usize {
        let is_pending = |(job, entry): &(&Arc<Job>, &Entry)| {
            job.queue == *queue && job.schedule.is_none() && entry.phase() == Phase::Pending
        };
        self.jobs().filter(is_pending).count()
    }
}
