//! Requests of callers and their idempotency keys.

use std::time::Duration;
use std::time::{Instant, SystemTime};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, value_error};
use crate::ids;

/// Number of bits of a `UUIDv7` below its millisecond time stamp.
const KEY_TIME_SHIFT: u32 = 80;
/// Number of bits of a `UUIDv7` below its version field.
const KEY_VERSION_SHIFT: u32 = 76;
/// Version of the UUIDs accepted as idempotency keys.
const KEY_VERSION: u128 = 7;

/// `Urgency` orders the requests of one caller.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Urgency {
    /// Interactive: a person waits for the answer.
    Urgent,
    /// Regular work.
    #[default]
    Normal,
    /// Batch work that can be deferred to the night.
    Batch,
}

/// `Repeatability` states whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeatability {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once, under this key.
    Once(ids::IdempotencyKey),
}

/// `Request` is a validated request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier, unique within this process.
    pub id: ids::Request,
    /// Service that the request addresses.
    pub service: ids::Service,
    /// Caller that sent it.
    pub caller: ids::Caller,
    /// Order among the caller's own requests.
    pub urgency: Urgency,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Path below the service.
    pub path: Bytes,
    /// Body as received.
    pub body: Bytes,
}

impl Request {
    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.repeatability == Repeatability::Idempotent
    }
}

/// Parses an idempotency key: a `UUIDv7` in its hyphenated form.
///
/// # Errors
///
/// Returns a value error if the text is not a `UUIDv7`.
pub fn parse_key(text: &[u8]) -> Result<ids::IdempotencyKey> {
    const GROUPS: [usize; 5] = [8, 4, 4, 4, 12];
    let invalid_key = || {
        value_error(
            "idempotency key",
            "expected a UUIDv7 such as 018f0d5c-7a00-7000-8000-000000000000",
        )
    };
    let text = std::str::from_utf8(text).map_err(|_| invalid_key())?;
    let groups: Vec<&str> = text.split('-').collect();
    if groups.len() != GROUPS.len()
        || groups
            .iter()
            .zip(GROUPS)
            .any(|(group, len)| group.len() != len)
    {
        return Err(invalid_key());
    }
    let digits = groups.concat();
    if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(invalid_key());
    }
    let key = u128::from_str_radix(&digits, 16).map_err(|_| invalid_key())?;
    if (key >> KEY_VERSION_SHIFT) & 0xf != KEY_VERSION {
        return Err(invalid_key());
    }
    Ok(key)
}

/// Formats an idempotency key in its hyphenated form.
#[must_use]
pub fn format_key(key: ids::IdempotencyKey) -> String {
    let hex = format!("{key:032x}");
    format!(
        "{}-{}-{}-{}-{}",
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..]
    )
}

/// Creates an idempotency key from a time stamp and 74 random bits.
#[must_use]
pub fn make_key(timestamp: SystemTime, random: u128) -> ids::IdempotencyKey {
    const VARIANT_MASK: u128 = 0x3 << 62;
    const VARIANT: u128 = 0x2 << 62;
    let millis = timestamp
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let low_bits = random & ((1 << KEY_VERSION_SHIFT) - 1) & !VARIANT_MASK;
    (millis << KEY_TIME_SHIFT) | (KEY_VERSION << KEY_VERSION_SHIFT) | VARIANT | low_bits
}

/// Returns the time stamp of an idempotency key.
#[must_use]
pub fn key_timestamp(key: ids::IdempotencyKey) -> SystemTime {
    let millis = u64::try_from(key >> KEY_TIME_SHIFT).unwrap_or(u64::MAX);
    SystemTime::UNIX_EPOCH + Duration::from_millis(millis)
}

impl TryFrom<&[u8]> for Urgency {
    type Error = Error;

    fn try_from(text: &[u8]) -> Result<Self> {
        match text {
            b"urgent" => Ok(Self::Urgent),
            b"normal" => Ok(Self::Normal),
            b"batch" => Ok(Self::Batch),
            _ => Err(value_error("urgency", "expected urgent, normal or batch")),
        }
    }
}
