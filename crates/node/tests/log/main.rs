//! Tests of the follower against the stand-in of the platform's log.

mod fixture;
mod odd;

use fixture::{Platform, Process};
use persimmongate_core::record::Body;
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{SPARE, Verdict};
use persimmongate_standin::faults;

/// Number of records that the log keeps in these tests.
const RETENTION: usize = 40;
/// Number of records after which a snapshot is due in these tests.
const SNAPSHOT_RECORDS: u64 = 10;

fn sheet(base_revision: u64, hosts: u32) -> Body {
    let pool = Intent::Pool {
        name: "finder".into(),
        service: Some("finder".into()),
        hosts,
    };
    Body::Sheet {
        base_revision,
        operator: "o".into(),
        intents: vec![pool],
    }
}

#[actix::test]
async fn verify_new_process_starts_from_a_snapshot_when_older_records_are_deleted() {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let claim = Body::Claim {
        pool: SPARE.into(),
        term: 1,
    };
    assert_eq!(first.append(claim).await, Some(Verdict::Accepted));
    assert_eq!(first.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    let revision = first.state().await.revision;
    // Append until the log no longer keeps the join, the claim and the sheet.
    while platform.earliest_offset().await <= revision {
        first.append(Body::Renew).await;
    }
    let second = Process::start("b", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let state = second.state().await;
    assert_eq!(state.revision, revision);
    assert_eq!(state.pools["finder"].target, 8);
    assert_eq!(state.pools[SPARE].holder, Some("a".into()));
}

#[actix::test]
async fn verify_new_process_takes_over_a_peers_state_while_the_log_is_down() {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    assert_eq!(first.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    let revision = first.state().await.revision;
    platform.set_faults(faults::Log::Down).await;
    let second = Process::start("b", &platform, vec![first.peer_address], SNAPSHOT_RECORDS).await;
    let state = second.state().await;
    assert_eq!(state.revision, revision);
    assert!(!state.members.contains_key("b"));
    platform.set_faults(faults::Log::Up).await;
    // The replay continues where the peer's state ended.
    assert_eq!(
        second.append(sheet(revision, 9)).await,
        Some(Verdict::Accepted)
    );
    assert_eq!(second.state().await.pools["finder"].target, 9);
}

#[actix::test]
async fn verify_append_whose_response_is_lost_is_applied_once() {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    platform.set_faults(faults::Log::Unanswered).await;
    let verdict = first.append(sheet(0, 8)).await;
    assert_eq!(verdict, Some(Verdict::Accepted));
    let revision = first.state().await.revision;
    platform.set_faults(faults::Log::Up).await;
    assert_eq!(first.append(Body::Renew).await, Some(Verdict::Accepted));
    assert_eq!(first.state().await.revision, revision);
}

#[actix::test]
async fn verify_older_state_of_a_peer_is_rejected() {
    let platform = Platform::start(RETENTION);
    let process = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let older = process.state().await;
    assert_eq!(process.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    // While the log is down, only the state of a peer could replace the local one.
    platform.set_faults(faults::Log::Down).await;
    let revision = process.state().await.revision;
    process.offer_state(older.next_offset, &older).await;
    assert_eq!(process.state().await.revision, revision);
    // An offset announced as newer than the state's own is rejected as well.
    process.offer_state(u64::MAX, &older).await;
    assert_eq!(process.state().await.revision, revision);
}
