//! One request of a caller to one entry host.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use actix_rt::task::JoinHandle;
use persimmongate_core::ids;
use persimmongate_core::request::{format_key, make_key};
use persimmongate_standin::runs::Counts;
use persimmongate_standin::worker::Payload;
use persimmongate_wire::platform::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, REASON_HEADER,
};

/// Time after the deadline for which a caller still waits for the outcome.
const RESPONSE_GRACE: Duration = Duration::from_secs(30);

/// `Outcome` is the result that a caller received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer to the caller's own request.
    Answered,
    /// The connection was lost before an outcome arrived.
    Disconnected,
    /// The request did not run, with the reason from the response.
    NotRun(String),
    /// The request may have run, with the reason from the response.
    Unknown(String),
    /// The answer to another request, or a response without a known outcome.
    Invalid,
}

/// `Call` is a request that can be sent more than once.
#[derive(Clone, Debug)]
pub struct Call {
    /// Service that the request is for.
    pub service: &'static str,
    /// Unique identifier of the request, by which the platform counts its runs.
    pub nonce: String,
    /// Duration of the work, in milliseconds.
    pub work_ms: u64,
    /// Deadline of the request, as the time after it is sent.
    pub deadline: Duration,
    /// Idempotency key, present if the request runs at most once.
    pub key: Option<ids::IdempotencyKey>,
}

impl Call {
    /// Creates a request that runs at most once; `number` must be unique in the test.
    #[must_use]
    pub fn at_most_once(service: &'static str, number: u128, work_ms: u64) -> Self {
        let now = SystemTime::UNIX_EPOCH + SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            key: Some(make_key(now, number)),
            ..Self::idempotent(service, number, work_ms)
        }
    }

    /// Creates a request that may run more than once; `number` must be unique for the service in
    /// the test.
    #[must_use]
    pub fn idempotent(service: &'static str, number: u128, work_ms: u64) -> Self {
        Self {
            service,
            nonce: format!("{service}-{number}"),
            work_ms,
            deadline: Duration::from_secs(20),
            key: None,
        }
    }

    /// Checks the outcome of a request that was sent once against the number of its runs.
    ///
    /// # Panics
    ///
    /// Panics if the outcome contradicts the number of runs, or if a request with an idempotency
    /// key ran more than once.
    pub fn check(&self, outcome: &Outcome, counts: &Counts) {
        let runs = counts.runs.get(&self.nonce).copied().unwrap_or(0);
        match outcome {
            Outcome::Answered => assert!(runs > 0, "{self:?} was answered but never ran"),
            Outcome::NotRun(reason) => assert_eq!(
                runs, 0,
                "{self:?} ran but was reported as not run: {reason}"
            ),
            Outcome::Invalid => panic!("{self:?} got an invalid response"),
            Outcome::Disconnected | Outcome::Unknown(_) => {}
        }
        if self.key.is_some() {
            assert!(runs <= 1, "{self:?} ran {runs} times");
        }
    }

    /// Sends the request in its own task.
    #[must_use]
    pub fn spawn(&self, http: &awc::Client, entry: SocketAddr) -> JoinHandle<Outcome> {
        let (call, http) = (self.clone(), http.clone());
        actix_rt::spawn(async move { call.send(&http, entry).await })
    }

    /// Sends the request to an entry host and waits for the outcome.
    pub async fn send(&self, http: &awc::Client, entry: SocketAddr) -> Outcome {
        let mut request = http
            .post(format!("http://{entry}/{}", self.service))
            .timeout(self.deadline + RESPONSE_GRACE)
            .insert_header((DEADLINE_HEADER, self.deadline.as_millis().to_string()));
        if let Some(key) = self.key {
            request = request.insert_header((IDEMPOTENCY_KEY_HEADER, format_key(key)));
        }
        let payload = Payload {
            nonce: self.nonce.clone(),
            work_ms: self.work_ms,
        };
        let Ok(mut response) = request.send_json(&payload).await else {
            return Outcome::Disconnected;
        };
        let header = |name: &str| {
            let value = response.headers().get(name);
            let text = value.and_then(|value| value.to_str().ok());
            text.unwrap_or_default().to_owned()
        };
        let (outcome, reason) = (header(OUTCOME_HEADER), header(REASON_HEADER));
        let Ok(body) = response.body().await else {
            return Outcome::Disconnected;
        };
        match outcome.as_str() {
            "answered" => match serde_json::from_slice::<Payload>(&body) {
                Ok(answer) if answer.nonce == self.nonce => Outcome::Answered,
                _ => Outcome::Invalid,
            },
            "not-run" => Outcome::NotRun(reason),
            "unknown" => Outcome::Unknown(reason),
            _ => Outcome::Invalid,
        }
    }
}
