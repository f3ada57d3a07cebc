//! Calls to the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde_json::Value;

/// Time that a process has to answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer read, in bytes.
const ANSWER_MAX: usize = 256 * 1024 * 1024;

/// `Failure` tells why a call brought no result.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No process could be reached.
    Unreachable(String),
    /// The fleet refused, with this answer.
    Refused(u16, Value),
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
                Err(Failure::Unreachable(problem)) => problems.push(problem),
                result => return result,
            }
        }
        Err(unreachable(&problems))
    }

    /// Gets a resource of one process.
    pub(crate) async fn get_from(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        let sent = self
            .http
            .get(format!("http://{address}{path}"))
            .send()
            .await;
        read(address, sent).await
    }

    /// Posts a body to the fleet.
    ///
    /// Only a connection that did not open leads to the next instance, as a call whose answer is
    /// lost may have taken effect.
    pub(crate) async fn post(&self, path: &str, body: Bytes) -> Result<Value, Failure> {
        let mut problems = Vec::new();
        for address in &self.fleet {
            let request = self.http.post(format!("http://{address}{path}"));
            let sent = request.send_body(body.clone()).await;
            if let Err(awc::error::SendRequestError::Connect(error)) = &sent {
                problems.push(format!("{address}: {error}"));
                continue;
            }
            return read(*address, sent).await;
        }
        Err(unreachable(&problems))
    }
}

fn unreachable(problems: &[String]) -> Failure {
    if problems.is_empty() {
        return Failure::Unreachable("no fleet instance is named; use --fleet".to_owned());
    }
    Failure::Unreachable(problems.join("; "))
}

type Sent = Result<awc::ClientResponse, awc::error::SendRequestError>;

async fn read(address: SocketAddr, sent: Sent) -> Result<Value, Failure> {
    let lost = |error: String| Failure::Unreachable(format!("{address}: {error}"));
    let mut response = sent.map_err(|error| lost(error.to_string()))?;
    let body = response
        .body()
        .limit(ANSWER_MAX)
        .await
        .map_err(|error| lost(error.to_string()))?;
    let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if response.status().is_success() {
        Ok(value)
    } else {
        Err(Failure::Refused(response.status().as_u16(), value))
    }
}
