//! Reads the body of a caller's request within limits of size and time.

use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Payload};

/// Time limit for a caller to send the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `Error` is the reason why a body was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Error {
    /// The connection closed before the end of the body, or the transfer encoding is invalid.
    Broken,
    /// The body is longer than the limit.
    Oversized,
    /// The body did not arrive within the time limit.
    Slow,
}

impl Error {
    /// Returns the HTTP status of the answer.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::Oversized => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the reason as it appears in answers and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken-body",
            Self::Oversized => "oversized-body",
            Self::Slow => "slow-body",
        }
    }
}

/// Reads a body of at most `max_bytes`, so that a longer one is never held in memory as a whole.
pub(super) async fn read(payload: Payload, max_bytes: usize) -> Result<Bytes, Error> {
    match timeout(BODY_TIMEOUT, payload.to_bytes_limited(max_bytes)).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(_))) => Err(Error::Broken),
        Ok(Err(_)) => Err(Error::Oversized),
        Err(_) => Err(Error::Slow),
    }
}
