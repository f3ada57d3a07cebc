//! Records and parts of snapshots that can't be used. None may end a process, stop its replay or hide
//! the records beside it.

use std::time::Duration;

use actix_web::web::Bytes;
use persimmongate_core::record::Body;
use persimmongate_core::state::{SPARE, State, Verdict};
use persimmongate_wire::log::{Part, Stream, encode_part, encode_state};
use test_case::test_case;

use crate::fixture::{Platform, Process};
use crate::{RETENTION, SNAPSHOT_RECORDS, sheet};

/// Number of records after which a snapshot is due, so that one is there and the next takes long.
const ONE_SNAPSHOT: u64 = 30;
/// Time in which a process must be complete: less than the time to the next snapshot.
const START_TIMEOUT: Duration = Duration::from_secs(5);

fn nested() -> Bytes {
    Bytes::from(vec![0x81; 100_000])
}

/// Returns the only part of a snapshot.
fn whole(next_offset: u64, data: Bytes) -> Part {
    Part {
        author: "odd".into(),
        incarnation: 1,
        next_offset,
        index: 0,
        count: 1,
        data,
    }
}

fn encoded(part: &Part) -> Bytes {
    encode_part(part).unwrap()
}

fn state(next_offset: u64) -> Bytes {
    let state = State {
        next_offset,
        ..State::default()
    };
    encode_state(&state).unwrap()
}

// Guards against a process that finds no snapshot, or follows a wrong one, because of an odd part behind
// the right one.
#[test_case(nested(); "nested arrays")]
#[test_case(Bytes::from_static(&[0x5b, 0x10, 0, 0, 0, 0, 0, 0, 0]); "2^60 bytes")]
#[test_case(Bytes::new(); "nothing")]
#[test_case(encoded(&whole(1_000, nested())); "nested arrays for a state")]
#[test_case(encoded(&whole(1_000, Bytes::new())); "no state")]
#[test_case(encoded(&whole(u64::MAX, state(u64::MAX))); "state at the largest offset")]
#[test_case(encoded(&whole(1_000, state(1_001))); "state at another offset")]
#[test_case(encoded(&Part { count: 0, ..whole(1_000, state(1_000)) }); "no parts")]
#[test_case(encoded(&Part { count: u32::MAX, ..whole(1_000, state(1_000)) }); "most parts")]
#[test_case(encoded(&Part { index: u32::MAX, ..whole(1_000, state(1_000)) }); "last index")]
#[actix::test]
async fn verify_odd_part_hides_no_snapshot(odd: Bytes) {
    let platform = Platform::start(RETENTION);
    let first = Process::start("a", &platform, Vec::new(), ONE_SNAPSHOT).await;
    let claim = Body::Claim {
        pool: SPARE.into(),
        term: 1,
    };
    assert_eq!(first.append(claim).await, Some(Verdict::Accepted));
    assert_eq!(first.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    let revision = first.state().await.revision;
    while platform.earliest_offset().await <= revision {
        first.append(Body::Renew).await;
    }
    platform.append(Stream::Snapshots, vec![odd]).await;
    let second = Process::start("b", &platform, Vec::new(), SNAPSHOT_RECORDS);
    let second = actix_rt::time::timeout(START_TIMEOUT, second).await;
    let state = second.expect("a complete state").state().await;
    assert_eq!(state.revision, revision);
    assert_eq!(state.pools["finder"].target, 8);
}

// Guards against a replay that ends or stops at a record that can't be decoded.
#[test_case(nested(); "nested arrays")]
#[test_case(Bytes::from_static(&[0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0]); "2^60 items")]
#[test_case(Bytes::from_static(b"\xff\xfe"); "end without a start")]
#[test_case(Bytes::from_static(b"\x62\xff\xfe"); "text that is not UTF-8")]
#[test_case(Bytes::new(); "nothing")]
#[actix::test]
async fn verify_odd_record_hides_no_other_record(odd: Bytes) {
    let platform = Platform::start(RETENTION);
    let process = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    platform.append(Stream::Main, vec![odd]).await;
    assert_eq!(process.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    assert_eq!(process.state().await.pools["finder"].target, 8);
}

// Guards against a process that waits for records behind the state of a peer, which never come.
#[actix::test]
async fn verify_state_of_a_peer_at_the_largest_offset_is_rejected() {
    let platform = Platform::start(RETENTION);
    let process = Process::start("a", &platform, Vec::new(), SNAPSHOT_RECORDS).await;
    let state = State {
        next_offset: u64::MAX,
        ..State::default()
    };
    process.offer_state(u64::MAX, &state).await;
    assert_eq!(process.append(sheet(0, 8)).await, Some(Verdict::Accepted));
    assert_eq!(process.state().await.pools["finder"].target, 8);
}
