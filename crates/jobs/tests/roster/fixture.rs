//! A roster that reads a log in memory, and observers that hold what its updates say.

use std::time::Duration;

use actix::{Actor, Addr, Context, Handler, Message, MessageResult, ResponseFuture};
use actix_rt::{System, SystemRunner};
use bytestring::ByteString;
use futures_util::future::{LocalBoxFuture, ready};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::sched::{Answer, Call, Inventory, Poll, Query, Report, Resources, Ticket};
use persimmongate_core::upkeep::{self, Listing};
use persimmongate_jobs::platform::{
    Append, Change, Entry, Failure, Page, Partition, Platform, Reply,
};
use persimmongate_jobs::roster::{self, Roster, Subscribe, Unsubscribe, Update};
use persimmongate_node::errors;
use persimmongate_node::logger;
use persimmongate_node::supervisor::{ChildSet, Guard, Policy, Supervisor};
use tokio::sync::{mpsc, oneshot};

/// `Write` is a record that is appended to the worker list.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Write {
    /// A worker reports its state; the number is its start time, which identifies its incarnation.
    Put(&'static str, u64),
    /// As above, from a worker that announced that it will shut down.
    PutDraining(&'static str, u64),
    /// The entry of a worker is replaced by one that can't be decoded.
    PutUnreadable(&'static str),
    /// The entry of a worker is removed, as on the expiry of its lease.
    Remove(&'static str),
}

/// `Step` appends records to the worker list and answers the roster's waiting read.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// The read returns the records in one page.
    Read(&'static [Write]),
    /// The records that the read asks for are no longer kept, so that the newest of each key are read.
    Expire(&'static [Write]),
    /// The read fails, and the next one returns the records in one page.
    Fail(&'static [Write]),
}

/// `Range` is what a read asks for.
#[derive(Clone, Copy, Debug)]
enum Range {
    From(ids::Offset),
    Newest,
}

/// `Pending` is a read that waits for its answer.
struct Pending {
    range: Range,
    reply: oneshot::Sender<Result<Page, Failure>>,
}

/// `Source` is the roster's platform, which passes each read to the test.
#[derive(Clone)]
struct Source(mpsc::UnboundedSender<Pending>);

impl Source {
    fn pass(&self, partition: Partition, range: Range) -> Reply<Page> {
        assert_eq!(partition, Partition::Workers);
        let (reply, receiver) = oneshot::channel();
        // The test may have ended.
        let _ = self.0.send(Pending { range, reply });
        Box::pin(async { receiver.await.unwrap_or(Err(Failure::Unknown)) })
    }
}

impl Platform for Source {
    fn append(&self, _: Append) -> Reply<ids::Offset> {
        unimplemented!("the roster appends nothing")
    }

    fn read(&self, partition: Partition, from: ids::Offset, _: Duration) -> Reply<Page> {
        self.pass(partition, Range::From(from))
    }

    fn read_newest(&self, partition: Partition) -> Reply<Page> {
        self.pass(partition, Range::Newest)
    }

    fn poll_worker(&self, _: Poll) -> LocalBoxFuture<'static, Result<Inventory, Answer>> {
        unimplemented!("the roster calls no worker")
    }

    fn send_worker_command(&self, _: Call) -> LocalBoxFuture<'static, (Answer, Option<u64>)> {
        unimplemented!("the roster calls no worker")
    }

    fn request_advice(&self, _: Query) -> LocalBoxFuture<'static, Option<(Vec<Ticket>, Duration)>> {
        unimplemented!("the roster asks for no advice")
    }

    fn list_hosts(&self) -> Reply<Listing> {
        Box::pin(ready(Ok(Listing::default())))
    }

    fn send_host_command(&self, _: upkeep::Command) -> LocalBoxFuture<'static, upkeep::Answer> {
        unimplemented!("the roster commands no host")
    }

    fn decode_change(&self, _: &Entry) -> Option<Change> {
        unimplemented!("the roster reads no requests of operators")
    }

    fn decode_report(&self, entry: &Entry) -> Option<Report> {
        decode(entry)
    }

    fn encode_wave_status(&self, _: ids::WaveNumber, _: bool) -> (ByteString, bytes::Bytes) {
        unimplemented!("the roster reports no waves")
    }
}

/// Decodes the start time, which a mark follows if the worker will shut down.
fn decode(entry: &Entry) -> Option<Report> {
    let text = std::str::from_utf8(entry.value.as_ref()?).ok()?;
    let (started_at, mark) = text.split_once(' ')?;
    Some(Report {
        worker: entry.key.clone(),
        service: "service".into(),
        address: ([127, 0, 0, 1], 1).into(),
        host: None,
        is_shutting_down: mark == "draining",
        started_at_ms: started_at.parse().ok()?,
        capacity: Resources::default(),
        labels: Vec::new(),
    })
}

/// `Log` holds the records of the worker list.
#[derive(Default)]
struct Log {
    entries: Vec<Entry>,
    /// Offset of the first record that is kept in order.
    start_offset: ids::Offset,
}

impl Log {
    fn write(&mut self, writes: &[Write]) {
        for write in writes {
            let (key, value) = match write {
                Write::Put(worker, started_at) => (worker, Some(format!("{started_at} ready"))),
                Write::PutDraining(worker, started_at) => {
                    (worker, Some(format!("{started_at} draining")))
                }
                Write::PutUnreadable(worker) => (worker, Some("?".to_owned())),
                Write::Remove(worker) => (worker, None),
            };
            self.entries.push(Entry {
                offset: self.end_offset(),
                key: (*key).into(),
                value: value.map(Into::into),
            });
        }
    }

    fn end_offset(&self) -> ids::Offset {
        self.entries.len() as ids::Offset
    }

    fn newest(&self) -> Map<ids::Worker, Entry> {
        let entries = self.entries.iter().cloned();
        entries.map(|entry| (entry.key.clone(), entry)).collect()
    }

    fn read(&self, range: Range) -> Result<Page, Failure> {
        let mut records = match range {
            Range::From(from) if from < self.start_offset => return Err(Failure::Expired),
            Range::From(from) => {
                let entries = self.entries.iter();
                entries
                    .filter(|entry| entry.offset >= from)
                    .cloned()
                    .collect()
            }
            Range::Newest => {
                let entries = self.newest().into_values();
                entries
                    .filter(|entry| entry.value.is_some())
                    .collect::<Vec<_>>()
            }
        };
        records.sort_by_key(|entry| entry.offset);
        Ok(Page {
            end_offset: self.end_offset(),
            records,
        })
    }
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Child;

/// `Children` starts the roster under a supervisor.
struct Children {
    source: Source,
    started: mpsc::UnboundedSender<Addr<Roster<Source, Child>>>,
}

impl ChildSet for Children {
    type Child = Child;

    fn children(&self) -> Vec<Child> {
        vec![Child]
    }

    fn start(&mut self, _: Child, guard: Guard<Child>) -> errors::Result<()> {
        let roster = Roster::new(self.source.clone(), logger::discard(), guard).start();
        self.started.send(roster).expect("a waiting test");
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

/// `Observer` is a subscriber that applies each update in the order of their arrival.
#[derive(Default)]
pub(crate) struct Observer {
    workers: Map<ids::Worker, Report>,
}

impl Actor for Observer {
    type Context = Context<Self>;
}

impl Handler<Update> for Observer {
    type Result = ();

    fn handle(&mut self, update: Update, _: &mut Self::Context) {
        match update {
            Update::Workers(changes) => {
                for change in changes {
                    match change {
                        roster::Change::Listed(report) => {
                            self.workers.insert(report.worker.clone(), report);
                        }
                        roster::Change::Unlisted(worker) => {
                            self.workers.remove(&worker);
                        }
                    }
                }
            }
            Update::Hosts(_) => {}
        }
    }
}

/// `GetWorkers` requests the workers that an observer holds for listed.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Map<ids::Worker, Report>")]
struct GetWorkers;

impl Handler<GetWorkers> for Observer {
    type Result = MessageResult<GetWorkers>;

    fn handle(&mut self, _: GetWorkers, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.workers.clone())
    }
}

/// `Fixture` is a running roster with its observers.
pub(crate) struct Fixture {
    log: Log,
    roster: Addr<Roster<Source, Child>>,
    reads: mpsc::UnboundedReceiver<Pending>,
    /// Read that the roster waits for; none before the first subscription.
    pending: Option<Pending>,
    observers: Vec<Addr<Observer>>,
}

impl Fixture {
    pub(crate) async fn start() -> Self {
        let (read_sender, reads) = mpsc::unbounded_channel();
        let (started, mut roster) = mpsc::unbounded_channel();
        let source = Source(read_sender);
        let children = Children { source, started };
        Supervisor::new(children, Policy::default(), logger::discard()).start();
        Self {
            log: Log::default(),
            roster: roster.recv().await.expect("a started roster"),
            reads,
            pending: None,
            observers: Vec::new(),
        }
    }

    /// Adds an observer, as the leader of a shard of its own.
    pub(crate) async fn subscribe(&mut self) {
        let observer = Observer::default().start();
        let shard = ids::Shard::try_from(self.observers.len()).expect("few observers");
        let subscribe = Subscribe(shard, observer.clone().recipient());
        self.roster.send(subscribe).await.expect("a running roster");
        self.observers.push(observer);
        if self.pending.is_none() {
            self.pending = self.reads.recv().await;
        }
    }

    /// Removes all observers, as their leaders step down. The roster's read is not answered any more.
    pub(crate) async fn unsubscribe_all(&mut self) {
        for (shard, _) in (0..).zip(self.observers.drain(..)) {
            let unsubscribe = Unsubscribe(shard);
            self.roster
                .send(unsubscribe)
                .await
                .expect("a running roster");
        }
        self.pending = None;
    }

    /// Answers the waiting read and waits for the next one, which is sent after the answer was applied.
    async fn answer(&mut self, answer: impl FnOnce(&Log, Range) -> Result<Page, Failure>) {
        let pending = self.pending.take().expect("a waiting read");
        let page = answer(&self.log, pending.range);
        pending.reply.send(page).expect("a waiting roster");
        self.pending = self.reads.recv().await;
    }

    pub(crate) async fn run(&mut self, step: Step) {
        match step {
            Step::Read(writes) => self.log.write(writes),
            Step::Expire(writes) => {
                self.log.write(writes);
                self.log.start_offset = self.log.end_offset();
                self.answer(Log::read).await;
            }
            Step::Fail(writes) => {
                self.log.write(writes);
                self.answer(|_, _| Err(Failure::Busy)).await;
            }
        }
        self.answer(Log::read).await;
    }

    /// Checks that each observer holds the newest report of each worker, and no other worker.
    pub(crate) async fn check_observers(&self) {
        let newest = self.log.newest().into_values();
        let expected: Map<ids::Worker, Report> = newest
            .filter_map(|entry| Some((entry.key.clone(), decode(&entry)?)))
            .collect();
        for (index, observer) in self.observers.iter().enumerate() {
            let workers = observer.send(GetWorkers).await.expect("a running observer");
            assert_eq!(
                workers, expected,
                "workers that observer {index} holds for listed"
            );
        }
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
