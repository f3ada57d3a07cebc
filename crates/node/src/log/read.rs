//! Reading of the log page by page, and replay of its records.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, WrapFuture};
use opentelemetry::KeyValue;
use persimmongate_core::record::{self, Record};
use persimmongate_core::state::{Change, Verdict};
use persimmongate_wire::log::{Entry, Page, decode_record};
use slog::{info, warn};

use super::follower::Follower;
use crate::clock;
use crate::errors::Result;

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Reads the next page, processes it and reads on, for as long as the actor runs.
    pub(super) fn read_next_page(&mut self, ctx: &mut Context<Self>) {
        let client = self.client.clone();
        let (stream, next_offset) = self.read_position();
        async move { client.read(stream, next_offset).await }
            .into_actor(self)
            .map(|result: Result<Page>, act, ctx| match result {
                Ok(page) => {
                    if act.snapshot_search.is_some() {
                        act.search_page(&page);
                    } else {
                        act.apply_page(&page, ctx);
                    }
                    act.read_next_page(ctx);
                }
                Err(error) => {
                    act.counters.failures.add(1, &[]);
                    if !act.is_log_down {
                        act.is_log_down = true;
                        warn!(act.logger, "log read failed"; "error" => %error);
                    }
                    ctx.run_later(RETRY_DELAY, Self::read_next_page);
                }
            })
            .spawn(ctx);
    }

    fn apply_page(&mut self, page: &Page, ctx: &mut Context<Self>) {
        let mut changes = Vec::new();
        let mut unused_keys = Vec::new();
        let mut verdicts = Vec::new();
        if self.detect_gap(page) {
            return;
        }
        for entry in &page.entries {
            // A page requested before a peer's state was taken over may be older than that state.
            if entry.offset < self.state.next_offset {
                continue;
            }
            if let Some(verdict) = self.apply_entry(entry, &mut changes) {
                verdicts.push(verdict);
            }
        }
        let is_at_end = self.state.next_offset >= page.end_offset;
        let has_caught_up = is_at_end && (self.is_log_down || !self.is_ready);
        if is_at_end {
            self.caught_up_at = Some(clock::now());
            self.is_log_down = false;
        }
        if is_at_end && !self.is_ready {
            self.is_ready = true;
            info!(self.logger, "caught up with the log"; "next" => self.state.next_offset);
            changes = self.state.changes();
        }
        if self.is_ready && (!changes.is_empty() || has_caught_up) {
            self.publish(changes, has_caught_up);
        }
        for (sequence, verdict, won_keys) in verdicts {
            unused_keys.extend(self.deliver_verdict(sequence, &verdict, &won_keys));
        }
        for key in unused_keys {
            self.outbox.push_outcome(key, record::Completion::NotRun);
        }
        if is_at_end {
            self.rejoin_if_removed();
            self.snapshot_if_due(ctx);
        }
        self.flush(ctx);
    }

    /// Applies one record; for a record of this process, returns its sequence number, the verdict
    /// and the idempotency keys that it won.
    fn apply_entry(
        &mut self,
        entry: &Entry,
        changes: &mut Vec<Change>,
    ) -> Option<(u64, Verdict, Vec<u128>)> {
        let record: Record = match decode_record(&entry.record) {
            Ok(record) => record,
            Err(error) => {
                self.counters
                    .skipped
                    .add(1, &[KeyValue::new("list", "log")]);
                // Every process skips the same bytes, so their states stay equal.
                warn!(self.logger, "malformed record skipped"; "offset" => entry.offset,
                    "error" => %error);
                self.state.next_offset = entry.offset + 1;
                return None;
            }
        };
        let first_change = changes.len();
        let verdict = self
            .state
            .apply(entry.offset, entry.appended_at(), &record, changes);
        let mut breaches = Vec::new();
        self.monitor
            .observe(&self.state, &record.body, &verdict, &mut breaches);
        self.breach_reporter.report(&breaches);
        if let Verdict::Rejected(_) = verdict {
            self.counters.rejected.add(1, &[]);
        }
        let is_own =
            record.author == self.options.instance && record.incarnation == self.incarnation;
        if !is_own {
            return None;
        }
        let won_keys = changes[first_change..]
            .iter()
            .find_map(|change| match change {
                Change::Keys(_, won_keys) => Some(won_keys.clone()),
                _ => None,
            });
        Some((record.sequence, verdict, won_keys.unwrap_or_default()))
    }

    /// Joins again if other members removed this process, for instance after it was suspended.
    fn rejoin_if_removed(&mut self) {
        let member = self.state.members.get(&self.options.instance);
        let is_member = member.is_some_and(|member| member.incarnation == self.incarnation);
        if !is_member && !self.outbox.is_joining() {
            self.join();
        }
    }
}
