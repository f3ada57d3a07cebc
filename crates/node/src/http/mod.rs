//! HTTP servers as children of a supervisor.

use actix::{Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, WrapFuture};
use actix_web::dev::{Server, ServerHandle};
use slog::{Logger, error};

use crate::supervisor::Guard;

/// `Listener` is the actor that owns an HTTP server and stops when the server does.
pub struct Listener<C: Copy + Send + 'static> {
    server: Option<Server>,
    handle: ServerHandle,
    logger: Logger,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Listener<C> {
    /// Creates the actor that runs a server.
    #[must_use]
    pub fn new(server: Server, logger: Logger, guard: Guard<C>) -> Self {
        let handle = server.handle();
        Self {
            server: Some(server),
            handle,
            logger,
            _guard: guard,
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Listener<C> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let Some(server) = self.server.take() else {
            return;
        };
        let run = server.into_actor(self).map(|result, act, ctx| {
            if let Err(error) = result {
                error!(act.logger, "HTTP server failed"; "error" => %error);
            }
            ctx.stop();
        });
        ctx.spawn(run);
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
