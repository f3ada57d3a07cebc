//! Links that other processes open to this one.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient,
    WrapFuture,
};
use actix_rt::net::TcpListener;
use opentelemetry::metrics::Meter;
use slog::{Logger, error};
use tokio::task::JoinSet;

use super::link::{Handlers, Inbound, Refusal, serve};
use crate::errors::{Result, io_error};
use crate::log::Fetch;
use crate::supervisor::Guard;

/// Maximum number of open links.
const MAX_LINKS: usize = 256;
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// `Close` stops the listener and closes every link.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Close;

/// `Listener` accepts links; a task for each link owns its socket.
pub struct Listener<C: Copy + Send + 'static> {
    address: SocketAddr,
    handlers: Handlers,
    logger: Logger,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Listener<C> {
    /// Creates a listener on an address; without `reports`, received reports are dropped.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        reports: Option<Recipient<Inbound>>,
        state_source: Recipient<Fetch>,
        meter: &Meter,
        logger: Logger,
        guard: Guard<C>,
    ) -> Self {
        let refused_links = meter.u64_counter("peer_refused").build();
        Self {
            address,
            handlers: Handlers::new(reports, state_source, refused_links),
            logger,
            _guard: guard,
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Listener<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let accept = accept(self.address, self.handlers.clone());
        ctx.spawn(accept.into_actor(self).map(|result, act, ctx| {
            if let Err(error) = result {
                error!(act.logger, "peer listener failed"; "error" => %error);
            }
            ctx.stop();
        }));
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Close> for Listener<C> {
    type Result = ();

    fn handle(&mut self, _: Close, ctx: &mut Self::Context) {
        ctx.stop();
    }
}

/// Accepts links; all of them are closed when the future is dropped.
async fn accept(address: SocketAddr, handlers: Handlers) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| io_error(format!("peer address {address}"), error))?;
    let mut links = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while links.try_join_next().is_some() {}
                if links.len() < MAX_LINKS {
                    links.spawn_local(serve(stream, handlers.clone()));
                } else {
                    handlers.refuse(Refusal::TooManyLinks);
                }
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}
