use std::time::{Duration, Instant};

use super::event::{Action, Query, Ticket};
use super::exit::to_u32;
use super::graph::{Advice, Graph, Stage};
use super::scheduler::Scheduler;
use super::worker::{Resources, Worker};
use crate::ids;
use crate::queue::{Policy, ticket_expiry};

/// Maximum number of workers in one request; the answer takes longer with each worker. If none of them is
/// permitted, the next request names others.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Maximum number of requests in flight; the policy service answers them one after the other.
const MAX_REQUESTS_IN_FLIGHT: usize = 6;
/// Time before its expiry at which a ticket is no longer used, as the start must arrive first.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Time that an answer may take beyond the latency that the service declares for the requests
/// queued, and after which a request without an answer is repeated.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Returns whether a stage may be placed; requests advice from the policy service if it is
    /// required and missing.
    pub(super) fn ensure_advice(
        &mut self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(graph) = self.jobs.get(job) else {
            return false;
        };
        let Some(policy_service) = self.policy_service(graph) else {
            if let Some(graph) = self.jobs.get_mut(job) {
                graph.stages[stage].advice = Advice::NotRequested;
            }
            return true;
        };
        match &graph.stages[stage].advice {
            Advice::Granted(_, until) if now + TICKET_MARGIN < *until => return true,
            Advice::Requested(_) => return false,
            Advice::Unanswered(until) if now < *until => return false,
            Advice::Granted(..) | Advice::Unanswered(_) | Advice::NotRequested => {}
        }
        if self.advice_in_flight >= MAX_REQUESTS_IN_FLIGHT {
            return false;
        }
        // Once all were asked about, the next round begins.
        if self.advisable_workers(now, graph, stage).next().is_none()
            && let Some(graph) = self.jobs.get_mut(job)
        {
            graph.stages[stage].forbidden.clear();
        }
        let Some(graph) = self.jobs.get(job) else {
            return false;
        };
        let required = Resources::reserved_by(graph.step_of(stage));
        let candidates = self.advisable_workers(now, graph, stage);
        let mut workers: Vec<(bool, u64, ids::Worker)> = candidates
            .map(|worker| {
                let free = worker.free_resources();
                (
                    !free.covers(required),
                    free.cpu_millicores,
                    worker.report.worker.clone(),
                )
            })
            .collect();
        workers.sort();
        workers.truncate(MAX_WORKERS_PER_REQUEST);
        if workers.is_empty() {
            return false;
        }
        let count = to_u32(workers.len());
        let earlier_requests = to_u32(self.advice_in_flight);
        let (occurrence, step_index) = (graph.stages[stage].occurrence, graph.stages[stage].step);
        let workers: Vec<ids::Worker> = workers.into_iter().map(|(.., worker)| worker).collect();
        actions.push(Action::RequestAdvice(Query {
            job: job.clone(),
            occurrence,
            step: step_index,
            workers: workers.clone(),
            timeout: policy_service.answer_time(count, earlier_requests) + ANSWER_SLACK,
        }));
        self.advice_in_flight += 1;
        if let Some(graph) = self.jobs.get_mut(job) {
            graph.stages[stage].advice = Advice::Requested(workers);
        }
        false
    }

    fn policy_service(&self, graph: &Graph) -> Option<Policy> {
        let queue = self.config.queue(&graph.job.queue);
        queue.and_then(|queue| queue.policy_service)
    }

    /// Checks if a stage waits for the policy service, or for the time at which it is asked again.
    pub(super) fn awaits_advice(&self, now: Instant, graph: &Graph, stage: usize) -> bool {
        let is_waiting = match &graph.stages[stage].advice {
            Advice::NotRequested => false,
            Advice::Requested(_) => true,
            Advice::Unanswered(until) => now < *until,
            Advice::Granted(tickets, until) => tickets.is_empty() && now + TICKET_MARGIN < *until,
        };
        is_waiting && self.policy_service(graph).is_some()
    }

    /// Returns the workers that the policy service may be asked about for a stage.
    fn workers_for<'a>(
        &'a self,
        now: Instant,
        graph: &'a Graph,
        stage: usize,
    ) -> impl Iterator<Item = &'a Worker> {
        let service = self.service_of(graph);
        let label = graph.step_of(stage).required_label.as_ref();
        let workers = self.workers.values();
        workers.filter(move |worker| {
            worker.accepts_tasks(now)
                && worker.report.service == *service
                && label.is_none_or(|label| worker.has_label(label))
        })
    }

    /// Returns those of them that the policy service has not forbidden.
    fn advisable_workers<'a>(
        &'a self,
        now: Instant,
        graph: &'a Graph,
        stage: usize,
    ) -> impl Iterator<Item = &'a Worker> {
        let forbidden = &graph.stages[stage].forbidden;
        let workers = self.workers_for(now, graph, stage);
        workers.filter(|worker| !forbidden.contains(&worker.report.worker))
    }

    pub(super) fn handle_advice(
        &mut self,
        now: Instant,
        job: &ids::Job,
        (occurrence, step): (u32, u32),
        sent_at: Instant,
        answer: Option<(Vec<Ticket>, Duration)>,
    ) {
        self.advice_in_flight = self.advice_in_flight.saturating_sub(1);
        self.needs_placement = true;
        let Some(graph) = self.jobs.get_mut(job) else {
            return;
        };
        let is_own = |stage: &Stage| stage.occurrence == occurrence && stage.step == step;
        let Some(stage) = graph.stages.iter().position(is_own) else {
            return;
        };
        let current = &mut graph.stages[stage];
        let Advice::Requested(asked) = std::mem::replace(&mut current.advice, Advice::NotRequested)
        else {
            return;
        };
        let Some((tickets, validity)) = answer else {
            current.advice = Advice::Unanswered(now + ANSWER_SLACK);
            return;
        };
        let is_permitted = |worker: &ids::Worker| tickets.iter().any(|t| t.worker == *worker);
        let forbidden = asked.into_iter().filter(|worker| !is_permitted(worker));
        current.forbidden.extend(forbidden);
        let Some(graph) = self.jobs.get(job) else {
            return;
        };
        let has_others = self.advisable_workers(now, graph, stage).next().is_some();
        if tickets.is_empty() && has_others {
            return;
        }
        if let Some(graph) = self.jobs.get_mut(job) {
            let expires_at = ticket_expiry(sent_at, validity);
            graph.stages[stage].advice = Advice::Granted(tickets, expires_at);
        }
    }
}
