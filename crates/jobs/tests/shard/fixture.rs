//! A shard that reads a log which the test answers, and an observer of what it reports.

use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, Context, Handler, ResponseFuture};
use actix_rt::{System, SystemRunner};
use bytestring::ByteString;
use futures_util::future::{LocalBoxFuture, ready};
use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Limits, Record};
use persimmongate_core::queue::{Config, Service};
use persimmongate_core::sched::{Answer, Call, Inventory, Options, Poll, Query, Report, Ticket};
use persimmongate_core::upkeep::{self, Listing};
use persimmongate_jobs::operator::Configured;
use persimmongate_jobs::platform::{
    Append, Change, Entry, Failure, Page, Partition, Platform, Reply,
};
use persimmongate_jobs::roster::Roster;
use persimmongate_jobs::shard::{Observation, Setup, Shard, Transition};
use persimmongate_node::errors;
use persimmongate_node::logger;
use persimmongate_node::supervisor::{ChildSet, Guard, Policy, Supervisor};
use persimmongate_wire::journal;
use tokio::sync::{mpsc, oneshot};

/// Service of the shard.
const SERVICE: &str = "service";

/// `Pending` is a read of the shard's partition that waits for its answer.
struct Pending {
    is_newest: bool,
    reply: oneshot::Sender<Result<Page, Failure>>,
}

/// `Source` is the shard's platform, which passes each read to the test.
#[derive(Clone)]
struct Source(mpsc::UnboundedSender<Pending>);

impl Source {
    fn pass(&self, partition: Partition, is_newest: bool) -> Reply<Page> {
        assert_eq!(partition, Partition::Jobs(1));
        let (reply, receiver) = oneshot::channel();
        // The test may have ended.
        let _ = self.0.send(Pending { is_newest, reply });
        Box::pin(async { receiver.await.unwrap_or(Err(Failure::Unknown)) })
    }
}

impl Platform for Source {
    fn append(&self, _: Append) -> Reply<ids::Offset> {
        // The shard never gets to lead.
        Box::pin(ready(Err(Failure::Moved)))
    }

    fn read(&self, partition: Partition, _: ids::Offset, _: Duration) -> Reply<Page> {
        self.pass(partition, false)
    }

    fn read_newest(&self, partition: Partition) -> Reply<Page> {
        self.pass(partition, true)
    }

    fn poll_worker(&self, _: Poll) -> LocalBoxFuture<'static, Result<Inventory, Answer>> {
        unimplemented!("only a leader calls workers")
    }

    fn send_worker_command(&self, _: Call) -> LocalBoxFuture<'static, (Answer, Option<u64>)> {
        unimplemented!("only a leader calls workers")
    }

    fn request_advice(&self, _: Query) -> LocalBoxFuture<'static, Option<(Vec<Ticket>, Duration)>> {
        unimplemented!("only a leader asks for advice")
    }

    fn list_hosts(&self) -> Reply<Listing> {
        unimplemented!("the roster has no subscriber")
    }

    fn send_host_command(&self, _: upkeep::Command) -> LocalBoxFuture<'static, upkeep::Answer> {
        unimplemented!("a shard commands no host")
    }

    fn decode_change(&self, _: &Entry) -> Option<Change> {
        unimplemented!("a shard reads no requests of operators")
    }

    fn decode_report(&self, _: &Entry) -> Option<Report> {
        unimplemented!("the roster has no subscriber")
    }

    fn encode_wave_status(&self, _: ids::WaveNumber, _: bool) -> (ByteString, bytes::Bytes) {
        unimplemented!("a shard reports no waves")
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Child {
    Roster,
    Shard,
}

/// `Children` starts the shard and its roster under a supervisor.
struct Children {
    source: Source,
    roster: Option<Addr<Roster<Source, Child>>>,
    observer: Addr<Observer>,
    started: mpsc::UnboundedSender<Addr<Shard<Source, Child>>>,
}

impl ChildSet for Children {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![Child::Roster, Child::Shard]
    }

    fn start(&mut self, child: Child, guard: Guard<Child>) -> errors::Result<()> {
        match child {
            Child::Roster => {
                let roster = Roster::new(self.source.clone(), logger::discard(), guard);
                self.roster = Some(roster.start());
            }
            Child::Shard => {
                let meter = opentelemetry::global::meter("test");
                let setup = Setup {
                    shard: 1,
                    shard_count: 2,
                    platform: self.source.clone(),
                    node: "node".into(),
                    cpu_millicores: 1_000,
                    options: Options::default(),
                    log_limits: Limits::default(),
                    roster: self.roster.clone().expect("a started roster"),
                    leadership_observer: self.observer.clone().recipient(),
                    observer: self.observer.clone().recipient(),
                    skipped_entries: meter.u64_counter("entries_skipped").build(),
                    meter,
                    logger: logger::discard(),
                };
                let shard = Shard::new(setup, guard).start();
                self.started.send(shard).expect("a waiting test");
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

/// `Observer` passes what the shard reports about drains to the test.
struct Observer(mpsc::UnboundedSender<(ids::Worker, Option<Drain>)>);

impl Actor for Observer {
    type Context = Context<Self>;
}

impl Handler<Observation> for Observer {
    type Result = ();

    fn handle(&mut self, observation: Observation, _: &mut Self::Context) {
        if let Observation::Drain(worker, drain) = observation {
            // The test may have ended.
            let _ = self.0.send((worker, drain));
        }
    }
}

impl Handler<Transition> for Observer {
    type Result = ();

    fn handle(&mut self, _: Transition, _: &mut Self::Context) {}
}

/// `Fixture` is a running shard with its observer.
pub(crate) struct Fixture {
    reads: mpsc::UnboundedReceiver<Pending>,
    drains: mpsc::UnboundedReceiver<(ids::Worker, Option<Drain>)>,
    _shard: Addr<Shard<Source, Child>>,
}

impl Fixture {
    pub(crate) async fn start() -> Self {
        let (read_sender, reads) = mpsc::unbounded_channel();
        let (drain_sender, drains) = mpsc::unbounded_channel();
        let (started, mut shards) = mpsc::unbounded_channel();
        let children = Children {
            source: Source(read_sender),
            roster: None,
            observer: Observer(drain_sender).start(),
            started,
        };
        Supervisor::new(children, Policy::default(), logger::discard()).start();
        let shard = shards.recv().await.expect("a started shard");
        let service = Service {
            name: SERVICE.into(),
            rejects_overload: false,
            is_spare: false,
        };
        let config = Config::new(1, Vec::new(), vec![service]);
        shard.do_send(Configured(Arc::new(config)));
        Self {
            reads,
            drains,
            _shard: shard,
        }
    }

    /// Answers the next read, of the newest record of each key, with the drains of workers.
    pub(crate) async fn answer_newest(&mut self, end_offset: ids::Offset, drained: &[&str]) {
        let pending = self.reads.recv().await.expect("a running shard");
        assert!(pending.is_newest);
        let records = drained.iter().zip(0..).map(|(worker, offset)| {
            let record = Record::Drain((*worker).into(), Some(drain()));
            Entry {
                offset,
                key: journal::encode_key(&record.key()),
                value: journal::encode(&record).expect("an encodable record"),
            }
        });
        let page = Page {
            end_offset,
            records: records.collect(),
        };
        pending.reply.send(Ok(page)).expect("a waiting shard");
    }

    /// Answers the next read, of the records that follow: they are no longer kept.
    pub(crate) async fn expire(&mut self) {
        let pending = self.reads.recv().await.expect("a running shard");
        assert!(!pending.is_newest);
        let answer = pending.reply.send(Err(Failure::Expired));
        answer.expect("a waiting shard");
    }

    /// Waits until the shard has applied all answers, and returns the drains that it reported.
    pub(crate) async fn reported_drains(&mut self) -> Vec<(ids::Worker, Option<Drain>)> {
        let next_read = self.reads.recv().await.expect("a running shard");
        let mut reported = Vec::new();
        while let Ok(drain) = self.drains.try_recv() {
            reported.push(drain);
        }
        drop(next_read);
        reported
    }
}

/// Returns the drain that the log holds.
pub(crate) fn drain() -> Drain {
    Drain {
        host: "host".into(),
        service: SERVICE.into(),
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
