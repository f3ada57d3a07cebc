//! Completion of requests: outcomes, deadlines and the release of idempotency keys.

use std::time::Instant;

use super::track::Status;
use super::{Action, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::record::Completion;
use crate::request::Repeatability;

impl Gate {
    /// Sends the outcome to the caller unless the request is finished already.
    pub(super) fn notify_caller(
        &mut self,
        id: ids::Request,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut tracked.is_finished, true) {
            self.deadlines.remove(&(tracked.request.deadline, id));
            actions.push(Action::Finish {
                request: id,
                outcome,
            });
        }
    }

    /// Drops a request that never ran and frees its idempotency key.
    pub(super) fn release_key(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.remove(&id) else {
            return;
        };
        if let Repeatability::Once(key) = tracked.request.repeatability {
            actions.push(Action::ReportKeyOutcome {
                key,
                outcome: Completion::NotRun,
            });
        }
    }

    /// Ends a request that will not be sent again; an earlier send may still have run it.
    pub(super) fn refuse(&mut self, id: ids::Request, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if tracked.status == Status::Claiming {
            // The key is freed when the verdict on its claim arrives.
            self.notify_caller(id, Outcome::NotRun(refusal), actions);
            return;
        }
        self.finish(id, Outcome::NotRun(refusal), actions);
    }

    /// Ends a request; it is reported as not run only if no earlier send may have run it.
    pub(super) fn finish(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let outcome = match (outcome, tracked.doubt) {
            (Outcome::NotRun(_), Some(doubt)) => Outcome::Unknown(doubt),
            (outcome, _) => outcome,
        };
        if let Repeatability::Once(key) = tracked.request.repeatability {
            let key_outcome = match outcome {
                Outcome::Answered(_) => Completion::Answered,
                Outcome::NotRun(_) => Completion::NotRun,
                Outcome::Unknown(_) => Completion::Unknown,
            };
            actions.push(Action::ReportKeyOutcome {
                key,
                outcome: key_outcome,
            });
        }
        self.notify_caller(id, outcome, actions);
        self.requests.remove(&id);
    }

    /// Answers callers whose deadline has passed. A request in flight keeps its slot until its
    /// exchange ends.
    pub(super) fn expire_deadlines(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(tracked) = self.requests.get(&id) else {
                continue;
            };
            match tracked.status.clone() {
                Status::Claiming => self.refuse(id, Refusal::Deadline, actions),
                Status::Queued => {
                    self.unqueue(id);
                    self.refuse(id, Refusal::Deadline, actions);
                }
                Status::Sent(host) => {
                    self.notify_caller(id, Outcome::Unknown(Doubt::Timeout), actions);
                    actions.push(Action::Abandon { request: id, host });
                }
            }
        }
    }

    /// Refuses queued requests that can no longer start in time.
    pub(super) fn refuse_expired(
        &mut self,
        now: Instant,
        name: &ids::Service,
        actions: &mut Vec<Action>,
    ) {
        while let Some(id) = self
            .services
            .get(name)
            .and_then(|it| it.queue.first_expired(now))
        {
            self.unqueue(id);
            self.refuse(id, Refusal::Deadline, actions);
        }
    }
}
