//! Answers of appends are lost after they took effect.

use persimmongate_standin::faults::{Fault, Log};
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::{Cluster, SHEET};
use persimmongate_tests::wait::wait_until;

#[actix_rt::test]
async fn verify_lost_answer_doubles_nothing() {
    let cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let entry = cluster.entries[0].caller_address();
    let before = cluster.state().await.unwrap();
    cluster.set_fault(Fault::Log(Log::Unanswered)).await;
    let filing = Call::at_most_once("catalogue", 0, 10);
    assert_eq!(filing.send(&http, entry).await, Outcome::Answered);
    let again = filing
        .send(&http, cluster.entries[1].caller_address())
        .await;
    assert_eq!(again, Outcome::Unknown("Claimed".to_owned()));
    let output = cluster.apply_sheet(&SHEET.replace("finder,6", "finder,5"));
    assert!(output.status.success(), "{output:?}");
    let state = cluster.state().await.unwrap();
    assert!(state.revision > before.revision);
    cluster.set_fault(Fault::Log(Log::Up)).await;
    let later = Call::at_most_once("catalogue", 1, 10);
    wait_until("an answer", async || {
        matches!(
            later.send(&http, entry).await,
            Outcome::Answered | Outcome::Unknown(_)
        )
    })
    .await;
    cluster.wait_for_filled_pools().await;
    let after = cluster.state().await.unwrap();
    assert_eq!(after.revision, state.revision);
    assert_eq!(after.pools["finder"].target, 5);
    let counts = cluster.run_counts().await;
    for call in [&filing, &later] {
        assert_eq!(counts.runs.get(&call.nonce), Some(&1), "{call:?}");
    }
    assert_eq!(counts.interrupted, 0);
}
