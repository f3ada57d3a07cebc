//! A supervised tree of two children that reports what happens to them.

use std::time::Duration;

use actix::{Actor, ActorContext, Addr, Context, Handler, Message, ResponseFuture};
use actix_rt::{System, SystemRunner};
use persimmongate_node::errors::{Result, platform_error};
use persimmongate_node::logger;
use persimmongate_node::supervisor::{ChildSet, Guard, Policy, Supervisor, stop};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Maximum number of restarts in a period.
pub(crate) const MAX_RESTARTS: usize = 3;
/// Period in which failures are counted.
pub(crate) const PERIOD: Duration = Duration::from_secs(10);
/// Delay before the second restart.
pub(crate) const BACKOFF: Duration = Duration::from_millis(100);
/// Time that a child takes to stop, and the tree to shut down.
const STOP_DELAY: Duration = Duration::from_millis(50);

/// `Child` identifies a child; the second depends on the first.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Child {
    First,
    Second,
}

/// `Observation` is an event of a child.
#[derive(Debug)]
pub(crate) enum Observation {
    Started(Child, Addr<Probe>),
    StartFailed(Child),
    Stopped(Child),
}

/// `Fail` makes a child fail.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) enum Fail {
    Error,
    Panic,
}

/// `Ping` checks that a child answers.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Child")]
pub(crate) struct Ping;

/// `SetSibling` passes the address of its sibling to a child.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetSibling(Addr<Probe>);

/// `GetSibling` requests the address of the sibling that a child received last.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Addr<Probe>>")]
pub(crate) struct GetSibling;

/// `Close` stops a child after [`STOP_DELAY`].
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
struct Close;

/// `Probe` is a child actor.
#[derive(Debug)]
pub(crate) struct Probe {
    child: Child,
    sibling: Option<Addr<Probe>>,
    _guard: Guard<Child>,
}

impl Actor for Probe {
    type Context = Context<Self>;
}

impl Handler<Fail> for Probe {
    type Result = ();

    fn handle(&mut self, fail: Fail, ctx: &mut Self::Context) {
        match fail {
            Fail::Error => ctx.stop(),
            Fail::Panic => panic!("the child was told to panic"),
        }
    }
}

impl Handler<Ping> for Probe {
    type Result = actix::MessageResult<Ping>;

    fn handle(&mut self, _: Ping, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.child)
    }
}

impl Handler<SetSibling> for Probe {
    type Result = ();

    fn handle(&mut self, SetSibling(sibling): SetSibling, _: &mut Self::Context) {
        self.sibling = Some(sibling);
    }
}

impl Handler<GetSibling> for Probe {
    type Result = actix::MessageResult<GetSibling>;

    fn handle(&mut self, _: GetSibling, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.sibling.clone())
    }
}

impl Handler<Close> for Probe {
    type Result = actix::ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Close, _: &mut Self::Context) -> Self::Result {
        use actix::{ActorFutureExt, WrapFuture};
        let wait = actix_rt::time::sleep(STOP_DELAY).into_actor(self);
        Box::pin(wait.map(|(), _, ctx| ctx.stop()))
    }
}

/// `Fixture` starts and stops the children and sends observations of both.
pub(crate) struct Fixture {
    observations: UnboundedSender<Observation>,
    first: Option<Addr<Probe>>,
    second: Option<Addr<Probe>>,
    /// Whether each start of the first child fails.
    fails_to_start: bool,
}

impl ChildSet for Fixture {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![Child::Second, Child::First]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> Result<()> {
        if self.fails_to_start && child == Child::First {
            self.observations
                .send(Observation::StartFailed(child))
                .unwrap();
            return Err(platform_error(&"refused"));
        }
        let probe = Probe {
            child,
            sibling: None,
            _guard: guard,
        };
        let probe = probe.start();
        match child {
            Child::First => self.first = Some(probe.clone()),
            Child::Second => self.second = Some(probe.clone()),
        }
        if let (Some(first), Some(second)) = (&self.first, &self.second) {
            second.do_send(SetSibling(first.clone()));
        }
        self.observations
            .send(Observation::Started(child, probe))
            .unwrap();
        Ok(())
    }

    fn dependents(&self, child: Child) -> Vec<Child> {
        match child {
            Child::First => vec![Child::Second],
            Child::Second => Vec::new(),
        }
    }

    fn stop(&mut self, child: Child) -> ResponseFuture<()> {
        let probe = match child {
            Child::First => self.first.take(),
            Child::Second => self.second.take(),
        };
        let observations = self.observations.clone();
        Box::pin(async move {
            stop(probe, Close).await;
            observations.send(Observation::Stopped(child)).unwrap();
        })
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        let observations = self.observations.clone();
        Box::pin(async move {
            actix_rt::time::sleep(STOP_DELAY).await;
            observations
                .send(Observation::Stopped(Child::First))
                .unwrap();
        })
    }
}

/// Makes a system with a paused clock, which advances when all tasks wait.
pub(crate) fn paused_system() -> SystemRunner {
    System::with_tokio_rt(|| {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap()
    })
}

/// Starts a tree; returns its supervisor and a channel of observations.
pub(crate) fn start(
    fails_to_start: bool,
) -> (Addr<Supervisor<Fixture>>, UnboundedReceiver<Observation>) {
    let (observations, receiver) = unbounded_channel();
    let tree = Fixture {
        observations,
        first: None,
        second: None,
        fails_to_start,
    };
    let limit = Policy {
        max_restarts: MAX_RESTARTS,
        period: PERIOD,
        initial_backoff: BACKOFF,
    };
    (
        Supervisor::new(tree, limit, logger::discard()).start(),
        receiver,
    )
}

/// Waits for the next start of a child, dropping all other observations.
pub(crate) async fn next_started(
    observations: &mut UnboundedReceiver<Observation>,
    child: Child,
) -> Addr<Probe> {
    loop {
        if let Some(Observation::Started(started, probe)) = observations.recv().await
            && started == child
        {
            return probe;
        }
    }
}
