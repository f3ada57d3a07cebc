//! Calls about the sheet.

use actix_web::web::{Bytes, Data, Query};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::errors::Error;
use persimmongate_core::report::{self, Answer, Decision, Proposal};
use persimmongate_core::sheet;
use persimmongate_core::{ids, name};
use serde::Deserialize;
use serde_json::json;

use super::append::append_and_wait;
use super::{LogFollower, bad_request, not_ready, read_state};

/// `Parameters` is the query of an application.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Parameters {
    operator: ids::Operator,
    base: Option<ids::Revision>,
    #[serde(default)]
    anyway: bool,
}

/// Shows the sheet in force.
pub(super) async fn show(follower: Data<LogFollower>) -> impl Responder {
    let Some(state) = read_state(&follower).await else {
        return not_ready();
    };
    HttpResponse::Ok().json(json!({ "revision": state.revision, "sheet": state.sheet }))
}

/// Plans a sheet without applying it.
pub(super) async fn plan(follower: Data<LogFollower>, bytes: Bytes) -> impl Responder {
    let rows = match sheet::parse_rows(&bytes) {
        Ok(rows) => rows,
        Err(error) => return refuse(error),
    };
    match read_state(&follower).await {
        Some(state) => HttpResponse::Ok().json(report::plan(&state, &rows)),
        None => not_ready(),
    }
}

/// Applies a sheet.
pub(super) async fn apply(
    follower: Data<LogFollower>,
    parameters: Query<Parameters>,
    bytes: Bytes,
) -> impl Responder {
    let rows = match sheet::parse_rows(&bytes) {
        Ok(rows) => rows,
        Err(error) => return refuse(error),
    };
    let Parameters {
        operator,
        base,
        anyway,
    } = parameters.into_inner();
    if let Err(problem) = name::check(&operator) {
        return bad_request(&format!("operator: {problem}; accepted: {}", name::SYNTAX));
    }
    let application = Proposal {
        operator,
        base_revision: base,
        allows_unmet: anyway,
        rows,
    };
    decide(&follower, application).await
}

/// Appends a sheet when it may be applied, and tells what became of it.
async fn decide(follower: &LogFollower, application: Proposal) -> HttpResponse {
    let Some(state) = read_state(follower).await else {
        return not_ready();
    };
    let base = match report::evaluate(&state, &application) {
        Decision::Answer(answer) => return respond(&answer),
        Decision::Append(base) => base,
    };
    let rows = application.rows;
    let intents = rows.iter().map(|row| row.intent.clone()).collect();
    let body = state.sheet_record(base, application.operator, intents);
    let verdict = append_and_wait(follower, body).await;
    let Some(after) = read_state(follower).await else {
        return not_ready();
    };
    let before = state.sheet.map(|sheet| sheet.intents).unwrap_or_default();
    let answer = report::resolve(&after, &before, base, verdict.as_ref(), &rows);
    respond(&answer)
}

fn refuse(error: Error) -> HttpResponse {
    match error {
        Error::Findings(findings) => {
            HttpResponse::UnprocessableEntity().json(json!({ "findings": findings.items }))
        }
        error @ Error::Value { .. } => bad_request(&error),
    }
}

fn respond(answer: &Answer) -> HttpResponse {
    match answer {
        Answer::Applied { .. } | Answer::Unchanged { .. } => HttpResponse::Ok().json(answer),
        Answer::Conflict(_) | Answer::Rejected { .. } => HttpResponse::Conflict().json(answer),
        Answer::Unmet(_) => HttpResponse::UnprocessableEntity().json(answer),
        Answer::Unsettled => HttpResponse::GatewayTimeout().json(answer),
    }
}
