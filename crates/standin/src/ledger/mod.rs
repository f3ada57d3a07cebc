//! What ran, to check what callers were told.

use actix::{Actor, Context, Handler, Message, MessageResult};
use persimmongate_core::map::Map;
use serde::{Deserialize, Serialize};

/// `Ledger` counts the runs of each request.
#[derive(Debug, Default)]
pub struct Ledger {
    book: Book,
}

/// `Book` is what the ledger knows.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Book {
    /// Runs by the nonce in the request's body.
    pub runs: Map<String, u32>,
    /// Requests cut by a stop.
    pub cut: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Most requests that any worker had in flight.
    pub peak: u32,
}

impl Actor for Ledger {
    type Context = Context<Self>;
}

/// `Entry` is one event at a worker.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub enum Entry {
    /// Requests were cut by a stop.
    Cut(u64),
    /// A request was refused before running.
    Refused,
    /// A request began to run.
    Ran {
        /// Nonce in its body.
        nonce: String,
        /// Requests that the worker had in flight, with this one.
        in_flight: u32,
    },
}

impl Handler<Entry> for Ledger {
    type Result = ();

    fn handle(&mut self, entry: Entry, _: &mut Self::Context) {
        match entry {
            Entry::Cut(count) => self.book.cut += count,
            Entry::Refused => self.book.refused += 1,
            Entry::Ran { nonce, in_flight } => {
                *self.book.runs.entry(nonce).or_default() += 1;
                self.book.peak = self.book.peak.max(in_flight);
            }
        }
    }
}

/// `Read` gets what the ledger knows.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Book")]
pub struct Read;

impl Handler<Read> for Ledger {
    type Result = MessageResult<Read>;

    fn handle(&mut self, _: Read, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.book.clone())
    }
}
