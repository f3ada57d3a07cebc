//! Commands that read the state of the fleet.

use std::net::SocketAddr;

use persimmongate_core::report::{Explanation, Status, Subject};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use super::{failure_output, unreadable_output};
use crate::client::{Client, Failure, escape};
use crate::print::{self, Exit, Output};

/// Shows the status of the fleet.
pub(crate) async fn status(client: &Client) -> Output {
    let value = match client.get("/v1/status").await {
        Ok(value) => value,
        Err(failure) => return failure_output(failure),
    };
    match Status::deserialize(&value) {
        Ok(status) => Output::new(Exit::Done, print::format_status(&status), value),
        Err(error) => unreadable_output(&error),
    }
}

/// Explains a host, pool, service or wave.
pub(crate) async fn explain(client: &Client, kind: Subject, name: &str) -> Output {
    let kind = match kind {
        Subject::Host => "host",
        Subject::Pool => "pool",
        Subject::Service => "service",
        Subject::Wave => "wave",
    };
    let path = format!("/v1/explain/{kind}/{}", escape(name));
    let value = match client.get(&path).await {
        Ok(value) => value,
        Err(failure) => return failure_output(failure),
    };
    match Explanation::deserialize(&value) {
        Ok(explanation) => Output::new(Exit::Done, print::format_explanation(&explanation), value),
        Err(error) => unreadable_output(&error),
    }
}

/// Prints the complete state of one process, or of all members of the fleet.
pub(crate) async fn dump(client: &Client, address: Option<SocketAddr>) -> Output {
    if let Some(address) = address {
        return match client.get_from(address, "/dump").await {
            Ok(value) => Output::new(Exit::Done, format!("{value:#}"), value),
            Err(Failure::Unreachable(problem) | Failure::AnswerLost(problem)) => {
                let text = format!("process can't be reached: {problem}");
                Output::error(Exit::Unreachable, &text)
            }
            Err(failure @ Failure::Refused(_)) => failure_output(failure),
        };
    }
    let value = match client.get("/v1/status").await {
        Ok(value) => value,
        Err(failure) => return failure_output(failure),
    };
    match Status::deserialize(&value) {
        Ok(status) => dump_members(client, &status).await,
        Err(error) => unreadable_output(&error),
    }
}

async fn dump_members(client: &Client, status: &Status) -> Output {
    let mut dumps = Map::new();
    let mut exit = Exit::Done;
    for member in &status.members {
        let dump = match client.get_from(member.http, "/dump").await {
            Ok(dump) => dump,
            Err(failure) => {
                exit = Exit::Unreachable;
                json!({ "error": failure_output(failure).text })
            }
        };
        dumps.insert(member.name.to_string(), dump);
    }
    let value = Value::Object(dumps);
    Output::new(exit, format!("{value:#}"), value)
}
