//! A process whose children can't start gives up after a few tries.

use persimmongate_node::supervisor::EXIT_SUPERVISION_FAILED;
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;
use persimmongate_tests::process::Process;

#[actix_rt::test]
async fn verify_process_without_address_gives_up() {
    let cluster = Cluster::start().await;
    let pairs = [
        ("persimmongate-entry", &cluster.entries[0]),
        ("persimmongate-fleet", &cluster.fleet[0]),
    ];
    for (program, node) in pairs {
        let path = cluster.folder.join(format!("{}.toml", node.name));
        let arguments = ["--settings", path.to_str().unwrap()];
        let mut again = Process::start(&cluster.folder, "again", program, &arguments);
        assert_eq!(
            again.wait_for_exit().await.code(),
            Some(EXIT_SUPERVISION_FAILED)
        );
    }
    let call = Call::idempotent("finder", 0, 10);
    let told = call
        .send(&cluster.http, cluster.entries[0].caller_address())
        .await;
    assert_eq!(told, Outcome::Answered);
}
