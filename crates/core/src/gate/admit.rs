//! Arrival, claims and cancellation of requests.

use std::time::Instant;

use super::track::{Place, Track};
use super::{Action, Claim, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::request::{Kind, Request};

impl Gate {
    pub(super) fn arrive(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let start_by = match self.admit(now, &request) {
            Ok(start_by) => start_by,
            Err(refusal) => {
                let outcome = Outcome::NotRun(refusal);
                actions.push(Action::Finish {
                    request: request.id,
                    outcome,
                });
                return;
            }
        };
        let (id, kind, service) = (request.id, request.kind, request.service.clone());
        self.deadlines.insert((request.deadline, id));
        let track = Track {
            request,
            place: Place::Claiming,
            start_by,
            sent: now,
            loan: false,
            failures: 0,
            strikes: 0,
            avoid: Vec::new(),
            doubt: None,
            finished: false,
        };
        self.tracks.insert(id, track);
        match kind {
            Kind::Once(key) => actions.push(Action::Claim { request: id, key }),
            Kind::Idempotent => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
                self.lend(now, actions);
            }
        }
    }

    /// Gets the time by which a request must start, or why it is refused at once.
    fn admit(&self, now: Instant, request: &Request) -> Result<Instant, Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        let service = self.services.get(&request.service);
        let service = service.ok_or(Refusal::NoService)?;
        let start_by = service.start_by(now, request.deadline);
        if start_by <= now || !service.can_start(now, request, start_by) {
            return Err(Refusal::Deadline);
        }
        Ok(start_by)
    }

    pub(super) fn enqueue(&mut self, id: ids::Request) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        track.place = Place::Queued;
        if let Some(service) = self.services.get_mut(&track.request.service) {
            let weight = service.weight(&track.request.caller);
            service.queue.push(&track.request, track.start_by, weight);
        }
    }

    pub(super) fn claimed(
        &mut self,
        now: Instant,
        id: ids::Request,
        claim: Claim,
        actions: &mut Vec<Action>,
    ) {
        let Some(track) = self.tracks.get(&id) else {
            return;
        };
        // A verdict that comes twice must not queue a request again.
        if track.place != Place::Claiming {
            return;
        }
        let service = track.request.service.clone();
        match claim {
            // The caller was told not run while the claim was under way; free the key.
            Claim::Won if track.finished => self.release(id, actions),
            Claim::Won => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
                self.lend(now, actions);
            }
            Claim::Lost => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Claimed), actions),
            Claim::Expired => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Expired), actions),
            Claim::Failed(refusal) => self.drop_unclaimed(id, Outcome::NotRun(refusal), actions),
            // The request was never sent, and it is dropped here; a late verdict changes nothing.
            Claim::Undecided => {
                self.drop_unclaimed(id, Outcome::NotRun(Refusal::LogDown), actions);
            }
        }
    }

    fn drop_unclaimed(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        self.tell(id, outcome, actions);
        self.tracks.remove(&id);
    }

    pub(super) fn cancel(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        match &track.place {
            Place::Claiming => self.refuse(id, Refusal::Cancelled, actions),
            Place::Queued => {
                self.unqueue(id);
                self.refuse(id, Refusal::Cancelled, actions);
            }
            // The slot stays taken until the exchange truly ends.
            Place::Sent(host) => {
                let host = host.clone();
                if !std::mem::replace(&mut track.finished, true) {
                    self.deadlines.remove(&(track.request.deadline, id));
                    actions.push(Action::Abandon { request: id, host });
                }
            }
        }
    }

    pub(super) fn unqueue(&mut self, id: ids::Request) {
        let Some(track) = self.tracks.get(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&track.request.service) {
            service.queue.remove(&track.request, track.start_by);
        }
    }
}
