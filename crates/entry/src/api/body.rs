//! Reading of a request's body.

use std::time::Duration;

use actix_rt::time::timeout;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Payload};

/// Time in which a caller must have sent the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `Error` tells why a body was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Error {
    /// The connection broke off, or the encoding is wrong.
    Broken,
    /// It is longer than accepted.
    Oversized,
    /// It did not come in time.
    Slow,
}

impl Error {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::Oversized => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
        }
    }

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Broken => "broken-body",
            Self::Oversized => "oversized-body",
            Self::Slow => "slow-body",
        }
    }
}

/// Reads a body up to its largest size; what lies beyond is never held.
pub(super) async fn read(payload: Payload, max: usize) -> Result<Bytes, Error> {
    match timeout(BODY_TIMEOUT, payload.to_bytes_limited(max)).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(_))) => Err(Error::Broken),
        Ok(Err(_)) => Err(Error::Oversized),
        Err(_) => Err(Error::Slow),
    }
}
