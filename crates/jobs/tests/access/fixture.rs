//! A watcher of operators' records and a router, on a log that answers reads as the test says.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, ResponseFuture};
use actix_rt::time::sleep;
use actix_rt::{System, SystemRunner};
use bytes::Bytes;
use bytestring::ByteString;
use futures_util::future::{LocalBoxFuture, ready};
use persimmongate_core::account::{Account, Directory, Key, Limit};
use persimmongate_core::ids;
use persimmongate_core::queue::{Config, Queue};
use persimmongate_core::sched::{Answer, Call, Inventory, Poll, Query, Report, Ticket};
use persimmongate_core::upkeep::{self, Listing};
use persimmongate_jobs::operator::{self, CurrentConfig, Follow, Subscribe, Watcher};
use persimmongate_jobs::platform::{
    Append, Change, Entry, Failure, Page, Partition, Platform, Reply,
};
use persimmongate_jobs::router::{self, Endpoint, Readiness, Resolve, Route, Router};
use persimmongate_node::errors;
use persimmongate_node::logger;
use persimmongate_node::supervisor::{ChildSet, Guard, Policy, Supervisor};
use tokio::sync::{mpsc, watch};

/// Accepted age of a configuration.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(3);
/// Time that the log takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);
/// Time limit of a call without an answer, in addition to its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `Log` is what the log holds and how it answers.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    /// Versions of the configuration, in the order of their records.
    pub(crate) versions: Vec<u64>,
    /// Whether the configurations have an account, with the key `key` of its version.
    pub(crate) has_accounts: bool,
    /// Whether calls are refused.
    pub(crate) is_refusing: bool,
    /// Number of the following calls that get no answer.
    pub(crate) lost_calls: usize,
}

/// `Source` is the platform of the actors.
#[derive(Clone)]
struct Source(watch::Sender<Log>);

impl Source {
    fn page(log: &Log, from: usize) -> Page {
        let versions = log.versions.iter().enumerate().skip(from);
        let records = versions.map(|(offset, version)| Entry {
            offset: offset as u64,
            key: "config".into(),
            value: Some(version.to_string().into()),
        });
        Page {
            end_offset: log.versions.len() as u64,
            records: records.collect(),
        }
    }

    fn answer(&self, from: ids::Offset, wait: Duration) -> Reply<Page> {
        let mut changes = self.0.subscribe();
        let source = self.clone();
        Box::pin(async move {
            let mut is_lost = false;
            source.0.send_if_modified(|log| {
                is_lost = log.lost_calls > 0;
                log.lost_calls -= usize::from(is_lost);
                false
            });
            if is_lost {
                sleep(wait + CALL_TIMEOUT).await;
                return Err(Failure::Unknown);
            }
            let from = usize::try_from(from).unwrap();
            let has_news = |log: &Log| log.is_refusing || log.versions.len() > from;
            let _ = actix_rt::time::timeout(wait, changes.wait_for(has_news)).await;
            sleep(LATENCY).await;
            let log = source.0.borrow();
            if log.is_refusing {
                return Err(Failure::Busy);
            }
            Ok(Self::page(&log, from))
        })
    }
}

impl Platform for Source {
    fn append(&self, _: Append) -> Reply<ids::Offset> {
        unimplemented!("the actors write nothing")
    }

    fn read(&self, partition: Partition, from: ids::Offset, wait: Duration) -> Reply<Page> {
        assert_eq!(partition, Partition::Operator);
        self.answer(from, wait)
    }

    fn read_newest(&self, partition: Partition) -> Reply<Page> {
        assert_eq!(partition, Partition::Operator);
        self.answer(0, Duration::ZERO)
    }

    fn poll_worker(&self, _: Poll) -> LocalBoxFuture<'static, Result<Inventory, Answer>> {
        unimplemented!("the actors call no worker")
    }

    fn send_worker_command(&self, _: Call) -> LocalBoxFuture<'static, (Answer, Option<u64>)> {
        unimplemented!("the actors call no worker")
    }

    fn request_advice(&self, _: Query) -> LocalBoxFuture<'static, Option<(Vec<Ticket>, Duration)>> {
        unimplemented!("the actors ask for no advice")
    }

    fn list_hosts(&self) -> Reply<Listing> {
        unimplemented!("the actors list no hosts")
    }

    fn send_host_command(&self, _: upkeep::Command) -> LocalBoxFuture<'static, upkeep::Answer> {
        unimplemented!("the actors command no host")
    }

    fn decode_change(&self, entry: &Entry) -> Option<Change> {
        let text = String::from_utf8(entry.value.clone()?.to_vec()).unwrap();
        let has_accounts = self.0.borrow().has_accounts;
        Some(Change::Config(config(text.parse().unwrap(), has_accounts)))
    }

    fn decode_report(&self, _: &Entry) -> Option<Report> {
        unimplemented!("the actors read no list of workers")
    }

    fn encode_wave_status(&self, _: ids::WaveNumber, _: bool) -> (ByteString, Bytes) {
        unimplemented!("the actors report no waves")
    }
}

/// Returns the key of the account in a version.
pub(crate) fn key(version: u64) -> Key {
    Key::try_from(Bytes::from(format!("secret-{version}"))).unwrap()
}

fn config(version: u64, has_accounts: bool) -> Config {
    let queue = Queue {
        name: "queue".into(),
        hostname: "queue.example".into(),
        path_prefix: "/queue/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 1,
        stretch: 2.0,
        allowance: Duration::from_secs(1),
        call_timeout: Duration::from_secs(3),
        policy_service: None,
        is_open: false,
    };
    let config = Config::new(version, vec![queue], Vec::new());
    if !has_accounts {
        return config;
    }
    let account = Account {
        name: "one".into(),
        keys: vec![key(version)],
        weight: 1.0,
        limit: Limit::default(),
    };
    config.with_accounts(Directory::new(vec![account]))
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Child {
    Watcher,
    Router,
}

/// `Children` starts the watcher and the router under a supervisor.
struct Children {
    source: Source,
    current_config: CurrentConfig,
    watcher: Option<Addr<Watcher<Source, Child>>>,
    started: mpsc::UnboundedSender<Addr<Router<Source, Child>>>,
}

impl ChildSet for Children {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![Child::Watcher, Child::Router]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> errors::Result<()> {
        match child {
            Child::Watcher => {
                let setup = operator::Setup {
                    platform: self.source.clone(),
                    current_config: self.current_config.clone(),
                    config_max_age: MAX_AGE,
                    logger: logger::discard(),
                };
                self.watcher = Some(Watcher::new(setup, guard).start());
            }
            Child::Router => {
                let setup = router::Setup {
                    shard_count: 2,
                    config_max_age: MAX_AGE,
                    meter: opentelemetry::global::meter("test"),
                    logger: logger::discard(),
                };
                let router = Router::new(setup, guard).start();
                let watcher = self.watcher.as_ref().expect("a started watcher");
                watcher.do_send(Subscribe(router.clone().recipient()));
                watcher.do_send(Follow(router.clone().recipient()));
                self.started.send(router).expect("a waiting test");
            }
        }
        Ok(())
    }

    fn dependents(&self, _: Child) -> Vec<Child> {
        Vec::new()
    }

    fn stop(&mut self, _: Child) -> ResponseFuture<()> {
        Box::pin(ready(()))
    }

    fn shut_down(&mut self) -> ResponseFuture<()> {
        Box::pin(ready(()))
    }
}

/// `Fixture` is a running router with the log that its configuration comes from.
pub(crate) struct Fixture {
    source: Source,
    pub(crate) current_config: CurrentConfig,
    router: Addr<Router<Source, Child>>,
}

impl Fixture {
    /// Starts the actors on a log, in a process that has read a version before.
    pub(crate) async fn start(log: Log, read_before: Option<u64>) -> Self {
        let source = Source(watch::Sender::new(log));
        let has_accounts = source.0.borrow().has_accounts;
        let config = read_before.map(|version| Arc::new(config(version, has_accounts)));
        let current_config = CurrentConfig::new(config);
        let (started, mut routers) = mpsc::unbounded_channel();
        let children = Children {
            source: source.clone(),
            current_config: current_config.clone(),
            watcher: None,
            started,
        };
        Supervisor::new(children, Policy::default(), logger::discard()).start();
        let router = routers.recv().await.expect("a started router");
        Self {
            source,
            current_config,
            router,
        }
    }

    pub(crate) fn change_log(&self, change: impl FnOnce(&mut Log)) {
        self.source.0.send_modify(change);
    }

    /// Resolves a path of the queue's host for a caller with the key of a version.
    pub(crate) async fn resolve(&self, path: &'static str, version: u64) -> Route {
        let endpoint = Endpoint {
            host: "queue.example".into(),
            path: path.into(),
        };
        let resolve = Resolve {
            endpoint,
            key: Some(key(version)),
        };
        self.router.send(resolve).await.expect("a running router")
    }

    pub(crate) async fn is_ready(&self) -> bool {
        self.router.send(Readiness).await.expect("a running router")
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
