//! Dispatch of queued requests to workers.

use std::time::Instant;

use super::track::Status;
use super::{Action, Gate};
use crate::ids;

impl Gate {
    /// Sends queued requests of a service while one of its workers is available.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        name: &ids::Service,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_expired(now, name, actions);
        while let Some(service) = self.services.get_mut(name) {
            let Some(id) = service.queue.peek() else {
                service.rate.record_idle();
                return;
            };
            let excluded = self
                .requests
                .get(&id)
                .map(|tracked| tracked.failed_hosts.as_slice());
            let excluded = excluded.unwrap_or_default();
            let (options, rng) = (&self.options, &mut self.rng);
            let table = &mut service.table;
            // If every available worker has already failed this request, retry on one of them.
            let chosen = table
                .choose(now, options, excluded, rng)
                .or_else(|| table.choose(now, options, &[], rng));
            let Some(host) = chosen else {
                self.add_borrower(name);
                return;
            };
            self.send_first(now, id, name, host, actions);
        }
    }

    /// Sends the first request of its service's queue to a host of `lender`, which is the same
    /// service unless the slot is borrowed.
    pub(super) fn send_first(
        &mut self,
        now: Instant,
        id: ids::Request,
        lender: &ids::Service,
        host: ids::Host,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&tracked.request.service) {
            service.queue.pop(tracked.start_by);
            service.rate.record_start();
        }
        tracked.is_loan = tracked.request.service != *lender;
        tracked.last_sent_at = now;
        tracked.status = Status::Sent(host.clone());
        *self.in_flight.entry(host.clone()).or_default() += 1;
        let Some(service) = self.services.get_mut(lender) else {
            return;
        };
        service
            .table
            .acquire_slot(now, &self.options, &host, tracked.is_loan);
        if let Some(worker) = service.table.get(&host) {
            actions.push(Action::Send {
                request: id,
                address: worker.address,
                host,
            });
        }
    }
}
