use std::time::{Duration, Instant};

use super::event::{Action, Query, Ticket};
use super::exit::to_u32;
use super::graph::Advice;
use super::scheduler::Scheduler;
use super::worker::Resources;
use crate::ids;
use crate::queue::ticket_expiry;

/// Maximum number of workers in one request; the answer takes longer with each worker.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Maximum number of requests in flight; the policy service answers them one after the other.
const MAX_REQUESTS_IN_FLIGHT: usize = 6;
/// Time before its expiry at which a ticket is no longer used, as the start must arrive first.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Time that an answer may take beyond the latency that the service declares for the requests
/// queued.
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
        let queue = self.config.queue(&graph.job.queue);
        let Some(policy_service) = queue.and_then(|queue| queue.policy_service) else {
            return true;
        };
        match &graph.stages[stage].advice {
            Advice::Granted(_, until) if now + TICKET_MARGIN < *until => return true,
            Advice::Requested => return false,
            Advice::Granted(..) | Advice::NotRequested => {}
        }
        if self.advice_in_flight >= MAX_REQUESTS_IN_FLIGHT {
            return false;
        }
        let service = self.service_of(graph).clone();
        let step = graph.step_of(stage).clone();
        let required = Resources::reserved_by(&step);
        let mut workers: Vec<(bool, u64, ids::Worker)> = self
            .workers
            .values()
            .filter(|worker| worker.accepts_tasks(now) && worker.report.service == service)
            .filter(|worker| {
                step.required_label
                    .as_ref()
                    .is_none_or(|label| worker.has_label(label))
            })
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
        actions.push(Action::RequestAdvice(Query {
            job: job.clone(),
            occurrence,
            step: step_index,
            workers: workers.into_iter().map(|(.., worker)| worker).collect(),
            timeout: policy_service.answer_time(count, earlier_requests) + ANSWER_SLACK,
        }));
        self.advice_in_flight += 1;
        if let Some(graph) = self.jobs.get_mut(job) {
            graph.stages[stage].advice = Advice::Requested;
        }
        false
    }

    pub(super) fn handle_advice(
        &mut self,
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
        let matches =
            |stage: &&mut super::graph::Stage| stage.occurrence == occurrence && stage.step == step;
        if let Some(stage) = graph.stages.iter_mut().find(matches) {
            stage.advice = match answer {
                Some((tickets, validity)) => {
                    Advice::Granted(tickets, ticket_expiry(sent_at, validity))
                }
                None => Advice::NotRequested,
            };
        }
    }
}
