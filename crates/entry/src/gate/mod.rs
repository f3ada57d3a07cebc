//! Actor that feeds events to the gate's state machine and carries out the resulting actions.

use std::path::Path;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};
use persimmongate_core::gate::{Action, Event, Exchange, Gate as StateMachine, Options};
use persimmongate_core::ids;
use persimmongate_core::invariant;
use persimmongate_core::map::Map;
use persimmongate_core::outcome::{Outcome, Refusal};
use persimmongate_core::request::Request;
use persimmongate_core::state::{Change, Stage};
use persimmongate_core::trace;
use persimmongate_node::admin::Dump;
use persimmongate_node::clock;
use persimmongate_node::invariant::Notifier;
use persimmongate_node::log::{Claim, Claimed, Completion, Follower, Update};
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

/// Time between two checks for expired deadlines and disconnected callers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// `Gate` is the actor that owns the gate's state machine and the callers that wait for an outcome.
pub(crate) struct Gate<C: Copy + Send + 'static> {
    state_machine: StateMachine,
    invariants: invariant::Gate,
    breach_reporter: Notifier,
    recorder: Option<Recorder>,
    callers: Map<ids::Request, Caller>,
    /// Identifier given to the latest request.
    last_request_id: ids::Request,
    /// Log offset after the last change applied; changes before it are ignored.
    next_offset: ids::Offset,
    follower: Option<Addr<Follower<Child>>>,
    links: Option<Addr<Links<Child>>>,
    reporter: Option<Addr<Reporter<Child>>>,
    /// Latest report of each draining host, sent again to a reporter that restarted.
    drain_reports: Map<ids::Host, report::Drain>,
    /// Receives a message once every request has an outcome; present during a shutdown.
    shutdown_reply: Option<oneshot::Sender<()>>,
    /// Requests without an outcome, with the path and body that an attempt needs.
    requests: Map<ids::Request, Request>,
    outcomes: Counter<u64>,
    latencies: Histogram<f64>,
    _guard: Guard<C>,
}

/// `Caller` is the pending answer to a caller.
struct Caller {
    reply: oneshot::Sender<Outcome>,
    service: ids::Service,
    arrived_at: Instant,
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
            state_machine: StateMachine::new(options, seed),
            recorder,
            invariants: invariant::Gate::default(),
            breach_reporter: Notifier::new(meter, logger),
            callers: Map::default(),
            // A gate that restarts in the same process must not reuse request identifiers.
            last_request_id: u64::from(rand::rng().random::<u32>()) << u32::BITS,
            next_offset: 0,
            follower: None,
            links: None,
            reporter: None,
            drain_reports: Map::default(),
            shutdown_reply: None,
            requests: Map::default(),
            outcomes: meter.u64_counter("requests").build(),
            latencies: meter.f64_histogram("request_seconds").build(),
            _guard: guard,
        }
    }

    fn step(&mut self, event: Event, ctx: &mut Context<Self>) {
        let mut actions = Vec::new();
        let observed = event.clone();
        let now = clock::now();
        self.state_machine.step(now, event, &mut actions);
        let mut breaches = Vec::new();
        self.invariants.observe(&observed, &actions, &mut breaches);
        self.breach_reporter.report(&breaches);
        if let Some(recorder) = &mut self.recorder {
            let event = trace::Event::from_gate(recorder.started_at(), &observed);
            let actions = actions.iter().cloned().map(trace::Action::Gate);
            recorder.record(now, event, actions.collect());
        }
        for action in actions {
            self.execute(action, ctx);
        }
    }

    fn execute(&mut self, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Abandon { request, host } => {
                if let Some(links) = &self.links {
                    links.do_send(link::Abandon { request, host });
                }
            }
            Action::Claim { request, key } => {
                if let Some(follower) = &self.follower {
                    let reply = ctx.address().recipient();
                    follower.do_send(Claim {
                        request,
                        key,
                        reply,
                    });
                }
            }
            Action::ReportKeyOutcome { key, outcome } => {
                if let Some(follower) = &self.follower {
                    follower.do_send(Completion { key, outcome });
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
                self.drain_reports.insert(host, drain);
            }
            Action::Send {
                request,
                host,
                address,
            } => {
                let sent_request = self.requests.get(&request).cloned();
                let reply = ctx.address().recipient();
                let message = sent_request.map(|sent_request| link::Dispatch {
                    request: sent_request,
                    host: host.clone(),
                    address,
                    reply,
                });
                let delivery = self.links.as_ref().zip(message);
                let is_accepted =
                    delivery.is_some_and(|(links, message)| links.try_send(message).is_ok());
                if !is_accepted {
                    // The request was not sent; without this event its slot would stay occupied.
                    ctx.notify(Completed {
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
        let Some(caller) = self.callers.remove(&request) else {
            return;
        };
        let labels = [
            KeyValue::new("service", caller.service.to_string()),
            KeyValue::new("outcome", outcome.as_str()),
        ];
        self.outcomes.add(1, &labels);
        let elapsed = clock::now().saturating_duration_since(caller.arrived_at);
        self.latencies.record(elapsed.as_secs_f64(), &labels);
        // Sending fails if the caller has disconnected.
        let _ = caller.reply.send(outcome);
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let disconnected = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.reply.is_closed());
        let disconnected: Vec<ids::Request> = disconnected.map(|(id, _)| *id).collect();
        for id in disconnected {
            self.step(Event::Cancel(id), ctx);
        }
        self.step(Event::Tick, ctx);
        self.complete_shutdown();
    }

    /// Answers a pending `Shutdown` once every request has an outcome.
    fn complete_shutdown(&mut self) {
        if self.callers.is_empty()
            && self.state_machine.unfinished_count() == 0
            && let Some(reply) = self.shutdown_reply.take()
        {
            // Sending fails if the shutdown timed out.
            let _ = reply.send(());
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Gate<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, Self::tick);
    }
}

/// `Register` gives the gate the address of a sibling actor.
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
                for drain in self.drain_reports.values() {
                    reporter.do_send(drain.clone());
                }
                self.reporter = Some(reporter);
            }
        }
    }
}

/// `Submit` asks the gate to run a request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    /// Request to run; the gate sets its identifier.
    pub(crate) request: Request,
    /// Receives the outcome.
    pub(crate) reply: oneshot::Sender<Outcome>,
}

impl<C: Copy + Send + Unpin + 'static> Handler<Submit> for Gate<C> {
    type Result = ();

    fn handle(&mut self, submit: Submit, ctx: &mut Self::Context) {
        let Submit { mut request, reply } = submit;
        self.last_request_id += 1;
        request.id = self.last_request_id;
        let caller = Caller {
            reply,
            service: request.service.clone(),
            arrived_at: clock::now(),
        };
        self.callers.insert(request.id, caller);
        self.requests.insert(request.id, request.clone());
        self.step(Event::Arrive(request), ctx);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Update> for Gate<C> {
    type Result = ();

    fn handle(&mut self, update: Update, ctx: &mut Self::Context) {
        if update.next_offset < self.next_offset {
            return;
        }
        self.next_offset = update.next_offset;
        for change in update.changes {
            if let Change::Host(name, host) = &change
                && !matches!(host.stage, Stage::Draining { .. })
            {
                self.drain_reports.remove(name);
            }
            self.step(Event::Change(change), ctx);
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Claimed> for Gate<C> {
    type Result = ();

    fn handle(&mut self, completed: Claimed, ctx: &mut Self::Context) {
        self.step(Event::Claimed(completed.request, completed.claim), ctx);
    }
}

/// `Completed` reports how an exchange with a backend server ended.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Completed {
    pub(crate) request: ids::Request,
    pub(crate) host: ids::Host,
    pub(crate) exchange: Exchange,
}

impl<C: Copy + Send + Unpin + 'static> Handler<Completed> for Gate<C> {
    type Result = ();

    fn handle(&mut self, completed: Completed, ctx: &mut Self::Context) {
        let Completed {
            request,
            host,
            exchange,
        } = completed;
        self.step(
            Event::ExchangeEnded {
                request,
                host,
                exchange,
            },
            ctx,
        );
    }
}

/// `Shutdown` refuses new requests; it is answered once every earlier request has an outcome.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Shutdown;

impl<C: Copy + Send + Unpin + 'static> Handler<Shutdown> for Gate<C> {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: Shutdown, ctx: &mut Self::Context) -> Self::Result {
        self.step(Event::ShutDown, ctx);
        let (reply, completed) = oneshot::channel();
        self.shutdown_reply = Some(reply);
        Box::pin(async move {
            // The sender is dropped if the gate fails, and then no request is left.
            let _ = completed.await;
        })
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Gate<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let services = self.state_machine.service_names();
        let queued: std::collections::BTreeMap<&str, usize> = services
            .map(|name| (&**name, self.state_machine.queued_count(name)))
            .collect();
        MessageResult(json!({
            "next": self.next_offset,
            "open": self.state_machine.unfinished_count(),
            "queued": queued,
            "latest_request": self.last_request_id,
        }))
    }
}

/// `AddressWatch` follows the address of the current gate, which changes when the gate restarts.
pub(crate) type AddressWatch = watch::Receiver<Option<Addr<Gate<Child>>>>;

/// Sends a request to the gate and waits for its outcome.
pub(crate) fn submit(address: &AddressWatch, request: Request) -> ResponseFuture<Outcome> {
    let (reply, outcome) = oneshot::channel();
    let gate = address.borrow().clone();
    let is_submitted = gate.is_some_and(|gate| gate.try_send(Submit { request, reply }).is_ok());
    Box::pin(async move {
        if !is_submitted {
            return Outcome::NotRun(Refusal::Leaving);
        }
        // A gate that fails drops the reply channel, and it may have sent the request before.
        let unknown = Outcome::Unknown(persimmongate_core::outcome::Doubt::Broken);
        outcome.await.unwrap_or(unknown)
    })
}
