//! HTTP interface for operators.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/status` | the status as JSON |
//! | `GET /v1/state` | the whole replayed state as JSON |
//! | `GET /v1/explain/{kind}/{name}` | why an object is in its state, and what happens next |
//! | `GET /v1/sheet` | the sheet in force |
//! | `POST /v1/plan` with a CSV sheet | the plan, or the findings |
//! | `POST /v1/sheet?operator=O&base=R&anyway=B` with a CSV sheet | whether the sheet was applied |
//! | `POST /v1/waves/{wave}/{command}?operator=O` | whether the command changed the wave |
//!
//! Errors are returned as `{"error": ...}` or `{"findings": ...}` with a status of 400 and above.

mod append;
mod sheet;
mod wave;

use actix::Addr;
use actix_web::web::{self, Data, Path, ServiceConfig};
use actix_web::{HttpResponse, Responder};
use bytestring::ByteString;
use persimmongate_core::report::{self, Subject};
use persimmongate_core::state::State;
use persimmongate_node::log::{Follower, Query, Staleness};
use serde_json::json;

use crate::tree::Child;

/// `LogFollower` is the address of the actor that reads the log and holds the replayed state.
pub(crate) type LogFollower = Addr<Follower<Child>>;

/// Registers the routes for operators.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/status", web::get().to(show_status))
        .route("/v1/state", web::get().to(show_state))
        .route("/v1/explain/{kind}/{name}", web::get().to(explain))
        .route("/v1/sheet", web::get().to(sheet::show))
        .route("/v1/sheet", web::post().to(sheet::apply))
        .route("/v1/plan", web::post().to(sheet::plan))
        .route("/v1/waves/{wave}/{command}", web::post().to(wave::control));
}

/// Returns a copy of the replayed state, or `None` before the log was read up to its end.
async fn read_state(follower: &LogFollower) -> Option<State> {
    follower.send(Query).await.ok().flatten()
}

fn not_ready() -> HttpResponse {
    let error = "this instance has not read the log up to its end yet";
    HttpResponse::ServiceUnavailable().json(json!({ "error": error }))
}

fn not_found(error: &impl ToString) -> HttpResponse {
    HttpResponse::NotFound().json(json!({ "error": error.to_string() }))
}

fn bad_request(error: &impl ToString) -> HttpResponse {
    HttpResponse::BadRequest().json(json!({ "error": error.to_string() }))
}

async fn show_status(follower: Data<LogFollower>) -> impl Responder {
    let Some(state) = read_state(&follower).await else {
        return not_ready();
    };
    let mut status = report::summarize(&state);
    status.log_age = follower.send(Staleness).await.ok().flatten();
    HttpResponse::Ok().json(status)
}

async fn show_state(follower: Data<LogFollower>) -> impl Responder {
    match read_state(&follower).await {
        Some(state) => HttpResponse::Ok().json(state),
        None => not_ready(),
    }
}

async fn explain(follower: Data<LogFollower>, path: Path<(String, ByteString)>) -> impl Responder {
    let (kind, name) = path.into_inner();
    let kind: Subject = match kind.parse() {
        Ok(kind) => kind,
        Err(error) => return not_found(&error),
    };
    let Some(state) = read_state(&follower).await else {
        return not_ready();
    };
    match report::explain(&state, kind, &name) {
        Ok(explanation) => HttpResponse::Ok().json(explanation),
        Err(error) => not_found(&error),
    }
}
