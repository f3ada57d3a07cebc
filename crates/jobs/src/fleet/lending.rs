//! Lending of the units of the accounts' limits, while this process leads the fleet.

use actix::{AsyncContext, Context};
use persimmongate_core::ids;
use persimmongate_core::journal::{Record, Units};
use persimmongate_core::limit::{Action, Event};
use persimmongate_node::clock;
use slog::{debug, info};

use super::Fleet;
use crate::platform::Platform;

/// Returns the counts of lent units among the records of an append.
pub(super) fn lent_counts(records: &[Record]) -> Vec<(ids::Shard, ids::Account, Units)> {
    let counts = records.iter().filter_map(|record| match record {
        Record::Lent(shard, account, units) => Some((*shard, account.clone(), *units)),
        _ => None,
    });
    counts.collect()
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Fleet<P, C> {
    /// Applies a record about units.
    pub(super) fn apply_units(&mut self, record: Record, ctx: &mut Context<Self>) {
        self.ledger.apply(&record);
        match record {
            Record::Demand(shard, demands) => self.step_lender(Event::Demand(shard, demands), ctx),
            Record::Returned(shard, account, units) => {
                self.step_lender(Event::Returned(shard, account, units), ctx);
            }
            // What this leader has lent it knows, and what older ones have lent stands before its claim.
            _ => {}
        }
    }

    pub(super) fn step_lender(&mut self, event: Event, ctx: &mut Context<Self>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut actions = Vec::new();
        leadership.lender.step(clock::now(), event, &mut actions);
        let term = leadership.term;
        for action in actions {
            match action {
                Action::Record(records) => {
                    debug!(self.setup.logger, "units lent"; "term" => term, "records" => records.len());
                    self.record_all(records, ctx);
                }
                Action::Send(shard, records) => {
                    self.log_recalls(shard, &records);
                    self.append_requests(shard, &records, ctx);
                }
                Action::Schedule(wait) => {
                    ctx.run_later(wait, move |act, ctx| {
                        let leadership = act.leadership.as_ref();
                        if leadership.is_some_and(|leadership| leadership.term == term) {
                            act.step_lender(Event::Due, ctx);
                        }
                    });
                }
            }
        }
    }

    /// Logs the accounts of which a shard is asked to return units.
    fn log_recalls(&self, shard: ids::Shard, records: &[Record]) {
        for record in records {
            if let Record::Recall(_, recalls) = record {
                let short = recalls.iter().filter(|recall| recall.max_units.is_some());
                info!(self.setup.logger, "units of account limits recalled"; "shard" => shard,
                    "accounts" => recalls.len(), "short" => short.count());
            }
        }
    }
}
