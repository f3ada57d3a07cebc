//! Counts of the requests that ran, compared with the outcomes that callers received.

use actix::{Actor, Context, Handler, Message, MessageResult};
use persimmongate_core::map::Map;
use serde::{Deserialize, Serialize};

/// `Counter` counts the runs of each request.
#[derive(Debug, Default)]
pub struct Counter {
    counts: Counts,
}

/// `Counts` is the runs, refusals and interruptions counted so far.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Number of runs, keyed by the nonce in the request body.
    pub runs: Map<String, u32>,
    /// Requests that were in flight when their worker rebooted.
    #[serde(rename = "cut")]
    pub interrupted: u64,
    /// Requests rejected before they ran.
    pub refused: u64,
    /// Largest number of requests that any worker had in flight at once.
    #[serde(rename = "peak")]
    pub max_in_flight: u32,
}

impl Actor for Counter {
    type Context = Context<Self>;
}

/// `Event` is one event at a worker.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Event {
    /// A reboot interrupted this many requests.
    Interrupted(u64),
    /// A request was rejected before it ran.
    Refused,
    /// A request started to run.
    Started {
        /// Nonce in the request body.
        nonce: String,
        /// Requests in flight at the worker, including this one.
        in_flight: u32,
    },
}

impl Handler<Event> for Counter {
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

/// `GetCounts` is a query for the current counts.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Counts")]
pub struct GetCounts;

impl Handler<GetCounts> for Counter {
    type Result = MessageResult<GetCounts>;

    fn handle(&mut self, _: GetCounts, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.counts.clone())
    }
}
