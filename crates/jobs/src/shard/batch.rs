//! Appends of callers' records to the partitions of a shard.

use std::time::Instant;

use actix::{ActorFutureExt, AsyncContext, Context, SpawnHandle, WrapFuture};
use bytes::Bytes;
use bytestring::ByteString;
use futures_util::future::{FutureExt, LocalBoxFuture};
use persimmongate_core::batch::{Action, Batcher, Entry, Event, Verdict};
use persimmongate_core::ids;
use persimmongate_core::journal::Limits;
use persimmongate_core::map::Map;
use persimmongate_node::clock;
use tokio::sync::oneshot;

use super::Shard;
use crate::platform::{Append, Failure, Partition, Platform};

/// Size of the length and the length of the key before each record of an append, in bytes.
const PREFIX_BYTES: usize = 5;

/// `Row` is a record with its key, as the log stores it.
pub(super) type Row = (ByteString, Option<Bytes>);

/// `Target` is the partition that a caller's record belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Target {
    /// The records about the shard's jobs.
    Jobs,
    /// The payloads of these jobs.
    Payloads,
}

/// `Batchers` is the records of callers that the log does not hold yet.
pub(super) struct Batchers {
    jobs: Batcher<Row>,
    payloads: Batcher<Row>,
    replies: Map<ids::Request, oneshot::Sender<Verdict>>,
    next_request: ids::Request,
    /// Appends in flight. One that is dropped closes its connection.
    in_flight: Map<(Target, ids::Sequence), SpawnHandle>,
}

impl Batchers {
    pub(super) fn new(limits: &Limits) -> Self {
        Self {
            jobs: Batcher::new(limits.append_bytes),
            payloads: Batcher::new(limits.append_bytes),
            replies: Map::default(),
            next_request: 0,
            in_flight: Map::default(),
        }
    }

    /// Checks if appends of payloads take long at the moment.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        self.payloads.is_slow(now) || self.jobs.is_slow(now)
    }

    fn batcher(&mut self, target: Target) -> &mut Batcher<Row> {
        match target {
            Target::Jobs => &mut self.jobs,
            Target::Payloads => &mut self.payloads,
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Appends a record, together with those of other callers that wait. The outcome is known at the deadline at the
    /// latest.
    pub(super) fn append_batched(
        &mut self,
        target: Target,
        row: Row,
        deadline: Instant,
        ctx: &mut Context<Self>,
    ) -> LocalBoxFuture<'static, Verdict> {
        let request = self.batchers.next_request;
        self.batchers.next_request += 1;
        let (reply, verdict) = oneshot::channel();
        self.batchers.replies.insert(request, reply);
        let size = PREFIX_BYTES + row.0.len() + row.1.as_ref().map_or(0, Bytes::len);
        let entry = Entry {
            request,
            record: row,
            size,
            deadline,
        };
        self.step_batcher(target, Event::Submitted(entry), ctx);
        // The shard ends without an answer only together with the process or after a panic.
        verdict
            .map(|verdict| verdict.unwrap_or(Verdict::Unknown))
            .boxed_local()
    }

    fn step_batcher(&mut self, target: Target, event: Event<Row>, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        let batcher = self.batchers.batcher(target);
        batcher.step(clock::now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Append(number, rows) => self.append_rows(target, number, rows, ctx),
                Action::Abandon(number) => {
                    if let Some(append) = self.batchers.in_flight.remove(&(target, number)) {
                        ctx.cancel_future(append);
                        self.log_failed_at = Some(clock::now());
                    }
                }
                Action::Answer(request, verdict) => {
                    if let Some(reply) = self.batchers.replies.remove(&request) {
                        // The caller may have left.
                        let _ = reply.send(verdict);
                    }
                }
                Action::Wake(delay) => {
                    ctx.run_later(delay, move |act, ctx| {
                        act.step_batcher(target, Event::Due, ctx);
                    });
                }
            }
        }
    }

    fn append_rows(
        &mut self,
        target: Target,
        number: ids::Sequence,
        records: Vec<Row>,
        ctx: &mut Context<Self>,
    ) {
        let partition = match target {
            Target::Jobs => Partition::Jobs(self.setup.shard),
            Target::Payloads => Partition::Payloads(self.setup.shard),
        };
        let append = Append {
            partition,
            records,
            expected_end: None,
            writer: None,
        };
        let appending = self.setup.platform.append(append).into_actor(self);
        let handle = ctx.spawn(appending.map(move |outcome, act, ctx| {
            act.batchers.in_flight.remove(&(target, number));
            act.log_failed_at = match outcome {
                Ok(_) | Err(Failure::Refused(_)) => None,
                Err(_) => Some(clock::now()),
            };
            let verdict = match outcome {
                Ok(offset) => Verdict::Stored(offset),
                Err(Failure::Unknown) => Verdict::Unknown,
                Err(Failure::Refused(status)) => Verdict::Refused(status),
                Err(
                    Failure::Busy
                    | Failure::Expired
                    | Failure::Fenced
                    | Failure::Moved
                    | Failure::Order,
                ) => Verdict::Ineffective,
            };
            act.step_batcher(target, Event::Answered(number, verdict), ctx);
        }));
        self.batchers.in_flight.insert((target, number), handle);
    }
}
