//! Records and pages of the platform's log.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_core::record::Record;
use persimmongate_core::state::State;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::errors::{Result, malformed_error, oversized_error};

/// Largest record accepted, in bytes.
pub const RECORD_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Largest page accepted, in bytes.
pub const PAGE_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Largest state accepted, in bytes.
pub const STATE_MAX_BYTES: usize = 48 * 1024 * 1024;

/// Largest offset that is believed: no log grows to as many records.
const OFFSET_MAX: ids::Offset = 1 << 53;

/// `Stream` is one stream of the log, with its own offsets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stream {
    /// Records that every process applies to its state.
    Main,
    /// Snapshots of the state, read only by a process that needs records that the log no longer
    /// keeps.
    Snapshots,
}

impl Stream {
    /// Returns the name of the stream in the platform's interface.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Main => "main",
            Self::Snapshots => "snapshots",
        }
    }
}

/// `Part` is one part of a snapshot, which is split as it may exceed the size limit of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    /// Process that took the snapshot.
    pub author: ids::Instance,
    /// Incarnation of that process.
    pub incarnation: ids::Incarnation,
    /// Offset after the last record that the snapshot covers.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub count: u32,
    /// Bytes of the encoded state in this part.
    pub data: Bytes,
}

/// `Page` is the platform's response to a read of a stream.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Smallest offset that the log still keeps.
    #[serde(rename = "earliest")]
    pub earliest_offset: ids::Offset,
    /// Offset that the next appended record gets.
    #[serde(rename = "end")]
    pub end_offset: ids::Offset,
    /// Entries from the requested offset on.
    #[serde(rename = "items")]
    pub entries: Vec<Entry>,
}

/// `Entry` is one record of a page with its offset and time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: ids::Offset,
    /// Time at which the log appended it, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub unix_ms: u64,
    /// Encoded record.
    pub record: Bytes,
}

impl Entry {
    /// Returns the time at which the log appended the record.
    #[must_use]
    pub fn appended_at(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.unix_ms)
    }
}

/// `Batch` is a list of records that are appended together and get consecutive offsets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Batch {
    /// Encoded records.
    pub records: Vec<Bytes>,
}

pub(crate) fn encode<T: Serialize>(
    message_type: &'static str,
    value: &T,
    max: usize,
) -> Result<Bytes> {
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer)
        .map_err(|error| malformed_error(message_type, &error))?;
    if buffer.len() > max {
        return Err(oversized_error(message_type, buffer.len(), max));
    }
    Ok(buffer.into())
}

pub(crate) fn decode<T: DeserializeOwned>(
    message_type: &'static str,
    bytes: &[u8],
    max: usize,
) -> Result<T> {
    if bytes.len() > max {
        return Err(oversized_error(message_type, bytes.len(), max));
    }
    ciborium::from_reader(bytes).map_err(|error| malformed_error(message_type, &error))
}

/// Encodes a record.
///
/// # Errors
///
/// Returns an error when the record can't be encoded or is too long.
pub fn encode_record(record: &Record) -> Result<Bytes> {
    encode("record", record, RECORD_MAX_BYTES)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a record.
pub fn decode_record(bytes: &[u8]) -> Result<Record> {
    decode("record", bytes, RECORD_MAX_BYTES)
}

/// Encodes a part of a snapshot.
///
/// # Errors
///
/// Returns an error when the part can't be encoded or is too long.
pub fn encode_part(part: &Part) -> Result<Bytes> {
    encode("part", part, RECORD_MAX_BYTES)
}

/// Decodes a part of a snapshot.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a part of a snapshot.
pub fn decode_part(bytes: &[u8]) -> Result<Part> {
    decode("part", bytes, RECORD_MAX_BYTES)
}

/// Encodes a batch.
///
/// # Errors
///
/// Returns an error when the batch can't be encoded or is too long.
pub fn encode_batch(batch: &Batch) -> Result<Bytes> {
    encode("batch", batch, PAGE_MAX_BYTES)
}

/// Decodes a batch.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a batch.
pub fn decode_batch(bytes: &[u8]) -> Result<Batch> {
    decode("batch", bytes, PAGE_MAX_BYTES)
}

/// Encodes a page.
///
/// # Errors
///
/// Returns an error when the page can't be encoded or is too long.
pub fn encode_page(page: &Page) -> Result<Bytes> {
    encode("page", page, PAGE_MAX_BYTES)
}

/// Decodes a page.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a page.
pub fn decode_page(bytes: &[u8]) -> Result<Page> {
    decode("page", bytes, PAGE_MAX_BYTES)
}

/// Encodes a state.
///
/// # Errors
///
/// Returns an error when the state can't be encoded or is too long.
pub fn encode_state(state: &State) -> Result<Bytes> {
    encode("state", state, STATE_MAX_BYTES)
}

/// Decodes a state.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a state, and for a state of more records than a
/// log can have.
pub fn decode_state(bytes: &[u8]) -> Result<State> {
    let state: State = decode("state", bytes, STATE_MAX_BYTES)?;
    if state.next_offset > OFFSET_MAX {
        return Err(malformed_error("state", &"its offset is too large"));
    }
    Ok(state)
}
