//! Arrival, claims and cancellation of requests.

use std::time::Instant;

use super::track::{Place, Track};
use super::{Action, Claim, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::request::{Kind, Request};

impl Gate {
    pub(super) fn arrive(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        let refusal = if self.leaving {
            Some(Refusal::Leaving)
        } else if !self.services.contains_key(&request.service) {
            Some(Refusal::NoService)
        } else if request.deadline <= now {
            Some(Refusal::Deadline)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            let outcome = Outcome::NotRun(refusal);
            actions.push(Action::Finish {
                request: request.id,
                outcome,
            });
            return;
        }
        let id = request.id;
        let service = request.service.clone();
        let kind = request.kind;
        let place = if request.is_idempotent() {
            Place::Queued
        } else {
            Place::Claiming
        };
        let track = Track {
            request,
            place,
            attempts: 0,
            avoid: Vec::new(),
            finished: false,
        };
        self.tracks.insert(id, track);
        match kind {
            Kind::Once(key) => actions.push(Action::Claim { request: id, key }),
            Kind::Idempotent => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
            }
        }
    }

    pub(super) fn enqueue(&mut self, id: ids::Request) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        track.place = Place::Queued;
        if let Some(service) = self.services.get_mut(&track.request.service) {
            service.queue.push(&track.request);
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
        let service = track.request.service.clone();
        match claim {
            // The caller was told not run while the claim was under way; free the key.
            Claim::Won if track.finished => self.release(id, actions),
            Claim::Won => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
            }
            Claim::Lost => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Claimed), actions),
            Claim::Expired => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Expired), actions),
            Claim::Failed(refusal) => self.drop_unclaimed(id, Outcome::NotRun(refusal), actions),
            // The request was never sent, and it is dropped here; a late verdict changes nothing.
            Claim::Unsettled => {
                self.drop_unclaimed(id, Outcome::NotRun(Refusal::LogDown), actions);
            }
        }
    }

    pub(super) fn cancel(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        match track.place {
            Place::Claiming => self.refuse(id, Refusal::Cancelled, actions),
            Place::Queued => {
                if let Some(service) = self.services.get_mut(&track.request.service) {
                    service.queue.remove(&track.request);
                }
                self.refuse(id, Refusal::Cancelled, actions);
            }
            // The slot stays taken until the exchange truly ends.
            Place::Sent(_) => track.finished = true,
        }
    }

    pub(super) fn drop_unclaimed(
        &mut self,
        id: ids::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        if !track.finished {
            actions.push(Action::Finish {
                request: id,
                outcome,
            });
        }
    }
}
