//! Reading of a partition of the log, from its newest records on.

use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_node::clock;

use crate::platform::{Failure, Page, Platform, Raw, Topic};

/// Time before a read is tried again after the log failed.
const RETRY: Duration = Duration::from_millis(200);

/// `Batch` is what one read of a partition brought.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Time at which the read was sent.
    pub sent: Instant,
    /// Offset that the next record gets.
    pub end: ids::Offset,
    /// Whether the records are the newest of each key, in place of all that was read before.
    pub reset: bool,
    /// Records in the order of the log.
    pub records: Vec<Raw>,
}

/// `Cursor` is how far a partition was read.
#[derive(Clone, Copy, Debug)]
pub struct Cursor {
    topic: Topic,
    next: Option<ids::Offset>,
    wait: Duration,
}

impl Cursor {
    /// Makes a cursor that starts from the newest record of each key.
    #[must_use]
    pub fn new(topic: Topic, wait: Duration) -> Self {
        Self {
            topic,
            next: None,
            wait,
        }
    }

    /// Sets how long the next read waits for a record.
    #[must_use]
    pub fn within(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// Reads on; gets nothing when the log did not answer.
    pub async fn read<P: Platform>(mut self, platform: P) -> (Self, Result<Batch, Failure>) {
        let sent = clock::now();
        let read = match self.next {
            Some(next) => platform.read(self.topic, next, self.wait).await,
            None => platform.newest(self.topic).await,
        };
        match read {
            Ok(Page { end, records }) => {
                let reset = self.next.is_none();
                let next = if reset {
                    end
                } else {
                    records
                        .last()
                        .map_or(self.next.unwrap_or(end), |raw| raw.offset + 1)
                };
                self.next = Some(next);
                let batch = Batch {
                    sent,
                    end: if reset { end } else { end.max(next) },
                    reset,
                    records,
                };
                (self, Ok(batch))
            }
            Err(failure) => {
                if failure == Failure::Expired {
                    self.next = None;
                } else {
                    actix_rt::time::sleep(RETRY).await;
                }
                (self, Err(failure))
            }
        }
    }

    /// Checks if all records up to an end were read.
    #[must_use]
    pub fn is_at(&self, end: ids::Offset) -> bool {
        self.next.is_some_and(|next| next >= end)
    }
}
