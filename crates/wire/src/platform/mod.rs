//! Interface of the platform for its log and hosts, and headers of requests.
//!
//! | call | answer |
//! |---|---|
//! | `POST /log/{stream}/append` with a CBOR batch | [`Appended`] as JSON |
//! | `GET /log/{stream}/read?from=N&wait_ms=M` | a CBOR page |
//! | `GET /hosts` | a list of listings as JSON, which may be outdated |
//! | `GET /hosts/{host}` | a status as JSON |
//! | `POST /hosts/{host}/{drain,undrain,reboot}?generation=G` | a status as JSON; 409 for an outdated generation |

use persimmongate_core::ids;
use serde::{Deserialize, Serialize};

/// Header with the identifier of a request, which the response repeats.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the name of the caller.
pub const CALLER_HEADER: &str = "x-caller";
/// Header with the urgency of a request: urgent, normal or batch.
pub const URGENCY_HEADER: &str = "x-urgency";
/// Header with the time after which the caller no longer needs the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the outcome of a request: answered, not-run or unknown.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header with the reason why a request was not run, or why its outcome is unknown.
pub const REASON_HEADER: &str = "x-reason";

/// `Appended` is the platform's response to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first record of the batch.
    #[serde(rename = "first")]
    pub first_offset: ids::Offset,
}
