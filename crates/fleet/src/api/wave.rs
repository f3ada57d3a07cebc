//! Commands to waves.

use actix_web::web::{Data, Path, Query};
use actix_web::{HttpResponse, Responder};
use persimmongate_core::record::{Body, Command};
use persimmongate_core::report;
use persimmongate_core::state::{Reason, Verdict};
use persimmongate_core::{ids, name};
use serde::Deserialize;
use serde_json::json;

use super::settle::settle;
use super::{Log, bad_request, fold, not_found, not_ready};

/// `Options` is the query of a command.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Options {
    operator: ids::Operator,
}

/// Steers a wave; a wave that is where the command would bring it stays as it is.
pub(super) async fn steer(
    log: Data<Log>,
    path: Path<(ids::Wave, String)>,
    options: Query<Options>,
) -> impl Responder {
    let (wave, command) = path.into_inner();
    let command = match command.as_str() {
        "abort" => Command::Abort,
        "pause" => Command::Pause,
        "resume" => Command::Resume,
        _ => return not_found(&"no such command"),
    };
    let operator = options.into_inner().operator;
    if let Err(problem) = name::check(&operator) {
        return bad_request(&format!("operator: {problem}; accepted: {}", name::SYNTAX));
    }
    let Some(state) = fold(&log).await else {
        return not_ready();
    };
    let Some(entry) = state.waves.get(&wave) else {
        return not_found(&Reason::NotFound(format!("wave {wave}")));
    };
    if report::is_in_effect(entry.phase, command) {
        return changed(false);
    }
    let body = Body::Command {
        wave: wave.clone(),
        command,
        operator,
    };
    match settle(&log, body).await {
        Some(Verdict::Accepted | Verdict::Duplicate) => changed(true),
        Some(Verdict::Rejected(reason)) => {
            HttpResponse::Conflict().json(json!({ "error": reason.to_string() }))
        }
        None => late(&log, &wave, command).await,
    }
}

/// Answers a command whose verdict was not read in time; it may have taken effect.
async fn late(log: &Log, wave: &ids::Wave, command: Command) -> HttpResponse {
    let state = fold(log).await;
    let phase = state.and_then(|state| state.waves.get(wave).map(|wave| wave.phase));
    if phase.is_some_and(|phase| report::is_in_effect(phase, command)) {
        return changed(true);
    }
    let error = "the platform's log did not settle the command in time; it may still take effect";
    HttpResponse::GatewayTimeout().json(json!({ "error": error }))
}

fn changed(changed: bool) -> HttpResponse {
    HttpResponse::Ok().json(json!({ "changed": changed }))
}
