//! Links that other processes open to this one.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message, Recipient,
    WrapFuture,
};
use actix_rt::net::{TcpListener, TcpStream};
use futures_util::{SinkExt, StreamExt};
use opentelemetry::metrics::{Counter, Meter};
use persimmongate_wire::frame::{self, Frame, Report};
use slog::{Logger, error};
use tokio::task::JoinSet;
use tokio_tungstenite::tungstenite::{self, Message as Item};
use tokio_tungstenite::{WebSocketStream, accept_async_with_config};

use super::config;
use crate::errors::{Result, io_error};
use crate::log::Fetch;
use crate::supervisor::Guard;

/// Time in which a link must open and send its first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before accepting goes on after the operating system refused a connection.
const ACCEPT_WAIT: Duration = Duration::from_millis(100);

/// `Received` is a report that came over a link.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct Received(pub Report);

/// `Close` ends the listener and every link.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Close;

/// `Hub` is where a link's frames go.
#[derive(Clone)]
struct Hub {
    reports: Option<Recipient<Received>>,
    fold: Recipient<Fetch>,
    refused: Counter<u64>,
}

/// `Listener` accepts links; each link is a task that owns its socket.
pub struct Listener<C: Copy + std::marker::Send + 'static> {
    address: SocketAddr,
    hub: Hub,
    logger: Logger,
    _guard: Guard<C>,
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Listener<C> {
    /// Makes a listener for an address.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        reports: Option<Recipient<Received>>,
        fold: Recipient<Fetch>,
        meter: &Meter,
        logger: Logger,
        guard: Guard<C>,
    ) -> Self {
        let refused = meter.u64_counter("peer_refused").build();
        Self {
            address,
            hub: Hub {
                reports,
                fold,
                refused,
            },
            logger,
            _guard: guard,
        }
    }
}

impl<C: Copy + std::marker::Send + Unpin + 'static> Actor for Listener<C> {
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

impl<C: Copy + std::marker::Send + Unpin + 'static> Handler<Close> for Listener<C> {
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
                links.spawn_local(serve(stream, hub.clone()));
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_WAIT).await,
        }
    }
}

/// Serves one link until it ends; a frame that is refused ends it.
async fn serve(stream: TcpStream, hub: Hub) {
    let open = async {
        let mut link = accept_async_with_config(stream, Some(config()))
            .await
            .ok()?;
        matches!(receive(&mut link).await, Some(Frame::Hello(_))).then_some(link)
    };
    let opened = actix_rt::time::timeout(HELLO_TIMEOUT, open).await;
    let Ok(Some(mut link)) = opened else {
        hub.refused.add(1, &[]);
        return;
    };
    while let Some(frame) = receive(&mut link).await {
        match frame {
            Frame::Fetch { next } => {
                let Ok(Some((next, state))) = hub.fold.send(Fetch(next)).await else {
                    continue;
                };
                let Ok(bytes) = frame::encode(&Frame::Snapshot { next, state }) else {
                    continue;
                };
                if link.send(Item::Binary(bytes)).await.is_err() {
                    return;
                }
            }
            Frame::Report(report) => {
                if let Some(reports) = &hub.reports {
                    reports.do_send(Received(report));
                }
            }
            Frame::Hello(_) | Frame::Snapshot { .. } => {
                hub.refused.add(1, &[]);
                return;
            }
        }
    }
}

/// Receives the next frame, or nothing when the link ends or the frame is malformed.
pub(super) async fn receive<S>(link: &mut WebSocketStream<S>) -> Option<Frame>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    loop {
        let item: std::result::Result<Item, tungstenite::Error> = link.next().await?;
        match item.ok()? {
            Item::Binary(bytes) => return frame::decode(&bytes).ok(),
            Item::Ping(_) | Item::Pong(_) => {}
            Item::Close(_) | Item::Frame(_) | Item::Text(_) => return None,
        }
    }
}
