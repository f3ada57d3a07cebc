//! Messages in flight between the simulated processes.

use std::collections::BTreeMap;

use persimmongate_core::fleet::{self, Call};
use persimmongate_core::{gate, ids};

use super::platform::Job;

/// `Message` is an event that is delivered at a later step.
#[derive(Debug)]
pub(crate) enum Message {
    /// A call from a fleet instance to the platform.
    Call {
        fleet: Process,
        token: u64,
        host: ids::Host,
        generation: ids::Generation,
        call: Call,
    },
    /// The end of an exchange of an entry host; only the first one for an exchange counts.
    Exchange {
        entry: Process,
        exchange: u64,
        event: gate::Event,
    },
    /// An event for a fleet instance.
    Fleet(Process, fleet::Event),
    /// A request that an entry host sends to a worker.
    Job(ids::Host, Job),
    /// A host recovers from a failure.
    Revive(ids::Host),
    /// A caller retries its request.
    Retry(super::caller::Call),
}

/// `Process` identifies one start of a process; messages for an earlier start are dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Process {
    pub(crate) index: usize,
    /// Number of starts of the process with this index, the present one included.
    pub(crate) start_count: u64,
}

impl Process {
    /// Gets the instance name, which differs from that of every earlier start.
    pub(crate) fn instance(self, role: &str) -> ids::Instance {
        format!("{role}-{}-{}", self.index, self.start_count).into()
    }
}

/// `Network` holds messages until the step of their delivery.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Messages by the step of their delivery and the order in which they were sent.
    in_flight: BTreeMap<(u64, u64), Message>,
    sent_count: u64,
}

impl Network {
    /// Sends a message that is delivered at a step.
    pub(crate) fn send(&mut self, delivery_step: u64, message: Message) {
        self.sent_count += 1;
        self.in_flight
            .insert((delivery_step, self.sent_count), message);
    }

    /// Removes and returns the next message that is due at a step.
    pub(crate) fn pop_due(&mut self, step: u64) -> Option<Message> {
        let first = self.in_flight.first_entry()?;
        (first.key().0 <= step).then(|| first.remove())
    }
}
