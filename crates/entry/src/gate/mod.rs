//! The actor around the gate's decisions: it carries out actions and feeds events.

use std::path::Path;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use persimmongate_core::gate::{Action, Event, Exchange, Gate as Decisions, Options};
use persimmongate_core::ids;
use persimmongate_core::invariant;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::{Outcome, Refusal};
use persimmongate_core::request::Request;
use persimmongate_core::state::{Change, Stage};
use persimmongate_core::trace;
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::invariant::Alarm;
use persimmongate_node::log::{ClaimCompleted, ClaimKey, Follower, ReportOutcome, StateChanged};
use persimmongate_node::supervisor::Guard;
use persimmongate_node::trace::Recorder;
use rand::RngExt;
use serde_json::json;
use slog::Logger;
use std::time::Instant;
use tokio::sync::{oneshot, watch};

use crate::link::{self, Links};
use crate::report::{self, Reporter};
use crate::tree::Child;

/// Time between two looks at deadlines and callers that went away.
const TICK: Duration = Duration::from_millis(20);

/// `Gate` owns the decisions and the callers that wait for an outcome.
pub(crate) struct Gate<C: Copy + Send + 'static> {
    decisions: Decisions,
    watch: invariant::Gate,
    alarm: Alarm,
    recorder: Option<Recorder>,
    waiting: Map<ids::Request, Caller>,
    /// Identifier of the latest request.
    latest: ids::Request,
    /// Offset up to which the fold is known; older changes are dropped.
    next: ids::Offset,
    follower: Option<Addr<Follower<Child>>>,
    links: Option<Addr<Links<Child>>>,
    reporter: Option<Addr<Reporter<Child>>>,
    /// Latest reports of draining hosts, told again to a reporter that restarted.
    drains: Map<ids::Host, report::Drain>,
    /// Waits until no request is without an outcome.
    departure: Option<oneshot::Sender<()>>,
    /// Bodies and paths of requests that may still be sent.
    requests: Map<ids::Request, Request>,
    outcomes: Counter<u64>,
    latencies: Histogram<f64>,
    _guard: Guard<C>,
}

/// `Caller` waits for an outcome.
struct Caller {
    reply: oneshot::Sender<Outcome>,
    service: ids::Service,
    since: Instant,
}

impl<C: Copy + Send + Unpin + 'static> Gate<C> {
    pub(crate) fn new(
        options: Options,
        trace: Option<&Path>,
        meter: &Meter,
        logger: Logger,
        guard: Guard<C>,
    ) -> Self {
        let seed = rand::rng().random();
        let recorder = trace.and_then(|path| {
            let options = options.clone();
            let source = trace::Source::Gate { options, seed };
            Recorder::create_or_warn(path, clock::now(), source, &logger)
        });
        Self {
            decisions: Decisions::new(options, seed),
            recorder,
            watch: invariant::Gate::default(),
            alarm: Alarm::new(meter, logger),
            waiting: Map::default(),
            // A gate that starts again in the same process numbers its requests apart from before.
            latest: u64::from(rand::rng().random::<u32>()) << u32::BITS,
            next: 0,
            follower: None,
            links: None,
            reporter: None,
            drains: Map::default(),
            departure: None,
            requests: Map::default(),
            outcomes: meter.u64_counter("requests").build(),
            latencies: meter.f64_histogram("request_seconds").build(),
            _guard: guard,
        }
    }

    fn step(&mut self, event: Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        let watched = event.clone();
        let now = clock::now();
        self.decisions.step(now, event, &mut actions);
        let mut breaches = Vec::new();
        self.watch.observe(&watched, &actions, &mut breaches);
        self.alarm.raise(&breaches);
        if let Some(recorder) = &mut self.recorder {
            let event = trace::Event::from_gate(recorder.started_at(), &watched);
            let actions = actions.iter().cloned().map(trace::Action::Gate);
            recorder.record(now, event, actions.collect());
        }
        for action in actions {
            self.carry_out(action, ctx);
        }
    }

    fn carry_out(&mut self, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Abandon { request, host } => {
                if let Some(links) = &self.links {
                    links.do_send(link::Abandon { request, host });
                }
            }
            Action::Claim { request, key } => {
                if let Some(follower) = &self.follower {
                    let reply = ctx.address().recipient();
                    follower.do_send(ClaimKey {
                        request,
                        key,
                        reply,
                    });
                }
            }
            Action::End { key, end } => {
                if let Some(follower) = &self.follower {
                    follower.do_send(ReportOutcome { key, end });
                }
            }
            Action::Finish { request, outcome } => self.finish(request, outcome),
            Action::Report {
                host,
                drain_offset,
                in_flight,
            } => {
                let drain = report::Drain {
                    host: host.clone(),
                    start_offset: drain_offset,
                    in_flight,
                };
                if let Some(reporter) = &self.reporter {
                    reporter.do_send(drain.clone());
                }
                self.drains.insert(host, drain);
            }
            Action::Send {
                request,
                host,
                address,
            } => {
                let content = self.requests.get(&request).cloned();
                let reply = ctx.address().recipient();
                let message = content.map(|content| link::Send {
                    request: content,
                    host: host.clone(),
                    address,
                    reply,
                });
                let pair = self.links.as_ref().zip(message);
                let taken = pair.is_some_and(|(links, it)| links.try_send(it).is_ok());
                if !taken {
                    // No link took it, so it was not sent; without an end its slot would stay taken.
                    ctx.notify(ExchangeCompleted {
                        request,
                        host,
                        exchange: Exchange::Unsent,
                    });
                }
            }
        }
    }

    fn finish(&mut self, request: ids::Request, outcome: Outcome) {
        self.requests.remove(&request);
        let Some(caller) = self.waiting.remove(&request) else {
            return;
        };
        let labels = [
            KeyValue::new("service", caller.service.to_string()),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.outcomes.add(1, &labels);
        let elapsed = clock::now().saturating_duration_since(caller.since);
        self.latencies.record(elapsed.as_secs_f64(), &labels);
        // A caller that went away has nobody to tell.
        let _ = caller.reply.send(outcome);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let gone = self
            .waiting
            .iter()
            .filter(|(_, caller)| caller.reply.is_closed());
        let gone: Vec<ids::Request> = gone.map(|(id, _)| *id).collect();
        for id in gone {
            self.step(Event::Cancel(id), ctx);
        }
        self.step(Event::Tick, ctx);
        self.tell_departure();
    }

    /// Tells that no request is without an outcome any more.
    fn tell_departure(&mut self) {
        if self.waiting.is_empty()
            && self.decisions.unfinished_count() == 0
            && let Some(departure) = self.departure.take()
        {
            // A process whose time limit passed has nobody to tell.
            let _ = departure.send(());
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Gate<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK, Self::tick);
    }
}

/// `Register` tells the gate where a sibling is.
#[derive(Message)]
#[rtype(result = "()")]
pub(crate) enum Register {
    Follower(Addr<Follower<Child>>),
    Links(Addr<Links<Child>>),
    Reporter(Addr<Reporter<Child>>),
}

impl<C: Copy + Send + Unpin + 'static> Handler<Register> for Gate<C> {
    type Result = ();

    fn handle(&mut self, register: Register, _: &mut Self::Context) {
        match register {
            Register::Follower(follower) => self.follower = Some(follower),
            Register::Links(links) => self.links = Some(links),
            Register::Reporter(reporter) => {
                for drain in self.drains.values() {
                    reporter.do_send(drain.clone());
                }
                self.reporter = Some(reporter);
            }
        }
    }
}

/// `Submit` hands over a request; the outcome comes over the channel.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    /// Request whose identifier is set here.
    pub(crate) request: Request,
    /// Where the outcome goes.
    pub(crate) reply: oneshot::Sender<Outcome>,
}

impl<C: Copy + Send + Unpin + 'static> Handler<Submit> for Gate<C> {
    type Result = ();

    fn handle(&mut self, submit: Submit, ctx: &mut Self::Context) {
        let Submit { mut request, reply } = submit;
        self.latest += 1;
        request.id = self.latest;
        let caller = Caller {
            reply,
            service: request.service.clone(),
            since: clock::now(),
        };
        self.waiting.insert(request.id, caller);
        self.requests.insert(request.id, request.clone());
        self.step(Event::Arrive(request), ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<StateChanged> for Gate<C> {
    type Result = ();

    fn handle(&mut self, changed: StateChanged, ctx: &mut Self::Context) {
        if changed.next_offset < self.next {
            return;
        }
        self.next = changed.next_offset;
        for change in changed.changes {
            if let Change::Host(name, host) = &change
                && !matches!(host.stage, Stage::Draining { .. })
            {
                self.drains.remove(name);
            }
            self.step(Event::Change(change), ctx);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<ClaimCompleted> for Gate<C> {
    type Result = ();

    fn handle(&mut self, claimed: ClaimCompleted, ctx: &mut Self::Context) {
        self.step(Event::Claimed(claimed.request, claimed.claim), ctx);
    }
}

/// `ExchangeCompleted` tells the end of an exchange.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ExchangeCompleted {
    pub(crate) request: ids::Request,
    pub(crate) host: ids::Host,
    pub(crate) exchange: Exchange,
}

impl<C: Copy + Send + Unpin + 'static> Handler<ExchangeCompleted> for Gate<C> {
    type Result = ();

    fn handle(&mut self, done: ExchangeCompleted, ctx: &mut Self::Context) {
        let ExchangeCompleted {
            request,
            host,
            exchange,
        } = done;
        self.step(
            Event::Done {
                request,
                host,
                exchange,
            },
            ctx,
        );
    }
}

/// `ShutDown` refuses new requests from now on and is answered when the others have their outcome.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ShutDown;

impl<C: Copy + Send + Unpin + 'static> Handler<ShutDown> for Gate<C> {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: ShutDown, ctx: &mut Self::Context) -> Self::Result {
        self.step(Event::ShutDown, ctx);
        let (sender, done) = oneshot::channel();
        self.departure = Some(sender);
        Box::pin(async move {
            // A gate that failed has no request left.
            let _ = done.await;
        })
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Gate<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let services = self.decisions.service_names();
        let queued: std::collections::BTreeMap<&str, usize> = services
            .map(|name| (&**name, self.decisions.queued_count(name)))
            .collect();
        MessageResult(json!({
            "next": self.next,
            "open": self.decisions.unfinished_count(),
            "queued": queued,
            "latest_request": self.latest,
        }))
    }
}

/// `Receiver` is the current gate as the interface for callers knows it.
pub(crate) type Receiver = watch::Receiver<Option<Addr<Gate<Child>>>>;

/// Sends a request to the gate and waits for its outcome.
pub(crate) fn submit(gate: &Receiver, request: Request) -> ResponseFuture<Outcome> {
    let (reply, outcome) = oneshot::channel();
    let gate = gate.borrow().clone();
    let sent = gate.is_some_and(|gate| gate.try_send(Submit { request, reply }).is_ok());
    Box::pin(async move {
        if !sent {
            return Outcome::NotRun(Refusal::Leaving);
        }
        // A gate that failed may have sent the request before.
        let lost = Outcome::Unknown(persimmongate_core::outcome::Doubt::Broken);
        outcome.await.unwrap_or(lost)
    })
}
