use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::{Action, Event, Report};
use super::scheduler::Scheduler;
use super::state::JobState;
use super::worker::Worker;
use crate::ids;
use crate::job::{Job, Progress};

/// Time for which a job that is over is kept, so that late runs of it still have a known size.
const ENDED_JOB_RETENTION: Duration = Duration::from_secs(20);
/// Time by which a job's acceptance may lie back when the leader learns of it; clocks differ.
const MAX_ACCEPTANCE_AGE: Duration = Duration::from_mins(1);

impl Scheduler {
    pub(super) fn handle_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Config(config) => {
                self.config = config;
                self.needs_placement = true;
            }
            Event::Listed(report) => self.handle_listed(now, report, actions),
            Event::Unlisted(worker) => self.handle_unlisted(now, &worker, actions),
            Event::Hosts(hosts) => self.handle_hosts(&hosts, actions),
            Event::Job {
                job,
                offset,
                progress,
                is_canceled: canceled,
            } => self.handle_job(now, &job, offset, *progress, canceled, actions),
            Event::Canceled(job) => self.handle_canceled(now, &job, actions),
            Event::Drain(worker, on) => self.handle_drain(now, &worker, on, actions),
            Event::Polled {
                worker,
                sent_at: sent,
                answer,
            } => self.handle_poll_answer(now, &worker, sent, answer, actions),
            Event::Called {
                call,
                sent_at: sent,
                answer,
                clock_ms: clock,
            } => self.handle_call_answer(now, &call, sent, answer, clock, actions),
            Event::Advised {
                job,
                occurrence,
                step,
                sent_at: sent,
                answer,
            } => self.handle_advice(&job, (occurrence, step), sent, answer),
            Event::Appended => self.handle_appended(now, actions),
            Event::Confirmed(at) => {
                let resumes = !self.may_act(now);
                self.confirmed_at = self.confirmed_at.max(at);
                if resumes {
                    self.poll_all(now, actions);
                }
            }
            Event::PollDue(worker) => {
                self.clear_scheduled_poll(&worker);
                self.poll_worker(now, &worker, actions);
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn handle_listed(&mut self, now: Instant, report: Report, actions: &mut Vec<Action>) {
        self.needs_placement = true;
        let id = report.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            let mut worker = Worker::new(report);
            worker.is_draining = self.draining.contains(&id);
            self.workers.insert(id.clone(), worker);
            self.poll_worker(now, &id, actions);
            return;
        };
        if report.started_at_ms < worker.report.started_at_ms {
            return;
        }
        worker.is_listed = true;
        if report.started_at_ms > worker.report.started_at_ms {
            worker.report = report.clone();
            self.handle_restart(now, &id, report.started_at_ms, actions);
        } else {
            worker.report = report;
        }
        self.stop_long_running(now, &id, actions);
        self.poll_worker(now, &id, actions);
    }

    fn handle_unlisted(&mut self, now: Instant, id: &ids::Worker, actions: &mut Vec<Action>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_listed = false;
            self.poll_worker(now, id, actions);
            self.drop_unlisted(now);
        }
    }

    /// Drops workers that are not listed and run nothing any more.
    fn drop_unlisted(&mut self, now: Instant) {
        let settled = now >= self.recovery_deadline();
        self.workers.retain(|_, worker| {
            worker.is_listed || !worker.runs.is_empty() || !(settled || worker.is_confirmed)
        });
    }

    fn handle_job(
        &mut self,
        now: Instant,
        job: &Arc<Job>,
        offset: ids::Offset,
        progress: Progress,
        canceled: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.jobs.contains_key(&job.id) {
            if canceled {
                self.handle_canceled(now, &job.id, actions);
            }
            return;
        }
        let queue = self.config.queue(&job.queue);
        let (stretch, allowance) = queue.map_or((2.0, Duration::ZERO), |queue| {
            (queue.stretch, queue.allowance)
        });
        let objective = job.critical_path().mul_f64(stretch) + allowance;
        let age = Duration::from_millis(self.unix_ms.saturating_sub(job.accepted_at_ms))
            .min(MAX_ACCEPTANCE_AGE);
        let accepted = now.checked_sub(age).unwrap_or(now);
        let mut work = JobState::new(job.clone(), progress, canceled, accepted, objective);
        // A record after the claim of the term was read by no older leader that could act on it.
        work.predates_term = offset < self.term - 1;
        work.ended_at = work.is_over().then_some(now);
        if !work.is_over() {
            let service = self.service_of(&work);
            self.arrivals.record(now, service, job.total_work());
        }
        work.open_due_occurrences(self.unix_ms);
        self.jobs.insert(job.id.clone(), work);
        self.needs_placement = true;
    }

    fn handle_canceled(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        let Some(work) = self.jobs.get_mut(job) else {
            return;
        };
        if work.is_over() {
            return;
        }
        work.is_canceled = true;
        work.ended_at = Some(now);
        self.stop_job(now, job, actions);
        self.needs_placement = true;
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let wall = self.unix_ms;
        let over = |work: &JobState| {
            work.ended_at.is_some_and(|at| {
                now.saturating_duration_since(at) > ENDED_JOB_RETENTION && !work.is_dirty
            })
        };
        self.jobs.retain(|_, work| !over(work));
        for work in self.jobs.values_mut() {
            self.needs_placement |= work.open_due_occurrences(wall);
        }
        self.needs_placement = true;
        self.release_expired(now, actions);
        self.retry_stops(now, actions);
        self.stop_stalled(now, actions);
        self.poll_all(now, actions);
        self.drop_unlisted(now);
        self.advance_drains(now, actions);
    }
}
