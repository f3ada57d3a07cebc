//! Options of the gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;

/// `Options` sets the policy of the gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Sends of one request that fail, at most; refusals by full workers do not count.
    pub attempts: u32,
    /// Retries allowed for each success, as a share.
    pub retry_share: f64,
    /// Retries allowed before the first success.
    pub retry_floor: f64,
    /// Healthy hosts that reject or break off a request before it is stopped.
    pub unrunnable_after: u32,
    /// Time for which a full host gets no further request.
    pub full_backoff: Duration,
    /// Time for which a host that failed gets no further request.
    pub backoff: Duration,
    /// Consecutive failures after which a host is ejected.
    pub eject_after: u32,
    /// Time after which an ejected host gets a probe.
    pub probe_after: Duration,
    /// Share of a service's hosts that may be ejected at once.
    pub eject_share: f64,
    /// Period over which a returned host is brought to its full share of requests.
    pub slow_start: Duration,
    /// Slots of each host that requests of other services may use while they are idle.
    pub lend_slots: u32,
    /// Mean time that the requests of a service that borrows take, at most.
    pub lend_time: Duration,
    /// Name of the zone that the entry host stands in.
    pub zone: ids::Zone,
    /// Name of the entry host.
    pub instance: ids::Instance,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            attempts: 4,
            retry_share: 0.1,
            retry_floor: 10.0,
            unrunnable_after: 3,
            full_backoff: Duration::from_millis(10),
            backoff: Duration::from_millis(50),
            eject_after: 5,
            probe_after: Duration::from_secs(2),
            eject_share: 0.75,
            slow_start: Duration::from_secs(2),
            lend_slots: 2,
            lend_time: Duration::from_secs(1),
            zone: ids::Zone::new(),
            instance: ids::Instance::new(),
        }
    }
}
