//! Tests of `persimmonctl` as a process, against a fake fleet instance.

mod fake;

use std::net::SocketAddr;
use std::process::{Command, Output};

use fake::{Fake, Reply};
use serde_json::{Value, json};
use test_case::test_case;

const KUISEB_SHEET: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/kuiseb/sheet.csv"
);
const ANDAMAN_SHEET: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/andaman/sheet.csv"
);
const CONTROL_SETTINGS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/settings/persimmonctl.toml"
);
const ENTRY_SETTINGS: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/settings/entry.toml"
);
/// Address at which no process listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
    command.env_remove("USER").args(arguments);
    command.output().expect("run")
}

fn exit_code(output: &Output) -> Option<i32> {
    output.status.code()
}

fn text_of(output: &Output) -> String {
    let (out, err) = (&output.stdout, &output.stderr);
    String::from_utf8_lossy(out).into_owned() + &String::from_utf8_lossy(err)
}

fn json_of(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn with_fleet(address: SocketAddr, arguments: &[&str]) -> Output {
    let address = address.to_string();
    let globals = ["--fleet", &address, "--operator", "amara"];
    run(&[arguments, &globals].concat())
}

#[test_case(&["--help"], 0, "Error codes"; "help")]
#[test_case(&["apply", "--help"], 0, "--base"; "help of a command")]
#[test_case(&[], 2, "--help"; "nothing")]
#[test_case(&["shrink"], 2, "shrink"; "unknown command")]
#[test_case(&["explain", "rack", "r"], 2, "expected host, pool, service or wave, found \"rack\""; "unknown kind")]
#[test_case(&["wave", "stop", "w"], 2, "expected pause, resume or abort, found \"stop\""; "unknown wave command")]
#[test_case(&["status", "--fleet", "here:1"], 2, "expected IP:PORT, found \"here:1\""; "no address")]
#[test_case(&["check", "absent.csv"], 2, "absent.csv"; "absent file")]
#[test_case(&["status", "--settings", "absent.toml"], 2, "absent.toml"; "absent settings")]
#[test_case(&["status", "--settings", ENTRY_SETTINGS], 2, "unknown key"; "settings of another program")]
#[test_case(&["wave", "pause", "w", "--fleet", CLOSED_ADDRESS], 2, "no operator is named"; "no operator")]
#[test_case(&["wave", "pause", "w", "--operator", "a/b"], 2, "accepted: a name"; "operator that is no name")]
#[test_case(&["check", KUISEB_SHEET], 0, "12 rows, no findings"; "clean sheet")]
#[test_case(&["check", ANDAMAN_SHEET, "--json"], 0, "\"rows\": 12"; "clean sheet as JSON")]
#[test_case(&["check", CONTROL_SETTINGS], 1, "column is missing"; "findings")]
#[test_case(&["status"], 3, "use --fleet or --settings"; "no fleet")]
#[test_case(&["status", "--fleet", CLOSED_ADDRESS], 3, "127.0.0.1:1: "; "unreachable")]
#[test_case(&["dump", CLOSED_ADDRESS], 3, "process can't be reached"; "unreachable process")]
#[test_case(&["plan", KUISEB_SHEET, "--fleet", CLOSED_ADDRESS], 3, "fleet can't be reached"; "plan without a fleet")]
fn verify_exit_codes_follow_the_convention(
    arguments: &[&str],
    expected_code: i32,
    expected_text: &str,
) {
    let output = run(arguments);
    let text = text_of(&output);
    assert_eq!(exit_code(&output), Some(expected_code), "{text}");
    assert!(text.contains(expected_text), "{text}");
}

#[test]
fn verify_json_stands_before_or_after_the_command() {
    for arguments in [
        ["--json", "check", CONTROL_SETTINGS],
        ["check", CONTROL_SETTINGS, "--json"],
    ] {
        let output = run(&arguments);
        assert_eq!(exit_code(&output), Some(1));
        let findings = json_of(&output);
        assert_eq!(findings["findings"][0]["place"]["line"], 1);
    }
    let output = run(&["status", "--fleet", CLOSED_ADDRESS, "--json"]);
    assert!(json_of(&output)["error"].is_string());
}

#[test]
fn verify_names_are_encoded_in_urls() {
    let fake = Fake::start(vec![Reply::Json(404, json!({ "error": "absent" }))]);
    let output = with_fleet(fake.address, &["explain", "wave", "a b/c?d%e"]);
    assert_eq!(exit_code(&output), Some(1));
    assert_eq!(fake.calls(), ["GET /v1/explain/wave/a%20b%2Fc%3Fd%25e"]);
}

#[test]
fn verify_an_instance_that_is_not_ready_leads_to_the_next() {
    let not_ready = Fake::start(vec![Reply::Json(503, json!({ "error": "not ready" }))]);
    let ready = Fake::start(vec![Reply::Json(200, json!({ "changed": true }))]);
    let fleet = format!("{CLOSED_ADDRESS},{},{}", not_ready.address, ready.address);
    let output = run(&[
        "wave",
        "pause",
        "w",
        "--operator",
        "amara",
        "--fleet",
        &fleet,
    ]);
    assert_eq!(exit_code(&output), Some(0), "{}", text_of(&output));
    assert_eq!(ready.calls(), ["POST /v1/waves/w/pause?operator=amara"]);
}

fn sheet_in_force(intents: &Value) -> Value {
    let at = json!({ "secs_since_epoch": 1, "nanos_since_epoch": 0 });
    let sheet = json!({ "operator": "amara", "at": at, "intents": intents });
    json!({ "revision": 7, "sheet": sheet })
}

fn kuiseb_intents() -> Value {
    let bytes = std::fs::read(KUISEB_SHEET).expect("sheet");
    json!(persimmongate_core::sheet::parse_intents(&bytes).expect("clean sheet"))
}

#[test]
fn verify_a_lost_answer_is_looked_up() {
    let lost = Reply::Close;
    let fake = Fake::start(vec![
        lost,
        Reply::Json(200, sheet_in_force(&kuiseb_intents())),
    ]);
    let output = with_fleet(fake.address, &["apply", KUISEB_SHEET]);
    assert_eq!(exit_code(&output), Some(0), "{}", text_of(&output));
    assert!(text_of(&output).contains("in force at revision 7"));
    assert_eq!(
        fake.calls(),
        ["POST /v1/sheet?operator=amara", "GET /v1/sheet"]
    );
}

#[test]
fn verify_a_lost_answer_without_effect_is_not_called_success_or_refusal() {
    let other_sheet = Reply::Json(200, sheet_in_force(&json!([])));
    let undecided = Reply::Json(504, json!({ "result": "unsettled" }));
    let fake = Fake::start([vec![undecided], vec![other_sheet; 5]].concat());
    let output = with_fleet(fake.address, &["apply", KUISEB_SHEET]);
    assert_eq!(exit_code(&output), Some(3));
    assert!(text_of(&output).contains("not known whether the sheet comes into force"));
}

#[test]
fn verify_a_conflict_shows_operator_and_differences() {
    let before = json!({ "Pool": { "name": "finder", "service": "finder", "hosts": 8 } });
    let after = json!({ "Pool": { "name": "finder", "service": "finder", "hosts": 9 } });
    let difference = json!({ "subject": "pool finder", "before": before, "after": after });
    let conflict = json!({
        "result": "conflict", "revision": 7, "operator": "tomas",
        "at": "2026-12-04T06:00:00Z", "differences": [difference],
    });
    let fake = Fake::start(vec![Reply::Json(409, conflict)]);
    let output = with_fleet(fake.address, &["apply", KUISEB_SHEET]);
    assert_eq!(exit_code(&output), Some(1));
    let text = text_of(&output);
    assert!(text.contains("tomas applied another sheet"), "{text}");
    assert!(
        text.contains("pool finder: 8 hosts for finder -> 9 hosts for finder"),
        "{text}"
    );
    assert!(text.contains("--base 7"), "{text}");
}

// Guards against a command that ends by a panic, or calls an answer that it can't read a success.
#[test_case(&"[".repeat(100_000).into_bytes(); "nested lists")]
#[test_case(&r#"{"x":"#.repeat(100_000).into_bytes(); "nested objects")]
#[test_case(b"\xff\xfe"; "not UTF-8")]
#[test_case(b""; "nothing")]
#[test_case(b"null"; "null")]
#[test_case(b"1e400"; "number above all floats")]
#[test_case(b"{}"; "no fields")]
#[test_case(br#"{"revision":-1}"#; "negative revision")]
#[test_case(br#"{"revision":18446744073709551616}"#; "revision above 64 bits")]
#[test_case(br#"{"revision":7,"sheet":{"operator":"o","at":{"secs_since_epoch":18446744073709551615,"nanos_since_epoch":0},"intents":[]}}"#; "time out of range")]
fn verify_odd_answer_is_no_success(body: &[u8]) {
    let commands: [&[&str]; 5] = [
        &["status"],
        &["explain", "wave", "w"],
        &["plan", KUISEB_SHEET],
        &["apply", KUISEB_SHEET],
        &["wave", "pause", "w"],
    ];
    for command in commands {
        let fake = Fake::start(vec![Reply::Raw(200, body.to_vec()); 8]);
        let output = with_fleet(fake.address, command);
        let code = exit_code(&output);
        assert!(matches!(code, Some(1..=3)), "{command:?}: {code:?}");
        assert!(!text_of(&output).contains("panicked"), "{command:?}");
    }
}
