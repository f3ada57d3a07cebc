use std::time::{Duration, Instant};

use super::event::{Action, Answer, Inventory, Poll};
use super::machine::Scheduler;
use super::run::{Run, Stage};
use super::work::Place;
use super::worker::{LEASE_MS, Look, Resources};
use crate::ids;
use crate::job::Task;

/// Time that a worker may wait for an end before it answers: a third of the lease.
const WAIT: Duration = Duration::from_millis(800);
/// Time between an answer and the next question, in which further ends gather.
const PAUSE: Duration = Duration::from_millis(40);
/// Time before a worker that did not answer is asked again.
const RETRY: Duration = Duration::from_millis(250);
/// Time beyond the end of its lease for which the tasks of a listed worker wait for its answer, as they
/// may be done: the list drops a silent worker after three heartbeats of 1.5 s.
const UNHEARD: Duration = Duration::from_secs(5);
/// Longest time before a worker that does not answer is asked again.
const RETRY_MAX: Duration = Duration::from_secs(2);

impl Scheduler {
    pub(super) fn look_at_all(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ids: Vec<ids::Worker> = self.workers.keys().cloned().collect();
        for id in ids {
            self.look(now, &id, actions);
        }
    }

    /// Asks a worker about its runs, unless it was asked already or has nothing to tell.
    pub(super) fn look(&mut self, now: Instant, id: &ids::Worker, actions: &mut Vec<Action>) {
        let may_act = self.may_act(now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !may_act || worker.look != Look::None || !worker.wants_look() {
            return;
        }
        worker.look = Look::Sent;
        // A worker that does not answer gets no longer lease, or its tasks could never go elsewhere.
        let until = if worker.runs.is_empty() || worker.misses > 0 {
            None
        } else {
            worker.grant(now)
        };
        let waits = worker.settled && until.is_some();
        actions.push(Action::Poll(Poll {
            worker: id.clone(),
            address: worker.report.address,
            token: self.term,
            acknowledged_through: worker.acknowledgement(now),
            lease_expiry_ms: until,
            max_wait: if waits { WAIT } else { Duration::ZERO },
        }));
    }

    pub(super) fn plan_done(&mut self, id: &ids::Worker) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.look == Look::Planned
        {
            worker.look = Look::None;
        }
    }

    pub(super) fn note_held(
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
        worker.look = Look::Planned;
        let wait = match answer {
            Ok(listing) => {
                worker.misses = 0;
                worker.lapsed = None;
                if listing.started_at_ms < worker.report.started_at_ms {
                    RETRY
                } else {
                    self.note_listing(now, id, sent, &listing, actions);
                    PAUSE
                }
            }
            Err(Answer::Fenced) => {
                self.fenced = true;
                actions.push(Action::Fenced);
                return;
            }
            Err(_) => {
                worker.misses += 1;
                (RETRY * worker.misses).min(RETRY_MAX)
            }
        };
        actions.push(Action::SchedulePoll(id.clone(), wait));
    }

    fn note_listing(
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
            self.lose_life(now, id, listing.started_at_ms, actions);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.note_clock(listing.clock_ms, now);
        if worker.unclocked.take().is_some() {
            let longest = millis(self.options.max_lease);
            worker.until = worker.until.max(listing.clock_ms + longest);
        }
        worker.acked = worker.acked.max(worker.told);
        worker.heard = Some(now);
        if !worker.settled {
            worker.settled = true;
            self.stirred = true;
        }
        for ending in &listing.exits {
            self.note_end(now, id, ending, actions);
        }
        for row in &listing.running {
            let known = self
                .workers
                .get_mut(id)
                .and_then(|w| w.runs.get_mut(&row.task));
            match known {
                Some(run) if run.number == row.run => {
                    run.observe(row, now);
                    if run.stage == Stage::Starting {
                        run.stage = Stage::Running;
                    }
                    run.known.get_or_insert(now);
                    if let Some(work) = self.works.get_mut(&row.task.job) {
                        work.note_begun();
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
        run.stage = Stage::Running;
        run.known = Some(now);
        run.listed = true;
        run.wanted = false;
        if let Some(work) = self.works.get_mut(&task.job)
            && let Some((stage, index)) = work.find(task)
        {
            let step = work.step_of(stage).clone();
            run.room = Resources::reserved_by(&step);
            run.describe(&step);
            let item = &mut work.stages[stage].items[index];
            item.run = item.run.max(number);
            if !work.is_over() && work.stages[stage].items[index].place == Place::Idle {
                work.put(stage, index, Place::On(id.clone()));
                run.wanted = true;
                work.note_begun();
            }
        }
        let wanted = run.wanted;
        if let Some(worker) = self.workers.get_mut(id) {
            // An older leader gave its last lease before the worker saw this token.
            let clock = worker.clock.map_or(0, |(clock, _)| clock);
            worker.until = worker.until.max(clock + LEASE_MS);
            worker.runs.insert(task.clone(), run);
        }
        let what = if wanted { "adopted" } else { "unwanted" };
        actions.push(note(what, task, number, id));
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
            .filter(|(task, run)| run.known.is_some_and(|at| at <= sent) && !listed(task))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            self.release(id, &task, "missing", actions);
        }
    }

    /// Drops what an earlier life of a worker ran.
    ///
    /// The new life may have carried out starts that no list of the earlier one had: they stay until a
    /// list of the new life tells.
    pub(super) fn lose_life(
        &mut self,
        now: Instant,
        id: &ids::Worker,
        born: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.renew(born);
        let lost: Vec<Task> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.listed)
            .map(|(task, _)| task.clone())
            .collect();
        if lost.len() < worker.runs.len() {
            // Their leases ended on the clock of the earlier life.
            worker.unclocked = Some(now);
        }
        for run in worker.runs.values_mut().filter(|run| !run.listed) {
            run.known = run.known.map(|_| now);
        }
        for task in lost {
            self.release(id, &task, "worker started again", actions);
        }
    }

    /// Drops the runs of workers whose lease has ended for sure.
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let longest = self.options.max_lease;
        let mut lost = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.misses == 0 || !worker.has_lapsed(now, longest) {
                continue;
            }
            let since = *worker.lapsed.get_or_insert(now);
            let alive = worker.listed && !worker.ended;
            let waits = alive && now.saturating_duration_since(since) < UNHEARD;
            let runs = worker.runs.iter().filter(|(_, run)| run.lasting || !waits);
            lost.extend(runs.map(|(task, _)| (id.clone(), task.clone())));
        }
        for (id, task) in lost {
            self.release(&id, &task, "lease ended", actions);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Makes the line about what became of a run.
pub(super) fn note(what: &'static str, task: &Task, run: ids::Run, worker: &ids::Worker) -> Action {
    Action::LogRun {
        message: what,
        task: task.clone(),
        run,
        worker: worker.clone(),
    }
}
