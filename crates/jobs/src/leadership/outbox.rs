//! Records that a leader has yet to append, in appends that the log takes.

use std::collections::VecDeque;

use bytes::Bytes;
use bytestring::ByteString;
use persimmongate_core::journal::{Key, Limits, Record};
use persimmongate_wire::errors::Result as WireResult;
use persimmongate_wire::journal;

use super::Sequencer;
use crate::platform::{Append, Writer};

/// Size of the length before each record of an append, in bytes.
const LENGTH_BYTES: usize = 4;

/// `Encoded` is a record with its key and value.
#[derive(Clone, Debug)]
pub(crate) struct Encoded {
    record: Record,
    key: ByteString,
    value: Option<Bytes>,
}

/// `Overflow` is a record that the log can't store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Overflow {
    /// Key of the record.
    pub(crate) key: Key,
    /// Size of the record with its key, in bytes.
    pub(crate) size: usize,
    /// Whether a smaller record takes its place; otherwise nothing is recorded.
    pub(crate) is_replaced: bool,
}

/// `Outbox` holds the records of a leader until the log has stored them.
#[derive(Debug)]
pub(crate) struct Outbox {
    limits: Limits,
    batches: VecDeque<Vec<Encoded>>,
    /// Records of the append in flight, with its number.
    in_flight: Option<(Writer, Vec<Encoded>)>,
}

impl Encoded {
    /// Encodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be encoded.
    pub(crate) fn new(record: Record) -> WireResult<Self> {
        Ok(Self {
            key: journal::encode_key(&record.key()),
            value: journal::encode(&record)?,
            record,
        })
    }

    /// Returns the size of the record with its key and the length of the key, in bytes.
    pub(crate) fn size(&self) -> usize {
        super::record_size(&self.entry())
    }

    pub(crate) fn entry(&self) -> (ByteString, Option<Bytes>) {
        (self.key.clone(), self.value.clone())
    }

    /// Returns the record that takes the place of this one if the log can't store it.
    fn reduced(&self, unix_ms: u64) -> WireResult<Option<Self>> {
        self.record.reduced(unix_ms).map(Self::new).transpose()
    }
}

impl Outbox {
    pub(crate) fn new(limits: Limits) -> Self {
        Self {
            limits,
            batches: VecDeque::new(),
            in_flight: None,
        }
    }

    /// Adds records. Those that are too large are replaced by smaller ones in the same append, or left out.
    ///
    /// # Errors
    ///
    /// Returns an error if a record can't be encoded; nothing is added then.
    pub(crate) fn push(&mut self, records: Vec<Record>, unix_ms: u64) -> WireResult<Vec<Overflow>> {
        let mut overflows = Vec::new();
        let (mut batches, mut batch, mut batch_size) = (Vec::new(), Vec::new(), 0);
        for record in records {
            let mut encoded = Encoded::new(record)?;
            if encoded.size() > self.limits.record_bytes {
                let reduced = encoded.reduced(unix_ms)?;
                let reduced = reduced.filter(|reduced| reduced.size() <= self.limits.record_bytes);
                overflows.push(Overflow {
                    key: encoded.record.key(),
                    size: encoded.size(),
                    is_replaced: reduced.is_some(),
                });
                match reduced {
                    Some(reduced) => encoded = reduced,
                    None => continue,
                }
            }
            let size = LENGTH_BYTES + encoded.size();
            if batch_size + size > self.limits.append_bytes && !batch.is_empty() {
                batches.push(std::mem::take(&mut batch));
                batch_size = 0;
            }
            batch_size += size;
            batch.push(encoded);
        }
        self.batches.extend(batches);
        if !batch.is_empty() {
            self.batches.push_back(batch);
        }
        Ok(overflows)
    }

    /// Creates the next append after the log has stored the one before; `None` if nothing is left to append.
    pub(crate) fn next(&mut self, sequencer: &mut Sequencer) -> Option<Append> {
        self.in_flight = None;
        let batch = self.batches.pop_front()?;
        let append = sequencer.append_encoded(&batch);
        self.in_flight = append.writer.map(|writer| (writer, batch));
        Some(append)
    }

    /// Divides the append in flight, which the log refused, so that only what it can't store is left out. A record
    /// that is refused alone is replaced as one that is too large.
    ///
    /// Returns `None` if there is no other way to append the records.
    pub(crate) fn handle_refusal(
        &mut self,
        sequencer: &mut Sequencer,
        unix_ms: u64,
    ) -> Option<Vec<Overflow>> {
        let (writer, mut batch) = self.in_flight.take()?;
        if !sequencer.retract(writer) {
            return None;
        }
        if batch.len() > 1 {
            let second = batch.split_off(batch.len() / 2);
            self.batches.push_front(second);
            self.batches.push_front(batch);
            return Some(Vec::new());
        }
        let refused = batch.pop()?;
        let reduced = refused.reduced(unix_ms).ok()?;
        if reduced.is_none()
            && matches!(refused.record, Record::Progress(..) | Record::Heartbeat(_))
        {
            // The log refuses the least that a leader has to record.
            return None;
        }
        let overflow = Overflow {
            key: refused.record.key(),
            size: refused.size(),
            is_replaced: reduced.is_some(),
        };
        if let Some(reduced) = reduced {
            self.batches.push_front(vec![reduced]);
        }
        Some(vec![overflow])
    }
}
