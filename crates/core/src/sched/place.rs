use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::ends::index_of;
use super::event::{Action, Call, Command};
use super::machine::Scheduler;
use super::rank::Rank;
use super::run::Run;
use super::work::{Advised, Place};
use super::worker::Resources;
use crate::ids;
use crate::job::Step;
use crate::map::Map;

/// `Seat` is a worker that may take tasks, with the room that is free on it.
#[derive(Clone, Debug)]
struct Seat {
    worker: ids::Worker,
    free: Resources,
    failures: u32,
    fills: usize,
}

/// `Seats` is the workers of a service that may take tasks.
#[derive(Debug, Default)]
struct Seats {
    list: Vec<Seat>,
    /// Jobs in a row that found no room.
    passed: usize,
}

/// Jobs in a row that find no room after which the later ones of their service are not looked at.
const BACKFILL: usize = 24;
/// Time for which an order of jobs stays, for each job in it, so that orders are made seldom when many
/// jobs wait.
const ORDER_EACH: Duration = Duration::from_micros(100);

/// `Fit` is how well a worker suits a task; the least is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Fit {
    /// The task failed or stood still there.
    avoided: bool,
    /// The latest runs there failed.
    failing: bool,
    /// The task's data is elsewhere.
    far: bool,
    /// Processor time left, so that whole hosts come free.
    left: u64,
    /// Tasks that fill there already.
    crowd: usize,
}

/// `Pick` is a task with the worker chosen for it.
struct Pick {
    index: usize,
    worker: ids::Worker,
    ticket: Option<ByteString>,
}

impl Scheduler {
    /// Starts what has room, in the order of rank.
    pub(super) fn place(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut queue = self.queue(now);
        let mut seats: Map<ids::Service, Seats> = Map::default();
        for worker in self.workers.values().filter(|w| w.is_usable(now)) {
            let seat = Seat {
                worker: worker.report.worker.clone(),
                free: worker.free(),
                failures: worker.failures,
                fills: worker.runs.values().filter(|run| run.fills).count(),
            };
            let seats = seats.entry(worker.report.service.clone()).or_default();
            seats.list.push(seat);
        }
        queue.retain(|(_, job)| self.place_job(now, job, &mut seats, actions));
        self.order = queue;
    }

    /// Gets the jobs that wait, in the order of rank.
    ///
    /// The order is made anew at intervals that grow with its length, as it changes little meanwhile.
    fn queue(&mut self, now: Instant) -> Vec<(Rank, ids::Job)> {
        let order = std::mem::take(&mut self.order);
        let interval = ORDER_EACH * index_of(order.len());
        if now.saturating_duration_since(self.ordered) < interval {
            return order;
        }
        self.ordered = now;
        let settled = self.is_settled(now);
        let mut queue: Vec<(Rank, ids::Job)> = Vec::with_capacity(order.len());
        for work in self.works.values() {
            let waits = work.stages.iter().any(|stage| stage.idle > 0);
            if waits && !work.is_over() && (settled || !work.old) {
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
        seats: &mut Map<ids::Service, Seats>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(work) = self.works.get(job).filter(|work| !work.is_over()) else {
            return false;
        };
        let Some(seats) = seats.get_mut(&self.service_of(work)) else {
            return true;
        };
        if seats.passed >= BACKFILL {
            return true;
        }
        let declared = work.job.clone();
        let stages = work.stages.len();
        let mut started = false;
        for stage in 0..stages {
            let Some(work) = self.works.get(job) else {
                return false;
            };
            if work.stages[stage].idle == 0 || !work.is_ready(stage) {
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
                self.pick_gang(job, stage, step, &mut seats.list)
            } else {
                self.pick_each(job, stage, step, &mut seats.list)
            };
            started |= !picks.is_empty();
            self.start(now, job, stage, step, picks, actions);
        }
        seats.passed = if started { 0 } else { seats.passed + 1 };
        let work = self.works.get(job);
        work.is_some_and(|work| work.stages.iter().any(|stage| stage.idle > 0))
    }

    /// Chooses workers for as many idle tasks as have room.
    fn pick_each(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        seats: &mut [Seat],
    ) -> Vec<Pick> {
        let Some(work) = self.works.get(job) else {
            return Vec::new();
        };
        let mut counts = self.counts_of(job, stage, step);
        let mut picks = Vec::new();
        for (index, item) in work.stages[stage].items.iter().enumerate() {
            if item.place != Place::Idle {
                continue;
            }
            let Some(pick) = self.pick(job, stage, index, step, seats, &mut counts, None) else {
                // The other tasks are alike but for the workers to avoid.
                if item.avoid.is_empty() {
                    break;
                }
                continue;
            };
            picks.push(pick);
        }
        picks
    }

    /// Chooses workers for all tasks of a gang, on one rack if that helps it, or for none.
    fn pick_gang(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        seats: &mut [Seat],
    ) -> Vec<Pick> {
        let Some(work) = self.works.get(job) else {
            return Vec::new();
        };
        let whole = work.stages[stage].items.len();
        if work.stages[stage].idle as usize != whole {
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
            let mut counts = self.counts_of(job, stage, step);
            let mut picks = Vec::with_capacity(whole);
            for index in 0..whole {
                let rack = rack.as_ref();
                match self.pick(job, stage, index, step, &mut trial, &mut counts, rack) {
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
    fn counts_of(&self, job: &ids::Job, stage: usize, step: &Step) -> Map<ids::Worker, u32> {
        let mut counts = Map::default();
        if step.max_per_worker.is_none() {
            return counts;
        }
        if let Some(work) = self.works.get(job) {
            let own = &work.stages[stage];
            for (id, worker) in &self.workers {
                let same = worker.runs.keys().filter(|task| {
                    task.job == *job && task.occurrence == own.occurrence && task.step == own.step
                });
                let same = index_of(same.count());
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
    fn pick(
        &self,
        job: &ids::Job,
        stage: usize,
        index: usize,
        step: &Step,
        seats: &mut [Seat],
        counts: &mut Map<ids::Worker, u32>,
        rack: Option<&ids::Label>,
    ) -> Option<Pick> {
        let work = self.works.get(job)?;
        let item = &work.stages[stage].items[index];
        let task = work.task(
            work.stages[stage].occurrence,
            work.stages[stage].step,
            index_of(index),
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
            let advised = match &work.stages[stage].advised {
                Advised::Good(tickets, _) => tickets.iter().any(|t| t.worker == seat.worker),
                Advised::Asked | Advised::None => true,
            };
            if !(label && within && spread && new && advised && seat.free.covers(room)) {
                continue;
            }
            let far = step
                .data_rack
                .as_ref()
                .is_some_and(|rack| !worker.has_label(rack));
            let avoided = item.avoid.contains(&seat.worker);
            let crowd = if step.is_best_effort { seat.fills } else { 0 };
            let left = seat.free.cpu_millicores - room.cpu_millicores;
            // Tasks that fill go where most is left.
            let left = if step.is_best_effort {
                u64::MAX - left
            } else {
                left
            };
            let fit = Fit {
                avoided,
                failing: seat.failures > 0,
                far,
                left,
                crowd,
            };
            if best.is_none_or(|(known, _)| fit < known) {
                best = Some((fit, at));
            }
        }
        let (_, at) = best?;
        let seat = &mut seats[at];
        seat.free = seat.free.minus(room);
        seat.fills += usize::from(step.is_best_effort);
        *counts.entry(seat.worker.clone()).or_default() += 1;
        let ticket = match &work.stages[stage].advised {
            Advised::Good(tickets, _) => tickets
                .iter()
                .find(|ticket| ticket.worker == seat.worker)
                .map(|ticket| ticket.ticket.clone()),
            Advised::Asked | Advised::None => None,
        };
        Some(Pick {
            index,
            worker: seat.worker.clone(),
            ticket,
        })
    }

    fn start(
        &mut self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        picks: Vec<Pick>,
        actions: &mut Vec<Action>,
    ) {
        let term = self.term;
        let Some(work) = self.works.get_mut(job) else {
            return;
        };
        // The members of a gang share the number of their run and what was saved.
        let numbers = picks
            .iter()
            .map(|pick| work.next_run(term, stage, pick.index));
        let shared = numbers.max().filter(|_| step.is_gang);
        let saved = work.stages[stage].items.iter().map(|item| &item.saved);
        let saved = saved.max().filter(|_| step.is_gang).cloned();
        let (occurrence, number) = (work.stages[stage].occurrence, work.stages[stage].step);
        let mut started = Vec::with_capacity(picks.len());
        for pick in picks {
            let Some(worker) = self.workers.get_mut(&pick.worker) else {
                continue;
            };
            let Some(until) = worker.grant(now) else {
                continue;
            };
            let task = work.task(occurrence, number, index_of(pick.index));
            let run = shared.unwrap_or_else(|| work.next_run(term, stage, pick.index));
            let item = &mut work.stages[stage].items[pick.index];
            item.run = run;
            let saved = saved.clone().unwrap_or_else(|| item.saved.clone());
            work.put(stage, pick.index, Place::On(pick.worker.clone()));
            let mut known = Run::new(run, Resources::reserved_by(step), now);
            known.describe(step);
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
