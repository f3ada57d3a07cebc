//! Replays of the shipped traces give the expected results; traces of another version or with
//! events of another state machine are refused.

use persimmongate_core::fleet;
use persimmongate_core::gate;
use persimmongate_core::trace::{Event, Header, Replay, Source, Step, Summary, VERSION};
use persimmongate_wire::trace::decode;
use test_case::test_case;
use tokio::time::Instant;

const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

fn header(version: u16) -> Header {
    let source = Source::Gate {
        options: gate::Options::default(),
        seed: 1,
    };
    Header { version, source }
}

#[test_case("kuiseb", "entry")]
#[test_case("kuiseb", "fleet")]
#[test_case("andaman", "entry")]
#[test_case("andaman", "fleet")]
fn verify_shipped_trace(deployment: &str, name: &str) {
    let path = format!("{EXAMPLES}/{deployment}/trace/{name}");
    let bytes = std::fs::read(format!("{path}.cbor")).unwrap();
    let expected = std::fs::read_to_string(format!("{path}.toml")).unwrap();
    let expected: Summary = toml::from_str(&expected).unwrap();
    let (header, steps) = decode(&bytes).unwrap();
    let mut replay = Replay::new(Instant::now().into_std(), header).unwrap();
    for step in steps {
        replay.step(step).unwrap();
    }
    assert_eq!(replay.summary(), expected);
    assert_eq!(
        (expected.mismatched_steps, expected.failed_checks.len()),
        (0, 0)
    );
    assert!(expected.action_count > 0);
}

#[test]
fn verify_other_version_is_refused() {
    let replay = Replay::new(Instant::now().into_std(), header(VERSION + 1));
    assert!(replay.is_err());
}

#[test]
fn verify_event_of_another_decision_is_refused() {
    let mut replay = Replay::new(Instant::now().into_std(), header(VERSION)).unwrap();
    let step = |event| Step {
        at_ns: 0,
        event,
        actions: Vec::new(),
    };
    assert!(replay.step(step(Event::Gate(gate::Event::Tick))).is_ok());
    assert!(replay.step(step(Event::Fleet(fleet::Event::Tick))).is_err());
}
