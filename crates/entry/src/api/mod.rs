//! HTTP interface for callers.
//!
//! `POST /{service}/{path}` runs a request. Each answer carries its outcome in a header; a refusal
//! or a doubt carries its reason too.

mod body;
mod parse;

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use persimmongate_core::outcome::{Doubt, Outcome, Refusal};
use persimmongate_wire::platform::{OUTCOME_HEADER, REASON_HEADER};

use crate::gate::{Seen, submit};

/// `Defaults` holds what a request gets that does not say.
#[derive(Clone, Debug)]
pub(crate) struct Defaults {
    /// Time for which the answer is of use.
    pub(crate) deadline: Duration,
    /// Largest body, in bytes.
    pub(crate) body_max: usize,
    /// Requests refused before they reached the gate.
    pub(crate) refused: Counter<u64>,
}

impl Defaults {
    fn count(&self, reason: &'static str) {
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Adds the routes for callers.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.default_service(web::to(handle));
}

async fn handle(
    gate: Data<Seen>,
    defaults: Data<Defaults>,
    http: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let body = match body::read(payload, defaults.body_max).await {
        Ok(body) => body,
        Err(problem) => {
            defaults.count(problem.word());
            return HttpResponse::build(problem.status())
                .insert_header((OUTCOME_HEADER, "not-run"))
                .insert_header((REASON_HEADER, problem.word()))
                .finish();
        }
    };
    match parse::request(&http, body, defaults.deadline) {
        Ok(request) => respond(submit(&gate, request).await),
        Err(problem) => {
            defaults.count("malformed");
            HttpResponse::BadRequest()
                .insert_header((OUTCOME_HEADER, "not-run"))
                .insert_header((REASON_HEADER, "malformed"))
                .body(format!("{problem}\n"))
        }
    }
}

fn respond(outcome: Outcome) -> HttpResponse {
    let word = outcome.as_str();
    match outcome {
        Outcome::Answered(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::build(status)
                .insert_header((OUTCOME_HEADER, word))
                .body(answer.body)
        }
        Outcome::NotRun(refusal) => HttpResponse::build(refusal_status(refusal))
            .insert_header((OUTCOME_HEADER, word))
            .insert_header((REASON_HEADER, format!("{refusal:?}")))
            .finish(),
        Outcome::Unknown(doubt) => HttpResponse::build(doubt_status(doubt))
            .insert_header((OUTCOME_HEADER, word))
            .insert_header((REASON_HEADER, format!("{doubt:?}")))
            .finish(),
    }
}

fn refusal_status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::NoService => StatusCode::NOT_FOUND,
        Refusal::Unrunnable => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::Cancelled
        | Refusal::Deadline
        | Refusal::Leaving
        | Refusal::LogDown
        | Refusal::NoWorker
        | Refusal::Stale => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn doubt_status(doubt: Doubt) -> StatusCode {
    match doubt {
        Doubt::Claimed | Doubt::Expired => StatusCode::CONFLICT,
        Doubt::Broken | Doubt::Mismatch | Doubt::Unrunnable => StatusCode::BAD_GATEWAY,
        Doubt::Timeout => StatusCode::GATEWAY_TIMEOUT,
    }
}
