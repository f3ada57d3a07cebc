//! Encoding of the keys and values of the records about jobs.

use std::fmt::Display;

use bytes::Bytes;
use bytestring::ByteString;
use persimmongate_core::account::Caller;
use persimmongate_core::ids;
use persimmongate_core::job::Job;
use persimmongate_core::journal::{Key, Record};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::{Result, malformed_error};

/// Key of the heartbeat records of a leader.
const HEARTBEAT_KEY: &str = "beat";

/// Joins the kind of a key and the name of its object.
fn join_key(kind: &str, name: &impl Display) -> ByteString {
    format!("{kind}/{name}").into()
}

/// Encodes the key of a record.
#[must_use]
pub fn encode_key(key: &Key) -> ByteString {
    match key {
        Key::Accepted(job) => join_key("a", job),
        Key::Heartbeat => ByteString::from_static(HEARTBEAT_KEY),
        Key::Canceled(job) => join_key("c", job),
        Key::Barred(job, Caller::Account(account)) => join_key("b", &format!("{job}/a/{account}")),
        Key::Barred(job, Caller::Public(queue)) => join_key("b", &format!("{job}/q/{queue}")),
        Key::Drain(worker) => join_key("d", worker),
        Key::Payload(job) => join_key("t", job),
        Key::Progress(job) => join_key("p", job),
        Key::Drained(worker) => join_key("v", worker),
        Key::Wave(wave) => join_key("w", wave),
    }
}

/// Decodes the key of a record.
///
/// # Errors
///
/// Returns an error when the kind of the key is unknown or its name is malformed.
pub fn decode_key(key: &str) -> Result<Key> {
    if key == HEARTBEAT_KEY {
        return Ok(Key::Heartbeat);
    }
    let (kind, name) = key
        .split_once('/')
        .ok_or_else(|| malformed_error("journal key", &"no kind"))?;
    if name.is_empty() {
        return Err(malformed_error("journal key", &"no name"));
    }
    let id = ByteString::from(name);
    Ok(match kind {
        "a" => Key::Accepted(id),
        "b" => decode_barred(name)?,
        "c" => Key::Canceled(id),
        "d" => Key::Drain(id),
        "p" => Key::Progress(id),
        "t" => Key::Payload(id),
        "v" => Key::Drained(id),
        "w" => Key::Wave(
            name.parse()
                .map_err(|error| malformed_error("journal key", &error))?,
        ),
        _ => return Err(malformed_error("journal key", &"unknown kind")),
    })
}

/// Decodes the rest of the key of a cancellation of a job that was not known: the job, and whose it may be.
fn decode_barred(name: &str) -> Result<Key> {
    let mut parts = name.splitn(3, '/');
    let job = ids::Job::from(parts.next().unwrap_or_default());
    let caller = match (parts.next(), parts.next()) {
        (Some("a"), Some(account)) => Caller::Account(account.into()),
        (Some("q"), Some(queue)) => Caller::Public(queue.into()),
        _ => return Err(malformed_error("journal key", &"no caller")),
    };
    Ok(Key::Barred(job, caller))
}

/// Encodes the value of a record; `None` deletes the key from the log.
///
/// # Errors
///
/// Returns an error when the record can't be encoded.
pub fn encode(record: &Record) -> Result<Option<Bytes>> {
    Ok(match record {
        Record::Accepted(job) => Some(encode_value(job)?),
        Record::Heartbeat(heartbeat) => Some(encode_value(heartbeat)?),
        Record::Canceled(job) | Record::Barred(job, _) => Some(encode_value(job)?),
        Record::Drain(_, drain) => drain.as_ref().map(encode_value).transpose()?,
        Record::Payload(_, payload) => Some(encode_value(payload)?),
        Record::Progress(_, progress) => Some(encode_value(progress)?),
        Record::Drained(_, drained) => Some(encode_value(drained)?),
        Record::Wave(_, hosts) => Some(encode_value(hosts)?),
        Record::Dropped(_) => None,
    })
}

/// Decodes a record from its key and its value.
///
/// # Errors
///
/// Returns an error when the key or the value is malformed, when the job is not the one that the key
/// names, or when no leader can hold the job.
pub fn decode(key: &str, value: Option<&Bytes>) -> Result<Record> {
    let key = decode_key(key)?;
    let Some(value) = value else {
        return Ok(match key {
            Key::Drain(worker) => Record::Drain(worker, None),
            key => Record::Dropped(key),
        });
    };
    Ok(match key {
        Key::Accepted(id) => Record::Accepted(Box::new(decode_job(&id, value)?)),
        Key::Heartbeat => Record::Heartbeat(decode_value(value)?),
        Key::Canceled(job) => Record::Canceled(job),
        Key::Barred(job, caller) => Record::Barred(job, caller),
        Key::Drain(worker) => Record::Drain(worker, Some(decode_value(value)?)),
        Key::Payload(job) => Record::Payload(job, decode_value(value)?),
        Key::Progress(job) => Record::Progress(job, decode_value(value)?),
        Key::Drained(worker) => Record::Drained(worker, decode_value(value)?),
        Key::Wave(wave) => Record::Wave(wave, decode_value(value)?),
    })
}

fn decode_job(id: &ids::Job, value: &Bytes) -> Result<Job> {
    let job: Job = decode_value(value)?;
    if job.id != *id {
        return Err(malformed_error(
            "journal record",
            &"the key names another job",
        ));
    }
    // A completed job has no steps that a leader would run.
    if !job.is_stub() {
        job.check()
            .map_err(|error| malformed_error("journal record", &error))?;
    }
    Ok(job)
}

fn encode_value<T: Serialize>(value: &T) -> Result<Bytes> {
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer)
        .map_err(|error| malformed_error("journal record", &error))?;
    Ok(buffer.into())
}

fn decode_value<T: DeserializeOwned>(value: &Bytes) -> Result<T> {
    ciborium::from_reader(&value[..]).map_err(|error| malformed_error("journal record", &error))
}
