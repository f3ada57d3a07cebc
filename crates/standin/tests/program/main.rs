//! The command-line program, and the JSON form of the faults that it accepts.

use std::collections::BTreeSet;
use std::process::Command;

use persimmongate_standin::faults::{Fault, HostList, Log, Target, Worker};
use test_case::test_case;

#[test]
fn verify_ports_are_distinct() {
    let output = Command::new(env!("CARGO_BIN_EXE_persimmongate-standin"))
        .args(["ports", "5"])
        .output()
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.lines().collect::<BTreeSet<_>>().len(), 5);
}

#[test_case(r#"{"log":"mute"}"#, &Fault::Log(Log::Unanswered); "lost answers")]
#[test_case(r#"{"log":{"slow":50}}"#, &Fault::Log(Log::Slow(50)); "slow log")]
#[test_case(r#"{"retention":10}"#, &Fault::Retention(10); "retention")]
#[test_case(
    r#"{"list":{"frozen":true}}"#,
    &Fault::HostList(HostList { is_frozen: true, missing_hosts: Vec::new() }); "stale list"
)]
#[test_case(
    r#"{"workers":{"target":{"rack":"rack-01"},"fault":"vanished"}}"#,
    &Fault::Workers { target: Target::Rack("rack-01".into()), fault: Worker::Crashed }; "rack"
)]
#[test_case(
    r#"{"workers":{"target":"all","fault":{"late":9}}}"#,
    &Fault::Workers { target: Target::All, fault: Worker::Late(9) }; "late answers"
)]
fn verify_faults_decode_from_json(json: &str, fault: &Fault) {
    assert_eq!(serde_json::from_str::<Fault>(json).unwrap(), *fault);
}
