//! Tests of the parser and the comparison of sheets.

use persimmongate_core::errors::Error;
use persimmongate_core::finding::Finding;
use persimmongate_core::sheet::{Intent, diff, parse_intents, parse_rows};
use test_case::test_case;

const HEADER: &str = "intent,name,pool,service,hosts,batch,slots";
const POOL: &str = "pool,finder,,finder,8,,";

fn findings(bytes: &[u8]) -> Vec<Finding> {
    match parse_rows(bytes) {
        Err(Error::Findings(findings)) => findings.items,
        other => panic!("no findings: {other:?}"),
    }
}

/// Returns line and column of each finding of rows that follow a header and a valid pool row.
fn locations(rows: &str) -> Vec<(usize, String)> {
    let text = format!("{HEADER}\n{POOL}\n{rows}\n");
    let items = findings(text.as_bytes());
    let location = |finding: Finding| (finding.location.line, finding.location.column);
    items.into_iter().map(location).collect()
}

fn pool() -> Intent {
    Intent::Pool {
        name: "finder".into(),
        service: Some("finder".into()),
        hosts: 8,
    }
}

#[test_case("\u{feff}intent;name;pool;service;hosts;batch;slots\r\n\r\npool; finder ;;finder;8;;\r\n"; "semicolons")]
#[test_case("intent,name,pool,service,hosts,batch,slots\n,,,,,,\npool,\"finder\",,finder,8,,\n"; "commas")]
#[test_case("Note,SLOTS,batch, Hosts ,service,pool,name,Intent\n\"two\nlines, quoted\",,,8,finder,,finder,POOL\n"; "other order and case")]
#[test_case("intent,name,pool,service,hosts,batch,slots,,\rpool,\u{a0}finder,,finder,8\r"; "short row and spaces that do not break")]
fn verify_exports_of_spreadsheets_are_parsed(text: &str) {
    assert_eq!(parse_intents(text.as_bytes()), Ok(vec![pool()]));
}

#[test_case("\n"; "line feed")]
#[test_case("\r\n"; "carriage return and line feed")]
#[test_case("\r"; "carriage return")]
fn verify_rows_have_the_line_numbers_of_the_file(end: &str) {
    let rows = [
        "intent,name,pool,service,hosts,batch,slots,note",
        "",
        "pool,finder,,finder,8,,,\"a note",
        "of two lines\"",
        ",,,,,,,",
        "budget,,,finder,6,,,",
    ];
    let lines: Vec<usize> = parse_rows(rows.join(end).as_bytes())
        .expect("clean sheet")
        .into_iter()
        .map(|row| row.line)
        .collect();
    assert_eq!(lines, [3, 6]);
}

#[test_case("wave,w,absent,,,2,", 3, "pool"; "unknown pool")]
#[test_case("budget,,,absent,2,,", 3, "service"; "unknown service")]
#[test_case("quota,c,,absent,,,2", 3, "service"; "quota in unknown service")]
#[test_case("shrink,x,,,,,", 3, "intent"; "unknown intent")]
#[test_case("pool,other,,,many,,", 3, "hosts"; "no number")]
#[test_case("pool,other,,,-1,,", 3, "hosts"; "negative")]
#[test_case("pool,other,,,+1,,", 3, "hosts"; "sign")]
#[test_case("pool,other,,,8.0,,", 3, "hosts"; "decimals")]
#[test_case("pool,other,,,32001,,", 3, "hosts"; "too many hosts")]
#[test_case("pool,other,,,99999999999999999999,,", 3, "hosts"; "number too long")]
#[test_case("budget,,,finder,0,,", 3, "hosts"; "zero budget")]
#[test_case("wave,w,finder,,,0,", 3, "batch"; "zero batch")]
#[test_case("quota,c,,finder,,,0", 3, "slots"; "zero slots")]
#[test_case("wave,w,finder,,,02/03/2026,", 3, "batch"; "date in place of a number")]
#[test_case("wave,2.12.2026,finder,,,2,", 3, "name"; "local date as a name")]
#[test_case("wave,2-Dec,finder,,,2,", 3, "name"; "shortened date as a name")]
#[test_case("pool,spare,,,4,,", 3, "name"; "pool named spare")]
#[test_case("wave,w,spare,,,2,", 3, "pool"; "wave over the spare pool")]
#[test_case("pool,empty,,,0,,\nwave,w,empty,,,1,", 4, "batch"; "wave over an empty pool")]
#[test_case("wave,w,finder,,,9,", 3, "batch"; "batch above the pool")]
#[test_case("budget,,,finder,9,,", 3, "hosts"; "budget above the pool")]
#[test_case("pool,finder,,other,8,,", 3, ""; "pool twice")]
#[test_case("move,h,finder,,,,\nmove,h,spare,,,,", 4, ""; "move of one host twice")]
#[test_case("pool,one,,,1,,\nmove,h,one,,,,\nmove,i,one,,,,", 5, "pool"; "moves above the pool")]
#[test_case("budget,,,finder,6,2,", 3, "batch"; "cell that the row does not use")]
#[test_case("budget,,,finder,6,,,,x", 3, ""; "cell without a column")]
#[test_case("pool,a b,,,1,,", 3, "name"; "space in a name")]
#[test_case("pool,a\0b,,,1,,", 3, "name"; "nul")]
#[test_case("pool,,,,1,,", 3, "name"; "empty name")]
fn verify_findings_carry_line_and_column(rows: &str, line: usize, column: &str) {
    let locations = locations(rows);
    assert!(
        locations.contains(&(line, column.to_owned())),
        "{locations:?}"
    );
    assert!(
        locations.iter().all(|location| location.0 == line),
        "{locations:?}"
    );
}

#[test]
fn verify_a_finding_of_a_duplicate_names_both_lines() {
    let text = format!("{HEADER}\n{POOL}\n\n{POOL}\n");
    let items = findings(text.as_bytes());
    assert_eq!(items.len(), 1);
    assert_eq!(items[0].location.line, 4);
    assert!(items[0].problem.contains("line 2"), "{}", items[0]);
}

#[test]
fn verify_all_findings_are_reported_together_and_sorted() {
    let text = format!(
        "{HEADER}\nwave,w,absent,,,2,\npool,finder,,finder,many,,\nbudget,,,finder,6,,\nshrink,x,,,,,\n"
    );
    let items = findings(text.as_bytes());
    let seen: Vec<_> = items
        .iter()
        .map(|item| (item.location.line, &*item.location.column, &*item.value))
        .collect();
    let expected = [
        (2, "pool", "absent"),
        (3, "hosts", "many"),
        (5, "intent", "shrink"),
    ];
    assert_eq!(seen, expected);
    assert!(items.iter().all(|item| !item.accepted.is_empty()));
}

#[test]
fn verify_a_malformed_row_neither_hides_nor_causes_findings_of_other_rows() {
    let rows = "pol,typo,,typo,8,,\nbudget,,,typo,9,,\nbudget,,,finder,9,,\nwave,w,typo,,,9,\n\
        pool,other,,other,many,,\nbudget,,,other,9,,";
    let expected = [(3, "intent"), (5, "hosts"), (7, "hosts")];
    let expected = expected.map(|(line, column)| (line, column.to_owned()));
    assert_eq!(locations(rows), expected);
}

#[test]
fn verify_text_in_another_encoding_is_rejected() {
    let mut text = format!("{HEADER}\n").into_bytes();
    text.extend(b"pool,fi\xffnder,,,8,,\n");
    let items = findings(&text);
    assert_eq!(
        (items[0].location.line, &*items[0].location.column),
        (2, "name")
    );
    let items = findings(b"\xff\xfei\0n\0");
    assert_eq!(items.len(), 1);
}

#[test_case("", "empty"; "nothing")]
#[test_case("\r\n;;;\r\n", "empty"; "blank rows")]
#[test_case("intent,name\n", "missing"; "short header")]
#[test_case("intent,name,pool,service,hosts,batch,slots,start\n", "unknown column"; "unknown column")]
#[test_case("intent,name,pool,service,hosts,batch,slots,name\n", "twice"; "column twice")]
#[test_case("intent,name,pool,service,hosts,batch,slots,note\npool,finder,,finder,8,,,\"lost\nbudget,,,finder,6,,,\n", "quote"; "open quote")]
fn verify_malformed_sheets_are_rejected(text: &str, problem: &str) {
    let items = findings(text.as_bytes());
    assert!(
        items.iter().any(|item| item.problem.contains(problem)),
        "{items:?}"
    );
}

#[test]
fn verify_sizes_are_limited() {
    let name = "n".repeat(65);
    assert_eq!(locations(&format!("move,{name},finder,,,,")).len(), 1);
    let rows: Vec<String> = (0..40_000)
        .map(|index| format!("move,h{index},spare,,,,"))
        .collect();
    assert_eq!(locations(&rows.join("\n")), [(40_002, String::new())]);
    let items = findings(&vec![b','; 16 * 1024 * 1024 + 1]);
    assert_eq!(items.len(), 1);
}

#[test]
fn verify_differences_ignore_the_order_of_rows() {
    let budget = |hosts| Intent::Budget {
        service: "finder".into(),
        hosts,
    };
    assert!(diff(&[pool(), budget(6)], &[budget(6), pool()]).is_empty());
    let differences = diff(&[pool(), budget(6)], &[budget(7)]);
    let texts: Vec<String> = differences.iter().map(ToString::to_string).collect();
    let expected = [
        "budget of finder: 6 hosts -> 7 hosts",
        "pool finder: removed, was 8 hosts for finder",
    ];
    assert_eq!(texts, expected);
}
