//! Admission of requests, verdicts on their key claims, and cancellation.

use std::time::Instant;

use super::track::{Status, Tracked};
use super::{Action, ClaimResult, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::request::{Repeatability, Request};

impl Gate {
    pub(super) fn handle_arrival(
        &mut self,
        now: Instant,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
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
        let (id, repeatability, service) =
            (request.id, request.repeatability, request.service.clone());
        self.deadlines.insert((request.deadline, id));
        let tracked = Tracked {
            request,
            status: Status::Claiming,
            start_by,
            last_sent_at: now,
            is_loan: false,
            failed_sends: 0,
            healthy_host_failures: 0,
            failed_hosts: Vec::new(),
            doubt: None,
            is_finished: false,
        };
        self.requests.insert(id, tracked);
        match repeatability {
            Repeatability::Once(key) => actions.push(Action::Claim { request: id, key }),
            Repeatability::Idempotent => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
                self.lend(now, actions);
            }
        }
    }

    /// Returns the time by which an admitted request must start, or the reason for its refusal.
    fn admit(&self, now: Instant, request: &Request) -> Result<Instant, Refusal> {
        if self.is_shutting_down {
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
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        tracked.status = Status::Queued;
        if let Some(service) = self.services.get_mut(&tracked.request.service) {
            let weight = service.weight(&tracked.request.caller);
            service
                .queue
                .push(&tracked.request, tracked.start_by, weight);
        }
    }

    pub(super) fn handle_claim(
        &mut self,
        now: Instant,
        id: ids::Request,
        claim: ClaimResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        // A repeated verdict must not queue the request a second time.
        if tracked.status != Status::Claiming {
            return;
        }
        let service = tracked.request.service.clone();
        match claim {
            // The caller already received "not run" while the claim was pending, so free the key.
            ClaimResult::Won if tracked.is_finished => self.release_key(id, actions),
            ClaimResult::Won => {
                self.enqueue(id);
                self.dispatch(now, &service, actions);
                self.lend(now, actions);
            }
            ClaimResult::Lost => self.drop_unclaimed(id, Outcome::Unknown(Doubt::Claimed), actions),
            ClaimResult::Expired => {
                self.drop_unclaimed(id, Outcome::Unknown(Doubt::Expired), actions);
            }
            ClaimResult::Failed(refusal) => {
                self.drop_unclaimed(id, Outcome::NotRun(refusal), actions);
            }
            // The request was never sent and is dropped here, so a late verdict has no effect.
            ClaimResult::Undecided => {
                self.drop_unclaimed(id, Outcome::NotRun(Refusal::LogDown), actions);
            }
        }
    }

    fn drop_unclaimed(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        self.notify_caller(id, outcome, actions);
        self.requests.remove(&id);
    }

    pub(super) fn cancel(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        match &tracked.status {
            Status::Claiming => self.refuse(id, Refusal::Cancelled, actions),
            Status::Queued => {
                self.unqueue(id);
                self.refuse(id, Refusal::Cancelled, actions);
            }
            // The slot stays occupied until the exchange has ended on the backend server.
            Status::Sent(host) => {
                let host = host.clone();
                if !std::mem::replace(&mut tracked.is_finished, true) {
                    self.deadlines.remove(&(tracked.request.deadline, id));
                    actions.push(Action::Abandon { request: id, host });
                }
            }
        }
    }

    pub(super) fn unqueue(&mut self, id: ids::Request) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&tracked.request.service) {
            service.queue.remove(&tracked.request, tracked.start_by);
        }
    }
}
