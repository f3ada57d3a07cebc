//! Maintenance waves and moves of hosts between pools, led by one process for the whole fleet.
//!
//! The actor performs what [`persimmongate_core::upkeep`] plans.

mod leadership;

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, MessageResult,
    Recipient, ResponseActFuture, WrapFuture,
};
use opentelemetry::metrics::Counter;
use persimmongate_core::ids;
use persimmongate_core::journal::{Drain, Limits, Load, Record};
use persimmongate_core::map::Map;
use persimmongate_core::queue::Config;
use persimmongate_core::term::{self, Election};
use persimmongate_core::upkeep::{Event, History, Options, Wave};
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use rand::random;
use serde_json::json;
use slog::{Logger, warn};

use crate::cursor::{Batch, Cursor};
use crate::leadership::{MAX_READ_WAIT, read_wait, resign};
use crate::operator::{Configured, Requested};
use crate::platform::{Partition, Platform};
use crate::reader::Reader;
use crate::roster::{Roster, Update};
use crate::shard::{Observation, Resign, Stop, Transition};
use leadership::Leadership;

/// Number of the shard whose partition holds the records about hosts.
const SHARD: ids::Shard = 0;
/// Interval of the planner's time-driven work.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the log lines about the demand.
const DEMAND_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of an append of the leader, with its retries.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// `Setup` holds the parameters of the actor.
pub struct Setup<P: Platform, C: Copy + Send + Unpin + 'static> {
    /// Number of shards of the fleet.
    pub shard_count: ids::Shard,
    /// Services of the platform.
    pub platform: P,
    /// Name of this process.
    pub node: ids::Instance,
    /// Processor capacity of the host in millicores.
    pub cpu_millicores: u32,
    /// Limits of the planner.
    pub options: Options,
    /// Largest records and appends that the log takes.
    pub log_limits: Limits,
    /// Source of updates about workers and hosts.
    pub roster: Addr<Roster<P, C>>,
    /// Receives a message when this process starts or stops leading the fleet.
    pub leadership_observer: Recipient<Transition>,
    /// Counts the records that are skipped, by the label `list`.
    pub skipped_entries: Counter<u64>,
    /// Logger of the process.
    pub logger: Logger,
}

/// `Fleet` follows the records about hosts and plans for the fleet while it is elected leader.
pub struct Fleet<P: Platform, C: Copy + Send + Unpin + 'static> {
    setup: Setup<P, C>,
    reader: Reader,
    config: Option<Arc<Config>>,
    /// Requested waves, each with the time at which this process read it.
    waves: Vec<(Wave, Instant)>,
    maintained: Map<ids::WaveNumber, Vec<ids::Host>>,
    drains: Map<ids::Worker, Drain>,
    loads: Map<ids::Service, Load>,
    /// What a new leader here knows of the demand before its term.
    history: History,
    election: Election,
    leadership: Option<Leadership>,
    _guard: Guard<C>,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Fleet<P, C> {
    /// Creates the actor, which reads the log once it is started.
    pub fn new(setup: Setup<P, C>, guard: Guard<C>) -> Self {
        let election_timeout = term::election_timeout(setup.cpu_millicores, 0, random());
        let election = Election::new(setup.node.clone(), random(), election_timeout);
        let reader = Reader::new(SHARD, setup.skipped_entries.clone(), setup.logger.clone());
        Self {
            setup,
            reader,
            config: None,
            waves: Vec::new(),
            maintained: Map::default(),
            drains: Map::default(),
            loads: Map::default(),
            history: History::default(),
            election,
            leadership: None,
            _guard: guard,
        }
    }

    fn read_next(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let wait = read_wait(&self.election);
        let read = cursor.with_wait(wait).read(self.setup.platform.clone());
        let read = read.into_actor(self);
        ctx.spawn(read.map(|(cursor, batch), act, ctx| {
            match batch {
                Ok(batch) => act.apply(&cursor, &batch, ctx),
                Err(failure) => {
                    warn!(act.setup.logger, "cannot read partition of fleet"; "reason" => ?failure);
                }
            }
            act.read_next(cursor, ctx);
        }));
    }

    fn apply(&mut self, cursor: &Cursor, batch: &Batch, ctx: &mut Context<Self>) {
        for entry in &batch.records {
            match self.reader.read(entry) {
                Some(Record::Heartbeat(heartbeat)) => {
                    let offset = entry.offset;
                    self.step_election(term::Event::Heartbeat { offset, heartbeat }, ctx);
                }
                Some(Record::Wave(wave, hosts)) => {
                    self.maintained.insert(wave, hosts.clone());
                    self.step_planner(Event::MaintainedHosts(wave, hosts), ctx);
                }
                Some(_) | None => {}
            }
        }
        if cursor.has_reached(batch.end_offset) {
            let read = term::Event::Read {
                sent_at: batch.sent_at,
                end: batch.end_offset,
            };
            self.step_election(read, ctx);
            self.step_planner(Event::TermConfirmed(batch.sent_at), ctx);
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Actor for Fleet<P, C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.read_next(Cursor::new(Partition::Jobs(SHARD), MAX_READ_WAIT), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Configured> for Fleet<P, C> {
    type Result = ();

    fn handle(&mut self, Configured(config): Configured, ctx: &mut Self::Context) {
        self.config = Some(config.clone());
        self.step_planner(Event::Config(config), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Requested> for Fleet<P, C> {
    type Result = ();

    fn handle(&mut self, Requested(wave): Requested, ctx: &mut Self::Context) {
        let now = clock::now();
        self.waves.retain(|(known, _)| known.number != wave.number);
        self.waves.push((wave.clone(), now));
        self.step_planner(Event::WaveRequested(wave, now), ctx);
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Update> for Fleet<P, C> {
    type Result = ();

    fn handle(&mut self, update: Update, ctx: &mut Self::Context) {
        if let Update::Hosts(listing) = update {
            self.step_planner(Event::Hosts(listing), ctx);
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Observation> for Fleet<P, C> {
    type Result = ();

    fn handle(&mut self, observation: Observation, ctx: &mut Self::Context) {
        match observation {
            Observation::Drain(worker, drain) => {
                match &drain {
                    Some(drain) => self.drains.insert(worker.clone(), drain.clone()),
                    None => self.drains.remove(&worker),
                };
                self.step_planner(Event::DrainRecorded(worker, drain), ctx);
            }
            Observation::Loads(loads) => {
                let now = clock::now();
                for load in &loads {
                    self.history.add_sample(now, load);
                    self.loads.insert(load.service.clone(), load.clone());
                }
                self.step_planner(Event::Loads(loads), ctx);
            }
            Observation::Drained(worker) => self.step_planner(Event::Drained(worker), ctx),
        }
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Resign> for Fleet<P, C> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Resign, ctx: &mut Self::Context) -> Self::Result {
        let append = self.last_append();
        self.step_election(term::Event::ShutDown, ctx);
        let (platform, logger) = (self.setup.platform.clone(), self.setup.logger.clone());
        Box::pin(resign(platform, append, logger).into_actor(self))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Dump> for Fleet<P, C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        MessageResult(json!({
            "leader": self.election.leader().map(ToString::to_string),
            "leads": self.leadership.is_some(),
            "waves": self.waves.len(),
            "drains": self.drains.len(),
        }))
    }
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Handler<Stop> for Fleet<P, C> {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        ctx.stop();
    }
}
