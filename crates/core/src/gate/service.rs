//! Queue, workers and estimates of one service.

use std::time::{Duration, Instant};

use super::estimate::{Latency, Rate};
use super::{Budget, Options, Queue, Table};
use crate::ids;
use crate::map::Map;
use crate::request::Request;

/// The latency estimate may reserve at most one part in this many of the time to the deadline.
const LATENCY_RESERVE_DIVISOR: u32 = 2;
/// Time without new loans after one of the service's workers refused a request.
const LENDING_PAUSE: Duration = Duration::from_millis(500);

/// `Service` is the queue, the workers and the estimates of one service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) queue: Queue,
    pub(super) table: Table,
    pub(super) retries: Budget,
    pub(super) quotas: Map<ids::Caller, u32>,
    /// Latency from the send of a request to its answer.
    pub(super) latency: Latency,
    pub(super) rate: Rate,
    /// Time until which no new loan is started.
    pub(super) lending_paused_until: Option<Instant>,
    /// Hosts whose idle slots this entry host may lend; none until computed.
    pub(super) lendable: Option<Vec<ids::Host>>,
}

impl Service {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            queue: Queue::default(),
            table: Table::default(),
            retries: Budget::new(options.retry_share, options.initial_retries),
            quotas: Map::default(),
            latency: Latency::default(),
            rate: Rate::default(),
            lending_paused_until: None,
            lendable: None,
        }
    }

    pub(super) fn weight(&self, caller: &ids::Caller) -> u32 {
        self.quotas.get(caller).copied().unwrap_or(1).max(1)
    }

    /// Returns the latest time at which a request can start and still be answered by its deadline.
    pub(super) fn start_by(&self, now: Instant, deadline: Instant) -> Instant {
        let remaining = deadline.saturating_duration_since(now);
        let needed = self.latency.upper_bound().unwrap_or_default();
        deadline
            .checked_sub(needed.min(remaining / LATENCY_RESERVE_DIVISOR))
            .unwrap_or(deadline)
    }

    /// Returns whether a request can start in time behind the requests already queued.
    pub(super) fn can_start(&self, now: Instant, request: &Request, start_by: Instant) -> bool {
        let weight = self.weight(&request.caller);
        let ahead = self
            .queue
            .count_ahead(&request.caller, request.urgency, weight);
        let wait = self.rate.wait(ahead).unwrap_or_default();
        now + wait <= start_by
    }

    /// Pauses lending because the service needs its own slots.
    pub(super) fn pause_lending(&mut self, now: Instant) {
        self.lending_paused_until = Some(now + LENDING_PAUSE);
    }

    /// Returns whether idle slots may be lent to other services.
    pub(super) fn can_lend(&self, now: Instant) -> bool {
        self.queue.is_empty() && self.lending_paused_until.is_none_or(|until| until <= now)
    }

    /// Returns whether the service's requests are short enough to borrow slots.
    pub(super) fn may_borrow(&self, options: &Options) -> bool {
        let mean = self.latency.mean();
        mean.is_some_and(|mean| mean <= options.max_borrower_latency)
    }
}
