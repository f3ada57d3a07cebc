//! An entry host is frozen (SIGSTOP) during a maintenance wave.
//!
//! Guards against a wave that waits for the frozen entry host for ever, and against a worker that
//! reboots while it runs requests of that entry host, also after the entry host continues with an
//! outdated state.

use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::join_all;
use persimmongate_tests::caller::Call;
use persimmongate_tests::cluster::{Cluster, SHEET};
use rustix::process::Signal;

/// Number of requests in flight when the entry host is frozen, and of requests sent to it later.
const CALL_COUNT: u128 = 24;
/// Time for requests to reach the socket of the frozen entry host.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// Duration of each request in flight, in milliseconds.
const WORK_MS: u64 = 2500;

#[actix_rt::test]
async fn verify_wave_proceeds_without_frozen_entry() {
    let cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let frozen_entry = &cluster.entries[2];
    let calls = (0..CALL_COUNT).map(|number| match number % 2 {
        0 => Call::idempotent("finder", number, WORK_MS),
        _ => Call::at_most_once("finder", number, WORK_MS),
    });
    let mut calls: Vec<Call> = calls.collect();
    let mut pending_outcomes: Vec<_> = calls
        .iter()
        .map(|call| call.spawn(&http, frozen_entry.caller_address()))
        .collect();
    cluster.wait_for_runs(calls.len()).await;
    frozen_entry.process.signal(Signal::STOP);
    let output = cluster.apply_sheet(&format!("{SHEET}wave,trial,finder,,,2,,\n"));
    assert!(output.status.success(), "{output:?}");
    cluster.wait_for_wave("trial").await;
    // These requests wait at the frozen entry host, whose state is from before the wave.
    for number in CALL_COUNT..2 * CALL_COUNT {
        let call = Call::at_most_once("finder", number, 10);
        pending_outcomes.push(call.spawn(&http, frozen_entry.caller_address()));
        calls.push(call);
    }
    sleep(ARRIVAL_TIME).await;
    frozen_entry.process.signal(Signal::CONT);
    let outcomes = join_all(pending_outcomes).await;
    let counts = cluster.run_counts().await;
    for (call, outcome) in calls.iter().zip(outcomes) {
        call.check(&outcome.unwrap(), &counts);
    }
    assert_eq!(counts.interrupted, 0);
    cluster.wait_for_filled_pools().await;
}
