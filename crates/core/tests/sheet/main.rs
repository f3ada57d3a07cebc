//! Tests of the sheet.

use persimmongate_core::errors::Error;
use persimmongate_core::sheet::{Intent, parse};
use test_case::test_case;

const HEADER: &str = "intent,name,pool,service,hosts,batch,slots";

#[test_case("\u{feff}intent;name;pool;service;hosts;batch;slots\r\n\r\npool; finder ;;finder;8;;\r\n"; "semicolons")]
#[test_case("intent,name,pool,service,hosts,batch,slots\n,,,,,,\npool,\"finder\",,finder,8,,\n"; "commas")]
fn verify_forms_of_spreadsheets_are_read(text: &str) {
    let pool = Intent::Pool {
        name: "finder".into(),
        service: Some("finder".into()),
        hosts: 8,
    };
    assert_eq!(parse(text.as_bytes()), Ok(vec![pool]));
}

#[test]
fn verify_all_findings_are_reported_together() {
    let text = format!("{HEADER}\npool,finder,,finder,many,,\nwave,w,absent,,,2,\nshrink,x,,,,,\n");
    let Err(Error::Findings(findings)) = parse(text.as_bytes()) else {
        panic!("no findings")
    };
    let seen: Vec<_> = findings
        .items
        .iter()
        .map(|finding| (finding.place.column.as_str(), finding.value.as_str()))
        .collect();
    assert_eq!(
        seen,
        [("pool", "absent"), ("hosts", "many"), ("intent", "shrink")]
    );
}
