//! Appends of the process, one batch at a time.

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, Recipient, WrapFuture};
use bytes::Bytes;
use persimmongate_core::gate;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::Refusal;
use persimmongate_core::record::{self, Body, Record};
use persimmongate_core::state::{KeyStatus, Verdict};
use persimmongate_wire::log::{Batch, Stream, encode_batch, encode_record};
use slog::warn;
use std::time::Duration;
use tokio::sync::oneshot;

use super::follower::Follower;
use super::message::AppendCompleted;
use crate::clock;

/// Time before an append that failed is repeated.
const RETRY_WAIT: Duration = Duration::from_millis(200);
/// Sequence of the first record of a run, its join.
const FIRST: ids::Sequence = 1;
/// Records in one append, at most.
const BATCH_MAX: usize = 256;

type Reply = Option<(u64, Recipient<AppendCompleted>)>;

/// `Outbox` holds the records that wait to be appended and those that wait for their verdict.
#[derive(Default)]
pub(super) struct Outbox {
    queue: Vec<(Body, Reply)>,
    ends: Vec<(ids::IdempotencyKey, record::End)>,
    renewal_due: bool,
    /// Sequence of the latest record.
    sequence: ids::Sequence,
    /// Records appended whose verdict was not read yet.
    unsettled: Map<ids::Sequence, Sent>,
    /// Encoded batch under way; a repeated append carries the same bytes.
    batch: Option<Bytes>,
    sending: bool,
    departure: Option<oneshot::Sender<()>>,
    /// Whether the batch under way ends the membership.
    departing: bool,
}

/// `Sent` is a record whose verdict was not read yet.
struct Sent {
    reply: Reply,
    keys: Vec<ids::IdempotencyKey>,
}

impl Outbox {
    /// Starts a new run: sequences begin anew and what was under way has no verdict.
    pub(super) fn restart(&mut self) {
        self.sequence = 0;
        self.batch = None;
        for sent in std::mem::take(&mut self.unsettled).into_values() {
            settle(sent.reply, None);
        }
    }

    pub(super) fn push(&mut self, body: Body, reply: Reply) {
        // A join is the first record of its run.
        if matches!(body, Body::Join(_)) {
            self.queue.insert(0, (body, reply));
        } else {
            self.queue.push((body, reply));
        }
    }

    pub(super) fn end(&mut self, key: ids::IdempotencyKey, end: record::End) {
        self.ends.push((key, end));
    }

    pub(super) fn renew(&mut self) {
        self.renewal_due = true;
    }

    /// Queues the departure and returns what resolves when it was appended.
    pub(super) fn depart(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.push(Body::Leave, None);
        self.departure = Some(sender);
        receiver
    }

    /// Tells that the departure was appended, if the latest batch held it.
    fn tell_departure(&mut self) {
        if self.departing
            && let Some(departure) = self.departure.take()
        {
            // Nobody waits past the time limit.
            let _ = departure.send(());
        }
    }

    /// Drops the batch when it was read back, so that only its answer was lost.
    fn drop_read_batch(&mut self) {
        let read = !self.unsettled.contains_key(&self.sequence);
        if read && self.batch.take().is_some() {
            self.tell_departure();
        }
    }

    /// Gets whether a join waits or has no verdict yet.
    pub(super) fn is_joining(&self) -> bool {
        let queued = self
            .queue
            .iter()
            .any(|(body, _)| matches!(body, Body::Join(_)));
        queued || self.unsettled.contains_key(&FIRST)
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.unsettled.len()
    }

    /// Makes the next batch from what waits.
    fn next_batch(
        &mut self,
        keys: Vec<ids::IdempotencyKey>,
        author: &ids::Instance,
        incarnation: ids::Incarnation,
    ) -> Vec<Record> {
        let mut bodies: Vec<(Body, Sent)> = Vec::new();
        let count = self.queue.len().min(BATCH_MAX);
        for (body, reply) in self.queue.drain(..count) {
            self.departing |= body == Body::Leave;
            bodies.push((
                body,
                Sent {
                    reply,
                    keys: Vec::new(),
                },
            ));
        }
        if !keys.is_empty() {
            let body = Body::Keys { keys: keys.clone() };
            bodies.push((body, Sent { reply: None, keys }));
        }
        if !self.ends.is_empty() {
            let ends = std::mem::take(&mut self.ends);
            bodies.push((
                Body::Outcomes { ends },
                Sent {
                    reply: None,
                    keys: Vec::new(),
                },
            ));
        }
        // Any record renews, but only a renewal is told to subscribers.
        if std::mem::take(&mut self.renewal_due) {
            bodies.push((
                Body::Renew,
                Sent {
                    reply: None,
                    keys: Vec::new(),
                },
            ));
        }
        // Nothing of the process counts after its departure.
        bodies.sort_by_key(|(body, _)| *body == Body::Leave);
        let mut records = Vec::with_capacity(bodies.len());
        for (body, sent) in bodies {
            self.sequence += 1;
            self.unsettled.insert(self.sequence, sent);
            records.push(Record {
                author: author.clone(),
                incarnation,
                sequence: self.sequence,
                body,
            });
        }
        records
    }
}

fn settle(reply: Reply, verdict: Option<Verdict>) {
    if let Some((token, reply)) = reply {
        reply.do_send(AppendCompleted { token, verdict });
    }
}

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Appends what waits unless an append is under way.
    pub(super) fn flush(&mut self, ctx: &mut Context<Self>) {
        if self.outbox.sending || !self.ready {
            return;
        }
        if self.outbox.batch.is_none() {
            if self.wait_for_pace(ctx) {
                return;
            }
            self.make_batch();
        }
        let Some(batch) = self.outbox.batch.clone() else {
            return;
        };
        self.pace.note(clock::now());
        self.outbox.sending = true;
        let client = self.client.clone();
        async move { client.append(Stream::Main, batch).await }
            .into_actor(self)
            .map(|result, act, ctx| {
                if result.is_ok() {
                    act.counters.appends.add(1, &[]);
                    act.outbox.sending = false;
                    act.outbox.batch = None;
                    act.outbox.tell_departure();
                    act.flush(ctx);
                } else {
                    act.counters.failures.add(1, &[]);
                    ctx.run_later(RETRY_WAIT, |act, ctx| {
                        act.outbox.sending = false;
                        act.outbox.drop_read_batch();
                        act.flush(ctx);
                    });
                }
            })
            .spawn(ctx);
    }

    fn make_batch(&mut self) {
        let keys = self.waiting.take();
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
                Err(problem) => warn!(self.logger, "record is refused"; "error" => %problem),
            }
        }
        match encode_batch(&batch) {
            Ok(bytes) => self.outbox.batch = Some(bytes),
            Err(problem) => warn!(self.logger, "batch is refused"; "error" => %problem),
        }
    }

    /// Tells the author the verdict on an own record; returns won keys that nobody waits for.
    pub(super) fn settle(
        &mut self,
        sequence: ids::Sequence,
        verdict: &Verdict,
        won: &[ids::IdempotencyKey],
    ) -> Vec<ids::IdempotencyKey> {
        // A repeated append was settled at its first appearance.
        if *verdict == Verdict::Duplicate {
            return Vec::new();
        }
        let Some(sent) = self.outbox.unsettled.remove(&sequence) else {
            return Vec::new();
        };
        settle(sent.reply, Some(verdict.clone()));
        let state = &self.state;
        let claim = |key| {
            if won.contains(&key) {
                return gate::Claim::Won;
            }
            match state.keys.status(key, state.log_time) {
                KeyStatus::Claimed => gate::Claim::Lost,
                KeyStatus::Expired => gate::Claim::Expired,
                // The whole record was rejected, so nobody owns the key.
                KeyStatus::Free => gate::Claim::Failed(Refusal::Stale),
            }
        };
        self.waiting.settle(&sent.keys, claim)
    }
}
