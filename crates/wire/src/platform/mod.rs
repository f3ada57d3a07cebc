//! The platform's interface for hosts, and the headers of requests to backend servers.
//!
//! | call | answer |
//! |---|---|
//! | `POST /log/{stream}/append` with a CBOR batch | [`Appended`] as JSON |
//! | `GET /log/{stream}/read?from=N&wait_ms=M` | a CBOR page |
//! | `GET /hosts` | a list of facts as JSON; it lags |
//! | `GET /hosts/{host}` | a status as JSON |
//! | `POST /hosts/{host}/{drain,undrain,reboot}?generation=G` | a status as JSON; 409 for an old G |

use persimmongate_core::ids;
use serde::{Deserialize, Serialize};

/// Header with the identifier of a request; the answer echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the caller's name.
pub const CALLER_HEADER: &str = "x-caller";
/// Header with the order of a request: urgent, normal or batch.
pub const URGENCY_HEADER: &str = "x-urgency";
/// Header with the milliseconds for which the answer is of use.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the outcome: answered, not-run or unknown.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header with the reason of a refusal or a doubt.
pub const REASON_HEADER: &str = "x-reason";

/// `Appended` is the platform's answer to an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Appended {
    /// Offset of the first record of the batch.
    #[serde(rename = "first")]
    pub first_offset: ids::Offset,
}
