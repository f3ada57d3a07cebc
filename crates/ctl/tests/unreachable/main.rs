//! The program itself, with no fleet instance that answers.

use std::process::Command;

use test_case::test_case;

/// Address of the loopback network at which nothing listens.
const NOWHERE: &str = "127.0.0.1:1";

#[test_case(&["status"]; "status")]
#[test_case(&["--operator", "o", "wave", "pause", "finder-december"]; "wave")]
fn verify_unreachable_fleet_is_said(command: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_persimmonctl"))
        .args(["--fleet", NOWHERE])
        .args(command)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    assert!(!output.stderr.is_empty());
}
