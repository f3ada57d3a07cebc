//! Frames on peer links.

use bytes::Bytes;
use persimmongate_core::ids;
use persimmongate_core::record::Role;
use serde::{Deserialize, Serialize};

use crate::errors::{Result, malformed_error, oversized_error, version_error};

/// Version of the frames; a link between two versions is refused at its first frame.
pub const PROTOCOL_VERSION: u16 = 1;
/// Longest frame accepted, in bytes.
pub const FRAME_MAX_BYTES: usize = 64 * 1024 * 1024;

/// `Frame` is one message on a peer link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Frame {
    /// Asks for a snapshot that has at least this next offset.
    Fetch {
        /// Least next offset of use to the sender.
        #[serde(rename = "next")]
        min_next_offset: ids::Offset,
    },
    /// Opens a link.
    Hello(Hello),
    /// Tells requests in flight on draining hosts.
    Report(Report),
    /// Hands over the fold of the log.
    Snapshot {
        /// Offset after the last record folded.
        #[serde(rename = "next")]
        next_offset: ids::Offset,
        /// Encoded state.
        state: Bytes,
    },
}

/// `Hello` is the first frame of a link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Version of the sender's frames.
    pub version: u16,
    /// Sender.
    pub instance: ids::Instance,
    /// What the sender does.
    pub role: Role,
}

/// `Report` is an entry host's view of the draining hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Entry host that reports.
    pub instance: ids::Instance,
    /// Offset after the last record that it folded.
    #[serde(rename = "next")]
    pub next_offset: ids::Offset,
    /// One item for each draining host.
    pub drains: Vec<Drain>,
}

/// `Drain` is one draining host in a report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Drain {
    /// Host that drains.
    pub host: ids::Host,
    /// Offset of the drain record.
    #[serde(rename = "since")]
    pub drain_offset: ids::Offset,
    /// Requests in flight from the reporting entry host.
    pub in_flight: u32,
}

/// Encodes a frame.
///
/// # Errors
///
/// Returns an error when the encoder refuses the frame or the frame is too long.
pub fn encode(frame: &Frame) -> Result<Bytes> {
    crate::log::encode("frame", frame, FRAME_MAX_BYTES)
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error for bytes that are too long or no frame, and for a hello of another version.
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
