//! A single request and its answer over a connection to a backend server.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use persimmongate_core::gate::Exchange;
use persimmongate_core::outcome::Answer;
use persimmongate_core::request::Request;
use persimmongate_wire::platform::{
    CALLER_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER,
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of connections to one backend server; the gate keeps fewer requests in flight.
const MAX_CONNECTIONS: usize = 64;
/// Time for which an idle connection is kept open. It is shorter than the keep-alive time of common
/// servers, so that few requests are sent on a connection that the server is about to close.
const KEEP_ALIVE_TIME: Duration = Duration::from_secs(3);
/// Time past its deadline after which an exchange is cancelled, so that its slot becomes free.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(30);

/// Creates an HTTP client with its own connection pool.
pub(super) fn new_client() -> awc::Client {
    let connector = awc::Connector::new()
        .limit(MAX_CONNECTIONS)
        .conn_keep_alive(KEEP_ALIVE_TIME)
        .timeout(CONNECT_TIMEOUT);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Sends a request and waits for its complete answer, up to a grace period past its deadline.
///
/// The slot on the backend server is free only when a late exchange ends. A cancelled exchange is
/// dropped, which closes its connection, so that its late answer can't reach another request.
pub(super) async fn run(
    http: awc::Client,
    id: String,
    request: Request,
    address: SocketAddr,
    body_max_bytes: usize,
) -> Exchange {
    let cancel_at = actix_rt::time::Instant::from_std(request.deadline + LATE_ANSWER_GRACE);
    let exchange = send(http, &id, request, address, body_max_bytes);
    tokio::time::timeout_at(cancel_at, exchange)
        .await
        .unwrap_or(Exchange::Timeout)
}

async fn send(
    http: awc::Client,
    id: &str,
    request: Request,
    address: SocketAddr,
    body_max_bytes: usize,
) -> Exchange {
    let path = String::from_utf8_lossy(&request.path);
    let url = format!("http://{address}/{}/{path}", request.service);
    let mut post = http
        .post(url)
        .insert_header((REQUEST_ID_HEADER, id))
        .insert_header((CALLER_HEADER, request.caller.to_string()));
    if let persimmongate_core::request::Repeatability::Once(key) = request.repeatability {
        post = post.insert_header((
            IDEMPOTENCY_KEY_HEADER,
            persimmongate_core::request::format_key(key),
        ));
    }
    let mut response = match post.send_body(request.body).await {
        Ok(response) => response,
        Err(error) => return classify_error(&error),
    };
    let has_same_id = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .is_some_and(|value| value == id);
    if !has_same_id {
        return Exchange::Mismatch;
    }
    if response
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|outcome| outcome == "not-run")
    {
        return classify_refusal(response.status());
    }
    let status = response.status().as_u16();
    match response.body().limit(body_max_bytes).await {
        Ok(body) => Exchange::Answered(Answer { status, body }),
        Err(_) => Exchange::Broken,
    }
}

/// Distinguishes a server that is at capacity or shutting down from one that rejects the request
/// itself.
fn classify_refusal(status: StatusCode) -> Exchange {
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        Exchange::Unavailable
    } else {
        Exchange::RequestRejected
    }
}

/// Classifies an error by whether any byte of the request can have been sent.
///
/// The HTTP library also reports a connection that failed after the request was sent as a connect
/// error, so only errors that can't occur after that point count as unsent.
fn classify_error(error: &SendRequestError) -> Exchange {
    match error {
        SendRequestError::Url(_)
        | SendRequestError::Connect(
            ConnectError::Timeout | ConnectError::Unresolved | ConnectError::NoRecords,
        ) => Exchange::Unsent,
        SendRequestError::Connect(ConnectError::Io(error))
            if error.kind() == ErrorKind::ConnectionRefused =>
        {
            Exchange::Unsent
        }
        _ => Exchange::Broken,
    }
}
