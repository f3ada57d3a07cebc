//! A second process is started with the settings, and so the addresses, of a running one.
//!
//! Guards against a process that retries for ever when its children can't listen: it must exit with
//! the code for failed supervision after a limited number of restarts, and the running process must
//! not be affected.

use persimmongate_node::supervisor::EXIT_SUPERVISION_FAILED;
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;
use persimmongate_tests::process::Process;

#[actix_rt::test]
async fn verify_process_with_occupied_address_exits() {
    let cluster = Cluster::start().await;
    let pairs = [
        ("persimmongate-entry", &cluster.entries[0]),
        ("persimmongate-fleet", &cluster.fleet[0]),
    ];
    for (program, node) in pairs {
        let path = cluster.folder.join(format!("{}.toml", node.name));
        let arguments = ["--settings", path.to_str().unwrap()];
        let mut second_process =
            Process::start(&cluster.folder, "second-process", program, &arguments);
        assert_eq!(
            second_process.wait_for_exit().await.code(),
            Some(EXIT_SUPERVISION_FAILED)
        );
    }
    let call = Call::idempotent("finder", 0, 10);
    let outcome = call
        .send(&cluster.http, cluster.entries[0].caller_address())
        .await;
    assert_eq!(outcome, Outcome::Answered);
}
