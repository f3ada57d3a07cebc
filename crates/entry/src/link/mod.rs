//! Connections to backend servers: one actor for each server.

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

use crate::gate::ExchangeCompleted;

/// Time after which a link without requests ends and closes its connections.
const IDLE: Duration = Duration::from_mins(1);

/// `Links` starts a link for each backend server that is used.
pub(crate) struct Links<C: Copy + std::marker::Send + 'static> {
    by_host: Map<ids::Host, Addr<Link>>,
    /// Start of the identifiers that this run puts on requests.
    prefix: String,
    body_max_bytes: usize,
    _guard: Guard<C>,
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Links<C> {
    pub(crate) fn new(instance: &ids::Instance, body_max_bytes: usize, guard: Guard<C>) -> Self {
        let run: u64 = rand::rng().random();
        let prefix = format!("{instance}-{run:016x}");
        Self {
            by_host: Map::default(),
            prefix,
            body_max_bytes,
            _guard: guard,
        }
    }
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Actor for Links<C> {
    type Context = Context<Self>;
}

/// `Send` asks for a request to be sent to a backend server.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Send {
    pub(crate) request: Request,
    pub(crate) host: ids::Host,
    pub(crate) address: SocketAddr,
    pub(crate) reply: Recipient<ExchangeCompleted>,
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Handler<Send> for Links<C> {
    type Result = ();

    fn handle(&mut self, send: Send, _: &mut Self::Context) {
        let link = self.by_host.get(&send.host).filter(|link| link.connected());
        let link = link.cloned().unwrap_or_else(|| {
            let link = Link::new(self.prefix.clone(), self.body_max_bytes).start();
            self.by_host.insert(send.host.clone(), link.clone());
            link
        });
        link.do_send(send);
    }
}

/// `Abandon` says that nobody waits for the answer of a request.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Abandon {
    pub(crate) request: ids::Request,
    pub(crate) host: ids::Host,
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Handler<Abandon> for Links<C> {
    type Result = ();

    fn handle(&mut self, abandon: Abandon, _: &mut Self::Context) {
        if let Some(link) = self.by_host.get(&abandon.host) {
            link.do_send(abandon);
        }
    }
}

/// `Close` drops every exchange under way and closes its connection.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Close;

impl<C: Copy + std::marker::Send + Unpin + 'static> Handler<Close> for Links<C> {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: Close, _: &mut Self::Context) -> Self::Result {
        let links: Vec<Addr<Link>> = self.by_host.drain().map(|(_, link)| link).collect();
        let close = async move {
            for link in links {
                // A link that is gone has no exchange.
                let _ = link.send(Close).await;
            }
        };
        Box::pin(close.into_actor(self).map(|(), _, ctx| ctx.stop()))
    }
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Handler<Dump> for Links<C> {
    type Result = MessageResult<Dump>;

    fn handle(&mut self, _: Dump, _: &mut Self::Context) -> Self::Result {
        let open = self.by_host.iter().filter(|(_, link)| link.connected());
        let mut open: Vec<&str> = open.map(|(host, _)| &**host).collect();
        open.sort_unstable();
        MessageResult(json!({ "prefix": self.prefix, "links": open }))
    }
}

/// `Link` owns the connections to one backend server.
struct Link {
    http: awc::Client,
    /// Number of the client in use.
    client: u64,
    prefix: String,
    body_max_bytes: usize,
    /// Exchanges under way, with the number of the client that each one uses.
    open: Map<ids::Request, u64>,
    /// Exchanges so far, to see whether the link is used.
    used: u64,
    used_before: u64,
}

impl Link {
    fn new(prefix: String, body_max_bytes: usize) -> Self {
        let http = exchange::client();
        Self {
            http,
            client: 0,
            prefix,
            body_max_bytes,
            open: Map::default(),
            used: 0,
            used_before: 0,
        }
    }
}

impl Actor for Link {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(IDLE, |act, ctx| {
            if act.open.is_empty() && act.used == act.used_before {
                ctx.stop();
            }
            act.used_before = act.used;
        });
    }
}

impl Handler<Close> for Link {
    type Result = ();

    fn handle(&mut self, _: Close, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

/// `Reply` tells the gate the end of an exchange, also of one that was dropped.
struct Reply {
    gate: Recipient<ExchangeCompleted>,
    done: Option<ExchangeCompleted>,
}

impl Reply {
    fn tell(mut self, exchange: Exchange) {
        if let Some(done) = &mut self.done {
            done.exchange = exchange;
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let Some(done) = self.done.take() {
            self.gate.do_send(done);
        }
    }
}

impl Handler<Send> for Link {
    type Result = ();

    fn handle(&mut self, send: Send, ctx: &mut Self::Context) {
        self.used += 1;
        let id = format!("{}-{}", self.prefix, send.request.id);
        let Send {
            request,
            host,
            address,
            reply,
        } = send;
        let number = request.id;
        self.open.insert(number, self.client);
        let done = ExchangeCompleted {
            request: number,
            host,
            exchange: Exchange::Broken,
        };
        let reply = Reply {
            gate: reply,
            done: Some(done),
        };
        let exchange = exchange::run(self.http.clone(), id, request, address, self.body_max_bytes);
        ctx.spawn(exchange.into_actor(self).map(move |exchange, act, _| {
            act.open.remove(&number);
            reply.tell(exchange);
        }));
    }
}

impl Handler<Abandon> for Link {
    type Result = ();

    fn handle(&mut self, abandon: Abandon, _: &mut Self::Context) {
        // A new client for what comes, so that no later request meets the connection of this one.
        if self.open.get(&abandon.request) == Some(&self.client) {
            self.http = exchange::client();
            self.client += 1;
        }
    }
}
