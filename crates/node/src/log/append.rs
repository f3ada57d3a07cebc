//! Appends of this process's records to the log, one batch at a time.

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, Recipient, WrapFuture};
use bytes::Bytes;
use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::Refusal;
use persimmongate_core::record::{self, Body, Record};
use persimmongate_core::state::{Status, Verdict};
use persimmongate_wire::log::{Batch, Stream, encode_batch, encode_record};
use slog::warn;
use std::time::Duration;
use tokio::sync::oneshot;

use super::follower::Follower;
use super::message::Appended;
use crate::clock;

/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Sequence number of the join, which is the first record of each incarnation.
const JOIN_SEQUENCE: ids::Sequence = 1;
/// Maximum number of queued records in one append.
const MAX_BATCH_RECORDS: usize = 256;

/// Token of the requester, and where its verdict goes; `None` when nobody waits for it.
type ReplyTo = Option<(u64, Recipient<Appended>)>;

/// `Outbox` holds the records to be appended, and the appended ones without a verdict yet.
#[derive(Default)]
pub(super) struct Outbox {
    queue: Vec<(Body, ReplyTo)>,
    outcomes: Vec<(ids::IdempotencyKey, record::Completion)>,
    is_renewal_due: bool,
    /// Sequence number of the latest record.
    last_sequence: ids::Sequence,
    /// Records sent whose verdict has not been read back from the log yet.
    pending: Map<ids::Sequence, Pending>,
    /// Encoded batch in flight; a retry sends the same bytes.
    encoded_batch: Option<Bytes>,
    is_sending: bool,
    /// Notified once the end of the membership has been appended.
    leave_listener: Option<oneshot::Sender<()>>,
    /// Whether the batch in flight ends the membership.
    batch_contains_leave: bool,
}

/// `Pending` is a record whose verdict has not been read yet.
struct Pending {
    reply: ReplyTo,
    /// Idempotency keys that the record claims.
    keys: Vec<ids::IdempotencyKey>,
}

impl Outbox {
    /// Starts a new incarnation: resets the sequence numbers, drops the batch in flight, and
    /// reports to the requesters of pending records that there is no verdict.
    pub(super) fn restart(&mut self) {
        self.last_sequence = 0;
        self.encoded_batch = None;
        for record in std::mem::take(&mut self.pending).into_values() {
            send_verdict(record.reply, None);
        }
    }

    pub(super) fn push(&mut self, body: Body, reply: ReplyTo) {
        // A join is the first record of its incarnation.
        if matches!(body, Body::Join(_)) {
            self.queue.insert(0, (body, reply));
        } else {
            self.queue.push((body, reply));
        }
    }

    pub(super) fn push_outcome(&mut self, key: ids::IdempotencyKey, outcome: record::Completion) {
        self.outcomes.push((key, outcome));
    }

    pub(super) fn request_renewal(&mut self) {
        self.is_renewal_due = true;
    }

    /// Queues the record by which the process leaves; the receiver resolves once it has been
    /// appended.
    pub(super) fn leave(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.push(Body::Leave, None);
        self.leave_listener = Some(sender);
        receiver
    }

    /// Notifies the listener if the batch just appended contains that record.
    fn acknowledge_leave(&mut self) {
        if self.batch_contains_leave
            && let Some(listener) = self.leave_listener.take()
        {
            // The receiver is dropped once its time-out has passed.
            let _ = listener.send(());
        }
    }

    /// Drops the batch in flight if its last record was read back from the log: the append took
    /// effect and only its response was lost.
    fn discard_confirmed_batch(&mut self) {
        let is_confirmed = !self.pending.contains_key(&self.last_sequence);
        if is_confirmed && self.encoded_batch.take().is_some() {
            self.acknowledge_leave();
        }
    }

    /// Returns whether a join is queued or has no verdict yet.
    pub(super) fn is_joining(&self) -> bool {
        let is_queued = self
            .queue
            .iter()
            .any(|(body, _)| matches!(body, Body::Join(_)));
        is_queued || self.pending.contains_key(&JOIN_SEQUENCE)
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.pending.len()
    }

    /// Builds the next batch from the queued records, keys, outcomes and a due renewal.
    fn next_batch(
        &mut self,
        keys: Vec<ids::IdempotencyKey>,
        author: &ids::Instance,
        incarnation: ids::Incarnation,
    ) -> Vec<Record> {
        let mut bodies: Vec<(Body, Pending)> = Vec::new();
        let count = self.queue.len().min(MAX_BATCH_RECORDS);
        for (body, reply) in self.queue.drain(..count) {
            self.batch_contains_leave |= body == Body::Leave;
            bodies.push((
                body,
                Pending {
                    reply,
                    keys: Vec::new(),
                },
            ));
        }
        if !keys.is_empty() {
            let body = Body::Keys { keys: keys.clone() };
            bodies.push((body, Pending { reply: None, keys }));
        }
        if !self.outcomes.is_empty() {
            let outcomes = std::mem::take(&mut self.outcomes);
            bodies.push((
                Body::Outcomes { outcomes },
                Pending {
                    reply: None,
                    keys: Vec::new(),
                },
            ));
        }
        // Any record renews the membership, but only a renewal is published to subscribers.
        if std::mem::take(&mut self.is_renewal_due) {
            bodies.push((
                Body::Renew,
                Pending {
                    reply: None,
                    keys: Vec::new(),
                },
            ));
        }
        // Records after the end of the membership would be rejected, so it goes last.
        bodies.sort_by_key(|(body, _)| *body == Body::Leave);
        let mut records = Vec::with_capacity(bodies.len());
        for (body, record) in bodies {
            self.last_sequence += 1;
            self.pending.insert(self.last_sequence, record);
            records.push(Record {
                author: author.clone(),
                incarnation,
                sequence: self.last_sequence,
                body,
            });
        }
        records
    }
}

fn send_verdict(reply: ReplyTo, verdict: Option<Verdict>) {
    if let Some((token, reply)) = reply {
        reply.do_send(Appended { token, verdict });
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Appends the queued records unless an append is in flight.
    pub(super) fn flush(&mut self, ctx: &mut Context<Self>) {
        if self.outbox.is_sending || !self.is_ready {
            return;
        }
        if self.outbox.encoded_batch.is_none() {
            if self.defer_flush(ctx) {
                return;
            }
            self.encode_next_batch();
        }
        let Some(batch) = self.outbox.encoded_batch.clone() else {
            return;
        };
        self.rate_limiter.record_append(clock::now());
        self.outbox.is_sending = true;
        let client = self.client.clone();
        async move { client.append(Stream::Main, batch).await }
            .into_actor(self)
            .map(|result, act, ctx| {
                if result.is_ok() {
                    act.counters.appends.add(1, &[]);
                    act.outbox.is_sending = false;
                    act.outbox.encoded_batch = None;
                    act.outbox.acknowledge_leave();
                    act.flush(ctx);
                } else {
                    act.counters.failures.add(1, &[]);
                    ctx.run_later(RETRY_DELAY, |act, ctx| {
                        act.outbox.is_sending = false;
                        act.outbox.discard_confirmed_batch();
                        act.flush(ctx);
                    });
                }
            })
            .spawn(ctx);
    }

    fn encode_next_batch(&mut self) {
        let keys = self.pending_claims.take_queued();
        let records = self
            .outbox
            .next_batch(keys, &self.options.instance, self.incarnation);
        if records.is_empty() {
            return;
        }
        self.counters.records.add(records.len() as u64, &[]);
        let mut batch = Batch::default();
        for record in &records {
            match encode_record(record) {
                Ok(bytes) => batch.records.push(bytes),
                Err(error) => warn!(self.logger, "record can't be encoded"; "error" => %error),
            }
        }
        match encode_batch(&batch) {
            Ok(bytes) => self.outbox.encoded_batch = Some(bytes),
            Err(error) => warn!(self.logger, "batch can't be encoded"; "error" => %error),
        }
    }

    /// Sends the verdict on a record of this process to its requester and resolves the record's
    /// key claims; returns the keys won for requests that were abandoned meanwhile.
    pub(super) fn deliver_verdict(
        &mut self,
        sequence: ids::Sequence,
        verdict: &Verdict,
        won: &[ids::IdempotencyKey],
    ) -> Vec<ids::IdempotencyKey> {
        // A retried append was resolved at the first copy of the record.
        if *verdict == Verdict::Duplicate {
            return Vec::new();
        }
        let Some(record) = self.outbox.pending.remove(&sequence) else {
            return Vec::new();
        };
        send_verdict(record.reply, Some(verdict.clone()));
        let state = &self.state;
        let claim_result = |key| {
            if won.contains(&key) {
                return gate::ClaimResult::Won;
            }
            match state.keys.status(key, state.log_time) {
                Status::Claimed => gate::ClaimResult::Lost,
                Status::Expired => gate::ClaimResult::Expired,
                // The whole record was rejected, so the key has no holder.
                Status::Free => gate::ClaimResult::Failed(Refusal::Stale),
            }
        };
        self.pending_claims.resolve(&record.keys, claim_result)
    }
}
