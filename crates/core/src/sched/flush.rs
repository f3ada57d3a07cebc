use std::time::{Duration, Instant};

use super::event::Action;
use super::scheduler::Scheduler;
use crate::ids;
use crate::job::Outcome;
use crate::journal::{Drained, Heartbeat, Record};
use crate::term::HEARTBEAT_INTERVAL;

/// Shortest time between two appends, so that exits are batched. This delays the result that
/// callers see by as much.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two heartbeats that are appended with other records, so that the fleet learns of
/// load changes early.
const BUSY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

impl Scheduler {
    /// Appends all changes to the log, one append at a time.
    pub(super) fn flush(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_early = now.saturating_duration_since(self.appended_at) < MIN_APPEND_INTERVAL;
        if self.pending_acknowledgements.is_some() || self.is_fenced || is_early {
            return;
        }
        let mut records = Vec::new();
        for graph in self.jobs.values_mut().filter(|graph| graph.is_dirty) {
            graph.is_dirty = false;
            records.push(Record::Progress(
                graph.job.id.clone(),
                graph.progress.clone(),
            ));
            let has_ended = graph.progress.outcome.is_some() && !graph.is_canceled;
            if has_ended && graph.job.has_detached_payload {
                self.unneeded_payloads.push(graph.job.id.clone());
            }
            // A starting process reads the newest record of each key over a slow link, so a
            // completed job keeps only a stub.
            if graph.progress.outcome == Some(Outcome::Completed) {
                records.push(Record::Accepted(Box::new(graph.job.stub())));
            }
        }
        for worker in std::mem::take(&mut self.newly_drained) {
            records.push(Record::Drained(worker, Drained { term: self.term }));
        }
        let age = now.saturating_duration_since(self.heartbeat_at);
        if age >= HEARTBEAT_INTERVAL || (age >= BUSY_HEARTBEAT_INTERVAL && !records.is_empty()) {
            self.heartbeat_at = now;
            self.adjust_rates(now);
            let loads = self.loads(now);
            self.record_held_back(&loads);
            records.push(Record::Heartbeat(Heartbeat {
                term: self.term,
                node: self.options.node.clone(),
                loads,
                ..Heartbeat::default()
            }));
        }
        // Exits without a record, such as those of long-running tasks, need no append of their own.
        let acknowledgements: Vec<(ids::Worker, u64, u64)> = self
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
            self.mark_recorded(acknowledgements);
            return;
        }
        self.pending_acknowledgements = Some(acknowledgements);
        self.recorded_crashes = std::mem::take(&mut self.unrecorded_crashes);
        self.appended_at = now;
        actions.push(Action::Append(records));
    }

    /// Acknowledges the exits of the latest append, which the log has stored.
    pub(super) fn handle_appended(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(acknowledgements) = self.pending_acknowledgements.take() {
            self.release_recorded_crashes();
            let unneeded = std::mem::take(&mut self.unneeded_payloads);
            if !unneeded.is_empty() {
                actions.push(Action::DropPayloads(unneeded));
            }
            let ids: Vec<ids::Worker> =
                acknowledgements.iter().map(|(id, ..)| id.clone()).collect();
            self.mark_recorded(acknowledgements);
            for id in ids {
                self.poll_worker(now, &id, actions);
            }
        }
    }

    fn mark_recorded(&mut self, acknowledgements: Vec<(ids::Worker, u64, u64)>) {
        for (id, started_at_ms, sequence) in acknowledgements {
            if let Some(worker) = self.workers.get_mut(&id)
                && worker.report.started_at_ms == started_at_ms
            {
                worker.recorded_through = worker.recorded_through.max(sequence);
            }
        }
    }
}
