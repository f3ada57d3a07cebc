//! One backend server as one entry host sees it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Options;
use super::estimate::Span;
use crate::ids;

/// Steps in which a returned worker is brought to its full share.
const SLOW_START_STEPS: u32 = 16;
/// Doublings of the wait after a refusal, at most.
const FULL_DOUBLINGS: u32 = 2;
/// Doublings of the wait for a probe, at most.
const PROBE_DOUBLINGS: u32 = 1;

/// `Worker` is a backend server as this entry host sees it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: ids::Zone,
    /// Requests in flight from this entry host.
    pub in_flight: u32,
    /// Requests of other services among those in flight.
    pub(crate) loans: u32,
    /// Requests that the worker runs at once.
    pub(crate) slots: u32,
    /// Connections that the worker accepts.
    pub(crate) connections: u32,
    /// Refusals since the last answer.
    pub(crate) refusals: u32,
    /// Failures since the last answer.
    pub failures: u32,
    /// Ejections since the last time that it was healthy.
    pub(crate) ejections: u32,
    /// Whether it is out because of failures or slowness.
    pub(crate) ejected: bool,
    /// Time before which it gets no request.
    pub backoff_until: Option<Instant>,
    /// Time at which it came into service.
    pub in_service_since: Instant,
    /// Time that its requests take.
    pub(crate) span: Span,
    /// Answers that the time was estimated from.
    pub(crate) answers: u32,
    /// Where the table lists it while it takes requests.
    pub(crate) seat: Option<Seat>,
}

/// `Seat` is a place in a table's lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Seat {
    /// Takes a request; the list of its side and the index there.
    Open(Side, usize),
    /// Is looked at again at a time.
    Waits(Instant),
}

/// `Side` tells workers of the own availability zone from the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    /// In the own availability zone.
    Near,
    /// In another one.
    Far,
}

impl Worker {
    /// Gets the requests that this entry host may have in flight on it.
    ///
    /// Each request takes one connection, so the worker's connections are divided between entry
    /// hosts; its slots are not, as the worker refuses what exceeds them before running it.
    pub(crate) fn limit(&self, entries: u32) -> u32 {
        (self.connections / entries.max(1)).min(self.slots).max(1)
    }

    /// Gets the requests that may be in flight; a new worker is brought up step by step, and an
    /// ejected one gets a single probe.
    pub(crate) fn room(&self, now: Instant, options: &Options, entries: u32) -> u32 {
        if self.ejected {
            return 1;
        }
        let limit = self.limit(entries);
        let age = now.saturating_duration_since(self.in_service_since);
        if age >= options.slow_start {
            return limit;
        }
        let step = options.slow_start / SLOW_START_STEPS;
        let steps = age.as_nanos() / step.as_nanos().max(1) + 1;
        let room = u128::from(limit) * steps / u128::from(SLOW_START_STEPS);
        u32::try_from(room).unwrap_or(limit).clamp(1, limit)
    }

    /// Gets the time at which it may take a request, none when only an end of a request tells.
    pub(crate) fn opens(&self, now: Instant, options: &Options, entries: u32) -> Option<Instant> {
        if let Some(until) = self.backoff_until.filter(|until| now < *until) {
            return Some(until);
        }
        if self.in_flight < self.room(now, options, entries) {
            return Some(now);
        }
        let starts = now < self.in_service_since + options.slow_start;
        let step = options.slow_start / SLOW_START_STEPS;
        (starts && !self.ejected).then(|| now + step)
    }

    /// Notes an answer; a returned worker starts slowly again.
    pub(crate) fn note_success(&mut self, now: Instant) {
        self.failures = 0;
        self.refusals = 0;
        self.backoff_until = None;
        if std::mem::take(&mut self.ejected) {
            self.in_service_since = now;
        }
    }

    /// Notes a refusal; the worker is healthy but full, and the wait doubles with each in a row.
    pub(crate) fn note_refusal(&mut self, now: Instant, options: &Options) {
        let wait = options.refusal_backoff * (1 << self.refusals.min(FULL_DOUBLINGS));
        self.refusals = self.refusals.saturating_add(1);
        self.backoff_until = Some(now + wait);
    }

    /// Notes a failure.
    pub(crate) fn note_failure(&mut self, now: Instant, options: &Options) {
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = Some(now + options.failure_backoff);
    }

    /// Takes the worker out until its probe; the wait doubles with each ejection in a row.
    pub(crate) fn eject(&mut self, now: Instant, options: &Options) {
        let wait: Duration = options.probe_delay * (1 << self.ejections.min(PROBE_DOUBLINGS));
        self.ejected = true;
        self.ejections = self.ejections.saturating_add(1);
        self.backoff_until = Some(now + wait);
    }
}
