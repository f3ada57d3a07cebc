//! Stand-in of the platform's log over loopback, and processes that replay it.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Actor, Addr, Context, Handler, ResponseFuture};
use actix_web::web::{Bytes, Data};
use actix_web::{App, HttpServer};
use persimmongate_core::record::{Announcement, Body, Role};
use persimmongate_core::state::{State, Verdict};
use persimmongate_node::errors::Result;
use persimmongate_node::log::{Append, Appended, Follower, Options, Query, Transfer};
use persimmongate_node::metrics::Metrics;
use persimmongate_node::supervisor::{ChildSet, Guard, Policy, Supervisor};
use persimmongate_node::{logger, peer};
use persimmongate_standin::log::{self, Read, SetFault, Store};
use persimmongate_standin::{faults, ports};
use persimmongate_wire::log::{Batch, Stream, encode_state};
use tokio::sync::{mpsc, oneshot};

/// Interval at which a process is polled until it is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `Platform` serves the stand-in of the platform's log over loopback.
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

    pub(crate) async fn set_faults(&self, faults: faults::Log) {
        self.store
            .send(SetFault(faults))
            .await
            .expect("a running store");
    }

    /// Appends records as another writer does.
    pub(crate) async fn append(&self, stream: Stream, records: Vec<Bytes>) {
        let append = log::Append(stream, Batch { records });
        self.store.send(append).await.expect("a running store");
    }

    pub(crate) async fn earliest_offset(&self) -> u64 {
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

/// `Process` replays the log and serves peer links.
pub(crate) struct Process {
    pub(crate) peer_address: SocketAddr,
    follower: Addr<Follower<Child>>,
}

struct Children {
    options: Options,
    follower_sender: mpsc::UnboundedSender<Addr<Follower<Child>>>,
    follower: Option<Addr<Follower<Child>>>,
}

impl ChildSet for Children {
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
                self.follower_sender.send(follower).expect("a waiting test");
            }
            Child::Peers => {
                let state_source = self.follower.clone().expect("a follower").recipient();
                let address = self.options.announcement.peer;
                peer::Listener::new(
                    address,
                    None,
                    state_source,
                    &meter,
                    logger::discard(),
                    guard,
                )
                .start();
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
    /// Starts a process and waits until it has a complete state.
    pub(crate) async fn start(
        name: &'static str,
        platform: &Platform,
        seeds: Vec<SocketAddr>,
        snapshot_records: u64,
    ) -> Self {
        let peer_address = ports::find_free(1).expect("a free port")[0];
        let announcement = Announcement {
            role: Role::Fleet,
            peer: peer_address,
            http: peer_address,
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
        let (follower_sender, mut follower_receiver) = mpsc::unbounded_channel();
        let children = Children {
            options,
            follower_sender,
            follower: None,
        };
        Supervisor::new(children, Policy::default(), logger::discard()).start();
        let follower = follower_receiver.recv().await.expect("a started follower");
        let process = Self {
            peer_address,
            follower,
        };
        while process.try_state().await.is_none() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        process
    }

    async fn try_state(&self) -> Option<State> {
        self.follower.send(Query).await.expect("a running follower")
    }

    pub(crate) async fn state(&self) -> State {
        self.try_state().await.expect("a complete state")
    }

    /// Offers a state as a peer would, announced with the given next offset.
    pub(crate) async fn offer_state(&self, next_offset: u64, state: &State) {
        let state = encode_state(state).expect("an encoded state");
        let peer_state = Transfer { next_offset, state };
        self.follower
            .send(peer_state)
            .await
            .expect("a running follower");
    }

    /// Appends a record and waits for its verdict.
    pub(crate) async fn append(&self, body: Body) -> Option<Verdict> {
        let (sender, receiver) = oneshot::channel();
        let reply = Receiver(Some(sender)).start().recipient();
        self.follower.do_send(Append {
            token: 1,
            body,
            reply,
        });
        receiver.await.expect("a verdict")
    }
}

struct Receiver(Option<oneshot::Sender<Option<Verdict>>>);

impl Actor for Receiver {
    type Context = Context<Self>;
}

impl Handler<Appended> for Receiver {
    type Result = ();

    fn handle(&mut self, completed: Appended, _: &mut Self::Context) {
        if let Some(sender) = self.0.take() {
            sender.send(completed.verdict).expect("a waiting test");
        }
    }
}
