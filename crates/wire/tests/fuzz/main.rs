//! Random and mutated messages must be decoded or rejected with an error, without a panic.

use std::fmt::Debug;

use bytes::Bytes;
use persimmongate_core::record::{Announcement, Body, Record, Role};
use persimmongate_core::state::State;
use persimmongate_core::trace::{Event, Header, Source, Step, VERSION};
use persimmongate_core::{fleet, gate};
use persimmongate_wire::errors::Result;
use persimmongate_wire::frame::{self, Drain, Frame, Report};
use persimmongate_wire::{log, trace};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

/// Number of inputs of each property.
const CASES: u32 = 2000;

/// `Kind` is the kind of message to decode.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Batch,
    Frame,
    Page,
    Record,
    State,
    Trace,
}

fn decode(kind: Kind, bytes: &[u8]) -> Result<()> {
    match kind {
        Kind::Batch => log::decode_batch(bytes).map(drop),
        Kind::Frame => frame::decode(bytes).map(drop),
        Kind::Page => log::decode_page(bytes).map(drop),
        Kind::Record => log::decode_record(bytes).map(drop),
        Kind::State => log::decode_state(bytes).map(drop),
        Kind::Trace => trace::decode(bytes).map(drop),
    }
}

fn record() -> Record {
    let address = ([127, 0, 0, 1], 1).into();
    Record {
        author: "entry-0".into(),
        incarnation: 1,
        sequence: 1,
        body: Body::Join(Announcement {
            role: Role::Entry,
            peer: address,
            http: address,
            zone: "z".into(),
        }),
    }
}

fn example(kind: Kind) -> Result<Bytes> {
    let entry = log::Entry {
        offset: 1,
        unix_ms: 2,
        record: log::encode_record(&record())?,
    };
    match kind {
        Kind::Batch => log::encode_batch(&log::Batch {
            records: vec![entry.record; 3],
        }),
        Kind::Frame => frame::encode(&Frame::Report(Report {
            instance: "entry-0".into(),
            next_offset: 1,
            drains: vec![Drain {
                host: "host".into(),
                start_offset: 1,
                in_flight: 2,
            }],
        })),
        Kind::Page => log::encode_page(&log::Page {
            earliest_offset: 0,
            end_offset: 9,
            entries: vec![entry; 3],
        }),
        Kind::Record => log::encode_record(&record()),
        Kind::State => log::encode_state(&State::default()),
        Kind::Trace => {
            let source = Source::Gate {
                options: gate::Options::default(),
                seed: 1,
            };
            let header = Header {
                version: VERSION,
                source,
            };
            let step = Step {
                at_ns: 1,
                event: Event::Fleet(fleet::Event::Tick),
                actions: Vec::new(),
            };
            let parts = [trace::encode_header(&header)?, trace::encode_step(&step)?];
            Ok(parts.concat().into())
        }
    }
}

fn check<S: Strategy>(inputs: &S, test: impl Fn(S::Value) -> std::result::Result<(), TestCaseError>)
where
    S::Value: Debug,
{
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result = TestRunner::new_with_rng(config, rng).run(inputs, test);
    assert!(result.is_ok(), "{result:?}");
}

#[test_case(Kind::Batch; "batch")]
#[test_case(Kind::Frame; "frame")]
#[test_case(Kind::Page; "page")]
#[test_case(Kind::Record; "record")]
#[test_case(Kind::State; "state")]
#[test_case(Kind::Trace; "trace")]
fn verify_decoder(kind: Kind) {
    let example = example(kind).unwrap();
    assert_eq!(decode(kind, &example), Ok(()));
    check(&vec(any::<u8>(), 0..300), |bytes| {
        // Random bytes may decode or be rejected; only a panic is a failure.
        let _ = decode(kind, &bytes);
        Ok(())
    });
    let edit = (any::<Index>(), 0..6_usize, vec(any::<u8>(), 0..6));
    check(&vec(edit, 1..5), |edits| {
        let mut bytes = example.to_vec();
        for (start, length, replacement) in edits {
            let from = start.index(bytes.len() + 1);
            let to = (from + length).min(bytes.len());
            bytes.splice(from..to, replacement);
        }
        let _ = decode(kind, &bytes);
        Ok(())
    });
    // A truncated message must be rejected. A trace is a sequence of steps, so one that is cut
    // between two steps is valid.
    if !matches!(kind, Kind::Trace) {
        for end in 0..example.len() {
            assert!(decode(kind, &example[..end]).is_err(), "{end}");
        }
    }
}

/// Depth of nested values, far above what a stack holds.
const DEPTH: usize = 100_000;

/// Encodes a map with one field, whose value is given.
fn field(name: &str, value: &[u8]) -> Vec<u8> {
    let length = 0x60 | u8::try_from(name.len()).unwrap();
    [&[0xa1, length], name.as_bytes(), value].concat()
}

// Guards against the end of a process, or a reader that stops, because of one message.
#[test_case(&[0x81].repeat(DEPTH); "nested arrays")]
#[test_case(&[0xa1, 0x00].repeat(DEPTH); "nested maps")]
#[test_case(&[0xc1].repeat(DEPTH); "nested tags")]
#[test_case(&field("author", &[0x81].repeat(DEPTH)); "nested arrays in a field")]
#[test_case(&field("later", &[0x81].repeat(DEPTH)); "nested arrays in an unknown field")]
#[test_case(&[0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0]; "2^60 items")]
#[test_case(&field("items", &[0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0]); "2^60 items in a field")]
#[test_case(&field("records", &[0x5b, 0x10, 0, 0, 0, 0, 0, 0, 0]); "2^60 bytes in a field")]
#[test_case(&[0x62, 0xff, 0xfe]; "text that is not UTF-8")]
#[test_case(&field("author", &[0x62, 0xff, 0xfe]); "field that is not UTF-8")]
#[test_case(&field("end", &[0x3b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]); "negative number")]
#[test_case(&field("end", &[0xc2, 0x49, 1, 0, 0, 0, 0, 0, 0, 0, 0]); "number above 64 bits")]
#[test_case(&field("end", &[0xf9, 0x7e, 0]); "not a number")]
#[test_case(&[0xf6]; "null")]
#[test_case(&[]; "nothing")]
fn verify_odd_message_is_rejected(bytes: &[u8]) {
    for kind in [
        Kind::Batch,
        Kind::Frame,
        Kind::Page,
        Kind::Record,
        Kind::State,
        Kind::Trace,
    ] {
        assert!(decode(kind, bytes).is_err(), "{kind:?}");
    }
    assert!(log::decode_part(bytes).is_err());
}

// Guards against a replay that no record follows.
#[test]
fn verify_state_behind_all_records_is_rejected() {
    let state = State {
        next_offset: u64::MAX,
        ..State::default()
    };
    let bytes = log::encode_state(&state).unwrap();
    assert!(log::decode_state(&bytes).is_err());
}
