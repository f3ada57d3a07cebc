//! HTTP interface for metrics, health and dumps.

use std::collections::BTreeMap;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, Recipient, ResponseFuture};
use actix_web::web::{Data, Json, ServiceConfig, get};
use actix_web::{HttpResponse, Responder};
use serde_json::Value;

use crate::metrics::Metrics;

/// `Dump` asks an actor for its whole state.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Value")]
pub struct Dump;

/// `Register` adds an actor to the dump under a name.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Register {
    /// Name in the dump.
    pub name: &'static str,
    /// Actor to ask.
    pub actor: Recipient<Dump>,
}

/// `DumpAll` asks for the state of every registered actor.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Value")]
pub struct DumpAll;

/// `Directory` knows the actors of a process.
#[derive(Debug, Default)]
pub struct Directory {
    actors: BTreeMap<&'static str, Recipient<Dump>>,
}

impl Actor for Directory {
    type Context = Context<Self>;
}

impl Handler<Register> for Directory {
    type Result = ();

    fn handle(&mut self, register: Register, _: &mut Self::Context) {
        self.actors.insert(register.name, register.actor);
    }
}

impl Handler<DumpAll> for Directory {
    type Result = ResponseFuture<Value>;

    fn handle(&mut self, _: DumpAll, _: &mut Self::Context) -> Self::Result {
        let actors = self.actors.clone();
        Box::pin(async move {
            let mut dump = serde_json::Map::new();
            for (name, actor) in actors {
                let state = actor.send(Dump).await.unwrap_or(Value::Null);
                dump.insert(name.to_owned(), state);
            }
            Value::Object(dump)
        })
    }
}

/// Registers an actor with the directory.
pub fn register<A>(directory: &Addr<Directory>, name: &'static str, actor: &Addr<A>)
where
    A: Actor<Context = Context<A>> + Handler<Dump>,
    A::Context: AsyncContext<A>,
{
    directory.do_send(Register {
        name,
        actor: actor.clone().recipient(),
    });
}

/// Adds the routes for metrics, health and dumps.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/dump", get().to(dump))
        .route("/health", get().to(health))
        .route("/metrics", get().to(metrics));
}

async fn dump(directory: Data<Addr<Directory>>) -> impl Responder {
    match directory.send(DumpAll).await {
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
