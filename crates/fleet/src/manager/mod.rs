//! The actor around the manager's decisions: it carries out actions and feeds events.

use std::path::Path;
use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, MessageResult, WrapFuture,
};
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_core::fleet::{Action, Call, Event, Manager as Decisions, Options, buffer};
use persimmongate_core::ids;
use persimmongate_core::invariant;
use persimmongate_core::trace;
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::invariant::Alarm;
use persimmongate_node::log::{Append, AppendCompleted, Follower, StateChanged};
use persimmongate_node::peer::ReportReceived;
use persimmongate_node::platform::Client;
use persimmongate_node::supervisor::Guard;
use persimmongate_node::trace::Recorder;
use serde_json::json;
use slog::Logger;

use crate::tree::Child;

/// Time between two comparisons of the fold with what it should be.
const TICK: Duration = Duration::from_millis(100);
/// Time between two reads of the platform's host list, at least.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Bytes of one host in the platform's list.
const LIST_HOST_BYTES: u32 = 170;
/// Bytes a second that reads of the list may take; a longer list is read less often.
const LIST_BYTES_PER_SECOND: u32 = 4096;

/// `Manager` owns the decisions and the calls to the platform.
pub(crate) struct Manager<C: Copy + Send + 'static> {
    decisions: Decisions,
    watch: invariant::Fleet,
    alarm: Alarm,
    recorder: Option<Recorder>,
    /// Offset up to which the fold is known; older changes are dropped.
    next: ids::Offset,
    platform: Client,
    follower: Option<Addr<Follower<Child>>>,
    /// Share of all hosts expected to be under repair, in percent.
    repair_percent: u32,
    calls: Counter<u64>,
    refusals: Counter<u64>,
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
            decisions: Decisions::new(instance, options),
            watch: invariant::Fleet::default(),
            alarm: Alarm::new(meter, logger),
            recorder,
            next: 0,
            platform,
            follower: None,
            calls: meter.u64_counter("platform_calls").build(),
            refusals: meter.u64_counter("platform_refusals").build(),
            _guard: guard,
        }
    }

    fn step(&mut self, event: Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        let watched = event.clone();
        let now = clock::now();
        self.decisions.step(now, event, &mut actions);
        let mut breaches = Vec::new();
        self.watch
            .observe(self.decisions.view(), &watched, &actions, &mut breaches);
        self.alarm.raise(&breaches);
        if let Some(recorder) = &mut self.recorder {
            let actions = actions.iter().cloned().map(trace::Action::Fleet);
            recorder.record(now, trace::Event::Fleet(watched), actions.collect());
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
                    self.call(token, host, generation, call, ctx);
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
            None => ctx.notify(AppendCompleted {
                token,
                verdict: None,
            }),
        }
    }

    fn call(
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
                act.refusals.add(1, &[]);
            }
            act.step(Event::CallAnswered { token, status }, ctx);
        }));
    }

    fn list(&mut self, ctx: &mut Context<Self>) {
        let client = self.platform.clone();
        let list = async move { client.list_hosts().await };
        ctx.spawn(list.into_actor(self).map(|facts, act, ctx| {
            let mut wait = LIST_PERIOD;
            match facts {
                Ok(facts) => {
                    wait = wait.max(list_period(facts.len()));
                    act.step(Event::HostsListed(facts), ctx);
                }
                Err(_) => act.refusals.add(1, &[]),
            }
            ctx.run_later(wait, Self::list);
        }));
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Manager<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, |act, ctx| act.step(Event::Tick, ctx));
        ctx.run_later(LIST_PERIOD, Self::list);
    }
}

/// Gets the time between two reads of a list, so that they stay inside the bytes for them.
fn list_period(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    Duration::from_secs(1) * hosts.saturating_mul(LIST_HOST_BYTES) / LIST_BYTES_PER_SECOND
}

/// `Register` tells the manager where the follower is.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Register(pub(crate) Addr<Follower<Child>>);

impl<C: Copy + Send + Unpin + 'static> Handler<Register> for Manager<C> {
    type Result = ();

    fn handle(&mut self, Register(follower): Register, _: &mut Self::Context) {
        self.follower = Some(follower);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<StateChanged> for Manager<C> {
    type Result = ();

    fn handle(&mut self, changed: StateChanged, ctx: &mut Self::Context) {
        if changed.next_offset < self.next {
            return;
        }
        self.next = changed.next_offset;
        for change in changed.changes {
            self.step(Event::Change(change), ctx);
        }
        if changed.has_caught_up {
            self.step(Event::CaughtUp, ctx);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<AppendCompleted> for Manager<C> {
    type Result = ();

    fn handle(&mut self, settled: AppendCompleted, ctx: &mut Self::Context) {
        let AppendCompleted { token, verdict } = settled;
        self.step(Event::AppendCompleted { token, verdict }, ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<ReportReceived> for Manager<C> {
    type Result = ();

    fn handle(&mut self, ReportReceived(report): ReportReceived, ctx: &mut Self::Context) {
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
        let view = self.decisions.view();
        MessageResult(json!({
            "buffer": buffer(view, self.repair_percent),
            "next": self.next,
            "held": self.decisions.held_pools(),
            "hosts": view.hosts,
            "pools": view.pools,
            "waves": view.waves,
        }))
    }
}
