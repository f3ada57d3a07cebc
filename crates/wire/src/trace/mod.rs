//! Encoding of traces: a header, followed by steps.

use std::io::Cursor;

use bytes::Bytes;
use persimmongate_core::trace::{Header, Step};

use crate::errors::{Result, malformed_error, oversized_error};
use crate::log::encode;

/// Largest trace accepted, in bytes.
pub const TRACE_MAX_BYTES: usize = 256 * 1024;

/// Encodes the header of a trace.
///
/// # Errors
///
/// Returns an error when the header can't be encoded or is too long.
pub fn encode_header(header: &Header) -> Result<Bytes> {
    encode("trace header", header, TRACE_MAX_BYTES)
}

/// Encodes one step of a trace.
///
/// # Errors
///
/// Returns an error when the step can't be encoded or is too long.
pub fn encode_step(step: &Step) -> Result<Bytes> {
    encode("trace step", step, TRACE_MAX_BYTES)
}

/// Decodes a whole trace; the error names the byte at which the malformed step starts.
///
/// # Errors
///
/// Returns an error for bytes that are too long or not a trace.
pub fn decode(bytes: &[u8]) -> Result<(Header, Vec<Step>)> {
    if bytes.len() > TRACE_MAX_BYTES {
        return Err(oversized_error("trace", bytes.len(), TRACE_MAX_BYTES));
    }
    let mut reader = Cursor::new(bytes);
    let header = ciborium::from_reader(&mut reader)
        .map_err(|error| malformed_error("trace header", &error))?;
    let mut steps = Vec::new();
    let end_position = bytes.len() as u64;
    while reader.position() < end_position {
        let step_position = reader.position();
        let step = ciborium::from_reader(&mut reader)
            .map_err(|error| malformed_error("trace", &format!("byte {step_position}: {error}")))?;
        steps.push(step);
    }
    Ok((header, steps))
}
