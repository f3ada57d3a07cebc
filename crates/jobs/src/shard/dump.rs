use actix::{Handler, MessageResult};
use persimmongate_core::limit::{Amount, Report};
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use serde_json::{Value, json};

use super::Shard;
use super::gauge::MAX_ACCOUNTS;
use super::line::limited;
use crate::platform::Platform;

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Dump> for Shard<P, C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let counts = self.leadership.as_ref().map(|leadership| {
            let counts = leadership.scheduler.counts(clock::now()).into_iter();
            counts
                .map(|(name, count)| (name.to_owned(), json!(count)))
                .collect::<serde_json::Map<_, _>>()
        });
        let limits = self.leadership.as_ref().map(|leadership| {
            let reports = Report::top(leadership.scheduler.limits(), MAX_ACCOUNTS);
            reports.iter().map(describe).collect::<Vec<_>>()
        });
        MessageResult(json!({
            "active": self.is_active,
            "leader": self.election.leader().map(ToString::to_string),
            "leads": counts.map(Value::Object),
            "limits": limits,
            "jobs": self.job_index.jobs().count(),
            "fresh": self.is_fresh(),
        }))
    }
}

/// Returns what the dump says about an account with a limit.
fn describe(report: &Report) -> Value {
    let amount = |amount: &Amount| {
        json!({
            "millicores": limited(amount.cpu_millicores),
            "mb": limited(amount.memory_mb),
            "gpus": limited(amount.gpus),
        })
    };
    json!({
        "account": report.account.to_string(),
        "used": amount(&report.used),
        "unconfirmed": report.unconfirmed.as_ref().map(amount),
        "held_back": amount(&report.held_back),
        "allowance": amount(&report.allowance),
        "limit": amount(&report.limit),
    })
}
