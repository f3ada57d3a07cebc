use std::time::{Duration, Instant};

use super::event::Action;
use super::scheduler::Scheduler;
use crate::ids;
use crate::job::Outcome;
use crate::journal::{Drained, Heartbeat, Record};
use crate::term::HEARTBEAT_INTERVAL;

/// Time between two appends, in which further ends gather: callers see an end that much later.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two beats that go with other records, so that loads are known soon under change.
const BUSY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl Scheduler {
    /// Appends what changed, one append at a time.
    pub(super) fn flush(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let early = now.saturating_duration_since(self.appended_at) < MIN_APPEND_INTERVAL;
        if self.pending_acknowledgements.is_some() || self.is_fenced || early {
            return;
        }
        let mut records = Vec::new();
        for work in self.jobs.values_mut().filter(|work| work.is_dirty) {
            work.is_dirty = false;
            records.push(Record::Progress(work.job.id.clone(), work.progress.clone()));
            // A process that starts reads the newest record of each key over a narrow link.
            if work.progress.outcome == Some(Outcome::Completed) {
                records.push(Record::Accepted(Box::new(work.job.stub())));
            }
        }
        for worker in std::mem::take(&mut self.newly_drained) {
            records.push(Record::Drained(worker, Drained { term: self.term }));
        }
        let age = now.saturating_duration_since(self.heartbeat_at);
        if age >= HEARTBEAT_INTERVAL || (age >= BUSY_HEARTBEAT_INTERVAL && !records.is_empty()) {
            self.heartbeat_at = now;
            records.push(Record::Heartbeat(Heartbeat {
                term: self.term,
                node: self.options.node.clone(),
                loads: self.loads(now),
                ..Heartbeat::default()
            }));
        }
        // Ends without a record, such as those of lasting tasks, need no append of their own.
        let acks: Vec<(ids::Worker, u64, u64)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.observed_through > worker.recorded_through)
            .map(|(id, worker)| {
                (
                    id.clone(),
                    worker.report.started_at_ms,
                    worker.observed_through,
                )
            })
            .collect();
        if records.is_empty() {
            self.mark_recorded(acks);
            return;
        }
        self.pending_acknowledgements = Some(acks);
        self.appended_at = now;
        actions.push(Action::Append(records));
    }

    /// Takes in that the latest append took effect.
    pub(super) fn handle_appended(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(acks) = self.pending_acknowledgements.take() {
            let ids: Vec<ids::Worker> = acks.iter().map(|(id, ..)| id.clone()).collect();
            self.mark_recorded(acks);
            for id in ids {
                self.poll_worker(now, &id, actions);
            }
        }
    }

    fn mark_recorded(&mut self, acks: Vec<(ids::Worker, u64, u64)>) {
        for (id, born, seen) in acks {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.report.started_at_ms == born
            {
                worker.recorded_through = worker.recorded_through.max(seen);
            }
        }
    }
}
