//! Entries of the worker list with values out of range.

use std::time::Duration;

use persimmongate_core::job::Outcome;
use persimmongate_core::sched::{Event, Report, Resources};
use test_case::test_case;

use crate::world::{SERVICE, World, step};

fn report(started_at_ms: u64, capacity: u64) -> Report {
    Report {
        worker: "w0".into(),
        service: SERVICE.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        host: Some("h0".into()),
        is_shutting_down: false,
        started_at_ms,
        capacity: Resources {
            cpu_millicores: capacity,
            memory_mb: capacity,
            gpus: capacity,
        },
        labels: Vec::new(),
    }
}

// Guards against a worker whose true entries are ignored after one odd entry, and tasks placed beyond
// the resources of a worker.
#[test_case(&report(u64::MAX, 8_000); "time of start")]
#[test_case(&report(1, u64::MAX); "capacity")]
fn verify_odd_entry_of_a_worker_leaves_it_usable(odd: &Report) {
    let mut world = World::new(1, 1);
    world.run(Duration::from_secs(1));
    world.deliver(0, Event::Listed(odd.clone()));
    world.submit("neighbor", vec![step(16, 400, &[])]);
    world.run(Duration::from_secs(6));
    assert_eq!(world.outcome("neighbor"), Some(Outcome::Completed));
    assert_eq!(world.violations_found(), Vec::<String>::new());
}

#[test_case(&report(1, 8_000), true; "usual")]
#[test_case(&report(u64::MAX, 8_000), false; "time of start")]
#[test_case(&report(1, u64::MAX), false; "capacity")]
#[test_case(&Report { address: "127.0.0.1:0".parse().unwrap(), ..report(1, 8_000) }, false; "port")]
fn verify_entry_of_a_worker_is_checked(entry: &Report, is_valid: bool) {
    assert_eq!(entry.is_valid(), is_valid);
}
