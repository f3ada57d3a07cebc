//! Frames on peer links.

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_core::record::Role;
use serde::{Deserialize, Serialize};

use crate::errors::{Result, malformed_error, oversized_error, version_error};

/// Version of the frame protocol; a link between two versions is rejected at its first frame.
pub const PROTOCOL_VERSION: u16 = 1;
/// Largest frame accepted, in bytes.
pub const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// `Frame` is one message on a peer link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Requests a snapshot of the state that covers the log up to an offset.
    Fetch {
        /// Smallest `next_offset` of a snapshot that is of use to the sender.
        #[serde(rename = "next")]
        min_next_offset: ids::Offset,
    },
    /// Opens a link and identifies the sender.
    Hello(Hello),
    /// Reports the requests in flight on draining hosts.
    Report(Report),
    /// Transfers the state built from the log.
    Snapshot {
        /// Offset after the last record applied to the state.
        #[serde(rename = "next")]
        next_offset: ids::Offset,
        /// Encoded state.
        state: Bytes,
    },
}

/// `Hello` is the first frame of a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Name of the sender.
    pub instance: ids::Instance,
    /// Role of the sender.
    pub role: Role,
}

/// `Report` is the number of requests in flight from an entry host on each draining host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Entry host that reports.
    pub instance: ids::Instance,
    /// Offset after the last record that it has applied.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// One item for each draining host.
    pub drains: Vec<Drain>,
}

/// `Drain` is the report on one draining host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Name of the draining host.
    pub host: ids::Host,
    /// Offset of the record that started the drain.
    #[serde(rename = "since")]
    pub start_offset: ids::Offset,
    /// Number of requests in flight on it from the reporting entry host.
    pub in_flight: u32,
}

/// Encodes a frame.
///
/// # Errors
///
/// Returns an error when the frame can't be encoded or is too long.
pub fn encode(frame: &Frame) -> Result<Bytes> {
    crate::log::encode("frame", frame, FRAME_MAX_BYTES)
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a frame, and for a `Hello` of another
/// version.
pub fn decode(bytes: &[u8]) -> Result<Frame> {
    if bytes.len() > FRAME_MAX_BYTES {
        return Err(oversized_error("frame", bytes.len(), FRAME_MAX_BYTES));
    }
    let frame = ciborium::from_reader(bytes).map_err(|error| malformed_error("frame", &error))?;
    if let Frame::Hello(hello) = &frame
        && hello.version != PROTOCOL_VERSION
    {
        return Err(version_error(PROTOCOL_VERSION, hello.version));
    }
    Ok(frame)
}
