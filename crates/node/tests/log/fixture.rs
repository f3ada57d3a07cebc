//! A log over loopback and processes that follow it.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, Context, Handler, ResponseFuture};
use actix_web::web::Data;
use actix_web::{App, HttpServer};
use persimmongate_core::record::{Body, Member, Role};
use persimmongate_core::state::{State, Verdict};
use persimmongate_node::errors::Result;
use persimmongate_node::log::{Append, AppendCompleted, Follower, GetState, Options, Restore};
use persimmongate_node::metrics::Metrics;
use persimmongate_node::supervisor::{Guard, Limit, Supervisor, Tree};
use persimmongate_node::{logger, peer};
use persimmongate_standin::log::{self, Read, SetFault, Store};
use persimmongate_standin::{faults, ports};
use persimmongate_wire::log::{Stream, encode_state};
use tokio::sync::{mpsc, oneshot};

/// Time between two looks at a process that is not ready yet.
const LOOK: Duration = Duration::from_millis(20);

/// `Platform` is a log over loopback.
pub(crate) struct Platform {
    address: SocketAddr,
    store: Addr<Store>,
}

impl Platform {
    pub(crate) fn start(retention: usize) -> Self {
        let address = ports::find_free(1).expect("a free port")[0];
        let store = Store::new(retention).start();
        let data = Data::new(store.clone());
        let app = move || App::new().app_data(data.clone()).configure(log::configure);
        let server = HttpServer::new(app).workers(1).disable_signals();
        actix_rt::spawn(server.bind(address).expect("a bound port").run());
        Self { address, store }
    }

    pub(crate) async fn set(&self, faults: faults::Log) {
        self.store
            .send(SetFault(faults))
            .await
            .expect("a running store");
    }

    pub(crate) async fn earliest(&self) -> u64 {
        let read = Read {
            stream: Stream::Main,
            start_offset: 0,
            accepts_empty: true,
        };
        let page = self.store.send(read).await.expect("a running store");
        page.expect("a page").earliest_offset
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Child {
    Follower,
    Peers,
}

/// `Process` follows the log and serves peer links.
pub(crate) struct Process {
    pub(crate) peer: SocketAddr,
    follower: Addr<Follower<Child>>,
}

struct Children {
    options: Options,
    started: mpsc::UnboundedSender<Addr<Follower<Child>>>,
    follower: Option<Addr<Follower<Child>>>,
}

impl Tree for Children {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![Child::Follower, Child::Peers]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> Result<()> {
        let meter = Metrics::new()?.meter();
        match child {
            Child::Follower => {
                let options = self.options.clone();
                let follower = Follower::new(options, &meter, logger::discard(), guard).start();
                self.follower = Some(follower.clone());
                self.started.send(follower).expect("a waiting test");
            }
            Child::Peers => {
                let fold = self.follower.clone().expect("a follower").recipient();
                let address = self.options.announcement.peer;
                peer::Listener::new(address, None, fold, &meter, logger::discard(), guard).start();
            }
        }
        Ok(())
    }

    fn dependents(&self, _: Child) -> Vec<Child> {
        Vec::new()
    }

    fn stop(&mut self, _: Child) -> ResponseFuture<()> {
        Box::pin(async {})
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        Box::pin(async {})
    }
}

impl Process {
    /// Starts a process and waits until it has a fold.
    pub(crate) async fn start(
        name: &'static str,
        platform: &Platform,
        seeds: Vec<SocketAddr>,
        snapshot_records: u64,
    ) -> Self {
        let peer = ports::find_free(1).expect("a free port")[0];
        let announcement = Member {
            role: Role::Fleet,
            peer,
            http: peer,
            zone: "z".into(),
        };
        let options = Options {
            instance: name.into(),
            announcement,
            platform_address: platform.address,
            renewal_interval: Duration::from_secs(1),
            seeds,
            snapshot_records: Some(snapshot_records),
        };
        let (started, mut starts) = mpsc::unbounded_channel();
        let children = Children {
            options,
            started,
            follower: None,
        };
        Supervisor::new(children, Limit::default(), logger::discard()).start();
        let follower = starts.recv().await.expect("a started follower");
        let process = Self { peer, follower };
        while process.try_fold().await.is_none() {
            actix_rt::time::sleep(LOOK).await;
        }
        process
    }

    async fn try_fold(&self) -> Option<State> {
        self.follower
            .send(GetState)
            .await
            .expect("a running follower")
    }

    pub(crate) async fn fold(&self) -> State {
        self.try_fold().await.expect("a fold")
    }

    /// Hands over a fold as a peer would, under a stated offset.
    pub(crate) async fn restore(&self, next: u64, state: &State) {
        let state = encode_state(state).expect("an encoded state");
        let restore = Restore {
            next_offset: next,
            state,
        };
        self.follower
            .send(restore)
            .await
            .expect("a running follower");
    }

    /// Appends a record and waits for its verdict.
    pub(crate) async fn append(&self, body: Body) -> Option<Verdict> {
        let (sender, receiver) = oneshot::channel();
        let reply = Reply(Some(sender)).start().recipient();
        self.follower.do_send(Append {
            token: 1,
            body,
            reply,
        });
        receiver.await.expect("a verdict")
    }
}

struct Reply(Option<oneshot::Sender<Option<Verdict>>>);

impl Actor for Reply {
    type Context = Context<Self>;
}

impl Handler<AppendCompleted> for Reply {
    type Result = ();

    fn handle(&mut self, settled: AppendCompleted, _: &mut Self::Context) {
        if let Some(sender) = self.0.take() {
            sender.send(settled.verdict).expect("a waiting test");
        }
    }
}
