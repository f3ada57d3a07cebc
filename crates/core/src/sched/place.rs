use std::time::{Duration, Instant};

use bytestring::ByteString;

use super::event::{Action, Call, Command};
use super::exit::to_u32;
use super::graph::{Advice, Placement};
use super::rank::Rank;
use super::run::Run;
use super::scheduler::Scheduler;
use super::worker::Resources;
use crate::ids;
use crate::job::Step;
use crate::map::Map;

/// `Candidate` is a worker that may get tasks, with its free resources.
#[derive(Clone, Debug)]
struct Candidate {
    worker: ids::Worker,
    free: Resources,
    consecutive_failures: u32,
    peers: usize,
}

/// `Pool` is the workers of a service that may get tasks.
#[derive(Debug, Default)]
struct Pool {
    members: Vec<Candidate>,
    /// Consecutive jobs of which no task could be placed.
    unplaced: usize,
}

/// Consecutive jobs without a placed task after which the later jobs of their service are skipped.
const MAX_UNPLACED_JOBS: usize = 24;
/// Time per ranked job for which a ranking is reused, so that long rankings are rebuilt less often.
const RANKING_INTERVAL_PER_JOB: Duration = Duration::from_micros(100);

/// `Fit` is how well a worker suits a task; the smallest value is the best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Fit {
    /// The task failed or stalled on the worker.
    is_avoided: bool,
    /// The latest run on the worker failed.
    is_failing: bool,
    /// The worker is not in the rack of the task's data.
    is_remote: bool,
    /// Processor time left, so that whole hosts stay free; inverted for best-effort tasks.
    cpu_left: u64,
    /// Other best-effort tasks on the worker, if the task is one.
    peers: usize,
}

/// `Pick` is a task with the worker chosen for it.
struct Pick {
    index: usize,
    worker: ids::Worker,
    ticket: Option<ByteString>,
}

impl Scheduler {
    /// Starts as many tasks as the free resources allow, in the order of rank.
    pub(super) fn place_tasks(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.placement_passes += 1;
        let mut ranked_jobs = self.take_ranked_jobs(now);
        let mut pools: Map<ids::Service, Pool> = Map::default();
        for worker in self.workers.values().filter(|w| w.accepts_tasks(now)) {
            let entry = Candidate {
                worker: worker.report.worker.clone(),
                free: worker.free_resources(),
                consecutive_failures: worker.consecutive_failures,
                peers: worker.runs.values().filter(|r| r.is_best_effort).count(),
            };
            let pool = pools.entry(worker.report.service.clone()).or_default();
            pool.members.push(entry);
        }
        ranked_jobs.retain(|(_, job)| self.place_job(now, job, &mut pools, actions));
        self.ranked_jobs = ranked_jobs;
    }

    /// Takes the jobs with idle tasks, in the order of rank. The ranking is rebuilt at intervals that
    /// grow with its length, as it changes little.
    fn take_ranked_jobs(&mut self, now: Instant) -> Vec<(Rank, ids::Job)> {
        let previous = std::mem::take(&mut self.ranked_jobs);
        let interval = RANKING_INTERVAL_PER_JOB * to_u32(previous.len());
        if now.saturating_duration_since(self.ranked_at) < interval {
            return previous;
        }
        self.ranked_at = now;
        let has_recovered = self.has_recovered();
        let mut ranked_jobs: Vec<(Rank, ids::Job)> = Vec::with_capacity(previous.len());
        for graph in self.jobs.values() {
            let has_idle_tasks = graph.stages.iter().any(|stage| stage.idle_count > 0);
            if has_idle_tasks && !graph.is_over() && (has_recovered || !graph.predates_term) {
                let priority = self.config.queue(&graph.job.queue);
                let priority = priority.map_or(0, |queue| queue.priority);
                ranked_jobs.push((graph.rank(now, priority), graph.job.id.clone()));
            }
        }
        ranked_jobs.sort();
        ranked_jobs
    }

    /// Starts the tasks of a job that can be placed, and returns whether idle tasks remain.
    fn place_job(
        &mut self,
        now: Instant,
        job: &ids::Job,
        pools: &mut Map<ids::Service, Pool>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(graph) = self.jobs.get(job).filter(|graph| !graph.is_over()) else {
            return false;
        };
        let Some(pool) = pools.get_mut(&self.service_of(graph)) else {
            return true;
        };
        if pool.unplaced >= MAX_UNPLACED_JOBS {
            return true;
        }
        let job_spec = graph.job.clone();
        let stage_count = graph.stages.len();
        let mut has_started = false;
        for stage in 0..stage_count {
            let Some(graph) = self.jobs.get(job) else {
                return false;
            };
            if graph.stages[stage].idle_count == 0 || !graph.is_ready(stage) {
                continue;
            }
            let step = &job_spec.steps[graph.stages[stage].step as usize];
            let need = Resources::reserved_by(step);
            if !pool.members.iter().any(|c| c.free.covers(need)) {
                continue;
            }
            if !self.ensure_advice(now, job, stage, actions) {
                continue;
            }
            let picks = if step.is_gang {
                self.pick_gang(job, stage, step, &mut pool.members)
            } else {
                self.pick_each(job, stage, step, &mut pool.members)
            };
            has_started |= !picks.is_empty();
            self.start_tasks(now, job, stage, step, picks, actions);
        }
        pool.unplaced = if has_started { 0 } else { pool.unplaced + 1 };
        let graph = self.jobs.get(job);
        graph.is_some_and(|graph| graph.stages.iter().any(|stage| stage.idle_count > 0))
    }

    /// Chooses workers for as many idle tasks as can be placed.
    fn pick_each(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        pool: &mut [Candidate],
    ) -> Vec<Pick> {
        let Some(graph) = self.jobs.get(job) else {
            return Vec::new();
        };
        let mut counts = self.count_tasks(job, stage, step);
        let mut picks = Vec::new();
        for (index, task_state) in graph.stages[stage].tasks.iter().enumerate() {
            if task_state.placement != Placement::Idle {
                continue;
            }
            let Some(pick) = self.pick(job, stage, index, step, pool, &mut counts, None) else {
                // The remaining tasks of the stage differ only in the workers that they avoid.
                if task_state.avoided_workers.is_empty() {
                    break;
                }
                continue;
            };
            picks.push(pick);
        }
        picks
    }

    /// Chooses workers for all tasks of a gang, within one rack if it prefers that, or for none.
    fn pick_gang(
        &self,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        pool: &mut [Candidate],
    ) -> Vec<Pick> {
        let Some(graph) = self.jobs.get(job) else {
            return Vec::new();
        };
        let size = graph.stages[stage].tasks.len();
        if graph.stages[stage].idle_count as usize != size {
            return Vec::new();
        }
        let mut racks: Vec<Option<ids::Label>> = Vec::new();
        if step.prefers_same_rack {
            for entry in pool.iter() {
                let labels = self
                    .workers
                    .get(&entry.worker)
                    .map(|worker| worker.report.labels.clone());
                let labels = labels.unwrap_or_default();
                let new_labels = labels
                    .into_iter()
                    .map(Some)
                    .filter(|label| !racks.contains(label));
                racks.extend(new_labels.collect::<Vec<_>>());
            }
        }
        racks.push(None);
        for rack in racks {
            let mut trial = pool.to_vec();
            let mut counts = self.count_tasks(job, stage, step);
            let mut picks = Vec::with_capacity(size);
            for index in 0..size {
                let rack = rack.as_ref();
                match self.pick(job, stage, index, step, &mut trial, &mut counts, rack) {
                    Some(pick) => picks.push(pick),
                    None => break,
                }
            }
            if picks.len() == size {
                pool.clone_from_slice(&trial);
                return picks;
            }
        }
        Vec::new()
    }

    /// Counts the tasks of a stage on each worker, if the step limits that number.
    fn count_tasks(&self, job: &ids::Job, stage: usize, step: &Step) -> Map<ids::Worker, u32> {
        let mut counts = Map::default();
        if step.max_per_worker.is_none() {
            return counts;
        }
        if let Some(graph) = self.jobs.get(job) {
            let own = &graph.stages[stage];
            for (id, worker) in &self.workers {
                let tasks = worker.runs.keys().filter(|task| {
                    task.job == *job && task.occurrence == own.occurrence && task.step == own.step
                });
                let count = to_u32(tasks.count());
                if count > 0 {
                    counts.insert(id.clone(), count);
                }
            }
        }
        counts
    }

    /// Chooses the worker for a task: one without failures, near its data, the fullest that fits it.
    #[expect(clippy::too_many_arguments, reason = "pool and counts change per pick")]
    fn pick(
        &self,
        job: &ids::Job,
        stage: usize,
        index: usize,
        step: &Step,
        pool: &mut [Candidate],
        counts: &mut Map<ids::Worker, u32>,
        rack: Option<&ids::Label>,
    ) -> Option<Pick> {
        let graph = self.jobs.get(job)?;
        let task_state = &graph.stages[stage].tasks[index];
        let task = graph.task(
            graph.stages[stage].occurrence,
            graph.stages[stage].step,
            to_u32(index),
        );
        let need = Resources::reserved_by(step);
        let mut best: Option<(Fit, usize)> = None;
        for (position, entry) in pool.iter().enumerate() {
            let Some(worker) = self.workers.get(&entry.worker) else {
                continue;
            };
            let has_label = step
                .required_label
                .as_ref()
                .is_none_or(|label| worker.has_label(label));
            let in_rack = rack.is_none_or(|rack| worker.has_label(rack));
            let count = counts.get(&entry.worker).copied().unwrap_or(0);
            let is_below_limit = step.max_per_worker.is_none_or(|max| count < max);
            // A worker has at most one run of a task at a time.
            let has_no_run = !worker.runs.contains_key(&task);
            let is_permitted = match &graph.stages[stage].advice {
                Advice::Granted(tickets, _) => tickets.iter().any(|t| t.worker == entry.worker),
                Advice::Requested | Advice::NotRequested => true,
            };
            if !(has_label
                && in_rack
                && is_below_limit
                && has_no_run
                && is_permitted
                && entry.free.covers(need))
            {
                continue;
            }
            let is_remote = step
                .data_rack
                .as_ref()
                .is_some_and(|rack| !worker.has_label(rack));
            let is_avoided = task_state.avoided_workers.contains(&entry.worker);
            let peers = if step.is_best_effort { entry.peers } else { 0 };
            let cpu_left = entry.free.cpu_millicores - need.cpu_millicores;
            // Best-effort tasks are placed on the worker with the most free processor time.
            let cpu_left = if step.is_best_effort {
                u64::MAX - cpu_left
            } else {
                cpu_left
            };
            let fit = Fit {
                is_avoided,
                is_failing: entry.consecutive_failures > 0,
                is_remote,
                cpu_left,
                peers,
            };
            if best.is_none_or(|(best_fit, _)| fit < best_fit) {
                best = Some((fit, position));
            }
        }
        let (_, position) = best?;
        let entry = &mut pool[position];
        entry.free = entry.free.minus(need);
        entry.peers += usize::from(step.is_best_effort);
        *counts.entry(entry.worker.clone()).or_default() += 1;
        let ticket = match &graph.stages[stage].advice {
            Advice::Granted(tickets, _) => tickets
                .iter()
                .find(|ticket| ticket.worker == entry.worker)
                .map(|ticket| ticket.ticket.clone()),
            Advice::Requested | Advice::NotRequested => None,
        };
        Some(Pick {
            index,
            worker: entry.worker.clone(),
            ticket,
        })
    }

    fn start_tasks(
        &mut self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        step: &Step,
        picks: Vec<Pick>,
        actions: &mut Vec<Action>,
    ) {
        let term = self.term;
        let Some(graph) = self.jobs.get_mut(job) else {
            return;
        };
        // The members of a gang share a run number and a checkpoint.
        let run_numbers = picks.iter().map(|p| graph.next_run(term, stage, p.index));
        let shared_run = run_numbers.max().filter(|_| step.is_gang);
        let checkpoints = graph.stages[stage].tasks.iter().map(|t| &t.checkpoint);
        let shared = checkpoints.max().filter(|_| step.is_gang).cloned();
        let (occurrence, step_index) = (graph.stages[stage].occurrence, graph.stages[stage].step);
        let mut started = Vec::with_capacity(picks.len());
        for pick in picks {
            let Some(worker) = self.workers.get_mut(&pick.worker) else {
                continue;
            };
            let Some(lease_expiry_ms) = worker.extend_lease(now) else {
                continue;
            };
            let task = graph.task(occurrence, step_index, to_u32(pick.index));
            let run = shared_run.unwrap_or_else(|| graph.next_run(term, stage, pick.index));
            let current = &mut graph.stages[stage].tasks[pick.index];
            current.run = run;
            let checkpoint = shared.clone().unwrap_or_else(|| current.checkpoint.clone());
            graph.set_placement(stage, pick.index, Placement::On(pick.worker.clone()));
            let mut new_run = Run::new(run, Resources::reserved_by(step), now);
            new_run.apply_step(step);
            let start = Command::Start {
                payload: graph.job.payload.clone(),
                lease_expiry_ms,
                checkpoint,
                ticket: pick.ticket,
            };
            new_run.is_start_in_flight = true;
            new_run.start = step.is_long_running.then(|| start.clone());
            worker.runs.insert(task.clone(), new_run);
            started.push((task.index, run, pick.worker.clone()));
            actions.push(Action::Call(Call {
                worker: pick.worker,
                address: worker.report.address,
                token: term,
                task,
                run,
                command: start,
            }));
        }
        if !started.is_empty() {
            actions.push(Action::LogStarts {
                job: job.clone(),
                occurrence,
                step: step_index,
                tasks: started,
            });
        }
    }
}
