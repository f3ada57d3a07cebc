use actix::{ActorFutureExt, AsyncContext, Context, SpawnHandle, WrapFuture};
use persimmongate_core::ids;
use persimmongate_core::journal::{Heartbeat, Key, Record};
use persimmongate_core::map::Map;
use persimmongate_core::term::{self, Action as Elected, HEARTBEAT_INTERVAL};
use persimmongate_core::upkeep::{Action, Event, Planner, Predecessor};
use persimmongate_node::clock;
use slog::{info, warn};

use super::{APPEND_TIMEOUT, DEMAND_LOG_INTERVAL, Fleet, SHARD, TICK_INTERVAL};
use crate::leadership::{
    Sequencer, append_with_retry, claim, encoded_or_logged, remove_unstorable, resignation,
    unconditional_append,
};
use crate::platform::{Append, Failure, Partition, Platform};
use crate::roster::{Subscribe, Unsubscribe};
use crate::shard::{Transition, shard_of};

/// Maximum number of records about drains in one append, which stays far below the largest call.
const MAX_REQUESTS_PER_APPEND: usize = 500;

/// `Requests` is records for the leaders of shards, by shard.
type Requests = Map<ids::Shard, Vec<Record>>;

/// `Leadership` is the state that this process keeps while it leads the fleet, in one term.
pub(super) struct Leadership {
    term: ids::Term,
    pub(super) planner: Planner,
    sequencer: Sequencer,
    /// Records for the next append. Appends are made one after another, as the log checks their order.
    pending: Vec<Record>,
    /// Whether an append is in flight.
    is_appending: bool,
    tick_timer: SpawnHandle,
    heartbeat_timer: SpawnHandle,
    report_timer: SpawnHandle,
}

impl<P: Platform, C: Copy + Send + Unpin + 'static> Fleet<P, C> {
    pub(super) fn step_election(&mut self, event: term::Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        self.election.step(clock::now(), event, &mut actions);
        for action in actions {
            match action {
                Elected::Claim {
                    expected_end,
                    nonce,
                } => self.claim(expected_end, nonce, ctx),
                Elected::Lead {
                    term,
                    has_predecessor,
                    predecessor_resigned,
                } => {
                    let predecessor = match (has_predecessor, predecessor_resigned) {
                        (false, _) => Predecessor::Absent,
                        (true, true) => Predecessor::Resigned,
                        (true, false) => Predecessor::Active,
                    };
                    self.take_over(term, predecessor, ctx);
                }
                Elected::StepDown => self.step_down(ctx),
            }
        }
    }

    fn claim(&mut self, expected_end: ids::Offset, nonce: u64, ctx: &mut Context<Self>) {
        let append = claim(
            Partition::Jobs(SHARD),
            expected_end,
            self.setup.node.clone(),
            nonce,
        );
        let Some(append) = encoded_or_logged(append, &self.setup.logger) else {
            return;
        };
        let appended = self.setup.platform.append(append).into_actor(self);
        ctx.spawn(appended.map(move |appended, act, ctx| {
            info!(act.setup.logger, "fleet claim answered"; "at" => expected_end, "outcome" => ?appended);
            if appended.is_err_and(|failure| failure != Failure::Unknown) {
                act.step_election(term::Event::ClaimRejected, ctx);
            }
        }));
    }

    fn take_over(&mut self, term: ids::Term, predecessor: Predecessor, ctx: &mut Context<Self>) {
        info!(self.setup.logger, "became leader of fleet"; "term" => term, "predecessor" => ?predecessor);
        let (options, node) = (self.setup.options.clone(), self.setup.node.clone());
        let history = self.history.clone();
        let planner = Planner::new(options, node, term, predecessor, history, clock::now());
        self.leadership = Some(Leadership {
            term,
            planner,
            sequencer: Sequencer::new(Partition::Jobs(SHARD), term),
            pending: Vec::new(),
            is_appending: false,
            tick_timer: ctx
                .run_interval(TICK_INTERVAL, |act, ctx| act.step_planner(Event::Tick, ctx)),
            heartbeat_timer: ctx.run_interval(HEARTBEAT_INTERVAL, Self::append_heartbeat),
            report_timer: ctx.run_interval(DEMAND_LOG_INTERVAL, |act, _| act.log_demand()),
        });
        let mut events: Vec<Event> = Vec::new();
        events.extend(self.config.clone().map(Event::Config));
        events.push(Event::Loads(self.loads.values().cloned().collect()));
        let drains = self.drains.iter();
        events.extend(
            drains.map(|(worker, drain)| Event::DrainRecorded(worker.clone(), Some(drain.clone()))),
        );
        let waves = self.waves.iter().cloned();
        events.extend(waves.map(|(wave, requested_at)| Event::WaveRequested(wave, requested_at)));
        let maintained = self.maintained.iter();
        events.extend(maintained.map(|(wave, hosts)| Event::MaintainedHosts(*wave, hosts.clone())));
        for event in events {
            self.step_planner(event, ctx);
        }
        let recipient = ctx.address().recipient();
        self.setup.roster.do_send(Subscribe(SHARD, recipient));
        self.report_leadership(true);
    }

    fn step_down(&mut self, ctx: &mut Context<Self>) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        warn!(self.setup.logger, "no longer leader of fleet"; "term" => leadership.term);
        ctx.cancel_future(leadership.tick_timer);
        ctx.cancel_future(leadership.heartbeat_timer);
        ctx.cancel_future(leadership.report_timer);
        self.setup.roster.do_send(Unsubscribe(SHARD));
        self.report_leadership(false);
    }

    /// Logs the demand of each service, on which moves of hosts are decided.
    fn log_demand(&self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        for (host_count, desired, load) in leadership.planner.demands() {
            let idle_count = load
                .short_running_workers
                .iter()
                .filter(|(_, used)| *used == 0)
                .count();
            info!(self.setup.logger, "demand"; "service" => %load.service, "has" => host_count,
                "needs" => desired, "used" => load.used, "lasting" => load.long_running,
                "waiting" => load.backlog, "offered" => load.arrival_rate, "room" => load.capacity,
                "spread" => load.min_hosts, "idle" => idle_count, "term" => leadership.term);
        }
    }

    fn report_leadership(&self, is_leader: bool) {
        self.setup.leadership_observer.do_send(Transition {
            shard: SHARD,
            is_leader,
        });
    }

    fn append_heartbeat(&mut self, ctx: &mut Context<Self>) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let heartbeat = Record::Heartbeat(Heartbeat {
            term: leadership.term,
            node: self.setup.node.clone(),
            ..Heartbeat::default()
        });
        self.record(heartbeat, ctx);
    }

    /// Creates the append that ends the leadership, with the records that are still pending.
    pub(super) fn last_append(&mut self) -> Option<Append> {
        let node = self.setup.node.clone();
        let leadership = self.leadership.as_mut()?;
        leadership.pending.push(resignation(leadership.term, node));
        encoded_or_logged(
            leadership.sequencer.append(&leadership.pending),
            &self.setup.logger,
        )
    }

    /// Appends a record of the leader after those in flight.
    fn record(&mut self, record: Record, ctx: &mut Context<Self>) {
        if let Some(leadership) = &mut self.leadership {
            // The newest record of a key replaces the earlier ones.
            leadership
                .pending
                .retain(|pending| pending.key() != record.key());
            leadership.pending.push(record);
        }
        self.flush(ctx);
    }

    /// Appends the pending records unless an append is in flight.
    fn flush(&mut self, ctx: &mut Context<Self>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.is_appending || leadership.pending.is_empty() {
            return;
        }
        let term = leadership.term;
        let append = leadership
            .sequencer
            .append(&std::mem::take(&mut leadership.pending));
        let Some(mut append) = encoded_or_logged(append, &self.setup.logger) else {
            return;
        };
        remove_unstorable(&mut append, &self.setup.log_limits, &self.setup.logger);
        leadership.is_appending = true;
        let appending = append_with_retry(
            self.setup.platform.clone(),
            append,
            Some(clock::now() + APPEND_TIMEOUT),
        );
        ctx.spawn(appending.into_actor(self).map(move |appended, act, ctx| {
            let Some(leadership) = act
                .leadership
                .as_mut()
                .filter(|leadership| leadership.term == term)
            else {
                return;
            };
            leadership.is_appending = false;
            match appended {
                Ok(_) => act.flush(ctx),
                Err(failure) => {
                    warn!(act.setup.logger, "append of leader failed"; "reason" => ?failure);
                    act.step_election(term::Event::Fenced, ctx);
                }
            }
        }));
    }

    pub(super) fn step_planner(&mut self, event: Event, ctx: &mut Context<Self>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut actions = Vec::new();
        leadership.planner.step(clock::now(), event, &mut actions);
        let term = leadership.term;
        let mut requests = Requests::default();
        for action in actions {
            self.perform(term, action, &mut requests, ctx);
        }
        for (shard, records) in requests {
            self.append_requests(shard, &records, ctx);
        }
    }

    /// Carries out an action. Records for the leaders of shards are added to `requests`.
    fn perform(
        &mut self,
        term: ids::Term,
        action: Action,
        requests: &mut Requests,
        ctx: &mut Context<Self>,
    ) {
        let shard_count = self.setup.shard_count;
        let mut request = |service: &ids::Service, records: Vec<Record>| {
            let shard = shard_of(service, shard_count);
            requests.entry(shard).or_default().extend(records);
        };
        match action {
            Action::Drain(worker, drain) => {
                info!(self.setup.logger, "drain requested"; "host" => %drain.host, "worker" => %worker);
                let service = drain.service.clone();
                request(&service, vec![Record::Drain(worker, Some(drain))]);
            }
            Action::Undrain(worker, drain) => {
                info!(self.setup.logger, "drain withdrawn"; "host" => %drain.host, "worker" => %worker);
                let drained = Record::Dropped(Key::Drained(worker.clone()));
                request(&drain.service, vec![Record::Drain(worker, None), drained]);
            }
            Action::SchedulePlan(wait) => {
                ctx.run_later(wait, move |act, ctx| {
                    let leadership = act.leadership.as_ref();
                    if leadership.is_some_and(|leadership| leadership.term == term) {
                        act.step_planner(Event::PlanDue, ctx);
                    }
                });
            }
            Action::CallHostService(command) => {
                let answered = self
                    .setup
                    .platform
                    .send_host_command(command.clone())
                    .into_actor(self);
                ctx.spawn(answered.map(move |answer, act, ctx| {
                    info!(act.setup.logger, "host command answered"; "host" => %command.host,
                        "order" => ?command.operation, "token" => command.fencing_token, "answer" => ?answer);
                    if act
                        .leadership
                        .as_ref()
                        .is_some_and(|leadership| leadership.term == term)
                    {
                        act.step_planner(Event::Answered(command, answer), ctx);
                    }
                }));
            }
            Action::RecordMaintained(wave, hosts) => self.record(Record::Wave(wave, hosts), ctx),
            Action::ReportWave(wave, completed) => {
                info!(self.setup.logger, "reporting wave status"; "wave" => wave, "completed" => completed);
                let (key, value) = self.setup.platform.encode_wave_status(wave, completed);
                let append = Append {
                    partition: Partition::Status,
                    records: vec![(key, Some(value))],
                    expected_end: None,
                    writer: None,
                };
                self.append(append, ctx);
            }
        }
    }

    /// Appends records to the partition of a shard, for the leader there.
    fn append_requests(&self, shard: ids::Shard, records: &[Record], ctx: &mut Context<Self>) {
        for batch in records.chunks(MAX_REQUESTS_PER_APPEND) {
            let append = unconditional_append(Partition::Jobs(shard), batch);
            if let Some(append) = encoded_or_logged(append, &self.setup.logger) {
                self.append(append, ctx);
            }
        }
    }

    fn append(&self, append: Append, ctx: &mut Context<Self>) {
        let partition = append.partition;
        let appending = append_with_retry(
            self.setup.platform.clone(),
            append,
            Some(clock::now() + APPEND_TIMEOUT),
        );
        ctx.spawn(appending.into_actor(self).map(move |appended, act, _| {
            if let Err(failure) = appended {
                warn!(act.setup.logger, "record not appended to the log"; "topic" => ?partition,
                    "reason" => ?failure);
            }
        }));
    }
}
