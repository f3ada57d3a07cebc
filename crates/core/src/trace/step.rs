//! Contents of a trace.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::request::{self, Kind, Urgency};
use crate::{fleet, gate, ids};

/// `Header` is the first item of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// Version of the trace.
    pub version: u16,
    /// Decision that was recorded.
    pub source: Source,
}

/// `Source` is a decision with what it was made from.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Source {
    /// A manager.
    Fleet {
        /// Name of the process.
        instance: ids::Instance,
        /// Policy.
        options: fleet::Options,
    },
    /// A gate.
    Gate {
        /// Policy.
        options: gate::Options,
        /// Seed of its random numbers.
        seed: u64,
    },
}

/// `Step` is one event with the actions that followed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Step {
    /// Nanoseconds after the start of the trace.
    #[serde(rename = "at")]
    pub at_ns: u64,
    /// What happened.
    pub event: Event,
    /// What the decision returned.
    pub actions: Vec<Action>,
}

/// `Event` is an event of either decision.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A request arrived at a gate.
    Arrive(Request),
    /// Something else happened to a gate.
    Gate(gate::Event),
    /// Something happened to a manager.
    Fleet(fleet::Event),
}

/// `Action` is an action of either decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// A gate wants something done.
    Gate(gate::Action),
    /// A manager wants something done.
    Fleet(fleet::Action),
}

/// `Request` is a request whose deadline does not depend on a clock.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    id: ids::Request,
    service: ids::Service,
    caller: ids::Caller,
    urgency: Urgency,
    kind: Kind,
    /// Nanoseconds after the start of the trace.
    #[serde(rename = "deadline")]
    deadline_ns: u64,
    path: Bytes,
    body: Bytes,
}

impl Event {
    /// Makes the event for an event of a gate.
    #[must_use]
    pub fn from_gate(start: Instant, event: &gate::Event) -> Self {
        match event {
            gate::Event::Arrive(request) => Self::Arrive(Request {
                id: request.id,
                service: request.service.clone(),
                caller: request.caller.clone(),
                urgency: request.urgency,
                kind: request.kind,
                deadline_ns: nanos(start, request.deadline),
                path: request.path.clone(),
                body: request.body.clone(),
            }),
            event => Self::Gate(event.clone()),
        }
    }
}

impl Request {
    /// Gets the request with its deadline by a clock.
    pub(super) fn at(self, start: Instant) -> request::Request {
        request::Request {
            id: self.id,
            service: self.service,
            caller: self.caller,
            urgency: self.urgency,
            kind: self.kind,
            deadline: instant(start, self.deadline_ns),
            path: self.path,
            body: self.body,
        }
    }
}

impl Step {
    /// Makes a step from an event at a time and its actions.
    #[must_use]
    pub fn new(start: Instant, now: Instant, event: Event, actions: Vec<Action>) -> Self {
        Self {
            at_ns: nanos(start, now),
            event,
            actions,
        }
    }
}

fn nanos(start: Instant, at: Instant) -> u64 {
    let offset = at.saturating_duration_since(start).as_nanos();
    u64::try_from(offset).unwrap_or(u64::MAX)
}

/// Gets a time by a clock; a time that the clock can't hold becomes the start.
pub(super) fn instant(start: Instant, nanos: u64) -> Instant {
    let at = start.checked_add(Duration::from_nanos(nanos));
    at.unwrap_or(start)
}
