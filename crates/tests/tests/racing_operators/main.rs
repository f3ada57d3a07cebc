//! Two operators apply different sheets to the same revision at once.
//!
//! Guards against one sheet silently replacing the other: exactly one is accepted, and the other
//! operator gets an error.

use std::fs;

use persimmongate_tests::cluster::{Cluster, SHEET};

#[actix_rt::test]
async fn verify_second_operator_sees_conflict() {
    let cluster = Cluster::start().await;
    let base_revision = cluster.state().await.unwrap().revision.to_string();
    let sheets = [("first", 5_u32), ("second", 7)];
    let processes = sheets.map(|(operator, pool_size)| {
        let path = cluster.folder.join(format!("{operator}.csv"));
        let sheet = SHEET.replace("finder,6", &format!("finder,{pool_size}"));
        fs::write(&path, sheet).unwrap();
        let command = ["apply", path.to_str().unwrap(), "--base", &base_revision];
        cluster.start_ctl(operator, &command)
    });
    let mut accepted_sizes = Vec::new();
    for ((_, pool_size), mut process) in sheets.into_iter().zip(processes) {
        match process.wait_for_exit().await.code() {
            Some(0) => accepted_sizes.push(pool_size),
            code => {
                assert_eq!(code, Some(1));
                assert!(!fs::read(&process.log_path).unwrap().is_empty());
            }
        }
    }
    assert_eq!(accepted_sizes.len(), 1, "{accepted_sizes:?}");
    cluster.wait_for_filled_pools().await;
    let state = cluster.state().await.unwrap();
    assert_eq!(state.pools["finder"].target, accepted_sizes[0]);
}
