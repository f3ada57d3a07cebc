//! Calls to the fleet.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use serde_json::Value;

/// Time that a process has to answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer read, in bytes.
const ANSWER_MAX: usize = 256 * 1024 * 1024;
/// Status of a process that has not read the log yet and did nothing.
const NOT_READY: u16 = 503;
/// Status of a process that could not learn what became of a change.
const UNSETTLED: u16 = 504;
/// What a process tells with that status.
const LOG_SILENT: &str = "the platform's log can't be reached or is slow";

/// `Failure` tells why a call brought no result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The call was sent, but what became of it is not known.
    AnswerLost(String),
    /// The fleet refused, with this answer.
    Refused(Value),
    /// No process could be reached; nothing was sent.
    Unreachable(String),
}

/// `Client` calls the first fleet instance that answers.
pub(crate) struct Client {
    http: awc::Client,
    fleet: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(fleet: Vec<SocketAddr>) -> Self {
        Self {
            http: awc::Client::builder().timeout(TIMEOUT).finish(),
            fleet,
        }
    }

    /// Gets a resource of the fleet.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        for address in &self.fleet {
            match self.get_from(*address, path).await {
                Err(Failure::Unreachable(problem) | Failure::AnswerLost(problem)) => {
                    problems.push(problem);
                }
                result => return result,
            }
        }
        Err(unreachable(&problems))
    }

    /// Gets a resource of one process.
    pub(crate) async fn get_from(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        let request = self.http.get(format!("http://{address}{path}"));
        read(address, request.send().await).await
    }

    /// Posts a body to the fleet.
    ///
    /// Only an instance that did nothing leads to the next one, as a call whose answer is lost may
    /// have taken effect.
    pub(crate) async fn post(&self, path: &str, body: Bytes) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        for address in &self.fleet {
            let request = self.http.post(format!("http://{address}{path}"));
            let sent = request.send_body(body.clone()).await;
            match read(*address, sent).await {
                Err(Failure::Unreachable(problem)) => problems.push(problem),
                result => return result,
            }
        }
        Err(unreachable(&problems))
    }
}

/// Encodes a text for a path or a query of a URL (RFC 3986).
pub(crate) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~') {
            escaped.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}

fn unreachable(problems: &[String]) -> Failure {
    if problems.is_empty() {
        let problem = "no fleet instance is named; use --fleet or --settings";
        return Failure::Unreachable(problem.to_owned());
    }
    Failure::Unreachable(problems.join("; "))
}

type Sent = Result<awc::ClientResponse, SendRequestError>;

async fn read(address: SocketAddr, sent: Sent) -> Result<Value, Failure> {
    let lost = |error: String| Failure::AnswerLost(format!("{address}: {error}"));
    let mut response = match sent {
        Ok(response) => response,
        // A connection that closed before the answer may have carried the whole call.
        Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
            return Err(lost("connection closed before the answer".to_owned()));
        }
        Err(SendRequestError::Connect(error)) => {
            return Err(Failure::Unreachable(format!("{address}: {error}")));
        }
        Err(error) => return Err(lost(error.to_string())),
    };
    let status = response.status();
    let body = response.body().limit(ANSWER_MAX).await;
    let body = body.map_err(|error| lost(error.to_string()))?;
    let value = serde_json::from_slice(&body).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(&body);
        serde_json::json!({ "error": format!("{status}: {}", text.trim()) })
    });
    match status.as_u16() {
        200..300 => Ok(value),
        NOT_READY => Err(Failure::Unreachable(format!(
            "{address}: {}",
            error_message(&value)
        ))),
        UNSETTLED => Err(lost(LOG_SILENT.to_owned())),
        _ => Err(Failure::Refused(value)),
    }
}

/// Gets the text of an answer that is a problem.
pub(crate) fn error_message(value: &Value) -> String {
    let text = value.get("error").and_then(Value::as_str);
    text.map_or_else(|| value.to_string(), str::to_owned)
}
