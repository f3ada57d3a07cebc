//! Payloads of jobs, in a partition of their own that only the shard's leader reads.
//!
//! Every process reads the records of a shard's jobs, to answer callers, but only the leader sends payloads to
//! workers. A payload is recorded before the acceptance of its job, so an accepted job always has one.

use std::time::{Duration, Instant};

use actix::{ActorFutureExt, AsyncContext, Context, ResponseActFuture, WrapFuture};
use persimmongate_core::batch::Verdict;
use persimmongate_core::ids;
use persimmongate_core::journal::{Entry, Key, Record};
use persimmongate_core::sched::Event;
use persimmongate_node::clock;
use slog::warn;

use super::batch::Target;
use super::request::{Answer, UNAVAILABLE_RETRY_DELAY};
use super::{LEADER_READ_PAUSE, Shard};
use crate::cursor::{Batch, Cursor};
use crate::leadership::{
    MAX_READ_WAIT, append_with_retry, encoded_or_logged, unconditional_append,
};
use crate::platform::{Partition, Platform};

/// Time limit of the deletion of payloads. One that stays is deleted by the next leader.
const DROP_TIMEOUT: Duration = Duration::from_secs(5);

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    fn payload_partition(&self) -> Partition {
        Partition::Payloads(self.setup.shard)
    }

    /// Starts to read the payloads, for the time of a term.
    pub(super) fn follow_payloads(&self, term: ids::Term, ctx: &mut Context<Self>) {
        let cursor = Cursor::new(self.payload_partition(), MAX_READ_WAIT);
        self.read_payloads(term, cursor, ctx);
    }

    fn read_payloads(&self, term: ids::Term, cursor: Cursor, ctx: &mut Context<Self>) {
        let read = cursor.read(self.setup.platform.clone()).into_actor(self);
        ctx.spawn(read.map(move |(cursor, batch), act, ctx| {
            if !act.leads_in(term) {
                return;
            }
            let is_empty = batch.as_ref().is_ok_and(|batch| batch.records.is_empty());
            match batch {
                Ok(batch) => act.apply_payloads(&batch, ctx),
                Err(failure) => {
                    warn!(act.setup.logger, "cannot read payloads of shard"; "shard" => act.setup.shard,
                        "reason" => ?failure);
                }
            }
            let pause = if is_empty { Duration::ZERO } else { LEADER_READ_PAUSE };
            ctx.run_later(pause, move |act, ctx| act.read_payloads(term, cursor, ctx));
        }));
    }

    fn apply_payloads(&mut self, batch: &Batch, ctx: &mut Context<Self>) {
        let mut unneeded = Vec::new();
        for entry in &batch.records {
            let Some(Record::Payload(job, payload)) = self.reader.read(entry) else {
                continue;
            };
            if self.job_index.get(&job).is_some_and(Entry::is_over) {
                unneeded.push(job);
            } else {
                self.step_scheduler(Event::Payload(job, payload), ctx);
            }
        }
        self.drop_payloads(unneeded, ctx);
    }

    /// Deletes the payloads of jobs that have ended.
    pub(super) fn drop_payloads(&self, jobs: Vec<ids::Job>, ctx: &mut Context<Self>) {
        if jobs.is_empty() {
            return;
        }
        let records = jobs
            .into_iter()
            .map(|job| Record::Dropped(Key::Payload(job)));
        let records: Vec<Record> = records.collect();
        let append = unconditional_append(self.payload_partition(), &records);
        let Some(append) = encoded_or_logged(append, &self.setup.logger) else {
            return;
        };
        let deadline = clock::now() + DROP_TIMEOUT;
        let appending = append_with_retry(self.setup.platform.clone(), append, Some(deadline));
        ctx.spawn(appending.into_actor(self).map(|appended, act, _| {
            if let Err(failure) = appended {
                warn!(act.setup.logger, "payloads of ended jobs not deleted"; "shard" => act.setup.shard,
                    "reason" => ?failure);
            }
        }));
    }

    /// Records the payload of a job that is not accepted yet, and accepts the job after it.
    pub(super) fn persist_with_payload(
        &mut self,
        payload: &Record,
        accepted: Record,
        deadline: Instant,
        ctx: &mut Context<Self>,
    ) -> ResponseActFuture<Self, Answer> {
        let rows = (self.storable_row(payload), self.storable_row(&accepted));
        let (row, _) = match rows {
            (Ok(row), Ok(acceptance)) => (row, acceptance),
            (Err(answer), _) | (_, Err(answer)) => {
                return Box::pin(std::future::ready(answer).into_actor(self));
            }
        };
        let stored = self.append_batched(Target::Payloads, row, deadline, ctx);
        Box::pin(stored.into_actor(self).then(move |verdict, act, ctx| {
            // Whether the payload was recorded or not, the job was not accepted.
            let answer = match verdict {
                Verdict::Stored(_) => return act.persist(accepted, deadline, ctx),
                Verdict::Refused(_) => Answer::Rejected,
                Verdict::Unknown | Verdict::Ineffective => Answer::Refused(UNAVAILABLE_RETRY_DELAY),
            };
            Box::pin(std::future::ready(answer).into_actor(act))
        }))
    }
}
