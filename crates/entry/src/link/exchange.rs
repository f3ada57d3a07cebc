//! One exchange with a backend server.

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

/// Time in which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Connections of one link, at most; the gate keeps fewer requests in flight.
const CONNECTIONS_MAX: usize = 64;
/// Time for which an idle connection is kept, shorter than that of common servers, so that few
/// requests meet a connection that the server is about to close.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Time after its deadline at which an exchange is given up, so that its slot is not held for ever.
const LINGER: Duration = Duration::from_secs(30);

/// Makes a client with connections of its own.
pub(super) fn client() -> awc::Client {
    let connector = awc::Connector::new()
        .limit(CONNECTIONS_MAX)
        .conn_keep_alive(KEEP_ALIVE)
        .timeout(CONNECT_TIMEOUT);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Sends a request and waits for its whole answer, also for some time past its deadline.
///
/// The end of a late exchange tells when the slot is free again. An exchange that is given up is
/// dropped, which closes its connection: a late answer can never meet another request.
pub(super) async fn run(
    http: awc::Client,
    id: String,
    request: Request,
    address: SocketAddr,
    body_max_bytes: usize,
) -> Exchange {
    let deadline = actix_rt::time::Instant::from_std(request.deadline + LINGER);
    let exchange = send(http, &id, request, address, body_max_bytes);
    tokio::time::timeout_at(deadline, exchange)
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
    if let persimmongate_core::request::Kind::Once(key) = request.kind {
        post = post.insert_header((
            IDEMPOTENCY_KEY_HEADER,
            persimmongate_core::request::format_key(key),
        ));
    }
    let mut response = match post.send_body(request.body).await {
        Ok(response) => response,
        Err(error) => return failure(&error),
    };
    let echoed = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .is_some_and(|echo| echo == id);
    if !echoed {
        return Exchange::Mismatch;
    }
    if response
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|outcome| outcome == "not-run")
    {
        return refusal(response.status());
    }
    let status = response.status().as_u16();
    match response.body().limit(body_max_bytes).await {
        Ok(body) => Exchange::Answered(Answer { status, body }),
        Err(_) => Exchange::Broken,
    }
}

/// Tells a server without room from one that refuses the request itself.
fn refusal(status: StatusCode) -> Exchange {
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        Exchange::Refused
    } else {
        Exchange::Rejected
    }
}

/// Tells whether an error came before any byte was sent.
///
/// The library also reports a connection that broke off after the request as a connect error, so
/// only errors that can't come later count as unsent.
fn failure(error: &SendRequestError) -> Exchange {
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
