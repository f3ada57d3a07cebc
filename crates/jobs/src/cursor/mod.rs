//! Reading of a partition of the log, from its newest records on.

use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_node::clock;

use crate::platform::{Entry, Failure, Page, Platform, Topic};

/// Time before a read is tried again after the log failed.
const RETRY: Duration = Duration::from_millis(200);

/// `Batch` is what one read of a partition brought.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Time at which the read was sent.
    pub sent_at: Instant,
    /// Offset that the next record gets.
    pub end_offset: ids::Offset,
    /// Whether the records are the newest of each key, in place of all that was read before.
    pub is_snapshot: bool,
    /// Records in the order of the log.
    pub records: Vec<Entry>,
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
    pub fn with_wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// Reads on; gets nothing when the log did not answer.
    pub async fn read<P: Platform>(mut self, platform: P) -> (Self, Result<Batch, Failure>) {
        let sent_at = clock::now();
        let read = match self.next {
            Some(next) => platform.read(self.topic, next, self.wait).await,
            None => platform.read_newest(self.topic).await,
        };
        match read {
            Ok(Page {
                end_offset,
                records,
            }) => {
                let is_snapshot = self.next.is_none();
                let next = if is_snapshot {
                    end_offset
                } else {
                    records
                        .last()
                        .map_or(self.next.unwrap_or(end_offset), |entry| entry.offset + 1)
                };
                self.next = Some(next);
                let batch = Batch {
                    sent_at,
                    end_offset: if is_snapshot {
                        end_offset
                    } else {
                        end_offset.max(next)
                    },
                    is_snapshot,
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
    pub fn has_reached(&self, end: ids::Offset) -> bool {
        self.next.is_some_and(|next| next >= end)
    }
}
