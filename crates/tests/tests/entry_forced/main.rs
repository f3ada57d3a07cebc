//! A second SIGTERM during the graceful shutdown of an entry host.
//!
//! Guards against an operator who can't stop an entry host that waits for a long request: the
//! second signal must end it at once, and the request must not run again under its key.

use std::time::Duration;

use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;
use persimmongate_tests::wait::wait_until;
use rustix::process::Signal;

/// Duration of the request in flight, in milliseconds.
const WORK_MS: u64 = 600_000;

#[actix_rt::test]
async fn verify_second_signal_ends_entry() {
    let mut cluster = Cluster::start().await;
    let entry = cluster.entries[0].caller_address();
    let http = cluster.http.clone();
    let call = Call {
        deadline: Duration::from_mins(20),
        ..Call::at_most_once("finder", 0, WORK_MS)
    };
    let pending_outcome = call.spawn(&http, entry);
    cluster.wait_for_runs(1).await;
    cluster.entries[0].process.signal(Signal::TERM);
    let late_call = Call::idempotent("finder", 1, 1);
    wait_until("a rejected request", async || {
        late_call.send(&http, entry).await == Outcome::NotRun("Leaving".to_owned())
    })
    .await;
    cluster.entries[0].process.signal(Signal::TERM);
    let status = cluster.entries[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(1));
    assert_eq!(pending_outcome.await.unwrap(), Outcome::Disconnected);
    let second_outcome = call.send(&http, cluster.entries[1].caller_address()).await;
    assert_eq!(second_outcome, Outcome::Unknown("Claimed".to_owned()));
    assert_eq!(cluster.run_counts().await.runs.get(&call.nonce), Some(&1));
}
