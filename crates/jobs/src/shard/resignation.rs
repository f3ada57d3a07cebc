//! Orderly end of the leadership of a shard.

use std::time::Duration;

use actix::{ActorFutureExt, Context, Handler, ResponseActFuture, WrapFuture};
use futures_util::future::join;
use persimmongate_core::term;
use persimmongate_node::clock;

use super::{IDLE_READ_PAUSE, Resign, Shard};
use crate::leadership::{append_with_retry, resign, resignation, resignation_notice};
use crate::platform::Platform;

/// Time between the announcement of a resignation and the resignation itself: the longest pause of the
/// other processes between two reads.
const RESIGNATION_DELAY: Duration = IDLE_READ_PAUSE;

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Resign> for Shard<P, C> {
    type Result = ResponseActFuture<Self, ()>;

    /// Resigns from the shard after an announcement, on which the other processes read the log without pauses.
    fn handle(&mut self, _: Resign, ctx: &mut Self::Context) -> Self::Result {
        let node = self.setup.node.clone();
        let record = self
            .leadership
            .as_ref()
            .map(|leadership| resignation_notice(leadership.term, node));
        let Some(append) = record.and_then(|record| self.next_append(&[record])) else {
            return self.resign(ctx);
        };
        let announced = append_with_retry(
            self.setup.platform.clone(),
            append,
            Some(clock::now() + RESIGNATION_DELAY),
        );
        let announced = join(announced, actix_rt::time::sleep(RESIGNATION_DELAY)).into_actor(self);
        Box::pin(announced.then(|_, act, ctx| act.resign(ctx)))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Resigns from the shard. The record tells the others that this leader sends no more commands.
    fn resign(&mut self, ctx: &mut Context<Self>) -> ResponseActFuture<Self, ()> {
        let node = self.setup.node.clone();
        let record = self
            .leadership
            .as_ref()
            .map(|leadership| resignation(leadership.term, node));
        let append = record.and_then(|record| self.next_append(&[record]));
        self.step_election(term::Event::ShutDown, ctx);
        let (platform, logger) = (self.setup.platform.clone(), self.setup.logger.clone());
        Box::pin(resign(platform, append, logger).into_actor(self))
    }
}
