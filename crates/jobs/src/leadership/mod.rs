//! Parts shared by the leaders of a shard and of the fleet: claims of a partition, numbered appends and retries.

mod outbox;

pub(crate) use outbox::{Encoded, Outbox, Overflow};

use std::time::{Duration, Instant};

use bytes::Bytes;
use bytestring::ByteString;
use persimmongate_core::ids;
use persimmongate_core::journal::{Heartbeat, Limits, Record};
use persimmongate_core::term::Election;
use persimmongate_node::clock;
use persimmongate_wire::errors::Result as WireResult;
use persimmongate_wire::journal;
use slog::{Logger, error, info};

use crate::platform::{Append, Failure, Partition, Platform, Writer};

/// Pause before an append is retried after a failure of the log.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time limit of a leader's last append: less than the balancer needs to notice that the process shuts
/// down.
const RESIGN_TIMEOUT: Duration = Duration::from_secs(2);

/// Retries of an append that the log rejects because the preceding one is missing; after these, the
/// sequence of the writer counts as broken.
const MAX_OUT_OF_ORDER_RETRIES: u32 = 20;

/// Longest time that a read of a partition waits for a record.
pub(crate) const MAX_READ_WAIT: Duration = Duration::from_millis(500);
/// Shortest time that such a read waits: a candidate claims the partition no earlier than this.
const MIN_READ_WAIT: Duration = Duration::from_millis(10);

/// Returns how long a read of a partition may wait for a record. A candidate's read ends when it may claim
/// the partition.
pub(crate) fn read_wait(election: &Election) -> Duration {
    if election.has_pending_claim() {
        // The log answers as soon as it holds the claim.
        return MAX_READ_WAIT;
    }
    let wait = election
        .time_until_claim(clock::now())
        .unwrap_or(MAX_READ_WAIT);
    wait.clamp(MIN_READ_WAIT, MAX_READ_WAIT)
}

/// Returns the pause between two reads. A candidate's pause ends when it may claim the partition.
pub(crate) fn read_pause(election: &Election, default: Duration) -> Duration {
    let wait = election.time_until_claim(clock::now());
    wait.map_or(default, |wait| wait.min(default))
}

/// Encodes records as keys and values of log entries.
///
/// # Errors
///
/// Returns an error if a record can't be encoded.
fn encode(records: &[Record]) -> WireResult<Vec<(ByteString, Option<Bytes>)>> {
    let encode_entry =
        |record: &Record| Ok((journal::encode_key(&record.key()), journal::encode(record)?));
    records.iter().map(encode_entry).collect()
}

/// Returns the append if its records could be encoded, and logs the error otherwise.
pub(crate) fn encoded_or_logged(append: WireResult<Append>, logger: &Logger) -> Option<Append> {
    append
        .inspect_err(
            |error| error!(logger, "cannot encode records; nothing is appended"; "error" => %error),
        )
        .ok()
}

/// Creates an append that is bound to no term and no end offset, so that any process may send it.
///
/// # Errors
///
/// Returns an error if a record can't be encoded.
pub(crate) fn unconditional_append(partition: Partition, records: &[Record]) -> WireResult<Append> {
    Ok(Append {
        partition,
        records: encode(records)?,
        expected_end: None,
        writer: None,
    })
}

/// Returns the size of a record with its key and the length of the key, in bytes.
fn record_size((key, value): &(ByteString, Option<Bytes>)) -> usize {
    1 + key.len() + value.as_ref().map_or(0, Bytes::len)
}

/// Checks if the log can store each record of an append.
pub(crate) fn is_storable(append: &Append, limits: &Limits) -> bool {
    let mut records = append.records.iter();
    records.all(|record| record_size(record) <= limits.record_bytes)
}

/// Leaves out the records of an append that the log can't store, and logs them.
pub(crate) fn remove_unstorable(append: &mut Append, limits: &Limits, logger: &Logger) {
    append.records.retain(|record| {
        let (size, limit) = (record_size(record), limits.record_bytes);
        if size > limit {
            error!(logger, "record too large for the log"; "key" => %record.0, "bytes" => size,
                "limit" => limit, "replaced" => false);
        }
        size <= limit
    });
}

/// `Sequencer` numbers the appends that a leader makes in one term.
#[derive(Debug)]
pub(crate) struct Sequencer {
    partition: Partition,
    term: ids::Term,
    /// Number of the latest append; the claim has number 0.
    sequence: u64,
}

impl Sequencer {
    /// Creates the sequencer of a leader that has just claimed a partition.
    pub(crate) fn new(partition: Partition, term: ids::Term) -> Self {
        Self {
            partition,
            term,
            sequence: 0,
        }
    }

    /// Creates the leader's next append, of records that are encoded.
    pub(crate) fn append_encoded(&mut self, records: &[Encoded]) -> Append {
        self.sequence += 1;
        Append {
            partition: self.partition,
            records: records.iter().map(Encoded::entry).collect(),
            expected_end: None,
            writer: Some(Writer {
                term: self.term,
                sequence: self.sequence,
            }),
        }
    }

    /// Gives the number of an append that the log refused to the next one. Returns false if a later append was made
    /// meanwhile.
    pub(crate) fn retract(&mut self, writer: Writer) -> bool {
        let is_latest = writer.term == self.term && writer.sequence == self.sequence;
        self.sequence -= u64::from(is_latest);
        is_latest
    }

    /// Creates the leader's next append.
    ///
    /// # Errors
    ///
    /// Returns an error if a record can't be encoded; the number is then used for the next append.
    pub(crate) fn append(&mut self, records: &[Record]) -> WireResult<Append> {
        let append = unconditional_append(self.partition, records)?;
        self.sequence += 1;
        Ok(Append {
            writer: Some(Writer {
                term: self.term,
                sequence: self.sequence,
            }),
            ..append
        })
    }
}

/// Creates the record by which a leader announces that it is going to resign.
pub(crate) fn resignation_notice(term: ids::Term, node: ids::Instance) -> Record {
    Record::Heartbeat(Heartbeat {
        term,
        node,
        is_resigning: true,
        ..Heartbeat::default()
    })
}

/// Creates the record by which a leader resigns: it sends no command after it.
pub(crate) fn resignation(term: ids::Term, node: ids::Instance) -> Record {
    Record::Heartbeat(Heartbeat {
        term,
        node,
        has_resigned: true,
        ..Heartbeat::default()
    })
}

/// Appends the last records of a leader, if this process was one.
pub(crate) async fn resign<P: Platform>(platform: P, append: Option<Append>, logger: Logger) {
    let Some(append) = append else {
        return;
    };
    let last = append_with_retry(platform, append, Some(clock::now() + RESIGN_TIMEOUT));
    let outcome = actix_rt::time::timeout(RESIGN_TIMEOUT, last).await;
    info!(logger, "leadership resigned"; "outcome" => ?outcome);
}

/// Creates the append that claims a partition. It takes effect only if the partition still ends at the
/// expected offset.
///
/// # Errors
///
/// Returns an error if the record can't be encoded.
pub(crate) fn claim(
    partition: Partition,
    expected_end: ids::Offset,
    node: ids::Instance,
    nonce: u64,
) -> WireResult<Append> {
    let heartbeat = Heartbeat {
        node,
        nonce,
        ..Heartbeat::default()
    };
    Ok(Append {
        expected_end: Some(expected_end),
        writer: Some(Writer {
            term: expected_end + 1,
            sequence: 0,
        }),
        ..unconditional_append(partition, &[Record::Heartbeat(heartbeat)])?
    })
}

/// Appends records and retries until the log accepts them, refuses them or the deadline passes.
///
/// Retries are safe: the append of a leader carries its sequence number, and a caller's record has the same
/// key and value each time. [`Failure::Busy`] is returned only if no attempt can still take effect.
pub(crate) async fn append_with_retry<P: Platform>(
    platform: P,
    append: Append,
    deadline: Option<Instant>,
) -> Result<ids::Offset, Failure> {
    let mut may_take_effect = false;
    let mut out_of_order_retries = 0;
    loop {
        let attempt = platform.append(append.clone());
        let outcome = match deadline {
            // An attempt that is dropped may still take effect.
            Some(deadline) => {
                let left = deadline.saturating_duration_since(clock::now());
                let attempt = actix_rt::time::timeout(left, attempt).await;
                attempt.unwrap_or(Err(Failure::Unknown))
            }
            None => attempt.await,
        };
        match outcome {
            Ok(offset) => return Ok(offset),
            Err(Failure::Busy) => {}
            Err(Failure::Unknown) => may_take_effect = true,
            Err(Failure::Order) if out_of_order_retries < MAX_OUT_OF_ORDER_RETRIES => {
                out_of_order_retries += 1;
            }
            // An earlier attempt of an append without a number may still take effect.
            Err(_) if may_take_effect && append.writer.is_none() => return Err(Failure::Unknown),
            Err(failure) => return Err(failure),
        }
        if deadline.is_some_and(|deadline| clock::now() + RETRY_DELAY >= deadline) {
            return Err(if may_take_effect {
                Failure::Unknown
            } else {
                Failure::Busy
            });
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}
