//! Restarts of failed children, with a limit.
//!
//! actix's own supervisor doesn't restart an actor whose handler panicked: its mailbox stays
//! closed. Here each child holds a [`Guard`]; dropping it, by a stop or by a panic, tells the
//! parent, which makes a new child. A child that keeps failing is restarted ever later, and too
//! many restarts in a period end the process.
//!
//! Children that make no sense without a failed one are stopped and started again with it.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::hash::Hash;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, Recipient,
    ResponseActFuture, ResponseFuture, WrapFuture,
};
use persimmongate_core::map::Map;
use slog::{Logger, error, info, warn};

use crate::clock;
use crate::errors::Result;

/// Exit code of a process whose children failed too often.
pub const EXIT_SUPERVISION_FAILED: i32 = 70;

/// `Limit` is how many restarts a child may need in a period.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Restarts allowed.
    pub max_restarts: usize,
    /// Period in which they are counted.
    pub period: Duration,
    /// Wait before the second restart in a period; it doubles with each further one.
    pub initial_backoff: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            max_restarts: 5,
            period: Duration::from_secs(10),
            initial_backoff: Duration::from_millis(100),
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

    /// Gets the children that are stopped and started again when a child failed.
    fn dependents(&self, child: Self::Child) -> Vec<Self::Child>;

    /// Stops a child; the future ends when nothing of it runs any more.
    fn stop(&mut self, child: Self::Child) -> ResponseFuture<()>;

    /// Finishes what is under way before the process ends.
    fn shut_down(&mut self) -> ResponseFuture<()>;
}

/// Stops a child by a message and waits until it was handled.
pub fn stop<A, M>(child: Option<Addr<A>>, message: M) -> ResponseFuture<()>
where
    A: Actor<Context = Context<A>> + Handler<M>,
    M: Message + Send + 'static,
    M::Result: Send,
{
    Box::pin(async move {
        if let Some(child) = child {
            // A child that is gone needs no stop.
            let _ = child.send(message).await;
        }
    })
}

/// `ShutDown` ends the process after what is under way.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ShutDown;

/// `ChildExited` tells the parent that a child is gone.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct ChildExited<C> {
    child: C,
    start: u64,
}

/// `Guard` is held by a child as long as it runs.
#[derive(Debug)]
pub struct Guard<C: Copy + Send + 'static> {
    child: C,
    start: u64,
    parent: Recipient<ChildExited<C>>,
}

impl<C: Copy + Send + 'static> Drop for Guard<C> {
    fn drop(&mut self) {
        self.parent.do_send(ChildExited {
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

    /// Gets the number of a child's next start; the ends of older starts are stale from now on.
    fn plan(&mut self, child: T::Child) -> u64 {
        let start = self.starts.entry(child).or_default();
        *start += 1;
        *start
    }

    fn start_child(&mut self, child: T::Child, start: u64, ctx: &mut Context<Self>) {
        // A later failure may have planned another start meanwhile.
        if self.leaving || self.starts.get(&child) != Some(&start) {
            return;
        }
        let guard = Guard {
            child,
            start,
            parent: ctx.address().recipient(),
        };
        // A failed start drops the guard, and so reports itself.
        if let Err(problem) = self.tree.start(child, guard) {
            error!(self.logger, "child did not start"; "child" => ?child, "error" => %problem);
        }
    }

    /// Stops the children linked to a failed one, then starts all of them after a wait.
    fn restart(&mut self, failed: T::Child, wait: Duration, ctx: &mut Context<Self>) {
        let linked = self.tree.dependents(failed);
        let mut children = self.tree.children();
        children.retain(|child| *child == failed || linked.contains(child));
        let mut planned = Vec::new();
        for child in children {
            planned.push((child, self.plan(child)));
        }
        let stops: Vec<_> = linked.iter().map(|child| self.tree.stop(*child)).collect();
        let ready = async move {
            for stop in stops {
                stop.await;
            }
            actix_rt::time::sleep(wait).await;
        };
        ctx.spawn(ready.into_actor(self).map(move |(), act, ctx| {
            for (child, start) in planned {
                act.start_child(child, start, ctx);
            }
        }));
    }

    /// Notes a failure and gets the wait before the restart, nothing past the limit.
    fn note_failure(&mut self, child: T::Child) -> Option<Duration> {
        let now = clock::now();
        let failures = self.failures.entry(child).or_default();
        failures.push_back(now);
        while failures
            .front()
            .is_some_and(|at| now.duration_since(*at) > self.limit.period)
        {
            failures.pop_front();
        }
        if failures.len() > self.limit.max_restarts {
            return None;
        }
        let doublings = u32::try_from(failures.len()).unwrap_or(u32::MAX);
        Some(match doublings {
            0 | 1 => Duration::ZERO,
            more => self.limit.initial_backoff * 2_u32.saturating_pow(more - 2),
        })
    }
}

impl<T: Tree> Actor for Supervisor<T> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        for child in self.tree.children() {
            let start = self.plan(child);
            self.start_child(child, start, ctx);
        }
    }
}

impl<T: Tree> Drop for Supervisor<T> {
    fn drop(&mut self) {
        // A supervisor that panicked leaves children without a parent.
        if let (false, Some(system)) = (self.leaving, actix_rt::System::try_current()) {
            system.stop_with_code(EXIT_SUPERVISION_FAILED);
        }
    }
}

impl<T: Tree> Handler<ChildExited<T::Child>> for Supervisor<T> {
    type Result = ();

    fn handle(&mut self, ended: ChildExited<T::Child>, ctx: &mut Self::Context) {
        if self.leaving || self.starts.get(&ended.child) != Some(&ended.start) {
            return;
        }
        let Some(wait) = self.note_failure(ended.child) else {
            error!(self.logger, "child failed too often"; "child" => ?ended.child);
            actix_rt::System::current().stop_with_code(EXIT_SUPERVISION_FAILED);
            return;
        };
        warn!(self.logger, "child restarts"; "child" => ?ended.child);
        self.restart(ended.child, wait, ctx);
    }
}

impl<T: Tree> Handler<ShutDown> for Supervisor<T> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: ShutDown, _: &mut Self::Context) -> Self::Result {
        info!(self.logger, "leaves");
        self.leaving = true;
        let left = self.tree.shut_down().into_actor(self);
        Box::pin(left.map(|(), act, _| {
            info!(act.logger, "ends");
            actix_rt::System::current().stop();
        }))
    }
}
