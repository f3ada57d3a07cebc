//! Parses a caller's HTTP request.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::Method;
use actix_web::web::Bytes;
use bytestring::ByteString;
use persimmongate_core::errors::{Result, value_error};
use persimmongate_core::request::{Repeatability, Request, Urgency, parse_key};
use persimmongate_node::clock;
use persimmongate_wire::platform::{
    CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, URGENCY_HEADER,
};

/// Longest path of a request, in bytes. Backend servers read it with their limits for a head.
const PATH_MAX_BYTES: usize = 8 * 1024;
/// Longest name of a service or client account, in bytes.
const NAME_MAX_BYTES: usize = 64;
/// Longest time that a caller may set as a deadline.
const MAX_DEADLINE: Duration = Duration::from_hours(1);
/// Client account of requests that name none.
const DEFAULT_CALLER: &str = "anonymous";

/// Parses a request; the gate sets its identifier.
///
/// # Errors
///
/// Returns the part of the request that is invalid and the values accepted there.
pub(super) fn parse(
    http: &HttpRequest,
    body: Bytes,
    default_deadline: Duration,
) -> Result<Request> {
    if http.path().len() > PATH_MAX_BYTES {
        return Err(value_error("path", "expected at most 8192 bytes"));
    }
    let path = http.path().trim_start_matches('/');
    let (service, service_path) = path.split_once('/').unwrap_or((path, ""));
    let caller = header_value(http, CALLER_HEADER).unwrap_or(DEFAULT_CALLER.as_bytes());
    let urgency =
        header_value(http, URGENCY_HEADER).map_or(Ok(Urgency::default()), Urgency::try_from)?;
    let deadline =
        header_value(http, DEADLINE_HEADER).map_or(Ok(default_deadline), parse_deadline)?;
    let repeatability = match header_value(http, IDEMPOTENCY_KEY_HEADER) {
        Some(key) => Repeatability::Once(parse_key(key)?),
        None => Repeatability::Idempotent,
    };
    if !matches!(*http.method(), Method::GET | Method::POST | Method::PUT) {
        return Err(value_error("method", "expected GET, POST or PUT"));
    }
    Ok(Request {
        id: 0,
        service: parse_name("service", service.as_bytes())?,
        caller: parse_name("caller", caller)?,
        urgency,
        repeatability,
        deadline: clock::now() + deadline,
        path: Bytes::copy_from_slice(service_path.as_bytes()),
        body,
    })
}

fn header_value<'a>(http: &'a HttpRequest, name: &str) -> Option<&'a [u8]> {
    http.headers()
        .get(name)
        .map(actix_web::http::header::HeaderValue::as_bytes)
}

fn parse_deadline(value: &[u8]) -> Result<Duration> {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let millis: Option<u64> = text.parse().ok().filter(|millis| *millis > 0);
    let deadline = millis
        .map(Duration::from_millis)
        .filter(|deadline| *deadline <= MAX_DEADLINE);
    deadline.ok_or_else(|| value_error("deadline", "expected milliseconds, one hour at most"))
}

fn parse_name(field: &'static str, value: &[u8]) -> Result<ByteString> {
    let is_allowed = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    let text = std::str::from_utf8(value).unwrap_or_default();
    if text.is_empty() || text.len() > NAME_MAX_BYTES || !value.iter().all(is_allowed) {
        let expected = "expected letters, digits, '-', '_' and '.', at most 64 characters";
        return Err(value_error(field, expected));
    }
    Ok(ByteString::from(text))
}
