//! Records with odd values, which a member of another version appended. Each process replays them, so
//! none may end it or spoil the state.

use persimmongate_core::fleet::{View, buffer};
use persimmongate_core::record::{Body, Listing};
use persimmongate_core::report;
use persimmongate_core::sheet::Intent;
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

fn budget(hosts: u32) -> Intent {
    Intent::Budget {
        service: "finder".into(),
        hosts,
    }
}

fn pool(hosts: u32) -> Intent {
    Intent::Pool {
        name: "finder".into(),
        service: Some("finder".into()),
        hosts,
    }
}

fn wave(batch: u32) -> Intent {
    Intent::Wave {
        name: "w".into(),
        pool: "finder".into(),
        batch,
    }
}

// Guards against the end of each fleet process, and of each call of an operator, by a sheet with numbers
// that no sheet of an operator may have.
#[test_case(vec![budget(u32::MAX), pool(4), wave(u32::MAX)]; "budget and batch")]
#[test_case(vec![budget(4), pool(u32::MAX), wave(1)]; "hosts")]
#[test_case(vec![budget(4), pool(4), wave(0)]; "no batch")]
#[test_case(vec![Intent::Quota { caller: "c".into(), service: "finder".into(), slots: u32::MAX }]; "slots")]
fn verify_sheet_with_odd_numbers_is_rejected(intents: Vec<Intent>) {
    let mut log = Log::new(4, 0);
    let sheet = Body::Sheet {
        base_revision: log.state.revision,
        operator: "o".into(),
        intents,
    };
    let verdict = log.append("a", sheet);
    let mut view = View::default();
    for change in log.state.changes() {
        view.apply(change);
    }
    // What operators and the manager compute from the state.
    let _ = (report::summarize(&log.state), buffer(&view, 5));
    assert!(matches!(verdict, Verdict::Rejected(_)), "{verdict:?}");
}
