//! Decoding of the platform's host list, whose rows others fill.

use std::fmt::Write;

use persimmongate_node::platform::decode_host_list;
use test_case::test_case;

/// Row of the host `odd`, with the text of one field replaced.
fn row(field: &str, value: &str) -> String {
    let fields = [
        ("host", r#""odd""#),
        ("address", r#""127.0.0.1:8000""#),
        ("zone", r#""z""#),
        ("rack", r#""r""#),
        ("generation", "1"),
        ("slots", "8"),
        ("connections", "2"),
    ];
    let mut row = String::new();
    for (name, usual) in fields {
        let value = if name == field { value } else { usual };
        write!(
            row,
            "{}\"{name}\":{value}",
            if row.is_empty() { "{" } else { "," }
        )
        .unwrap();
    }
    row + "}"
}

fn hosts(body: &[u8]) -> Vec<String> {
    let list = decode_host_list(body).unwrap();
    let names = list.hosts.iter().map(|listing| listing.host.to_string());
    names.collect()
}

// Guards against a list that is of no use to any reader because of one of its rows.
#[test_case(&row("address", r#""127.0.0.1:99999""#), Some("odd"); "port out of range")]
#[test_case(&row("address", r#""127.0.0.1:65536""#), Some("odd"); "port above the last")]
#[test_case(&row("address", r#""127.0.0.1:0""#), Some("odd"); "port 0")]
#[test_case(&row("address", r#""127.0.0.1:-1""#), Some("odd"); "negative port")]
#[test_case(&row("address", r#""127.0.0.1""#), Some("odd"); "no port")]
#[test_case(&row("address", "8000"), Some("odd"); "number for an address")]
#[test_case(&row("generation", "18446744073709551615"), Some("odd"); "largest generation")]
#[test_case(&row("generation", "18446744073709551616"), Some("odd"); "generation above 64 bits")]
#[test_case(&row("generation", "1e400"), Some("odd"); "generation above all floats")]
#[test_case(&row("generation", "-1"), Some("odd"); "negative generation")]
#[test_case(&row("generation", "1.5"), Some("odd"); "fraction")]
#[test_case(&row("slots", "65536"), Some("odd"); "slots above 16 bits")]
#[test_case(&row("connections", "null"), Some("odd"); "null")]
#[test_case(&row("zone", &("[".repeat(100_000) + &"]".repeat(100_000))), Some("odd"); "nested lists")]
#[test_case(&row("zone", &(r#"{"x":"#.repeat(100_000) + "1" + &"}".repeat(100_000))), Some("odd"); "nested objects")]
#[test_case(&row("host", r#""""#), Some(""); "no name")]
#[test_case(&row("host", "7"), None; "number for a name")]
#[test_case(r#"{"host":"odd"}"#, Some("odd"); "only a name")]
#[test_case("{}", None; "no fields")]
#[test_case("null", None; "no row")]
#[test_case("[]", None; "list for a row")]
#[test_case(r#""odd""#, None; "text for a row")]
#[test_case("1e400", None; "number for a row")]
#[test_case(&("[".repeat(100_000) + &"]".repeat(100_000)), None; "nested rows")]
fn verify_odd_row_hides_no_other_row(odd: &str, name: Option<&str>) {
    let (first, last) = (row("host", r#""first""#), row("host", r#""last""#));
    let body = format!("[{first},{odd},{last}]");
    assert_eq!(hosts(body.as_bytes()), ["first", "last"]);
    let skipped = decode_host_list(body.as_bytes()).unwrap().skipped;
    assert_eq!(skipped.len(), 1);
    // A host that is named counts as listed, so it isn't taken for one that has left.
    assert_eq!(skipped[0].host.as_deref(), name);
}

#[test]
fn verify_row_with_an_unknown_field_is_read() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let later = row("slots", &format!("8,\"later\":{nested}"));
    let list = decode_host_list(format!("[{later}]").as_bytes()).unwrap();
    assert_eq!(list.skipped, []);
    assert_eq!(list.hosts.len(), 1);
}

#[test]
fn verify_row_that_is_not_utf_8_hides_no_other_row() {
    let (first, last) = (row("host", r#""first""#), row("host", r#""last""#));
    let head = format!("[{first},{{\"host\":\"");
    let tail = format!("\"}},{last}]");
    let body = [head.as_bytes(), b"\xff\xfe", tail.as_bytes()].concat();
    assert_eq!(hosts(&body), ["first", "last"]);
}

#[test_case(b""; "nothing")]
#[test_case(b"{}"; "no list")]
#[test_case(b"[{]"; "end in a row")]
#[test_case(b"[1"; "no end")]
fn verify_body_that_is_no_list_is_an_error(body: &[u8]) {
    assert!(decode_host_list(body).is_err());
}
