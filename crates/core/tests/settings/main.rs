//! Tests of the settings of the daemons and of the command line tool.

use std::time::Duration;

use persimmongate_core::errors::{Error, Result};
use persimmongate_core::settings::{Control, Entry, Fleet, Gateway};
use test_case::test_case;

const ENTRY: &str = include_str!("../../../../examples/settings/entry.toml");
const FLEET: &str = include_str!("../../../../examples/settings/fleet.toml");
const GATEWAY: &str = include_str!("../../../../examples/settings/gateway.toml");
const CONTROL: &str = include_str!("../../../../examples/settings/persimmonctl.toml");

/// Returns line and key of each finding.
fn locations<T: std::fmt::Debug>(result: Result<T>) -> Vec<(usize, String)> {
    let Err(Error::Findings(findings)) = result else {
        panic!("no findings: {result:?}")
    };
    assert!(findings.items.iter().all(|item| !item.accepted.is_empty()));
    let items = findings.items.into_iter();
    items
        .map(|item| (item.location.line, item.location.column))
        .collect()
}

/// Uncomments the default values that an example shows as comments.
fn uncomment_defaults(text: &str) -> String {
    let lines = text.lines();
    let lines = lines.map(|line| match line.strip_prefix("# ") {
        Some(uncommented)
            if uncommented
                .split_once(" = ")
                .is_some_and(|(key, _)| !key.contains(' ')) =>
        {
            uncommented
        }
        _ => line,
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn verify_examples_show_each_key_with_its_default() {
    let entry = Entry::try_from(ENTRY).expect("entry");
    assert_eq!(Entry::try_from(&*uncomment_defaults(ENTRY)), Ok(entry));
    let fleet = Fleet::try_from(FLEET).expect("fleet");
    assert_eq!(Fleet::try_from(&*uncomment_defaults(FLEET)), Ok(fleet));
    let gateway = |text: &str| format!("{:?}", Gateway::try_from(text).expect("gateway"));
    assert_eq!(gateway(&uncomment_defaults(GATEWAY)), gateway(GATEWAY));
    assert_eq!(
        Control::try_from(CONTROL)
            .expect("control")
            .fleet_addresses
            .len(),
        3
    );
    // The finding of an unknown key lists all known keys; each must be in the example.
    for (text, error) in [
        (ENTRY, Entry::try_from("x = 1").expect_err("refused")),
        (FLEET, Fleet::try_from("x = 1").expect_err("refused")),
        (GATEWAY, Gateway::try_from("x = 1").expect_err("refused")),
        (CONTROL, Control::try_from("x = 1").expect_err("refused")),
    ] {
        let Error::Findings(findings) = error else {
            panic!("{error}")
        };
        let unknown = findings
            .items
            .iter()
            .find(|item| item.location.column == "x");
        let known = &unknown.expect("unknown key").accepted;
        for key in known.split(", ") {
            assert!(
                uncomment_defaults(text).contains(&format!("{key} = ")),
                "{key}"
            );
        }
    }
}

#[test_case("instance = \"entry-0\"", "", 1, "instance"; "missing name")]
#[test_case("zone = \"khomas-a\"", "", 1, "zone"; "absent zone")]
#[test_case("zone = \"khomas-a\"", "zone = \"\"", 7, "zone"; "empty zone")]
#[test_case("zone = \"khomas-a\"", "zone = 4", 7, "zone"; "number as zone")]
#[test_case("zone = \"khomas-a\"", "zone = \"a/b\"", 7, "zone"; "slash in a name")]
#[test_case("127.0.0.1:7100", "localhost:7100", 9, "http"; "name as address")]
#[test_case("127.0.0.1:7100", "0.0.0.0:7100", 9, "http"; "address of no host")]
#[test_case("127.0.0.1:7100", "127.0.0.1:0", 9, "http"; "port zero")]
#[test_case("127.0.0.1:7101", "127.0.0.1:7100", 11, "peer"; "same address")]
#[test_case("127.0.0.1:7102", "0.0.0.0:7100", 13, "listen"; "overlap with all addresses")]
#[test_case("127.0.0.1:7121", "127.0.0.1:7101", 17, "seeds"; "own address as a seed")]
#[test_case("127.0.0.1:7121", "127.0.0.1:7111", 17, "seeds"; "seed twice")]
#[test_case("# renew = \"2s\"", "renew = 2", 20, "renew"; "duration without unit")]
#[test_case("# renew = \"2s\"", "renew = \"2 days\"", 20, "renew"; "unknown unit")]
#[test_case("# renew = \"2s\"", "renew = \"-2s\"", 20, "renew"; "negative duration")]
#[test_case("# renew = \"2s\"", "renew = \"0s\"", 20, "renew"; "zero duration")]
#[test_case("# renew = \"2s\"", "renew = \"2h\"", 20, "renew"; "duration out of range")]
#[test_case("# renew = \"2s\"", "renew = \"99999999999h\"", 20, "renew"; "duration too long")]
#[test_case("# log = \"json\"", "log = \"xml\"", 22, "log"; "unknown choice")]
#[test_case("# body_max = \"1MiB\"", "body_max = \"1GB\"", 24, "body_max"; "unknown unit of size")]
#[test_case("# body_max = \"1MiB\"", "body_max = \"1B\"", 24, "body_max"; "size out of range")]
#[test_case("# deadline = \"10s\"", "dead_line = \"10s\"", 26, "dead_line"; "unknown key")]
#[test_case("# deadline = \"10s\"", "deadline = ", 26, ""; "no TOML")]
fn verify_findings_carry_line_and_key(from: &str, to: &str, line: usize, key: &str) {
    assert!(ENTRY.contains(from));
    let text = ENTRY.replacen(from, to, 1);
    assert_eq!(locations(Entry::try_from(&*text)), [(line, key.to_owned())]);
}

#[test]
fn verify_all_findings_are_reported_together() {
    let text = "instance = \"\"\nhttp = \"here\"\npeer = \"127.0.0.1:1\"\nplatform = \"127.0.0.1:1\"\n\
        renew = \"9\"\nseeds = [\n  \"127.0.0.1:2\",\n  \"there\",\n]\nextra = 1\n";
    let seen = locations(Fleet::try_from(text));
    let expected = [
        (1, "instance"),
        (1, "zone"),
        (2, "http"),
        (4, "platform"),
        (5, "renew"),
        (8, "seeds"),
        (10, "extra"),
    ];
    let expected = expected.map(|(line, key)| (line, key.to_owned()));
    assert_eq!(seen, expected);
}

#[test]
fn verify_the_member_timeout_spans_three_renewals() {
    let text = format!("renew = \"4s\"\n{FLEET}");
    assert_eq!(
        locations(Fleet::try_from(&*text)),
        [(1, "member_timeout".to_owned())]
    );
    let text = format!("member_timeout = \"12s\"\n{text}");
    let fleet = Fleet::try_from(&*text).expect("settings");
    assert_eq!(fleet.manager.member_timeout, Duration::from_secs(12));
}

#[test_case("# processor = 1.0", "processor = 0.0", "processor"; "no processor time")]
#[test_case("# processor = 1.0", "processor = \"fast\"", "processor"; "text as processor time")]
#[test_case("# lease_max = \"10s\"", "lease_max = 10", "lease_max"; "lease without unit")]
#[test_case("# remote_slowdown = 1.0", "remote_slowdown = \"2\"", "remote_slowdown"; "slowdown in quotes")]
#[test_case("# remote_slowdown = 1.0", "remote_slowdown = -2.0", "remote_slowdown"; "slowdown below zero")]
#[test_case("# shards = 24", "shards = 1", "shards"; "too few shards")]
#[test_case("# memory = \"256MiB\"", "memory = \"32MiB\"", "memory"; "too little memory")]
#[test_case("# memory = \"256MiB\"", "memory = 256", "memory"; "memory without unit")]
#[test_case("# connections = 655", "connections = 2000", "connections"; "more connections than descriptors")]
#[test_case("# head_max = \"16KiB\"", "head_max = \"1MiB\"", "head_max"; "heads longer than the library takes")]
#[test_case("# bodies = \"42MiB\"", "bodies = \"256KiB\"", "bodies"; "no room for one body")]
#[test_case("# head_time = \"5s\"", "head_time = \"10ms\"", "head_time"; "no time for a head")]
#[test_case("# stall = \"250ms\"", "stall = \"1m\"", "stall"; "no room for others")]
fn verify_invalid_gateway_setting_is_reported(from: &str, to: &str, key: &str) {
    let text = GATEWAY.replacen(from, to, 1);
    assert_ne!(text, GATEWAY);
    let findings = locations(Gateway::try_from(&*text));
    assert_eq!(
        findings.into_iter().map(|(_, key)| key).collect::<Vec<_>>(),
        [key]
    );
}

// The smallest machine of the platform, and a larger one whose descriptors are the limit.
#[test_case("160MiB", 4_100, 416, 26; "little memory")]
#[test_case("512MiB", 4_100, 656, 85; "few descriptors")]
fn verify_limits_follow_from_the_host(
    memory: &str,
    descriptors: usize,
    connections: usize,
    mebibytes: usize,
) {
    let text = format!("memory = \"{memory}\"\ndescriptors = {descriptors}\n{GATEWAY}");
    let limits = Gateway::try_from(&*text).expect("gateway").limits;
    assert_eq!(limits.connections, connections);
    assert_eq!(limits.total_body_bytes, mebibytes * 1024 * 1024);
    // What callers may send: heads of 16,384 bytes in 3 s, bodies of 262,144, and 15 s without a request.
    assert!(limits.head_bytes >= 16_384 && limits.body_bytes >= 262_144);
    assert!(limits.head_timeout > Duration::from_secs(3));
    assert!(limits.idle_timeout > Duration::from_secs(15));
}

#[test]
fn verify_processor_time_is_read_in_cores() {
    for (text, millicores) in [("0.25", 250), ("2", 2_000), ("0.12", 120)] {
        let text = GATEWAY.replacen("# processor = 1.0", &format!("processor = {text}"), 1);
        let gateway = Gateway::try_from(&*text).expect("gateway");
        assert_eq!(gateway.cpu_millicores, millicores);
    }
}
