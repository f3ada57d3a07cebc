//! Requests between arrival and outcome.

use std::time::Instant;

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
    /// Time by which it must start for its answer to be in time.
    pub(crate) start_by: Instant,
    /// Time of the latest send.
    pub(crate) sent: Instant,
    /// Whether the latest send borrowed a slot of another service.
    pub(crate) loan: bool,
    /// Sends that failed.
    pub(crate) failures: u32,
    /// Healthy hosts that rejected it or broke it off.
    pub(crate) strikes: u32,
    /// Hosts that failed it.
    pub(crate) avoid: Vec<ids::Host>,
    /// Why it may have run, once a send left that open.
    pub(crate) doubt: Option<Doubt>,
    /// Whether the caller was told an outcome already.
    pub(crate) finished: bool,
}
