//! Sends of queued requests.

use std::time::Instant;

use super::track::Place;
use super::{Action, Gate};
use crate::ids;

impl Gate {
    /// Sends queued requests of a service while one of its workers has room.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        name: &ids::Service,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_late(now, name, actions);
        while let Some(service) = self.services.get_mut(name) {
            let Some(id) = service.queue.peek() else {
                service.rate.note_idle();
                return;
            };
            let avoid = self.tracks.get(&id).map(|track| track.avoid.as_slice());
            let avoid = avoid.unwrap_or_default();
            let (options, rng) = (&self.options, &mut self.rng);
            let table = &mut service.table;
            // A worker that failed the request before is better than none.
            let chosen = table
                .choose(now, options, avoid, rng)
                .or_else(|| table.choose(now, options, &[], rng));
            let Some(host) = chosen else {
                self.note_borrower(name);
                return;
            };
            self.start(now, id, name, host, actions);
        }
    }

    /// Sends the first request of a service's queue to a host of the lender.
    pub(super) fn start(
        &mut self,
        now: Instant,
        id: ids::Request,
        lender: &ids::Service,
        host: ids::Host,
        actions: &mut Vec<Action>,
    ) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&track.request.service) {
            service.queue.pop(track.start_by);
            service.rate.note_start();
        }
        track.loan = track.request.service != *lender;
        track.sent = now;
        track.place = Place::Sent(host.clone());
        *self.in_flight.entry(host.clone()).or_default() += 1;
        let Some(service) = self.services.get_mut(lender) else {
            return;
        };
        service.table.take(now, &self.options, &host, track.loan);
        if let Some(worker) = service.table.get(&host) {
            actions.push(Action::Send {
                request: id,
                address: worker.address,
                host,
            });
        }
    }
}
