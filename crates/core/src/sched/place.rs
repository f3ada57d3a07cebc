use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::{Action, Call, Command};
use super::exit::to_u32;
use super::rank::Rank;
use super::run::Run;
use super::scheduler::Scheduler;
use super::state::{Advice, Placement};
use super::worker::Resources;
use crate::ids;
use crate::job::Step;
use crate::map::Map;

/// `Seat` is a worker that may take tasks, with the room that is free on it.
#[derive(Clone, Debug)]
struct Candidate {
    worker: ids::Worker,
    free: Resources,
    consecutive_failures: u32,
    best_effort_count: usize,
}

/// `Seats` is the workers of a service that may take tasks.
#[derive(Debug, Default)]
struct Candidates {
    list: Vec<Candidate>,
    /// Jobs in a row that found no room.
    consecutive_misfits: usize,
}

/// Jobs in a row that find no room after which the later ones of their service are not looked at.
const MAX_CONSECUTIVE_MISFITS: usize = 24;
/// Time for which an order of jobs stays, for each job in it, so that orders are made seldom when many
/// jobs wait.
const RANKING_INTERVAL_PER_JOB: Duration = Duration::from_micros(100);

/// `Fit` is how well a worker suits a task; the least is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Fit {
    /// The task failed or stood still there.
    is_avoided: bool,
    /// The latest runs there failed.
    is_failing: bool,
    /// The task's data is elsewhere.
    is_far_from_data: bool,
    /// Processor time left, so that whole hosts come free.
    cpu_left: u64,
    /// Tasks that fill there already.
    best_effort_count: usize,
}

/// `Pick` is a task with the worker chosen for it.
struct Assignment {
    index: usize,
    worker: ids::Worker,
    ticket: Option<ByteString>,
}

impl Scheduler {
    /// Starts what has room, in the order of rank.
    pub(super) fn place_tasks(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut queue = self.take_ranked_jobs(now);
        let mut seats: Map<ids::Service, Candidates> = Map::default();
        for worker in self.workers.values().filter(|w| w.accepts_tasks(now)) {
            let seat = Candidate {
                worker: worker.report.worker.clone(),
                free: worker.free_resources(),
                consecutive_failures: worker.consecutive_failures,
                best_effort_count: worker
                    .runs
                    .values()
                    .filter(|run| run.is_best_effort)
                    .count(),
            };
            let seats = seats.entry(worker.report.service.clone()).or_default();
            seats.list.push(seat);
        }
        queue.retain(|(_, job)| self.place_job(now, job, &mut seats, actions));
        self.ranked_jobs = queue;
    }

    /// Gets the jobs that wait, in the order of rank.
    ///
    /// The order is made anew at intervals that grow with its length, as it changes little meanwhile.
    fn take_ranked_jobs(&mut self, now: Instant) -> Vec<(Rank, ids::Job)> {
        let order = std::mem::take(&mut self.ranked_jobs);
        let interval = RANKING_INTERVAL_PER_JOB * to_u32(order.len());
        if now.saturating_duration_since(self.ranked_at) < interval {
            return order;
        }
        self.ranked_at = now;
        let settled = self.has_recovered(now);
        let mut queue: Vec<(Rank, ids::Job)> = Vec::with_capacity(order.len());
        for work in self.jobs.values() {
            let waits = work.stages.iter().any(|stage| stage.idle_count > 0);
            if waits && !work.is_over() && (settled || !work.predates_term) {
                let priority = self.config.queue(&work.job.queue);
                let priority = priority.map_or(0, |queue| queue.priority);
                queue.push((work.rank(now, priority), work.job.id.clone()));
            }
        }
        queue.sort();
        queue
    }

    /// Starts what has room of a job; gets whether the job still waits.
    fn place_job(
        &mut self,
        now: Instant,
        job: &ids::Job,
        seats: &mut Map<ids::Service, Candidates>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(work) = self.jobs.get(job).filter(|work| !work.is_over()) else {
            return false;
        };
        let Some(seats) = seats.get_mut(&self.service_of(work)) else {
            return true;
        };
        if seats.consecutive_misfits >= MAX_CONSECUTIVE_MISFITS {
            return true;
        }
        let declared = work.job.clone();
        let stages = work.stages.len();
        let mut started = false;
        for stage in 0..stages {
            let Some(work) = self.jobs.get(job) else {
                return false;
            };
            if work.stages[stage].idle_count == 0 || !work.is_ready(stage) {
                continue;
            }
            let step = &declared.steps[work.stages[stage].step as usize];
            let room = Resources::reserved_by(step);
            if !seats.list.iter().any(|seat| seat.free.covers(room)) {
                continue;
            }
            if !self.has_advice(now, job, stage, actions) {
                continue;
            }
            let picks = if step.is_gang {
                self.assign_gang(job, stage, step, &mut seats.list)
            } else {
                self.assign_each(job, stage, step, &mut seats.list)
            };
            started |= !picks.is_empty();
            self.start_tasks(now, job, stage, step, picks, actions);
        }
        seats.consecutive_misfits = if started {
            0
        } else {
            seats.consecutive_misfits + 1
        };
        let work = self.jobs.get(job);
        work.is_some_and(|work| work.stages.iter().any(|stage| stage.idle_count > 0))
    }

    /// Chooses workers for as many idle tasks as have room.
    fn assign_each(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        seats: &mut [Candidate],
    ) -> Vec<Assignment> {
        let Some(work) = self.jobs.get(job) else {
            return Vec::new();
        };
        let mut counts = self.count_tasks_by_worker(job, stage, step);
        let mut picks = Vec::new();
        for (index, item) in work.stages[stage].tasks.iter().enumerate() {
            if item.placement != Placement::Idle {
                continue;
            }
            let Some(pick) = self.assign(job, stage, index, step, seats, &mut counts, None) else {
                // The other tasks are alike but for the workers to avoid.
                if item.avoided_workers.is_empty() {
                    break;
                }
                continue;
            };
            picks.push(pick);
        }
        picks
    }

    /// Chooses workers for all tasks of a gang, on one rack if that helps it, or for none.
    fn assign_gang(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        seats: &mut [Candidate],
    ) -> Vec<Assignment> {
        let Some(work) = self.jobs.get(job) else {
            return Vec::new();
        };
        let whole = work.stages[stage].tasks.len();
        if work.stages[stage].idle_count as usize != whole {
            return Vec::new();
        }
        let mut racks: Vec<Option<ids::Label>> = Vec::new();
        if step.prefers_same_rack {
            for seat in seats.iter() {
                let labels = self
                    .workers
                    .get(&seat.worker)
                    .map(|w| w.report.labels.clone());
                let labels = labels.unwrap_or_default();
                let new = labels
                    .into_iter()
                    .map(Some)
                    .filter(|label| !racks.contains(label));
                racks.extend(new.collect::<Vec<_>>());
            }
        }
        racks.push(None);
        for rack in racks {
            let mut trial = seats.to_vec();
            let mut counts = self.count_tasks_by_worker(job, stage, step);
            let mut picks = Vec::with_capacity(whole);
            for index in 0..whole {
                let rack = rack.as_ref();
                match self.assign(job, stage, index, step, &mut trial, &mut counts, rack) {
                    Some(pick) => picks.push(pick),
                    None => break,
                }
            }
            if picks.len() == whole {
                seats.clone_from_slice(&trial);
                return picks;
            }
        }
        Vec::new()
    }

    /// Counts the tasks of a stage on each worker, if their number there is limited.
    fn count_tasks_by_worker(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
    ) -> Map<ids::Worker, u32> {
        let mut counts = Map::default();
        if step.max_per_worker.is_none() {
            return counts;
        }
        if let Some(work) = self.jobs.get(job) {
            let own = &work.stages[stage];
            for (id, worker) in &self.workers {
                let same = worker.runs.keys().filter(|task| {
                    task.job == *job && task.occurrence == own.occurrence && task.step == own.step
                });
                let same = to_u32(same.count());
                if same > 0 {
                    counts.insert(id.clone(), same);
                }
            }
        }
        counts
    }

    /// Chooses the worker for a task: near its data, proven, and the fullest that still has room, so
    /// that whole hosts come free.
    #[expect(
        clippy::too_many_arguments,
        reason = "the seats and counts change with each pick"
    )]
    fn assign(
        &self,
        job: &ids::Job,
        stage: usize,
        index: usize,
        step: &Step,
        seats: &mut [Candidate],
        counts: &mut Map<ids::Worker, u32>,
        rack: Option<&ids::Label>,
    ) -> Option<Assignment> {
        let work = self.jobs.get(job)?;
        let item = &work.stages[stage].tasks[index];
        let task = work.task(
            work.stages[stage].occurrence,
            work.stages[stage].step,
            to_u32(index),
        );
        let room = Resources::reserved_by(step);
        let mut best: Option<(Fit, usize)> = None;
        for (at, seat) in seats.iter().enumerate() {
            let Some(worker) = self.workers.get(&seat.worker) else {
                continue;
            };
            let label = step
                .required_label
                .as_ref()
                .is_none_or(|label| worker.has_label(label));
            let within = rack.is_none_or(|rack| worker.has_label(rack));
            let count = counts.get(&seat.worker).copied().unwrap_or(0);
            let spread = step.max_per_worker.is_none_or(|most| count < most);
            // A worker holds one run of a task at a time.
            let new = !worker.runs.contains_key(&task);
            let advised = match &work.stages[stage].advice {
                Advice::Granted(tickets, _) => tickets.iter().any(|t| t.worker == seat.worker),
                Advice::Requested | Advice::NotRequested => true,
            };
            if !(label && within && spread && new && advised && seat.free.covers(room)) {
                continue;
            }
            let far = step
                .data_rack
                .as_ref()
                .is_some_and(|rack| !worker.has_label(rack));
            let avoided = item.avoided_workers.contains(&seat.worker);
            let crowd = if step.is_best_effort {
                seat.best_effort_count
            } else {
                0
            };
            let left = seat.free.cpu_millicores - room.cpu_millicores;
            // Tasks that fill go where most is left.
            let left = if step.is_best_effort {
                u64::MAX - left
            } else {
                left
            };
            let fit = Fit {
                is_avoided: avoided,
                is_failing: seat.consecutive_failures > 0,
                is_far_from_data: far,
                cpu_left: left,
                best_effort_count: crowd,
            };
            if best.is_none_or(|(known, _)| fit < known) {
                best = Some((fit, at));
            }
        }
        let (_, at) = best?;
        let seat = &mut seats[at];
        seat.free = seat.free.minus(room);
        seat.best_effort_count += usize::from(step.is_best_effort);
        *counts.entry(seat.worker.clone()).or_default() += 1;
        let ticket = match &work.stages[stage].advice {
            Advice::Granted(tickets, _) => tickets
                .iter()
                .find(|ticket| ticket.worker == seat.worker)
                .map(|ticket| ticket.ticket.clone()),
            Advice::Requested | Advice::NotRequested => None,
        };
        Some(Assignment {
            index,
            worker: seat.worker.clone(),
            ticket,
        })
    }

    fn start_tasks(
        &mut self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        picks: Vec<Assignment>,
        actions: &mut Vec<Action>,
    ) {
        let term = self.term;
        let Some(work) = self.jobs.get_mut(job) else {
            return;
        };
        // The members of a gang share the number of their run and what was saved.
        let numbers = picks
            .iter()
            .map(|pick| work.next_run_number(term, stage, pick.index));
        let shared = numbers.max().filter(|_| step.is_gang);
        let saved = work.stages[stage].tasks.iter().map(|item| &item.checkpoint);
        let saved = saved.max().filter(|_| step.is_gang).cloned();
        let (occurrence, number) = (work.stages[stage].occurrence, work.stages[stage].step);
        let mut started = Vec::with_capacity(picks.len());
        for pick in picks {
            let Some(worker) = self.workers.get_mut(&pick.worker) else {
                continue;
            };
            let Some(until) = worker.extend_lease(now) else {
                continue;
            };
            let task = work.task(occurrence, number, to_u32(pick.index));
            let run = shared.unwrap_or_else(|| work.next_run_number(term, stage, pick.index));
            let item = &mut work.stages[stage].tasks[pick.index];
            item.run = run;
            let saved = saved.clone().unwrap_or_else(|| item.checkpoint.clone());
            work.set_placement(stage, pick.index, Placement::On(pick.worker.clone()));
            let mut known = Run::new(run, Resources::reserved_by(step), now);
            known.apply_step(step);
            worker.runs.insert(task.clone(), known);
            started.push((task.index, run, pick.worker.clone()));
            actions.push(Action::Call(Call {
                worker: pick.worker,
                address: worker.report.address,
                token: term,
                task,
                run,
                command: Command::Start {
                    payload: work.job.payload.clone(),
                    lease_expiry_ms: until,
                    checkpoint: saved,
                    ticket: pick.ticket,
                },
            }));
        }
        if !started.is_empty() {
            actions.push(Action::LogStarts {
                job: job.clone(),
                occurrence,
                step: number,
                tasks: started,
            });
        }
    }
}
