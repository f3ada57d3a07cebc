//! A tree of two children that tells what happens to it.

use std::time::Duration;

use actix::{Actor, ActorContext, Addr, Context, Handler, Message, ResponseFuture};
use actix_rt::{System, SystemRunner};
use persimmongate_node::errors::{Result, platform_error};
use persimmongate_node::logger;
use persimmongate_node::supervisor::{Guard, Limit, Supervisor, Tree, stop};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Restarts that the tests allow in a period.
pub(crate) const RESTARTS: usize = 3;
/// Period in which restarts are counted.
pub(crate) const PERIOD: Duration = Duration::from_secs(10);
/// Wait before the second restart.
pub(crate) const BACKOFF: Duration = Duration::from_millis(100);
/// Time that the second child takes to stop.
const STOP_TIME: Duration = Duration::from_millis(50);

/// `Child` names the children; the second is linked to the first.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Child {
    First,
    Second,
}

/// `Seen` is something that happened to the tree.
#[derive(Debug)]
pub(crate) enum Seen {
    Started(Child, Addr<Probe>),
    Refused(Child),
    Stopped(Child),
}

/// `Fail` ends a child.
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

/// `Meet` tells a child where its sibling is.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Meet(Addr<Probe>);

/// `Sibling` gets the sibling that a child was told last.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Addr<Probe>>")]
pub(crate) struct Sibling;

/// `Close` stops a child after a while.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
struct Close;

/// `Probe` is a child.
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

impl Handler<Meet> for Probe {
    type Result = ();

    fn handle(&mut self, Meet(sibling): Meet, _: &mut Self::Context) {
        self.sibling = Some(sibling);
    }
}

impl Handler<Sibling> for Probe {
    type Result = actix::MessageResult<Sibling>;

    fn handle(&mut self, _: Sibling, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(self.sibling.clone())
    }
}

impl Handler<Close> for Probe {
    type Result = actix::ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Close, _: &mut Self::Context) -> Self::Result {
        use actix::{ActorFutureExt, WrapFuture};
        let wait = actix_rt::time::sleep(STOP_TIME).into_actor(self);
        Box::pin(wait.map(|(), _, ctx| ctx.stop()))
    }
}

/// `Fixture` makes the children and tells what it does.
pub(crate) struct Fixture {
    seen: UnboundedSender<Seen>,
    first: Option<Addr<Probe>>,
    second: Option<Addr<Probe>>,
    /// Whether the first child can't be started.
    refuses: bool,
}

impl Tree for Fixture {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![Child::Second, Child::First]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> Result<()> {
        if self.refuses && child == Child::First {
            self.seen.send(Seen::Refused(child)).unwrap();
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
            second.do_send(Meet(first.clone()));
        }
        self.seen.send(Seen::Started(child, probe)).unwrap();
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
        let seen = self.seen.clone();
        Box::pin(async move {
            stop(probe, Close).await;
            seen.send(Seen::Stopped(child)).unwrap();
        })
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        let seen = self.seen.clone();
        Box::pin(async move {
            actix_rt::time::sleep(STOP_TIME).await;
            seen.send(Seen::Stopped(Child::First)).unwrap();
        })
    }
}

/// Makes a system whose clock is paused and moves on when every task waits.
pub(crate) fn system() -> SystemRunner {
    System::with_tokio_rt(|| {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap()
    })
}

/// Starts a tree; gets its supervisor and what happens to it.
pub(crate) fn start(refuses: bool) -> (Addr<Supervisor<Fixture>>, UnboundedReceiver<Seen>) {
    let (seen, receiver) = unbounded_channel();
    let tree = Fixture {
        seen,
        first: None,
        second: None,
        refuses,
    };
    let limit = Limit {
        max_restarts: RESTARTS,
        period: PERIOD,
        initial_backoff: BACKOFF,
    };
    (
        Supervisor::new(tree, limit, logger::discard()).start(),
        receiver,
    )
}

/// Waits for the next start of a child and drops what else is seen.
pub(crate) async fn started(seen: &mut UnboundedReceiver<Seen>, child: Child) -> Addr<Probe> {
    loop {
        if let Some(Seen::Started(started, probe)) = seen.recv().await
            && started == child
        {
            return probe;
        }
    }
}
