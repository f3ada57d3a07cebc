use std::time::{Duration, Instant};

use super::event::{Action, Answer, Inventory, Poll};
use super::run::{Run, RunState};
use super::scheduler::Scheduler;
use super::state::Placement;
use super::worker::{LEASE_MS, PollState, Resources};
use crate::ids;
use crate::job::Task;

/// Time that a worker may wait for an end before it answers: a third of the lease.
const POLL_MAX_WAIT: Duration = Duration::from_millis(800);
/// Time between an answer and the next question, in which further ends gather.
const POLL_PAUSE: Duration = Duration::from_millis(40);
/// Time before a worker that did not answer is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time beyond the end of its lease for which the tasks of a listed worker wait for its answer, as they
/// may be done: the list drops a silent worker after three heartbeats of 1.5 s.
const EXPIRY_GRACE: Duration = Duration::from_secs(5);
/// Longest time before a worker that does not answer is asked again.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Scheduler {
    pub(super) fn poll_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ids: Vec<ids::Worker> = self.workers.keys().cloned().collect();
        for id in ids {
            self.poll_worker(now, &id, actions);
        }
    }

    /// Asks a worker about its runs, unless it was asked already or has nothing to tell.
    pub(super) fn poll_worker(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        actions: &mut Vec<Action>,
    ) {
        let may_act = self.may_act(now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !may_act || worker.poll != PollState::Idle || !worker.needs_poll() {
            return;
        }
        worker.poll = PollState::InFlight;
        // A worker that does not answer gets no longer lease, or its tasks could never go elsewhere.
        let until = if worker.runs.is_empty() || worker.missed_polls > 0 {
            None
        } else {
            worker.extend_lease(now)
        };
        let waits = worker.is_confirmed && until.is_some();
        actions.push(Action::Poll(Poll {
            worker: id.clone(),
            address: worker.report.address,
            token: self.term,
            acknowledged_through: worker.next_acknowledgement(now),
            lease_expiry_ms: until,
            max_wait: if waits { POLL_MAX_WAIT } else { Duration::ZERO },
        }));
    }

    pub(super) fn clear_scheduled_poll(&mut self, id: &ids::Worker) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.poll == PollState::Scheduled
        {
            worker.poll = PollState::Idle;
        }
    }

    pub(super) fn handle_poll_answer(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        sent: Instant,
        answer: Result<Inventory, Answer>,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.poll = PollState::Scheduled;
        let wait = match answer {
            Ok(listing) => {
                worker.missed_polls = 0;
                worker.expired_at = None;
                if listing.started_at_ms < worker.report.started_at_ms {
                    RETRY_DELAY
                } else {
                    self.apply_inventory(now, id, sent, &listing, actions);
                    POLL_PAUSE
                }
            }
            Err(Answer::Fenced) => {
                self.is_fenced = true;
                actions.push(Action::Fenced);
                return;
            }
            Err(_) => {
                worker.missed_polls += 1;
                (RETRY_DELAY * worker.missed_polls).min(MAX_RETRY_DELAY)
            }
        };
        actions.push(Action::SchedulePoll(id.clone(), wait));
    }

    fn apply_inventory(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        sent: Instant,
        listing: &Inventory,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if listing.started_at_ms > worker.report.started_at_ms {
            self.handle_restart(now, id, listing.started_at_ms, actions);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.record_clock(listing.clock_ms, now);
        if worker.clock_unknown_since.take().is_some() {
            let longest = as_millis(self.options.max_lease);
            worker.lease_expiry_ms = worker.lease_expiry_ms.max(listing.clock_ms + longest);
        }
        worker.acknowledged_through = worker.acknowledged_through.max(worker.sent_acknowledgement);
        worker.answered_at = Some(now);
        if !worker.is_confirmed {
            worker.is_confirmed = true;
            self.needs_placement = true;
        }
        for ending in &listing.exits {
            self.handle_exit(now, id, ending, actions);
        }
        for row in &listing.running {
            let known = self
                .workers
                .get_mut(id)
                .and_then(|w| w.runs.get_mut(&row.task));
            match known {
                Some(run) if run.number == row.run => {
                    run.apply_status(row, now);
                    if run.state == RunState::Starting {
                        run.state = RunState::Running;
                    }
                    run.confirmed_at.get_or_insert(now);
                    if let Some(work) = self.jobs.get_mut(&row.task.job) {
                        work.mark_started();
                    }
                }
                Some(run) if run.number > row.run => {}
                _ => self.adopt(now, id, &row.task, row.run, actions),
            }
        }
        self.drop_missing(id, sent, listing, actions);
        self.adjust_pace(now, id, actions);
    }

    /// Takes in a run that an older leader started, or stops it.
    fn adopt(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        number: ids::Run,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        // A worker that runs a task of unknown size gets nothing more until that has ended.
        let mut run = Run::new(number, worker.report.capacity, now);
        run.state = RunState::Running;
        run.confirmed_at = Some(now);
        run.has_been_listed = true;
        run.is_wanted = false;
        if let Some(work) = self.jobs.get_mut(&task.job)
            && let Some((stage, index)) = work.find(task)
        {
            let step = work.step_of(stage).clone();
            run.resources = Resources::reserved_by(&step);
            run.apply_step(&step);
            let item = &mut work.stages[stage].tasks[index];
            item.run = item.run.max(number);
            if !work.is_over() && work.stages[stage].tasks[index].placement == Placement::Idle {
                work.set_placement(stage, index, Placement::On(id.clone()));
                run.is_wanted = true;
                work.mark_started();
            }
        }
        let wanted = run.is_wanted;
        if let Some(worker) = self.workers.get_mut(id) {
            // An older leader gave its last lease before the worker saw this token.
            let clock = worker.clock.map_or(0, |(clock, _)| clock);
            worker.lease_expiry_ms = worker.lease_expiry_ms.max(clock + LEASE_MS);
            worker.runs.insert(task.clone(), run);
        }
        let what = if wanted { "adopted" } else { "unwanted" };
        actions.push(log_run(what, task, number, id));
        if !wanted {
            self.stop_run(now, id, task, actions);
        }
    }

    /// Drops runs that the worker's list should have and doesn't.
    fn drop_missing(
        &mut self,
        id: &ids::Worker,
        sent: Instant,
        listing: &Inventory,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let listed = |task: &Task| listing.running.iter().any(|row| row.task == *task);
        let missing: Vec<Task> = worker
            .runs
            .iter()
            .filter(|(task, run)| run.confirmed_at.is_some_and(|at| at <= sent) && !listed(task))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            self.release_run(id, &task, "missing", actions);
        }
    }

    /// Drops what an earlier life of a worker ran.
    ///
    /// The new life may have carried out starts that no list of the earlier one had: they stay until a
    /// list of the new life tells.
    pub(super) fn handle_restart(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        born: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.reset(born);
        let lost: Vec<Task> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.has_been_listed)
            .map(|(task, _)| task.clone())
            .collect();
        if lost.len() < worker.runs.len() {
            // Their leases ended on the clock of the earlier life.
            worker.clock_unknown_since = Some(now);
        }
        for run in worker.runs.values_mut().filter(|run| !run.has_been_listed) {
            run.confirmed_at = run.confirmed_at.map(|_| now);
        }
        for task in lost {
            self.release_run(id, &task, "worker started again", actions);
        }
    }

    /// Drops the runs of workers whose lease has ended for sure.
    pub(super) fn release_expired(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let longest = self.options.max_lease;
        let mut lost = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.missed_polls == 0 || !worker.has_lease_expired(now, longest) {
                continue;
            }
            let since = *worker.expired_at.get_or_insert(now);
            let alive = worker.is_listed && !worker.has_terminated;
            let waits = alive && now.saturating_duration_since(since) < EXPIRY_GRACE;
            let runs = worker
                .runs
                .iter()
                .filter(|(_, run)| run.is_long_running || !waits);
            lost.extend(runs.map(|(task, _)| (id.clone(), task.clone())));
        }
        for (id, task) in lost {
            self.release_run(&id, &task, "lease ended", actions);
        }
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Makes the line about what became of a run.
pub(super) fn log_run(
    what: &'static str,
    task: &Task,
    run: ids::Run,
    worker: &ids::Worker,
) -> Action {
    Action::LogRun {
        message: what,
        task: task.clone(),
        run,
        worker: worker.clone(),
    }
}
