//! Random and mutated operator input is either accepted, or refused with the location of each
//! finding.

use std::fmt::Debug;

use persimmongate_core::errors::{Error, Result};
use persimmongate_core::request::{format_key, parse_key};
use persimmongate_core::settings::{Control, Entry, Fleet};
use persimmongate_core::sheet;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

/// Number of inputs that each test tries.
const CASES: u32 = 2000;

const SHEET: &str = include_str!("../../../../examples/kuiseb/sheet.csv");
const SETTINGS: [&str; 3] = [
    include_str!("../../../../examples/settings/entry.toml"),
    include_str!("../../../../examples/settings/fleet.toml"),
    include_str!("../../../../examples/settings/persimmonctl.toml"),
];
const KEY: &str = "018f0d5c-7a00-7000-8000-000000000000";

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

/// Generates variants of a text with pieces replaced, removed and inserted.
fn mutated(text: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let pieces = [
        "", "\"", ";", ",", "\n", "\r\n", "\0", "\u{feff}", "é", "9", "-1", "=", "[",
    ];
    let replacement = prop_oneof![
        select(pieces.to_vec()).prop_map(|piece| piece.as_bytes().to_vec()),
        vec(any::<u8>(), 0..8),
    ];
    let edit = (any::<Index>(), 0..12_usize, replacement);
    vec(edit, 1..6).prop_map(move |edits| {
        let mut bytes = text.as_bytes().to_vec();
        for (at, length, replacement) in edits {
            let from = at.index(bytes.len() + 1);
            let to = (from + length).min(bytes.len());
            bytes.splice(from..to, replacement);
        }
        bytes
    })
}

/// Checks that a refusal names the line and the problem of each finding.
fn check_locations<T>(result: Result<T>) -> std::result::Result<(), TestCaseError> {
    match result {
        Err(Error::Findings(findings)) => {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.items.iter().all(|item| item.location.line > 0));
            prop_assert!(findings.items.iter().all(|item| !item.problem.is_empty()));
        }
        Err(Error::Value { problem, .. }) => prop_assert!(false, "no place: {problem}"),
        Ok(_) => {}
    }
    Ok(())
}

#[test]
fn verify_random_sheet() {
    check(&vec(any::<u8>(), 0..400), |bytes| {
        check_locations(sheet::parse_intents(&bytes))
    });
}

#[test]
fn verify_mutated_sheet() {
    check(&mutated(SHEET), |bytes| {
        check_locations(sheet::parse_intents(&bytes))
    });
}

#[test_case(0; "entry")]
#[test_case(1; "fleet")]
#[test_case(2; "persimmonctl")]
fn verify_mutated_settings(program: usize) {
    check(&mutated(SETTINGS[program]), |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        match program {
            0 => check_locations(Entry::try_from(&*text)),
            1 => check_locations(Fleet::try_from(&*text)),
            _ => check_locations(Control::try_from(&*text)),
        }
    });
}

#[test]
fn verify_random_settings() {
    check(&".{0,200}", |text| {
        check_locations(Entry::try_from(&*text))?;
        check_locations(Fleet::try_from(&*text))?;
        check_locations(Control::try_from(&*text))
    });
}

#[test]
fn verify_mutated_key() {
    check(&mutated(KEY), |bytes| {
        if let Ok(key) = parse_key(&bytes) {
            let text = String::from_utf8_lossy(&bytes).to_lowercase();
            prop_assert_eq!(format_key(key), text);
        }
        Ok(())
    });
}
