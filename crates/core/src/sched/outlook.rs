//! What the decision of [`crate::locality`] is told about workers, runs and jobs.

use std::time::{Duration, Instant};

use super::graph::{Advice, Graph, Placement};
use super::near::Pass;
use super::pick::Candidate;
use super::run::{Phase, Run};
use super::scheduler::Scheduler;
use super::worker::{Resources, Worker};
use crate::ids;
use crate::job::Step;
use crate::locality::{self, Demand, Forecast, Progress, Room};

/// Time in which a worker that was listed answers its first poll.
const JOIN_TIME: Duration = Duration::from_millis(200);

impl From<Resources> for Room {
    fn from(resources: Resources) -> Self {
        Self {
            cpu_millicores: resources.cpu_millicores,
            memory_mb: resources.memory_mb,
            gpus: resources.gpus,
        }
    }
}

impl Worker {
    /// Returns the time until it may get tasks, if it is sound and stays; `None` otherwise.
    fn joins_in(&self, now: Instant) -> Option<Duration> {
        let is_sound = self.is_listed
            && !self.has_terminated
            && !self.report.is_shutting_down
            && !self.is_draining
            && self.missed_polls == 0
            && self.consecutive_failures == 0;
        let suspension = self
            .suspended_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let is_new = !self.is_confirmed || self.clock.is_none();
        let wait = if is_new { JOIN_TIME } else { Duration::ZERO };
        is_sound.then(|| suspension.max(wait))
    }
}

impl Run {
    /// Returns the time until it is expected to free its room; `None` for one that goes on.
    fn remaining(&self, now: Instant, stop_timeout: Duration) -> Option<Duration> {
        if self.state == Phase::Stopping {
            return Some(stop_timeout);
        }
        if self.is_long_running {
            return None;
        }
        let age = |at: Instant| at.saturating_duration_since(self.created_at);
        let progress = Progress {
            percent: self.percent,
            age: age(self.progressed_at),
        };
        Some(locality::remaining(self.estimate, age(now), Some(progress)))
    }
}

impl Graph {
    /// Returns the estimated time of a step and of the longest chain after it, and by how much longer the
    /// longest chain of its occurrence is. Both ignore how much of a step is done.
    fn chain_of(&self, stage: usize) -> (Duration, Duration) {
        let steps = &self.job.steps;
        let mut chains: Vec<Duration> = steps.iter().map(Step::run_time).collect();
        for (index, step) in steps.iter().enumerate().rev() {
            for dependency in &step.dependencies {
                if let Some(earlier) = steps.get(*dependency as usize) {
                    let chain = earlier.run_time().saturating_add(chains[index]);
                    let known = &mut chains[*dependency as usize];
                    *known = chain.max(*known);
                }
            }
        }
        let own = &self.stages[stage];
        let open = self.stages.iter().filter(|other| {
            other.occurrence == own.occurrence && (other.done_count as usize) < other.tasks.len()
        });
        let longest = open.map(|other| chains[other.step as usize]).max();
        let chain = chains[own.step as usize];
        (chain, longest.unwrap_or(chain).saturating_sub(chain))
    }
}

impl Scheduler {
    /// Returns the time until the last idle task of a stage, from an index on, has a place near its data; `None` if a task of it runs
    /// elsewhere, or if one never has such a place.
    pub(super) fn last_place(
        &self,
        graph: &Graph,
        (stage, index): (usize, usize),
        step: &Step,
        rack: &ids::Label,
        forecast: &Forecast,
        is_usable: impl Fn(&ids::Worker) -> bool,
    ) -> Option<Duration> {
        let own = &graph.stages[stage];
        let is_away = own.tasks.iter().any(|state| match &state.placement {
            Placement::On(id) => {
                let worker = self.workers.get(id);
                worker.is_some_and(|worker| !worker.has_label(rack))
            }
            Placement::Idle | Placement::Done => false,
        });
        // Those before it have found a place in this pass.
        let idle = own.tasks[index..].iter();
        let idle = idle
            .filter(|state| state.placement == Placement::Idle)
            .count();
        if is_away || idle > locality::MAX_WAITS {
            return None;
        }
        let need = Resources::reserved_by(step).into();
        forecast.find_last(need, idle, step.run_time(), is_usable)
    }

    /// Checks if a worker has the label that a step requires, and the permission of the policy service.
    pub(super) fn is_suited(
        &self,
        graph: &Graph,
        stage: usize,
        step: &Step,
        id: &ids::Worker,
    ) -> bool {
        let label = step.required_label.as_ref();
        let is_permitted = match &graph.stages[stage].advice {
            Advice::Granted(tickets, _) => tickets.iter().any(|ticket| ticket.worker == *id),
            Advice::Requested(_) | Advice::Unanswered(_) | Advice::NotRequested => true,
        };
        let worker = self.workers.get(id);
        is_permitted
            && worker.is_some_and(|worker| label.is_none_or(|label| worker.has_label(label)))
    }

    /// Returns what the decision about a wait is told, if a place near the data is free after a time.
    pub(super) fn demand(
        &self,
        pass: &Pass,
        graph: &Graph,
        stage: usize,
        step: &Step,
        expected: Duration,
    ) -> Demand {
        let (chain, float) = graph.chain_of(stage);
        let objective = graph.deadline.saturating_duration_since(graph.accepted_at);
        let time_left = match graph.job.schedule {
            None => graph.deadline.saturating_duration_since(pass.now),
            Some(schedule) => {
                let due_ms = schedule.due_ms(graph.stages[stage].occurrence);
                let age = Duration::from_millis(self.unix_ms.saturating_sub(due_ms));
                objective.saturating_sub(age)
            }
        };
        Demand {
            run_time: step.run_time(),
            slowdown: pass.slowdown,
            expected,
            time_left,
            chain,
            float,
            is_room_short: pass.is_room_short,
        }
    }

    /// Returns the forecast of a rack. `step` is the one that is placed just now, whose
    /// tasks hold room of the candidates without a run so far.
    pub(super) fn forecast(
        &self,
        now: Instant,
        graph: &Graph,
        rack: &ids::Label,
        members: &[Candidate],
        step: &Step,
    ) -> Forecast {
        let mut forecast = Forecast::default();
        let releases = |worker: &Worker| -> Vec<(Duration, Room)> {
            let ends = worker.runs.values().filter_map(|run| {
                let at = run.remaining(now, self.options.stop_timeout)?;
                Some((at, run.resources.into()))
            });
            ends.collect()
        };
        for entry in members {
            let Some(worker) = self.workers.get(&entry.worker) else {
                continue;
            };
            let is_open = !entry.is_isolated && entry.reserved_for.is_none();
            if !worker.has_label(rack) || !is_open || worker.joins_in(now).is_none() {
                continue;
            }
            let mut ends = releases(worker);
            let starting = Room::from(worker.free_resources()).minus(entry.free.into());
            ends.push((step.run_time(), starting));
            let free = entry.free.into();
            forecast.add(entry.worker.clone(), free, Duration::ZERO, ends);
        }
        let service = self.service_of(graph);
        for worker in self.workers.values() {
            let is_other = worker.report.service != *service || worker.accepts_tasks(now);
            if is_other || !worker.has_label(rack) {
                continue;
            }
            if let Some(delay) = worker.joins_in(now) {
                let free = worker.free_resources().into();
                let ends = releases(worker);
                forecast.add(worker.report.worker.clone(), free, delay, ends);
            }
        }
        forecast
    }
}
