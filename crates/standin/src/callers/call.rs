//! One request of a caller, sent again elsewhere when the entry host is lost.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use actix_rt::time::Instant;
use persimmongate_core::request::{Urgency, format_key, make_key};
use persimmongate_wire::platform::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, URGENCY_HEADER,
};

use crate::deployment::Service;
use crate::worker::Payload;

/// Entry hosts that a caller tries, at most.
const TRIES: usize = 4;
/// Time beyond the deadline that a caller waits for the outcome.
const GRACE: Duration = Duration::from_secs(2);
/// Time before a caller tries the next entry host.
const RETRY_WAIT: Duration = Duration::from_millis(100);

/// `Verdict` is what a caller was told, checked against what it asked.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Verdict {
    Answered,
    NotRun,
    Unknown,
    Wrong,
}

/// `Call` is one request with what the caller was told.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Nonce of each send.
    pub(super) nonces: Vec<String>,
    pub(super) idempotent: bool,
    pub(super) verdict: Verdict,
    pub(super) latency: Duration,
}

/// `Plan` is what is sent.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) service: Service,
    pub(super) caller: String,
    /// Random number for nonce and key.
    pub(super) random: u128,
    pub(super) work_ms: u64,
    /// Entry hosts in the order in which they are tried.
    pub(super) entries: Vec<SocketAddr>,
}

/// Sends a request until some entry host tells an outcome.
pub(super) async fn send(http: awc::Client, plan: Plan) -> Call {
    let started = Instant::now();
    let key = make_key(SystemTime::UNIX_EPOCH + wall_clock(), plan.random);
    let mut nonces = Vec::new();
    let mut verdict = Verdict::Unknown;
    for attempt in 0..TRIES {
        // Safe work is a new request each time; work under a key stays the same request.
        let nonce = if plan.service.is_idempotent {
            format!("{:032x}-{attempt}", plan.random)
        } else {
            format!("{:032x}", plan.random)
        };
        if !nonces.contains(&nonce) {
            nonces.push(nonce.clone());
        }
        let entry = plan.entries[attempt % plan.entries.len()];
        let payload = Payload {
            nonce,
            work_ms: plan.work_ms,
        };
        if let Some(told) = send_once(&http, &plan, entry, key, &payload).await {
            verdict = told;
            break;
        }
        actix_rt::time::sleep(RETRY_WAIT).await;
    }
    let idempotent = plan.service.is_idempotent;
    Call {
        nonces,
        idempotent,
        verdict,
        latency: started.elapsed(),
    }
}

/// Sends a request to one entry host; nothing when the host was lost.
async fn send_once(
    http: &awc::Client,
    plan: &Plan,
    entry: SocketAddr,
    key: u128,
    payload: &Payload,
) -> Option<Verdict> {
    let service = plan.service;
    let mut request = http
        .post(format!("http://{entry}/{}", service.name))
        .timeout(Duration::from_millis(service.deadline_ms) + GRACE)
        .insert_header((CALLER_HEADER, plan.caller.as_str()))
        .insert_header((URGENCY_HEADER, urgency_word(service.urgency)))
        .insert_header((DEADLINE_HEADER, service.deadline_ms.to_string()));
    if !service.is_idempotent {
        request = request.insert_header((IDEMPOTENCY_KEY_HEADER, format_key(key)));
    }
    let mut response = request.send_json(payload).await.ok()?;
    let outcome = response
        .headers()
        .get(OUTCOME_HEADER)?
        .to_str()
        .ok()?
        .to_owned();
    let body = response.body().await.ok()?;
    Some(match outcome.as_str() {
        "answered" => match serde_json::from_slice::<Payload>(&body) {
            Ok(answer) if answer.nonce == payload.nonce => Verdict::Answered,
            _ => Verdict::Wrong,
        },
        "not-run" => Verdict::NotRun,
        "unknown" => Verdict::Unknown,
        _ => Verdict::Wrong,
    })
}

fn urgency_word(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Urgent => "urgent",
        Urgency::Normal => "normal",
        Urgency::Batch => "batch",
    }
}

/// Gets the time of a caller's wall clock, which goes into its keys.
fn wall_clock() -> Duration {
    SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default()
}
