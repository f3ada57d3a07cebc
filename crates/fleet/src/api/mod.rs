//! HTTP interface for operators.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/status` | the status as JSON |
//! | `GET /v1/state` | the whole fold as JSON |
//! | `POST /v1/sheet?base=R&operator=O` with a CSV sheet | the verdict, or the findings |
//! | `POST /v1/waves/{wave}/{command}?operator=O` | the verdict |

use std::time::Duration;

use actix::{Actor, ActorContext, Addr, Context, Handler, MessageResult};
use actix_web::web::{self, Bytes, Data, Path, PayloadConfig, Query, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::errors::Error;
use persimmongate_core::ids;
use persimmongate_core::record::{Body, Command};
use persimmongate_core::report::status;
use persimmongate_core::sheet;
use persimmongate_core::state::{Reason, State, Verdict};
use persimmongate_node::log::{Append, Fold, Follower, Settled};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;

use crate::tree::Child;

/// Largest sheet read, in bytes.
const SHEET_MAX: usize = 16 * 1024 * 1024;
/// Time that an operator's record has to be settled.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Adds the routes for operators.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .app_data(PayloadConfig::new(SHEET_MAX))
        .route("/v1/status", web::get().to(show_status))
        .route("/v1/state", web::get().to(show_state))
        .route("/v1/sheet", web::post().to(apply))
        .route("/v1/waves/{wave}/{command}", web::post().to(steer));
}

async fn fold(follower: &Addr<Follower<Child>>) -> Option<State> {
    follower.send(Fold).await.ok().flatten()
}

fn not_ready() -> HttpResponse {
    let error = "this instance has not read the log up to its end yet";
    HttpResponse::ServiceUnavailable().json(json!({ "error": error }))
}

async fn show_status(follower: Data<Addr<Follower<Child>>>) -> impl Responder {
    match fold(&follower).await {
        Some(state) => HttpResponse::Ok().json(status(&state)),
        None => not_ready(),
    }
}

async fn show_state(follower: Data<Addr<Follower<Child>>>) -> impl Responder {
    match fold(&follower).await {
        Some(state) => HttpResponse::Ok().json(state),
        None => not_ready(),
    }
}

/// `Application` is the query of a sheet.
#[derive(Clone, Debug, Deserialize)]
struct Application {
    base: ids::Revision,
    operator: ids::Operator,
}

async fn apply(
    follower: Data<Addr<Follower<Child>>>,
    application: Query<Application>,
    bytes: Bytes,
) -> impl Responder {
    let intents = match sheet::parse(&bytes) {
        Ok(intents) => intents,
        Err(Error::Findings(findings)) => {
            return HttpResponse::UnprocessableEntity().json(findings);
        }
        Err(error) => {
            return HttpResponse::BadRequest().json(json!({ "error": error.to_string() }));
        }
    };
    let Application { base, operator } = application.into_inner();
    decide(
        &follower,
        Body::Sheet {
            base,
            operator,
            intents,
        },
    )
    .await
}

/// `Steering` is the query of a command to a wave.
#[derive(Clone, Debug, Deserialize)]
struct Steering {
    operator: ids::Operator,
}

async fn steer(
    follower: Data<Addr<Follower<Child>>>,
    path: Path<(ids::Wave, String)>,
    steering: Query<Steering>,
) -> impl Responder {
    let (wave, command) = path.into_inner();
    let command = match command.as_str() {
        "abort" => Command::Abort,
        "pause" => Command::Pause,
        "resume" => Command::Resume,
        _ => return HttpResponse::NotFound().json(json!({ "error": "no such command" })),
    };
    let operator = steering.into_inner().operator;
    decide(
        &follower,
        Body::Command {
            wave,
            command,
            operator,
        },
    )
    .await
}

/// Appends an operator's record and answers with its verdict.
async fn decide(follower: &Addr<Follower<Child>>, body: Body) -> HttpResponse {
    let (sender, verdict) = oneshot::channel();
    let reply = Once(Some(sender)).start().recipient();
    follower.do_send(Append {
        token: 0,
        body,
        reply,
    });
    let settled = actix_rt::time::timeout(SETTLE_TIMEOUT, verdict).await;
    match settled.ok().and_then(Result::ok).flatten() {
        Some(Verdict::Accepted | Verdict::Duplicate) => {
            let state = fold(follower).await;
            let revision = state.map(|state| state.revision);
            HttpResponse::Ok().json(json!({ "revision": revision }))
        }
        Some(Verdict::Rejected(reason)) => {
            let error = reason.to_string();
            match reason {
                Reason::Absent(_) => HttpResponse::NotFound().json(json!({ "error": error })),
                Reason::Conflict { current, .. } => {
                    HttpResponse::Conflict().json(json!({ "error": error, "current": current }))
                }
                _ => HttpResponse::Conflict().json(json!({ "error": error })),
            }
        }
        None => {
            let error = "the log did not settle the record in time; look before trying again";
            HttpResponse::GatewayTimeout().json(json!({ "error": error }))
        }
    }
}

/// `Once` passes one verdict on to a waiting call.
struct Once(Option<oneshot::Sender<Option<Verdict>>>);

impl Actor for Once {
    type Context = Context<Self>;
}

impl Handler<Settled> for Once {
    type Result = MessageResult<Settled>;

    fn handle(&mut self, settled: Settled, ctx: &mut Self::Context) -> Self::Result {
        if let Some(sender) = self.0.take() {
            // A call that timed out has nobody to tell.
            let _ = sender.send(settled.verdict);
        }
        ctx.stop();
        MessageResult(())
    }
}
