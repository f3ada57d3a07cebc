//! Sends of queued requests and ends of exchanges.

use std::time::Instant;

use super::track::Place;
use super::{Action, Exchange, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::state::{Host, Stage};

impl Gate {
    /// Sends queued requests of a service while a worker has room.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        name: &ids::Service,
        actions: &mut Vec<Action>,
    ) {
        self.refuse_late(now, name, actions);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        while !service.queue.is_empty() {
            // Looked up before the pop, so that a request never leaves the queue without a worker.
            if service
                .table
                .choose(now, &self.options, &[], &mut self.rng)
                .is_none()
            {
                return;
            }
            let quotas = &service.quotas;
            let weight = |caller: &ids::Caller| quotas.get(caller).copied().unwrap_or(1);
            let Some(id) = service.queue.pop(weight) else {
                return;
            };
            let Some(track) = self.tracks.get_mut(&id) else {
                continue;
            };
            let chosen = service
                .table
                .choose(now, &self.options, &track.avoid, &mut self.rng)
                .or_else(|| service.table.choose(now, &self.options, &[], &mut self.rng));
            let Some(host) = chosen else {
                service.queue.push(&track.request);
                return;
            };
            let Some(worker) = service.table.get_mut(&host) else {
                return;
            };
            worker.in_flight += 1;
            *self.in_flight.entry(host.clone()).or_default() += 1;
            track.attempts += 1;
            track.place = Place::Sent(host.clone());
            actions.push(Action::Send {
                request: id,
                host,
                address: worker.address,
            });
        }
    }

    pub(super) fn done(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        let sent = self
            .tracks
            .get(&id)
            .is_some_and(|track| track.place == Place::Sent(host.clone()));
        if !sent {
            return;
        }
        self.free_slot(host, actions);
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        let name = track.request.service.clone();
        self.note_exchange(now, &name, host, &exchange);
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        let not_run = matches!(exchange, Exchange::Refused | Exchange::Unsent);
        let outcome = match exchange {
            Exchange::Answered(answer) => Outcome::Answered(answer),
            Exchange::Broken => Outcome::Unknown(Doubt::Broken),
            Exchange::Mismatch => Outcome::Unknown(Doubt::Mismatch),
            Exchange::Timeout => Outcome::Unknown(Doubt::Timeout),
            Exchange::Refused | Exchange::Unsent => Outcome::NotRun(Refusal::NoWorker),
        };
        let answered = matches!(outcome, Outcome::Answered(_));
        let may_retry = !answered && (not_run || track.request.is_idempotent());
        if may_retry && !track.finished && track.request.deadline > now {
            track.avoid.push(host.clone());
            let attempts_left = track.attempts < self.options.attempts;
            let service = self.services.get_mut(&name);
            if attempts_left && service.is_some_and(|service| service.retries.withdraw()) {
                self.enqueue(id);
                self.dispatch(now, &name, actions);
                return;
            }
        }
        self.finish(id, outcome, actions);
        self.dispatch(now, &name, actions);
    }

    pub(super) fn note_exchange(
        &mut self,
        now: Instant,
        name: &ids::Service,
        host: &ids::Host,
        exchange: &Exchange,
    ) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if matches!(exchange, Exchange::Answered(_)) {
            service.retries.deposit();
        }
        let Some(worker) = service.table.get_mut(host) else {
            return;
        };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        match exchange {
            Exchange::Answered(_) => worker.note_success(),
            Exchange::Refused => worker.note_refusal(now, &self.options),
            Exchange::Broken | Exchange::Mismatch | Exchange::Timeout | Exchange::Unsent => {
                worker.note_failure(now, &self.options);
            }
        }
    }

    pub(super) fn free_slot(&mut self, host: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(count) = self.in_flight.get_mut(host) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(host);
            }
        }
        self.report(host, actions);
    }

    /// Reports a draining host, at the drain and at each end of a request on it.
    pub(super) fn report(&self, name: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(Host {
            stage: Stage::Draining { since, .. },
            ..
        }) = self.hosts.get(name)
        {
            let in_flight = self.in_flight(name);
            actions.push(Action::Report {
                host: name.clone(),
                since: *since,
                in_flight,
            });
        }
    }
}
