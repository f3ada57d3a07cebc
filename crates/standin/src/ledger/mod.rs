//! What ran, to check what callers were told.

use actix::{Actor, Context, Handler, Message, MessageResult};
use persimmongate_core::map::Map;
use serde::{Deserialize, Serialize};

/// `Ledger` counts the runs of each request.
#[derive(Debug, Default)]
pub struct Ledger {
    counts: Counts,
}

/// `Counts` is what the ledger knows.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Runs by the nonce in the request's body.
    pub runs: Map<String, u32>,
    /// Requests cut by a stop.
    #[serde(rename = "cut")]
    pub interrupted: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Most requests that any worker had in flight.
    #[serde(rename = "peak")]
    pub max_in_flight: u32,
}

impl Actor for Ledger {
    type Context = Context<Self>;
}

/// `Event` is one event at a worker.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Event {
    /// Requests were cut by a stop.
    Interrupted(u64),
    /// A request was refused before running.
    Refused,
    /// A request began to run.
    Started {
        /// Nonce in its body.
        nonce: String,
        /// Requests that the worker had in flight, with this one.
        in_flight: u32,
    },
}

impl Handler<Event> for Ledger {
    type Result = ();

    fn handle(&mut self, event: Event, _: &mut Self::Context) {
        match event {
            Event::Interrupted(count) => self.counts.interrupted += count,
            Event::Refused => self.counts.refused += 1,
            Event::Started { nonce, in_flight } => {
                *self.counts.runs.entry(nonce).or_default() += 1;
                self.counts.max_in_flight = self.counts.max_in_flight.max(in_flight);
            }
        }
    }
}

/// `GetCounts` gets what the ledger knows.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Counts")]
pub struct GetCounts;

impl Handler<GetCounts> for Ledger {
    type Result = MessageResult<GetCounts>;

    fn handle(&mut self, _: GetCounts, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.counts.clone())
    }
}
