//! Options of the gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// `Options` sets the policy of the gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Sends of one request, at most, first try included.
    pub attempts: u32,
    /// Retries allowed for each success, as a share.
    pub retry_share: f64,
    /// Retries allowed before the first success.
    pub retry_floor: f64,
    /// Time for which a host that refused or failed gets no further request.
    pub backoff: Duration,
    /// Consecutive failures after which a host is ejected.
    pub eject_after: u32,
    /// Time after which an ejected host gets a probe.
    pub probe_after: Duration,
    /// Share of a service's hosts that may be ejected at once.
    pub eject_share: f64,
    /// Period over which a returned host is brought to its full share of requests.
    pub slow_start: Duration,
    /// Name of the zone that the entry host stands in.
    pub zone: crate::ids::Zone,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            attempts: 4,
            retry_share: 0.1,
            retry_floor: 10.0,
            backoff: Duration::from_millis(50),
            eject_after: 5,
            probe_after: Duration::from_secs(2),
            eject_share: 0.5,
            slow_start: Duration::from_secs(2),
            zone: crate::ids::Zone::new(),
        }
    }
}
