//! One request of a caller, retried on another entry host when the connection is lost.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use actix_rt::time::Instant;
use persimmongate_core::request::{Urgency, format_key, make_key};
use persimmongate_wire::platform::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, URGENCY_HEADER,
};

use crate::deployment::Service;
use crate::worker::Payload;

/// Maximum number of attempts, each at the next entry host.
const MAX_ATTEMPTS: usize = 4;
/// Time after the deadline for which a caller still waits for the outcome.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// `Outcome` is the result that a caller received, after a check of the answer's nonce.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Outcome {
    Answered,
    NotRun,
    Unknown,
    /// The answer to another request, or a response with an unexpected outcome.
    Invalid,
}

/// `Call` is a completed request with its outcome.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Nonces sent, one per attempt for an idempotent request.
    pub(super) nonces: Vec<String>,
    pub(super) is_idempotent: bool,
    pub(super) outcome: Outcome,
    pub(super) latency: Duration,
}

/// `Request` is a request to send.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) service: Service,
    pub(super) caller: String,
    /// Random number from which the nonce and the idempotency key are derived.
    pub(super) random: u128,
    pub(super) work_ms: u64,
    /// Entry hosts in the order in which they are tried.
    pub(super) entries: Vec<SocketAddr>,
}

/// Sends a request until an entry host returns an outcome or the attempts are used up.
pub(super) async fn send(http: awc::Client, request: Request) -> Call {
    let started_at = Instant::now();
    let key = make_key(SystemTime::UNIX_EPOCH + unix_time(), request.random);
    let mut nonces = Vec::new();
    let mut outcome = Outcome::Unknown;
    for attempt in 0..MAX_ATTEMPTS {
        // Each attempt of an idempotent request may run, so it has its own nonce. A request with an
        // idempotency key runs at most once over all attempts, so they share one.
        let nonce = if request.service.is_idempotent {
            format!("{:032x}-{attempt}", request.random)
        } else {
            format!("{:032x}", request.random)
        };
        if !nonces.contains(&nonce) {
            nonces.push(nonce.clone());
        }
        let entry = request.entries[attempt % request.entries.len()];
        let payload = Payload {
            nonce,
            work_ms: request.work_ms,
        };
        if let Some(received) = send_once(&http, &request, entry, key, &payload).await {
            outcome = received;
            break;
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
    let is_idempotent = request.service.is_idempotent;
    Call {
        nonces,
        is_idempotent,
        outcome,
        latency: started_at.elapsed(),
    }
}

/// Sends a request to one entry host. Returns `None` if the connection was lost or the response
/// carries no outcome.
async fn send_once(
    http: &awc::Client,
    request: &Request,
    entry: SocketAddr,
    key: u128,
    payload: &Payload,
) -> Option<Outcome> {
    let service = request.service;
    let mut http_request = http
        .post(format!("http://{entry}/{}", service.name))
        .timeout(Duration::from_millis(service.deadline_ms) + RESPONSE_GRACE)
        .insert_header((CALLER_HEADER, request.caller.as_str()))
        .insert_header((URGENCY_HEADER, urgency_value(service.urgency)))
        .insert_header((DEADLINE_HEADER, service.deadline_ms.to_string()));
    if !service.is_idempotent {
        http_request = http_request.insert_header((IDEMPOTENCY_KEY_HEADER, format_key(key)));
    }
    let mut response = http_request.send_json(payload).await.ok()?;
    let outcome = response
        .headers()
        .get(OUTCOME_HEADER)?
        .to_str()
        .ok()?
        .to_owned();
    let body = response.body().await.ok()?;
    Some(match outcome.as_str() {
        "answered" => match serde_json::from_slice::<Payload>(&body) {
            Ok(answer) if answer.nonce == payload.nonce => Outcome::Answered,
            _ => Outcome::Invalid,
        },
        "not-run" => Outcome::NotRun,
        "unknown" => Outcome::Unknown,
        _ => Outcome::Invalid,
    })
}

fn urgency_value(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Urgent => "urgent",
        Urgency::Normal => "normal",
        Urgency::Batch => "batch",
    }
}

/// Returns the time of day as the time since the Unix epoch; idempotency keys contain it.
fn unix_time() -> Duration {
    SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default()
}
