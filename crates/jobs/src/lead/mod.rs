//! What leaders of a partition share: claims, and appends that are tried until they take effect.

use std::time::{Duration, Instant};

use bytes::Bytes;
use bytestring::ByteString;
use persimmongate_core::ids;
use persimmongate_core::journal::{Heartbeat, Record};
use persimmongate_core::term::Election;
use persimmongate_node::clock;
use persimmongate_wire::errors::Result as Coded;
use persimmongate_wire::journal;
use slog::{Logger, error, info};

use crate::platform::{Append, Failure, Platform, Topic, Writer};

/// Time before an append is tried again after the log failed.
const RETRY: Duration = Duration::from_millis(150);

/// Time that the last append of a leader may take: shorter than the balancer takes to notice its end.
const RESIGN: Duration = Duration::from_secs(2);

/// Tries of an append whose forerunner is not there, before the writer's sequence counts as broken.
const DISORDER_MAX: u32 = 20;

/// Longest time that a read of a candidate's partition waits for a record.
pub(crate) const READ_WAIT: Duration = Duration::from_millis(500);
/// Shortest time that such a read waits: a claim follows at the earliest after it.
const READ_WAIT_MIN: Duration = Duration::from_millis(10);

/// Gets how long a read of a partition waits for a record, so that a candidate looks when it is due.
pub(crate) fn read_wait(election: &Election) -> Duration {
    if election.has_pending_claim() {
        // The log answers as soon as the claim is in it.
        return READ_WAIT;
    }
    let due = election.time_until_claim(clock::now()).unwrap_or(READ_WAIT);
    due.clamp(READ_WAIT_MIN, READ_WAIT)
}

/// Gets how long a candidate pauses between two reads, so that it looks when it is due.
pub(crate) fn read_pause(election: &Election, usual: Duration) -> Duration {
    let due = election.time_until_claim(clock::now());
    due.map_or(usual, |due| due.min(usual))
}

/// Encodes records for the log.
///
/// # Errors
///
/// Returns an error when a record can't be encoded.
fn encode(records: &[Record]) -> Coded<Vec<(ByteString, Option<Bytes>)>> {
    let pair = |record: &Record| Ok((journal::encode_key(&record.key()), journal::encode(record)?));
    records.iter().map(pair).collect()
}

/// Gets an append that was encoded; one that was not is logged.
pub(crate) fn encoded(append: Coded<Append>, logger: &Logger) -> Option<Append> {
    append
        .inspect_err(|problem| error!(logger, "records not encoded"; "error" => %problem))
        .ok()
}

/// Makes an append that any process may make.
///
/// # Errors
///
/// Returns an error when a record can't be encoded.
pub(crate) fn plain(topic: Topic, records: &[Record]) -> Coded<Append> {
    Ok(Append {
        topic,
        records: encode(records)?,
        expected_end: None,
        writer: None,
    })
}

/// `Pen` numbers the appends of a leader in one term.
#[derive(Debug)]
pub(crate) struct Pen {
    topic: Topic,
    term: ids::Term,
    /// Number of the latest append; the claim has 0.
    sequence: u64,
}

impl Pen {
    /// Makes the pen of a leader that has just claimed a partition.
    pub(crate) fn new(topic: Topic, term: ids::Term) -> Self {
        Self {
            topic,
            term,
            sequence: 0,
        }
    }

    /// Makes the leader's next append.
    ///
    /// # Errors
    ///
    /// Returns an error when a record can't be encoded; it uses up no number.
    pub(crate) fn append(&mut self, records: &[Record]) -> Coded<Append> {
        let append = plain(self.topic, records)?;
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

/// Makes the record with which a leader says that it is going to give up its term.
pub(crate) fn notice(term: ids::Term, node: ids::Instance) -> Record {
    Record::Heartbeat(Heartbeat {
        term,
        node,
        is_resigning: true,
        ..Heartbeat::default()
    })
}

/// Makes the record with which a leader gives up its term: it sends nothing more.
pub(crate) fn resignation(term: ids::Term, node: ids::Instance) -> Record {
    Record::Heartbeat(Heartbeat {
        term,
        node,
        has_resigned: true,
        ..Heartbeat::default()
    })
}

/// Appends the last records of a leader; there are none where no leader was.
pub(crate) async fn resign<P: Platform>(platform: P, append: Option<Append>, logger: Logger) {
    let Some(append) = append else {
        return;
    };
    let last = persist(platform, append, Some(clock::now() + RESIGN));
    let outcome = actix_rt::time::timeout(RESIGN, last).await;
    info!(logger, "leadership given up"; "outcome" => ?outcome);
}

/// Makes the append that claims a partition.
///
/// # Errors
///
/// Returns an error when the record can't be encoded.
pub(crate) fn claim(
    topic: Topic,
    at: ids::Offset,
    node: ids::Instance,
    nonce: u64,
) -> Coded<Append> {
    let beat = Heartbeat {
        node,
        nonce,
        ..Heartbeat::default()
    };
    Ok(Append {
        expected_end: Some(at),
        writer: Some(Writer {
            term: at + 1,
            sequence: 0,
        }),
        ..plain(topic, &[Record::Heartbeat(beat)])?
    })
}

/// Appends, and tries again until the log took the records, refused them, or a time is over.
///
/// Trying again is safe: an writer's append carries its sequence, and a caller's record says the same
/// under the same key. [`Failure::Busy`] is returned only if no try can still take effect.
pub(crate) async fn persist<P: Platform>(
    platform: P,
    append: Append,
    end: Option<Instant>,
) -> Result<ids::Offset, Failure> {
    let mut doubtful = false;
    let mut disorder = 0;
    loop {
        let tried = platform.append(append.clone());
        let tried = match end {
            // A try that is given up may still take effect.
            Some(end) => {
                let left = end.saturating_duration_since(clock::now());
                let tried = actix_rt::time::timeout(left, tried).await;
                tried.unwrap_or(Err(Failure::Unknown))
            }
            None => tried.await,
        };
        match tried {
            Ok(offset) => return Ok(offset),
            Err(Failure::Busy) => {}
            Err(Failure::Unknown) => doubtful = true,
            Err(Failure::Order) if disorder < DISORDER_MAX => disorder += 1,
            Err(failure) => return Err(failure),
        }
        if end.is_some_and(|end| clock::now() + RETRY >= end) {
            return Err(if doubtful {
                Failure::Unknown
            } else {
                Failure::Busy
            });
        }
        actix_rt::time::sleep(RETRY).await;
    }
}
