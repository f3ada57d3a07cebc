//! Explanations of the state of a host, pool, service or wave, and of its next steps.

mod host;
mod pool;
mod service;
mod wave;

use std::str::FromStr;

use bytestring::ByteString;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, value_error};
use crate::state::State;

/// Longest list of known names in the error for an unknown one.
const KNOWN_NAMES_MAX: usize = 20;

/// `Subject` is the kind of object that is explained.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A host.
    Host,
    /// A pool of hosts.
    Pool,
    /// A service with its availability budget.
    Service,
    /// A maintenance wave.
    Wave,
}

/// `Explanation` describes an object to an operator, one sentence an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Kind and name of the object.
    pub subject: String,
    /// Its current state, with reasons.
    #[serde(rename = "now")]
    pub current_state: Vec<String>,
    /// Its next steps, with the conditions that they wait for.
    #[serde(rename = "next")]
    pub next_steps: Vec<String>,
}

impl FromStr for Subject {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "host" => Ok(Self::Host),
            "pool" => Ok(Self::Pool),
            "service" => Ok(Self::Service),
            "wave" => Ok(Self::Wave),
            _ => Err(value_error("kind", "expected host, pool, service or wave")),
        }
    }
}

/// Explains an object of the state.
///
/// # Errors
///
/// Returns an error that lists known names when no object has the given name.
pub fn explain(state: &State, kind: Subject, name: &ByteString) -> Result<Explanation> {
    let explanation = match kind {
        Subject::Host => host::explain(state, name),
        Subject::Pool => pool::explain(state, name),
        Subject::Service => service::explain(state, name),
        Subject::Wave => wave::explain(state, name),
    };
    explanation.ok_or_else(|| unknown_name_error(state, kind, name))
}

fn unknown_name_error(state: &State, kind: Subject, name: &ByteString) -> Error {
    let (what, mut names): (_, Vec<&str>) = match kind {
        Subject::Host => ("host", state.hosts.keys().map(|name| &**name).collect()),
        Subject::Pool => ("pool", state.pools.keys().map(|name| &**name).collect()),
        Subject::Service => ("service", service::list_names(state)),
        Subject::Wave => ("wave", state.waves.keys().map(|name| &**name).collect()),
    };
    names.sort_unstable();
    let more = names.len().saturating_sub(KNOWN_NAMES_MAX);
    names.truncate(KNOWN_NAMES_MAX);
    let mut known = names.join(", ");
    if more > 0 {
        known = format!("{known} and {more} more");
    }
    if known.is_empty() {
        "none".clone_into(&mut known);
    }
    value_error(what, format!("{name} does not exist; known: {known}"))
}

/// Formats a number of hosts.
fn format_hosts(count: usize) -> String {
    match count {
        1 => "1 host".to_owned(),
        count => format!("{count} hosts"),
    }
}
