//! Whose the jobs of a shard are, where the configuration has accounts.

use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context};
use persimmongate_core::account::Caller;
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::journal::Record;
use persimmongate_node::clock;
use slog::warn;

use super::Shard;
use crate::platform::Platform;

/// Time limit of the repeated record of an acceptance.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(5);

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Checks if the configuration has accounts.
    pub(super) fn has_accounts(&self) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.accounts.requires_keys())
    }

    /// Checks if a job is known to belong to another account than the caller's.
    pub(super) fn is_foreign(&self, job: &ids::Job, caller: &Caller) -> bool {
        let entry = self.job_index.get(job);
        entry.is_some_and(|entry| !entry.is_owned_by(caller))
    }

    /// Records an acceptance again that a later one of another account has replaced in the log, which keeps the newest
    /// record of a key. The leader does so, as others know no detached payload.
    pub(super) fn restore_acceptance(
        &mut self,
        offset: ids::Offset,
        later: &Job,
        ctx: &mut Context<Self>,
    ) {
        let (Some(leadership), Some(entry)) = (&self.leadership, self.job_index.get(&later.id))
        else {
            return;
        };
        let Some(job) = &entry.job else {
            return;
        };
        if entry.offset >= offset || job.account == later.account {
            return;
        }
        let mut job = (**job).clone();
        if let Some(payload) = leadership.scheduler.payload(&job.id) {
            job.payload = payload;
            job.has_detached_payload = false;
        }
        warn!(self.setup.logger, "id accepted for two accounts: the first one has it"; "job" => %job.id,
            "account" => job.account.as_ref().map(ToString::to_string),
            "other" => later.account.as_ref().map(ToString::to_string), "offset" => offset);
        let id = job.id.clone();
        let deadline = clock::now() + RESTORE_TIMEOUT;
        let recorded = self.record(Record::Accepted(Box::new(job)), deadline, ctx);
        ctx.spawn(recorded.map(move |recorded, act: &mut Self, _| {
            if let Err(answer) = recorded {
                warn!(act.setup.logger, "acceptance not restored"; "job" => %id, "answer" => ?answer);
            }
        }));
    }
}
