//! Reading of a partition of the log, starting from the newest record of each key.

use std::time::{Duration, Instant};

use persimmongate_core::ids;
use persimmongate_node::clock;

use crate::platform::{Entry, Failure, Page, Partition, Platform};

/// Pause before a read is retried after a failure of the log.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// `Batch` is the result of one read of a partition.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Time at which the read request was sent.
    pub sent_at: Instant,
    /// Offset of the end of the partition, which the next record gets.
    pub end_offset: ids::Offset,
    /// Whether the records are the newest of each key, which replace everything read before.
    pub is_snapshot: bool,
    /// Entries in the order of the log.
    pub records: Vec<Entry>,
}

/// `Cursor` is the position up to which a partition was read.
#[derive(Clone, Copy, Debug)]
pub struct Cursor {
    partition: Partition,
    next_offset: Option<ids::Offset>,
    wait: Duration,
}

impl Cursor {
    /// Creates a cursor whose first read returns the newest record of each key.
    #[must_use]
    pub fn new(partition: Partition, wait: Duration) -> Self {
        Self {
            partition,
            next_offset: None,
            wait,
        }
    }

    /// Sets how long the next read waits for a record.
    #[must_use]
    pub fn with_wait(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// Checks if the next read returns the newest record of each key.
    #[must_use]
    pub fn is_at_start(&self) -> bool {
        self.next_offset.is_none()
    }

    /// Reads the next batch and returns it with the advanced cursor.
    ///
    /// # Errors
    ///
    /// The result is an error if the log did not answer, after a pause, or if the records are expired: then
    /// the next read starts again from the newest record of each key.
    pub async fn read<P: Platform>(mut self, platform: P) -> (Self, Result<Batch, Failure>) {
        let sent_at = clock::now();
        let outcome = match self.next_offset {
            Some(next) => platform.read(self.partition, next, self.wait).await,
            None => platform.read_newest(self.partition).await,
        };
        match outcome {
            Ok(Page {
                end_offset,
                records,
            }) => {
                let is_snapshot = self.next_offset.is_none();
                let next = if is_snapshot {
                    end_offset
                } else {
                    records
                        .last()
                        .map_or(self.next_offset.unwrap_or(end_offset), |entry| {
                            entry.offset + 1
                        })
                };
                self.next_offset = Some(next);
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
                    self.next_offset = None;
                } else {
                    actix_rt::time::sleep(RETRY_DELAY).await;
                }
                (self, Err(failure))
            }
        }
    }

    /// Checks if all records before an end offset were read.
    #[must_use]
    pub fn has_reached(&self, end_offset: ids::Offset) -> bool {
        self.next_offset.is_some_and(|next| next >= end_offset)
    }
}
