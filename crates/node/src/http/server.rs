//! HTTP server whose connections report to their listener.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::error::DispatchError;
use actix_http::{HttpService, Payload, Request, Response};
use actix_rt::net::TcpStream;
use actix_server::ServerBuilder;
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service,
    map_config,
};
use actix_web::dev::AppConfig;
use persimmongate_core::admission::Limits;
use slog::{Logger, warn};
use tokio::sync::mpsc;

use super::connection::Connection;
use super::link::{Envelope, Exchange, Link};
use crate::errors::{Result, io_error};

/// Share of connections above the limits of the listeners, in percent, that a server accepts. Those beyond wait in the
/// backlog of the operating system until the listener has closed others.
const EXCESS_PERCENT: usize = 10;
/// Smallest number of connections above the limits that a server accepts.
const EXCESS_MIN: usize = 16;

/// Time limit for a client to close a connection that this side has closed.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `Parts` is a running server, its addresses and the messages of its connections.
type Parts = (
    actix_server::Server,
    Vec<(&'static str, Limits)>,
    mpsc::UnboundedReceiver<Envelope>,
);

/// `Server` is an HTTP server that is about to start, with one or more addresses.
pub struct Server {
    builder: ServerBuilder,
    doors: Vec<(&'static str, Limits)>,
    sender: mpsc::UnboundedSender<Envelope>,
    receiver: mpsc::UnboundedReceiver<Envelope>,
    logger: Logger,
}

impl Server {
    /// Creates a server without addresses. At its end, requests in flight have so many seconds to finish.
    #[must_use]
    pub fn new(shutdown_timeout_s: u64, logger: Logger) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let builder = actix_server::Server::build()
            .workers(1)
            .disable_signals()
            .shutdown_timeout(shutdown_timeout_s);
        Self {
            builder,
            doors: Vec::new(),
            sender,
            receiver,
            logger,
        }
    }

    /// Adds an address with its name in metrics, its limits, and the application that serves it.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind<F, I, S, B>(
        mut self,
        name: &'static str,
        address: SocketAddr,
        limits: &Limits,
        application: F,
    ) -> Result<Self>
    where
        F: Fn() -> I + Clone + Send + 'static,
        I: IntoServiceFactory<S, Request>,
        S: ServiceFactory<Request, Config = AppConfig> + 'static,
        S::Error: Into<actix_web::Error>,
        S::InitError: Debug,
        S::Response: Into<Response<B>>,
        <S::Service as Service<Request>>::Future: 'static,
        S::Service: 'static,
        B: MessageBody + 'static,
    {
        let door = self.doors.len();
        let link = (limits.clone(), self.sender.clone(), self.logger.clone());
        let drain = self.builder.graceful_shutdown_signal();
        self.doors.push((name, limits.clone()));
        let service = move || {
            let (limits, sender, logger) = link.clone();
            let timeouts = limits.clone();
            let drain = drain.clone();
            let accept = fn_service(move |stream: TcpStream| {
                let (limits, sender) = (limits.clone(), sender.clone());
                let peer = stream.peer_addr();
                if let Err(error) = &peer {
                    warn!(logger, "connection ended before it was served"; "error" => %error);
                }
                async move {
                    let peer = peer.map_err(DispatchError::Io)?;
                    let link = Link::new(door, peer, limits, sender);
                    Ok((Connection::new(stream, link), Some(peer)))
                }
            });
            let application = application()
                .into_factory()
                .map_err(|error| error.into().error_response());
            let application = map_config(application, |()| AppConfig::default());
            let application = apply_fn_factory(application, |mut request: Request, service: &_| {
                let has_body = !matches!(request.payload(), Payload::None);
                let link = request.conn_data::<Link>().cloned();
                let exchange = link.map(|link| Exchange::begin(link, has_body));
                let response = service.call(request);
                async move {
                    let response = response.await;
                    drop(exchange);
                    response
                }
            });
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let drain = drain.clone();
                    async move { drain.notified().await }
                })
                .keep_alive(timeouts.idle_timeout)
                .client_request_timeout(timeouts.head_timeout)
                .client_disconnect_timeout(DISCONNECT_TIMEOUT)
                .on_connect_ext(|connection: &Connection, data| {
                    data.insert(connection.link().clone());
                })
                .h1(application);
            accept.and_then(http)
        };
        self.builder = self
            .builder
            .bind(name, address, service)
            .map_err(|error| io_error(format!("{name} address {address}"), error))?;
        Ok(self)
    }

    /// Starts the server.
    pub(super) fn run(self) -> Parts {
        let limits = self.doors.iter().map(|(_, limits)| limits.connections);
        let connections: usize = limits.sum();
        let excess = EXCESS_MIN.max(connections * EXCESS_PERCENT / 100);
        let builder = self
            .builder
            .max_concurrent_connections(connections + excess);
        (builder.run(), self.doors, self.receiver)
    }
}
