use std::time::{Duration, Instant};

use super::event::{Action, Answer, Call, Command};
use super::hold::note;
use super::machine::Scheduler;
use super::run::Stage;
use super::work::Advised;
use crate::ids;
use crate::job::Task;
use crate::map::Set;

/// Time for which a worker that refused a start gets none.
const REFUSAL: Duration = Duration::from_millis(500);
/// Share of its declared run time, in percent, after which a task may count as standing still.
const STALL_PERCENT: u32 = 150;
/// Time without progress after which a task counts as standing still.
const STALL: Duration = Duration::from_millis(1_500);

impl Scheduler {
    pub(super) fn note_called(
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
                .is_some_and(|run| sent >= run.since)
        {
            worker.note_clock(clock, now);
        }
        if answer == Answer::Fenced {
            self.fenced = true;
            actions.push(Action::Fenced);
            return;
        }
        match call.command {
            Command::Start { .. } => self.note_started(now, call, answer, actions),
            Command::Stop => self.note_stopped(now, call, answer),
            // A lost pace is set again with the next look.
            Command::Pace(_) => {}
        }
    }

    fn note_started(
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
                run.known.get_or_insert(now);
                if run.stage == Stage::Starting {
                    run.stage = Stage::Running;
                }
                if let Some(work) = self.works.get_mut(&call.task.job) {
                    work.note_begun();
                }
                self.look(now, &call.worker, actions);
            }
            Answer::Unknown => {
                if run.known.is_none() {
                    self.stop_run(now, &call.worker, &call.task, actions);
                }
            }
            Answer::Old | Answer::Late | Answer::Stranger => {
                self.release(&call.worker, &call.task, "start refused", actions);
            }
            Answer::Full | Answer::Refused => {
                worker.suspended = Some(now + REFUSAL);
                self.release(&call.worker, &call.task, "start refused", actions);
            }
            Answer::Ticket => {
                self.release(&call.worker, &call.task, "ticket refused", actions);
                self.forget_ticket(call);
            }
            Answer::Fenced => {}
        }
    }

    fn forget_ticket(&mut self, call: &Call) {
        if let Some(work) = self.works.get_mut(&call.task.job)
            && let Some((stage, _)) = work.find(&call.task)
        {
            work.stages[stage].advised = Advised::None;
        }
    }

    fn note_stopped(&mut self, now: Instant, call: &Call, answer: Answer) {
        let worker = self.workers.get_mut(&call.worker);
        let Some(run) = worker.and_then(|worker| worker.runs.get_mut(&call.task)) else {
            return;
        };
        if run.number != call.run {
            return;
        }
        run.stop_pending = false;
        match answer {
            // From now on the worker's list says whether the run is there.
            Answer::Done | Answer::Old | Answer::Late => {
                run.known.get_or_insert(now);
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
        run.stage = Stage::Stopping;
        if run.stop_pending {
            return;
        }
        run.stop_sent = Some(now);
        run.stop_pending = true;
        let number = run.number;
        actions.push(Action::Call(Call {
            worker: id.clone(),
            address,
            token,
            task: task.clone(),
            run: number,
            command: Command::Stop,
        }));
        actions.push(note("stop", task, number, id));
        self.look(now, id, actions);
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
    pub(super) fn repeat_stops(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.may_act(now) {
            return;
        }
        let mut again = Vec::new();
        for (id, worker) in &self.workers {
            for (task, run) in &worker.runs {
                // A stop that was answered takes its time; one that was not is repeated at once.
                let wait = if run.known.is_some() {
                    self.options.stop_timeout * 2
                } else {
                    Duration::ZERO
                };
                let waited = |sent| now.saturating_duration_since(sent) >= wait;
                if run.stage == Stage::Stopping
                    && !run.stop_pending
                    && run.stop_sent.is_none_or(waited)
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
    pub(super) fn find_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut stalled: Set<(ids::Worker, Task)> = Set::default();
        for (id, worker) in self.workers.iter().filter(|(_, w)| w.misses == 0) {
            for (task, run) in &worker.runs {
                let age = now.saturating_duration_since(run.since);
                let still = now.saturating_duration_since(run.moved);
                if run.stage == Stage::Running
                    && run.wanted
                    && !run.lasting
                    && age > run.estimate * STALL_PERCENT / 100
                    && still > STALL.max(run.estimate / 4)
                {
                    stalled.insert((id.clone(), task.clone()));
                }
            }
        }
        for (id, task) in stalled {
            if let Some(work) = self.works.get_mut(&task.job)
                && let Some((stage, index)) = work.find(&task)
            {
                work.stages[stage].items[index].avoid.push(id.clone());
            }
            actions.push(note("stands still", &task, 0, &id));
            self.stop_run(now, &id, &task, actions);
        }
    }
}
