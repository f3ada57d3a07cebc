//! Records with odd values, which a member of another version appended. Each process replays them, so
//! none may end it or spoil the state.

use persimmongate_core::record::{Body, Listing};
use persimmongate_core::state::Verdict;
use test_case::test_case;

use crate::fixture::{Log, listing};

// Guards against snapshots that are never due again, so that the log no longer keeps what a starting
// process replays.
#[test]
fn verify_snapshot_of_later_records_is_rejected() {
    let mut log = Log::new(2, 0);
    let next_offset = u64::MAX;
    let verdict = log.append("b", Body::Snapshot { next_offset });
    assert!(matches!(verdict, Verdict::Rejected(_)), "{verdict:?}");
    assert_eq!(log.state.snapshot_offset, 0);
    let next_offset = log.state.next_offset;
    let verdict = log.append("b", Body::Snapshot { next_offset });
    assert_eq!(verdict, Verdict::Accepted);
    assert_eq!(log.state.snapshot_offset, next_offset);
}

// Guards against a host that can't be called, or whose return ends each process that replays it.
#[test_case(Listing { address: "127.0.0.1:0".parse().unwrap(), ..listing(7) }; "port 0")]
#[test_case(Listing { generation: u64::MAX, ..listing(7) }; "largest generation")]
#[test_case(Listing { host: "".into(), ..listing(7) }; "no name")]
fn verify_odd_host_is_not_enrolled_and_hides_no_other(odd: Listing) {
    let mut log = Log::new(2, 0);
    let name = odd.host.clone();
    let hosts = vec![listing(5), odd, listing(6)];
    assert_eq!(log.append("a", Body::Enroll { hosts }), Verdict::Accepted);
    assert!(log.state.hosts.contains_key("h5"));
    assert!(log.state.hosts.contains_key("h6"));
    assert!(!log.state.hosts.contains_key(&name));
}

// Guards against the end of each process that replays the return of a host.
#[test]
fn verify_return_with_the_largest_generation_is_rejected() {
    let mut log = Log::new(4, 0);
    log.move_hosts(2);
    let revision = log.state.hosts["h0"].revision;
    let lost = Body::Lost {
        host: "h0".into(),
        generation: 1,
        revision,
        term: 1,
    };
    assert_eq!(log.append("a", lost), Verdict::Accepted);
    let give_back = |generation| Body::Return {
        host: "h0".into(),
        generation,
        term: 1,
    };
    let verdict = log.append("a", give_back(u64::MAX));
    assert!(matches!(verdict, Verdict::Rejected(_)), "{verdict:?}");
    let stop = Body::Stop {
        host: "h0".into(),
        generation: 1,
        term: 1,
    };
    assert_eq!(log.append("a", stop), Verdict::Accepted);
    assert_eq!(log.append("a", give_back(2)), Verdict::Accepted);
}
