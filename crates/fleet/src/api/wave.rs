//! Handler for operators' commands to a maintenance wave.

use actix_web::web::{Data, Path, Query};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::record::{Body, Command};
use persimmongate_core::report;
use persimmongate_core::state::{Reason, Verdict};
use persimmongate_core::{ids, name};
use serde::Deserialize;
use serde_json::json;

use super::append::append_and_wait;
use super::{LogFollower, bad_request, not_found, not_ready, read_state};

/// `Parameters` holds the query parameters of a command.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Parameters {
    operator: ids::Operator,
}

/// Pauses, resumes or aborts a wave; a command that is already in effect changes nothing.
pub(super) async fn control(
    follower: Data<LogFollower>,
    path: Path<(ids::Wave, String)>,
    parameters: Query<Parameters>,
) -> impl Responder {
    let (wave, command) = path.into_inner();
    let command = match command.as_str() {
        "abort" => Command::Abort,
        "pause" => Command::Pause,
        "resume" => Command::Resume,
        _ => return not_found(&"no such command"),
    };
    let operator = parameters.into_inner().operator;
    if let Err(problem) = name::check(&operator) {
        return bad_request(&format!("operator: {problem}; accepted: {}", name::SYNTAX));
    }
    let Some(state) = read_state(&follower).await else {
        return not_ready();
    };
    let Some(entry) = state.waves.get(&wave) else {
        return not_found(&Reason::NotFound(format!("wave {wave}")));
    };
    if report::is_in_effect(entry.phase, command) {
        return respond_changed(false);
    }
    let record = Body::Command {
        wave: wave.clone(),
        command,
        operator,
    };
    match append_and_wait(&follower, record).await {
        Some(Verdict::Accepted | Verdict::Duplicate) => respond_changed(true),
        Some(Verdict::Rejected(reason)) => {
            HttpResponse::Conflict().json(json!({ "error": reason.to_string() }))
        }
        None => respond_without_verdict(&follower, &wave, command).await,
    }
}

/// Answers a command whose verdict was not read in time and which may have taken effect.
async fn respond_without_verdict(
    follower: &LogFollower,
    wave: &ids::Wave,
    command: Command,
) -> HttpResponse {
    let state = read_state(follower).await;
    let phase = state.and_then(|state| state.waves.get(wave).map(|wave| wave.phase));
    if phase.is_some_and(|phase| report::is_in_effect(phase, command)) {
        return respond_changed(true);
    }
    let error = "the verdict on the command was not read from the platform's log in time; the command may still take effect";
    HttpResponse::GatewayTimeout().json(json!({ "error": error }))
}

fn respond_changed(has_changed: bool) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "changed": has_changed }))
}
