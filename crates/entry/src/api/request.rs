//! Reading of a caller's request.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::web::Bytes;
use bytestring::ByteString;
use persimmongate_core::errors::{Result, value_error};
use persimmongate_core::request::{Kind, Request, Urgency, parse_key};
use persimmongate_node::clock;
use persimmongate_wire::platform::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, URGENCY_HEADER,
};

/// Longest name accepted, in bytes.
const NAME_MAX: usize = 64;
/// Longest deadline accepted.
const DEADLINE_MAX: Duration = Duration::from_hours(1);
/// Caller of requests that name none.
const ANONYMOUS: &str = "anonymous";

/// Reads a request; its identifier is set by the gate.
pub(super) fn parse(http: &HttpRequest, body: Bytes, default: Duration) -> Result<Request> {
    let path = http.path().trim_start_matches('/');
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    let caller = header(http, CALLER_HEADER).unwrap_or(ANONYMOUS.as_bytes());
    let urgency = header(http, URGENCY_HEADER).map_or(Ok(Urgency::default()), Urgency::try_from)?;
    let deadline = header(http, DEADLINE_HEADER).map_or(Ok(default), deadline)?;
    let kind = match header(http, IDEMPOTENCY_KEY_HEADER) {
        Some(key) => Kind::Once(parse_key(key)?),
        None => Kind::Idempotent,
    };
    if !matches!(*http.method(), Method::GET | Method::POST | Method::PUT) {
        return Err(value_error("method", "expected GET, POST or PUT"));
    }
    Ok(Request {
        id: 0,
        service: name("service", service.as_bytes())?,
        caller: name("caller", caller)?,
        urgency,
        kind,
        deadline: clock::now() + deadline,
        path: Bytes::copy_from_slice(rest.as_bytes()),
        body,
    })
}

fn header<'a>(http: &'a HttpRequest, name: &str) -> Option<&'a [u8]> {
    http.headers()
        .get(name)
        .map(actix_web::http::header::HeaderValue::as_bytes)
}

fn deadline(value: &[u8]) -> Result<Duration> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let millis: Option<u64> = text.parse().ok().filter(|millis| *millis > 0);
    let deadline = millis
        .map(Duration::from_millis)
        .filter(|deadline| *deadline <= DEADLINE_MAX);
    deadline.ok_or_else(|| value_error("deadline", "expected milliseconds, one hour at most"))
}

fn name(what: &'static str, value: &[u8]) -> Result<ByteString> {
    let allowed = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let text = std::str::from_utf8(value).unwrap_or_default();
    if text.is_empty() || text.len() > NAME_MAX || !value.iter().all(allowed) {
        let form = "expected letters, digits, '-', '_' and '.', at most 64 characters";
        return Err(value_error(what, form));
    }
    Ok(ByteString::from(text))
}
