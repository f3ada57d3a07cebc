//! Ends of requests.

use std::time::Instant;

use super::track::Place;
use super::{Action, Gate};
use crate::ids;
use crate::outcome::{Outcome, Refusal};
use crate::record::End;
use crate::request::Kind;

impl Gate {
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

    /// Tells the caller of a request that never ran; its key is freed.
    pub(super) fn refuse(&mut self, id: ids::Request, refusal: Refusal, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.get_mut(&id) else {
            return;
        };
        if !track.finished {
            track.finished = true;
            actions.push(Action::Finish {
                request: id,
                outcome: Outcome::NotRun(refusal),
            });
        }
        if track.place != Place::Claiming {
            self.release(id, actions);
        }
    }

    /// Tells the caller of a request that ran or may have run.
    pub(super) fn finish(&mut self, id: ids::Request, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(track) = self.tracks.remove(&id) else {
            return;
        };
        if let Kind::Once(key) = track.request.kind {
            let end = match outcome {
                Outcome::Answered(_) => End::Answered,
                Outcome::NotRun(_) => End::NotRun,
                Outcome::Unknown(_) => End::Unknown,
            };
            actions.push(Action::End { key, end });
        }
        if !track.finished {
            actions.push(Action::Finish {
                request: id,
                outcome,
            });
        }
    }

    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let names: Vec<ids::Service> = self.services.keys().cloned().collect();
        for name in &names {
            self.refuse_late(now, name, actions);
            self.dispatch(now, name, actions);
        }
        let late: Vec<ids::Request> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.place == Place::Claiming && !track.finished)
            .filter(|(_, track)| track.request.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.refuse(id, Refusal::Deadline, actions);
        }
    }

    pub(super) fn refuse_late(
        &mut self,
        now: Instant,
        name: &ids::Service,
        actions: &mut Vec<Action>,
    ) {
        while let Some(service) = self.services.get_mut(name) {
            let Some(id) = service.queue.late(now) else {
                return;
            };
            let Some(track) = self.tracks.get(&id) else {
                return;
            };
            service.queue.remove(&track.request);
            self.refuse(id, Refusal::Deadline, actions);
        }
    }
}
