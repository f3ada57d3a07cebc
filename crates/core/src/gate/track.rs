//! Requests between arrival and outcome.

use crate::ids;
use crate::outcome::Doubt;
use crate::request::Request;

/// `Place` is where a request stands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Place {
    /// Waits for the log to decide the claim on its key.
    Claiming,
    /// Waits for a slot.
    Queued,
    /// Is in flight on a host.
    Sent(ids::Host),
}

/// `Track` is one request with its history.
#[derive(Clone, Debug)]
pub(crate) struct Track {
    pub(crate) request: Request,
    pub(crate) place: Place,
    /// Sends so far.
    pub(crate) attempts: u32,
    /// Hosts that refused it or failed it.
    pub(crate) avoid: Vec<ids::Host>,
    /// Why it may have run before, once an exchange ended without an answer.
    pub(crate) doubt: Option<Doubt>,
    /// Whether the caller was told an outcome already.
    pub(crate) finished: bool,
}
