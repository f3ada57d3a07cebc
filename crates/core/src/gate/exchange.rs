//! Completion of exchanges with backend servers: retries, outcomes and worker statistics.

use std::time::Instant;

use super::track::Status;
use super::{Action, Exchange, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::state::{Host, Stage};

impl Gate {
    pub(super) fn end_exchange(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        let tracked = self.requests.get(&id);
        let Some(tracked) = tracked.filter(|tracked| tracked.status == Status::Sent(host.clone()))
        else {
            return;
        };
        let name = tracked.request.service.clone();
        self.free_slot(host, actions);
        self.record_exchange(now, id, host, &exchange);
        if exchange == Exchange::Unavailable {
            self.requeue(id, actions);
        } else if !self.retry(now, id, host, &exchange) {
            let outcome = self.outcome(id, exchange);
            self.finish(id, outcome, actions);
        }
        self.dispatch(now, &name, actions);
        if let Some(owner) = self
            .host_services
            .get(host)
            .cloned()
            .filter(|it| *it != name)
        {
            self.dispatch(now, &owner, actions);
        }
        self.lend(now, actions);
    }

    /// Queues a request again after a worker at capacity refused it.
    ///
    /// A refusal occupies no slot and does not depend on the request, so it is not charged to the
    /// retry budget. The worker's backoff and the request's latest start time bound the repeats.
    fn requeue(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|tracked| tracked.is_finished)
        {
            self.finish(id, Outcome::NotRun(Refusal::Cancelled), actions);
        } else {
            self.enqueue(id);
        }
    }

    /// Queues a request again after a failure, if its kind, its deadline, its failure limits and
    /// the retry budget allow it; returns whether it did.
    fn retry(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: &Exchange,
    ) -> bool {
        let host_was_healthy = self
            .host_services
            .get(host)
            .and_then(|name| self.services.get(name))
            .is_some_and(|service| service.table.is_healthy(host));
        let Some(tracked) = self.requests.get_mut(&id) else {
            return false;
        };
        tracked.failed_sends += 1;
        tracked.failed_hosts.push(host.clone());
        match exchange {
            Exchange::Answered(_) | Exchange::Unavailable => return false,
            Exchange::Broken => {
                tracked.doubt = Some(Doubt::Broken);
                tracked.healthy_host_failures += u32::from(host_was_healthy);
            }
            Exchange::Mismatch => tracked.doubt = Some(Doubt::Mismatch),
            Exchange::RequestRejected => {
                tracked.healthy_host_failures += u32::from(host_was_healthy);
            }
            Exchange::Timeout => tracked.doubt = Some(Doubt::Timeout),
            Exchange::Unsent => {}
        }
        let may_run_again = tracked.doubt.is_none() || tracked.request.is_idempotent();
        let in_time = !tracked.is_finished && tracked.start_by > now;
        let below_limits = tracked.failed_sends < self.options.max_attempts
            && tracked.healthy_host_failures < self.options.unrunnable_failures;
        if !(may_run_again && in_time && below_limits) {
            return false;
        }
        let service = self.services.get_mut(&tracked.request.service);
        if !service.is_some_and(|service| service.retries.withdraw()) {
            return false;
        }
        self.enqueue(id);
        true
    }

    /// Returns the outcome of a request that is not retried.
    fn outcome(&self, id: ids::Request, exchange: Exchange) -> Outcome {
        let healthy_host_failures = self
            .requests
            .get(&id)
            .map_or(0, |tracked| tracked.healthy_host_failures);
        let is_unrunnable = healthy_host_failures >= self.options.unrunnable_failures;
        match exchange {
            Exchange::Answered(answer) => Outcome::Answered(answer),
            Exchange::Broken if is_unrunnable => Outcome::Unknown(Doubt::Unrunnable),
            Exchange::Broken => Outcome::Unknown(Doubt::Broken),
            Exchange::Mismatch => Outcome::Unknown(Doubt::Mismatch),
            Exchange::Timeout => Outcome::Unknown(Doubt::Timeout),
            Exchange::RequestRejected if is_unrunnable => Outcome::NotRun(Refusal::Unrunnable),
            Exchange::Unavailable | Exchange::RequestRejected | Exchange::Unsent => {
                Outcome::NotRun(Refusal::NoWorker)
            }
        }
    }

    /// Updates the statistics of the worker and of the service at the end of an exchange.
    fn record_exchange(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: &Exchange,
    ) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let (is_loan, name) = (tracked.is_loan, &tracked.request.service);
        let elapsed = now.saturating_duration_since(tracked.last_sent_at);
        if matches!(exchange, Exchange::Answered(_))
            && let Some(service) = self.services.get_mut(name)
        {
            service.retries.deposit();
            service.latency.record(elapsed);
        }
        let owner = self.host_services.get(host);
        let Some(owner) = owner.and_then(|name| self.services.get_mut(name)) else {
            return;
        };
        let (table, options) = (&mut owner.table, &self.options);
        table.release_slot(now, options, host, is_loan);
        match exchange {
            Exchange::Answered(_) => {
                table.record_success(now, options, host, (!is_loan).then_some(elapsed));
            }
            Exchange::Unavailable => {
                table.record_refusal(now, options, host);
                owner.pause_lending(now);
            }
            // A rejection is the fault of the request, not of the worker.
            Exchange::RequestRejected => table.record_success(now, options, host, None),
            Exchange::Broken | Exchange::Mismatch | Exchange::Timeout | Exchange::Unsent => {
                table.record_failure(now, options, host);
            }
        }
    }

    fn free_slot(&mut self, host: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(count) = self.in_flight.get_mut(host) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(host);
            }
        }
        self.report_drain(host, actions);
    }

    /// Reports the requests in flight on a draining host: when the drain starts and whenever a
    /// request on the host ends.
    pub(super) fn report_drain(&self, name: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(Host {
            stage: Stage::Draining { since, .. },
            ..
        }) = self.hosts.get(name)
        {
            let in_flight = self.in_flight_count(name);
            actions.push(Action::Report {
                host: name.clone(),
                drain_offset: *since,
                in_flight,
            });
        }
    }
}
