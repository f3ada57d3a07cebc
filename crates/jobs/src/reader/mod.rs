//! Decoding of the entries of a partition, which any process may have written.

use std::fmt::Display;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use persimmongate_core::ids;
use persimmongate_core::journal::Record;
use persimmongate_wire::journal;
use slog::{Logger, warn};

use crate::platform::Entry;

/// Value of the label `list` for the records about jobs and hosts.
const LIST: &str = "jobs";

/// `Reader` decodes the entries of a shard's partition. It skips, logs and counts those that can't be
/// used.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    shard: ids::Shard,
    skipped: Counter<u64>,
    logger: Logger,
}

impl Reader {
    pub(crate) fn new(shard: ids::Shard, skipped: Counter<u64>, logger: Logger) -> Self {
        Self {
            shard,
            skipped,
            logger,
        }
    }

    /// Decodes an entry, or returns `None` if it was skipped.
    pub(crate) fn read(&self, entry: &Entry) -> Option<Record> {
        if entry.key.is_empty() {
            return None;
        }
        match journal::decode(&entry.key, entry.value.as_ref()) {
            Ok(Record::Heartbeat(heartbeat)) if !heartbeat.is_valid_at(entry.offset) => {
                self.skip(entry, &"no claim has this term");
                None
            }
            Ok(record) => Some(record),
            Err(error) => {
                self.skip(entry, &error);
                None
            }
        }
    }

    fn skip(&self, entry: &Entry, reason: &impl Display) {
        self.skipped.add(1, &[KeyValue::new("list", LIST)]);
        warn!(self.logger, "record skipped"; "shard" => self.shard, "offset" => entry.offset,
            "key" => %entry.key, "error" => %reason);
    }
}
