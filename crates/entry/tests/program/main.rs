//! Runs the built program. It also makes cargo build it for the tests that start clusters.

use std::process::Command;

#[test]
fn verify_help_is_shown() {
    let program = env!("CARGO_BIN_EXE_persimmongate-entry");
    let output = Command::new(program).arg("--help").output().unwrap();
    assert!(output.status.success());
    assert!(!output.stdout.is_empty());
}
