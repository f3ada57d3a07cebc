//! Owner of an HTTP server and of what its connections may hold.

use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, StreamHandler, WrapFuture,
};
use actix_server::{Server as HttpServer, ServerHandle};
use futures_util::stream;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};
use persimmongate_core::admission::{Action, Event, Reason, Table};
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use slog::{Logger, error, info};
use tokio::sync::{mpsc, oneshot, watch};

use super::link::{Door, Envelope, Message, Progress, Verdict};
use super::server::Server;
use crate::clock;
use crate::supervisor::Guard;

/// Interval of the search for connections that exceed a time limit, which are limits of seconds.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `Peer` is the listener's side of an open connection.
struct Peer {
    progress: watch::Receiver<Progress>,
    close: Option<oneshot::Sender<()>>,
    verdicts: Option<mpsc::UnboundedSender<Verdict>>,
}

/// `Address` is the state of one address of the server.
struct Address {
    name: &'static str,
    table: Table,
    peers: Map<ids::Connection, Peer>,
    /// Whether a check is due because a body waits for room.
    is_check_due: bool,
}

/// `Instruments` holds the metrics of the connections of clients.
struct Instruments {
    ended: Counter<u64>,
    connections: Gauge<u64>,
    body_bytes: Gauge<u64>,
}

/// `Listener` is the actor that owns an HTTP server and stops when the server does.
pub struct Listener<C: Copy + Send + 'static> {
    server: Option<HttpServer>,
    handle: ServerHandle,
    addresses: Vec<Address>,
    envelopes: Option<mpsc::UnboundedReceiver<Envelope>>,
    instruments: Instruments,
    logger: Logger,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Listener<C> {
    /// Creates the actor that runs a server.
    #[must_use]
    pub fn new(server: Server, meter: &Meter, logger: Logger, guard: Guard<C>) -> Self {
        let (server, doors, envelopes) = server.run();
        let addresses = doors.into_iter().map(|(name, limits)| Address {
            name,
            table: Table::new(limits),
            peers: Map::default(),
            is_check_due: false,
        });
        let instruments = Instruments {
            ended: meter.u64_counter("clients_ended").build(),
            connections: meter.u64_gauge("client_connections").build(),
            body_bytes: meter.u64_gauge("client_body_bytes").build(),
        };
        Self {
            handle: server.handle(),
            server: Some(server),
            addresses: addresses.collect(),
            envelopes: Some(envelopes),
            instruments,
            logger,
            _guard: guard,
        }
    }

    fn step(&mut self, door: Door, event: Event, ctx: &mut Context<Self>) {
        let Some(address) = self.addresses.get_mut(door) else {
            return;
        };
        let mut actions = Vec::new();
        let peers = &address.peers;
        let activity = |id| peers.get(&id).map(|peer| peer.progress.borrow().activity);
        address
            .table
            .step(clock::now(), event, activity, &mut actions);
        for action in actions {
            self.execute(door, action);
        }
        self.plan_check(door, ctx);
    }

    /// Checks earlier than usual for bodies without progress while another waits for room.
    fn plan_check(&mut self, door: Door, ctx: &mut Context<Self>) {
        let Some(address) = self.addresses.get_mut(door) else {
            return;
        };
        if address.table.waiting_count() == 0 || address.is_check_due {
            return;
        }
        address.is_check_due = true;
        ctx.run_later(address.table.limits().stall, move |act, ctx| {
            if let Some(address) = act.addresses.get_mut(door) {
                address.is_check_due = false;
            }
            act.step(door, Event::Checked, ctx);
        });
    }

    fn execute(&mut self, door: Door, action: Action) {
        let Some(address) = self.addresses.get_mut(door) else {
            return;
        };
        match action {
            Action::Close(id, reason) => {
                // Dropping the sender would close the connection as well.
                if let Some(close) = address
                    .peers
                    .get_mut(&id)
                    .and_then(|peer| peer.close.take())
                {
                    close.send(()).ok();
                }
                self.count(door, reason);
            }
            Action::Grant(id) => address.send(id, Verdict::Granted),
            Action::Revoke(id, reason) => {
                address.send(id, Verdict::Revoked);
                self.count(door, reason);
            }
            Action::Begin(reason) => {
                info!(self.logger, "clients exceed the limits"; "listener" => address.name,
                    "reason" => reason.as_str(), "connections" => address.table.len(),
                    "connections_max" => address.table.limits().connections,
                    "body_bytes" => address.table.granted_bytes(),
                    "body_bytes_max" => address.table.limits().total_body_bytes);
            }
            Action::End(duration) => {
                info!(self.logger, "clients are within the limits"; "listener" => address.name,
                    "connections" => address.table.len(),
                    "lasted_ms" => duration.as_millis());
            }
        }
    }

    fn count(&self, door: Door, reason: Reason) {
        let name = self.addresses.get(door).map_or("", |address| address.name);
        let labels = [
            KeyValue::new("listener", name),
            KeyValue::new("reason", reason.as_str()),
        ];
        self.instruments.ended.add(1, &labels);
    }

    fn check(&mut self, ctx: &mut Context<Self>) {
        for door in 0..self.addresses.len() {
            self.step(door, Event::Checked, ctx);
        }
        for address in &self.addresses {
            let label = [KeyValue::new("listener", address.name)];
            let instruments = &self.instruments;
            let connections = address.table.len() as u64;
            instruments.connections.record(connections, &label);
            let body_bytes = address.table.granted_bytes() as u64;
            instruments.body_bytes.record(body_bytes, &label);
        }
    }
}

impl Address {
    /// Tells a body whether it has room. It may have ended meanwhile.
    fn send(&self, id: ids::Connection, verdict: Verdict) {
        let verdicts = self.peers.get(&id).and_then(|peer| peer.verdicts.as_ref());
        if let Some(verdicts) = verdicts {
            verdicts.send(verdict).ok();
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Listener<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let (Some(server), Some(mut envelopes)) = (self.server.take(), self.envelopes.take())
        else {
            return;
        };
        ctx.add_stream(stream::poll_fn(move |ctx| envelopes.poll_recv(ctx)));
        ctx.run_interval(CHECK_INTERVAL, Self::check);
        let run = server.into_actor(self).map(|result, act, ctx| {
            if let Err(error) = result {
                error!(act.logger, "HTTP server failed"; "error" => %error);
            }
            ctx.stop();
        });
        ctx.spawn(run);
    }
}

impl<C: Copy + Send + Unpin + 'static> StreamHandler<Envelope> for Listener<C> {
    fn handle(&mut self, envelope: Envelope, ctx: &mut Self::Context) {
        let (door, id) = (envelope.door, envelope.connection);
        let Some(address) = self.addresses.get_mut(door) else {
            return;
        };
        let event = match envelope.message {
            Message::Opened(progress, close) => {
                let peer = Peer {
                    progress,
                    close: Some(close),
                    verdicts: None,
                };
                address.peers.insert(id, peer);
                Event::Opened(id)
            }
            Message::Closed => {
                address.peers.remove(&id);
                Event::Closed(id)
            }
            Message::Asked(bytes, verdicts) => {
                if let Some(peer) = address.peers.get_mut(&id) {
                    peer.verdicts = Some(verdicts);
                }
                Event::Asked(id, bytes)
            }
            Message::Returned => {
                if let Some(peer) = address.peers.get_mut(&id) {
                    peer.verdicts = None;
                }
                Event::Returned(id)
            }
            Message::Ended(reason) => return self.count(door, reason),
        };
        self.step(door, event, ctx);
    }

    fn finished(&mut self, _: &mut Self::Context) {
        // The messages end with the server, which ends the actor.
    }
}

/// `Close` stops the server gracefully, after the requests in flight.
#[derive(Clone, Copy, Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Close;

impl<C: Copy + Send + Unpin + 'static> Handler<Close> for Listener<C> {
    type Result = actix::ResponseFuture<()>;

    fn handle(&mut self, _: Close, _: &mut Self::Context) -> Self::Result {
        Box::pin(self.handle.stop(true))
    }
}
