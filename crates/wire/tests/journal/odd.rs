//! Records that another writer or another version left in the log. One that can't be used is rejected
//! with a reason, so that its reader skips it.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use ciborium::{Value, cbor};
use persimmongate_core::job::{Job, Progress, Step};
use persimmongate_core::journal::{Heartbeat, Key, Record};
use persimmongate_wire::journal::{decode, encode, encode_key};
use test_case::test_case;

use crate::job;

const KEYS: [&str; 7] = [
    "a/job", "beat", "d/worker", "p/job", "t/job", "v/worker", "w/1",
];
/// Depth of nested values, far above what a stack holds.
const DEPTH: usize = 100_000;

fn encoded(value: &Value) -> Vec<u8> {
    let mut buffer = Vec::new();
    ciborium::into_writer(value, &mut buffer).unwrap();
    buffer
}

/// Repeats the start of a value that contains one value.
fn nested(start: &[u8]) -> Vec<u8> {
    [start.repeat(DEPTH), vec![0]].concat()
}

/// Encodes a map with one field that no version knows, and a malformed or deeply nested value in it.
fn unknown_field(value: &[u8]) -> Vec<u8> {
    [&[0xa1, 0x61, b'x'], value].concat()
}

// Guards against the end of the process, or of the reading of the partition, by one record.
#[test_case(&[]; "nothing")]
#[test_case(&nested(&[0x81]); "nested arrays")]
#[test_case(&nested(&[0x9f]); "nested arrays without a length")]
#[test_case(&nested(&[0xa1, 0x00]); "nested maps")]
#[test_case(&nested(&[0xc1]); "nested tags")]
#[test_case(&nested(&[0xa1, 0x61, b'x']); "nested fields")]
#[test_case(&unknown_field(&nested(&[0x81])); "nested arrays in a field")]
#[test_case(&[0x5b, 0x10, 0, 0, 0, 0, 0, 0, 0]; "2^60 bytes")]
#[test_case(&[0x7b, 0x10, 0, 0, 0, 0, 0, 0, 0]; "2^60 bytes of text")]
#[test_case(&[0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0]; "2^60 items")]
#[test_case(&[0xbb, 0x10, 0, 0, 0, 0, 0, 0, 0]; "2^60 fields")]
#[test_case(&unknown_field(&[0x5b, 0x10, 0, 0, 0, 0, 0, 0, 0]); "2^60 bytes in a field")]
#[test_case(&[0x62, 0xff, 0xfe]; "text that is not UTF-8")]
#[test_case(&[0xa1, 0x62, 0xff, 0xfe, 0]; "field that is not UTF-8")]
#[test_case(&[0xf9, 0x7e, 0]; "not a number")]
#[test_case(&[0xf6]; "null")]
#[test_case(&[0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]; "most negative number")]
#[test_case(&[0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0]; "number above 64 bits")]
#[test_case(&[0xff]; "end without a start")]
#[test_case(&[0x1c]; "reserved byte")]
#[test_case(&encoded(&cbor!({}).unwrap()); "no fields")]
fn verify_unreadable_value_is_rejected(value: &[u8]) {
    let value = Bytes::copy_from_slice(value);
    for key in KEYS {
        assert!(decode(key, Some(&value)).is_err(), "{key}");
    }
}

#[test_case("a/"; "job")]
#[test_case("c/"; "canceled job")]
#[test_case("d/"; "worker")]
#[test_case("w/"; "wave")]
#[test_case("w/-1"; "negative wave")]
#[test_case("w/18446744073709551616"; "wave above 64 bits")]
fn verify_key_without_a_usable_name_is_rejected(key: &str) {
    assert!(decode(key, None).is_err());
}

fn accepted(key: &str, job: Job) -> Result<Record, String> {
    let value = encode(&Record::Accepted(Box::new(job))).unwrap();
    decode(key, value.as_ref()).map_err(|error| error.to_string())
}

fn steps(step: Step) -> Job {
    Job {
        steps: vec![step],
        ..job()
    }
}

fn step() -> Step {
    job().steps[0].clone()
}

// Guards against a leader that ends, or runs out of memory, on each start because of one accepted job.
#[test_case("a/other", job(), "another job"; "key of another job")]
#[test_case("a/5c0e7a21d94b36f8", steps(Step { count: u32::MAX, ..step() }), "more tasks"; "most tasks")]
#[test_case("a/5c0e7a21d94b36f8", steps(Step { count: 0, ..step() }), "no tasks"; "no tasks")]
#[test_case("a/5c0e7a21d94b36f8", steps(Step { dependencies: vec![0], ..step() }), "depends"; "dependency on itself")]
#[test_case("a/5c0e7a21d94b36f8", steps(Step { cpu_millicores: u64::MAX, ..step() }), "processor"; "processor time")]
#[test_case("a/5c0e7a21d94b36f8", Job { steps: Vec::new(), ..job() }, "no steps"; "no steps")]
fn verify_unusable_job_is_rejected_with_a_reason(key: &str, job: Job, reason: &str) {
    let error = accepted(key, job).unwrap_err();
    assert!(error.contains(reason), "{error}");
}

#[test_case(job().stub(); "stub of a completed job")]
#[test_case(steps(Step { estimate: Duration::MAX, ..step() }); "longest estimate")]
fn verify_usable_job_is_read(job: Job) {
    let key = encode_key(&Key::Accepted(job.id.clone()));
    let record = Record::Accepted(Box::new(job.clone()));
    assert_eq!(accepted(&key, job), Ok(record));
}

/// Encodes a value, changed as a map of its fields.
fn changed<T: serde::Serialize>(value: &T, change: impl Fn(&mut BTreeMap<String, Value>)) -> Bytes {
    let value = Value::serialized(value).unwrap();
    let fields = value.into_map().unwrap().into_iter();
    let mut fields: BTreeMap<String, Value> = fields
        .map(|(name, value)| (name.into_text().unwrap(), value))
        .collect();
    change(&mut fields);
    let fields = fields.into_iter();
    let fields = fields.map(|(name, value)| (name.into(), value)).collect();
    encoded(&Value::Map(fields)).into()
}

#[test_case("term", &Value::from(-1); "negative")]
#[test_case("term", &Value::from(u128::MAX); "above 64 bits")]
#[test_case("term", &Value::from(f64::NAN); "not a number")]
#[test_case("term", &Value::from(1.5); "fraction")]
#[test_case("term", &Value::from("1"); "text for a number")]
#[test_case("node", &Value::from(1); "number for a text")]
#[test_case("node", &Value::Bytes(vec![0xff]); "bytes for a text")]
#[test_case("loads", &Value::from("one"); "text for a list")]
#[test_case("loads", &Value::Array(vec![Value::Null]); "null for a load")]
fn verify_heartbeat_with_a_field_of_another_type_is_rejected(name: &str, value: &Value) {
    let value = changed(&Heartbeat::default(), |fields| {
        fields.insert(name.to_owned(), value.clone());
    });
    assert!(decode("beat", Some(&value)).is_err());
}

#[test]
fn verify_record_with_unknown_fields_is_read() {
    let value = changed(&Progress::default(), |fields| {
        fields.insert("later".to_owned(), Value::from("version"));
    });
    let progress = Record::Progress("job".into(), Progress::default());
    assert_eq!(decode("p/job", Some(&value)), Ok(progress));
}

#[test]
fn verify_record_with_a_missing_field_is_rejected() {
    for name in ["started", "ended", "done", "failed"] {
        let value = changed(&Progress::default(), |fields| {
            fields.remove(name);
        });
        assert!(decode("p/job", Some(&value)).is_err(), "{name}");
    }
}
