//! Commands that only read.

use std::net::SocketAddr;

use persimmongate_core::report::{Explanation, Kind, Status};
use serde::Deserialize;
use serde_json::{Map, Value, json};

use super::{failed, unreadable};
use crate::client::{Client, Failure, escape};
use crate::print::{self, Answer, Exit};

/// Shows the status of the fleet.
pub(crate) async fn status(client: &Client) -> Answer {
    let value = match client.get("/v1/status").await {
        Ok(value) => value,
        Err(failure) => return failed(failure),
    };
    match Status::deserialize(&value) {
        Ok(status) => Answer::new(Exit::Done, print::status(&status), value),
        Err(error) => unreadable(&error),
    }
}

/// Explains a host, pool, service or wave.
pub(crate) async fn explain(client: &Client, kind: Kind, name: &str) -> Answer {
    let kind = match kind {
        Kind::Host => "host",
        Kind::Pool => "pool",
        Kind::Service => "service",
        Kind::Wave => "wave",
    };
    let path = format!("/v1/explain/{kind}/{}", escape(name));
    let value = match client.get(&path).await {
        Ok(value) => value,
        Err(failure) => return failed(failure),
    };
    match Explanation::deserialize(&value) {
        Ok(explanation) => Answer::new(Exit::Done, print::explanation(&explanation), value),
        Err(error) => unreadable(&error),
    }
}

/// Prints the whole state of one process, or of all members.
pub(crate) async fn dump(client: &Client, address: Option<SocketAddr>) -> Answer {
    if let Some(address) = address {
        return match client.get_from(address, "/dump").await {
            Ok(value) => Answer::new(Exit::Done, format!("{value:#}"), value),
            Err(Failure::Unreachable(problem) | Failure::Lost(problem)) => {
                let text = format!("process can't be reached: {problem}");
                Answer::problem(Exit::Unreachable, &text)
            }
            Err(failure @ Failure::Refused(_)) => failed(failure),
        };
    }
    let value = match client.get("/v1/status").await {
        Ok(value) => value,
        Err(failure) => return failed(failure),
    };
    match Status::deserialize(&value) {
        Ok(status) => dump_members(client, &status).await,
        Err(error) => unreadable(&error),
    }
}

async fn dump_members(client: &Client, status: &Status) -> Answer {
    let mut dumps = Map::new();
    let mut exit = Exit::Done;
    for member in &status.members {
        let dump = match client.get_from(member.http, "/dump").await {
            Ok(dump) => dump,
            Err(failure) => {
                exit = Exit::Unreachable;
                json!({ "error": failed(failure).text })
            }
        };
        dumps.insert(member.name.to_string(), dump);
    }
    let value = Value::Object(dumps);
    Answer::new(exit, format!("{value:#}"), value)
}
