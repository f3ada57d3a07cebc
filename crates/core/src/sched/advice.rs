use std::time::{Duration, Instant};

use super::event::{Action, AdviceRequest, Ticket};
use super::exit::to_u32;
use super::scheduler::Scheduler;
use super::state::Advice;
use super::worker::Resources;
use crate::ids;

/// Workers asked about at once; more make the answer slow.
const MAX_WORKERS: usize = 30;
/// Questions under way at once; the policy service answers them in turn.
const MAX_REQUESTS_IN_FLIGHT: usize = 6;
/// Time before a ticket ends at which it is not used any more: a start takes as long to arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Time that an answer may take beyond what the service declares, for each question in turn.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Checks if a stage may be placed, and asks the policy service if it must be asked first.
    pub(super) fn has_advice(
        &mut self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(work) = self.jobs.get(job) else {
            return false;
        };
        let queue = self.config.queue(&work.job.queue);
        let Some(advice) = queue.and_then(|queue| queue.advice) else {
            return true;
        };
        match &work.stages[stage].advice {
            Advice::Granted(_, until) if now + TICKET_MARGIN < *until => return true,
            Advice::Requested => return false,
            Advice::Granted(..) | Advice::NotRequested => {}
        }
        if self.advice_in_flight >= MAX_REQUESTS_IN_FLIGHT {
            return false;
        }
        let service = self.service_of(work);
        let step = work.step_of(stage).clone();
        let room = Resources::reserved_by(&step);
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
                    !free.covers(room),
                    free.cpu_millicores,
                    worker.report.worker.clone(),
                )
            })
            .collect();
        workers.sort();
        workers.truncate(MAX_WORKERS);
        if workers.is_empty() {
            return false;
        }
        let count = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let turn = advice.base_latency + advice.latency_per_worker * count;
        let (occurrence, number) = (work.stages[stage].occurrence, work.stages[stage].step);
        actions.push(Action::RequestAdvice(AdviceRequest {
            job: job.clone(),
            occurrence,
            step: number,
            workers: workers.into_iter().map(|(.., worker)| worker).collect(),
            timeout: turn * (to_u32(self.advice_in_flight) + 1) + ANSWER_SLACK,
        }));
        self.advice_in_flight += 1;
        if let Some(work) = self.jobs.get_mut(job) {
            work.stages[stage].advice = Advice::Requested;
        }
        false
    }

    pub(super) fn handle_advice(
        &mut self,
        job: &ids::Job,
        (occurrence, step): (u32, u32),
        sent: Instant,
        answer: Option<(Vec<Ticket>, Duration)>,
    ) {
        self.advice_in_flight = self.advice_in_flight.saturating_sub(1);
        self.needs_placement = true;
        let Some(work) = self.jobs.get_mut(job) else {
            return;
        };
        let matches =
            |stage: &&mut super::state::Stage| stage.occurrence == occurrence && stage.step == step;
        if let Some(stage) = work.stages.iter_mut().find(matches) {
            stage.advice = match answer {
                Some((tickets, valid)) => Advice::Granted(tickets, sent + valid),
                None => Advice::NotRequested,
            };
        }
    }
}
