//! Replay of the records of the shard's partition.

use actix::Context;
use persimmongate_core::ids;
use persimmongate_core::journal::Record;
use persimmongate_core::limit::Notice;
use persimmongate_core::map::Map;
use persimmongate_core::sched::Event;
use persimmongate_core::term;

use super::{Observation, Shard};
use crate::cursor::{Batch, Cursor};
use crate::platform::Platform;

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    pub(super) fn apply(&mut self, cursor: &Cursor, batch: &Batch, ctx: &mut Context<Self>) {
        let mut earlier_drains = Map::default();
        if batch.is_snapshot {
            self.job_index.clear();
            earlier_drains = std::mem::take(&mut self.drains);
        }
        for entry in &batch.records {
            if let Some(record) = self.reader.read(entry) {
                self.apply_record(entry.offset, &record, ctx);
            }
        }
        // The withdrawal of a drain may be among the records that the log no longer keeps.
        earlier_drains.retain(|worker, _| !self.drains.contains_key(worker));
        for worker in earlier_drains.into_keys() {
            self.apply_record(batch.end_offset, &Record::Drain(worker, None), ctx);
        }
        if !cursor.has_reached(batch.end_offset) {
            return;
        }
        self.read_through = batch.end_offset;
        self.last_complete_read = Some(batch.sent_at);
        let read = term::Event::Read {
            sent_at: batch.sent_at,
            end: batch.end_offset,
        };
        self.step_election(read, ctx);
        self.step_scheduler(Event::TermConfirmed(batch.sent_at), ctx);
    }

    /// Applies a record of the log to the state and passes it to the election and the leader.
    fn apply_record(&mut self, offset: ids::Offset, record: &Record, ctx: &mut Context<Self>) {
        self.job_index.apply(offset, record);
        match record {
            Record::Accepted(job) => {
                self.restore_acceptance(offset, job, ctx);
                self.schedule_job(&job.id, ctx);
            }
            Record::Heartbeat(heartbeat) => {
                if heartbeat.term > 0 {
                    self.report
                        .update(&heartbeat.loads, self.leadership.is_some());
                    self.setup
                        .observer
                        .do_send(Observation::Loads(heartbeat.loads.clone()));
                }
                let heartbeat = heartbeat.clone();
                self.step_election(term::Event::Heartbeat { offset, heartbeat }, ctx);
            }
            Record::Canceled(job) => self.step_scheduler(Event::Canceled(job.clone()), ctx),
            Record::Barred(job, _) if self.job_index.is_canceled(job) => {
                self.step_scheduler(Event::Canceled(job.clone()), ctx);
            }
            Record::Drain(worker, drain) => {
                match drain {
                    Some(drain) => self.drains.insert(worker.clone(), drain.clone()),
                    None => self.drains.remove(worker),
                };
                self.step_scheduler(Event::Drain(worker.clone(), drain.is_some()), ctx);
                let observation = Observation::Drain(worker.clone(), drain.clone());
                self.setup.observer.do_send(observation);
            }
            Record::Progress(..) => self.step_election(term::Event::LeaderActive, ctx),
            // A record from before the drain does not show that the worker is drained now.
            Record::Drained(worker, _) if self.drains.contains_key(worker) => {
                self.setup
                    .observer
                    .do_send(Observation::Drained(worker.clone()));
            }
            Record::Lent(shard, account, _) | Record::Returned(shard, account, _)
                if *shard == self.setup.shard =>
            {
                self.ledger.apply(record);
                let loan = self.ledger.loan(*shard, account);
                self.step_scheduler(Event::Limit(Notice::Loan(account.clone(), loan)), ctx);
            }
            Record::Recall(shard, recalls) if *shard == self.setup.shard => {
                self.step_scheduler(Event::Limit(Notice::Recalled(recalls.clone())), ctx);
            }
            Record::Barred(..)
            | Record::Dropped(_)
            | Record::Drained(..)
            | Record::Payload(..)
            | Record::Wave(..)
            | Record::Lent(..)
            | Record::Returned(..)
            | Record::Demand(..)
            | Record::Recall(..) => {}
        }
    }
}
