use std::time::{Duration, Instant};

use super::event::{Action, Call, Command};
use super::exit::to_u32;
use super::graph::{Graph, Placement};
use super::pick::{Candidate, Pick};
use super::pool::{Outcome, Pool, Position};
use super::run::{Run, charge};
use super::scheduler::Scheduler;
use super::worker::Resources;
use crate::ids;
use crate::job::Step;
use crate::limit::Budget;
use crate::map::Map;

/// Shortest time between two passes, per worker and job that a pass looks at: 20 ms for 300 workers and 100
/// jobs, which is short compared with the run time of a task. It bounds the share of the processor that
/// placement takes.
const PLACEMENT_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(50);
/// Time per ranked job for which a ranking is reused, so that long rankings are rebuilt less often.
const RANKING_INTERVAL_PER_JOB: Duration = Duration::from_micros(100);

impl Scheduler {
    /// Places tasks if the latest pass is long enough ago, or schedules the next pass.
    pub(super) fn place_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let entries = to_u32(self.workers.len() + self.ranked_jobs.len());
        let interval = PLACEMENT_INTERVAL_PER_ENTRY * entries;
        let due_at = self.placed_at.map(|placed_at| placed_at + interval);
        match due_at.filter(|due_at| *due_at > now) {
            Some(due_at) if !self.is_placement_scheduled => {
                self.is_placement_scheduled = true;
                actions.push(Action::SchedulePlacement(due_at - now));
            }
            Some(_) => {}
            None => {
                self.needs_placement = false;
                self.placed_at = Some(now);
                self.place_tasks(now, actions);
            }
        }
    }

    /// Starts as many tasks as the free resources allow, in the order of rank.
    fn place_tasks(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.placement_passes += 1;
        let mut ranked_jobs = self.take_ranked_jobs(now);
        let unstable = self.unstable_workers();
        self.reserve_workers(now, &unstable);
        let cursors = std::mem::take(&mut self.placement_cursors).into_iter();
        let mut pools: Map<ids::Service, Pool> = cursors
            .map(|(service, cursor)| (service, Pool::new(cursor)))
            .collect();
        for worker in self.workers.values().filter(|w| w.accepts_tasks(now)) {
            let reservation = self.reservations.get(&worker.report.worker);
            let entry = Candidate {
                worker: worker.report.worker.clone(),
                free: worker.free_resources(),
                consecutive_failures: worker.consecutive_failures,
                peers: worker.runs.values().filter(|r| r.is_best_effort).count(),
                has_suspect: worker.has_untried_suspect(),
                is_unstable: unstable.contains(&worker.report.worker),
                runs: worker.suspect_count(),
                is_isolated: worker.is_isolated(),
                reserved_for: reservation.map(|(task, _)| task.clone()),
                is_wanted: false,
            };
            let pool = pools.entry(worker.report.service.clone()).or_default();
            pool.add(entry);
        }
        self.open_places(now, &mut pools);
        let usage = (!self.borrower.is_idle()).then(|| self.usage());
        let budget = usage.as_ref().map(|usage| self.borrower.budget(now, usage));
        let mut budget = budget.unwrap_or_default();
        ranked_jobs
            .retain(|position| self.place_job(now, position, &mut pools, &mut budget, actions));
        self.ranked_jobs = ranked_jobs;
        if let Some(usage) = usage {
            self.borrower.review(now, &usage, &budget);
        }
        self.tallies.clear();
        for (service, mut pool) in pools {
            self.near.close(&service, &mut pool.places);
            let (cursor, tally) = pool.finish();
            if let Some(cursor) = cursor {
                self.placement_cursors.insert(service.clone(), cursor);
            }
            self.tallies.insert(service, tally);
        }
        self.end_place_waits(now, actions);
    }

    /// Takes the jobs with idle tasks, in the order of rank. The ranking is rebuilt at intervals that
    /// grow with its length, as it changes little.
    fn take_ranked_jobs(&mut self, now: Instant) -> Vec<Position> {
        let mut previous = std::mem::take(&mut self.ranked_jobs);
        let interval = RANKING_INTERVAL_PER_JOB * to_u32(previous.len());
        if now.saturating_duration_since(self.ranked_at) < interval {
            // What the accounts have changes with each pass.
            self.apply_shares(&mut previous);
            return previous;
        }
        self.ranked_at = now;
        let has_recovered = self.has_recovered();
        let mut ranked_jobs: Vec<Position> = Vec::with_capacity(previous.len());
        for graph in self.jobs.values() {
            let is_ready = graph.payload.is_some() && (has_recovered || !graph.predates_term);
            if graph.has_idle_tasks() && !graph.is_over() && is_ready {
                let priority = self.config.queue(&graph.job.queue);
                let priority = priority.map_or(0, |queue| queue.priority);
                ranked_jobs.push((graph.rank(now, priority), graph.job.id.clone()));
            }
        }
        ranked_jobs.sort();
        self.apply_shares(&mut ranked_jobs);
        ranked_jobs
    }

    /// Starts the tasks of a job that can be placed, and returns whether idle tasks remain.
    fn place_job(
        &mut self,
        now: Instant,
        position: &Position,
        pools: &mut Map<ids::Service, Pool>,
        budget: &mut Budget,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (_, job) = position;
        let Some(graph) = self.jobs.get(job).filter(|graph| !graph.is_over()) else {
            return false;
        };
        let service = self.service_of(graph);
        let pool = match pools.get_mut(service) {
            Some(pool) => pool,
            None => pools.entry(service.clone()).or_default(),
        };
        pool.tally.waiting += 1;
        let stage_count = graph.stages.len();
        let mut outcome = Outcome::NotReady;
        let mut first_stage = 0;
        while first_stage < stage_count && outcome != Outcome::Unplaced {
            outcome = outcome.max(self.prospect(now, graph, first_stage, service, pool, budget));
            first_stage += 1;
        }
        if outcome != Outcome::Unplaced {
            pool.record(outcome);
            return graph.has_idle_tasks();
        }
        // Suspects of a crash wait for particular workers, whether others have room or not.
        let has_suspects = graph.progress.has_crashes();
        if !has_suspects && !pool.may_look(position) {
            pool.skip(job);
            return true;
        }
        let (service, job_spec) = (service.clone(), graph.job.clone());
        let mut outcome = Outcome::NoRoom;
        for stage in first_stage - 1..stage_count {
            let Some(graph) = self.jobs.get(job) else {
                return false;
            };
            if self.prospect(now, graph, stage, &service, pool, budget) != Outcome::Unplaced {
                continue;
            }
            let step = &job_spec.steps[graph.stages[stage].step as usize];
            if !pool.has_room(&self.workers, step) {
                continue;
            }
            outcome = outcome.max(Outcome::Unplaced);
            if !self.ensure_advice(now, job, stage, actions) {
                continue;
            }
            let account = job_spec.account.as_ref();
            let max_starts = budget.max_starts(account, charge(step));
            let picks = if step.is_gang {
                self.pick_gang(job, stage, step, pool)
            } else {
                self.pick_each(job, stage, step, pool, max_starts)
            };
            let started = picks.len() as u64;
            budget.take(account, charge(step).times(started));
            if let Some(graph) = self.jobs.get(job)
                && !step.is_gang
                && started == max_starts
                && started < u64::from(graph.stages[stage].idle_count)
            {
                Self::hold_back(graph, stage, started, pool, budget);
            }
            if !picks.is_empty() {
                outcome = Outcome::Started;
            } else if pool.places.take_held() {
                outcome = outcome.max(Outcome::AwaitingPlace);
            }
            self.record_places(now, job, stage, &picks, &mut pool.places);
            self.start_tasks(now, job, stage, step, picks, actions);
        }
        pool.record(outcome);
        // A job that waits for a place keeps no other one from being looked at.
        if outcome < Outcome::AwaitingPlace && !has_suspects {
            pool.record_miss(position);
        }
        self.jobs.get(job).is_some_and(Graph::has_idle_tasks)
    }

    /// Returns what can be told of a stage without a look at each worker: [`Outcome::Unplaced`] if workers may
    /// have room.
    fn prospect(
        &self,
        now: Instant,
        graph: &Graph,
        stage: usize,
        service: &ids::Service,
        pool: &mut Pool,
        budget: &mut Budget,
    ) -> Outcome {
        if graph.stages[stage].idle_count == 0 || !graph.is_ready(stage) {
            Outcome::NotReady
        } else if pool.is_known_full(graph.step_of(stage))
            || self.is_at_limit(now, graph, stage, service, pool)
        {
            Outcome::NoRoom
        } else if self.awaits_advice(now, graph, stage) {
            Outcome::Unadvised
        } else if !Self::is_limited(graph, stage, budget) {
            Outcome::Unplaced
        } else if pool.has_room_for(&self.workers, graph, stage) {
            Self::hold_back_all(graph, stage, pool, budget);
            Outcome::Limited
        } else {
            // The rest of the account does not wait for what no worker could take.
            Outcome::NoRoom
        }
    }

    /// Checks if each worker of a pool runs at least as many tasks of a stage as its step allows. A worker may run
    /// more, as a start may be carried out late.
    fn is_at_limit(
        &self,
        now: Instant,
        graph: &Graph,
        stage: usize,
        service: &ids::Service,
        pool: &Pool,
    ) -> bool {
        let Some(max) = graph.step_of(stage).max_per_worker else {
            return false;
        };
        let mut counts: Map<&ids::Worker, u32> = Map::default();
        for state in &graph.stages[stage].tasks {
            if let Placement::On(id) = &state.placement {
                *counts.entry(id).or_default() += 1;
            }
        }
        let is_full_member = |(id, count): &(&ids::Worker, u32)| {
            let worker = self.workers.get(*id);
            *count >= max
                && worker.is_some_and(|worker| {
                    worker.accepts_tasks(now) && worker.report.service == *service
                })
        };
        let full_members = counts.into_iter().filter(is_full_member).count();
        full_members >= pool.members.len()
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
        let Some(payload) = graph.payload.clone() else {
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
            new_run.set_account(graph.job.account.as_ref());
            new_run.crashes = graph.progress.crash_count(&graph.counted(&task));
            let start = Command::Start {
                payload: payload.clone(),
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
