//! Appends of operators, each waited for until the fold told its verdict.

use std::time::Duration;

use actix::{Actor, ActorContext, Context, Handler, MessageResult};
use persimmongate_core::record::Body;
use persimmongate_core::state::Verdict;
use persimmongate_node::log::{Append, AppendCompleted};
use tokio::sync::oneshot;

use super::LogFollower;

/// Time that an operator's record has to be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Appends a record and gets its verdict, nothing when the log did not tell it in time.
pub(super) async fn append_and_wait(follower: &LogFollower, body: Body) -> Option<Verdict> {
    let (sender, verdict) = oneshot::channel();
    let reply = Once(Some(sender)).start().recipient();
    follower.do_send(Append {
        token: 0,
        body,
        reply,
    });
    let settled = actix_rt::time::timeout(SETTLE_TIMEOUT, verdict).await;
    settled.ok().and_then(Result::ok).flatten()
}

/// `Once` passes one verdict on to a waiting call.
struct Once(Option<oneshot::Sender<Option<Verdict>>>);

impl Actor for Once {
    type Context = Context<Self>;
}

impl Handler<AppendCompleted> for Once {
    type Result = MessageResult<AppendCompleted>;

    fn handle(&mut self, settled: AppendCompleted, ctx: &mut Self::Context) -> Self::Result {
        if let Some(sender) = self.0.take() {
            // A call that timed out has nobody to tell.
            let _ = sender.send(settled.verdict);
        }
        ctx.stop();
        MessageResult(())
    }
}
