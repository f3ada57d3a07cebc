//! An entry host is told to end while it has requests in flight.

use futures_util::future::join_all;
use persimmongate_core::record::End;
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;
use persimmongate_tests::wait::wait_until;
use rustix::process::Signal;

/// Requests in flight when the entry host is told to end.
const CALLS: u128 = 12;
/// Time that each of them runs, in milliseconds.
const WORK_MS: u64 = 1500;

#[actix_rt::test]
async fn verify_entry_that_leaves_cuts_nothing() {
    let mut cluster = Cluster::start().await;
    let entry = cluster.entries[0].caller_address();
    let http = cluster.http.clone();
    let calls = (0..CALLS).map(|number| match number % 2 {
        0 => Call::idempotent("finder", number, WORK_MS),
        _ => Call::at_most_once("finder", number, WORK_MS),
    });
    let calls: Vec<Call> = calls.collect();
    let sent: Vec<_> = calls.iter().map(|call| call.spawn(&http, entry)).collect();
    cluster.wait_for_runs(calls.len()).await;
    cluster.entries[0].process.signal(Signal::TERM);
    // Short, so that the requests in flight keep the interface open until it is refused.
    let late = Call::idempotent("finder", CALLS, 1);
    let mut told = Outcome::Answered;
    wait_until("a refusal", async || {
        told = late.send(&http, entry).await;
        told != Outcome::Answered
    })
    .await;
    assert_eq!(told, Outcome::NotRun("Leaving".to_owned()));
    for told in join_all(sent).await {
        assert_eq!(told.unwrap(), Outcome::Answered);
    }
    let status = cluster.entries[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    let counts = cluster.run_counts().await;
    for call in &calls {
        call.check(&Outcome::Answered, &counts);
    }
    assert_eq!(counts.interrupted, 0);
    let left = cluster.entries[0].name.clone();
    wait_until("the end of the membership", async || {
        let state = cluster.state().await;
        state.is_some_and(|state| !state.members.contains_key(&left))
    })
    .await;
    let state = cluster.state().await.unwrap();
    for key in calls.iter().filter_map(|call| call.key) {
        let claim = state.keys.claim(key).unwrap();
        assert_eq!(claim.end, Some(End::Answered), "{claim:?}");
    }
}
