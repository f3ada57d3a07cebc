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

use super::link::{Hub, Refusal, ReportReceived, serve};
use crate::errors::{Result, io_error};
use crate::log::FetchState;
use crate::supervisor::Guard;

/// Links open at once, at most.
const LINKS_MAX: usize = 256;
/// Time before accepting goes on after the operating system refused a connection.
const ACCEPT_WAIT: Duration = Duration::from_millis(100);

/// `Close` ends the listener and every link.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Close;

/// `Listener` accepts links; each link is a task that owns its socket.
pub struct Listener<C: Copy + Send + 'static> {
    address: SocketAddr,
    hub: Hub,
    logger: Logger,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Listener<C> {
    /// Makes a listener for an address.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        reports: Option<Recipient<ReportReceived>>,
        fold: Recipient<FetchState>,
        meter: &Meter,
        logger: Logger,
        guard: Guard<C>,
    ) -> Self {
        let refused = meter.u64_counter("peer_refused").build();
        Self {
            address,
            hub: Hub::new(reports, fold, refused),
            logger,
            _guard: guard,
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Listener<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let accept = accept(self.address, self.hub.clone());
        ctx.spawn(accept.into_actor(self).map(|result, act, ctx| {
            if let Err(problem) = result {
                error!(act.logger, "peer links can't be accepted"; "error" => %problem);
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

/// Accepts links; all of them end when the future is dropped.
async fn accept(address: SocketAddr, hub: Hub) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| io_error(format!("peer address {address}"), error))?;
    let mut links = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while links.try_join_next().is_some() {}
                if links.len() < LINKS_MAX {
                    links.spawn_local(serve(stream, hub.clone()));
                } else {
                    hub.refuse(Refusal::Full);
                }
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_WAIT).await,
        }
    }
}
