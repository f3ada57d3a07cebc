//! Two operators apply different sheets at once.

use std::fs;

use persimmongate_tests::cluster::{Cluster, SHEET};

#[actix_rt::test]
async fn verify_second_operator_sees_conflict() {
    let cluster = Cluster::start().await;
    let base = cluster.state().await.unwrap().revision.to_string();
    let sheets = [("first", 5_u32), ("second", 7)];
    let apply = sheets.map(|(operator, hosts)| {
        let path = cluster.folder.join(format!("{operator}.csv"));
        let sheet = SHEET.replace("finder,6", &format!("finder,{hosts}"));
        fs::write(&path, sheet).unwrap();
        let command = ["apply", path.to_str().unwrap(), "--base", &base];
        cluster.start_ctl(operator, &command)
    });
    let mut accepted = Vec::new();
    for ((_, hosts), mut process) in sheets.into_iter().zip(apply) {
        match process.wait_for_exit().await.code() {
            Some(0) => accepted.push(hosts),
            code => {
                assert_eq!(code, Some(1));
                assert!(!fs::read(&process.log_path).unwrap().is_empty());
            }
        }
    }
    assert_eq!(accepted.len(), 1, "{accepted:?}");
    cluster.wait_for_filled_pools().await;
    let state = cluster.state().await.unwrap();
    assert_eq!(state.pools["finder"].target, accepted[0]);
}
