//! Queue, workers and estimates of one service.

use std::time::{Duration, Instant};

use super::estimate::{Rate, Span};
use super::{Budget, Options, Queue, Table};
use crate::ids;
use crate::map::Map;
use crate::request::Request;

/// Part of a request's time that an estimate may take from it.
const ESTIMATE_SHARE: u32 = 2;
/// Time without loans after a sign that the service needs its slots.
const LEND_PAUSE: Duration = Duration::from_millis(500);

/// `Service` is the queue and the workers of one service.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) queue: Queue,
    pub(super) table: Table,
    pub(super) retries: Budget,
    pub(super) quotas: Map<ids::Caller, u32>,
    /// Time that requests take from the send to the answer.
    pub(super) span: Span,
    pub(super) rate: Rate,
    /// Time until which no slot is lent.
    pub(super) keeps_until: Option<Instant>,
    /// Hosts whose idle slots this entry host may lend, unless they are to be found anew.
    pub(super) lendable: Option<Vec<ids::Host>>,
}

impl Service {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            queue: Queue::default(),
            table: Table::default(),
            retries: Budget::new(options.retry_share, options.initial_retries),
            quotas: Map::default(),
            span: Span::default(),
            rate: Rate::default(),
            keeps_until: None,
            lendable: None,
        }
    }

    pub(super) fn weight(&self, caller: &ids::Caller) -> u32 {
        self.quotas.get(caller).copied().unwrap_or(1).max(1)
    }

    /// Gets the time by which a request must start for its answer to be in time.
    pub(super) fn start_by(&self, now: Instant, deadline: Instant) -> Instant {
        let left = deadline.saturating_duration_since(now);
        let needed = self.span.high().unwrap_or_default();
        deadline
            .checked_sub(needed.min(left / ESTIMATE_SHARE))
            .unwrap_or(deadline)
    }

    /// Gets whether a request can start in time behind those that wait already.
    pub(super) fn can_start(&self, now: Instant, request: &Request, start_by: Instant) -> bool {
        let weight = self.weight(&request.caller);
        let ahead = self
            .queue
            .count_ahead(&request.caller, request.urgency, weight);
        let wait = self.rate.wait(ahead).unwrap_or_default();
        now + wait <= start_by
    }

    /// Keeps the service's slots for itself for a while.
    pub(super) fn keep(&mut self, now: Instant) {
        self.keeps_until = Some(now + LEND_PAUSE);
    }

    /// Gets whether idle slots may be lent.
    pub(super) fn lends(&self, now: Instant) -> bool {
        self.queue.is_empty() && self.keeps_until.is_none_or(|until| until <= now)
    }

    /// Gets whether the service's requests are short enough to borrow slots.
    pub(super) fn may_borrow(&self, options: &Options) -> bool {
        let mean = self.span.mean();
        mean.is_some_and(|mean| mean <= options.max_borrower_mean)
    }
}
