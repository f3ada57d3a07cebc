use std::time::{Duration, Instant};

use actix::{
    ActorFutureExt, Context, Handler, Message, MessageResult, ResponseActFuture, WrapFuture,
};
use persimmongate_core::account::Caller;
use persimmongate_core::batch::Verdict;
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::journal::{Phase, Record};
use persimmongate_core::queue::Queue;
use persimmongate_node::clock;
use slog::{info, warn};

use super::Shard;
use super::batch::{Row, Target};
use crate::leadership::{encoded_or_logged, is_storable, unconditional_append};
use crate::platform::Platform;

/// Delay after which a caller should retry while the log is unavailable. The length of an outage is not
/// known, so callers retry soon and at another process.
pub(super) const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// `Answer` is the outcome of a submission or a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is stored, or it has ended.
    Done,
    /// The job was not accepted and never runs; the caller may retry after the delay.
    Refused(Duration),
    /// The outcome is not known; the caller should repeat the request.
    Unknown,
    /// The log can't store the job, so it was not accepted and never will be.
    Rejected,
    /// No such job exists.
    Missing,
    /// The id is that of another account's job; nothing was changed.
    Taken,
    /// The request had no effect, as this process does not know the job's state at the moment; the caller
    /// may retry after the delay.
    Unavailable(Duration),
}

/// `Status` is the state of a job as this process knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The job exists and is in this phase.
    Phase(Phase),
    /// No such job exists here.
    Missing,
    /// The job belongs to another account. Callers are told that no such job exists.
    Foreign,
    /// This process does not know at the moment.
    Unavailable,
}

/// `Submit` submits a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Submit {
    /// The job.
    pub job: Job,
    /// Its queue.
    pub queue: Queue,
    /// Who submits it.
    pub caller: Caller,
    /// Time until which the caller waits for the answer.
    pub deadline: Instant,
}

/// `Query` asks for the state of a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Status")]
pub struct Query {
    /// The job.
    pub job: ids::Job,
    /// Who asks.
    pub caller: Caller,
}

/// `Cancel` cancels a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Cancel {
    /// The job.
    pub job: ids::Job,
    /// Who cancels it.
    pub caller: Caller,
    /// Time until which the caller waits for the answer.
    pub deadline: Instant,
}

/// `Count` queries how many jobs of a queue wait for their first start.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<usize>")]
pub struct Count(pub ids::Queue);

/// `Freshness` queries whether all jobs of the shard are known, which holds if none belong to it.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct Freshness;

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Freshness> for Shard<P, C> {
    type Result = bool;

    fn handle(&mut self, _: Freshness, _: &mut Self::Context) -> Self::Result {
        !self.is_active || self.is_fresh()
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    fn read_age(&self) -> Duration {
        let now = clock::now();
        self.last_complete_read
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Appends a record of a caller and applies it. Returns its offset, or what the caller is told.
    pub(super) fn record(
        &mut self,
        record: Record,
        deadline: Instant,
        ctx: &mut Context<Self>,
    ) -> ResponseActFuture<Self, Result<ids::Offset, Answer>> {
        let row = match self.storable_row(&record) {
            Ok(row) => row,
            Err(answer) => return Box::pin(std::future::ready(Err(answer)).into_actor(self)),
        };
        let stored = self.append_batched(Target::Jobs, row, deadline, ctx);
        Box::pin(stored.into_actor(self).map(move |verdict, act, _| {
            match verdict {
                Verdict::Stored(offset) => {
                    act.job_index.apply(offset, &record);
                    Ok(offset)
                }
                Verdict::Unknown => Err(Answer::Unknown),
                Verdict::Refused(status) => {
                    warn!(act.setup.logger, "log refused a record"; "key" => ?record.key(), "status" => status);
                    Err(Answer::Rejected)
                }
                Verdict::Ineffective => Err(Answer::Refused(UNAVAILABLE_RETRY_DELAY)),
            }
        }))
    }

    /// Encodes a record, or returns what the caller is told if the log can't store it.
    pub(super) fn storable_row(&self, record: &Record) -> Result<Row, Answer> {
        let append = unconditional_append(self.partition(), std::slice::from_ref(record));
        let append = encoded_or_logged(append, &self.setup.logger)
            .ok_or(Answer::Refused(UNAVAILABLE_RETRY_DELAY))?;
        if !is_storable(&append, &self.setup.log_limits) {
            return Err(Answer::Rejected);
        }
        let row = append.records.into_iter().next();
        row.ok_or(Answer::Refused(UNAVAILABLE_RETRY_DELAY))
    }

    pub(super) fn persist(
        &mut self,
        record: Record,
        deadline: Instant,
        ctx: &mut Context<Self>,
    ) -> ResponseActFuture<Self, Answer> {
        let recorded = self.record(record, deadline, ctx);
        Box::pin(
            recorded.map(|recorded, _, _| recorded.map_or_else(|answer| answer, |_| Answer::Done)),
        )
    }

    /// Checks if no job with the id was accepted before an offset.
    fn is_unknown_before(&self, job: &ids::Job, offset: ids::Offset) -> bool {
        self.read_through >= offset && self.job_index.get(job).is_none()
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Submit> for Shard<P, C> {
    type Result = ResponseActFuture<Self, Answer>;

    fn handle(&mut self, submit: Submit, ctx: &mut Self::Context) -> Self::Result {
        let job = submit.job;
        let id = job.id.clone();
        let entry = self.job_index.get(&id);
        let is_known = entry.is_some();
        let is_foreign = entry.is_some_and(|entry| !entry.is_owned_by(&submit.caller));
        let refusal = self.refusal(&job, &submit.queue);
        let values = slog::o!("job" => id.to_string(), "queue" => job.queue.to_string(),
            "account" => job.account.as_ref().map(ToString::to_string),
            "work" => job.occurrence_work(), "chain_ms" => job.critical_path().as_millis(),
            "delay_ms" => self.start_delay(&submit.queue).map(|delay| delay.as_millis()),
            "read_age_ms" => self.read_age().as_millis(), "refusal" => refusal.as_ref().map(ToString::to_string));
        let logger = self.setup.logger.new(values);
        let answer = if is_foreign {
            Some(Answer::Taken)
        } else if is_known {
            Some(Answer::Done)
        } else if !self.is_fresh() || self.is_log_failing() {
            Some(Answer::Unavailable(UNAVAILABLE_RETRY_DELAY))
        } else {
            refusal.map(|refusal| Answer::Refused(refusal.retry_after))
        };
        if let Some(answer) = answer {
            info!(logger, "job submission"; "known" => is_known, "answer" => ?answer);
            return Box::pin(std::future::ready(answer).into_actor(self));
        }
        self.last_queried_at = Some(clock::now());
        // While the log is slow, an append less counts for more than what all processes have to read.
        let is_slow = self.batchers.is_slow(clock::now());
        let (job, payload) = if is_slow {
            (job, None)
        } else {
            job.detach_payload()
        };
        let payload = payload.map(|payload| Record::Payload(job.id.clone(), payload));
        let record = Record::Accepted(Box::new(job));
        let appending = match payload {
            Some(payload) => self.persist_with_payload(&payload, record, submit.deadline, ctx),
            None => self.persist(record, submit.deadline, ctx),
        };
        let started_at = clock::now();
        let caller = submit.caller;
        Box::pin(appending.map(move |answer, act: &mut Self, _| {
            // An acceptance from before this one may have been read meanwhile.
            let is_taken = answer == Answer::Done && act.is_foreign(&id, &caller);
            let answer = if is_taken { Answer::Taken } else { answer };
            info!(logger, "job submission"; "answer" => ?answer,
                "took_ms" => clock::now().saturating_duration_since(started_at).as_millis());
            answer
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Query> for Shard<P, C> {
    type Result = MessageResult<Query>;

    fn handle(&mut self, query: Query, _: &mut Self::Context) -> Self::Result {
        let Query { job, caller } = query;
        MessageResult(match self.job_index.get(&job) {
            Some(entry) if !entry.is_owned_by(&caller) => Status::Foreign,
            Some(entry) => {
                if !entry.is_over() {
                    self.last_queried_at = Some(clock::now());
                }
                Status::Phase(entry.phase())
            }
            None if !self.is_active || self.is_fresh() => Status::Missing,
            None => Status::Unavailable,
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Cancel> for Shard<P, C> {
    type Result = ResponseActFuture<Self, Answer>;

    /// Records the cancellation also if no such job is known: its acceptance may be on the way to the log.
    fn handle(&mut self, cancel: Cancel, ctx: &mut Self::Context) -> Self::Result {
        let Cancel {
            job: id,
            caller,
            deadline,
        } = cancel;
        let entry = self.job_index.get(&id);
        let answer = match entry {
            Some(entry) if !entry.is_owned_by(&caller) => Some(Answer::Missing),
            Some(entry) if entry.is_over() => Some(Answer::Done),
            None if self.job_index.is_barred(&id, &caller) && self.is_fresh() => {
                Some(Answer::Missing)
            }
            None if !self.is_fresh() && self.is_log_failing() => {
                Some(Answer::Unavailable(UNAVAILABLE_RETRY_DELAY))
            }
            _ => None,
        };
        if let Some(answer) = answer {
            return Box::pin(std::future::ready(answer).into_actor(self));
        }
        let is_known = entry.is_some();
        // The job may turn out to be another account's.
        let record = if self.has_accounts() {
            Record::Barred(id.clone(), caller.clone())
        } else {
            Record::Canceled(id.clone())
        };
        let recorded = self.record(record, deadline, ctx);
        Box::pin(recorded.map(move |recorded, act: &mut Self, _| {
            let answer = match recorded {
                // Without all records before it, it is not known whether there was such a job.
                Ok(offset) if act.is_unknown_before(&id, offset) => Answer::Missing,
                Ok(_) if act.is_foreign(&id, &caller) => Answer::Missing,
                Ok(_) => Answer::Done,
                Err(answer) => answer,
            };
            info!(act.setup.logger, "job cancellation"; "job" => %id, "known" => is_known, "answer" => ?answer);
            answer
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Count> for Shard<P, C> {
    type Result = Option<usize>;

    fn handle(&mut self, Count(queue): Count, _: &mut Self::Context) -> Self::Result {
        // No job belongs to a shard that is not active.
        (!self.is_active || self.is_fresh()).then(|| self.job_index.pending_count(&queue))
    }
}
