//! Options of the gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;

/// `Options` sets the policy of the gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Sends of one request that fail, at most; refusals by full workers do not count.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Retries allowed for each success, as a share.
    pub retry_share: f64,
    /// Retries allowed before the first success.
    #[serde(rename = "retry_floor")]
    pub initial_retries: f64,
    /// Healthy hosts that reject or break off a request before it is stopped.
    pub unrunnable_after: u32,
    /// Time for which a full host gets no further request.
    #[serde(rename = "full_backoff")]
    pub refusal_backoff: Duration,
    /// Time for which a host that failed gets no further request.
    #[serde(rename = "backoff")]
    pub failure_backoff: Duration,
    /// Consecutive failures after which a host is ejected.
    pub eject_after: u32,
    /// Time after which an ejected host gets a probe.
    #[serde(rename = "probe_after")]
    pub probe_delay: Duration,
    /// Share of a service's hosts that may be ejected at once.
    #[serde(rename = "eject_share")]
    pub max_ejected_share: f64,
    /// Period over which a returned host is brought to its full share of requests.
    pub slow_start: Duration,
    /// Slots of each host that requests of other services may use while they are idle.
    #[serde(rename = "lend_slots")]
    pub lendable_slots: u32,
    /// Mean time that the requests of a service that borrows take, at most.
    #[serde(rename = "lend_time")]
    pub max_borrower_mean: Duration,
    /// Name of the zone that the entry host stands in.
    pub zone: ids::Zone,
    /// Name of the entry host.
    pub instance: ids::Instance,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            retry_share: 0.1,
            initial_retries: 10.0,
            unrunnable_after: 3,
            refusal_backoff: Duration::from_millis(10),
            failure_backoff: Duration::from_millis(50),
            eject_after: 5,
            probe_delay: Duration::from_secs(2),
            max_ejected_share: 0.75,
            slow_start: Duration::from_secs(2),
            lendable_slots: 2,
            max_borrower_mean: Duration::from_secs(1),
            zone: ids::Zone::new(),
            instance: ids::Instance::new(),
        }
    }
}
