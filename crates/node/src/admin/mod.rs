//! HTTP interface for metrics, health and dumps.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use actix::{Actor, Addr, Context, Handler, Message, Recipient, ResponseFuture};
use actix_web::web::{Data, Json, ServiceConfig, get};
use actix_web::{App, HttpResponse, Responder};
use persimmongate_core::admission::Limits;
use serde_json::Value;
use slog::Logger;

use crate::errors::Result;
use crate::http::Server;
use crate::metrics::Metrics;
use crate::supervisor::Guard;

/// Time, in seconds, that requests in flight have to finish when the interface closes.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// `Dump` requests the whole state of an actor as JSON.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Value")]
pub struct Dump;

/// `Register` adds an actor to the dump under a name.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Register {
    /// Name in the dump.
    pub name: String,
    /// Actor that is asked for its state.
    pub actor: Recipient<Dump>,
}

/// Registers the running actors; each replaces the one registered under its name before.
pub fn register<C: Copy + Send + Unpin + 'static, N: Into<String>>(
    directory: Option<&Addr<Directory<C>>>,
    actors: impl IntoIterator<Item = (N, Option<Recipient<Dump>>)>,
) {
    let Some(directory) = directory else { return };
    for (name, actor) in actors {
        if let Some(actor) = actor {
            directory.do_send(Register {
                name: name.into(),
                actor,
            });
        }
    }
}

/// `Collect` requests the state of every registered actor, by name.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Value")]
pub struct Collect;

/// `Directory` is the registry of the actors that are included in a dump.
pub struct Directory<C: Copy + Send + 'static> {
    actors: BTreeMap<String, Recipient<Dump>>,
    _guard: Guard<C>,
}

impl<C: Copy + Send + Unpin + 'static> Directory<C> {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(guard: Guard<C>) -> Self {
        Self {
            actors: BTreeMap::new(),
            _guard: guard,
        }
    }
}

impl<C: Copy + Send + Unpin + 'static> Actor for Directory<C> {
    type Context = Context<Self>;
}

impl<C: Copy + Send + Unpin + 'static> Handler<Register> for Directory<C> {
    type Result = ();

    fn handle(&mut self, register: Register, _: &mut Self::Context) {
        self.actors.insert(register.name, register.actor);
    }
}

impl<C: Copy + Send + Unpin + 'static> Handler<Collect> for Directory<C> {
    type Result = ResponseFuture<Value>;

    fn handle(&mut self, _: Collect, _: &mut Self::Context) -> Self::Result {
        let actors = self.actors.clone();
        Box::pin(async move {
            let mut dump = serde_json::Map::new();
            for (name, actor) in actors {
                let state = actor.send(Dump).await.unwrap_or(Value::Null);
                dump.insert(name, state);
            }
            Value::Object(dump)
        })
    }
}

/// Creates the server of the interface, with its limits.
///
/// The function `extra_routes` adds routes that are specific to the daemon.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub fn serve(
    address: SocketAddr,
    limits: &Limits,
    logger: Logger,
    directory: Recipient<Collect>,
    metrics: Metrics,
    extra_routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static,
) -> Result<Server> {
    let app = move || {
        App::new()
            .app_data(Data::new(directory.clone()))
            .app_data(Data::new(metrics.clone()))
            .configure(configure)
            .configure(extra_routes.clone())
    };
    Server::new(SHUTDOWN_TIMEOUT_S, logger).bind("admin", address, limits, app)
}

/// Adds the routes for metrics, health and dumps.
fn configure(config: &mut ServiceConfig) {
    config
        .route("/dump", get().to(dump))
        .route("/health", get().to(health))
        .route("/metrics", get().to(metrics));
}

async fn dump(directory: Data<Recipient<Collect>>) -> impl Responder {
    match directory.send(Collect).await {
        Ok(state) => Ok(Json(state)),
        Err(error) => Err(actix_web::error::ErrorServiceUnavailable(error)),
    }
}

async fn health() -> impl Responder {
    HttpResponse::Ok().body("ok\n")
}

async fn metrics(metrics: Data<Metrics>) -> impl Responder {
    match metrics.render() {
        Ok(text) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}
