use std::sync::Arc;

use super::{Key, Record};
use crate::ids;
use crate::job::{Job, Outcome, Progress};
use crate::map::Map;

/// `Phase` is what a caller is told of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// A caller ended the job.
    Canceled,
}

/// `Entry` is what the log says of one job.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// The job; nothing while only later records of it are known.
    pub job: Option<Arc<Job>>,
    /// Offset of the record that accepted it.
    pub offset: ids::Offset,
    /// Ends of its tasks.
    pub progress: Progress,
    /// Whether a caller ended it before it ended by itself.
    pub is_canceled: bool,
}

impl Entry {
    /// Gets what a caller is told.
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

    /// Checks if nothing of the job is left to do.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_canceled || self.progress.outcome.is_some()
    }
}

/// `Book` is the fold of the records about the jobs of one shard.
#[derive(Debug, Default)]
pub struct Index {
    entries: Map<ids::Job, Entry>,
}

impl Index {
    /// Applies a record; gets the job that changed.
    ///
    /// Records that are read again change nothing.
    pub fn apply(&mut self, offset: ids::Offset, record: &Record) -> Option<ids::Job> {
        match record {
            Record::Accepted(job) => {
                let entry = self.entries.entry(job.id.clone()).or_default();
                if entry.job.is_some() {
                    return None;
                }
                entry.job = Some(Arc::new((**job).clone()));
                entry.offset = offset;
                Some(job.id.clone())
            }
            Record::Canceled(job) => {
                let entry = self.entries.entry(job.clone()).or_default();
                entry.is_canceled |= entry.progress.outcome.is_none();
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
            | Record::Dropped(_)
            | Record::Drained(..)
            | Record::Wave(..) => None,
        }
    }

    /// Forgets all jobs, before the newest records are read anew.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Gets what is known of a job that was accepted.
    #[must_use]
    pub fn get(&self, job: &ids::Job) -> Option<&Entry> {
        self.entries.get(job).filter(|entry| entry.job.is_some())
    }

    /// Goes through the jobs that were accepted.
    pub fn jobs(&self) -> impl Iterator<Item = (&Arc<Job>, &Entry)> {
        let job = |entry: &'_ Entry| entry.job.is_some();
        let entries = self.entries.values().filter(move |entry| job(entry));
        entries.filter_map(|entry| entry.job.as_ref().map(|job| (job, entry)))
    }

    /// Counts the jobs of a queue of which no task has started, without those that run at set times.
    #[must_use]
    pub fn pending_count(&self, queue: &ids::Queue) -> usize {
        let waits = |(job, entry): &(&Arc<Job>, &Entry)| {
            job.queue == *queue && job.schedule.is_none() && entry.phase() == Phase::Pending
        };
        self.jobs().filter(waits).count()
    }
}
