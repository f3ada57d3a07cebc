//! Tests of the log's actor against the stand-in of the platform's log.

mod fixture;

use fixture::{Platform, Process};
use persimmongate_core::record::Body;
use persimmongate_core::sheet::Intent;
use persimmongate_core::state::{SPARE, Verdict};
use persimmongate_standin::faults;

/// Records that the log keeps in these tests.
const RETENTION: usize = 40;
/// Records after which a snapshot is due in these tests.
const SNAPSHOT_RECORDS: u64 = 10;

fn sheet(base: u64, hosts: u32) -> Body {
    let pool = Intent::Pool {
        name: "finder".into(),
        service: Some("finder".into()),
        hosts,
    };
    Body::Sheet {
        base_revision: base,
        operator: "o".into(),
        intents: vec![pool],
    }
}

#[actix::test]
async fn verify_new_process_starts_from_a_snapshot_when_older_records_are_gone() {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let claim = Body::Claim {
        pool: SPARE.into(),
        term: 1,
    };
    assert_eq!(first.append(claim).await, Some(Verdict::Accepted));
    assert_eq!(first.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    let revision = first.fold().await.revision;
    // Enough records that the join, the claim and the sheet are gone from the log.
    while platform.earliest().await <= revision {
        first.append(Body::Renew).await;
    }
    let second = Process::start("b", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let fold = second.fold().await;
    assert_eq!(fold.revision, revision);
    assert_eq!(fold.pools["finder"].target, 8);
    assert_eq!(fold.pools[SPARE].holder, Some("a".into()));
}

#[actix::test]
async fn verify_new_process_takes_over_a_peers_fold_while_the_log_is_down() {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    assert_eq!(first.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    let revision = first.fold().await.revision;
    platform.set(faults::Log::Down).await;
    let second = Process::start("b", &platform, vec![first.peer], SNAPSHOT_RECORDS).await;
    let fold = second.fold().await;
    assert_eq!(fold.revision, revision);
    assert!(!fold.members.contains_key("b"));
    platform.set(faults::Log::Up).await;
    // The fold goes on from where the peer's ended.
    assert_eq!(
        second.append(sheet(revision, 9)).await,
        Some(Verdict::Accepted)
    );
    assert_eq!(second.fold().await.pools["finder"].target, 9);
}

#[actix::test]
async fn verify_append_whose_answer_is_lost_counts_once() {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    platform.set(faults::Log::Unanswered).await;
    let verdict = first.append(sheet(0, 8)).await;
    assert_eq!(verdict, Some(Verdict::Accepted));
    let revision = first.fold().await.revision;
    platform.set(faults::Log::Up).await;
    assert_eq!(first.append(Body::Renew).await, Some(Verdict::Accepted));
    assert_eq!(first.fold().await.revision, revision);
}

#[actix::test]
async fn verify_older_fold_of_a_peer_is_refused() {
    let platform = Platform::start(RETENTION);
    let process = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let older = process.fold().await;
    assert_eq!(process.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    // No record is folded any more, so that only a peer's fold could change the own one.
    platform.set(faults::Log::Down).await;
    let revision = process.fold().await.revision;
    process.restore(older.next_offset, &older).await;
    assert_eq!(process.fold().await.revision, revision);
    // Nor does a fold that is told to be newer than it is.
    process.restore(u64::MAX, &older).await;
    assert_eq!(process.fold().await.revision, revision);
}
