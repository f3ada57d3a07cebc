//! Waves of maintenance and moves of hosts, led by one process for the whole fleet.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, MessageResult,
    Recipient, ResponseActFuture, SpawnHandle, WrapFuture,
};
use persimmongate_core::ids;
use persimmongate_core::journal::{Beat, Drain, Key, Load, Record};
use persimmongate_core::map::Map;
use persimmongate_core::queue::Config;
use persimmongate_core::term::{self, Action as Elected, BEAT, Election};
use persimmongate_core::upkeep::{Action, Event, Options, Planner, Wave};
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::supervisor::Guard;
use persimmongate_wire::journal;
use rand::random;
use serde_json::json;
use slog::{Logger, error, info, warn};

use crate::edge::{Append, Author, Edge, Failure, Topic};
use crate::follow::{Batch, Cursor};
use crate::lead::{claim, encode, persist};
use crate::operator::{Asked, Configured};
use crate::roster::{News, Roster, Subscribe, Unsubscribe};
use crate::shard::{Leave, Led, Seen, Stop, shard_of};

/// Shard whose partition holds the records about hosts.
const SHARD: ids::Shard = 0;
/// Time that a read waits for a record.
const WAIT: Duration = Duration::from_millis(500);
/// Longest time that a process leaves to others before it claims.
const PATIENCE_MAX_MS: u64 = 250;
/// Time between two rounds of a planner.
const TICK: Duration = Duration::from_millis(250);
/// Time between two log lines about the demand.
const REPORT: Duration = Duration::from_secs(1);
/// Time that an append of a leader may take before it is given up.
const LIMIT: Duration = Duration::from_secs(5);

/// `Setup` is what the actor is made from.
pub struct Setup<E: Edge, C: Copy + Send + Unpin + 'static> {
    /// Shards of the fleet.
    pub shards: ids::Shard,
    /// Platform.
    pub edge: E,
    /// Name of the process.
    pub node: ids::Instance,
    /// Limits of the planner.
    pub options: Options,
    /// Workers and hosts.
    pub roster: Addr<Roster<E, C>>,
    /// Told when this process leads.
    pub led: Recipient<Led>,
    /// Log lines.
    pub logger: Logger,
}

/// `Lead` is the leadership in one term.
struct Lead {
    term: ids::Term,
    planner: Planner,
    sequence: u64,
    tick: SpawnHandle,
    beat: SpawnHandle,
    report: SpawnHandle,
}

/// `Fleet` follows the records about hosts, and leads when it is this process's turn.
pub struct Fleet<E: Edge, C: Copy + Send + Unpin + 'static> {
    setup: Setup<E, C>,
    config: Option<Arc<Config>>,
    /// Waves asked for, with the time at which this process learned of each.
    waves: Vec<(Wave, Instant)>,
    maintained: Map<ids::WaveNumber, Vec<ids::Host>>,
    drains: Map<ids::Worker, Drain>,
    loads: Map<ids::Service, Load>,
    election: Election,
    lead: Option<Lead>,
    _guard: Guard<C>,
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Fleet<E, C> {
    /// Makes the actor; it starts to read when it is started.
    pub fn new(setup: Setup<E, C>, guard: Guard<C>) -> Self {
        let patience = Duration::from_millis(rand::random_range(0..PATIENCE_MAX_MS));
        let election = Election::new(setup.node.clone(), random(), patience, clock::now());
        Self {
            setup,
            config: None,
            waves: Vec::new(),
            maintained: Map::default(),
            drains: Map::default(),
            loads: Map::default(),
            election,
            lead: None,
            _guard: guard,
        }
    }

    fn read_on(&self, cursor: Cursor, ctx: &mut Context<Self>) {
        let read = cursor.read(self.setup.edge.clone()).into_actor(self);
        ctx.spawn(read.map(|(cursor, batch), act, ctx| {
            match batch {
                Ok(batch) => act.apply(&cursor, &batch, ctx),
                Err(failure) => warn!(act.setup.logger, "fleet unread"; "reason" => ?failure),
            }
            act.read_on(cursor, ctx);
        }));
    }

    fn apply(&mut self, cursor: &Cursor, batch: &Batch, ctx: &mut Context<Self>) {
        for raw in &batch.records {
            match journal::decode(&raw.key, raw.value.as_ref()) {
                Ok(Record::Beat(beat)) => {
                    let offset = raw.offset;
                    self.elect(term::Event::Beat { offset, beat }, ctx);
                }
                Ok(Record::Wave(wave, hosts)) => {
                    self.maintained.insert(wave, hosts.clone());
                    self.plan(Event::Maintained(wave, hosts), ctx);
                }
                Ok(_) => {}
                Err(problem) => {
                    warn!(self.setup.logger, "record skipped"; "offset" => raw.offset,
                        "error" => %problem);
                }
            }
        }
        if cursor.is_at(batch.end) {
            let read = term::Event::Read {
                sent: batch.sent,
                end: batch.end,
            };
            self.elect(read, ctx);
            self.plan(Event::Confirmed(batch.sent), ctx);
        }
    }

    fn elect(&mut self, event: term::Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.election.step(clock::now(), event, &mut actions);
        for action in actions {
            match action {
                Elected::Claim { at, nonce } => self.claim(at, nonce, ctx),
                Elected::Lead {
                    term,
                    succeeds,
                    resigned,
                } => self.take_over(term, succeeds && !resigned, ctx),
                Elected::Yield => self.give_up(ctx),
            }
        }
    }

    fn claim(&mut self, at: ids::Offset, nonce: u64, ctx: &mut Context<Self>) {
        let append = match claim(Topic::Jobs(SHARD), at, self.setup.node.clone(), nonce) {
            Ok(append) => append,
            Err(problem) => {
                error!(self.setup.logger, "claim not encoded"; "error" => %problem);
                return;
            }
        };
        let appended = self.setup.edge.append(append).into_actor(self);
        ctx.spawn(appended.map(move |appended, act, ctx| {
            info!(act.setup.logger, "fleet claimed"; "at" => at, "outcome" => ?appended);
            if appended.is_err_and(|failure| failure != Failure::Unknown) {
                act.elect(term::Event::Refused, ctx);
            }
        }));
    }

    fn take_over(&mut self, term: ids::Term, succeeds: bool, ctx: &mut Context<Self>) {
        info!(self.setup.logger, "leads fleet"; "term" => term, "succeeds" => succeeds);
        let (options, node) = (self.setup.options.clone(), self.setup.node.clone());
        let planner = Planner::new(options, node, term, succeeds, clock::now());
        self.lead = Some(Lead {
            term,
            planner,
            sequence: 0,
            tick: ctx.run_interval(TICK, |act, ctx| act.plan(Event::Tick, ctx)),
            beat: ctx.run_interval(BEAT, |act, ctx| act.beat(false, ctx)),
            report: ctx.run_interval(REPORT, |act, _| act.report()),
        });
        let mut events: Vec<Event> = Vec::new();
        events.extend(self.config.clone().map(Event::Config));
        events.push(Event::Loads(self.loads.values().cloned().collect()));
        let drains = self.drains.iter();
        events.extend(
            drains.map(|(worker, drain)| Event::Drain(worker.clone(), Some(drain.clone()))),
        );
        let waves = self.waves.iter().cloned();
        events.extend(waves.map(|(wave, asked)| Event::Wave(wave, asked)));
        let maintained = self.maintained.iter();
        events.extend(maintained.map(|(wave, hosts)| Event::Maintained(*wave, hosts.clone())));
        for event in events {
            self.plan(event, ctx);
        }
        let recipient = ctx.address().recipient();
        self.setup.roster.do_send(Subscribe(SHARD, recipient));
        self.tell(true);
    }

    fn give_up(&mut self, ctx: &mut Context<Self>) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        warn!(self.setup.logger, "leads fleet no more"; "term" => lead.term);
        ctx.cancel_future(lead.tick);
        ctx.cancel_future(lead.beat);
        ctx.cancel_future(lead.report);
        self.setup.roster.do_send(Unsubscribe(SHARD));
        self.tell(false);
    }

    /// Writes what decides about moves.
    fn report(&self) {
        let Some(lead) = &self.lead else {
            return;
        };
        for (has, needs, load) in lead.planner.demands() {
            info!(self.setup.logger, "demand"; "service" => %load.service, "has" => has,
                "needs" => needs, "used" => load.used, "lasting" => load.lasting,
                "waiting" => load.waiting, "offered" => load.offered, "room" => load.room,
                "spread" => load.spread, "idle" => load.light.iter().filter(|(_, used)| *used == 0).count(), "term" => lead.term);
        }
    }

    fn tell(&self, leads: bool) {
        self.setup.led.do_send(Led {
            shard: SHARD,
            leads,
        });
    }

    fn beat(&mut self, resigned: bool, ctx: &mut Context<Self>) {
        let Some(lead) = &self.lead else {
            return;
        };
        let beat = Record::Beat(Beat {
            term: lead.term,
            node: self.setup.node.clone(),
            resigned,
            ..Beat::default()
        });
        self.record(beat, ctx);
    }

    /// Appends a record of the leader.
    fn record(&mut self, record: Record, ctx: &mut Context<Self>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Ok(records) = encode(&[record]) else {
            error!(self.setup.logger, "record not encoded");
            return;
        };
        lead.sequence += 1;
        let term = lead.term;
        let append = Append {
            topic: Topic::Jobs(SHARD),
            records,
            at: None,
            author: Some(Author {
                term,
                sequence: lead.sequence,
            }),
        };
        let persisted = persist(self.setup.edge.clone(), append, Some(clock::now() + LIMIT));
        ctx.spawn(persisted.into_actor(self).map(move |appended, act, ctx| {
            if let Err(failure) = appended
                && act.lead.as_ref().is_some_and(|lead| lead.term == term)
            {
                warn!(act.setup.logger, "leader's append refused"; "reason" => ?failure);
                act.elect(term::Event::Fenced, ctx);
            }
        }));
    }

    fn plan(&mut self, event: Event, ctx: &mut Context<Self>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let mut actions = Vec::new();
        lead.planner.step(clock::now(), event, &mut actions);
        let term = lead.term;
        for action in actions {
            self.carry_out(term, action, ctx);
        }
    }

    fn carry_out(&mut self, term: ids::Term, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Drain(worker, drain) => {
                info!(self.setup.logger, "drain"; "host" => %drain.host, "worker" => %worker);
                let service = drain.service.clone();
                self.request(&service, &[Record::Drain(worker, Some(drain))], ctx);
            }
            Action::Undrain(worker, drain) => {
                info!(self.setup.logger, "drain over"; "host" => %drain.host, "worker" => %worker);
                let vacated = Record::Dropped(Key::Vacated(worker.clone()));
                self.request(&drain.service, &[Record::Drain(worker, None), vacated], ctx);
            }
            Action::Steer(order) => {
                let answered = self.setup.edge.steer(order.clone()).into_actor(self);
                ctx.spawn(answered.map(move |answer, act, ctx| {
                    info!(act.setup.logger, "host told"; "host" => %order.host,
                        "order" => ?order.kind, "token" => order.token, "answer" => ?answer);
                    if act.lead.as_ref().is_some_and(|lead| lead.term == term) {
                        act.plan(Event::Answered(order, answer), ctx);
                    }
                }));
            }
            Action::Record(wave, hosts) => self.record(Record::Wave(wave, hosts), ctx),
            Action::Status(wave, completed) => {
                info!(self.setup.logger, "wave"; "wave" => wave, "completed" => completed);
                let (key, value) = self.setup.edge.status(wave, completed);
                self.append(Topic::Status, vec![(key, Some(value))], ctx);
            }
        }
    }

    /// Appends records for the leader of a service's shard.
    fn request(&self, service: &ids::Service, records: &[Record], ctx: &mut Context<Self>) {
        let shard = shard_of(service, self.setup.shards);
        match encode(records) {
            Ok(records) => self.append(Topic::Jobs(shard), records, ctx),
            Err(problem) => error!(self.setup.logger, "not encoded"; "error" => %problem),
        }
    }

    fn append(
        &self,
        topic: Topic,
        records: Vec<(bytestring::ByteString, Option<bytes::Bytes>)>,
        ctx: &mut Context<Self>,
    ) {
        let append = Append {
            topic,
            records,
            at: None,
            author: None,
        };
        let persisted = persist(self.setup.edge.clone(), append, Some(clock::now() + LIMIT));
        ctx.spawn(persisted.into_actor(self).map(move |appended, act, _| {
            if let Err(failure) = appended {
                warn!(act.setup.logger, "request not recorded"; "topic" => ?topic,
                    "reason" => ?failure);
            }
        }));
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Actor for Fleet<E, C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.read_on(Cursor::new(Topic::Jobs(SHARD), WAIT), ctx);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Configured> for Fleet<E, C> {
    type Result = ();

    fn handle(&mut self, Configured(config): Configured, ctx: &mut Self::Context) {
        self.config = Some(config.clone());
        self.plan(Event::Config(config), ctx);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Asked> for Fleet<E, C> {
    type Result = ();

    fn handle(&mut self, Asked(wave): Asked, ctx: &mut Self::Context) {
        let now = clock::now();
        self.waves.retain(|(known, _)| known.number != wave.number);
        self.waves.push((wave.clone(), now));
        self.plan(Event::Wave(wave, now), ctx);
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<News> for Fleet<E, C> {
    type Result = ();

    fn handle(&mut self, news: News, ctx: &mut Self::Context) {
        if let News::Hosts(hosts) = news {
            self.plan(Event::Hosts(hosts), ctx);
        }
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Seen> for Fleet<E, C> {
    type Result = ();

    fn handle(&mut self, seen: Seen, ctx: &mut Self::Context) {
        match seen {
            Seen::Drain(worker, drain) => {
                match &drain {
                    Some(drain) => self.drains.insert(worker.clone(), drain.clone()),
                    None => self.drains.remove(&worker),
                };
                self.plan(Event::Drain(worker, drain), ctx);
            }
            Seen::Loads(loads) => {
                for load in &loads {
                    self.loads.insert(load.service.clone(), load.clone());
                }
                self.plan(Event::Loads(loads), ctx);
            }
            Seen::Vacated(worker) => self.plan(Event::Vacated(worker), ctx),
        }
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Leave> for Fleet<E, C> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Leave, ctx: &mut Self::Context) -> Self::Result {
        self.beat(true, ctx);
        self.elect(term::Event::Leave, ctx);
        Box::pin(std::future::ready(()).into_actor(self))
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Dump> for Fleet<E, C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        MessageResult(json!({
            "leader": self.election.leader().map(ToString::to_string),
            "leads": self.lead.is_some(),
            "waves": self.waves.len(),
            "drains": self.drains.len(),
        }))
    }
}

impl<E: Edge, C: Copy + Send + Unpin + 'static> Handler<Stop> for Fleet<E, C> {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        ctx.stop();
    }
}
