use actix::{ActorFutureExt, AsyncContext, Context, SpawnHandle, WrapFuture};
use persimmongate_core::ids;
use persimmongate_core::journal::{Heartbeat, Key, Record};
use persimmongate_core::term::{self, Action as Elected, HEARTBEAT_INTERVAL};
use persimmongate_core::upkeep::{Action, Event, Planner};
use persimmongate_node::clock;
use slog::{info, warn};

use super::{Fleet, LIMIT, REPORT, SHARD, TICK};
use crate::lead::{Pen, claim, encoded, persist, plain, resignation};
use crate::platform::{Append, Failure, Platform, Topic};
use crate::roster::{Subscribe, Unsubscribe};
use crate::shard::{LeadershipChanged, shard_of};

/// `Lead` is the leadership in one term.
pub(super) struct Lead {
    term: ids::Term,
    pub(super) planner: Planner,
    pen: Pen,
    /// Records for the next append; appends follow each other, as the log checks their order.
    queue: Vec<Record>,
    /// Whether an append is under way.
    writing: bool,
    tick: SpawnHandle,
    beat: SpawnHandle,
    report: SpawnHandle,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Fleet<P, C> {
    pub(super) fn elect(&mut self, event: term::Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.election.step(clock::now(), event, &mut actions);
        for action in actions {
            match action {
                Elected::Claim {
                    expected_end: at,
                    nonce,
                } => self.claim(at, nonce, ctx),
                Elected::Lead {
                    term,
                    has_predecessor: succeeds,
                    predecessor_resigned: resigned,
                } => self.take_over(term, succeeds && !resigned, ctx),
                Elected::StepDown => self.give_up(ctx),
            }
        }
    }

    fn claim(&mut self, at: ids::Offset, nonce: u64, ctx: &mut Context<Self>) {
        let append = claim(Topic::Jobs(SHARD), at, self.setup.node.clone(), nonce);
        let Some(append) = encoded(append, &self.setup.logger) else {
            return;
        };
        let appended = self.setup.platform.append(append).into_actor(self);
        ctx.spawn(appended.map(move |appended, act, ctx| {
            info!(act.setup.logger, "fleet claimed"; "at" => at, "outcome" => ?appended);
            if appended.is_err_and(|failure| failure != Failure::Unknown) {
                act.elect(term::Event::ClaimRejected, ctx);
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
            pen: Pen::new(Topic::Jobs(SHARD), term),
            queue: Vec::new(),
            writing: false,
            tick: ctx.run_interval(TICK, |act, ctx| act.plan(Event::Tick, ctx)),
            beat: ctx.run_interval(HEARTBEAT_INTERVAL, Self::beat),
            report: ctx.run_interval(REPORT, |act, _| act.report()),
        });
        let mut events: Vec<Event> = Vec::new();
        events.extend(self.config.clone().map(Event::Config));
        events.push(Event::Loads(self.loads.values().cloned().collect()));
        let drains = self.drains.iter();
        events.extend(
            drains.map(|(worker, drain)| Event::DrainRecorded(worker.clone(), Some(drain.clone()))),
        );
        let waves = self.waves.iter().cloned();
        events.extend(waves.map(|(wave, asked)| Event::WaveRequested(wave, asked)));
        let maintained = self.maintained.iter();
        events.extend(maintained.map(|(wave, hosts)| Event::MaintainedHosts(*wave, hosts.clone())));
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
            let idle = load
                .least_loaded
                .iter()
                .filter(|(_, used)| *used == 0)
                .count();
            info!(self.setup.logger, "demand"; "service" => %load.service, "has" => has,
                "needs" => needs, "used" => load.used, "lasting" => load.long_running,
                "waiting" => load.backlog, "offered" => load.offered_load, "room" => load.capacity,
                "spread" => load.min_hosts, "idle" => idle, "term" => lead.term);
        }
    }

    fn tell(&self, is_leader: bool) {
        self.setup.leadership.do_send(LeadershipChanged {
            shard: SHARD,
            is_leader,
        });
    }

    fn beat(&mut self, ctx: &mut Context<Self>) {
        let Some(lead) = &self.lead else {
            return;
        };
        let beat = Record::Heartbeat(Heartbeat {
            term: lead.term,
            node: self.setup.node.clone(),
            ..Heartbeat::default()
        });
        self.record(beat, ctx);
    }

    /// Makes the append with which the leadership ends, with the records that still wait.
    pub(super) fn last_append(&mut self) -> Option<Append> {
        let node = self.setup.node.clone();
        let lead = self.lead.as_mut()?;
        lead.queue.push(resignation(lead.term, node));
        encoded(lead.pen.append(&lead.queue), &self.setup.logger)
    }

    /// Appends a record of the leader, after those that are on their way.
    fn record(&mut self, record: Record, ctx: &mut Context<Self>) {
        if let Some(lead) = &mut self.lead {
            // The newest record of a key says all that the ones before it said.
            lead.queue.retain(|queued| queued.key() != record.key());
            lead.queue.push(record);
        }
        self.write(ctx);
    }

    /// Appends the records that wait, unless an append is under way.
    fn write(&mut self, ctx: &mut Context<Self>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.writing || lead.queue.is_empty() {
            return;
        }
        let term = lead.term;
        let append = lead.pen.append(&std::mem::take(&mut lead.queue));
        let Some(append) = encoded(append, &self.setup.logger) else {
            return;
        };
        lead.writing = true;
        let persisted = persist(
            self.setup.platform.clone(),
            append,
            Some(clock::now() + LIMIT),
        );
        ctx.spawn(persisted.into_actor(self).map(move |appended, act, ctx| {
            let Some(lead) = act.lead.as_mut().filter(|lead| lead.term == term) else {
                return;
            };
            lead.writing = false;
            match appended {
                Ok(_) => act.write(ctx),
                Err(failure) => {
                    warn!(act.setup.logger, "leader's append refused"; "reason" => ?failure);
                    act.elect(term::Event::Fenced, ctx);
                }
            }
        }));
    }

    pub(super) fn plan(&mut self, event: Event, ctx: &mut Context<Self>) {
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
                let vacated = Record::Dropped(Key::Drained(worker.clone()));
                self.request(&drain.service, &[Record::Drain(worker, None), vacated], ctx);
            }
            Action::CallHostService(order) => {
                let answered = self
                    .setup
                    .platform
                    .send_host_command(order.clone())
                    .into_actor(self);
                ctx.spawn(answered.map(move |answer, act, ctx| {
                    info!(act.setup.logger, "host told"; "host" => %order.host,
                        "order" => ?order.operation, "token" => order.fencing_token, "answer" => ?answer);
                    if act.lead.as_ref().is_some_and(|lead| lead.term == term) {
                        act.plan(Event::Answered(order, answer), ctx);
                    }
                }));
            }
            Action::RecordMaintained(wave, hosts) => self.record(Record::Wave(wave, hosts), ctx),
            Action::ReportWave(wave, completed) => {
                info!(self.setup.logger, "wave"; "wave" => wave, "completed" => completed);
                let (key, value) = self.setup.platform.encode_wave_status(wave, completed);
                let append = Append {
                    topic: Topic::Status,
                    records: vec![(key, Some(value))],
                    expected_end: None,
                    writer: None,
                };
                self.append(append, ctx);
            }
        }
    }

    /// Appends records for the leader of a service's shard.
    fn request(&self, service: &ids::Service, records: &[Record], ctx: &mut Context<Self>) {
        let shard = shard_of(service, self.setup.shard_count);
        if let Some(append) = encoded(plain(Topic::Jobs(shard), records), &self.setup.logger) {
            self.append(append, ctx);
        }
    }

    fn append(&self, append: Append, ctx: &mut Context<Self>) {
        let topic = append.topic;
        let persisted = persist(
            self.setup.platform.clone(),
            append,
            Some(clock::now() + LIMIT),
        );
        ctx.spawn(persisted.into_actor(self).map(move |appended, act, _| {
            if let Err(failure) = appended {
                warn!(act.setup.logger, "request not recorded"; "topic" => ?topic,
                    "reason" => ?failure);
            }
        }));
    }
}
