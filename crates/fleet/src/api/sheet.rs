//! Handlers for calls that show, plan or apply a sheet.

use actix_web::web::{Data, Query};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::errors::Error;
use persimmongate_core::report::{self, Answer, Decision, Proposal};
use persimmongate_core::sheet;
use persimmongate_core::{ids, name};
use persimmongate_node::http::Body;
use serde::Deserialize;
use serde_json::json;

use super::append::append_and_wait;
use super::{LogFollower, bad_request, not_ready, read_state};

/// `Parameters` holds the query parameters of a call that applies a sheet.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Parameters {
    operator: ids::Operator,
    #[serde(rename = "base")]
    base_revision: Option<ids::Revision>,
    #[serde(default, rename = "anyway")]
    allows_unmet: bool,
}

/// Returns the sheet in force with its revision.
pub(super) async fn show(follower: Data<LogFollower>) -> impl Responder {
    let Some(state) = read_state(&follower).await else {
        return not_ready();
    };
    HttpResponse::Ok().json(json!({ "revision": state.revision, "sheet": state.sheet }))
}

/// Returns the changes that a sheet would make, without applying it.
pub(super) async fn plan(follower: Data<LogFollower>, body: Body) -> impl Responder {
    let rows = match sheet::parse_rows(&body.bytes) {
        Ok(rows) => rows,
        Err(error) => return respond_error(error),
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
    body: Body,
) -> impl Responder {
    let rows = match sheet::parse_rows(&body.bytes) {
        Ok(rows) => rows,
        Err(error) => return respond_error(error),
    };
    let Parameters {
        operator,
        base_revision,
        allows_unmet,
    } = parameters.into_inner();
    if let Err(problem) = name::check(&operator) {
        return bad_request(&format!("operator: {problem}; accepted: {}", name::SYNTAX));
    }
    let proposal = Proposal {
        operator,
        base_revision,
        allows_unmet,
        rows,
    };
    apply_proposal(&follower, proposal).await
}

/// Appends a sheet to the log if it may be applied, and returns the result to the operator.
async fn apply_proposal(follower: &LogFollower, proposal: Proposal) -> HttpResponse {
    let Some(state) = read_state(follower).await else {
        return not_ready();
    };
    let base_revision = match report::evaluate(&state, &proposal) {
        Decision::Answer(answer) => return respond(&answer),
        Decision::Append(revision) => revision,
    };
    let rows = proposal.rows;
    let intents = rows.iter().map(|row| row.intent.clone()).collect();
    let record = state.sheet_record(base_revision, proposal.operator, intents);
    let verdict = append_and_wait(follower, record).await;
    let Some(new_state) = read_state(follower).await else {
        return not_ready();
    };
    let previous_intents = state.sheet.map(|sheet| sheet.intents).unwrap_or_default();
    let answer = report::resolve(
        &new_state,
        &previous_intents,
        base_revision,
        verdict.as_ref(),
        &rows,
    );
    respond(&answer)
}

fn respond_error(error: Error) -> HttpResponse {
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
        Answer::Undecided => HttpResponse::GatewayTimeout().json(answer),
    }
}
