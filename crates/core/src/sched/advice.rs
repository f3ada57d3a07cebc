use std::time::{Duration, Instant};

use super::ends::index_of;
use super::event::{Action, AdviceRequest, Ticket};
use super::machine::Scheduler;
use super::work::Advised;
use super::worker::Resources;
use crate::ids;

/// Workers asked about at once; more make the answer slow.
const WORKERS: usize = 30;
/// Questions under way at once; the policy service answers them in turn.
const QUESTIONS: usize = 6;
/// Time before a ticket ends at which it is not used any more: a start takes as long to arrive.
const MARGIN: Duration = Duration::from_millis(300);
/// Time that an answer may take beyond what the service declares, for each question in turn.
const SLACK: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Checks if a stage may be placed, and asks the policy service if it must be asked first.
    pub(super) fn has_advice(
        &mut self,
        now: Instant,
        job: &ids::Job,
        stage: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(work) = self.works.get(job) else {
            return false;
        };
        let queue = self.config.queue(&work.job.queue);
        let Some(advice) = queue.and_then(|queue| queue.advice) else {
            return true;
        };
        match &work.stages[stage].advised {
            Advised::Good(_, until) if now + MARGIN < *until => return true,
            Advised::Asked => return false,
            Advised::Good(..) | Advised::None => {}
        }
        if self.asked >= QUESTIONS {
            return false;
        }
        let service = self.service_of(work);
        let step = work.step_of(stage).clone();
        let room = Resources::reserved_by(&step);
        let mut workers: Vec<(bool, u64, ids::Worker)> = self
            .workers
            .values()
            .filter(|worker| worker.is_usable(now) && worker.report.service == service)
            .filter(|worker| {
                step.required_label
                    .as_ref()
                    .is_none_or(|label| worker.has_label(label))
            })
            .map(|worker| {
                let free = worker.free();
                (
                    !free.covers(room),
                    free.cpu_millicores,
                    worker.report.worker.clone(),
                )
            })
            .collect();
        workers.sort();
        workers.truncate(WORKERS);
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
            timeout: turn * (index_of(self.asked) + 1) + SLACK,
        }));
        self.asked += 1;
        if let Some(work) = self.works.get_mut(job) {
            work.stages[stage].advised = Advised::Asked;
        }
        false
    }

    pub(super) fn note_advised(
        &mut self,
        job: &ids::Job,
        (occurrence, step): (u32, u32),
        sent: Instant,
        answer: Option<(Vec<Ticket>, Duration)>,
    ) {
        self.asked = self.asked.saturating_sub(1);
        self.stirred = true;
        let Some(work) = self.works.get_mut(job) else {
            return;
        };
        let matches =
            |stage: &&mut super::work::Stage| stage.occurrence == occurrence && stage.step == step;
        if let Some(stage) = work.stages.iter_mut().find(matches) {
            stage.advised = match answer {
                Some((tickets, valid)) => Advised::Good(tickets, sent + valid),
                None => Advised::None,
            };
        }
    }
}
