//! HTTP interface for callers.
//!
//! `POST /{service}/{path}` runs a request. Each answer carries its outcome in a header, and the
//! reason in another if the request was not run or its outcome is unknown.

mod request;

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::web::{self, Data, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use persimmongate_core::outcome::{Doubt, Outcome, Refusal};
use persimmongate_node::http::{self, Body};
use persimmongate_wire::platform::{OUTCOME_HEADER, REASON_HEADER};

use crate::gate::{self, submit};

/// `Options` holds the limits of the HTTP interface and its counter of rejected requests.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Deadline of requests that set none, counted from their arrival.
    pub(crate) default_deadline: Duration,
    /// Number of requests rejected before they reached the gate.
    pub(crate) rejections: Counter<u64>,
}

impl Options {
    fn count_rejection(&self, reason: &'static str) {
        self.rejections.add(1, &[KeyValue::new("reason", reason)]);
    }
}

/// Registers the handler for callers' requests.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.default_service(web::to(handle));
}

async fn handle(
    gate_address: Data<gate::AddressWatch>,
    options: Data<Options>,
    request: HttpRequest,
    body: Result<Body, http::Refusal>,
) -> HttpResponse {
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            options.count_rejection(error.as_str());
            return HttpResponse::build(error.status())
                .insert_header((OUTCOME_HEADER, "not-run"))
                .insert_header((REASON_HEADER, error.as_str()))
                .finish();
        }
    };
    match request::parse(&request, body.bytes.clone(), options.default_deadline) {
        Ok(request) => respond(submit(&gate_address, request).await),
        Err(error) => {
            options.count_rejection("malformed");
            HttpResponse::BadRequest()
                .insert_header((OUTCOME_HEADER, "not-run"))
                .insert_header((REASON_HEADER, "malformed"))
                .body(format!("{error}\n"))
        }
    }
}

fn respond(outcome: Outcome) -> HttpResponse {
    let outcome_name = outcome.as_str();
    match outcome {
        Outcome::Answered(answer) => {
            let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpResponse::build(status)
                .insert_header((OUTCOME_HEADER, outcome_name))
                .body(answer.body)
        }
        Outcome::NotRun(refusal) => HttpResponse::build(refusal_status(refusal))
            .insert_header((OUTCOME_HEADER, outcome_name))
            .insert_header((REASON_HEADER, format!("{refusal:?}")))
            .finish(),
        Outcome::Unknown(doubt) => HttpResponse::build(doubt_status(doubt))
            .insert_header((OUTCOME_HEADER, outcome_name))
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
