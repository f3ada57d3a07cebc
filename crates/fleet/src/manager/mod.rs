//! Actor that feeds events to the manager's state machine and carries out the resulting actions.

use std::path::Path;
use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, MessageResult, WrapFuture,
};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_core::fleet::{Action, Call, Event, Manager as StateMachine, Options, buffer};
use persimmongate_core::ids;
use persimmongate_core::invariant;
use persimmongate_core::record::Listing;
use persimmongate_core::trace;
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::invariant::Notifier;
use persimmongate_node::log::{Append, Appended, Follower, Update};
use persimmongate_node::peer::Inbound;
use persimmongate_node::platform::{Client, HostList, SkippedRow};
use persimmongate_node::supervisor::Guard;
use persimmongate_node::trace::Recorder;
use serde_json::json;
use slog::{Logger, warn};

use crate::tree::Child;

/// Time between two comparisons of the replayed state with the target state.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two reads of the platform's host list.
const LIST_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Size of one host's entry in the platform's host list, in bytes.
const HOST_ENTRY_BYTES: u32 = 170;
/// Largest rate at which the host list is read; a longer list is read less often.
const LIST_MAX_BYTES_PER_SECOND: u32 = 4096;

/// `Manager` is the actor that owns the manager's state machine and calls the platform.
pub(crate) struct Manager<C: Copy + Send + 'static> {
    state_machine: StateMachine,
    invariants: invariant::Fleet,
    breach_reporter: Notifier,
    recorder: Option<Recorder>,
    /// Log offset after the last change applied; changes before it are ignored.
    next_offset: ids::Offset,
    platform: Client,
    follower: Option<Addr<Follower<Child>>>,
    /// Expected share of all hosts that are under repair, in percent.
    repair_percent: u32,
    calls: Counter<u64>,
    failed_calls: Counter<u64>,
    skipped_entries: Counter<u64>,
    /// Rows of the latest host list that were skipped.
    skipped_rows: Vec<SkippedRow>,
    logger: Logger,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Manager<C> {
    pub(crate) fn new(
        instance: ids::Instance,
        options: Options,
        trace: Option<&Path>,
        platform: Client,
        meter: &Meter,
        logger: Logger,
        guard: Guard<C>,
    ) -> Self {
        let recorder = trace.and_then(|path| {
            let (instance, options) = (instance.clone(), options.clone());
            let source = trace::Source::Fleet { instance, options };
            Recorder::create_or_warn(path, clock::now(), source, &logger)
        });
        Self {
            repair_percent: options.repair_percent,
            state_machine: StateMachine::new(instance, options),
            invariants: invariant::Fleet::default(),
            breach_reporter: Notifier::new(meter, logger.clone()),
            recorder,
            next_offset: 0,
            platform,
            follower: None,
            calls: meter.u64_counter("platform_calls").build(),
            failed_calls: meter.u64_counter("platform_refusals").build(),
            skipped_entries: meter.u64_counter("entries_skipped").build(),
            skipped_rows: Vec::new(),
            logger,
            _guard: guard,
        }
    }

    fn step(&mut self, event: Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        let observed = event.clone();
        let now = clock::now();
        self.state_machine.step(now, event, &mut actions);
        let mut breaches = Vec::new();
        self.invariants.observe(
            self.state_machine.view(),
            &observed,
            &actions,
            &mut breaches,
        );
        self.breach_reporter.report(&breaches);
        if let Some(recorder) = &mut self.recorder {
            let actions = actions.iter().cloned().map(trace::Action::Fleet);
            recorder.record(now, trace::Event::Fleet(observed), actions.collect());
        }
        for action in actions {
            match action {
                Action::Append { token, body } => self.append(token, body, ctx),
                Action::Call {
                    token,
                    host,
                    generation,
                    call,
                } => {
                    self.call_host_service(token, host, generation, call, ctx);
                }
            }
        }
    }

    fn append(
        &mut self,
        token: u64,
        body: persimmongate_core::record::Body,
        ctx: &mut Context<Self>,
    ) {
        let reply = ctx.address().recipient();
        match &self.follower {
            Some(follower) => follower.do_send(Append { token, body, reply }),
            None => ctx.notify(Appended {
                token,
                verdict: None,
            }),
        }
    }

    fn call_host_service(
        &mut self,
        token: u64,
        host: ids::Host,
        generation: ids::Generation,
        call: Call,
        ctx: &mut Context<Self>,
    ) {
        self.calls.add(1, &[]);
        let client = self.platform.clone();
        let status = async move { client.call_host(&host, generation, call).await };
        ctx.spawn(status.into_actor(self).map(move |status, act, ctx| {
            let status = status.ok();
            if status.is_none() {
                act.failed_calls.add(1, &[]);
            }
            act.step(Event::CallAnswered { token, status }, ctx);
        }));
    }

    fn read_host_list(&mut self, ctx: &mut Context<Self>) {
        let client = self.platform.clone();
        let host_list = async move { client.list_hosts().await };
        ctx.spawn(host_list.into_actor(self).map(|hosts, act, ctx| {
            let mut interval = LIST_INTERVAL_MIN;
            match hosts {
                Ok(list) => {
                    interval = interval.max(list_interval(list.hosts.len()));
                    let listings = act.complete_host_list(list);
                    act.step(Event::HostsListed(listings), ctx);
                }
                Err(_) => act.failed_calls.add(1, &[]),
            }
            ctx.run_later(interval, Self::read_host_list);
        }));
    }
}

impl<C: Copy + Send + Unpin + 'static> Manager<C> {
    /// Counts and logs the rows of the host list that were skipped. A known host that such a row names
    /// stays listed as it is known, so that it isn't taken for lost.
    fn complete_host_list(&mut self, list: HostList) -> Vec<Listing> {
        let HostList { mut hosts, skipped } = list;
        for row in &skipped {
            self.skipped_entries
                .add(1, &[KeyValue::new("list", "hosts")]);
            // The list is read again and again; a row is logged when it is new.
            if !self.skipped_rows.contains(row) {
                warn!(self.logger, "row of the host list skipped"; "host" => ?row.host,
                    "reason" => %row.reason);
            }
            let known = row.host.as_ref().and_then(|name| {
                let host = self.state_machine.view().hosts.get(name)?;
                Some(host.listing(name))
            });
            hosts.extend(known);
        }
        self.skipped_rows = skipped;
        hosts
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Manager<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, |act, ctx| act.step(Event::Tick, ctx));
        ctx.run_later(LIST_INTERVAL_MIN, Self::read_host_list);
    }
}

/// Returns the time between two reads of the list that keeps them within the largest rate.
fn list_interval(host_count: usize) -> Duration {
    let host_count = u32::try_from(host_count).unwrap_or(u32::MAX);
    Duration::from_secs(1) * host_count.saturating_mul(HOST_ENTRY_BYTES) / LIST_MAX_BYTES_PER_SECOND
}

/// `Register` gives the manager the address of the log's follower.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Register(pub(crate) Addr<Follower<Child>>);

impl<C: Copy + Send + Unpin + 'static> Handler<Register> for Manager<C> {
    type Result = ();

    fn handle(&mut self, Register(follower): Register, _: &mut Self::Context) {
        self.follower = Some(follower);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Update> for Manager<C> {
    type Result = ();

    fn handle(&mut self, update: Update, ctx: &mut Self::Context) {
        if update.next_offset < self.next_offset {
            return;
        }
        self.next_offset = update.next_offset;
        for change in update.changes {
            self.step(Event::Change(change), ctx);
        }
        if update.has_caught_up {
            self.step(Event::CaughtUp, ctx);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Appended> for Manager<C> {
    type Result = ();

    fn handle(&mut self, completed: Appended, ctx: &mut Self::Context) {
        let Appended { token, verdict } = completed;
        self.step(Event::AppendCompleted { token, verdict }, ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Inbound> for Manager<C> {
    type Result = ();

    fn handle(&mut self, Inbound(report): Inbound, ctx: &mut Self::Context) {
        for drain in report.drains {
            let event = Event::Report {
                instance: report.instance.clone(),
                host: drain.host,
                drain_offset: drain.start_offset,
                in_flight: drain.in_flight,
            };
            self.step(event, ctx);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Manager<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let view = self.state_machine.view();
        MessageResult(json!({
            "buffer": buffer(view, self.repair_percent),
            "next": self.next_offset,
            "held": self.state_machine.held_pools(),
            "hosts": view.hosts,
            "pools": view.pools,
            "waves": view.waves,
        }))
    }
}
