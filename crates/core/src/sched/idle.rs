use std::time::{Duration, Instant};

use super::belief::Census;
use super::event::Action;
use super::exit::to_u32;
use super::graph::{Advice, Graph};
use super::scheduler::Scheduler;
use super::worker::Resources;
use crate::ids;

/// Time for which long-running tasks of a job stay idle before a log line says so, and between two
/// such lines of a job or about the waiting jobs of a service: longer than a worker takes to answer and to be
/// given the task.
const IDLE_LOG_INTERVAL: Duration = Duration::from_secs(3);

/// `Idle` is why the tasks of a long-running step may not start.
#[derive(Clone, Debug)]
pub struct Idle {
    /// Job of the step.
    pub job: ids::Job,
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step of the job.
    pub step: u32,
    /// Number of its idle tasks.
    pub tasks: u32,
    /// Time for which the job has had idle long-running tasks, as far as this leader knows.
    pub duration: Duration,
    /// Service whose workers run the job.
    pub service: ids::Service,
    /// Workers of the service.
    pub census: Census,
    /// Those that may get tasks, have the required label and enough free resources.
    pub with_room: usize,
    /// Those of them that are below the limit of tasks of the step per worker.
    pub below_limit: usize,
    /// Workers that the policy service permits; `None` without valid advice.
    pub permitted: Option<usize>,
    /// Workers of the shard that hosts run and the leader did not know at the latest host list.
    pub hosted_unknown: Option<usize>,
    /// Whether the job waits until the runs of older terms are known.
    pub waits_for_recovery: bool,
    /// Whether the payload of the job is known.
    pub has_payload: bool,
    /// Whether the log was read recently enough to start tasks.
    pub may_start: bool,
}

impl Scheduler {
    /// Writes a log line for each job whose long-running tasks have stayed idle, at intervals.
    pub(super) fn log_idle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for graph in self.jobs.values_mut() {
            let Some(stage) = graph.idle_long_running().next() else {
                graph.idle_since = None;
                graph.idle_logged_at = None;
                continue;
            };
            let since = *graph.idle_since.get_or_insert(now);
            let last = graph.idle_logged_at.unwrap_or(since);
            if now.saturating_duration_since(last) >= IDLE_LOG_INTERVAL {
                graph.idle_logged_at = Some(now);
                due.push((graph.job.id.clone(), stage, since));
            }
        }
        for (job, stage, since) in due {
            let idle = self.jobs.get(&job).map(|graph| {
                let duration = now.saturating_duration_since(since);
                Action::LogIdle(Box::new(self.explain_idle(now, graph, stage, duration)))
            });
            actions.extend(idle);
        }
    }

    /// Writes a log line for each service whose jobs the latest pass left waiting, at intervals.
    pub(super) fn log_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (service, tally) in &self.tallies {
            let logged_at = self.tallies_logged_at.get(service);
            let is_due =
                logged_at.is_none_or(|at| now.saturating_duration_since(*at) >= IDLE_LOG_INTERVAL);
            if is_due && tally.started + tally.not_ready < tally.waiting {
                self.tallies_logged_at.insert(service.clone(), now);
                let tally = Box::new(tally.clone());
                actions.push(Action::LogWaiting(service.clone(), tally));
            }
        }
    }

    fn explain_idle(&self, now: Instant, graph: &Graph, stage: usize, duration: Duration) -> Idle {
        let current = &graph.stages[stage];
        let step = graph.step_of(stage);
        let service = self.service_of(graph).clone();
        let need = Resources::reserved_by(step);
        let workers = || {
            let workers = self.workers.values();
            workers.filter(|worker| worker.report.service == service)
        };
        let with_room = workers().filter(|worker| {
            let label = step.required_label.as_ref();
            worker.accepts_tasks(now)
                && label.is_none_or(|label| worker.has_label(label))
                && worker.free_resources().covers(need)
        });
        let with_room: Vec<_> = with_room.collect();
        let below_limit = with_room.iter().filter(|worker| {
            let tasks = worker.runs.keys().filter(|task| {
                task.job == graph.job.id
                    && task.occurrence == current.occurrence
                    && task.step == current.step
            });
            let count = to_u32(tasks.count());
            step.max_per_worker.is_none_or(|max| count < max)
        });
        Idle {
            job: graph.job.id.clone(),
            occurrence: current.occurrence,
            step: current.step,
            tasks: current.idle_count,
            duration,
            census: Census::of(now, workers()),
            with_room: with_room.len(),
            below_limit: below_limit.count(),
            permitted: match &current.advice {
                Advice::Granted(tickets, until) if now < *until => Some(tickets.len()),
                Advice::Granted(..)
                | Advice::Requested(_)
                | Advice::Unanswered(_)
                | Advice::NotRequested => None,
            },
            hosted_unknown: self.hosted_unknown_count(),
            waits_for_recovery: graph.predates_term && !self.has_recovered(),
            has_payload: graph.payload.is_some(),
            may_start: self.may_start(now),
            service,
        }
    }

    /// Counts the idle long-running tasks whose steps may start.
    pub(super) fn idle_long_running_count(&self) -> usize {
        let counts = self.jobs.values().flat_map(|graph| {
            let stages = graph.idle_long_running();
            stages.map(|stage| graph.stages[stage].idle_count as usize)
        });
        counts.sum()
    }
}

impl Graph {
    /// Returns the stages with idle long-running tasks that no other step holds back.
    fn idle_long_running(&self) -> impl Iterator<Item = usize> {
        (0..self.stages.len()).filter(|stage| {
            self.stages[*stage].idle_count > 0
                && self.step_of(*stage).is_long_running
                && !self.is_over()
                && self.is_ready(*stage)
        })
    }
}
