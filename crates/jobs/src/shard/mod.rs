//! Jobs of one shard: their state replayed from the log, callers' requests, and leadership of the shard.

mod append;
mod batch;
mod dump;
mod gauge;
mod lag;
mod leadership;
mod line;
mod ownership;
mod payload;
mod refusal;
mod report;
mod request;
mod resignation;

pub use request::{Answer, Cancel, Count, Freshness, Query, Status, Submit};

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, Recipient,
    WrapFuture,
};
use opentelemetry::metrics::{Counter, Gauge, Meter};
use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Index, Limits, Load, Record};
use persimmongate_core::map::Map;
use persimmongate_core::queue::Config;
use persimmongate_core::sched::{Event, Options};
use persimmongate_core::term::{self, Election};
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use slog::{Logger, info, warn};

use crate::cursor::{Batch, Cursor};
use crate::leadership::{MAX_READ_WAIT, read_pause, read_wait};
use crate::operator::Configured;
use crate::platform::Platform;
use crate::reader::Reader;
use crate::roster::{Roster, Subscribe};
use batch::Batchers;
use leadership::Leadership;
use report::Report;

/// Pause of a leader between two reads, so that one read returns several records. It is short compared
/// with the run time of a task.
const LEADER_READ_PAUSE: Duration = Duration::from_millis(25);
/// Pause of a follower between two reads while callers query jobs that have not ended.
const FOLLOWER_READ_PAUSE: Duration = Duration::from_millis(150);
/// Pause of a follower between two reads without such queries; callers accept a state that is 2 s old.
const IDLE_READ_PAUSE: Duration = Duration::from_millis(700);
/// Time after a caller's latest request during which the caller counts as waiting for its job.
const CALLER_ACTIVE_PERIOD: Duration = Duration::from_secs(4);
/// Age of the latest complete read from which on the replayed state may lack accepted jobs.
const FRESH_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Time after a failed call to the log during which submissions are refused at once, unless a call succeeds
/// before. It is the time limit of a read, by which the next failure is known.
const LOG_FAILURE_BACKOFF: Duration = Duration::from_millis(2_500);

/// `Observation` reports records in a shard's log to the leader of the fleet.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Observation {
    /// A drain of a worker that was requested, or none if it was withdrawn.
    Drain(ids::Worker, Option<Drain>),
    /// Loads of the shard's services.
    Loads(Vec<Load>),
    /// A worker that runs no more tasks.
    Drained(ids::Worker),
}

/// `Leaderships` is the number of shards that this process leads.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Leaderships(pub u32);

/// `Transition` reports that this process started or stopped leading a shard.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Transition {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Whether this process leads the shard now.
    pub is_leader: bool,
}

/// `Resign` makes this process resign as the leader, if it leads.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Resign;

/// `Stop` ends the actor without a record in the log, before a new one replaces it.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// `Setup` holds the parameters of a shard.
pub struct Setup<P: Platform, C: Copy + Send + Unpin + 'static> {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Number of shards of the fleet.
    pub shard_count: ids::Shard,
    /// Services of the platform.
    pub platform: P,
    /// Name of this process.
    pub node: ids::Instance,
    /// Processor capacity of the host in millicores.
    pub cpu_millicores: u32,
    /// Limits of the scheduler.
    pub options: Options,
    /// Largest records and appends that the log takes.
    pub log_limits: Limits,
    /// Source of updates about workers and hosts.
    pub roster: Addr<Roster<P, C>>,
    /// Receives a message when this process starts or stops leading the shard.
    pub leadership_observer: Recipient<Transition>,
    /// Receives what the log records about drains and loads.
    pub observer: Recipient<Observation>,
    /// Creates the metrics of the shard.
    pub meter: Meter,
    /// Counts the records that are skipped, by the label `list`.
    pub skipped_entries: Counter<u64>,
    /// Logger of the process.
    pub logger: Logger,
}

/// `Shard` owns the replayed state of a shard's jobs and leads the shard while it is elected.
pub struct Shard<P: Platform, C: Copy + Send + Unpin + 'static> {
    setup: Setup<P, C>,
    reader: Reader,
    config: Option<Arc<Config>>,
    /// Whether the partition is read, which starts once a service belongs to the shard.
    is_active: bool,
    job_index: Index,
    drains: Map<ids::Worker, Drain>,
    report: Report,
    election: Election,
    /// Offset up to which all records were read.
    read_through: ids::Offset,
    /// Send time of the latest read that reached the end of the partition.
    last_complete_read: Option<Instant>,
    /// Time of the latest request of a caller about a job that had not ended.
    last_queried_at: Option<Instant>,
    /// Time of the latest failed call to the log, if no call has succeeded since.
    log_failed_at: Option<Instant>,
    /// Records of callers that the log does not hold yet.
    batchers: Batchers,
    /// Counts of the shards that this process leads.
    led_shards: Gauge<u64>,
    leadership: Option<Leadership>,
    _guard: Guard<C>,
}

/// Returns the shard that holds the jobs of a service.
#[must_use]
pub fn shard_of(service: &ids::Service, shards: ids::Shard) -> ids::Shard {
    // FNV-1a (Fowler, Noll, Vo) gives the same hash in every process and version.
    let hash = service
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    // Shard 0 holds the records about the fleet's hosts.
    let job_shards = u64::from(shards.saturating_sub(1).max(1));
    1 + ids::Shard::try_from(hash % job_shards).unwrap_or(0)
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Creates a shard, which reads nothing until a service belongs to it.
    pub fn new(setup: Setup<P, C>, guard: Guard<C>) -> Self {
        let election_timeout = term::election_timeout(setup.cpu_millicores, 0, rand::random());
        let election = Election::new(setup.node.clone(), rand::random(), election_timeout);
        let led_shards = setup.meter.u64_gauge("led_shard").build();
        let report = Report::new(&setup.meter, setup.shard);
        let reader = Reader::new(
            setup.shard,
            setup.skipped_entries.clone(),
            setup.logger.clone(),
        );
        let batchers = Batchers::new(&setup.log_limits);
        Self {
            setup,
            reader,
            config: None,
            is_active: false,
            job_index: Index::default(),
            drains: Map::default(),
            report,
            election,
            read_through: 0,
            last_complete_read: None,
            last_queried_at: None,
            log_failed_at: None,
            batchers,
            led_shards,
            leadership: None,
            _guard: guard,
        }
    }

    fn owns(&self, service: &ids::Service) -> bool {
        shard_of(service, self.setup.shard_count) == self.setup.shard
    }

    /// Checks if the workers of a service are workers of the shard.
    fn serves(&self, service: &ids::Service) -> bool {
        let config = self.config.as_ref();
        self.owns(service) && config.is_some_and(|config| config.service(service).is_some())
    }

    /// Subscribes to the roster, which sends all that it knows.
    fn subscribe(&self, ctx: &mut Context<Self>) {
        let recipient = ctx.address().recipient();
        self.setup
            .roster
            .do_send(Subscribe(self.setup.shard, recipient));
    }

    /// Checks if the replayed state holds all jobs accepted until [`FRESH_MAX_AGE`] ago.
    fn is_fresh(&self) -> bool {
        let now = clock::now();
        self.last_complete_read
            .is_some_and(|at| now.saturating_duration_since(at) < FRESH_MAX_AGE)
    }

    /// Returns the pause after a read that returned records.
    fn read_pause(&self) -> Duration {
        let default = if self.leadership.is_some() {
            LEADER_READ_PAUSE
        } else if self.election.is_leader_resigning() {
            Duration::ZERO
        } else if self.has_waiting_callers() {
            FOLLOWER_READ_PAUSE
        } else {
            IDLE_READ_PAUSE
        };
        read_pause(&self.election, default)
    }

    /// Checks if callers wait for jobs of the shard.
    fn has_waiting_callers(&self) -> bool {
        let now = clock::now();
        self.last_queried_at
            .is_some_and(|at| now.saturating_duration_since(at) < CALLER_ACTIVE_PERIOD)
    }

    /// Checks if a call to the log failed recently and none has succeeded since.
    fn is_log_failing(&self) -> bool {
        let now = clock::now();
        self.log_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < LOG_FAILURE_BACKOFF)
    }

    fn read_next(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let wait = read_wait(&self.election);
        let read = cursor.with_wait(wait).read(self.setup.platform.clone());
        let read = read.into_actor(self);
        ctx.spawn(read.map(|(cursor, batch), act, ctx| {
            let is_empty = batch.as_ref().is_ok_and(|batch| batch.records.is_empty());
            match batch {
                Ok(batch) => {
                    act.log_failed_at = None;
                    act.apply(&cursor, &batch, ctx);
                }
                Err(failure) => {
                    act.log_failed_at = Some(clock::now());
                    warn!(act.setup.logger, "cannot read partition of shard"; "shard" => act.setup.shard,
                        "reason" => ?failure);
                }
            }
            let pause = if is_empty { Duration::ZERO } else { act.read_pause() };
            ctx.run_later(pause, move |act, ctx| act.read_next(cursor, ctx));
        }));
    }

    fn apply(&mut self, cursor: &Cursor, batch: &Batch, ctx: &mut Context<Self>) {
        let mut earlier_drains = Map::default();
        if batch.is_snapshot {
            self.job_index.clear();
            earlier_drains = std::mem::take(&mut self.drains);
        }
        for entry in &batch.records {
            if let Some(record) = self.reader.read(entry) {
                self.apply_record(entry.offset, &record, ctx);
            }
        }
        // The withdrawal of a drain may be among the records that the log no longer keeps.
        earlier_drains.retain(|worker, _| !self.drains.contains_key(worker));
        for worker in earlier_drains.into_keys() {
            self.apply_record(batch.end_offset, &Record::Drain(worker, None), ctx);
        }
        if !cursor.has_reached(batch.end_offset) {
            return;
        }
        self.read_through = batch.end_offset;
        self.last_complete_read = Some(batch.sent_at);
        let read = term::Event::Read {
            sent_at: batch.sent_at,
            end: batch.end_offset,
        };
        self.step_election(read, ctx);
        self.step_scheduler(Event::TermConfirmed(batch.sent_at), ctx);
    }

    /// Applies a record of the log to the state and passes it to the election and the leader.
    fn apply_record(&mut self, offset: ids::Offset, record: &Record, ctx: &mut Context<Self>) {
        self.job_index.apply(offset, record);
        match record {
            Record::Accepted(job) => {
                self.restore_acceptance(offset, job, ctx);
                self.schedule_job(&job.id, ctx);
            }
            Record::Heartbeat(heartbeat) => {
                if heartbeat.term > 0 {
                    self.report
                        .update(&heartbeat.loads, self.leadership.is_some());
                    self.setup
                        .observer
                        .do_send(Observation::Loads(heartbeat.loads.clone()));
                }
                let heartbeat = heartbeat.clone();
                self.step_election(term::Event::Heartbeat { offset, heartbeat }, ctx);
            }
            Record::Canceled(job) => self.step_scheduler(Event::Canceled(job.clone()), ctx),
            Record::Barred(job, _) if self.job_index.is_canceled(job) => {
                self.step_scheduler(Event::Canceled(job.clone()), ctx);
            }
            Record::Drain(worker, drain) => {
                match drain {
                    Some(drain) => self.drains.insert(worker.clone(), drain.clone()),
                    None => self.drains.remove(worker),
                };
                self.step_scheduler(Event::Drain(worker.clone(), drain.is_some()), ctx);
                let observation = Observation::Drain(worker.clone(), drain.clone());
                self.setup.observer.do_send(observation);
            }
            Record::Progress(..) => self.step_election(term::Event::LeaderActive, ctx),
            // A record from before the drain does not show that the worker is drained now.
            Record::Drained(worker, _) if self.drains.contains_key(worker) => {
                self.setup
                    .observer
                    .do_send(Observation::Drained(worker.clone()));
            }
            Record::Barred(..)
            | Record::Dropped(_)
            | Record::Drained(..)
            | Record::Payload(..)
            | Record::Wave(..) => {}
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Shard<P, C> {
    type Context = Context<Self>;
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Configured> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, Configured(config): Configured, ctx: &mut Self::Context) {
        let owns_service = config
            .services
            .iter()
            .any(|service| !service.is_spare && self.owns(&service.name));
        let replaced = self.config.replace(config.clone());
        let has_new_services = replaced.is_none_or(|known| known.services != config.services);
        if owns_service && !self.is_active {
            info!(self.setup.logger, "shard active: a service belongs to it"; "shard" => self.setup.shard);
            self.is_active = true;
            self.read_next(Cursor::new(self.partition(), MAX_READ_WAIT), ctx);
        }
        self.step_scheduler(Event::Config(config), ctx);
        if has_new_services && self.leadership.is_some() {
            // Entries with a service that was not named before were not used.
            self.subscribe(ctx);
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Leaderships> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, led_count: Leaderships, _: &mut Self::Context) {
        let election_timeout =
            term::election_timeout(self.setup.cpu_millicores, led_count.0, rand::random());
        self.election.set_election_timeout(election_timeout);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Stop> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        ctx.stop();
    }
}
