use std::time::{Duration, Instant};

use super::check::MAX_NUMBER;
use super::event::{Action, Answer, Call, Command, Reason, Stop};
use super::graph::Advice;
use super::poll::log_run;
use super::run::Phase;
use super::scheduler::Scheduler;
use crate::ids;
use crate::job::Task;
use crate::map::Set;

/// Longest time after which a worker carries out a command that it has not answered, as the platform states.
const MAX_COMMAND_DELAY: Duration = Duration::from_secs(12);
/// Time for which a worker that refused a start gets no tasks.
const REFUSAL_SUSPENSION: Duration = Duration::from_millis(500);
/// Share of its declared run time, in percent, after which a task may be treated as stalled.
const STALL_PERCENT: u32 = 150;
/// Shortest time without progress after which a task is treated as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Divisor of the declared run time that gives the time without progress after which a long task is
/// treated as stalled.
const STALL_TIMEOUT_DIVISOR: u32 = 4;

impl Scheduler {
    pub(super) fn handle_call_answer(
        &mut self,
        now: Instant,
        call: &Call,
        sent_at: Instant,
        answer: Answer,
        clock_ms: Option<u64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(&call.worker) else {
            return;
        };
        if let Some(clock_ms) = clock_ms.filter(|clock_ms| *clock_ms <= MAX_NUMBER)
            && worker
                .runs
                .get(&call.task)
                .is_some_and(|run| sent_at >= run.created_at)
        {
            worker.record_clock(clock_ms, now);
        }
        if answer == Answer::Fenced {
            self.is_fenced = true;
            actions.push(Action::Fenced);
            return;
        }
        match call.command {
            Command::Start { .. } => self.handle_start_answer(now, call, answer, actions),
            Command::Stop => self.handle_stop_answer(now, call, answer),
            // The pace is not confirmed: the next change of pace replaces it.
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
        run.is_start_in_flight = false;
        let may_still_start = run.has_unanswered_start && run.confirmed_at.is_none();
        match answer {
            Answer::Done => {
                run.confirmed_at.get_or_insert(now);
                if run.state == Phase::Starting {
                    run.state = Phase::Running;
                }
                if let Some(graph) = self.jobs.get_mut(&call.task.job) {
                    graph.mark_started();
                }
                self.poll_worker(now, &call.worker, actions);
            }
            // A long-running task may work by the time at which a stop arrives, so its start is repeated.
            Answer::Unknown if run.start.is_some() => run.has_unanswered_start = true,
            Answer::Unknown => {
                if run.confirmed_at.is_none() {
                    let reason = Reason::UnansweredStart;
                    self.stop_run(now, &call.worker, &call.task, reason, actions);
                }
            }
            Answer::Old | Answer::Late | Answer::Stranger => {
                self.release_run(&call.worker, &call.task, "start refused", actions);
            }
            Answer::Full | Answer::Refused => {
                worker.suspended_until = Some(now + REFUSAL_SUSPENSION);
                if !may_still_start {
                    self.release_run(&call.worker, &call.task, "start refused", actions);
                }
            }
            Answer::Ticket if may_still_start => {
                run.start = None;
                self.discard_tickets(call);
            }
            Answer::Ticket => {
                self.release_run(&call.worker, &call.task, "ticket refused", actions);
                self.discard_tickets(call);
            }
            Answer::Fenced => {}
        }
    }

    fn discard_tickets(&mut self, call: &Call) {
        if let Some(graph) = self.jobs.get_mut(&call.task.job)
            && let Some((stage, _)) = graph.find(&call.task)
            && matches!(graph.stages[stage].advice, Advice::Granted(..))
        {
            graph.stages[stage].advice = Advice::NotRequested;
        }
    }

    fn handle_stop_answer(&mut self, now: Instant, call: &Call, answer: Answer) {
        let graph = self.jobs.get(&call.task.job);
        let is_open = graph.is_some_and(|graph| !graph.is_over());
        let worker = self.workers.get_mut(&call.worker);
        let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&call.task)) else {
            return;
        };
        if run.number != call.run {
            return;
        }
        run.is_stop_in_flight = false;
        match answer {
            // From now on the worker's inventory shows whether the run exists.
            Answer::Done | Answer::Old | Answer::Late => {
                run.confirmed_at.get_or_insert(now);
            }
            // The step of a long-running task may permit no further stop by now.
            _ if is_open && run.is_long_running && run.is_assigned => {
                run.may_stop_until = Some(now + MAX_COMMAND_DELAY);
                run.state = if run.confirmed_at.is_some() {
                    Phase::Running
                } else {
                    Phase::Starting
                };
            }
            _ => {}
        }
    }

    /// Repeats starts of long-running tasks that were not answered. If the worker gets no tasks any more, the
    /// run is stopped instead.
    pub(super) fn retry_starts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.may_start(now) {
            return;
        }
        let mut due_starts = Vec::new();
        for (id, worker) in &self.workers {
            // The lease of a worker that is unreachable ends its runs.
            if worker.missed_polls > 0 {
                continue;
            }
            for (task, run) in &worker.runs {
                if run.state == Phase::Starting
                    && run.has_unanswered_start
                    && !run.is_start_in_flight
                {
                    due_starts.push((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in due_starts {
            self.retry_start(now, &id, &task, actions);
        }
    }

    fn retry_start(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        actions: &mut Vec<Action>,
    ) {
        let term = self.term;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_suspended = worker.suspended_until.is_some_and(|until| until > now);
        let may_start = worker.accepts_tasks(now);
        let (address, lease) = (worker.report.address, worker.extend_lease(now));
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        let start = run.start.as_mut().filter(|_| may_start);
        if let (
            Some(Command::Start {
                lease_expiry_ms, ..
            }),
            Some(lease),
        ) = (start, lease)
        {
            *lease_expiry_ms = lease;
            run.is_start_in_flight = true;
            let number = run.number;
            let call = run.start.clone().map(|command| Call {
                worker: id.clone(),
                address,
                token: term,
                task: task.clone(),
                run: number,
                command,
            });
            actions.extend(call.map(Action::Call));
            actions.push(log_run("start repeated", task, number, id));
            return;
        }
        let may_start_later = is_suspended && run.start.is_some();
        if !may_start_later && self.is_stop_allowed(now, task) {
            self.stop_run(now, id, task, Reason::UnansweredStart, actions);
        }
    }

    /// Stops a run, or prevents it from starting if the start is still in flight.
    pub(super) fn stop_run(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        task: &Task,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        let unavailable = self.unavailability(now, task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (address, token) = (worker.report.address, self.term);
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        run.state = Phase::Stopping;
        if run.is_stop_in_flight {
            return;
        }
        run.stop_sent_at = Some(now);
        run.is_stop_in_flight = true;
        let number = run.number;
        let is_known_to_run = run.has_been_in_inventory;
        actions.push(Action::Call(Call {
            worker: id.clone(),
            address,
            token,
            task: task.clone(),
            run: number,
            command: Command::Stop,
        }));
        actions.push(Action::LogStop(Box::new(Stop {
            task: task.clone(),
            run: number,
            worker: id.clone(),
            reason,
            is_known_to_run,
            unavailable,
        })));
        self.poll_worker(now, id, actions);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, now: Instant, job: &ids::Job, actions: &mut Vec<Action>) {
        let mut runs = Vec::new();
        for (id, worker) in &self.workers {
            let tasks = worker.runs.keys().filter(|task| task.job == *job);
            runs.extend(tasks.map(|task| (id.clone(), task.clone())));
        }
        for (id, task) in runs {
            self.stop_run(now, &id, &task, Reason::JobOver, actions);
        }
    }

    /// Resends stops that have had no effect yet.
    pub(super) fn retry_stops(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.may_act(now) {
            return;
        }
        let mut due_stops = Vec::new();
        for (id, worker) in &self.workers {
            for (task, run) in &worker.runs {
                // An answered stop takes time to complete; an unanswered one is resent at once.
                let wait = if run.confirmed_at.is_some() {
                    self.options.stop_timeout * 2
                } else {
                    Duration::ZERO
                };
                let has_waited = |sent_at| now.saturating_duration_since(sent_at) >= wait;
                if run.state == Phase::Stopping
                    && !run.is_stop_in_flight
                    && run.stop_sent_at.is_none_or(has_waited)
                    && (!run.is_long_running || self.is_stop_allowed(now, task))
                {
                    due_stops.push((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in due_stops {
            self.stop_run(now, &id, &task, Reason::Repeat, actions);
        }
    }

    /// Stops stalled tasks, which resume on another worker from their saved progress.
    pub(super) fn stop_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut stalled: Set<(ids::Worker, Task)> = Set::default();
        for (id, worker) in self
            .workers
            .iter()
            .filter(|(_, worker)| worker.missed_polls == 0)
        {
            // A leader that is behind its events has old answers, which show no stall since.
            let Some(answered_at) = worker.answered_at else {
                continue;
            };
            for (task, run) in &worker.runs {
                let age = answered_at.saturating_duration_since(run.created_at);
                let stalled_for = answered_at.saturating_duration_since(run.progressed_at);
                if run.state == Phase::Running
                    && run.is_assigned
                    && !run.is_long_running
                    && age > run.estimate * STALL_PERCENT / 100
                    && stalled_for > STALL_TIMEOUT.max(run.estimate / STALL_TIMEOUT_DIVISOR)
                {
                    stalled.insert((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in stalled {
            if let Some(graph) = self.jobs.get_mut(&task.job)
                && let Some((stage, index)) = graph.find(&task)
            {
                graph.stages[stage].tasks[index]
                    .avoided_workers
                    .push(id.clone());
            }
            actions.push(log_run("stalled", &task, 0, &id));
            self.stop_run(now, &id, &task, Reason::Stalled, actions);
        }
    }
}
