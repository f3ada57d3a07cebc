//! HTTP client whose connections are owned by an actor, [`Pool`].

mod connection;
mod pool;

use std::fmt::{Display, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use bytes::Bytes;
use serde::Serialize;
use tokio::sync::{oneshot, watch};

use pool::{Entry, Message, Sender};
pub use pool::{Handle, Pool, Setup, Stop};

use crate::clock;

/// Maximum size of the body of a response, in bytes.
const RESPONSE_BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// `Client` makes HTTP calls over the connections of the current pool.
#[derive(Clone)]
pub struct Client {
    pool: watch::Receiver<Option<Handle>>,
}

/// `Attempt` is a call in progress. If it is dropped before the call ended, the call counts as unanswered.
struct Attempt {
    pool: Sender,
    address: SocketAddr,
    sent_at: Instant,
    has_ended: bool,
}

/// `Request` is an HTTP request with its time limit.
pub struct Request {
    /// Method.
    pub method: Method,
    /// Address of the service.
    pub address: SocketAddr,
    /// Path with the query string.
    pub path: String,
    /// Names and values of headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty for none.
    pub body: Bytes,
    /// Time limit of the whole call, including the body of the response.
    pub timeout: Duration,
    /// Time limit until the response begins. A large body takes longer than a service that does not answer
    /// should be waited for.
    pub head_timeout: Duration,
}

/// `Response` is the status and the body of an HTTP response.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body, of 8 MiB at most.
    pub body: Bytes,
}

/// `SendError` is the reason for which a call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection was made, so nothing was sent.
    Unsent,
    /// The request may have been sent, so the call may have taken effect or may do so later.
    Unknown,
}

/// `Failure` is how a call failed.
enum Failure {
    /// The connection broke or could not be opened.
    Broken(SendError),
    /// The response did not begin in time.
    Silent,
}

impl Client {
    /// Creates a client of the pool that is published in `pool`.
    #[must_use]
    pub fn new(pool: watch::Receiver<Option<Handle>>) -> Self {
        Self { pool }
    }

    /// Makes a call. If the time limit passes or the future is dropped, the connection is closed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response, which tells whether the request may have been sent.
    pub async fn send(&self, request: Request) -> Result<Response, SendError> {
        let address = request.address;
        let current = self.pool.borrow().as_ref().map(|pool| pool.find(address));
        let (known, pool) = current.ok_or(SendError::Unsent)?;
        let (http, report_after) = match known {
            Some(entry) => (entry.http, entry.report_after),
            None => (pool.add(address).await.ok_or(SendError::Unsent)?, None),
        };
        let mut attempt = Attempt {
            pool,
            address,
            sent_at: clock::now(),
            has_ended: false,
        };
        let timeout = request.timeout;
        let outcome = actix_rt::time::timeout(timeout, exchange(&http, request)).await;
        match outcome {
            Ok(Ok(response)) => {
                attempt.has_ended = true;
                if report_after.is_none_or(|after| clock::now() > after) {
                    attempt.pool.send(Message::Answered(address));
                }
                Ok(response)
            }
            Ok(Err(Failure::Broken(error))) => {
                attempt.has_ended = true;
                Err(error)
            }
            // The end of the attempt reports that there was no answer.
            Ok(Err(Failure::Silent)) | Err(_) => Err(SendError::Unknown),
        }
    }
}

impl Handle {
    /// Returns the client of a destination, if it has one, and what reports to the pool.
    fn find(&self, address: SocketAddr) -> (Option<Entry>, Sender) {
        let entry = self.clients.borrow().get(&address).cloned();
        (entry, self.sender.clone())
    }
}

impl Sender {
    /// Returns the client of a destination that had none; `None` if the pool has ended.
    async fn add(&self, address: SocketAddr) -> Option<awc::Client> {
        let (reply, client) = oneshot::channel();
        self.send(Message::Add(address, reply));
        client.await.ok()
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.has_ended {
            let message = Message::Unanswered(self.address, self.sent_at);
            self.pool.send(message);
        }
    }
}

async fn exchange(http: &awc::Client, request: Request) -> Result<Response, Failure> {
    let url = format!("http://{}{}", request.address, request.path);
    let mut call = http.request(request.method, url);
    for (name, value) in request.headers {
        call = call.insert_header((name, value));
    }
    let head = if request.body.is_empty() {
        call.send()
    } else {
        call.send_body(request.body)
    };
    let response = actix_rt::time::timeout(request.head_timeout, head).await;
    let response = response.map_err(|_| Failure::Silent)?;
    let mut response = response.map_err(|error| Failure::Broken(classify(&error)))?;
    let body = response.body().limit(RESPONSE_BODY_MAX_BYTES).await;
    Ok(Response {
        status: response.status().as_u16(),
        body: body.map_err(|_| Failure::Broken(SendError::Unknown))?,
    })
}

fn classify(error: &SendRequestError) -> SendError {
    match error {
        // The client reports a connection that closes instead of a response as one that could not be opened.
        SendRequestError::Connect(ConnectError::Disconnected) => SendError::Unknown,
        SendRequestError::Connect(_) => SendError::Unsent,
        _ => SendError::Unknown,
    }
}

impl Request {
    /// Creates a GET request.
    #[must_use]
    pub fn get(address: SocketAddr, path: String, timeout: Duration) -> Self {
        Self {
            method: Method::GET,
            address,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
            head_timeout: timeout,
        }
    }

    /// Creates a POST request.
    #[must_use]
    pub fn post(address: SocketAddr, path: String, body: Bytes, timeout: Duration) -> Self {
        Self {
            method: Method::POST,
            body,
            ..Self::get(address, path, timeout)
        }
    }

    /// Creates a POST request with a JSON body.
    pub fn json(address: SocketAddr, path: &str, body: &impl Serialize, timeout: Duration) -> Self {
        // Serializing plain structures to memory never fails.
        let body = serde_json::to_vec(body).unwrap_or_default();
        let mut request = Self::post(address, path.to_owned(), body.into(), timeout);
        request
            .headers
            .push(("Content-Type", "application/json".to_owned()));
        request
    }
}

/// Appends a query parameter to a path. Bytes of the value that have a meaning in a query are encoded.
pub fn push_query(path: &mut String, name: &str, value: &impl Display) {
    let separator = if path.contains('?') { '&' } else { '?' };
    // Writing to a string never fails.
    let _ = write!(path, "{separator}{name}=");
    for byte in value.to_string().bytes() {
        let _ = match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                write!(path, "{}", char::from(byte))
            }
            _ => write!(path, "%{byte:02X}"),
        };
    }
}
