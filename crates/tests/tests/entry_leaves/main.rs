//! Graceful shutdown of an entry host (SIGTERM) with requests in flight.
//!
//! Guards against requests in flight that are interrupted or lost, a new request that is accepted
//! during the shutdown, and a membership or claim that stays open afterwards.

use futures_util::future::join_all;
use persimmongate_core::record::Completion;
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::Cluster;
use persimmongate_tests::wait::wait_until;
use rustix::process::Signal;

/// Number of requests in flight when the entry host gets the signal.
const CALL_COUNT: u128 = 12;
/// Duration of each of these requests, in milliseconds.
const WORK_MS: u64 = 1500;

#[actix_rt::test]
async fn verify_shutdown_completes_requests_in_flight() {
    let mut cluster = Cluster::start().await;
    let entry = cluster.entries[0].caller_address();
    let http = cluster.http.clone();
    let calls = (0..CALL_COUNT).map(|number| match number % 2 {
        0 => Call::idempotent("finder", number, WORK_MS),
        _ => Call::at_most_once("finder", number, WORK_MS),
    });
    let calls: Vec<Call> = calls.collect();
    let pending_outcomes: Vec<_> = calls.iter().map(|call| call.spawn(&http, entry)).collect();
    cluster.wait_for_runs(calls.len()).await;
    cluster.entries[0].process.signal(Signal::TERM);
    // This request is short, so that the requests in flight keep the entry host running until one
    // is rejected.
    let late_call = Call::idempotent("finder", CALL_COUNT, 1);
    let mut outcome = Outcome::Answered;
    wait_until("a rejected request", async || {
        outcome = late_call.send(&http, entry).await;
        outcome != Outcome::Answered
    })
    .await;
    assert_eq!(outcome, Outcome::NotRun("Leaving".to_owned()));
    for outcome in join_all(pending_outcomes).await {
        assert_eq!(outcome.unwrap(), Outcome::Answered);
    }
    let status = cluster.entries[0].process.wait_for_exit().await;
    assert_eq!(status.code(), Some(0));
    let counts = cluster.run_counts().await;
    for call in &calls {
        call.check(&Outcome::Answered, &counts);
    }
    assert_eq!(counts.interrupted, 0);
    let instance = cluster.entries[0].name.clone();
    wait_until("the end of the membership", async || {
        let state = cluster.state().await;
        state.is_some_and(|state| !state.members.contains_key(&instance))
    })
    .await;
    let state = cluster.state().await.unwrap();
    for key in calls.iter().filter_map(|call| call.key) {
        let claim = state.keys.claim(key).unwrap();
        assert_eq!(claim.outcome, Some(Completion::Answered), "{claim:?}");
    }
}
