use actix::{Handler, MessageResult};
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use serde_json::{Value, json};

use super::Shard;
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
        MessageResult(json!({
            "active": self.is_active,
            "leader": self.election.leader().map(ToString::to_string),
            "leads": counts.map(Value::Object),
            "jobs": self.job_index.jobs().count(),
            "fresh": self.is_fresh(),
        }))
    }
}
