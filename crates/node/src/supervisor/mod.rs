//! Restarts of failed children, with a limit.
//!
//! actix's own supervisor doesn't restart an actor whose handler panicked: its mailbox stays
//! closed. Here each child holds a [`Guard`]; dropping it, by a stop or by a panic, tells the
//! parent, which makes a new child. Too many restarts in a period end the process.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient, ResponseActFuture,
    ResponseFuture, WrapFuture,
};
use persimmongate_core::map::Map;
use slog::{Logger, error, info, warn};

use crate::boot;
use crate::clock;
use crate::errors::Result;

/// Exit code of a process whose children failed too often.
pub const EXIT_FAILED: i32 = 70;

/// `Limit` is how many restarts a child may need in a period.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Restarts allowed.
    pub restarts: usize,
    /// Period in which they are counted.
    pub period: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            restarts: 5,
            period: Duration::from_secs(10),
        }
    }
}

/// `Tree` makes the children of one supervisor.
pub trait Tree: Sized + Unpin + 'static {
    /// Names the children.
    type Child: Copy + Debug + Eq + Hash + Send + Unpin + 'static;

    /// Gets the children in the order in which they are started.
    fn children(&self) -> Vec<Self::Child>;

    /// Starts a child and tells its siblings where it is.
    ///
    /// # Errors
    ///
    /// Returns an error when the child can't be started; it counts as a failure of the child.
    fn start(&mut self, child: Self::Child, guard: Guard<Self::Child>) -> Result<()>;

    /// Finishes what is under way before the process ends.
    fn leave(&mut self) -> ResponseFuture<()>;
}

/// `Leave` ends the process after what is under way.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leave;

/// `Ended` tells the parent that a child is gone.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Ended<C> {
    child: C,
    start: u64,
}

/// `Guard` is held by a child as long as it runs.
#[derive(Debug)]
pub struct Guard<C: Copy + Send + 'static> {
    child: C,
    start: u64,
    parent: Recipient<Ended<C>>,
}

impl<C: Copy + Send + 'static> Drop for Guard<C> {
    fn drop(&mut self) {
        self.parent.do_send(Ended {
            child: self.child,
            start: self.start,
        });
    }
}

/// `Supervisor` is the parent of a set of children.
pub struct Supervisor<T: Tree> {
    tree: T,
    limit: Limit,
    logger: Logger,
    /// Number of the latest start of each child.
    starts: Map<T::Child, u64>,
    /// Times of the latest failures of each child.
    failures: Map<T::Child, VecDeque<Instant>>,
    leaving: bool,
}

impl<T: Tree> Supervisor<T> {
    /// Makes a supervisor; its children start with it.
    pub fn new(tree: T, limit: Limit, logger: Logger) -> Self {
        Self {
            tree,
            limit,
            logger,
            starts: Map::default(),
            failures: Map::default(),
            leaving: false,
        }
    }

    fn start_child(&mut self, child: T::Child, ctx: &mut Context<Self>) {
        let start = self.starts.entry(child).or_default();
        *start += 1;
        let guard = Guard {
            child,
            start: *start,
            parent: ctx.address().recipient(),
        };
        // A failed start drops the guard, and so reports itself.
        if let Err(problem) = self.tree.start(child, guard) {
            error!(self.logger, "child did not start"; "child" => ?child, "error" => %problem);
        }
    }

    /// Notes a failure and gets whether the limit still allows a restart.
    fn may_restart(&mut self, child: T::Child) -> bool {
        let now = clock::now();
        let failures = self.failures.entry(child).or_default();
        failures.push_back(now);
        while failures
            .front()
            .is_some_and(|at| now.duration_since(*at) > self.limit.period)
        {
            failures.pop_front();
        }
        failures.len() <= self.limit.restarts
    }
}

impl<T: Tree> Actor for Supervisor<T> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        for child in self.tree.children() {
            self.start_child(child, ctx);
        }
    }
}

impl<T: Tree> Handler<Ended<T::Child>> for Supervisor<T> {
    type Result = ();

    fn handle(&mut self, ended: Ended<T::Child>, ctx: &mut Self::Context) {
        if self.leaving || self.starts.get(&ended.child) != Some(&ended.start) {
            return;
        }
        if !self.may_restart(ended.child) {
            error!(self.logger, "child failed too often"; "child" => ?ended.child);
            actix_rt::System::current().stop_with_code(EXIT_FAILED);
            return;
        }
        warn!(self.logger, "child restarts"; "child" => ?ended.child);
        self.start_child(ended.child, ctx);
    }
}

impl<T: Tree> Handler<Leave> for Supervisor<T> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Leave, _: &mut Self::Context) -> Self::Result {
        info!(self.logger, "leaves");
        self.leaving = true;
        let left = self.tree.leave().into_actor(self);
        Box::pin(left.map(|(), act, _| {
            info!(act.logger, "ends");
            actix_rt::System::current().stop();
        }))
    }
}

/// Tells a supervisor to leave when the process is told to end.
pub fn leave_on_signal<T: Tree>(supervisor: actix::Addr<Supervisor<T>>) {
    actix_rt::spawn(async move {
        if boot::stopped().await.is_ok() {
            // A supervisor that is gone has ended the process already.
            let _ = supervisor.send(Leave).await;
        }
    });
}
