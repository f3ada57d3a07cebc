//! Messages under way.

use std::collections::BTreeMap;

use persimmongate_core::fleet::{self, Call};
use persimmongate_core::{gate, ids};

use super::platform::Job;

/// `Message` is something that arrives later.
#[derive(Debug)]
pub(crate) enum Message {
    /// A call of a fleet instance to the platform.
    Call {
        fleet: Place,
        token: u64,
        host: ids::Host,
        generation: ids::Generation,
        call: Call,
    },
    /// The end of an exchange of an entry host, which counts once.
    Exchange {
        entry: Place,
        exchange: u64,
        event: gate::Event,
    },
    /// An event for a fleet instance.
    Fleet(Place, fleet::Event),
    /// A request of an entry host to a worker.
    Job(ids::Host, Job),
    /// A host comes back after a failure.
    Revive(ids::Host),
    /// A caller tries again.
    Retry(super::caller::Call),
}

/// `Place` is one run of a process; what is meant for an earlier run is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Place {
    pub(crate) index: usize,
    pub(crate) run: u64,
}

impl Place {
    /// Gets the name of the process; a process that replaces another has a name of its own.
    pub(crate) fn instance(self, role: &str) -> ids::Instance {
        format!("{role}-{}-{}", self.index, self.run).into()
    }
}

/// `Network` holds messages until their time.
#[derive(Debug, Default)]
pub(crate) struct Network {
    under_way: BTreeMap<(u64, u64), Message>,
    sent: u64,
}

impl Network {
    /// Sends a message that arrives at a step.
    pub(crate) fn send(&mut self, at: u64, message: Message) {
        self.sent += 1;
        self.under_way.insert((at, self.sent), message);
    }

    /// Takes the next message that has arrived.
    pub(crate) fn take(&mut self, step: u64) -> Option<Message> {
        let first = self.under_way.first_entry()?;
        (first.key().0 <= step).then(|| first.remove())
    }
}
