use std::sync::Arc;
use std::time::{Duration, Instant};

use super::belief::Change;
use super::event::{Action, Event, Report};
use super::graph::Graph;
use super::scheduler::Scheduler;
use super::worker::Worker;
use crate::ids;
use crate::job::{Job, Progress};
use crate::share::Standing;

/// Time for which an ended job is kept, so that the resources of its late runs are known.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(20);
/// Age up to which a job that is read counts as one that arrives: the window over which arrivals are averaged.
const MAX_ARRIVAL_AGE: Duration = Duration::from_secs(1);
/// Highest assumed age of a job when the leader learns of it, as the clocks of processes differ.
const MAX_ACCEPTANCE_AGE: Duration = Duration::from_mins(1);

impl Scheduler {
    pub(super) fn handle_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Config(config) => {
                self.borrower.set_accounts(&config.accounts);
                self.config = config;
                self.needs_placement = true;
            }
            Event::Listed(report) => self.handle_listed(now, report, actions),
            Event::Unlisted(worker) => self.handle_unlisted(now, &worker, actions),
            Event::Hosts {
                hosts,
                arriving,
                is_complete,
            } => {
                self.sharing.set_arrivals(now, arriving, is_complete);
                self.handle_hosts(now, &hosts, is_complete, actions);
            }
            Event::Job {
                job,
                offset,
                progress,
                is_canceled,
            } => self.handle_job(now, &job, offset, *progress, is_canceled, actions),
            Event::Payload(job, payload) => self.handle_payload(now, &job, payload),
            Event::Canceled(job) => self.handle_canceled(now, &job, actions),
            Event::Drain(worker, requested) => {
                self.handle_drain(now, &worker, requested, actions);
            }
            Event::Polled {
                worker,
                sent_at,
                answer,
            } => self.handle_poll_answer(now, &worker, sent_at, answer, actions),
            Event::Called {
                call,
                sent_at,
                answer,
                clock_ms,
            } => self.handle_call_answer(now, &call, sent_at, answer, clock_ms, actions),
            Event::Advised {
                job,
                occurrence,
                step,
                sent_at,
                answer,
            } => self.handle_advice(now, &job, (occurrence, step), sent_at, answer),
            Event::Appended => self.handle_appended(now, actions),
            Event::Overflowed(job) => self.handle_overflow(now, &job, actions),
            Event::TermConfirmed(at) => {
                let is_resuming = !self.may_act(now);
                self.term_confirmed_at = self.term_confirmed_at.max(at);
                if is_resuming {
                    self.poll_all(now, actions);
                }
            }
            Event::PollDue(worker) => {
                self.clear_scheduled_poll(&worker);
                self.poll_worker(now, &worker, actions);
            }
            Event::PlacementDue => {
                self.is_placement_scheduled = false;
                self.needs_placement |= self.near.is_due(now);
            }
            Event::Limit(notice) => {
                self.borrower.handle(now, notice);
                self.needs_placement = true;
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn handle_listed(&mut self, now: Instant, report: Report, actions: &mut Vec<Action>) {
        if !report.is_valid() {
            return;
        }
        self.needs_placement = true;
        let id = report.worker.clone();
        // From now on it counts as unconfirmed, until it answers.
        self.recovery.forget_unlisted(&id);
        let is_shutting_down = report.is_shutting_down;
        let Some(worker) = self.workers.get_mut(&id) else {
            let mut worker = Worker::new(report, now);
            worker.is_draining = self.draining.contains(&id);
            actions.push(worker.log(now, Change::Joined));
            self.workers.insert(id.clone(), worker);
            self.poll_worker(now, &id, actions);
            return;
        };
        if report.started_at_ms < worker.report.started_at_ms {
            actions.push(worker.log(now, Change::Outdated(report.started_at_ms)));
            return;
        }
        let was_listed = std::mem::replace(&mut worker.is_listed, true);
        let was_shutting_down = worker.report.is_shutting_down;
        if report.started_at_ms > worker.report.started_at_ms {
            worker.report = report.clone();
            self.handle_restart(now, &id, report.started_at_ms, actions);
        } else {
            worker.report = report;
        }
        if !was_listed {
            self.log_worker(now, &id, Change::Returned, actions);
        }
        if is_shutting_down && !was_shutting_down {
            self.log_worker(now, &id, Change::ShuttingDown, actions);
        }
        self.stop_long_running(now, &id, actions);
        self.poll_worker(now, &id, actions);
    }

    fn handle_unlisted(&mut self, now: Instant, id: &ids::Worker, actions: &mut Vec<Action>) {
        if let Some(worker) = self.workers.get_mut(id) {
            if std::mem::replace(&mut worker.is_listed, false) {
                actions.push(worker.log(now, Change::Unlisted));
            }
            self.poll_worker(now, id, actions);
            self.drop_unlisted(now, actions);
        }
    }

    /// Removes unlisted workers on which no task can run any more.
    fn drop_unlisted(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_recovery_over = self.is_past_deadline();
        self.workers.retain(|_, worker| {
            let is_kept = worker.is_listed
                || !worker.runs.is_empty()
                || !(is_recovery_over || worker.is_confirmed);
            if !is_kept {
                actions.push(worker.log(now, Change::Removed));
            }
            is_kept
        });
    }

    fn handle_job(
        &mut self,
        now: Instant,
        job: &Arc<Job>,
        offset: ids::Offset,
        progress: Progress,
        is_canceled: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.jobs.contains_key(&job.id) {
            if is_canceled {
                self.handle_canceled(now, &job.id, actions);
            }
            return;
        }
        let queue = self.config.queue(&job.queue);
        let critical_path = job.critical_path();
        let objective = queue.map_or(critical_path * 2, |queue| queue.objective(critical_path));
        let age = Duration::from_millis(self.unix_ms.saturating_sub(job.accepted_at_ms))
            .min(MAX_ACCEPTANCE_AGE);
        let accepted_at = now.checked_sub(age).unwrap_or(now);
        let mut graph = Graph::new(job.clone(), progress, is_canceled, accepted_at, objective);
        // No older leader could act on a record that follows the claim of this term.
        graph.predates_term = offset.saturating_add(1) < self.term;
        graph.ended_at = graph.is_over().then_some(now);
        if is_canceled && job.has_detached_payload {
            // It may have been recorded after the cancellation.
            actions.push(Action::DropPayloads(vec![job.id.clone()]));
        }
        // A new leader reads all unfinished jobs at once, and one that was held up those of some seconds.
        if !graph.is_over() && age <= MAX_ARRIVAL_AGE {
            let service = self.service_of(&graph).clone();
            // What an older leader accepted says nothing of how fast it came.
            if !graph.predates_term && self.exceeds_rate(accepted_at, job.account.as_ref()) {
                graph.standing = Standing::BeyondRate;
            } else {
                // Hosts are fetched for what is within the rates; the rest gets the room that is left.
                self.arrivals
                    .record(accepted_at, service, job.occurrence_work());
            }
        }
        if let Some(payload) = self.payloads.claim(&job.id) {
            graph.payload.get_or_insert(payload);
        }
        graph.open_due_occurrences(self.unix_ms);
        self.jobs.insert(job.id.clone(), graph);
        self.needs_placement = true;
    }

    fn handle_canceled(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        let Some(graph) = self.jobs.get_mut(job) else {
            return;
        };
        if graph.is_over() {
            return;
        }
        graph.is_canceled = true;
        graph.ended_at = Some(now);
        if graph.job.has_detached_payload {
            actions.push(Action::DropPayloads(vec![job.clone()]));
        }
        self.stop_job(now, job, actions);
        self.needs_placement = true;
    }

    /// Ends a job as failed whose progress the log can't store.
    fn handle_overflow(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        self.fail_job(now, job, actions);
        if let Some(graph) = self.jobs.get_mut(job) {
            graph.progress = graph.progress.summary(self.unix_ms);
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let unix_ms = self.unix_ms;
        let is_expired = |graph: &Graph| {
            graph.ended_at.is_some_and(|at| {
                now.saturating_duration_since(at) > ENDED_JOB_RETENTION && !graph.is_dirty
            })
        };
        self.jobs.retain(|_, graph| !is_expired(graph));
        for graph in self.jobs.values_mut() {
            self.needs_placement |= graph.open_due_occurrences(unix_ms);
        }
        self.needs_placement = true;
        self.release_expired(now, actions);
        self.retry_starts(now, actions);
        self.retry_stops(now, actions);
        self.stop_stalled(now, actions);
        self.poll_all(now, actions);
        self.drop_unlisted(now, actions);
        self.drop_old_crashes(now);
        self.advance_drains(now, actions);
        self.log_idle(now, actions);
        self.log_waiting(now, actions);
        let limited = self.borrower.due_reports(now);
        if !limited.is_empty() {
            actions.push(Action::LogLimited(limited));
        }
    }
}
