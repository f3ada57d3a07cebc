//! Keys and values of the records about jobs.

use std::fmt::Display;

use bytes::Bytes;
use bytestring::ByteString;
use persimmongate_core::journal::{Key, Record};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{Result, malformed_error};

/// Key of the leader's records.
const BEAT: &str = "beat";

/// Joins the kind and the name of a key.
fn join(kind: &str, name: &impl Display) -> ByteString {
    format!("{kind}/{name}").into()
}

/// Encodes what a record is about.
#[must_use]
pub fn encode_key(key: &Key) -> ByteString {
    match key {
        Key::Accepted(job) => join("a", job),
        Key::Heartbeat => ByteString::from_static(BEAT),
        Key::Canceled(job) => join("c", job),
        Key::Drain(worker) => join("d", worker),
        Key::Progress(job) => join("p", job),
        Key::Drained(worker) => join("v", worker),
        Key::Wave(wave) => join("w", wave),
    }
}

/// Decodes what a record is about.
///
/// # Errors
///
/// Returns an error when the key has none of the known forms.
pub fn decode_key(key: &str) -> Result<Key> {
    if key == BEAT {
        return Ok(Key::Heartbeat);
    }
    let (kind, name) = key
        .split_once('/')
        .ok_or_else(|| malformed_error("journal key", &"no kind"))?;
    let text = ByteString::from(name);
    Ok(match kind {
        "a" => Key::Accepted(text),
        "c" => Key::Canceled(text),
        "d" => Key::Drain(text),
        "p" => Key::Progress(text),
        "v" => Key::Drained(text),
        "w" => Key::Wave(
            name.parse()
                .map_err(|error| malformed_error("journal record", &error))?,
        ),
        _ => return Err(malformed_error("journal key", &"unknown kind")),
    })
}

/// Encodes the value of a record; nothing drops the key.
///
/// # Errors
///
/// Returns an error when the record can't be encoded.
pub fn encode(record: &Record) -> Result<Option<Bytes>> {
    Ok(match record {
        Record::Accepted(job) => Some(pack(job)?),
        Record::Heartbeat(beat) => Some(pack(beat)?),
        Record::Canceled(job) => Some(pack(job)?),
        Record::Drain(_, drain) => drain.as_ref().map(pack).transpose()?,
        Record::Progress(_, progress) => Some(pack(progress)?),
        Record::Drained(_, vacated) => Some(pack(vacated)?),
        Record::Wave(_, hosts) => Some(pack(hosts)?),
        Record::Dropped(_) => None,
    })
}

/// Decodes a record from its key and its value.
///
/// # Errors
///
/// Returns an error when the key or the value has not the expected form.
pub fn decode(key: &str, value: Option<&Bytes>) -> Result<Record> {
    let key = decode_key(key)?;
    let Some(value) = value else {
        return Ok(match key {
            Key::Drain(worker) => Record::Drain(worker, None),
            key => Record::Dropped(key),
        });
    };
    Ok(match key {
        Key::Accepted(_) => Record::Accepted(unpack(value)?),
        Key::Heartbeat => Record::Heartbeat(unpack(value)?),
        Key::Canceled(job) => Record::Canceled(job),
        Key::Drain(worker) => Record::Drain(worker, Some(unpack(value)?)),
        Key::Progress(job) => Record::Progress(job, unpack(value)?),
        Key::Drained(worker) => Record::Drained(worker, unpack(value)?),
        Key::Wave(wave) => Record::Wave(wave, unpack(value)?),
    })
}

fn pack<T: Serialize>(value: &T) -> Result<Bytes> {
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer)
        .map_err(|error| malformed_error("journal record", &error))?;
    Ok(buffer.into())
}

fn unpack<T: DeserializeOwned>(value: &Bytes) -> Result<T> {
    ciborium::from_reader(&value[..]).map_err(|error| malformed_error("journal record", &error))
}
