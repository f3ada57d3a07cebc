use std::time::{Duration, Instant};

use super::belief::Change;
use super::event::{Action, Answer, Inventory, Poll, Reason};
use super::graph::Placement;
use super::run::{Phase, Run};
use super::scheduler::Scheduler;
use super::worker::{LEASE_MS, Polling, Resources};
use crate::ids;
use crate::job::Task;

/// Longest time that a worker may delay its answer until a run exits: less than a third of the
/// lease.
const MAX_POLL_WAIT: Duration = Duration::from_millis(800);
/// Time between an answer and the next poll, so that exits are batched.
const POLL_PAUSE: Duration = Duration::from_millis(40);
/// Delay before the retry of a poll for each one in a row that was missed. The first unanswered one is repeated at once.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time after lease expiry for which the tasks of a listed worker are not restarted, as they may be
/// done: a silent worker is unlisted after three heartbeats of 1.5 s.
const EXPIRY_GRACE: Duration = Duration::from_secs(5);
/// The same while much of the listed workers is unreachable: the leader is cut off or overloaded rather than the
/// workers, which go on. A job that waits for a worker for longer is lost to its caller anyway.
const ISOLATED_EXPIRY_GRACE: Duration = Duration::from_secs(15);
/// Fewest unreachable workers, and their share of the listed ones as a divisor, from which on the leader counts as
/// isolated.
const MIN_ISOLATED_WORKERS: usize = 4;
const ISOLATED_DIVISOR: usize = 4;
/// Longest delay before the retry of an unanswered poll.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Polls every worker that needs it.
    pub(super) fn poll_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ids: Vec<ids::Worker> = self.workers.keys().cloned().collect();
        for id in ids {
            self.poll_worker(now, &id, actions);
        }
    }

    /// Polls a worker, unless a poll is scheduled, in flight or of no use.
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
        if !may_act || worker.poll_state != Polling::Idle || !worker.needs_poll() {
            return;
        }
        worker.poll_state = Polling::InFlight;
        // The lease of a worker that does not answer isn't renewed: its tasks could never be
        // restarted elsewhere.
        let lease_expiry_ms = if worker.runs.is_empty() || worker.missed_polls > 0 {
            None
        } else {
            worker.extend_lease(now)
        };
        let may_wait = worker.is_confirmed && lease_expiry_ms.is_some();
        actions.push(Action::Poll(Poll {
            worker: id.clone(),
            address: worker.report.address,
            token: self.term,
            acknowledged_through: worker.next_acknowledgement(now),
            lease_expiry_ms,
            max_wait: if may_wait {
                MAX_POLL_WAIT
            } else {
                Duration::ZERO
            },
        }));
    }

    /// Marks the scheduled poll of a worker as due.
    pub(super) fn clear_scheduled_poll(&mut self, id: &ids::Worker) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.poll_state == Polling::Scheduled
        {
            worker.poll_state = Polling::Idle;
        }
    }

    pub(super) fn handle_poll_answer(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        sent_at: Instant,
        answer: Result<Inventory, Answer>,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.poll_state = Polling::Scheduled;
        // An answer without usable times renews nothing, like none.
        let answer = answer.and_then(|inventory| {
            let is_valid = inventory.is_valid();
            is_valid.then_some(inventory).ok_or(Answer::Refused)
        });
        let delay = match answer {
            Ok(inventory) => {
                if worker.missed_polls > 0 {
                    actions.push(worker.log(now, Change::Reachable));
                }
                worker.missed_polls = 0;
                worker.expired_at = None;
                // Start times are read from clocks that may be set back, so an earlier one is of an earlier
                // incarnation only if the leader did not know the present one yet.
                if inventory.started_at_ms < worker.report.started_at_ms
                    && sent_at < worker.incarnation_known_at
                {
                    RETRY_DELAY
                } else {
                    self.apply_inventory(now, id, sent_at, &inventory, actions);
                    POLL_PAUSE
                }
            }
            Err(Answer::Fenced) => {
                self.is_fenced = true;
                actions.push(Action::Fenced);
                return;
            }
            Err(answer) => {
                worker.missed_polls += 1;
                if worker.missed_polls == 1 {
                    actions.push(worker.log(now, Change::Unreachable(answer)));
                }
                if answer == Answer::Unknown && worker.missed_polls == 1 {
                    // The connection may have been silent rather than the worker, and the lease goes on.
                    Duration::ZERO
                } else {
                    (RETRY_DELAY * worker.missed_polls).min(MAX_RETRY_DELAY)
                }
            }
        };
        actions.push(Action::SchedulePoll(id.clone(), delay));
    }

    fn apply_inventory(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        sent_at: Instant,
        inventory: &Inventory,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if inventory.started_at_ms != worker.report.started_at_ms {
            self.handle_restart(now, id, inventory.started_at_ms, actions);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.record_clock(inventory.clock_ms, now);
        if worker.clock_unknown_since.take().is_some() {
            let max_lease = as_millis(self.options.max_lease);
            worker.lease_expiry_ms = worker
                .lease_expiry_ms
                .max(inventory.clock_ms.saturating_add(max_lease));
        }
        worker.acknowledged_through = worker.acknowledged_through.max(worker.sent_acknowledgement);
        worker.answered_at = Some(now);
        if !worker.is_confirmed {
            worker.is_confirmed = true;
            actions.push(worker.log(now, Change::Confirmed));
            self.needs_placement = true;
        }
        for exit in &inventory.exits {
            if !exit.is_valid() {
                actions.push(log_run("odd exit skipped", &exit.task, exit.run, id));
                continue;
            }
            self.handle_exit(now, id, exit, actions);
        }
        for status in &inventory.running {
            if !status.is_valid() {
                actions.push(log_run("odd run skipped", &status.task, status.run, id));
                continue;
            }
            let known = self
                .workers
                .get_mut(id)
                .and_then(|worker| worker.runs.get_mut(&status.task));
            match known {
                Some(run) if run.number == status.run => {
                    run.apply_status(status, now);
                    if run.state == Phase::Starting {
                        run.state = Phase::Running;
                    }
                    run.confirmed_at.get_or_insert(now);
                    if let Some(graph) = self.jobs.get_mut(&status.task.job) {
                        graph.mark_started();
                    }
                }
                Some(run) if run.number > status.run => {}
                _ => self.adopt(now, id, &status.task, status.run, actions),
            }
        }
        self.drop_missing(id, sent_at, inventory, actions);
        self.adjust_pace(now, id, actions);
    }

    /// Adopts a run that an older leader started, or stops it if its task doesn't need it.
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
        // A run of unknown size reserves the whole worker until it has ended.
        let mut run = Run::new(number, worker.report.capacity, now);
        run.state = Phase::Running;
        run.confirmed_at = Some(now);
        run.has_been_in_inventory = true;
        // The worker refuses later commands of older leaders.
        run.may_stop_until = Some(now + self.options.stop_timeout * 2);
        run.is_assigned = false;
        if let Some(graph) = self.jobs.get(&task.job) {
            run.set_account(graph.job.account.as_ref());
        }
        if let Some(graph) = self.jobs.get_mut(&task.job)
            && let Some((stage, index)) = graph.find(task)
        {
            let step = graph.step_of(stage).clone();
            run.resources = Resources::reserved_by(&step);
            run.apply_step(&step);
            run.crashes = graph.progress.crash_count(&graph.counted(task));
            let task_state = &mut graph.stages[stage].tasks[index];
            task_state.run = task_state.run.max(number);
            if !graph.is_over() && graph.stages[stage].tasks[index].placement == Placement::Idle {
                graph.set_placement(stage, index, Placement::On(id.clone()));
                run.is_assigned = true;
                graph.mark_started();
            }
        }
        let is_assigned = run.is_assigned;
        if let Some(worker) = self.workers.get_mut(id) {
            // An older leader granted its last lease before the worker saw this term's token.
            let clock = worker.clock.map_or(0, |(clock, _)| clock);
            worker.lease_expiry_ms = worker.lease_expiry_ms.max(clock + LEASE_MS);
            worker.runs.insert(task.clone(), run);
        }
        let message = if is_assigned { "adopted" } else { "unwanted" };
        actions.push(log_run(message, task, number, id));
        if !is_assigned {
            self.stop_run(now, id, task, Reason::Redundant, actions);
        }
    }

    /// Releases confirmed runs that are missing from the worker's inventory.
    fn drop_missing(
        &mut self,
        id: &ids::Worker,
        sent_at: Instant,
        inventory: &Inventory,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let in_inventory =
            |task: &Task| inventory.running.iter().any(|status| status.task == *task);
        let missing: Vec<Task> = worker
            .runs
            .iter()
            .filter(|(task, run)| {
                run.confirmed_at.is_some_and(|at| at <= sent_at) && !in_inventory(task)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            self.release_run(id, &task, "missing", actions);
        }
    }

    /// Releases the runs of an earlier incarnation of a worker.
    ///
    /// Runs that no inventory of the earlier incarnation contained are kept until an inventory of
    /// the new one shows whether they exist: the new incarnation may have carried out their starts.
    pub(super) fn handle_restart(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        started_at_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.record_crashes(now, std::slice::from_ref(id), actions);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.reset(now, started_at_ms);
        actions.push(worker.log(now, Change::Restarted));
        let lost_tasks: Vec<Task> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.has_been_in_inventory)
            .map(|(task, _)| task.clone())
            .collect();
        if lost_tasks.len() < worker.runs.len() {
            // The lease expiry of the runs kept refers to the clock of the earlier incarnation.
            worker.clock_unknown_since = Some(now);
        }
        for run in worker
            .runs
            .values_mut()
            .filter(|run| !run.has_been_in_inventory)
        {
            run.confirmed_at = run.confirmed_at.map(|_| now);
        }
        for task in lost_tasks {
            self.release_run(id, &task, "worker restarted", actions);
        }
    }

    /// Checks if so many listed workers are unreachable that the cause is with this leader.
    fn is_isolated(&self) -> bool {
        let listed = self.workers.values();
        let listed = listed.filter(|worker| worker.is_listed && !worker.has_terminated);
        let (mut count, mut unreachable) = (0, 0);
        for worker in listed {
            count += 1;
            unreachable += usize::from(worker.missed_polls > 0);
        }
        unreachable >= MIN_ISOLATED_WORKERS && unreachable * ISOLATED_DIVISOR >= count
    }

    /// Releases the runs of unreachable workers whose lease has certainly expired.
    pub(super) fn release_expired(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let max_lease = self.options.max_lease;
        // A newer leader may have extended the leases since the term was last confirmed.
        let confirmed_at = self.term_confirmed_at;
        let grace = if self.is_isolated() {
            ISOLATED_EXPIRY_GRACE
        } else {
            EXPIRY_GRACE
        };
        let mut lost_runs = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.missed_polls == 0 || !worker.has_lease_expired(confirmed_at, max_lease) {
                continue;
            }
            let expired_at = *worker.expired_at.get_or_insert(now);
            let is_alive = worker.is_listed && !worker.has_terminated;
            let may_wait = is_alive && now.saturating_duration_since(expired_at) < grace;
            let runs = worker
                .runs
                .iter()
                .filter(|(_, run)| run.is_long_running || !may_wait);
            lost_runs.extend(runs.map(|(task, _)| (id.clone(), task.clone())));
        }
        for (id, task) in lost_runs {
            self.release_run(&id, &task, "lease expired", actions);
        }
    }
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Creates the action that writes a log line about a run.
pub(super) fn log_run(
    message: &'static str,
    task: &Task,
    run: ids::Run,
    worker: &ids::Worker,
) -> Action {
    Action::LogRun {
        message,
        task: task.clone(),
        run,
        worker: worker.clone(),
    }
}
