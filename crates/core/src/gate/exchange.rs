//! Ends of exchanges with backend servers.

use std::time::Instant;

use super::track::Place;
use super::{Action, Exchange, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::state::{Host, Stage};

impl Gate {
    pub(super) fn done(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: Exchange,
        actions: &mut Vec<Action>,
    ) {
        let track = self.tracks.get(&id);
        let Some(track) = track.filter(|track| track.place == Place::Sent(host.clone())) else {
            return;
        };
        let name = track.request.service.clone();
        self.free_slot(host, actions);
        self.note_exchange(now, id, host, &exchange);
        if exchange == Exchange::Refused {
            self.put_back(id, actions);
        } else if !self.try_again(now, id, host, &exchange) {
            let outcome = self.outcome(id, exchange);
            self.finish(id, outcome, actions);
        }
        self.dispatch(now, &name, actions);
        if let Some(owner) = self.placed.get(host).cloned().filter(|it| *it != name) {
            self.dispatch(now, &owner, actions);
        }
        self.lend(now, actions);
    }

    /// Queues a request again that a full worker refused.
    ///
    /// A refusal costs no slot and says nothing of the request, so it takes nothing from the retry
    /// budget; the worker's backoff and the time by which the request must start bound the repeats.
    fn put_back(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        if self.tracks.get(&id).is_some_and(|track| track.finished) {
            self.finish(id, Outcome::NotRun(Refusal::Cancelled), actions);
        } else {
            self.enqueue(id);
        }
    }

    /// Queues a request again after a failure, when the budget and its kind allow it.
    fn try_again(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: &Exchange,
    ) -> bool {
        let healthy = self
            .placed
            .get(host)
            .and_then(|name| self.services.get(name))
            .is_some_and(|service| service.table.is_healthy(host));
        let Some(track) = self.tracks.get_mut(&id) else {
            return false;
        };
        track.failures += 1;
        track.avoid.push(host.clone());
        match exchange {
            Exchange::Answered(_) | Exchange::Refused => return false,
            Exchange::Broken => {
                track.doubt = Some(Doubt::Broken);
                track.strikes += u32::from(healthy);
            }
            Exchange::Mismatch => track.doubt = Some(Doubt::Mismatch),
            Exchange::Rejected => track.strikes += u32::from(healthy),
            Exchange::Timeout => track.doubt = Some(Doubt::Timeout),
            Exchange::Unsent => {}
        }
        let safe = track.doubt.is_none() || track.request.is_idempotent();
        let in_time = !track.finished && track.start_by > now;
        let left = track.failures < self.options.max_attempts
            && track.strikes < self.options.unrunnable_after;
        if !(safe && in_time && left) {
            return false;
        }
        let service = self.services.get_mut(&track.request.service);
        if !service.is_some_and(|service| service.retries.withdraw()) {
            return false;
        }
        self.enqueue(id);
        true
    }

    /// Gets the outcome of a request that is not tried again.
    fn outcome(&self, id: ids::Request, exchange: Exchange) -> Outcome {
        let strikes = self.tracks.get(&id).map_or(0, |track| track.strikes);
        let unrunnable = strikes >= self.options.unrunnable_after;
        match exchange {
            Exchange::Answered(answer) => Outcome::Answered(answer),
            Exchange::Broken if unrunnable => Outcome::Unknown(Doubt::Unrunnable),
            Exchange::Broken => Outcome::Unknown(Doubt::Broken),
            Exchange::Mismatch => Outcome::Unknown(Doubt::Mismatch),
            Exchange::Timeout => Outcome::Unknown(Doubt::Timeout),
            Exchange::Rejected if unrunnable => Outcome::NotRun(Refusal::Unrunnable),
            Exchange::Refused | Exchange::Rejected | Exchange::Unsent => {
                Outcome::NotRun(Refusal::NoWorker)
            }
        }
    }

    /// Notes the end of an exchange for its worker and for the estimates of its service.
    fn note_exchange(
        &mut self,
        now: Instant,
        id: ids::Request,
        host: &ids::Host,
        exchange: &Exchange,
    ) {
        let Some(track) = self.tracks.get(&id) else {
            return;
        };
        let (loan, name) = (track.loan, &track.request.service);
        let took = now.saturating_duration_since(track.sent);
        if matches!(exchange, Exchange::Answered(_))
            && let Some(service) = self.services.get_mut(name)
        {
            service.retries.deposit();
            service.span.note(took);
        }
        let owner = self.placed.get(host);
        let Some(owner) = owner.and_then(|name| self.services.get_mut(name)) else {
            return;
        };
        let (table, options) = (&mut owner.table, &self.options);
        table.give(now, options, host, loan);
        match exchange {
            Exchange::Answered(_) => {
                table.note_success(now, options, host, (!loan).then_some(took));
            }
            Exchange::Refused => {
                table.note_refusal(now, options, host);
                owner.keep(now);
            }
            // The worker did what it should.
            Exchange::Rejected => table.note_success(now, options, host, None),
            Exchange::Broken | Exchange::Mismatch | Exchange::Timeout | Exchange::Unsent => {
                table.note_failure(now, options, host);
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
        self.report(host, actions);
    }

    /// Reports a draining host, at the drain and at each end of a request on it.
    pub(super) fn report(&self, name: &ids::Host, actions: &mut Vec<Action>) {
        if let Some(Host {
            stage: Stage::Draining { since, .. },
            ..
        }) = self.hosts.get(name)
        {
            let in_flight = self.in_flight_count(name);
            actions.push(Action::Report {
                host: name.clone(),
                since: *since,
                in_flight,
            });
        }
    }
}
