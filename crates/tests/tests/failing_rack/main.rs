//! A rack fails during a maintenance wave over its pool.
//!
//! Guards against a wave that drains more hosts than the availability budget allows, that can't be
//! completed after the rack is back, or that interrupts requests.

use persimmongate_core::record::Phase;
use persimmongate_core::state::Stage;
use persimmongate_standin::faults::{Fault, Target, Worker};
use persimmongate_tests::caller::Call;
use persimmongate_tests::cluster::{Cluster, SHEET};
use persimmongate_tests::wait::wait_until;

/// Availability budget of the pool's service in the sheet, in hosts.
const BUDGET: usize = 4;
/// Number of requests sent while the workers of the rack are down.
const CALL_COUNT: u128 = 40;

#[actix_rt::test]
async fn verify_wave_survives_failing_rack() {
    let cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let output = cluster.apply_sheet(&format!("{SHEET}wave,trial,finder,,,2,,\n"));
    assert!(output.status.success(), "{output:?}");
    let mut rack = None;
    wait_until("a drain", async || {
        let state = cluster.state().await.unwrap();
        let mut hosts = state.hosts.values();
        let draining = hosts.find(|host| matches!(host.stage, Stage::Draining { .. }));
        rack = draining.map(|host| host.rack.clone());
        rack.is_some()
    })
    .await;
    let target = Target::Rack(rack.unwrap());
    let fault = Worker::Crashed;
    cluster
        .set_fault(Fault::Workers {
            target: target.clone(),
            fault,
        })
        .await;
    let mut calls = Vec::new();
    for number in 0..CALL_COUNT {
        let call = match number % 2 {
            0 => Call::idempotent("finder", number, 20),
            _ => Call::at_most_once("finder", number, 20),
        };
        let entry = cluster.entries[calls.len() % cluster.entries.len()].caller_address();
        let outcome = call.send(&http, entry).await;
        let state = cluster.state().await.unwrap();
        let draining = state.hosts.values();
        let draining = draining
            .filter(|host| host.pool == "finder" && matches!(host.stage, Stage::Draining { .. }));
        assert!(draining.count() + BUDGET <= state.pools["finder"].target as usize);
        calls.push((call, outcome));
    }
    let fault = Worker::Healthy;
    cluster.set_fault(Fault::Workers { target, fault }).await;
    wait_until(
        "the end of the wave, which is resumed when it pauses",
        async || {
            let state = cluster.state().await.unwrap();
            if state.waves["trial"].phase == Phase::Paused {
                let output = cluster.run_ctl(&["wave", "resume", "trial"]);
                assert!(output.status.success(), "{output:?}");
            }
            state.waves["trial"].phase == Phase::Done
        },
    )
    .await;
    let counts = cluster.run_counts().await;
    for (call, outcome) in &calls {
        call.check(outcome, &counts);
    }
    assert_eq!(counts.interrupted, 0);
}
