//! Ends of requests.

use std::time::Instant;

use super::track::Place;
use super::{Action, Gate};
use crate::ids;
use crate::outcome::{Doubt, Outcome, Refusal};
use crate::record::End;
use crate::request::Kind;

impl Gate {
    /// Tells the caller an outcome, once.
    pub(super) fn tell(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if !std::mem::replace(&mut track.finished, true) {
            self.deadlines.remove(&(track.request.deadline, id));
            actions.push(Action::Finish {
                request: id,
                outcome,
            });
        }
    }

    /// Drops a request that never ran and frees its key.
    pub(super) fn release(&mut self, id: ids::Request, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        if let Kind::Once(key) = track.request.kind {
            actions.push(Action::End {
                key,
                end: End::NotRun,
            });
        }
    }

    /// Ends a request that is not sent again; an earlier send may have run it.
    pub(super) fn refuse(&mut self, id: ids::Request, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get(&id) else {
            return;
        };
        if track.place == Place::Claiming {
            // The key is freed once its claim is decided.
            self.tell(id, Outcome::NotRun(refusal), actions);
            return;
        }
        self.finish(id, Outcome::NotRun(refusal), actions);
    }

    /// Ends a request; not run is said only when no send left it open whether it ran.
    pub(super) fn finish(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get(&id) else {
            return;
        };
        let outcome = match (outcome, track.doubt) {
            (Outcome::NotRun(_), Some(doubt)) => Outcome::Unknown(doubt),
            (outcome, _) => outcome,
        };
        if let Kind::Once(key) = track.request.kind {
            let end = match outcome {
                Outcome::Answered(_) => End::Answered,
                Outcome::NotRun(_) => End::NotRun,
                Outcome::Unknown(_) => End::Unknown,
            };
            actions.push(Action::End { key, end });
        }
        self.tell(id, outcome, actions);
        self.tracks.remove(&id);
    }

    /// Tells callers whose deadline has passed; what runs keeps its slot until it truly ends.
    pub(super) fn time_out(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            self.deadlines.pop_first();
            let Some(track) = self.tracks.get(&id) else {
                continue;
            };
            match track.place.clone() {
                Place::Claiming => self.refuse(id, Refusal::Deadline, actions),
                Place::Queued => {
                    self.unqueue(id);
                    self.refuse(id, Refusal::Deadline, actions);
                }
                Place::Sent(host) => {
                    self.tell(id, Outcome::Unknown(Doubt::Timeout), actions);
                    actions.push(Action::Abandon { request: id, host });
                }
            }
        }
    }

    /// Refuses queued requests that can no longer start in time.
    pub(super) fn refuse_late(
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
