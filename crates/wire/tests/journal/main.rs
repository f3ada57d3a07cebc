//! Tests of the encoding of the records about jobs.

mod odd;
mod progress;

use std::time::Duration;

use bytes::Bytes;
use persimmongate_core::account::Caller;
use persimmongate_core::job::{Job, Outcome, Progress, Step, Task};
use persimmongate_core::journal::{Drain, Drained, Heartbeat, Key, Load, Record};
use persimmongate_wire::journal::{decode, decode_key, encode, encode_key};
use proptest::prelude::*;
use test_case::test_case;

fn job() -> Job {
    Job {
        id: "5c0e7a21d94b36f8".into(),
        queue: "queue".into(),
        service: "service".into(),
        account: None,
        payload: "text".into(),
        steps: vec![Step {
            count: 4,
            cpu_millicores: 500,
            estimate: Duration::from_millis(900),
            required_label: Some("a".into()),
            max_per_worker: Some(1),
            ..Step::default()
        }],
        schedule: None,
        accepted_at_ms: 17,
        has_detached_payload: false,
    }
}

fn job_of_account() -> Job {
    Job {
        account: Some("one".into()),
        ..job()
    }
}

fn progress() -> Progress {
    let mut progress = Progress::default();
    let task = |index| Task {
        job: job().id,
        occurrence: 0,
        step: 0,
        index,
    };
    progress.record_done(&task(3));
    progress.record_failure(&task(1), 1_001);
    progress.outcome = Some(Outcome::Failed);
    progress
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        term: 7,
        node: "node".into(),
        nonce: 9,
        is_resigning: true,
        has_resigned: true,
        loads: vec![Load {
            service: "service".into(),
            short_running_workers: vec![("worker".into(), 5)],
            ..Load::default()
        }],
    }
}

#[test_case(Record::Accepted(Box::new(job())))]
#[test_case(Record::Heartbeat(heartbeat()))]
#[test_case(Record::Accepted(Box::new(job_of_account())))]
#[test_case(Record::Canceled("job".into()))]
#[test_case(Record::Barred("job".into(), Caller::Account("a/b".into())))]
#[test_case(Record::Barred("job".into(), Caller::Public("queue".into())))]
#[test_case(Record::Drain("worker".into(), Some(Drain { host: "h".into(), service: "s".into() })))]
#[test_case(Record::Drain("worker".into(), None))]
#[test_case(Record::Payload("job".into(), "text".into()))]
#[test_case(Record::Dropped(Key::Payload("job".into())))]
#[test_case(Record::Progress("job".into(), progress()))]
#[test_case(Record::Drained("worker".into(), Drained { term: 3 }))]
#[test_case(Record::Wave(4, vec!["host".into()]))]
#[test_case(Record::Dropped(Key::Accepted("job".into())))]
fn verify_record_survives_encoding(record: Record) {
    let key = encode_key(&record.key());
    let value = encode(&record).unwrap();
    assert_eq!(decode(&key, value.as_ref()), Ok(record));
}

#[test_case(""; "nothing")]
#[test_case("a"; "no name")]
#[test_case("z/name"; "unknown kind")]
#[test_case("w/name"; "a wave without a number")]
#[test_case("b/job"; "a cancellation without a caller")]
#[test_case("b/job/z/name"; "a cancellation by an unknown kind of caller")]
fn verify_unknown_key_is_rejected(key: &str) {
    assert!(decode_key(key).is_err());
}

proptest! {
    #[test]
    fn verify_arbitrary_bytes_cause_no_panic(key in ".{0,12}", value: Vec<u8>) {
        let value = Bytes::from(value);
        let _ = decode(&key, Some(&value));
        for kind in ["a/job", "b/job/a/one", "beat", "d/worker", "p/job", "v/worker", "w/1"] {
            let _ = decode(kind, Some(&value));
        }
    }
}

/// Size of a caller's payload, in bytes.
const PAYLOAD_BYTES: usize = 1_200;

#[test]
fn verify_record_of_a_job_does_not_hold_a_large_payload() {
    let payload = "x".repeat(PAYLOAD_BYTES);
    let large = Job {
        payload: payload.clone().into(),
        ..job()
    };
    let (accepted, detached) = large.detach_payload();
    assert_eq!(detached.as_deref(), Some(&payload[..]));
    assert!(accepted.has_detached_payload);
    let value = encode(&Record::Accepted(Box::new(accepted.clone())))
        .unwrap()
        .unwrap();
    assert!(value.len() < PAYLOAD_BYTES / 4, "{}", value.len());
    let decoded = decode("a/5c0e7a21d94b36f8", Some(&value)).unwrap();
    assert_eq!(decoded, Record::Accepted(Box::new(accepted)));
}

#[test]
fn verify_small_payload_stays_in_the_record_of_its_job() {
    assert_eq!(job().detach_payload(), (job(), None));
}

// Fields without a value made up most of a record that every process reads.
#[test]
fn verify_fields_without_a_value_are_not_written() {
    let value = encode(&Record::Accepted(Box::new(job()))).unwrap().unwrap();
    let fields: ciborium::Value = ciborium::from_reader(&value[..]).unwrap();
    let text = format!("{fields:?}");
    for field in [
        "gang",
        "rack",
        "fills",
        "target",
        "schedule",
        "detached",
        "duplicates",
    ] {
        assert!(!text.contains(field), "{field}: {text}");
    }
}

// Builds from before accounts wrote such records, and a completed job keeps its account.
#[test]
fn verify_records_with_and_without_an_account_are_read() {
    let value = encode(&Record::Accepted(Box::new(job()))).unwrap().unwrap();
    let fields: ciborium::Value = ciborium::from_reader(&value[..]).unwrap();
    assert!(!format!("{fields:?}").contains("account"), "{fields:?}");
    let decoded = decode("a/5c0e7a21d94b36f8", Some(&value)).unwrap();
    assert_eq!(decoded, Record::Accepted(Box::new(job())));
    let stub = Record::Accepted(Box::new(job_of_account().stub()));
    let value = encode(&stub).unwrap();
    let decoded = decode("a/5c0e7a21d94b36f8", value.as_ref()).unwrap();
    let Record::Accepted(decoded) = decoded else {
        panic!("{decoded:?}");
    };
    assert!(decoded.is_stub());
    assert_eq!(decoded.account, Some("one".into()));
}
