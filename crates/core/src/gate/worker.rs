//! State of one backend server, tracked by one entry host.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Options;
use super::estimate::Latency;
use crate::ids;

/// Steps in which the concurrency limit of a new or recovered worker rises to its full value.
const SLOW_START_STEPS: u32 = 16;
/// Maximum doublings of the backoff after consecutive refusals.
const MAX_REFUSAL_DOUBLINGS: u32 = 2;
/// Maximum doublings of the probe delay after consecutive ejections.
const MAX_PROBE_DOUBLINGS: u32 = 1;

/// `Worker` is the state of the worker on a host (a backend server) as this entry host sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Availability zone of its host.
    pub zone: ids::Zone,
    /// Requests in flight from this entry host.
    pub in_flight: u32,
    /// Requests in flight that borrow a slot for another service.
    pub(crate) loans: u32,
    /// Requests that the worker runs concurrently.
    pub(crate) slots: u32,
    /// Connections that the worker accepts.
    pub(crate) connections: u32,
    /// Refusals since the last answer.
    pub(crate) refusals: u32,
    /// Failures since the last answer.
    pub failures: u32,
    /// Consecutive ejections, reset when it is healthy again.
    pub(crate) ejections: u32,
    /// Whether it is ejected because of failures or high latency.
    pub(crate) is_ejected: bool,
    /// Time until which it gets no request.
    pub backoff_until: Option<Instant>,
    /// Time at which it entered or re-entered service; slow start counts from here.
    pub in_service_since: Instant,
    /// Latency of its own service's requests.
    pub(crate) latency: Latency,
    /// Answers that the latency was estimated from.
    pub(crate) answers: u32,
    /// Position in the lists of the table, none if its availability depends on the end of a
    /// request.
    pub(crate) position: Option<Position>,
}

/// `Position` locates a worker in the lists of its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Position {
    /// Available: index in the list of its locality.
    Available(Locality, usize),
    /// Unavailable until this time.
    Waiting(Instant),
}

/// `Locality` tells workers in the availability zone of the entry host from the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Locality {
    /// In the availability zone of the entry host.
    Local,
    /// In another availability zone.
    Remote,
}

impl Worker {
    /// Returns how many requests this entry host may have in flight on the worker in full service.
    ///
    /// Each request takes one connection, so the worker's connections are divided between the entry
    /// hosts. Its slots are not divided, because the worker refuses excess requests before running
    /// them.
    pub(crate) fn full_limit(&self, entry_count: u32) -> u32 {
        (self.connections / entry_count.max(1))
            .min(self.slots)
            .max(1)
    }

    /// Returns how many requests may be in flight now: the limit of a new worker rises in steps,
    /// and an ejected one gets a single probe.
    pub(crate) fn concurrency_limit(
        &self,
        now: Instant,
        options: &Options,
        entry_count: u32,
    ) -> u32 {
        if self.is_ejected {
            return 1;
        }
        let limit = self.full_limit(entry_count);
        let age = now.saturating_duration_since(self.in_service_since);
        if age >= options.slow_start {
            return limit;
        }
        let step = options.slow_start / SLOW_START_STEPS;
        let steps = age.as_nanos() / step.as_nanos().max(1) + 1;
        let raised_limit = u128::from(limit) * steps / u128::from(SLOW_START_STEPS);
        u32::try_from(raised_limit).unwrap_or(limit).clamp(1, limit)
    }

    /// Returns the time at which it can take a request, none if that depends on the end of a
    /// request in flight.
    pub(crate) fn available_at(
        &self,
        now: Instant,
        options: &Options,
        entry_count: u32,
    ) -> Option<Instant> {
        if let Some(until) = self.backoff_until.filter(|until| now < *until) {
            return Some(until);
        }
        if self.in_flight < self.concurrency_limit(now, options, entry_count) {
            return Some(now);
        }
        let in_slow_start = now < self.in_service_since + options.slow_start;
        let step = options.slow_start / SLOW_START_STEPS;
        (in_slow_start && !self.is_ejected).then(|| now + step)
    }

    /// Records an answer; an ejected worker re-enters service with a slow start.
    pub(crate) fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        self.refusals = 0;
        self.backoff_until = None;
        if std::mem::take(&mut self.is_ejected) {
            self.in_service_since = now;
        }
    }

    /// Records a refusal: the worker is healthy but at capacity. The backoff doubles with each
    /// consecutive refusal.
    pub(crate) fn record_refusal(&mut self, now: Instant, options: &Options) {
        let wait = options.refusal_backoff * (1 << self.refusals.min(MAX_REFUSAL_DOUBLINGS));
        self.refusals = self.refusals.saturating_add(1);
        self.backoff_until = Some(now + wait);
    }

    /// Records a failure and starts the failure backoff.
    pub(crate) fn record_failure(&mut self, now: Instant, options: &Options) {
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = Some(now + options.failure_backoff);
    }

    /// Ejects the worker until its probe. The delay doubles with each consecutive ejection.
    pub(crate) fn eject(&mut self, now: Instant, options: &Options) {
        let wait: Duration = options.probe_delay * (1 << self.ejections.min(MAX_PROBE_DOUBLINGS));
        self.is_ejected = true;
        self.ejections = self.ejections.saturating_add(1);
        self.backoff_until = Some(now + wait);
    }
}
