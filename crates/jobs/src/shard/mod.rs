//! Jobs of one shard: their fold, callers' requests about them, and the shard's leadership.

mod lead;
mod request;

pub use request::{Answer, Cancel, CountWaiting, IsFresh, Query, Status, Submit};

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, Recipient,
    WrapFuture,
};
use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Index, Load, Record};
use persimmongate_core::map::Map;
use persimmongate_core::queue::Config;
use persimmongate_core::sched::{Event, Options};
use persimmongate_core::term::{self, Election};
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use persimmongate_wire::journal;
use serde_json::{Value, json};
use slog::{Logger, info, warn};

use crate::cursor::{Batch, Cursor};
use crate::lead::{READ_WAIT, read_pause, read_wait};
use crate::operator::ConfigChanged;
use crate::platform::{Platform, Topic};
use crate::roster::Roster;
use lead::Lead;

/// Time between two reads of a leader, in which records gather: a small part of a task's run time.
const LEADER_PAUSE: Duration = Duration::from_millis(25);
/// Time between two reads of the others while callers ask for jobs that are not over.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(150);
/// Time between two reads of the others while nobody asks: callers may be told a state that is 2 s old.
const IDLE_PAUSE: Duration = Duration::from_millis(700);
/// Time since a caller's request for which it counts as waiting for its job.
const INTEREST: Duration = Duration::from_secs(4);
/// Age of the latest read above which the fold is not trusted to know all jobs.
const FRESH: Duration = Duration::from_millis(2_500);

/// Time after a failure of the log for which callers are refused at once, unless it answers: a read's
/// time limit, so that the next failure is known by then.
const TROUBLE: Duration = Duration::from_millis(2_500);

/// `Observation` tells the fleet's leader what a shard's log says.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Observation {
    /// A worker is to be freed, or no longer.
    Drain(ids::Worker, Option<Drain>),
    /// Loads of the shard's services.
    Loads(Vec<Load>),
    /// A worker is free.
    Drained(ids::Worker),
}

/// `LedCount` tells how many shards this process leads.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct LedCount(pub u32);

/// `LeadershipChanged` tells that this process leads a shard, or no longer.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct LeadershipChanged {
    /// Shard.
    pub shard: ids::Shard,
    /// Whether this process leads it.
    pub is_leader: bool,
}

/// `Resign` ends the leadership of the shard.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Resign;

/// `Stop` ends the actor without a word to the log, before another one takes its place.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;

/// `Setup` is what a shard is made from.
pub struct Setup<P: Platform, C: Copy + Send + Unpin + 'static> {
    /// Number of the shard.
    pub shard: ids::Shard,
    /// Shards of the fleet.
    pub shard_count: ids::Shard,
    /// Platform.
    pub platform: P,
    /// Name of the process.
    pub node: ids::Instance,
    /// Processor time of the host, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Limits of the scheduler.
    pub options: Options,
    /// Workers and hosts.
    pub roster: Addr<Roster<P, C>>,
    /// Told when this process leads the shard.
    pub leadership: Recipient<LeadershipChanged>,
    /// Told what the log says about hosts and loads.
    pub observer: Recipient<Observation>,
    /// Log lines.
    pub logger: Logger,
}

/// `Shard` owns the fold of a shard's jobs, and leads the shard when it is this process's turn.
pub struct Shard<P: Platform, C: Copy + Send + Unpin + 'static> {
    setup: Setup<P, C>,
    config: Option<Arc<Config>>,
    /// Whether the partition is read; it is once a service belongs to the shard.
    active: bool,
    book: Index,
    drains: Map<ids::Worker, Drain>,
    loads: Vec<Load>,
    election: Election,
    /// Time at which the latest read that reached the end was sent.
    read: Option<Instant>,
    /// Time at which a caller last asked for a job that was not over.
    asked: Option<Instant>,
    /// Time at which a call to the log failed, if none was answered since.
    trouble: Option<Instant>,
    lead: Option<Lead>,
    _guard: Guard<C>,
}

/// Gets the shard of a service.
#[must_use]
pub fn shard_of(service: &ids::Service, shards: ids::Shard) -> ids::Shard {
    // FNV-1a (Fowler, Noll, Vo): the same in every process and version.
    let hash = service
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    // Shard 0 is that of the fleet's hosts.
    let others = u64::from(shards.saturating_sub(1).max(1));
    1 + ids::Shard::try_from(hash % others).unwrap_or(0)
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Shard<P, C> {
    /// Makes a shard; it reads nothing until a service belongs to it.
    pub fn new(setup: Setup<P, C>, guard: Guard<C>) -> Self {
        let patience = term::election_timeout(setup.cpu_millicores, 0, rand::random());
        let election = Election::new(setup.node.clone(), rand::random(), patience);
        Self {
            setup,
            config: None,
            active: false,
            book: Index::default(),
            drains: Map::default(),
            loads: Vec::new(),
            election,
            read: None,
            asked: None,
            trouble: None,
            lead: None,
            _guard: guard,
        }
    }

    fn topic(&self) -> Topic {
        Topic::Jobs(self.setup.shard)
    }

    fn owns(&self, service: &ids::Service) -> bool {
        shard_of(service, self.setup.shard_count) == self.setup.shard
    }

    /// Checks if all jobs accepted until a short time ago are known.
    fn is_fresh(&self) -> bool {
        let now = clock::now();
        self.read
            .is_some_and(|at| now.saturating_duration_since(at) < FRESH)
    }

    /// Gets the time until the next read after one that brought records.
    fn pause(&self) -> Duration {
        let usual = if self.lead.is_some() {
            LEADER_PAUSE
        } else if self.election.is_leader_leaving() {
            Duration::ZERO
        } else if self.is_asked() {
            FOLLOWER_PAUSE
        } else {
            IDLE_PAUSE
        };
        read_pause(&self.election, usual)
    }

    /// Checks if callers wait for jobs of the shard.
    fn is_asked(&self) -> bool {
        let now = clock::now();
        self.asked
            .is_some_and(|at| now.saturating_duration_since(at) < INTEREST)
    }

    /// Checks if the log failed lately and has not answered since.
    fn is_in_trouble(&self) -> bool {
        let now = clock::now();
        self.trouble
            .is_some_and(|at| now.saturating_duration_since(at) < TROUBLE)
    }

    fn read_on(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let wait = read_wait(&self.election);
        let read = cursor.with_wait(wait).read(self.setup.platform.clone());
        let read = read.into_actor(self);
        ctx.spawn(read.map(|(cursor, batch), act, ctx| {
            let idle = batch.as_ref().is_ok_and(|batch| batch.records.is_empty());
            match batch {
                Ok(batch) => {
                    act.trouble = None;
                    act.apply(&cursor, &batch, ctx);
                }
                Err(failure) => {
                    act.trouble = Some(clock::now());
                    warn!(act.setup.logger, "shard unread"; "shard" => act.setup.shard,
                        "reason" => ?failure);
                }
            }
            let pause = if idle { Duration::ZERO } else { act.pause() };
            ctx.run_later(pause, move |act, ctx| act.read_on(cursor, ctx));
        }));
    }

    fn apply(&mut self, cursor: &Cursor, batch: &Batch, ctx: &mut Context<Self>) {
        if batch.is_snapshot {
            self.book.clear();
            self.drains.clear();
        }
        for entry in &batch.records {
            match journal::decode(&entry.key, entry.value.as_ref()) {
                Ok(record) => self.note(entry.offset, &record, ctx),
                Err(error) => {
                    warn!(self.setup.logger, "record skipped"; "shard" => self.setup.shard,
                        "offset" => entry.offset, "error" => %error);
                }
            }
        }
        if !cursor.has_reached(batch.end_offset) {
            return;
        }
        self.read = Some(batch.sent_at);
        let read = term::Event::Read {
            sent_at: batch.sent_at,
            end: batch.end_offset,
        };
        self.elect(read, ctx);
        self.schedule(Event::Confirmed(batch.sent_at), ctx);
    }

    /// Takes in a record of the log.
    fn note(&mut self, offset: ids::Offset, record: &Record, ctx: &mut Context<Self>) {
        self.book.apply(offset, record);
        match record {
            Record::Accepted(job) => {
                let id = job.id.clone();
                self.schedule_job(&id, ctx);
            }
            Record::Heartbeat(beat) => {
                if beat.term > 0 {
                    self.loads.clone_from(&beat.loads);
                    self.setup
                        .observer
                        .do_send(Observation::Loads(beat.loads.clone()));
                }
                let beat = beat.clone();
                self.elect(
                    term::Event::Heartbeat {
                        offset,
                        heartbeat: beat,
                    },
                    ctx,
                );
            }
            Record::Canceled(job) => self.schedule(Event::Canceled(job.clone()), ctx),
            Record::Drain(worker, drain) => {
                match drain {
                    Some(drain) => self.drains.insert(worker.clone(), drain.clone()),
                    None => self.drains.remove(worker),
                };
                self.schedule(Event::Drain(worker.clone(), drain.is_some()), ctx);
                let seen = Observation::Drain(worker.clone(), drain.clone());
                self.setup.observer.do_send(seen);
            }
            Record::Progress(..) => self.elect(term::Event::LeaderActive, ctx),
            // A record from before the drain says nothing about the worker's tasks now.
            Record::Drained(worker, _) if self.drains.contains_key(worker) => {
                self.setup
                    .observer
                    .do_send(Observation::Drained(worker.clone()));
            }
            Record::Dropped(_) | Record::Drained(..) | Record::Wave(..) => {}
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Shard<P, C> {
    type Context = Context<Self>;
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<ConfigChanged> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, ConfigChanged(config): ConfigChanged, ctx: &mut Self::Context) {
        let owns = config
            .services
            .iter()
            .any(|service| !service.is_spare && self.owns(&service.name));
        self.config = Some(config.clone());
        if owns && !self.active {
            info!(self.setup.logger, "shard in use"; "shard" => self.setup.shard);
            self.active = true;
            self.read_on(Cursor::new(self.topic(), READ_WAIT), ctx);
        }
        self.schedule(Event::Config(config), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<LedCount> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, led_count: LedCount, _: &mut Self::Context) {
        let patience =
            term::election_timeout(self.setup.cpu_millicores, led_count.0, rand::random());
        self.election.set_election_timeout(patience);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Dump> for Shard<P, C> {
    type Result = actix::MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let counts = self.lead.as_ref().map(|lead| {
            let counts = lead.scheduler.counts().into_iter();
            counts
                .map(|(name, count)| (name.to_owned(), json!(count)))
                .collect::<serde_json::Map<_, _>>()
        });
        actix::MessageResult(json!({
            "active": self.active,
            "leader": self.election.leader().map(ToString::to_string),
            "leads": counts.map(Value::Object),
            "jobs": self.book.jobs().count(),
            "fresh": self.is_fresh(),
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Stop> for Shard<P, C> {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        ctx.stop();
    }
}
