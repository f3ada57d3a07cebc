//! HTTP client for the fleet.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use serde_json::Value;

/// Time limit for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer accepted, in bytes.
const ANSWER_MAX_BYTES: usize = 256 * 1024 * 1024;
/// HTTP status of a process that has not read the log yet; the call had no effect.
const STATUS_NOT_READY: u16 = 503;
/// HTTP status of a process that did not read the verdict on a change from the log in time; the change may
/// still take effect.
const STATUS_RESULT_UNKNOWN: u16 = 504;
/// Message shown to the operator when a process returns `STATUS_RESULT_UNKNOWN`.
const LOG_UNAVAILABLE: &str = "the platform's log can't be reached or is slow";

/// `Failure` is the reason why a call has no result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The call was sent but its answer did not arrive, so it may or may not have taken effect.
    AnswerLost(String),
    /// The fleet refused the call and returned this answer.
    Refused(Value),
    /// No process could be reached, or none was ready; the call had no effect.
    Unreachable(String),
}

/// `Client` sends calls to the first fleet instance that answers.
pub(crate) struct Client {
    http: awc::Client,
    instances: Vec<SocketAddr>,
}

impl Client {
    pub(crate) fn new(instances: Vec<SocketAddr>) -> Self {
        Self {
            http: awc::Client::builder().timeout(CALL_TIMEOUT).finish(),
            instances,
        }
    }

    /// Fetches a resource from the first fleet instance that answers.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        for address in &self.instances {
            match self.get_from(*address, path).await {
                Err(Failure::Unreachable(problem) | Failure::AnswerLost(problem)) => {
                    problems.push(problem);
                }
                result => return result,
            }
        }
        Err(unreachable_fleet(&problems))
    }

    /// Fetches a resource from one process.
    pub(crate) async fn get_from(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        let request = self.http.get(format!("http://{address}{path}"));
        read_response(address, request.send().await).await
    }

    /// Posts a body to the fleet.
    ///
    /// The next instance is tried only if the call had no effect on the one before. A call whose
    /// answer is lost may have taken effect and is not repeated.
    pub(crate) async fn post(&self, path: &str, body: Bytes) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        for address in &self.instances {
            let request = self.http.post(format!("http://{address}{path}"));
            let result = request.send_body(body.clone()).await;
            match read_response(*address, result).await {
                Err(Failure::Unreachable(problem)) => problems.push(problem),
                result => return result,
            }
        }
        Err(unreachable_fleet(&problems))
    }
}

/// Percent-encodes a text for the path or query of a URL (RFC 3986).
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

fn unreachable_fleet(problems: &[String]) -> Failure {
    if problems.is_empty() {
        let problem = "no fleet instance is named; use --fleet or --settings";
        return Failure::Unreachable(problem.to_owned());
    }
    Failure::Unreachable(problems.join("; "))
}

type SendResult = Result<awc::ClientResponse, SendRequestError>;

async fn read_response(address: SocketAddr, result: SendResult) -> Result<Value, Failure> {
    let answer_lost = |error: String| Failure::AnswerLost(format!("{address}: {error}"));
    let mut response = match result {
        Ok(response) => response,
        // The whole call may have been sent before the connection closed.
        Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
            return Err(answer_lost(
                "connection closed before the answer".to_owned(),
            ));
        }
        Err(SendRequestError::Connect(error)) => {
            return Err(Failure::Unreachable(format!("{address}: {error}")));
        }
        Err(error) => return Err(answer_lost(error.to_string())),
    };
    let status = response.status();
    let body = response.body().limit(ANSWER_MAX_BYTES).await;
    let body = body.map_err(|error| answer_lost(error.to_string()))?;
    let value = serde_json::from_slice(&body).unwrap_or_else(|_| {
        let text = String::from_utf8_lossy(&body);
        serde_json::json!({ "error": format!("{status}: {}", text.trim()) })
    });
    match status.as_u16() {
        200..300 => Ok(value),
        STATUS_NOT_READY => Err(Failure::Unreachable(format!(
            "{address}: {}",
            error_message(&value)
        ))),
        STATUS_RESULT_UNKNOWN => Err(answer_lost(LOG_UNAVAILABLE.to_owned())),
        _ => Err(Failure::Refused(value)),
    }
}

/// Returns the error message in an answer, or the whole answer if it has none.
pub(crate) fn error_message(value: &Value) -> String {
    let text = value.get("error").and_then(Value::as_str);
    text.map_or_else(|| value.to_string(), str::to_owned)
}
