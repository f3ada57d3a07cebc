//! Supervision of child actors: restarts of failed ones, with backoff and a limit.
//!
//! actix's own supervisor doesn't restart an actor whose handler panicked: its mailbox stays
//! closed. Here each child holds a [`Guard`]; dropping it, by a stop or by a panic, notifies the
//! supervisor, which starts a new child. The delay before a restart doubles with each failure in a
//! period, and too many failures in a period end the process.
//!
//! Children that can't work without a failed one are stopped and restarted with it.

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

/// Exit code of a process whose children failed too often, or whose supervisor panicked.
pub const EXIT_SUPERVISION_FAILED: i32 = 70;

/// `Policy` limits the restarts of each child in a period and spaces them out.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Maximum number of restarts in a period; one more failure ends the process.
    pub max_restarts: usize,
    /// Length of the sliding period in which failures are counted.
    pub period: Duration,
    /// Delay before the second restart in a period, which doubles with each further one; the first
    /// restart is immediate.
    pub initial_backoff: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_restarts: 5,
            period: Duration::from_secs(10),
            initial_backoff: Duration::from_millis(100),
        }
    }
}

/// `ChildSet` is the set of children that a supervisor starts, restarts and stops.
pub trait ChildSet: Sized + Unpin + 'static {
    /// Identifies a child.
    type Child: Copy + Debug + Eq + Hash + Send + Unpin + 'static;

    /// Returns the children in the order in which they are started.
    fn children(&self) -> Vec<Self::Child>;

    /// Starts a child and passes its address to its siblings.
    ///
    /// # Errors
    ///
    /// Returns an error when the child can't be started; it counts as a failure of the child.
    fn start(&mut self, child: Self::Child, guard: Guard<Self::Child>) -> Result<()>;

    /// Returns the children that are stopped and restarted when a child fails.
    fn dependents(&self, child: Self::Child) -> Vec<Self::Child>;

    /// Stops a child; the future resolves once nothing of it runs any more.
    fn stop(&mut self, child: Self::Child) -> ResponseFuture<()>;

    /// Shuts down gracefully; the future resolves once the work in flight is finished.
    fn shut_down(&mut self) -> ResponseFuture<()>;
}

/// Sends a child the message that stops it; the future resolves once that is handled.
pub fn stop<A, M>(child: Option<Addr<A>>, message: M) -> ResponseFuture<()>
where
    A: Actor<Context = Context<A>> + Handler<M>,
    M: Message + Send + 'static,
    M::Result: Send,
{
    Box::pin(async move {
        if let Some(child) = child {
            // An error means that the child has already stopped.
            let _ = child.send(message).await;
        }
    })
}

/// `Shutdown` ends the process gracefully, after the work in flight.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Shutdown;

/// `Exited` notifies the supervisor that a child has stopped or could not be started.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Exited<C> {
    child: C,
    start_number: u64,
}

/// `Guard` is held by a child while it runs; dropping it notifies the supervisor.
#[derive(Debug)]
pub struct Guard<C: Copy + Send + 'static> {
    child: C,
    start_number: u64,
    parent: Recipient<Exited<C>>,
}

impl<C: Copy + Send + 'static> Drop for Guard<C> {
    fn drop(&mut self) {
        self.parent.do_send(Exited {
            child: self.child,
            start_number: self.start_number,
        });
    }
}

/// `Supervisor` starts a set of children and restarts those that fail.
pub struct Supervisor<T: ChildSet> {
    child_set: T,
    policy: Policy,
    logger: Logger,
    /// Number of the latest start of each child.
    start_numbers: Map<T::Child, u64>,
    /// Times of the latest failures of each child.
    failures: Map<T::Child, VecDeque<Instant>>,
    is_shutting_down: bool,
}

impl<T: ChildSet> Supervisor<T> {
    /// Creates a supervisor, which starts its children when it is started itself.
    pub fn new(child_set: T, policy: Policy, logger: Logger) -> Self {
        Self {
            child_set,
            policy,
            logger,
            start_numbers: Map::default(),
            failures: Map::default(),
            is_shutting_down: false,
        }
    }

    /// Returns the number of a child's next start; exits of earlier starts are ignored from now on.
    fn next_start_number(&mut self, child: T::Child) -> u64 {
        let start_number = self.start_numbers.entry(child).or_default();
        *start_number += 1;
        *start_number
    }

    fn start_child(&mut self, child: T::Child, start_number: u64, ctx: &mut Context<Self>) {
        // A later failure may have scheduled another start meanwhile.
        if self.is_shutting_down || self.start_numbers.get(&child) != Some(&start_number) {
            return;
        }
        let guard = Guard {
            child,
            start_number,
            parent: ctx.address().recipient(),
        };
        // A failed start drops the guard, and so counts as an exit of the child.
        if let Err(error) = self.child_set.start(child, guard) {
            error!(self.logger, "child could not be started"; "child" => ?child,
                "error" => %error);
        }
    }

    /// Stops the dependents of a failed child, then starts all of them after the delay.
    fn restart(&mut self, failed: T::Child, delay: Duration, ctx: &mut Context<Self>) {
        let dependents = self.child_set.dependents(failed);
        let mut children = self.child_set.children();
        children.retain(|child| *child == failed || dependents.contains(child));
        let mut pending_starts = Vec::new();
        for child in children {
            pending_starts.push((child, self.next_start_number(child)));
        }
        let stops: Vec<_> = dependents
            .iter()
            .map(|child| self.child_set.stop(*child))
            .collect();
        let stopped = async move {
            for stop in stops {
                stop.await;
            }
            actix_rt::time::sleep(delay).await;
        };
        ctx.spawn(stopped.into_actor(self).map(move |(), act, ctx| {
            for (child, start_number) in pending_starts {
                act.start_child(child, start_number, ctx);
            }
        }));
    }

    /// Records a failure; returns the delay before the restart, or `None` above the limit.
    fn record_failure(&mut self, child: T::Child) -> Option<Duration> {
        let now = clock::now();
        let failures = self.failures.entry(child).or_default();
        failures.push_back(now);
        while failures
            .front()
            .is_some_and(|at| now.duration_since(*at) > self.policy.period)
        {
            failures.pop_front();
        }
        if failures.len() > self.policy.max_restarts {
            return None;
        }
        let failure_count = u32::try_from(failures.len()).unwrap_or(u32::MAX);
        Some(match failure_count {
            0 | 1 => Duration::ZERO,
            count => self.policy.initial_backoff * 2_u32.saturating_pow(count - 2),
        })
    }
}

impl<T: ChildSet> Actor for Supervisor<T> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        for child in self.child_set.children() {
            let start_number = self.next_start_number(child);
            self.start_child(child, start_number, ctx);
        }
    }
}

impl<T: ChildSet> Drop for Supervisor<T> {
    fn drop(&mut self) {
        // After a panic of the supervisor, nothing would restart its children.
        if let (false, Some(system)) = (self.is_shutting_down, actix_rt::System::try_current()) {
            system.stop_with_code(EXIT_SUPERVISION_FAILED);
        }
    }
}

impl<T: ChildSet> Handler<Exited<T::Child>> for Supervisor<T> {
    type Result = ();

    fn handle(&mut self, exited: Exited<T::Child>, ctx: &mut Self::Context) {
        if self.is_shutting_down
            || self.start_numbers.get(&exited.child) != Some(&exited.start_number)
        {
            return;
        }
        let Some(delay) = self.record_failure(exited.child) else {
            error!(self.logger, "child exceeded its restart limit, ending the process";
                "child" => ?exited.child);
            actix_rt::System::current().stop_with_code(EXIT_SUPERVISION_FAILED);
            return;
        };
        warn!(self.logger, "child exited, restarting it"; "child" => ?exited.child);
        self.restart(exited.child, delay, ctx);
    }
}

impl<T: ChildSet> Handler<Shutdown> for Supervisor<T> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Shutdown, _: &mut Self::Context) -> Self::Result {
        info!(self.logger, "shutting down");
        self.is_shutting_down = true;
        let shutdown = self.child_set.shut_down().into_actor(self);
        Box::pin(shutdown.map(|(), act, _| {
            info!(act.logger, "shutdown complete");
            actix_rt::System::current().stop();
        }))
    }
}
