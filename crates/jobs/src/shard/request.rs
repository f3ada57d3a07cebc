use std::time::{Duration, Instant};

use actix::{ActorFutureExt, Handler, Message, MessageResult, ResponseActFuture, WrapFuture};
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::journal::{Phase, Record};
use persimmongate_core::queue::Queue;
use persimmongate_node::clock;
use slog::info;

use super::Shard;
use crate::lead::{encoded, persist, plain};
use crate::platform::{Failure, Platform};

/// Time before a caller should come back when the log is away: about one outage's length is unknown,
/// so callers come back soon and to another process.
const AWAY: Duration = Duration::from_secs(1);
/// Longest time that callers are told to stay away.
const AWAY_MAX: Duration = Duration::from_secs(5);

/// `Answer` is what a caller is told of a request about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The job is stored, or its end is.
    Done,
    /// The job was not accepted and never runs; the caller may come back after a time.
    Refused(Duration),
    /// Nothing is known: the request should be repeated.
    Unknown,
    /// No such job exists.
    Missing,
    /// Nothing was done, and this process can't tell at the moment.
    Unavailable(Duration),
}

/// `Status` is what a caller is told of a job's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The job stands so.
    Phase(Phase),
    /// No such job exists here.
    Missing,
    /// This process can't tell at the moment.
    Unavailable,
}

/// `Submit` hands a job in.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Submit {
    /// The job.
    pub job: Job,
    /// Its queue.
    pub queue: Queue,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

/// `Query` asks for the state of a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Status")]
pub struct Query(pub ids::Job);

/// `Cancel` ends a job.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Answer")]
pub struct Cancel {
    /// The job.
    pub job: ids::Job,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

/// `CountWaiting` asks how many jobs of a queue wait for their first start.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<usize>")]
pub struct CountWaiting(pub ids::Queue);

/// `IsFresh` asks if the shard's jobs are known, or none belong to it.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "bool")]
pub struct IsFresh;

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<IsFresh> for Shard<P, C> {
    type Result = bool;

    fn handle(&mut self, _: IsFresh, _: &mut Self::Context) -> Self::Result {
        !self.active || self.is_fresh()
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Gets the time that a job handed in now waits for its first start, as the leader said last.
    fn delay(&self, queue: &Queue) -> Option<Duration> {
        let load = self
            .loads
            .iter()
            .find(|load| load.service == queue.service)?;
        Some(load.queue_delay)
    }

    fn read_age(&self) -> Duration {
        let now = clock::now();
        self.read
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Checks if a job can't be served in time, and gets the time after which it may be.
    fn refusal(&self, job: &Job, queue: &Queue) -> Option<Duration> {
        if job.schedule.is_some() || job.steps.iter().any(|step| step.is_long_running) {
            return None;
        }
        let delay = self.delay(queue)?;
        let chain = job.critical_path();
        let spare = (chain.mul_f64(queue.stretch) + queue.allowance).saturating_sub(chain);
        let late = delay.checked_sub(spare).filter(|late| !late.is_zero())?;
        // Callers that come back at once would meet the same backlog; the jitter spreads them.
        let jitter = rand::random_range(1.0..1.5);
        Some(late.mul_f64(jitter).min(AWAY_MAX))
    }

    fn persist(&self, record: Record, end: Instant) -> ResponseActFuture<Self, Answer> {
        let append = plain(self.topic(), std::slice::from_ref(&record));
        let Some(append) = encoded(append, &self.setup.logger) else {
            return Box::pin(std::future::ready(Answer::Refused(AWAY)).into_actor(self));
        };
        let persisted = persist(self.setup.platform.clone(), append, Some(end)).into_actor(self);
        Box::pin(persisted.map(move |appended, act, _| {
            act.trouble = appended.is_err().then(clock::now);
            match appended {
                Ok(offset) => {
                    act.book.apply(offset, &record);
                    Answer::Done
                }
                Err(Failure::Unknown) => Answer::Unknown,
                Err(_) => Answer::Refused(AWAY),
            }
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Submit> for Shard<P, C> {
    type Result = ResponseActFuture<Self, Answer>;

    fn handle(&mut self, submit: Submit, _: &mut Self::Context) -> Self::Result {
        let job = submit.job;
        let id = job.id.clone();
        let known = self.book.get(&id).is_some();
        let refusal = self.refusal(&job, &submit.queue);
        let facts = slog::o!("job" => id.to_string(), "queue" => job.queue.to_string(),
            "work" => job.total_work(), "chain_ms" => job.critical_path().as_millis(),
            "delay_ms" => self.delay(&submit.queue).map(|delay| delay.as_millis()),
            "read_age_ms" => self.read_age().as_millis());
        let logger = self.setup.logger.new(facts);
        let answer = if known {
            Some(Answer::Done)
        } else if !self.is_fresh() || self.is_in_trouble() {
            Some(Answer::Unavailable(AWAY))
        } else {
            refusal.map(Answer::Refused)
        };
        if let Some(answer) = answer {
            info!(logger, "job"; "known" => known, "answer" => ?answer);
            return Box::pin(std::future::ready(answer).into_actor(self));
        }
        self.asked = Some(clock::now());
        let record = Record::Accepted(Box::new(job));
        let persisted = self.persist(record, submit.deadline);
        let began = clock::now();
        Box::pin(persisted.map(move |answer, _: &mut Self, _| {
            info!(logger, "job"; "answer" => ?answer,
                "took_ms" => clock::now().saturating_duration_since(began).as_millis());
            answer
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Query> for Shard<P, C> {
    type Result = MessageResult<Query>;

    fn handle(&mut self, Query(job): Query, _: &mut Self::Context) -> Self::Result {
        MessageResult(match self.book.get(&job) {
            Some(entry) => {
                if !entry.is_over() {
                    self.asked = Some(clock::now());
                }
                Status::Phase(entry.phase())
            }
            None if !self.active || self.is_fresh() => Status::Missing,
            None => Status::Unavailable,
        })
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Cancel> for Shard<P, C> {
    type Result = ResponseActFuture<Self, Answer>;

    fn handle(&mut self, cancel: Cancel, _: &mut Self::Context) -> Self::Result {
        let answer = match self.book.get(&cancel.job) {
            Some(entry) if entry.is_over() => Some(Answer::Done),
            Some(_) => None,
            None if !self.active || self.is_fresh() => Some(Answer::Missing),
            None => Some(Answer::Unavailable(AWAY)),
        };
        if let Some(answer) = answer {
            return Box::pin(std::future::ready(answer).into_actor(self));
        }
        let id = cancel.job.clone();
        let persisted = self.persist(Record::Canceled(cancel.job), cancel.deadline);
        Box::pin(persisted.map(move |answer, act: &mut Self, _| {
            info!(act.setup.logger, "cancel"; "job" => %id, "answer" => ?answer);
            answer
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<CountWaiting> for Shard<P, C> {
    type Result = Option<usize>;

    fn handle(&mut self, CountWaiting(queue): CountWaiting, _: &mut Self::Context) -> Self::Result {
        // An idle shard has no jobs of the queue.
        (!self.active || self.is_fresh()).then(|| self.book.pending_count(&queue))
    }
}
