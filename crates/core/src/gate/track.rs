//! Requests that the gate tracks from arrival to outcome.

use std::time::Instant;

use crate::ids;
use crate::outcome::Doubt;
use crate::request::Request;

/// `Status` is the progress of a tracked request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Status {
    /// Waits for the verdict on the claim of its idempotency key.
    Claiming,
    /// Waits in the queue of its service for a slot.
    Queued,
    /// Is in flight on a host.
    Sent(ids::Host),
}

/// `Tracked` is a request with its progress and its failed attempts.
#[derive(Clone, Debug)]
pub(crate) struct Tracked {
    pub(crate) request: Request,
    pub(crate) status: Status,
    /// Latest start time at which the answer is still expected by the deadline.
    pub(crate) start_by: Instant,
    /// Time of the latest send; the arrival time before the first.
    pub(crate) last_sent_at: Instant,
    /// Whether the latest send uses a slot borrowed from another service.
    pub(crate) is_loan: bool,
    /// Number of failed sends.
    pub(crate) failed_sends: u32,
    /// Failed sends on healthy hosts: rejections and broken connections.
    pub(crate) healthy_host_failures: u32,
    /// Hosts on which a send failed.
    pub(crate) failed_hosts: Vec<ids::Host>,
    /// Why it may have run, set when a send left that unknown.
    pub(crate) doubt: Option<Doubt>,
    /// Whether the caller has received an outcome or cancelled the request.
    pub(crate) is_finished: bool,
}
