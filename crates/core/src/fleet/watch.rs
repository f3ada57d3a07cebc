//! Watches: what is known about a host under observation, and the calls about it.

use std::time::Instant;

use super::{Action, Call, Health, Manager, Status};
use crate::ids;
use crate::map::Map;
use crate::state::{Host, Stage};

/// `Watch` is what is known about a host at one revision. Each revision gets a new watch, so that answers
/// and reports about an earlier state are ignored.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    /// Revision of the host.
    pub(crate) revision: ids::Revision,
    /// Time at which this process read the revision, or first queried the status of a host that serves.
    pub(crate) started_at: Instant,
    /// Requests in flight that each entry host last reported.
    pub(crate) in_flight: Map<ids::Instance, u32>,
    /// Status that the platform last returned.
    pub(crate) status: Option<Status>,
    /// Number of answers with this status in a row.
    pub(crate) answer_count: u32,
    /// Whether the drain is being canceled.
    pub(crate) is_canceled: bool,
    /// Token and time of the last call.
    last_call: Option<(u64, Instant)>,
}

impl Watch {
    pub(crate) fn new(revision: ids::Revision, now: Instant) -> Self {
        Self {
            revision,
            started_at: now,
            in_flight: Map::default(),
            status: None,
            answer_count: 0,
            is_canceled: false,
            last_call: None,
        }
    }

    /// Returns the generation of the host if enough equal answers confirm that it serves.
    pub(crate) fn confirmed_serving(&self, required_answers: u32) -> Option<ids::Generation> {
        let status = self.status?;
        (status.health == Health::Serving && self.answer_count >= required_answers)
            .then_some(status.generation)
    }

    /// Discards the status and ignores the answer to a call in flight.
    pub(crate) fn reset_status(&mut self) {
        self.status = None;
        self.answer_count = 0;
        self.last_call = None;
    }

    fn record_status(&mut self, status: Option<Status>) {
        if status.is_some() && status == self.status {
            self.answer_count += 1;
        } else if status.is_some() {
            self.status = status;
            self.answer_count = 1;
        }
    }
}

impl Manager {
    /// Starts a watch for a host that left service, and ends that of a host that returned to it.
    pub(crate) fn update_watch(&mut self, now: Instant, name: &ids::Host, host: &Host) {
        let known = self.watches.get(name);
        if known.is_some_and(|watch| watch.revision == host.revision) {
            return;
        }
        if host.is_serving() {
            self.watches.remove(name);
        } else {
            let watch = Watch::new(host.revision, now);
            self.watches.insert(name.clone(), watch);
        }
    }

    /// Handles a report of an entry host; those about an earlier drain are ignored.
    pub(crate) fn handle_drain_report(
        &mut self,
        instance: ids::Instance,
        name: &ids::Host,
        drain_offset: ids::Offset,
        in_flight: u32,
    ) {
        let is_same_drain = self.view.hosts.get(name).is_some_and(
            |host| matches!(host.stage, Stage::Draining { since, .. } if since == drain_offset),
        );
        if is_same_drain && let Some(watch) = self.watches.get_mut(name) {
            watch.in_flight.insert(instance, in_flight);
        }
    }

    /// Calls the platform about a host, unless the last call is in flight or was made within the poll
    /// interval.
    pub(crate) fn call_platform(
        &mut self,
        now: Instant,
        name: &ids::Host,
        call: Call,
        actions: &mut Vec<Action>,
    ) {
        let Some(host) = self.view.hosts.get(name) else {
            return;
        };
        let (revision, generation) = (host.revision, host.generation);
        let watch = self
            .watches
            .entry(name.clone())
            .or_insert_with(|| Watch::new(revision, now));
        if let Some((token, called_at)) = watch.last_call {
            // A new call would make the answer to this one ignored, so that slow answers would never count.
            let is_in_flight = self.pending_calls.contains_key(&token);
            let delay = if is_in_flight {
                self.options.call_timeout
            } else {
                self.options.poll_interval
            };
            if now.saturating_duration_since(called_at) < delay {
                return;
            }
        }
        self.last_token += 1;
        if let Some((token, _)) = watch.last_call.replace((self.last_token, now)) {
            self.pending_calls.remove(&token);
        }
        self.pending_calls.insert(self.last_token, name.clone());
        actions.push(Action::Call {
            token: self.last_token,
            host: name.clone(),
            generation,
            call,
        });
    }

    /// Handles the answer to a call; only the last call at the current revision counts.
    pub(crate) fn handle_call_answer(&mut self, token: u64, status: Option<Status>) {
        let Some(name) = self.pending_calls.remove(&token) else {
            return;
        };
        let (Some(watch), Some(host)) = (self.watches.get_mut(&name), self.view.hosts.get(&name))
        else {
            return;
        };
        let is_last_call = watch
            .last_call
            .is_some_and(|(last_token, _)| last_token == token);
        let is_known_generation = status.is_none_or(|status| status.generation >= host.generation);
        if is_last_call && is_known_generation && watch.revision == host.revision {
            watch.record_status(status);
        }
    }
}
