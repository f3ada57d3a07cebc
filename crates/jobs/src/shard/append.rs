//! Appends of the shard's leader, one after another.

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use persimmongate_core::ids;
use persimmongate_core::journal::{Key, Record};
use persimmongate_core::sched::Event;
use persimmongate_core::term;
use persimmongate_node::clock;
use slog::{error, warn};

use super::Shard;
use crate::leadership::{Overflow, append_with_retry};
use crate::platform::{Failure, Partition, Platform};

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Returns the partition of the log that holds the shard's records.
    pub(super) fn partition(&self) -> Partition {
        Partition::Jobs(self.setup.shard)
    }

    /// Appends the records of an action of the scheduler, which gets an event once all are stored.
    pub(super) fn append(
        &mut self,
        term: ids::Term,
        records: Vec<Record>,
        ctx: &mut Context<Self>,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        match leadership.outbox.push(records, clock::unix_ms()) {
            Ok(overflows) => self.report_overflows(term, overflows, ctx),
            Err(error) => {
                error!(self.setup.logger, "cannot encode records; nothing is appended"; "error" => %error);
                return;
            }
        }
        self.append_next(term, ctx);
    }

    fn append_next(&mut self, term: ids::Term, ctx: &mut Context<Self>) {
        let leadership = self.leadership.as_mut();
        let Some(leadership) = leadership.filter(|leadership| leadership.term == term) else {
            return;
        };
        let Some(append) = leadership.outbox.next(&mut leadership.sequencer) else {
            self.step_scheduler(Event::Appended, ctx);
            return;
        };
        let appending = append_with_retry(self.setup.platform.clone(), append, None);
        ctx.spawn(
            appending
                .into_actor(self)
                .map(move |appended, act, ctx| match appended {
                    Ok(_) => act.append_next(term, ctx),
                    Err(failure) => act.handle_append_failure(term, &failure, ctx),
                }),
        );
    }

    /// Goes on without the records that the log refuses, as each further leader would meet the same refusal. After any
    /// other failure this process no longer leads.
    fn handle_append_failure(
        &mut self,
        term: ids::Term,
        failure: &Failure,
        ctx: &mut Context<Self>,
    ) {
        warn!(self.setup.logger, "append of leader failed"; "shard" => self.setup.shard, "term" => term,
            "reason" => ?failure);
        let leadership = self.leadership.as_mut();
        let Some(leadership) = leadership.filter(|leadership| leadership.term == term) else {
            return;
        };
        let overflows = match failure {
            Failure::Refused(_) => leadership
                .outbox
                .handle_refusal(&mut leadership.sequencer, clock::unix_ms()),
            _ => None,
        };
        match overflows {
            Some(overflows) => {
                self.report_overflows(term, overflows, ctx);
                self.append_next(term, ctx);
            }
            None => self.step_election(term::Event::Fenced, ctx),
        }
    }

    fn report_overflows(
        &mut self,
        term: ids::Term,
        overflows: Vec<Overflow>,
        ctx: &mut Context<Self>,
    ) {
        for overflow in overflows {
            error!(self.setup.logger, "record too large for the log"; "shard" => self.setup.shard,
                "term" => term, "key" => ?overflow.key, "bytes" => overflow.size,
                "limit" => self.setup.log_limits.record_bytes, "replaced" => overflow.is_replaced);
            if let Key::Progress(job) = overflow.key {
                self.step_scheduler_in_term(term, Event::Overflowed(job), ctx);
            }
        }
    }
}
