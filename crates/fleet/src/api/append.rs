//! Appends records for operators' calls and waits for the verdict on each.

use std::time::Duration;

use actix::{Actor, ActorContext, Context, Handler, MessageResult};
use persimmongate_core::record::Body;
use persimmongate_core::state::Verdict;
use persimmongate_node::log::{Append, Appended};
use tokio::sync::oneshot;

use super::LogFollower;

/// Time limit for the verdict on an operator's record.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(5);

/// Appends a record and returns its verdict, or `None` if it was not read from the log in time.
pub(super) async fn append_and_wait(follower: &LogFollower, body: Body) -> Option<Verdict> {
    let (sender, verdict) = oneshot::channel();
    let reply = Forwarder(Some(sender)).start().recipient();
    follower.do_send(Append {
        token: 0,
        body,
        reply,
    });
    let received = actix_rt::time::timeout(VERDICT_TIMEOUT, verdict).await;
    received.ok().and_then(Result::ok).flatten()
}

/// `Forwarder` passes one verdict on to the call that waits for it.
struct Forwarder(Option<oneshot::Sender<Option<Verdict>>>);

impl Actor for Forwarder {
    type Context = Context<Self>;
}

impl Handler<Appended> for Forwarder {
    type Result = MessageResult<Appended>;

    fn handle(&mut self, completed: Appended, ctx: &mut Self::Context) -> Self::Result {
        if let Some(sender) = self.0.take() {
            // Sending fails if the call has timed out.
            let _ = sender.send(completed.verdict);
        }
        ctx.stop();
        MessageResult(())
    }
}
