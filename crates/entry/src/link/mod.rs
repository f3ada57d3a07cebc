//! Connections to backend servers, with one actor for each server.

mod exchange;

use std::net::SocketAddr;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message,
    MessageResult, Recipient, ResponseActFuture, WrapFuture,
};
use persimmongate_core::gate::Exchange;
use persimmongate_core::ids;
use persimmongate_core::map::Map;
use persimmongate_core::request::Request;
use persimmongate_node::admin::Dump;
use persimmongate_node::supervisor::Guard;
use rand::RngExt;
use serde_json::json;

use crate::gate::Completed;

/// Time between two idle checks; a link without requests since the previous check stops and closes
/// its connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_mins(1);

/// `Links` starts a link for each backend server in use and passes requests to it.
pub(crate) struct Links<C: Copy + Send + 'static> {
    by_host: Map<ids::Host, Addr<Link>>,
    /// Prefix of the request identifiers sent to backend servers, unique to this run of the actor.
    request_id_prefix: String,
    body_max_bytes: usize,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Links<C> {
    pub(crate) fn new(instance: &ids::Instance, body_max_bytes: usize, guard: Guard<C>) -> Self {
        let nonce: u64 = rand::rng().random();
        let request_id_prefix = format!("{instance}-{nonce:016x}");
        Self {
            by_host: Map::default(),
            request_id_prefix,
            body_max_bytes,
            _guard: guard,
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Links<C> {
    type Context = Context<Self>;
}

/// `Dispatch` is a request to send to a backend server.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Dispatch {
    pub(crate) request: Request,
    pub(crate) host: ids::Host,
    pub(crate) address: SocketAddr,
    pub(crate) reply: Recipient<Completed>,
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dispatch> for Links<C> {
    type Result = ();

    fn handle(&mut self, send: Dispatch, _: &mut Self::Context) {
        let link = self.by_host.get(&send.host).filter(|link| link.connected());
        let link = link.cloned().unwrap_or_else(|| {
            let link = Link::new(self.request_id_prefix.clone(), self.body_max_bytes).start();
            self.by_host.insert(send.host.clone(), link.clone());
            link
        });
        link.do_send(send);
    }
}

/// `Abandon` reports that the answer to a request is no longer needed.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Abandon {
    pub(crate) request: ids::Request,
    pub(crate) host: ids::Host,
}

impl<C: Copy + Send + Unpin + 'static> Handler<Abandon> for Links<C> {
    type Result = ();

    fn handle(&mut self, abandon: Abandon, _: &mut Self::Context) {
        if let Some(link) = self.by_host.get(&abandon.host) {
            link.do_send(abandon);
        }
    }
}

/// `Close` cancels every exchange in flight and closes its connection.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Close;

impl<C: Copy + Send + Unpin + 'static> Handler<Close> for Links<C> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Close, _: &mut Self::Context) -> Self::Result {
        let links: Vec<Addr<Link>> = self.by_host.drain().map(|(_, link)| link).collect();
        let close = async move {
            for link in links {
                // Sending fails if the link has stopped, and then it has no exchange.
                let _ = link.send(Close).await;
            }
        };
        Box::pin(close.into_actor(self).map(|(), _, ctx| ctx.stop()))
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Dump> for Links<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let connected = self.by_host.iter().filter(|(_, link)| link.connected());
        let mut connected: Vec<&str> = connected.map(|(host, _)| &**host).collect();
        connected.sort_unstable();
        MessageResult(json!({ "prefix": self.request_id_prefix, "links": connected }))
    }
}

/// `Link` is the actor that owns the connections to one backend server.
struct Link {
    http: awc::Client,
    /// Number of HTTP clients created before the one in use; identifies that client.
    client_number: u64,
    request_id_prefix: String,
    body_max_bytes: usize,
    /// Requests in flight with the number of the HTTP client that each uses.
    in_flight: Map<ids::Request, u64>,
    /// Number of exchanges started.
    exchange_count: u64,
    /// Value of `exchange_count` at the previous idle check; the link is idle if it is equal.
    checked_exchange_count: u64,
}

impl Link {
    fn new(request_id_prefix: String, body_max_bytes: usize) -> Self {
        let http = exchange::new_client();
        Self {
            http,
            client_number: 0,
            request_id_prefix,
            body_max_bytes,
            in_flight: Map::default(),
            exchange_count: 0,
            checked_exchange_count: 0,
        }
    }
}

impl Actor for Link {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(IDLE_CHECK_INTERVAL, |act, ctx| {
            if act.in_flight.is_empty() && act.exchange_count == act.checked_exchange_count {
                ctx.stop();
            }
            act.checked_exchange_count = act.exchange_count;
        });
    }
}

impl Handler<Close> for Link {
    type Result = ();

    fn handle(&mut self, _: Close, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

/// `Completion` reports the end of an exchange to the gate, also if the exchange is dropped.
struct Completion {
    gate: Recipient<Completed>,
    message: Option<Completed>,
}

impl Completion {
    fn finish(mut self, exchange: Exchange) {
        if let Some(message) = &mut self.message {
            message.exchange = exchange;
        }
    }
}

impl Drop for Completion {
    fn drop(&mut self) {
        if let Some(message) = self.message.take() {
            self.gate.do_send(message);
        }
    }
}

impl Handler<Dispatch> for Link {
    type Result = ();

    fn handle(&mut self, send: Dispatch, ctx: &mut Self::Context) {
        self.exchange_count += 1;
        let wire_id = format!("{}-{}", self.request_id_prefix, send.request.id);
        let Dispatch {
            request,
            host,
            address,
            reply,
        } = send;
        let request_id = request.id;
        self.in_flight.insert(request_id, self.client_number);
        let message = Completed {
            request: request_id,
            host,
            exchange: Exchange::Broken,
        };
        let completion = Completion {
            gate: reply,
            message: Some(message),
        };
        let exchange = exchange::run(
            self.http.clone(),
            wire_id,
            request,
            address,
            self.body_max_bytes,
        );
        ctx.spawn(exchange.into_actor(self).map(move |exchange, act, _| {
            act.in_flight.remove(&request_id);
            completion.finish(exchange);
        }));
    }
}

impl Handler<Abandon> for Link {
    type Result = ();

    fn handle(&mut self, abandon: Abandon, _: &mut Self::Context) {
        // Later requests use a new client, so that none of them reuses this request's connection.
        if self.in_flight.get(&abandon.request) == Some(&self.client_number) {
            self.http = exchange::new_client();
            self.client_number += 1;
        }
    }
}
