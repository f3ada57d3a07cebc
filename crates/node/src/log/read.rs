//! Reads of the log, one page after the other.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, ContextFutureSpawner, WrapFuture};
use persimmongate_core::record::{self, Record};
use persimmongate_core::state::{Change, Verdict};
use persimmongate_wire::log::{Entry, Page, decode_record};
use slog::{info, warn};

use super::follower::Follower;
use crate::clock;
use crate::errors::Result;

/// Time before a read that failed is repeated.
const RETRY_WAIT: Duration = Duration::from_millis(200);

impl<C: Copy + Send + Unpin + 'static> Follower<C> {
    /// Reads the next page, and the one after it, for as long as the actor runs.
    pub(super) fn read(&mut self, ctx: &mut Context<Self>) {
        let client = self.client.clone();
        let (stream, next) = self.wanted();
        async move { client.read(stream, next).await }
            .into_actor(self)
            .map(|result: Result<Page>, act, ctx| match result {
                Ok(page) => {
                    if act.search.is_some() {
                        act.search_page(&page);
                    } else {
                        act.fold(&page, ctx);
                    }
                    act.read(ctx);
                }
                Err(problem) => {
                    act.counters.failures.add(1, &[]);
                    if !act.down {
                        act.down = true;
                        warn!(act.logger, "log can't be read"; "error" => %problem);
                    }
                    ctx.run_later(RETRY_WAIT, Self::read);
                }
            })
            .spawn(ctx);
    }

    fn fold(&mut self, page: &Page, ctx: &mut Context<Self>) {
        let mut changes = Vec::new();
        let mut unused = Vec::new();
        let mut settled = Vec::new();
        if self.find_gap(page) {
            return;
        }
        for item in &page.entries {
            // A page read before a peer's fold was taken over may be older than the fold.
            if item.offset < self.state.next_offset {
                continue;
            }
            if let Some(own) = self.fold_item(item, &mut changes) {
                settled.push(own);
            }
        }
        let caught_up = self.state.next_offset >= page.end_offset;
        let caught = caught_up && (self.down || !self.ready);
        if caught_up {
            self.heard = Some(clock::now());
            self.down = false;
        }
        if caught_up && !self.ready {
            self.ready = true;
            info!(self.logger, "log was read up to its end"; "next" => self.state.next_offset);
            changes = self.state.changes();
        }
        if self.ready && (!changes.is_empty() || caught) {
            self.publish(changes, caught);
        }
        for (sequence, verdict, won) in settled {
            unused.extend(self.settle(sequence, &verdict, &won));
        }
        for key in unused {
            self.outbox.end(key, record::End::NotRun);
        }
        if caught_up {
            self.rejoin_if_removed();
            self.snapshot_if_due(ctx);
        }
        self.flush(ctx);
    }

    /// Folds one record; returns the verdict when it is an own one.
    fn fold_item(
        &mut self,
        item: &Entry,
        changes: &mut Vec<Change>,
    ) -> Option<(u64, Verdict, Vec<u128>)> {
        let record: Record = match decode_record(&item.record) {
            Ok(record) => record,
            Err(problem) => {
                // Every process refuses the same bytes, so the folds stay equal.
                warn!(self.logger, "record is malformed"; "offset" => item.offset,
                    "error" => %problem);
                self.state.next_offset = item.offset + 1;
                return None;
            }
        };
        let from = changes.len();
        let verdict = self
            .state
            .apply(item.offset, item.appended_at(), &record, changes);
        let mut breaches = Vec::new();
        self.watch
            .observe(&self.state, &record.body, &verdict, &mut breaches);
        self.alarm.raise(&breaches);
        if let Verdict::Rejected(_) = verdict {
            self.counters.rejected.add(1, &[]);
        }
        let own = record.author == self.options.instance && record.incarnation == self.incarnation;
        if !own {
            return None;
        }
        let won = changes[from..].iter().find_map(|change| match change {
            Change::Keys(_, won) => Some(won.clone()),
            _ => None,
        });
        Some((record.sequence, verdict, won.unwrap_or_default()))
    }

    /// Joins again when others removed this process, for instance after it was frozen.
    fn rejoin_if_removed(&mut self) {
        let member = self.state.members.get(&self.options.instance);
        let current = member.is_some_and(|member| member.incarnation == self.incarnation);
        if !current && !self.outbox.is_joining() {
            self.join();
        }
    }
}
