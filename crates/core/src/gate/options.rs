//! Admission, retry, ejection and lending limits of the gate.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids;

/// `Options` holds the limits and delays of the gate.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Options {
    /// Maximum failed sends of one request; refusals by workers at capacity do not count.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Retries that each success permits, as a fraction.
    pub retry_share: f64,
    /// Retries permitted before the first success.
    #[serde(rename = "retry_floor")]
    pub initial_retries: f64,
    /// Number of failures on healthy hosts after which a request counts as unrunnable and is not
    /// retried.
    #[serde(rename = "unrunnable_after")]
    pub unrunnable_failures: u32,
    /// Time without new requests after a host refuses one for lack of capacity; doubles with
    /// consecutive refusals.
    #[serde(rename = "full_backoff")]
    pub refusal_backoff: Duration,
    /// Time without new requests after an exchange with a host fails.
    #[serde(rename = "backoff")]
    pub failure_backoff: Duration,
    /// Number of consecutive failures after which a host is ejected.
    #[serde(rename = "eject_after")]
    pub ejection_failures: u32,
    /// Time between the ejection of a host and its probe request.
    #[serde(rename = "probe_after")]
    pub probe_delay: Duration,
    /// Maximum share of a service's hosts that may be ejected at the same time.
    #[serde(rename = "eject_share")]
    pub max_ejected_share: f64,
    /// Period over which a new or recovered host is raised to its full concurrency limit.
    pub slow_start: Duration,
    /// Idle slots of each host that requests of other services may use.
    #[serde(rename = "lend_slots")]
    pub lendable_slots: u32,
    /// Maximum mean latency of a service that may borrow slots.
    #[serde(rename = "lend_time")]
    pub max_borrower_latency: Duration,
    /// Availability zone of the entry host.
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
            unrunnable_failures: 3,
            refusal_backoff: Duration::from_millis(10),
            failure_backoff: Duration::from_millis(50),
            ejection_failures: 5,
            probe_delay: Duration::from_secs(2),
            max_ejected_share: 0.75,
            slow_start: Duration::from_secs(2),
            lendable_slots: 2,
            max_borrower_latency: Duration::from_secs(1),
            zone: ids::Zone::new(),
            instance: ids::Instance::new(),
        }
    }
}
