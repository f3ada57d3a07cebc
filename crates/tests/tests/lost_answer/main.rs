//! The log applies appends but their answers are lost.
//!
//! Guards against a request that runs twice or a sheet that is applied twice because an append with
//! an unknown result is repeated.

use persimmongate_standin::faults::{Fault, Log};
use persimmongate_tests::caller::{Call, Outcome};
use persimmongate_tests::cluster::{Cluster, SHEET};
use persimmongate_tests::wait::wait_until;

#[actix_rt::test]
async fn verify_lost_answer_causes_no_duplicates() {
    let cluster = Cluster::start().await;
    let http = cluster.http.clone();
    let entry = cluster.entries[0].caller_address();
    let before = cluster.state().await.unwrap();
    cluster.set_fault(Fault::Log(Log::Unanswered)).await;
    let first_call = Call::at_most_once("catalogue", 0, 10);
    assert_eq!(first_call.send(&http, entry).await, Outcome::Answered);
    let retry_outcome = first_call
        .send(&http, cluster.entries[1].caller_address())
        .await;
    assert_eq!(retry_outcome, Outcome::Unknown("Claimed".to_owned()));
    let output = cluster.apply_sheet(&SHEET.replace("finder,6", "finder,5"));
    assert!(output.status.success(), "{output:?}");
    let state = cluster.state().await.unwrap();
    assert!(state.revision > before.revision);
    cluster.set_fault(Fault::Log(Log::Up)).await;
    let later_call = Call::at_most_once("catalogue", 1, 10);
    wait_until("an answer", async || {
        matches!(
            later_call.send(&http, entry).await,
            Outcome::Answered | Outcome::Unknown(_)
        )
    })
    .await;
    cluster.wait_for_filled_pools().await;
    let after = cluster.state().await.unwrap();
    assert_eq!(after.revision, state.revision);
    assert_eq!(after.pools["finder"].target, 5);
    let counts = cluster.run_counts().await;
    for call in [&first_call, &later_call] {
        assert_eq!(counts.runs.get(&call.nonce), Some(&1), "{call:?}");
    }
    assert_eq!(counts.interrupted, 0);
}
