//! Header and steps of a trace.

use std::time::{Duration, Instant};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::request::{self, Repeatability, Urgency};
use crate::{fleet, gate, ids};

/// `Header` is the first item of a trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// Version of the trace format.
    pub version: u16,
    /// State machine that was recorded.
    pub source: Source,
}

/// `Source` is the recorded state machine with its initial configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Source {
    /// A fleet manager.
    Fleet {
        /// Name of the process.
        instance: ids::Instance,
        /// Options that it was created with.
        options: fleet::Options,
    },
    /// A gate.
    Gate {
        /// Options that it was created with.
        options: gate::Options,
        /// Seed of its random numbers.
        seed: u64,
    },
}

/// `Step` is one event with the resulting actions.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Step {
    /// Nanoseconds since the start of the trace.
    #[serde(rename = "at")]
    pub at_ns: u64,
    /// Event that occurred.
    pub event: Event,
    /// Actions that the state machine returned.
    pub actions: Vec<Action>,
}

/// `Event` is an event of either state machine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A request arrived at a gate.
    Arrive(Request),
    /// Any other event of a gate.
    Gate(gate::Event),
    /// An event of a fleet manager.
    Fleet(fleet::Event),
}

/// `Action` is an action of either state machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Action {
    /// An action of a gate.
    Gate(gate::Action),
    /// An action of a fleet manager.
    Fleet(fleet::Action),
}

/// `Request` is a request whose deadline is relative to the start of the trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    id: ids::Request,
    service: ids::Service,
    caller: ids::Caller,
    urgency: Urgency,
    #[serde(rename = "kind")]
    repeatability: Repeatability,
    /// Nanoseconds since the start of the trace.
    #[serde(rename = "deadline")]
    deadline_ns: u64,
    path: Bytes,
    body: Bytes,
}

impl Event {
    /// Converts an event of a gate to an event of a trace that starts at `start`.
    #[must_use]
    pub fn from_gate(start: Instant, event: &gate::Event) -> Self {
        match event {
            gate::Event::Arrive(request) => Self::Arrive(Request {
                id: request.id,
                service: request.service.clone(),
                caller: request.caller.clone(),
                urgency: request.urgency,
                repeatability: request.repeatability,
                deadline_ns: nanos_since(start, request.deadline),
                path: request.path.clone(),
                body: request.body.clone(),
            }),
            event => Self::Gate(event.clone()),
        }
    }
}

impl Request {
    /// Converts the request to one of the gate; `start` is the time at which the trace starts.
    pub(super) fn into_request(self, start: Instant) -> request::Request {
        request::Request {
            id: self.id,
            service: self.service,
            caller: self.caller,
            urgency: self.urgency,
            repeatability: self.repeatability,
            deadline: instant(start, self.deadline_ns),
            path: self.path,
            body: self.body,
        }
    }
}

impl Step {
    /// Creates a step for an event at `now` with its actions.
    #[must_use]
    pub fn new(start: Instant, now: Instant, event: Event, actions: Vec<Action>) -> Self {
        Self {
            at_ns: nanos_since(start, now),
            event,
            actions,
        }
    }
}

fn nanos_since(start: Instant, at: Instant) -> u64 {
    let offset = at.saturating_duration_since(start).as_nanos();
    u64::try_from(offset).unwrap_or(u64::MAX)
}

/// Converts a trace time to a clock time; a time that the clock can't represent becomes `start`.
pub(super) fn instant(start: Instant, nanos: u64) -> Instant {
    let at = start.checked_add(Duration::from_nanos(nanos));
    at.unwrap_or(start)
}
