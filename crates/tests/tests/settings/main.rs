//! The check of settings by the daemons, with `--check-settings`.

use persimmongate_tests::process::run;
use test_case::test_matrix;

/// Settings that both daemons require. An entry host also requires `LISTEN_SETTING`.
const COMMON_SETTINGS: &str = "instance = \"one\"
zone = \"zone-a\"
http = \"127.0.0.1:1001\"
peer = \"127.0.0.1:1002\"
platform = \"127.0.0.1:1003\"
";
/// Setting of the address at which an entry host serves callers.
const LISTEN_SETTING: &str = "listen = \"127.0.0.1:1004\"\n";

/// Runs the check of a daemon on `text` and returns the exit code.
fn check(program: &str, text: &str) -> Option<i32> {
    let listen = if program == "persimmongate-entry" {
        LISTEN_SETTING
    } else {
        ""
    };
    let folder = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{folder}/{program}-{}.toml", text.len());
    std::fs::write(&path, format!("{text}{listen}")).unwrap();
    let output = run(program, &["--check-settings", "--settings", &path]);
    assert!(output.status.success() || !output.stderr.is_empty());
    output.status.code()
}

#[test_matrix(["persimmongate-entry", "persimmongate-fleet"])]
fn verify_settings_are_accepted(program: &str) {
    assert_eq!(check(program, COMMON_SETTINGS), Some(0));
}

#[test_matrix(
    ["persimmongate-entry", "persimmongate-fleet"],
    ["renew = \"2 parsecs\"\n", "colour = \"red\"\n", "seeds = [\"nowhere\"]\n"]
)]
fn verify_settings_are_rejected(program: &str, line: &str) {
    assert_eq!(check(program, &format!("{COMMON_SETTINGS}{line}")), Some(2));
}
