//! An entry host is frozen during a drain; the stop proceeds and nothing is cut.

use std::time::Duration;

use actix_rt::time::sleep;
use futures_util::future::join_all;
use persimmongate_tests::caller::Call;
use persimmongate_tests::cluster::{Cluster, SHEET};
use rustix::process::Signal;

/// Requests in flight from the entry host when it is frozen.
const CALLS: u128 = 24;
/// Time in which requests reach the socket of the frozen entry host.
const ARRIVAL: Duration = Duration::from_millis(200);
/// Time that each of them runs, in milliseconds.
const WORK_MS: u64 = 2500;

#[actix_rt::test]
async fn verify_stop_goes_on_without_frozen_entry() {
    let cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let frozen = &cluster.entries[2];
    let calls = (0..CALLS).map(|number| match number % 2 {
        0 => Call::idempotent("finder", number, WORK_MS),
        _ => Call::at_most_once("finder", number, WORK_MS),
    });
    let mut calls: Vec<Call> = calls.collect();
    let mut sent: Vec<_> = calls
        .iter()
        .map(|call| call.spawn(&http, frozen.caller_address()))
        .collect();
    cluster.wait_for_runs(calls.len()).await;
    frozen.process.signal(Signal::STOP);
    let output = cluster.apply_sheet(&format!("{SHEET}wave,trial,finder,,,2,,\n"));
    assert!(output.status.success(), "{output:?}");
    cluster.wait_for_wave("trial").await;
    // These wait at the frozen entry host, whose view is older than the whole wave.
    for number in CALLS..2 * CALLS {
        let call = Call::at_most_once("finder", number, 10);
        sent.push(call.spawn(&http, frozen.caller_address()));
        calls.push(call);
    }
    sleep(ARRIVAL).await;
    frozen.process.signal(Signal::CONT);
    let told = join_all(sent).await;
    let counts = cluster.run_counts().await;
    for (call, told) in calls.iter().zip(told) {
        call.check(&told.unwrap(), &counts);
    }
    assert_eq!(counts.interrupted, 0);
    cluster.wait_for_filled_pools().await;
}
