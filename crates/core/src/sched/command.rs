use std::time::{Duration, Instant};

use super::event::{Action, Answer, Call, Command};
use super::poll::log_run;
use super::run::RunState;
use super::scheduler::Scheduler;
use super::state::Advice;
use crate::ids;
use crate::job::Task;
use crate::map::Set;

/// Time for which a worker that refused a start gets none.
const REFUSAL_SUSPENSION: Duration = Duration::from_millis(500);
/// Share of its declared run time, in percent, after which a task may count as standing still.
const STALL_PERCENT: u32 = 150;
/// Time without progress after which a task counts as standing still.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Scheduler {
    pub(super) fn handle_call_answer(
        &mut self,
        now: Instant,
        call: &Call,
        sent: Instant,
        answer: Answer,
        clock: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return;
        };
        if let Some(clock) = clock
            && worker
                .runs
                .get(&call.task)
                .is_some_and(|run| sent >= run.created_at)
        {
            worker.record_clock(clock, now);
        }
        if answer == Answer::Fenced {
            self.is_fenced = true;
            actions.push(Action::Fenced);
            return;
        }
        match call.command {
            Command::Start { .. } => self.handle_start_answer(now, call, answer, actions),
            Command::Stop => self.handle_stop_answer(now, call, answer),
            // A lost pace is set again with the next look.
            Command::Pace(_) => {}
        }
    }

    fn handle_start_answer(
        &mut self,
        now: Instant,
        call: &Call,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&call.task) else {
            return;
        };
        if run.number != call.run {
            return;
        }
        match answer {
            Answer::Done => {
                run.confirmed_at.get_or_insert(now);
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                }
                if let Some(work) = self.jobs.get_mut(&call.task.job) {
                    work.mark_started();
                }
                self.poll_worker(now, &call.worker, actions);
            }
            Answer::Unknown => {
                if run.confirmed_at.is_none() {
                    self.stop_run(now, &call.worker, &call.task, actions);
                }
            }
            Answer::Old | Answer::Late | Answer::Stranger => {
                self.release_run(&call.worker, &call.task, "start refused", actions);
            }
            Answer::Full | Answer::Refused => {
                worker.suspended_until = Some(now + REFUSAL_SUSPENSION);
                self.release_run(&call.worker, &call.task, "start refused", actions);
            }
            Answer::Ticket => {
                self.release_run(&call.worker, &call.task, "ticket refused", actions);
                self.discard_tickets(call);
            }
            Answer::Fenced => {}
        }
    }

    fn discard_tickets(&mut self, call: &Call) {
        if let Some(work) = self.jobs.get_mut(&call.task.job)
            && let Some((stage, _)) = work.find(&call.task)
        {
            work.stages[stage].advice = Advice::NotRequested;
        }
    }

    fn handle_stop_answer(&mut self, now: Instant, call: &Call, answer: Answer) {
        let worker = self.workers.get_mut(&call.worker);
        let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&call.task)) else {
            return;
        };
        if run.number != call.run {
            return;
        }
        run.is_stop_in_flight = false;
        match answer {
            // From now on the worker's list says whether the run is there.
            Answer::Done | Answer::Old | Answer::Late => {
                run.confirmed_at.get_or_insert(now);
            }
            _ => {}
        }
    }

    /// Stops a run, or makes sure that it never starts.
    pub(super) fn stop_run(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (address, token) = (worker.report.address, self.term);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        run.state = RunState::Stopping;
        if run.is_stop_in_flight {
            return;
        }
        run.stop_sent_at = Some(now);
        run.is_stop_in_flight = true;
        let number = run.number;
        actions.push(Action::Call(Call {
            worker: id.clone(),
            address,
            token,
            task: task.clone(),
            run: number,
            command: Command::Stop,
        }));
        actions.push(log_run("stop", task, number, id));
        self.poll_worker(now, id, actions);
    }

    /// Stops everything that a job runs.
    pub(super) fn stop_job(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            let tasks = worker.runs.keys().filter(|task| task.job == *job);
            found.extend(tasks.map(|task| (id.clone(), task.clone())));
        }
        for (id, task) in found {
            self.stop_run(now, &id, &task, actions);
        }
    }

    /// Sends stops again that had no effect yet.
    pub(super) fn retry_stops(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.may_act(now) {
            return;
        }
        let mut again = Vec::new();
        for (id, worker) in &self.workers {
            for (task, run) in &worker.runs {
                // A stop that was answered takes its time; one that was not is repeated at once.
                let wait = if run.confirmed_at.is_some() {
                    self.options.stop_timeout * 2
                } else {
                    Duration::ZERO
                };
                let waited = |sent| now.saturating_duration_since(sent) >= wait;
                if run.state == RunState::Stopping
                    && !run.is_stop_in_flight
                    && run.stop_sent_at.is_none_or(waited)
                {
                    again.push((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in again {
            self.stop_run(now, &id, &task, actions);
        }
    }

    /// Stops tasks that stand still; they go elsewhere with what they saved.
    pub(super) fn stop_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut stalled: Set<(ids::Worker, Task)> = Set::default();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.missed_polls == 0) {
            for (task, run) in &worker.runs {
                let age = now.saturating_duration_since(run.created_at);
                let still = now.saturating_duration_since(run.progressed_at);
                if run.state == RunState::Running
                    && run.is_wanted
                    && !run.is_long_running
                    && age > run.estimate * STALL_PERCENT / 100
                    && still > STALL_TIMEOUT.max(run.estimate / 4)
                {
                    stalled.insert((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in stalled {
            if let Some(work) = self.jobs.get_mut(&task.job)
                && let Some((stage, index)) = work.find(&task)
            {
                work.stages[stage].tasks[index]
                    .avoided_workers
                    .push(id.clone());
            }
            actions.push(log_run("stands still", &task, 0, &id));
            self.stop_run(now, &id, &task, actions);
        }
    }
}
