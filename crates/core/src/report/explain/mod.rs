//! Why a host, pool, service or wave is as it is, and what comes next.

mod host;
mod pool;
mod service;
mod wave;

use std::str::FromStr;

use bytestring::ByteString;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, value_error};
use crate::state::State;

/// Names listed when the one asked for does not exist, at most.
const NAMES_MAX: usize = 20;

/// `Kind` is what an explanation is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A host.
    Host,
    /// A pool of hosts.
    Pool,
    /// A service with its budget.
    Service,
    /// A maintenance wave.
    Wave,
}

/// `Explanation` tells an operator what is and what comes next, a sentence an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// What is explained.
    pub subject: String,
    /// What is, and why.
    #[serde(rename = "now")]
    pub current_state: Vec<String>,
    /// What comes next, and what it waits for.
    #[serde(rename = "next")]
    pub next_steps: Vec<String>,
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "host" => Ok(Self::Host),
            "pool" => Ok(Self::Pool),
            "service" => Ok(Self::Service),
            "wave" => Ok(Self::Wave),
            _ => Err(value_error(
                "kind",
                "host, pool, service or wave is accepted",
            )),
        }
    }
}

/// Explains a thing of a state.
///
/// # Errors
///
/// Returns an error that lists the names there are when the one asked for does not exist.
pub fn explain(state: &State, kind: Kind, name: &ByteString) -> Result<Explanation> {
    let found = match kind {
        Kind::Host => host::explain(state, name),
        Kind::Pool => pool::explain(state, name),
        Kind::Service => service::explain(state, name),
        Kind::Wave => wave::explain(state, name),
    };
    found.ok_or_else(|| absent(state, kind, name))
}

fn absent(state: &State, kind: Kind, name: &ByteString) -> Error {
    let (what, mut names): (_, Vec<&str>) = match kind {
        Kind::Host => ("host", state.hosts.keys().map(|name| &**name).collect()),
        Kind::Pool => ("pool", state.pools.keys().map(|name| &**name).collect()),
        Kind::Service => ("service", service::names(state)),
        Kind::Wave => ("wave", state.waves.keys().map(|name| &**name).collect()),
    };
    names.sort_unstable();
    let more = names.len().saturating_sub(NAMES_MAX);
    names.truncate(NAMES_MAX);
    let mut known = names.join(", ");
    if more > 0 {
        known = format!("{known} and {more} more");
    }
    if known.is_empty() {
        "none".clone_into(&mut known);
    }
    value_error(what, format!("{name} does not exist; known: {known}"))
}

/// Gets the words for a number of hosts.
fn hosts(count: usize) -> String {
    match count {
        1 => "1 host".to_owned(),
        count => format!("{count} hosts"),
    }
}
