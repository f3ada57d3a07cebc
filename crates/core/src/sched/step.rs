use std::sync::Arc;
use std::time::{Duration, Instant};

use super::event::{Action, Event, Report};
use super::machine::Scheduler;
use super::work::Work;
use super::worker::Worker;
use crate::ids;
use crate::job::{Job, Progress};

/// Time for which a job that is over is kept, so that late runs of it still have a known size.
const LINGER: Duration = Duration::from_secs(20);
/// Time by which a job's acceptance may lie back when the leader learns of it; clocks differ.
const AGE_MAX: Duration = Duration::from_mins(1);

impl Scheduler {
    pub(super) fn apply(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Config(config) => {
                self.config = config;
                self.stirred = true;
            }
            Event::Listed(report) => self.note_listed(now, report, actions),
            Event::Unlisted(worker) => self.note_unlisted(now, &worker, actions),
            Event::Hosts(hosts) => self.note_hosts(&hosts, actions),
            Event::Job {
                job,
                offset,
                progress,
                is_canceled: canceled,
            } => self.note_job(now, &job, offset, *progress, canceled, actions),
            Event::Canceled(job) => self.note_canceled(now, &job, actions),
            Event::Drain(worker, on) => self.note_drain(now, &worker, on, actions),
            Event::Polled {
                worker,
                sent_at: sent,
                answer,
            } => self.note_held(now, &worker, sent, answer, actions),
            Event::Called {
                call,
                sent_at: sent,
                answer,
                clock_ms: clock,
            } => self.note_called(now, &call, sent, answer, clock, actions),
            Event::Advised {
                job,
                occurrence,
                step,
                sent_at: sent,
                answer,
            } => self.note_advised(&job, (occurrence, step), sent, answer),
            Event::Appended => self.note_appended(now, actions),
            Event::Confirmed(at) => {
                let resumes = !self.may_act(now);
                self.confirmed = self.confirmed.max(at);
                if resumes {
                    self.look_at_all(now, actions);
                }
            }
            Event::PollDue(worker) => {
                self.plan_done(&worker);
                self.look(now, &worker, actions);
            }
            Event::Tick => self.tick(now, actions),
        }
    }

    fn note_listed(&mut self, now: Instant, report: Report, actions: &mut Vec<Action>) {
        self.stirred = true;
        let id = report.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            let mut worker = Worker::new(report);
            worker.vacating = self.vacating.contains(&id);
            self.workers.insert(id.clone(), worker);
            self.look(now, &id, actions);
            return;
        };
        if report.started_at_ms < worker.report.started_at_ms {
            return;
        }
        worker.listed = true;
        if report.started_at_ms > worker.report.started_at_ms {
            worker.report = report.clone();
            self.lose_life(now, &id, report.started_at_ms, actions);
        } else {
            worker.report = report;
        }
        self.evacuate(now, &id, actions);
        self.look(now, &id, actions);
    }

    fn note_unlisted(&mut self, now: Instant, id: &ids::Worker, actions: &mut Vec<Action>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
            self.look(now, id, actions);
            self.drop_idle(now);
        }
    }

    /// Drops workers that are not listed and run nothing any more.
    fn drop_idle(&mut self, now: Instant) {
        let settled = now >= self.settling_until();
        self.workers.retain(|_, worker| {
            worker.listed || !worker.runs.is_empty() || !(settled || worker.settled)
        });
    }

    fn note_job(
        &mut self,
        now: Instant,
        job: &Arc<Job>,
        offset: ids::Offset,
        progress: Progress,
        canceled: bool,
        actions: &mut Vec<Action>,
    ) {
        if self.works.contains_key(&job.id) {
            if canceled {
                self.note_canceled(now, &job.id, actions);
            }
            return;
        }
        let queue = self.config.queue(&job.queue);
        let (stretch, allowance) = queue.map_or((2.0, Duration::ZERO), |queue| {
            (queue.stretch, queue.allowance)
        });
        let objective = job.critical_path().mul_f64(stretch) + allowance;
        let age = Duration::from_millis(self.wall.saturating_sub(job.accepted_at_ms)).min(AGE_MAX);
        let accepted = now.checked_sub(age).unwrap_or(now);
        let mut work = Work::new(job.clone(), progress, canceled, accepted, objective);
        // A record after the claim of the term was read by no older leader that could act on it.
        work.old = offset < self.term - 1;
        work.over = work.is_over().then_some(now);
        if !work.is_over() {
            let service = self.service_of(&work);
            self.offers.note(now, service, job.total_work());
        }
        work.open(self.wall);
        self.works.insert(job.id.clone(), work);
        self.stirred = true;
    }

    fn note_canceled(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        let Some(work) = self.works.get_mut(job) else {
            return;
        };
        if work.is_over() {
            return;
        }
        work.canceled = true;
        work.over = Some(now);
        self.stop_job(now, job, actions);
        self.stirred = true;
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let wall = self.wall;
        let over = |work: &Work| {
            work.over
                .is_some_and(|at| now.saturating_duration_since(at) > LINGER && !work.dirty)
        };
        self.works.retain(|_, work| !over(work));
        for work in self.works.values_mut() {
            self.stirred |= work.open(wall);
        }
        self.stirred = true;
        self.expire(now, actions);
        self.repeat_stops(now, actions);
        self.find_stalled(now, actions);
        self.look_at_all(now, actions);
        self.drop_idle(now);
        self.free_hosts(now, actions);
    }
}
